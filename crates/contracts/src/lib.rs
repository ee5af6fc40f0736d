//! What every store and every transport must keep to, whatever they are made of; for tests only.
//!
//! [`stores`] and [`transports`] are the suites: a new store or transport is put through its suite in one line. The ground
//! that breaks under stores is a [`disk`] in memory, or a [`redis`] on loopback.

#![forbid(unsafe_code)]

pub mod disk;
pub mod redis;
pub mod stores;
pub mod transports;
