//! What the processes of a fleet know together.
//!
//! There is no I/O, clock or global here. A host [enters](FactStore::observe) what its process observes, hands the
//! bytes of [rumours](FactStore::gossip_payload), [summaries](FactStore::summary) and [answers](FactStore::answer_summary) to whatever
//! carries them, [takes](FactStore::merge_packet) what comes, and asks what all of it comes to. What a peer says is a hint with
//! an age, never a command.
//!
//! ```
//! use beaconflow_gossip::*;
//!
//! let process = |name: &str| FactStore::new(Origin { name: name.into(), incarnation: 1 }, Bounds::default());
//! let (mut a, mut b) = (process("a"), process("b"));
//! let placement = Placement { server: "s1".into(), configuration_digest: 7, placed_at: 1_000 };
//! let subject = Subject::Placement(PlacementKey::Client(42));
//! a.observe(&subject, &Value::Placement(Some(placement)), 60_000, 1_000).expect("sound");
//! let changes = b.merge_packet(&a.gossip_payload(1_200, 1_500), 90_000).expect("readable");
//! assert_eq!(changes[0].subject(), Some(subject));
//! // Its age came with it; the clocks of the two need not agree.
//! assert_eq!(b.placement(PlacementKey::Client(42), 90_000).map(|placement| placement.server), Some("s1"));
//! assert_eq!(b.placement(PlacementKey::Client(42), 90_000 + 59_500), None);
//! ```
//!
//! # Which fact stands
//!
//! Of two facts on a subject one stands at every process, whoever hears which first: the one of the later epoch, then
//! of the higher version, then of the later moment by its origin's clock, of the later boot and name of its origin, and
//! of the greater bytes. The order is total and needs nothing but the two facts, so that merging is commutative,
//! associative and idempotent. The epoch is the origin's boot where each process has its own word, the life of discovery
//! for entries of the list, and 0 for all else. A version is the greater of the observer's clock and one more than the
//! version it knows (an entry's is its generation): whoever knows of a fact goes beyond it, however wrong a clock is.
//!
//! # Age
//!
//! A fact is told with its age, and whoever takes it counts back from its own clock at that moment; of two ages of one
//! fact the greater is believed. So an origin in 1970 or a year ahead makes no fact void or immortal, and telling a fact
//! round and round does not keep it. What counts against it: the time that a datagram lies somewhere is lost, once. No
//! fact is good, or kept, longer than the bound of its kind. It is kept for at least as long as what it replaced would
//! have been, so that a removal outlives what it removes.
//!
//! # Lives of discovery
//!
//! Discovery that lost its state counts its generations from 1 again. Lives are numbers that processes give
//! ([`FactStore::record_list`]), in this order:
//! 1. A list that some process holds under a later life, by generation and digest, is of that life.
//! 2. A whole list, where a peer holds one that is further than one's own: it is of that peer's life. But where its
//!    generation is lower and the peer's was witnessed more than [`MAX_CLOCK_SKEW_MS`] before, it is of one life more.
//! 3. A whole list with a lower generation than this process held begins a new life, one more than its own (no clock is
//!    compared); it is the life that 2 gives if that is later.
//! 4. All else goes on in one's own life; the first life is 1.
//!
//! Two that see the same loss count from the same life to the same next one, and the higher number is the later life. A
//! process that had held no list judges its last one again once it hears peers ([`FactStore::reassess_list`]). Doubtful: a
//! list that takes longer than [`MAX_CLOCK_SKEW_MS`] to come to a newcomer can open a life that is none; the next list of the others
//! joins it by rule 1, and until then older entries may stand among hints. A loss that nobody can tell from going on (the
//! count is beyond the old one, unseen by all) is none.
//!
//! # What gives way
//!
//! Each kind has its own bytes, so that no kind gives way to another: overrides never to placements. Within a kind what
//! is over goes first and then what was witnessed earliest, to the second. What is older than all that is kept finds no
//! room. Among rumours the one told most often gives way to one told less; it is left to the pages.
//!
//! # How facts spread
//!
//! A new fact is told `3 log2(n) + 2` times by each that heard it, least told first; one that comes back counts as told.
//! An entry that a process has from discovery it tells three times only. Summaries carry digests of stretches of the
//! subjects' hashes, 4 bytes each; the answer has the facts of stretches that differ, or, where one holds more than 64,
//! its name, and the next summary but one goes into its parts. Unknown fields and kinds are passed on byte for byte.
//!
//! Measured by `examples/spread.rs` (300 processes, 1,000 listed servers, rounds of 200 ms, three peers each, 5% lost,
//! datagrams with 88 bytes of headers): a fact is known at half of all process and fact pairs after 600 ms and at 99%
//! after 800 ms; the last process knows 99% of facts after 1.2 s. In quiet each sends 4 KiB a second, with two facts of
//! its own said anew every five minutes. With 30% lost it is 1.2 s and 1.6 s. A fleet of 300 that starts in one instant
//! takes 11.8 s until each has two facts of each other one, since rumours have 1,200 bytes a datagram.
//!
//! A placement with names of ordinary length counts for 240 bytes.
//!
//! # What was not taken
//!
//! - *A CRDT library's maps and counters*: they merge whole states or keep a clock of every process with each value (300
//!   processes), and know neither ages nor bounds. Counters here are one word for each process, summed when asked.
//! - *Version vectors per fact* tell concurrent words apart, but somebody has to choose between them all the same.
//! - *The moment witnessed first, version second*: one clock ahead would stand above all others.
//! - *Clamping a moment at receipt*: what is passed on and taken again would grow younger with each pass.
//! - *A list per process*: 300,000 entries for 1,000 servers. Entries are discovery's word, the same bytes whoever heard
//!   it, and each process tells only which list it holds.
//! - *A Merkle tree that is walked in one exchange*: the transport would have to keep conversations.

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

/// A moment on the process's clock: Unix time in milliseconds as it was at its start, and followed monotonically from
/// then on. Moments of two processes are never compared to tell an age.
pub type Millis = u64;
