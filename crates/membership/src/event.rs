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
        was: Member,
        /// As it is.
        now: Member,
    },
    /// A process runs another configuration, or is of another site, than before.
    Changed {
        /// As it was.
        was: Member,
        /// As it is.
        now: Member,
    },
    /// A process took another name: at its address there is another now.
    Renamed {
        /// The name that is gone.
        was: Member,
        /// The one that took its place.
        now: Member,
    },
    /// Two living processes bear one name: a fault of their set-up.
    Doubled {
        /// The one that counts: of the later boot.
        holder: Member,
        /// Where the other is.
        other: SocketAddr,
        /// The other's boot number.
        other_boot: u64,
    },
    /// This process's own name is a later one's: it stands outside the fleet until the other is gone, or it gets
    /// another name.
    Displaced {
        /// The process that bears the name.
        by: Member,
    },
    /// The fleet knew a later life of this process than its boot number said: keep this number.
    BootRaised(u64),
    /// This process was not run for that long, and announces itself anew.
    Woke(Millis),
    /// The others had declared this process down: it announces itself anew.
    Returned,
    /// Datagrams of this address are refused. NameConflict at most once a minute for each address.
    Refused {
        /// Where they come from.
        from: SocketAddr,
        /// Why the last was.
        why: Refusal,
        /// How many since it was told the last time.
        count: u64,
    },
}

impl Event {
    /// Whether an operator has something to mend.
    pub fn is_fault(&self) -> bool {
        matches!(
            self,
            Self::Doubled { .. }
                | Self::Displaced { .. }
                | Self::Refused { .. }
                | Self::BootRaised(_)
        )
    }
}

impl fmt::Display for Event {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Up(member) => write!(out, "peer {member} of site `{}` is there", member.site),
            Self::Down(member) => write!(out, "peer {member} is gone"),
            Self::Restarted { was, now } => {
                write!(
                    out,
                    "peer {now} started anew, it was boot {}",
                    was.incarnation
                )
            }
            Self::Changed { was, now } => write!(
                out,
                "peer {now} runs configuration {} of site `{}`, it was {} of site `{}`",
                now.configuration.order, now.site, was.configuration.order, was.site
            ),
            Self::Renamed { was, now } => write!(out, "peer {was} is {now} now"),
            Self::Doubled {
                holder,
                other,
                other_boot,
            } => write!(
                out,
                "two processes bear one name: {holder}, which counts, and the one at {other} (boot {other_boot}): \
                 give each its own"
            ),
            Self::Displaced { by } => write!(
                out,
                "this process's name is another's: {by}. It stands outside the fleet until the other is gone"
            ),
            Self::BootRaised(boot) => {
                write!(
                    out,
                    "the fleet knew a later life of this process: its boot number is {boot} now"
                )
            }
            Self::Woke(gap) => write!(
                out,
                "this process was not run for {gap} ms, it announces itself anew"
            ),
            Self::Returned => write!(
                out,
                "the others took this process for gone, it announces itself anew"
            ),
            Self::Refused { from, why, count } => {
                write!(
                    out,
                    "{count} datagrams from {from} were refused, the last: {}",
                    why.label()
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
    pub unheard: u64,
    /// Pages and rumours held back since there were too many bytes already.
    pub rate_limited: u64,
    /// Members suspected by this node's own probes.
    pub suspected: u64,
    /// How often this process announced itself anew.
    pub renewals: u64,
    /// Events that the host did not take in time.
    pub untold: u64,
}
