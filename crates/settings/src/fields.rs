//! Reading an object field by field: every fault is kept with its path, so that a file's faults are reported all at once.

use std::cell::RefCell;
use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// What is wrong with one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where the field stands, such as `settings.lanes[1].effect`.
    pub path: String,
    /// What is wrong with it.
    pub why: String,
}

/// All that is wrong with an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.why)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&all.join("; "))
    }
}

impl std::error::Error for Fault {}

impl std::error::Error for Faults {}

/// The faults met so far.
#[derive(Debug, Default)]
pub struct Met(RefCell<Vec<Fault>>);

impl Met {
    /// Keeps one more.
    pub fn add(&self, path: String, why: impl Into<String>) {
        self.0.borrow_mut().push(Fault {
            path,
            why: why.into(),
        });
    }

    /// What was read, unless a fault was met; nothing is read only where one was.
    pub fn or<T>(self, read: Option<T>) -> Result<T, Faults> {
        let faults = self.0.into_inner();
        match read {
            Some(read) if faults.is_empty() => Ok(read),
            _ => Err(Faults(faults)),
        }
    }
}

/// An object, with the path at which it stands. Keys that nobody asks for are disregarded.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'v> {
    object: Option<&'v Map<String, Value>>,
    path: &'v str,
    met: &'v Met,
}

impl<'v> Fields<'v> {
    /// The fields of a value; one that is no object is a fault.
    pub fn of(value: &'v Value, path: &'v str, met: &'v Met) -> Fields<'v> {
        let object = value.as_object();
        if object.is_none() {
            let path = if path.is_empty() { "the whole" } else { path };
            met.add(path.to_owned(), "is no object");
        }
        Fields { object, path, met }
    }

    /// The fields of an object that is not there: each optional one is absent.
    pub fn none(path: &'v str, met: &'v Met) -> Fields<'v> {
        Fields {
            object: None,
            path,
            met,
        }
    }

    /// The path of one of its fields.
    pub fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Keeps a fault of one of its fields.
    pub fn fault(&self, key: &str, why: impl Into<String>) {
        self.met.add(self.path_of(key), why);
    }

    /// Keeps a fault of a field where it is bad.
    pub fn refuse(&self, key: &str, bad: bool, why: &str) {
        if bad {
            self.fault(key, why);
        }
    }

    /// The value of a field, if it is there.
    pub fn value(&self, key: &str) -> Option<&'v Value> {
        self.object?.get(key)
    }

    /// The value of a field that has to be there. Where there is no object, that is a fault already.
    pub fn needed_value(&self, key: &str) -> Option<&'v Value> {
        let value = self.object?.get(key);
        if value.is_none() {
            self.fault(key, "is missing");
        }
        value
    }

    /// A field that has to be there.
    pub fn need<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.read(key, self.needed_value(key)?)
    }

    /// A field that has to be there and within a range.
    pub fn need_if<T: DeserializeOwned>(
        &self,
        key: &str,
        sound: impl Fn(&T) -> bool,
        why: &str,
    ) -> Option<T> {
        let value = self.need(key)?;
        self.refuse(key, !sound(&value), why);
        Some(value)
    }

    /// A field, or what it is where it is absent.
    pub fn or<T: DeserializeOwned>(&self, key: &str, absent: T) -> Option<T> {
        match self.value(key) {
            None => Some(absent),
            Some(value) => self.read(key, value),
        }
    }

    /// The same, where what it is when absent is its type's own default.
    pub fn or_default<T: DeserializeOwned + Default>(&self, key: &str) -> Option<T> {
        self.or(key, T::default())
    }

    fn read<T: DeserializeOwned>(&self, key: &str, value: &Value) -> Option<T> {
        let read = T::deserialize(value);
        read.map_err(|error| self.fault(key, error.to_string()))
            .ok()
    }

    /// The objects of a list, each with its path; none where the list is absent.
    pub fn list<T>(&self, key: &str, read: impl Fn(Fields<'_>) -> Option<T>) -> Option<Vec<T>> {
        match self.value(key) {
            None => Some(Vec::new()),
            Some(value) => self.objects(key, value, read),
        }
    }

    /// The same of a list that has to be there.
    pub fn needed_list<T>(
        &self,
        key: &str,
        read: impl Fn(Fields<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.objects(key, self.needed_value(key)?, read)
    }

    fn objects<T>(
        &self,
        key: &str,
        value: &Value,
        read: impl Fn(Fields<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(rows) = value.as_array() else {
            self.fault(key, "is no list");
            return None;
        };
        let row = |(at, row): (usize, &Value)| {
            let path = format!("{}[{at}]", self.path_of(key));
            read(Fields::of(row, &path, self.met))
        };
        // Every row is read, so that no fault hides another.
        let rows: Vec<Option<T>> = rows.iter().enumerate().map(row).collect();
        rows.into_iter().collect()
    }

    /// The object that a field holds, by `read`; an absent one has no fields.
    pub fn inner<T>(&self, key: &str, read: impl Fn(Fields<'_>) -> Option<T>) -> Option<T> {
        let path = self.path_of(key);
        match self.value(key) {
            None => read(Fields::none(&path, self.met)),
            Some(value) => read(Fields::of(value, &path, self.met)),
        }
    }

    /// The same of an object that has to be there.
    pub fn needed_inner<T>(&self, key: &str, read: impl Fn(Fields<'_>) -> Option<T>) -> Option<T> {
        self.needed_value(key)?;
        self.inner(key, read)
    }
}
