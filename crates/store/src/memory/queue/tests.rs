use super::*;

fn keep(kind: u32, subject: u8, value: &[u8]) -> Change {
    Change::Keep(Record {
        kind,
        subject: vec![subject],
        value: value.to_vec(),
        observed_at_ms: 1,
    })
}

fn forget(kind: u32, subject: u8) -> Change {
    Change::Forget {
        kind,
        subject: vec![subject],
    }
}

#[test]
fn the_last_change_of_a_subject_takes_the_place_of_those_before() {
    let mut queue = Queue::default();
    for change in [
        keep(1, 1, b"a"),
        keep(1, 1, b"bb"),
        keep(2, 1, b"c"),
        forget(2, 1),
        keep(1, 2, b""),
    ] {
        assert_eq!(queue.put(change, usize::MAX), 0);
    }
    assert_eq!((queue.len(), queue.bytes()), (3, 3 * OVERHEAD + 5));
    let mut later = Queue::default();
    later.put(forget(1, 1), usize::MAX);
    later.put(keep(2, 1, b"d"), usize::MAX);
    queue.take_over(later, usize::MAX);
    assert_eq!(queue.bytes(), 3 * OVERHEAD + 4);
    let left: Vec<Change> = queue.into_changes().collect();
    assert_eq!(left, [keep(1, 2, b""), keep(2, 1, b"d"), forget(1, 1)]);
}

#[test]
fn the_highest_kind_gives_way_first_and_what_is_to_be_forgotten_last() {
    let mut queue = Queue::default();
    let bound = 3 * (OVERHEAD + 2);
    let all = [
        keep(9, 1, b"p"),
        keep(1, 1, b"l"),
        forget(9, 2),
        keep(9, 3, b"p"),
        keep(2, 1, b"c"),
    ];
    let gave_way: u64 = all.into_iter().map(|change| queue.put(change, bound)).sum();
    assert_eq!(gave_way, 2);
    assert!(queue.bytes() <= bound);
    let left: Vec<Change> = queue.into_changes().collect();
    assert_eq!(left, [keep(1, 1, b"l"), keep(2, 1, b"c"), forget(9, 2)]);
}
