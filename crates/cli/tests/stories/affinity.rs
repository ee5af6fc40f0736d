//! Clients keep their server, across processes and versions of the configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use beaconflow_fault_injection::{
    ConfigVersion, Direction, Disk, DrainPace, Fault, Fleet, Lifecycle, Rules,
    established_connections,
};

use super::{all_know, all_stayed, all_there, serving, shape, stay};

/// Whoever came again since, and where to.
fn came_again(fleet: &Fleet, since: usize, count: usize) -> BTreeMap<String, String> {
    fleet.record.wait("enough came again", |events| {
        let again = established_connections(&events[since..]);
        (again.len() >= count).then_some(again)
    })
}

#[test]
fn clients_of_processes_that_died_find_the_servers_they_had_through_the_others() {
    let (mut fleet, before) = serving(shape(21), 60);
    let killed = fleet.record.step("two of five are killed");
    fleet.kill(&[0, 1]);
    fleet.wait_until_available(3);
    let after = fleet.wait_all_established();
    came_again(&fleet, killed, 1);
    stay(&fleet, &before, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn a_version_is_rolled_over_all_processes_with_loss_and_a_partition_and_nobody_changes_its_server()
{
    let (mut fleet, before) = serving(shape(22), 40);
    fleet.fault_datagrams(Fault::Drop(Direction::Both, 0.05));
    for number in 0..5 {
        if number == 2 {
            fleet
                .record
                .step("a process is cut off from the others while the roll goes on");
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
                lane_value: 2.0,
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
    all_there(&fleet);
    all_stayed(fleet, &before);
}

#[test]
fn a_version_that_is_taken_back_half_way_keeps_everybody() {
    let (mut fleet, before) = serving(shape(23), 40);
    for number in 0..2 {
        fleet.roll_out(
            number,
            ConfigVersion {
                serial: 2,
                lane_value: 2.0,
            },
        );
    }
    fleet.record.step("and back");
    for number in 0..2 {
        fleet.roll_out(
            number,
            ConfigVersion {
                serial: 3,
                lane_value: 1.0,
            },
        );
    }
    all_there(&fleet);
    all_stayed(fleet, &before);
}

#[test]
fn clients_whose_process_is_killed_again_and_again_keep_their_server() {
    let (mut fleet, before) = serving(shape(24), 40);
    for round in 0..3 {
        fleet
            .record
            .step("one is killed, and comes back with an empty disk");
        fleet.kill(&[round]);
        fleet.wait_until_available(4);
        fleet.wait_all_established();
        fleet.start(&[round], Disk::Lost);
        fleet.wait_until_available(5);
        all_there(&fleet);
    }
    let after = fleet.wait_all_established();
    stay(&fleet, &before, &after);
    fleet
        .finish(&Rules {
            fault_aftermath: Duration::from_secs(10),
            ..Rules::default()
        })
        .assert_no_violations();
}

#[test]
fn versions_that_are_skipped_at_some_processes_keep_everybody() {
    let (mut fleet, before) = serving(shape(25), 40);
    let rolls = [(0, 2), (1, 3), (0, 3), (2, 4)];
    for (number, serial) in rolls {
        fleet.roll_out(
            number,
            ConfigVersion {
                serial,
                lane_value: serial as f64,
            },
        );
    }
    all_there(&fleet);
    all_stayed(fleet, &before);
}

#[test]
fn clients_that_go_to_and_fro_between_processes_of_two_versions_do_not_flap() {
    let (mut fleet, before) = serving(shape(26), 40);
    for number in [0, 1] {
        fleet.roll_out(
            number,
            ConfigVersion {
                serial: 2,
                lane_value: 2.0,
            },
        );
    }
    for which in [[0, 1], [2, 3], [1, 4]] {
        all_know(&fleet, 40);
        fleet
            .record
            .step(&format!("{which:?} are killed, and come back"));
        fleet.kill(&which);
        fleet.wait_until_available(3);
        fleet.wait_all_established();
        fleet.start(&which, Disk::Kept);
        fleet.wait_until_available(5);
        all_there(&fleet);
    }
    all_stayed(fleet, &before);
}

#[test]
fn nobody_is_led_to_a_server_that_drains_and_the_others_stay() {
    let (mut fleet, before) = serving(shape(27), 40);
    fleet.record.step("a server drains, and two processes die");
    fleet.discovery.set_lifecycle("s0", Lifecycle::Draining);
    fleet.servers[0].drain(DrainPace::AtOnce);
    fleet.kill(&[0, 1]);
    fleet.wait_until_available(3);
    fleet.record.wait("nobody is on it", |events| {
        let placed = established_connections(events);
        (placed.len() == 40 && placed.values().all(|server| server != "s0")).then_some(())
    });
    let after = fleet.wait_all_established();
    let rest = before
        .into_iter()
        .filter(|(_, server)| server != "s0")
        .collect();
    stay(&fleet, &rest, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}

#[test]
fn whoever_was_on_a_server_that_began_anew_is_dealt_anew_and_the_others_come_back() {
    let (mut fleet, before) = serving(shape(28), 40);
    let begun = fleet
        .record
        .step("a server begins anew, and so do two processes");
    fleet.kill_servers(&[2]);
    fleet.kill(&[3, 4]);
    fleet.restart_servers(&[2]);
    fleet.start(&[3, 4], Disk::Kept);
    fleet.wait_until_available(5);
    let after = fleet.wait_all_established();
    // Some of the others are moved on purpose, to fill the cold one.
    let moved = fleet.record.clients_moved_since(begun);
    let rest = before
        .into_iter()
        .filter(|(client, server)| server != "s2" && !moved.contains(client))
        .collect();
    stay(&fleet, &rest, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}
