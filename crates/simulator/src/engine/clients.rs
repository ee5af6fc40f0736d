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
        let client_state = self.clients.get_mut(&client).expect("the client exists");
        (client_state.requested_at, client_state.tries) = (self.now, 0);
        let (class, account) = (client_state.class as usize, client_state.account as usize);
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
        let is_available = |at: &u32| {
            self.balancers[*at as usize].is_alive && home.is_none_or(|home| self.zone(*at) == home)
        };
        let live_balancers: Vec<u32> = (0..self.balancers.len() as u32)
            .filter(is_available)
            .collect();
        let Some(client_state) = self.clients.get_mut(&client) else {
            return;
        };
        client_state.tries += 1;
        let class = client_state.class;
        if live_balancers.is_empty() {
            return self.schedule_retry(client, None);
        }
        let balancer = live_balancers[self.rng.uniform_index(live_balancers.len())];
        let load = self.draw_load(class);
        let request = self.open_request(client, balancer, load);
        let deadline = nanos(self.scenario.classes[class as usize].deadline_ms / 1e3);
        let deadline_at = self.now.saturating_add(deadline);
        self.checker.on_request_opened(request, deadline_at);
        if self.hosts[balancer as usize].recovery.is_some() {
            return self.request_admission(balancer, request, client);
        }
        self.request_placement(balancer, request, client);
    }

    /// Passes a new request to the policy engine of its balancer.
    pub(super) fn request_placement(&mut self, balancer: u32, request: u64, client: u64) {
        let client_state = &self.clients[&client];
        let (class, account) = (client_state.class as usize, client_state.account as usize);
        let deadline = nanos(self.scenario.classes[class].deadline_ms / 1e3);
        let mut arrival = self.connect_request(request, client, self.now.saturating_add(deadline));
        arrival.pin = self.affinity_pin(balancer, client);
        let mut actions = std::mem::take(&mut self.actions);
        let balancer_state = &mut self.balancers[balancer as usize];
        balancer_state
            .engine
            .on_connect_requested(self.now, arrival, account, &mut actions);
        self.apply_actions(balancer, actions);
    }

    /// Schedules the next try of a client whose request was rejected, failed or lost, or lets it give up.
    pub(super) fn schedule_retry(&mut self, client: u64, retry_after: Option<Nanos>) {
        let Some(client_state) = self.clients.get(&client) else {
            return;
        };
        let client_settings = &self.scenario.clients;
        let is_flooding = self.now < client_state.floods_until;
        if !is_flooding
            && (client_state.tries >= client_settings.tries
                || client_settings.habit == RetryHabit::None)
        {
            return self.give_up(client);
        }
        let doublings = client_state.tries.min(MAX_BACKOFF_DOUBLINGS);
        let habit = if is_flooding {
            RetryHabit::AtOnce
        } else {
            client_settings.habit
        };
        let own_delay_s = client_settings.wait_ms / 1e3 * f64::from(1 << doublings);
        let wait = match (habit, retry_after) {
            (RetryHabit::AtOnce, _) => 0.001,
            (RetryHabit::Waits, Some(retry_after)) => retry_after as f64 / 1e9,
            _ => self.client_rng.uniform() * own_delay_s,
        };
        let delay_s = self.link_delay(self.scenario.net.client_ms);
        self.schedule_after(wait + delay_s, ScheduledEvent::ClientArrived { client });
    }

    pub(super) fn give_up(&mut self, client: u64) {
        if let Some(client_state) = self.clients.remove(&client) {
            self.measures.classes[client_state.class as usize].gave_up += 1;
            self.measures.accounts[client_state.account as usize].gave_up += 1;
        }
    }

    /// Updates the counts of connected clients.
    pub(super) fn count_established(&mut self, client: u64, is_established: bool) {
        let client_state = &self.clients[&client];
        let index = client_state.class as usize * self.scenario.accounts.len().max(1)
            + client_state.account as usize;
        let worth = self.scenario.classes[client_state.class as usize].worth;
        if is_established {
            (self.established_counts[index], self.established_worth) = (
                self.established_counts[index] + 1,
                self.established_worth + worth,
            );
            self.measures
                .fleet
                .record_established_worth(self.now, self.established_worth);
        } else {
            (self.established_counts[index], self.established_worth) = (
                self.established_counts[index] - 1,
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
        let request_state = self.requests.remove(&request)?;
        self.count_established(request_state.client, false);
        Some(request_state)
    }

    pub(super) fn on_lifetime_over(&mut self, request: u64) {
        let Some(request_state) = self.remove_established(request) else {
            return;
        };
        let is_flooding = self
            .clients
            .get(&request_state.client)
            .is_some_and(|client| self.now < client.floods_until);
        if is_flooding {
            self.begin_connecting(request_state.client);
        } else {
            self.record_placement_ended(
                request_state.balancer,
                request,
                request_state.client,
                EndReason::ClosedByClient,
            );
            self.clients.remove(&request_state.client);
        }
        self.send_connection_ended(&request_state, request, AttemptOutcome::Served);
    }

    /// Tells the balancer that a connection has ended, unless it has restarted since.
    pub(super) fn send_connection_ended(
        &mut self,
        request_state: &Request,
        request: u64,
        outcome: AttemptOutcome,
    ) {
        if self.balancers[request_state.balancer as usize].incarnation == request_state.incarnation
        {
            let attempt = request_state.attempts - 1;
            let ended = Event::AttemptEnded(AttemptEnd {
                request: RequestId(request),
                attempt,
                outcome,
                elapsed: 0,
                is_final: true,
            });
            self.send_event(request_state.balancer, ended);
        }
    }

    /// Breaks an established connection, because of its balancer or otherwise; its client reconnects.
    pub(super) fn break_connection(&mut self, request: u64, by_balancer: bool) {
        let Some(request_state) = self.remove_established(request) else {
            return;
        };
        self.measures.second_at(self.now).cut += 1;
        if !by_balancer {
            self.record_placement_ended(
                request_state.balancer,
                request,
                request_state.client,
                EndReason::ConnectionLost,
            );
            self.send_connection_ended(&request_state, request, AttemptOutcome::Reset);
        }
        self.reconnect_client(request_state.client);
    }

    /// Closes a connection at the client's request; the client reconnects.
    pub(super) fn close_by_client(&mut self, request: u64) {
        let Some(request_state) = self.remove_established(request) else {
            return;
        };
        self.measures.second_at(self.now).cut += 1;
        self.record_placement_ended(
            request_state.balancer,
            request,
            request_state.client,
            EndReason::ClosedByClient,
        );
        self.send_connection_ended(&request_state, request, AttemptOutcome::Served);
        self.reconnect_client(request_state.client);
    }

    /// Schedules the reconnect of a client that lost its connection.
    pub(super) fn reconnect_client(&mut self, client: u64) {
        let Some(client_state) = self.clients.get_mut(&client) else {
            return;
        };
        (
            client_state.is_reconnect,
            client_state.tries,
            client_state.requested_at,
        ) = (true, 0, self.now);
        let (class, account) = (client_state.class as usize, client_state.account as usize);
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
        let request_state = self
            .requests
            .get_mut(&request)
            .expect("the connection is established");
        request_state.load = load;
        let (balancer, incarnation, attempt) = (
            request_state.balancer,
            request_state.incarnation,
            request_state.attempts - 1,
        );
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
