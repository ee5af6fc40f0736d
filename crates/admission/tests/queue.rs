//! The admission queue against a simple model: no entry is lost or returned twice, shares are kept, and the intended
//! entries are evicted.

use std::collections::{BTreeMap, BTreeSet};

use beaconflow_admission::*;
use proptest::prelude::*;

const SHARES: [f64; 4] = [3.0, 1.0, 0.5, 1.0];

fn entry(id: u64, account: u64, flow: u64) -> Entry {
    Entry {
        id,
        account,
        share: 1.0,
        class: 0,
        flow,
        deadline: u64::MAX,
        bytes: 100,
    }
}

fn limits(entries: usize) -> Limits {
    let limit = QueueSize {
        entries,
        bytes: usize::MAX,
    };
    Limits {
        total: limit,
        per_account: limit,
        per_queue: limit,
        ..Limits::default()
    }
}

fn new_queue(limits: Limits) -> AdmissionQueue {
    AdmissionQueue::new(&[1.0, 4.0], limits, 7)
}

fn enter(queue: &mut AdmissionQueue, entry: Entry) -> Vec<Entry> {
    let mut evicted = Vec::new();
    queue.enqueue(entry, &mut evicted);
    evicted
}

#[test]
fn divides_permits_by_share_between_backlogged_accounts() {
    for shares in [
        &[0.58, 0.42][..],
        &[1.0, 1_000.0],
        &[1.0, 10.0, 100.0, 889.0],
    ] {
        let mut queue = new_queue(Limits::default());
        let (mut next_id, mut turns) = (0, vec![0_u32; shares.len()]);
        for _ in 0..100_000 {
            // Every account always has queued entries, the first account the most.
            for (account, share) in shares.iter().enumerate() {
                while queue.queued_of(account as u64) < 200 / (1 + account) {
                    next_id += 1;
                    enter(
                        &mut queue,
                        Entry {
                            share: *share,
                            ..entry(next_id, account as u64, next_id % 1_000)
                        },
                    );
                }
            }
            turns[queue
                .admit()
                .expect("every account has entries queued")
                .account as usize] += 1;
        }
        let total: f64 = shares.iter().sum();
        for (turns, share) in turns.iter().zip(shares) {
            let error = f64::from(*turns) / 100_000.0 - share / total;
            assert!(
                error.abs() < 0.0005,
                "an account with {share} of {total} got {turns} of 100000 permits"
            );
        }
    }
}

#[test]
fn lends_unused_share_and_reclaims_it_at_once() {
    let mut queue = new_queue(Limits::default());
    for id in 0..2_000 {
        enter(&mut queue, entry(id, 0, id));
    }
    assert!(
        (0..1_000).all(|_| queue.admit().is_some_and(|entry| entry.account == 0)),
        "the idle account's permits go to the other one"
    );
    for id in 2_000..2_500 {
        enter(&mut queue, entry(id, 1, id));
    }
    let turns = (0..100)
        .filter(|_| queue.admit().is_some_and(|entry| entry.account == 1))
        .count();
    assert!(
        (49..=51).contains(&turns),
        "half of the permits without compensation for the past, got {turns} of 100"
    );
}

#[test]
fn admits_urgent_class_ahead_of_account_backlog() {
    let mut queue = new_queue(Limits::default());
    for id in 0..1_000 {
        enter(&mut queue, entry(id, 0, id));
    }
    assert!((0..500).all(|_| queue.admit().is_some()));
    enter(
        &mut queue,
        Entry {
            class: 1,
            ..entry(5_000, 0, 5_000)
        },
    );
    let turns = (1..)
        .find(|_| queue.admit().expect("the entry is queued").id == 5_000)
        .expect("the entry is admitted");
    assert!(turns <= 2, "admitted after {turns} permits");
}

