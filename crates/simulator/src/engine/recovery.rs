//! Recovery of restarted balancers: discovery queries, staged admission and the return to full service.

use std::rc::Rc;

use beaconflow_edge::Edge;
use beaconflow_membership::Node;
use beaconflow_policy::{ListUpdate, ServerState};
use beaconflow_recovery::{
    AccountShare, Action, AdmissionRequest, Entry, Event, EvidenceSource, Lifecycle, List,
    ListSource, Memory, PreviousClients, Recovery, RecoveryConfig, RecoveryState as Stage,
    RequestClass, ServiceMode, SlowStartRules,
};

use super::affinity::BalancerPlacements;
use super::{Engine, GatewayState, ScheduledEvent};
use crate::mesh::{self, GossipPayload};
use crate::scenario::{COLD_OVERLOAD_MULTIPLE, COLD_OVERLOAD_WINDOW_S};
use crate::{Nanos, SECOND, nanos};

/// Events for a passed timer and for a failed discovery query.
pub(super) const TICK: Event = Event::Tick;
pub(super) const QUERY_FAILED: Event = Event::QueryFailed(EvidenceSource::Discovery);
/// A discovery query that fails does so after this, in seconds.
const QUERY_FAILURE_DELAY_S: f64 = 0.01;
/// Weights follow the warm-up once the capacity fractions of the gateways differ by at least this.
const MIN_CAPACITY_SPREAD: f64 = 0.05;

/// Discovery's entry for a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ListedGateway {
    pub(super) state: ServerState,
    pub(super) weight: f64,
    pub(super) started_at: Option<Nanos>,
}

/// The parts of a balancer around its policy engine: gossip node, recovery, uplink detection and disk.
#[derive(Default)]
pub(super) struct BalancerHost {
    pub(super) node: Option<Node<GossipPayload>>,
    pub(super) published_at: Option<Nanos>,
    pub(super) wake_at: Option<u64>,
    pub(super) recovery: Option<Recovery>,
    /// When its present incarnation started.
    pub(super) started_at: Nanos,
    pub(super) admitting_since: Option<Nanos>,
    pub(super) next_timer_at: Option<Nanos>,
    /// The server list that it currently uses.
    pub(super) list: Option<Rc<Vec<ListedGateway>>>,
    /// Index of the configuration that it runs.
    pub(super) configuration_index: usize,
    /// What it knows about placements; `None` without affinity.
    pub(super) placements: Option<BalancerPlacements>,
    /// Detection of failures of its zone's uplink.
    pub(super) edge: Option<Edge>,
    /// Recovery state saved on its disk, which survives restarts.
    pub(super) disk: Option<Memory>,
}

