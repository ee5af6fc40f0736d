//! The state machine: from each event to the next state.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ask::Asked;
use crate::clock::{Clock, Judged};
use crate::config::TICK;
use crate::curve::Curve;
use crate::farm::{Farm, Hearing, Taken};
use crate::order::{Census, Order};
use crate::part::Part;
use crate::scope::{Evidence, Finding};
use crate::trust::{self, Owner};
use crate::{
    Action, Arrival, Config, Event, Fault, Former, How, Kind, List, Memory, Millis, Nanos,
    PeerWord, SECOND, Source, State, Step, Verdict, Whom,
};

/// The machine's own moments are so much later than the host's. Guards against a host's clock that began with the process:
/// peers let clients in before that, and servers started.
const BEFORE: Nanos = 86_400 * SECOND;
/// Clients a second that a peer is believed to be short of.
const MOST_SHORT: f64 = 1e9;

/// One process on its way from dark to serving.
pub struct Recovery {
    pub(crate) config: Config,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) state: State,
    boot: u64,
    /// When it started, or was last heard before it was stopped.
    pub(crate) since: Nanos,
    /// The last event.
    pub(crate) last: Nanos,
    pub(crate) clock: Option<Clock>,
    pub(crate) memory: Option<Kept>,
    pub(crate) verdicts: BTreeMap<Kind, (Verdict, &'static str)>,
    pub(crate) evidence: Evidence,
    pub(crate) finding: Option<Finding>,
    pub(crate) farm: Farm,
    /// Of those in [`Whom::ALL`].
    pub(crate) asked: [Asked; 4],
    /// Until when the present step lasts at most.
    pub(crate) deadline: Nanos,
    /// The wall clock went ahead of the monotonic one: a peer's new boot by then shows that the machine was stopped.
    doubt_until: Nanos,
    pub(crate) census: Census,
    pub(crate) peers_former: BTreeMap<String, f64>,
    /// Peers that are short of their part, how much, and when they said so.
    pub(crate) shorts: BTreeMap<String, (f64, Nanos)>,
    /// When the first of those that started together let clients in.
    pub(crate) let_in_from: Option<Nanos>,
    pub(crate) order: Order,
    pub(crate) curve: Option<Curve>,
    pub(crate) frontier: f64,
    pub(crate) part: Part,
    /// Until when the part was counted.
    pub(crate) earned_at: Nanos,
    pub(crate) loans: u64,
}

/// What is kept of the memory.
pub(crate) struct Kept {
    owner: Owner,
    pub(crate) written_at: Millis,
    /// The list, while it is not used.
    list: Option<List>,
    pub(crate) former: Vec<Former>,
    borne: Option<f64>,
}

