use super::*;

fn add(hold: &mut MessageHold, bytes: &[u8], boundary: Option<usize>) -> Vec<u8> {
    hold.add(bytes.to_vec(), boundary)
}

#[test]
fn holds_incomplete_message_until_it_is_complete() {
    let budget = HeldBytes::default();
    let mut hold = MessageHold::new(Some(budget.clone()));
    assert_eq!(add(&mut hold, b"one,tw", Some(4)), b"one,");
    assert_eq!(add(&mut hold, b"o", None), b"");
    assert!(hold.is_between_messages());
    assert_eq!(budget.0.load(Ordering::Relaxed), 3);
    assert_eq!(add(&mut hold, b",three,", Some(7)), b"two,three,");
    assert_eq!(budget.0.load(Ordering::Relaxed), 0);
    assert_eq!(add(&mut hold, b"fo", None), b"");
    drop(hold);
    assert_eq!(budget.0.load(Ordering::Relaxed), 0, "a close releases it");
}

#[test]
fn passes_message_on_beyond_budget() {
    let budget = HeldBytes::default();
    assert!(budget.reserve(MAX_HELD_BYTES - 3));
    let mut hold = MessageHold::new(Some(budget.clone()));
    assert_eq!(add(&mut hold, b"abc", None), b"");
    assert_eq!(add(&mut hold, b"d", None), b"abcd");
    assert!(!hold.is_between_messages());
    // The rest of a message that has begun is not held back, though there is room again.
    assert_eq!(add(&mut hold, b"ef", None), b"ef");
    assert_eq!(add(&mut hold, b"g,h", Some(2)), b"g,");
    assert!(hold.is_between_messages());
    assert_eq!(budget.0.load(Ordering::Relaxed), MAX_HELD_BYTES - 2);
}

#[test]
fn passes_everything_on_without_budget() {
    let mut hold = MessageHold::new(None);
    assert_eq!(add(&mut hold, b"ab", None), b"ab");
    assert_eq!(add(&mut hold, b"c,d", Some(2)), b"c,d");
}
