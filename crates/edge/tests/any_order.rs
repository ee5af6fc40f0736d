//! Any evidence in any order: bounded changes, bounded states, the same each time.

mod support;

use std::collections::BTreeMap;

use beaconflow_edge::*;
use proptest::prelude::*;

const NAMES: [&str; 3] = ["n1", "n2", "n3"];
const SITES: [&str; 3] = ["moy", "ard", "bray"];

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Failed),
        (0..5_000_u64).prop_map(|took_ms| Outcome::Answered { took_ms })
    ]
}

fn place() -> impl Strategy<Value = Place> {
    prop_oneof![
        Just(Place::Discovery),
        Just(Place::Store),
        prop::sample::select(&SITES[..]).prop_map(|site| Place::Site(site.into())),
    ]
}

fn says() -> impl Strategy<Value = UplinkReport> {
    let seen = prop::sample::select(vec![
        Reachability::Reachable,
        Reachability::OneWay,
        Reachability::Lost,
    ]);
    let states = vec![
        State::Linked,
        State::Doubtful,
        State::Islanded,
        State::Rejoining,
    ];
    let state = prop::sample::select(states);
    let places = prop::collection::vec((place(), seen, 0..90_000_u64), 0..4);
    let probes = prop::collection::vec((place(), 0..9_u32, 0..90_000_u64), 0..3);
    let (name, site) = (
        prop::sample::select(&NAMES[..]),
        prop::sample::select(&SITES[..]),
    );
    (name, site, state, places, probes).prop_map(|(name, site, state, places, probes)| {
        UplinkReport {
            name: name.into(),
            site: site.into(),
            state,
            places,
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
    let merge = Just(Evidence::Done(Step::Merge));
    prop_oneof![
        4 => Just(Evidence::Tick),
        2 => Just(Evidence::WatchLost),
        2 => Just(Evidence::WatchStands),
        1 => Just(Evidence::DiscoveryFailed),
        1 => Just(Evidence::DiscoveryAnswered { took_ms: 5 }),
        1 => Just(Evidence::DiscoveryMoved),
        2 => Just(Evidence::StoreFailed),
        1 => Just(Evidence::StoreAnswered { took_ms: 5 }),
        2 => (peer(), any::<bool>()).prop_map(|((name, site), both_ways)| {
            Evidence::PeerHeard { name: name.into(), site: site.into(), both_ways }
        }),
        2 => peer().prop_map(|(name, site)| Evidence::PeerSilent { name: name.into(), site: site.into() }),
        2 => says().prop_map(Evidence::PeerSays),
        2 => (prop::sample::select(&SITES[..]), outcome()).prop_map(|(site, outcome)| {
            Evidence::ServerBeyond { site: site.into(), outcome }
        }),
        1 => outcome().prop_map(|outcome| Evidence::ServerHere { outcome }),
        2 => merge,
    ]
}

/// Spells of some evidence, again and again, each with its own spacing: what real trouble looks like.
fn story() -> impl Strategy<Value = Vec<(Millis, Evidence)>> {
    let spell = (
        prop::collection::vec(evidence(), 1..6),
        1..20_usize,
        50..2_500_u64,
    );
    prop::collection::vec(spell, 1..10).prop_map(|spells| {
        let told = spells.into_iter().flat_map(|(of, times, apart)| {
            (0..times)
                .flat_map(move |_| of.clone())
                .map(move |one| (apart, one))
        });
        told.collect()
    })
}

fn play(story: &[(Millis, Evidence)]) -> Vec<(Millis, Action)> {
    let mut edge = Edge::new(support::config("n1"), 1_000_000, Start::Anew);
    let (mut now, mut did, mut actions) = (1_000_000, Vec::new(), Vec::new());
    for (apart, one) in story {
        let at = now + apart;
        while now < at {
            now = edge.next(now).min(at);
            let evidence = if now == at {
                one.clone()
            } else {
                Evidence::Tick
            };
            edge.handle(now, evidence, &mut actions);
            did.extend(actions.drain(..).map(|action| (now, action)));
        }
    }
    did
}

fn states(did: &[(Millis, Action)]) -> Vec<(Millis, State, State)> {
    let change = |(at, action): &(Millis, Action)| match action {
        Action::State { from, to, .. } => Some((*at, *from, *to)),
        _ => None,
    };
    did.iter().filter_map(change).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    #[test]
    fn changes_are_few_and_no_state_outlasts_its_bound(story in story()) {
        let did = play(&story);
        let changes = states(&did);
        for window in changes.windows(8) {
            prop_assert!(window[7].0 - window[0].0 >= 60_000, "eight changes within a minute: {:?}", window);
        }
        let config = support::config("n1");
        let end = 1_000_000 + story.iter().map(|(apart, _)| apart).sum::<Millis>();
        let begins = changes.iter().map(|(at, _, to)| (*at, *to));
        let begins: Vec<_> = std::iter::once((1_000_000, State::Doubtful)).chain(begins).collect();
        let ends = begins.iter().skip(1).map(|(at, _)| *at).chain([end]);
        for ((at, state), until) in begins.iter().zip(ends) {
            let bound = match state {
                State::Doubtful => config.answer_timeout_ms,
                State::Rejoining => config.rejoin_ms,
                State::Linked | State::Islanded => continue,
            };
            prop_assert!(until - at <= bound + 500, "{} for {}", state, until - at);
        }
        for (_, from, to) in &changes {
            let known = matches!((from, to),
                (State::Linked, State::Doubtful) | (State::Doubtful, State::Linked | State::Islanded)
                | (State::Islanded, State::Rejoining) | (State::Rejoining, State::Linked | State::Islanded));
            prop_assert!(known, "from {} to {}", from, to);
        }
    }

    #[test]
    fn whatever_came_before_the_evidence_has_its_way_within_a_bound(story in story(), lost in any::<bool>()) {
        let mut one = support::One::start("n1", Start::Anew);
        for (apart, evidence) in &story {
            one.run(*apart, |_, _| {});
            one.tell(evidence.clone());
        }
        one.run(120_000, |one, _| {
            if lost { one.all_lost() } else { one.all_answer() }
            one.tell(Evidence::Done(Step::Merge));
        });
        let expected = if lost { State::Islanded } else { State::Linked };
        prop_assert_eq!(one.edge.state(), expected, "{}", one.edge.snapshot(one.now).lines().join("\n"));
    }

    #[test]
    fn the_same_evidence_gives_the_same_actions(story in story()) {
        prop_assert_eq!(play(&story), play(&story));
    }

    #[test]
    fn a_word_goes_before_whatever_came_and_ends(story in story(), island in any::<bool>()) {
        let mut one = support::One::start("n1", Start::Anew);
        for (apart, evidence) in &story {
            one.run(*apart, |_, _| {});
            one.tell(evidence.clone());
        }
        one.word(if island { Force::Island } else { Force::Linked }, 600_000);
        one.run(120_000, |one, _| if island { one.all_answer() } else { one.all_lost() });
        prop_assert_eq!(one.edge.state(), if island { State::Islanded } else { State::Linked });
    }

    #[test]
    fn probes_of_a_place_keep_their_spacing(story in story()) {
        let mut last: BTreeMap<Place, Vec<Millis>> = BTreeMap::new();
        for (at, action) in play(&story) {
            if let Action::Probe { place } = action {
                last.entry(place).or_default().push(at);
            }
        }
        for (place, at) in last {
            for window in at.windows(40) {
                prop_assert!(window[39] - window[0] >= 30_000, "{}: {:?}", place, window);
            }
        }
    }
}
