//! A server's effective entry: as listed, under overrides and site assessment.

use beaconflow_overrides::{Millis, ServerAdjustment};
use beaconflow_policy::{ServerEntry, ServerState};

/// The assessment of a server by the site's own evidence while the uplink is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteAssessment {
    /// Why it gets no new connections; `None` if it gets them.
    pub skip_reason: Option<String>,
    /// Factor on its weight.
    pub weight_factor: f64,
    /// When it restarted unlisted, in Unix milliseconds; 0 if it did not.
    pub restarted_at: Millis,
}

/// Time since which a server has been ready, from the previous value; `None` if it is not ready.
pub(super) fn ready_since(
    state: ServerState,
    previous: Option<Option<Millis>>,
    now: Millis,
) -> Option<Millis> {
    let is_ready = state == ServerState::Ready;
    is_ready.then(|| previous.map_or(0, |since| since.unwrap_or(now)))
}

/// A listed entry under overrides and site assessment. A missing weight counts as 1.
pub(super) fn effective_entry(
    listed: &ServerEntry,
    adjustment: ServerAdjustment,
    assessment: Option<&SiteAssessment>,
) -> ServerEntry {
    let mut entry = listed.clone();
    let site_factor = assessment.map_or(1.0, |assessment| assessment.weight_factor);
    let adjustment = ServerAdjustment {
        factor: adjustment.factor * site_factor,
        ..adjustment
    };
    let is_out =
        adjustment.is_out || assessment.is_some_and(|assessment| assessment.skip_reason.is_some());
    let restarted_at = assessment
        .map_or(0, |assessment| assessment.restarted_at)
        .saturating_mul(1_000_000);
    entry.started_at = entry.started_at.max(restarted_at);
    if is_out && entry.state == ServerState::Ready {
        entry.state = ServerState::OutOfService;
    }
    if !is_out && adjustment.factor != 1.0 {
        // An adjusted weight no longer tells the size of the machine type, so the server counts as
        // a type of its own.
        entry.machine_type = listed.name_hash;
        let weight = if entry.weight.is_finite() && entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
        entry.weight = weight * adjustment.factor;
        entry.target_weight = (adjustment.factor < adjustment.target_factor)
            .then_some(weight * adjustment.target_factor);
    }
    entry
}
