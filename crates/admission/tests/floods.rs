//! Floods on a virtual clock: a door in front of a service that takes so many set-ups at once, and clients of many
//! habits. Each run is repeated without its flood, with the same quiet clients, to tell what the flood cost them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use beaconflow_admission::*;
use hdrhistogram::Histogram;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// Set-ups that the service takes at once, and how long one takes on average: 200 a second in all.
const WINDOW: usize = 20;
const MEAN: f64 = 0.1;
/// A client's way to the door and back.
const ROUND: Nanos = 25 * MS;

/// What a client does when it is told to come again.
#[derive(Clone, Copy, PartialEq)]
enum Habit {
    /// It opens once, at its moment.
    Once,
    /// It is there again at once, whatever it was told; also after it was served.
    AtOnce,
    /// It comes back at the told time until it is served.
    Obeys,
}

#[derive(Clone, Copy)]
struct Client {
    account: u64,
    share: f64,
    flow: u64,
    habit: Habit,
    from: Nanos,
    returns: bool,
    /// Under which its set-ups are kept.
    kept: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Served { client: usize, since: Nanos },
    Comes { client: usize },
}

struct Chance(u64);

impl Chance {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.next()).ln()
    }
}

/// What came of a run.
#[derive(Default)]
struct Told {
    /// Turns as they were given: when, and to which account.
    turns: Vec<(Nanos, u64)>,
    /// Whole set-up times in microseconds, by what they are kept under.
    took: BTreeMap<u64, Histogram<u64>>,
    /// Clients that came back at the told time, and those of them that were then admitted.
    came_back: u64,
    then_admitted: u64,
    refused: BTreeMap<u64, u64>,
}

impl Told {
    fn part(&self, account: u64, from: Nanos, until: Nanos) -> f64 {
        let inside = self
            .turns
            .iter()
            .filter(|(at, _)| (from..until).contains(at));
        let (own, all) = inside.fold((0, 0), |(own, all), (_, of)| {
            (own + u64::from(*of == account), all + 1)
        });
        own as f64 / f64::from(all.max(1) as u32)
    }

    fn p99(&self, account: u64) -> f64 {
        self.took[&account].value_at_quantile(0.99) as f64 / 1e3
    }
}

fn run(clients: &[Client], limits: Limits, seed: u64, until: Nanos) -> Told {
    let mut door = AdmissionQueue::new(&[1.0], limits, seed);
    let (mut tallies, mut told) = (AccountTable::default(), Told::default());
    let mut events: BinaryHeap<Reverse<(Nanos, u64, What)>> = BinaryHeap::new();
    let (mut order, mut out, mut next, mut luck) = (0, 0, 0_u64, Chance(seed));
    // A client's own chance: the same with and without a flood beside it.
    let mut spans: Vec<Chance> = (0..clients.len() as u64)
        .map(|at| Chance(at * 977 + 1))
        .collect();
    let mut waiting: HashMap<u64, (usize, Nanos)> = HashMap::new();
    let mut told_to: Vec<bool> = vec![false; clients.len()];
    let mut push = |events: &mut BinaryHeap<_>, at: Nanos, what| {
        order += 1;
        events.push(Reverse((at, order, what)));
    };
    for (client, habits) in clients.iter().enumerate() {
        push(&mut events, habits.from, What::Comes { client });
    }
    let mut gone = Vec::new();
    while let Some(Reverse((now, _, what))) = events.pop() {
        if now > until {
            break;
        }
        match what {
            What::Served { client, since } => {
                out -= 1;
                let kept = clients[client].kept;
                let new = || Histogram::new(3).expect("three digits");
                told.took
                    .entry(kept)
                    .or_insert_with(new)
                    .record((now - since) / 1_000)
                    .expect("it grows");
                if clients[client].habit == Habit::AtOnce {
                    push(&mut events, now + ROUND, What::Comes { client });
                }
            }
            What::Comes { client } => {
                next += 1;
                let of = clients[client];
                let entry = Entry {
                    id: next,
                    account: of.account,
                    share: of.share,
                    class: 0,
                    flow: of.flow,
                    deadline: now + 5 * SECOND,
                    is_returning: of.returns,
                    bytes: 500,
                };
                tallies.asked(now, of.account, "", of.share);
                waiting.insert(next, (client, now));
                told.came_back += u64::from(told_to[client]);
                door.enter(entry, &mut gone);
            }
        }
        gone.extend(std::iter::from_fn(|| door.expire(now)));
        while out < WINDOW
            && let Some(entry) = door.admit()
        {
            let (client, since) = waiting.remove(&entry.id).expect("it came");
            out += 1;
            tallies.admitted(now, entry.account, now - since);
            told.turns.push((now, entry.account));
            told.then_admitted += u64::from(std::mem::take(&mut told_to[client]));
            let span = (spans[client].exponential(MEAN) * 1e9) as Nanos;
            push(&mut events, now + span, What::Served { client, since });
        }
        for entry in std::mem::take(&mut gone) {
            let (client, _) = waiting.remove(&entry.id).expect("it came");
            *told.refused.entry(clients[client].kept).or_insert(0) += 1;
            told_to[client] = false;
            let after = match clients[client].habit {
                Habit::Once => continue,
                Habit::AtOnce => ROUND,
                Habit::Obeys => {
                    told_to[client] = true;
                    let drain = tallies
                        .drain(now, entry.account, door.ahead_of(&entry))
                        .unwrap_or(SECOND);
                    // Full jitter, as the module words it.
                    (drain.min(60 * SECOND) as f64 * (0.05 + 0.95 * luck.next())) as Nanos
                }
            };
            push(&mut events, now + after.max(MS), What::Comes { client });
        }
    }
    told
}

