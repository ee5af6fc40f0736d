//! Properties that hold for any evidence in any order: few transitions, bounded states,
//! deterministic actions.

mod support;

use std::collections::BTreeMap;

use beaconflow_edge::*;
use proptest::prelude::*;

const NAMES: [&str; 3] = ["n1", "n2", "n3"];
const SITES: [&str; 3] = ["moy", "ard", "bray"];

fn outcome() -> impl Strategy<Value = RequestOutcome> {
    prop_oneof![
        Just(RequestOutcome::Failed),
        (0..5_000_u64).prop_map(|latency_ms| RequestOutcome::Answered { latency_ms })
    ]
}

fn target() -> impl Strategy<Value = RemoteTarget> {
    prop_oneof![
        Just(RemoteTarget::Discovery),
        Just(RemoteTarget::Store),
        prop::sample::select(&SITES[..]).prop_map(|site| RemoteTarget::Site(site.into())),
    ]
}

fn report() -> impl Strategy<Value = UplinkReport> {
    let reachability = prop::sample::select(vec![
        Reachability::Reachable,
        Reachability::OneWay,
        Reachability::Unreachable,
    ]);
    let states = vec![
        UplinkState::Linked,
        UplinkState::Doubtful,
        UplinkState::Isolated,
        UplinkState::Rejoining,
    ];
    let state = prop::sample::select(states);
    let targets = prop::collection::vec((target(), reachability, 0..90_000_u64), 0..4);
    let probes = prop::collection::vec((target(), 0..9_u32, 0..90_000_u64), 0..3);
    let (name, site) = (
        prop::sample::select(&NAMES[..]),
        prop::sample::select(&SITES[..]),
    );
    (name, site, state, targets, probes).prop_map(|(name, site, state, targets, probes)| {
        UplinkReport {
            name: name.into(),
            site: site.into(),
            state,
            targets,
            probes,
            operator_mode: None,
        }
    })
}

fn evidence() -> impl Strategy<Value = Evidence> {
    let peer = || {
        (
            prop::sample::select(&NAMES[..]),
            prop::sample::select(&SITES[..]),
        )
    };
    let merge = Just(Evidence::RejoinStepDone(RejoinStep::Merge));
    prop_oneof![
        4 => Just(Evidence::Tick),
        2 => Just(Evidence::WatchLost),
        2 => Just(Evidence::WatchAlive),
        1 => Just(Evidence::DiscoveryFailed),
        1 => Just(Evidence::DiscoveryAnswered { latency_ms: 5 }),
        1 => Just(Evidence::DiscoveryAddressChanged),
        2 => Just(Evidence::StoreFailed),
        1 => Just(Evidence::StoreAnswered { latency_ms: 5 }),
        2 => (peer(), any::<bool>()).prop_map(|((name, site), is_bidirectional)| {
            Evidence::PeerMessage { name: name.into(), site: site.into(), is_bidirectional }
        }),
        2 => peer().prop_map(|(name, site)| Evidence::PeerSilent { name: name.into(), site: site.into() }),
        2 => report().prop_map(Evidence::PeerReport),
        2 => (prop::sample::select(&SITES[..]), outcome()).prop_map(|(site, outcome)| {
            Evidence::RemoteServerRequest { site: site.into(), outcome }
        }),
        1 => outcome().prop_map(|outcome| Evidence::LocalServerRequest { outcome }),
        2 => merge,
    ]
}

/// Bursts of repeated evidence, each with its own interval, as real failures produce it.
fn sequence() -> impl Strategy<Value = Vec<(Millis, Evidence)>> {
    let burst = (
        prop::collection::vec(evidence(), 1..6),
        1..20_usize,
        50..2_500_u64,
    );
    prop::collection::vec(burst, 1..10).prop_map(|bursts| {
        let evidence = bursts
            .into_iter()
            .flat_map(|(batch, repeats, interval_ms)| {
                (0..repeats)
                    .flat_map(move |_| batch.clone())
                    .map(move |one| (interval_ms, one))
            });
        evidence.collect()
    })
}

fn replay(sequence: &[(Millis, Evidence)]) -> Vec<(Millis, Action)> {
    let mut edge = Edge::new(support::config("n1"), 1_000_000, Start::Fresh);
    let (mut now, mut recorded, mut actions) = (1_000_000, Vec::new(), Vec::new());
    for (interval_ms, next_evidence) in sequence {
        let at = now + interval_ms;
        while now < at {
            now = edge.next_tick_at(now).min(at);
            let evidence = if now == at {
                next_evidence.clone()
            } else {
                Evidence::Tick
            };
            edge.handle(now, evidence, &mut actions);
            recorded.extend(actions.drain(..).map(|action| (now, action)));
        }
    }
    recorded
}

