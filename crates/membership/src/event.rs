//! What a node tells its host.

use std::fmt;
use std::net::SocketAddr;

use crate::{Member, Millis, Refusal};

/// Something that the host or the log should know. Its text is the line for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process is there that was not, or is there again.
    Up(Member),
    /// A process is gone.
    Down(Member),
    /// A process started anew; the life before is over.
    Restarted {
        /// As it was.
        previous: Member,
        /// As it is.
        current: Member,
    },
    /// A process runs another configuration, or is of another site, than before.
    Changed {
        /// As it was.
        previous: Member,
        /// As it is.
        current: Member,
    },
    /// A process took another name: at its address there is another now.
    Renamed {
        /// The name that is gone.
        previous: Member,
        /// The one that took its place.
        current: Member,
    },
    /// Two living processes bear one name: a fault of their set-up.
    NameConflictFound {
        /// The one that counts: of the later boot.
        holder: Member,
        /// Where the other is.
        other_address: SocketAddr,
        /// The other's boot number.
        other_incarnation: u64,
    },
    /// This process's own name is a later one's: it stands outside the fleet until the other is gone, or it gets
    /// another name.
    Displaced {
        /// The process that bears the name.
        holder: Member,
    },
    /// The fleet knew a later life of this process than its boot number said: keep this number.
    IncarnationRaised(u64),
    /// This process was not run for that long, and announces itself anew.
    PauseDetected(Millis),
    /// The others had declared this process down: it announces itself anew.
    Rejoined,
    /// Datagrams of this address are refused. NameConflict at most once a minute for each address.
    DatagramsRefused {
        /// Where they come from.
        from: SocketAddr,
        /// Why the last was.
        reason: Refusal,
        /// How many since it was told the last time.
        count: u64,
    },
}

impl Event {
    /// Whether an operator has something to mend.
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
            Self::Up(member) => write!(out, "peer {member} of site `{}` is there", member.site),
            Self::Down(member) => write!(out, "peer {member} is gone"),
            Self::Restarted { previous, current } => {
                write!(
                    out,
                    "peer {current} started anew, it was boot {}",
                    previous.incarnation
                )
            }
            Self::Changed { previous, current } => write!(
                out,
                "peer {current} runs configuration {} of site `{}`, it was {} of site `{}`",
                current.configuration.order,
                current.site,
                previous.configuration.order,
                previous.site
            ),
            Self::Renamed { previous, current } => write!(out, "peer {previous} is {current} now"),
            Self::NameConflictFound {
                holder,
                other_address,
                other_incarnation,
            } => write!(
                out,
                "two processes bear one name: {holder}, which counts, and the one at {other_address} (boot {other_incarnation}): \
                 give each its own"
            ),
            Self::Displaced { holder } => write!(
                out,
                "this process's name is another's: {holder}. It stands outside the fleet until the other is gone"
            ),
            Self::IncarnationRaised(incarnation) => {
                write!(
                    out,
                    "the fleet knew a later life of this process: its boot number is {incarnation} now"
                )
            }
            Self::PauseDetected(pause_ms) => write!(
                out,
                "this process was not run for {pause_ms} ms, it announces itself anew"
            ),
            Self::Rejoined => write!(
                out,
                "the others took this process for gone, it announces itself anew"
            ),
            Self::DatagramsRefused {
                from,
                reason,
                count,
            } => {
                write!(
                    out,
                    "{count} datagrams from {from} were refused, the last: {}",
                    reason.label()
                )
            }
        }
    }
}

/// What passed through a node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that came.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Datagrams refused, in the order of [`Refusal::ALL`].
    pub refused: [u64; Refusal::ALL.len()],
    /// Datagrams that said nothing this program knows, or came from nobody it knows to be there.
    pub ignored: u64,
    /// Pages and rumours held back since there were too many bytes already.
    pub rate_limited: u64,
    /// Members suspected by this node's own probes.
    pub suspected: u64,
    /// How often this process announced itself anew.
    pub renewals: u64,
    /// Events that the host did not take in time.
    pub dropped_events: u64,
}
