//! The table against a plain model: merging in any order, expiry, what gives way, counts of groups.

mod support;

use std::collections::BTreeMap;

use beaconflow_affinity::*;
use proptest::prelude::*;
use support::*;

const SERVERS: [&str; 4] = ["a", "b", "c", "d"];

fn state(at: usize) -> State {
    [
        State::Established,
        State::Ended(How::Broke),
        State::Ended(How::MovedLeaving),
    ][at % 3]
}

fn placements(keys: u64, most: usize) -> impl Strategy<Value = Vec<Placement>> {
    let one = (
        0..keys,
        0..3_u64,
        0..4_usize,
        0..3_u128,
        (0..40_u64, 0..2_u64),
        0..200_u32,
        0..3_usize,
    );
    let one = one.prop_map(
        |(key, group, server, version, (at, origin), seen, how)| Placement {
            key: Key(key),
            group: (group > 0).then_some(Group(group)),
            server: tag(SERVERS[server]),
            encode_version: Version(version),
            stamp: Stamp((T0 + at) << 20 | origin),
            seen_s: (T0 / 1_000) as u32 + seen,
            state: state(how),
            twins: (how as u8 + seen as u8) % 6,
        },
    );
    prop::collection::vec(one, 0..most)
}

fn all(memory: &Memory) -> Vec<Placement> {
    let mut all = Vec::new();
    let mut from = Some(0);
    while let Some(at) = from {
        let (page, next) = memory.page(at, 7);
        all.extend(page);
        from = next;
    }
    all.sort_by_key(|one| one.key);
    all
}

/// By the order of placements alone.
fn merged<'a>(facts: impl Iterator<Item = &'a Placement>) -> Vec<Placement> {
    let mut all: BTreeMap<Key, Placement> = BTreeMap::new();
    for fact in facts {
        let known = all.entry(fact.key).or_insert(*fact);
        if fact.order(known).is_gt() {
            *known = *fact;
        }
    }
    all.into_values().collect()
}

proptest! {
    /// Any order, doubled, through a peer or in pages; and the home of each group is where most of it is.
    #[test]
    fn facts_in_any_order_come_to_the_same(facts in placements(12, 60), turn in any::<prop::sample::Index>()) {
        let now = T0 + 250_000;
        let (mut one, mut two, mut three) = (memory(1), memory(2), memory(3));
        for fact in &facts {
            one.merge(fact, now);
        }
        let at = if facts.is_empty() { 0 } else { turn.index(facts.len()) };
        for fact in facts[at..].iter().chain(facts.iter().rev()) {
            two.merge(fact, now);
        }
        two.merge_all(&facts, now);
        three.merge_all(&all(&two)[..all(&two).len() / 2], now);
        three.merge_all(&all(&one), now);
        let expected = merged(facts.iter());
        for memory in [&one, &two, &three] {
            prop_assert_eq!(&all(memory), &expected);
            let standing = expected.iter().filter(|one| one.state == State::Established).count();
            prop_assert_eq!((memory.counts().entries, memory.counts().established), (expected.len(), standing));
            for group in 1..3 {
                let of = |name: &&str| expected.iter()
                    .filter(|one| one.group == Some(Group(group)) && one.server == tag(name)).count();
                let most = SERVERS.iter().map(of).max().unwrap_or(0);
                let home = memory.place(&client(99, Some(group)), &Farm::of(&SERVERS), now);
                let there = home.and_then(|home| SERVERS.iter().find(|name| tag(name) == home.server));
                prop_assert_eq!(there.map_or(0, of), most);
            }
        }
    }

    /// Small bounds, deaths and restarts: what is held is what the model holds.
    #[test]
    fn what_gives_way_is_what_ended_longest_ago(facts in placements(40, 120), restart in 0..40_u64) {
        let mut memory = Memory::new(Limits { ttl_s: 150, ..limits(8) }, 1, 9);
        let mut model: BTreeMap<Key, Placement> = BTreeMap::new();
        let worth = |one: &Placement| (one.state == State::Established, one.seen_s);
        for (at, fact) in facts.iter().enumerate() {
            // The clock goes on; whatever is past its life goes first.
            let now = T0 + at as Millis * 3_000;
            memory.expire(now, usize::MAX);
            model.retain(|_, one| one.seen_s + 150 >= (now / 1_000) as u32);
            if at == 20 {
                memory.restarted(tag("a"), T0 + restart);
            }
            let heard = memory.merge(fact, now);
            let known = model.get(&fact.key).copied();
            let least = model.values().map(worth).min();
            let expected = if fact.seen_s + 150 < (now / 1_000) as u32 {
                MergeOutcome::Refused(Refused::Expired)
            } else if u64::from(fact.seen_s) * 1_000 > now + 60_000 {
                MergeOutcome::Refused(Refused::Ahead)
            } else if known.is_some_and(|known| fact.order(&known).is_le()) {
                MergeOutcome::Known
            } else if known.is_some() {
                MergeOutcome::Newer
            } else if model.len() == 8 && least > Some(worth(fact)) {
                MergeOutcome::Refused(Refused::NoRoom)
            } else {
                MergeOutcome::New
            };
            prop_assert_eq!(heard, expected);
            if heard == MergeOutcome::New && model.len() == 8 {
                // Of those of one age any may have gone.
                let gone: Vec<Key> = model.keys().copied().filter(|key| memory.get(*key).is_none()).collect();
                prop_assert_eq!(gone.len(), 1);
                prop_assert_eq!(model.remove(&gone[0]).as_ref().map(worth), least);
            }
            if matches!(heard, MergeOutcome::New | MergeOutcome::Newer) {
                model.insert(fact.key, *fact);
            }
            prop_assert_eq!(all(&memory), model.values().copied().collect::<Vec<_>>());
        }
        // All leave: nothing is counted any more.
        memory.expire(T0 + 10_000_000, usize::MAX);
        prop_assert_eq!((memory.counts().entries, memory.counts().established), (0, 0));
        for group in 1..3 {
            prop_assert_eq!(memory.place(&client(99, Some(group)), &Farm::of(&SERVERS), T0 + 10_000_000), None);
        }
    }
}

