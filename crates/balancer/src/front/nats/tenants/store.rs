//! Access to the shared store, with a pause after each failed call.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use redis::{Connection, RedisError, RedisResult};
use tracing::{info, warn};

use super::{StoreError, lock};

/// Timeout of one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);

/// After a failed call the store is not called for this long, so that connections do not each wait
/// for it.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the store answered that it refuses writes.
fn is_write_refusal(error: &RedisError) -> bool {
    matches!(
        error.code(),
        Some("OOM" | "READONLY" | "MISCONF" | "NOREPLICAS")
    )
}

pub(super) struct Store {
    pub(super) client: redis::Client,
    pub(super) state: Mutex<StoreState>,
}

#[derive(Default)]
pub(super) struct StoreState {
    connection: Option<Connection>,
    pub(super) unavailable_until: Option<Instant>,
}

/// Result of a successful call.
pub(super) struct CallResult<T> {
    pub(super) value: T,
    /// Whether the call was made twice; the first one may have been executed.
    pub(super) was_retried: bool,
}

impl Store {
    pub(super) fn call<T>(
        &self,
        run: impl Fn(&mut Connection) -> RedisResult<T>,
    ) -> Result<T, StoreError> {
        self.attempt(run).map(|result| result.value)
    }

    /// Makes a call on the one connection, which is opened as needed. A connection that broke since
    /// the last call is opened again once, as after a restart of the store.
    pub(super) fn attempt<T>(
        &self,
        run: impl Fn(&mut Connection) -> RedisResult<T>,
    ) -> Result<CallResult<T>, StoreError> {
        let mut state = lock(&self.state);
        if state
            .unavailable_until
            .is_some_and(|until| Instant::now() < until)
        {
            return Err(StoreError::Unavailable);
        }
        let cached = state.connection.take();
        let was_cached = cached.is_some();
        let mut result = self.call_once(cached, &run);
        let was_retried =
            was_cached && result.as_ref().is_err_and(|error| !is_write_refusal(error));
        if was_retried {
            result = self.call_once(None, &run);
        }
        let is_unavailable = result.as_ref().is_err_and(|error| !is_write_refusal(error));
        if !is_unavailable && state.unavailable_until.take().is_some() {
            info!(part = "store", "the store is available again");
        }
        match result {
            Ok((value, connection)) => {
                state.connection = Some(connection);
                Ok(CallResult { value, was_retried })
            }
            // Reads must continue while the store is full.
            Err(_) if !is_unavailable => Err(StoreError::WritesRefused),
            Err(error) => {
                if state.unavailable_until.is_none() {
                    // Only the kind is logged: the error's text may quote what was sent to the
                    // store.
                    warn!(part = "store", why = ?error.kind(), "the store is unavailable");
                }
                state.unavailable_until = Some(Instant::now() + STORE_RETRY_INTERVAL);
                Err(StoreError::Unavailable)
            }
        }
    }

    fn call_once<T>(
        &self,
        cached: Option<Connection>,
        run: impl Fn(&mut Connection) -> RedisResult<T>,
    ) -> RedisResult<(T, Connection)> {
        let mut connection = match cached {
            Some(connection) => connection,
            None => self.client.get_connection_with_timeout(STORE_TIMEOUT)?,
        };
        connection.set_read_timeout(Some(STORE_TIMEOUT))?;
        connection.set_write_timeout(Some(STORE_TIMEOUT))?;
        let value = run(&mut connection)?;
        Ok((value, connection))
    }
}
