//! Power losses.

use beaconflow_fault_injection::{
    Direction, Disk, Fault, FleetConfig, Lifecycle, Rules, ServerProfile,
};

use super::{
    ALL, all_know, all_stayed, all_stayed_since, all_there, clients, power_is_lost, serving, shape,
    stay,
};
use std::time::{Duration, Instant};

const SERVERS: [usize; 6] = [0, 1, 2, 3, 4, 5];

#[test]
fn half_of_the_processes_are_killed_and_the_rest_serves_all_their_clients() {
    let (mut fleet, before) = serving(shape(11), 48);
    fleet.record.step("two of five are killed at once");
    fleet.kill(&[0, 1]);
    fleet.wait_until_available(3);
    let after = fleet.wait_all_established();
    assert_eq!(before.len(), after.len());
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn after_a_power_loss_the_fleet_serves_from_its_memory_before_discovery_is_back() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape(12)
        },
        40,
    );
    let dark = fleet
        .record
        .step("the power is lost: processes and discovery end; servers have power of their own");
    power_is_lost(&mut fleet);
    fleet.start(&ALL, Disk::Kept);
    all_stayed_since(&fleet, dark, &before);
    fleet.record.step("discovery is back");
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn processes_whose_disks_are_gone_serve_by_what_the_others_remember() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape(13)
        },
        40,
    );
    let dark = fleet
        .record
        .step("the power is lost, and with it three of five disks");
    power_is_lost(&mut fleet);
    fleet.start(&[0, 1, 2], Disk::Lost);
    fleet.start(&[3, 4], Disk::Kept);
    all_stayed_since(&fleet, dark, &before);
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn a_second_power_loss_in_the_middle_of_recovery_changes_nothing() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape(14)
        },
        40,
    );
    fleet.record.step("the power is lost");
    power_is_lost(&mut fleet);
    let again = fleet
        .record
        .step("it is back, and lost again while everybody is still asking");
    fleet.start(&ALL, Disk::Kept);
    for name in ["b0", "b1", "b2", "b3", "b4"] {
        fleet.wait_for_log(again, name, "fleet membership started");
    }
    fleet.kill(&ALL);
    let dark = fleet.record.step("and back");
    fleet.start(&ALL, Disk::Kept);
    all_stayed_since(&fleet, dark, &before);
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn cold_servers_are_filled_in_the_time_of_a_refill_and_none_tips_though_discovery_is_back_last() {
    let ability = ServerProfile {
        setups_per_s: 8.0,
        warm_up_time: Duration::from_secs(10),
        ..ServerProfile::default()
    };
    let (mut fleet, before) = serving(
        FleetConfig {
            server_profile: ability,
            is_list_preloaded: false,
            ..shape(15)
        },
        120,
    );
    let dark = fleet
        .record
        .step("the power is lost: every process and server ends, and discovery too");
    fleet.discovery.go_down();
    fleet.kill(&ALL);
    fleet.kill_servers(&SERVERS);
    fleet.wait_until_available(0);
    fleet
        .record
        .step("the power is back; servers are cold, and discovery is still away");
    fleet.restart_servers(&SERVERS);
    fleet.start(&ALL, Disk::Kept);
    fleet.wait_until_available(5);
    let bound = ability
        .refill_time(before.len().div_ceil(SERVERS.len()))
        .mul_f64(1.3);
    let served = fleet.count_established_within(bound, dark);
    fleet.record.step("discovery is back");
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
    assert!(
        served * 100 >= before.len() * 99,
        "{served} of {} are served after {bound:?}",
        before.len()
    );
}

#[test]
fn a_process_that_was_stopped_through_the_outage_wakes_and_leads_nobody_astray() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape(16)
        },
        40,
    );
    fleet
        .record
        .step("one is stopped; then the power is lost to all others");
    fleet.balancers[4].process.pause();
    let stopped = Instant::now();
    fleet.discovery.go_down();
    fleet.kill(&[0, 1, 2, 3]);
    fleet.wait_until_available(0);
    fleet.start(&[0, 1, 2, 3], Disk::Kept);
    fleet.wait_until_available(4);
    fleet.discovery.come_back();
    // Long enough that it has to notice by itself.
    std::thread::sleep(Duration::from_secs(4).saturating_sub(stopped.elapsed()));
    let woken = fleet.record.step("it wakes");
    fleet.balancers[4].process.resume();
    fleet.wait_until_available(5);
    fleet.wait_for_log(woken, "b4", "was not run for");
    fleet.start_clients(clients(60).skip(40));
    let after = fleet.wait_all_established();
    let old = after
        .into_iter()
        .filter(|(client, _)| before.contains_key(client))
        .collect();
    stay(&fleet, &before, &old);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn a_discovery_that_lost_its_state_is_believed_and_nobody_goes_by_the_list_of_before() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape(17)
        },
        40,
    );
    fleet
        .record
        .step("the power is lost; discovery has lost its state, and a server is gone meanwhile");
    fleet.kill(&ALL);
    fleet.kill_servers(&[5]);
    fleet.wait_until_available(0);
    fleet.discovery.set_lifecycle("s5", Lifecycle::Draining);
    fleet.discovery.lose_state();
    let dark = fleet.record.step("the power is back");
    fleet.start(&ALL, Disk::Kept);
    fleet.wait_until_available(5);
    let after = fleet.wait_all_established_since(dark);
    assert!(after.values().all(|server| server != "s5"), "{after:?}");
    let rest = before
        .into_iter()
        .filter(|(_, server)| server != "s5")
        .collect();
    stay(&fleet, &rest, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn disks_that_are_torn_or_another_processs_are_named_and_served_through() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape(18)
        },
        40,
    );
    fleet
        .record
        .step("the power is lost; one disk is torn, and one is another process's");
    power_is_lost(&mut fleet);
    let memory = |number: usize| fleet.balancers[number].process.disk().join("memory");
    let torn = std::fs::read(memory(0)).expect("it was written");
    std::fs::write(memory(0), &torn[..torn.len() / 3]).expect("room");
    std::fs::copy(memory(2), memory(1)).expect("room");
    let dark = fleet.record.step("the power is back");
    fleet.start(&ALL, Disk::Kept);
    for name in ["b0", "b1"] {
        fleet.wait_for_log(dark, name, "memory file can't be used");
    }
    all_stayed_since(&fleet, dark, &before);
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn halves_that_recover_apart_and_meet_agree_on_where_everybody_is() {
    let (mut fleet, before) = serving(
        FleetConfig {
            is_list_preloaded: false,
            ..shape(19)
        },
        40,
    );
    fleet.record.step("the power is lost");
    fleet.kill(&ALL);
    fleet.wait_until_available(0);
    let dark = fleet
        .record
        .step("the power is back, and two are cut off from three");
    let between = [0, 1]
        .iter()
        .flat_map(|near| [2, 3, 4].map(|far| format!("b{near}~b{far}")));
    let between: Vec<String> = between.collect();
    between
        .iter()
        .for_each(|link| fleet.net.fault(link, Fault::Partition(Direction::Both)));
    fleet.start(&ALL, Disk::Kept);
    fleet.wait_until_available(5);
    let apart = fleet.wait_all_established_since(dark);
    stay(&fleet, &before, &apart);
    fleet.record.step("they meet");
    between
        .iter()
        .for_each(|link| fleet.net.fault(link, Fault::Heal));
    all_there(&fleet);
    all_know(&fleet, 40);
    fleet.kill(&[2, 3]);
    fleet.wait_until_available(3);
    all_stayed(fleet, &before);
}
