//! Zones with a failed uplink: which traffic is lost, and how each balancer judges its uplink.

use beaconflow_edge::{
    Action, Config, Decision, Edge, Evidence, Permission, RejoinStep, RemoteTarget, RequestOutcome,
    Start,
};
use beaconflow_policy::ListUpdate;

use super::{Engine, Phase, ScheduledEvent};
use crate::mesh;
use crate::scenario::{Failure, LinkDirection};
use crate::{Nanos, SECOND, nanos};

/// Timeout of a probe across a failed uplink, in seconds.
const LOST_PROBE_TIMEOUT_S: f64 = 1.0;
/// A zone counts as silent when none of its peers was heard from for this long, in milliseconds.
const PEER_SILENT_AFTER_MS: u64 = 3_000;

/// A failed uplink.
pub(super) struct Uplink {
    pub(super) zone: u32,
    down_from: Nanos,
    pub(super) until: Nanos,
    direction: LinkDirection,
    flap_period: Nanos,
}

impl Uplink {
    /// Whether traffic from one zone to another is lost because of this failure.
    fn loses(&self, now: Nanos, from: u32, to: u32) -> bool {
        let is_down =
            self.flap_period == 0 || ((now - self.down_from) / self.flap_period).is_multiple_of(2);
        let crosses = from != to
            && match self.direction {
                LinkDirection::Both => from == self.zone || to == self.zone,
                LinkDirection::Out => from == self.zone,
                LinkDirection::In => to == self.zone,
                LinkDirection::None => false,
            };
        now < self.until && is_down && crosses
    }
}

