//! Zones whose uplink is lost: what crosses it, and what each balancer makes of it.

use beaconflow_edge::{
    Action, Config, Decision, Edge, Evidence, Permission, RejoinStep, RemoteTarget, RequestOutcome,
    Start,
};
use beaconflow_policy::ListUpdate;

use super::{Engine, Occurrence, Phase};
use crate::mesh;
use crate::scenario::{Failure, Way};
use crate::{Nanos, SECOND, nanos};

/// A call beyond a lost link is given up after this.
const GIVES_UP: f64 = 1.0;
/// What was heard from a zone so long ago says that it is silent.
const SILENT: u64 = 3_000;

/// A lost uplink.
pub(super) struct Uplink {
    pub(super) zone: u32,
    from: Nanos,
    pub(super) until: Nanos,
    way: Way,
    flap: Nanos,
}

impl Uplink {
    /// Whether what goes from one zone to another is lost.
    fn loses(&self, now: Nanos, from: u32, to: u32) -> bool {
        let is_down = self.flap == 0 || ((now - self.from) / self.flap).is_multiple_of(2);
        let crosses = from != to
            && match self.way {
                Way::Both => from == self.zone || to == self.zone,
                Way::Out => from == self.zone,
                Way::In => to == self.zone,
                Way::None => false,
            };
        now < self.until && is_down && crosses
    }
}

