//! Counts, rates, times to come back and word of accounts over their shares.

use beaconflow_admission::*;
use proptest::prelude::*;

const SECOND: Nanos = 1_000_000_000;

/// Two accounts of equal shares, of which the first gets so many attempts a second and the second so many.
fn play(tallies: &mut AccountTable, from: Nanos, seconds: u64, first: u64, second: u64) -> Nanos {
    for (account, rate) in [(1, first), (2, second)] {
        for at in 0..seconds * rate {
            let now = from + at * SECOND / rate;
            tallies.asked(
                now,
                account,
                if account == 1 { "acme" } else { "bright" },
                1.0,
            );
        }
    }
    let mut attempts: Vec<(Nanos, u64)> = Vec::new();
    for (account, rate) in [(1, first), (2, second)] {
        attempts.extend((0..seconds * rate).map(|at| (from + at * SECOND / rate, account)));
    }
    attempts.sort_unstable();
    attempts
        .into_iter()
        .for_each(|(now, account)| tallies.admitted(now, account, SECOND / 100));
    from + seconds * SECOND
}

#[test]
fn a_line_drains_at_the_rate_that_was_measured() {
    let mut tallies = AccountTable::default();
    assert_eq!(tallies.drain(0, 1, 10), None, "nothing is known");
    let now = play(&mut tallies, 0, 20, 50, 10);
    for (account, rate) in [(1, 50.0), (2, 30.0)] {
        // The second takes few, but its share of all is 30 a second: as fast would its line be worked off.
        let drain = tallies.drain(now, account, 100).expect("known") as f64 / SECOND as f64;
        assert!(
            (drain / (100.0 / rate) - 1.0).abs() < 0.1,
            "{drain} s for 100 at {rate} a second"
        );
    }
    assert_eq!(
        tallies.drain(now + 3_600 * SECOND, 1, 10),
        None,
        "too long ago to tell"
    );
}

#[test]
fn what_goes_beyond_a_share_is_lent_and_told_once_after_the_bound() {
    let mut tallies = AccountTable::default();
    let mut now = play(&mut tallies, 0, 10, 90, 10);
    let lent = |tallies: &AccountTable, at: usize| tallies.all()[at].1.counts.lent;
    assert!(
        lent(&tallies, 0) > 800 && lent(&tallies, 1) == 0,
        "{} and {}",
        lent(&tallies, 0),
        lent(&tallies, 1)
    );
    assert_eq!(tallies.over_share(now, 5 * SECOND), [], "not for long yet");
    now = play(&mut tallies, now, 6, 90, 10);
    let news = tallies.over_share(now, 5 * SECOND);
    assert!(
        news.len() == 1 && &*news[0].name == "acme" && news[0].duration >= Some(5 * SECOND),
        "{news:?}"
    );
    assert!(
        (news[0].fraction - 0.9).abs() < 0.03 && news[0].entitled_fraction == 0.5,
        "{news:?}"
    );
    assert_eq!(tallies.over_share(now, 5 * SECOND), [], "told once");
    now = play(&mut tallies, now, 20, 30, 30);
    let news = tallies.over_share(now, 5 * SECOND);
    assert!(
        news.len() == 1 && news[0].duration.is_none(),
        "it is over: {news:?}"
    );
}

#[test]
fn an_account_that_is_alone_takes_nothing_from_anybody() {
    let mut tallies = AccountTable::default();
    tallies.asked(0, 2, "bright", 1.0);
    let mut now = 0;
    for _ in 0..30 {
        for _ in 0..50 {
            now += SECOND / 50;
            tallies.asked(now, 1, "acme", 1.0);
            tallies.admitted(now, 1, SECOND / 1_000);
        }
        assert_eq!(tallies.over_share(now, SECOND), []);
    }
}

#[test]
fn counts_are_bounded_by_the_accounts_that_asked_last() {
    let mut tallies = AccountTable::default();
    for account in 0..5_000 {
        tallies.asked(account, account, "a", 1.0);
        tallies.missed(account, NotAdmitted::Rejected);
    }
    let all = tallies.all();
    assert_eq!(all.len(), 4_096);
    assert!(
        all.iter()
            .all(|(account, tally)| *account >= 904 && tally.counts.refused == 1)
    );
}

#[test]
fn a_client_is_known_once_for_each_move_and_not_for_ever() {
    let mut returning = RejectedClients::default();
    returning.record_rejection(0, 7);
    returning.record_rejection(SECOND, 7);
    assert!(returning.take_return(2 * SECOND, 7) && returning.take_return(3 * SECOND, 7));
    assert!(
        !returning.take_return(3 * SECOND, 7),
        "a flood under its name gains nothing"
    );
    returning.record_rejection(4 * SECOND, 7);
    assert!(!returning.take_return(40 * SECOND, 7), "it comes too late");
    (0..10_000).for_each(|client| returning.record_rejection(50 * SECOND, client));
    assert!(
        !returning.take_return(50 * SECOND, 0) && returning.take_return(50 * SECOND, 9_999),
        "the latest are known"
    );
}

#[test]
fn the_quickest_follows_what_set_ups_take_down_at_once_and_up_slowly() {
    let mut quickest = Quickest::default();
    assert_eq!(quickest.get(), 0);
    [100, 400, 90, 900]
        .into_iter()
        .for_each(|span| quickest.took(span * 1_000));
    assert!(
        (90_000..110_000).contains(&quickest.get()),
        "{}",
        quickest.get()
    );
    (0..500).for_each(|_| quickest.took(400_000));
    assert!(
        quickest.get() > 390_000,
        "a service that has become slow: {}",
        quickest.get()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Against plain sums: whatever comes in whatever order, each request is counted under one end and lent ones are
    /// admitted ones.
    #[test]
    fn every_request_is_counted_once(deeds in prop::collection::vec((0..4_u64, 0..5_u8, 0..2_000_u64), 1..300)) {
        let mut tallies = AccountTable::default();
        let mut plain = std::collections::BTreeMap::<u64, [u64; 5]>::new();
        let mut now = 0;
        for (account, what, wait) in deeds {
            now += wait * 1_000_000;
            let sums = plain.entry(account).or_default();
            tallies.asked(now, account, &account.to_string(), 1.0 + account as f64);
            sums[0] += 1;
            match what {
                0 | 1 => {
                    tallies.admitted(now, account, wait * 1_000_000);
                    sums[1] += 1;
                }
                2 => tallies.missed(account, NotAdmitted::Rejected),
                3 => tallies.missed(account, NotAdmitted::TimedOut),
                _ => tallies.missed(account, NotAdmitted::ClientLeft),
            }
            if what > 1 {
                sums[what as usize] += 1;
            }
            for news in tallies.over_share(now, SECOND) {
                prop_assert!(news.duration.is_none_or(|lasts| lasts >= SECOND));
            }
            prop_assert!(tallies.drain(now, account, 3).is_none_or(|span| span > 0));
        }
        for (account, tally) in tallies.all() {
            let Counts { asked, admitted, lent, refused, given_up, left } = tally.counts;
            prop_assert_eq!([asked, admitted, refused, given_up, left], plain[&account]);
            prop_assert!(lent <= admitted && tally.waits.len() == admitted);
        }
    }
}