const QUIET: u64 = 1;
const LOUD: u64 = 2;

/// Clients that come once each, so many a second.
fn steady(account: u64, share: f64, a_second: f64, until: Nanos) -> Vec<Client> {
    let (mut at, mut clients, mut chance) = (0.0, Vec::new(), Chance(account));
    while at < until as f64 / 1e9 {
        at += chance.exponential(1.0 / a_second);
        let flow = clients.len() as u64 + (account << 32);
        let from = (at * 1e9) as Nanos;
        clients.push(Client {
            account,
            share,
            flow,
            habit: Habit::Once,
            from,
            returns: false,
            kept: account,
        });
    }
    clients
}

fn flood(account: u64, share: f64, count: u64, from: Nanos) -> Vec<Client> {
    let one = |number| {
        let flow = number + (account << 40);
        // They begin over some time, as processes do.
        Client {
            account,
            share,
            flow,
            habit: Habit::AtOnce,
            from: from + number * 10_000,
            returns: false,
            kept: account,
        }
    };
    (0..count).map(one).collect()
}

/// What a flood costs a quiet account: its set-up p99 in milliseconds, without and with.
fn cost(quiet: Vec<Client>, loud: Vec<Client>, until: Nanos) -> (f64, f64, Told) {
    let without = run(&quiet, Limits::default(), 7, until).p99(QUIET);
    let both: Vec<Client> = quiet.into_iter().chain(loud).collect();
    let told = run(&both, Limits::default(), 7, until);
    (without, told.p99(QUIET), told)
}

#[test]
fn ten_thousand_that_come_back_at_once_cost_a_quiet_account_nothing() {
    let until = 8 * SECOND;
    let quiet = steady(QUIET, 0.42, 40.0, until);
    let (without, with, told) = cost(quiet, flood(LOUD, 0.58, 10_000, 0), until);
    println!(
        "quiet p99 {without:.1} ms without, {with:.1} ms with; {:?} refused",
        told.refused
    );
    assert!(
        with <= 1.05 * without,
        "{without} ms without, {with} ms with"
    );
    assert_eq!(
        told.refused.get(&QUIET),
        None,
        "none of the quiet account gave way"
    );
}

#[test]
fn every_account_gets_its_share_under_floods_of_all() {
    for shares in [
        &[0.58, 0.42][..],
        &[1.0, 1_000.0],
        &[1.0, 10.0, 100.0, 889.0],
    ] {
        let until = 20 * SECOND;
        let floods = shares
            .iter()
            .zip(0..)
            .map(|(share, account)| flood(account, *share, 1_000, 0));
        let told = run(
            &floods.flatten().collect::<Vec<_>>(),
            Limits::default(),
            7,
            until,
        );
        let whole: f64 = shares.iter().sum();
        for (share, account) in shares.iter().zip(0..) {
            let (part, due) = (told.part(account, SECOND, until), share / whole);
            println!("{shares:?}: {part:.4} for {due:.4}");
            assert!((part - due).abs() < 0.02, "{part} for {due}");
        }
    }
}

#[test]
fn an_account_that_was_silent_has_its_share_within_a_second() {
    let clients = [flood(1, 0.58, 500, 0), flood(2, 0.42, 500, 10 * SECOND)].concat();
    let told = run(&clients, Limits::default(), 7, 20 * SECOND);
    assert!(
        told.part(1, SECOND, 10 * SECOND) == 1.0,
        "what is unused is lent"
    );
    let (first, second) = (
        told.part(2, 10 * SECOND, 11 * SECOND),
        told.part(2, 11 * SECOND, 12 * SECOND),
    );
    println!("{first:.3} of the turns in the first second, {second:.3} in the second");
    assert!(
        (first - 0.42).abs() < 0.02 && (second - 0.42).abs() < 0.02,
        "{first}, {second}"
    );
}

#[test]
fn accounts_without_a_share_and_unknown_ones_get_the_part_of_one() {
    let clients = [
        flood(1, f64::NAN, 300, 0),
        flood(2, 3.0, 300, 0),
        flood(0, 0.0, 300, 0),
    ]
    .concat();
    let told = run(&clients, Limits::default(), 7, 10 * SECOND);
    for (account, due) in [(1, 0.2), (2, 0.6), (0, 0.2)] {
        let part = told.part(account, SECOND, 10 * SECOND);
        assert!((part - due).abs() < 0.02, "{part} for {due}");
    }
}

