//! Rules for merging overrides that were made on both sides of a lost uplink.
//!
//! | one side | other side | result |
//! | --- | --- | --- |
//! | an override | the same, unchanged | kept |
//! | removed | changed or unchanged | removed |
//! | changed | changed differently | the later change; of two at the same time, the one that expires sooner |
//! | expired | anything but a later change | expired |
//! | made there, for a server of that side | absent | kept |
//! | made there, for a server of the other side | anything | dropped: that side could not decide it |
//! | `out` of a server | another weight of it | both are kept; `out` shadows the weight |
//! | two of one kind for one server or subject | | both are kept; the later one shadows the other |
//!
//! Merging migrates no client, except by an `out` that asks for it, at the rate of that override.

use std::collections::BTreeMap;

use crate::Millis;

/// Effect of an override, as far as the rules distinguish it. Variants are in ascending order of
/// precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverrideKind {
    /// Sets the weight of a server.
    Weight,
    /// Sends no new work to a server.
    Out,
    /// Pins a group or tenant to a server.
    Pin,
}

/// An override as stored on one side.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OverrideRecord {
    /// Identifier, the same on both sides.
    pub id: String,
    /// Subject: the server for a weight or `out`, the group or tenant for a pin.
    pub subject: String,
    /// Effect of the override.
    pub kind: OverrideKind,
    /// Site where it was made; empty if it was made before the uplink was lost.
    pub origin_site: String,
    /// Site of the server that it names.
    pub server_site: String,
    /// When it was made.
    pub created_at: Millis,
    /// When it was last changed.
    pub changed_at: Millis,
    /// When it expires.
    pub expires_at: Millis,
    /// Whether it was removed.
    pub is_removed: bool,
}

/// Result of a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedOverrides {
    /// Overrides that stay in effect, ordered by identifier.
    pub active: Vec<OverrideRecord>,
    /// Pairs of identifiers: a shadowed override and the one that shadows it.
    pub shadowed: Vec<(String, String)>,
    /// Overrides that are dropped, and the reasons.
    pub dropped: Vec<(OverrideRecord, &'static str)>,
}

/// Merges the overrides of an isolated site with those from outside. The order of the arguments
/// does not matter.
pub fn merge_overrides(
    left: &[OverrideRecord],
    right: &[OverrideRecord],
    now: Millis,
) -> MergedOverrides {
    let mut by_id: BTreeMap<&str, OverrideRecord> = BTreeMap::new();
    for record in left.iter().chain(right) {
        by_id
            .entry(&record.id)
            .and_modify(|known| *known = newer(known, record))
            .or_insert_with(|| record.clone());
    }
    let mut merged = MergedOverrides::default();
    for record in by_id.into_values() {
        match drop_reason(&record, now) {
            Some(reason) => merged.dropped.push((record, reason)),
            None => merged.active.push(record),
        }
    }
    merged.shadowed = find_shadowed(&merged.active);
    merged
}

/// The version of one override that is kept.
fn newer(left: &OverrideRecord, right: &OverrideRecord) -> OverrideRecord {
    let order = |record: &OverrideRecord| {
        (
            record.is_removed,
            record.changed_at,
            std::cmp::Reverse(record.expires_at),
        )
    };
    let ordering = order(left).cmp(&order(right)).then_with(|| left.cmp(right));
    if ordering.is_lt() {
        right.clone()
    } else {
        left.clone()
    }
}

fn drop_reason(record: &OverrideRecord, now: Millis) -> Option<&'static str> {
    if record.is_removed {
        return Some("the override was removed on one side");
    }
    if record.expires_at <= now {
        return Some("the override has expired");
    }
    let is_foreign = !record.origin_site.is_empty() && record.origin_site != record.server_site;
    is_foreign.then_some("the override was made in an isolated site for a server of another site")
}

fn find_shadowed(active: &[OverrideRecord]) -> Vec<(String, String)> {
    let mut by_subject: BTreeMap<(bool, &str), Vec<&OverrideRecord>> = BTreeMap::new();
    for record in active {
        by_subject
            .entry((record.kind == OverrideKind::Pin, &record.subject))
            .or_default()
            .push(record);
    }
    let mut shadowed = Vec::new();
    for overrides in by_subject.values() {
        let Some(winner) = overrides
            .iter()
            .max_by_key(|record| (record.kind, record.created_at, &record.id))
        else {
            continue;
        };
        let losers = overrides.iter().filter(|record| record.id != winner.id);
        shadowed.extend(losers.map(|record| (record.id.clone(), winner.id.clone())));
    }
    shadowed.sort();
    shadowed
}
