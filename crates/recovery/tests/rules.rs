//! What is trusted, how scope and clocks are told, and the hard cases, one by one.

use beaconflow_recovery::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const WALL: Millis = 1_800_000_000_000;
const YEAR: Millis = 365 * 86_400_000;

struct Machine {
    recovery: Recovery,
    now: Nanos,
    /// The wall clock at moment 0.
    wall: Millis,
    out: Vec<Action>,
}

impl Machine {
    fn new(config: RecoveryConfig, wall: Millis, memory: Option<Memory>) -> Machine {
        let recovery = Recovery::new(config, 3).expect("the settings are in range");
        let mut machine = Machine {
            recovery,
            now: 0,
            wall,
            out: Vec::new(),
        };
        machine.tell(Event::Started {
            incarnation: 5,
            memory,
        });
        machine
    }

    fn tell(&mut self, event: Event) {
        self.recovery
            .handle(self.now, self.wall + self.now / MS, event, &mut self.out);
    }

    /// Ticks as they are asked for.
    fn pass(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(due) = self.recovery.next_tick_at().filter(|due| *due <= until) {
            self.now = due.max(self.now + 1);
            self.tell(Event::Tick);
        }
        self.now = until;
    }

    fn pass_until(&mut self, how: ServiceMode) {
        let end = self.now + 700 * SECOND;
        while self.recovery.state().service_mode() != how {
            assert!(self.now < end, "{:?} is not reached: {:?}", how, self.out);
            self.now = self
                .recovery
                .next_tick_at()
                .expect("it waits for something")
                .max(self.now + 1);
            self.tell(Event::Tick);
        }
    }

    fn lifecycle(&self, name: &str) -> Option<Lifecycle> {
        self.recovery
            .servers()
            .find(|server| server.name == name)
            .map(|server| server.lifecycle)
    }

    fn is_admitted(&mut self, key: u64) -> bool {
        let arrival = AdmissionRequest {
            id: key,
            class: 0,
            account: 0,
            group: None,
            client_key: Some(key),
            is_reconnect: true,
        };
        self.tell(Event::AdmissionRequested(arrival));
        matches!(self.out.last(), Some(Action::Admit { .. }))
    }

