//! Claims of ids: a request is sent only once the other processes of an upgrade have answered that
//! its id is free there.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Longest wait for the answers to a claim. A process that takes longer is not waited for again
/// until it answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The claim of an id that was opened here.
pub(super) struct Claim {
    /// The other processes, by number, that have not answered.
    awaited_peers: HashSet<u64>,
    is_refused: bool,
    /// When the claim counts as granted at the latest.
    expires_at: Instant,
}

/// What is known of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimState {
    /// Answers are awaited, until this time.
    Pending(Instant),
    /// No other process has the id.
    Granted,
    /// Another process has the id.
    Refused,
}

impl Claim {
    /// A claim that these processes were told of.
    pub(super) fn new(awaited_peers: HashSet<u64>) -> Claim {
        Claim {
            awaited_peers,
            is_refused: false,
            expires_at: Instant::now() + ANSWER_TIMEOUT,
        }
    }

    pub(super) fn state(&self) -> ClaimState {
        if self.is_refused {
            ClaimState::Refused
        } else if self.awaited_peers.is_empty() {
            ClaimState::Granted
        } else {
            ClaimState::Pending(self.expires_at)
        }
    }

    pub(super) fn is_pending(&self) -> bool {
        matches!(self.state(), ClaimState::Pending(_))
    }

    /// Another process has the id.
    pub(super) fn refuse(&mut self) {
        self.is_refused = true;
    }

    /// The id is free at another process, or that process has ended.
    pub(super) fn grant(&mut self, peer: u64) {
        self.awaited_peers.remove(&peer);
    }

    /// Stops waiting; returns the processes that have not answered.
    pub(super) fn expire(&mut self) -> HashSet<u64> {
        std::mem::take(&mut self.awaited_peers)
    }
}
