//! For tests only: a fleet of real processes, what is round them, and links between any two that break by a script.
//!
//! Everything that links, processes, stand-ins and clients see goes into one [`Record`], which a story waits on and the
//! [`Rules`] are checked against. A story in `cli/tests/` reads like this:
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use beaconflow_fault_injection::{Disk, Fault, Fleet, Plan, Rules, Shape, Direction};
//!
//! let shape = Shape::new("target/release/beaconflow", 7); // env!("CARGO_BIN_EXE_beaconflow") in a test
//! let mut fleet = Fleet::new(shape);
//! fleet.start_all();
//! let begun = fleet.record.step("clients come");
//! fleet.clients((0..40).map(|number| Plan::new(&format!("k{number}"), "chat", "acme")));
//! let before = fleet.all_stand_since(begun);
//!
//! // Links are named `near>far`: `clients>b0`, `b0>s1`, `b0>discovery`.
//! fleet.net.fault("b0>s1", Fault::Cut(Direction::Both));
//! fleet.net.fault("b0>s1", Fault::Heal);
//!
//! let killed = fleet.record.step("two processes die, and come back with an empty disk");
//! fleet.kill(&[0, 1]);
//! fleet.start(&[0, 1], Disk::Lost);
//! let after = fleet.all_stand_since(killed);
//! assert!(before.len() == after.len());
//! fleet.finish(&Rules::default()).assert_held();
//! ```
//!
//! Datagrams between processes go through [`Net::party`], which gives the address that all others are to know a party
//! by; the link between two of them is named `b0~b1`. A [`Script`] of faults is written by hand or drawn from a seed, and played by [`Net::play`].

#![forbid(unsafe_code)]

mod address;
mod checker;
mod client;
mod discovery;
mod fault;
mod fleet;
mod flow;
mod front;
mod net;
pub mod observers;
mod process;
mod record;
mod server;
mod together;

pub use address::{ReservedAddress, listening, party};
pub use checker::{Breach, Checked, Rule, Rules};
pub use client::{Client, Plan};
pub use discovery::{Discovery, Lifecycle, Listed, Style};
pub use fault::{Direction, Fault, Line, Script};
pub use fleet::{Balancer, Fleet, Shape, Version};
pub use flow::Observation;
pub use front::Front;
pub use net::{Link, LinkObserver, MakeObserver, Net};
pub use process::{Disk, Process};
pub use record::{
    ClientDid, Did, Event, Moment, Record, Row, ServerDid, WAIT_TIMEOUT, What, established,
};
pub use server::{Ability, Leaves, Server};
pub use together::Together;