/// What a crowd in its own account costs the quiet names there: their p99 in milliseconds, without and with.
fn cost_within(crowd: impl Iterator<Item = u64>, seed: u64) -> (f64, f64) {
    let until = 10 * SECOND;
    let quiet = steady(QUIET, 1.0, 60.0, until);
    let without = run(&quiet, Limits::default(), seed, until).p99(QUIET);
    let loud = |flow| Client {
        flow,
        kept: LOUD,
        ..flood(QUIET, 1.0, 1, 0)[0]
    };
    let all: Vec<Client> = quiet.into_iter().chain(crowd.map(loud)).collect();
    (
        without,
        run(&all, Limits::default(), seed, until).p99(QUIET),
    )
}

#[test]
fn one_loud_name_and_one_large_group_cost_their_neighbours_little() {
    // One client that opens all; a group of ten thousand sites, which is one name here; and three of them.
    for (names, count) in [(1, 500), (1, 10_000), (3, 3_000)] {
        let (without, with) = cost_within((0..count).map(|number| 1_000 + number % names), 7);
        println!(
            "{count} under {names} names: quiet p99 {without:.1} ms without, {with:.1} ms with"
        );
        // A loud name holds its hand of four queues; each has a turn, of 5 ms, before a quiet name's.
        let turns = 5.0 * 4.0 * names as f64;
        assert!(
            with <= 1.05 * without + turns + 5.0,
            "{without} ms without, {with} ms with"
        );
    }
}

#[test]
fn names_that_are_chosen_to_meet_a_victim_under_another_seed_miss_it() {
    let (known, other, until) = (7, 1_234, 10 * SECOND);
    let mut victim = steady(QUIET, 1.0, 20.0, until);
    victim.iter_mut().for_each(|client| client.flow = 1);
    // What somebody can work out who knows a door's seed: four names that hold the victim's whole hand there.
    let door = AdmissionQueue::new(&[1.0], Limits::default(), known);
    let hand: Vec<usize> = door.candidate_queues(1).collect();
    let meets = |name: &u64| {
        door.candidate_queues(*name)
            .filter(|card| hand.contains(card))
            .count()
            >= 3
    };
    let chosen: Vec<u64> = (1_000_000..).filter(meets).take(4).collect();
    let crowd: Vec<Client> = (0..2_000)
        .map(|at| Client {
            flow: chosen[at % 4],
            kept: LOUD,
            ..flood(QUIET, 1.0, 1, 0)[0]
        })
        .collect();
    let all = [victim.clone(), crowd].concat();
    let p99 = |clients: &[Client], seed| run(clients, Limits::default(), seed, until).p99(QUIET);
    let (alone, met, missed) = (p99(&victim, known), p99(&all, known), p99(&all, other));
    println!(
        "victim p99 {alone:.1} ms alone, {met:.1} ms under the known seed, {missed:.1} ms under another"
    );
    assert!(met > 5.0 * alone, "the names were chosen well: {met}");
    // Four names reach sixteen queues at most; each has a turn of 5 ms before the victim's.
    assert!(
        missed <= 1.05 * alone + 5.0 * 16.0,
        "{missed} ms under another seed"
    );
}

#[test]
fn those_who_come_back_at_the_told_time_are_then_admitted() {
    // A burst of ten times what fits the door, and nothing after it: the told times are honest if most of those who
    // keep to them find room.
    let all = Bound {
        entries: 200,
        bytes: usize::MAX,
    };
    let limits = Limits {
        all,
        account: all,
        queue: all,
        ..Limits::default()
    };
    let mut clients = flood(LOUD, 1.0, 2_000, 0);
    clients
        .iter_mut()
        .for_each(|client| client.habit = Habit::Obeys);
    let told = run(&clients, limits, 7, 60 * SECOND);
    let part = told.then_admitted as f64 / told.came_back as f64;
    println!(
        "{} came back at the told time, {:.1}% of them were then admitted",
        told.came_back,
        part * 100.0
    );
    assert_eq!(told.turns.len(), 2_000, "each was served in the end");
    assert!(part > 0.3, "{part}");
}

#[test]
fn a_client_that_returns_after_a_move_waits_behind_no_flood() {
    let until = 8 * SECOND;
    let mut quiet = steady(LOUD, 1.0, 5.0, until);
    quiet
        .iter_mut()
        .for_each(|client| (client.returns, client.kept) = (true, QUIET));
    let (without, with, told) = cost(quiet, flood(LOUD, 1.0, 10_000, 0), until);
    println!("returning p99 {without:.1} ms without, {with:.1} ms with");
    assert!(
        with <= 1.05 * without,
        "{without} ms without, {with} ms with"
    );
    assert_eq!(told.refused.get(&QUIET), None);
}
