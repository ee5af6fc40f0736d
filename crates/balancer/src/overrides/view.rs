//! Overrides as they are shown, and the servers that they leave ready.

use std::collections::HashMap;

use beaconflow_overrides::{
    CoverageGaps, Effect, Listed, Millis, Override, OverrideSet, find_coverage_gaps,
    with_clock_offset,
};
use beaconflow_policy::ServerState;

use super::OverrideState;
use crate::core::CoreSnapshot;

/// An override as it is shown, with times of the wall clock.
#[derive(Clone, Debug)]
pub struct OverrideView {
    /// The override.
    pub record: Override,
    /// Remaining time, in milliseconds.
    pub remaining_ms: Millis,
    /// Its effect at each front.
    pub effects: Vec<(&'static str, Effect)>,
}

/// A front's servers as listed, without overrides.
pub(super) struct ListedServers {
    front: &'static str,
    states: HashMap<String, ServerState>,
}

impl ListedServers {
    /// The servers of a core's snapshot; empty if it gave none.
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

/// An override as it is shown at a time.
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

/// Fronts and zones that a new override leaves without a ready server.
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

/// What the overrides leave of each front's ready servers.
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
