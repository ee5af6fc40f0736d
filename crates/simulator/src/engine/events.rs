//! What can happen at a moment of the virtual clock, and who takes it up.

use beaconflow_policy::{AttemptOutcome, Event, TimerId};

use super::{Engine, recovery};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Occurrence {
    /// A new client of a class wants a connection.
    Arrives { class: u32 },
    /// A client's try reaches a balancer.
    Comes { client: u64 },
    /// An attempt reaches its gateway.
    Reaches {
        request: u64,
        attempt: u32,
        gateway: u32,
    },
    /// A gateway has done the work of a set-up.
    Worked {
        gateway: u32,
        start: u32,
        set_up: u64,
    },
    /// The store has done a call.
    Stored { set_up: u64 },
    /// Word of an attempt's connection reaches the balancer.
    Stands {
        request: u64,
        attempt: u32,
        gateway: u32,
    },
    /// Word of an attempt's end reaches the balancer.
    Ends {
        request: u64,
        attempt: u32,
        outcome: u8,
    },
    /// The balancer waits no longer for an attempt.
    TimesOut { request: u64, attempt: u32 },
    /// A connection has lasted as long as its client wanted it.
    Over { request: u64 },
    /// A connection's load changes.
    Changes { request: u64 },
    /// A balancer's timer.
    Timer {
        balancer: u32,
        start: u32,
        timer: u64,
    },
    /// Discovery's word reaches a balancer.
    Listed {
        balancer: u32,
        start: u32,
        full: bool,
    },
    /// A second is over.
    Second,
    /// A failure begins.
    Fails { failure: u32 },
    /// It has run its course, or goes on to its next part.
    GoesOn { failure: u32, part: u8 },
    /// A client of a flood or of a mass reconnect drops its connection.
    Drops { request: u64 },
    /// A client ends its connection and comes again.
    Leaves { request: u64 },
    /// A balancer takes a new configuration over.
    Adopts { balancer: u32, failure: u32 },
    /// A balancer looks whether its zone's uplink stands.
    Judges { balancer: u32, start: u32 },
    /// What it asked beyond the link has ended.
    Probed {
        balancer: u32,
        start: u32,
        beyond: u32,
        discovery: bool,
        lost: bool,
    },
    /// It asks discovery again after an island.
    AsksAgain { balancer: u32, start: u32 },
    /// A gateway that fell over is there again, cold.
    Rises { gateway: u32, start: u32 },
    /// A balancer's node has its turn.
    Talks { balancer: u32, start: u32 },
    /// A peer's datagram is there.
    Datagram { post: u64 },
    /// A balancer's recovery wants to be told of the time.
    Recovers { balancer: u32, start: u32 },
    /// It calls discovery.
    Asks { balancer: u32, start: u32 },
    /// That call fails.
    AskFails { balancer: u32, start: u32 },
    /// A peer's unused part is there.
    Lent {
        to: u32,
        from: u32,
        number: u64,
        bits: u64,
    },
}

impl Engine<'_> {
    /// Whether a balancer is still in that life.
    pub(super) fn is_running(&self, balancer: u32, start: u32) -> bool {
        let node = &self.nodes[balancer as usize];
        node.alive && node.start == start
    }

    pub(super) fn play(&mut self, what: Occurrence) {
        match what {
            Occurrence::Arrives { class } => {
                if self.now < self.scenario.length() {
                    let client = self.client(class, None);
                    self.wants(client);
                    self.schedule_request(class);
                }
            }
            Occurrence::Comes { client } => self.comes(client),
            Occurrence::Reaches {
                request,
                attempt,
                gateway,
            } => self.reaches(request, attempt, gateway),
            Occurrence::Worked {
                gateway,
                start,
                set_up,
            } => self.worked(gateway, start, set_up),
            Occurrence::Stored { set_up } => self.stored(set_up),
            Occurrence::Stands {
                request,
                attempt,
                gateway,
            } => self.on_established(request, attempt, gateway),
            Occurrence::Ends {
                request,
                attempt,
                outcome,
            } => self.ends(request, attempt, outcome_of(outcome)),
            Occurrence::TimesOut { request, attempt } => {
                self.ends(request, attempt, AttemptOutcome::TimedOut)
            }
            Occurrence::Over { request } => self.over(request),
            Occurrence::Changes { request } => self.changes(request),
            Occurrence::Timer {
                balancer,
                start,
                timer,
            } => {
                if self.nodes[balancer as usize].start == start {
                    self.tell(balancer, Event::TimerFired(TimerId(timer)));
                }
            }
            Occurrence::Listed {
                balancer,
                start,
                full,
            } => {
                if self.nodes[balancer as usize].start == start && self.is_watching(balancer) {
                    self.on_list(balancer);
                    self.tell_list(balancer, full);
                }
            }
            Occurrence::Second => self.second(),
            Occurrence::Fails { failure } => self.fails(failure),
            Occurrence::GoesOn { failure, part } => self.goes_on(failure, part),
            Occurrence::Drops { request } => self.cut_off(request, false),
            Occurrence::Leaves { request } => self.leaves(request),
            Occurrence::Adopts { balancer, failure } => self.adopts(balancer, failure),
            Occurrence::Judges { balancer, start } if self.is_running(balancer, start) => {
                self.judges(balancer, start)
            }
            Occurrence::Probed {
                balancer,
                start,
                beyond,
                discovery,
                lost,
            } if self.is_running(balancer, start) => {
                self.probed(balancer, beyond, discovery, lost);
            }
            Occurrence::AsksAgain { balancer, start } if self.is_running(balancer, start) => {
                self.asks_again(balancer)
            }
            Occurrence::Judges { .. }
            | Occurrence::Probed { .. }
            | Occurrence::AsksAgain { .. } => {}
            Occurrence::Rises { gateway, start } => self.rises(gateway, start),
            Occurrence::Talks { balancer, start } if self.is_running(balancer, start) => {
                self.talks(balancer)
            }
            Occurrence::Datagram { post } => self.delivers(post),
            Occurrence::Recovers { balancer, start } if self.is_running(balancer, start) => {
                self.recovers(balancer, recovery::TICK);
            }
            Occurrence::Asks { balancer, start } if self.is_running(balancer, start) => {
                self.asks(balancer)
            }
            Occurrence::AskFails { balancer, start } if self.is_running(balancer, start) => {
                self.recovers(balancer, recovery::ASK_FAILED);
            }
            Occurrence::Lent {
                to,
                from,
                number,
                bits,
            } => self.is_lent(to, from, number, bits),
            Occurrence::Talks { .. }
            | Occurrence::Recovers { .. }
            | Occurrence::Asks { .. }
            | Occurrence::AskFails { .. } => {}
        }
    }
}

/// The outcomes by the numbers that events carry.
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
