//! Property tests of the set against a model that scans all overrides at every millisecond.

use std::collections::BTreeMap;

use beaconflow_overrides::*;
use beaconflow_settings::digest;
use proptest::prelude::*;

/// Ramps in milliseconds, short enough for the model to scan them; 0 is a valid ramp.
const RAMPS: [Millis; 4] = [0, 1, 7, 40];
const END: Millis = 400;
const SERVERS: [&str; 3] = ["a", "b", "c"];
const NAMES: [&str; 3] = ["north", "south", "west"];

/// All overrides that were ever added, in their present state.
#[derive(Clone)]
struct Model {
    all: Vec<Override>,
    ramp: Millis,
}

impl Model {
    fn latest(&self, at: Millis, matches: impl Fn(&Override) -> bool) -> Option<&Override> {
        self.all
            .iter()
            .filter(|record| record.is_active_at(at) && matches(record))
            .max_by_key(|record| record.id)
    }

    fn effective_override(&self, server: &str, at: Millis) -> Option<&Override> {
        let out = |record: &Override| matches!(&record.kind, OverrideKind::Out { server: name, .. } if name == server);
        let weight = |record: &Override| matches!(&record.kind, OverrideKind::Weight { server: name, .. } if name == server);
        self.latest(at, out).or_else(|| self.latest(at, weight))
    }

    fn target(&self, server: &str, at: Millis) -> f64 {
        match self
            .effective_override(server, at)
            .map(|record| &record.kind)
        {
            Some(OverrideKind::Out { .. }) => 0.0,
            Some(OverrideKind::Weight { factor, .. }) => *factor,
            _ => 1.0,
        }
    }

    fn server(&self, server: &str, now: Millis) -> ServerAdjustment {
        let target_factor = self.target(server, now);
        if target_factor == 0.0 {
            return ServerAdjustment {
                is_out: true,
                factor: 0.0,
                target_factor: 0.0,
            };
        }
        let mut factor = target_factor;
        for at in (now + 1).saturating_sub(self.ramp).max(1)..=now {
            let previous = self.target(server, at - 1);
            if previous < target_factor {
                let steps = ((now - at) * 20 / self.ramp) as f64;
                factor = factor.min(previous + (target_factor - previous) * (steps / 20.0));
            }
        }
        ServerAdjustment {
            is_out: false,
            factor: factor.max(target_factor * 0.1),
            target_factor,
        }
    }

    fn pin(
        &self,
        group: &str,
        tenant: &str,
        now: Millis,
    ) -> Option<(OverrideId, String, Strictness)> {
        let latest_of = |wanted: Subject| {
            self.latest(
                now,
                |record| matches!(&record.kind, OverrideKind::Pin { subject, .. } if *subject == wanted),
            )
        };
        let record = latest_of(Subject::Group(group.into()))
            .or_else(|| latest_of(Subject::Tenant(tenant.into())))?;
        match &record.kind {
            OverrideKind::Pin {
                server, strictness, ..
            } => Some((record.id, server.clone(), *strictness)),
            _ => None,
        }
    }

