//! An edge site without its uplink.

use std::time::Duration;

use beaconflow_fault_injection::{Direction, Disk, EventKind, Fault, Fleet, FleetConfig, Rules};

use super::{
    assert_placements_kept, finish_with_placements_kept, fleet_config_with_sites,
    start_with_clients,
};

const SITES: [(&str, usize); 2] = [("north", 3), ("south", 2)];

/// Waits until every process of a site reports this state of its uplink.
pub fn wait_for_uplink_state(fleet: &Fleet, site: &str, state: &str) {
    for number in fleet.site_members(site) {
        fleet.wait_for_status(number, state, |status| {
            status["uplink"]
                .as_str()
                .is_some_and(|uplink| uplink.starts_with(state))
        });
    }
}

#[test]
fn site_without_uplink_serves_and_rejoins_without_moves() {
    let (mut fleet, initial) = start_with_clients(fleet_config_with_sites(31, &SITES), 40);
    wait_for_uplink_state(&fleet, "south", "linked");
    fleet.record.step("the south loses its uplink");
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    wait_for_uplink_state(&fleet, "south", "islanded");
    wait_for_uplink_state(&fleet, "north", "linked");
    fleet.record.step("new clients connect meanwhile");
    fleet.start_clients(super::clients(60).skip(40));
    let all = fleet.wait_all_established();
    fleet.record.step("the uplink is back");
    fleet.fault_uplink("south", Fault::Heal);
    wait_for_uplink_state(&fleet, "south", "linked");
    let after = fleet.wait_all_established();
    assert_placements_kept(&fleet, &all, &after);
    let initial_clients = after
        .into_iter()
        .filter(|(client, _)| initial.contains_key(client))
        .collect();
    assert_placements_kept(&fleet, &initial, &initial_clients);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn process_restarted_on_isolated_site_serves_from_memory_and_peers() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config_with_sites(32, &SITES)
        },
        40,
    );
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    wait_for_uplink_state(&fleet, "south", "islanded");
    fleet
        .record
        .step("one process restarts with its disk, one without");
    fleet.kill(&[3]);
    fleet.wait_until_available(4);
    fleet.start(&[3], Disk::Kept);
    fleet.wait_until_available(5);
    fleet.kill(&[4]);
    fleet.wait_until_available(4);
    fleet.start(&[4], Disk::Lost);
    fleet.wait_until_available(5);
    let after = fleet.wait_all_established();
    assert_placements_kept(&fleet, &initial, &after);
    fleet.fault_uplink("south", Fault::Heal);
    wait_for_uplink_state(&fleet, "south", "linked");
    fleet.finish(&Rules::default()).assert_no_violations();
}

/// Number of log events in which a process became isolated.
fn isolation_count(fleet: &Fleet) -> usize {
    let events = fleet.record.events_by_time();
    let is_isolation = |kind: &EventKind| matches!(kind, EventKind::Log { line, .. } if line["part"] == "edge" && line["to"] == "islanded");
    events
        .iter()
        .filter(|event| is_isolation(&event.kind))
        .count()
}

/// While the uplink fails every other second, each process of the site becomes isolated at most once.
#[test]
fn flapping_link_does_not_make_site_flap() {
    let (fleet, initial) = start_with_clients(fleet_config_with_sites(33, &SITES), 40);
    wait_for_uplink_state(&fleet, "south", "linked");
    fleet
        .record
        .step("the uplink of the south fails and returns every second for ten seconds");
    for turn in 0..5 {
        fleet.fault_uplink("south", Fault::Partition(Direction::Both));
        std::thread::sleep(Duration::from_secs(1));
        fleet.fault_uplink(
            "south",
            if turn % 2 == 0 {
                Fault::Heal
            } else {
                Fault::HealWithReset
            },
        );
        std::thread::sleep(Duration::from_secs(1));
    }
    wait_for_uplink_state(&fleet, "south", "linked");
    wait_for_uplink_state(&fleet, "north", "linked");
    let count = isolation_count(&fleet);
    assert!(
        count <= fleet.site_members("south").len(),
        "processes became isolated {count} times"
    );
    finish_with_placements_kept(fleet, &initial);
}

/// An uplink that fails in one direction isolates the site, although the other site still receives its messages.
#[test]
fn site_that_receives_nothing_becomes_isolated() {
    let (fleet, initial) = start_with_clients(fleet_config_with_sites(34, &SITES), 40);
    wait_for_uplink_state(&fleet, "south", "linked");
    fleet
        .record
        .step("the uplink of the south drops incoming traffic; outgoing traffic arrives");
    fleet.fault_uplink("south", Fault::Partition(Direction::Reverse));
    wait_for_uplink_state(&fleet, "south", "islanded");
    wait_for_uplink_state(&fleet, "north", "linked");
    fleet.fault_uplink("south", Fault::HealWithReset);
    wait_for_uplink_state(&fleet, "south", "linked");
    finish_with_placements_kept(fleet, &initial);
}

/// A site that still reaches the other site is not isolated, even when discovery is down for all.
#[test]
fn discovery_outage_isolates_no_site() {
    let (mut fleet, initial) = start_with_clients(fleet_config_with_sites(35, &SITES), 40);
    wait_for_uplink_state(&fleet, "south", "linked");
    let outage_start = fleet.record.step("discovery is down for all processes");
    fleet.discovery.go_down();
    for number in 0..5 {
        fleet.wait_for_log(outage_start, &format!("b{number}"), "watch ended");
    }
    fleet
        .record
        .step("a process of each site is killed and restarted meanwhile");
    fleet.kill(&[2, 4]);
    fleet.wait_until_available(3);
    fleet.start(&[2, 4], Disk::Kept);
    fleet.wait_until_available(5);
    fleet.wait_all_established();
    for site in ["north", "south"] {
        wait_for_uplink_state(&fleet, site, "linked");
    }
    assert_eq!(isolation_count(&fleet), 0);
    fleet.discovery.come_back();
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn one_partitioned_process_does_not_isolate_its_site() {
    let (fleet, initial) = start_with_clients(fleet_config_with_sites(36, &SITES), 40);
    wait_for_uplink_state(&fleet, "north", "linked");
    fleet
        .record
        .step("one process of the north is partitioned from discovery and all other processes");
    let is_own_link = |link: &String| link.contains('~') || link.ends_with(">discovery");
    let links: Vec<String> = fleet
        .net
        .links_of("b0")
        .into_iter()
        .filter(is_own_link)
        .collect();
    links
        .iter()
        .for_each(|link| fleet.net.fault(link, Fault::Partition(Direction::Both)));
    for number in 1..5 {
        fleet.wait_for_status(number, "one member fewer", |status| {
            status["processes"] == 4
        });
    }
    fleet.wait_all_established();
    wait_for_uplink_state(&fleet, "south", "linked");
    for number in [1, 2] {
        fleet.wait_for_status(number, "linked", |status| {
            status["uplink"]
                .as_str()
                .is_some_and(|uplink| uplink.starts_with("linked"))
        });
    }
    links
        .iter()
        .for_each(|link| fleet.net.fault(link, Fault::Heal));
    super::wait_for_all_members(&fleet);
    finish_with_placements_kept(fleet, &initial);
}
