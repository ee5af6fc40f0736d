//! What gives way at the bounds.

mod common;

use beaconflow_gossip::*;
use common::*;

const LONG: Millis = 3_600_000;
const BYTES: usize = 100_000;

fn small(kind: Kind) -> FactStore {
    let mut bounds = Bounds::default();
    bounds.of_mut(kind).bytes = BYTES;
    FactStore::new(
        Origin {
            name: "a".into(),
            incarnation: 1,
        },
        bounds,
    )
}

fn has(one: &FactStore, key: u64, now: Millis) -> bool {
    one.placement(Holder::Client(key), now).is_some()
}

#[test]
fn the_oldest_give_way_and_the_bound_holds() {
    let mut one = small(Kind::Placement);
    for key in 0..5_000 {
        one.observe(&client(key), &stands("s1"), LONG, START + key * 1_100)
            .expect("the newest has room");
        assert!(one.size(Kind::Placement).0 <= BYTES);
    }
    let (now, (_, count)) = (START + 5_000 * 1_100, one.size(Kind::Placement));
    assert!(count > 200);
    let kept: Vec<u64> = (0..5_000).filter(|key| has(&one, *key, now)).collect();
    assert_eq!(
        kept,
        (5_000 - count as u64..5_000).collect::<Vec<_>>(),
        "the newest are kept"
    );
}

#[test]
fn what_is_over_gives_way_before_what_is_older() {
    let mut one = small(Kind::Placement);
    one.observe(&client(0), &stands("s1"), LONG, START)
        .expect("taken");
    let mut key = 0;
    // Good for a short while, and younger than the first.
    while one.size(Kind::Placement).0 + 400 < BYTES {
        key += 1;
        one.observe(&client(key), &stands("s1"), 5_000, START + 2_000)
            .expect("taken");
    }
    let later = START + 60_000;
    (1_000..1_100).for_each(|key| {
        drop(
            one.observe(&client(key), &stands("s1"), LONG, later)
                .expect("taken"),
        )
    });
    assert!(has(&one, 0, later) && (1_000..1_100).all(|key| has(&one, key, later)));
    assert_eq!(one.size(Kind::Placement).1, 101);
}

#[test]
fn what_is_older_than_all_that_is_kept_finds_no_room() {
    let (mut one, mut other) = (small(Kind::Placement), process("b", 1));
    other
        .observe(&client(9_999), &stands("s1"), LONG, START)
        .expect("taken");
    (0..2_000).for_each(|key| drop(one.observe(&client(key), &stands("s1"), LONG, START + 9_000)));
    let before = one.size(Kind::Placement);
    assert_eq!(tell(&mut other, &mut one, START + 10_000), []);
    assert_eq!(
        one.size(Kind::Placement),
        before,
        "no younger one had to go"
    );
}

#[test]
fn a_longer_value_makes_room_for_itself() {
    let mut one = small(Kind::Override);
    let made = |len| {
        Value::Override(Override::Made {
            expires_at: START + LONG,
            bytes: vec![1; len],
        })
    };
    for id in 0..200_u8 {
        one.observe(
            &Subject::Override(vec![id]),
            &made(300),
            LONG,
            START + u64::from(id) * 1_100,
        )
        .expect("taken");
    }
    for id in 150..200_u8 {
        one.observe(
            &Subject::Override(vec![id]),
            &made(4_000),
            LONG,
            START + 500_000,
        )
        .expect("taken");
        assert!(one.size(Kind::Override).0 <= BYTES);
    }
    let too_long = one.observe(&Subject::Override(vec![1]), &made(9_000), LONG, START);
    assert_eq!(too_long, Err(Refused::TooLong));
}

#[test]
fn overrides_never_give_way_to_placements() {
    let mut one = small(Kind::Placement);
    let removed = Value::Override(Override::Removed);
    (0..50_u8)
        .for_each(|id| drop(one.observe(&Subject::Override(vec![id]), &removed, LONG, START)));
    (0..20_000).for_each(|key| drop(one.observe(&client(key), &stands("s1"), LONG, START + key)));
    assert_eq!(one.iter(Kind::Override, START + 20_000).count(), 50);
}

#[test]
fn a_removal_is_kept_as_long_as_what_it_removes() {
    let (mut one, mut other) = (process("a", 1), process("b", 1));
    let subject = Subject::Override(vec![1]);
    let made = Value::Override(Override::Made {
        expires_at: START + LONG,
        bytes: vec![1],
    });
    one.observe(&subject, &made, LONG, START).expect("taken");
    tell(&mut one, &mut other, START);
    // The removal itself is said to be good for a second only.
    one.observe(
        &subject,
        &Value::Override(Override::Removed),
        1_000,
        START + 1,
    )
    .expect("taken");
    let later = START + LONG / 2;
    one.expire(later);
    assert_eq!(one.get(&subject, "", later), None);
    catch_up(&mut other, &mut one, later);
    assert_eq!(
        one.get(&subject, "", later),
        None,
        "what was removed does not come back"
    );
    catch_up(&mut one, &mut other, later);
    assert_eq!(other.get(&subject, "", later), None);
    for knowledge in [&mut one, &mut other] {
        knowledge.expire(START + LONG + 5_000);
        assert_eq!(knowledge.size(Kind::Override), (0, 0));
    }
}

#[test]
fn rumours_are_bounded_and_the_most_told_rest_first() {
    let bounds = Bounds {
        gossiped_facts: 10,
        ..Bounds::default()
    };
    let mut one = FactStore::new(
        Origin {
            name: "a".into(),
            incarnation: 1,
        },
        bounds,
    );
    (0..10).for_each(|key| drop(one.observe(&client(key), &stands("s1"), LONG, START)));
    assert!(!one.gossip_payload(400, START).is_empty());
    one.observe(&client(10), &stands("s1"), LONG, START)
        .expect("taken");
    let mut told = std::collections::BTreeSet::new();
    let mut peer = process("b", 1);
    for _ in 0..100 {
        let packet = one.gossip_payload(400, START);
        assert!(packet.len() <= 400);
        told.extend(
            peer.take(&packet, START)
                .expect("sound")
                .iter()
                .filter_map(Change::subject),
        );
    }
    assert!(
        told.contains(&client(10)),
        "what nobody has heard displaced what some have"
    );
    assert_eq!(told.len(), 10);
    assert_eq!(
        one.gossip_payload(400, START),
        Vec::<u8>::new(),
        "all have been told often enough"
    );
}
