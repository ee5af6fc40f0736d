//! Lives of discovery: one that lost its state counts anew.

mod common;

use beaconflow_gossip::*;
use common::*;

const LONG: Millis = 3_600_000;

fn whole(generation: u64, digest: u64) -> ListAnnouncement {
    ListAnnouncement {
        generation,
        digest,
        complete_list: true,
    }
}

fn hear(one: &mut FactStore, told: ListAnnouncement, now: Millis) -> (u64, u64) {
    let Position {
        incarnation,
        generation,
    } = one.hear_list(told, LONG, now).expect("taken");
    (incarnation, generation)
}

fn meet(one: &mut FactStore, other: &mut FactStore, now: Millis) {
    tell(one, other, now);
    tell(other, one, now);
}

#[test]
fn a_count_that_begins_anew_is_another_life() {
    let mut one = process("a", 1);
    assert_eq!(hear(&mut one, whole(20, 1), START), (1, 20));
    assert_eq!(
        hear(
            &mut one,
            ListAnnouncement {
                generation: 21,
                digest: 2,
                complete_list: false
            },
            START
        ),
        (1, 21)
    );
    assert_eq!(
        hear(&mut one, whole(21, 2), START),
        (1, 21),
        "the watch stood anew"
    );
    assert_eq!(hear(&mut one, whole(1, 3), START), (2, 1));
    assert_eq!(
        hear(
            &mut one,
            ListAnnouncement {
                generation: 2,
                digest: 4,
                complete_list: false
            },
            START
        ),
        (2, 2)
    );
}

#[test]
fn both_who_see_it_agree_whether_or_not_they_talk() {
    for talk in [false, true] {
        let (mut a, mut b) = (process("a", 1), process("b", 1));
        hear(&mut a, whole(20, 1), START);
        hear(&mut b, whole(20, 1), START);
        meet(&mut a, &mut b, START);
        assert_eq!(hear(&mut a, whole(1, 2), START + 60_000), (2, 1));
        if talk {
            meet(&mut a, &mut b, START + 60_000);
        }
        // It has gone on by the time that the other one's watch stands again.
        assert_eq!(
            hear(&mut b, whole(2, 3), START + 60_500),
            (2, 2),
            "talked: {talk}"
        );
    }
}

#[test]
fn a_life_that_one_did_not_notice_is_known_by_its_list() {
    let (mut a, mut b) = (process("a", 1), process("b", 1));
    hear(&mut a, whole(5, 1), START);
    hear(&mut b, whole(5, 1), START);
    hear(&mut a, whole(1, 7), START + 1_000);
    assert_eq!(hear(&mut a, whole(8, 9), START + 2_000), (2, 8));
    meet(&mut a, &mut b, START + 2_000);
    // To the other one the count merely goes on.
    assert_eq!(
        hear(
            &mut b,
            ListAnnouncement {
                generation: 8,
                digest: 9,
                complete_list: false
            },
            START + 2_000
        ),
        (2, 8)
    );
}

#[test]
fn a_second_loss_that_only_one_saw_is_later_than_the_first() {
    let (mut a, mut b) = (process("a", 1), process("b", 1));
    for one in [&mut a, &mut b] {
        hear(one, whole(9, 1), START);
        hear(one, whole(3, 2), START + 60_000);
    }
    meet(&mut a, &mut b, START + 60_000);
    assert_eq!(hear(&mut b, whole(1, 3), START + 120_000), (3, 1));
    meet(&mut a, &mut b, START + 120_000);
    // Its watch stands again only after the new life has gone beyond what it holds.
    assert_eq!(hear(&mut a, whole(4, 4), START + 180_000), (3, 4));
}

#[test]
fn a_newcomer_joins_the_life_that_peers_know() {
    let (mut old, mut new) = (process("old", 1), process("new", 1));
    hear(&mut old, whole(9, 1), START);
    hear(&mut old, whole(3, 2), START);
    meet(&mut old, &mut new, START);
    // Slightly behind what the peer has just heard: discovery told both at about the same time.
    assert_eq!(hear(&mut new, whole(2, 8), START + 500), (2, 2));
    // Told long after the peer was: what is told now is later.
    let mut newer = process("newer", 1);
    meet(&mut old, &mut newer, START);
    assert_eq!(hear(&mut newer, whole(2, 8), START + 60_000), (3, 2));
}

