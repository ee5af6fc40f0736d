//! Clients: connection requests, retries, and the ends of connections.

use beaconflow_affinity::EndReason;
use beaconflow_policy::{AttemptEnd, AttemptOutcome, ConnectionMetric, Event, RequestId};

use super::{Engine, Phase, Request, ScheduledEvent};
use crate::scenario::RetryHabit;
use crate::{Nanos, nanos};

/// Upper limit on the doublings of a client's own retry delay.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Engine<'_> {
    /// Starts a client's connection request.
    pub(super) fn begin_connecting(&mut self, client: u64) {
        let one = self.clients.get_mut(&client).expect("the client exists");
        (one.since, one.tries) = (self.now, 0);
        let (class, account) = (one.class as usize, one.account as usize);
        self.measures.classes[class].wanted += 1;
        self.measures.accounts[account].wanted += 1;
        self.count_isolated(client, None);
        let delay_s = self.link_delay(self.scenario.net.client_ms);
        self.schedule_after(delay_s, ScheduledEvent::ClientArrived { client });
    }

    pub(super) fn on_client_arrived(&mut self, client: u64) {
        if !self.clients.contains_key(&client) {
            return;
        }
        let home = self.home_zone(client);
        let is_there = |at: &u32| {
            self.balancers[*at as usize].is_alive && home.is_none_or(|home| self.zone(*at) == home)
        };
        let live_balancers: Vec<u32> = (0..self.balancers.len() as u32).filter(is_there).collect();
        let Some(one) = self.clients.get_mut(&client) else {
            return;
        };
        one.tries += 1;
        let class = one.class;
        if live_balancers.is_empty() {
            return self.schedule_retry(client, None);
        }
        let balancer = live_balancers[self.rng.uniform_index(live_balancers.len())];
        let load = self.draw_load(class);
        let request = self.open_request(client, balancer, load);
        let deadline = nanos(self.scenario.classes[class as usize].deadline_ms / 1e3);
        let give_up_at = self.now.saturating_add(deadline);
        self.checker.on_request_opened(request, give_up_at);
        if self.hosts[balancer as usize].recovery.is_some() {
            return self.request_admission(balancer, request, client);
        }
        self.request_placement(balancer, request, client);
    }

    /// Passes a new request to the policy engine of its balancer.
    pub(super) fn request_placement(&mut self, balancer: u32, request: u64, client: u64) {
        let one = &self.clients[&client];
        let (class, account, is_reconnect) =
            (one.class as usize, one.account as usize, one.is_reconnect);
        let deadline = nanos(self.scenario.classes[class].deadline_ms / 1e3);
        let mut arrival = self.connect_request(request, client, self.now.saturating_add(deadline));
        arrival.pin = self.affinity_pin(balancer, client);
        let mut actions = std::mem::take(&mut self.actions);
        let balancer_state = &mut self.balancers[balancer as usize];
        balancer_state.engine.on_connect_requested(
            self.now,
            arrival,
            account,
            is_reconnect,
            &mut actions,
        );
        self.apply_actions(balancer, actions);
    }

    /// Schedules the next try of a client whose request was rejected, failed or lost, or lets it give up.
    pub(super) fn schedule_retry(&mut self, client: u64, retry_after: Option<Nanos>) {
        let Some(one) = self.clients.get(&client) else {
            return;
        };
        let habits = &self.scenario.clients;
        let floods = self.now < one.floods_until;
        if !floods && (one.tries >= habits.tries || habits.habit == RetryHabit::None) {
            return self.give_up(client);
        }
        let doublings = one.tries.min(MAX_BACKOFF_DOUBLINGS);
        let habit = if floods {
            RetryHabit::AtOnce
        } else {
            habits.habit
        };
        let own = habits.wait_ms / 1e3 * f64::from(1 << doublings);
        let wait = match (habit, retry_after) {
            (RetryHabit::AtOnce, _) => 0.001,
            (RetryHabit::Waits, Some(retry_after)) => retry_after as f64 / 1e9,
            _ => self.client_rng.uniform() * own,
        };
        let delay_s = self.link_delay(self.scenario.net.client_ms);
        self.schedule_after(wait + delay_s, ScheduledEvent::ClientArrived { client });
    }

    pub(super) fn give_up(&mut self, client: u64) {
        if let Some(one) = self.clients.remove(&client) {
            self.measures.classes[one.class as usize].gave_up += 1;
            self.measures.accounts[one.account as usize].gave_up += 1;
        }
    }

    /// Updates the counts of connected clients.
    pub(super) fn count_established(&mut self, client: u64, is_established: bool) {
        let one = &self.clients[&client];
        let at = one.class as usize * self.scenario.accounts.len().max(1) + one.account as usize;
        let worth = self.scenario.classes[one.class as usize].worth;
        if is_established {
            (self.established_counts[at], self.established_worth) = (
                self.established_counts[at] + 1,
                self.established_worth + worth,
            );
            self.measures
                .fleet
                .record_established_worth(self.now, self.established_worth);
        } else {
            (self.established_counts[at], self.established_worth) = (
                self.established_counts[at] - 1,
                self.established_worth - worth,
            );
        }
    }

    /// Removes an established connection from its gateway and from the request table.
    pub(super) fn remove_established(&mut self, request: u64) -> Option<Request> {
        let Phase::Established { gateway } = self.requests.get(&request)?.phase else {
            return None;
        };
        self.gateways[gateway as usize]
            .gateway
            .close(self.now, request);
        let one = self.requests.remove(&request)?;
        self.count_established(one.client, false);
        Some(one)
    }

    pub(super) fn on_lifetime_over(&mut self, request: u64) {
        let Some(one) = self.remove_established(request) else {
            return;
        };
        let flooding = self
            .clients
            .get(&one.client)
            .is_some_and(|client| self.now < client.floods_until);
        if flooding {
            self.begin_connecting(one.client);
        } else {
            self.record_placement_ended(
                one.balancer,
                request,
                one.client,
                EndReason::ClosedByClient,
            );
            self.clients.remove(&one.client);
        }
        self.send_connection_ended(&one, request, AttemptOutcome::Served);
    }

    /// Tells the balancer that a connection has ended, unless it has restarted since.
    pub(super) fn send_connection_ended(
        &mut self,
        one: &Request,
        request: u64,
        outcome: AttemptOutcome,
    ) {
        if self.balancers[one.balancer as usize].incarnation == one.incarnation {
            let attempt = one.attempts - 1;
            let ended = Event::AttemptEnded(AttemptEnd {
                request: RequestId(request),
                attempt,
                outcome,
                elapsed: 0,
                is_final: true,
            });
            self.send_event(one.balancer, ended);
        }
    }

    /// Breaks an established connection, because of its balancer or otherwise; its client reconnects.
    pub(super) fn break_connection(&mut self, request: u64, by_balancer: bool) {
        let Some(one) = self.remove_established(request) else {
            return;
        };
        self.measures.second_at(self.now).cut += 1;
        if !by_balancer {
            self.record_placement_ended(
                one.balancer,
                request,
                one.client,
                EndReason::ConnectionLost,
            );
            self.send_connection_ended(&one, request, AttemptOutcome::Reset);
        }
        self.reconnect_client(one.client);
    }

    /// Closes a connection at the client's request; the client reconnects.
    pub(super) fn close_by_client(&mut self, request: u64) {
        let Some(one) = self.remove_established(request) else {
            return;
        };
        self.measures.second_at(self.now).cut += 1;
        self.record_placement_ended(one.balancer, request, one.client, EndReason::ClosedByClient);
        self.send_connection_ended(&one, request, AttemptOutcome::Served);
        self.reconnect_client(one.client);
    }

    /// Schedules the reconnect of a client that lost its connection.
    pub(super) fn reconnect_client(&mut self, client: u64) {
        let Some(one) = self.clients.get_mut(&client) else {
            return;
        };
        (one.is_reconnect, one.tries, one.since) = (true, 0, self.now);
        let (class, account) = (one.class as usize, one.account as usize);
        self.measures.classes[class].wanted += 1;
        self.measures.accounts[account].wanted += 1;
        self.count_isolated(client, None);
        let mean = self.scenario.clients.move_ms / 1e3;
        let wait = self.client_rng.exponential(mean);
        self.schedule_after(wait, ScheduledEvent::ClientArrived { client });
    }

    pub(super) fn change_load(&mut self, request: u64) {
        let Some(Request {
            phase: Phase::Established { gateway },
            client,
            ..
        }) = self.requests.get(&request)
        else {
            return;
        };
        let (gateway, client) = (*gateway, *client);
        let class = self.clients[&client].class;
        let load = self.draw_load(class);
        self.gateways[gateway as usize]
            .gateway
            .change_load(self.now, request, load);
        let one = self
            .requests
            .get_mut(&request)
            .expect("the connection is established");
        one.load = load;
        let (balancer, incarnation, attempt) = (one.balancer, one.incarnation, one.attempts - 1);
        if self.balancers[balancer as usize].incarnation == incarnation {
            let metric = ConnectionMetric::Load(load);
            self.send_event(
                balancer,
                Event::ConnectionMeasured {
                    request: RequestId(request),
                    attempt,
                    metric,
                },
            );
        }
        let wait = self
            .rng
            .exponential(self.scenario.classes[class as usize].changes_s);
        self.schedule_after(wait, ScheduledEvent::LoadChanged { request });
    }
}
