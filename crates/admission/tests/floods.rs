//! Request floods on a virtual clock: the admission queue in front of a service with limited concurrency. Runs are
//! repeated without the flood and with the same quiet clients, to measure the latency that the flood adds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use beaconflow_admission::*;
use hdrhistogram::Histogram;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// Concurrent setups of the service, each of [`MEAN_SETUP_S`] on average: 200 per second in total.
const CONCURRENT_SETUPS: usize = 20;
const MEAN_SETUP_S: f64 = 0.1;
/// Round trip between client and balancer.
const ROUND_TRIP: Nanos = 25 * MS;

/// What a client does when it is rejected with a retry delay.
#[derive(Clone, Copy, PartialEq)]
enum RetryBehavior {
    /// Sends one request and does not retry.
    Once,
    /// Retries at once regardless of the delay, and sends another request after it was served.
    Immediate,
    /// Retries after the delay until it is served.
    ObeysDelay,
}

#[derive(Clone, Copy)]
struct Client {
    account: u64,
    share: f64,
    flow: u64,
    retry_behavior: RetryBehavior,
    arrives_at: Nanos,
    /// Key of the histogram that records its setup times.
    histogram_key: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Served { client: usize, requested_at: Nanos },
    Arrives { client: usize },
}

struct Rng(u64);

impl Rng {
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

/// Results of a run.
#[derive(Default)]
struct Outcome {
    /// Time and account of each admission, in order.
    admissions: Vec<(Nanos, u64)>,
    /// Times from request to the end of the setup in microseconds, by histogram key.
    setup_times_us: BTreeMap<u64, Histogram<u64>>,
    /// Retries after the given delay, and how many of them were then admitted.
    retries_after_delay: u64,
    admitted_after_delay: u64,
    rejections: BTreeMap<u64, u64>,
}

impl Outcome {
    fn fraction(&self, account: u64, from: Nanos, until: Nanos) -> f64 {
        let inside = self
            .admissions
            .iter()
            .filter(|(at, _)| (from..until).contains(at));
        let (own, all) = inside.fold((0, 0), |(own, all), (_, admitted)| {
            (own + u64::from(*admitted == account), all + 1)
        });
        own as f64 / f64::from(all.max(1) as u32)
    }

