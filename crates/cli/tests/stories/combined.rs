//! Faults that come together.

use beaconflow_fault_injection::{
    Direction, Disk, Fault, Leaves, Lifecycle, Rules, Shape, Version, established,
};

use super::edge::site_is;
use super::{
    ALL, all_know, all_know_but, all_stayed, all_there, power_is_lost, serving, shape, shape_at,
    stay,
};

const SITES: [(&str, usize); 2] = [("north", 3), ("south", 2)];
const SECOND: Version = Version {
    serial: 2,
    worth: 2.0,
};

#[test]
fn a_power_loss_while_a_roll_out_is_half_done() {
    let (mut fleet, before) = serving(
        Shape {
            told: false,
            ..shape(41)
        },
        40,
    );
    fleet.roll(0, SECOND);
    fleet.roll(1, SECOND);
    all_know(&fleet, 40);
    let dark = fleet
        .record
        .step("the power is lost, and discovery with it");
    power_is_lost(&mut fleet);
    fleet.start(&ALL, Disk::Kept);
    fleet.are_open(5);
    let half = fleet.all_stand_since(dark);
    stay(&fleet, &before, &half);
    fleet.record.step("discovery is back, and the roll goes on");
    fleet.discovery.comes_back();
    all_there(&fleet);
    fleet.roll(2, SECOND);
    all_stayed(fleet, &before);
}

#[test]
fn an_island_during_a_release() {
    let (fleet, before) = serving(shape_at(42, &SITES), 40);
    site_is(&fleet, "south", "linked");
    fleet.uplink("south", Fault::Cut(Direction::Both));
    site_is(&fleet, "south", "islanded");
    fleet
        .record
        .step("a server drains; the island does not hear it from discovery, but from the server");
    fleet.discovery.lists_as("s1", Lifecycle::Draining);
    fleet.servers[1].drains(Leaves::AtOnce);
    fleet.record.wait("nobody is on it", |events| {
        let placed = established(events);
        (placed.len() == 40 && placed.values().all(|server| server != "s1")).then_some(())
    });
    fleet.record.step("the uplink is back");
    fleet.uplink("south", Fault::Heal);
    site_is(&fleet, "south", "linked");
    let after = fleet.all_stand();
    let rest = before
        .into_iter()
        .filter(|(_, server)| server != "s1")
        .collect();
    stay(&fleet, &rest, &after);
    fleet.finish(&Rules::default()).assert_held();
}

#[test]
fn a_peer_that_is_stopped_while_its_site_rejoins() {
    let (fleet, before) = serving(shape_at(43, &[("north", 2), ("south", 3)]), 40);
    fleet.uplink("south", Fault::Cut(Direction::Both));
    site_is(&fleet, "south", "islanded");
    fleet
        .record
        .step("the uplink is back, and one of the site is stopped");
    fleet.balancers[4].process.stop();
    fleet.uplink("south", Fault::Heal);
    for number in [2, 3] {
        fleet.until(number, "linked", |said| {
            said["uplink"]
                .as_str()
                .is_some_and(|words| words.starts_with("linked"))
        });
    }
    fleet.record.step("it goes on");
    fleet.balancers[4].process.proceed();
    all_there(&fleet);
    site_is(&fleet, "south", "linked");
    all_stayed(fleet, &before);
}

#[test]
fn a_power_loss_on_an_island() {
    let (mut fleet, before) = serving(
        Shape {
            told: false,
            ..shape_at(44, &SITES)
        },
        40,
    );
    fleet.uplink("south", Fault::Cut(Direction::Both));
    site_is(&fleet, "south", "islanded");
    fleet
        .record
        .step("all processes of the island lose their power, and one its disk");
    fleet.kill(&[3, 4]);
    fleet.are_open(3);
    fleet.start(&[3], Disk::Kept);
    fleet.start(&[4], Disk::Lost);
    fleet.are_open(5);
    // The one without a disk has lost nothing that it ever saw: too little says to it that it is the link.
    fleet.until(3, "islanded", |said| {
        said["uplink"]
            .as_str()
            .is_some_and(|words| words.starts_with("islanded"))
    });
    fleet.all_stand();
    fleet.uplink("south", Fault::Heal);
    site_is(&fleet, "south", "linked");
    all_there(&fleet);
    all_stayed(fleet, &before);
}

#[test]
fn lost_disks_and_a_discovery_that_lost_its_state() {
    let (mut fleet, before) = serving(
        Shape {
            told: false,
            ..shape(45)
        },
        40,
    );
    fleet.kill(&ALL);
    fleet.are_open(0);
    fleet.discovery.loses_state();
    fleet.discovery.goes_down();
    let dark = fleet.record.step(
        "the power is back, two disks are gone, discovery knows nothing of before and is late",
    );
    fleet.start(&[0, 1], Disk::Lost);
    fleet.start(&[2, 3, 4], Disk::Kept);
    fleet.are_open(5);
    fleet.discovery.comes_back();
    let after = fleet.all_stand_since(dark);
    stay(&fleet, &before, &after);
    fleet.finish(&Rules::default()).assert_held();
}

#[test]
fn processes_die_while_datagrams_are_lost_doubled_and_late() {
    let (mut fleet, before) = serving(shape(46), 40);
    fleet.datagrams(Fault::Lose(Direction::Both, 0.2));
    fleet.datagrams(Fault::Double(Direction::Both, 0.2));
    fleet.datagrams(Fault::Delay(
        Direction::Both,
        std::time::Duration::from_millis(40),
    ));
    for which in [[0, 1], [2, 3]] {
        fleet
            .record
            .step(&format!("{which:?} die, one comes back without its disk"));
        fleet.kill(&which);
        fleet.are_open(3);
        fleet.all_stand();
        all_know_but(&fleet, 40, &which);
        fleet.start(&which[..1], Disk::Lost);
        fleet.start(&which[1..], Disk::Kept);
        fleet.are_open(5);
        all_there(&fleet);
        all_know(&fleet, 40);
    }
    all_stayed(fleet, &before);
}

#[test]
fn a_version_is_rolled_while_one_process_is_stopped_and_discovery_is_silent() {
    let (mut fleet, before) = serving(shape(47), 40);
    fleet
        .record
        .step("one process is stopped, and discovery falls silent");
    fleet.balancers[4].process.stop();
    fleet.discovery.falls_silent();
    fleet.are_open(4);
    fleet.roll(0, SECOND);
    fleet.roll(1, SECOND);
    fleet.balancers[4].process.proceed();
    fleet.are_open(5);
    all_there(&fleet);
    all_stayed(fleet, &before);
}

#[test]
fn a_version_is_rolled_on_an_island() {
    let (mut fleet, before) = serving(
        Shape {
            told: false,
            ..shape_at(48, &SITES)
        },
        40,
    );
    fleet.uplink("south", Fault::Cut(Direction::Both));
    site_is(&fleet, "south", "islanded");
    fleet.roll(0, SECOND);
    fleet.roll(3, SECOND);
    site_is(&fleet, "south", "islanded");
    fleet.uplink("south", Fault::Heal);
    site_is(&fleet, "south", "linked");
    all_there(&fleet);
    all_stayed(fleet, &before);
}
