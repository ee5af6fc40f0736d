//! The descriptor budget of a process, for every limit that the platform may set.

use beaconflow_balancer::connections::descriptors::{DescriptorBudget, RESERVED_DESCRIPTORS};

/// The platform's limits, down to half of the least one.
const DESCRIPTOR_LIMITS: std::ops::RangeInclusive<usize> = 128..=1_024;

fn used_descriptors(budget: DescriptorBudget) -> usize {
    budget.handshakes + budget.lingering + 2 * budget.connections
}

#[test]
fn single_process_stays_within_descriptor_limit() {
    for sockets in DESCRIPTOR_LIMITS {
        for probes in [0, 1, 30, 90] {
            let budget = DescriptorBudget::new(sockets, false, probes);
            let total = RESERVED_DESCRIPTORS + used_descriptors(budget) + probes;
            // The minimum budget may exceed a limit that is too low for it by a few descriptors.
            let min_total = RESERVED_DESCRIPTORS + sockets / 5 + probes + 2;
            assert!(
                total <= sockets.max(min_total),
                "{total} descriptors with {probes} probes exceed the limit {sockets}"
            );
            assert!(budget.lingering > 0 && budget.handshakes > budget.lingering);
        }
    }
}

#[test]
fn two_processes_sharing_listener_stay_within_limit() {
    for sockets in [192, 256, 384, 1024, 4096] {
        let budget = DescriptorBudget::new(sockets, true, 0);
        let without_server = budget.handshakes + budget.lingering;
        // One process has all its connections, both have all handshakes and reserved descriptors.
        assert!(
            2 * (RESERVED_DESCRIPTORS + without_server) + 2 * budget.connections <= sockets,
            "two processes exceed the limit {sockets}"
        );
        let exclusive = DescriptorBudget::new(sockets, false, 0);
        assert!(
            exclusive.handshakes >= budget.handshakes
                && exclusive.connections >= budget.connections
        );
    }
}

#[test]
fn probes_leave_room_for_new_connections() {
    for sockets in DESCRIPTOR_LIMITS {
        let max_connections = DescriptorBudget::new(sockets, false, 0).connections;
        for connections in 0..=max_connections {
            let probes = DescriptorBudget::max_probes(sockets, false, connections);
            let max_with_probes = DescriptorBudget::new(sockets, false, probes).connections;
            assert!(
                probes == 0 || max_with_probes >= connections + sockets / 16,
                "probes leave too little room for {connections} connections under the limit {sockets}"
            );
        }
        assert_eq!(
            DescriptorBudget::max_probes(sockets, false, max_connections),
            0,
            "a full process has no descriptors for probes"
        );
    }
}
