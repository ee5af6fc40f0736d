//! The set against a plain model that scans all overrides and walks through every millisecond.

use std::collections::BTreeMap;

use beaconflow_overrides::*;
use beaconflow_settings::digest;
use proptest::prelude::*;

/// Short, so that the model can walk through all of it; none at all is a ramp too.
const RAMPS: [Millis; 4] = [0, 1, 7, 40];
const END: Millis = 400;
const SERVERS: [&str; 3] = ["a", "b", "c"];
const NAMES: [&str; 3] = ["north", "south", "west"];

/// Everything that was ever entered, as it is now.
#[derive(Clone)]
struct Model {
    all: Vec<Override>,
    ramp: Millis,
}

impl Model {
    fn latest(&self, at: Millis, fits: impl Fn(&Override) -> bool) -> Option<&Override> {
        self.all
            .iter()
            .filter(|one| one.is_active_at(at) && fits(one))
            .max_by_key(|one| one.id)
    }

    fn winner(&self, server: &str, at: Millis) -> Option<&Override> {
        let out =
            |one: &Override| matches!(&one.kind, Kind::Out { server: name, .. } if name == server);
        let weight = |one: &Override| matches!(&one.kind, Kind::Weight { server: name, .. } if name == server);
        self.latest(at, out).or_else(|| self.latest(at, weight))
    }

    fn target(&self, server: &str, at: Millis) -> f64 {
        match self.winner(server, at).map(|one| &one.kind) {
            Some(Kind::Out { .. }) => 0.0,
            Some(Kind::Weight { factor, .. }) => *factor,
            _ => 1.0,
        }
    }

    fn server(&self, server: &str, now: Millis) -> ServerAdjustment {
        let to = self.target(server, now);
        if to == 0.0 {
            return ServerAdjustment {
                out: true,
                factor: 0.0,
                to: 0.0,
            };
        }
        let mut factor = to;
        for at in (now + 1).saturating_sub(self.ramp).max(1)..=now {
            let before = self.target(server, at - 1);
            if before < to {
                let steps = ((now - at) * 20 / self.ramp) as f64;
                factor = factor.min(before + (to - before) * (steps / 20.0));
            }
        }
        ServerAdjustment {
            out: false,
            factor: factor.max(to * 0.1),
            to,
        }
    }

    fn pin(&self, group: &str, tenant: &str, now: Millis) -> Option<(Id, String, Strictness)> {
        let of = |wanted: Subject| {
            self.latest(
                now,
                |one| matches!(&one.kind, Kind::Pin { subject, .. } if *subject == wanted),
            )
        };
        let one =
            of(Subject::Group(group.into())).or_else(|| of(Subject::Tenant(tenant.into())))?;
        match &one.kind {
            Kind::Pin {
                server, strictness, ..
            } => Some((one.id, server.clone(), *strictness)),
            _ => None,
        }
    }

    /// All that can be seen at a moment.
    fn seen(&self, now: Millis) -> Vec<String> {
        let servers = SERVERS
            .iter()
            .map(|server| format!("{:?}", self.server(server, now)));
        let pins = NAMES
            .iter()
            .flat_map(|group| NAMES.iter().map(move |tenant| (group, tenant)));
        servers
            .chain(pins.map(|(group, tenant)| format!("{:?}", self.pin(group, tenant, now))))
            .collect()
    }
}

fn kind() -> impl Strategy<Value = Kind> {
    let server = || prop::sample::select(SERVERS.as_slice()).prop_map(str::to_owned);
    let name = || prop::sample::select(NAMES.as_slice()).prop_map(str::to_owned);
    let strictness = prop_oneof![Just(Strictness::Prefer), Just(Strictness::Strict)];
    prop_oneof![
        server().prop_map(|server| Kind::Out {
            server,
            moves_per_s: None
        }),
        (server(), prop::sample::select(vec![0.25, 0.5, 2.0, 4.0]))
            .prop_map(|(server, factor)| Kind::Weight { server, factor }),
        (name(), any::<bool>(), server(), strictness).prop_map(
            |(name, group, server, strictness)| {
                let subject = if group {
                    Subject::Group(name)
                } else {
                    Subject::Tenant(name)
                };
                Kind::Pin {
                    subject,
                    server,
                    strictness,
                }
            }
        ),
    ]
}

