//! Tests of the core's turns: what it takes first, and what a panic of the module leaves.

use std::sync::Arc;
use std::time::Duration;

use beaconflow_overrides::OverrideSet;

use super::testing::{self, Orders};
use super::*;
use crate::discovery::ServerList;

const LONG: Duration = Duration::from_secs(60);

/// A list on which a server drains and another serves.
fn drains(server: &str, other: &str) -> ServerList {
    let drains = testing::row(server).replace("SERVING", "DRAINING");
    testing::list(&[drains, testing::row(other)].join(","))
}

#[test]
fn a_list_is_taken_before_the_events_that_wait() {
    let (handle, mut core, receiver) = testing::told_core(Clock::start(), OverrideSet::default());
    let orders = Arc::new(Orders::default());
    let server = core.endpoints.by_name("s0").expect("listed").1;
    for id in 0..50 {
        let client_request = testing::client_request(id, "acme", LONG, core.clock.now());
        handle.open(
            client_request,
            Arc::<Orders>::clone(&orders) as Arc<dyn CommandSender>,
        );
    }
    handle.send_discovery(DiscoveryEvent::List(drains("s0", "s1")));
    assert!(core.run_once(&receiver));
    assert!(
        server.begin_write().is_none(),
        "nobody begins to send there any more"
    );
    while !receiver.inputs.is_empty() {
        assert!(core.run_once(&receiver));
    }
    let words = orders.words();
    assert!(
        words.contains("StartAttempt to s1") && !words.contains("StartAttempt to s0"),
        "{words}"
    );
}

#[test]
fn a_list_and_the_failure_after_it_are_taken_in_their_order() {
    let (handle, mut core, receiver) = testing::told_core(Clock::start(), OverrideSet::default());
    let (watch, asked) = crossbeam_channel::unbounded();
    core.discovery_polls = watch;
    handle.send_discovery(DiscoveryEvent::Failed(Duration::ZERO));
    handle.send_discovery(DiscoveryEvent::List(drains("s0", "s1")));
    handle.send_discovery(DiscoveryEvent::TimedOut(Duration::from_millis(100)));
    assert!(core.run_once(&receiver));
    assert!(receiver.discovery.is_empty());
    while asked.is_empty() {
        assert!(core.run_once(&receiver), "it is asked for again");
    }
}

#[test]
fn a_module_that_panics_while_the_next_call_is_due_does_not_cost_the_watch() {
    let (handle, mut core, receiver) = testing::told_core(Clock::start(), OverrideSet::default());
    let (watch, asked) = crossbeam_channel::unbounded();
    core.discovery_polls = watch;
    handle.send_discovery(DiscoveryEvent::Failed(Duration::ZERO));
    assert!(core.run_once(&receiver));
    assert!(asked.is_empty(), "the call waits for its time");
    // The timer of that call goes with the module that set it.
    core.restart_policy();
    assert_eq!(asked.len(), 1, "an agent is asked at once");
}

#[test]
fn while_a_whole_list_is_read_the_servers_that_it_names_can_be_written_to() {
    let mut endpoints = EndpointRegistry::new(OverrideSet::default());
    let rows = |names: &[&str]| {
        names
            .iter()
            .map(|name| testing::row(name))
            .collect::<Vec<_>>()
            .join(",")
    };
    endpoints.apply_list(testing::list(&rows(&["s0", "s1", "s2"])), 0, |_| None);
    let at = |name| endpoints.by_name(name).expect("listed").1;
    let (gone, stay) = (at("s0"), ["s1", "s2"].map(at));
    // The zone is looked up for each entry, in the midst of the list.
    let looks = std::cell::Cell::new(0);
    endpoints.apply_list(testing::list(&rows(&["s1", "s2"])), 1, |_| {
        looks.set(looks.get() + 1);
        assert!(
            stay.iter().all(|server| server.begin_write().is_some()),
            "both go on serving"
        );
        None
    });
    assert_eq!(looks.get(), 2);
    assert!(gone.begin_write().is_none());
}
