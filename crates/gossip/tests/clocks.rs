//! Clocks that are wrong, and ages.

mod common;

use beaconflow_gossip::*;
use common::*;

const YEAR: i64 = 365 * 24 * 3_600_000;
const GOOD: Millis = 60_000;

/// A process whose clock is wrong by so much, and others whose clocks are right.
fn fleet(ahead: i64) -> Net {
    let mut net = Net::new(5, 0.1, 3);
    net.ahead[0] = ahead;
    let clock = net.clock(0);
    net.all[0]
        .observe(&client(1), &stands("s1"), GOOD, clock)
        .expect("taken");
    net
}

#[test]
fn no_clock_makes_a_fact_immortal_or_void() {
    for ahead in [YEAR, -(START as i64), 3_000, -3_000] {
        let mut net = fleet(ahead);
        assert!(net.until_all_agree(20).is_some());
        let begun = net.now;
        // Told round and round while it is good, by everybody to everybody.
        let ended = |net: &Net| net.all.iter().all(|one| one.size(Kind::Placement).1 == 0);
        while !ended(&net) && net.now < begun + 3 * GOOD {
            net.round();
            let known = net.all[3]
                .placement(Holder::Client(1), net.clock(3))
                .is_some();
            assert!(
                known || net.now >= START + GOOD - 1_000,
                "void after {} ms",
                net.now - START
            );
        }
        // A calendar's second, and the rounds in which it was on its way.
        assert!(
            net.now <= START + GOOD + 5_000,
            "kept for {} ms with a clock {ahead} ms ahead",
            net.now - START
        );
    }
}

#[test]
fn words_of_a_process_that_is_a_year_ahead_are_outdone() {
    for ahead in [YEAR, -(START as i64)] {
        let mut net = fleet(ahead);
        assert!(net.until_all_agree(20).is_some());
        let (one, other) = (net.clock(2), net.clock(0));
        net.all[2]
            .observe(&client(1), &stands("s2"), GOOD, one)
            .expect("taken");
        assert!(net.until_all_agree(20).is_some());
        assert_eq!(
            net.all[0]
                .placement(Holder::Client(1), other)
                .map(|at| at.server),
            Some("s2")
        );
        // And it has its say again.
        net.all[0]
            .observe(&client(1), &stands("s3"), GOOD, other)
            .expect("taken");
        assert!(net.until_all_agree(20).is_some());
        assert_eq!(
            net.all[4]
                .placement(Holder::Client(1), net.now)
                .map(|at| at.server),
            Some("s3")
        );
    }
}

#[test]
fn a_fact_that_says_it_is_good_for_ever_is_not() {
    let mut bounds = Bounds::default();
    bounds.of_mut(Kind::Placement).longest = Millis::MAX;
    let mut liar = FactStore::new(
        Origin {
            name: "liar".into(),
            incarnation: 1,
        },
        bounds,
    );
    liar.observe(&client(1), &stands("s1"), Millis::MAX, START)
        .expect("taken");
    let mut one = process("one", 1);
    tell(&mut liar, &mut one, START);
    let longest = Bounds::default().of(Kind::Placement).longest;
    assert!(
        one.placement(Holder::Client(1), START + longest - 1)
            .is_some()
    );
    assert!(one.placement(Holder::Client(1), START + longest).is_none());
    one.expire(START + longest + 2_000);
    assert_eq!(one.size(Kind::Placement), (0, 0));
}

#[test]
fn the_greater_of_two_ages_is_believed() {
    let (mut first, mut one) = (process("first", 1), process("one", 1));
    first
        .observe(&client(1), &stands("s1"), GOOD, START)
        .expect("taken");
    let early = first.gossip_payload(ROOM, START);
    let late = first.gossip_payload(ROOM, START + 40_000);
    // The early datagram was held up, so that its age says too little.
    one.take(&early, START + 40_000).expect("sound");
    assert_eq!(
        one.get(&client(1), "", START + 40_000)
            .map(|fact| fact.observed_at),
        Some(START + 40_000)
    );
    one.take(&late, START + 40_000).expect("sound");
    assert!(one.placement(Holder::Client(1), START + GOOD - 1).is_some());
    assert!(one.placement(Holder::Client(1), START + GOOD).is_none());
    one.expire(START + GOOD + 2_000);
    assert_eq!(one.size(Kind::Placement), (0, 0), "its end was noted anew");
}

#[test]
fn what_lay_on_a_disk_is_as_old_as_the_dark_was_long() {
    let mut before = process("a", 1);
    before
        .observe(&client(1), &stands("s1"), GOOD, START)
        .expect("taken");
    let records = before.export(&[Kind::Placement], START + 20_000);
    // The clock came up in 1970; how long it was dark is told by whoever read the disk.
    for (dark, known) in [(30_000, true), (39_999, true), (40_000, false)] {
        let mut after = process("a", 2);
        after.import(records.iter().map(Vec::as_slice), dark, 100_000);
        assert_eq!(
            after.placement(Holder::Client(1), 100_000).is_some(),
            known,
            "dark for {dark} ms"
        );
    }
    let read = FactStore::read(&records[0], 30_000, 100_000).expect("readable");
    assert_eq!(
        (read.subject, read.observed_at, read.origin_time),
        (client(1), 50_000, START)
    );
}
