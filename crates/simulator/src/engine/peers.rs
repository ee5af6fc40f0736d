//! Gossip datagrams between balancers: loss, delay and partitions, and the handling of what arrives.

use beaconflow_edge::Evidence;
use beaconflow_membership::{Event, Input, Output};
use beaconflow_recovery::{Event as Step, PeerStatus, RecoveryState as Stage};

use super::{Engine, ScheduledEvent};
use crate::mesh::{self, StatusMessage};
use crate::{Nanos, SECOND};

/// Minimum interval at which a balancer refreshes its own status.
const STATUS_PERIOD: Nanos = SECOND / 10;
/// Reported uptime of a balancer that was running when the run began.
const INITIAL_UPTIME: Nanos = 86_400 * SECOND;

/// A datagram in transit.
pub(super) struct Datagram {
    from: u32,
    to: u32,
    bytes: Vec<u8>,
}

impl Engine<'_> {
    /// Starts the balancer's membership node, if the scenario uses gossip.
    pub(super) fn start_node(&mut self, balancer: u32) {
        if !self.scenario.fleet.uses_gossip() {
            return;
        }
        let incarnation = self.balancers[balancer as usize].incarnation;
        let (balancer_count, seed) = (self.scenario.balancers, self.scenario.seed);
        let node = mesh::new_node(
            balancer,
            balancer_count,
            u64::from(incarnation) + 1,
            &self.site(balancer),
            &self.status_messages,
            seed,
        );
        let host = &mut self.hosts[balancer as usize];
        (host.node, host.published_at, host.wake_at) = (Some(node), None, None);
        self.handle_node_input(balancer, Input::Start);
    }

    /// Passes an input to a balancer's membership node and applies its outputs.
    pub(super) fn handle_node_input(&mut self, balancer: u32, input: Input<'_>) {
        let mut outputs = Vec::new();
        let wall = mesh::wall_clock_ms(self.now);
        let Some(node) = &mut self.hosts[balancer as usize].node else {
            return;
        };
        node.handle(wall, input, &mut outputs);
        let (statuses, changes) = {
            let payload = node.payload_mut();
            (
                std::mem::take(&mut payload.received_statuses),
                std::mem::take(&mut payload.fact_changes),
            )
        };
        for output in outputs {
            match output {
                Output::Send { to, bytes } => {
                    self.send_datagram(balancer, mesh::rank_from_address(to), bytes)
                }
                Output::Event(event) => {
                    if let Event::Down(previous) | Event::Restarted { previous, .. } = *event
                        && let Some(peer) = mesh::rank_from_name(&previous.name)
                    {
                        self.on_balancer_died(balancer, peer, previous.incarnation);
                    }
                }
                Output::Wake(at) => self.schedule_wake(balancer, at),
            }
        }
        self.on_changes(balancer, &changes);
        for status in statuses {
            self.handle_recovery_event(balancer, Step::PeerReported(status.peer_status.clone()));
            if let Some(report) = &status.uplink_report {
                self.handle_evidence(balancer, Evidence::PeerReport(report.clone()));
            }
        }
    }

    fn schedule_wake(&mut self, balancer: u32, at: u64) {
        let incarnation = self.balancers[balancer as usize].incarnation;
        let host = &mut self.hosts[balancer as usize];
        if host.wake_at == Some(at) {
            return;
        }
        host.wake_at = Some(at);
        let at = (at - mesh::START_WALL_CLOCK_MS) * 1_000_000;
        self.schedule_at(
            at,
            ScheduledEvent::NodeTickDue {
                balancer,
                incarnation,
            },
        );
    }

    fn send_datagram(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        let fleet = &self.scenario.fleet;
        if self.peer_rng.happens_with_probability(fleet.lost) || to as usize >= self.hosts.len() {
            return;
        }
        if self.is_link_down(self.zone(from), self.zone(to)) {
            return;
        }
        let now = self.now;
        let is_cut = |(until, cut): &(Nanos, Vec<bool>)| {
            now < *until && cut[from as usize] != cut[to as usize]
        };
        if self.peer_partitions.iter().any(is_cut) {
            return;
        }
        let wait =
            self.peer_rng.exponential(fleet.delay_ms / 1e3 / 2.0) + fleet.delay_ms / 1e3 / 2.0;
        let id = self.next_datagram_id;
        self.next_datagram_id += 1;
        self.datagrams.insert(id, Datagram { from, to, bytes });
        self.schedule_after(wait, ScheduledEvent::DatagramArrived { id });
    }

    /// Delivers a datagram to its receiver.
    pub(super) fn deliver_datagram(&mut self, id: u64) {
        let Some(Datagram { from, to, bytes }) = self.datagrams.remove(&id) else {
            return;
        };
        let from = mesh::balancer_address(from);
        self.handle_node_input(
            to,
            Input::Datagram {
                from,
                bytes: &bytes,
            },
        );
    }

    /// Ticks a balancer's node if its wake-up time has come, and refreshes its status when due.
    pub(super) fn tick_node(&mut self, balancer: u32) {
        let host = &self.hosts[balancer as usize];
        if host
            .wake_at
            .is_none_or(|wake_at| wake_at > mesh::wall_clock_ms(self.now))
        {
            return;
        }
        if host
            .published_at
            .is_none_or(|at| self.now >= at + STATUS_PERIOD)
        {
            let wall = mesh::wall_clock_ms(self.now);
            let uplink_report = self.hosts[balancer as usize]
                .edge
                .as_ref()
                .map(|edge| edge.report(wall));
            let status = StatusMessage {
                peer_status: self.peer_status(balancer),
                uplink_report,
            };
            let host = &mut self.hosts[balancer as usize];
            host.published_at = Some(self.now);
            if let Some(node) = &mut host.node {
                node.payload_mut().publish_status(status);
            }
        }
        self.handle_node_input(balancer, Input::Tick);
    }

    /// The recovery status that a balancer reports to its peers.
    fn peer_status(&self, balancer: u32) -> PeerStatus {
        let host = &self.hosts[balancer as usize];
        let recovery = host.recovery.as_ref();
        let uptime = if recovery.is_some() {
            self.now - host.started_at
        } else {
            INITIAL_UPTIME
        };
        let is_clock_reliable = recovery.is_none_or(|recovery| recovery.is_clock_reliable());
        PeerStatus {
            name: mesh::balancer_name(balancer),
            site: self.site(balancer),
            incarnation: u64::from(self.balancers[balancer as usize].incarnation) + 1,
            uptime,
            serving_time: match recovery {
                Some(_) => host.admitting_since.map(|since| self.now - since),
                None => Some(uptime),
            },
            is_in_full_service: recovery.is_none_or(|recovery| recovery.state() == Stage::Serving),
            wall_clock: is_clock_reliable.then_some(mesh::wall_clock_ms(self.now)),
            previous_clients: match recovery {
                Some(recovery) => recovery.previous_clients(),
                None => Some(
                    self.previous_clients()
                        .iter()
                        .map(|entry| entry.clients)
                        .sum(),
                ),
            },
            deferred_per_s: recovery.map_or(0.0, |recovery| recovery.deferred_per_s()),
        }
    }
}
