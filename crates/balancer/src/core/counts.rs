//! Counters of requests and of how they ended.

/// Counters since the start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests received.
    pub opened: u64,
    /// Established connections taken over from another process.
    pub adopted: u64,
    /// Connections established.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Clients that left before an answer.
    pub left: u64,
    /// Clients asked to migrate.
    pub migrated: u64,
    /// Requests under an operator's pin.
    pub pinned: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Ends of attempts and connections, in the order of [`AttemptOutcome`](beaconflow_policy::AttemptOutcome).
    pub outcomes: [u64; 8],
}

pub(super) const OUTCOME_NAMES: [&str; 8] = [
    "ok",
    "error",
    "full",
    "timed-out",
    "connect-failed",
    "reset",
    "cancelled",
    "not-sent",
];

impl Counts {
    /// Ends of attempts and connections, by the outcome's name.
    pub fn outcomes_by_name(&self) -> impl Iterator<Item = (&'static str, u64)> {
        OUTCOME_NAMES.into_iter().zip(self.outcomes)
    }
}
