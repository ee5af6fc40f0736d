//! Whether the wall clock can be believed. After a power loss it may have jumped back to 1970 or ahead by a year.

use std::collections::BTreeMap;

use crate::config::Ages;
use crate::{MS, Millis, Nanos};

/// What is known of the wall clock. Other clocks are kept as what they showed at moment 0 of the own monotonic one, so
/// that a step of the own clock changes none of them.
pub(crate) struct Clock {
    own: i64,
    written_at: Option<Millis>,
    others: BTreeMap<String, i64>,
    newest_start: Millis,
    judged: Option<Judged>,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Judged {
    /// Ages by it count.
    Sound(&'static str),
    /// Ages by it are unknown.
    Unknown(&'static str),
}

/// What a wall clock showed at moment 0.
fn base(now: Nanos, wall: Millis) -> i64 {
    i64::try_from(wall)
        .unwrap_or(i64::MAX)
        .saturating_sub((now / MS) as i64)
}

impl Clock {
    pub(crate) fn new(now: Nanos, wall: Millis, written_at: Option<Millis>) -> Clock {
        let own = base(now, wall);
        Clock {
            own,
            written_at,
            others: BTreeMap::new(),
            newest_start: 0,
            judged: None,
        }
    }

    /// Follows the own clock; says by how much it was stepped, if it was.
    pub(crate) fn look(&mut self, now: Nanos, wall: Millis, ages: &Ages) -> Option<i64> {
        let step = base(now, wall).saturating_sub(self.own);
        (step.unsigned_abs() > ages.tolerance).then(|| {
            self.own = self.own.saturating_add(step);
            step
        })
    }

    /// Another clock was told.
    pub(crate) fn told(&mut self, now: Nanos, whose: &str, wall: Millis) {
        self.others.insert(whose.to_string(), base(now, wall));
    }

    /// A server started then, by its own clock.
    pub(crate) fn started(&mut self, at: Millis) {
        self.newest_start = self.newest_start.max(at);
    }

    /// How much older something is by now than its wall time says; nothing if that can't be told.
    pub(crate) fn age(&self, now: Nanos, at: Millis) -> Option<Millis> {
        matches!(self.judged, Some(Judged::Sound(_))).then(|| self.wall(now).saturating_sub(at))
    }

    pub(crate) fn is_sound(&self) -> bool {
        matches!(self.judged, Some(Judged::Sound(_)))
    }

    /// What it shows.
    pub(crate) fn wall(&self, now: Nanos) -> Millis {
        u64::try_from(self.own.saturating_add((now / MS) as i64)).unwrap_or(0)
    }

    /// Judges anew; gives the judgement if it has changed.
    pub(crate) fn judge(&mut self, now: Nanos, ages: &Ages) -> Option<Judged> {
        let judged = self.judgement(now, ages);
        (self.judged != Some(judged)).then(|| {
            self.judged = Some(judged);
            judged
        })
    }

    /// Others' clocks go first, since they were not all dark; then what the own memory and the servers' starts allow.
    fn judgement(&self, now: Nanos, ages: &Ages) -> Judged {
        let wall = self.wall(now);
        let mut others: Vec<i64> = self.others.values().copied().collect();
        others.sort_unstable();
        if let Some(median) = others.get(others.len() / 2) {
            return if median.abs_diff(self.own) <= ages.tolerance {
                Judged::Sound("others' clocks agree")
            } else {
                Judged::Unknown("others' clocks disagree")
            };
        }
        if self.newest_start > wall.saturating_add(ages.tolerance) {
            return Judged::Unknown("a server started later than now");
        }
        match self.written_at {
            Some(at) if wall.saturating_add(ages.tolerance) < at => {
                Judged::Unknown("memory was written later than now")
            }
            Some(at) if wall.saturating_sub(at) > ages.longest_dark => {
                Judged::Unknown("memory says that it was dark for too long to be believed")
            }
            Some(_) => Judged::Sound("it goes on from where memory was written"),
            None => Judged::Unknown("no other clock confirms it"),
        }
    }
}
