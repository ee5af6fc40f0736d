//! Overrides in the whole program: platform front, administration API and store, over loopback.

#[path = "../support/mod.rs"]
mod support;

mod balancer;
mod durable;
mod effect;
mod requests;
