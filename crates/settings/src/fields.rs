//! Reads an object field by field. Errors are collected with their paths, so that all of them are
//! reported at once.

use std::cell::RefCell;
use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// An error in one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Path of the field, such as `settings.lanes[1].effect`.
    pub path: String,
    /// What is wrong with the value, without the path.
    pub reason: String,
}

/// All errors found in an object, in the order of its reading.
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

/// Collects the errors of one reading, which may go through many objects.
#[derive(Debug, Default)]
pub struct ErrorCollector(RefCell<Vec<ConfigError>>);

impl ErrorCollector {
    /// Adds an error in the field at a path.
    pub fn add(&self, path: String, reason: impl Into<String>) {
        self.0.borrow_mut().push(ConfigError {
            path,
            reason: reason.into(),
        });
    }

    /// Returns the value that was read, or all errors if there are any.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, ConfigErrors> {
        let errors = self.0.into_inner();
        match value {
            Some(value) if errors.is_empty() => Ok(value),
            _ => Err(ConfigErrors(errors)),
        }
    }
}

/// An object and its path. Unknown keys are ignored.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'v> {
    object: Option<&'v Map<String, Value>>,
    path: &'v str,
    errors: &'v ErrorCollector,
}

impl<'v> Fields<'v> {
    /// The fields of a value, which must be an object.
    pub fn new(value: &'v Value, path: &'v str, errors: &'v ErrorCollector) -> Fields<'v> {
        let object = value.as_object();
        if object.is_none() {
            let path = if path.is_empty() { "the whole" } else { path };
            errors.add(path.to_owned(), "must be an object");
        }
        Fields {
            object,
            path,
            errors,
        }
    }

    /// The fields of a missing object.
    pub fn absent(path: &'v str, errors: &'v ErrorCollector) -> Fields<'v> {
        Fields {
            object: None,
            path,
            errors,
        }
    }

    /// Path of a field from the outermost object, such as `settings.rules.cold-share`.
    pub fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Adds an error in a field.
    pub fn error(&self, key: &str, reason: impl Into<String>) {
        self.errors.add(self.path_of(key), reason);
    }

    /// Adds an error in a field if its value is invalid.
    pub fn error_if(&self, key: &str, is_invalid: bool, reason: &str) {
        if is_invalid {
            self.error(key, reason);
        }
    }

    /// The value of a field, if present.
    pub fn value(&self, key: &str) -> Option<&'v Value> {
        self.object?.get(key)
    }

    /// The value of a required field. A missing object has been reported already.
    pub fn required_value(&self, key: &str) -> Option<&'v Value> {
        let value = self.object?.get(key);
        if value.is_none() {
            self.error(key, "is missing");
        }
        value
    }

    /// A required field; `None` after an error, which has been added.
    pub fn required<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.read(key, self.required_value(key)?)
    }

    /// A required field. A value that does not satisfy the condition is returned, with an error added.
    pub fn required_if<T: DeserializeOwned>(
        &self,
        key: &str,
        is_valid: impl Fn(&T) -> bool,
        reason: &str,
    ) -> Option<T> {
        let value = self.required(key)?;
        self.error_if(key, !is_valid(&value), reason);
        Some(value)
    }

    /// An optional field with a default.
    pub fn optional<T: DeserializeOwned>(&self, key: &str, default: T) -> Option<T> {
        match self.value(key) {
            None => Some(default),
            Some(value) => self.read(key, value),
        }
    }

    /// An optional field with its type's default.
    pub fn optional_or_default<T: DeserializeOwned + Default>(&self, key: &str) -> Option<T> {
        self.optional(key, T::default())
    }

    fn read<T: DeserializeOwned>(&self, key: &str, value: &Value) -> Option<T> {
        let read = T::deserialize(value);
        read.map_err(|error| self.error(key, error.to_string()))
            .ok()
    }

    /// The objects of an optional list.
    pub fn list<T>(&self, key: &str, read: impl Fn(Fields<'_>) -> Option<T>) -> Option<Vec<T>> {
        match self.value(key) {
            None => Some(Vec::new()),
            Some(value) => self.objects(key, value, read),
        }
    }

    /// The objects of a required list.
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
        let Some(items) = value.as_array() else {
            self.error(key, "must be a list");
            return None;
        };
        let read_item = |(index, item): (usize, &Value)| {
            let path = format!("{}[{index}]", self.path_of(key));
            read(Fields::new(item, &path, self.errors))
        };
        // Every item is read, so that all errors are found.
        let items: Vec<Option<T>> = items.iter().enumerate().map(read_item).collect();
        items.into_iter().collect()
    }

    /// An optional object; a missing one has no fields.
    pub fn object<T>(&self, key: &str, read: impl Fn(Fields<'_>) -> Option<T>) -> Option<T> {
        let path = self.path_of(key);
        match self.value(key) {
            None => read(Fields::absent(&path, self.errors)),
            Some(value) => read(Fields::new(value, &path, self.errors)),
        }
    }

    /// A required object.
    pub fn required_object<T>(
        &self,
        key: &str,
        read: impl Fn(Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        self.required_value(key)?;
        self.object(key, read)
    }
}
