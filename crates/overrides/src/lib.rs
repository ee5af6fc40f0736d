//! Operators' overrides: what they are, which of them holds, for how long, and what a farm looks like under them.
//!
//! There is no I/O, clock or global here. A host hands in a [`Set`], what is listed and a moment; it gets the state
//! and weight that each server has ([`Set::server`]), the pin of an arrival ([`Set::pin`]) and the next moment at
//! which any of that changes ([`Set::next_change`]). Equal sets and moments give equal answers, whatever the order
//! in which overrides came.
//!
//! ```
//! use beaconflow_overrides::*;
//!
//! let limits = Limits::default();
//! let draft = Draft {
//!     kind: Kind::Out { server: "g4".into(), moves_per_s: None },
//!     who: "ada".into(),
//!     why: "new power supply".into(),
//!     expires_at: 61_000,
//! };
//! draft.check(1_000, &limits)?;
//!
//! let mut set = Set::new(limits.ramp);
//! set.put(draft.into_override(Id(1), 1_000));
//! assert_eq!(set.server("g4", 2_000), ServerAdjustment { out: true, factor: 0.0, to: 0.0 });
//! assert_eq!(set.server("g5", 2_000), ServerAdjustment::AS_LISTED);
//! // It ends by itself, and the server's weight comes back step by step.
//! assert_eq!(set.next_change(2_000), Some(61_000));
//! let back = set.server("g4", 61_000);
//! assert!(!back.out && back.factor < 0.2);
//! assert_eq!(set.server("g4", 61_000 + limits.ramp), ServerAdjustment::AS_LISTED);
//! # Ok::<(), Vec<Fault>>(())
//! ```

#![forbid(unsafe_code)]

mod clock;
mod effect;
mod kind;
mod pace;
mod set;

pub use clock::{Step, StepWatch, bounded_expiry, shifted};
pub use effect::{Effect, Judgement, Listed, ServerAdjustment, assess};
pub use kind::{Draft, Fault, Id, Kind, Limits, Override, Replay, Strictness, Subject};
pub use pace::Pace;
pub use set::{Pin, Set};

/// A moment on the program's clock: Unix time in milliseconds as it was at the program's start, and followed
/// monotonically from then on.
pub type Millis = u64;
