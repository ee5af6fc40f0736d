//! Views of overrides, and the check that a change leaves ready servers.

use std::collections::HashMap;

use beaconflow_overrides::{
    CoverageGaps, Effect, Listed, Millis, Override, OverrideSet, find_coverage_gaps,
    with_clock_offset,
};
use beaconflow_policy::ServerState;

use super::OverrideState;
use crate::core::CoreSnapshot;

/// A view of an override, with times on the wall clock.
#[derive(Clone, Debug)]
pub struct OverrideView {
    /// The override, with its times on the wall clock.
    pub record: Override,
    /// Time until it ends, in milliseconds; 0 once it has ended.
    pub remaining_ms: Millis,
    /// Its effect at each front, by the front's name.
    pub effects: Vec<(&'static str, Effect)>,
}

/// Listed states of a front's servers, without the effect of overrides.
pub(super) struct ListedServers {
    front: &'static str,
    states: HashMap<String, ServerState>,
}

impl ListedServers {
    /// The servers in a core's snapshot; empty without a snapshot.
    pub(super) fn from_snapshot(
        front: &'static str,
        snapshot: Option<CoreSnapshot>,
    ) -> ListedServers {
        let servers = snapshot.into_iter().flat_map(|snapshot| snapshot.servers);
        ListedServers {
            front,
            states: servers
                .map(|server| (server.name, server.state.0))
                .collect(),
        }
    }

    fn listed(&self, server: &str) -> Listed {
        match self.states.get(server) {
            Some(ServerState::Ready | ServerState::OutOfService) => Listed::Ready,
            Some(ServerState::Draining) => Listed::Draining,
            Some(ServerState::Removed) | None => Listed::Absent,
        }
    }
}

/// The view of an override at a point in time.
pub(super) fn view_of(
    state: &OverrideState,
    record: &Override,
    fronts: &[ListedServers],
    now: Millis,
) -> OverrideView {
    let effect = |servers: &ListedServers| {
        let listed = servers.listed(record.kind.server());
        (
            servers.front,
            state
                .set
                .effect(record.id, listed, now)
                .unwrap_or(Effect::Ended),
        )
    };
    OverrideView {
        remaining_ms: record.ends_at().saturating_sub(now),
        effects: fronts.iter().map(effect).collect(),
        record: with_clock_offset(record, state.clock_steps.ahead_by_ms()),
    }
}

/// Fronts, with their zones, that a new override would leave without a ready server. Existing gaps
/// are not included.
pub(super) fn fronts_left_empty(
    set: &mut OverrideSet,
    record: &Override,
    snapshots: &[(&'static str, Option<CoreSnapshot>)],
    now: Millis,
) -> Vec<(&'static str, CoverageGaps)> {
    let before = coverage_by_front(set, snapshots, now);
    set.insert(record.clone());
    let after = coverage_by_front(set, snapshots, now);
    set.discard(record.id);
    let new_gaps = after
        .iter()
        .zip(&before)
        .map(|(after, before)| after.new_since(before));
    let fronts = snapshots.iter().map(|(front, _)| *front);
    fronts
        .zip(new_gaps)
        .filter(|(_, gaps)| !gaps.is_empty())
        .collect()
}

/// Gaps in the coverage of each front's ready servers under the overrides.
fn coverage_by_front(
    set: &OverrideSet,
    snapshots: &[(&'static str, Option<CoreSnapshot>)],
    now: Millis,
) -> Vec<CoverageGaps> {
    let at_front = |snapshot: &Option<CoreSnapshot>| {
        let servers = snapshot.iter().flat_map(|snapshot| &snapshot.servers);
        let ready = servers.filter(|server| server.state.0 == ServerState::Ready);
        find_coverage_gaps(
            ready.map(|server| (server.name.as_str(), server.zone.as_str())),
            set,
            now,
        )
    };
    snapshots
        .iter()
        .map(|(_, snapshot)| at_front(snapshot))
        .collect()
}