impl Engine<'_> {
    /// The zone of a balancer or gateway, by number.
    pub(super) fn zone(&self, of: u32) -> u32 {
        of % self.scenario.zones
    }

    pub(super) fn site(&self, balancer: u32) -> String {
        if self.scenario.fleet.edge {
            format!("z{}", self.zone(balancer))
        } else {
            "site".into()
        }
    }

    /// Whether traffic from one zone to another is lost.
    pub(super) fn is_link_down(&self, from: u32, to: u32) -> bool {
        self.uplinks
            .iter()
            .any(|uplink| uplink.loses(self.now, from, to))
    }

    /// Whether connections between two zones are lost, which need both directions.
    pub(super) fn is_partitioned(&self, first: u32, second: u32) -> bool {
        self.is_link_down(first, second) || self.is_link_down(second, first)
    }

    /// Takes down a zone's uplink and breaks the connections across it.
    pub(super) fn lose_uplink(&mut self, failure: u32) {
        let Failure::UplinkLost {
            for_s,
            zone,
            way: direction,
            flap_s,
            ..
        } = self.scenario.failures[failure as usize].get_ref()
        else {
            return;
        };
        let until = self.now.saturating_add(nanos(*for_s));
        let uplink = Uplink {
            zone: *zone,
            down_from: self.now,
            until,
            direction: *direction,
            flap_period: nanos(*flap_s),
        };
        self.uplinks.push(uplink);
        self.measures.fleet.island = Some((*zone, self.now, until));
        let crosses = |engine: &Self, request_state: &super::Request| match request_state.phase {
            Phase::Established { gateway } => {
                engine.is_partitioned(engine.zone(request_state.balancer), engine.zone(gateway))
            }
            _ => false,
        };
        let mut cut: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request_state)| crosses(self, request_state))
            .map(|(id, _)| *id)
            .collect();
        cut.sort_unstable();
        cut.into_iter()
            .for_each(|request| self.break_connection(request, false));
    }

    /// Ends an uplink failure. Balancers without uplink detection get the server list again after the discovery delay.
    pub(super) fn restore_uplink(&mut self, zone: u32) {
        for balancer in 0..self.balancers.len() as u32 {
            if self.zone(balancer) == zone && !self.scenario.fleet.edge {
                let incarnation = self.balancers[balancer as usize].incarnation;
                let wait = self.link_delay(self.scenario.net.discovery_ms);
                self.schedule_after(
                    wait,
                    ScheduledEvent::ServerListArrived {
                        balancer,
                        incarnation,
                        is_full: true,
                    },
                );
            }
        }
    }

    /// Starts uplink detection on a balancer, if it is on.
    pub(super) fn init_edge(&mut self, balancer: u32) {
        if !self.scenario.fleet.edge {
            return;
        }
        let config = Config {
            site: self.site(balancer),
            name: mesh::balancer_name(balancer),
            seed: self.scenario.seed ^ u64::from(balancer),
            processes: self.scenario.balancers,
            is_discovery_local: self.zone(balancer) == 0,
            is_store_local: true,
            ..Config::default()
        };
        self.hosts[balancer as usize].edge = Some(Edge::new(
            config,
            mesh::wall_clock_ms(self.now),
            Start::Fresh,
        ));
        let incarnation = self.balancers[balancer as usize].incarnation;
        // Balancers check at random offsets within a second.
        let first = self.peer_rng.uniform();
        self.schedule_after(
            first,
            ScheduledEvent::UplinkCheckDue {
                balancer,
                incarnation,
            },
        );
    }

    /// Passes evidence to a balancer's uplink detection and applies the resulting actions.
    pub(super) fn handle_evidence(&mut self, balancer: u32, evidence: Evidence) {
        let Some(edge) = &mut self.hosts[balancer as usize].edge else {
            return;
        };
        let (mut actions, wall) = (Vec::new(), mesh::wall_clock_ms(self.now));
        edge.handle(wall, evidence, &mut actions);
        for action in actions {
            self.apply_edge_action(balancer, action);
        }
    }

    fn apply_edge_action(&mut self, balancer: u32, action: Action) {
        let incarnation = self.balancers[balancer as usize].incarnation;
        match action {
            Action::StateChanged { .. } => self.send_server_list(balancer, ListUpdate::Snapshot),
            Action::Probe { target } => {
                let target_zone = self.zone_of(&target);
                let wait = if self.is_partitioned(self.zone(balancer), target_zone) {
                    LOST_PROBE_TIMEOUT_S
                } else {
                    0.01
                };
                self.measures.fleet.probes += u64::from(wait == LOST_PROBE_TIMEOUT_S);
                let is_discovery = target == RemoteTarget::Discovery;
                self.schedule_after(
                    wait,
                    ScheduledEvent::ProbeDone {
                        balancer,
                        incarnation,
                        target_zone,
                        is_discovery,
                        is_lost: wait == LOST_PROBE_TIMEOUT_S,
                    },
                );
            }
            Action::Rejoin(RejoinStep::Reconnect {
                target: RemoteTarget::Discovery,
                delay_ms: in_ms,
            }) => {
                self.schedule_after(
                    in_ms as f64 / 1e3,
                    ScheduledEvent::DiscoveryRequeryDue {
                        balancer,
                        incarnation,
                    },
                );
            }
            Action::Rejoin(RejoinStep::Merge) => {
                // The list is the one that the balancer has just queried; only connections to draining or removed gateways
                // may be migrated.
                self.measures.fleet.merges.push(self.now);
                self.deliver_server_list(balancer, true);
                self.handle_evidence(balancer, Evidence::RejoinStepDone(RejoinStep::Merge));
            }
            _ => {}
        }
    }

    fn zone_of(&self, target: &RemoteTarget) -> u32 {
        match target {
            RemoteTarget::Site(name) => name
                .strip_prefix('z')
                .and_then(|zone| zone.parse().ok())
                .unwrap_or(0),
            RemoteTarget::Discovery | RemoteTarget::Store => 0,
        }
    }

    /// Turns the result of a probe across the uplink into evidence.
    pub(super) fn on_probe_done(
        &mut self,
        balancer: u32,
        target_zone: u32,
        is_discovery: bool,
        is_lost: bool,
    ) {
        let evidence = match (is_discovery, is_lost) {
            (true, true) => Evidence::DiscoveryFailed,
            (true, false) => Evidence::DiscoveryAnswered { latency_ms: 10 },
            (false, _) => {
                let outcome = if is_lost {
                    RequestOutcome::Failed
                } else {
                    RequestOutcome::Answered { latency_ms: 10 }
                };
                Evidence::RemoteServerRequest {
                    site: format!("z{target_zone}"),
                    outcome,
                }
            }
        };
        self.handle_evidence(balancer, evidence);
    }

    /// Queries discovery again after an isolation.
    pub(super) fn requery_discovery(&mut self, balancer: u32) {
        let is_unreachable = self.is_partitioned(self.zone(balancer), 0);
        self.handle_evidence(
            balancer,
            if is_unreachable {
                Evidence::WatchLost
            } else {
                Evidence::WatchAlive
            },
        );
    }

    /// Runs every second: collects evidence from the discovery watch and from the peers in other zones.
    pub(super) fn check_uplink(&mut self, balancer: u32, incarnation: u32) {
        self.schedule_after(
            1.0,
            ScheduledEvent::UplinkCheckDue {
                balancer,
                incarnation,
            },
        );
        let (own_zone, wall) = (self.zone(balancer), mesh::wall_clock_ms(self.now));
        let is_unreachable = self.is_partitioned(own_zone, 0) || self.now < self.discovery_back_at;
        let Some(edge) = &self.hosts[balancer as usize].edge else {
            return;
        };
        if edge.permission(
            wall,
            &Decision::ContactRemote {
                target: RemoteTarget::Discovery,
            },
        ) == Permission::Granted
        {
            self.handle_evidence(
                balancer,
                if is_unreachable {
                    Evidence::WatchLost
                } else {
                    Evidence::WatchAlive
                },
            );
        }
        for zone in (0..self.scenario.zones).filter(|zone| *zone != own_zone) {
            let site = format!("z{zone}");
            let Some(node) = &self.hosts[balancer as usize].node else {
                return;
            };
            let Some((name, at)) = node.payload().last_seen.get(&site).cloned() else {
                continue;
            };
            let both_ways = node.members().any(|member| *member.name == *name);
            let evidence = match wall.saturating_sub(at) < PEER_SILENT_AFTER_MS {
                true => Evidence::PeerMessage {
                    name,
                    site,
                    is_bidirectional: both_ways,
                },
                false => Evidence::PeerSilent { name, site },
            };
            self.handle_evidence(balancer, evidence);
        }
        self.handle_evidence(balancer, Evidence::Tick);
    }

    /// Whether uplink detection permits a balancer to place new connections on a gateway.
    pub(super) fn can_place(&self, balancer: u32, gateway: u32) -> bool {
        let Some(edge) = &self.hosts[balancer as usize].edge else {
            return true;
        };
        let target = Decision::PlaceClient {
            site: format!("z{}", self.zone(gateway)),
            is_listed: true,
            is_healthy: true,
        };
        edge.permission(mesh::wall_clock_ms(self.now), &target) == Permission::Granted
    }

    /// Whether a balancer's own discovery watch delivers the list at present.
    pub(super) fn is_watching(&self, balancer: u32) -> bool {
        let is_isolated = |edge: &Edge| {
            matches!(
                edge.state(),
                beaconflow_edge::UplinkState::Isolated | beaconflow_edge::UplinkState::Rejoining
            )
        };
        let is_unreachable = self.is_partitioned(self.zone(balancer), 0);
        !is_unreachable
            && !self.hosts[balancer as usize]
                .edge
                .as_ref()
                .is_some_and(is_isolated)
    }

    /// Counts clients of the isolated zone that request a connection during the uplink failure, or get one after `elapsed`.
    pub(super) fn count_isolated(&mut self, client: u64, elapsed: Option<Nanos>) {
        let Some((zone, from, until)) = self.measures.fleet.island else {
            return;
        };
        let client_state = &self.clients[&client];
        if (from..until.max(from + SECOND)).contains(&client_state.requested_at)
            && client_state.key % u64::from(self.scenario.zones) == u64::from(zone)
        {
            let objective = nanos(self.scenario.classes[client_state.class as usize].aim_ms / 1e3);
            match elapsed {
                None => self.measures.fleet.island_wanted += 1,
                Some(elapsed) => {
                    self.measures.fleet.island_served += u64::from(elapsed <= objective);
                    self.measures.fleet.island_took.push(elapsed);
                }
            }
        }
    }
}
