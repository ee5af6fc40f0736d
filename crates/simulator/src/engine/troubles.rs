//! Each second's round, and what goes wrong.

use beaconflow_policy::{AttemptOutcome, ConnectionMetric, Event, RequestId, ServerState};

use super::recovery::Host;
use super::{Engine, Node, Occurrence, Phase, Request};
use crate::gateway::Gateway;
use crate::scenario::Failure;
use crate::{Nanos, SECOND, nanos};

/// A connection whose messages take longer than this part of the aim is told of.
const SLOW_FRACTION: f64 = 0.33;

impl<'s> Engine<'s> {
    pub(super) fn second(&mut self) {
        if self.scenario.fleet.recovery {
            self.evens_out();
        }
        if self.scenario.fleet.affinity {
            self.deals_anew();
        }
        self.push(self.now + SECOND, Occurrence::Second);
        let aim = self
            .scenario
            .classes
            .iter()
            .map(|class| class.message_aim_ms / 1e3)
            .fold(f64::INFINITY, f64::min);
        let (mut standing, mut in_time, mut highest) = (0, 0.0, 0.0_f64);
        for at in 0..self.machines.len() {
            let machine = &mut self.machines[at];
            if !machine.up {
                continue;
            }
            for request in machine.gateway.sheds(self.now) {
                self.push(self.now, Occurrence::Drops { request });
            }
            let machine = &mut self.machines[at];
            machine.gateway.advance(self.now);
            let (now, there) = (self.now, machine.gateway.standing());
            standing += there;
            if machine.hangs_until <= now {
                in_time += there as f64 * machine.gateway.in_time(now, aim);
            }
            highest = highest.max(machine.gateway.load(now));
            let delay = machine.gateway.message_s(now);
            let slow = delay > aim * SLOW_FRACTION;
            if slow || machine.slow {
                machine.slow = slow;
                self.tell_delay(at as u32, nanos(delay));
            }
        }
        let now = self.now;
        self.resets.retain(|(until, ..)| *until > now);
        let parts: Vec<f64> = self.resets.iter().map(|(_, part, _)| *part).collect();
        parts
            .into_iter()
            .for_each(|part| self.drop_some(part, SECOND, false));
        let waiting: usize = self.nodes.iter().map(|node| node.decides.queued()).sum();
        let second = self.measures.at(self.now);
        second.standing = standing as u64;
        second.waiting = waiting as u64;
        second.highest_load = highest;
        second.messages_in_time = in_time / (standing.max(1) as f64);
    }

    /// Each balancer hears of slow messages on one of its connections there.
    pub(super) fn tell_delay(&mut self, gateway: u32, delay: Nanos) {
        let mut told = vec![false; self.nodes.len()];
        for request in self.machines[gateway as usize].gateway.ids() {
            let Some(one) = self.requests.get(&request) else {
                continue;
            };
            let (balancer, start, attempt) = (one.balancer, one.start, one.attempts - 1);
            if std::mem::replace(&mut told[balancer as usize], true)
                || self.nodes[balancer as usize].start != start
            {
                continue;
            }
            let metric = ConnectionMetric::MessageLatency(delay);
            self.tell(
                balancer,
                Event::ConnectionMeasured {
                    request: RequestId(request),
                    attempt,
                    metric,
                },
            );
        }
    }

    /// A part of what stands drops within a span.
    pub(super) fn drop_some(&mut self, part: f64, within: Nanos, by_client: bool) {
        for at in 0..self.machines.len() {
            for request in self.machines[at].gateway.ids() {
                if self.rng.happens(part) {
                    let wait = self.rng.even() * within as f64;
                    let what = if by_client {
                        Occurrence::Leaves { request }
                    } else {
                        Occurrence::Drops { request }
                    };
                    self.push(self.now.saturating_add(wait as Nanos), what);
                }
            }
        }
    }

