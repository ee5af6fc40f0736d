//! Property test: after any sequence of events, in any order and with any of them missing, a process reaches full
//! service within its time limit and answers each client exactly once.

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
        Just(Lifecycle::Removed)
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
        ListSource::Configured,
        ListSource::Memory,
        ListSource::OtherSite,
        ListSource::Peer,
        ListSource::Store,
        ListSource::Discovery,
    ];
    let source = proptest::sample::select(sources.to_vec());
    let header = (
        source,
        any::<u64>(),
        0..3_u64,
        any::<u64>(),
        proptest::option::of(wall()),
    );
    (header, proptest::collection::vec(entry, 0..6)).prop_map(
        |((source, generation, incarnation, age, reported_at), entries)| List {
            source,
            generation,
            incarnation,
            age,
            reported_at,
            entries,
        },
    )
}

fn memory() -> impl Strategy<Value = Memory> {
    let previous_clients = (0..3_usize, 0..3_u64, weight());
    let previous_clients = previous_clients.prop_map(|(class, account, clients)| PreviousClients {
        class,
        account,
        clients,
    });
    let previous_clients = proptest::collection::vec(previous_clients, 0..4);
    let header = ("b[12]", 0..4_u64, wall(), proptest::option::of(weight()));
    (header, proptest::option::of(list()), previous_clients).prop_map(
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

fn evidence_source() -> impl Strategy<Value = EvidenceSource> {
    proptest::sample::select(EvidenceSource::ALL.to_vec())
}

fn peer_status() -> impl Strategy<Value = PeerStatus> {
    let identity = ("b[0-4]", "north|south", 0..4_u64, any::<u64>());
    let report = (
        proptest::option::of(any::<u64>()),
        any::<bool>(),
        proptest::option::of(wall()),
        weight(),
        weight(),
    );
    (identity, report).prop_map(
        |(
            (name, site, incarnation, uptime),
            (serving_time, is_in_full_service, wall_clock, previous_clients, deferred_per_s),
        )| PeerStatus {
            name,
            site,
            incarnation,
            uptime,
            serving_time,
            is_in_full_service,
            wall_clock,
            previous_clients: Some(previous_clients),
            deferred_per_s,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    let request = (
        0..4_usize,
        0..3_u64,
        proptest::option::of(any::<u64>()),
        // Drawn and not used, so that the stored seeds give the same cases.
        any::<bool>(),
    );
    prop_oneof![
        1 => (0..5_u64, proptest::option::of(memory())).prop_map(|(incarnation, memory)| Event::Started { incarnation, memory }),
        3 => peer_status().prop_map(Event::PeerReported),
        3 => list().prop_map(Event::ListReceived),
        2 => evidence_source().prop_map(Event::QueryAnswered),
        2 => evidence_source().prop_map(Event::QueryFailed),
        1 => ("s[0-9]", wall()).prop_map(|(name, started_at_ms)| Event::ServerStarted { name, started_at_ms }),
        1 => ("b[0-4]", 0..9_u64, weight()).prop_map(|(from, number, clients)| Event::QuotaLent { from, number, clients }),
        6 => request.prop_map(|(class, account, client_key, _)| {
            Event::AdmissionRequested(AdmissionRequest { id: 0, class, account, group: None, client_key })
        }),
    ]
}

proptest! {
    #[test]
    fn serves_in_time_and_answers_clients_once(
        events in proptest::collection::vec((event(), 0..400 * MS, wall()), 0..150),
        seed in any::<u64>(),
    ) {
        let config = config();
        let (admission_bound, service_bound) = (config.max_time_to_admission() + MS, config.max_time_to_full_service() + MS);
        let mut recovery = Recovery::new(config, seed).expect("the configuration is in range");
        let (mut now, mut started_at, mut handled_events, mut out) = (0, None, 0, Vec::new());
        let mut handle_event = |recovery: &mut Recovery, now: Nanos, wall: Millis, event: Event, started_at: &mut Option<Nanos>| {
            handled_events += 1;
            assert!(handled_events < 5_000, "ticks are requested without end in {:?}", recovery.state());
            let is_admission_request = matches!(event, Event::AdmissionRequested(_));
            out.clear();
            recovery.handle(now, wall, event, &mut out);
            if started_at.is_none() || out.iter().any(|action| matches!(action, Action::LogStep { step: RecoveryStep::Resumed, .. })) {
                *started_at = Some(now);
            }
            let answers = out.iter().filter(|one| matches!(one, Action::Admit { .. } | Action::Defer { .. })).count();
            assert_eq!(answers, usize::from(is_admission_request));
            for action in &out {
                if let Action::Defer { retry_after, .. } = action {
                    assert!((SECOND / 4..=service_bound + 2 * SECOND).contains(retry_after), "retry-after of {retry_after} ns");
                }
            }
            let elapsed = now - started_at.unwrap_or(now);
            assert!(elapsed < admission_bound || recovery.state().service_mode() != ServiceMode::Unavailable, "{:?} after {elapsed}", recovery.state());
            assert!(elapsed < service_bound || recovery.state() == RecoveryState::Serving, "{:?} after {elapsed}", recovery.state());
        };
        for (event, span, wall) in events {
            let until = now + span;
            // Ticks arrive when they are due.
            while let Some(due) = recovery.next_tick_at().filter(|due| *due < until) {
                now = due.max(now + 1);
                handle_event(&mut recovery, now, wall, Event::Tick, &mut started_at);
            }
            now = now.max(until);
            handle_event(&mut recovery, now, wall, event, &mut started_at);
        }
        let end = now + service_bound;
        handle_event(&mut recovery, now, 0, Event::Tick, &mut started_at);
        while now < end {
            now = recovery.next_tick_at().expect("a started process has a next tick").clamp(now + 1, end);
            handle_event(&mut recovery, now, 0, Event::Tick, &mut started_at);
        }
        prop_assert_eq!(recovery.state(), RecoveryState::Serving);
    }
}
