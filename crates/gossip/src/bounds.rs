//! Limits on memory and lifetime per fact kind, and decay of evidence.

use crate::Millis;
use crate::fact::FactKind;

/// Limits of one fact kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindBounds {
    /// Most memory for facts of the kind, including the bookkeeping overhead of each fact.
    pub max_bytes: usize,
    /// No fact of the kind is valid or kept for longer than this, whatever validity its record claims.
    pub max_lifetime_ms: Millis,
}

/// Limits of all fact kinds, and parameters of evidence decay and hashing.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Limits by kind, in the order of [`FactKind::ALL`].
    pub by_kind: [KindBounds; FactKind::ALL.len()],
    /// Most facts gossiped at once. Facts received beyond that spread by anti-entropy pages only.
    pub max_gossiped_facts: usize,
    /// Time after which evidence on a server counts for half.
    pub evidence_half_life_ms: Millis,
    /// Upper limit on the weight of one process's evidence on a server.
    pub max_evidence_weight: f64,
    /// A total weight of evidence below this yields no assessment.
    pub min_evidence_weight: f64,
    /// Time after which a send to a server in slow start counts for half.
    pub slow_start_half_life_ms: Millis,
    /// Seed of the hash table, to be chosen at random at each start. Prevents client keys that are crafted to collide.
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
    /// Limits of one kind.
    pub fn of_kind(&self, kind: FactKind) -> KindBounds {
        self.by_kind[kind as usize]
    }

    /// Mutable limits of one kind.
    pub fn of_kind_mut(&mut self, kind: FactKind) -> &mut KindBounds {
        &mut self.by_kind[kind as usize]
    }
}
