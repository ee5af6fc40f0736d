use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;

proptest! {
    /// Each counter is accepted once at most, in any order, and accepted at first sight if it is
    /// within the window.
    #[test]
    fn accepts_each_counter_once(counters in prop::collection::vec(0u64..1_000, 1..300)) {
        let (mut senders, mut seen, mut last) = (Senders::default(), BTreeSet::new(), 0);
        for (n, counter) in counters.into_iter().enumerate() {
            last = if n == 0 { counter } else { last.max(counter) };
            let is_fresh = last - counter < REPLAY_WINDOW && seen.insert(counter);
            let order = senders.record("a", (1, 7), counter, n as Millis);
            prop_assert_eq!(order, if is_fresh { DatagramOrder::Fresh } else { DatagramOrder::Duplicate });
        }
    }
}

#[test]
fn detects_datagrams_of_earlier_incarnation() {
    let mut senders = Senders::default();
    assert_eq!(senders.record("a", (1, 7), 900, 0), DatagramOrder::Fresh);
    assert_eq!(senders.record("a", (2, 3), 1, 1), DatagramOrder::Fresh);
    assert_eq!(
        senders.record("a", (1, 7), 900, 2),
        DatagramOrder::Earlier { is_fresh: false }
    );
    assert_eq!(
        senders.record("a", (1, 7), 901, 3),
        DatagramOrder::Earlier { is_fresh: true }
    );
    assert_eq!(senders.record("a", (2, 3), 2, 4), DatagramOrder::Fresh);
    // The same incarnation number with another start nonce.
    assert_eq!(
        senders.record("a", (2, 2), 3, 5),
        DatagramOrder::Earlier { is_fresh: true }
    );
    assert_eq!(senders.record("a", (2, 4), 1, 6), DatagramOrder::Fresh);
}

#[test]
fn evicts_oldest_sender_beyond_limit() {
    let mut senders = Senders::default();
    for n in 0..=MAX_SENDERS as u64 {
        senders.record(&n.to_string(), (1, 1), 5, n);
    }
    assert_eq!(senders.0.len(), MAX_SENDERS);
    assert_eq!(
        senders.record("1", (1, 1), 5, 9_000),
        DatagramOrder::Duplicate
    );
    assert_eq!(senders.record("0", (1, 1), 5, 9_001), DatagramOrder::Fresh);
}
