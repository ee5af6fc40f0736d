//! Access to the shared store, and what is done while it is out of reach.

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
fn takes_nothing(error: &RedisError) -> bool {
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
    pub(super) away_until: Option<Instant>,
}

/// Result of a call.
pub(super) struct Done<T> {
    pub(super) value: T,
    /// Whether it was made twice; the first one may have been executed.
    pub(super) again: bool,
}

impl Store {
    pub(super) fn call<T>(
        &self,
        run: impl Fn(&mut Connection) -> RedisResult<T>,
    ) -> Result<T, StoreError> {
        self.attempt(run).map(|done| done.value)
    }

    /// Makes a call on the one connection, which is opened as needed. A connection that broke since
    /// the last call is opened again once, as after a restart of the store.
    pub(super) fn attempt<T>(
        &self,
        run: impl Fn(&mut Connection) -> RedisResult<T>,
    ) -> Result<Done<T>, StoreError> {
        let mut state = lock(&self.state);
        if state.away_until.is_some_and(|until| Instant::now() < until) {
            return Err(StoreError::Away);
        }
        let cached = state.connection.take();
        let was_kept = cached.is_some();
        let mut done = self.once(cached, &run);
        let again = was_kept && done.as_ref().is_err_and(|error| !takes_nothing(error));
        if again {
            done = self.once(None, &run);
        }
        let is_away = done.as_ref().is_err_and(|error| !takes_nothing(error));
        if !is_away && state.away_until.take().is_some() {
            info!(part = "store", "back");
        }
        match done {
            Ok((value, connection)) => {
                state.connection = Some(connection);
                Ok(Done { value, again })
            }
            // Reads must continue while the store is full.
            Err(_) if !is_away => Err(StoreError::TakesNothing),
            Err(error) => {
                if state.away_until.is_none() {
                    // The kind alone: an error's text may quote what was sent to the store.
                    warn!(part = "store", why = ?error.kind(), "away");
                }
                state.away_until = Some(Instant::now() + STORE_RETRY_INTERVAL);
                Err(StoreError::Away)
            }
        }
    }

    fn once<T>(
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
