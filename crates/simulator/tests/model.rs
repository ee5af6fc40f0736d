//! The gateway and store models compared with closed-form results.

use beaconflow_simulator::gateway::{EstablishedConnection, Gateway, GatewayModel, SetupAdmission};
use beaconflow_simulator::random::RandomSource;
use beaconflow_simulator::store::Store;
use beaconflow_simulator::{Nanos, SECOND, nanos};

/// Feeds Poisson arrivals to a queueing station: `begin` submits an arrival, `done` completes one. Returns the mean wait
/// before service in seconds and the completions per second.
fn mean_wait(
    rate: f64,
    seconds: u64,
    mut begin: impl FnMut(Nanos, u64, &mut RandomSource) -> Option<Nanos>,
    mut done: impl FnMut(Nanos, &mut RandomSource) -> Option<(u64, Nanos)>,
) -> (f64, f64) {
    let (mut arrivals, mut rng) = (RandomSource::new(1, 1), RandomSource::new(1, 2));
    let mut ends = std::collections::BinaryHeap::new();
    let mut arrived_at = Vec::new();
    let (mut next, mut waited, mut begun, mut ended) = (0, 0.0, 0_u64, 0_u64);
    while next < seconds * SECOND {
        match ends.peek().copied() {
            Some(std::cmp::Reverse(at)) if at <= next => {
                ends.pop();
                ended += 1;
                if let Some((id, until)) = done(at, &mut rng) {
                    waited += (at - arrived_at[id as usize]) as f64 / 1e9;
                    begun += 1;
                    ends.push(std::cmp::Reverse(until));
                }
            }
            _ => {
                arrived_at.push(next);
                if let Some(until) = begin(next, arrived_at.len() as u64 - 1, &mut rng) {
                    begun += 1;
                    ends.push(std::cmp::Reverse(until));
                }
                next += nanos(arrivals.exponential(1.0 / rate));
            }
        }
    }
    (waited / begun as f64, ended as f64 / seconds as f64)
}

/// Erlang C: mean wait in an M/M/c queue.
fn erlang_c(servers: u32, rate: f64, mean: f64) -> f64 {
    let offered = rate * mean;
    let term = |count: u32| (1..=count).fold(1.0, |term, at| term * offered / f64::from(at));
    let all_busy = term(servers) * f64::from(servers) / (f64::from(servers) - offered);
    let wait_probability = all_busy / ((0..servers).map(term).sum::<f64>() + all_busy);
    wait_probability * mean / (f64::from(servers) - offered)
}

#[test]
fn gateway_setup_wait_matches_erlang_c() {
    for rate in [250.0, 400.0, 450.0] {
        let make = GatewayModel {
            cores: 4,
            set_up_ms: 8.0,
            waiting: usize::MAX,
            connections: usize::MAX,
            ..GatewayModel::default()
        };
        let gateway = std::cell::RefCell::new(Gateway::new(make, 0, true));
        let begin = |now, id, rng: &mut RandomSource| match gateway
            .borrow_mut()
            .offer_setup(now, id, rng)
        {
            SetupAdmission::RunsUntil(at) => Some(at),
            SetupAdmission::Queued => None,
            SetupAdmission::Rejected => panic!("the queue is unlimited"),
        };
        let (wait, _) = mean_wait(rate, 2_000, begin, |now, rng| {
            gateway.borrow_mut().finish_setup(now, rng)
        });
        let expected = erlang_c(4, rate, 0.008);
        assert!(
            (wait / expected - 1.0).abs() < 0.05,
            "{rate} arrivals per second: waits {wait} s, expected {expected} s"
        );
    }
}

#[test]
fn store_wait_matches_erlang_c_and_throughput_saturates() {
    let store = std::cell::RefCell::new(Store::new(10, 0.01));
    let begin = |now, id, rng: &mut RandomSource| store.borrow_mut().call(now, id, rng);
    let (wait, _) = mean_wait(900.0, 1_000, begin, |now, rng| {
        store.borrow_mut().call_done(now, rng)
    });
    let expected = erlang_c(10, 900.0, 0.01);
    assert!(
        (wait / expected - 1.0).abs() < 0.05,
        "waits {wait} s, expected {expected} s"
    );
    let store = std::cell::RefCell::new(Store::new(10, 0.01));
    let begin = |now, id, rng: &mut RandomSource| store.borrow_mut().call(now, id, rng);
    let (_, ended) = mean_wait(3_000.0, 60, begin, |now, rng| {
        store.borrow_mut().call_done(now, rng)
    });
    let max_calls_per_s = store.borrow().max_calls_per_s();
    assert!(
        (ended / max_calls_per_s - 1.0).abs() < 0.02,
        "{ended} calls per second, expected {max_calls_per_s}"
    );
}

