//! Work done every simulated second, and the failures of the scenario.

use beaconflow_policy::{AttemptOutcome, ConnectionMetric, Event, RequestId, ServerState};

use super::recovery::BalancerHost;
use super::{BalancerState, Engine, Phase, Request, ScheduledEvent};
use crate::gateway::Gateway;
use crate::scenario::Failure;
use crate::{Nanos, SECOND, nanos};

/// Message latency is reported when it exceeds this fraction of the message objective.
const SLOW_FRACTION: f64 = 0.33;

impl<'s> Engine<'s> {
    pub(super) fn on_second_elapsed(&mut self) {
        if self.scenario.fleet.recovery {
            self.update_cold_weights();
        }
        if self.scenario.fleet.affinity {
            self.run_rebalancers();
        }
        self.schedule_at(self.now + SECOND, ScheduledEvent::SecondElapsed);
        let objective_s = self
            .scenario
            .classes
            .iter()
            .map(|class| class.message_aim_ms / 1e3)
            .fold(f64::INFINITY, f64::min);
        let (mut standing, mut in_time, mut highest) = (0, 0.0, 0.0_f64);
        for at in 0..self.gateways.len() {
            let gateway_state = &mut self.gateways[at];
            if !gateway_state.is_up {
                continue;
            }
            for request in gateway_state.gateway.shed_connections(self.now) {
                self.schedule_at(self.now, ScheduledEvent::ConnectionDropped { request });
            }
            let gateway_state = &mut self.gateways[at];
            gateway_state.gateway.advance(self.now);
            let (now, count) = (self.now, gateway_state.gateway.connection_count());
            standing += count;
            if gateway_state.hangs_until <= now {
                in_time += count as f64 * gateway_state.gateway.fraction_in_time(now, objective_s);
            }
            highest = highest.max(gateway_state.gateway.load(now));
            let delay = gateway_state.gateway.mean_message_s(now);
            let slow = delay > objective_s * SLOW_FRACTION;
            if slow || gateway_state.is_slow {
                gateway_state.is_slow = slow;
                self.report_message_latency(at as u32, nanos(delay));
            }
        }
        let now = self.now;
        self.resets.retain(|(until, ..)| *until > now);
        let fractions: Vec<f64> = self.resets.iter().map(|(_, part, _)| *part).collect();
        fractions
            .into_iter()
            .for_each(|part| self.drop_connections(part, SECOND, false));
        let waiting: usize = self.balancers.iter().map(|node| node.engine.queued()).sum();
        let second = self.measures.second_at(self.now);
        second.standing = standing as u64;
        second.waiting = waiting as u64;
        second.highest_load = highest;
        second.messages_in_time = in_time / (standing.max(1) as f64);
    }

    /// Reports the message latency to each balancer on one of its connections to the gateway.
    pub(super) fn report_message_latency(&mut self, gateway: u32, delay: Nanos) {
        let mut notified = vec![false; self.balancers.len()];
        for request in self.gateways[gateway as usize].gateway.connection_ids() {
            let Some(request_state) = self.requests.get(&request) else {
                continue;
            };
            let (balancer, incarnation, attempt) = (
                request_state.balancer,
                request_state.incarnation,
                request_state.attempts - 1,
            );
            if std::mem::replace(&mut notified[balancer as usize], true)
                || self.balancers[balancer as usize].incarnation != incarnation
            {
                continue;
            }
            let metric = ConnectionMetric::MessageLatency(delay);
            self.send_event(
                balancer,
                Event::ConnectionMeasured {
                    request: RequestId(request),
                    attempt,
                    metric,
                },
            );
        }
    }

    /// Ends a random fraction of the established connections within a time span.
    pub(super) fn drop_connections(&mut self, part: f64, within: Nanos, by_client: bool) {
        for at in 0..self.gateways.len() {
            for request in self.gateways[at].gateway.connection_ids() {
                if self.rng.happens_with_probability(part) {
                    let wait = self.rng.uniform() * within as f64;
                    let event = if by_client {
                        ScheduledEvent::ConnectionClosedByClient { request }
                    } else {
                        ScheduledEvent::ConnectionDropped { request }
                    };
                    self.schedule_at(self.now.saturating_add(wait as Nanos), event);
                }
            }
        }
    }

