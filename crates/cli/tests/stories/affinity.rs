//! Clients keep their server across processes and configuration versions.

use std::collections::BTreeMap;
use std::time::Duration;

use beaconflow_fault_injection::{
    ConfigVersion, Direction, Disk, DrainPace, Fault, Fleet, Lifecycle, Rules,
    established_connections,
};

use super::{
    assert_placements_kept, finish_with_placements_kept, fleet_config, start_with_clients,
    wait_for_all_members, wait_for_placements,
};

/// Waits until this many clients have reconnected since a position in the record; returns each client's server.
fn wait_for_reconnects(fleet: &Fleet, since: usize, count: usize) -> BTreeMap<String, String> {
    fleet
        .record
        .wait("enough clients have reconnected", |events| {
            let reconnected = established_connections(&events[since..]);
            (reconnected.len() >= count).then_some(reconnected)
        })
}

#[test]
fn clients_of_killed_processes_keep_their_servers() {
    let (mut fleet, initial) = start_with_clients(fleet_config(21), 60);
    let killed = fleet.record.step("two of five processes are killed");
    fleet.kill(&[0, 1]);
    fleet.wait_until_available(3);
    let after = fleet.wait_all_established();
    wait_for_reconnects(&fleet, killed, 1);
    assert_placements_kept(&fleet, &initial, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn rollout_under_loss_and_partition_keeps_placements() {
    let (mut fleet, initial) = start_with_clients(fleet_config(22), 40);
    fleet.fault_datagrams(Fault::Drop(Direction::Both, 0.05));
    for number in 0..5 {
        if number == 2 {
            fleet
                .record
                .step("one process is partitioned from the others during the rollout");
            (0..4).for_each(|other| {
                fleet
                    .net
                    .fault(&format!("b{other}~b4"), Fault::Partition(Direction::Both))
            });
        }
        fleet.roll_out(
            number,
            ConfigVersion {
                serial: 2,
                deadline_ms: 3_001,
            },
        );
        fleet.wait_until_available(5);
        if number == 3 {
            fleet
                .net
                .links_of("b4")
                .iter()
                .filter(|link| link.contains('~'))
                .for_each(|link| {
                    fleet.net.fault(link, Fault::Heal);
                });
        }
    }
    wait_for_all_members(&fleet);
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn half_rollout_rolled_back_keeps_placements() {
    let (mut fleet, initial) = start_with_clients(fleet_config(23), 40);
    for number in 0..2 {
        fleet.roll_out(
            number,
            ConfigVersion {
                serial: 2,
                deadline_ms: 3_001,
            },
        );
    }
    fleet.record.step("the version is rolled back");
    for number in 0..2 {
        fleet.roll_out(
            number,
            ConfigVersion {
                serial: 3,
                deadline_ms: 3_000,
            },
        );
    }
    wait_for_all_members(&fleet);
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn repeated_process_kills_keep_placements() {
    let (mut fleet, initial) = start_with_clients(fleet_config(24), 40);
    for round in 0..3 {
        fleet
            .record
            .step("one process is killed and restarts with an empty disk");
        fleet.kill(&[round]);
        fleet.wait_until_available(4);
        fleet.wait_all_established();
        fleet.start(&[round], Disk::Lost);
        fleet.wait_until_available(5);
        wait_for_all_members(&fleet);
    }
    let after = fleet.wait_all_established();
    assert_placements_kept(&fleet, &initial, &after);
    fleet
        .finish(&Rules {
            fault_aftermath: Duration::from_secs(10),
            ..Rules::default()
        })
        .assert_no_violations();
}

#[test]
fn skipped_versions_keep_placements() {
    let (mut fleet, initial) = start_with_clients(fleet_config(25), 40);
    let rolls = [(0, 2), (1, 3), (0, 3), (2, 4)];
    for (number, serial) in rolls {
        fleet.roll_out(
            number,
            ConfigVersion {
                serial,
                deadline_ms: 2_999 + serial,
            },
        );
    }
    wait_for_all_members(&fleet);
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn clients_alternating_between_versions_keep_placements() {
    let (mut fleet, initial) = start_with_clients(fleet_config(26), 40);
    for number in [0, 1] {
        fleet.roll_out(
            number,
            ConfigVersion {
                serial: 2,
                deadline_ms: 3_001,
            },
        );
    }
    for killed in [[0, 1], [2, 3], [1, 4]] {
        wait_for_placements(&fleet, 40);
        fleet
            .record
            .step(&format!("processes {killed:?} are killed and restarted"));
        fleet.kill(&killed);
        fleet.wait_until_available(3);
        fleet.wait_all_established();
        fleet.start(&killed, Disk::Kept);
        fleet.wait_until_available(5);
        wait_for_all_members(&fleet);
    }
    finish_with_placements_kept(fleet, &initial);
}

#[test]
fn draining_server_gets_no_clients_and_others_stay() {
    let (mut fleet, initial) = start_with_clients(fleet_config(27), 40);
    fleet
        .record
        .step("a server drains, and two processes are killed");
    fleet.discovery.set_lifecycle("s0", Lifecycle::Draining);
    fleet.servers[0].drain(DrainPace::AtOnce);
    fleet.kill(&[0, 1]);
    fleet.wait_until_available(3);
    fleet
        .record
        .wait("the draining server has no clients", |events| {
            let placements = established_connections(events);
            (placements.len() == 40 && placements.values().all(|server| server != "s0"))
                .then_some(())
        });
    let after = fleet.wait_all_established();
    let unaffected = initial
        .into_iter()
        .filter(|(_, server)| server != "s0")
        .collect();
    assert_placements_kept(&fleet, &unaffected, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

/// Clients of a restarted server are placed anew; all others return to their servers.
#[test]
fn clients_of_other_servers_return_after_server_restart() {
    let (mut fleet, initial) = start_with_clients(fleet_config(28), 40);
    let restarted = fleet.record.step("a server and two processes restart");
    fleet.kill_servers(&[2]);
    fleet.kill(&[3, 4]);
    fleet.restart_servers(&[2]);
    fleet.start(&[3, 4], Disk::Kept);
    fleet.wait_until_available(5);
    let after = fleet.wait_all_established();
    // Some of the other clients are moved on purpose, to fill the cold server.
    let moved = fleet.record.clients_moved_since(restarted);
    let unaffected = initial
        .into_iter()
        .filter(|(client, server)| server != "s2" && !moved.contains(client))
        .collect();
    assert_placements_kept(&fleet, &unaffected, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}
