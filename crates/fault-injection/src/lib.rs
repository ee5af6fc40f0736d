//! Test harness: a fleet of real processes, stand-ins for the systems around them, and links with scripted faults.
//!
//! Links, processes, stand-ins and clients append what they observe to one [`Record`]. A test waits for conditions on
//! the record, and [`Rules`] checks it at the end. A test in `cli/tests/` reads like this:
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use beaconflow_fault_injection::{ClientConfig, Direction, Disk, Fault, Fleet, FleetConfig, Rules};
//!
//! let config = FleetConfig::new("target/release/beaconflow", 7); // env!("CARGO_BIN_EXE_beaconflow") in a test
//! let mut fleet = Fleet::new(config);
//! fleet.start_all();
//! let started = fleet.record.step("clients connect");
//! fleet.start_clients((0..40).map(|number| ClientConfig::new(&format!("k{number}"), "chat", "acme")));
//! let before = fleet.wait_all_established_since(started);
//!
//! // Links are named `near>far`: `clients>b0`, `b0>s1`, `b0>discovery`.
//! fleet.net.fault("b0>s1", Fault::Partition(Direction::Both));
//! fleet.net.fault("b0>s1", Fault::Heal);
//!
//! let killed = fleet.record.step("two processes are killed and restart with an empty disk");
//! fleet.kill(&[0, 1]);
//! fleet.start(&[0, 1], Disk::Lost);
//! let after = fleet.wait_all_established_since(killed);
//! assert!(before.len() == after.len());
//! fleet.finish(&Rules::default()).assert_no_violations();
//! ```
//!
//! Datagrams between processes go through [`Net::add_peer`], which returns the address that all other peers use for a
//! peer; the link between two of them is named `b0~b1`. A [`Script`] of faults is written by hand or generated from a
//! seed, and [`Net::play`] plays it.

#![forbid(unsafe_code)]

mod address;
mod checker;
mod client;
mod discovery;
mod fault;
mod fleet;
pub mod flood;
mod flow;
mod front;
mod net;
pub mod observers;
mod options;
mod process;
mod record;
mod server;

pub use address::{ReservedAddress, listen_address, source_address};
pub use checker::{CheckReport, Rule, Rules, Violation};
pub use client::{Client, ClientConfig};
pub use discovery::{Discovery, Lifecycle, ListFormat, ListedServer};
pub use fault::{Direction, Fault, Script, ScriptedFault};
pub use fleet::{Balancer, ConfigVersion, Fleet, FleetConfig};
pub use flow::Observation;
pub use front::Front;
pub use net::{Link, LinkObserver, MakeObserver, Net};
pub use options::FleetOptions;
pub use process::{Disk, Process};
pub use record::{
    ClientEvent, Event, EventKind, ListRow, ProcessEvent, Record, ServerEvent, Timestamp,
    WAIT_TIMEOUT, established_connections,
};
pub use server::{DrainPace, Server, ServerProfile};
