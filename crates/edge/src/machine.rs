//! One process: what it takes in, what it tells, and what it asks.

use std::collections::VecDeque;

use crate::evidence::{Action, Evidence, Force, Outcome, Place, Says, Seen, State, Step, Word};
use crate::probe::{Probes, rank};
use crate::sight::Sight;
use crate::transit::Toward;
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
        set_operator_mode: Option<Word>,
    },
}

/// What one process makes of its site's link.
#[derive(Clone, Debug)]
pub struct Edge {
    pub(crate) config: Config,
    pub(crate) state: State,
    pub(crate) since: Millis,
    pub(crate) why: String,
    pub(crate) word: Option<Word>,
    pub(crate) confirmed: Option<Millis>,
    pub(crate) sight: Sight,
    pub(crate) merged: bool,
    pub(crate) started: bool,
    pub(crate) toward: Option<(Toward, Millis)>,
    /// Changes by evidence within the last minute.
    pub(crate) changes: VecDeque<Millis>,
    /// When what answered stopped to, within the last minute.
    pub(crate) flaps: VecDeque<Millis>,
    pub(crate) stood: bool,
    /// Odds that were looked into and found to say nothing of the link, and when.
    pub(crate) settled: Option<(i32, Millis)>,
    pub(crate) word_over: bool,
    /// When the last rejoining began, until its merge has been asked for.
    pub(crate) merge_due: Option<Millis>,
    pub(crate) probes: Probes,
    pub(crate) hurried: Option<Millis>,
    last: Millis,
}

/// By what a process has its turn with a place.
struct Turn {
    name: String,
    doubtful: bool,
}

impl Turn {
    /// While it is in doubt the first two ask at once.
    fn rank(&self, sight: &Sight, place: &Place, now: Millis) -> u64 {
        rank(&self.name, place, sight.alive(now)).saturating_sub(u64::from(self.doubtful))
    }
}

