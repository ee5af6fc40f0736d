//! From any sequence of events, in any order and with any of them missing, every process serves within its bound and
//! answers each client exactly once.

use beaconflow_recovery::*;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

fn config() -> RecoveryConfig {
    RecoveryConfig {
        name: "b1".into(),
        site: "north".into(),
        fleet_size: 4,
        site_peers: 2,
        other_sites: vec!["south".into()],
        has_store: true,
        timeouts: Timeouts {
            staged_admission: 40 * SECOND,
            ..Timeouts::default()
        },
        ..RecoveryConfig::default()
    }
}

fn lifecycle() -> impl Strategy<Value = Lifecycle> {
    prop_oneof![
        Just(Lifecycle::Ready),
        Just(Lifecycle::Draining),
        Just(Lifecycle::Gone)
    ]
}

fn wall() -> impl Strategy<Value = Millis> {
    prop_oneof![
        Just(0),
        0..3_600_000_u64,
        1_800_000_000_000..1_800_000_100_000_u64,
        Just(u64::MAX)
    ]
}

fn weight() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(1.0),
        Just(0.0),
        Just(f64::NAN),
        Just(f64::INFINITY),
        0.01..50.0
    ]
}

fn list() -> impl Strategy<Value = List> {
    let entry = ("s[0-9]", wall(), lifecycle(), weight());
    let entry = entry.prop_map(|(name, started_at_ms, lifecycle, weight)| Entry {
        name,
        started_at_ms,
        lifecycle,
        weight,
    });
    let sources = [
        Source::Known,
        Source::Memory,
        Source::OtherSite,
        Source::Peer,
        Source::Store,
        Source::Discovery,
    ];
    let source = proptest::sample::select(sources.to_vec());
    let about = (
        source,
        any::<u64>(),
        0..3_u64,
        any::<u64>(),
        proptest::option::of(wall()),
    );
    (about, proptest::collection::vec(entry, 0..6)).prop_map(
        |((source, generation, epoch, age, reported_at), entries)| List {
            source,
            generation,
            epoch,
            age,
            reported_at,
            entries,
        },
    )
}

fn memory() -> impl Strategy<Value = Memory> {
    let former = (0..3_usize, 0..3_u64, weight());
    let former = former.prop_map(|(class, account, clients)| PreviousClients {
        class,
        account,
        clients,
    });
    let former = proptest::collection::vec(former, 0..4);
    let about = ("b[12]", 0..4_u64, wall(), proptest::option::of(weight()));
    (about, proptest::option::of(list()), former).prop_map(
        |((owner, incarnation, written_at, clients_per_server_s), list, previous_clients)| Memory {
            owner,
            incarnation,
            written_at,
            list,
            previous_clients,
            clients_per_server_s,
        },
    )
}

fn whom() -> impl Strategy<Value = EvidenceSource> {
    proptest::sample::select(EvidenceSource::ALL.to_vec())
}

fn word() -> impl Strategy<Value = PeerStatus> {
    let who = ("b[0-4]", "north|south", 0..4_u64, any::<u64>());
    let what = (
        proptest::option::of(any::<u64>()),
        any::<bool>(),
        proptest::option::of(wall()),
        weight(),
        weight(),
    );
    (who, what).prop_map(
        |(
            (name, site, incarnation, uptime),
            (serving_time, serves_in_full, wall_clock, former, deferred_per_s),
        )| PeerStatus {
            name,
            site,
            incarnation,
            uptime,
            serving_time,
            serves_in_full,
            wall_clock,
            previous_clients: Some(former),
            deferred_per_s,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    let arrival = (
        0..4_usize,
        0..3_u64,
        proptest::option::of(any::<u64>()),
        any::<bool>(),
    );
    prop_oneof![
        1 => (0..5_u64, proptest::option::of(memory())).prop_map(|(incarnation, memory)| Event::Started { incarnation, memory }),
        3 => word().prop_map(Event::PeerReported),
        3 => list().prop_map(Event::ListReceived),
        2 => whom().prop_map(Event::Answered),
        2 => whom().prop_map(Event::Failed),
        1 => ("s[0-9]", wall()).prop_map(|(name, at)| Event::ServerStarted { name, at }),
        1 => ("b[0-4]", 0..9_u64, weight()).prop_map(|(from, number, clients)| Event::QuotaLent { from, number, clients }),
        6 => arrival.prop_map(|(class, account, client_key, is_reconnect)| {
            Event::AdmissionRequested(AdmissionRequest { id: 0, class, account, group: None, client_key, is_reconnect })
        }),
    ]
}

proptest! {
    #[test]
    fn every_process_serves_within_its_bound_and_answers_each_client_once(
        events in proptest::collection::vec((event(), 0..400 * MS, wall()), 0..150),
        seed in any::<u64>(),
    ) {
        let config = config();
        let (lets_in, bound) = (config.admits_within() + MS, config.serves_within() + MS);
        let mut machine = Recovery::new(config, seed).expect("these settings are in range");
        let (mut now, mut began, mut calls, mut out) = (0, None, 0, Vec::new());
        let mut tell = |machine: &mut Recovery, now: Nanos, wall: Millis, event: Event, began: &mut Option<Nanos>| {
            calls += 1;
            assert!(calls < 5_000, "ticks are asked for without end in {:?}", machine.state());
            let arrives = matches!(event, Event::AdmissionRequested(_));
            out.clear();
            machine.handle(now, wall, event, &mut out);
            if began.is_none() || out.iter().any(|action| matches!(action, Action::LogStep { step: RecoveryStep::Resumed, .. })) {
                *began = Some(now);
            }
            let answers = out.iter().filter(|one| matches!(one, Action::Admit { .. } | Action::Defer { .. })).count();
            assert_eq!(answers, usize::from(arrives));
            for action in &out {
                if let Action::Defer { retry_after, .. } = action {
                    assert!((SECOND / 4..=bound + 2 * SECOND).contains(retry_after), "{retry_after}");
                }
            }
            let since = now - began.unwrap_or(now);
            assert!(since < lets_in || machine.state().service_mode() != ServiceMode::Unavailable, "{:?} after {since}", machine.state());
            assert!(since < bound || machine.state() == RecoveryState::Serving, "{:?} after {since}", machine.state());
        };
        for (event, span, wall) in events {
            let until = now + span;
            // Ticks come when they are asked for.
            while let Some(due) = machine.next_tick_at().filter(|due| *due < until) {
                now = due.max(now + 1);
                tell(&mut machine, now, wall, Event::Tick, &mut began);
            }
            now = now.max(until);
            tell(&mut machine, now, wall, event, &mut began);
        }
        let end = now + bound;
        tell(&mut machine, now, 0, Event::Tick, &mut began);
        while now < end {
            now = machine.next_tick_at().expect("a started process has a next moment").clamp(now + 1, end);
            tell(&mut machine, now, 0, Event::Tick, &mut began);
        }
        prop_assert_eq!(machine.state(), RecoveryState::Serving);
    }
}