impl Engine<'_> {
    /// The zone of a balancer, or of a gateway.
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

    /// Whether what goes from one zone to another is lost.
    pub(super) fn is_lost(&self, from: u32, to: u32) -> bool {
        self.uplinks
            .iter()
            .any(|uplink| uplink.loses(self.now, from, to))
    }

    /// Whether connections between two zones are lost: they need both ways.
    pub(super) fn is_apart(&self, one: u32, other: u32) -> bool {
        self.is_lost(one, other) || self.is_lost(other, one)
    }

    /// A zone's uplink is lost.
    pub(super) fn loses_uplink(&mut self, failure: u32) {
        let Failure::UplinkLost {
            for_s,
            zone,
            way,
            flap_s,
            ..
        } = self.scenario.failures[failure as usize].get_ref()
        else {
            return;
        };
        let until = self.now.saturating_add(nanos(*for_s));
        let uplink = Uplink {
            zone: *zone,
            from: self.now,
            until,
            way: *way,
            flap: nanos(*flap_s),
        };
        self.uplinks.push(uplink);
        self.measures.fleet.island = Some((*zone, self.now, until));
        let crosses = |engine: &Self, one: &super::Request| match one.phase {
            Phase::Stands { gateway } => {
                engine.is_apart(engine.zone(one.balancer), engine.zone(gateway))
            }
            _ => false,
        };
        let mut cut: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, one)| crosses(self, one))
            .map(|(id, _)| *id)
            .collect();
        cut.sort_unstable();
        cut.into_iter()
            .for_each(|request| self.cut_off(request, false));
    }

    /// The uplink is back for good: whoever judges nothing has its watch again soon.
    pub(super) fn has_uplink(&mut self, zone: u32) {
        for balancer in 0..self.nodes.len() as u32 {
            if self.zone(balancer) == zone && !self.scenario.fleet.edge {
                let start = self.nodes[balancer as usize].start;
                let wait = self.link_delay(self.scenario.net.discovery_ms);
                self.after(
                    wait,
                    Occurrence::Listed {
                        balancer,
                        start,
                        full: true,
                    },
                );
            }
        }
    }

    /// A balancer begins to judge its zone's uplink.
    pub(super) fn has_edge(&mut self, balancer: u32) {
        if !self.scenario.fleet.edge {
            return;
        }
        let config = Config {
            site: self.site(balancer),
            name: mesh::name(balancer),
            seed: self.scenario.seed ^ u64::from(balancer),
            processes: self.scenario.balancers,
            is_discovery_local: self.zone(balancer) == 0,
            is_store_local: true,
            ..Config::default()
        };
        self.hosts[balancer as usize].edge =
            Some(Edge::new(config, mesh::wall(self.now), Start::Fresh));
        let start = self.nodes[balancer as usize].start;
        // Each at its own moment of a second.
        let first = self.wire.even();
        self.after(first, Occurrence::Judges { balancer, start });
    }

    /// Tells a balancer's judgement something and does what it asks for.
    pub(super) fn sees(&mut self, balancer: u32, evidence: Evidence) {
        let Some(edge) = &mut self.hosts[balancer as usize].edge else {
            return;
        };
        let (mut actions, wall) = (Vec::new(), mesh::wall(self.now));
        edge.handle(wall, evidence, &mut actions);
        for action in actions {
            self.acts(balancer, action);
        }
    }

    fn acts(&mut self, balancer: u32, action: Action) {
        let start = self.nodes[balancer as usize].start;
        match action {
            Action::StateChanged { .. } => self.tell_module(balancer, ListUpdate::Snapshot),
            Action::Probe { target: place } => {
                let beyond = self.zone_of(&place);
                let wait = if self.is_apart(self.zone(balancer), beyond) {
                    GIVES_UP
                } else {
                    0.01
                };
                self.measures.fleet.probes += u64::from(wait == GIVES_UP);
                let discovery = place == RemoteTarget::Discovery;
                self.after(
                    wait,
                    Occurrence::Probed {
                        balancer,
                        start,
                        beyond,
                        discovery,
                        lost: wait == GIVES_UP,
                    },
                );
            }
            Action::Rejoin(RejoinStep::Reconnect {
                target: RemoteTarget::Discovery,
                delay_ms: in_ms,
            }) => {
                self.after(
                    in_ms as f64 / 1e3,
                    Occurrence::AsksAgain { balancer, start },
                );
            }
            Action::Rejoin(RejoinStep::Merge) => {
                // Its list is the one that it has asked for; what it may move are those that drain or are gone.
                self.measures.fleet.merges.push(self.now);
                self.tell_list(balancer, true);
                self.sees(balancer, Evidence::RejoinStepDone(RejoinStep::Merge));
            }
            _ => {}
        }
    }

    fn zone_of(&self, place: &RemoteTarget) -> u32 {
        match place {
            RemoteTarget::Site(name) => name
                .strip_prefix('z')
                .and_then(|zone| zone.parse().ok())
                .unwrap_or(0),
            RemoteTarget::Discovery | RemoteTarget::Store => 0,
        }
    }

    /// What it asked beyond the link has ended.
    pub(super) fn probed(&mut self, balancer: u32, beyond: u32, discovery: bool, lost: bool) {
        let evidence = match (discovery, lost) {
            (true, true) => Evidence::DiscoveryFailed,
            (true, false) => Evidence::DiscoveryAnswered { latency_ms: 10 },
            (false, _) => {
                let outcome = if lost {
                    RequestOutcome::Failed
                } else {
                    RequestOutcome::Answered { latency_ms: 10 }
                };
                Evidence::RemoteServerRequest {
                    site: format!("z{beyond}"),
                    outcome,
                }
            }
        };
        self.sees(balancer, evidence);
    }

    /// It asks discovery again after an island.
    pub(super) fn asks_again(&mut self, balancer: u32) {
        let apart = self.is_apart(self.zone(balancer), 0);
        self.sees(
            balancer,
            if apart {
                Evidence::WatchLost
            } else {
                Evidence::WatchAlive
            },
        );
    }

    /// Once a second: what its watch and its peers in other zones show.
    pub(super) fn judges(&mut self, balancer: u32, start: u32) {
        self.after(1.0, Occurrence::Judges { balancer, start });
        let (own, wall) = (self.zone(balancer), mesh::wall(self.now));
        let apart = self.is_apart(own, 0) || self.now < self.discovery_back_at;
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
            self.sees(
                balancer,
                if apart {
                    Evidence::WatchLost
                } else {
                    Evidence::WatchAlive
                },
            );
        }
        for zone in (0..self.scenario.zones).filter(|zone| *zone != own) {
            let site = format!("z{zone}");
            let Some(node) = &self.hosts[balancer as usize].node else {
                return;
            };
            let Some((name, at)) = node.payload().last_seen.get(&site).cloned() else {
                continue;
            };
            let both_ways = node.members().any(|member| *member.name == *name);
            let evidence = match wall.saturating_sub(at) < SILENT {
                true => Evidence::PeerMessage {
                    name,
                    site,
                    is_bidirectional: both_ways,
                },
                false => Evidence::PeerSilent { name, site },
            };
            self.sees(balancer, evidence);
        }
        self.sees(balancer, Evidence::Tick);
    }

    /// Whether a balancer may send anything new to a gateway, as far as its zone is an island.
    pub(super) fn may_place(&self, balancer: u32, gateway: u32) -> bool {
        let Some(edge) = &self.hosts[balancer as usize].edge else {
            return true;
        };
        let place = Decision::PlaceClient {
            site: format!("z{}", self.zone(gateway)),
            is_listed: true,
            is_healthy: true,
        };
        edge.permission(mesh::wall(self.now), &place) == Permission::Granted
    }

    /// Whether a balancer's own watch brings it the list now.
    pub(super) fn is_watching(&self, balancer: u32) -> bool {
        let merges = |edge: &Edge| {
            matches!(
                edge.state(),
                beaconflow_edge::UplinkState::Isolated | beaconflow_edge::UplinkState::Rejoining
            )
        };
        let is_apart = self.is_apart(self.zone(balancer), 0);
        !is_apart
            && !self.hosts[balancer as usize]
                .edge
                .as_ref()
                .is_some_and(merges)
    }

    /// A client of the zone whose uplink is lost begins to want a connection, or has it, within the span that counts.
    pub(super) fn count_isolated(&mut self, client: u64, stood: Option<Nanos>) {
        let Some((zone, from, until)) = self.measures.fleet.island else {
            return;
        };
        let one = &self.clients[&client];
        if (from..until.max(from + SECOND)).contains(&one.since)
            && one.key % u64::from(self.scenario.zones) == u64::from(zone)
        {
            let in_time = nanos(self.scenario.classes[one.class as usize].aim_ms / 1e3);
            match stood {
                None => self.measures.fleet.island_wanted += 1,
                Some(took) => {
                    self.measures.fleet.island_served += u64::from(took <= in_time);
                    self.measures.fleet.island_took.push(took);
                }
            }
        }
    }
}
