//! Checks the order of versions, rollbacks, and the digest of a configuration.

use beaconflow_affinity::*;
use proptest::prelude::*;

const T0: Millis = 1_800_000_000_000;
const OLD: Version = Version(9);
const NEW: Version = Version(5);
const NEWER: Version = Version(7);

fn send_facts(from: &Versions, to: &mut Versions, now: Millis) {
    for fact in from.facts() {
        to.merge(fact, now);
    }
}

#[test]
fn orders_versions_alike_at_every_process() {
    let (mut first, mut second) = (Versions::default(), Versions::default());
    assert_eq!(first.adopt(OLD, 0, T0), AdoptOutcome::Newer);
    assert_eq!(first.adopt(OLD, 0, T0 + 1), AdoptOutcome::Same);
    assert_eq!(first.adopt(NEW, 0, T0 + 10), AdoptOutcome::Newer);
    // A process that starts late with the old file, without facts from peers, does not make it the
    // newest version.
    assert_eq!(second.adopt(OLD, 0, T0 + 5_000), AdoptOutcome::Newer);
    send_facts(&second, &mut first, T0 + 5_000);
    send_facts(&first, &mut second, T0 + 5_000);
    for side in [&first, &second] {
        assert!(side.is_newer(NEW, OLD, T0 + 5_000) && !side.is_newer(OLD, NEW, T0 + 5_000));
    }
    // The second process skips a version.
    assert_eq!(second.adopt(NEWER, 0, T0 + 6_000), AdoptOutcome::Newer);
    assert!(second.is_newer(NEWER, NEW, T0 + 6_000));
    // A rollback to the first version makes it the newest, also for a process that switches back to
    // it later.
    assert_eq!(second.adopt(OLD, 0, T0 + 7_000), AdoptOutcome::Rollback);
    send_facts(&second, &mut first, T0 + 7_000);
    assert_eq!(first.adopt(OLD, 0, T0 + 8_000), AdoptOutcome::Newer);
    assert!(first.is_newer(OLD, NEWER, T0 + 8_000));
}

#[test]
fn serial_number_takes_precedence_over_time() {
    let mut first = Versions::default();
    first.adopt(NEW, 8, T0);
    let later_fact = VersionFact {
        version: OLD,
        term: 0,
        serial: 7,
        adopted_at: T0 + 50,
        last_run_at: T0 + 50,
    };
    first.merge(&later_fact, T0 + 50);
    assert!(first.is_newer(NEW, OLD, T0 + 60));
    // The old content under a higher serial number is newer without a rollback.
    first.merge(
        &VersionFact {
            serial: 9,
            ..later_fact
        },
        T0 + 50,
    );
    assert_eq!(first.adopt(OLD, 9, T0 + 70), AdoptOutcome::Newer);
    assert_eq!(Versions::default().adopt(OLD, 1, T0), AdoptOutcome::Newer);
}

#[test]
fn new_version_is_newer_after_unseen_rollbacks() {
    let (mut first, mut second) = (Versions::default(), Versions::default());
    first.adopt(OLD, 0, T0);
    first.adopt(NEW, 0, T0 + 1);
    first.adopt(OLD, 0, T0 + 2);
    second.adopt(NEWER, 0, T0 + 100);
    send_facts(&first, &mut second, T0 + 100);
    send_facts(&second, &mut first, T0 + 100);
    assert!(first.is_newer(NEWER, OLD, T0 + 100) && second.is_newer(NEWER, OLD, T0 + 100));
    assert_eq!(first.adopt(NEWER, 0, T0 + 200), AdoptOutcome::Newer);
    // A start with a version that is no longer the newest is reported as such.
    let mut third = Versions::default();
    send_facts(&first, &mut third, T0 + 300);
    assert_eq!(third.adopt(OLD, 0, T0 + 300), AdoptOutcome::Older);
}

#[test]
fn ignores_idle_versions_and_future_dates() {
    let mut first = Versions::default();
    first.adopt(OLD, 0, T0);
    first.merge(
        &VersionFact {
            version: NEW,
            term: 0,
            serial: 0,
            adopted_at: T0 + 1,
            last_run_at: T0 + 1,
        },
        T0 + 1,
    );
    first.refresh_current_version(T0 + 300_000);
    assert!(first.is_newer(NEW, OLD, T0 + 300_000));
    assert!(first.is_newer(OLD, NEW, T0 + 300_002));
    let year_ms = 365 * 86_400_000;
    let dated_ahead = VersionFact {
        version: NEWER,
        term: 0,
        serial: 0,
        adopted_at: T0 + year_ms,
        last_run_at: T0,
    };
    assert!(!first.merge(&dated_ahead, T0) && first.get(NEWER).is_none());
    let facts = (0..1_000).map(|at| VersionFact {
        version: Version(1_000 + at),
        adopted_at: T0,
        last_run_at: T0,
        ..dated_ahead
    });
    for fact in facts {
        first.merge(&fact, T0);
    }
    assert!(first.facts().count() <= 256 && first.get(OLD).is_some());
}

fn facts() -> impl Strategy<Value = Vec<VersionFact>> {
    let fact = (0..4_u128, 0..3_u32, 0..3_u64, 0..50_u64, 0..50_u64).prop_map(
        |(version, term, serial, adopted_at, last_run_at)| VersionFact {
            version: Version(version),
            term,
            serial,
            adopted_at: T0 + adopted_at,
            last_run_at: T0 + last_run_at,
        },
    );
    prop::collection::vec(fact, 0..12)
}

