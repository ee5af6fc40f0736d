//! Power losses.

use beaconflow_fault_injection::{
    Direction, Disk, Fault, FleetConfig, Lifecycle, Rules, ServerProfile,
};

use super::{
    ALL, assert_all_returned_since, assert_placements_kept, clients, cut_power,
    finish_with_placements_kept, fleet_config, start_with_clients, wait_for_all_members,
    wait_for_placements,
};
use std::time::{Duration, Instant};

const SERVERS: [usize; 6] = [0, 1, 2, 3, 4, 5];

#[test]
fn remaining_processes_serve_all_clients_after_two_kills() {
    let (mut fleet, initial) = start_with_clients(fleet_config(11), 48);
    fleet
        .record
        .step("two of five processes are killed at once");
    fleet.kill(&[0, 1]);
    fleet.wait_until_available(3);
    let after = fleet.wait_all_established();
    assert_eq!(initial.len(), after.len());
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn fleet_serves_from_memory_before_discovery_returns() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config(12)
        },
        40,
    );
    let outage_start = fleet
        .record
        .step("power loss: processes and discovery end; servers keep running");
    cut_power(&mut fleet);
    fleet.start(&ALL, Disk::Kept);
    assert_all_returned_since(&fleet, outage_start, &initial);
    fleet.record.step("discovery is back");
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn processes_with_lost_disks_serve_from_peers() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config(13)
        },
        40,
    );
    let outage_start = fleet
        .record
        .step("power loss, with the loss of three of five disks");
    cut_power(&mut fleet);
    fleet.start(&[0, 1, 2], Disk::Lost);
    fleet.start(&[3, 4], Disk::Kept);
    assert_all_returned_since(&fleet, outage_start, &initial);
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn second_power_loss_during_recovery_keeps_placements() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config(14)
        },
        40,
    );
    fleet.record.step("power loss");
    cut_power(&mut fleet);
    let second_outage = fleet
        .record
        .step("power returns and fails again while all processes are still in recovery");
    fleet.start(&ALL, Disk::Kept);
    for name in ["b0", "b1", "b2", "b3", "b4"] {
        fleet.wait_for_log(second_outage, name, "fleet membership started");
    }
    fleet.kill(&ALL);
    let outage_start = fleet.record.step("power returns");
    fleet.start(&ALL, Disk::Kept);
    assert_all_returned_since(&fleet, outage_start, &initial);
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
}

/// All processes, servers and discovery lose power, and discovery returns last: 99 % of the clients have to be served within
/// 1.3 times the refill time of the cold servers, and no server may be overloaded.
#[test]
fn cold_servers_refill_in_time_without_overload() {
    let server_profile = ServerProfile {
        setups_per_s: 8.0,
        warm_up_time: Duration::from_secs(10),
        ..ServerProfile::default()
    };
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            server_profile,
            is_list_preloaded: false,
            ..fleet_config(15)
        },
        120,
    );
    let outage_start = fleet
        .record
        .step("power loss: all processes, servers and discovery end");
    fleet.discovery.go_down();
    fleet.kill(&ALL);
    fleet.kill_servers(&SERVERS);
    fleet.wait_until_available(0);
    fleet
        .record
        .step("power returns; servers are cold, and discovery is still down");
    fleet.restart_servers(&SERVERS);
    fleet.start(&ALL, Disk::Kept);
    fleet.wait_until_available(5);
    let bound = server_profile
        .refill_time(initial.len().div_ceil(SERVERS.len()))
        .mul_f64(1.3);
    let served = fleet.count_established_within(bound, outage_start);
    println!(
        "{served} of {} clients are served after {bound:?}",
        initial.len()
    );
    fleet.record.step("discovery is back");
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
    assert!(
        served * 100 >= initial.len() * 99,
        "{served} of {} clients are served after {bound:?}",
        initial.len()
    );
}

