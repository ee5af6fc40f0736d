//! Overrides made on both sides of a lost link, put together by rules.
//!
//! | on one side | on the other | what holds |
//! | --- | --- | --- |
//! | an override | the same, unchanged | it |
//! | removed | changed, or as it was | it is removed |
//! | changed | changed otherwise | the later record; of two at once the one that ends sooner |
//! | its end is past | anything but a later record | it has ended |
//! | made there, for a server of that side | nothing | it |
//! | made there, for a server of the other side | anything | nothing: it could not be decided there |
//! | `out` of a server | another weight of it | both; `out` shadows the weight |
//! | two of one kind for one server or subject | | both; the one made later shadows the other |
//!
//! Nobody is moved by any of it, but by an `out` that says so, at its own rate.

use std::collections::BTreeMap;

use crate::Millis;

/// What an override does, as far as the rules ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverrideKind {
    /// A new weight of a server.
    Weight,
    /// A server gets nothing new.
    Out,
    /// A group or tenant goes to a server.
    Pin,
}

/// An override as one side has it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OverrideRecord {
    /// Its name, the same on both sides.
    pub id: String,
    /// What it is about: the server for a weight or `out`, the group or tenant for a pin.
    pub subject: String,
    /// What it does.
    pub kind: OverrideKind,
    /// The site where it was made; empty where it was made before the link was lost.
    pub origin_site: String,
    /// The site of the server that it names.
    pub server_site: String,
    /// When it was made.
    pub created_at: Millis,
    /// When it was last changed.
    pub changed_at: Millis,
    /// When it ends.
    pub expires_at: Millis,
    /// Whether it was removed.
    pub is_removed: bool,
}

/// What comes of both sides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedOverrides {
    /// All that go on, by their names.
    pub active: Vec<OverrideRecord>,
    /// Those of them that another one shadows, and which one does.
    pub shadowed: Vec<(String, String)>,
    /// Those that do not go on, and why.
    pub dropped: Vec<(OverrideRecord, &'static str)>,
}

/// Puts the overrides of an island and those from outside together. Which side is named first makes no difference.
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

/// Which of two states of one override holds.
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
        return Some("it was removed on one side");
    }
    if record.expires_at <= now {
        return Some("its time is up");
    }
    let is_foreign = !record.origin_site.is_empty() && record.origin_site != record.server_site;
    is_foreign.then_some("it was made on an island for a server beyond it")
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
