//! The gossip protocol by which the processes of a fleet share facts.
//!
//! The crate has no I/O, clock or global state. The host [records](FactStore::observe) what its process observes,
//! passes the bytes of [gossip](FactStore::gossip_payload), [summaries](FactStore::summary) and
//! [answers](FactStore::answer_summary) to the transport, [merges](FactStore::merge_packet) the packets that arrive,
//! and queries the combined facts. A peer's fact is a hint with an age, never a command.
//!
//! ```
//! use beaconflow_gossip::*;
//!
//! let process = |name: &str| FactStore::new(Origin { name: name.into(), incarnation: 1 }, Bounds::default());
//! let (mut a, mut b) = (process("a"), process("b"));
//! let placement = Placement { server: "s1".into(), configuration_digest: 7, placed_at: 1_000 };
//! let subject = Subject::Placement(PlacementKey::Client(42));
//! a.observe(&subject, &Value::Placement(Some(placement)), 60_000, 1_000).expect("a valid fact");
//! let changes = b.merge_packet(&a.gossip_payload(1_200, 1_500), 90_000).expect("a valid packet");
//! assert_eq!(changes[0].subject(), Some(subject));
//! // The fact carries its age, so the clocks of the two processes need not agree.
//! assert_eq!(b.placement(PlacementKey::Client(42), 90_000).map(|placement| placement.server), Some("s1"));
//! assert_eq!(b.placement(PlacementKey::Client(42), 90_000 + 59_500), None);
//! ```
//!
//! # Order of facts
//!
//! Of two facts on a subject, every process keeps the same one, in whichever order they arrive: the one with the later
//! epoch, then the higher version, then the later time of observation by its origin's clock, then the later
//! incarnation and name of its origin, and then the greater bytes. The order is total and depends on nothing but the
//! two facts, so merging is commutative, associative and idempotent. The epoch is the origin's incarnation where each
//! process has its own fact, the incarnation of discovery for server entries, and 0 otherwise. The version is the
//! greater of the observer's clock and one more than the version it knows, or the generation for a server entry. A
//! process that knows a fact can therefore always replace it, however wrong a clock is.
//!
//! # Age
//!
//! A fact is sent with its age, and the receiver subtracts that age from its own clock on receipt; of two ages of one
//! fact the greater one applies. So an origin with its clock in 1970 or a year ahead makes no fact expire at once or
//! live forever, and forwarding a fact in circles does not keep it alive. The drawback is that the time a datagram
//! spends in transit is lost, once. No fact is valid, or kept, for longer than the limit of its kind. A fact is kept
//! for at least as long as the one that it replaced would have been, so that a removal outlives what it removes.
//!
//! # Incarnations of discovery
//!
//! Discovery that lost its state counts its generations from 1 again. Processes number the incarnations of discovery
//! themselves ([`FactStore::record_list`]), by these rules in this order:
//! 1. A list that some process holds under a later incarnation, by generation and digest, belongs to that incarnation.
//! 2. A complete list, where a peer holds a later one than this process does, belongs to that peer's incarnation. But
//!    if its generation is lower and the peer's list was observed more than [`MAX_CLOCK_SKEW_MS`] before, it starts a
//!    new incarnation, one more than that of the peer.
//! 3. A complete list with a lower generation than this process held starts a new incarnation, one more than its own
//!    (no clocks are compared), or belongs to the one that rule 2 gives if that is later.
//! 4. Any other list continues this process's own incarnation; the first incarnation is 1.
//!
//! Two processes that see the same loss count from the same incarnation to the same next one, and the higher number is
//! the later incarnation. A process that had held no list determines the incarnation of its last one again once it
//! hears from peers ([`FactStore::reassess_list`]). One case is doubtful: a list that takes longer than
//! [`MAX_CLOCK_SKEW_MS`] to reach a new process can start an incarnation that does not exist. The next list of the
//! other processes joins it by rule 1; until then, older entries may remain among the hints. A loss that cannot be
//! told from normal operation (the generation passed the former one while no process watched) counts as none.
//!
//! # Eviction
//!
//! Each kind has a memory limit of its own, so that no kind evicts another: placements never evict overrides. Within a
//! kind expired facts are evicted first and then those observed earliest, with a resolution of about a second. A fact
//! older than all that are kept is not stored. When the gossip queue is full, the fact transmitted most often is
//! dropped in favor of one transmitted less often, and spreads by anti-entropy pages only.
//!
//! # Dissemination
//!
//! Each process that receives a new fact transmits it `3 log2(n) + 2` times, least transmitted facts first; a
//! duplicate received counts as a transmission. A process transmits a server entry that it has from discovery three
//! times only. Summaries carry digests of ranges of the subjects' hashes, 4 bytes each. The answer holds the facts of
//! ranges that differ or, for a range with more than 64 facts, its name, and the next summary but one compares the
//! parts of that range. Unknown fields and kinds are forwarded byte for byte.
//!
//! Measured by `examples/spread.rs` (300 processes, 1,000 listed servers, rounds of 200 ms, three peers each, 5% loss,
//! datagrams with 88 bytes of headers): half of all pairs of process and fact are informed after 600 ms and 99% after
//! 800 ms; the last process knows 99% of facts after 1.2 s. When idle, each process sends 4 KiB a second, with two
//! facts of its own renewed every five minutes. With 30% loss the times are 1.2 s and 1.6 s. A fleet of 300 that
//! starts at the same instant takes 11.8 s until each process has two facts of every other one, as gossip has 1,200
//! bytes a datagram.
//!
//! A placement with names of ordinary length counts for 240 bytes.
//!
//! # Rejected alternatives
//!
//! - *Maps and counters of a CRDT library* merge whole states or keep a clock of every process with each value (300
//!   processes), and support neither ages nor limits. Counters here are one fact for each process, summed when
//!   queried.
//! - *Version vectors per fact* detect concurrent facts, but one of them has to be chosen all the same.
//! - *Ordering by time of observation before version*: one clock that is ahead would override all others.
//! - *Clamping the time of observation on receipt*: a fact that is forwarded and received again would grow younger
//!   each time.
//! - *A server list per process*: 300,000 entries for 1,000 servers. The origin of entries is discovery, with the same
//!   bytes whoever received them, and each process publishes only which list version it holds.
//! - *A Merkle tree walked in one exchange*: the transport would have to keep conversations.

#![forbid(unsafe_code)]

mod bounds;
mod dissemination;
mod fact;
mod fact_store;
mod fact_table;
mod list_incarnation;
mod own_observations;
mod queries;
mod record;
mod slot;
mod time_index;
mod wire;

pub use bounds::{Bounds, KindBounds};
pub use dissemination::{DecodeError, FactChange};
pub use fact::{
    Configuration, Fact, FactKind, Lifecycle, ListPosition, ListVersion, ObservedHealth, Origin,
    Override, Placement, PlacementFailures, PlacementKey, PlacementView, ServerEntry,
    ServerEvidence, Subject, Value,
};
pub use fact_store::{FactStore, ObserveError};
pub use list_incarnation::{ListAnnouncement, MAX_CLOCK_SKEW_MS};
pub use queries::{MAX_COUNTED_FAILURES, ServerAssessment};

/// A time on the process's clock: Unix time in milliseconds, read at its start and advanced monotonically from then on.
/// Times of two processes are never compared to compute an age. Also used for spans of milliseconds.
pub type Millis = u64;
