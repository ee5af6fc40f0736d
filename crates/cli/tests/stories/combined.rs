//! Faults that come together.

use beaconflow_fault_injection::{
    ConfigVersion, Direction, Disk, DrainPace, Fault, FleetConfig, Lifecycle, Rules,
    established_connections,
};

use super::edge::site_is;
use super::{
    ALL, all_know, all_know_but, all_stayed, all_there, power_is_lost, serving, shape, shape_at,
    stay,
};

const SITES: [(&str, usize); 2] = [("north", 3), ("south", 2)];
const SECOND: ConfigVersion = ConfigVersion {
    serial: 2,
    lane_value: 2.0,
};

#[test]
fn a_power_loss_while_a_roll_out_is_half_done() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape(41)
        },
        40,
    );
    fleet.roll_out(0, SECOND);
    fleet.roll_out(1, SECOND);
    all_know(&fleet, 40);
    let dark = fleet
        .record
        .step("the power is lost, and discovery with it");
    power_is_lost(&mut fleet);
    fleet.start(&ALL, Disk::Kept);
    fleet.wait_until_available(5);
    let half = fleet.wait_all_established_since(dark);
    stay(&fleet, &before, &half);
    fleet.record.step("discovery is back, and the roll goes on");
    fleet.discovery.come_back();
    all_there(&fleet);
    fleet.roll_out(2, SECOND);
    all_stayed(fleet, &before);
}

#[test]
fn an_island_during_a_release() {
    let (fleet, before) = serving(shape_at(42, &SITES), 40);
    site_is(&fleet, "south", "linked");
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    site_is(&fleet, "south", "islanded");
    fleet
        .record
        .step("a server drains; the island does not hear it from discovery, but from the server");
    fleet.discovery.set_lifecycle("s1", Lifecycle::Draining);
    fleet.servers[1].drain(DrainPace::AtOnce);
    fleet.record.wait("nobody is on it", |events| {
        let placed = established_connections(events);
        (placed.len() == 40 && placed.values().all(|server| server != "s1")).then_some(())
    });
    fleet.record.step("the uplink is back");
    fleet.fault_uplink("south", Fault::Heal);
    site_is(&fleet, "south", "linked");
    let after = fleet.wait_all_established();
    let rest = before
        .into_iter()
        .filter(|(_, server)| server != "s1")
        .collect();
    stay(&fleet, &rest, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn a_peer_that_is_stopped_while_its_site_rejoins() {
    let (fleet, before) = serving(shape_at(43, &[("north", 2), ("south", 3)]), 40);
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    site_is(&fleet, "south", "islanded");
    fleet
        .record
        .step("the uplink is back, and one of the site is stopped");
    fleet.balancers[4].process.pause();
    fleet.fault_uplink("south", Fault::Heal);
    for number in [2, 3] {
        fleet.wait_for_status(number, "linked", |said| {
            said["uplink"]
                .as_str()
                .is_some_and(|words| words.starts_with("linked"))
        });
    }
    fleet.record.step("it goes on");
    fleet.balancers[4].process.resume();
    all_there(&fleet);
    site_is(&fleet, "south", "linked");
    all_stayed(fleet, &before);
}

#[test]
fn a_power_loss_on_an_island() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape_at(44, &SITES)
        },
        40,
    );
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    site_is(&fleet, "south", "islanded");
    fleet
        .record
        .step("all processes of the island lose their power, and one its disk");
    fleet.kill(&[3, 4]);
    fleet.wait_until_available(3);
    fleet.start(&[3], Disk::Kept);
    fleet.start(&[4], Disk::Lost);
    fleet.wait_until_available(5);
    // The one without a disk has lost nothing that it ever saw: too little says to it that it is the link.
    fleet.wait_for_status(3, "islanded", |said| {
        said["uplink"]
            .as_str()
            .is_some_and(|words| words.starts_with("islanded"))
    });
    fleet.wait_all_established();
    fleet.fault_uplink("south", Fault::Heal);
    site_is(&fleet, "south", "linked");
    all_there(&fleet);
    all_stayed(fleet, &before);
}

#[test]
fn lost_disks_and_a_discovery_that_lost_its_state() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape(45)
        },
        40,
    );
    fleet.kill(&ALL);
    fleet.wait_until_available(0);
    fleet.discovery.lose_state();
    fleet.discovery.go_down();
    let dark = fleet.record.step(
        "the power is back, two disks are gone, discovery knows nothing of before and is late",
    );
    fleet.start(&[0, 1], Disk::Lost);
    fleet.start(&[2, 3, 4], Disk::Kept);
    fleet.wait_until_available(5);
    fleet.discovery.come_back();
    let after = fleet.wait_all_established_since(dark);
    stay(&fleet, &before, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn processes_die_while_datagrams_are_lost_doubled_and_late() {
    let (mut fleet, before) = serving(shape(46), 40);
    fleet.fault_datagrams(Fault::Drop(Direction::Both, 0.2));
    fleet.fault_datagrams(Fault::Duplicate(Direction::Both, 0.2));
    fleet.fault_datagrams(Fault::Delay(
        Direction::Both,
        std::time::Duration::from_millis(40),
    ));
    for which in [[0, 1], [2, 3]] {
        fleet
            .record
            .step(&format!("{which:?} die, one comes back without its disk"));
        fleet.kill(&which);
        fleet.wait_until_available(3);
        fleet.wait_all_established();
        all_know_but(&fleet, 40, &which);
        fleet.start(&which[..1], Disk::Lost);
        fleet.start(&which[1..], Disk::Kept);
        fleet.wait_until_available(5);
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
    fleet.balancers[4].process.pause();
    fleet.discovery.silence_watches();
    fleet.wait_until_available(4);
    fleet.roll_out(0, SECOND);
    fleet.roll_out(1, SECOND);
    fleet.balancers[4].process.resume();
    fleet.wait_until_available(5);
    all_there(&fleet);
    all_stayed(fleet, &before);
}

#[test]
fn a_version_is_rolled_on_an_island() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape_at(48, &SITES)
        },
        40,
    );
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    site_is(&fleet, "south", "islanded");
    fleet.roll_out(0, SECOND);
    fleet.roll_out(3, SECOND);
    site_is(&fleet, "south", "islanded");
    fleet.fault_uplink("south", Fault::Heal);
    site_is(&fleet, "south", "linked");
    all_there(&fleet);
    all_stayed(fleet, &before);
}
