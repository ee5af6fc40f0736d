//! A value of which only the latest counts, handed from one thread to another.

use std::sync::{Arc, Mutex, PoisonError};

/// Holds the latest value until it is taken. A sender that is faster than the receiver replaces
/// values instead of queueing them.
#[derive(Debug)]
pub struct Latest<T>(Arc<Mutex<Option<T>>>);

impl<T> Latest<T> {
    /// Replaces the value; returns whether there was none, so that the receiver has to be told.
    pub fn replace(&self, value: T) -> bool {
        // A plain value is valid even if a thread panicked while holding the lock.
        let mut latest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        latest.replace(value).is_none()
    }

    /// Takes the value, if there is a new one.
    pub fn take(&self) -> Option<T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl<T> Clone for Latest<T> {
    fn clone(&self) -> Latest<T> {
        Latest(Arc::clone(&self.0))
    }
}

impl<T> Default for Latest<T> {
    fn default() -> Latest<T> {
        Latest(Arc::default())
    }
}
