//! Balancers: what they are told, what they decide, and what discovery says to them.

use std::rc::Rc;

use beaconflow_affinity::EndReason;
use beaconflow_policy::{
    Action, AttemptOutcome, Event, ListUpdate, MigrationReason, ServerEntry, ServerId, ServerState,
    ZoneId,
};

use super::recovery::Listed;
use super::{Engine, Occurrence, Phase};
use crate::{Nanos, nanos};

/// Part of its weight that a gateway of another zone has where clients come to the balancers of their own: those would
/// else be led beyond the link as often as not.
const BEYOND: f64 = 0.01;

impl Engine<'_> {
    pub(super) fn tell(&mut self, balancer: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.nodes[balancer as usize]
            .decides
            .handle(self.now, event, &mut actions);
        self.carry_out(balancer, actions);
    }

    pub(super) fn carry_out(&mut self, balancer: u32, mut actions: Vec<Action>) {
        let start = self.nodes[balancer as usize].start;
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt {
                    request,
                    server,
                    timeout,
                    ..
                } => {
                    self.attempts(request.0, server.0 % self.scenario.gateways, timeout);
                }
                Action::Reject {
                    request,
                    retry_after,
                } => {
                    let retry_after = self.stays_away(balancer, request.0, retry_after);
                    self.answered(request.0, true, retry_after);
                }
                Action::Fail(request) => self.answered(request.0, false, None),
                Action::Migrate(request, why) => self.moves(request.0, why, false),
                Action::SetTimer { after, timer } => {
                    let at = self.now.saturating_add(after);
                    self.push(
                        at,
                        Occurrence::Timer {
                            balancer,
                            start,
                            timer: timer.0,
                        },
                    );
                }
                Action::WatchServerList => self.watches(balancer),
                Action::Enqueue(_) | Action::ProbeServer(_) | Action::LogOverload(_) => {}
            }
        }
        if self.actions.capacity() < actions.capacity() {
            self.actions = actions;
        }
    }

    pub(super) fn attempts(&mut self, request: u64, gateway: u32, timeout: Nanos) {
        let Some(one) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = one.attempts;
        one.attempts += 1;
        one.phase = Phase::Out { gateway };
        let balancer = one.balancer;
        self.checker.attempts(self.now, request, balancer, gateway);
        self.measures.at(self.now).attempts += 1;
        let way = self.link_delay(self.scenario.net.gateway_ms);
        self.after(
            way,
            Occurrence::Reaches {
                request,
                attempt,
                gateway,
            },
        );
        let at = self.now.saturating_add(timeout);
        self.push(at, Occurrence::TimesOut { request, attempt });
    }

    pub(super) fn answered(&mut self, request: u64, refused: bool, told: Option<Nanos>) {
        let Some(one) = self.requests.remove(&request) else {
            return;
        };
        self.checker.answered(self.now, request, refused);
        let second = self.measures.at(self.now);
        if refused {
            second.refused += 1;
        } else {
            second.failed += 1;
        }
        self.tries_again(one.client, told);
    }

    /// A connection is moved off its gateway, by the decisions or by its host.
    pub(super) fn moves(&mut self, request: u64, why: MigrationReason, by_host: bool) {
        let Some(one) = self.lets_go(request) else {
            return;
        };
        self.measures.at(self.now).moved += 1;
        self.measures.fleet.evened += u64::from(matches!(
            why,
            MigrationReason::Rebalancing | MigrationReason::SlowStart
        ));
        let how = match why {
            MigrationReason::ServerLeaving => EndReason::MigratedServerLeaving,
            MigrationReason::SlowMessages => EndReason::MigratedSlowMessages,
            MigrationReason::Rebalancing | MigrationReason::SlowStart => {
                EndReason::MigratedRebalancing
            }
        };
        self.is_gone(one.balancer, request, one.client, how);
        if let Some(had) = self
            .clients
            .get_mut(&one.client)
            .and_then(|client| client.had.as_mut())
        {
            had.moved = true;
        }
        if by_host {
            self.tell_ended(&one, request, AttemptOutcome::Served);
        }
        self.comes_back(one.client);
    }

    /// Discovery is asked: its word comes after a while, or that it is away.
    pub(super) fn watches(&mut self, balancer: u32) {
        let start = self.nodes[balancer as usize].start;
        let wait = self.link_delay(self.scenario.net.discovery_ms);
        let at = self
            .now
            .max(self.discovery_back_at)
            .saturating_add(nanos(wait));
        self.push(
            at,
            Occurrence::Listed {
                balancer,
                start,
                full: true,
            },
        );
    }

    pub(super) fn tell_list(&mut self, balancer: u32, full: bool) {
        if self.now < self.discovery_back_at {
            let start = self.nodes[balancer as usize].start;
            let at = self.discovery_back_at;
            return self.push(
                at,
                Occurrence::Listed {
                    balancer,
                    start,
                    full,
                },
            );
        }
        let listed = self.listed();
        for (at, one) in listed.iter().enumerate() {
            self.checker.listed(
                self.now,
                balancer,
                at as u32,
                one.state == ServerState::Ready,
            );
        }
        self.hosts[balancer as usize].list = Some(Rc::new(listed));
        self.sees_ready(balancer);
        self.tell_module(
            balancer,
            if full {
                ListUpdate::Snapshot
            } else {
                ListUpdate::Delta
            },
        );
    }

    /// The decisions are told the list.
    pub(super) fn tell_module(&mut self, balancer: u32, update: ListUpdate) {
        let (zones, paced) = (self.scenario.zones, self.is_paced(balancer));
        let Some(list) = self.hosts[balancer as usize].list.clone() else {
            return;
        };
        // What paces clients over the whole fleet is not to be held against each gateway once more.
        let warmth = |listed: &Listed| {
            if paced {
                self.capacity_fraction(listed)
            } else {
                1.0
            }
        };
        let host = &self.hosts[balancer as usize];
        let (runs, follows) = (&self.configurations.all[host.runs], host.places.is_some());
        // Whoever does not follow a gateway under its new name takes it for another one.
        let id = |at: usize| {
            let is_another = runs.renamed[at] && !follows;
            at as u32
                + if is_another {
                    self.scenario.gateways
                } else {
                    0
                }
        };
        let own = self.zone(balancer);
        let near = |at: usize| {
            if self.by_zone && self.zone(at as u32) != own {
                BEYOND
            } else {
                1.0
            }
        };
        let entry = |(at, listed): (usize, &Listed)| ServerEntry {
            server: ServerId(id(at)),
            name_hash: (u64::from(id(at)) + 1).wrapping_mul(0x94d0_49bb_1331_11eb),
            state: match (runs.gateways[at], listed.state) {
                // What stands stays, until it is dealt anew at the pace that is set for that.
                (None, ServerState::Ready) if follows => ServerState::OutOfService,
                (None, _) => ServerState::Removed,
                (Some(_), ServerState::Ready) if !self.may_place(balancer, at as u32) => {
                    ServerState::OutOfService
                }
                (Some(_), state) => state,
            },
            zone: ZoneId(at as u32 % zones),
            cell: 0,
            machine_type: 0,
            weight: listed.weight
                * near(at)
                * warmth(listed)
                * runs.gateways[at].map_or(1.0, |(_, part)| part),
            target_weight: None,
            started_at: if paced {
                0
            } else {
                listed.started_at.unwrap_or(0)
            },
        };
        let entries: Vec<ServerEntry> = list.iter().enumerate().map(entry).collect();
        self.tell(balancer, Event::ServerList { update, entries });
    }

    /// Discovery has something new to tell to all.
    pub(super) fn list_changes(&mut self) {
        self.generation += 1;
        for balancer in 0..self.nodes.len() as u32 {
            let start = self.nodes[balancer as usize].start;
            let wait = self.link_delay(self.scenario.net.discovery_ms);
            self.after(
                wait,
                Occurrence::Listed {
                    balancer,
                    start,
                    full: false,
                },
            );
        }
    }
}
