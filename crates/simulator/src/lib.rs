//! Discrete-event simulator: a model of gateways and their failures, and an engine that runs scenarios against it on a
//! virtual clock, with the production decision module and admission queue in every balancer.
//!
//! No part of it is linked into the balancer. `gateway` and `store` are the model: pure code driven by the timestamps
//! passed in. `scenario` parses scenario files, `engine` advances the clock, `checker` verifies the rules that every run
//! has to keep, and `measures` aggregates the results.

#![forbid(unsafe_code)]

pub mod checker;
pub mod compare;
pub mod engine;
pub mod gateway;
pub mod measures;
pub mod mesh;
pub mod policies;
pub mod random;
pub mod scenario;
pub mod store;
pub mod versions;

/// A point on the virtual clock, or a duration, in nanoseconds.
pub type Nanos = u64;

/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;

/// Converts seconds to nanoseconds. Negative values and NaN give 0.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}
