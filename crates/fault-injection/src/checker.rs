//! Checks the rules of the platform against everything that a test recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::fault::Fault;
use crate::record::{ClientEvent, Event, EventKind, ProcessEvent, Record, ServerEvent, Timestamp};

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request gets exactly one final answer within its timeout.
    TimelyAnswer,
    /// At most one attempt of a request is in progress at any time.
    SingleAttempt,
    /// No attempt starts later than the drain grace after the balancer is told that the server is draining.
    DrainGrace,
    /// No server is overloaded while it is warming up.
    ColdServerLimit,
    /// A client whose server still answers receives `MOVE` before its connection closes.
    MoveBeforeDisconnect,
    /// A line is answered within the maximum latency.
    LineLatency,
    /// No process exits by itself with an error status or logs a panic.
    CleanExit,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// When it was violated. For a request without an answer at the end of the record, this is its deadline.
    pub at: Timestamp,
    /// The client, process or server involved and what it did, for the test output.
    pub description: String,
}

/// The result of checking a record.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// The seed of the test, printed with each violation.
    pub seed: u64,
    /// The violations, sorted by time; empty if every rule holds.
    pub violations: Vec<Violation>,
    /// Number of requests whose opening line was written completely.
    pub requests: usize,
    /// Number of requests that a server accepted.
    pub served: usize,
    /// Number of attempts that balancers sent to servers.
    pub attempts: usize,
    /// Number of attempts for each outcome. All `UP` receipts count as one outcome.
    pub outcomes: BTreeMap<String, usize>,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Violation {
            rule,
            at,
            description,
        } in &self.violations
        {
            writeln!(
                f,
                "{rule:?} violated at {:.3} s (seed {}): {description}",
                at.as_secs_f64(),
                self.seed
            )?;
        }
        Ok(())
    }
}

impl CheckReport {
    /// Panics if a rule was violated, or if no request or attempt was recorded that could have violated one.
    pub fn assert_no_violations(&self) {
        println!(
            "{} requests, {} served, {} attempts: {:?}",
            self.requests, self.served, self.attempts, self.outcomes
        );
        assert!(self.violations.is_empty(), "{self}");
        assert!(
            self.requests > 0 && self.attempts > 0,
            "the test recorded no requests or no attempts: {self:?}"
        );
    }
}

/// The limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// How long after the client's timeout an answer is still accepted.
    pub answer_tolerance: Duration,
    /// How long after a drain notice an attempt at the server may still start.
    pub drain_grace: Duration,
    /// Maximum time between a line and its answer.
    pub max_line_latency: Duration,
    /// How long after a fault its effects excuse a violation.
    pub fault_aftermath: Duration,
}

impl Default for Rules {
    /// The platform's own limits, each with a tolerance of 50 ms.
    fn default() -> Rules {
        Rules {
            answer_tolerance: Duration::from_millis(550),
            drain_grace: Duration::from_millis(1_050),
            max_line_latency: Duration::from_millis(1_050),
            fault_aftermath: Duration::from_secs(7),
        }
    }
}

/// The time spans in which each process, server or link was faulty.
#[derive(Default)]
struct FaultPeriods(BTreeMap<String, Vec<(Timestamp, Timestamp)>>);

