//! Start-time fair queueing: the active member with the earliest virtual start time is served next.
//!
//! A member is an account, a class or a queue; one service is one permit.

use std::collections::BTreeSet;

/// Bits of a start tag, the virtual start time of a member's next service. Tags are finite and not
/// negative, so their bits sort in the same order as the numbers.
type StartTagBits = u64;

/// Divides service among members by weight. A member that becomes active again starts at the
/// current virtual time, so that idle time earns no credit, or at its finish tag if that is later.
pub(crate) struct FairScheduler {
    members: Vec<Member>,
    /// Active members, ordered by start tag.
    active_by_start_tag: BTreeSet<(StartTagBits, usize)>,
    virtual_time: f64,
}

struct Member {
    weight: f64,
    /// Virtual time at which the last service given to the member ends.
    finish_tag: f64,
    /// `None` while the member is idle.
    start_tag: Option<f64>,
}

impl FairScheduler {
    pub(crate) fn new(weights: &[f64]) -> FairScheduler {
        let mut scheduler = FairScheduler {
            members: Vec::new(),
            active_by_start_tag: BTreeSet::new(),
            virtual_time: 0.0,
        };
        weights
            .iter()
            .for_each(|weight| scheduler.add_member(*weight));
        scheduler
    }

    /// Adds an idle member with the next index.
    pub(crate) fn add_member(&mut self, weight: f64) {
        self.members.push(Member {
            weight,
            finish_tag: 0.0,
            start_tag: None,
        });
    }

    /// Sets the weight that applies from the member's next service on.
    pub(crate) fn set_weight(&mut self, member: usize, weight: f64) {
        self.members[member].weight = weight;
    }

    /// Whether a member is idle and has received no service ahead of the virtual time; its index can
    /// then be reused.
    pub(crate) fn is_caught_up(&self, member: usize) -> bool {
        let member = &self.members[member];
        member.start_tag.is_none() && member.finish_tag <= self.virtual_time
    }

    /// Marks a member as waiting for service.
    pub(crate) fn activate(&mut self, member: usize) {
        let state = &mut self.members[member];
        if state.start_tag.is_none() {
            let start_tag = state.finish_tag.max(self.virtual_time);
            state.start_tag = Some(start_tag);
            self.active_by_start_tag
                .insert((start_tag.to_bits(), member));
        }
    }

    /// Marks a member as idle.
    pub(crate) fn deactivate(&mut self, member: usize) {
        if let Some(start_tag) = self.members[member].start_tag.take() {
            self.active_by_start_tag
                .remove(&(start_tag.to_bits(), member));
        }
    }

    /// The active member with the earliest start tag.
    pub(crate) fn next(&self) -> Option<usize> {
        self.active_by_start_tag.first().map(|(_, member)| *member)
    }

    /// Charges one service to a member, which stays active. Does nothing for an idle member.
    pub(crate) fn serve(&mut self, member: usize) {
        let state = &mut self.members[member];
        let Some(start_tag) = state.start_tag else {
            return;
        };
        let finish_tag = start_tag + 1.0 / state.weight;
        (state.finish_tag, state.start_tag) = (finish_tag, Some(finish_tag));
        self.virtual_time = self.virtual_time.max(start_tag);
        self.active_by_start_tag
            .remove(&(start_tag.to_bits(), member));
        self.active_by_start_tag
            .insert((finish_tag.to_bits(), member));
        if self.active_by_start_tag.len() == 1 {
            self.reset_tags(member);
        }
    }

    /// Resets all tags while one member is active. Otherwise they would grow until an increment is
    /// lost in rounding.
    fn reset_tags(&mut self, member: usize) {
        const MAX_VIRTUAL_TIME: f64 = 1e9;
        if self.virtual_time < MAX_VIRTUAL_TIME {
            return;
        }
        self.active_by_start_tag.clear();
        self.members
            .iter_mut()
            .for_each(|member| member.finish_tag = 0.0);
        self.virtual_time = 0.0;
        self.members[member].start_tag = Some(0.0);
        self.active_by_start_tag.insert((0, member));
    }
}
