//! Validity of remembered state, outage scope, clocks, held drains, queries and quotas, one rule at a time.

use beaconflow_recovery::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const WALL: Millis = 1_800_000_000_000;
const YEAR: Millis = 365 * 86_400_000;

struct TestRecovery {
    recovery: Recovery,
    now: Nanos,
    /// Wall time at monotonic time 0, in milliseconds.
    wall: Millis,
    out: Vec<Action>,
}

impl TestRecovery {
    fn new(config: RecoveryConfig, wall: Millis, memory: Option<Memory>) -> TestRecovery {
        let recovery = Recovery::new(config, 3).expect("the settings are in range");
        let mut host = TestRecovery {
            recovery,
            now: 0,
            wall,
            out: Vec::new(),
        };
        host.handle_event(Event::Started {
            incarnation: 5,
            memory,
        });
        host
    }

    fn handle_event(&mut self, event: Event) {
        self.recovery
            .handle(self.now, self.wall + self.now / MS, event, &mut self.out);
    }

    /// Advances the clocks by a span, with ticks when they are due.
    fn advance(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(due) = self.recovery.next_tick_at().filter(|due| *due <= until) {
            self.now = due.max(self.now + 1);
            self.handle_event(Event::Tick);
        }
        self.now = until;
    }

    fn advance_until(&mut self, mode: ServiceMode) {
        let end = self.now + 700 * SECOND;
        while self.recovery.state().service_mode() != mode {
            assert!(
                self.now < end,
                "{:?} mode is not reached within 700 s: {:?}",
                mode,
                self.out
            );
            self.now = self
                .recovery
                .next_tick_at()
                .expect("a started recovery has a next tick")
                .max(self.now + 1);
            self.handle_event(Event::Tick);
        }
    }

    fn lifecycle(&self, name: &str) -> Option<Lifecycle> {
        self.recovery
            .servers()
            .find(|server| server.name == name)
            .map(|server| server.lifecycle)
    }

    fn is_admitted(&mut self, key: u64) -> bool {
        let request = AdmissionRequest {
            id: key,
            class: 0,
            account: 0,
            group: None,
            client_key: Some(key),
        };
        self.handle_event(Event::AdmissionRequested(request));
        matches!(self.out.last(), Some(Action::Admit { .. }))
    }

    fn query_delays(&self, queried: EvidenceSource) -> Vec<Nanos> {
        let delays = self.out.iter().filter_map(|action| match action {
            Action::Query { source, delay } if *source == queried => Some(*delay),
            _ => None,
        });
        delays.collect()
    }
}

fn config() -> RecoveryConfig {
    RecoveryConfig {
        name: "b1".into(),
        site: "north".into(),
        fleet_size: 4,
        site_peers: 1,
        other_sites: vec!["south".into()],
        ..RecoveryConfig::default()
    }
}

fn entry(name: &str, started_at_ms: Millis, lifecycle: Lifecycle) -> Entry {
    Entry {
        name: name.into(),
        started_at_ms,
        lifecycle,
        weight: 1.0,
    }
}

fn list(source: ListSource, incarnation: u64, generation: u64, entries: Vec<Entry>) -> List {
    List {
        source,
        generation,
        incarnation,
        age: 0,
        reported_at: None,
        entries,
    }
}

fn old_list() -> List {
    let entries = vec![
        entry("s1", WALL - 90_000_000, Lifecycle::Ready),
        entry("s2", WALL - 90_000_000, Lifecycle::Draining),
        entry("s3", WALL - 90_000_000, Lifecycle::Ready),
    ];
    list(ListSource::Memory, 1, 40, entries)
}

/// A memory that was written one minute before the power returned.
fn memory() -> Memory {
    let previous_clients = vec![PreviousClients {
        class: 0,
        account: 0,
        clients: 1_000.0,
    }];
    let written_at = WALL - 60_000;
    Memory {
        owner: "b1".into(),
        incarnation: 4,
        written_at,
        list: Some(old_list()),
        previous_clients,
        clients_per_server_s: Some(3.0),
    }
}

fn peer_status(name: &str, site: &str, incarnation: u64, uptime: Nanos) -> PeerStatus {
    PeerStatus {
        name: name.into(),
        site: site.into(),
        incarnation,
        uptime,
        serving_time: None,
        is_in_full_service: false,
        wall_clock: None,
        previous_clients: None,
        deferred_per_s: 0.0,
    }
}

