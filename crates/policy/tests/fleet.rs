//! Whole fleets of the real module on one virtual clock: what each does alone adds up, and the sum keeps the rules.

mod common;

use std::collections::BTreeMap;

use common::fleet::*;
use common::*;

use beaconflow_policy::*;

#[test]
fn half_a_farm_that_is_cold_at_once_is_neither_overrun_nor_left_out() {
    let grouped = [2, 3, 48, 100, 300].map(|gateways| (gateways, true));
    let ungrouped = [2, 3, 48, 100, 300].map(|gateways| (gateways, false));
    for (gateways, grouped) in grouped.into_iter().chain(ungrouped) {
        let mut fleet = Fleet {
            grouped,
            ..Fleet::of(gateways)
        };
        (0..300).for_each(|_| fleet.pass());
        let (first, since) = (SERVERS / 2, fleet.step);
        fleet.restart(first);
        (0..150).for_each(|_| fleet.pass());
        let (one, all) = strain_of_cold(&fleet, first, since);
        assert!(
            all <= 1.5,
            "{gateways} gateways, grouped {grouped}: {all} of what tips the cold half"
        );
        assert!(
            one <= 1.0,
            "{gateways} gateways, grouped {grouped}: {one} of what tips one cold server, by more than chance"
        );
        let share = fleet.share_from(first);
        assert!(
            share > 0.15,
            "{gateways} gateways, grouped {grouped}: the cold half holds {share} after 15 s"
        );
    }
}

#[test]
fn a_cold_half_with_bounds_of_their_own_takes_more_and_a_large_group_overruns_none() {
    for gateways in [2, 3, 48, 100, 300] {
        let play = |live: bool| {
            let mut fleet = Fleet {
                in_one_group: 0.15,
                ..Fleet::with(gateways, live)
            };
            (0..300).for_each(|_| fleet.pass());
            let (first, since) = (SERVERS / 2, fleet.step);
            fleet.restart(first);
            (0..150).for_each(|_| fleet.pass());
            (
                strain_of_cold(&fleet, first, since),
                fleet.share_from(first),
            )
        };
        let (((one, all), share), (_, without)) = (play(true), play(false));
        assert!(
            all <= 1.5,
            "{gateways} gateways: {all} of what tips the cold half"
        );
        assert!(
            one <= 1.2,
            "{gateways} gateways: {one} of what tips one cold server, by more than chance"
        );
        let takes_more = if gateways > 3 {
            share > without
        } else {
            share >= without
        };
        assert!(
            takes_more,
            "{gateways} gateways: {share} on the cold half, {without} without own bounds"
        );
    }
}

#[test]
fn a_zone_that_is_cut_off_and_a_fifth_that_falls_silent_cost_few_clients_and_are_used_again() {
    for (each, outcome) in [
        (4, AttemptOutcome::ConnectFailed),
        (5, AttemptOutcome::TimedOut),
    ] {
        let mut fleet = Fleet::of(300);
        (0..300).for_each(|_| fleet.pass());
        let (since, first) = (fleet.step, fleet.clients.len() as u64);
        let is_ill = |server: ServerId| server.0.is_multiple_of(each);
        fleet.ill = (0..SERVERS)
            .map(ServerId)
            .filter(|id| is_ill(*id))
            .map(|id| (id, outcome))
            .collect();
        // A zone that is cut off takes its connections along; a silent server keeps them.
        let again = fleet.end(AttemptOutcome::Reset, |server, _| {
            is_ill(server) && outcome == AttemptOutcome::ConnectFailed
        });
        again
            .into_iter()
            .for_each(|client| fleet.come(true, client));
        (0..60).for_each(|_| fleet.pass());
        let came = first..fleet.clients.len() as u64;
        fleet.ill.clear();
        (0..100).for_each(|_| fleet.pass());
        let stood = came
            .clone()
            .filter(|id| fleet.answered.get(id) == Some(&true))
            .count();
        let (stood, came) = (stood as f64, (came.end - came.start) as f64);
        let part = |steps: std::ops::Range<u64>| {
            let sent: Vec<_> = fleet
                .sent
                .iter()
                .filter(|(step, _)| steps.contains(step))
                .collect();
            let on_ill = sent.iter().filter(|(_, server)| is_ill(*server)).count();
            (on_ill * each as usize) as f64 / sent.len() as f64
        };
        let (during, at_once, later) = (
            part(since + 20..since + 60),
            part(since + 60..since + 70),
            part(since + 110..since + 160),
        );
        assert!(
            stood >= 0.9 * came,
            "{outcome:?}: {stood} of {came} came to stand"
        );
        assert!(
            during <= 1.2 && at_once <= 1.2,
            "{outcome:?}: {during} and {at_once} of its part"
        );
        assert!(
            (0.7..=1.3).contains(&later),
            "{outcome:?}: {later} of its part when it is well again"
        );
    }
}

