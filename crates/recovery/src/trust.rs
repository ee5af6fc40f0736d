//! What is believed of what was known before, per kind, by age and by what has happened since.

use crate::config::Ages;
use crate::{Config, Kind, Memory, Millis, Verdict};

/// Whose memory it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    Own,
    /// Of another process, or of one that has been copied or put back: its boot number is not below the present one.
    Foreign,
}

pub(crate) fn owner(config: &Config, boot: u64, memory: &Memory) -> Owner {
    if memory.owner == config.name && memory.boot < boot {
        Owner::Own
    } else {
        Owner::Foreign
    }
}

/// How far a kind is believed. An age that is unknown counts as old, never as fresh.
pub(crate) fn judge(
    kind: Kind,
    owner: Owner,
    age: Option<Millis>,
    ages: &Ages,
) -> (Verdict, &'static str) {
    let within = |most: Millis| age.is_some_and(|age| age <= most);
    match (kind, owner) {
        (Kind::Counts, _) => (Verdict::Void, "no connection outlives its process"),
        (Kind::Placements | Kind::Overrides | Kind::Pace | Kind::Standing, Owner::Foreign) => {
            (Verdict::Void, "another process wrote it")
        }
        (Kind::List, _) if within(ages.list) => {
            (Verdict::Hint(1.0), "a starting point until one is told")
        }
        (Kind::List, _) => (Verdict::Hint(0.0), "old: only if nobody tells one"),
        (Kind::Drains, _) if within(ages.list) => {
            (Verdict::Holds, "until discovery says otherwise")
        }
        (Kind::Drains, _) => (Verdict::Hint(0.0), "old: only with the old list"),
        (Kind::Placements, _) if within(ages.placements) => {
            (Verdict::Holds, "but on servers that have started since")
        }
        (Kind::Placements, _) => (Verdict::Void, "old"),
        (Kind::Overrides, _) if age.is_some() => {
            (Verdict::Holds, "but those that ended in the dark")
        }
        (Kind::Overrides, _) => (
            Verdict::Hint(0.0),
            "ends can't be told: what takes a server out holds for a time",
        ),
        (Kind::Pace | Kind::Standing, _) => match age {
            Some(age) => (Verdict::Hint(faded(age, ages)), "it fades with time"),
            None => (Verdict::Void, "its age is unknown"),
        },
        (Kind::Former, _) if within(ages.former) => {
            (Verdict::Hint(1.0), "it tells how many will come")
        }
        (Kind::Former, _) => (Verdict::Hint(0.0), "old: only if nobody knows better"),
    }
}

/// The part of its weight that is left.
fn faded(age: Millis, ages: &Ages) -> f64 {
    (-(age as f64) / ages.fades as f64).exp2()
}
