//! What an edge site does while its uplink is lost: whether it is, what the site decides alone meanwhile, which of
//! its servers it passes over, who asks beyond the link, and how it comes back without moving anybody.
//!
//! There is no I/O, clock or global here. A host tells an [`Edge`] what it saw ([`Evidence`]) and at which moment,
//! and does what it is told ([`Action`]). The same evidence at the same moments gives the same actions.
//!
//! ```
//! use beaconflow_edge::*;
//!
//! let config = Config { site: "moy".into(), name: "n1".into(), ..Config::default() };
//! let (mut edge, mut actions) = (Edge::new(config, 0, Start::Anew), Vec::new());
//! edge.handle(0, Evidence::WatchStands, &mut actions);
//! assert_eq!(edge.state(), State::Linked);
//! // Discovery and the store fall silent at once, and nobody else is heard from beyond.
//! for now in (10_000..20_000).step_by(500) {
//!     edge.handle(now, Evidence::WatchLost, &mut actions);
//!     edge.handle(now, Evidence::StoreFailed, &mut actions);
//! }
//! assert_eq!(edge.state(), State::Islanded);
//! assert!(matches!(edge.may(20_000, &Decision::ChangeShare), Verdict::No { .. }));
//! assert_eq!(edge.may(20_000, &Decision::GoOn), Verdict::Yes);
//! ```

#![forbid(unsafe_code)]

mod config;
mod decide;
mod evidence;
mod farm;
mod judge;
mod look;
mod machine;
mod merge;
mod pace;
mod probe;
mod rejoin;
mod sight;
mod transit;

pub use config::{Config, Fault};
pub use decide::{Decision, Verdict};
pub use evidence::{Action, Evidence, Force, Outcome, Place, Says, Seen, State, Step, Word};
pub use farm::{Known, Standing, standings};
pub use judge::{Before, Judged, Judgement, Judgements};
pub use look::{Look, PlaceLook};
pub use machine::{Edge, Start};
pub use merge::{Change, Doing, MergedOverrides, merge_overrides};
pub use pace::{ColdPart, Counts, Pace};
pub use rejoin::{Held, Keep, Listed, Move, Plan, Ready, Whole, Why, plan_rejoin};

/// A moment on the program's clock: Unix time in milliseconds as it was at the program's start, and followed
/// monotonically from then on. Spans are in milliseconds too.
pub type Millis = u64;
