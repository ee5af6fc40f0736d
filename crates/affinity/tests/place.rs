//! Which server is advised, and when none is.

mod support;

use beaconflow_affinity::*;
use support::*;

const ONE: u64 = 1;

/// What becomes of a farm.
type Change = fn(&mut Farm);

/// A memory in which client 1 stood on `a` from T0 on, and its stamp.
fn stood_on_a() -> (Memory, Stamp) {
    let mut memory = memory(1);
    let stamp = memory
        .established(&client(ONE, None), tag("a"), T0)
        .expect("room")
        .stamp;
    (memory, stamp)
}

#[test]
fn one_that_returns_gets_its_server_whatever_ended() {
    for how in [How::Broke, How::Left, How::BalancerDied] {
        let (mut memory, stamp) = stood_on_a();
        memory
            .ended(Key(ONE), stamp, how, T0 + 10)
            .expect("it stood");
        let advice = memory.place(&client(ONE, None), &Farm::of(&["a", "b"]), T0 + 20);
        assert_eq!(
            advice,
            Some(Advice {
                server: tag("a"),
                why: Why::SameServer,
                under: Version(1)
            })
        );
    }
    let (memory, _) = stood_on_a();
    assert_eq!(
        memory.place(&client(2, None), &Farm::of(&["a"]), T0),
        None,
        "a newcomer is the rotation's"
    );
}

#[test]
fn nobody_is_led_where_they_may_not_be() {
    let (memory, _) = stood_on_a();
    let cases: [(PlacementValidity, Change); 4] = [
        (PlacementValidity::NotListed, |farm| {
            farm.servers.retain(|server, _| *server != tag("a"))
        }),
        (PlacementValidity::NotReady, |farm| {
            farm.at("a").is_ready = false
        }),
        (PlacementValidity::Void, |farm| {
            farm.at("a").started_at = T0 + 1
        }),
        (PlacementValidity::NotPermitted, |farm| {
            farm.barred = [tag("a")].into()
        }),
    ];
    for (holds, change) in cases {
        let mut farm = Farm::of(&["a", "b"]);
        change(&mut farm);
        assert_eq!(
            memory.validity(&client(ONE, None), &farm, T0 + 20),
            Some(holds)
        );
        assert_eq!(memory.place(&client(ONE, None), &farm, T0 + 20), None);
    }
}

#[test]
fn one_moved_off_a_leaving_server_goes_back_only_when_it_is_seen_ready_anew() {
    let (mut memory, stamp) = stood_on_a();
    memory
        .ended(Key(ONE), stamp, How::MovedLeaving, T0 + 500)
        .expect("it stood");
    let mut farm = Farm::of(&["a", "b"]);
    // This process has not heard that it leaves, nor does it for an hour.
    for later in [600, 60_000, 3_500_000] {
        assert_eq!(
            memory.validity(&client(ONE, None), &farm, T0 + later),
            Some(PlacementValidity::MovedOff)
        );
    }
    farm.at("a").ready_since = T0 + 5_000;
    assert_eq!(
        advised(&memory, &client(ONE, None), &farm, T0 + 6_000),
        Some((tag("a"), Why::SameServer))
    );
}

#[test]
fn one_moved_for_lateness_or_evenness_stays_away_for_a_span_also_from_its_groups_home() {
    for how in [How::MovedLate, How::MovedUneven] {
        let mut memory = memory(1);
        let mate = |key| client(key, Some(7));
        let stamp = memory
            .established(&mate(ONE), tag("a"), T0)
            .expect("room")
            .stamp;
        memory.established(&mate(2), tag("a"), T0).expect("room");
        memory.established(&mate(3), tag("b"), T0).expect("room");
        memory
            .ended(Key(ONE), stamp, how, T0 + 500)
            .expect("it stood");
        let farm = Farm::of(&["a", "b"]);
        assert_eq!(
            advised(&memory, &mate(ONE), &farm, T0 + 60_900),
            Some((tag("b"), Why::ReDealt))
        );
        assert_eq!(
            advised(&memory, &mate(ONE), &farm, T0 + 61_000),
            Some((tag("a"), Why::SameServer))
        );
    }
}