impl FaultPeriods {
    fn from_events(events: &[Event]) -> FaultPeriods {
        let mut fault_periods = FaultPeriods::default();
        for Event { at, kind } in events {
            match kind {
                EventKind::Link {
                    link,
                    fault: Fault::Heal | Fault::HealWithReset,
                    ..
                } => fault_periods.end(link, *at),
                EventKind::Link {
                    link,
                    fault: Fault::Reset,
                    ..
                } => {
                    fault_periods.begin(link, *at);
                    fault_periods.end(link, *at);
                }
                EventKind::Link { link, .. } => fault_periods.begin(link, *at),
                EventKind::Process {
                    process,
                    event: ProcessEvent::Killed | ProcessEvent::Paused | ProcessEvent::Exited(_),
                } => {
                    fault_periods.begin(process, *at);
                }
                EventKind::Process {
                    process,
                    event: ProcessEvent::Started | ProcessEvent::Resumed,
                } => fault_periods.end(process, *at),
                EventKind::Server {
                    server,
                    event:
                        ServerEvent::Killed | ServerEvent::Unresponsive | ServerEvent::Overloaded { .. },
                } => {
                    fault_periods.begin(server, *at);
                }
                EventKind::Server {
                    server,
                    event: ServerEvent::Started { .. } | ServerEvent::Recovered,
                } => {
                    fault_periods.end(server, *at);
                }
                _ => {}
            }
        }
        fault_periods
    }

    fn begin(&mut self, name: &str, at: Timestamp) {
        let periods = self.0.entry(name.to_owned()).or_default();
        if periods.last().is_none_or(|(_, end)| *end != Timestamp::MAX) {
            periods.push((at, Timestamp::MAX));
        }
    }

    fn end(&mut self, name: &str, at: Timestamp) {
        if let Some((_, end)) = self.0.get_mut(name).and_then(|periods| periods.last_mut()) {
            *end = at.min(*end);
        }
    }

    /// Whether any of these was faulty within a time span, or less than `fault_aftermath` before it.
    fn affects_any(
        &self,
        names: &[&str],
        (from, to): (Timestamp, Timestamp),
        fault_aftermath: Duration,
    ) -> bool {
        names
            .iter()
            .filter_map(|name| self.0.get(*name))
            .flatten()
            .any(|(started_at, ended_at)| {
                *started_at <= to && ended_at.saturating_add(fault_aftermath) >= from
            })
    }
}

/// The state of a client's connection to a server.
struct EstablishedConnection {
    server: String,
    moved: bool,
}

struct Checker<'a> {
    rules: &'a Rules,
    fault_periods: FaultPeriods,
    violations: Vec<Violation>,
}

impl Checker<'_> {
    fn report(&mut self, rule: Rule, at: Timestamp, description: String) {
        self.violations.push(Violation {
            rule,
            at,
            description,
        });
    }
}

impl Rules {
    /// Checks all events of a record. The seed only labels the report.
    pub fn check(&self, record: &Record, seed: u64) -> CheckReport {
        let events = record.events_by_time();
        let mut checker = Checker {
            rules: self,
            fault_periods: FaultPeriods::from_events(&events),
            violations: Vec::new(),
        };
        checker.check_answers(&events);
        checker.check_attempts(&events);
        checker.check_drains(&events);
        checker.check_connections(&events);
        checker.check_servers_and_processes(&events);
        let mut violations = checker.violations;
        violations.sort_by_key(|violation| violation.at);
        let count = |matches: fn(&EventKind) -> bool| {
            events.iter().filter(|event| matches(&event.kind)).count()
        };
        let mut outcomes = BTreeMap::new();
        for event in &events {
            if let EventKind::AttemptEnded { outcome, .. } = &event.kind {
                let outcome = if outcome.starts_with("UP ") {
                    "UP"
                } else {
                    outcome
                };
                *outcomes.entry(outcome.to_owned()).or_default() += 1;
            }
        }
        CheckReport {
            seed,
            outcomes,
            violations,
            requests: count(|kind| {
                matches!(
                    kind,
                    EventKind::Client {
                        event: ClientEvent::RequestSent(_),
                        ..
                    }
                )
            }),
            served: count(|kind| {
                matches!(
                    kind,
                    EventKind::Client {
                        event: ClientEvent::Established(_),
                        ..
                    }
                )
            }),
            attempts: count(|kind| matches!(kind, EventKind::Attempt { .. })),
        }
    }
}

