use super::*;

fn put(kind: u32, subject: u8, value: &[u8]) -> Change {
    Change::Put(Record {
        kind,
        subject: vec![subject],
        value: value.to_vec(),
        observed_at_ms: 1,
    })
}

fn delete(kind: u32, subject: u8) -> Change {
    Change::Delete {
        kind,
        subject: vec![subject],
    }
}

#[test]
fn replaces_earlier_change_of_same_subject() {
    let mut queue = Queue::default();
    for change in [
        put(1, 1, b"a"),
        put(1, 1, b"bb"),
        put(2, 1, b"c"),
        delete(2, 1),
        put(1, 2, b""),
    ] {
        assert_eq!(queue.put(change, usize::MAX), 0);
    }
    assert_eq!(
        (queue.len(), queue.bytes()),
        (3, 3 * CHANGE_OVERHEAD_BYTES + 5)
    );
    let mut later = Queue::default();
    later.put(delete(1, 1), usize::MAX);
    later.put(put(2, 1, b"d"), usize::MAX);
    queue.append(later, usize::MAX);
    assert_eq!(queue.bytes(), 3 * CHANGE_OVERHEAD_BYTES + 4);
    let remaining: Vec<Change> = queue.into_changes().collect();
    assert_eq!(remaining, [put(1, 2, b""), put(2, 1, b"d"), delete(1, 1)]);
}

#[test]
fn evicts_highest_kind_first_and_deletions_last() {
    let mut queue = Queue::default();
    let max_bytes = 3 * (CHANGE_OVERHEAD_BYTES + 2);
    let changes = [
        put(9, 1, b"p"),
        put(1, 1, b"l"),
        delete(9, 2),
        put(9, 3, b"p"),
        put(2, 1, b"c"),
    ];
    let evicted: u64 = changes
        .into_iter()
        .map(|change| queue.put(change, max_bytes))
        .sum();
    assert_eq!(evicted, 2);
    assert!(queue.bytes() <= max_bytes);
    let remaining: Vec<Change> = queue.into_changes().collect();
    assert_eq!(remaining, [put(1, 1, b"l"), put(2, 1, b"c"), delete(9, 2)]);
}
