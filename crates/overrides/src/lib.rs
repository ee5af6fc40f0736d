//! Operators' overrides of servers and placements: validation, precedence, expiry and effects.
//!
//! The crate has no I/O, clock or global state. A host keeps an [`OverrideSet`] and asks it for the
//! effect on a server at a time ([`OverrideSet::server_adjustment`]), the pin of a request
//! ([`OverrideSet::pin`]) and the next time at which an effect changes
//! ([`OverrideSet::next_change`]). The answers depend only on the overrides and the time, and not on
//! the order in which the overrides were added.
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
//! // The override expires, and the server's weight rises in steps.
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
mod migration_pacer;
mod set;

pub use clock::{ClockStep, ClockStepDetector, bounded_expiry, with_clock_offset};
pub use effect::{CoverageGaps, Effect, Listed, ServerAdjustment, find_coverage_gaps};
pub use kind::{
    Draft, FieldError, Limits, Override, OverrideId, OverrideKind, Replay, Strictness, Subject,
};
pub use migration_pacer::MigrationPacer;
pub use set::{OverrideSet, Pin};

/// A time on the program's clock or a duration, in milliseconds. The program's clock is the Unix
/// time at the program's start, advanced by the monotonic clock.
pub type Millis = u64;
