//! Which life of discovery a list belongs to.

use crate::Millis;
use crate::fact::{Held, Position};

/// Clocks of two processes may differ by so much, and a list may be under way for so long.
pub const SKEW: Millis = 10_000;

/// A list as discovery has just told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// Its generation.
    pub generation: u64,
    /// A digest of all that it says, without addresses, the same at all processes.
    pub digest: u64,
    /// Whether it was told whole, not as changes.
    pub complete_list: bool,
}

/// What is known of a list that a process holds, and when that was witnessed.
pub(crate) struct Known {
    pub held: Held,
    pub witnessed: Millis,
}

/// The life of a list that was told now: see the crate's page.
pub(crate) fn judge(own: Option<Position>, told: Told, known: &[Known], now: Millis) -> u64 {
    let own_life = own.map_or(0, |own| own.life);
    let same = |known: &&Known| {
        known.held.position.generation == told.generation && known.held.digest == told.digest
    };
    let joined = known
        .iter()
        .filter(same)
        .map(|known| known.held.position.life)
        .max();
    if let Some(life) = joined.filter(|life| *life > own_life) {
        return life;
    }
    let highest = known
        .iter()
        .max_by_key(|known| (known.held.position, known.witnessed));
    let beyond = highest.filter(|known| own.is_none_or(|own| known.held.position > own));
    let mut life = own_life.max(1);
    if let Some(known) = beyond.filter(|_| told.complete_list || own.is_none()) {
        let Position {
            life: other,
            generation,
        } = known.held.position;
        let long_ago = known.witnessed.saturating_add(SKEW) < now;
        life = if told.generation < generation && long_ago {
            other + 1
        } else {
            other
        };
    }
    // The own watch saw the count begin anew; no clock is compared.
    let anew = own.is_some_and(|own| told.complete_list && told.generation < own.generation);
    if anew { life.max(own_life + 1) } else { life }
}
