//! The newest known revision of each tenant.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::lock;
use super::record::{RecordState, Revision};

/// For this long after a revision was first seen, a read of a lower one is behind. After that it
/// shows that the store has lost data.
const STALE_READ_WINDOW: Duration = Duration::from_secs(60);

/// The known revisions by tenant. Only names that are stored have an entry.
#[derive(Default)]
pub(super) struct RevisionCache {
    known: Mutex<BTreeMap<String, KnownRevision>>,
}

/// A revision that this process has read or written.
struct KnownRevision {
    revision: Revision,
    first_seen_at: Instant,
    read_at: Instant,
}

impl KnownRevision {
    /// Whether a read of `read` is behind this revision.
    fn outranks(&self, read: &Revision) -> bool {
        self.revision.number > read.number && self.first_seen_at.elapsed() < STALE_READ_WINDOW
    }
}

impl RevisionCache {
    /// The known revision of a tenant, with the time since it was read.
    pub(super) fn get(&self, name: &str) -> Option<(Revision, Duration)> {
        lock(&self.known)
            .get(name)
            .map(|known| (known.revision.clone(), known.read_at.elapsed()))
    }

    /// Merges a revision that was read or written; returns the one that holds. A read that is
    /// behind does not replace a newer revision, whenever it was begun.
    pub(super) fn merge(&self, name: &str, revision: Revision) -> Revision {
        let now = Instant::now();
        let mut known = lock(&self.known);
        let mut first_seen_at = now;
        if let Some(previous) = known.get_mut(name) {
            if previous.outranks(&revision) {
                previous.read_at = now;
                return previous.revision.clone();
            }
            if previous.revision.number == revision.number {
                first_seen_at = previous.first_seen_at;
            }
        }
        if matches!(revision.state, RecordState::Absent) {
            known.remove(name);
        } else {
            let entry = KnownRevision {
                revision: revision.clone(),
                first_seen_at,
                read_at: now,
            };
            known.insert(name.to_owned(), entry);
        }
        revision
    }
}
