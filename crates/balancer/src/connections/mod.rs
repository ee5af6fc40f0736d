//! Connections: handshake, attempt, relay and close.
//!
//! One thread accepts clients and reads their handshakes, one serves all connections, and each
//! attempt has a thread of its own. All decisions are made by the core.

pub mod acceptor;
pub mod connect;
pub mod descriptors;
pub mod event_loop;
pub mod lingering;
pub mod relay;
pub mod take_over;
