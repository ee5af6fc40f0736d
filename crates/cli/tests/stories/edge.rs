//! An edge site without its uplink.

use std::time::Duration;

use beaconflow_fault_injection::{Direction, Disk, EventKind, Fault, Fleet, FleetConfig, Rules};

use super::{all_stayed, serving, shape_at, stay};

const SITES: [(&str, usize); 2] = [("north", 3), ("south", 2)];

/// Waits until the processes of a site are in a state, as they say it themselves.
pub fn site_is(fleet: &Fleet, site: &str, state: &str) {
    for number in fleet.site_members(site) {
        fleet.wait_for_status(number, state, |said| {
            said["uplink"]
                .as_str()
                .is_some_and(|words| words.starts_with(state))
        });
    }
}

#[test]
fn a_site_that_loses_its_uplink_is_an_island_serves_on_and_rejoins_without_moves() {
    let (mut fleet, before) = serving(shape_at(31, &SITES), 40);
    site_is(&fleet, "south", "linked");
    fleet.record.step("the south loses its uplink");
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    site_is(&fleet, "south", "islanded");
    site_is(&fleet, "north", "linked");
    fleet.record.step("new clients come meanwhile");
    fleet.start_clients(super::clients(60).skip(40));
    let all = fleet.wait_all_established();
    fleet.record.step("the uplink is back");
    fleet.fault_uplink("south", Fault::Heal);
    site_is(&fleet, "south", "linked");
    let after = fleet.wait_all_established();
    stay(&fleet, &all, &after);
    let old = after
        .into_iter()
        .filter(|(client, _)| before.contains_key(client))
        .collect();
    stay(&fleet, &before, &old);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn a_process_that_restarts_on_an_island_serves_by_memory_and_peers() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape_at(32, &SITES)
        },
        40,
    );
    fleet.fault_uplink("south", Fault::Partition(Direction::Both));
    site_is(&fleet, "south", "islanded");
    fleet.record.step("one restarts with its disk, one without");
    fleet.kill(&[3]);
    fleet.wait_until_available(4);
    fleet.start(&[3], Disk::Kept);
    fleet.wait_until_available(5);
    fleet.kill(&[4]);
    fleet.wait_until_available(4);
    fleet.start(&[4], Disk::Lost);
    fleet.wait_until_available(5);
    let after = fleet.wait_all_established();
    stay(&fleet, &before, &after);
    fleet.fault_uplink("south", Fault::Heal);
    site_is(&fleet, "south", "linked");
    fleet.finish(&Rules::default()).assert_no_violations();
}

/// How often the processes of a site said that they became an island.
fn became_islands(fleet: &Fleet) -> usize {
    let events = fleet.record.events_by_time();
    let said = |what: &EventKind| matches!(what, EventKind::Log { line, .. } if line["part"] == "edge" && line["to"] == "islanded");
    events.iter().filter(|event| said(&event.kind)).count()
}

#[test]
fn a_link_that_flaps_makes_no_site_flap() {
    let (fleet, before) = serving(shape_at(33, &SITES), 40);
    site_is(&fleet, "south", "linked");
    fleet
        .record
        .step("the uplink of the south comes and goes, every second for ten");
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
    site_is(&fleet, "south", "linked");
    site_is(&fleet, "north", "linked");
    let count = became_islands(&fleet);
    assert!(
        count <= fleet.site_members("south").len(),
        "islands {count} times"
    );
    all_stayed(fleet, &before);
}

#[test]
fn a_site_that_is_heard_and_hears_nothing_is_an_island() {
    let (fleet, before) = serving(shape_at(34, &SITES), 40);
    site_is(&fleet, "south", "linked");
    fleet
        .record
        .step("nothing comes in over the uplink of the south any more; what goes out arrives");
    fleet.fault_uplink("south", Fault::Partition(Direction::Reverse));
    site_is(&fleet, "south", "islanded");
    site_is(&fleet, "north", "linked");
    fleet.fault_uplink("south", Fault::HealWithReset);
    site_is(&fleet, "south", "linked");
    all_stayed(fleet, &before);
}

#[test]
fn a_discovery_that_is_down_for_all_makes_no_island() {
    let (mut fleet, before) = serving(shape_at(35, &SITES), 40);
    site_is(&fleet, "south", "linked");
    let down = fleet.record.step("discovery is down for all");
    fleet.discovery.go_down();
    for number in 0..5 {
        fleet.wait_for_log(down, &format!("b{number}"), "watch ended");
    }
    fleet
        .record
        .step("a process of each site dies and comes back meanwhile");
    fleet.kill(&[2, 4]);
    fleet.wait_until_available(3);
    fleet.start(&[2, 4], Disk::Kept);
    fleet.wait_until_available(5);
    fleet.wait_all_established();
    for site in ["north", "south"] {
        site_is(&fleet, site, "linked");
    }
    assert_eq!(became_islands(&fleet), 0);
    fleet.discovery.come_back();
    all_stayed(fleet, &before);
}

#[test]
fn one_process_that_is_cut_off_makes_no_island_of_its_site() {
    let (fleet, before) = serving(shape_at(36, &SITES), 40);
    site_is(&fleet, "north", "linked");
    fleet
        .record
        .step("one process of the north is cut off from discovery and all others");
    let of_it = |link: &String| link.contains('~') || link.ends_with(">discovery");
    let links: Vec<String> = fleet.net.links_of("b0").into_iter().filter(of_it).collect();
    links
        .iter()
        .for_each(|link| fleet.net.fault(link, Fault::Partition(Direction::Both)));
    for number in 1..5 {
        fleet.wait_for_status(number, "one is gone", |said| said["processes"] == 4);
    }
    fleet.wait_all_established();
    site_is(&fleet, "south", "linked");
    for number in [1, 2] {
        fleet.wait_for_status(number, "linked", |said| {
            said["uplink"]
                .as_str()
                .is_some_and(|words| words.starts_with("linked"))
        });
    }
    links
        .iter()
        .for_each(|link| fleet.net.fault(link, Fault::Heal));
    super::all_there(&fleet);
    all_stayed(fleet, &before);
}
