//! The states, and what takes the site from one to the next.

use crate::Millis;
use crate::evidence::{Action, Force, Place, State, Step};
use crate::state_machine::Edge;
use crate::uplink_view::{DOUBT, LOST};

/// Changes within this span make the next one slower.
const MINUTE: Millis = 60_000;
/// So often has a link to come and go within a doubt before it counts as lost until it stands for long.
const FLAPS: usize = 3;
/// Most moments of coming and going that are remembered.
const MOST_FLAPS: usize = 64;

/// Where the evidence points, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Toward {
    Lost,
    Back,
}

impl Edge {
    /// The longest time between two changes that this many within the last minute leave.
    fn damped(&self, span: Millis) -> Millis {
        let before = self.changes.len().saturating_sub(1).min(20);
        span.saturating_mul(1 << before)
            .min(self.config.damp_cap_ms)
    }

    pub(crate) fn evaluate(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let ended = self
            .operator_mode
            .as_ref()
            .is_some_and(|word| word.ends_at <= now)
            && !self.operator_mode_expired;
        if ended {
            self.operator_mode_expired = true;
            actions.push(Action::Say(
                "the operator's word is over: the evidence decides".into(),
            ));
        }
        let stands = self.view.reachable_place(now).is_some();
        self.note_flaps(now, stands);
        let force = self.force(now);
        match (force, self.state) {
            (Force::Automatic, _) => self.evaluate_evidence(now, stands, actions),
            (Force::Island, State::Islanded) | (Force::Linked, State::Linked) => {}
            (Force::Island, _) => self.apply_forced_state(now, State::Islanded, actions),
            (Force::Linked, State::Doubtful) => {
                self.apply_forced_state(now, State::Linked, actions)
            }
            (Force::Linked, State::Islanded) => {
                self.apply_forced_state(now, State::Rejoining, actions)
            }
            (Force::Linked, State::Rejoining) => {
                if self.merged || now - self.since >= self.config.rejoin_ms {
                    self.apply_forced_state(now, State::Linked, actions);
                }
            }
        }
        self.ask_for_merge(actions);
    }

    fn note_flaps(&mut self, now: Millis, stands: bool) {
        if self.was_reachable && !stands {
            self.flaps.push_back(now);
        }
        while self.flaps.front().is_some_and(|at| now - at > MINUTE)
            || self.flaps.len() > MOST_FLAPS
        {
            self.flaps.pop_front();
        }
        while self.changes.front().is_some_and(|at| now - at >= MINUTE) {
            self.changes.pop_front();
        }
        if !self.was_reachable && stands && self.state == State::Islanded {
            self.hurry(now);
        }
        self.was_reachable = stands;
    }

    /// Something answers: the other places are asked soon, but not each time that a link comes and goes.
    fn hurry(&mut self, now: Millis) {
        if self
            .hurried
            .is_some_and(|at| now - at < self.config.damp_cap_ms)
        {
            return;
        }
        self.hurried = Some(now);
        for place in self.view.places() {
            let rank = self.rank(&place, now);
            self.probes.begin(&place, now, rank);
        }
    }

    /// Whether the evidence has pointed there without a break for the span.
    fn has_persisted(&mut self, now: Millis, toward: Toward, points: bool, span: Millis) -> bool {
        let since = match self.toward {
            Some((known, since)) if known == toward => since,
            _ => now,
        };
        self.toward = points.then_some((toward, since));
        points && now - since >= span
    }

    fn evaluate_evidence(&mut self, now: Millis, stands: bool, actions: &mut Vec<Action>) {
        if self.state == State::Linked && !self.view.lost(now) {
            return;
        }
        let odds = self.view.odds(now, true);
        let dwelt = now - self.since >= self.damped(self.config.confirm_ms);
        match self.state {
            State::Linked => self.evaluate_linked(now, odds, dwelt, actions),
            State::Doubtful => self.evaluate_doubt(now, odds, stands, dwelt, actions),
            State::Islanded => {
                let steady = self.damped(self.config.steady_ms);
                if self.has_persisted(now, Toward::Back, stands, steady) && dwelt {
                    let why = format!(
                        "answers from beyond the link have come for {} s",
                        steady.div_ceil(1_000)
                    );
                    self.go(now, State::Rejoining, why, actions);
                }
            }
            State::Rejoining => {
                let lost = odds >= LOST && !stands;
                if self.has_persisted(now, Toward::Lost, lost, self.config.confirm_ms) && dwelt {
                    let why = format!("lost again: {}", self.losses(now));
                    self.go(now, State::Islanded, why, actions);
                } else if self.merged && stands && dwelt {
                    self.go(
                        now,
                        State::Linked,
                        "what changed on both sides is merged".into(),
                        actions,
                    );
                } else if now - self.since >= self.config.rejoin_ms {
                    self.end_rejoining(now, stands, actions);
                }
            }
        }
    }

    fn end_rejoining(&mut self, now: Millis, stands: bool, actions: &mut Vec<Action>) {
        let waited = self.config.rejoin_ms / 1_000;
        let (to, why) = if stands {
            (
                State::Linked,
                format!("the link stands; no list has come for {waited} s and the old one goes on"),
            )
        } else {
            (
                State::Islanded,
                format!("nothing beyond the link answers after {waited} s of rejoining"),
            )
        };
        self.go(now, to, why, actions);
    }