/// A process that was paused through the outage resumes with outdated state and must not route clients by it.
#[test]
fn process_paused_through_outage_keeps_placements() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config(16)
        },
        40,
    );
    fleet
        .record
        .step("one process is paused; then all others lose power");
    fleet.balancers[4].process.pause();
    let paused_at = Instant::now();
    fleet.discovery.go_down();
    fleet.kill(&[0, 1, 2, 3]);
    fleet.wait_until_available(0);
    fleet.start(&[0, 1, 2, 3], Disk::Kept);
    fleet.wait_until_available(4);
    fleet.discovery.come_back();
    // Long enough that the process has to detect the pause by itself.
    std::thread::sleep(Duration::from_secs(4).saturating_sub(paused_at.elapsed()));
    let resumed = fleet.record.step("the paused process resumes");
    fleet.balancers[4].process.resume();
    fleet.wait_until_available(5);
    fleet.wait_for_log(resumed, "b4", "was not run for");
    fleet.start_clients(clients(60).skip(40));
    let after = fleet.wait_all_established();
    let initial_clients = after
        .into_iter()
        .filter(|(client, _)| initial.contains_key(client))
        .collect();
    assert_placements_kept(&fleet, &initial, &initial_clients);
    fleet.finish(&Rules::default()).assert_no_violations();
}

/// After discovery has lost its state, its new list counts, and no client is routed by the list from before.
#[test]
fn fleet_follows_discovery_that_lost_its_state() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config(17)
        },
        40,
    );
    fleet
        .record
        .step("power loss; discovery has lost its state, and one server has gone meanwhile");
    fleet.kill(&ALL);
    fleet.kill_servers(&[5]);
    fleet.wait_until_available(0);
    fleet.discovery.set_lifecycle("s5", Lifecycle::Draining);
    fleet.discovery.lose_state();
    let outage_start = fleet.record.step("power returns");
    fleet.start(&ALL, Disk::Kept);
    fleet.wait_until_available(5);
    let after = fleet.wait_all_established_since(outage_start);
    assert!(after.values().all(|server| server != "s5"), "{after:?}");
    let unaffected = initial
        .into_iter()
        .filter(|(_, server)| server != "s5")
        .collect();
    assert_placements_kept(&fleet, &unaffected, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

/// A truncated memory file and one of another process are logged and not used; the placements come from the other
/// processes.
#[test]
fn corrupt_or_foreign_memory_files_are_logged_and_survived() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config(18)
        },
        40,
    );
    fleet
        .record
        .step("power loss; one memory file is truncated, and one belongs to another process");
    cut_power(&mut fleet);
    let memory_path = |number: usize| fleet.balancers[number].process.disk().join("memory");
    let memory_bytes = std::fs::read(memory_path(0)).expect("memory file was written");
    std::fs::write(memory_path(0), &memory_bytes[..memory_bytes.len() / 3])
        .expect("write succeeds");
    std::fs::copy(memory_path(2), memory_path(1)).expect("write succeeds");
    let outage_start = fleet.record.step("power returns");
    fleet.start(&ALL, Disk::Kept);
    for name in ["b0", "b1"] {
        fleet.wait_for_log(outage_start, name, "memory file can't be used");
    }
    assert_all_returned_since(&fleet, outage_start, &initial);
    fleet.discovery.come_back();
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn partitioned_halves_agree_on_placements_after_healing() {
    let (mut fleet, initial) = start_with_clients(
        FleetConfig {
            is_list_preloaded: false,
            ..fleet_config(19)
        },
        40,
    );
    fleet.record.step("power loss");
    fleet.kill(&ALL);
    fleet.wait_until_available(0);
    let outage_start = fleet
        .record
        .step("power returns, and two processes are partitioned from three");
    let links_between = [0, 1]
        .iter()
        .flat_map(|near| [2, 3, 4].map(|far| format!("b{near}~b{far}")));
    let links_between: Vec<String> = links_between.collect();
    links_between
        .iter()
        .for_each(|link| fleet.net.fault(link, Fault::Partition(Direction::Both)));
    fleet.start(&ALL, Disk::Kept);
    fleet.wait_until_available(5);
    let while_partitioned = fleet.wait_all_established_since(outage_start);
    assert_placements_kept(&fleet, &initial, &while_partitioned);
    fleet.record.step("the partition heals");
    links_between
        .iter()
        .for_each(|link| fleet.net.fault(link, Fault::Heal));
    wait_for_all_members(&fleet);
    wait_for_placements(&fleet, 40);
    fleet.kill(&[2, 3]);
    fleet.wait_until_available(3);
    finish_with_placements_kept(fleet, &initial);
}
