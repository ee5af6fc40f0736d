//! Everything that carries messages for the program keeps to the contract of transports: a new one is one line here.

mod datagrams;
mod fronts;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use beaconflow_contracts::transports::{Weather, passes};
use beaconflow_fault_injection::{Fault, Way};
use datagrams::Peers;
use fronts::{Front, Wire};

#[test]
fn the_platforms_front() {
    passes(|| Front::start(Wire::Platform));
}

#[test]
fn the_nats_front() {
    passes(|| Front::start(Wire::Nats));
}

#[test]
fn peers_datagrams() {
    passes(Peers::default);
}

/// The weather as it is made of a link.
fn fault(weather: Weather) -> Fault {
    match weather {
        Weather::Fair => Fault::Heal,
        Weather::Cut => Fault::Cut(Way::Both),
        Weather::Pieces(size) => Fault::Dribble(Way::Both, size, Duration::from_micros(200)),
        Weather::Doubled => Fault::Double(Way::Both, 1.0),
        Weather::Uneven => Fault::Delay(Way::Both, Duration::from_millis(5)),
    }
}
