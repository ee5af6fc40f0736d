//! Per-account statistics: counts, rates, drain times and reports of accounts over their quota.
//! Also the memory of rejected clients and the estimate of the shortest set-up time.

use beaconflow_admission::*;
use proptest::prelude::*;

const SECOND: Nanos = 1_000_000_000;

/// Records requests and admissions of two accounts with equal shares for `seconds`; the rates are per
/// second. Returns the end time.
fn simulate_load(
    accounts: &mut AccountTable,
    start: Nanos,
    seconds: u64,
    first_rate: u64,
    second_rate: u64,
) -> Nanos {
    for (account, rate) in [(1, first_rate), (2, second_rate)] {
        for index in 0..seconds * rate {
            let now = start + index * SECOND / rate;
            accounts.record_request(
                now,
                account,
                if account == 1 { "acme" } else { "bright" },
                1.0,
            );
        }
    }
    let mut admissions: Vec<(Nanos, u64)> = Vec::new();
    for (account, rate) in [(1, first_rate), (2, second_rate)] {
        admissions
            .extend((0..seconds * rate).map(|index| (start + index * SECOND / rate, account)));
    }
    admissions.sort_unstable();
    admissions
        .into_iter()
        .for_each(|(now, account)| accounts.record_admission(now, account, SECOND / 100));
    start + seconds * SECOND
}

#[test]
fn estimates_drain_time_from_recent_rate() {
    let mut accounts = AccountTable::default();
    assert_eq!(accounts.drain_time(0, 1, 10), None, "no rate is known yet");
    let now = simulate_load(&mut accounts, 0, 20, 50, 10);
    for (account, rate) in [(1, 50.0), (2, 30.0)] {
        // The second account requests 10 per second, but its share of the total rate is 30 per second.
        let drain_s = accounts
            .drain_time(now, account, 100)
            .expect("a rate is known") as f64
            / SECOND as f64;
        assert!(
            (drain_s / (100.0 / rate) - 1.0).abs() < 0.1,
            "{drain_s} s for 100 entries at {rate} per second"
        );
    }
    assert_eq!(
        accounts.drain_time(now + 3_600 * SECOND, 1, 10),
        None,
        "the rate has decayed"
    );
}

#[test]
fn reports_excess_once_after_bound() {
    let mut accounts = AccountTable::default();
    let mut now = simulate_load(&mut accounts, 0, 10, 90, 10);
    let borrowed = |accounts: &AccountTable, position: usize| {
        accounts.sorted_by_name()[position].1.counts.borrowed
    };
    assert!(
        borrowed(&accounts, 0) > 800 && borrowed(&accounts, 1) == 0,
        "{} and {} borrowed permits",
        borrowed(&accounts, 0),
        borrowed(&accounts, 1)
    );
    assert_eq!(
        accounts.check_shares(now, 5 * SECOND),
        [],
        "the excess is shorter than the bound"
    );
    now = simulate_load(&mut accounts, now, 6, 90, 10);
    let excesses = accounts.check_shares(now, 5 * SECOND);
    assert!(
        excesses.len() == 1
            && &*excesses[0].name == "acme"
            && excesses[0].duration >= Some(5 * SECOND),
        "{excesses:?}"
    );
    assert!(
        (excesses[0].fraction - 0.9).abs() < 0.03 && excesses[0].entitled_fraction == 0.5,
        "{excesses:?}"
    );
    assert_eq!(
        accounts.check_shares(now, 5 * SECOND),
        [],
        "the excess is reported once"
    );
    now = simulate_load(&mut accounts, now, 20, 30, 30);
    let excesses = accounts.check_shares(now, 5 * SECOND);
    assert!(
        excesses.len() == 1 && excesses[0].duration.is_none(),
        "the end of the excess is reported: {excesses:?}"
    );
}

#[test]
fn reports_no_excess_of_lone_account() {
    let mut accounts = AccountTable::default();
    accounts.record_request(0, 2, "bright", 1.0);
    let mut now = 0;
    for _ in 0..30 {
        for _ in 0..50 {
            now += SECOND / 50;
            accounts.record_request(now, 1, "acme", 1.0);
            accounts.record_admission(now, 1, SECOND / 1_000);
        }
        assert_eq!(accounts.check_shares(now, SECOND), []);
    }
}

#[test]
fn evicts_account_with_oldest_request() {
    let mut accounts = AccountTable::default();
    for account in 0..5_000 {
        accounts.record_request(account, account, "a", 1.0);
        accounts.record_not_admitted(account, NotAdmitted::Rejected);
    }
    let statistics = accounts.sorted_by_name();
    assert_eq!(statistics.len(), 4_096, "the number of accounts is bounded");
    assert!(
        statistics
            .iter()
            .all(|(account, statistics)| *account >= 904 && statistics.counts.rejected == 1),
        "the 904 accounts with the oldest requests are evicted"
    );
}

#[test]
fn lowers_estimate_at_once_and_raises_it_slowly() {
    let mut shortest_setup = ShortestSetup::default();
    assert_eq!(shortest_setup.estimate(), 0);
    [100, 400, 90, 900]
        .into_iter()
        .for_each(|setup_us| shortest_setup.record(setup_us * 1_000));
    assert!(
        (90_000..110_000).contains(&shortest_setup.estimate()),
        "{}",
        shortest_setup.estimate()
    );
    (0..500).for_each(|_| shortest_setup.record(400_000));
    assert!(
        shortest_setup.estimate() > 390_000,
        "the estimate follows a service that became slow: {}",
        shortest_setup.estimate()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Compares the counts with sums kept by the test: each request counts under one outcome in any order, and borrowed
    /// permits are part of the admitted ones.
    #[test]
    fn counts_each_request_once(requests in prop::collection::vec((0..4_u64, 0..5_u8, 0..2_000_u64), 1..300)) {
        let mut accounts = AccountTable::default();
        // Requests, admitted, rejected, timed out and client left, by account.
        let mut expected = std::collections::BTreeMap::<u64, [u64; 5]>::new();
        let mut now = 0;
        for (account, outcome, wait_ms) in requests {
            now += wait_ms * 1_000_000;
            let expected_counts = expected.entry(account).or_default();
            accounts.record_request(now, account, &account.to_string(), 1.0 + account as f64);
            expected_counts[0] += 1;
            match outcome {
                0 | 1 => {
                    accounts.record_admission(now, account, wait_ms * 1_000_000);
                    expected_counts[1] += 1;
                }
                2 => accounts.record_not_admitted(account, NotAdmitted::Rejected),
                3 => accounts.record_not_admitted(account, NotAdmitted::TimedOut),
                _ => accounts.record_not_admitted(account, NotAdmitted::ClientLeft),
            }
            if outcome > 1 {
                expected_counts[outcome as usize] += 1;
            }
            for excess in accounts.check_shares(now, SECOND) {
                prop_assert!(excess.duration.is_none_or(|duration| duration >= SECOND));
            }
            prop_assert!(accounts.drain_time(now, account, 3).is_none_or(|drain_time| drain_time > 0));
        }
        for (account, statistics) in accounts.sorted_by_name() {
            let Counts { requests, admitted, borrowed, rejected, timed_out, client_left } = statistics.counts;
            prop_assert_eq!([requests, admitted, rejected, timed_out, client_left], expected[&account]);
            prop_assert!(borrowed <= admitted && statistics.wait_ms.len() == admitted);
        }
    }
}
