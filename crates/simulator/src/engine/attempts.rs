//! Attempts: their way to a gateway, its work, the store, and their ends.

use beaconflow_policy::{AttemptEnd, AttemptOutcome, ConnectionMetric, Event, RequestId};

use super::{Engine, Occurrence, Phase, Request, SetUp};
use crate::gateway::Offer;
use crate::nanos;

impl Engine<'_> {
    pub(super) fn current(&self, request: u64, attempt: u32) -> bool {
        let out =
            |one: &Request| one.attempts == attempt + 1 && matches!(one.phase, Phase::Out { .. });
        self.requests.get(&request).is_some_and(out)
    }

    pub(super) fn reports(&mut self, request: u64, attempt: u32, outcome: AttemptOutcome) {
        let way = self.link_delay(self.scenario.net.gateway_ms);
        self.after(
            way,
            Occurrence::Ends {
                request,
                attempt,
                outcome: outcome as u8,
            },
        );
    }

    pub(super) fn reaches(&mut self, request: u64, attempt: u32, gateway: u32) {
        if !self.current(request, attempt) {
            return;
        }
        if self.by_zone
            && self.is_apart(
                self.zone(self.requests[&request].balancer),
                self.zone(gateway),
            )
        {
            return;
        }
        let reset = self
            .resets
            .iter()
            .filter(|(until, ..)| *until > self.now)
            .map(|(.., set_ups)| *set_ups)
            .sum();
        if self.rng.happens(reset) {
            return self.reports(request, attempt, AttemptOutcome::Reset);
        }
        let machine = &mut self.machines[gateway as usize];
        if !machine.up {
            return self.reports(request, attempt, AttemptOutcome::ConnectFailed);
        }
        if machine.hangs_until > self.now {
            return;
        }
        if self.falls(gateway) {
            return self.reports(request, attempt, AttemptOutcome::Reset);
        }
        let machine = &mut self.machines[gateway as usize];
        let set_up = self.next_set_up;
        let start = machine.start;
        match machine.gateway.offer(self.now, set_up, &mut self.rng) {
            Offer::Full => return self.reports(request, attempt, AttemptOutcome::Rejected),
            Offer::Waits => {}
            Offer::Until(at) => self.push(
                at,
                Occurrence::Worked {
                    gateway,
                    start,
                    set_up,
                },
            ),
        }
        self.next_set_up += 1;
        self.set_ups.insert(
            set_up,
            SetUp {
                request,
                attempt,
                gateway,
                start,
            },
        );
    }

    pub(super) fn worked(&mut self, gateway: u32, start: u32, set_up: u64) {
        let machine = &mut self.machines[gateway as usize];
        if machine.start != start {
            self.set_ups.remove(&set_up);
            return;
        }
        if machine.hangs_until > self.now {
            let at = machine.hangs_until;
            return self.push(
                at,
                Occurrence::Worked {
                    gateway,
                    start,
                    set_up,
                },
            );
        }
        if let Some((next, at)) = machine.gateway.set_up_done(self.now, &mut self.rng) {
            self.push(
                at,
                Occurrence::Worked {
                    gateway,
                    start,
                    set_up: next,
                },
            );
        }
        match &mut self.store {
            None => self.stored(set_up),
            Some(store) => {
                if let Some(at) = store.call(self.now, set_up, &mut self.rng) {
                    self.push(at, Occurrence::Stored { set_up });
                }
            }
        }
    }

    pub(super) fn stored(&mut self, set_up: u64) {
        if let Some(store) = &mut self.store
            && let Some((next, at)) = store.ended(self.now, &mut self.rng)
        {
            self.push(at, Occurrence::Stored { set_up: next });
        }
        let Some(SetUp {
            request,
            attempt,
            gateway,
            start,
        }) = self.set_ups.remove(&set_up)
        else {
            return;
        };
        if self.machines[gateway as usize].start != start || !self.current(request, attempt) {
            return;
        }
        let way = self.link_delay(self.scenario.net.gateway_ms);
        self.after(
            way,
            Occurrence::Stands {
                request,
                attempt,
                gateway,
            },
        );
    }

    pub(super) fn on_established(&mut self, request: u64, attempt: u32, gateway: u32) {
        if !self.current(request, attempt) {
            return;
        }
        if !self.machines[gateway as usize].up {
            return self.ends(request, attempt, AttemptOutcome::Reset);
        }
        let (balancer, client) = (
            self.requests[&request].balancer,
            self.requests[&request].client,
        );
        if self.clients[&client].returns {
            self.judges_return(client, gateway);
        }
        self.settle(request, gateway);
        self.is_placed(balancer, request, client, gateway);
        self.counts_placement(balancer, client, true);
        self.checker.answered(self.now, request, false);
        let one = self.clients.get_mut(&client).expect("it waits");
        let took = self.now - one.since;
        one.returns = false;
        self.count_isolated(client, Some(took));
        let one = &self.clients[&client];
        let (class, account) = (one.class as usize, one.account as usize);
        let in_time = took <= nanos(self.scenario.classes[class].aim_ms / 1e3);
        for served in [
            &mut self.measures.classes[class],
            &mut self.measures.accounts[account],
        ] {
            served.took.record(took / 1_000).expect("it grows");
            *if in_time {
                &mut served.in_time
            } else {
                &mut served.late
            } += 1;
        }
        let second = self.measures.at(self.now);
        second.stood += 1;
        second.in_time += u64::from(in_time);
        self.tell(
            balancer,
            Event::AttemptEstablished {
                request: RequestId(request),
                attempt,
            },
        );
        // Its gateway tells how heavy it is.
        if let Some(one) = self.requests.get(&request) {
            let metric = ConnectionMetric::Load(one.load);
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

    pub(super) fn ends(&mut self, request: u64, attempt: u32, outcome: AttemptOutcome) {
        if !self.current(request, attempt) {
            return;
        }
        let one = self.requests.get_mut(&request).expect("it is out");
        one.phase = Phase::Waits;
        let (balancer, client) = (one.balancer, one.client);
        self.counts_placement(balancer, client, false);
        self.checker.ended(request, !outcome.proves_not_executed());
        let ended = Event::AttemptEnded(AttemptEnd {
            request: RequestId(request),
            attempt,
            outcome,
            elapsed: 0,
            is_final: false,
        });
        self.tell(balancer, ended);
    }
}
