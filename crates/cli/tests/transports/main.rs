//! Everything that carries messages for the program keeps to the contract of transports: a new one is one line here.

mod datagrams;
mod fronts;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use beaconflow_contracts::transports::{LinkFault, assert_conforms};
use beaconflow_fault_injection::{Direction, Fault};
use datagrams::Peers;
use fronts::{Front, Wire};

#[test]
fn the_platforms_front() {
    assert_conforms(|| Front::start(Wire::Platform));
}

#[test]
fn the_nats_front() {
    assert_conforms(|| Front::start(Wire::Nats));
}

#[test]
fn peers_datagrams() {
    assert_conforms(Peers::default);
}

/// The weather as it is made of a link.
fn fault(weather: LinkFault) -> Fault {
    match weather {
        LinkFault::None => Fault::Heal,
        LinkFault::Partition => Fault::Partition(Direction::Both),
        LinkFault::Fragments(size) => {
            Fault::Throttle(Direction::Both, size, Duration::from_micros(200))
        }
        LinkFault::Duplicate => Fault::Duplicate(Direction::Both, 1.0),
        LinkFault::Jitter => Fault::Delay(Direction::Both, Duration::from_millis(5)),
    }
}
