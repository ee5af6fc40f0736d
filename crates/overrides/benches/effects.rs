//! Cost of overrides: lookups for one request and one server, and the effective list of 10,000 servers.

use std::hint::black_box;
use std::time::Duration;

use beaconflow_overrides::{
    Draft, Listed, OverrideId, OverrideKind, OverrideSet, Strictness, Subject, find_coverage_gaps,
};
use beaconflow_policy::Balancer;
use beaconflow_policy::{
    AttemptEnd, AttemptOutcome, ClassId, ClientKey, ConnectRequest, DiscoveryMode, Event, Limits,
    ListUpdate, Pin, RequestClass, RequestId, RetrySafety, ServerEntry, ServerId, ServerRules,
    ServerState, Settings, ZoneId,
};
use beaconflow_settings::digest;
use criterion::{BenchmarkId, Criterion};

const NOW: u64 = 1_000_000;

/// A set with this number of overrides: a third each of `out`, weight and pin.
fn set(count: u64) -> OverrideSet {
    let mut set = OverrideSet::new(30_000);
    for id in 1..=count {
        let server = format!("server-{id}");
        let kind = match id % 3 {
            0 => OverrideKind::Out {
                server,
                moves_per_s: None,
            },
            1 => OverrideKind::Weight {
                server,
                factor: 0.5,
            },
            _ => OverrideKind::Pin {
                subject: Subject::Group(format!("group-{id}")),
                server,
                strictness: Strictness::Prefer,
            },
        };
        let draft = Draft {
            kind,
            who: "w".into(),
            why: "y".into(),
            expires_at: NOW * 2,
        };
        set.insert(draft.into_override(OverrideId(id), 1));
    }
    set
}

/// One connection from its request to its end, as the core handles it: the pin is looked up, then the policy decides.
fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    group.measurement_time(Duration::from_secs(5));
    for count in [0, 100, 10_000] {
        let set = set(count);
        let mut balancer = Balancer::new(settings(), 7).expect("the settings are valid");
        let mut out = Vec::new();
        let entries = (0..100).map(entry).collect();
        balancer.handle(
            NOW,
            Event::ServerList {
                update: ListUpdate::Snapshot,
                entries,
            },
            &mut out,
        );
        let (mut next, tenant) = (0, digest("acme"));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                next += 1;
                out.clear();
                let pin = if set.has_pins() {
                    set.pin(Some(next), Some(tenant), NOW)
                } else {
                    None
                };
                let pin = black_box(pin).map(|_| Pin {
                    server: None,
                    strict: false,
                });
                let request = RequestId(next);
                let arrival = ConnectRequest {
                    request,
                    deadline_at: NOW + 3_000_000_000,
                    class: ClassId(0),
                    client_key: Some(ClientKey(next)),
                    group: None,
                    is_reconnect: false,
                    expected_load: None,
                    pin,
                };
                balancer.handle(NOW, Event::ConnectRequested(arrival), &mut out);
                balancer.handle(
                    NOW,
                    Event::AttemptEstablished {
                        request,
                        attempt: 0,
                    },
                    &mut out,
                );
                let ended = Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt: 0,
                    outcome: AttemptOutcome::Served,
                    elapsed: 1,
                    is_final: true,
                });
                balancer.handle(NOW, ended, &mut out);
                out.len()
            });
        });
    }
    group.finish();
}

fn settings() -> Settings {
    let class = RequestClass {
        deadline: 3_000_000_000,
        retry_safety: RetrySafety::Idempotent,
        message_latency_objective: 0,
    };
    Settings {
        balancers: 1,
        rank: 0,
        classes: vec![class],
        discovery: DiscoveryMode::Pushed,
        has_live_weights: false,
        limits: Limits {
            max_attempts: 6,
            sends_retry_after: true,
            max_retry_after: 2_000_000_000,
            can_probe: false,
            connect_timeout: 200_000_000,
        },
        rules: ServerRules {
            initial_capacity: 0.2,
            warm_up_time: 1,
            overload_multiple: 3.0,
            overload_window: 1,
            list_max_age: 0,
        },
    }
}

fn entry(number: u32) -> ServerEntry {
    ServerEntry {
        server: ServerId(number),
        name_hash: u64::from(number),
        state: ServerState::Ready,
        zone: ZoneId(0),
        cell: 0,
        machine_type: 0,
        weight: 1.0,
        target_weight: None,
        started_at: 0,
    }
}

fn benches(criterion: &mut Criterion) {
    decision(criterion);
    let mut pins = criterion.benchmark_group("pin of an arrival");
    for count in [0, 100, 10_000] {
        let set = set(count);
        pins.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            let (group, tenant) = (Some(digest("group-5")), Some(digest("acme")));
            bencher.iter(|| {
                set.has_pins()
                    .then(|| black_box(set.pin(black_box(group), tenant, NOW)))
            });
        });
    }
    pins.finish();
    let mut lists = criterion.benchmark_group("effective list of 10000 servers");
    let names: Vec<String> = (1..=10_000).map(|id| format!("server-{id}")).collect();
    for count in [0, 1_000, 10_000] {
        let set = set(count);
        lists.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                names
                    .iter()
                    .filter(|name| set.server_adjustment(black_box(name), NOW).is_out)
                    .count()
            });
        });
    }
    lists.finish();
    let mut full_set_group = criterion.benchmark_group("with 10000 overrides");
    let full_set = set(10_000);
    full_set_group.bench_function("next change", |bencher| {
        bencher.iter(|| full_set.next_change(black_box(NOW)))
    });
    full_set_group.bench_function("effect of one", |bencher| {
        bencher.iter(|| full_set.effect(black_box(OverrideId(5_000)), Listed::Ready, NOW));
    });
    full_set_group.bench_function("judgement of 10000 servers", |bencher| {
        bencher.iter(|| {
            find_coverage_gaps(
                names.iter().map(|name| (name.as_str(), "a")),
                &full_set,
                NOW,
            )
        });
    });
    full_set_group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .measurement_time(Duration::from_secs(2))
        .configure_from_args();
    benches(&mut criterion);
    criterion.final_summary();
}