    pub(super) fn fails(&mut self, failure: u32) {
        let scenario = self.scenario;
        let goes_on = |engine: &mut Engine<'s>, span: f64, part: u8| {
            engine.after(span, Occurrence::GoesOn { failure, part })
        };
        match scenario.failures[failure as usize].get_ref() {
            Failure::Hang {
                for_s, gateways, ..
            } => {
                let until = self.now.saturating_add(nanos(*for_s));
                for gateway in gateways {
                    let machine = &mut self.machines[*gateway as usize];
                    machine.hangs_until = machine.hangs_until.max(until);
                }
            }
            Failure::Crash {
                for_s, gateways, ..
            } => {
                gateways
                    .iter()
                    .for_each(|gateway| self.goes_down(*gateway, *for_s));
                self.list_changes();
                goes_on(self, *for_s, 1);
            }
            Failure::Drain {
                gone_after_s,
                gateways,
                ..
            } => {
                gateways
                    .iter()
                    .for_each(|at| self.machines[*at as usize].listed = ServerState::Draining);
                self.list_changes();
                goes_on(self, *gone_after_s, 0);
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
                self.hosts[*balancer as usize].disk = self.remembers(*balancer);
                self.kill(&[*balancer], *for_s);
                goes_on(self, *for_s, 0);
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
                self.drop_some(*part, nanos(*within_s), *by_client);
            }
            Failure::PowerLoss {
                for_s,
                balancers,
                gateways,
                disks_lost,
                ..
            } => {
                let (all, of) = (
                    balancers.of(scenario.balancers),
                    gateways.of(scenario.gateways),
                );
                let lost = disks_lost.of(scenario.balancers);
                for balancer in &all {
                    let kept = if lost.contains(balancer) {
                        None
                    } else {
                        self.remembers(*balancer)
                    };
                    self.hosts[*balancer as usize].disk = kept;
                }
                let stood: f64 = self.previous_clients().iter().map(|one| one.clients).sum();
                self.measures.fleet.loses(self.worth_now, stood);
                self.kill(&all, *for_s);
                of.iter()
                    .for_each(|gateway| self.goes_down(*gateway, *for_s));
                self.list_changes();
                goes_on(self, *for_s, 0);
            }
            Failure::ConfigRoll { step_s, .. } => {
                for balancer in 0..scenario.balancers {
                    self.after(
                        f64::from(balancer) * step_s,
                        Occurrence::Adopts { balancer, failure },
                    );
                }
            }
            Failure::UplinkLost { for_s, .. } => {
                self.loses_uplink(failure);
                goes_on(self, *for_s, 0);
            }
            Failure::PeersCut {
                for_s, balancers, ..
            } => {
                let these = balancers.of(scenario.balancers);
                let cut = (0..scenario.balancers)
                    .map(|balancer| these.contains(&balancer))
                    .collect();
                self.cuts
                    .push((self.now.saturating_add(nanos(*for_s)), cut));
            }
            Failure::Flood {
                for_s,
                clients,
                account,
                ..
            } => {
                let place = scenario
                    .accounts
                    .iter()
                    .position(|known| known.name == *account)
                    .unwrap_or(0);
                for _ in 0..*clients {
                    let client = self.client(0, Some(place as u32));
                    let until = self.now.saturating_add(nanos(*for_s));
                    self.clients.get_mut(&client).expect("made").floods_until = until;
                    self.wants(client);
                }
            }
        }
    }

    pub(super) fn goes_on(&mut self, failure: u32, part: u8) {
        match (self.scenario.failures[failure as usize].get_ref(), part) {
            (
                Failure::Drain {
                    for_s, gateways, ..
                },
                0,
            ) => {
                gateways
                    .iter()
                    .for_each(|gateway| self.goes_down(*gateway, *for_s));
                self.list_changes();
                let span = *for_s;
                self.after(span, Occurrence::GoesOn { failure, part: 1 });
            }
            (Failure::Drain { gateways, .. } | Failure::Crash { gateways, .. }, _) => {
                gateways.iter().for_each(|gateway| self.comes_up(*gateway));
                self.list_changes();
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
                    .for_each(|gateway| self.comes_up(*gateway));
                self.list_changes();
                let stood = self.measures.fleet.stood();
                let all_seeing = self.all_seeing(stood);
                self.measures.fleet.returns(self.now, all_seeing);
                balancers
                    .of(self.scenario.balancers)
                    .iter()
                    .for_each(|one| self.begins_anew(*one));
            }
            (Failure::UplinkLost { zone, .. }, _) => self.has_uplink(*zone),
            (Failure::BalancerKilled { balancer, .. }, _) => self.begins_anew(*balancer),
            _ => {}
        }
    }

    /// A gateway is there again, cold, unless another failure keeps it down.
    pub(super) fn comes_up(&mut self, gateway: u32) {
        let machine = &mut self.machines[gateway as usize];
        if machine.up || self.now < machine.down_until {
            return;
        }
        machine.gateway = Gateway::new(self.scenario.make.clone(), self.now, false);
        machine.sent.clear();
        (machine.up, machine.listed) = (true, ServerState::Ready);
    }

    /// A balancer's process starts, unless another failure keeps it down.
    fn begins_anew(&mut self, balancer: u32) {
        let Node {
            start,
            alive,
            down_until,
            ..
        } = self.nodes[balancer as usize];
        // A second one on top of it has to be over as well, or what came since would be lost unsaid.
        if alive || self.now < down_until {
            return;
        }
        self.nodes[balancer as usize] = self.node(balancer, start);
        self.checker.restarted(balancer);
        self.joins(balancer);
        self.has_places(balancer);
        self.has_edge(balancer);
        if self.scenario.fleet.recovery {
            self.wakes_up(balancer);
        } else {
            self.tell_list(balancer, true);
        }
    }

    /// A gateway's process ends: what stands there is cut off, what it works on is lost.
    pub(super) fn goes_down(&mut self, gateway: u32, for_s: f64) {
        let machine = &mut self.machines[gateway as usize];
        machine.down_until = machine
            .down_until
            .max(self.now.saturating_add(nanos(for_s)));
        (machine.up, machine.listed) = (false, ServerState::Removed);
        machine.start += 1;
        let there = machine.gateway.ids();
        for request in there {
            self.cut_off(request, false);
        }
        // Set-ups under way break, and nothing is kept of them.
        let mut out = Vec::new();
        self.set_ups.retain(|_, set_up| {
            let stays = set_up.gateway != gateway;
            if !stays {
                out.push((set_up.request, set_up.attempt));
            }
            stays
        });
        out.sort_unstable();
        for (request, attempt) in out {
            self.reports(request, attempt, AttemptOutcome::Reset);
        }
    }

    fn kill(&mut self, balancers: &[u32], for_s: f64) {
        let mut dead = vec![false; self.nodes.len()];
        for balancer in balancers.iter().map(|balancer| *balancer as usize) {
            let node = &mut self.nodes[balancer];
            node.down_until = node.down_until.max(self.now.saturating_add(nanos(for_s)));
            node.alive = false;
            node.start += 1;
            dead[balancer] = true;
            let Host {
                disk, list, runs, ..
            } = std::mem::take(&mut self.hosts[balancer]);
            let list = list.filter(|_| disk.is_some());
            self.hosts[balancer] = Host {
                disk,
                list,
                runs,
                ..Host::default()
            };
        }
        let is_of = |one: &Request| dead[one.balancer as usize];
        let mut of: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, one)| is_of(one))
            .map(|(id, _)| *id)
            .collect();
        of.sort_unstable();
        for request in of {
            if matches!(self.requests[&request].phase, Phase::Stands { .. }) {
                self.cut_off(request, true);
            } else if let Some(one) = self.requests.remove(&request) {
                self.checker.lost(request);
                self.tries_again(one.client, None);
            }
        }
    }
}