    fn evaluate_linked(&mut self, now: Millis, odds: i32, dwelt: bool, actions: &mut Vec<Action>) {
        if self.settled.is_some_and(|(_, at)| now - at > MINUTE) && odds < DOUBT {
            self.settled = None;
        }
        let news = self.settled.is_none_or(|(known, _)| odds > known);
        let alone = self.view.odds(now, false) >= LOST;
        if (odds >= DOUBT || alone) && news && dwelt {
            let why = self.losses(now);
            self.go(now, State::Doubtful, why, actions);
        }
    }

    fn evaluate_doubt(
        &mut self,
        now: Millis,
        odds: i32,
        stands: bool,
        dwelt: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.started && stands {
            return self.go(
                now,
                State::Linked,
                "beyond the link there is an answer".into(),
                actions,
            );
        }
        let alone = self.view.odds(now, false) >= LOST;
        let (lost, back) = (
            odds >= LOST,
            odds < DOUBT && !alone && (!self.started || stands),
        );
        let toward = if lost { Toward::Lost } else { Toward::Back };
        let span = if lost {
            self.config.confirm_ms
        } else {
            self.damped(self.config.steady_ms)
        };
        if self.has_persisted(now, toward, lost || back, span) && dwelt {
            if lost {
                let why = self.losses(now);
                return self.go(now, State::Islanded, why, actions);
            }
            let why = "the link stands: what was lost was lost for itself".into();
            return self.go(now, State::Linked, why, actions);
        }
        if now - self.since >= self.config.answer_timeout_ms {
            self.end_doubt(now, odds, actions);
        }
    }

    /// The time for a doubt is over: it is decided by what there is.
    fn end_doubt(&mut self, now: Millis, odds: i32, actions: &mut Vec<Action>) {
        let flaps = self.flaps.iter().filter(|at| **at >= self.since).count();
        // What comes and goes alone comes and goes for itself.
        let seen = self
            .view
            .places()
            .into_iter()
            .filter(|place| self.view.seen(place, now).is_some());
        let several = seen.count() > 1;
        if self.view.odds(now, false) >= LOST {
            let why = format!(
                "{}; others of this site say otherwise: this process is cut off",
                self.losses(now)
            );
            self.go(now, State::Islanded, why, actions);
        } else if flaps >= FLAPS && several {
            let why = format!(
                "the link came and went {flaps} times; it is not relied on until it stands"
            );
            self.go(now, State::Islanded, why, actions);
        } else {
            self.settled = Some((odds, now));
            let why = format!("too little says that it is the link: {}", self.losses(now));
            self.go(now, State::Linked, why, actions);
        }
    }

    fn apply_forced_state(&mut self, now: Millis, to: State, actions: &mut Vec<Action>) {
        let word = self
            .operator_mode
            .as_ref()
            .map(|word| format!("{} says: {}", word.who, self.operator_mode_text(word)));
        self.enter(now, to, word.unwrap_or_default(), actions);
    }

    fn go(&mut self, now: Millis, to: State, why: String, actions: &mut Vec<Action>) {
        self.changes.push_back(now);
        self.enter(now, to, why, actions);
    }

    fn enter(&mut self, now: Millis, to: State, why: String, actions: &mut Vec<Action>) {
        actions.push(Action::State {
            from: self.state,
            to,
            why: why.clone(),
        });
        actions.push(Action::Tell);
        let from = self.state;
        (self.state, self.since, self.why) = (to, now, why);
        (self.toward, self.started) = (None, false);
        match to {
            State::Linked => self.probes.stop(),
            State::Doubtful => self.begin_probes(now),
            State::Islanded if from != State::Doubtful => self.begin_probes(now),
            State::Islanded => {}
            State::Rejoining => self.begin_rejoining(now, actions),
        }
    }

    fn begin_probes(&mut self, now: Millis) {
        for place in self.view.places() {
            let rank = self.rank(&place, now);
            self.probes.begin(&place, now, rank);
        }
    }

    /// Guards against a herd: discovery and the store are asked over a span that grows with the fleet.
    fn begin_rejoining(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.probes.stop();
        (self.merged, self.pending_merge) = (false, Some(now));
        let span = self.config.spread_ms * Millis::from(self.config.processes);
        for place in self.view.places() {
            if matches!(place, Place::Discovery | Place::Store) {
                let in_ms = self.probes.within(span);
                actions.push(Action::Rejoin(Step::Ask { place, in_ms }));
            }
        }
    }

    /// The merge is asked for once a list is in hand that is younger than the island, also if it comes late.
    fn ask_for_merge(&mut self, actions: &mut Vec<Action>) {
        let usable = matches!(self.state, State::Linked | State::Rejoining);
        if usable
            && self
                .pending_merge
                .is_some_and(|began| self.confirmed >= Some(began))
        {
            self.pending_merge = None;
            actions.push(Action::Rejoin(Step::Merge));
        }
    }
}
