//! Audit events: who did what.

use beaconflow_overrides::{Millis, Override};
use tracing::info;

/// Writes an audit event.
pub(super) fn audit(what: &str, one: &Override, now: Millis) {
    info!(
        part = "audit",
        id = one.id.0,
        kind = one.kind.name(),
        server = one.kind.server(),
        remaining_s = one.ends_at().saturating_sub(now) / 1_000,
        revision = one.revision,
        forced = one.forced,
        who = one.who,
        why = one.why,
        "override {what}"
    );
}
