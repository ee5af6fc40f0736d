//! The balancer on real sockets, around the decisions of `beaconflow-policy`.
//!
//! [`core`] owns the policy and knows no wire. A [`front`] parses and encodes a protocol and
//! decides nothing. [`connections`] accepts, connects, relays and closes.

#![forbid(unsafe_code)]

pub mod admin;
pub mod attempt;
pub mod clock;
pub mod config;
pub mod connections;
pub mod core;
pub mod discovery;
pub mod fleet;
pub mod front;
pub mod handover;
pub mod http;
pub mod inherited;
pub mod log;
pub mod net;
pub mod operations;
pub mod operator;
pub mod overrides;
pub mod poller;
pub mod prober;
pub mod reload;
pub mod serve;
pub mod signals;
#[cfg(test)]
mod testing;