fn states(actions: &[(Millis, Action)]) -> Vec<(Millis, UplinkState, UplinkState)> {
    let change = |(at, action): &(Millis, Action)| match action {
        Action::StateChanged { from, to, .. } => Some((*at, *from, *to)),
        _ => None,
    };
    actions.iter().filter_map(change).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    #[test]
    fn limits_transitions_and_time_in_transient_states(sequence in sequence()) {
        let actions = replay(&sequence);
        let changes = states(&actions);
        for window in changes.windows(8) {
            prop_assert!(window[7].0 - window[0].0 >= 60_000, "at most seven transitions within a minute: {:?}", window);
        }
        let config = support::config("n1");
        let end = 1_000_000 + sequence.iter().map(|(interval_ms, _)| interval_ms).sum::<Millis>();
        let begins = changes.iter().map(|(at, _, to)| (*at, *to));
        let begins: Vec<_> = std::iter::once((1_000_000, UplinkState::Doubtful)).chain(begins).collect();
        let ends = begins.iter().skip(1).map(|(at, _)| *at).chain([end]);
        for ((at, state), until) in begins.iter().zip(ends) {
            let bound = match state {
                UplinkState::Doubtful => config.isolation_delay_ms,
                UplinkState::Rejoining => config.rejoin_ms,
                UplinkState::Linked | UplinkState::Isolated => continue,
            };
            prop_assert!(until - at <= bound + 500, "state {} lasted {} ms, longer than its limit", state, until - at);
        }
        for (_, from, to) in &changes {
            let is_allowed = matches!((from, to),
                (UplinkState::Linked, UplinkState::Doubtful) | (UplinkState::Doubtful, UplinkState::Linked | UplinkState::Isolated)
                | (UplinkState::Isolated, UplinkState::Rejoining) | (UplinkState::Rejoining, UplinkState::Linked | UplinkState::Isolated));
            prop_assert!(is_allowed, "transition from {} to {} is not allowed", from, to);
        }
    }

    #[test]
    fn follows_steady_evidence_after_any_sequence(sequence in sequence(), is_lost in any::<bool>()) {
        let mut process = support::TestProcess::start("n1", Start::Fresh);
        for (interval_ms, evidence) in &sequence {
            process.run(*interval_ms, |_, _| {});
            process.handle(evidence.clone());
        }
        process.run(120_000, |process, _| {
            if is_lost { process.all_lost() } else { process.all_answer() }
            process.handle(Evidence::RejoinStepDone(RejoinStep::Merge));
        });
        let expected = if is_lost { UplinkState::Isolated } else { UplinkState::Linked };
        prop_assert_eq!(process.edge.state(), expected, "{}", process.edge.snapshot(process.now).lines().join("\n"));
    }

    #[test]
    fn returns_same_actions_for_same_evidence(sequence in sequence()) {
        prop_assert_eq!(replay(&sequence), replay(&sequence));
    }

    #[test]
    fn obeys_operator_mode_after_any_sequence(sequence in sequence(), isolated in any::<bool>()) {
        let mut process = support::TestProcess::start("n1", Start::Fresh);
        for (interval_ms, evidence) in &sequence {
            process.run(*interval_ms, |_, _| {});
            process.handle(evidence.clone());
        }
        process.set_operator_mode(if isolated { UplinkMode::Isolated } else { UplinkMode::Linked }, 600_000);
        process.run(120_000, |process, _| if isolated { process.all_answer() } else { process.all_lost() });
        prop_assert_eq!(process.edge.state(), if isolated { UplinkState::Isolated } else { UplinkState::Linked });
    }

    #[test]
    fn limits_probe_rate_for_each_target(sequence in sequence()) {
        let mut last: BTreeMap<RemoteTarget, Vec<Millis>> = BTreeMap::new();
        for (at, action) in replay(&sequence) {
            if let Action::Probe { target } = action {
                last.entry(target).or_default().push(at);
            }
        }
        for (target, at) in last {
            for window in at.windows(40) {
                prop_assert!(window[39] - window[0] >= 30_000, "40 probes of {} took less than 30 s: {:?}", target, window);
            }
        }
    }
}
