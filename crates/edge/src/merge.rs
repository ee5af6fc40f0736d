//! Overrides made on both sides of a lost link, put together by rules.
//!
//! | on one side | on the other | what holds |
//! | --- | --- | --- |
//! | an override | the same, unchanged | it |
//! | removed | changed, or as it was | it is removed |
//! | changed | changed otherwise | the later change; of two at once the one that ends sooner |
//! | its end is past | anything but a later change | it has ended |
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
pub enum Doing {
    /// A new weight of a server.
    Weight,
    /// A server gets nothing new.
    Out,
    /// A group or tenant goes to a server.
    Pin,
}

/// An override as one side has it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    /// Its name, the same on both sides.
    pub id: String,
    /// What it is about: the server for a weight or `out`, the group or tenant for a pin.
    pub subject: String,
    /// What it does.
    pub doing: Doing,
    /// The site where it was made; empty where it was made before the link was lost.
    pub made_in: String,
    /// The site of the server that it names.
    pub server_site: String,
    /// When it was made.
    pub made_at: Millis,
    /// When it was last changed.
    pub changed_at: Millis,
    /// When it ends.
    pub ends_at: Millis,
    /// Whether it was removed.
    pub removed: bool,
}

/// What comes of both sides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedOverrides {
    /// All that go on, by their names.
    pub hold: Vec<Change>,
    /// Those of them that another one shadows, and which one does.
    pub shadowed: Vec<(String, String)>,
    /// Those that do not go on, and why.
    pub dropped: Vec<(Change, &'static str)>,
}

/// Puts the overrides of an island and those from outside together. Which side is named first makes no difference.
pub fn merge_overrides(one: &[Change], other: &[Change], now: Millis) -> MergedOverrides {
    let mut by_id: BTreeMap<&str, Change> = BTreeMap::new();
    for change in one.iter().chain(other) {
        by_id
            .entry(&change.id)
            .and_modify(|known| *known = later(known, change))
            .or_insert_with(|| change.clone());
    }
    let mut merged = MergedOverrides::default();
    for change in by_id.into_values() {
        match refused(&change, now) {
            Some(why) => merged.dropped.push((change, why)),
            None => merged.hold.push(change),
        }
    }
    merged.shadowed = shadowed(&merged.hold);
    merged
}

/// Which of two states of one override holds.
fn later(one: &Change, other: &Change) -> Change {
    let order = |change: &Change| {
        (
            change.removed,
            change.changed_at,
            std::cmp::Reverse(change.ends_at),
        )
    };
    let first = order(one).cmp(&order(other)).then_with(|| one.cmp(other));
    if first.is_lt() {
        other.clone()
    } else {
        one.clone()
    }
}

fn refused(change: &Change, now: Millis) -> Option<&'static str> {
    if change.removed {
        return Some("it was removed on one side");
    }
    if change.ends_at <= now {
        return Some("its time is up");
    }
    let foreign = !change.made_in.is_empty() && change.made_in != change.server_site;
    foreign.then_some("it was made on an island for a server beyond it")
}

fn shadowed(hold: &[Change]) -> Vec<(String, String)> {
    let mut by_subject: BTreeMap<(bool, &str), Vec<&Change>> = BTreeMap::new();
    for change in hold {
        by_subject
            .entry((change.doing == Doing::Pin, &change.subject))
            .or_default()
            .push(change);
    }
    let mut shadowed = Vec::new();
    for of_one in by_subject.values() {
        let Some(winner) = of_one
            .iter()
            .max_by_key(|one| (one.doing, one.made_at, &one.id))
        else {
            continue;
        };
        let losers = of_one.iter().filter(|one| one.id != winner.id);
        shadowed.extend(losers.map(|one| (one.id.clone(), winner.id.clone())));
    }
    shadowed.sort();
    shadowed
}