proptest! {
    #[test]
    fn merging_facts_converges_in_any_order(facts in facts(), rotation in any::<prop::sample::Index>()) {
        let (mut first, mut second) = (Versions::default(), Versions::default());
        for fact in &facts {
            first.merge(fact, T0);
        }
        let mut rotated = facts.clone();
        if !rotated.is_empty() {
            rotated.rotate_left(rotation.index(facts.len()));
        }
        for fact in rotated.iter().rev().chain(&facts) {
            second.merge(fact, T0);
        }
        prop_assert_eq!(first.facts().collect::<Vec<_>>(), second.facts().collect::<Vec<_>>());
    }

    /// Equal meaning in another order gives the same version; each change of meaning gives another.
    #[test]
    fn version_depends_only_on_configuration_meaning(rotation in 0..3_usize, weight in 0.1..9.0_f64) {
        let original = routing(weight);
        let mut reordered = original.clone();
        reordered.servers.rotate_left(rotation);
        reordered.zones.reverse();
        reordered.tenants.reverse();
        reordered.tenants[0].1.reverse();
        reordered.classes.reverse();
        reordered.servers[0].previous_name = Some("before".into());
        prop_assert_eq!(original.version(), reordered.version());
        let changes: [fn(&mut Routing); 11] = [
            |routing| routing.servers[1].weight += 0.5,
            |routing| routing.servers[1].zone = "east".into(),
            |routing| routing.servers[1].name = "z".into(),
            |routing| routing.servers[1].address = "127.0.0.1:9".into(),
            |routing| drop(routing.servers.pop()),
            |routing| routing.zones.push("west".into()),
            |routing| drop(routing.tenants[0].1.pop()),
            |routing| drop(routing.tenants.pop()),
            |routing| routing.classes[0].deadline_ms += 1,
            |routing| routing.classes[0].name.push('x'),
            // The same text, split differently between name and zone.
            |routing| (routing.servers[0].name, routing.servers[0].zone) = ("an".into(), "orth".into()),
        ];
        let mut versions = vec![original.version()];
        for change in changes {
            let mut other = original.clone();
            change(&mut other);
            versions.push(other.version());
        }
        let count = versions.len();
        versions.sort();
        versions.dedup();
        prop_assert_eq!(versions.len(), count);
    }
}

fn routing(weight: f64) -> Routing {
    let server = |(name, zone, port): &(&str, &str, u16)| Server {
        name: (*name).into(),
        zone: (*zone).into(),
        weight,
        address: format!("127.0.0.1:{port}"),
        previous_name: None,
    };
    let class = |name: &str| Class {
        name: name.into(),
        deadline_ms: 4_800,
    };
    Routing {
        zones: vec!["north".into(), "south".into()],
        servers: [("a", "north", 1), ("b", "south", 2), ("c", "south", 3)]
            .iter()
            .map(server)
            .collect(),
        tenants: vec![
            ("acme".into(), vec!["a".into(), "b".into()]),
            ("others".into(), vec!["c".into()]),
        ],
        classes: vec![class("telemetry"), class("fleet")],
    }
}

#[test]
fn detects_renames_by_declaration_or_address() {
    let before = routing(1.0);
    let mut after = before.clone();
    after.servers[0].name = "x".into();
    after.servers[1] = Server {
        name: "y".into(),
        address: "127.0.0.1:22".into(),
        ..after.servers[1].clone()
    };
    let renamed_pairs = |after: &Routing| renames(&before, after).into_iter().collect::<Vec<_>>();
    assert_eq!(
        renamed_pairs(&after),
        [("a".into(), "x".into())],
        "expected the rename to be detected by address"
    );
    after.servers[1].previous_name = Some("b".into());
    assert_eq!(
        renamed_pairs(&after),
        [("a".into(), "x".into()), ("b".into(), "y".into())]
    );
    // Two servers at one address leave the rename undecided. A server that is still listed was not
    // renamed.
    after.servers.push(Server {
        name: "x2".into(),
        address: "127.0.0.1:1".into(),
        ..Server::default()
    });
    after.servers[1].previous_name = Some("c".into());
    assert_eq!(renamed_pairs(&after), []);
    after.servers[0].weight = f64::NAN;
    after.servers[3].previous_name = Some("c".into());
    after.classes[0].name = "fleet".into();
    let messages: Vec<String> = after.errors().iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), 6, "expected six errors: {messages:?}");
    assert!(before.errors().is_empty());
}

#[test]
fn describes_changes_between_versions() {
    let before = routing(1.0);
    assert_eq!(
        Changes::between(&before, &before).to_string(),
        "routing is unchanged"
    );
    let mut after = before.clone();
    after.zones.pop();
    after.servers[0].name = "x".into();
    after.tenants[0].1[0] = "x".into();
    after.servers[1].weight = 2.0;
    after.servers[1].zone = "north".into();
    after.servers[2] = Server {
        name: "d".into(),
        ..Server::default()
    };
    after.tenants[1].1[0] = "d".into();
    after.classes[0].deadline_ms = 5;
    let expected = "servers added: d; servers removed: c; servers renamed: a to x; weights changed: b; \
                servers moved to another zone: b; zones removed: south; tenants with changed servers: others; \
                classes changed: telemetry";
    assert_eq!(Changes::between(&before, &after).to_string(), expected);
}