#[test]
fn assesses_memory_by_kind_age_and_owner() {
    let assessed = |memory: Memory, wall| TestRecovery::new(config(), wall, Some(memory)).recovery;
    let fresh = assessed(memory(), WALL);
    assert_eq!(fresh.validity(RememberedKind::List), Validity::Hint(1.0));
    assert_eq!(fresh.validity(RememberedKind::Drains), Validity::Valid);
    assert_eq!(fresh.validity(RememberedKind::Placements), Validity::Valid);
    assert_eq!(
        fresh.validity(RememberedKind::ConnectionCounts),
        Validity::Discarded
    );
    let rate_weight = |recovery: &Recovery| match recovery.validity(RememberedKind::ServerRates) {
        Validity::Hint(weight) => weight,
        _ => 0.0,
    };
    // The weight of remembered server rates has a half-life of one hour.
    let later = assessed(memory(), WALL + 3_540_000);
    assert!(rate_weight(&fresh) > 0.95 && (rate_weight(&later) - 0.5).abs() < 0.01);
    let days_later = assessed(memory(), WALL + 2 * 86_400_000);
    assert_eq!(
        days_later.validity(RememberedKind::List),
        Validity::Hint(0.0)
    );
    assert_eq!(
        days_later.validity(RememberedKind::Placements),
        Validity::Discarded
    );
    for foreign in [
        Memory {
            owner: "b2".into(),
            ..memory()
        },
        Memory {
            incarnation: 9,
            ..memory()
        },
    ] {
        let foreign = assessed(foreign, WALL);
        assert_eq!(
            foreign.validity(RememberedKind::Placements),
            Validity::Discarded
        );
        assert_eq!(foreign.validity(RememberedKind::List), Validity::Hint(1.0));
    }
}

/// After a power loss the wall clock may start in 1970 or a year ahead. Ages computed from it must not make outdated
/// state look recent, nor cold servers look warm.
#[test]
fn distrusts_ages_when_wall_clock_is_wrong() {
    for wall in [0, WALL + YEAR] {
        let mut host = TestRecovery::new(config(), wall, Some(memory()));
        assert!(!host.recovery.is_clock_reliable());
        assert_eq!(
            host.recovery.validity(RememberedKind::Placements),
            Validity::Discarded
        );
        assert_eq!(
            host.recovery.validity(RememberedKind::ServerRates),
            Validity::Discarded
        );
        assert!(!host.recovery.is_placement_valid("s1", WALL - 61_000));
        // Without expiry times, overrides that restrict a server are held for a time; others are dropped.
        assert!(host.recovery.is_override_valid(u64::MAX, true));
        assert!(!host.recovery.is_override_valid(u64::MAX, false));
        // Servers that restarted are in slow start, even if the wrong clock makes their start look old.
        let entries = vec![
            entry("s1", WALL, Lifecycle::Ready),
            entry("s3", WALL, Lifecycle::Ready),
        ];
        host.handle_event(Event::ListReceived(list(
            ListSource::Discovery,
            1,
            41,
            entries,
        )));
        host.advance_until(ServiceMode::Staged);
        assert_eq!(host.recovery.state(), RecoveryState::StagedAdmission);
        host.advance(31 * SECOND);
        assert!(!host.recovery.is_override_valid(u64::MAX, true));
    }
    // The clock of a peer reveals a wrong clock that the memory does not.
    let mut host = TestRecovery::new(config(), WALL + 3_600_000, Some(memory()));
    assert!(host.recovery.is_clock_reliable());
    host.handle_event(Event::PeerReported(PeerStatus {
        wall_clock: Some(WALL),
        ..peer_status("b2", "north", 3, SECOND)
    }));
    assert!(!host.recovery.is_clock_reliable());
    // Without memory, discovery's clock confirms the wall clock.
    let mut host = TestRecovery::new(config(), WALL, None);
    host.handle_event(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(ListSource::Discovery, 1, 1, Vec::new())
    }));
    assert!(host.recovery.is_clock_reliable());
}

