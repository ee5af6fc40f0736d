//! What a pass that is about to begin sees of a list that is taken in at the same moment.

use std::sync::atomic::{AtomicBool, Ordering};

use beaconflow_overrides::OverrideSet;

use super::super::testing::{list, row};
use super::*;

/// Lists taken in while somebody looks; with a mark that is set and taken back, a few of them show it.
const LISTS: usize = 20_000;

#[test]
fn a_server_that_a_whole_list_names_again_is_not_taken_for_a_leaving_one_in_between() {
    let mut endpoints = EndpointRegistry::new(OverrideSet::new(0));
    let rows: Vec<String> = (0..50).map(|number| row(&format!("s{number}"))).collect();
    endpoints.apply_list(list(&rows.join(",")), 0, |_| Some(0));
    let (_, server) = endpoints.by_name("s49").expect("it is listed");
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let looks = scope.spawn(|| {
            let mut withheld = 0;
            while !is_over.load(Ordering::Relaxed) {
                withheld += usize::from(server.begin_write().is_none());
            }
            withheld
        });
        for _ in 0..LISTS / rows.len() {
            endpoints.apply_list(list(&rows.join(",")), 0, |_| Some(0));
        }
        is_over.store(true, Ordering::Relaxed);
        assert_eq!(looks.join().expect("it ran"), 0);
    });
}

#[test]
fn a_server_that_a_whole_list_leaves_out_gets_nothing_new() {
    let mut endpoints = EndpointRegistry::new(OverrideSet::new(0));
    endpoints.apply_list(list(&[row("s0"), row("s1")].join(",")), 0, |_| Some(0));
    let (_, server) = endpoints.by_name("s0").expect("it is listed");
    assert!(server.begin_write().is_some());
    endpoints.apply_list(list(&row("s1")), 0, |_| Some(0));
    assert!(server.begin_write().is_none());
}