#[test]
fn isolates_light_client_from_heavy_clients() {
    let (mut max_turns, mut delayed_clients) = (0, 0);
    for quiet in 0..200 {
        let mut queue = new_queue(limits(1_000_000));
        for id in 0..5_000 {
            enter(&mut queue, entry(id, 0, 1_000_000 + id % 3));
        }
        enter(&mut queue, entry(9_999, 0, quiet));
        let turns = (1..)
            .find(|_| queue.admit().expect("the entry is queued").id == 9_999)
            .expect("the entry is admitted");
        max_turns = max_turns.max(turns);
        delayed_clients += u32::from(turns > 13);
    }
    // Three heavy clients reach at most 12 of 64 queues. A light client has a queue without them, unless all four of
    // its queues are among the 12, which happens to about one client in two thousand.
    assert!(
        max_turns <= 13 && delayed_clients == 0,
        "at worst admitted after {max_turns} permits; {delayed_clients} of 200 clients delayed by the heavy ones"
    );
}

#[test]
fn evicts_from_longest_queue_of_most_loaded_account() {
    let mut queue = new_queue(limits(100));
    for id in 0..99 {
        assert!(enter(&mut queue, entry(id, 0, if id < 50 { 1 } else { id })).is_empty());
    }
    assert!(enter(&mut queue, entry(200, 1, 1)).is_empty());
    // The new entry belongs to the account below its share.
    let evicted = enter(&mut queue, entry(201, 1, 2));
    assert_eq!(
        (evicted[0].account, evicted[0].flow),
        (0, 1),
        "evicted from the heavy client of the heavy account"
    );
    assert_eq!(
        (evicted.len(), queue.len(), queue.queued_of(1)),
        (1, 100, 2)
    );
}

#[test]
fn bounds_bytes_of_queue_and_account() {
    let limit = QueueSize {
        entries: 1_000,
        bytes: 1_000,
    };
    let mut queue = new_queue(Limits {
        total: limit,
        per_account: QueueSize {
            bytes: 600,
            ..limit
        },
        ..limits(1_000)
    });
    for id in 0..6 {
        assert!(enter(&mut queue, entry(id, 0, id)).is_empty());
    }
    assert_eq!(
        enter(&mut queue, entry(6, 0, 6)).len(),
        1,
        "the account is limited to 600 bytes"
    );
    assert_eq!(
        enter(
            &mut queue,
            Entry {
                bytes: 500,
                ..entry(7, 1, 7)
            }
        )
        .len(),
        1
    );
    assert_eq!((queue.bytes(), queue.queued_of(1)), (1_000, 1));
}

/// A newcomer to a full account neither overtakes those that wait nor pushes out one of a queue that
/// is shorter than its own, and no other account waits for that one.
#[test]
fn newcomer_waits_behind_its_own_account_only() {
    let mut queue = new_queue(limits(500));
    for id in 0..500 {
        enter(&mut queue, entry(id, 0, id));
    }
    assert_eq!(enter(&mut queue, entry(1_000, 0, 1_000)).len(), 1);
    enter(&mut queue, entry(4_000, 1, 1));
    let order: Vec<u64> = std::iter::from_fn(|| queue.admit())
        .map(|entry| entry.id)
        .collect();
    let turns = |id| order.iter().position(|admitted| *admitted == id);
    assert!(
        turns(4_000) < Some(2),
        "admitted after {:?} permits",
        turns(4_000)
    );
    // Every queue has a turn before any has the next, so that the newcomer is among the last.
    assert!(
        turns(1_000).is_none_or(|turns| turns > 350),
        "admitted after {:?}",
        turns(1_000)
    );
    assert_eq!(order.len(), 500);
}

