//! Audit log of override changes.

use beaconflow_overrides::{Millis, Override};
use tracing::info;

/// Logs what happened to an override, with its author and reason.
pub(super) fn audit(what: &str, record: &Override, now: Millis) {
    info!(
        part = "audit",
        id = record.id.0,
        kind = record.kind.name(),
        server = record.kind.server(),
        remaining_s = record.ends_at().saturating_sub(now) / 1_000,
        revision = record.revision,
        forced = record.forced,
        who = record.who,
        why = record.why,
        "override {what}"
    );
}
