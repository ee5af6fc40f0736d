//! The wait for the state of a site's peers after the start. It has no clock and does no I/O; times
//! are in nanoseconds.

/// The peers' state is complete if nothing new arrives for this span.
const QUIET_NS: u64 = 200_000_000;
/// The peers' state counts as complete at the latest this long after the first report.
const TIMEOUT_NS: u64 = 600_000_000;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SettlingStep {
    /// Nothing yet.
    Wait,
    /// All peers are to be asked for what this process lacks. The first of them may have been asked
    /// before they had read their own memory.
    RequestState,
    /// The peers' state counts as complete.
    Finish,
}

/// The wait, from the first report of a peer on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Settling {
    quiet_until: u64,
    deadline_at: u64,
    has_requested: bool,
}

impl Settling {
    /// Begins the wait.
    pub(super) fn new(now: u64) -> Settling {
        Settling {
            quiet_until: now.saturating_add(QUIET_NS),
            deadline_at: now.saturating_add(TIMEOUT_NS),
            has_requested: false,
        }
    }

    /// Records that something new arrived: more may follow.
    pub(super) fn on_news(&mut self, now: u64) {
        self.quiet_until = now.saturating_add(QUIET_NS).min(self.deadline_at);
    }

    /// When the next step is due.
    pub(super) fn due_at(&self) -> u64 {
        self.quiet_until
    }

    /// The step that is due.
    pub(super) fn step(&mut self, now: u64) -> SettlingStep {
        if now < self.quiet_until {
            return SettlingStep::Wait;
        }
        if self.has_requested || now >= self.deadline_at {
            return SettlingStep::Finish;
        }
        self.has_requested = true;
        self.on_news(now);
        SettlingStep::RequestState
    }
}

#[cfg(test)]
mod tests;