#[test]
fn in_a_large_fleet_two_or_three_connections_on_one_server_are_no_reason_to_move_any() {
    let mut fleet = Fleet::of(300);
    (0..300).for_each(|_| fleet.pass());
    assert_eq!(fleet.moved, 0, "on a farm with nothing wrong");
}

#[test]
fn a_group_that_begins_with_cold_servers_goes_to_a_warm_one_at_once() {
    let mut fleet = Fleet::of(300);
    fleet.restart(2);
    for group in 0..200 {
        fleet.come(true, (GroupId(group), 100));
    }
    assert_eq!(
        fleet.standing.len(),
        200,
        "of 200 with two warm servers of twenty"
    );
}

#[test]
fn odd_farms_and_counts_are_served_safely() {
    let mut none = Settings {
        balancers: 0,
        ..settings()
    };
    assert_eq!(
        none.check().expect_err("no gateway").to_string(),
        "setting out of range: balancers"
    );
    none.balancers = u32::MAX;
    let mut gateway = Gateway::with_servers(none, 0);
    assert!(
        attempts(&gateway.arrive(1, SAFE)).is_empty(),
        "there is no server"
    );
    gateway.pass(5 * SECOND);
    // Named twice, it is one server; started in the future, it is as cold as any.
    let ahead = |id| ServerEntry {
        started_at: gateway.now + 60 * SECOND,
        ..entry(id)
    };
    let doubled = vec![entry(0), ahead(1), ahead(1), entry(0)];
    gateway.list(ListUpdate::Snapshot, doubled);
    let placed = attempts(&gateway.stream(10..60, 100 * MS));
    let on_cold = placed.iter().filter(|id| id.0 == 1).count();
    assert!(
        placed.len() >= 40 && on_cold <= 15,
        "{on_cold} of {} on the cold one",
        placed.len()
    );
    // A farm that is gone altogether costs answers and no panic.
    gateway.list(ListUpdate::Snapshot, Vec::new());
    assert!(attempts(&gateway.stream(100..120, 100 * MS)).is_empty());
}

#[test]
fn gateways_that_all_start_with_one_list_spread_their_first_picks_by_weight() {
    let mut picks = BTreeMap::new();
    let weighed = |id: u32| ServerEntry {
        weight: f64::from(1 + 2 * (id % 2)),
        ..entry(id)
    };
    for rank in 0..300 {
        let mut gateway = one_of(300, rank, false, (0..SERVERS).map(weighed).collect());
        for server in attempts(&gateway.arrive(1, SAFE)) {
            *picks.entry(server).or_insert(0_u32) += 1;
        }
    }
    assert_eq!(picks.values().sum::<u32>(), 300);
    for (server, count) in picks {
        // 300 over a sum of weights of 40, three standard deviations to each side.
        let due = 7.5 * f64::from(1 + 2 * (server.0 % 2));
        let off = (f64::from(count) - due).abs();
        assert!(
            off <= 3.0 * due.sqrt(),
            "{count} of {due} due on {server:?}"
        );
    }
}
