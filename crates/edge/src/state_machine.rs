//! One process: what it takes in, what it tells, and what it asks.

use std::collections::VecDeque;

use crate::evidence::{
    Action, Evidence, Force, OperatorMode, Outcome, Place, Reachability, State, Step, UplinkReport,
};
use crate::probe::{Probes, rank};
use crate::transit::Toward;
use crate::uplink_view::UplinkView;
use crate::{Config, Millis};

/// Longest span between two looks at the time.
const STRIDE: Millis = 500;

/// What a process knows when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Nothing of what was.
    Anew,
    /// What it wrote down before, or its peers tell.
    Remembered {
        /// The state that it was in.
        state: State,
        /// When discovery last confirmed the list in hand. Its age goes on: a restart makes nothing fresh.
        confirmed_at: Option<Millis>,
        /// The operator's word that held.
        set_operator_mode: Option<OperatorMode>,
    },
}

/// What one process makes of its site's link.
#[derive(Clone, Debug)]
pub struct Edge {
    pub(crate) config: Config,
    pub(crate) state: State,
    pub(crate) since: Millis,
    pub(crate) why: String,
    pub(crate) operator_mode: Option<OperatorMode>,
    pub(crate) confirmed: Option<Millis>,
    pub(crate) view: UplinkView,
    pub(crate) merged: bool,
    pub(crate) started: bool,
    pub(crate) toward: Option<(Toward, Millis)>,
    /// Changes by evidence within the last minute.
    pub(crate) changes: VecDeque<Millis>,
    /// When what answered stopped to, within the last minute.
    pub(crate) flaps: VecDeque<Millis>,
    pub(crate) was_reachable: bool,
    /// Odds that were looked into and found to say nothing of the link, and when.
    pub(crate) settled: Option<(i32, Millis)>,
    pub(crate) operator_mode_expired: bool,
    /// When the last rejoining began, until its merge has been asked for.
    pub(crate) pending_merge: Option<Millis>,
    pub(crate) probes: Probes,
    pub(crate) hurried: Option<Millis>,
    last: Millis,
}

/// By what a process has its turn with a place.
struct ProbeOrder {
    name: String,
    doubtful: bool,
}

impl ProbeOrder {
    /// While it is in doubt the first two ask at once.
    fn rank(&self, sight: &UplinkView, place: &Place, now: Millis) -> u64 {
        rank(&self.name, place, sight.alive(now)).saturating_sub(u64::from(self.doubtful))
    }
}

