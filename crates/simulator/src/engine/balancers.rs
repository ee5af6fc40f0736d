//! Balancers: the events they receive, the actions they take, and the server lists from discovery.

use std::rc::Rc;

use beaconflow_affinity::EndReason;
use beaconflow_policy::{
    Action, AttemptOutcome, Event, ListUpdate, MigrationReason, ServerEntry, ServerId, ServerState,
    ZoneId,
};

use super::recovery::ListedGateway;
use super::{Engine, Phase, ScheduledEvent};
use crate::{Nanos, nanos};

/// Weight factor of gateways in other zones where clients connect to the balancers of their own zone. With full weight
/// about every other client would be placed across the uplink.
const REMOTE_ZONE_WEIGHT: f64 = 0.01;

impl Engine<'_> {
    pub(super) fn send_event(&mut self, balancer: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancers[balancer as usize]
            .engine
            .handle(self.now, event, &mut actions);
        self.apply_actions(balancer, actions);
    }

    pub(super) fn apply_actions(&mut self, balancer: u32, mut actions: Vec<Action>) {
        let incarnation = self.balancers[balancer as usize].incarnation;
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt {
                    request,
                    server,
                    timeout,
                    ..
                } => {
                    self.start_attempt(request.0, server.0 % self.scenario.gateways, timeout);
                }
                Action::Reject {
                    request,
                    retry_after,
                } => {
                    let retry_after = self.shared_retry_after(balancer, request.0, retry_after);
                    self.end_unplaced_request(request.0, true, retry_after);
                }
                Action::Fail(request) => self.end_unplaced_request(request.0, false, None),
                Action::Migrate(request, reason) => self.migrate(request.0, reason, false),
                Action::SetTimer { after, timer } => {
                    let at = self.now.saturating_add(after);
                    self.schedule_at(
                        at,
                        ScheduledEvent::TimerFired {
                            balancer,
                            incarnation,
                            timer: timer.0,
                        },
                    );
                }
                Action::WatchServerList => self.watch_server_list(balancer),
                Action::Enqueue(_) | Action::ProbeServer(_) | Action::LogOverload(_) => {}
            }
        }
        if self.actions.capacity() < actions.capacity() {
            self.actions = actions;
        }
    }

    pub(super) fn start_attempt(&mut self, request: u64, gateway: u32, timeout: Nanos) {
        let Some(request_state) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = request_state.attempts;
        request_state.attempts += 1;
        request_state.phase = Phase::Attempting { gateway };
        let balancer = request_state.balancer;
        self.checker
            .on_attempt_started(self.now, request, balancer, gateway);
        self.measures.second_at(self.now).attempts += 1;
        let delay_s = self.link_delay(self.scenario.net.gateway_ms);
        self.schedule_after(
            delay_s,
            ScheduledEvent::AttemptArrived {
                request,
                attempt,
                gateway,
            },
        );
        let at = self.now.saturating_add(timeout);
        self.schedule_at(at, ScheduledEvent::AttemptTimedOut { request, attempt });
    }

    pub(super) fn end_unplaced_request(
        &mut self,
        request: u64,
        is_rejected: bool,
        retry_after: Option<Nanos>,
    ) {
        let Some(request_state) = self.requests.remove(&request) else {
            return;
        };
        self.checker
            .on_request_answered(self.now, request, is_rejected);
        let second = self.measures.second_at(self.now);
        if is_rejected {
            second.refused += 1;
        } else {
            second.failed += 1;
        }
        self.schedule_retry(request_state.client, retry_after);
    }

    /// Migrates a connection off its gateway, as decided by the policy engine or by the rebalancer of the host.
    pub(super) fn migrate(&mut self, request: u64, reason: MigrationReason, by_host: bool) {
        let Some(request_state) = self.remove_established(request) else {
            return;
        };
        self.measures.second_at(self.now).moved += 1;
        self.measures.fleet.evened += u64::from(matches!(
            reason,
            MigrationReason::Rebalancing | MigrationReason::SlowStart
        ));
        let end_reason = match reason {
            MigrationReason::ServerLeaving => EndReason::MigratedServerLeaving,
            MigrationReason::SlowMessages => EndReason::MigratedSlowMessages,
            MigrationReason::Rebalancing | MigrationReason::SlowStart => {
                EndReason::MigratedRebalancing
            }
        };
        self.record_placement_ended(
            request_state.balancer,
            request,
            request_state.client,
            end_reason,
        );
        if let Some(last_gateway) = self
            .clients
            .get_mut(&request_state.client)
            .and_then(|client| client.last_gateway.as_mut())
        {
            last_gateway.was_migrated = true;
        }
        if by_host {
            self.send_connection_ended(&request_state, request, AttemptOutcome::Served);
        }
        self.reconnect_client(request_state.client);
    }

    /// Queries discovery for the server list; the answer arrives after the network delay, once discovery is available.
    pub(super) fn watch_server_list(&mut self, balancer: u32) {
        let incarnation = self.balancers[balancer as usize].incarnation;
        let wait = self.link_delay(self.scenario.net.discovery_ms);
        let at = self
            .now
            .max(self.discovery_back_at)
            .saturating_add(nanos(wait));
        self.schedule_at(
            at,
            ScheduledEvent::ServerListArrived {
                balancer,
                incarnation,
                is_full: true,
            },
        );
    }

    pub(super) fn deliver_server_list(&mut self, balancer: u32, is_full: bool) {
        if self.now < self.discovery_back_at {
            let incarnation = self.balancers[balancer as usize].incarnation;
            let at = self.discovery_back_at;
            return self.schedule_at(
                at,
                ScheduledEvent::ServerListArrived {
                    balancer,
                    incarnation,
                    is_full,
                },
            );
        }
        let listed = self.listed_gateways();
        for (gateway, entry) in listed.iter().enumerate() {
            self.checker.on_server_listed(
                self.now,
                balancer,
                gateway as u32,
                entry.state == ServerState::Ready,
            );
        }
        self.hosts[balancer as usize].list = Some(Rc::new(listed));
        self.update_ready_since(balancer);
        self.send_server_list(
            balancer,
            if is_full {
                ListUpdate::Snapshot
            } else {
                ListUpdate::Delta
            },
        );
    }

    /// Passes the balancer's current server list to its policy engine.
    pub(super) fn send_server_list(&mut self, balancer: u32, update: ListUpdate) {
        let (zones, is_paced) = (self.scenario.zones, self.is_paced(balancer));
        let Some(list) = self.hosts[balancer as usize].list.clone() else {
            return;
        };
        // Staged admission already paces clients over the whole fleet, so that cold gateways are not limited a second
        // time.
        let capacity = |listed: &ListedGateway| {
            if is_paced {
                self.capacity_fraction(listed)
            } else {
                1.0
            }
        };
        let host = &self.hosts[balancer as usize];
        let (configuration, follows) = (
            &self.configurations.all[host.configuration_index],
            host.placements.is_some(),
        );
        // A balancer without affinity does not follow renames and takes a renamed gateway for a new one.
        let id = |at: usize| {
            let is_another = configuration.renamed[at] && !follows;
            at as u32
                + if is_another {
                    self.scenario.gateways
                } else {
                    0
                }
        };
        let own_zone = self.zone(balancer);
        let zone_weight = |at: usize| {
            if self.routes_by_zone && self.zone(at as u32) != own_zone {
                REMOTE_ZONE_WEIGHT
            } else {
                1.0
            }
        };
        let entry = |(at, listed): (usize, &ListedGateway)| ServerEntry {
            server: ServerId(id(at)),
            name_hash: (u64::from(id(at)) + 1).wrapping_mul(0x94d0_49bb_1331_11eb),
            state: match (configuration.gateways[at], listed.state) {
                // Existing connections stay until the rebalancer migrates them at its own pace.
                (None, ServerState::Ready) if follows => ServerState::OutOfService,
                (None, _) => ServerState::Removed,
                (Some(_), ServerState::Ready) if !self.can_place(balancer, at as u32) => {
                    ServerState::OutOfService
                }
                (Some(_), state) => state,
            },
            zone: ZoneId(at as u32 % zones),
            cell: 0,
            machine_type: 0,
            weight: listed.weight
                * zone_weight(at)
                * capacity(listed)
                * configuration.gateways[at].map_or(1.0, |(_, part)| part),
            target_weight: None,
            started_at: if is_paced {
                0
            } else {
                listed.started_at.unwrap_or(0)
            },
        };
        let entries: Vec<ServerEntry> = list.iter().enumerate().map(entry).collect();
        self.send_event(balancer, Event::ServerList { update, entries });
    }

    /// Schedules the delivery of a changed server list to all balancers.
    pub(super) fn notify_list_changed(&mut self) {
        self.generation += 1;
        for balancer in 0..self.balancers.len() as u32 {
            let incarnation = self.balancers[balancer as usize].incarnation;
            let wait = self.link_delay(self.scenario.net.discovery_ms);
            self.schedule_after(
                wait,
                ScheduledEvent::ServerListArrived {
                    balancer,
                    incarnation,
                    is_full: false,
                },
            );
        }
    }
}
