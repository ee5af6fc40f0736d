//! Versions: their order, what a rollback is, and the digest of what a configuration says.

use beaconflow_affinity::*;
use proptest::prelude::*;

const T0: Millis = 1_800_000_000_000;
const OLD: Version = Version(9);
const NEW: Version = Version(5);
const NEWER: Version = Version(7);

fn tell(from: &Versions, to: &mut Versions, now: Millis) {
    for fact in from.facts() {
        to.merge(fact, now);
    }
}

#[test]
fn the_order_of_change_holds_at_everybody() {
    let (mut one, mut two) = (Versions::default(), Versions::default());
    assert_eq!(one.adopt(OLD, 0, T0), Adopted::Newer);
    assert_eq!(one.adopt(OLD, 0, T0 + 1), Adopted::Same);
    assert_eq!(one.adopt(NEW, 0, T0 + 10), Adopted::Newer);
    // A process that starts late with the old file, and has heard of nobody, does not make it the newest.
    assert_eq!(two.adopt(OLD, 0, T0 + 5_000), Adopted::Newer);
    tell(&two, &mut one, T0 + 5_000);
    tell(&one, &mut two, T0 + 5_000);
    for side in [&one, &two] {
        assert!(side.is_newer(NEW, OLD, T0 + 5_000) && !side.is_newer(OLD, NEW, T0 + 5_000));
    }
    // It skips one.
    assert_eq!(two.adopt(NEWER, 0, T0 + 6_000), Adopted::Newer);
    assert!(two.is_newer(NEWER, NEW, T0 + 6_000));
    // Back to the first: the newest from now on, also for one that then starts with it or comes back to it.
    assert_eq!(two.adopt(OLD, 0, T0 + 7_000), Adopted::Rollback);
    tell(&two, &mut one, T0 + 7_000);
    assert_eq!(one.adopt(OLD, 0, T0 + 8_000), Adopted::Newer);
    assert!(one.is_newer(OLD, NEWER, T0 + 8_000));
}

#[test]
fn a_serial_number_goes_before_the_time() {
    let mut one = Versions::default();
    one.adopt(NEW, 8, T0);
    let late = VersionFact {
        version: OLD,
        reign: 0,
        serial: 7,
        since: T0 + 50,
        runs: T0 + 50,
    };
    one.merge(&late, T0 + 50);
    assert!(one.is_newer(NEW, OLD, T0 + 60));
    // The old content under a higher number is newer without a rollback.
    one.merge(&VersionFact { serial: 9, ..late }, T0 + 50);
    assert_eq!(one.adopt(OLD, 9, T0 + 70), Adopted::Newer);
    assert_eq!(Versions::default().adopt(OLD, 1, T0), Adopted::Newer);
}

#[test]
fn a_start_with_a_new_version_after_rollbacks_is_newer_once_peers_are_heard() {
    let (mut one, mut two) = (Versions::default(), Versions::default());
    one.adopt(OLD, 0, T0);
    one.adopt(NEW, 0, T0 + 1);
    one.adopt(OLD, 0, T0 + 2);
    two.adopt(NEWER, 0, T0 + 100);
    tell(&one, &mut two, T0 + 100);
    tell(&two, &mut one, T0 + 100);
    assert!(one.is_newer(NEWER, OLD, T0 + 100) && two.is_newer(NEWER, OLD, T0 + 100));
    assert_eq!(one.adopt(NEWER, 0, T0 + 200), Adopted::Newer);
    // One that starts with what is no longer the newest says so.
    let mut three = Versions::default();
    tell(&one, &mut three, T0 + 300);
    assert_eq!(three.adopt(OLD, 0, T0 + 300), Adopted::Older);
}

#[test]
fn what_nobody_runs_is_over_and_what_is_dated_ahead_is_not_believed() {
    let mut one = Versions::default();
    one.adopt(OLD, 0, T0);
    one.merge(
        &VersionFact {
            version: NEW,
            reign: 0,
            serial: 0,
            since: T0 + 1,
            runs: T0 + 1,
        },
        T0 + 1,
    );
    one.still_runs(T0 + 300_000);
    assert!(one.is_newer(NEW, OLD, T0 + 300_000));
    assert!(one.is_newer(OLD, NEW, T0 + 300_002));
    let year = 365 * 86_400_000;
    let ahead = VersionFact {
        version: NEWER,
        reign: 0,
        serial: 0,
        since: T0 + year,
        runs: T0,
    };
    assert!(!one.merge(&ahead, T0) && one.get(NEWER).is_none());
    let facts = (0..1_000).map(|at| VersionFact {
        version: Version(1_000 + at),
        since: T0,
        runs: T0,
        ..ahead
    });
    for fact in facts {
        one.merge(&fact, T0);
    }
    assert!(one.facts().count() <= 256 && one.get(OLD).is_some());
}

