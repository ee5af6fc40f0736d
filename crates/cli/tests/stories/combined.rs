//! Combinations of faults.

use beaconflow_fault_injection::{
    ConfigVersion, Direction, Disk, DrainPace, Fault, FleetConfig, Lifecycle, Rules,
    established_connections,
};

use super::edge::wait_for_uplink_state;
use super::{
    ALL, assert_placements_kept, cut_power, finish_with_placements_kept, fleet_config,
    fleet_config_with_sites, start_with_clients, wait_for_all_members, wait_for_placements,
    wait_for_placements_except,
};

const SITES: [(&str, usize); 2] = [("north", 3), ("south", 2)];
const SECOND_VERSION: ConfigVersion = ConfigVersion {
    serial: 2,
    deadline_ms: 3_001,
};

#[test]
fn power_loss_during_half_done_rollout_keeps_placements() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config(41)
        },
        40,
    );
    fleet.roll_out(0, SECOND_VERSION);
    fleet.roll_out(1, SECOND_VERSION);
    wait_for_placements(&fleet, 40);
    let outage_start = fleet.record.step("power loss, also at discovery");
    cut_power(&mut fleet);
    fleet.start(&ALL, Disk::Kept);
    fleet.wait_until_available(5);
    let after_power_loss = fleet.wait_all_established_since(outage_start);
    assert_placements_kept(&fleet, &initial, &after_power_loss);
    fleet
        .record
        .step("discovery is back, and the rollout continues");
    fleet.discovery.come_back();
    wait_for_all_members(&fleet);
    fleet.roll_out(2, SECOND_VERSION);
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn isolated_site_learns_of_drain_from_server() {
    let (fleet, initial) = start_with_clients(fleet_config_with_sites(42, &SITES), 40);
    wait_for_uplink_state(&fleet, "south", "linked");
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    wait_for_uplink_state(&fleet, "south", "islanded");
    fleet
        .record
        .step("a server drains; the isolated site learns it from the server instead of discovery");
    fleet.discovery.set_lifecycle("s1", Lifecycle::Draining);
    fleet.servers[1].drain(DrainPace::AtOnce);
    fleet
        .record
        .wait("the draining server has no clients", |events| {
            let placements = established_connections(events);
            (placements.len() == 40 && placements.values().all(|server| server != "s1"))
                .then_some(())
        });
    fleet.record.step("the uplink is back");
    fleet.fault_uplink("south", Fault::Heal);
    wait_for_uplink_state(&fleet, "south", "linked");
    let after = fleet.wait_all_established();
    let unaffected = initial
        .into_iter()
        .filter(|(_, server)| server != "s1")
        .collect();
    assert_placements_kept(&fleet, &unaffected, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn site_rejoins_while_one_peer_is_paused() {
    let (fleet, initial) = start_with_clients(
        fleet_config_with_sites(43, &[("north", 2), ("south", 3)]),
        40,
    );
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    wait_for_uplink_state(&fleet, "south", "islanded");
    fleet
        .record
        .step("the uplink is back, and one process of the site is paused");
    fleet.balancers[4].process.pause();
    fleet.fault_uplink("south", Fault::Heal);
    for number in [2, 3] {
        fleet.wait_for_status(number, "linked", |status| {
            status["uplink"]
                .as_str()
                .is_some_and(|uplink| uplink.starts_with("linked"))
        });
    }
    fleet.record.step("the paused process resumes");
    fleet.balancers[4].process.resume();
    wait_for_all_members(&fleet);
    wait_for_uplink_state(&fleet, "south", "linked");
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn power_loss_on_isolated_site_keeps_placements() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config_with_sites(44, &SITES)
        },
        40,
    );
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    wait_for_uplink_state(&fleet, "south", "islanded");
    fleet
        .record
        .step("all processes of the isolated site lose power, and one loses its disk");
    fleet.kill(&[3, 4]);
    fleet.wait_until_available(3);
    fleet.start(&[3], Disk::Kept);
    fleet.start(&[4], Disk::Lost);
    fleet.wait_until_available(5);
    // The process without a disk does not remember having lost anything, so it has too little evidence of an uplink failure.
    fleet.wait_for_status(3, "islanded", |status| {
        status["uplink"]
            .as_str()
            .is_some_and(|uplink| uplink.starts_with("islanded"))
    });
    fleet.wait_all_established();
    fleet.fault_uplink("south", Fault::Heal);
    wait_for_uplink_state(&fleet, "south", "linked");
    wait_for_all_members(&fleet);
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn lost_disks_and_discovery_state_keep_placements() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config(45)
        },
        40,
    );
    fleet.kill(&ALL);
    fleet.wait_until_available(0);
    fleet.discovery.lose_state();
    fleet.discovery.go_down();
    let outage_start = fleet
        .record
        .step("power returns, two disks are lost, and discovery lost its state and returns late");
    fleet.start(&[0, 1], Disk::Lost);
    fleet.start(&[2, 3, 4], Disk::Kept);
    fleet.wait_until_available(5);
    fleet.discovery.come_back();
    let after = fleet.wait_all_established_since(outage_start);
    assert_placements_kept(&fleet, &initial, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn process_kills_under_datagram_faults_keep_placements() {
    let (mut fleet, initial) = start_with_clients(fleet_config(46), 40);
    fleet.fault_datagrams(Fault::Drop(Direction::Both, 0.2));
    fleet.fault_datagrams(Fault::Duplicate(Direction::Both, 0.2));
    fleet.fault_datagrams(Fault::Delay(
        Direction::Both,
        std::time::Duration::from_millis(40),
    ));
    for killed in [[0, 1], [2, 3]] {
        fleet.record.step(&format!(
            "processes {killed:?} are killed, and one restarts without its disk"
        ));
        fleet.kill(&killed);
        fleet.wait_until_available(3);
        fleet.wait_all_established();
        wait_for_placements_except(&fleet, 40, &killed);
        fleet.start(&killed[..1], Disk::Lost);
        fleet.start(&killed[1..], Disk::Kept);
        fleet.wait_until_available(5);
        wait_for_all_members(&fleet);
        wait_for_placements(&fleet, 40);
    }
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn rollout_with_paused_process_and_silent_discovery_keeps_placements() {
    let (mut fleet, initial) = start_with_clients(fleet_config(47), 40);
    fleet
        .record
        .step("one process is paused, and discovery falls silent");
    fleet.balancers[4].process.pause();
    fleet.discovery.silence_watches();
    fleet.wait_until_available(4);
    fleet.roll_out(0, SECOND_VERSION);
    fleet.roll_out(1, SECOND_VERSION);
    fleet.balancers[4].process.resume();
    fleet.wait_until_available(5);
    wait_for_all_members(&fleet);
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn rollout_on_isolated_site_keeps_placements() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config_with_sites(48, &SITES)
        },
        40,
    );
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    wait_for_uplink_state(&fleet, "south", "islanded");
    fleet.roll_out(0, SECOND_VERSION);
    fleet.roll_out(3, SECOND_VERSION);
    wait_for_uplink_state(&fleet, "south", "islanded");
    fleet.fault_uplink("south", Fault::Heal);
    wait_for_uplink_state(&fleet, "south", "linked");
    wait_for_all_members(&fleet);
    finish_with_placements_kept(fleet, &initial);
}
