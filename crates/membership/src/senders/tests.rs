use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;

proptest! {
    /// Whatever the order, each counter is fresh once at most, and at once when it is within the window.
    #[test]
    fn a_counter_is_fresh_once(counters in prop::collection::vec(0u64..1_000, 1..300)) {
        let (mut senders, mut seen, mut last) = (Senders::default(), BTreeSet::new(), 0);
        for (n, counter) in counters.into_iter().enumerate() {
            last = if n == 0 { counter } else { last.max(counter) };
            let fresh = last - counter < WINDOW && seen.insert(counter);
            let heard = senders.hear("a", (1, 7), counter, n as Millis);
            prop_assert_eq!(heard, if fresh { DatagramOrder::Fresh } else { DatagramOrder::Duplicate });
        }
    }
}

#[test]
fn an_earlier_life_is_heard_no_more() {
    let mut senders = Senders::default();
    assert_eq!(senders.hear("a", (1, 7), 900, 0), DatagramOrder::Fresh);
    assert_eq!(senders.hear("a", (2, 3), 1, 1), DatagramOrder::Fresh);
    assert_eq!(
        senders.hear("a", (1, 7), 900, 2),
        DatagramOrder::Earlier { is_fresh: false }
    );
    assert_eq!(
        senders.hear("a", (1, 7), 901, 3),
        DatagramOrder::Earlier { is_fresh: true }
    );
    assert_eq!(senders.hear("a", (2, 3), 2, 4), DatagramOrder::Fresh);
    // The same boot number again, by another life.
    assert_eq!(
        senders.hear("a", (2, 2), 3, 5),
        DatagramOrder::Earlier { is_fresh: true }
    );
    assert_eq!(senders.hear("a", (2, 4), 1, 6), DatagramOrder::Fresh);
}

#[test]
fn senders_beyond_the_bound_give_way_oldest_first() {
    let mut senders = Senders::default();
    for n in 0..=MOST as u64 {
        senders.hear(&n.to_string(), (1, 1), 5, n);
    }
    assert_eq!(senders.0.len(), MOST);
    assert_eq!(
        senders.hear("1", (1, 1), 5, 9_000),
        DatagramOrder::Duplicate
    );
    assert_eq!(senders.hear("0", (1, 1), 5, 9_001), DatagramOrder::Fresh);
}
