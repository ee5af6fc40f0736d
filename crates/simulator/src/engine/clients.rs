//! Clients: what they want, when they try again, and how their connections end.

use beaconflow_affinity::EndReason;
use beaconflow_policy::{AttemptEnd, AttemptOutcome, ConnectionMetric, Event, RequestId};

use super::{Engine, Occurrence, Phase, Request};
use crate::scenario::Habit;
use crate::{Nanos, nanos};

/// Doublings of a client's own wait at most.
const MOST_DOUBLINGS: u32 = 5;

impl Engine<'_> {
    /// A client begins to want a connection.
    pub(super) fn wants(&mut self, client: u64) {
        let one = self.clients.get_mut(&client).expect("it is known");
        (one.since, one.tries) = (self.now, 0);
        let (class, account) = (one.class as usize, one.account as usize);
        self.measures.classes[class].wanted += 1;
        self.measures.accounts[account].wanted += 1;
        self.count_isolated(client, None);
        let way = self.link_delay(self.scenario.net.client_ms);
        self.after(way, Occurrence::Comes { client });
    }

    pub(super) fn comes(&mut self, client: u64) {
        if !self.clients.contains_key(&client) {
            return;
        }
        let home = self.home(client);
        let is_there = |at: &u32| {
            self.nodes[*at as usize].alive && home.is_none_or(|home| self.zone(*at) == home)
        };
        let alive: Vec<u32> = (0..self.nodes.len() as u32).filter(is_there).collect();
        let Some(one) = self.clients.get_mut(&client) else {
            return;
        };
        one.tries += 1;
        let class = one.class;
        if alive.is_empty() {
            return self.tries_again(client, None);
        }
        let balancer = alive[self.rng.pick(alive.len())];
        let load = self.draw_load(class);
        let request = self.open(client, balancer, load);
        let deadline = nanos(self.scenario.classes[class as usize].deadline_ms / 1e3);
        let give_up_at = self.now.saturating_add(deadline);
        self.checker.opened(request, give_up_at);
        if self.hosts[balancer as usize].recovery.is_some() {
            return self.knocks(balancer, request, client);
        }
        self.decides(balancer, request, client);
    }

    /// A request that came just now goes to its balancer's decisions.
    pub(super) fn decides(&mut self, balancer: u32, request: u64, client: u64) {
        let one = &self.clients[&client];
        let (class, account, returns) = (one.class as usize, one.account as usize, one.returns);
        let deadline = nanos(self.scenario.classes[class].deadline_ms / 1e3);
        let mut arrival = self.arrival(request, client, self.now.saturating_add(deadline));
        arrival.pin = self.pin(balancer, client);
        let mut actions = std::mem::take(&mut self.actions);
        let node = &mut self.nodes[balancer as usize];
        node.decides
            .on_connect_requested(self.now, arrival, account, returns, &mut actions);
        self.carry_out(balancer, actions);
    }

    /// A client that was refused, failed or cut off.
    pub(super) fn tries_again(&mut self, client: u64, told: Option<Nanos>) {
        let Some(one) = self.clients.get(&client) else {
            return;
        };
        let habits = &self.scenario.clients;
        let floods = self.now < one.floods_until;
        if !floods && (one.tries >= habits.tries || habits.habit == Habit::None) {
            return self.gives_up(client);
        }
        let doublings = one.tries.min(MOST_DOUBLINGS);
        let habit = if floods { Habit::AtOnce } else { habits.habit };
        let own = habits.wait_ms / 1e3 * f64::from(1 << doublings);
        let wait = match (habit, told) {
            (Habit::AtOnce, _) => 0.001,
            (Habit::Waits, Some(told)) => told as f64 / 1e9,
            _ => self.habits.even() * own,
        };
        let way = self.link_delay(self.scenario.net.client_ms);
        self.after(wait + way, Occurrence::Comes { client });
    }

    pub(super) fn gives_up(&mut self, client: u64) {
        if let Some(one) = self.clients.remove(&client) {
            self.measures.classes[one.class as usize].gave_up += 1;
            self.measures.accounts[one.account as usize].gave_up += 1;
        }
    }

    /// Counts a client that begins or ends to stand.
    pub(super) fn counts(&mut self, client: u64, stands: bool) {
        let one = &self.clients[&client];
        let at = one.class as usize * self.scenario.accounts.len().max(1) + one.account as usize;
        let worth = self.scenario.classes[one.class as usize].worth;
        if stands {
            (self.stand_now[at], self.worth_now) = (self.stand_now[at] + 1, self.worth_now + worth);
            self.measures.fleet.stands(self.now, self.worth_now);
        } else {
            (self.stand_now[at], self.worth_now) = (self.stand_now[at] - 1, self.worth_now - worth);
        }
    }

    /// A standing connection leaves its gateway and the books.
    pub(super) fn lets_go(&mut self, request: u64) -> Option<Request> {
        let Phase::Stands { gateway } = self.requests.get(&request)?.phase else {
            return None;
        };
        self.machines[gateway as usize]
            .gateway
            .ends(self.now, request);
        let one = self.requests.remove(&request)?;
        self.counts(one.client, false);
        Some(one)
    }

    pub(super) fn over(&mut self, request: u64) {
        let Some(one) = self.lets_go(request) else {
            return;
        };
        let flooding = self
            .clients
            .get(&one.client)
            .is_some_and(|client| self.now < client.floods_until);
        if flooding {
            self.wants(one.client);
        } else {
            self.is_gone(one.balancer, request, one.client, EndReason::ClosedByClient);
            self.clients.remove(&one.client);
        }
        self.tell_ended(&one, request, AttemptOutcome::Served);
    }

    /// Tells a balancer, if it is still the one, that a standing connection has ended.
    pub(super) fn tell_ended(&mut self, one: &Request, request: u64, outcome: AttemptOutcome) {
        if self.nodes[one.balancer as usize].start == one.start {
            let attempt = one.attempts - 1;
            let ended = Event::AttemptEnded(AttemptEnd {
                request: RequestId(request),
                attempt,
                outcome,
                elapsed: 0,
                is_final: true,
            });
            self.tell(one.balancer, ended);
        }
    }

    /// A standing connection breaks, with its balancer or otherwise; its client comes again.
    pub(super) fn cut_off(&mut self, request: u64, by_balancer: bool) {
        let Some(one) = self.lets_go(request) else {
            return;
        };
        self.measures.at(self.now).cut += 1;
        if !by_balancer {
            self.is_gone(one.balancer, request, one.client, EndReason::ConnectionLost);
            self.tell_ended(&one, request, AttemptOutcome::Reset);
        }
        self.comes_back(one.client);
    }

    /// A client ends its connection and comes again.
    pub(super) fn leaves(&mut self, request: u64) {
        let Some(one) = self.lets_go(request) else {
            return;
        };
        self.measures.at(self.now).cut += 1;
        self.is_gone(one.balancer, request, one.client, EndReason::ClosedByClient);
        self.tell_ended(&one, request, AttemptOutcome::Served);
        self.comes_back(one.client);
    }

    /// A client that had a connection wants another.
    pub(super) fn comes_back(&mut self, client: u64) {
        let Some(one) = self.clients.get_mut(&client) else {
            return;
        };
        (one.returns, one.tries, one.since) = (true, 0, self.now);
        let (class, account) = (one.class as usize, one.account as usize);
        self.measures.classes[class].wanted += 1;
        self.measures.accounts[account].wanted += 1;
        self.count_isolated(client, None);
        let mean = self.scenario.clients.move_ms / 1e3;
        let wait = self.habits.exponential(mean);
        self.after(wait, Occurrence::Comes { client });
    }

    pub(super) fn changes(&mut self, request: u64) {
        let Some(Request {
            phase: Phase::Stands { gateway },
            client,
            ..
        }) = self.requests.get(&request)
        else {
            return;
        };
        let (gateway, client) = (*gateway, *client);
        let class = self.clients[&client].class;
        let load = self.draw_load(class);
        self.machines[gateway as usize]
            .gateway
            .changes(self.now, request, load);
        let one = self.requests.get_mut(&request).expect("it stands");
        one.load = load;
        let (balancer, start, attempt) = (one.balancer, one.start, one.attempts - 1);
        if self.nodes[balancer as usize].start == start {
            let metric = ConnectionMetric::Load(load);
            self.tell(
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
        self.after(wait, Occurrence::Changes { request });
    }
}