#[test]
fn a_group_has_its_home_where_most_of_it_is_among_ready_ones_with_room() {
    let mut memory = memory(1);
    let homes = [("a", 4), ("b", 3), ("c", 2)];
    let mut key = 10;
    for (server, count) in homes {
        for _ in 0..count {
            memory
                .established(&client(key, Some(7)), tag(server), T0)
                .expect("room");
            key += 1;
        }
    }
    let mut farm = Farm::of(&["a", "b", "c"]);
    let home = |memory: &Memory, farm: &Farm| advised(memory, &client(ONE, Some(7)), farm, T0 + 20);
    assert_eq!(home(&memory, &farm), Some((tag("a"), Why::GroupHome)));
    farm.at("a").is_ready = false;
    assert_eq!(home(&memory, &farm), Some((tag("b"), Why::GroupHome)));
    // Whoever was on `a` is dealt anew to where most of the group is.
    assert_eq!(
        advised(&memory, &client(10, Some(7)), &farm, T0 + 20),
        Some((tag("b"), Why::ReDealt))
    );
    farm.barred.insert(tag("b"));
    assert_eq!(home(&memory, &farm), Some((tag("c"), Why::GroupHome)));
    assert_eq!(
        advised(&memory, &client(ONE, Some(8)), &farm, T0 + 20),
        None,
        "another group"
    );
    // `a` comes back anew: what it had of the group is gone, and what comes now counts.
    *farm.at("a") = ServerNow {
        is_ready: true,
        ready_since: T0 + 50,
        started_at: T0 + 50,
    };
    memory.restarted(tag("a"), T0 + 50);
    assert_eq!(home(&memory, &farm), Some((tag("c"), Why::GroupHome)));
    for key in 30..33 {
        memory
            .established(&client(key, Some(7)), tag("a"), T0 + 60)
            .expect("room");
    }
    assert_eq!(home(&memory, &farm), Some((tag("a"), Why::GroupHome)));
}

#[test]
fn a_home_with_its_most_takes_no_more_and_ties_are_everybodys() {
    let full = Limits {
        home_most: 2,
        ..limits(100)
    };
    let names = ["a", "b", "c", "d"];
    let mut homes = Vec::new();
    for order in [[0, 1, 2, 3], [3, 1, 0, 2]] {
        let mut memory = Memory::new(full, 1, 9);
        for at in order {
            memory
                .established(&client(at as u64, Some(7)), tag(names[at]), T0)
                .expect("room");
        }
        homes.push(advised(
            &memory,
            &client(ONE + 50, Some(7)),
            &Farm::of(&names),
            T0,
        ));
        for at in order {
            memory
                .established(&client(20 + at as u64, Some(7)), tag(names[at]), T0)
                .expect("room");
        }
        assert_eq!(
            advised(&memory, &client(ONE + 50, Some(7)), &Farm::of(&names), T0),
            None
        );
    }
    assert!(homes[0].is_some() && homes[0] == homes[1], "{homes:?}");
}

#[test]
fn what_a_newer_version_dealt_is_not_the_older_ones_to_judge() {
    // The old version has this tenant on `a`, the new one on `b`.
    let (mut old, mut new) = (memory(1), memory(2));
    let (mut old_farm, mut new_farm) = (Farm::of(&["a", "b"]), Farm::of(&["a", "b"]));
    old_farm.barred.insert(tag("b"));
    new_farm.barred.insert(tag("a"));
    let first = old
        .established(&client(ONE, None), tag("a"), T0)
        .expect("room");
    new.adopt(Version(2), 0, T0 + 100);
    new.merge(&first, T0 + 100);
    for fact in old.versions().facts().copied().collect::<Vec<_>>() {
        new.merge_version(&fact, T0 + 100);
    }
    assert_eq!(
        new.validity(&client(ONE, None), &new_farm, T0 + 100),
        Some(PlacementValidity::NotPermitted)
    );
    let dealt = new
        .established(&client(ONE, None), tag("b"), T0 + 110)
        .expect("room");
    old.merge(&dealt, T0 + 120);
    // Before the old process has heard of the version, and after; and after the client has stood through it.
    assert_eq!(
        advised(&old, &client(ONE, None), &old_farm, T0 + 130),
        Some((tag("b"), Why::SameServer))
    );
    for fact in new.versions().facts().copied().collect::<Vec<_>>() {
        old.merge_version(&fact, T0 + 130);
    }
    for now in [T0 + 140, T0 + 5_000] {
        assert_eq!(
            advised(&old, &client(ONE, None), &old_farm, now),
            Some((tag("b"), Why::SameServer))
        );
        let stood = old
            .established(&client(ONE, None), tag("b"), now)
            .expect("room");
        assert_eq!(stood.encode_version, Version(2));
    }
    // It is taken back: the old version's rules hold again.
    assert_eq!(new.adopt(Version(1), 0, T0 + 9_000), Adopted::Rollback);
    for fact in new.versions().facts().copied().collect::<Vec<_>>() {
        old.merge_version(&fact, T0 + 9_000);
    }
    assert_eq!(
        old.validity(&client(ONE, None), &old_farm, T0 + 9_100),
        Some(PlacementValidity::NotPermitted)
    );
}

