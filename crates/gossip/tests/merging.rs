//! Merging over any order, doubling, loss and partition.

mod common;

use beaconflow_gossip::*;
use common::*;
use proptest::prelude::*;

/// What a process observes, and after what span.
#[derive(Clone, Debug)]
struct Deed {
    who: usize,
    what: u8,
    key: u64,
    number: u64,
    after: Millis,
}

fn deeds(most: usize) -> impl Strategy<Value = Vec<Deed>> {
    // Often in the same millisecond, so that nothing but the origin and the value tells two facts apart.
    let after = prop::sample::select([0, 0, 0, 1, 250].as_slice());
    let deed = (0..7_usize, 0..9_u8, 0..3_u64, 0..5_u64, after).prop_map(
        |(who, what, key, number, after)| Deed {
            who,
            what,
            key,
            number,
            after,
        },
    );
    prop::collection::vec(deed, 1..most)
}

/// Nothing ends within a story: what ends is another test's matter.
const LONG: Millis = 600_000;

fn act(one: &mut FactStore, deed: &Deed, now: Millis) {
    let Deed {
        what, key, number, ..
    } = deed;
    let server = format!("s{key}");
    let lifecycle = if number % 2 == 0 {
        Lifecycle::Serving
    } else {
        Lifecycle::Draining
    };
    let (subject, value) = match what {
        0 => (
            Subject::Listed(server),
            entry(1 + number / 3, *number, lifecycle),
        ),
        1 => {
            let held = ListVersion {
                position: Position {
                    incarnation: 1,
                    generation: *number,
                },
                digest: *key,
            };
            (Subject::List, Value::List(held))
        }
        2 => {
            return drop(one.saw(
                &server,
                Evidence {
                    seen: Seen::Hung,
                    weight: 1.0,
                },
                LONG,
                now,
            ));
        }
        3 => return drop(one.record_slow_start_send(&server, 1.0, LONG, now)),
        4 => return drop(one.failed(*key, LONG, now)),
        5 => return drop(one.succeeded(*key, LONG, now)),
        6 => (client(*key), stands(&format!("s{number}"))),
        7 => {
            let made = Override::Made {
                expires_at: now + LONG,
                bytes: vec![*number as u8; 40],
            };
            let over = if *number == 0 {
                Override::Removed
            } else {
                made
            };
            (Subject::Override(vec![*key as u8]), Value::Override(over))
        }
        _ => (
            Subject::Configuration,
            Value::Configuration(Configuration {
                digest: *key,
                number: *number,
            }),
        ),
    };
    one.observe(&subject, &value, LONG, now)
        .expect("it is later than what it knows, or passed over");
}

fn records(deeds: &[Deed]) -> (Vec<Vec<u8>>, Millis) {
    let mut all: Vec<FactStore> = (0..7)
        .map(|at| process(&format!("p{at}"), at % 3))
        .collect();
    let (mut now, mut records) = (START, Vec::new());
    for deed in deeds {
        now += deed.after;
        act(&mut all[deed.who], deed, now);
        records.extend(all[deed.who].export(&Kind::ALL, now));
    }
    (records, now)
}

/// All that is known, with ages.
fn state(one: &FactStore, now: Millis) -> Vec<Vec<u8>> {
    let mut all = one.export(&Kind::ALL, now);
    all.sort();
    all
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(120) })]

    /// The same facts in another order, doubled, and in groups that were merged before, come to the same.
    #[test]
    fn order_doubling_and_grouping_change_nothing(
        deeds in deeds(30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 200),
        cut in any::<prop::sample::Index>(),
    ) {
        let (records, now) = records(&deeds);
        let merged = |records: &[Vec<u8>]| {
            let mut one = process("reader", 1);
            one.import(records.iter().map(Vec::as_slice), 0, now);
            one
        };
        let plain = state(&merged(&records), now);
        let mut mixed = records.clone();
        for index in &order {
            let (a, b) = (index.index(mixed.len()), mixed.len() - 1);
            mixed.swap(a, b);
            mixed.push(records[index.index(records.len())].clone());
        }
        prop_assert_eq!(&state(&merged(&mixed), now), &plain);
        let (left, right) = records.split_at(cut.index(records.len()));
        let mut grouped = merged(right);
        grouped.import(state(&merged(left), now).iter().map(Vec::as_slice), 0, now);
        prop_assert_eq!(&state(&grouped, now), &plain);
        grouped.import(plain.iter().map(Vec::as_slice), 0, now);
        prop_assert_eq!(&state(&grouped, now), &plain);
    }

    /// Over links that lose much, with a partition that heals, all come to know the same.
    #[test]
    fn a_fleet_comes_to_know_the_same(
        count in 3..8_usize,
        loss in 0.05..0.6,
        cut in 1..3_usize,
        deeds in deeds(60),
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, loss, seed);
        for (at, deed) in deeds.iter().enumerate() {
            net.cut = if at > deeds.len() / 3 { cut } else { 0 };
            let (who, now) = (deed.who % count, net.now);
            act(&mut net.all[who], deed, now);
            net.round();
        }
        net.cut = 0;
        prop_assert!(net.until_all_agree(200).is_some(), "{:#?}", net.all.iter().map(|one| all_of(one, net.now)).collect::<Vec<_>>());
    }
}