/// A million clients, each in a group of its own, which takes most; all that is allocated counts.
#[test]
fn a_placement_takes_64_bytes_at_most() {
    let count = 1_000_000;
    for group_of in [1, 5] {
        let mut held = None;
        let taken = allocation_counter::measure(|| {
            let mut memory = Memory::new(limits(count), 1, 2);
            memory.adopt(Version(1), 0, T0);
            for key in 0..count as u64 {
                let of = client(key, Some(key / group_of));
                memory
                    .established(&of, Tag(key / 3 % 1_000), T0 + key / 2)
                    .expect("room");
            }
            held = Some(memory);
        });
        let memory = held.expect("filled");
        let each = taken.bytes_current as f64 / count as f64;
        println!(
            "groups of {group_of}: {each:.1} bytes a placement, {:.1} at the peak",
            taken.bytes_max as f64 / count as f64
        );
        assert_eq!(memory.counts().entries, count);
        assert!(each <= 64.0, "{each}");
        assert!(memory.bytes() as i64 <= taken.bytes_current + 4_096);
    }
}

#[test]
fn the_bound_in_bytes_holds_too_and_keys_of_one_kind_do_no_harm() {
    let bound = Bound {
        entries: usize::MAX,
        bytes: 64_000,
    };
    let mut memory = Memory::new(Limits { bound, ..limits(0) }, 1, 2);
    assert_eq!(memory.most(), 1_000);
    let none = Limits {
        bound: Bound {
            entries: 0,
            bytes: 63,
        },
        ttl_s: 0,
        away_s: 1,
        home_most: 0,
    };
    assert_eq!(none.faults(), ["entries", "bytes", "life_s", "away_s"]);
    assert!(limits(1).faults().is_empty());
    for round in 0..5_u64 {
        for key in 0..1_000 {
            let one = client(key << 54, Some(key << 54));
            memory
                .established(&one, tag("a"), T0 + round * 1_000)
                .expect("room");
        }
    }
    assert_eq!(
        memory.counts(),
        Counts {
            entries: 1_000,
            established: 1_000,
            ..Counts::default()
        }
    );
    // Those that stand do not make way for what has ended, but for those that are seen later.
    let mut peer = support::memory(2);
    let stood = peer
        .established(&client(5_000, None), tag("a"), T0 + 9_000)
        .expect("room");
    let ended = peer
        .ended(Key(5_000), stood.stamp, How::Left, T0 + 9_000)
        .expect("it stood");
    assert_eq!(
        memory.merge(&ended, T0 + 9_000),
        MergeOutcome::Refused(Refused::NoRoom)
    );
    assert_eq!(memory.merge(&stood, T0 + 9_000), MergeOutcome::New);
    assert_eq!(memory.counts().evicted, 1);
}

#[test]
fn what_stands_lives_on_as_long_as_it_is_seen() {
    let mut memory = memory(1);
    let stamp = memory
        .established(&client(1, None), tag("a"), T0)
        .expect("room")
        .stamp;
    memory
        .established(&client(2, None), tag("a"), T0)
        .expect("room");
    let hour = 3_600_000;
    memory
        .refresh(Key(1), stamp, T0 + hour / 2)
        .expect("it stands");
    let farm = Farm::of(&["a"]);
    let later = T0 + hour + 5_000;
    assert_eq!(
        advised(&memory, &client(2, None), &farm, later),
        None,
        "past its life, cleared away or not"
    );
    assert!(advised(&memory, &client(1, None), &farm, later).is_some());
    assert_eq!((memory.expire(later, 10), memory.counts().expired), (1, 1));
    let far = Placement {
        stamp: Stamp((later + 61_000) << 20),
        ..memory.get(Key(1)).expect("held")
    };
    assert_eq!(
        memory.merge(&far, later),
        MergeOutcome::Refused(Refused::Ahead)
    );
}
