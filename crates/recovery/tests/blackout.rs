//! Recovery of a whole fleet from a power loss, on a virtual clock: all balancers start at the same time, all servers
//! are in slow start, and all clients arrive within a second.

mod fleet_simulation;

use beaconflow_recovery::OutageScope;
use fleet_simulation::*;

/// Runs a scenario, in which no server may be overloaded. Returns its result, and its time relative to an admission at
/// the exact overload limit with full knowledge of the fleet.
fn simulate(scenario: Scenario) -> (SimulationResult, f64) {
    let simulation = FleetSimulation::new(scenario.clone());
    let ideal = simulation.ideal_admission_time();
    let result = simulation.run(90 * SECOND);
    let served_at = result
        .served_at
        .expect("99% of the clients by priority weight are admitted");
    let ratio = served_at as f64 / ideal as f64;
    println!(
        "fleet {} peers {:?} disk interval {} memory scale {} imbalance {} sticky {}: time ratio {ratio:.3}, \
         max load ratio {:.3}, kept promises {:.3}, lent {:.0}, max discovery calls {}",
        scenario.fleet,
        scenario.peers,
        scenario.disk_interval,
        scenario.memory_scale,
        scenario.imbalance,
        scenario.is_sticky,
        result.max_load_ratio,
        kept_fraction(&result),
        result.lent,
        result.max_discovery_calls
    );
    assert_eq!(result.overloaded, 0, "{scenario:?}: {result:?}");
    assert_eq!(result.admitted, scenario.clients);
    (result, ratio)
}

fn kept_fraction(result: &SimulationResult) -> f64 {
    result.kept_promises as f64 / result.final_deferrals as f64
}

#[test]
fn admits_at_near_ideal_speed_for_any_fleet() {
    for fleet in [5, 30, 100, 300] {
        let (result, ratio) = simulate(Scenario {
            fleet,
            clients: 200_000,
            ..Scenario::default()
        });
        assert!(ratio <= 1.3, "{fleet}: {ratio}");
        assert_eq!(result.scopes, [(OutageScope::Fleet, fleet)].into());
        // A client that returns after a final deferral is admitted.
        assert!(kept_fraction(&result) >= 0.85, "{fleet}: {result:?}");
        // Calls to discovery are spread at its rate of 100 per second.
        assert!(
            result.max_discovery_calls <= 30,
            "{fleet}: {}",
            result.max_discovery_calls
        );
    }
}

/// With many small servers, random placement overloads one of them unless a larger part of the limit stays unused.
#[test]
fn reserves_margin_when_servers_are_small() {
    // The overload limit of one cold server is 9 clients per overload window.
    let (_, ratio) = simulate(Scenario {
        fleet: 30,
        servers: 1_000,
        clients: 200_000,
        ..Scenario::default()
    });
    assert!(ratio <= 2.5, "{ratio}");
    // With a tolerance in the overload rule itself, less margin is needed.
    let (_, ratio) = simulate(Scenario {
        servers: 1_000,
        clients: 200_000,
        variance_margin: 3.0,
        ..Scenario::default()
    });
    assert!(ratio <= 1.35, "{ratio}");
}

#[test]
fn admits_nearly_as_fast_without_peers() {
    for fleet in [5, 300] {
        let (_, ratio) = simulate(Scenario {
            fleet,
            clients: 200_000,
            peers: Peers::None,
            ..Scenario::default()
        });
        assert!(ratio <= 1.35, "{fleet}: {ratio}");
    }
}

#[test]
fn admits_by_class_quota_and_group() {
    let (result, _) = simulate(Scenario {
        fleet: 30,
        ..Scenario::default()
    });
    assert!(
        result.class_median[1] * 2 < result.class_median[0],
        "{result:?}"
    );
    assert!(
        result.account_median[0] * 4 < result.account_median[1] * 3,
        "{result:?}"
    );
    assert!(result.mean_group_span < SECOND, "{result:?}");
}

/// Balancers with few clients leave their quota unused, while the others defer clients.
#[test]
fn lends_quota_when_clients_are_uneven() {
    let (result, ratio) = simulate(Scenario {
        fleet: 30,
        imbalance: 1.0,
        is_sticky: true,
        ..Scenario::default()
    });
    assert!(result.lent > 0.0 && ratio <= 1.5, "{ratio} {result:?}");
}

/// Some or all balancers lose their disks, or the remembered number of clients is wrong.
#[test]
fn overloads_no_server_when_memory_is_wrong() {
    for (disk_interval, memory_scale) in [(2, 1.0), (0, 1.0), (0, 0.4), (1, 0.4), (1, 2.0)] {
        let (_, ratio) = simulate(Scenario {
            fleet: 30,
            disk_interval,
            memory_scale,
            ..Scenario::default()
        });
        assert!(
            ratio <= 1.4 * memory_scale.max(1.0),
            "{disk_interval} {memory_scale}: {ratio}"
        );
    }
}

/// Both halves of a partitioned fleet recover on their own and exchange their status during the admission.
#[test]
fn overloads_no_server_when_partition_heals() {
    let peers = Peers::Halves(6 * SECOND);
    let (_, ratio) = simulate(Scenario {
        fleet: 30,
        peers,
        ..Scenario::default()
    });
    assert!(ratio <= 1.4, "{ratio}");
}

#[test]
fn bounds_wait_when_discovery_returns_last() {
    let (result, ratio) = simulate(Scenario {
        fleet: 30,
        discovery_back_at: 10 * SECOND,
        ..Scenario::default()
    });
    // The memory has the list but outdated server starts: discovery reports all servers in slow start.
    assert!(ratio <= 2.0, "{ratio} {result:?}");
    simulate(Scenario {
        fleet: 30,
        discovery_back_at: 10 * SECOND,
        disk_interval: 0,
        ..Scenario::default()
    });
}

/// Balancers that start one after another must adopt the start of admission of the earlier ones.
#[test]
fn shares_admission_order_when_starts_are_staggered() {
    let (result, ratio) = simulate(Scenario {
        fleet: 30,
        start_interval: SECOND / 5,
        ..Scenario::default()
    });
    assert!(
        ratio <= 1.5 && kept_fraction(&result) >= 0.6,
        "{ratio} {result:?}"
    );
}

#[test]
fn admits_everyone_at_once_with_warm_servers() {
    let (result, _) = simulate(Scenario {
        fleet: 30,
        servers_started_at: -(60 * SECOND as i64),
        ..Scenario::default()
    });
    assert!(
        result
            .served_at
            .expect("99% of the clients by priority weight are admitted")
            < 4 * SECOND,
        "{result:?}"
    );
}

#[test]
fn repeats_run_when_seed_is_equal() {
    let scenario = || Scenario {
        fleet: 30,
        clients: 20_000,
        seed: 5,
        ..Scenario::default()
    };
    let digest = |scenario| FleetSimulation::new(scenario).run(90 * SECOND).digest;
    assert_eq!(digest(scenario()), digest(scenario()));
    assert_ne!(
        digest(scenario()),
        digest(Scenario {
            seed: 6,
            ..scenario()
        })
    );
}