    fn calls(&self, of: EvidenceSource) -> Vec<Nanos> {
        let calls = self.out.iter().filter_map(|action| match action {
            Action::Query { source, after } if *source == of => Some(*after),
            _ => None,
        });
        calls.collect()
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

fn list(source: Source, epoch: u64, generation: u64, entries: Vec<Entry>) -> List {
    List {
        source,
        generation,
        epoch,
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
    list(Source::Memory, 1, 40, entries)
}

/// As it was written a minute before the power's return.
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

fn word(name: &str, site: &str, incarnation: u64, uptime: Nanos) -> PeerStatus {
    PeerStatus {
        name: name.into(),
        site: site.into(),
        incarnation,
        uptime,
        serving_time: None,
        serves_in_full: false,
        wall_clock: None,
        previous_clients: None,
        deferred_per_s: 0.0,
    }
}

#[test]
fn memory_is_judged_by_kind_age_and_owner() {
    let judged = |memory: Memory, wall| Machine::new(config(), wall, Some(memory)).recovery;
    let fresh = judged(memory(), WALL);
    assert_eq!(fresh.validity(RememberedKind::List), Validity::Hint(1.0));
    assert_eq!(fresh.validity(RememberedKind::Drains), Validity::Valid);
    assert_eq!(fresh.validity(RememberedKind::Placements), Validity::Valid);
    assert_eq!(
        fresh.validity(RememberedKind::ConnectionCounts),
        Validity::Discarded
    );
    let pace = |recovery: &Recovery| match recovery.validity(RememberedKind::ServerRates) {
        Validity::Hint(weight) => weight,
        _ => 0.0,
    };
    // Learnt pace fades by half in an hour.
    let later = judged(memory(), WALL + 3_540_000);
    assert!(pace(&fresh) > 0.95 && (pace(&later) - 0.5).abs() < 0.01);
    let days_later = judged(memory(), WALL + 2 * 86_400_000);
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
        let foreign = judged(foreign, WALL);
        assert_eq!(
            foreign.validity(RememberedKind::Placements),
            Validity::Discarded
        );
        assert_eq!(foreign.validity(RememberedKind::List), Validity::Hint(1.0));
    }
}

#[test]
fn a_clock_in_1970_or_a_year_ahead_makes_nothing_fresh() {
    for wall in [0, WALL + YEAR] {
        let mut machine = Machine::new(config(), wall, Some(memory()));
        assert!(!machine.recovery.clock_is_sound());
        assert_eq!(
            machine.recovery.validity(RememberedKind::Placements),
            Validity::Discarded
        );
        assert_eq!(
            machine.recovery.validity(RememberedKind::ServerRates),
            Validity::Discarded
        );
        assert!(!machine.recovery.is_placement_valid("s1", WALL - 61_000));
        // What takes a server out holds for a time; what does not is over.
        assert!(machine.recovery.is_override_valid(u64::MAX, true));
        assert!(!machine.recovery.is_override_valid(u64::MAX, false));
        // Servers that started since are cold, whatever the clock makes of their start.
        let entries = vec![
            entry("s1", WALL, Lifecycle::Ready),
            entry("s3", WALL, Lifecycle::Ready),
        ];
        machine.tell(Event::ListReceived(list(Source::Discovery, 1, 41, entries)));
        machine.pass_until(ServiceMode::Staged);
        assert_eq!(machine.recovery.state(), RecoveryState::StagedAdmission);
        machine.pass(31 * SECOND);
        assert!(!machine.recovery.is_override_valid(u64::MAX, true));
    }
    // A peer's clock, or discovery's, shows a clock that nothing else does.
    let mut machine = Machine::new(config(), WALL + 3_600_000, Some(memory()));
    assert!(machine.recovery.clock_is_sound());
    machine.tell(Event::PeerReported(PeerStatus {
        wall_clock: Some(WALL),
        ..word("b2", "north", 3, SECOND)
    }));
    assert!(!machine.recovery.clock_is_sound());
    // Also, without memory, a server that started later than now.
    let mut machine = Machine::new(config(), WALL, None);
    machine.tell(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(Source::Discovery, 1, 1, Vec::new())
    }));
    assert!(machine.recovery.clock_is_sound());
}

#[test]
fn placements_hold_but_on_servers_that_started_since() {
    let mut memory = memory();
    let known = entry("s5", WALL - 90_000_000, Lifecycle::Ready);
    memory
        .list
        .iter_mut()
        .for_each(|list| list.entries.push(known.clone()));
    let mut machine = Machine::new(config(), WALL, Some(memory));
    let entries = vec![
        entry("s1", WALL - 90_000_000, Lifecycle::Ready),
        entry("s2", WALL - 90_000_000, Lifecycle::Draining),
        entry("s3", WALL - 30_000, Lifecycle::Ready),
        entry("s4", WALL - 30_000, Lifecycle::Ready),
        entry("s5", WALL - 80_000_000, Lifecycle::Ready),
    ];
    machine.tell(Event::ListReceived(list(Source::Discovery, 1, 41, entries)));
    assert!(machine.recovery.is_placement_valid("s1", WALL - 61_000));
    assert!(
        !machine.recovery.is_placement_valid("s2", WALL - 61_000),
        "it drains"
    );
    assert!(
        !machine.recovery.is_placement_valid("s3", WALL - 61_000),
        "it started since"
    );
    assert!(
        !machine.recovery.is_placement_valid("s4", WALL - 61_000),
        "so did one that memory does not know"
    );
    assert!(
        !machine.recovery.is_placement_valid("s5", WALL - 61_000),
        "and one whose clock is behind"
    );
    assert!(
        !machine.recovery.is_placement_valid("s1", WALL - 4_000_000),
        "that is long ago"
    );
    assert!(machine.recovery.is_override_valid(WALL + 5_000, false));
    assert!(
        !machine.recovery.is_override_valid(WALL - 5_000, false),
        "it ended in the dark"
    );
    machine.tell(Event::ServerStarted {
        name: "s1".into(),
        at: WALL + 1,
    });
    assert!(!machine.recovery.is_placement_valid("s1", WALL - 61_000));
}

