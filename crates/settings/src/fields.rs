//! Reading an object field by field: every fault is kept with its path, so that a file's faults are reported all at once.

use std::cell::RefCell;
use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// What is wrong with one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Where the field stands, such as `settings.lanes[1].effect`.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

/// All that is wrong with an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        f.write_str(&all.join("; "))
    }
}

impl std::error::Error for ConfigError {}

impl std::error::Error for ConfigErrors {}

/// The faults met so far.
#[derive(Debug, Default)]
pub struct ErrorCollector(RefCell<Vec<ConfigError>>);

impl ErrorCollector {
    /// Keeps one more.
    pub fn add(&self, path: String, why: impl Into<String>) {
        self.0.borrow_mut().push(ConfigError {
            path,
            reason: why.into(),
        });
    }

    /// What was read, unless a fault was met; nothing is read only where one was.
    pub fn finish<T>(self, read: Option<T>) -> Result<T, ConfigErrors> {
        let faults = self.0.into_inner();
        match read {
            Some(read) if faults.is_empty() => Ok(read),
            _ => Err(ConfigErrors(faults)),
        }
    }
}

/// An object, with the path at which it stands. Keys that nobody asks for are disregarded.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'v> {
    object: Option<&'v Map<String, Value>>,
    path: &'v str,
    errors: &'v ErrorCollector,
}

impl<'v> Fields<'v> {
    /// The fields of a value; one that is no object is a fault.
    pub fn new(value: &'v Value, path: &'v str, errors: &'v ErrorCollector) -> Fields<'v> {
        let object = value.as_object();
        if object.is_none() {
            let path = if path.is_empty() { "the whole" } else { path };
            errors.add(path.to_owned(), "is no object");
        }
        Fields {
            object,
            path,
            errors,
        }
    }

    /// The fields of an object that is not there: each optional one is absent.
    pub fn absent(path: &'v str, errors: &'v ErrorCollector) -> Fields<'v> {
        Fields {
            object: None,
            path,
            errors,
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
    pub fn error(&self, key: &str, why: impl Into<String>) {
        self.errors.add(self.path_of(key), why);
    }

    /// Keeps a fault of a field where it is bad.
    pub fn error_if(&self, key: &str, bad: bool, why: &str) {
        if bad {
            self.error(key, why);
        }
    }

    /// The value of a field, if it is there.
    pub fn value(&self, key: &str) -> Option<&'v Value> {
        self.object?.get(key)
    }

    /// The value of a field that has to be there. Where there is no object, that is a fault already.
    pub fn required_value(&self, key: &str) -> Option<&'v Value> {
        let value = self.object?.get(key);
        if value.is_none() {
            self.error(key, "is missing");
        }
        value
    }

    /// A field that has to be there.
    pub fn required<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.read(key, self.required_value(key)?)
    }

    /// A field that has to be there and within a range.
    pub fn required_if<T: DeserializeOwned>(
        &self,
        key: &str,
        sound: impl Fn(&T) -> bool,
        why: &str,
    ) -> Option<T> {
        let value = self.required(key)?;
        self.error_if(key, !sound(&value), why);
        Some(value)
    }

    /// A field, or what it is where it is absent.
    pub fn optional<T: DeserializeOwned>(&self, key: &str, absent: T) -> Option<T> {
        match self.value(key) {
            None => Some(absent),
            Some(value) => self.read(key, value),
        }
    }

    /// The same, where what it is when absent is its type's own default.
    pub fn optional_or_default<T: DeserializeOwned + Default>(&self, key: &str) -> Option<T> {
        self.optional(key, T::default())
    }

    fn read<T: DeserializeOwned>(&self, key: &str, value: &Value) -> Option<T> {
        let read = T::deserialize(value);
        read.map_err(|error| self.error(key, error.to_string()))
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
    pub fn required_list<T>(
        &self,
        key: &str,
        read: impl Fn(Fields<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.objects(key, self.required_value(key)?, read)
    }

    fn objects<T>(
        &self,
        key: &str,
        value: &Value,
        read: impl Fn(Fields<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(rows) = value.as_array() else {
            self.error(key, "is no list");
            return None;
        };
        let row = |(at, row): (usize, &Value)| {
            let path = format!("{}[{at}]", self.path_of(key));
            read(Fields::new(row, &path, self.errors))
        };
        // Every row is read, so that no fault hides another.
        let rows: Vec<Option<T>> = rows.iter().enumerate().map(row).collect();
        rows.into_iter().collect()
    }

    /// The object that a field holds, by `read`; an absent one has no fields.
    pub fn object<T>(&self, key: &str, read: impl Fn(Fields<'_>) -> Option<T>) -> Option<T> {
        let path = self.path_of(key);
        match self.value(key) {
            None => read(Fields::absent(&path, self.errors)),
            Some(value) => read(Fields::new(value, &path, self.errors)),
        }
    }

    /// The same of an object that has to be there.
    pub fn required_object<T>(
        &self,
        key: &str,
        read: impl Fn(Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        self.required_value(key)?;
        self.object(key, read)
    }
}