#[test]
fn cold_gateway_capacity_ramps_linearly() {
    let make = GatewayModel {
        cores: 2,
        speed: 1.5,
        cold_share: 0.2,
        cold_s: 20.0,
        ..GatewayModel::default()
    };
    let gateway = Gateway::new(make, 5 * SECOND, false);
    for (at, share) in [(5, 0.2), (10, 0.4), (15, 0.6), (25, 1.0), (100, 1.0)] {
        let capacity = gateway.capacity(at * SECOND);
        assert!(
            (capacity - 3e6 * share).abs() < 1.0,
            "capacity is {capacity} after {} s",
            at - 5
        );
    }
}

#[test]
fn backlog_matches_integral_of_excess_demand() {
    let make = GatewayModel {
        cores: 1,
        cold_share: 0.2,
        cold_s: 10.0,
        group_us: 0.0,
        sheds_after_s: 1e9,
        ..GatewayModel::default()
    };
    let mut gateway = Gateway::new(make, 0, false);
    gateway.establish(
        0,
        1,
        EstablishedConnection {
            load: 600_000.0,
            group: None,
        },
    );
    // Capacity is 0.2 + 0.08 t of a core: it reaches 0.6 after 5 s, and until then the backlog is 0.4 t - 0.04 t^2.
    for at in 1..=5_u64 {
        (1..=100).for_each(|part| gateway.advance((at - 1) * SECOND + part * SECOND / 100));
        let t = at as f64;
        let backlog = gateway.backlog_s(at * SECOND) * gateway.capacity(at * SECOND);
        assert!(
            (backlog - (0.4 * t - 0.04 * t * t) * 1e6).abs() < 10.0,
            "backlog is {backlog} after {at} s"
        );
    }
    // The capacity above 0.6 works the backlog off in another 5 s.
    (501..=1_100).for_each(|part| gateway.advance(part * SECOND / 100));
    assert_eq!(gateway.backlog_s(11 * SECOND), 0.0);
}

#[test]
fn messages_in_time_match_single_server_queue() {
    let make = GatewayModel {
        cores: 1,
        message_us: 1_000.0,
        group_us: 0.0,
        ..GatewayModel::default()
    };
    let mut gateway = Gateway::new(make, 0, true);
    gateway.establish(
        0,
        1,
        EstablishedConnection {
            load: 900_000.0,
            group: None,
        },
    );
    // Capacity for 1,000 messages per second, demand for 900: 1 - e^(-100 x 0.02).
    assert!((gateway.fraction_in_time(0, 0.02) - (1.0 - (-2.0_f64).exp())).abs() < 1e-9);
    assert!((gateway.mean_message_s(0) - 0.01).abs() < 1e-9);
    gateway.change_load(0, 1, 1_100_000.0);
    assert_eq!(gateway.fraction_in_time(0, 0.02), 0.0);
}

#[test]
fn group_load_counts_once_and_closing_frees_it() {
    let mut gateway = Gateway::new(
        GatewayModel {
            cores: 1,
            group_us: 50_000.0,
            ..GatewayModel::default()
        },
        0,
        true,
    );
    (0..10).for_each(|id| {
        gateway.establish(
            0,
            id,
            EstablishedConnection {
                load: 10_000.0,
                group: Some(id as u32 % 2),
            },
        )
    });
    assert!((gateway.load(0) - 0.2).abs() < 1e-9);
    assert!((0..10).all(|id| gateway.close(SECOND, id)) && !gateway.close(SECOND, 3));
    assert!(gateway.load(SECOND).abs() < 1e-9 && gateway.connection_count() == 0);
}

#[test]
fn overloaded_gateway_sheds_heaviest_until_rest_fits() {
    let make = GatewayModel {
        cores: 1,
        group_us: 0.0,
        sheds_after_s: 1.0,
        ..GatewayModel::default()
    };
    let mut gateway = Gateway::new(make, 0, true);
    (0..20).for_each(|id| {
        gateway.establish(
            0,
            id,
            EstablishedConnection {
                load: 10_000.0 * id as f64,
                group: None,
            },
        )
    });
    assert_eq!(
        gateway.shed_connections(SECOND),
        Vec::<u64>::new(),
        "the backlog is below the limit"
    );
    assert_eq!(
        gateway.shed_connections(2 * SECOND),
        [19, 18, 17, 16, 15, 14],
        "the load exceeds the capacity by 0.9 of a core"
    );
}