/// A server that restarted has lost its connections, so a placement from before its start must not send clients there.
#[test]
fn invalidates_placements_when_server_has_restarted() {
    let mut memory = memory();
    let known = entry("s5", WALL - 90_000_000, Lifecycle::Ready);
    memory
        .list
        .iter_mut()
        .for_each(|list| list.entries.push(known.clone()));
    let mut host = TestRecovery::new(config(), WALL, Some(memory));
    let entries = vec![
        entry("s1", WALL - 90_000_000, Lifecycle::Ready),
        entry("s2", WALL - 90_000_000, Lifecycle::Draining),
        entry("s3", WALL - 30_000, Lifecycle::Ready),
        entry("s4", WALL - 30_000, Lifecycle::Ready),
        entry("s5", WALL - 80_000_000, Lifecycle::Ready),
    ];
    host.handle_event(Event::ListReceived(list(
        ListSource::Discovery,
        1,
        41,
        entries,
    )));
    assert!(host.recovery.is_placement_valid("s1", WALL - 61_000));
    assert!(
        !host.recovery.is_placement_valid("s2", WALL - 61_000),
        "s2 is draining"
    );
    assert!(
        !host.recovery.is_placement_valid("s3", WALL - 61_000),
        "s3 has restarted since the memory was written"
    );
    assert!(
        !host.recovery.is_placement_valid("s4", WALL - 61_000),
        "s4 started after the placement and is not in the memory"
    );
    assert!(
        !host.recovery.is_placement_valid("s5", WALL - 61_000),
        "s5 has another start time, although its clock is behind"
    );
    assert!(
        !host.recovery.is_placement_valid("s1", WALL - 4_000_000),
        "the placement is too old"
    );
    assert!(host.recovery.is_override_valid(WALL + 5_000, false));
    assert!(
        !host.recovery.is_override_valid(WALL - 5_000, false),
        "the override expired during the outage"
    );
    host.handle_event(Event::ServerStarted {
        name: "s1".into(),
        started_at_ms: WALL + 1,
    });
    assert!(!host.recovery.is_placement_valid("s1", WALL - 61_000));
}

/// A discovery that lost its state reports drained servers as ready. Without a hold they would receive clients again.
#[test]
fn holds_drains_when_discovery_loses_its_state() {
    let ready = |incarnation, generation| {
        let names = ["s1", "s2", "s4"];
        let entries = names
            .map(|name| entry(name, WALL - 90_000_000, Lifecycle::Ready))
            .to_vec();
        Event::ListReceived(list(
            ListSource::Discovery,
            incarnation,
            generation,
            entries,
        ))
    };
    // Discovery counts from 1 again: its list is applied, except that the drain is held.
    for incarnation in [2, 0] {
        let mut memory = memory();
        memory.list = memory.list.map(|list| List {
            incarnation: incarnation.min(1),
            ..list
        });
        let mut host = TestRecovery::new(config(), WALL, Some(memory));
        host.handle_event(ready(incarnation, 1));
        assert_eq!(host.lifecycle("s2"), Some(Lifecycle::Draining));
        assert_eq!(
            (host.lifecycle("s3"), host.lifecycle("s4")),
            (None, Some(Lifecycle::Ready))
        );
        host.advance(20 * SECOND);
        host.handle_event(ready(incarnation, 2));
        assert_eq!(host.lifecycle("s2"), Some(Lifecycle::Draining));
        host.advance(11 * SECOND);
        assert_eq!(host.lifecycle("s2"), Some(Lifecycle::Ready));
    }
    // A discovery that kept its state ends the drain at once; an older generation is rejected.
    let mut host = TestRecovery::new(config(), WALL, Some(memory()));
    host.handle_event(ready(1, 41));
    assert_eq!(host.lifecycle("s2"), Some(Lifecycle::Ready));
    host.handle_event(Event::ListReceived(list(
        ListSource::Peer,
        1,
        12,
        Vec::new(),
    )));
    assert_eq!(host.lifecycle("s2"), Some(Lifecycle::Ready));
}

