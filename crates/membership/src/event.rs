//! Events and counters that a node reports to its host.

use std::fmt;
use std::net::SocketAddr;

use crate::{Member, Millis, Refusal};

/// A change for the host or the log. Its `Display` form is the log message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process joined or returned.
    Up(Member),
    /// A process left or was declared down.
    Down(Member),
    /// A process restarted, which ends its previous incarnation.
    Restarted {
        /// The incarnation that ended.
        previous: Member,
        /// The present incarnation.
        current: Member,
    },
    /// A process changed its configuration or site.
    Changed {
        /// The member before the change.
        previous: Member,
        /// The member after the change.
        current: Member,
    },
    /// A process with another name now runs at the address of a known one.
    Renamed {
        /// The name that was replaced.
        previous: Member,
        /// The name at the address now.
        current: Member,
    },
    /// Two running processes have the same name, which is a deployment error.
    NameConflictFound {
        /// The process that keeps the name: the one of the later incarnation.
        holder: Member,
        /// Address of the other process.
        other_address: SocketAddr,
        /// Incarnation of the other process.
        other_incarnation: u64,
    },
    /// A later incarnation holds this process's name. This process stays out of the fleet until
    /// that one ends, or until it is given another name.
    Displaced {
        /// The process that holds the name.
        holder: Member,
    },
    /// The fleet knew a later incarnation of this process than its own. The host must store this
    /// number.
    IncarnationRaised(u64),
    /// This process did not run for this many milliseconds, and announces a new identity.
    PauseDetected(Millis),
    /// Peers had declared this process down, so it announced a new identity.
    Rejoined,
    /// Datagrams from this address were refused. Reported at most once a minute for each address.
    DatagramsRefused {
        /// Source address of the datagrams.
        from: SocketAddr,
        /// Why the latest datagram was refused.
        reason: Refusal,
        /// Number of refused datagrams since the previous report.
        count: u64,
    },
}

impl Event {
    /// Whether the event requires action by an operator.
    pub fn is_fault(&self) -> bool {
        matches!(
            self,
            Self::NameConflictFound { .. }
                | Self::Displaced { .. }
                | Self::DatagramsRefused { .. }
                | Self::IncarnationRaised(_)
        )
    }
}

impl fmt::Display for Event {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Up(member) => write!(out, "peer {member} of site `{}` is up", member.site),
            Self::Down(member) => write!(out, "peer {member} is down"),
            Self::Restarted { previous, current } => {
                write!(
                    out,
                    "peer {current} restarted; its previous boot was {}",
                    previous.incarnation
                )
            }
            Self::Changed { previous, current } => write!(
                out,
                "peer {current} changed to configuration {} at site `{}`, from configuration {} at site `{}`",
                current.configuration.order,
                current.site,
                previous.configuration.order,
                previous.site
            ),
            Self::Renamed { previous, current } => write!(
                out,
                "peer {previous} was replaced by {current} at the same address"
            ),
            Self::NameConflictFound {
                holder,
                other_address,
                other_incarnation,
            } => write!(
                out,
                "two processes have the same name: {holder}, which keeps it, and the one at {other_address} \
                 (boot {other_incarnation}); give each process its own name"
            ),
            Self::Displaced { holder } => write!(
                out,
                "another process holds this process's name: {holder}; this process is excluded from the fleet until that one ends"
            ),
            Self::IncarnationRaised(incarnation) => {
                write!(
                    out,
                    "the fleet knew a later incarnation of this process; its boot number is now {incarnation}"
                )
            }
            Self::PauseDetected(pause_ms) => write!(
                out,
                "this process was not run for {pause_ms} ms; it announces a new identity"
            ),
            Self::Rejoined => write!(
                out,
                "peers had declared this process down; it announces a new identity"
            ),
            Self::DatagramsRefused {
                from,
                reason,
                count,
            } => {
                write!(
                    out,
                    "{count} datagrams from {from} were refused; latest reason: {}",
                    reason.label()
                )
            }
        }
    }
}

/// Counters of a node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received, including refused ones.
    pub received: u64,
    /// Bytes of the datagrams received.
    pub received_bytes: u64,
    /// Datagrams refused, by reason, in the order of [`Refusal::ALL`].
    pub refused: [u64; Refusal::ALL.len()],
    /// Messages ignored: of an unknown kind, from a process that is not a live member, or rejected
    /// by the SWIM library.
    pub ignored: u64,
    /// Gossip and pages withheld because of the byte budget.
    pub rate_limited: u64,
    /// Suspicions raised after failed probes by this node.
    pub suspected: u64,
    /// Times that this process announced a new identity.
    pub renewals: u64,
    /// Events dropped because the host's channel was full.
    pub dropped_events: u64,
}
