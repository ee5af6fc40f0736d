//! Every transport of the program conforms to the transport contract; a new transport needs one test here.

mod datagrams;
mod fronts;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use beaconflow_contracts::transports::{LinkFault, assert_conforms};
use beaconflow_fault_injection::{Direction, Fault};
use datagrams::PeerDatagrams;
use fronts::{Front, Protocol};

#[test]
fn platform_front_conforms() {
    assert_conforms(|| Front::start(Protocol::Platform));
}

#[test]
fn nats_front_conforms() {
    assert_conforms(|| Front::start(Protocol::Nats));
}

#[test]
fn peer_datagrams_conform() {
    assert_conforms(PeerDatagrams::default);
}

/// The link fault that produces these conditions.
fn link_fault(conditions: LinkFault) -> Fault {
    match conditions {
        LinkFault::None => Fault::Heal,
        LinkFault::Partition => Fault::Partition(Direction::Both),
        LinkFault::Fragments(size) => {
            Fault::Throttle(Direction::Both, size, Duration::from_micros(200))
        }
        LinkFault::Duplicate => Fault::Duplicate(Direction::Both, 1.0),
        LinkFault::Jitter => Fault::Delay(Direction::Both, Duration::from_millis(5)),
    }
}
