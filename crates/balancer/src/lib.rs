//! The balancer process: sockets, threads and I/O around the decisions of `beaconflow-policy`.
//!
//! [`core`] owns the policy and is independent of any protocol. A [`front`] parses and encodes one
//! protocol and makes no decisions. [`connections`] accepts, connects, relays and closes.

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
