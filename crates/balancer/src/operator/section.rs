//! A section of the operator's file, read field by field.

use std::cell::RefCell;

use serde::de::DeserializeOwned;
use toml::{Table, Value};

/// A table of the file, from which fields are taken one by one.
pub(super) struct Section<'f> {
    pub(super) path: String,
    pub(super) table: Table,
    pub(super) faults: &'f RefCell<Vec<String>>,
}

impl<'f> Section<'f> {
    pub(super) fn named(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    pub(super) fn error(&self, field: &str, why: &str) {
        self.faults
            .borrow_mut()
            .push(format!("{}: {why}", self.named(field)));
    }

    pub(super) fn error_if(&self, field: &str, bad: bool, why: &str) {
        if bad {
            self.error(field, why);
        }
    }

    pub(super) fn subsection(&self, name: &str, table: Table) -> Section<'f> {
        Section {
            path: self.named(name),
            table,
            faults: self.faults,
        }
    }

    /// A required field.
    pub(super) fn required<T: DeserializeOwned>(&mut self, field: &str) -> Option<T> {
        match self.table.remove(field) {
            None => {
                self.error(field, "is missing");
                None
            }
            Some(value) => self.read(field, value),
        }
    }

    /// An optional field with a default.
    pub(super) fn optional<T: DeserializeOwned>(&mut self, field: &str, usual: T) -> T {
        match self.table.remove(field) {
            None => usual,
            Some(value) => self.read(field, value).unwrap_or(usual),
        }
    }

    fn read<T: DeserializeOwned>(&self, field: &str, value: Value) -> Option<T> {
        let secret = matches!(field, "token" | "url");
        match value.try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                let why = error.message().to_owned();
                self.error(field, if secret { "has the wrong type" } else { &why });
                None
            }
        }
    }

    pub(super) fn section(&mut self, field: &str) -> Option<Section<'f>> {
        let table: Table = self
            .table
            .remove(field)
            .and_then(|value| self.read(field, value))?;
        Some(self.subsection(field, table))
    }

    pub(super) fn required_section(&mut self, field: &str) -> Option<Section<'f>> {
        let table: Table = self.required(field)?;
        Some(self.subsection(field, table))
    }

    /// Reports the fields that are left as unknown.
    pub(super) fn reject_unknown_fields(&self) {
        for field in self.table.keys() {
            self.error(field, "no such field");
        }
    }
}