#[test]
fn placements_follow_a_server_that_is_renamed_also_in_a_process_that_lists_the_old_name() {
    let (mut memory, _) = stood_on_a();
    memory
        .established(&client(2, Some(7)), tag("a"), T0)
        .expect("room");
    memory.renamed(tag("a"), tag("z"));
    let (old, new) = (Farm::of(&["a", "b"]), Farm::of(&["z", "b"]));
    for (farm, name) in [(&old, "a"), (&new, "z")] {
        assert_eq!(
            advised(&memory, &client(ONE, None), farm, T0 + 20),
            Some((tag(name), Why::SameServer))
        );
        assert_eq!(
            advised(&memory, &client(3, Some(7)), farm, T0 + 20),
            Some((tag(name), Why::GroupHome))
        );
    }
    // A peer that has yet to hear of it tells the old name; a second new name is followed too.
    let mut peer = support::memory(2);
    let told = peer
        .established(&client(4, None), tag("a"), T0 + 5)
        .expect("room");
    memory.renamed(tag("z"), tag("zz"));
    assert_eq!(memory.merge(&told, T0 + 10), MergeOutcome::New);
    for key in [ONE, 4] {
        assert_eq!(
            memory.get(Key(key)).map(|placement| placement.server),
            Some(tag("zz"))
        );
    }
    // And back to the first: the names go round, and nothing is lost.
    memory.renamed(tag("zz"), tag("a"));
    assert_eq!(
        advised(&memory, &client(ONE, None), &old, T0 + 20),
        Some((tag("a"), Why::SameServer))
    );
}

#[test]
fn an_end_is_of_the_connection_that_stood_and_of_no_later_one() {
    let (mut memory, first) = stood_on_a();
    let mut peer = support::memory(2);
    // The peer's clock is a second slow; it has heard of the first connection, so that its own is later all the same.
    peer.merge(&memory.get(Key(ONE)).expect("known"), T0);
    let second = peer
        .established(&client(ONE, None), tag("b"), T0 - 1_000)
        .expect("room");
    assert_eq!(memory.merge(&second, T0 + 10), MergeOutcome::Newer);
    assert_eq!(
        memory.ended(Key(ONE), first, How::MovedLeaving, T0 + 20),
        None
    );
    assert_eq!(
        memory.get(Key(ONE)).map(|now| (now.server, now.state)),
        Some((tag("b"), State::Established))
    );
}

#[test]
fn clients_of_one_key_are_not_all_led_to_one_server() {
    let (one, two) = (client(ONE, None), Farm::of(&["a", "b"]));
    let mut memories = [memory(1), memory(2)];
    let mut led = 0;
    for at in 0..1_000 {
        let now = T0 + at * 10;
        let advice = memories[at as usize % 2].place(&one, &two, now);
        led += u32::from(advice.is_some());
        let fact = memories[at as usize % 2]
            .established(&one, tag("a"), now)
            .expect("room");
        memories[1 - at as usize % 2].merge(&fact, now);
    }
    assert_eq!(led, 5);
    // Whoever of them ends last is led back; and all are, one by one, when the process that they stood through died.
    assert_eq!(
        memories[0].validity(&one, &two, T0 + 10_000),
        Some(PlacementValidity::Shared)
    );
    memories[0].balancer_died(2);
    assert_eq!(
        memories[0].validity(&one, &two, T0 + 10_000),
        Some(PlacementValidity::Yes)
    );
    let fact = memories[0]
        .established(&one, tag("a"), T0 + 10_010)
        .expect("room");
    assert_eq!(fact.twins, 0);
    let fact = memories[1].get(Key(ONE)).expect("held");
    memories[1]
        .ended(Key(ONE), fact.stamp, How::Broke, T0 + 10_020)
        .expect("it stood");
    assert_eq!(
        memories[1].validity(&one, &two, T0 + 10_030),
        Some(PlacementValidity::Yes)
    );
}

#[test]
fn names_of_accounts_and_clients_do_not_run_together() {
    assert_ne!(Key::named("ab", "c"), Key::named("a", "bc"));
    assert_ne!(Key::named("1", "1:a"), Key::named("11", ":a"));
}