impl Edge {
    /// A process that starts at this moment.
    pub fn new(config: Config, now: Millis, start: Start) -> Edge {
        let (state, confirmed, word, why) = match start {
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
            sight: Sight::new(&config),
            probes: Probes::new(&config),
            config,
            state,
            since: now,
            why: why.into(),
            word,
            confirmed,
            merged: true,
            started: true,
            toward: None,
            changes: VecDeque::new(),
            flaps: VecDeque::new(),
            stood: false,
            settled: None,
            word_over: false,
            merge_due: None,
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
        self.sight.set_up(&self.config);
        self.probes.set_up(&self.config);
    }

    /// Takes the evidence in, and says what is to be done. A moment before the last one counts as the last one.
    pub fn handle(&mut self, now: Millis, evidence: Evidence, actions: &mut Vec<Action>) {
        let now = now.max(self.last);
        if now - self.last > 2 * self.config.fresh_ms.max(STRIDE) {
            self.sight.forget(&self.config);
            self.toward = None;
            actions.push(Action::Say(format!(
                "nothing happened here for {} s: what was seen before says nothing of the link",
                (now - self.last) / 1_000
            )));
        }
        self.last = now;
        self.take(now, evidence, actions);
        self.judge(now, actions);
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
    pub fn says(&self, now: Millis) -> Says {
        let now = now.max(self.last);
        let seen = |place: Place| {
            self.sight
                .seen(&place, now)
                .map(|(seen, age)| (place, seen, age))
        };
        Says {
            name: self.config.name.clone(),
            site: self.config.site.clone(),
            state: self.state,
            places: self.sight.places().into_iter().filter_map(seen).collect(),
            probes: self.probes.known(now),
            word: self.word.clone(),
        }
    }

    fn take(&mut self, now: Millis, evidence: Evidence, actions: &mut Vec<Action>) {
        match evidence {
            Evidence::Tick => {}
            Evidence::WatchLost => self.sight.watch(now, false),
            Evidence::WatchStands => {
                self.sight.watch(now, true);
                self.confirmed = Some(now);
            }
            Evidence::DiscoveryFailed => self.sight.ask(now, None),
            Evidence::DiscoveryAnswered { took_ms } => self.sight.ask(now, Some(took_ms)),
            Evidence::DiscoveryMoved => {
                self.sight.discovery_moved();
                self.probes.at_once(&Place::Discovery, now);
            }
            Evidence::StoreFailed => self.sight.store(now, None),
            Evidence::StoreAnswered { took_ms } => self.sight.store(now, Some(took_ms)),
            Evidence::PeerHeard {
                name,
                site,
                both_ways,
            } if site != self.config.site => {
                let seen = if both_ways { Seen::Stands } else { Seen::Hears };
                self.sight.peer(now, &site, &name, seen);
            }
            Evidence::PeerSilent { name, site } if site != self.config.site => {
                self.sight.peer(now, &site, &name, Seen::Lost);
            }
            Evidence::PeerHeard { .. } | Evidence::PeerSilent { .. } => {}
            Evidence::PeerSays(says) => self.take_says(now, says, actions),
            Evidence::ServerBeyond { site, outcome } if site != self.config.site => {
                self.sight.servers(now, &site, took(outcome));
            }
            Evidence::ServerBeyond { outcome, .. } | Evidence::ServerHere { outcome } => {
                self.sight.here(now, took(outcome));
            }
            Evidence::Confirmed { at } => self.confirmed = self.confirmed.max(Some(at.min(now))),
            Evidence::OperatorsWord(word) => self.take_word(now, word, actions),
            // One that belongs to a former rejoining is none.
            Evidence::Done(Step::Merge) => self.merged |= self.merge_due.is_none(),
            Evidence::Done(Step::Ask { .. }) => {}
        }
    }

    fn take_says(&mut self, now: Millis, says: Says, actions: &mut Vec<Action>) {
        if says.site != self.config.site || says.name == self.config.name {
            return;
        }
        self.sight.says(now, &says);
        for (place, tries, age) in &says.probes {
            let (turn, at) = (self.turn(), now.saturating_sub(*age));
            self.probes
                .heard(place, *tries, at, || turn.rank(&self.sight, place, now));
        }
        if let Some(word) = says.word {
            self.take_word(now, word, actions);
        }
    }

    /// The latest word holds; of two that were given at once all take the same one.
    fn take_word(&mut self, now: Millis, word: Word, actions: &mut Vec<Action>) {
        if self.word.as_ref().is_some_and(|known| *known >= word) {
            return;
        }
        if word.ends_at > now {
            actions.push(Action::Say(format!(
                "{} says: {}",
                word.who,
                self.word_text(&word)
            )));
            actions.push(Action::Tell);
        }
        (self.word, self.word_over) = (Some(word), false);
    }

    pub(crate) fn word_text(&self, word: &Word) -> String {
        let what = match word.force {
            Force::Automatic => "the evidence decides",
            Force::Island => "this site is an island",
            Force::Linked => "this site is linked",
        };
        format!("{what} ({})", word.why)
    }

    /// The operator's word at this moment.
    pub(crate) fn force(&self, now: Millis) -> Force {
        let holding = self.word.as_ref().filter(|word| word.ends_at > now);
        holding.map_or(Force::Automatic, |word| word.force)
    }

    fn turn(&self) -> Turn {
        Turn {
            name: self.config.name.clone(),
            doubtful: self.state == State::Doubtful,
        }
    }

    /// This process's turn with a place.
    pub(crate) fn rank(&self, place: &Place, now: Millis) -> u64 {
        self.turn().rank(&self.sight, place, now)
    }

    fn probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let looks = matches!(self.state, State::Doubtful | State::Islanded);
        if !looks || self.force(now) != Force::Automatic {
            return;
        }
        let mut confirms = !self.stood;
        for place in self.sight.places() {
            let seen = self.sight.seen(&place, now);
            let asks = match seen {
                Some((Seen::Stands, age)) if age < self.config.fresh_ms / 2 => false,
                Some((Seen::Stands, _)) => self.probes.take_confirm(&place, now),
                _ if self
                    .sight
                    .said(&place, now)
                    .is_some_and(|(seen, ..)| seen == Seen::Stands) =>
                {
                    std::mem::take(&mut confirms) && self.probes.take_confirm(&place, now)
                }
                _ => {
                    let turn = self.turn();
                    self.probes
                        .take_due(&place, now, || turn.rank(&self.sight, &place, now))
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
        for place in self.sight.places() {
            match self.sight.seen(&place, now) {
                Some((Seen::Lost, _)) => lost.push(format!("{place} does not answer")),
                Some((Seen::Hears, _)) => lost.push(format!("{place} is heard but does not hear")),
                _ => {}
            }
        }
        if lost.is_empty() {
            return "nothing is seen to be lost".into();
        }
        let here = match self.sight.here_seen(now) {
            Some(Seen::Lost) => "; nor do the servers here",
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
