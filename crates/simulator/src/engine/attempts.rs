//! Connection attempts: the way to the gateway, the setup work, the store call and the outcome.

use beaconflow_policy::{AttemptEnd, AttemptOutcome, ConnectionMetric, Event, RequestId};

use super::{Engine, Phase, Request, ScheduledEvent, Setup};
use crate::gateway::SetupAdmission;
use crate::nanos;

impl Engine<'_> {
    pub(super) fn is_current_attempt(&self, request: u64, attempt: u32) -> bool {
        let is_in_progress = |request_state: &Request| {
            request_state.attempts == attempt + 1
                && matches!(request_state.phase, Phase::Attempting { .. })
        };
        self.requests.get(&request).is_some_and(is_in_progress)
    }

    pub(super) fn report_attempt_end(
        &mut self,
        request: u64,
        attempt: u32,
        outcome: AttemptOutcome,
    ) {
        let delay_s = self.link_delay(self.scenario.net.gateway_ms);
        self.schedule_after(
            delay_s,
            ScheduledEvent::AttemptEnded {
                request,
                attempt,
                outcome: outcome as u8,
            },
        );
    }

    pub(super) fn on_attempt_arrived(&mut self, request: u64, attempt: u32, gateway: u32) {
        if !self.is_current_attempt(request, attempt) {
            return;
        }
        if self.routes_by_zone
            && self.is_partitioned(
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
            .map(|(.., setups)| *setups)
            .sum();
        if self.rng.happens_with_probability(reset) {
            return self.report_attempt_end(request, attempt, AttemptOutcome::Reset);
        }
        let gateway_state = &mut self.gateways[gateway as usize];
        if !gateway_state.is_up {
            return self.report_attempt_end(request, attempt, AttemptOutcome::ConnectFailed);
        }
        if gateway_state.hangs_until > self.now {
            return;
        }
        if self.check_cold_overload(gateway) {
            return self.report_attempt_end(request, attempt, AttemptOutcome::Reset);
        }
        let gateway_state = &mut self.gateways[gateway as usize];
        let setup = self.next_setup;
        let incarnation = gateway_state.incarnation;
        match gateway_state
            .gateway
            .offer_setup(self.now, setup, &mut self.rng)
        {
            SetupAdmission::Rejected => {
                return self.report_attempt_end(request, attempt, AttemptOutcome::Rejected);
            }
            SetupAdmission::Queued => {}
            SetupAdmission::RunsUntil(at) => self.schedule_at(
                at,
                ScheduledEvent::SetupWorkDone {
                    gateway,
                    incarnation,
                    setup,
                },
            ),
        }
        self.next_setup += 1;
        self.setups.insert(
            setup,
            Setup {
                request,
                attempt,
                gateway,
                incarnation,
            },
        );
    }

    pub(super) fn on_setup_work_done(&mut self, gateway: u32, incarnation: u32, setup: u64) {
        let gateway_state = &mut self.gateways[gateway as usize];
        if gateway_state.incarnation != incarnation {
            self.setups.remove(&setup);
            return;
        }
        if gateway_state.hangs_until > self.now {
            let at = gateway_state.hangs_until;
            return self.schedule_at(
                at,
                ScheduledEvent::SetupWorkDone {
                    gateway,
                    incarnation,
                    setup,
                },
            );
        }
        if let Some((next, at)) = gateway_state.gateway.finish_setup(self.now, &mut self.rng) {
            self.schedule_at(
                at,
                ScheduledEvent::SetupWorkDone {
                    gateway,
                    incarnation,
                    setup: next,
                },
            );
        }
        match &mut self.store {
            None => self.on_store_call_done(setup),
            Some(store) => {
                if let Some(at) = store.call(self.now, setup, &mut self.rng) {
                    self.schedule_at(at, ScheduledEvent::StoreCallDone { setup });
                }
            }
        }
    }

    pub(super) fn on_store_call_done(&mut self, setup: u64) {
        if let Some(store) = &mut self.store
            && let Some((next, at)) = store.call_done(self.now, &mut self.rng)
        {
            self.schedule_at(at, ScheduledEvent::StoreCallDone { setup: next });
        }
        let Some(Setup {
            request,
            attempt,
            gateway,
            incarnation,
        }) = self.setups.remove(&setup)
        else {
            return;
        };
        if self.gateways[gateway as usize].incarnation != incarnation
            || !self.is_current_attempt(request, attempt)
        {
            return;
        }
        let delay_s = self.link_delay(self.scenario.net.gateway_ms);
        self.schedule_after(
            delay_s,
            ScheduledEvent::AttemptEstablished {
                request,
                attempt,
                gateway,
            },
        );
    }

    pub(super) fn on_established(&mut self, request: u64, attempt: u32, gateway: u32) {
        if !self.is_current_attempt(request, attempt) {
            return;
        }
        if !self.gateways[gateway as usize].is_up {
            return self.on_attempt_ended(request, attempt, AttemptOutcome::Reset);
        }
        let (balancer, client) = (
            self.requests[&request].balancer,
            self.requests[&request].client,
        );
        if self.clients[&client].is_reconnect {
            self.count_return(client, gateway);
        }
        self.establish_connection(request, gateway);
        self.record_placement(balancer, request, client, gateway);
        self.record_placement_outcome(balancer, client, true);
        self.checker.on_request_answered(self.now, request, false);
        let client_state = self
            .clients
            .get_mut(&client)
            .expect("the client waits for the connection");
        let took = self.now - client_state.requested_at;
        client_state.is_reconnect = false;
        self.count_isolated(client, Some(took));
        let client_state = &self.clients[&client];
        let (class, account) = (client_state.class as usize, client_state.account as usize);
        let in_time = took <= nanos(self.scenario.classes[class].aim_ms / 1e3);
        for served in [
            &mut self.measures.classes[class],
            &mut self.measures.accounts[account],
        ] {
            served
                .took
                .record(took / 1_000)
                .expect("the histogram resizes itself");
            *if in_time {
                &mut served.in_time
            } else {
                &mut served.late
            } += 1;
        }
        let second = self.measures.second_at(self.now);
        second.stood += 1;
        second.in_time += u64::from(in_time);
        self.send_event(
            balancer,
            Event::AttemptEstablished {
                request: RequestId(request),
                attempt,
            },
        );
        // The gateway reports the load of the connection.
        if let Some(request_state) = self.requests.get(&request) {
            let metric = ConnectionMetric::Load(request_state.load);
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

    pub(super) fn on_attempt_ended(&mut self, request: u64, attempt: u32, outcome: AttemptOutcome) {
        if !self.is_current_attempt(request, attempt) {
            return;
        }
        let request_state = self
            .requests
            .get_mut(&request)
            .expect("the attempt is in progress");
        request_state.phase = Phase::Waiting;
        let (balancer, client) = (request_state.balancer, request_state.client);
        self.record_placement_outcome(balancer, client, false);
        self.checker
            .on_attempt_ended(request, !outcome.proves_not_executed());
        let ended = Event::AttemptEnded(AttemptEnd {
            request: RequestId(request),
            attempt,
            outcome,
            elapsed: 0,
            is_final: false,
        });
        self.send_event(balancer, ended);
    }
}
