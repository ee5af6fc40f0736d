//! Fleets of balancers on one virtual clock: their independent decisions add up to sound totals.

mod common;

use std::collections::BTreeMap;

use common::fleet::*;
use common::*;

use beaconflow_policy::*;

#[test]
fn restarted_half_is_filled_without_overload() {
    let with_groups = [2, 3, 48, 100, 300].map(|balancers| (balancers, true));
    let without_groups = [2, 3, 48, 100, 300].map(|balancers| (balancers, false));
    for (balancers, has_groups) in with_groups.into_iter().chain(without_groups) {
        let mut fleet = Fleet {
            has_groups,
            ..Fleet::new(balancers)
        };
        (0..300).for_each(|_| fleet.advance());
        let (first, since) = (SERVERS / 2, fleet.step);
        fleet.restart_servers_from(first);
        (0..150).for_each(|_| fleet.advance());
        let overload = slow_start_overload(&fleet, first, since);
        assert!(
            overload.all_servers <= 1.5,
            "{balancers} balancers, groups {has_groups}: the restarted half got {} times the attempts that overload it",
            overload.all_servers
        );
        assert!(
            overload.one_server <= 1.0,
            "{balancers} balancers, groups {has_groups}: one server got {} times the attempts that overload it, beyond chance",
            overload.one_server
        );
        let share = fleet.connection_share_from(first);
        assert!(
            share > 0.15,
            "{balancers} balancers, groups {has_groups}: the restarted half holds only {share} of the connections after 15 s"
        );
    }
}

/// With live weights, each server in slow start has a budget of its own. The servers then fill
/// faster, and a group that is larger than one server's share must not overload any of them.
#[test]
fn per_server_budgets_fill_faster_without_overload() {
    for balancers in [2, 3, 48, 100, 300] {
        let run = |has_live_weights: bool| {
            let mut fleet = Fleet {
                large_group_fraction: 0.15,
                ..Fleet::with_live_weights(balancers, has_live_weights)
            };
            (0..300).for_each(|_| fleet.advance());
            let (first, since) = (SERVERS / 2, fleet.step);
            fleet.restart_servers_from(first);
            (0..150).for_each(|_| fleet.advance());
            (
                slow_start_overload(&fleet, first, since),
                fleet.connection_share_from(first),
            )
        };
        let ((overload, share), (_, share_without)) = (run(true), run(false));
        assert!(
            overload.all_servers <= 1.5,
            "{balancers} balancers: the restarted half got {} times the attempts that overload it",
            overload.all_servers
        );
        assert!(
            overload.one_server <= 1.2,
            "{balancers} balancers: one server got {} times the attempts that overload it, beyond chance",
            overload.one_server
        );
        let fills_faster = if balancers > 3 {
            share > share_without
        } else {
            share >= share_without
        };
        assert!(
            fills_faster,
            "{balancers} balancers: the restarted half holds {share} with and {share_without} without per-server budgets"
        );
    }
}

/// Covers a zone that is cut off and a fifth of the servers that stop answering: few clients are
/// left without a connection, and the servers get their share again after they recover.
#[test]
fn failing_servers_cost_few_clients_and_recover() {
    for (one_in, outcome) in [
        (4, AttemptOutcome::ConnectFailed),
        (5, AttemptOutcome::TimedOut),
    ] {
        let mut fleet = Fleet::new(300);
        (0..300).for_each(|_| fleet.advance());
        let (since, first) = (fleet.step, fleet.clients.len() as u64);
        let is_failing = |server: ServerId| server.0.is_multiple_of(one_in);
        fleet.failing = (0..SERVERS)
            .map(ServerId)
            .filter(|id| is_failing(*id))
            .map(|id| (id, outcome))
            .collect();
        // The connections of a zone that is cut off break; an unresponsive server keeps them.
        let disconnected = fleet.end_connections(AttemptOutcome::Reset, |server, _| {
            is_failing(server) && outcome == AttemptOutcome::ConnectFailed
        });
        disconnected
            .into_iter()
            .for_each(|client| fleet.connect_client(true, client));
        (0..60).for_each(|_| fleet.advance());
        let clients = first..fleet.clients.len() as u64;
        fleet.failing.clear();
        (0..100).for_each(|_| fleet.advance());
        let connected = clients
            .clone()
            .filter(|id| fleet.was_established.get(id) == Some(&true))
            .count();
        let (connected, clients) = (connected as f64, (clients.end - clients.start) as f64);
        // Attempts at the failing servers, relative to their share of the servers.
        let relative_attempts = |steps: std::ops::Range<u64>| {
            let attempts: Vec<_> = fleet
                .attempts
                .iter()
                .filter(|(step, _)| steps.contains(step))
                .collect();
            let on_failing = attempts
                .iter()
                .filter(|(_, server)| is_failing(*server))
                .count();
            (on_failing * one_in as usize) as f64 / attempts.len() as f64
        };
        let (during, just_after, later) = (
            relative_attempts(since + 20..since + 60),
            relative_attempts(since + 60..since + 70),
            relative_attempts(since + 110..since + 160),
        );
        assert!(
            connected >= 0.9 * clients,
            "{outcome:?}: only {connected} of {clients} clients got a connection"
        );
        assert!(
            during <= 1.2 && just_after <= 1.2,
            "{outcome:?}: the failing servers got {during} of their share during the failure and {just_after} just after"
        );
        assert!(
            (0.7..=1.3).contains(&later),
            "{outcome:?}: the servers got {later} of their share after recovery"
        );
    }
}

