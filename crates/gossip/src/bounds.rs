//! How much is kept of each kind, how long, and how it fades.

use crate::Millis;
use crate::fact::Kind;

/// The bound of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Most bytes, with what each fact costs beside its record.
    pub bytes: usize,
    /// No fact of the kind is good, or kept, for longer than this, whatever it says itself.
    pub longest: Millis,
}

/// The bounds of all kinds.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// By kind, in the order of [`Kind::ALL`].
    pub kinds: [Bound; Kind::ALL.len()],
    /// Most facts that are told as rumours at once. What is heard beyond them is left to the pages.
    pub gossiped_facts: usize,
    /// Evidence on a server counts for half after so long.
    pub evidence_half: Millis,
    /// No process's evidence on a server counts for more than this.
    pub evidence_most: f64,
    /// Evidence that counts for less than this in all says nothing.
    pub evidence_thin: f64,
    /// What was sent to a cold server counts for half after so long.
    pub slow_start_half_life: Millis,
    /// Drawn anew at each start. Guards against client keys chosen to meet in the table.
    pub seed: u64,
}

const MINUTE: Millis = 60_000;
const HOUR: Millis = 60 * MINUTE;

impl Default for Bounds {
    fn default() -> Bounds {
        let of = |kind| {
            let (bytes, longest) = match kind {
                Kind::Listed => (8 << 20, 7 * 24 * HOUR),
                Kind::List | Kind::Configuration => (1 << 20, 24 * HOUR),
                Kind::Standing | Kind::ColdSent => (8 << 20, 10 * MINUTE),
                Kind::Failures => (16 << 20, 10 * MINUTE),
                Kind::Placement => (320 << 20, 24 * HOUR),
                Kind::Override => (16 << 20, 8 * 24 * HOUR),
                Kind::Unknown => (8 << 20, 24 * HOUR),
            };
            Bound { bytes, longest }
        };
        Bounds {
            kinds: Kind::ALL.map(of),
            gossiped_facts: 4_096,
            evidence_half: 15_000,
            evidence_most: 4.0,
            evidence_thin: 0.5,
            slow_start_half_life: 10_000,
            seed: 0,
        }
    }
}

impl Bounds {
    /// The bound of that kind.
    pub fn of(&self, kind: Kind) -> Bound {
        self.kinds[kind as usize]
    }

    /// The bound of that kind, to be changed.
    pub fn of_mut(&mut self, kind: Kind) -> &mut Bound {
        &mut self.kinds[kind as usize]
    }
}