    pub(super) fn begin_failure(&mut self, failure: u32) {
        let scenario = self.scenario;
        let schedule_next = |engine: &mut Engine<'s>, span: f64, part: u8| {
            engine.schedule_after(span, ScheduledEvent::FailureContinued { failure, part })
        };
        match scenario.failures[failure as usize].get_ref() {
            Failure::Hang {
                for_s, gateways, ..
            } => {
                let until = self.now.saturating_add(nanos(*for_s));
                for gateway in gateways {
                    let gateway_state = &mut self.gateways[*gateway as usize];
                    gateway_state.hangs_until = gateway_state.hangs_until.max(until);
                }
            }
            Failure::Crash {
                for_s, gateways, ..
            } => {
                gateways
                    .iter()
                    .for_each(|gateway| self.stop_gateway(*gateway, *for_s));
                self.notify_list_changed();
                schedule_next(self, *for_s, 1);
            }
            Failure::Drain {
                gone_after_s,
                gateways,
                ..
            } => {
                gateways
                    .iter()
                    .for_each(|at| self.gateways[*at as usize].listed = ServerState::Draining);
                self.notify_list_changed();
                schedule_next(self, *gone_after_s, 0);
            }
            Failure::Resets {
                for_s,
                part_a_second,
                set_ups,
                ..
            } => {
                self.resets.push((
                    self.now.saturating_add(nanos(*for_s)),
                    *part_a_second,
                    *set_ups,
                ));
            }
            Failure::StoreStalled { for_s, .. } => {
                let until = self.now.saturating_add(nanos(*for_s));
                if let Some(store) = &mut self.store {
                    store.stall(until);
                }
            }
            Failure::BalancerKilled {
                for_s, balancer, ..
            } => {
                self.hosts[*balancer as usize].disk = self.memory_snapshot(*balancer);
                self.kill_balancers(&[*balancer], *for_s);
                schedule_next(self, *for_s, 0);
            }
            Failure::DiscoveryAway { for_s, .. } => {
                let back_at = self.now.saturating_add(nanos(*for_s));
                self.discovery_back_at = self.discovery_back_at.max(back_at);
            }
            Failure::Reconnect {
                within_s,
                part,
                by_client,
                ..
            } => {
                self.drop_connections(*part, nanos(*within_s), *by_client);
            }
            Failure::PowerLoss {
                for_s,
                balancers,
                gateways,
                disks_lost,
                ..
            } => {
                let (balancers, gateways) = (
                    balancers.of(scenario.balancers),
                    gateways.of(scenario.gateways),
                );
                let lost_disks = disks_lost.of(scenario.balancers);
                for balancer in &balancers {
                    let memory = if lost_disks.contains(balancer) {
                        None
                    } else {
                        self.memory_snapshot(*balancer)
                    };
                    self.hosts[*balancer as usize].disk = memory;
                }
                let clients: f64 = self
                    .previous_clients()
                    .iter()
                    .map(|entry| entry.clients)
                    .sum();
                self.measures
                    .fleet
                    .record_power_loss(self.established_worth, clients);
                self.kill_balancers(&balancers, *for_s);
                gateways
                    .iter()
                    .for_each(|gateway| self.stop_gateway(*gateway, *for_s));
                self.notify_list_changed();
                schedule_next(self, *for_s, 0);
            }
            Failure::ConfigRoll { step_s, .. } => {
                for balancer in 0..scenario.balancers {
                    self.schedule_after(
                        f64::from(balancer) * step_s,
                        ScheduledEvent::ConfigurationAdopted { balancer, failure },
                    );
                }
            }
            Failure::UplinkLost { for_s, .. } => {
                self.lose_uplink(failure);
                schedule_next(self, *for_s, 0);
            }
            Failure::PeersCut {
                for_s, balancers, ..
            } => {
                let partitioned = balancers.of(scenario.balancers);
                let cut = (0..scenario.balancers)
                    .map(|balancer| partitioned.contains(&balancer))
                    .collect();
                self.peer_partitions
                    .push((self.now.saturating_add(nanos(*for_s)), cut));
            }
            Failure::Flood {
                for_s,
                clients,
                account,
                ..
            } => {
                let index = scenario
                    .accounts
                    .iter()
                    .position(|known| known.name == *account)
                    .unwrap_or(0);
                for _ in 0..*clients {
                    let client = self.new_client(0, Some(index as u32));
                    let until = self.now.saturating_add(nanos(*for_s));
                    self.clients
                        .get_mut(&client)
                        .expect("the client was just created")
                        .floods_until = until;
                    self.begin_connecting(client);
                }
            }
        }
    }

    pub(super) fn continue_failure(&mut self, failure: u32, part: u8) {
        match (self.scenario.failures[failure as usize].get_ref(), part) {
            (
                Failure::Drain {
                    for_s, gateways, ..
                },
                0,
            ) => {
                gateways
                    .iter()
                    .for_each(|gateway| self.stop_gateway(*gateway, *for_s));
                self.notify_list_changed();
                let span = *for_s;
                self.schedule_after(span, ScheduledEvent::FailureContinued { failure, part: 1 });
            }
            (Failure::Drain { gateways, .. } | Failure::Crash { gateways, .. }, _) => {
                gateways
                    .iter()
                    .for_each(|gateway| self.start_gateway(*gateway));
                self.notify_list_changed();
            }
            (
                Failure::PowerLoss {
                    balancers,
                    gateways,
                    ..
                },
                _,
            ) => {
                gateways
                    .of(self.scenario.gateways)
                    .iter()
                    .for_each(|gateway| self.start_gateway(*gateway));
                self.notify_list_changed();
                let clients = self.measures.fleet.clients_before_power_loss();
                let ideal_refill_time = self.ideal_refill_time(clients);
                self.measures
                    .fleet
                    .record_power_restored(self.now, ideal_refill_time);
                balancers
                    .of(self.scenario.balancers)
                    .iter()
                    .for_each(|balancer| self.restart_balancer(*balancer));
            }
            (Failure::UplinkLost { zone, .. }, _) => self.restore_uplink(*zone),
            (Failure::BalancerKilled { balancer, .. }, _) => self.restart_balancer(*balancer),
            _ => {}
        }
    }

    /// Starts a gateway cold, unless another failure keeps it down.
    pub(super) fn start_gateway(&mut self, gateway: u32) {
        let gateway_state = &mut self.gateways[gateway as usize];
        if gateway_state.is_up || self.now < gateway_state.down_until {
            return;
        }
        gateway_state.gateway = Gateway::new(self.scenario.make.clone(), self.now, false);
        gateway_state.sent.clear();
        (gateway_state.is_up, gateway_state.listed) = (true, ServerState::Ready);
    }

    /// Starts a balancer's process, unless another failure keeps it down.
    fn restart_balancer(&mut self, balancer: u32) {
        let BalancerState {
            incarnation,
            is_alive,
            down_until,
            ..
        } = self.balancers[balancer as usize];
        // An overlapping failure has to be over as well. Restarting a balancer that is already up would silently lose the
        // requests it has received since.
        if is_alive || self.now < down_until {
            return;
        }
        self.balancers[balancer as usize] = self.new_balancer(balancer, incarnation);
        self.checker.on_balancer_restarted(balancer);
        self.start_node(balancer);
        self.init_placements(balancer);
        self.init_edge(balancer);
        if self.scenario.fleet.recovery {
            self.start_recovery(balancer);
        } else {
            self.deliver_server_list(balancer, true);
        }
    }

    /// Stops a gateway: its connections break and its setups are lost.
    pub(super) fn stop_gateway(&mut self, gateway: u32, for_s: f64) {
        let gateway_state = &mut self.gateways[gateway as usize];
        gateway_state.down_until = gateway_state
            .down_until
            .max(self.now.saturating_add(nanos(for_s)));
        (gateway_state.is_up, gateway_state.listed) = (false, ServerState::Removed);
        gateway_state.incarnation += 1;
        let connection_ids = gateway_state.gateway.connection_ids();
        for request in connection_ids {
            self.break_connection(request, false);
        }
        // Set-ups in progress are reset.
        let mut broken_attempts = Vec::new();
        self.setups.retain(|_, setup| {
            let is_elsewhere = setup.gateway != gateway;
            if !is_elsewhere {
                broken_attempts.push((setup.request, setup.attempt));
            }
            is_elsewhere
        });
        broken_attempts.sort_unstable();
        for (request, attempt) in broken_attempts {
            self.report_attempt_end(request, attempt, AttemptOutcome::Reset);
        }
    }

    fn kill_balancers(&mut self, balancers: &[u32], for_s: f64) {
        let mut dead = vec![false; self.balancers.len()];
        for balancer in balancers.iter().map(|balancer| *balancer as usize) {
            let balancer_state = &mut self.balancers[balancer];
            balancer_state.down_until = balancer_state
                .down_until
                .max(self.now.saturating_add(nanos(for_s)));
            balancer_state.is_alive = false;
            balancer_state.incarnation += 1;
            dead[balancer] = true;
            let BalancerHost {
                disk,
                list,
                configuration_index,
                ..
            } = std::mem::take(&mut self.hosts[balancer]);
            let list = list.filter(|_| disk.is_some());
            self.hosts[balancer] = BalancerHost {
                disk,
                list,
                configuration_index,
                ..BalancerHost::default()
            };
        }
        let is_affected = |request_state: &Request| dead[request_state.balancer as usize];
        let mut affected: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request_state)| is_affected(request_state))
            .map(|(id, _)| *id)
            .collect();
        affected.sort_unstable();
        for request in affected {
            if matches!(self.requests[&request].phase, Phase::Established { .. }) {
                self.break_connection(request, true);
            } else if let Some(request_state) = self.requests.remove(&request) {
                self.checker.on_request_lost(request);
                self.schedule_retry(request_state.client, None);
            }
        }
    }
}