#[test]
fn a_cut_fleet_does_not_agree_until_it_heals() {
    let mut net = Net::new(5, 0.05, 1);
    net.cut = 2;
    let now = net.now;
    net.all[0]
        .observe(&client(1), &stands("s1"), LONG, now)
        .expect("taken");
    assert_eq!(net.until_all_agree(100), None);
    net.cut = 0;
    assert!(net.until_all_agree(20).is_some());
}

#[test]
fn later_words_stand_whoever_hears_them_first() {
    let (mut a, mut b, mut c) = (process("a", 1), process("b", 1), process("c", 1));
    a.observe(&client(1), &stands("s1"), LONG, START)
        .expect("taken");
    tell(&mut a, &mut b, START);
    // Its clock is behind, but it knows what it goes beyond.
    let later = b
        .observe(&client(1), &stands("s2"), LONG, START - 5_000)
        .expect("taken");
    assert_eq!(later.version, START + 1);
    tell(&mut b, &mut c, START);
    tell(&mut a, &mut c, START);
    assert_eq!(
        c.placement(Holder::Client(1), START).map(|at| at.server),
        Some("s2")
    );
    let changes = tell(&mut b, &mut a, START);
    let server = |fact: Option<Fact>| match fact.map(|fact| fact.value) {
        Some(Value::Placement(Some(at))) => at.server,
        other => panic!("no placement: {other:?}"),
    };
    let told: Vec<_> = changes
        .iter()
        .map(|one| (server(one.before()), server(one.after())))
        .collect();
    assert_eq!(told, [("s1".to_owned(), "s2".to_owned())]);
    assert_eq!(catch_up(&mut b, &mut a, START), 0, "they know the same");
}

#[test]
fn what_was_heard_is_told_on_until_enough_know() {
    let mut all: Vec<FactStore> = (0..4).map(|at| process(&format!("p{at}"), 1)).collect();
    all.iter_mut().for_each(|one| one.members(4));
    all[0]
        .observe(&client(1), &stands("s1"), LONG, START)
        .expect("taken");
    for at in 0..3 {
        let (from, to) = all.split_at_mut(at + 1);
        assert_eq!(tell(&mut from[at], &mut to[0], START).len(), 1);
    }
    // 3 log2(4) + 2 tellings in all; a rumour that comes back counts as one.
    let back = all[3].gossip_payload(ROOM, START);
    (0..3).for_each(|_| assert_eq!(all[2].take(&back, START), Ok(vec![])));
    let left = (0..20)
        .take_while(|_| !all[2].gossip_payload(ROOM, START).is_empty())
        .count();
    assert_eq!(left, 8 - 1 - 3);
}

#[test]
fn two_processes_of_one_name_and_boot_still_come_to_one_word() {
    let [mut a, mut b] = ["s1", "s2"].map(|server| {
        let mut one = process("doubled", 1);
        one.observe(&client(1), &stands(server), LONG, START)
            .expect("taken");
        one
    });
    let (from_a, from_b) = (a.gossip_payload(ROOM, START), b.gossip_payload(ROOM, START));
    a.take(&from_b, START).expect("sound");
    b.take(&from_a, START).expect("sound");
    assert_eq!(all_of(&a, START), all_of(&b, START));
}