impl Engine<'_> {
    /// Connected clients by class and account.
    pub(super) fn previous_clients(&self) -> Vec<PreviousClients> {
        let accounts = self.scenario.accounts.len().max(1);
        let entry = |(at, clients): (usize, &u32)| PreviousClients {
            class: at / accounts,
            account: (at % accounts) as u64,
            clients: f64::from(*clients),
        };
        self.established_counts
            .iter()
            .enumerate()
            .filter(|(_, clients)| **clients > 0)
            .map(entry)
            .collect()
    }

    fn recovery_config(&self, balancer: u32) -> RecoveryConfig {
        let (scenario, make) = (self.scenario, &self.scenario.make);
        let class = |class: &crate::scenario::Class| RequestClass {
            deadline: nanos(class.deadline_ms / 1e3),
        };
        let share = |(at, account): (usize, &crate::scenario::Account)| AccountShare {
            account: at as u64,
            share: account.share,
        };
        let usual_clients = scenario.classes.iter().map(|class| class.standing).sum();
        RecoveryConfig {
            name: mesh::balancer_name(balancer),
            site: self.site(balancer),
            fleet_size: scenario.balancers,
            site_peers: (0..scenario.balancers)
                .filter(|rank| self.site(*rank) == self.site(balancer))
                .count() as u32
                - 1,
            slow_start: SlowStartRules {
                warm_up_time: nanos(make.cold_s),
                initial_capacity: make.cold_share,
                overload_multiple: COLD_OVERLOAD_MULTIPLE,
                overload_window: nanos(COLD_OVERLOAD_WINDOW_S),
                variance_margin: scenario.fleet.slack,
                clients_per_server_s: scenario.clients_per_warm_gateway_s() / f64::from(make.cores),
            },
            classes: scenario.classes.iter().map(class).collect(),
            accounts: scenario.accounts.iter().enumerate().map(share).collect(),
            usual_clients,
            group_size: match scenario.clients.groups {
                0 => 0.0,
                groups => f64::from(usual_clients) / f64::from(groups),
            },
            ..RecoveryConfig::default()
        }
    }

    /// The state a balancer has on disk: current if it may update it, else what it saved before; `None` without recovery.
    pub(super) fn memory_snapshot(&self, balancer: u32) -> Option<Memory> {
        if !self.scenario.fleet.recovery {
            return None;
        }
        let host = &self.hosts[balancer as usize];
        if host
            .recovery
            .as_ref()
            .is_some_and(|recovery| !recovery.can_update_memory())
        {
            return host.disk.clone();
        }
        Some(Memory {
            owner: mesh::balancer_name(balancer),
            incarnation: u64::from(self.balancers[balancer as usize].incarnation) + 1,
            written_at: mesh::wall_clock_ms(self.now),
            list: Some(List {
                source: ListSource::Memory,
                ..self.recovery_list()
            }),
            previous_clients: self.previous_clients(),
            clients_per_server_s: None,
        })
    }

    /// Discovery's current list in the form that recovery reads.
    fn recovery_list(&self) -> List {
        let entry = |(at, listed): (usize, &ListedGateway)| Entry {
            name: format!("g{at}"),
            started_at_ms: listed.started_at.map_or(0, mesh::wall_clock_ms),
            lifecycle: match listed.state {
                ServerState::Ready => Lifecycle::Ready,
                ServerState::Removed => Lifecycle::Removed,
                ServerState::Draining | ServerState::OutOfService => Lifecycle::Draining,
            },
            weight: listed.weight,
        };
        List {
            source: ListSource::Discovery,
            generation: self.generation,
            incarnation: 1,
            age: 0,
            reported_at: Some(mesh::wall_clock_ms(self.now)),
            entries: self
                .listed_gateways()
                .iter()
                .enumerate()
                .map(entry)
                .collect(),
        }
    }

    /// Discovery's current entries for all gateways.
    pub(super) fn listed_gateways(&self) -> Vec<ListedGateway> {
        let listed = |gateway: &GatewayState| ListedGateway {
            state: gateway.listed,
            weight: f64::from(gateway.gateway.make().cores),
            started_at: gateway.gateway.started_at(),
        };
        self.gateways.iter().map(listed).collect()
    }

    /// Capacity fraction of a gateway, computed from its listed start time.
    pub(super) fn capacity_fraction(&self, listed: &ListedGateway) -> f64 {
        let make = &self.scenario.make;
        let Some(started_at) = listed.started_at else {
            return 1.0;
        };
        let age = self.now.saturating_sub(started_at) as f64
            / SECOND as f64
            / make.cold_s.max(f64::MIN_POSITIVE);
        (make.cold_share + (1.0 - make.cold_share) * age).min(1.0)
    }

    /// Starts the recovery of a restarted balancer.
    pub(super) fn start_recovery(&mut self, balancer: u32) {
        let config = self.recovery_config(balancer);
        let incarnation = self.balancers[balancer as usize].incarnation;
        let seed =
            self.scenario.seed ^ (u64::from(balancer) << 32) ^ u64::from(incarnation) ^ 0x5eed;
        let recovery = Recovery::new(config, seed).expect("the scenario was validated");
        let host = &mut self.hosts[balancer as usize];
        let memory = host.disk.clone();
        (host.recovery, host.started_at, host.admitting_since) = (Some(recovery), self.now, None);
        host.next_timer_at = None;
        self.handle_recovery_event(
            balancer,
            Event::Started {
                incarnation: u64::from(incarnation) + 1,
                memory,
            },
        );
    }

    /// Passes an event to a balancer's recovery and applies the resulting actions.
    pub(super) fn handle_recovery_event(&mut self, balancer: u32, event: Event) {
        let (now, wall) = (self.now, mesh::wall_clock_ms(self.now));
        let host = &mut self.hosts[balancer as usize];
        let Some(recovery) = &mut host.recovery else {
            return;
        };
        let mut actions = Vec::new();
        recovery.handle(now - host.started_at, wall, event, &mut actions);
        let due_at = recovery
            .next_tick_at()
            .map(|due_at| (host.started_at + due_at).max(now + 1_000_000));
        if let Some(at) = due_at.filter(|due_at| {
            host.next_timer_at
                .is_none_or(|old| old <= now || *due_at < old)
        }) {
            host.next_timer_at = Some(at);
            let incarnation = self.balancers[balancer as usize].incarnation;
            self.schedule_at(
                at,
                ScheduledEvent::RecoveryTickDue {
                    balancer,
                    incarnation,
                },
            );
        }
        actions
            .into_iter()
            .for_each(|action| self.apply_recovery_action(balancer, action));
    }

    fn apply_recovery_action(&mut self, balancer: u32, action: Action) {
        let incarnation = self.balancers[balancer as usize].incarnation;
        match action {
            Action::Query {
                source: EvidenceSource::Discovery,
                delay: after,
            } => {
                let at = self.now.saturating_add(after);
                self.schedule_at(
                    at,
                    ScheduledEvent::DiscoveryQueryDue {
                        balancer,
                        incarnation,
                    },
                );
            }
            Action::SetServiceMode { mode, .. } if mode != ServiceMode::Unavailable => {
                let now = self.now;
                self.hosts[balancer as usize]
                    .admitting_since
                    .get_or_insert(now);
                if mode == ServiceMode::Full {
                    // In full service the policy engine applies its own limit on cold gateways.
                    self.send_server_list(balancer, ListUpdate::Snapshot);
                }
            }
            Action::ListChanged => self.send_server_list(balancer, ListUpdate::Snapshot),
            Action::Admit { id } => self.admit(balancer, id),
            Action::Defer {
                id, retry_after, ..
            } => self.end_unplaced_request(id, true, Some(retry_after)),
            Action::LendQuota {
                to,
                number,
                clients,
            } => {
                let Some(to) = mesh::rank_from_name(&to) else {
                    return;
                };
                if !self
                    .peer_rng
                    .happens_with_probability(self.scenario.fleet.lost)
                {
                    let wait = self
                        .peer_rng
                        .exponential(self.scenario.fleet.delay_ms / 1e3);
                    let bits = clients.to_bits();
                    self.schedule_after(
                        wait,
                        ScheduledEvent::QuotaLent {
                            to,
                            from: balancer,
                            number,
                            bits,
                        },
                    );
                }
            }
            _ => {}
        }
    }

    /// Queries discovery, which fails while discovery is unavailable.
    pub(super) fn query_discovery(&mut self, balancer: u32) {
        if self.now < self.discovery_back_at {
            let incarnation = self.balancers[balancer as usize].incarnation;
            return self.schedule_after(
                QUERY_FAILURE_DELAY_S,
                ScheduledEvent::DiscoveryQueryFailed {
                    balancer,
                    incarnation,
                },
            );
        }
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

    /// Passes discovery's list to a balancer's recovery.
    pub(super) fn on_list_received(&mut self, balancer: u32) {
        let list = self.recovery_list();
        self.handle_recovery_event(balancer, Event::ListReceived(list));
    }

    /// Whether staged admission limits a balancer to the pace that cold gateways can take. Its policy engine then treats
    /// all gateways as warm.
    pub(super) fn is_paced(&self, balancer: u32) -> bool {
        let recovery = self
            .hosts
            .get(balancer as usize)
            .and_then(|host| host.recovery.as_ref());
        recovery.is_some_and(|recovery| recovery.state() != Stage::Serving)
    }

    /// Passes admission quota lent by a peer to a balancer's recovery.
    pub(super) fn on_quota_lent(&mut self, to: u32, from: u32, number: u64, bits: u64) {
        let (from, clients) = (mesh::balancer_name(from), f64::from_bits(bits));
        self.handle_recovery_event(
            to,
            Event::QuotaLent {
                from,
                number,
                clients,
            },
        );
    }

    /// Admits a client: passes its request to the policy engine.
    fn admit(&mut self, balancer: u32, request: u64) {
        let Some(client) = self
            .requests
            .get(&request)
            .map(|request_state| request_state.client)
        else {
            return;
        };
        self.request_placement(balancer, request, client);
    }

    /// Updates the server weights of paced balancers while gateways differ in warm-up.
    pub(super) fn update_cold_weights(&mut self) {
        let fractions: Vec<f64> = self
            .gateways
            .iter()
            .map(|gateway_state| gateway_state.gateway.capacity_fraction(self.now))
            .collect();
        let (low, high) = fractions
            .iter()
            .fold((1.0_f64, 0.0_f64), |(low, high), fraction| {
                (low.min(*fraction), high.max(*fraction))
            });
        if high - low < MIN_CAPACITY_SPREAD {
            return;
        }
        for balancer in 0..self.hosts.len() as u32 {
            if self.is_paced(balancer) {
                self.send_server_list(balancer, ListUpdate::Snapshot);
            }
        }
    }

    /// Submits a client's request to the staged admission of a recovering balancer.
    pub(super) fn request_admission(&mut self, balancer: u32, request: u64, client: u64) {
        let client_state = &self.clients[&client];
        let arrival = AdmissionRequest {
            id: request,
            class: client_state.class as usize,
            account: u64::from(client_state.account),
            group: client_state.group.map(u64::from),
            client_key: Some(client_state.key),
        };
        self.handle_recovery_event(balancer, Event::AdmissionRequested(arrival));
    }

    /// Time in which an ideal refill connects 99% of the clients: one with complete information that uses the overload
    /// limit of the cold gateways in full. The search ends after 3,600 simulated seconds.
    pub(super) fn ideal_refill_time(&self, clients: f64) -> Nanos {
        const STEP: Nanos = SECOND / 1_000;
        let (mut at, mut sum) = (0, 0.0);
        let rate = COLD_OVERLOAD_MULTIPLE * self.scenario.clients_per_warm_gateway_s() / 1e3;
        while sum < 0.99 * clients && at < 3_600 * SECOND {
            at += STEP;
            sum += self
                .gateways
                .iter()
                .map(|gateway_state| rate * gateway_state.gateway.capacity_fraction(self.now + at))
                .sum::<f64>();
        }
        at
    }
}
