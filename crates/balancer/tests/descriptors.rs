//! The parts of a process's descriptors, for every limit that the platform may set.

use beaconflow_balancer::connections::descriptors::{DescriptorBudget, RESERVED_DESCRIPTORS};

/// The platform's limits, and half of the least one.
const LIMITS: std::ops::RangeInclusive<usize> = 128..=1_024;

fn held(budget: DescriptorBudget) -> usize {
    budget.handshakes + budget.lingering + 2 * budget.connections
}

#[test]
fn one_process_stays_within_its_descriptors_with_all_that_it_holds_at_once() {
    for sockets in LIMITS {
        for probes in [0, 1, 30, 90] {
            let budget = DescriptorBudget::new(sockets, false, probes);
            let total = RESERVED_DESCRIPTORS + held(budget) + probes;
            // The least that is served takes a few more than a limit that has no room for it.
            let least = RESERVED_DESCRIPTORS + sockets / 5 + probes + 2;
            assert!(
                total <= sockets.max(least),
                "{sockets} with {probes} probes: {total}"
            );
            assert!(budget.lingering > 0 && budget.handshakes > budget.lingering);
        }
    }
}

#[test]
fn two_processes_on_one_listener_stay_within_the_descriptors_of_both() {
    for sockets in [192, 256, 384, 1024, 4096] {
        let budget = DescriptorBudget::new(sockets, true, 0);
        let unopened = budget.handshakes + budget.lingering;
        // One is full, the other has all its openings and what stands there besides clients.
        assert!(
            2 * (RESERVED_DESCRIPTORS + unopened) + 2 * budget.connections <= sockets,
            "{sockets}"
        );
        let alone = DescriptorBudget::new(sockets, false, 0);
        assert!(alone.handshakes >= budget.handshakes && alone.connections >= budget.connections);
    }
}

#[test]
fn probes_have_what_connections_leave_and_the_next_clients_find_room() {
    for sockets in LIMITS {
        let most = DescriptorBudget::new(sockets, false, 0).connections;
        for connections in 0..=most {
            let probes = DescriptorBudget::max_probes(sockets, false, connections);
            let beside = DescriptorBudget::new(sockets, false, probes).connections;
            assert!(
                probes == 0 || beside >= connections + sockets / 16,
                "{sockets}, {connections} connections"
            );
        }
        assert_eq!(
            DescriptorBudget::max_probes(sockets, false, most),
            0,
            "none is left"
        );
    }
}
