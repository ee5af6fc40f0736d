//! Events scheduled on the virtual clock, and their dispatch.

use beaconflow_policy::{AttemptOutcome, Event, TimerId};

use super::{Engine, recovery};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ScheduledEvent {
    /// A new client of a class requests a connection.
    ClientCreated { class: u32 },
    /// A client's request reaches a balancer.
    ClientArrived { client: u64 },
    /// An attempt reaches its gateway.
    AttemptArrived {
        request: u64,
        attempt: u32,
        gateway: u32,
    },
    /// A gateway has finished the work of a setup.
    SetupWorkDone {
        gateway: u32,
        incarnation: u32,
        setup: u64,
    },
    /// The store has completed a call.
    StoreCallDone { setup: u64 },
    /// The balancer learns that an attempt established a connection.
    AttemptEstablished {
        request: u64,
        attempt: u32,
        gateway: u32,
    },
    /// The balancer learns that an attempt ended without a connection.
    AttemptEnded {
        request: u64,
        attempt: u32,
        outcome: u8,
    },
    /// An attempt exceeds its timeout.
    AttemptTimedOut { request: u64, attempt: u32 },
    /// The lifetime of a connection is over.
    ConnectionLifetimeOver { request: u64 },
    /// The load of a connection changes.
    LoadChanged { request: u64 },
    /// A timer of a balancer's policy engine fires.
    TimerFired {
        balancer: u32,
        incarnation: u32,
        timer: u64,
    },
    /// A server list from discovery reaches a balancer.
    ServerListArrived {
        balancer: u32,
        incarnation: u32,
        is_full: bool,
    },
    /// One simulated second has elapsed.
    SecondElapsed,
    /// A failure of the scenario begins.
    FailureBegan { failure: u32 },
    /// A failure ends or enters its next phase.
    FailureContinued { failure: u32, part: u8 },
    /// A connection breaks: by a reset, a mass reconnect or shedding.
    ConnectionDropped { request: u64 },
    /// A client closes its connection and reconnects.
    ConnectionClosedByClient { request: u64 },
    /// A balancer switches to a new configuration.
    ConfigurationAdopted { balancer: u32, failure: u32 },
    /// A balancer checks its zone's uplink.
    UplinkCheckDue { balancer: u32, incarnation: u32 },
    /// A balancer's probe across the uplink has ended.
    ProbeDone {
        balancer: u32,
        incarnation: u32,
        target_zone: u32,
        is_discovery: bool,
        is_lost: bool,
    },
    /// A balancer queries discovery again after an isolation.
    DiscoveryRequeryDue { balancer: u32, incarnation: u32 },
    /// A gateway that crashed from overload restarts cold.
    FallenGatewayRestarted { gateway: u32, incarnation: u32 },
    /// A balancer's membership node is due for a tick.
    NodeTickDue { balancer: u32, incarnation: u32 },
    /// A peer's datagram arrives.
    DatagramArrived { id: u64 },
    /// A balancer's recovery is due for a tick.
    RecoveryTickDue { balancer: u32, incarnation: u32 },
    /// A balancer's recovery queries discovery.
    DiscoveryQueryDue { balancer: u32, incarnation: u32 },
    /// That query fails.
    DiscoveryQueryFailed { balancer: u32, incarnation: u32 },
    /// A peer's lent admission quota arrives; `bits` is the number of clients as `f64` bits.
    QuotaLent {
        to: u32,
        from: u32,
        number: u64,
        bits: u64,
    },
}