/// What is done to the overrides, at a moment.
#[derive(Clone, Debug)]
enum Deed {
    Add(Kind, Millis),
    /// The one of this place among all, modulo their count, ends so much later.
    Extend(usize, Millis),
    Remove(usize),
    /// The program restarts: the set is built anew from the records.
    Restart,
    /// What is spent is forgotten.
    Prune,
}

fn deeds() -> impl Strategy<Value = Vec<(Millis, Deed)>> {
    let deed = prop_oneof![
        4 => (kind(), 1..150_u64).prop_map(|(kind, span)| Deed::Add(kind, span)),
        1 => (any::<usize>(), 1..150_u64).prop_map(|(at, span)| Deed::Extend(at, span)),
        1 => any::<usize>().prop_map(Deed::Remove),
        1 => Just(Deed::Restart),
        1 => Just(Deed::Prune),
    ];
    prop::collection::vec((1..END, deed), 0..16).prop_map(|mut deeds| {
        deeds.sort_by_key(|(at, _)| *at);
        deeds
    })
}

fn limits() -> Limits {
    Limits {
        longest: 1_000,
        most: 100,
        ramp: 0,
    }
}

/// The set's own view of all that the model sees.
fn seen(set: &Set, now: Millis) -> Vec<String> {
    let servers = SERVERS
        .iter()
        .map(|server| format!("{:?}", set.server(server, now)));
    let pins = NAMES
        .iter()
        .flat_map(|group| NAMES.iter().map(move |tenant| (group, tenant)));
    let pin = |(group, tenant): (&&str, &&str)| {
        let pin = set.pin(Some(digest(group)), Some(digest(tenant)), now);
        format!(
            "{:?}",
            pin.map(|pin| (pin.id, pin.server.to_owned(), pin.strictness))
        )
    };
    servers.chain(pins.map(pin)).collect()
}

