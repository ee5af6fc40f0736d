//! Revisions of a tenant's record.
//!
//! Every change adds a revision under a number that is used once. A write that arrives late or
//! twice therefore finds its number taken, or is superseded by a higher one, and a read that is
//! behind is recognised by its lower number.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Tenant;
use super::repository::CommittedRevisions;

/// A revision of a tenant's record. Revision 0 is a record from before revisions, or none at all.
#[derive(Clone)]
pub(super) struct Revision {
    pub(super) number: u64,
    pub(super) state: RecordState,
}

/// What a revision says of the tenant.
#[derive(Clone)]
pub(super) enum RecordState {
    /// Nothing is stored.
    Absent,
    /// The tenant exists.
    Active(Arc<Tenant>),
    /// The tenant was removed.
    Removed,
    /// Something is stored that can't be parsed.
    Unreadable,
}

/// The JSON of a revision.
#[derive(Serialize, Deserialize)]
struct StoredRevision {
    #[serde(default)]
    revision: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    removed: bool,
    #[serde(flatten)]
    tenant: Option<Tenant>,
}

impl RecordState {
    /// The tenant, if it exists.
    pub(super) fn tenant(&self) -> Option<Arc<Tenant>> {
        match self {
            RecordState::Active(tenant) => Some(Arc::clone(tenant)),
            RecordState::Absent | RecordState::Removed | RecordState::Unreadable => None,
        }
    }
}

impl Revision {
    /// Nothing is stored under the name.
    pub(super) const ABSENT: Revision = Revision {
        number: 0,
        state: RecordState::Absent,
    };

    /// Parses a revision from its JSON.
    fn parse(text: &str) -> Revision {
        let Ok(stored) = serde_json::from_str::<StoredRevision>(text) else {
            return Revision {
                number: 0,
                state: RecordState::Unreadable,
            };
        };
        let state = match stored.tenant {
            _ if stored.removed => RecordState::Removed,
            Some(tenant) => RecordState::Active(Arc::new(tenant)),
            None => RecordState::Unreadable,
        };
        Revision {
            number: stored.revision,
            state,
        }
    }

    /// The newest of the committed revisions and the published copy. Of two with one number the
    /// published copy counts: it may have been edited in place.
    pub(super) fn newest(published: Option<&str>, committed: &CommittedRevisions) -> Revision {
        let newest_committed = committed.last_key_value().map(|(number, text)| Revision {
            number: *number,
            ..Revision::parse(text)
        });
        let published = published.map(Revision::parse);
        match (published, newest_committed) {
            (Some(published), Some(committed)) if published.number >= committed.number => published,
            (_, Some(committed)) => committed,
            (published, None) => published.unwrap_or(Revision::ABSENT),
        }
    }

    /// The JSON of the revision.
    pub(super) fn to_json(&self) -> String {
        let tenant = self.state.tenant().map(|tenant| Tenant::clone(&tenant));
        let stored = StoredRevision {
            revision: self.number,
            removed: tenant.is_none(),
            tenant,
        };
        serde_json::to_string(&stored).expect("a record of texts and numbers is JSON")
    }
}