#[test]
fn decides_scope_from_peer_and_server_starts() {
    let day = 86_400 * SECOND;
    let decided_scope = |statuses: &[PeerStatus], started_at: Millis| {
        let mut host = TestRecovery::new(config(), WALL, Some(memory()));
        statuses
            .iter()
            .for_each(|status| host.handle_event(Event::PeerReported(status.clone())));
        let entries = vec![entry("s1", started_at, Lifecycle::Ready)];
        let reported_at = Some(WALL);
        host.handle_event(Event::ListReceived(List {
            reported_at,
            ..list(ListSource::Discovery, 1, 41, entries)
        }));
        let bound = config().max_time_to_admission();
        host.advance(bound);
        assert_ne!(
            host.recovery.state().service_mode(),
            ServiceMode::Unavailable
        );
        host.recovery.scope()
    };
    let (warm_start, cold_start) = (WALL - 90_000_000, WALL);
    assert_eq!(
        decided_scope(
            &[
                peer_status("b2", "north", 3, day),
                peer_status("b3", "south", 3, day)
            ],
            warm_start
        ),
        OutageScope::Process
    );
    assert_eq!(
        decided_scope(
            &[
                peer_status("b2", "north", 3, SECOND),
                peer_status("b3", "south", 3, day)
            ],
            cold_start
        ),
        OutageScope::Site
    );
    assert_eq!(
        decided_scope(
            &[
                peer_status("b2", "north", 3, SECOND),
                peer_status("b3", "south", 3, SECOND)
            ],
            cold_start
        ),
        OutageScope::Fleet
    );
    // A late report of a previous incarnation is no evidence that the peer kept running.
    let both = |incarnation, uptime| {
        [
            peer_status("b2", "north", incarnation, uptime),
            peer_status("b3", "south", incarnation, uptime),
        ]
    };
    assert_eq!(
        decided_scope(&[both(3, SECOND), both(2, day)].concat(), cold_start),
        OutageScope::Fleet
    );
    // No peer answers; the starts of the servers decide.
    assert_eq!(decided_scope(&[], cold_start), OutageScope::Fleet);
    // There is no evidence at all.
    let mut host = TestRecovery::new(
        RecoveryConfig {
            site_peers: 0,
            other_sites: Vec::new(),
            ..config()
        },
        WALL,
        None,
    );
    host.advance_until(ServiceMode::Staged);
    assert_eq!(host.recovery.scope(), OutageScope::Unknown);
}

#[test]
fn serves_lone_restart_once_peer_sends_list() {
    let mut host = TestRecovery::new(config(), WALL, Some(memory()));
    host.now = 50 * MS;
    host.handle_event(Event::PeerReported(peer_status(
        "b2",
        "north",
        3,
        86_400 * SECOND,
    )));
    let entries = vec![entry("s1", WALL - 90_000_000, Lifecycle::Ready)];
    host.handle_event(Event::ListReceived(list(ListSource::Peer, 1, 41, entries)));
    assert_eq!(host.recovery.state(), RecoveryState::Serving);
    assert!(host.is_admitted(1));
    assert!(
        !host.query_delays(EvidenceSource::Discovery).is_empty(),
        "discovery is still queried"
    );
}

/// A process that was suspended during an outage resumes with outdated state. It must query its sources again before it
/// admits clients.
#[test]
fn detects_suspension_during_outage() {
    let mut host = TestRecovery::new(config(), WALL, Some(memory()));
    let entries = vec![
        entry("s1", WALL - 90_000_000, Lifecycle::Ready),
        entry("s3", 1, Lifecycle::Ready),
    ];
    host.handle_event(Event::PeerReported(peer_status(
        "b2",
        "north",
        3,
        86_400 * SECOND,
    )));
    host.handle_event(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(ListSource::Discovery, 1, 41, entries)
    }));
    host.advance(SECOND);
    assert_eq!(host.recovery.state(), RecoveryState::Serving);
    // No event for a minute, not even a tick, then an admission request.
    host.now += 60 * SECOND;
    assert!(
        !host.is_admitted(1),
        "a suspended process queries its sources before it admits clients"
    );
    assert_eq!(
        host.recovery.state().service_mode(),
        ServiceMode::Unavailable
    );
    host.handle_event(Event::PeerReported(peer_status(
        "b2",
        "north",
        4,
        10 * SECOND,
    )));
    let entries = vec![entry("s1", WALL + 50_000, Lifecycle::Ready)];
    let reported_at = Some(WALL + host.now / MS);
    host.handle_event(Event::ListReceived(List {
        reported_at,
        ..list(ListSource::Peer, 1, 43, entries)
    }));
    host.advance_until(ServiceMode::Staged);
    assert_ne!(host.recovery.scope(), OutageScope::Process);
    // The monotonic clock may stop during a suspension: a jump of the wall clock and a peer's restart show it.
    let mut host = TestRecovery::new(config(), WALL, Some(memory()));
    host.handle_event(Event::PeerReported(peer_status(
        "b2",
        "north",
        3,
        86_400 * SECOND,
    )));
    let entries = vec![entry("s1", WALL - 90_000_000, Lifecycle::Ready)];
    host.handle_event(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(ListSource::Peer, 1, 41, entries)
    }));
    assert_eq!(host.recovery.state(), RecoveryState::Serving);
    host.wall += 60_000;
    host.handle_event(Event::Tick);
    assert_eq!(
        host.recovery.state(),
        RecoveryState::Serving,
        "a step of the wall clock alone is no suspension"
    );
    host.handle_event(Event::PeerReported(peer_status(
        "b2",
        "north",
        4,
        10 * SECOND,
    )));
    assert_eq!(
        host.recovery.state().service_mode(),
        ServiceMode::Unavailable
    );
}