fn facts() -> impl Strategy<Value = Vec<VersionFact>> {
    let fact = (0..4_u128, 0..3_u32, 0..3_u64, 0..50_u64, 0..50_u64).prop_map(
        |(version, reign, serial, since, runs)| VersionFact {
            version: Version(version),
            reign,
            serial,
            since: T0 + since,
            runs: T0 + runs,
        },
    );
    prop::collection::vec(fact, 0..12)
}

proptest! {
    #[test]
    fn facts_in_any_order_and_doubled_come_to_the_same(facts in facts(), turn in any::<prop::sample::Index>()) {
        let (mut one, mut two) = (Versions::default(), Versions::default());
        for fact in &facts {
            one.merge(fact, T0);
        }
        let mut turned = facts.clone();
        if !turned.is_empty() {
            turned.rotate_left(turn.index(facts.len()));
        }
        for fact in turned.iter().rev().chain(&facts) {
            two.merge(fact, T0);
        }
        prop_assert_eq!(one.facts().collect::<Vec<_>>(), two.facts().collect::<Vec<_>>());
    }

    /// Equal meaning in another order gives the same version; each change of meaning gives another.
    #[test]
    fn a_version_is_what_the_configuration_means(turn in 0..3_usize, weight in 0.1..9.0_f64) {
        let said = routing(weight);
        let mut same = said.clone();
        same.servers.rotate_left(turn);
        same.zones.reverse();
        same.tenants.reverse();
        same.tenants[0].1.reverse();
        same.classes.reverse();
        same.servers[0].was = Some("before".into());
        prop_assert_eq!(said.version(), same.version());
        let changes: [fn(&mut Routing); 11] = [
            |to| to.servers[1].weight += 0.5,
            |to| to.servers[1].zone = "east".into(),
            |to| to.servers[1].name = "z".into(),
            |to| to.servers[1].address = "127.0.0.1:9".into(),
            |to| drop(to.servers.pop()),
            |to| to.zones.push("west".into()),
            |to| drop(to.tenants[0].1.pop()),
            |to| drop(to.tenants.pop()),
            |to| to.classes[0].latency_objective_ms += 1,
            |to| to.classes[0].priority_weight += 1.0,
            // The same words with the bounds between them elsewhere.
|to| (to.servers[0].name, to.servers[0].zone) = ("an".into(), "orth".into()),
        ];
        let mut all = vec![said.version()];
        for change in changes {
            let mut other = said.clone();
            change(&mut other);
            all.push(other.version());
        }
        let count = all.len();
        all.sort();
        all.dedup();
        prop_assert_eq!(all.len(), count);
    }
}

fn routing(weight: f64) -> Routing {
    let server = |(name, zone, port): &(&str, &str, u16)| Server {
        name: (*name).into(),
        zone: (*zone).into(),
        weight,
        address: format!("127.0.0.1:{port}"),
        was: None,
    };
    let class = |name: &str| Class {
        name: name.into(),
        latency_objective_ms: 800,
        deadline_ms: 4_800,
        priority_weight: 1.0,
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
fn servers_are_renamed_by_their_own_word_or_their_address() {
    let before = routing(1.0);
    let mut after = before.clone();
    after.servers[0].name = "x".into();
    after.servers[1] = Server {
        name: "y".into(),
        address: "127.0.0.1:22".into(),
        ..after.servers[1].clone()
    };
    let pairs = |after: &Routing| renames(&before, after).into_iter().collect::<Vec<_>>();
    assert_eq!(pairs(&after), [("a".into(), "x".into())], "by its address");
    after.servers[1].was = Some("b".into());
    assert_eq!(
        pairs(&after),
        [("a".into(), "x".into()), ("b".into(), "y".into())]
    );
    // Two at one address: nobody knows which. One that is still there was not renamed.
    after.servers.push(Server {
        name: "x2".into(),
        address: "127.0.0.1:1".into(),
        ..Server::default()
    });
    after.servers[1].was = Some("c".into());
    assert_eq!(pairs(&after), []);
    after.servers[0].weight = f64::NAN;
    after.servers[3].was = Some("c".into());
    after.classes[0].name = "fleet".into();
    let said: Vec<String> = after.faults().iter().map(ToString::to_string).collect();
    assert_eq!(said.len(), 6, "{said:?}");
    assert!(before.faults().is_empty());
}

#[test]
fn what_a_version_changes_is_said_in_words() {
    let before = routing(1.0);
    assert_eq!(
        Changes::between(&before, &before).to_string(),
        "nothing of routing changed"
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
    after.classes[0].latency_objective_ms = 5;
    let said = "servers added: d; servers removed: c; servers renamed: a now x; weights changed: b; \
                servers in another zone: b; zones gone: south; tenants with other servers: others; \
                classes changed: telemetry";
    assert_eq!(Changes::between(&before, &after).to_string(), said);
}
