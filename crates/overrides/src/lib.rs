//! Operators' overrides: what they are, which of them holds, for how long, and what a farm looks like under them.
//!
//! There is no I/O, clock or global here. A host hands in a [`OverrideSet`], what is listed and a moment; it gets the state
//! and weight that each server has ([`OverrideSet::server_adjustment`]), the pin of an arrival ([`OverrideSet::pin`]) and the next moment at
//! which any of that changes ([`OverrideSet::next_change`]). Equal sets and moments give equal answers, whatever the order
//! in which overrides came.
//!
//! ```
//! use beaconflow_overrides::*;
//!
//! let limits = Limits::default();
//! let draft = Draft {
//!     kind: OverrideKind::Out { server: "g4".into(), moves_per_s: None },
//!     who: "ada".into(),
//!     why: "new power supply".into(),
//!     expires_at: 61_000,
//! };
//! draft.check(1_000, &limits)?;
//!
//! let mut set = OverrideSet::new(limits.ramp_ms);
//! set.insert(draft.into_override(OverrideId(1), 1_000));
//! assert_eq!(set.server_adjustment("g4", 2_000), ServerAdjustment { is_out: true, factor: 0.0, target_factor: 0.0 });
//! assert_eq!(set.server_adjustment("g5", 2_000), ServerAdjustment::AS_LISTED);
//! // It ends by itself, and the server's weight comes back step by step.
//! assert_eq!(set.next_change(2_000), Some(61_000));
//! let back = set.server_adjustment("g4", 61_000);
//! assert!(!back.is_out && back.factor < 0.2);
//! assert_eq!(set.server_adjustment("g4", 61_000 + limits.ramp_ms), ServerAdjustment::AS_LISTED);
//! # Ok::<(), Vec<FieldError>>(())
//! ```

#![forbid(unsafe_code)]

mod clock;
mod effect;
mod kind;
mod pace;
mod set;

pub use clock::{ClockStep, ClockStepDetector, bounded_expiry, with_clock_offset};
pub use effect::{CoverageGaps, Effect, Listed, ServerAdjustment, find_coverage_gaps};
pub use kind::{
    Draft, FieldError, Limits, Override, OverrideId, OverrideKind, Replay, Strictness, Subject,
};
pub use pace::MigrationPacer;
pub use set::{OverrideSet, Pin};

/// A moment on the program's clock: Unix time in milliseconds as it was at the program's start, and followed
/// monotonically from then on.
pub type Millis = u64;
