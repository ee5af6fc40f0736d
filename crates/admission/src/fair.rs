//! Start-time fair queueing among members: who has waited longest for its share has the next turn.

use std::collections::BTreeSet;

/// A start tag as an ordered number: tags are finite and not below 0, so that their bits keep the order.
type Tag = u64;

/// Members that share turns by their weights. One that was idle gets its share from its return on, and neither more nor
/// less: its turns begin at the present, not where it left off.
pub(crate) struct Fair {
    members: Vec<Member>,
    /// Those that wait, by when their next turn begins.
    waiting: BTreeSet<(Tag, usize)>,
    now: f64,
}

struct Member {
    weight: f64,
    /// When its turns so far end, in virtual time.
    end: f64,
    /// When its next turn begins, while it waits.
    start: Option<f64>,
}

impl Fair {
    pub(crate) fn new(weights: &[f64]) -> Fair {
        let mut fair = Fair {
            members: Vec::new(),
            waiting: BTreeSet::new(),
            now: 0.0,
        };
        weights.iter().for_each(|weight| fair.join(*weight));
        fair
    }

    /// One member more.
    pub(crate) fn join(&mut self, weight: f64) {
        self.members.push(Member {
            weight,
            end: 0.0,
            start: None,
        });
    }

    /// Its turns are this wide from the next one on.
    pub(crate) fn weigh(&mut self, member: usize, weight: f64) {
        self.members[member].weight = weight;
    }

    /// Whether a member that rests has had no turn that reaches into the future: what it had is forgotten without a
    /// gain to whoever takes its place.
    pub(crate) fn is_square(&self, member: usize) -> bool {
        let member = &self.members[member];
        member.start.is_none() && member.end <= self.now
    }

    /// The member wants turns, if it did not yet.
    pub(crate) fn wants(&mut self, member: usize) {
        let one = &mut self.members[member];
        if one.start.is_none() {
            let start = one.end.max(self.now);
            one.start = Some(start);
            self.waiting.insert((start.to_bits(), member));
        }
    }

    /// The member wants no more turns.
    pub(crate) fn rests(&mut self, member: usize) {
        if let Some(start) = self.members[member].start.take() {
            self.waiting.remove(&(start.to_bits(), member));
        }
    }

    /// Whose turn it is.
    pub(crate) fn next(&self) -> Option<usize> {
        self.waiting.first().map(|(_, member)| *member)
    }

    /// The member takes a turn; it goes on wanting.
    pub(crate) fn takes(&mut self, member: usize) {
        let one = &mut self.members[member];
        let Some(start) = one.start else { return };
        let end = start + 1.0 / one.weight;
        (one.end, one.start) = (end, Some(end));
        self.now = self.now.max(start);
        self.waiting.remove(&(start.to_bits(), member));
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
        self.members.iter_mut().for_each(|member| member.end = 0.0);
        self.now = 0.0;
        self.members[member].start = Some(0.0);
        self.waiting.insert((0, member));
    }
}