#[test]
fn evicts_latest_entries_when_limits_shrink() {
    let mut queue = new_queue(limits(1_000));
    for id in 0..100 {
        enter(&mut queue, entry(id, u64::from(id >= 90), 5));
    }
    let mut evicted = Vec::new();
    queue.set_limits(limits(20), &mut evicted);
    assert_eq!(
        (evicted.len(), queue.queued_of(0), queue.queued_of(1)),
        (80, 10, 10)
    );
    let admitted: Vec<u64> = std::iter::from_fn(|| queue.admit())
        .map(|entry| entry.id)
        .filter(|id| *id < 90)
        .collect();
    let first_evicted = evicted
        .iter()
        .map(|entry| entry.id)
        .filter(|id| *id < 90)
        .min()
        .expect("some of the first account were evicted");
    assert!(
        admitted.iter().all(|id| *id < first_evicted + 4),
        "the latest entries are evicted: admitted {admitted:?}, first evicted {first_evicted}"
    );
}

#[test]
fn bounds_entries_with_a_million_flows() {
    let mut queue = new_queue(limits(1_000));
    let mut evicted = 0;
    for id in 0..1_000_000 {
        evicted += enter(&mut queue, entry(id, id % 2, id)).len();
    }
    assert_eq!((queue.len(), evicted), (1_000, 999_000));
}

#[test]
fn reuses_idle_account_slots_without_resetting_service() {
    let mut queue = new_queue(limits(10_000));
    // An account that got service ahead of another leaves and returns at once: its past service still counts.
    for id in 0..100 {
        enter(
            &mut queue,
            Entry {
                share: 0.01,
                ..entry(id, 1, id)
            },
        );
        enter(&mut queue, entry(1_000 + id, 2, id));
    }
    assert!((0..10).all(|_| queue.admit().is_some()));
    assert_eq!((0..100).filter_map(|id| queue.remove(id)).count(), 99);
    enter(
        &mut queue,
        Entry {
            share: 0.01,
            ..entry(500, 1, 1)
        },
    );
    let turns = (1..)
        .find(|_| queue.admit().expect("the entry is queued").id == 500)
        .expect("the entry is admitted");
    assert!(
        turns > 50,
        "past service was forgotten: admitted after {turns} permits"
    );
    // An unlimited number of account names reuses the same slots.
    for id in 10_000..110_000 {
        enter(&mut queue, entry(id, id, id));
        assert!(queue.admit().is_some());
    }
    assert!(
        queue.account_slots() <= 2_000,
        "{} account slots",
        queue.account_slots()
    );
}

#[test]
fn accepts_degenerate_limits_weights_and_classes() {
    let none = QueueSize {
        entries: 0,
        bytes: 0,
    };
    let mut queue = AdmissionQueue::new(
        &[],
        Limits {
            total: none,
            per_account: none,
            per_queue: none,
            queues_per_class: 0,
            hand_size: 0,
        },
        0,
    );
    assert_eq!(
        enter(&mut queue, entry(1, 9, 1)),
        [entry(1, 9, 1)],
        "an entry beyond a limit of 0 is evicted at once"
    );
    let mut queue = AdmissionQueue::new(
        &[f64::NAN],
        Limits {
            hand_size: 99,
            queues_per_class: 8,
            ..Limits::default()
        },
        0,
    );
    let shares = [f64::NAN, 0.0, -1.0, f64::INFINITY];
    for id in 0..100 {
        enter(
            &mut queue,
            Entry {
                class: 7,
                share: shares[id as usize % 4],
                ..entry(id, id % 4, id)
            },
        );
    }
    enter(&mut queue, entry(99, 3, 1));
    assert_eq!((0..100).filter_map(|_| queue.admit()).count(), 100);
    assert!(queue.admit().is_none() && queue.pop_expired(u64::MAX).is_none());
}

