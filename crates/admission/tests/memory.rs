//! A million names: what the process holds at most does not grow with them. Alone in its process, so that nothing else
//! is measured.

use beaconflow_admission::{
    AccountTable, AdmissionQueue, Bound, Entry, Limits, NotAdmitted, RejectedClients,
};

/// The most that this process has held so far, in KiB.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .expect("a peak");
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .expect("a number")
}

fn flood(
    names: std::ops::Range<u64>,
    door: &mut AdmissionQueue,
    tallies: &mut AccountTable,
    returning: &mut RejectedClients,
) {
    let mut gone = Vec::new();
    for id in names {
        let (account, name) = (id % 2, ["acme", "others"][(id % 2) as usize]);
        let now = id * 60_000;
        let entry = Entry {
            id,
            account,
            share: 1.0,
            class: 0,
            flow: id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            deadline: now + 5_000_000_000,
            is_returning: returning.take_return(now, id),
            bytes: 500,
        };
        tallies.asked(now, account, name, 1.0);
        door.enter(entry, &mut gone);
        gone.drain(..)
            .for_each(|entry| tallies.missed(entry.account, NotAdmitted::Rejected));
        if id % 100 == 0
            && let Some(entry) = door.admit()
        {
            tallies.admitted(now, entry.account, 1_000_000);
            returning.record_rejection(now, entry.id);
        }
    }
}

#[test]
fn a_million_names_in_a_minute_hold_no_more_than_the_bound() {
    let all = Bound {
        entries: 4_096,
        bytes: 4 << 20,
    };
    let limits = Limits {
        all,
        account: all,
        queue: all,
        ..Limits::default()
    };
    let mut door = AdmissionQueue::new(&[1.0, 1.0], limits, 7);
    let (mut tallies, mut returning) = (AccountTable::default(), RejectedClients::default());
    // The bound is reached, and every table has its size.
    flood(0..500_000, &mut door, &mut tallies, &mut returning);
    let before = peak();
    flood(500_000..1_500_000, &mut door, &mut tallies, &mut returning);
    let grown = peak() - before;
    println!("peak {before} KiB with the bound reached, {grown} KiB more after a million names");
    assert!(grown < 2_048, "{grown} KiB more");
    assert_eq!(door.len(), 4_096);
}