    fn p99(&self, account: u64) -> f64 {
        self.setup_times_us[&account].value_at_quantile(0.99) as f64 / 1e3
    }
}

fn run(clients: &[Client], limits: Limits, seed: u64, until: Nanos) -> Outcome {
    let mut queue = AdmissionQueue::new(&[1.0], limits, seed);
    let (mut accounts, mut outcome) = (AccountTable::default(), Outcome::default());
    let mut events: BinaryHeap<Reverse<(Nanos, u64, Event)>> = BinaryHeap::new();
    let (mut sequence, mut running, mut next_id, mut jitter) = (0, 0, 0_u64, Rng(seed));
    // One generator per client, so that its setup times are the same with and without the flood.
    let mut setup_time_rngs: Vec<Rng> = (0..clients.len() as u64)
        .map(|at| Rng(at * 977 + 1))
        .collect();
    let mut waiting: HashMap<u64, (usize, Nanos)> = HashMap::new();
    let mut has_retry_delay: Vec<bool> = vec![false; clients.len()];
    let mut push = |events: &mut BinaryHeap<_>, at: Nanos, event| {
        sequence += 1;
        events.push(Reverse((at, sequence, event)));
    };
    for (client, spec) in clients.iter().enumerate() {
        push(&mut events, spec.arrives_at, Event::Arrives { client });
    }
    let mut evicted = Vec::new();
    while let Some(Reverse((now, _, event))) = events.pop() {
        if now > until {
            break;
        }
        match event {
            Event::Served {
                client,
                requested_at,
            } => {
                running -= 1;
                let histogram_key = clients[client].histogram_key;
                let new = || Histogram::new(3).expect("three significant digits are valid");
                outcome
                    .setup_times_us
                    .entry(histogram_key)
                    .or_insert_with(new)
                    .record((now - requested_at) / 1_000)
                    .expect("the histogram resizes itself");
                if clients[client].retry_behavior == RetryBehavior::Immediate {
                    push(&mut events, now + ROUND_TRIP, Event::Arrives { client });
                }
            }
            Event::Arrives { client } => {
                next_id += 1;
                let spec = clients[client];
                let entry = Entry {
                    id: next_id,
                    account: spec.account,
                    share: spec.share,
                    class: 0,
                    flow: spec.flow,
                    deadline: now + 5 * SECOND,
                    bytes: 500,
                };
                accounts.record_request(now, spec.account, "", spec.share);
                waiting.insert(next_id, (client, now));
                outcome.retries_after_delay += u64::from(has_retry_delay[client]);
                queue.enqueue(entry, &mut evicted);
            }
        }
        evicted.extend(std::iter::from_fn(|| queue.pop_expired(now)));
        while running < CONCURRENT_SETUPS
            && let Some(entry) = queue.admit()
        {
            let (client, requested_at) = waiting.remove(&entry.id).expect("the entry was enqueued");
            running += 1;
            accounts.record_admission(now, entry.account, now - requested_at);
            outcome.admissions.push((now, entry.account));
            outcome.admitted_after_delay += u64::from(std::mem::take(&mut has_retry_delay[client]));
            let setup_time = (setup_time_rngs[client].exponential(MEAN_SETUP_S) * 1e9) as Nanos;
            push(
                &mut events,
                now + setup_time,
                Event::Served {
                    client,
                    requested_at,
                },
            );
        }
        for entry in std::mem::take(&mut evicted) {
            let (client, _) = waiting.remove(&entry.id).expect("the entry was enqueued");
            *outcome
                .rejections
                .entry(clients[client].histogram_key)
                .or_insert(0) += 1;
            has_retry_delay[client] = false;
            let delay = match clients[client].retry_behavior {
                RetryBehavior::Once => continue,
                RetryBehavior::Immediate => ROUND_TRIP,
                RetryBehavior::ObeysDelay => {
                    has_retry_delay[client] = true;
                    let drain = accounts
                        .drain_time(now, entry.account, queue.admission_position(&entry))
                        .unwrap_or(SECOND);
                    // Full jitter, as in the retry delay of a rejection.
                    (drain.min(60 * SECOND) as f64 * (0.05 + 0.95 * jitter.next())) as Nanos
                }
            };
            push(&mut events, now + delay.max(MS), Event::Arrives { client });
        }
    }
    outcome
}

const QUIET: u64 = 1;
const HEAVY: u64 = 2;

/// Clients with one request each, `per_s` per second on average.
fn one_shot_clients(account: u64, share: f64, per_s: f64, until: Nanos) -> Vec<Client> {
    let (mut at, mut clients, mut arrivals) = (0.0, Vec::new(), Rng(account));
    while at < until as f64 / 1e9 {
        at += arrivals.exponential(1.0 / per_s);
        let flow = clients.len() as u64 + (account << 32);
        let arrives_at = (at * 1e9) as Nanos;
        clients.push(Client {
            account,
            share,
            flow,
            retry_behavior: RetryBehavior::Once,
            arrives_at,
            histogram_key: account,
        });
    }
    clients
}

fn flood(account: u64, share: f64, count: u64, from: Nanos) -> Vec<Client> {
    let client_of = |number| {
        let flow = number + (account << 40);
        // The clients start 10 µs apart, since processes do not start at the same instant.
        Client {
            account,
            share,
            flow,
            retry_behavior: RetryBehavior::Immediate,
            arrives_at: from + number * 10_000,
            histogram_key: account,
        }
    };
    (0..count).map(client_of).collect()
}

/// Set-up p99 of a quiet account in milliseconds without and with a flood, and the results with it.
fn p99_without_and_with(
    quiet: Vec<Client>,
    heavy: Vec<Client>,
    until: Nanos,
) -> (f64, f64, Outcome) {
    let without = run(&quiet, Limits::default(), 7, until).p99(QUIET);
    let both: Vec<Client> = quiet.into_iter().chain(heavy).collect();
    let outcome = run(&both, Limits::default(), 7, until);
    (without, outcome.p99(QUIET), outcome)
}

#[test]
fn keeps_quiet_account_latency_under_reconnect_flood() {
    let until = 8 * SECOND;
    let quiet = one_shot_clients(QUIET, 0.42, 40.0, until);
    let (without, with, outcome) =
        p99_without_and_with(quiet, flood(HEAVY, 0.58, 10_000, 0), until);
    println!(
        "quiet p99 {without:.1} ms without, {with:.1} ms with; {:?} rejected",
        outcome.rejections
    );
    assert!(
        with <= 1.05 * without,
        "{without} ms without, {with} ms with"
    );
    assert_eq!(
        outcome.rejections.get(&QUIET),
        None,
        "no request of the quiet account is rejected"
    );
}

#[test]
fn divides_permits_by_share_when_all_accounts_flood() {
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
        let outcome = run(
            &floods.flatten().collect::<Vec<_>>(),
            Limits::default(),
            7,
            until,
        );
        let total_share: f64 = shares.iter().sum();
        for (share, account) in shares.iter().zip(0..) {
            let (fraction, expected) = (
                outcome.fraction(account, SECOND, until),
                share / total_share,
            );
            println!("{shares:?}: {fraction:.4} for {expected:.4}");
            assert!(
                (fraction - expected).abs() < 0.02,
                "got {fraction} of the permits, expected {expected}"
            );
        }
    }
}

