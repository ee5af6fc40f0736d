//! Stories of overrides: the program with its platform front, administration API and store, over loopback.

#[path = "../support/mod.rs"]
mod support;

mod balancer;
mod durable;
mod effect;
mod requests;
