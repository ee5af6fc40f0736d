//! What a quiet fleet costs and how soon a fact is known by all: the real nodes with the real knowledge on a virtual
//! clock, each saying of itself what it does while it serves.
//!
//! `cargo run --release -p beaconflow-simulator --example quiet [processes] [lost of a thousand]`

use std::time::Instant;

use beaconflow_gossip::{
    FactKind, Lifecycle, ListPosition, Placement, PlacementKey, ServerEntry, Subject, Value,
};
use beaconflow_membership::testing::{Fleet, NetworkConditions};
use beaconflow_recovery::PeerStatus;
use beaconflow_simulator::mesh::{self, Letters, StatusMessage, Talk};

/// Seconds of quiet that are measured.
const QUIET: u64 = 20;
/// Facts that are told, one after the other.
const FACTS: u64 = 40;

fn word(rank: u32, now: u64) -> StatusMessage {
    let uptime = now * 1_000_000;
    let (name, site) = (mesh::name(rank), "site".into());
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

fn knows(fleet: &Fleet<Talk>, at: usize, key: u64) -> bool {
    fleet
        .node(at)
        .payload()
        .knowledge
        .placement(PlacementKey::Client(key), fleet.now)
        .is_some()
}

fn main() {
    let mut words = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok());
    let (count, lost) = (words.next().unwrap_or(300), words.next().unwrap_or(50));
    let letters = Letters::default();
    let mut rules = NetworkConditions::new(7);
    rules.loss_per_mille = lost;
    let mut fleet: Fleet<Talk> = Fleet::new(rules);
    fleet.now = mesh::WALL;
    for rank in 0..count {
        let mut talk = mesh::talk(rank, 1, &letters);
        talk.say(word(rank, fleet.now));
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
            talk.knowledge
                .observe(&subject, &Value::ServerEntry(listed), 3_600_000, fleet.now)
                .expect("taken");
        }
        fleet.add(mesh::profile(rank, count, 1, "site", 5), talk);
    }
    let count = count as usize;
    let begun = fleet.now;
    let all = fleet.run_until(60_000, |fleet| {
        (0..count).all(|at| fleet.node(at).members().len() + 1 == count)
    });
    println!(
        "{count} processes, {lost} of 1000 lost: all know all after {} ms ({all})",
        fleet.now - begun
    );
    fleet.run_for(20_000);
    let sent = |fleet: &Fleet<Talk>| fleet.counts().iter().map(|one| one.sent_bytes).sum::<u64>();
    let (before, clock) = (sent(&fleet), Instant::now());
    fleet.run_for(QUIET * 1_000);
    let each = (count as u64 * QUIET) as f64;
    println!(
        "quiet, each: {:.1} KiB/s, {:.2}% of a core at most, the play's own work among it",
        (sent(&fleet) - before) as f64 / each / 1024.0,
        clock.elapsed().as_secs_f64() / each * 100.0
    );
    let (mut spans, mut lasts) = (Vec::new(), Vec::new());
    for key in 0..FACTS {
        let (at, told) = ((key as usize * 37) % count, fleet.now);
        let placed = Value::Placement(Some(Placement {
            server: "server-0001".into(),
            configuration_digest: 1,
            placed_at: told,
        }));
        let node = fleet.processes[at].node.as_mut().expect("it lives");
        let subject = Subject::Placement(PlacementKey::Client(key));
        node.payload_mut()
            .knowledge
            .observe(&subject, &placed, 600_000, told)
            .expect("taken");
        let mut lack: Vec<usize> = (0..count).filter(|other| *other != at).collect();
        while !lack.is_empty() && fleet.now < told + 30_000 {
            fleet.run_for(20);
            let had = lack.len();
            lack.retain(|at| !knows(&fleet, *at, key));
            spans.extend(std::iter::repeat_n(fleet.now - told, had - lack.len()));
        }
        lasts.push(fleet.now - told);
    }
    println!(
        "a fact is known: p50 {} ms, p99 {} ms; by the last process p50 {} ms, p99 {} ms",
        percentile(&mut spans, 0.5),
        percentile(&mut spans, 0.99),
        percentile(&mut lasts, 0.5),
        percentile(&mut lasts, 0.99)
    );
    let (bytes, facts) = fleet.node(0).payload().knowledge.usage(FactKind::Placement);
    println!("{facts} placements take {bytes} bytes at each");
}