#[test]
fn drains_hold_against_a_discovery_that_lost_its_state_for_a_time() {
    let ready = |life, generation| {
        let names = ["s1", "s2", "s4"];
        let entries = names
            .map(|name| entry(name, WALL - 90_000_000, Lifecycle::Ready))
            .to_vec();
        Event::ListReceived(list(Source::Discovery, life, generation, entries))
    };
    // It counts anew from 1: all of its list is taken, but for the drain.
    for life in [2, 0] {
        let mut memory = memory();
        memory.list = memory.list.map(|list| List {
            epoch: life.min(1),
            ..list
        });
        let mut machine = Machine::new(config(), WALL, Some(memory));
        machine.tell(ready(life, 1));
        assert_eq!(machine.lifecycle("s2"), Some(Lifecycle::Draining));
        assert_eq!(
            (machine.lifecycle("s3"), machine.lifecycle("s4")),
            (None, Some(Lifecycle::Ready))
        );
        machine.pass(20 * SECOND);
        machine.tell(ready(life, 2));
        assert_eq!(machine.lifecycle("s2"), Some(Lifecycle::Draining));
        machine.pass(11 * SECOND);
        assert_eq!(machine.lifecycle("s2"), Some(Lifecycle::Ready));
    }
    // One that has kept its state is believed at once, and one that speaks of the past is not.
    let mut machine = Machine::new(config(), WALL, Some(memory()));
    machine.tell(ready(1, 41));
    assert_eq!(machine.lifecycle("s2"), Some(Lifecycle::Ready));
    machine.tell(Event::ListReceived(list(Source::Peer, 1, 12, Vec::new())));
    assert_eq!(machine.lifecycle("s2"), Some(Lifecycle::Ready));
}

#[test]
fn scope_is_told_by_boots_and_starts() {
    let day = 86_400 * SECOND;
    let told = |words: &[PeerStatus], started_at: Millis| {
        let mut machine = Machine::new(config(), WALL, Some(memory()));
        words
            .iter()
            .for_each(|word| machine.tell(Event::PeerReported(word.clone())));
        let entries = vec![entry("s1", started_at, Lifecycle::Ready)];
        let reported_at = Some(WALL);
        machine.tell(Event::ListReceived(List {
            reported_at,
            ..list(Source::Discovery, 1, 41, entries)
        }));
        let bound = config().admits_within();
        machine.pass(bound);
        assert_ne!(
            machine.recovery.state().service_mode(),
            ServiceMode::Unavailable
        );
        machine.recovery.scope()
    };
    let (warm, cold) = (WALL - 90_000_000, WALL);
    assert_eq!(
        told(
            &[word("b2", "north", 3, day), word("b3", "south", 3, day)],
            warm
        ),
        OutageScope::Process
    );
    assert_eq!(
        told(
            &[word("b2", "north", 3, SECOND), word("b3", "south", 3, day)],
            cold
        ),
        OutageScope::Site
    );
    assert_eq!(
        told(
            &[
                word("b2", "north", 3, SECOND),
                word("b3", "south", 3, SECOND)
            ],
            cold
        ),
        OutageScope::Fleet
    );
    // A word of a former life says nothing of who ran on.
    let both = |boot, up_for| {
        [
            word("b2", "north", boot, up_for),
            word("b3", "south", boot, up_for),
        ]
    };
    assert_eq!(
        told(&[both(3, SECOND), both(2, day)].concat(), cold),
        OutageScope::Fleet
    );
    // Nobody answers, and the servers' starts tell.
    assert_eq!(told(&[], cold), OutageScope::Fleet);
    // Nobody knows, and nobody answers.
    let mut machine = Machine::new(
        RecoveryConfig {
            site_peers: 0,
            other_sites: Vec::new(),
            ..config()
        },
        WALL,
        None,
    );
    machine.pass_until(ServiceMode::Staged);
    assert_eq!(machine.recovery.scope(), OutageScope::Unknown);
}

#[test]
fn a_lone_restart_serves_as_soon_as_a_peer_has_told_the_list() {
    let mut machine = Machine::new(config(), WALL, Some(memory()));
    machine.now = 50 * MS;
    machine.tell(Event::PeerReported(word("b2", "north", 3, 86_400 * SECOND)));
    let entries = vec![entry("s1", WALL - 90_000_000, Lifecycle::Ready)];
    machine.tell(Event::ListReceived(list(Source::Peer, 1, 41, entries)));
    assert_eq!(machine.recovery.state(), RecoveryState::Serving);
    assert!(machine.is_admitted(1));
    assert!(
        !machine.calls(EvidenceSource::Discovery).is_empty(),
        "it is asked all the same"
    );
}