impl Recovery {
    /// A process that has not started yet. Equal seeds and events give equal actions.
    pub fn new(config: Config, seed: u64) -> Result<Recovery, Vec<Fault>> {
        let faults = config.faults();
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Recovery {
            config,
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: State::Dark,
            boot: 0,
            since: 0,
            last: 0,
            clock: None,
            memory: None,
            verdicts: BTreeMap::new(),
            evidence: Evidence::default(),
            finding: None,
            farm: Farm::default(),
            asked: Default::default(),
            deadline: 0,
            doubt_until: 0,
            census: Census::default(),
            peers_former: BTreeMap::new(),
            shorts: BTreeMap::new(),
            let_in_from: None,
            order: Order::default(),
            curve: None,
            frontier: 0.0,
            part: Part::default(),
            earned_at: 0,
            loans: 0,
        })
    }

    /// Tells the machine what happened, by both clocks. A process that is told anything has started.
    pub fn handle(&mut self, now: Nanos, wall: Millis, event: Event, out: &mut Vec<Action>) {
        let now = now.saturating_add(BEFORE).max(self.last);
        let gap = now - self.last;
        match self.state {
            State::Dark => self.start(now, wall, &event, out),
            _ => self.follow(now, wall, gap, out),
        }
        self.last = now;
        self.pass_time(now, out);
        match event {
            Event::Started {
                memory: Some(memory),
                ..
            } => self.remember(now, memory, out),
            Event::Started { memory: None, .. } | Event::Tick => {}
            Event::Peer(word) => self.hear(now, &word, out),
            Event::List(list) => self.take(now, &list, out),
            Event::Answered(whom) => self.answered(whom),
            Event::Failed(whom) => self.failed(now, whom, out),
            Event::ServerStarted { name, at } => self.server_started(now, &name, at, out),
            Event::Arrived(arrival) => return self.arrived(now, &arrival, out),
            Event::Lent {
                from,
                number,
                clients,
            } => self.part.lend(&from, number, clients),
        }
        self.pass_time(now, out);
    }

    /// When [`Event::Tick`] is wanted next.
    pub fn due(&self) -> Option<Nanos> {
        let asks = self.asked.iter().filter_map(|asked| asked.next).min();
        let step = match self.state {
            State::Dark => return None,
            State::Asking(_) => self.deadline.min(self.last.saturating_add(TICK)),
            State::Refilling => self.last.saturating_add(TICK),
            // It has to be seen that it was stopped.
            State::Serving => self.last.saturating_add(self.config.bounds.stopped / 2),
        };
        let let_go = self.farm.next_let_go().unwrap_or(Nanos::MAX);
        Some(
            step.min(asks.unwrap_or(Nanos::MAX))
                .min(let_go)
                .max(self.last)
                .saturating_sub(BEFORE),
        )
    }

    fn start(&mut self, now: Nanos, wall: Millis, event: &Event, out: &mut Vec<Action>) {
        self.since = now;
        let (boot, written_at) = match event {
            Event::Started { boot, memory } => {
                (*boot, memory.as_ref().map(|memory| memory.written_at))
            }
            _ => (0, None),
        };
        self.boot = boot;
        self.clock = Some(Clock::new(now, wall, written_at));
        if written_at.is_none() {
            self.say(out, Step::Remembers, "there is no memory".into(), None);
        }
        self.judge_clock(now, out);
        self.ask_first(now, 0, out);
    }

    /// Follows both clocks, and notices that the process was stopped.
    fn follow(&mut self, now: Nanos, wall: Millis, gap: Nanos, out: &mut Vec<Action>) {
        let stopped = self.config.bounds.stopped;
        let stepped = self
            .clock
            .as_mut()
            .and_then(|clock| clock.look(now, wall, &self.config.ages));
        if let Some(step) = stepped {
            self.say(
                out,
                Step::Clock,
                format!("the wall clock was stepped by {step} ms"),
                None,
            );
            if step > 0 && step as u64 >= stopped / crate::MS {
                self.doubt_until = now.saturating_add(stopped);
            }
            self.judge_clock(now, out);
        }
        if gap > stopped {
            self.wake(
                now,
                self.last,
                format!("nothing was heard for {} s: it was stopped", gap / SECOND),
                out,
            );
        }
    }

    /// What it believes is from before; it asks anew.
    fn wake(&mut self, now: Nanos, since: Nanos, why: String, out: &mut Vec<Action>) {
        self.since = since;
        self.doubt_until = 0;
        self.farm.doubt();
        self.finding = None;
        self.curve = None;
        self.frontier = 0.0;
        self.let_in_from = None;
        self.part = Part::default();
        self.asked = Default::default();
        self.say(
            out,
            Step::Woke,
            why,
            Some(now.saturating_add(self.config.lets_in_within())),
        );
        let (kind, verdict) = (Kind::Counts, Verdict::Void);
        out.push(Action::Trust {
            kind,
            verdict,
            why: "it was stopped meanwhile",
            as_of: None,
        });
        out.push(Action::Serve {
            how: How::NotYet,
            reason: "it was stopped, and asks what happened".into(),
        });
        self.ask_first(now, 0, out);
    }

    fn remember(&mut self, now: Nanos, memory: Memory, out: &mut Vec<Action>) {
        if self.memory.is_some() {
            return;
        }
        let owner = trust::owner(&self.config, self.boot, &memory);
        let reason = match owner {
            Owner::Own => format!("memory of boot {}", memory.boot),
            Owner::Foreign => {
                format!(
                    "memory of {} boot {}: not this process's own",
                    memory.owner, memory.boot
                )
            }
        };
        self.say(out, Step::Remembers, reason, None);
        let Memory {
            written_at,
            list,
            former,
            borne,
            ..
        } = memory;
        self.memory = Some(Kept {
            owner,
            written_at,
            list,
            former,
            borne,
        });
        self.judge_all(now, out);
        if self.verdict(Kind::List) == Verdict::Hint(1.0) {
            self.take_remembered(now, out);
        }
    }

    /// Takes the list from memory, if it was not taken yet.
    pub(crate) fn take_remembered(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Some(kept) = &mut self.memory else { return };
        let Some(list) = kept.list.take() else { return };
        let age = self
            .clock
            .as_ref()
            .and_then(|clock| clock.age(now, kept.written_at));
        let age = age.map_or(Nanos::MAX / 4, |age| {
            age.saturating_mul(crate::MS).min(Nanos::MAX / 4)
        });
        self.take(
            now,
            &List {
                source: Source::Memory,
                age: list.age.saturating_add(age),
                said_at: None,
                ..list
            },
            out,
        );
    }

    fn hear(&mut self, now: Nanos, word: &PeerWord, out: &mut Vec<Action>) {
        if word.name == self.config.name {
            return;
        }
        let began_anew = self.evidence.heard(now, &self.config.site, word);
        if let (Some(wall), Some(clock)) = (word.wall, self.clock.as_mut()) {
            clock.told(now, &word.name, wall);
        }
        if let Some(former) = word
            .former
            .filter(|former| former.is_finite() && *former > 0.0)
        {
            self.peers_former.insert(word.name.clone(), former);
        }
        let short = if word.short.is_finite() {
            word.short.clamp(0.0, MOST_SHORT)
        } else {
            0.0
        };
        self.shorts.insert(word.name.clone(), (short, now));
        if self.evidence.in_site() >= self.config.site_peers as usize {
            self.answered(Whom::SitePeers);
        }
        if began_anew && now < self.doubt_until && self.state == State::Serving {
            let since = now.saturating_sub(word.up_for);
            self.wake(
                now,
                since,
                format!(
                    "the wall clock went ahead, and {} has begun anew",
                    word.name
                ),
                out,
            );
        }
        self.begin_with(now, word);
        self.judge_clock(now, out);
        self.weigh(now, out);
    }

    fn take(&mut self, now: Nanos, list: &List, out: &mut Vec<Action>) {
        if let (Some(wall), Some(clock)) = (list.said_at, self.clock.as_mut()) {
            clock.told(now, "discovery", wall);
        }
        for entry in list
            .entries
            .iter()
            .filter(|_| list.source != Source::Memory)
        {
            self.clock
                .iter_mut()
                .for_each(|clock| clock.started(entry.started_at_ms));
        }
        self.judge_clock(now, out);
        self.answered_by(list.source);
        let of_memory = (list.source == Source::Memory)
            .then(|| self.memory.as_ref().map(|kept| kept.written_at));
        let hearing = hearing(&self.config, self.clock.as_ref(), now, of_memory.flatten());
        let (source, entries) = (list.source, list.entries.len());
        match self.farm.take(list, hearing) {
            Taken::No => self.say(
                out,
                Step::List,
                format!("left out: what is held is newer than {source:?}'s"),
                None,
            ),
            Taken::Yes { held, reborn } => {
                let lost = if reborn {
                    "; discovery counts anew"
                } else {
                    ""
                };
                self.say(
                    out,
                    Step::List,
                    format!("{entries} servers by {source:?}{lost}"),
                    None,
                );
                if held > 0 && reborn {
                    let until = now.saturating_add(self.config.bounds.drain_hold);
                    let reason =
                        format!("{held} former drains hold until discovery says otherwise");
                    self.say(out, Step::Drain, reason, Some(until));
                }
                self.farm_changed(now, out);
            }
        }
    }

    fn server_started(&mut self, now: Nanos, name: &str, at: Millis, out: &mut Vec<Action>) {
        let hearing = hearing(&self.config, self.clock.as_ref(), now, None);
        if self.farm.started(name, at, hearing) {
            self.farm_changed(now, out);
        }
    }

    fn farm_changed(&mut self, now: Nanos, out: &mut Vec<Action>) {
        out.push(Action::ListChanged);
        self.doubt_starts();
        self.plan(now);
        self.weigh(now, out);
    }

    fn judge_clock(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let judged = self
            .clock
            .as_mut()
            .and_then(|clock| clock.judge(now, &self.config.ages));
        let Some(judged) = judged else { return };
        let reason = match judged {
            Judged::Sound(why) => format!("ages count: {why}"),
            Judged::Unknown(why) => format!("ages are unknown: {why}"),
        };
        self.say(out, Step::Clock, reason, None);
        self.judge_all(now, out);
    }

    /// Judges all kinds anew, and says what has changed.
    fn judge_all(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Some(kept) = &self.memory else { return };
        let age = self
            .clock
            .as_ref()
            .and_then(|clock| clock.age(now, kept.written_at));
        for kind in Kind::ALL {
            let (verdict, why) = trust::judge(kind, kept.owner, age, &self.config.ages);
            if self.verdicts.insert(kind, (verdict, why)) != Some((verdict, why)) {
                out.push(Action::Trust {
                    kind,
                    verdict,
                    why,
                    as_of: Some(kept.written_at),
                });
            }
        }
    }

    /// What memory says of former service, and how many it makes in all.
    pub(crate) fn remembered(&self) -> (&[Former], f64) {
        let former = self.memory.as_ref().map_or(&[][..], |kept| &kept.former);
        (
            former,
            former
                .iter()
                .map(|one| one.clients)
                .filter(|clients| *clients > 0.0)
                .sum(),
        )
    }

    /// Clients a second that a warm server of weight 1 bears: what was seen fades to what is set up.
    pub(crate) fn borne(&self) -> f64 {
        let seen = self
            .memory
            .as_ref()
            .and_then(|kept| kept.borne)
            .filter(|seen| seen.is_finite() && *seen > 0.0);
        match (self.verdict(Kind::Pace), seen) {
            (Verdict::Hint(weight), Some(seen)) => {
                weight * seen + (1.0 - weight) * self.config.cold.borne
            }
            _ => self.config.cold.borne,
        }
    }

    /// Weighs what went dark; says so once it is decided and has changed.
    fn weigh(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.finding.is_some() {
            self.decide(now, out);
        }
    }

    pub(crate) fn find(&self, now: Nanos) -> Finding {
        let told = self
            .is_told_since()
            .then(|| self.farm.cold_part(now, &self.config.cold));
        let cold = told.flatten();
        self.evidence
            .weigh(now, now.saturating_sub(self.since), &self.config, cold)
    }

    /// Decides what went dark, by what is known now.
    pub(crate) fn decide(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let found = self.find(now);
        if self.state == State::Serving
            || self
                .finding
                .as_ref()
                .is_some_and(|old| old.scope == found.scope)
        {
            return;
        }
        let Finding {
            scope,
            likelihood,
            evidence,
        } = found.clone();
        let by = if evidence.is_empty() {
            "nothing".into()
        } else {
            evidence.join("; ")
        };
        self.say(out, Step::Scope, format!("{scope}, by {by}"), None);
        out.push(Action::Scope {
            scope,
            likelihood,
            evidence,
        });
        self.finding = Some(found);
        self.doubt_starts();
    }

    /// What time alone changes.
    fn pass_time(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.repeat(now, out);
        if self.farm.let_go(now) > 0 {
            self.say(
                out,
                Step::Drain,
                "former drains hold no longer".into(),
                None,
            );
            self.farm_changed(now, out);
        }
        while let State::Asking(whom) = self.state {
            if !self.is_over(now, whom) {
                return;
            }
            self.next_step(now, whom, out);
        }
        if self.state == State::Refilling {
            self.refill(now, out);
        }
    }

    fn arrived(&mut self, now: Nanos, arrival: &Arrival, out: &mut Vec<Action>) {
        match self.state {
            State::Serving => out.push(Action::Admit { id: arrival.id }),
            State::Refilling => self.by_turn(now, arrival, out),
            State::Dark | State::Asking(_) => {
                self.census.count(arrival);
                let left = self.deadline.saturating_sub(now).min(SECOND);
                let retry_after = left.saturating_add(self.rng.random_range(SECOND / 4..SECOND));
                out.push(Action::Defer {
                    id: arrival.id,
                    retry_after,
                    firm: false,
                });
            }
        }
    }

    pub(crate) fn say(
        &self,
        out: &mut Vec<Action>,
        step: Step,
        reason: String,
        bound: Option<Nanos>,
    ) {
        out.push(Action::Say {
            step,
            reason,
            bound: bound.map(|bound| bound.saturating_sub(BEFORE)),
        });
    }
}

/// What is known of clocks as a list comes.
fn hearing<'a>(
    config: &'a Config,
    clock: Option<&Clock>,
    now: Nanos,
    written_at: Option<Millis>,
) -> Hearing<'a> {
    let wall = clock
        .filter(|clock| clock.is_sound())
        .map(|clock| clock.wall(now));
    Hearing {
        now,
        wall,
        written_at,
        cold: &config.cold,
        drain_hold: config.bounds.drain_hold,
    }
}
