//! Tests of what an attempt that begins sees of a list that is applied at the same time.

use std::sync::atomic::{AtomicBool, Ordering};

use beaconflow_overrides::OverrideSet;

use super::super::testing::{list, row};
use super::*;

/// Entries applied while another thread begins writes. If a list first marked all servers as
/// leaving, a few writes out of these would be refused.
const APPLIED_ENTRIES: usize = 20_000;

#[test]
fn keeps_relisted_server_writable_while_snapshot_is_applied() {
    let mut endpoints = EndpointRegistry::new(OverrideSet::new(0));
    let rows: Vec<String> = (0..50).map(|number| row(&format!("s{number}"))).collect();
    endpoints.apply_list(list(&rows.join(",")), 0, |_| Some(0));
    let (_, server) = endpoints.by_name("s49").expect("the server is listed");
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let writer = scope.spawn(|| {
            let mut refused_writes = 0;
            while !is_done.load(Ordering::Relaxed) {
                refused_writes += usize::from(server.begin_write().is_none());
            }
            refused_writes
        });
        for _ in 0..APPLIED_ENTRIES / rows.len() {
            endpoints.apply_list(list(&rows.join(",")), 0, |_| Some(0));
        }
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(writer.join().expect("the writer thread does not panic"), 0);
    });
}

#[test]
fn refuses_writes_to_server_missing_in_snapshot() {
    let mut endpoints = EndpointRegistry::new(OverrideSet::new(0));
    endpoints.apply_list(list(&[row("s0"), row("s1")].join(",")), 0, |_| Some(0));
    let (_, server) = endpoints.by_name("s0").expect("the server is listed");
    assert!(server.begin_write().is_some());
    endpoints.apply_list(list(&row("s1")), 0, |_| Some(0));
    assert!(server.begin_write().is_none());
}