#[test]
fn restores_share_of_idle_account_within_a_second() {
    let clients = [flood(1, 0.58, 500, 0), flood(2, 0.42, 500, 10 * SECOND)].concat();
    let outcome = run(&clients, Limits::default(), 7, 20 * SECOND);
    assert!(
        outcome.fraction(1, SECOND, 10 * SECOND) == 1.0,
        "an unused share is lent"
    );
    let (first, second) = (
        outcome.fraction(2, 10 * SECOND, 11 * SECOND),
        outcome.fraction(2, 11 * SECOND, 12 * SECOND),
    );
    println!("{first:.3} of the permits in the first second, {second:.3} in the second");
    assert!(
        (first - 0.42).abs() < 0.02 && (second - 0.42).abs() < 0.02,
        "{first} of the permits in the first second, {second} in the second, expected 0.42"
    );
}

#[test]
fn treats_invalid_share_as_one() {
    let clients = [
        flood(1, f64::NAN, 300, 0),
        flood(2, 3.0, 300, 0),
        flood(0, 0.0, 300, 0),
    ]
    .concat();
    let outcome = run(&clients, Limits::default(), 7, 10 * SECOND);
    for (account, expected) in [(1, 0.2), (2, 0.6), (0, 0.2)] {
        let fraction = outcome.fraction(account, SECOND, 10 * SECOND);
        assert!(
            (fraction - expected).abs() < 0.02,
            "got {fraction} of the permits, expected {expected}"
        );
    }
}

/// Set-up p99 of quiet clients in milliseconds, without and with heavy clients in the same account.
fn p99_within_account(heavy_clients: impl Iterator<Item = u64>, seed: u64) -> (f64, f64) {
    let until = 10 * SECOND;
    let quiet = one_shot_clients(QUIET, 1.0, 60.0, until);
    let without = run(&quiet, Limits::default(), seed, until).p99(QUIET);
    let heavy = |flow| Client {
        flow,
        histogram_key: HEAVY,
        ..flood(QUIET, 1.0, 1, 0)[0]
    };
    let clients: Vec<Client> = quiet.into_iter().chain(heavy_clients.map(heavy)).collect();
    (
        without,
        run(&clients, Limits::default(), seed, until).p99(QUIET),
    )
}

#[test]
fn limits_latency_cost_of_heavy_flows() {
    // One client with 500 connections, a group of 10,000 sites that count as one flow, and three heavy flows.
    for (names, count) in [(1, 500), (1, 10_000), (3, 3_000)] {
        let (without, with) =
            p99_within_account((0..count).map(|number| 1_000 + number % names), 7);
        println!(
            "{count} clients in {names} flows: quiet p99 {without:.1} ms without, {with:.1} ms with"
        );
        // A heavy flow fills its four queues; each gets one permit, worth 5 ms, before a quiet client.
        let admissions = 5.0 * 4.0 * names as f64;
        assert!(
            with <= 1.05 * without + admissions + 5.0,
            "{without} ms without, {with} ms with"
        );
    }
}