#[derive(Clone, Debug)]
enum Operation {
    Enter {
        account: u64,
        class: usize,
        flow: u64,
        wait: u64,
    },
    Next,
    Leave(usize),
    Expire(u64),
    Limit(usize),
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let enter =
        (0..4_u64, 0..3_usize, 0..6_u64, 1..200_u64).prop_map(|(account, class, flow, wait)| {
            Operation::Enter {
                account,
                class,
                flow,
                wait,
            }
        });
    let operation = prop_oneof![
        5 => enter,
        2 => Just(Operation::Next),
        1 => any::<usize>().prop_map(Operation::Leave),
        1 => (0..50_u64).prop_map(Operation::Expire),
        1 => (0..40_usize).prop_map(Operation::Limit),
    ];
    prop::collection::vec(operation, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn returns_each_entry_once_within_all_limits(
        operations in operations(),
        limit in 1..40_usize,
        account_limit in 1..30_usize,
        queue_limit in 1..20_usize,
        queues in 1..6_usize,
    ) {
        let bound = |entries| QueueSize { entries, bytes: usize::MAX };
        let limits = Limits {
            total: bound(limit), per_account: bound(account_limit), per_queue: bound(queue_limit), queues_per_class: queues, hand_size: 2,
        };
        let mut limit = limit;
        let mut queue = new_queue(limits);
        let mut model: BTreeMap<u64, Entry> = BTreeMap::new();
        let mut removed_ids = BTreeSet::new();
        let (mut now, mut next_id) = (0, 0);
        for operation in operations {
            let mut evicted = Vec::new();
            match operation {
                Operation::Enter { account, class, flow, wait } => {
                    next_id += 1;
                    let share = SHARES[account as usize];
                    let new_entry = Entry { class, share, deadline: now + wait, ..entry(next_id, account, flow) };
                    model.insert(next_id, Entry { class: class.min(1), ..new_entry });
                    queue.enqueue(new_entry, &mut evicted);
                    // An entry is evicted from the account that exceeded its limit, or from the one with the most entries
                    // for its share.
                    for entry in &evicted {
                        let queued_of = |account: u64| model.values().filter(|entry| entry.account == account).count();
                        let relative_load = |account: u64| queued_of(account) as f64 / SHARES[account as usize];
                        let max_load = (0..4).map(relative_load).fold(0.0, f64::max);
                        prop_assert!(entry.account == account || relative_load(entry.account) >= max_load);
                    }
                }
                Operation::Next => {
                    let entry = queue.admit();
                    prop_assert_eq!(entry.is_none(), model.is_empty(), "an entry is admitted whenever one is queued");
                    evicted.extend(entry);
                }
                Operation::Leave(pick) => {
                    if let Some(id) = model.keys().nth(pick % model.len().max(1)).copied() {
                        evicted.extend(queue.remove(id));
                        prop_assert!(queue.remove(id).is_none());
                    }
                }
                Operation::Expire(span) => {
                    now += span;
                    evicted.extend(std::iter::from_fn(|| queue.pop_expired(now)));
                    prop_assert!(evicted.iter().all(|entry| entry.deadline <= now));
                    let remaining = model.values().filter(|entry| entry.deadline <= now).count();
                    prop_assert_eq!(remaining, evicted.len());
                }
                Operation::Limit(entries) => {
                    limit = entries;
                    queue.set_limits(Limits { total: bound(limit), ..limits }, &mut evicted);
                }
            }
            for entry in evicted {
                prop_assert_eq!(model.remove(&entry.id), Some(entry));
                prop_assert!(removed_ids.insert(entry.id), "entry returned twice");
            }
            prop_assert_eq!(queue.len(), model.len());
            prop_assert!(queue.len() <= limit);
            prop_assert_eq!(queue.bytes(), 100 * model.len());
            for account in 0..4 {
                let queued = model.values().filter(|entry| entry.account == account).count();
                prop_assert_eq!(queue.queued_of(account), queued);
                prop_assert!(queued <= account_limit);
            }
            prop_assert_eq!(queue.next_deadline(), model.values().map(|entry| entry.deadline).min());
        }
        let remaining: Vec<u64> = std::iter::from_fn(|| queue.admit()).map(|entry| entry.id).collect();
        prop_assert_eq!(remaining.len(), model.len());
        prop_assert!(remaining.iter().all(|id| model.contains_key(id)));
    }
}
