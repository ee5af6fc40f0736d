//! Actions that the policy asks of the host.

use std::fmt;

use crate::ids::{RequestId, ServerId, TimerId};
use crate::time::Nanos;

/// Why a client is migrated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationReason {
    /// Its server drains or was removed.
    ServerLeaving,
    /// Messages at its server are slow.
    SlowMessages,
    /// Its server holds far more than its share.
    Rebalancing,
    /// A server in slow start has room for it.
    SlowStart,
}

/// A periodic summary of overload, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadSummary {
    /// Servers that accept new connections.
    pub ready: usize,
    /// Ready servers with a recent sign of overload.
    pub overloaded: usize,
    /// Ready servers with consecutive failures.
    pub failing: usize,
    /// Requests rejected since the last summary.
    pub rejected: u64,
    /// Attempts in flight that are not established.
    pub in_flight: usize,
    /// The concurrency limit on attempts in flight.
    pub concurrency_limit: f64,
}

impl fmt::Display for OverloadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OverloadSummary {
            ready,
            overloaded,
            failing,
            rejected,
            ..
        } = self;
        write!(
            f,
            "ready {ready}, overloaded {overloaded}, failing {failing}, rejected {rejected}, "
        )?;
        write!(
            f,
            "in flight {} of {:.0}",
            self.in_flight, self.concurrency_limit
        )
    }
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    StartAttempt {
        /// The request, which has no other attempt in flight.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Time in which its first byte must be sent; otherwise it is not sent at all.
        begin_within: Nanos,
        /// Time allowed for the attempt as a whole.
        timeout: Nanos,
    },
    /// Final answer: rejected. A retry is safe.
    Reject {
        /// The request, which was not executed.
        request: RequestId,
        /// Time after which the client may retry, or `None` if the site sends no retry-after.
        retry_after: Option<Nanos>,
    },
    /// Final answer: failed. The request may have been executed.
    Fail(RequestId),
    /// Put the request into the admission queue until [`Event::PermitGranted`](crate::Event) or an
    /// answer. A permit is available whenever
    /// [`Balancer::has_permits`](crate::Balancer::has_permits).
    Enqueue(RequestId),
    /// End an established connection so that its client reconnects.
    Migrate(RequestId, MigrationReason),
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) after this span.
    SetTimer {
        /// Time until the timer fires.
        after: Nanos,
        /// The timer to report.
        timer: TimerId,
    },
    /// Ask a server for its load. [`Event::ProbeAnswered`](crate::Event::ProbeAnswered) follows.
    ProbeServer(ServerId),
    /// Ask for the server list and a watch on its changes.
    WatchServerList,
    /// Log a summary of overload.
    LogOverload(OverloadSummary),
}
