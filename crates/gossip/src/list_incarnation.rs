//! Which life of discovery a list belongs to.

use crate::Millis;
use crate::fact::{ListVersion, Position};

/// Clocks of two processes may differ by so much, and a list may be under way for so long.
pub const SKEW: Millis = 10_000;

/// A list as discovery has just told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListAnnouncement {
    /// Its generation.
    pub generation: u64,
    /// A digest of all that it says, without addresses, the same at all processes.
    pub digest: u64,
    /// Whether it was told whole, not as changes.
    pub complete_list: bool,
}

/// What is known of a list that a process holds, and when that was witnessed.
pub(crate) struct KnownList {
    pub list: ListVersion,
    pub observed_at: Millis,
}

/// The life of a list that was told now: see the crate's page.
pub(crate) fn list_incarnation(
    own: Option<Position>,
    announcement: ListAnnouncement,
    known: &[KnownList],
    now: Millis,
) -> u64 {
    let own_life = own.map_or(0, |own| own.incarnation);
    let same = |known: &&KnownList| {
        known.list.position.generation == announcement.generation
            && known.list.digest == announcement.digest
    };
    let joined = known
        .iter()
        .filter(same)
        .map(|known| known.list.position.incarnation)
        .max();
    if let Some(life) = joined.filter(|life| *life > own_life) {
        return life;
    }
    let highest = known
        .iter()
        .max_by_key(|known| (known.list.position, known.observed_at));
    let beyond = highest.filter(|known| own.is_none_or(|own| known.list.position > own));
    let mut life = own_life.max(1);
    if let Some(known) = beyond.filter(|_| announcement.complete_list || own.is_none()) {
        let Position {
            incarnation: other,
            generation,
        } = known.list.position;
        let long_ago = known.observed_at.saturating_add(SKEW) < now;
        life = if announcement.generation < generation && long_ago {
            other + 1
        } else {
            other
        };
    }
    // The own watch saw the count begin anew; no clock is compared.
    let anew = own
        .is_some_and(|own| announcement.complete_list && announcement.generation < own.generation);
    if anew { life.max(own_life + 1) } else { life }
}