/// A second power loss during staged admission must find the clients from before the first one in the memory, and not
/// only those admitted so far.
#[test]
fn keeps_previous_clients_when_recovery_is_interrupted() {
    let mut host = TestRecovery::new(config(), WALL, Some(memory()));
    let entries = vec![
        entry("s1", WALL, Lifecycle::Ready),
        entry("s3", WALL, Lifecycle::Ready),
    ];
    host.handle_event(Event::ListReceived(list(
        ListSource::Discovery,
        1,
        41,
        entries,
    )));
    host.advance_until(ServiceMode::Staged);
    assert_eq!(host.recovery.previous_clients(), Some(1_000.0));
    assert!(!host.recovery.can_update_memory());
    host.advance_until(ServiceMode::Full);
    assert!(host.recovery.can_update_memory());
}

/// Balancers that retry at the same time overload a source that has just come back.
#[test]
fn backs_off_with_jitter_when_queries_fail() {
    let config = RecoveryConfig {
        fleet_size: 300,
        site_peers: 0,
        other_sites: Vec::new(),
        ..config()
    };
    let mut host = TestRecovery::new(config, WALL, None);
    for _ in 0..2_000 {
        host.advance(100 * MS);
        host.handle_event(Event::QueryFailed(EvidenceSource::Discovery));
    }
    let delays = host.query_delays(EvidenceSource::Discovery);
    // In 200 s: a few early calls, then one every 7.5 s on average, or every 15 s if it waited for the timeout.
    assert!(
        (12..60).contains(&delays.len()),
        "{} calls in 200 s",
        delays.len()
    );
    assert!(delays[0] <= 3 * SECOND && delays.iter().all(|delay| *delay <= 15 * SECOND));
    let distinct: std::collections::BTreeSet<_> = delays.iter().collect();
    assert!(distinct.len() > delays.len() / 2, "delays are random");
}

/// If each balancer rounded its quota up, the sum over a large fleet would overload the servers.
#[test]
fn keeps_admissions_under_limit_for_any_fleet() {
    for fleet_size in [2, 48, 300] {
        let mut admitted = 0;
        for seed in 0..fleet_size {
            let config = RecoveryConfig {
                fleet_size,
                site_peers: 0,
                other_sites: Vec::new(),
                usual_clients: 1,
                ..config()
            };
            let recovery =
                Recovery::new(config, u64::from(seed)).expect("the settings are in range");
            let mut host = TestRecovery {
                recovery,
                now: 0,
                wall: WALL,
                out: Vec::new(),
            };
            host.handle_event(Event::Started {
                incarnation: 1,
                memory: None,
            });
            let entries = (0..100)
                .map(|at| entry(&format!("s{at}"), WALL, Lifecycle::Ready))
                .collect();
            host.handle_event(Event::ListReceived(List {
                reported_at: Some(WALL),
                ..list(ListSource::Discovery, 1, 1, entries)
            }));
            // All positions are admitted, and each balancer gets 100 requests per second.
            for key in 0..200 {
                host.now += 10 * MS;
                admitted += u32::from(host.is_admitted(key));
            }
        }
        // 100 cold servers of weight 1 take 3 times 0.2 to 0.28 clients per second each, for 2 s. The margin for random
        // variation takes most of that.
        assert!(admitted <= 144, "{fleet_size}: {admitted}");
        assert!(admitted >= 8, "{fleet_size}: {admitted}");
    }
}

#[test]
fn counts_repeated_loan_once() {
    let config = RecoveryConfig {
        fleet_size: 300,
        site_peers: 0,
        other_sites: Vec::new(),
        usual_clients: 1,
        ..config()
    };
    let mut host = TestRecovery::new(config, WALL, None);
    let entries = (0..40)
        .map(|at| entry(&format!("s{at}"), WALL, Lifecycle::Ready))
        .collect();
    host.handle_event(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(ListSource::Discovery, 1, 1, entries)
    }));
    host.advance_until(ServiceMode::Staged);
    host.advance(2 * SECOND);
    for _ in 0..2 {
        host.handle_event(Event::QuotaLent {
            from: "b2".into(),
            number: 1,
            clients: 5.0,
        });
    }
    let admitted = (0..20).filter(|key| host.is_admitted(*key)).count();
    assert!((5..=6).contains(&admitted), "{admitted}");
}

