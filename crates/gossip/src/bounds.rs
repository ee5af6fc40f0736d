//! How much is kept of each kind, how long, and how it fades.

use crate::Millis;
use crate::fact::FactKind;

/// The bound of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindBounds {
    /// Most bytes, with what each fact costs beside its record.
    pub max_bytes: usize,
    /// No fact of the kind is good, or kept, for longer than this, whatever it says itself.
    pub max_lifetime_ms: Millis,
}

/// The bounds of all kinds.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// By kind, in the order of [`FactKind::ALL`].
    pub by_kind: [KindBounds; FactKind::ALL.len()],
    /// Most facts that are told as rumours at once. What is heard beyond them is left to the pages.
    pub max_gossiped_facts: usize,
    /// Evidence on a server counts for half after so long.
    pub evidence_half_life_ms: Millis,
    /// No process's evidence on a server counts for more than this.
    pub max_evidence_weight: f64,
    /// Evidence that counts for less than this in all says nothing.
    pub min_evidence_weight: f64,
    /// What was sent to a cold server counts for half after so long.
    pub slow_start_half_life_ms: Millis,
    /// Drawn anew at each start. Guards against client keys chosen to meet in the table.
    pub hash_seed: u64,
}

const MINUTE: Millis = 60_000;
const HOUR: Millis = 60 * MINUTE;

impl Default for Bounds {
    fn default() -> Bounds {
        let of = |kind| {
            let (max_bytes, max_lifetime_ms) = match kind {
                FactKind::ServerEntry => (8 << 20, 7 * 24 * HOUR),
                FactKind::ListVersion | FactKind::Configuration => (1 << 20, 24 * HOUR),
                FactKind::ServerEvidence | FactKind::SlowStartSends => (8 << 20, 10 * MINUTE),
                FactKind::PlacementFailures => (16 << 20, 10 * MINUTE),
                FactKind::Placement => (320 << 20, 24 * HOUR),
                FactKind::Override => (16 << 20, 8 * 24 * HOUR),
                FactKind::Unknown => (8 << 20, 24 * HOUR),
            };
            KindBounds {
                max_bytes,
                max_lifetime_ms,
            }
        };
        Bounds {
            by_kind: FactKind::ALL.map(of),
            max_gossiped_facts: 4_096,
            evidence_half_life_ms: 15_000,
            max_evidence_weight: 4.0,
            min_evidence_weight: 0.5,
            slow_start_half_life_ms: 10_000,
            hash_seed: 0,
        }
    }
}

impl Bounds {
    /// The bound of that kind.
    pub fn of_kind(&self, kind: FactKind) -> KindBounds {
        self.by_kind[kind as usize]
    }

    /// The bound of that kind, to be changed.
    pub fn of_kind_mut(&mut self, kind: FactKind) -> &mut KindBounds {
        &mut self.by_kind[kind as usize]
    }
}
