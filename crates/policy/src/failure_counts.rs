//! Consecutive failures of each client key, which determine its backoff.

use std::collections::BTreeMap;

use crate::ids::ClientKey;
use crate::time::Nanos;

/// Failures of one client key.
struct FailureCount {
    count: u32,
    last_at: Nanos,
}

/// Failures by client key.
#[derive(Default)]
pub(crate) struct FailureCounts {
    by_key: BTreeMap<ClientKey, FailureCount>,
}

impl FailureCounts {
    pub(crate) fn get(&self, key: ClientKey) -> u32 {
        self.by_key.get(&key).map_or(0, |failures| failures.count)
    }

    pub(crate) fn increment(&mut self, now: Nanos, key: ClientKey) {
        let failures = self.by_key.entry(key).or_insert(FailureCount {
            count: 0,
            last_at: now,
        });
        failures.count += 1;
        failures.last_at = now;
    }

    /// Takes over a count over the whole fleet; 0 clears it.
    pub(crate) fn set(&mut self, now: Nanos, key: ClientKey, count: u32) {
        if count == 0 {
            self.clear(key);
        } else {
            self.by_key.insert(
                key,
                FailureCount {
                    count,
                    last_at: now,
                },
            );
        }
    }

    pub(crate) fn clear(&mut self, key: ClientKey) {
        self.by_key.remove(&key);
    }

    /// Drops the counts whose latest failure is at least `retention` ago.
    pub(crate) fn expire(&mut self, now: Nanos, retention: Nanos) {
        self.by_key
            .retain(|_, failures| now < failures.last_at.saturating_add(retention));
    }
}
