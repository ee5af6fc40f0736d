//! Who is asked, in which order, and when again: spread, so that a fleet that starts in one instant asks nobody to death.

use rand::Rng;

use crate::machine::Recovery;
use crate::{Action, MS, Nanos, Scope, Source, State, Step, Whom};

/// Least span over which a repeat is spread.
const LEAST_REPEAT: Nanos = 200 * MS;

/// What was asked of one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Asked {
    pub(crate) answered: bool,
    tries: u32,
    /// When the call that is under way was or will be made.
    call_at: Nanos,
    /// When it is asked again if it has not answered.
    pub(crate) next: Option<Nanos>,
}

impl Recovery {
    /// Begins with the first one from that place on that is there to be asked.
    pub(crate) fn ask_first(&mut self, now: Nanos, from: usize, out: &mut Vec<Action>) {
        match Whom::ALL
            .into_iter()
            .skip(from)
            .find(|whom| self.is_there(*whom))
        {
            Some(whom) => {
                self.state = State::Asking(whom);
                self.deadline = now.saturating_add(self.config.step_within(whom));
                self.say(
                    out,
                    Step::Asks(whom),
                    format!("what is known at the {whom}"),
                    Some(self.deadline),
                );
                if !self.asked[whom as usize].answered {
                    let after = self.rng.random_range(0..=self.span(whom));
                    self.call(now, whom, after, out);
                }
            }
            None => self.let_in(now, out),
        }
    }

    fn is_there(&self, whom: Whom) -> bool {
        match whom {
            Whom::SitePeers => self.config.site_peers > 0,
            Whom::OtherSites => !self.config.other_sites.is_empty(),
            Whom::Discovery => true,
            Whom::Store => self.config.store,
        }
    }

    fn bound(&self, whom: Whom) -> Nanos {
        let bounds = &self.config.bounds;
        match whom {
            Whom::SitePeers => bounds.site_peers,
            Whom::OtherSites => bounds.other_sites,
            Whom::Discovery => bounds.discovery,
            Whom::Store => bounds.store,
        }
    }

    /// The span over which the fleet's first calls to it are spread. Peers speak unasked too, and each answers some.
    fn span(&self, whom: Whom) -> Nanos {
        match whom {
            Whom::SitePeers | Whom::OtherSites => self.bound(whom) / 4,
            Whom::Discovery | Whom::Store => self.config.herd(),
        }
    }

    fn call(&mut self, now: Nanos, whom: Whom, after: Nanos, out: &mut Vec<Action>) {
        out.push(Action::Ask { whom, after });
        let call_at = now.saturating_add(after);
        let next = Some(call_at.saturating_add(self.bound(whom).max(LEAST_REPEAT)));
        let asked = &mut self.asked[whom as usize];
        *asked = Asked {
            tries: asked.tries.saturating_add(1),
            call_at,
            next,
            ..*asked
        };
    }

    /// Asks again after a capped, exponential delay with full jitter, never before the fleet's calls have their time.
    fn call_again(&mut self, now: Nanos, whom: Whom, out: &mut Vec<Action>) {
        let tries = self.asked[whom as usize].tries.min(16);
        let most = self.config.bounds.repeat.max(self.span(whom));
        let span = self
            .span(whom)
            .max(LEAST_REPEAT)
            .saturating_mul(1 << tries)
            .min(most);
        let after = self.rng.random_range(0..=span);
        self.call(now, whom, after, out);
    }

    /// Asks those again that have not answered in time, whatever the state: one that comes back last is heard too.
    pub(crate) fn repeat(&mut self, now: Nanos, out: &mut Vec<Action>) {
        for whom in Whom::ALL {
            if self.asked[whom as usize]
                .next
                .is_some_and(|next| now >= next)
            {
                self.call_again(now, whom, out);
            }
        }
    }

    pub(crate) fn answered(&mut self, whom: Whom) {
        let asked = &mut self.asked[whom as usize];
        *asked = Asked {
            answered: true,
            next: None,
            ..*asked
        };
    }

    /// A list is an answer of its source.
    pub(crate) fn answered_by(&mut self, source: Source) {
        match source {
            Source::Known | Source::Memory => {}
            Source::Peer => self.answered(Whom::SitePeers),
            Source::OtherSite => self.answered(Whom::OtherSites),
            Source::Discovery => self.answered(Whom::Discovery),
            Source::Store => self.answered(Whom::Store),
        }
    }

    /// A call failed. Word of one that was not made is passed over: it would only be made more often.
    pub(crate) fn failed(&mut self, now: Nanos, whom: Whom, out: &mut Vec<Action>) {
        self.evidence.silent(whom);
        let asked = &self.asked[whom as usize];
        if asked.next.is_some() && now >= asked.call_at {
            self.call_again(now, whom, out);
        }
    }

    /// Whether the step is over: it was answered, its time is up, or what is known is enough.
    pub(crate) fn is_over(&self, now: Nanos, whom: Whom) -> bool {
        let is_told = whom == Whom::Discovery && self.is_told_since();
        self.asked[whom as usize].answered
            || now >= self.deadline
            || is_told
            || self.knows_enough(now)
    }

    /// Whether a list was told that is younger than the darkness. If a peer told it, its call of discovery was the
    /// earlier one; the own call is made all the same.
    pub(crate) fn is_told_since(&self) -> bool {
        self.farm
            .as_of()
            .is_some_and(|as_of| as_of >= self.since as i64)
    }

    /// One that restarted alone, and has its peers' list, has to wait for nobody.
    fn knows_enough(&self, now: Nanos) -> bool {
        let is_told = self
            .farm
            .source()
            .is_some_and(|source| source >= Source::OtherSite);
        is_told && self.find(now).scope == Scope::Alone
    }

    pub(crate) fn next_step(&mut self, now: Nanos, whom: Whom, out: &mut Vec<Action>) {
        if !self.asked[whom as usize].answered {
            self.evidence.silent(whom);
        }
        if !self.knows_enough(now) {
            return self.ask_first(now, whom as usize + 1, out);
        }
        // Whom nobody waits for is still asked.
        for later in Whom::ALL.into_iter().skip(whom as usize + 1) {
            if self.is_there(later) && !self.asked[later as usize].answered {
                let after = self.rng.random_range(0..=self.span(later));
                self.call(now, later, after, out);
            }
        }
        self.let_in(now, out);
    }
}