/// Balancers that count admission from different starts would defer clients for different times.
#[test]
fn aligns_admission_start_with_earliest_peer() {
    let retry_after_with = |serving_time: Option<Nanos>| {
        let previous_clients = vec![PreviousClients {
            class: 0,
            account: 0,
            clients: 20.0,
        }];
        let memory = Memory {
            previous_clients,
            ..memory()
        };
        let mut host = TestRecovery::new(
            RecoveryConfig {
                site_peers: 0,
                ..config()
            },
            WALL,
            Some(memory),
        );
        let entries = vec![entry("s1", WALL - 9_000, Lifecycle::Ready)];
        host.handle_event(Event::PeerReported(PeerStatus {
            serving_time,
            ..peer_status("b3", "south", 3, 9 * SECOND)
        }));
        host.handle_event(Event::ListReceived(List {
            reported_at: Some(WALL),
            ..list(ListSource::Discovery, 1, 41, entries)
        }));
        host.advance_until(ServiceMode::Staged);
        let request = AdmissionRequest {
            id: 1,
            class: 0,
            account: 0,
            group: None,
            client_key: Some(1),
        };
        host.handle_event(Event::AdmissionRequested(request));
        match host.out.last() {
            Some(Action::Defer { retry_after, .. }) => *retry_after,
            other => panic!("the client should be deferred: {other:?}"),
        }
    };
    assert!(retry_after_with(Some(8 * SECOND)) + SECOND < retry_after_with(None));
}

/// Quota that accumulates while no client arrives would admit a burst that overloads the servers.
#[test]
fn expires_unused_quota() {
    let slow_start = SlowStartRules {
        clients_per_server_s: 20.0,
        ..SlowStartRules::default()
    };
    let config = RecoveryConfig {
        site_peers: 0,
        other_sites: Vec::new(),
        usual_clients: 1,
        slow_start,
        ..config()
    };
    let mut host = TestRecovery::new(config, WALL, None);
    let entries = (0..40)
        .map(|at| entry(&format!("s{at}"), WALL, Lifecycle::Ready))
        .collect();
    host.handle_event(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(ListSource::Discovery, 1, 1, entries)
    }));
    host.advance_until(ServiceMode::Staged);
    host.advance(5 * SECOND);
    let admitted = (0..5_000).filter(|key| host.is_admitted(*key)).count();
    // Four such balancers together stay under half of the overload limit of 3 * 0.4 * 20 * 40 clients per second for
    // 1.5 s.
    assert!(admitted > 0 && admitted * 4 <= 720, "{admitted}");
}

/// Without an order of the classes, the clients that wait least would be told to come again for as
/// long as those that wait most.
#[test]
fn class_with_the_shortest_deadline_is_admitted_first() {
    let retry_after = |deadlines: [Nanos; 2], class: usize| {
        let previous_clients = (0..2)
            .map(|class| PreviousClients {
                class,
                account: 0,
                clients: 500.0,
            })
            .collect();
        let memory = Memory {
            previous_clients,
            ..memory()
        };
        let config = RecoveryConfig {
            site_peers: 0,
            classes: deadlines.map(|deadline| RequestClass { deadline }).into(),
            ..config()
        };
        let mut host = TestRecovery::new(config, WALL, Some(memory));
        host.handle_event(Event::PeerReported(peer_status(
            "b3",
            "south",
            3,
            9 * SECOND,
        )));
        host.handle_event(Event::ListReceived(List {
            reported_at: Some(WALL),
            ..list(
                ListSource::Discovery,
                1,
                41,
                vec![entry("s1", WALL - 9_000, Lifecycle::Ready)],
            )
        }));
        host.advance_until(ServiceMode::Staged);
        host.handle_event(Event::AdmissionRequested(AdmissionRequest {
            id: 1,
            class,
            account: 0,
            group: None,
            client_key: Some(1),
        }));
        match host.out.last() {
            Some(Action::Defer { retry_after, .. }) => *retry_after,
            Some(Action::Admit { .. }) => 0,
            other => panic!("the client should be admitted or deferred: {other:?}"),
        }
    };
    let deadlines = [6 * SECOND, 3 * SECOND];
    assert!(retry_after(deadlines, 1) + 10 * SECOND < retry_after(deadlines, 0));
    let reversed = [3 * SECOND, 6 * SECOND];
    assert!(retry_after(reversed, 0) + 10 * SECOND < retry_after(reversed, 1));
}