#[test]
fn one_that_was_stopped_through_the_outage_notices() {
    let mut machine = Machine::new(config(), WALL, Some(memory()));
    let entries = vec![
        entry("s1", WALL - 90_000_000, Lifecycle::Ready),
        entry("s3", 1, Lifecycle::Ready),
    ];
    machine.tell(Event::PeerReported(word("b2", "north", 3, 86_400 * SECOND)));
    machine.tell(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(Source::Discovery, 1, 41, entries)
    }));
    machine.pass(SECOND);
    assert_eq!(machine.recovery.state(), RecoveryState::Serving);
    // A minute in which not even a tick was heard; then the first client.
    machine.now += 60 * SECOND;
    assert!(!machine.is_admitted(1), "it asks first");
    assert_eq!(
        machine.recovery.state().service_mode(),
        ServiceMode::Unavailable
    );
    machine.tell(Event::PeerReported(word("b2", "north", 4, 10 * SECOND)));
    let entries = vec![entry("s1", WALL + 50_000, Lifecycle::Ready)];
    let reported_at = Some(WALL + machine.now / MS);
    machine.tell(Event::ListReceived(List {
        reported_at,
        ..list(Source::Peer, 1, 43, entries)
    }));
    machine.pass_until(ServiceMode::Staged);
    assert_ne!(machine.recovery.scope(), OutageScope::Process);
    // The same if the monotonic clock stood still too: the wall clock went ahead, and a peer has begun anew.
    let mut machine = Machine::new(config(), WALL, Some(memory()));
    machine.tell(Event::PeerReported(word("b2", "north", 3, 86_400 * SECOND)));
    let entries = vec![entry("s1", WALL - 90_000_000, Lifecycle::Ready)];
    machine.tell(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(Source::Peer, 1, 41, entries)
    }));
    assert_eq!(machine.recovery.state(), RecoveryState::Serving);
    machine.wall += 60_000;
    machine.tell(Event::Tick);
    assert_eq!(
        machine.recovery.state(),
        RecoveryState::Serving,
        "a step alone is none"
    );
    machine.tell(Event::PeerReported(word("b2", "north", 4, 10 * SECOND)));
    assert_eq!(
        machine.recovery.state().service_mode(),
        ServiceMode::Unavailable
    );
}

#[test]
fn a_second_loss_in_the_midst_finds_the_former_service() {
    let mut machine = Machine::new(config(), WALL, Some(memory()));
    let entries = vec![
        entry("s1", WALL, Lifecycle::Ready),
        entry("s3", WALL, Lifecycle::Ready),
    ];
    machine.tell(Event::ListReceived(list(Source::Discovery, 1, 41, entries)));
    machine.pass_until(ServiceMode::Staged);
    assert_eq!(machine.recovery.previous_clients(), Some(1_000.0));
    assert!(!machine.recovery.may_remember());
    machine.pass_until(ServiceMode::Full);
    assert!(machine.recovery.may_remember());
}

#[test]
fn whoever_does_not_answer_is_asked_ever_more_rarely_and_never_in_step() {
    let config = RecoveryConfig {
        fleet_size: 300,
        site_peers: 0,
        other_sites: Vec::new(),
        ..config()
    };
    let mut machine = Machine::new(config, WALL, None);
    for _ in 0..2_000 {
        machine.pass(100 * MS);
        machine.tell(Event::Failed(EvidenceSource::Discovery));
    }
    let calls = machine.calls(EvidenceSource::Discovery);
    // In 200 s: the first few soon, then one in 7.5 s in the mean, or one in 15 if an answer were waited for.
    assert!((12..60).contains(&calls.len()), "{}", calls.len());
    assert!(calls[0] <= 3 * SECOND && calls.iter().all(|after| *after <= 15 * SECOND));
    let later: std::collections::BTreeSet<_> = calls.iter().collect();
    assert!(later.len() > calls.len() / 2, "they are drawn");
}

