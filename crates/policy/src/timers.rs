//! Timers that have been requested and have not fired.

use std::collections::BTreeMap;

use crate::ids::{RequestId, TimerId};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerKind {
    /// A waiting request is placed again.
    Retry(RequestId),
    /// Periodic housekeeping.
    Housekeeping,
    /// The next call for the server list.
    ListPoll,
}

/// The pending timers.
#[derive(Default)]
pub(crate) struct Timers {
    pending: BTreeMap<TimerId, TimerKind>,
    next_id: u64,
}

impl Timers {
    pub(crate) fn add(&mut self, kind: TimerKind) -> TimerId {
        let timer = TimerId(self.next_id);
        self.next_id += 1;
        self.pending.insert(timer, kind);
        timer
    }

    pub(crate) fn take(&mut self, timer: TimerId) -> Option<TimerKind> {
        self.pending.remove(&timer)
    }

    /// Cancels the next call for the server list; returns whether one was pending.
    pub(crate) fn cancel_list_poll(&mut self) -> bool {
        let before = self.pending.len();
        self.pending.retain(|_, kind| *kind != TimerKind::ListPoll);
        self.pending.len() < before
    }
}