/// In a large fleet, two or three connections of one balancer on one server are chance.
#[test]
fn large_healthy_fleet_migrates_no_connection() {
    let mut fleet = Fleet::new(300);
    (0..300).for_each(|_| fleet.advance());
    assert_eq!(fleet.migrations, 0, "no connection should be migrated");
}

#[test]
fn group_uses_warm_server_when_others_restart() {
    let mut fleet = Fleet::new(300);
    fleet.restart_servers_from(2);
    for group in 0..200 {
        fleet.connect_client(true, (GroupId(group), 100));
    }
    assert_eq!(
        fleet.established.len(),
        200,
        "all 200 clients should connect at once with two warm servers of twenty"
    );
}

#[test]
fn unusual_lists_and_balancer_counts_are_handled() {
    let mut without_balancers = Settings {
        balancers: 0,
        ..settings()
    };
    assert_eq!(
        without_balancers
            .check()
            .expect_err("a fleet without balancers is invalid")
            .to_string(),
        "setting out of range: balancers"
    );
    without_balancers.balancers = u32::MAX;
    let mut balancer = TestBalancer::with_servers(without_balancers, 0);
    assert!(
        attempted_servers(&balancer.request(1, IDEMPOTENT)).is_empty(),
        "there is no server to attempt"
    );
    balancer.advance(5 * SECOND);
    // A server that is listed twice counts once; one that starts in the future is in slow start.
    let starting_later = |id| ServerEntry {
        started_at: balancer.now + 60 * SECOND,
        ..entry(id)
    };
    let duplicated = vec![entry(0), starting_later(1), starting_later(1), entry(0)];
    balancer.update_list(ListUpdate::Snapshot, duplicated);
    let attempted = attempted_servers(&balancer.connect_at_interval(10..60, 100 * MS));
    let on_starting = attempted.iter().filter(|id| id.0 == 1).count();
    assert!(
        attempted.len() >= 40 && on_starting <= 15,
        "{on_starting} of {} attempts went to the server in slow start",
        attempted.len()
    );
    // An empty list leads to final answers, not to a panic.
    balancer.update_list(ListUpdate::Snapshot, Vec::new());
    assert!(attempted_servers(&balancer.connect_at_interval(100..120, 100 * MS)).is_empty());
}

/// If all balancers began the rotation at the same server, the first one would get every client
/// after a fleet-wide start.
#[test]
fn first_placements_of_a_fleet_follow_weights() {
    let mut placements = BTreeMap::new();
    let weighted = |id: u32| ServerEntry {
        weight: f64::from(1 + 2 * (id % 2)),
        ..entry(id)
    };
    for rank in 0..300 {
        let servers = (0..SERVERS).map(weighted).collect();
        let mut balancer = balancer_of_fleet(300, rank, false, servers);
        for server in attempted_servers(&balancer.request(1, IDEMPOTENT)) {
            *placements.entry(server).or_insert(0_u32) += 1;
        }
    }
    assert_eq!(placements.values().sum::<u32>(), 300);
    for (server, count) in placements {
        // 300 clients over a total weight of 40, within three standard deviations.
        let expected = 7.5 * f64::from(1 + 2 * (server.0 % 2));
        let difference = (f64::from(count) - expected).abs();
        assert!(
            difference <= 3.0 * expected.sqrt(),
            "{server:?} got {count} clients, {expected} expected"
        );
    }
}