fn act(set: &mut Set, model: &mut Model, next: &mut u64, now: Millis, deed: Deed) {
    match deed {
        Deed::Add(kind, span) => {
            let draft = Draft {
                kind,
                who: "w".into(),
                why: "y".into(),
                expires_at: now + span,
            };
            draft.check(now, &limits()).expect("a sound draft");
            let one = draft.into_override(Id(*next), now);
            *next += 1;
            model.all.push(one.clone());
            set.put(one);
        }
        Deed::Extend(at, span) if !model.all.is_empty() => {
            let at = at % model.all.len();
            let one = &mut model.all[at];
            if one.is_active_at(now) {
                one.extend(now + span, now, &limits()).expect("in range");
                set.put(one.clone());
            }
        }
        Deed::Remove(at) if !model.all.is_empty() => {
            let at = at % model.all.len();
            let one = &mut model.all[at];
            if one.is_active_at(now) {
                one.remove(now);
                set.put(one.clone());
            }
        }
        // A store gives the records back in any order.
        Deed::Restart => {
            let mut records: Vec<Override> = set.iter().cloned().collect();
            records.reverse();
            *set = Set::new(model.ramp);
            records.into_iter().for_each(|one| set.put(one));
        }
        Deed::Prune => {
            for id in set.spent(now) {
                let gone = set.forget(id).expect("it was there");
                assert!(gone.end() + model.ramp <= now, "still felt");
            }
        }
        Deed::Extend(..) | Deed::Remove(_) => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(120) })]

    #[test]
    fn any_sequence_is_seen_as_the_model_sees_it_at_every_moment(deeds in deeds(), ramp in prop::sample::select(RAMPS.as_slice())) {
        let (mut set, mut model, mut next) = (Set::new(ramp), Model { all: Vec::new(), ramp }, 1);
        let mut by_time: BTreeMap<Millis, Vec<Deed>> = BTreeMap::new();
        for (at, deed) in deeds {
            by_time.entry(at).or_default().push(deed);
        }
        let mut before: Option<Vec<String>> = None;
        let mut promised: Option<Millis> = None;
        for now in 0..END + 200 {
            let acted = by_time.remove(&now).into_iter().flatten().map(|deed| {
                act(&mut set, &mut model, &mut next, now, deed);
            }).count() > 0;
            let (here, there) = (seen(&set, now), model.seen(now));
            prop_assert_eq!(&here, &there, "at {}", now);
            // Nothing changes by itself but at the moments that were promised.
            if !acted && before.as_ref().is_some_and(|before| *before != here) {
                prop_assert_eq!(promised, Some(now), "an unannounced change");
            }
            let due = promised.is_some_and(|at| at <= now);
            if acted || due || promised.is_none() {
                promised = set.next_change(now);
                prop_assert!(promised.is_none_or(|at| at > now));
            }
            before = Some(here);
        }
        prop_assert!(set.next_change(END + 200).is_none(), "all is quiet at the end");
        prop_assert_eq!(set.spent(END + 200).len(), set.len());
    }

    #[test]
    fn ends_are_told_once_and_none_is_missed(
        deeds in deeds(),
        stride in 1..90_u64,
        ramp in prop::sample::select(RAMPS.as_slice()),
    ) {
        let (mut set, mut model, mut next) = (Set::new(ramp), Model { all: Vec::new(), ramp }, 1);
        for (at, deed) in deeds {
            if !matches!(deed, Deed::Prune) {
                act(&mut set, &mut model, &mut next, at, deed);
            }
        }
        let mut told = Vec::new();
        let mut from = 0;
        while from < END + 400 {
            told.extend(set.ended_between(from, from + stride));
            from += stride;
        }
        told.sort();
        let all: Vec<Id> = model.all.iter().map(|one| one.id).collect();
        prop_assert_eq!(told, all);
    }

    #[test]
    fn a_judgement_names_the_places_without_a_server(deeds in deeds(), zones in prop::collection::vec(0..2_usize, 3)) {
        let ramp = 40;
        let (mut set, mut model, mut next) = (Set::new(ramp), Model { all: Vec::new(), ramp }, 1);
        for (at, deed) in deeds {
            act(&mut set, &mut model, &mut next, at, deed);
        }
        let listed: Vec<(&str, &str)> = SERVERS.into_iter().zip(zones.iter().map(|zone| NAMES[*zone])).collect();
        let found = assess(listed.iter().copied(), &set, END);
        let empty = |zone: &str| {
            let mut there = listed.iter().filter(|(_, of)| *of == zone).peekable();
            there.peek().is_some() && there.all(|(name, _)| model.server(name, END).out)
        };
        let expected: Vec<String> = NAMES.into_iter().filter(|zone| empty(zone)).map(str::to_owned).collect();
        let mut zones = found.zones.clone();
        zones.sort();
        prop_assert_eq!(zones, expected);
        prop_assert_eq!(found.all_servers, listed.iter().all(|(name, _)| model.server(name, END).out));
    }

    #[test]
    fn moves_keep_to_their_rate(rate in 0.1..200.0_f64, asks in prop::collection::vec(1..400_u64, 1..80)) {
        let mut pace = Pace::new(rate, 0);
        let (mut now, mut moved) = (0, 0);
        for wait in asks {
            now += wait;
            moved += pace.permitted(now, 1_000);
            prop_assert!(moved as f64 <= 1.0 + rate * now as f64 / 1_000.0 + 1e-6, "{} by {}", moved, now);
        }
    }
}
