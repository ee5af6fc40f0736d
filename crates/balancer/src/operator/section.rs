//! Field-by-field reader of a section of the operator's file.

use std::cell::RefCell;

use serde::de::DeserializeOwned;
use toml::{Table, Value};

/// A table of the file. Each field that is read is removed from it, so that unknown fields remain.
pub(super) struct Section<'f> {
    pub(super) path: String,
    pub(super) table: Table,
    pub(super) errors: &'f RefCell<Vec<String>>,
}

impl<'f> Section<'f> {
    pub(super) fn field_path(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    pub(super) fn error(&self, field: &str, reason: &str) {
        self.errors
            .borrow_mut()
            .push(format!("{}: {reason}", self.field_path(field)));
    }

    pub(super) fn error_if(&self, field: &str, is_invalid: bool, reason: &str) {
        if is_invalid {
            self.error(field, reason);
        }
    }

    pub(super) fn subsection(&self, name: &str, table: Table) -> Section<'f> {
        Section {
            path: self.field_path(name),
            table,
            errors: self.errors,
        }
    }

    /// Reads a required field; a missing or invalid one is reported.
    pub(super) fn required<T: DeserializeOwned>(&mut self, field: &str) -> Option<T> {
        match self.table.remove(field) {
            None => {
                self.error(field, "is missing");
                None
            }
            Some(value) => self.read(field, value),
        }
    }

    /// Reads an optional field. The default stands for a missing field, and for an invalid one,
    /// which is reported.
    pub(super) fn optional<T: DeserializeOwned>(&mut self, field: &str, default: T) -> T {
        match self.table.remove(field) {
            None => default,
            Some(value) => self.read(field, value).unwrap_or(default),
        }
    }

    fn read<T: DeserializeOwned>(&self, field: &str, value: Value) -> Option<T> {
        let is_secret = matches!(field, "token" | "url");
        match value.try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                let reason = error.message().to_owned();
                self.error(
                    field,
                    if is_secret {
                        "has the wrong type"
                    } else {
                        &reason
                    },
                );
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

    /// Reports the remaining fields as unknown.
    pub(super) fn reject_unknown_fields(&self) {
        for field in self.table.keys() {
            self.error(field, "unknown field");
        }
    }
}