    /// The effects on all servers and pins at a time, as texts.
    fn observations(&self, now: Millis) -> Vec<String> {
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

fn kind() -> impl Strategy<Value = OverrideKind> {
    let server = || prop::sample::select(SERVERS.as_slice()).prop_map(str::to_owned);
    let name = || prop::sample::select(NAMES.as_slice()).prop_map(str::to_owned);
    let strictness = prop_oneof![Just(Strictness::Prefer), Just(Strictness::Strict)];
    prop_oneof![
        server().prop_map(|server| OverrideKind::Out {
            server,
            moves_per_s: None
        }),
        (server(), prop::sample::select(vec![0.25, 0.5, 2.0, 4.0]))
            .prop_map(|(server, factor)| OverrideKind::Weight { server, factor }),
        (name(), any::<bool>(), server(), strictness).prop_map(
            |(name, group, server, strictness)| {
                let subject = if group {
                    Subject::Group(name)
                } else {
                    Subject::Tenant(name)
                };
                OverrideKind::Pin {
                    subject,
                    server,
                    strictness,
                }
            }
        ),
    ]
}

/// A change of the overrides.
#[derive(Clone, Debug)]
enum Operation {
    Add(OverrideKind, Millis),
    /// Extends the override with this index, modulo their number, to this span from now.
    Extend(usize, Millis),
    Remove(usize),
    /// Rebuilds the set from its records, as after a restart of the program.
    Restart,
    /// Discards the overrides without an effect.
    Prune,
}

fn operations() -> impl Strategy<Value = Vec<(Millis, Operation)>> {
    let operation = prop_oneof![
        4 => (kind(), 1..150_u64).prop_map(|(kind, span)| Operation::Add(kind, span)),
        1 => (any::<usize>(), 1..150_u64).prop_map(|(at, span)| Operation::Extend(at, span)),
        1 => any::<usize>().prop_map(Operation::Remove),
        1 => Just(Operation::Restart),
        1 => Just(Operation::Prune),
    ];
    prop::collection::vec((1..END, operation), 0..16).prop_map(|mut operations| {
        operations.sort_by_key(|(at, _)| *at);
        operations
    })
}

fn limits() -> Limits {
    Limits {
        max_duration_ms: 1_000,
        max_count: 100,
        ramp_ms: 0,
    }
}

/// The same observations of the set as those of the model.
fn observations(set: &OverrideSet, now: Millis) -> Vec<String> {
    let servers = SERVERS
        .iter()
        .map(|server| format!("{:?}", set.server_adjustment(server, now)));
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

fn apply(
    set: &mut OverrideSet,
    model: &mut Model,
    next: &mut u64,
    now: Millis,
    operation: Operation,
) {
    match operation {
        Operation::Add(kind, span) => {
            let draft = Draft {
                kind,
                who: "w".into(),
                why: "y".into(),
                expires_at: now + span,
            };
            draft.check(now, &limits()).expect("the draft is valid");
            let record = draft.into_override(OverrideId(*next), now);
            *next += 1;
            model.all.push(record.clone());
            set.insert(record);
        }
        Operation::Extend(at, span) if !model.all.is_empty() => {
            let at = at % model.all.len();
            let record = &mut model.all[at];
            if record.is_active_at(now) {
                record
                    .extend(now + span, now, &limits())
                    .expect("the expiry is valid");
                set.insert(record.clone());
            }
        }
        Operation::Remove(at) if !model.all.is_empty() => {
            let at = at % model.all.len();
            let record = &mut model.all[at];
            if record.is_active_at(now) {
                record.remove(now);
                set.insert(record.clone());
            }
        }
        // A store returns the records in any order.
        Operation::Restart => {
            let mut records: Vec<Override> = set.iter().cloned().collect();
            records.reverse();
            *set = OverrideSet::new(model.ramp);
            records.into_iter().for_each(|record| set.insert(record));
        }
        Operation::Prune => {
            for id in set.expired_effects(now) {
                let discarded = set.discard(id).expect("the override is in the set");
                assert!(
                    discarded.ends_at() + model.ramp <= now,
                    "the override still has an effect"
                );
            }
        }
        Operation::Extend(..) | Operation::Remove(_) => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(120) })]

    #[test]
    fn matches_model_for_any_sequence(operations in operations(), ramp in prop::sample::select(RAMPS.as_slice())) {
        let (mut set, mut model, mut next) = (OverrideSet::new(ramp), Model { all: Vec::new(), ramp }, 1);
        let mut by_time: BTreeMap<Millis, Vec<Operation>> = BTreeMap::new();
        for (at, operation) in operations {
            by_time.entry(at).or_default().push(operation);
        }
        let mut previous: Option<Vec<String>> = None;
        let mut announced: Option<Millis> = None;
        for now in 0..END + 200 {
            let has_acted = by_time.remove(&now).into_iter().flatten().map(|operation| {
                apply(&mut set, &mut model, &mut next, now, operation);
            }).count() > 0;
            let (actual, expected) = (observations(&set, now), model.observations(now));
            prop_assert_eq!(&actual, &expected, "at {}", now);
            // Without an operation, effects change only at the announced times.
            if !has_acted && previous.as_ref().is_some_and(|previous| *previous != actual) {
                prop_assert_eq!(announced, Some(now), "an effect changed at a time that was not announced");
            }
            let is_due = announced.is_some_and(|at| at <= now);
            if has_acted || is_due || announced.is_none() {
                announced = set.next_change(now);
                prop_assert!(announced.is_none_or(|at| at > now));
            }
            previous = Some(actual);
        }
        prop_assert!(set.next_change(END + 200).is_none(), "no change is announced after the end");
        prop_assert_eq!(set.expired_effects(END + 200).len(), set.len());
    }

    #[test]
    fn reports_each_end_exactly_once(
        operations in operations(),
        stride in 1..90_u64,
        ramp in prop::sample::select(RAMPS.as_slice()),
    ) {
        let (mut set, mut model, mut next) = (OverrideSet::new(ramp), Model { all: Vec::new(), ramp }, 1);
        for (at, operation) in operations {
            if !matches!(operation, Operation::Prune) {
                apply(&mut set, &mut model, &mut next, at, operation);
            }
        }
        let mut ended = Vec::new();
        let mut from = 0;
        while from < END + 400 {
            ended.extend(set.ended_between(from, from + stride));
            from += stride;
        }
        ended.sort();
        let all: Vec<OverrideId> = model.all.iter().map(|record| record.id).collect();
        prop_assert_eq!(ended, all);
    }

    #[test]
    fn finds_zones_without_ready_server(operations in operations(), zones in prop::collection::vec(0..2_usize, 3)) {
        let ramp = 40;
        let (mut set, mut model, mut next) = (OverrideSet::new(ramp), Model { all: Vec::new(), ramp }, 1);
        for (at, operation) in operations {
            apply(&mut set, &mut model, &mut next, at, operation);
        }
        let listed: Vec<(&str, &str)> = SERVERS.into_iter().zip(zones.iter().map(|zone| NAMES[*zone])).collect();
        let found = find_coverage_gaps(listed.iter().copied(), &set, END);
        let empty = |zone: &str| {
            let mut in_zone = listed.iter().filter(|(_, of)| *of == zone).peekable();
            in_zone.peek().is_some() && in_zone.all(|(name, _)| model.server(name, END).is_out)
        };
        let expected: Vec<String> = NAMES.into_iter().filter(|zone| empty(zone)).map(str::to_owned).collect();
        let mut zones = found.zones.clone();
        zones.sort();
        prop_assert_eq!(zones, expected);
        prop_assert_eq!(found.all_servers, listed.iter().all(|(name, _)| model.server(name, END).is_out));
    }

    #[test]
    fn limits_migrations_to_rate(rate in 0.1..200.0_f64, waits in prop::collection::vec(1..400_u64, 1..80)) {
        let mut pacer = MigrationPacer::new(rate, 0);
        let (mut now, mut migrated) = (0, 0);
        for wait in waits {
            now += wait;
            migrated += pacer.take_permits(now, 1_000);
            prop_assert!(migrated as f64 <= 1.0 + rate * now as f64 / 1_000.0 + 1e-6, "{} migrations within {} ms", migrated, now);
        }
    }
}