#[test]
fn a_newcomer_that_heard_the_list_first_settles_when_it_hears_peers() {
    let (mut memory, mut new) = (process("memory", 2), process("new", 1));
    hear(&mut memory, whole(20, 1), START);
    // Discovery lost its state in the dark; who has no memory cannot tell.
    assert_eq!(hear(&mut new, whole(3, 5), START + 60_000), (1, 3));
    meet(&mut memory, &mut new, START + 60_100);
    assert_eq!(
        new.settle_list(LONG, START + 60_100),
        Some(Position {
            incarnation: 2,
            generation: 3
        })
    );
    assert_eq!(new.settle_list(LONG, START + 60_100), None, "once");
    meet(&mut memory, &mut new, START + 60_200);
    assert_eq!(
        hear(&mut memory, whole(3, 5), START + 60_300),
        (2, 3),
        "and the other one joins it"
    );
    assert_eq!(memory.settle_list(LONG, START + 60_300), None);
    let held: Vec<Position> = memory
        .positions(START + 60_300)
        .iter()
        .map(|(_, held)| held.position)
        .collect();
    assert_eq!(
        held,
        [Position {
            incarnation: 2,
            generation: 3
        }; 2]
    );
}

#[test]
fn the_later_life_stands_and_equal_words_are_no_news() {
    let (mut a, mut b) = (process("a", 1), process("b", 1));
    let subject = Subject::Listed("s1".into());
    a.observe(&subject, &entry(1, 20, Lifecycle::Draining), LONG, START)
        .expect("taken");
    b.observe(&subject, &entry(2, 1, Lifecycle::Serving), LONG, START)
        .expect("taken");
    meet(&mut a, &mut b, START);
    assert_eq!(all_of(&a, START), all_of(&b, START));
    let known = a.list(START);
    assert_eq!(
        Value::Listed(known[0].1.clone()),
        entry(2, 1, Lifecycle::Serving)
    );
    // All hear the same from discovery: nothing is to be told.
    let (mut c, mut d) = (process("c", 1), process("d", 1));
    for one in [&mut c, &mut d] {
        one.observe(&subject, &entry(2, 1, Lifecycle::Serving), LONG, START)
            .expect("taken");
    }
    assert_eq!(tell(&mut c, &mut d, START), []);
    assert_eq!(catch_up(&mut c, &mut d, START), 0);
    while !c.gossip_payload(ROOM, START).is_empty() {}
    let again = c
        .observe(
            &subject,
            &entry(2, 9, Lifecycle::Serving),
            LONG,
            START + LONG / 4,
        )
        .expect("known");
    assert_eq!(again.version, 1, "the whole list, told again");
    assert!(c.gossip_payload(ROOM, START + LONG / 4).is_empty());
    let fresh = c
        .observe(
            &subject,
            &entry(2, 9, Lifecycle::Serving),
            LONG,
            START + LONG / 2,
        )
        .expect("taken");
    assert_eq!(
        (fresh.version, fresh.observed_at),
        (9, START + LONG / 2),
        "before it ends it is told anew"
    );
}

#[test]
fn a_process_whose_memory_is_lost_learns_of_its_later_boot() {
    let (mut before, mut peer, mut after) = (process("a", 7), process("b", 1), process("a", 1));
    let runs = |number| {
        Value::Configuration(Configuration {
            digest: number,
            number,
        })
    };
    before
        .observe(&Subject::Configuration, &runs(1), LONG, START)
        .expect("taken");
    tell(&mut before, &mut peer, START);
    after
        .observe(&Subject::Configuration, &runs(2), LONG, START + 9_000)
        .expect("taken");
    tell(&mut peer, &mut after, START + 9_000);
    assert_eq!(after.outrun(), Some(7));
    after.renumber(8);
    assert_eq!(after.outrun(), None);
    after
        .observe(&Subject::Configuration, &runs(2), LONG, START + 9_000)
        .expect("taken");
    tell(&mut after, &mut peer, START + 9_000);
    let told = peer.configurations(START + 9_000);
    assert_eq!(
        told,
        [(
            Origin {
                name: "a".into(),
                incarnation: 8
            },
            Configuration {
                digest: 2,
                number: 2
            }
        )]
    );
}
