//! Start-time fair queueing among a fixed set of members: who has waited longest for its share has the next turn.

use std::collections::BTreeSet;

/// A start tag as an ordered number: tags are finite and not below 0, so that their bits keep the order.
type Tag = u64;

/// Members that share turns by their weights. One that was idle gets its share from its return on, and neither more nor
/// less: its turns begin at the present, not where it left off.
pub(crate) struct Fair {
    weights: Vec<f64>,
    /// When each member's turns so far end, in virtual time.
    ends: Vec<f64>,
    /// Those that wait, by when their next turn begins.
    waiting: BTreeSet<(Tag, usize)>,
    starts: Vec<Option<f64>>,
    now: f64,
}

impl Fair {
    pub(crate) fn new(weights: Vec<f64>) -> Fair {
        let count = weights.len();
        Fair {
            weights,
            ends: vec![0.0; count],
            waiting: BTreeSet::new(),
            starts: vec![None; count],
            now: 0.0,
        }
    }

    /// The member wants turns, if it did not yet.
    pub(crate) fn wants(&mut self, member: usize) {
        if self.starts[member].is_none() {
            let start = self.ends[member].max(self.now);
            self.starts[member] = Some(start);
            self.waiting.insert((start.to_bits(), member));
        }
    }

    /// The member wants no more turns.
    pub(crate) fn rests(&mut self, member: usize) {
        if let Some(start) = self.starts[member].take() {
            self.waiting.remove(&(start.to_bits(), member));
        }
    }

    /// Whose turn it is.
    pub(crate) fn next(&self) -> Option<usize> {
        self.waiting.first().map(|(_, member)| *member)
    }

    /// The member takes a turn; it goes on wanting.
    pub(crate) fn takes(&mut self, member: usize) {
        let Some(start) = self.starts[member] else { return };
        self.waiting.remove(&(start.to_bits(), member));
        self.now = self.now.max(start);
        let end = start + 1.0 / self.weights[member];
        self.ends[member] = end;
        self.starts[member] = Some(end);
        self.waiting.insert((end.to_bits(), member));
        if self.waiting.len() == 1 {
            self.begin_anew(member);
        }
    }

    /// Guards against tags that grow until a turn no longer changes them: a member that waits alone owes nobody.
    fn begin_anew(&mut self, member: usize) {
        const LARGE: f64 = 1e9;
        if self.now < LARGE {
            return;
        }
        self.waiting.clear();
        self.ends.fill(0.0);
        self.now = 0.0;
        self.starts[member] = Some(0.0);
        self.waiting.insert((0, member));
    }
}