#[test]
fn parts_of_all_balancers_stay_under_the_rule_however_many_there_are() {
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
            let mut machine = Machine {
                recovery,
                now: 0,
                wall: WALL,
                out: Vec::new(),
            };
            machine.tell(Event::Started {
                incarnation: 1,
                memory: None,
            });
            let entries = (0..100)
                .map(|at| entry(&format!("s{at}"), WALL, Lifecycle::Ready))
                .collect();
            machine.tell(Event::ListReceived(List {
                reported_at: Some(WALL),
                ..list(Source::Discovery, 1, 1, entries)
            }));
            // All turns have come, and clients come as fast as they can.
            for key in 0..200 {
                machine.now += 10 * MS;
                admitted += u32::from(machine.is_admitted(key));
            }
        }
        // 100 servers of weight 1 that are cold bear 3 times 0.2 to 0.28 a second, for two seconds; chance takes most.
        assert!(admitted <= 144, "{fleet_size}: {admitted}");
        assert!(admitted >= 8, "{fleet_size}: {admitted}");
    }
}

#[test]
fn a_loan_that_is_told_twice_counts_once() {
    let config = RecoveryConfig {
        fleet_size: 300,
        site_peers: 0,
        other_sites: Vec::new(),
        usual_clients: 1,
        ..config()
    };
    let mut machine = Machine::new(config, WALL, None);
    let entries = (0..40)
        .map(|at| entry(&format!("s{at}"), WALL, Lifecycle::Ready))
        .collect();
    machine.tell(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(Source::Discovery, 1, 1, entries)
    }));
    machine.pass_until(ServiceMode::Staged);
    machine.pass(2 * SECOND);
    for _ in 0..2 {
        machine.tell(Event::QuotaLent {
            from: "b2".into(),
            number: 1,
            clients: 5.0,
        });
    }
    let admitted = (0..20).filter(|key| machine.is_admitted(*key)).count();
    assert!((5..=6).contains(&admitted), "{admitted}");
}

#[test]
fn turns_count_from_when_the_first_of_all_let_clients_in() {
    let wait = |serving_time: Option<Nanos>| {
        let previous_clients = vec![PreviousClients {
            class: 0,
            account: 0,
            clients: 20.0,
        }];
        let memory = Memory {
            previous_clients,
            ..memory()
        };
        let mut machine = Machine::new(
            RecoveryConfig {
                site_peers: 0,
                ..config()
            },
            WALL,
            Some(memory),
        );
        let entries = vec![entry("s1", WALL - 9_000, Lifecycle::Ready)];
        machine.tell(Event::PeerReported(PeerStatus {
            serving_time,
            ..word("b3", "south", 3, 9 * SECOND)
        }));
        machine.tell(Event::ListReceived(List {
            reported_at: Some(WALL),
            ..list(Source::Discovery, 1, 41, entries)
        }));
        machine.pass_until(ServiceMode::Staged);
        let arrival = AdmissionRequest {
            id: 1,
            class: 0,
            account: 0,
            group: None,
            client_key: Some(1),
            is_reconnect: true,
        };
        machine.tell(Event::AdmissionRequested(arrival));
        match machine.out.last() {
            Some(Action::Defer { retry_after, .. }) => *retry_after,
            other => panic!("it has to wait for its turn: {other:?}"),
        }
    };
    assert!(wait(Some(8 * SECOND)) + SECOND < wait(None));
}

#[test]
fn what_is_not_used_lapses() {
    let slow_start = SlowStartRules {
        clients_per_server_s: 20.0,
        ..SlowStartRules::default()
    };
    let alone = RecoveryConfig {
        site_peers: 0,
        other_sites: Vec::new(),
        usual_clients: 1,
        slow_start,
        ..config()
    };
    let mut machine = Machine::new(alone, WALL, None);
    let entries = (0..40)
        .map(|at| entry(&format!("s{at}"), WALL, Lifecycle::Ready))
        .collect();
    machine.tell(Event::ListReceived(List {
        reported_at: Some(WALL),
        ..list(Source::Discovery, 1, 1, entries)
    }));
    machine.pass_until(ServiceMode::Staged);
    machine.pass(5 * SECOND);
    let admitted = (0..5_000).filter(|key| machine.is_admitted(*key)).count();
    // Four such balancers together stay under half of what tips: 3 times 0.4 times 20 times 40, for 1.5 s.
    assert!(admitted > 0 && admitted * 4 <= 720, "{admitted}");
}
