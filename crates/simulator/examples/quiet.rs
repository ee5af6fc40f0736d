//! Measures the gossip cost of an idle fleet and the propagation time of facts: production nodes and fact stores on a
//! virtual clock, each node gossiping its status in full service.
//!
//! `cargo run --release -p beaconflow-simulator --example quiet [processes] [lost of a thousand]`

use std::time::Instant;

use beaconflow_gossip::{
    FactKind, Lifecycle, ListPosition, Placement, PlacementKey, ServerEntry, Subject, Value,
};
use beaconflow_membership::testing::{Fleet, NetworkConditions};
use beaconflow_recovery::PeerStatus;
use beaconflow_simulator::mesh::{self, GossipPayload, StatusMessage, StatusMessages};

/// Length of the idle measurement, in seconds.
const MEASURED_S: u64 = 20;
/// Number of facts that are published one after the other.
const FACT_COUNT: u64 = 40;

fn own_status(rank: u32, now: u64) -> StatusMessage {
    let uptime = now * 1_000_000;
    let (name, site) = (mesh::balancer_name(rank), "site".into());
    let wall_clock = Some(now);
    StatusMessage {
        uplink_report: None,
        peer_status: PeerStatus {
            name,
            site,
            incarnation: 1,
            uptime,
            serving_time: Some(uptime),
            is_in_full_service: true,
            wall_clock,
            previous_clients: Some(1.0),
            deferred_per_s: 0.0,
        },
    }
}

fn percentile(spans: &mut [u64], part: f64) -> u64 {
    spans.sort_unstable();
    spans[((spans.len() as f64 * part).ceil() as usize).clamp(1, spans.len()) - 1]
}

fn knows_placement(fleet: &Fleet<GossipPayload>, at: usize, key: u64) -> bool {
    fleet
        .node(at)
        .payload()
        .fact_store
        .placement(PlacementKey::Client(key), fleet.now)
        .is_some()
}

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse().ok());
    let (count, lost) = (args.next().unwrap_or(300), args.next().unwrap_or(50));
    let status_messages = StatusMessages::default();
    let mut conditions = NetworkConditions::new(7);
    conditions.loss_per_mille = lost;
    let mut fleet: Fleet<GossipPayload> = Fleet::new(conditions);
    fleet.now = mesh::START_WALL_CLOCK_MS;
    for rank in 0..count {
        let mut payload = mesh::gossip_payload(rank, 1, &status_messages);
        payload.publish_status(own_status(rank, fleet.now));
        for server in 0..1_000 {
            let listed = ServerEntry {
                position: ListPosition {
                    incarnation: 1,
                    generation: 1,
                },
                lifecycle: Lifecycle::Serving,
                zone: "a".into(),
                machine_type: "m1".into(),
                cell: 0,
                weight: 1.0,
                address: None,
                started_at_ms: 0,
            };
            let subject = Subject::ServerEntry(format!("server-{server:04}"));
            payload
                .fact_store
                .observe(&subject, &Value::ServerEntry(listed), 3_600_000, fleet.now)
                .expect("the fact is stored");
        }
        fleet.add(mesh::node_profile(rank, count, 1, "site", 5), payload);
    }
    let count = count as usize;
    let started_at = fleet.now;
    let all = fleet.run_until(60_000, |fleet| {
        (0..count).all(|at| fleet.node(at).members().len() + 1 == count)
    });
    println!(
        "{count} processes, {lost} of 1000 lost: all know all after {} ms ({all})",
        fleet.now - started_at
    );
    fleet.run_for(20_000);
    let sent = |fleet: &Fleet<GossipPayload>| {
        fleet
            .counts()
            .iter()
            .map(|counts| counts.sent_bytes)
            .sum::<u64>()
    };
    let (before, clock) = (sent(&fleet), Instant::now());
    fleet.run_for(MEASURED_S * 1_000);
    let each = (count as u64 * MEASURED_S) as f64;
    println!(
        "quiet, each: {:.1} KiB/s, {:.2}% of a core at most, including the simulation itself",
        (sent(&fleet) - before) as f64 / each / 1024.0,
        clock.elapsed().as_secs_f64() / each * 100.0
    );
    let (mut spans, mut last_spans) = (Vec::new(), Vec::new());
    for key in 0..FACT_COUNT {
        let (at, observed_at) = ((key as usize * 37) % count, fleet.now);
        let placement = Value::Placement(Some(Placement {
            server: "server-0001".into(),
            configuration_digest: 1,
            placed_at: observed_at,
        }));
        let node = fleet.processes[at]
            .node
            .as_mut()
            .expect("the process is running");
        let subject = Subject::Placement(PlacementKey::Client(key));
        node.payload_mut()
            .fact_store
            .observe(&subject, &placement, 600_000, observed_at)
            .expect("the fact is stored");
        let mut unaware: Vec<usize> = (0..count).filter(|other| *other != at).collect();
        while !unaware.is_empty() && fleet.now < observed_at + 30_000 {
            fleet.run_for(20);
            let unaware_before = unaware.len();
            unaware.retain(|at| !knows_placement(&fleet, *at, key));
            spans.extend(std::iter::repeat_n(
                fleet.now - observed_at,
                unaware_before - unaware.len(),
            ));
        }
        last_spans.push(fleet.now - observed_at);
    }
    println!(
        "a fact is known: p50 {} ms, p99 {} ms; by the last process p50 {} ms, p99 {} ms",
        percentile(&mut spans, 0.5),
        percentile(&mut spans, 0.99),
        percentile(&mut last_spans, 0.5),
        percentile(&mut last_spans, 0.99)
    );
    let (bytes, facts) = fleet
        .node(0)
        .payload()
        .fact_store
        .usage(FactKind::Placement);
    println!("{facts} placements take {bytes} bytes at each");
}