impl Edge {
    /// A process that starts at this moment.
    pub fn new(config: Config, now: Millis, start: Start) -> Edge {
        let (state, confirmed, operator_mode, why) = match start {
            Start::Anew => (
                State::Doubtful,
                None,
                None,
                "just started, nothing has answered yet",
            ),
            Start::Remembered {
                state,
                confirmed_at,
                set_operator_mode,
            } => {
                let (state, why) = match state {
                    State::Islanded => (State::Islanded, "restarted on the island"),
                    _ => (State::Doubtful, "just started, nothing has answered yet"),
                };
                // Guards against a clock that was set back: an age that nobody knows is no age.
                (
                    state,
                    confirmed_at.filter(|at| *at <= now),
                    set_operator_mode,
                    why,
                )
            }
        };
        Edge {
            view: UplinkView::new(&config),
            probes: Probes::new(&config),
            config,
            state,
            since: now,
            why: why.into(),
            operator_mode,
            confirmed,
            merged: true,
            started: true,
            toward: None,
            changes: VecDeque::new(),
            flaps: VecDeque::new(),
            was_reachable: false,
            settled: None,
            operator_mode_expired: false,
            pending_merge: None,
            hurried: None,
            last: now,
        }
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// How it is set up.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Takes other settings over (SIGHUP), but for the names of site and process, which take a restart.
    pub fn set_up(&mut self, config: Config) {
        let (site, name) = (self.config.site.clone(), self.config.name.clone());
        self.config = Config {
            site,
            name,
            ..config
        };
        self.view.set_up(&self.config);
        self.probes.set_up(&self.config);
    }

    /// Takes the evidence in, and says what is to be done. A moment before the last one counts as the last one.
    pub fn handle(&mut self, now: Millis, evidence: Evidence, actions: &mut Vec<Action>) {
        let now = now.max(self.last);
        if now - self.last > 2 * self.config.fresh_ms.max(STRIDE) {
            self.view.forget(&self.config);
            self.toward = None;
            actions.push(Action::Say(format!(
                "nothing happened here for {} s: what was seen before says nothing of the link",
                (now - self.last) / 1_000
            )));
        }
        self.last = now;
        self.take(now, evidence, actions);
        self.evaluate(now, actions);
        self.probe(now, actions);
    }

    /// When it wants to be told of the time ([`Evidence::Tick`]), if nothing comes before.
    pub fn next(&self, now: Millis) -> Millis {
        match self.state {
            State::Linked => now + self.config.fresh_ms.div_ceil(2),
            _ => (now + STRIDE)
                .min(self.probes.next().unwrap_or(Millis::MAX))
                .max(now + 1),
        }
    }

    /// What it tells the other processes of its site, again and again.
    pub fn report(&self, now: Millis) -> UplinkReport {
        let now = now.max(self.last);
        let seen = |place: Place| {
            self.view
                .seen(&place, now)
                .map(|(seen, age)| (place, seen, age))
        };
        UplinkReport {
            name: self.config.name.clone(),
            site: self.config.site.clone(),
            state: self.state,
            places: self.view.places().into_iter().filter_map(seen).collect(),
            probes: self.probes.known(now),
            operator_mode: self.operator_mode.clone(),
        }
    }

    fn take(&mut self, now: Millis, evidence: Evidence, actions: &mut Vec<Action>) {
        match evidence {
            Evidence::Tick => {}
            Evidence::WatchLost => self.view.watch(now, false),
            Evidence::WatchStands => {
                self.view.watch(now, true);
                self.confirmed = Some(now);
            }
            Evidence::DiscoveryFailed => self.view.ask(now, None),
            Evidence::DiscoveryAnswered { took_ms } => self.view.ask(now, Some(took_ms)),
            Evidence::DiscoveryMoved => {
                self.view.discovery_moved();
                self.probes.at_once(&Place::Discovery, now);
            }
            Evidence::StoreFailed => self.view.store(now, None),
            Evidence::StoreAnswered { took_ms } => self.view.store(now, Some(took_ms)),
            Evidence::PeerHeard {
                name,
                site,
                both_ways,
            } if site != self.config.site => {
                let seen = if both_ways {
                    Reachability::Reachable
                } else {
                    Reachability::OneWay
                };
                self.view.peer(now, &site, &name, seen);
            }
            Evidence::PeerSilent { name, site } if site != self.config.site => {
                self.view.peer(now, &site, &name, Reachability::Lost);
            }
            Evidence::PeerHeard { .. } | Evidence::PeerSilent { .. } => {}
            Evidence::PeerSays(says) => self.apply_report(now, says, actions),
            Evidence::ServerBeyond { site, outcome } if site != self.config.site => {
                self.view.servers(now, &site, took(outcome));
            }
            Evidence::ServerBeyond { outcome, .. } | Evidence::ServerHere { outcome } => {
                self.view.here(now, took(outcome));
            }
            Evidence::Confirmed { at } => self.confirmed = self.confirmed.max(Some(at.min(now))),
            Evidence::OperatorsWord(word) => self.apply_operator_mode(now, word, actions),
            // One that belongs to a former rejoining is none.
            Evidence::Done(Step::Merge) => self.merged |= self.pending_merge.is_none(),
            Evidence::Done(Step::Ask { .. }) => {}
        }
    }

    fn apply_report(&mut self, now: Millis, says: UplinkReport, actions: &mut Vec<Action>) {
        if says.site != self.config.site || says.name == self.config.name {
            return;
        }
        self.view.record_report(now, &says);
        for (place, tries, age) in &says.probes {
            let (turn, at) = (self.probe_order(), now.saturating_sub(*age));
            self.probes
                .record(place, *tries, at, || turn.rank(&self.view, place, now));
        }
        if let Some(word) = says.operator_mode {
            self.apply_operator_mode(now, word, actions);
        }
    }

    /// The latest word holds; of two that were given at once all take the same one.
    fn apply_operator_mode(&mut self, now: Millis, word: OperatorMode, actions: &mut Vec<Action>) {
        if self
            .operator_mode
            .as_ref()
            .is_some_and(|known| *known >= word)
        {
            return;
        }
        if word.ends_at > now {
            actions.push(Action::Say(format!(
                "{} says: {}",
                word.who,
                self.operator_mode_text(&word)
            )));
            actions.push(Action::Tell);
        }
        (self.operator_mode, self.operator_mode_expired) = (Some(word), false);
    }

    pub(crate) fn operator_mode_text(&self, word: &OperatorMode) -> String {
        let what = match word.force {
            Force::Automatic => "the evidence decides",
            Force::Island => "this site is an island",
            Force::Linked => "this site is linked",
        };
        format!("{what} ({})", word.why)
    }

    /// The operator's word at this moment.
    pub(crate) fn force(&self, now: Millis) -> Force {
        let holding = self
            .operator_mode
            .as_ref()
            .filter(|word| word.ends_at > now);
        holding.map_or(Force::Automatic, |word| word.force)
    }

    fn probe_order(&self) -> ProbeOrder {
        ProbeOrder {
            name: self.config.name.clone(),
            doubtful: self.state == State::Doubtful,
        }
    }

    /// This process's turn with a place.
    pub(crate) fn rank(&self, place: &Place, now: Millis) -> u64 {
        self.probe_order().rank(&self.view, place, now)
    }

    fn probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let looks = matches!(self.state, State::Doubtful | State::Islanded);
        if !looks || self.force(now) != Force::Automatic {
            return;
        }
        let mut confirms = !self.was_reachable;
        for place in self.view.places() {
            let seen = self.view.seen(&place, now);
            let asks = match seen {
                Some((Reachability::Reachable, age)) if age < self.config.fresh_ms / 2 => false,
                Some((Reachability::Reachable, _)) => self.probes.take_confirm(&place, now),
                _ if self
                    .view
                    .peer_reachability(&place, now)
                    .is_some_and(|(seen, ..)| seen == Reachability::Reachable) =>
                {
                    std::mem::take(&mut confirms) && self.probes.take_confirm(&place, now)
                }
                _ => {
                    let turn = self.probe_order();
                    self.probes
                        .take_due(&place, now, || turn.rank(&self.view, &place, now))
                }
            };
            if asks {
                actions.push(Action::Probe { place });
            }
        }
    }

    /// What is lost, in a sentence.
    pub(crate) fn losses(&self, now: Millis) -> String {
        let mut lost: Vec<String> = Vec::new();
        for place in self.view.places() {
            match self.view.seen(&place, now) {
                Some((Reachability::Lost, _)) => lost.push(format!("{place} does not answer")),
                Some((Reachability::OneWay, _)) => {
                    lost.push(format!("{place} is heard but does not hear"))
                }
                _ => {}
            }
        }
        if lost.is_empty() {
            return "nothing is seen to be lost".into();
        }
        let here = match self.view.here_seen(now) {
            Some(Reachability::Lost) => "; nor do the servers here",
            Some(_) => "; the servers here do",
            None => "",
        };
        format!("{}{here}", lost.join(", "))
    }
}

fn took(outcome: Outcome) -> Option<Millis> {
    match outcome {
        Outcome::Answered { took_ms } => Some(took_ms),
        Outcome::Failed => None,
    }
}