#[test]
fn prevents_targeted_collisions_under_unknown_seed() {
    let (known, other, until) = (7, 1_234, 10 * SECOND);
    let mut victim = one_shot_clients(QUIET, 1.0, 20.0, until);
    victim.iter_mut().for_each(|client| client.flow = 1);
    // An attacker that knows the seed can compute four flows that fill all queues of the victim.
    let queue = AdmissionQueue::new(&[1.0], Limits::default(), known);
    let victim_queues: Vec<usize> = queue.candidate_queues(1).collect();
    let collides = |name: &u64| {
        queue
            .candidate_queues(*name)
            .filter(|queue_index| victim_queues.contains(queue_index))
            .count()
            >= 3
    };
    let colliding_flows: Vec<u64> = (1_000_000..).filter(collides).take(4).collect();
    let heavy_clients: Vec<Client> = (0..2_000)
        .map(|at| Client {
            flow: colliding_flows[at % 4],
            histogram_key: HEAVY,
            ..flood(QUIET, 1.0, 1, 0)[0]
        })
        .collect();
    let all = [victim.clone(), heavy_clients].concat();
    let p99 = |clients: &[Client], seed| run(clients, Limits::default(), seed, until).p99(QUIET);
    let (alone_p99, known_seed_p99, other_seed_p99) =
        (p99(&victim, known), p99(&all, known), p99(&all, other));
    println!(
        "victim p99 {alone_p99:.1} ms alone, {known_seed_p99:.1} ms under the known seed, {other_seed_p99:.1} ms under another"
    );
    assert!(
        known_seed_p99 > 5.0 * alone_p99,
        "the flows must collide under the known seed: p99 {known_seed_p99} ms"
    );
    // Four flows reach at most 16 queues; each gets one permit, worth 5 ms, before the victim.
    assert!(
        other_seed_p99 <= 1.05 * alone_p99 + 5.0 * 16.0,
        "{other_seed_p99} ms under another seed"
    );
}

#[test]
fn admits_clients_that_obey_retry_delay() {
    // A burst of ten times the limit, and nothing after it. The retry delays are accurate if clients that keep to
    // them are usually admitted.
    let all = QueueSize {
        entries: 200,
        bytes: usize::MAX,
    };
    let limits = Limits {
        total: all,
        per_account: all,
        per_queue: all,
        ..Limits::default()
    };
    let mut clients = flood(HEAVY, 1.0, 2_000, 0);
    clients
        .iter_mut()
        .for_each(|client| client.retry_behavior = RetryBehavior::ObeysDelay);
    let outcome = run(&clients, limits, 7, 60 * SECOND);
    let fraction = outcome.admitted_after_delay as f64 / outcome.retries_after_delay as f64;
    println!(
        "{} retries after the delay, {:.1}% of them admitted",
        outcome.retries_after_delay,
        fraction * 100.0
    );
    assert_eq!(
        outcome.admissions.len(),
        2_000,
        "every client is served in the end"
    );
    assert!(
        fraction > 0.3,
        "only {fraction} of the retries were admitted"
    );
}

/// Clients of a flooded account wait for their own account; the flood costs no other account's
/// clients anything, whether or not they come for the first time.
#[test]
fn keeps_latency_of_repeats_of_a_quiet_account_under_flood() {
    let until = 8 * SECOND;
    let mut quiet = one_shot_clients(QUIET, 1.0, 5.0, until);
    // The same clients come again after they were served.
    quiet
        .iter_mut()
        .step_by(4)
        .for_each(|client| client.retry_behavior = RetryBehavior::Immediate);
    let (without, with, outcome) = p99_without_and_with(quiet, flood(HEAVY, 1.0, 10_000, 0), until);
    println!("p99 of repeats {without:.1} ms without, {with:.1} ms with");
    assert!(
        with <= 1.05 * without,
        "{without} ms without, {with} ms with"
    );
    assert_eq!(outcome.rejections.get(&QUIET), None);
}
