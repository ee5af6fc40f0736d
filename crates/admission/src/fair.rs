//! Start-time fair queueing: the member with the earliest virtual start goes next.

use std::collections::BTreeSet;

/// A start tag as an ordered number: tags are finite and not negative, so their bits have the same
/// order.
type Tag = u64;

/// Members that share service by weight. An idle member starts at the present virtual time when it
/// returns.
pub(crate) struct Fair {
    members: Vec<Member>,
    /// Waiting members by their start tags.
    waiting: BTreeSet<(Tag, usize)>,
    now: f64,
}

struct Member {
    weight: f64,
    /// End of its service so far, in virtual time.
    end: f64,
    /// Its start tag, while it waits.
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

    /// Adds a member.
    pub(crate) fn join(&mut self, weight: f64) {
        self.members.push(Member {
            weight,
            end: 0.0,
            start: None,
        });
    }

    /// Changes a member's weight from its next service on.
    pub(crate) fn weigh(&mut self, member: usize, weight: f64) {
        self.members[member].weight = weight;
    }

    /// Whether an idle member has no service ahead of the virtual time, so that its place can be
    /// reused.
    pub(crate) fn is_square(&self, member: usize) -> bool {
        let member = &self.members[member];
        member.start.is_none() && member.end <= self.now
    }

    /// The member waits for service.
    pub(crate) fn wants(&mut self, member: usize) {
        let one = &mut self.members[member];
        if one.start.is_none() {
            let start = one.end.max(self.now);
            one.start = Some(start);
            self.waiting.insert((start.to_bits(), member));
        }
    }

    /// The member waits no longer.
    pub(crate) fn rests(&mut self, member: usize) {
        if let Some(start) = self.members[member].start.take() {
            self.waiting.remove(&(start.to_bits(), member));
        }
    }

    /// The member that goes next.
    pub(crate) fn next(&self) -> Option<usize> {
        self.waiting.first().map(|(_, member)| *member)
    }

    /// Serves a member, which keeps waiting.
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

    /// Resets the tags of a member that waits alone, which would otherwise grow until an increment
    /// is lost in rounding.
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