impl Engine<'_> {
    /// Whether a balancer is up and still in this incarnation.
    pub(super) fn is_running(&self, balancer: u32, incarnation: u32) -> bool {
        let balancer_state = &self.balancers[balancer as usize];
        balancer_state.is_alive && balancer_state.incarnation == incarnation
    }

    pub(super) fn handle_scheduled_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::ClientCreated { class } => {
                if self.now < self.scenario.arrivals_duration() {
                    let client = self.new_client(class, None);
                    self.begin_connecting(client);
                    self.schedule_request(class);
                }
            }
            ScheduledEvent::ClientArrived { client } => self.on_client_arrived(client),
            ScheduledEvent::AttemptArrived {
                request,
                attempt,
                gateway,
            } => self.on_attempt_arrived(request, attempt, gateway),
            ScheduledEvent::SetupWorkDone {
                gateway,
                incarnation,
                setup,
            } => self.on_setup_work_done(gateway, incarnation, setup),
            ScheduledEvent::StoreCallDone { setup } => self.on_store_call_done(setup),
            ScheduledEvent::AttemptEstablished {
                request,
                attempt,
                gateway,
            } => self.on_established(request, attempt, gateway),
            ScheduledEvent::AttemptEnded {
                request,
                attempt,
                outcome,
            } => self.on_attempt_ended(request, attempt, outcome_of(outcome)),
            ScheduledEvent::AttemptTimedOut { request, attempt } => {
                self.on_attempt_ended(request, attempt, AttemptOutcome::TimedOut)
            }
            ScheduledEvent::ConnectionLifetimeOver { request } => self.on_lifetime_over(request),
            ScheduledEvent::LoadChanged { request } => self.change_load(request),
            ScheduledEvent::TimerFired {
                balancer,
                incarnation,
                timer,
            } => {
                if self.balancers[balancer as usize].incarnation == incarnation {
                    self.send_event(balancer, Event::TimerFired(TimerId(timer)));
                }
            }
            ScheduledEvent::ServerListArrived {
                balancer,
                incarnation,
                is_full,
            } => {
                if self.balancers[balancer as usize].incarnation == incarnation
                    && self.is_watching(balancer)
                {
                    self.on_list_received(balancer);
                    self.deliver_server_list(balancer, is_full);
                }
            }
            ScheduledEvent::SecondElapsed => self.on_second_elapsed(),
            ScheduledEvent::FailureBegan { failure } => self.begin_failure(failure),
            ScheduledEvent::FailureContinued { failure, part } => {
                self.continue_failure(failure, part)
            }
            ScheduledEvent::ConnectionDropped { request } => self.break_connection(request, false),
            ScheduledEvent::ConnectionClosedByClient { request } => self.close_by_client(request),
            ScheduledEvent::ConfigurationAdopted { balancer, failure } => {
                self.adopt_configuration(balancer, failure)
            }
            ScheduledEvent::UplinkCheckDue {
                balancer,
                incarnation,
            } if self.is_running(balancer, incarnation) => self.check_uplink(balancer, incarnation),
            ScheduledEvent::ProbeDone {
                balancer,
                incarnation,
                target_zone,
                is_discovery,
                is_lost,
            } if self.is_running(balancer, incarnation) => {
                self.on_probe_done(balancer, target_zone, is_discovery, is_lost);
            }
            ScheduledEvent::DiscoveryRequeryDue {
                balancer,
                incarnation,
            } if self.is_running(balancer, incarnation) => self.requery_discovery(balancer),
            ScheduledEvent::UplinkCheckDue { .. }
            | ScheduledEvent::ProbeDone { .. }
            | ScheduledEvent::DiscoveryRequeryDue { .. } => {}
            ScheduledEvent::FallenGatewayRestarted {
                gateway,
                incarnation,
            } => self.restart_fallen_gateway(gateway, incarnation),
            ScheduledEvent::NodeTickDue {
                balancer,
                incarnation,
            } if self.is_running(balancer, incarnation) => self.tick_node(balancer),
            ScheduledEvent::DatagramArrived { id } => self.deliver_datagram(id),
            ScheduledEvent::RecoveryTickDue {
                balancer,
                incarnation,
            } if self.is_running(balancer, incarnation) => {
                self.handle_recovery_event(balancer, recovery::TICK);
            }
            ScheduledEvent::DiscoveryQueryDue {
                balancer,
                incarnation,
            } if self.is_running(balancer, incarnation) => self.query_discovery(balancer),
            ScheduledEvent::DiscoveryQueryFailed {
                balancer,
                incarnation,
            } if self.is_running(balancer, incarnation) => {
                self.handle_recovery_event(balancer, recovery::QUERY_FAILED);
            }
            ScheduledEvent::QuotaLent {
                to,
                from,
                number,
                bits,
            } => self.on_quota_lent(to, from, number, bits),
            ScheduledEvent::NodeTickDue { .. }
            | ScheduledEvent::RecoveryTickDue { .. }
            | ScheduledEvent::DiscoveryQueryDue { .. }
            | ScheduledEvent::DiscoveryQueryFailed { .. } => {}
        }
    }
}

/// The outcome with the number that an event carries.
fn outcome_of(number: u8) -> AttemptOutcome {
    use AttemptOutcome::{
        Cancelled, ConnectFailed, NotSent, Rejected, Reset, Served, ServerError, TimedOut,
    };
    let all = [
        Served,
        ServerError,
        Rejected,
        TimedOut,
        ConnectFailed,
        Reset,
        Cancelled,
        NotSent,
    ];
    all[usize::from(number) % all.len()]
}
