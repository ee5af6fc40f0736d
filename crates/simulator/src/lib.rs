//! The laboratory: a model of gateways and what goes wrong with them, and an engine that plays scenarios against it on a
//! virtual clock, with the real decision module and the real door in every balancer.
//!
//! Nothing of it is linked into the balancer. `gateway` and `store` are the model, pure and driven by the moments that
//! they are handed; `scenario` is what a file says; `engine` moves the clock; `checker` reads what happened and names
//! rules that were broken; `measures` adds it up.

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

/// A moment or a span, in nanoseconds.
pub type Nanos = u64;

/// One second.
pub const SECOND: Nanos = 1_000_000_000;

/// A span in nanoseconds from seconds; what is below 0 or no number is 0.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}