impl Checker<'_> {
    fn check_answers(&mut self, events: &[Event]) {
        let mut pending: BTreeMap<&str, (Timestamp, Timestamp)> = BTreeMap::new();
        let mut answered = BTreeSet::new();
        let last_at = events.last().map_or(Timestamp::ZERO, |event| event.at);
        for Event { at, kind } in events {
            let EventKind::Client {
                client,
                id,
                process,
                event,
            } = kind
            else {
                continue;
            };
            let front_link = format!("clients>{process}");
            let excused = |from| {
                self.fault_periods.affects_any(
                    &[process, &front_link],
                    (from, *at),
                    self.rules.answer_tolerance,
                )
            };
            match event {
                ClientEvent::RequestSent(answer_timeout) => {
                    pending.insert(
                        id,
                        (*at, *at + *answer_timeout + self.rules.answer_tolerance),
                    );
                }
                ClientEvent::Answered(line) => {
                    match pending.remove(id.as_str()) {
                        Some((sent_at, deadline)) if *at > deadline && !excused(sent_at) => {
                            let excess_ms = (*at - deadline).as_millis();
                            self.report(
                            Rule::TimelyAnswer,
                            *at,
                            format!("{client} ({id}) at {process}: answer {line:?} came {excess_ms} ms after the deadline"),
                        );
                            answered.insert(id);
                        }
                        Some(_) => drop(answered.insert(id)),
                        None if answered.contains(id) => {
                            self.report(
                            Rule::TimelyAnswer,
                            *at,
                            format!("{client} ({id}) at {process}: received a second answer {line:?}"),
                        );
                        }
                        None => {}
                    }
                }
                ClientEvent::Disconnected(_) => {
                    if let Some((sent_at, _)) = pending.remove(id.as_str())
                        && !excused(sent_at)
                    {
                        self.report(
                            Rule::TimelyAnswer,
                            *at,
                            format!("{client} ({id}) at {process}: the connection closed without an answer"),
                        );
                    }
                }
                ClientEvent::Closed => {
                    if let Some((sent_at, deadline)) = pending.remove(id.as_str())
                        && *at > deadline
                        && !excused(sent_at)
                    {
                        self.report(
                            Rule::TimelyAnswer,
                            *at,
                            format!("{client} ({id}) at {process}: received no answer before the deadline"),
                        );
                    }
                }
                _ => {}
            }
        }
        let unanswered: Vec<_> = pending
            .into_iter()
            .filter(|(_, (_, deadline))| last_at > *deadline)
            .collect();
        for (id, (_, deadline)) in unanswered {
            self.report(
                Rule::TimelyAnswer,
                deadline,
                format!("request {id} received no answer before the deadline"),
            );
        }
    }

    fn check_attempts(&mut self, events: &[Event]) {
        /// An attempt that is in progress or was accepted by its server.
        struct ActiveAttempt<'a> {
            number: u64,
            server: &'a str,
        }
        let mut active: BTreeMap<&str, Vec<ActiveAttempt<'_>>> = BTreeMap::new();
        for Event { at, kind } in events {
            match kind {
                EventKind::Attempt {
                    number,
                    balancer,
                    server,
                    id,
                    ..
                } => {
                    let others = active.entry(id).or_default();
                    if let Some(other) = others.first() {
                        let description = format!(
                            "{balancer} sent request {id} to {server} while an attempt at {} was active",
                            other.server
                        );
                        self.violations.push(Violation {
                            rule: Rule::SingleAttempt,
                            at: *at,
                            description,
                        });
                    }
                    others.push(ActiveAttempt {
                        number: *number,
                        server,
                    });
                }
                // An attempt that was accepted stays active: the same request at another server is a duplicate.
                EventKind::AttemptEnded { number, outcome } if !outcome.starts_with("UP") => {
                    active
                        .values_mut()
                        .for_each(|others| others.retain(|other| other.number != *number));
                }
                _ => {}
            }
        }
    }

    fn check_drains(&mut self, events: &[Event]) {
        let mut draining_since: BTreeMap<(&str, &str), Timestamp> = BTreeMap::new();
        for Event { at, kind } in events {
            match kind {
                EventKind::Process {
                    process,
                    event: ProcessEvent::Started,
                } => draining_since.retain(|(balancer, _), _| balancer != process),
                EventKind::EndpointListSent { balancer, rows, .. } => {
                    for row in rows {
                        let key = (balancer.as_str(), row.server.as_str());
                        if row.lifecycle == "SERVING" {
                            draining_since.remove(&key);
                        } else {
                            draining_since.entry(key).or_insert(*at);
                        }
                    }
                }
                EventKind::Attempt {
                    balancer,
                    server,
                    id,
                    started_at,
                    ..
                } => {
                    let Some(since) = draining_since.get(&(balancer.as_str(), server.as_str()))
                    else {
                        continue;
                    };
                    if *started_at > *since + self.rules.drain_grace {
                        let late_ms = (*started_at - *since).as_millis();
                        let description = format!(
                            "{balancer} sent request {id} to {server} {late_ms} ms after the drain notice"
                        );
                        self.violations.push(Violation {
                            rule: Rule::DrainGrace,
                            at: *started_at,
                            description,
                        });
                    }
                }
                _ => {}
            }
        }
    }

    fn check_connections(&mut self, events: &[Event]) {
        let mut connections: BTreeMap<&str, EstablishedConnection> = BTreeMap::new();
        for Event { at, kind } in events {
            let EventKind::Client {
                client,
                id,
                process,
                event,
            } = kind
            else {
                continue;
            };
            if let ClientEvent::Established(server) = event {
                connections.insert(
                    id,
                    EstablishedConnection {
                        server: server.clone(),
                        moved: false,
                    },
                );
                continue;
            }
            let Some(connection) = connections.get_mut(id.as_str()) else {
                continue;
            };
            let links = [
                format!("clients>{process}"),
                format!("{process}>{}", connection.server),
            ];
            let names = [process.as_str(), &connection.server, &links[0], &links[1]];
            let excused = |from: Timestamp| {
                self.fault_periods
                    .affects_any(&names, (from, *at), self.rules.fault_aftermath)
            };
            let violation = match event {
                ClientEvent::MoveReceived => {
                    connection.moved = true;
                    None
                }
                ClientEvent::Disconnected(_) if !connection.moved && !excused(*at) => Some((
                    Rule::MoveBeforeDisconnect,
                    format!(
                        "{client} ({id}) at {process} lost its connection to {} without MOVE",
                        connection.server
                    ),
                )),
                ClientEvent::LineAnswered(latency) | ClientEvent::LineUnanswered(latency)
                    if *latency > self.rules.max_line_latency
                        && !excused(at.saturating_sub(*latency)) =>
                {
                    let latency = latency.as_millis();
                    Some((
                        Rule::LineLatency,
                        format!(
                            "{client} ({id}) at {process}: {} answered no line for {latency} ms",
                            connection.server
                        ),
                    ))
                }
                _ => None,
            };
            if let Some((rule, description)) = violation {
                self.report(rule, *at, description);
            }
        }
    }

    fn check_servers_and_processes(&mut self, events: &[Event]) {
        for Event { at, kind } in events {
            match kind {
                EventKind::Server {
                    server,
                    event: ServerEvent::Overloaded { setups, limit },
                } => {
                    self.report(
                        Rule::ColdServerLimit,
                        *at,
                        format!("{server} received {setups} connection setups within its overload window; its limit is {limit}"),
                    );
                }
                EventKind::Process {
                    process,
                    event: ProcessEvent::Exited(false),
                } => {
                    self.report(
                        Rule::CleanExit,
                        *at,
                        format!("{process} exited with an error status"),
                    );
                }
                EventKind::Log { process, line } if line.to_string().contains("panicked") => {
                    self.report(
                        Rule::CleanExit,
                        *at,
                        format!("{process} logged a panic: {line}"),
                    );
                }
                _ => {}
            }
        }
    }
}
