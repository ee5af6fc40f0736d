//! The balancer on real sockets, built round beaconflow's decisions.
//!
//! [`core`] owns the decision module and knows no wire. A [`front`] frames a wire and decides nothing. Between
//! them a transaction passes the [`stages`]: take in, admit, route, send, relay, book.

#![forbid(unsafe_code)]

pub mod admin;
pub mod clock;
pub mod config;
pub mod core;
pub mod farm;
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
pub mod pass;
pub mod poller;
pub mod prober;
pub mod reload;
pub mod serve;
pub mod signals;
pub mod stages;
#[cfg(test)]
mod testing;
