//! Conformance suites for every store and transport implementation; for tests only.
//!
//! [`stores`] and [`transports`] are the suites: `assert_conforms` runs all cases of a suite against an implementation.
//! Faults of stores are injected by an in-memory [`disk`] or a fake [`redis`] server on loopback.

#![forbid(unsafe_code)]

pub mod disk;
pub mod redis;
pub mod stores;
pub mod transports;
