//! Peak memory does not grow with the number of clients. The test is alone in its process, so that nothing else is
//! measured.

use beaconflow_admission::{AccountTable, AdmissionQueue, Entry, Limits, NotAdmitted, QueueSize};

/// Peak resident memory of this process, in KiB.
fn peak_rss_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("/proc is readable on Linux");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .expect("the status has a VmHWM line");
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .expect("VmHWM is a number of KiB")
}

fn flood(
    client_ids: std::ops::Range<u64>,
    queue: &mut AdmissionQueue,
    accounts: &mut AccountTable,
) {
    let mut evicted = Vec::new();
    for id in client_ids {
        let (account, name) = (id % 2, ["acme", "others"][(id % 2) as usize]);
        let now = id * 60_000;
        let entry = Entry {
            id,
            account,
            share: 1.0,
            class: 0,
            flow: id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            deadline: now + 5_000_000_000,
            bytes: 500,
        };
        accounts.record_request(now, account, name, 1.0);
        queue.enqueue(entry, &mut evicted);
        evicted
            .drain(..)
            .for_each(|entry| accounts.record_not_admitted(entry.account, NotAdmitted::Rejected));
        if id % 100 == 0
            && let Some(entry) = queue.admit()
        {
            accounts.record_admission(now, entry.account, 1_000_000);
        }
    }
}

#[test]
fn bounds_peak_memory_with_a_million_clients() {
    let limit = QueueSize {
        entries: 4_096,
        bytes: 4 << 20,
    };
    let limits = Limits {
        total: limit,
        per_account: limit,
        per_queue: limit,
        ..Limits::default()
    };
    let mut queue = AdmissionQueue::new(&[1.0, 1.0], limits, 7);
    let mut accounts = AccountTable::default();
    // Reaches the limit, with all tables at their final size.
    flood(0..500_000, &mut queue, &mut accounts);
    let before = peak_rss_kib();
    flood(500_000..1_500_000, &mut queue, &mut accounts);
    let growth_kib = peak_rss_kib() - before;
    println!(
        "peak {before} KiB with the limit reached, {growth_kib} KiB more after a million clients"
    );
    assert!(growth_kib < 2_048, "peak memory grew by {growth_kib} KiB");
    assert_eq!(queue.len(), 4_096);
}
