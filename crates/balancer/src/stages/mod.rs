//! The stages that a transaction passes: take in, admit, route, send, relay, book.
//!
//! Admitting, routing and booking are the core's; see `core`.

pub mod budget;
pub mod lingering;
pub mod relay;
pub mod send;
pub mod take_in;
pub mod transactions;
