//! What a host asks the machine.

use crate::clock::Clock;
use crate::machine::Recovery;
use crate::{Entry, Kind, Millis, Scope, State, Verdict};

impl Recovery {
    /// Where it is on its way.
    pub fn state(&self) -> State {
        self.state
    }

    /// The list as it is believed now, in order of names: former drains that hold are shown as drains.
    pub fn servers(&self) -> impl Iterator<Item = Entry> {
        self.farm.shown()
    }

    /// How far a kind of knowledge from before is believed.
    pub fn verdict(&self, kind: Kind) -> Verdict {
        self.verdicts
            .get(&kind)
            .map_or(Verdict::Void, |(verdict, _)| *verdict)
    }

    /// What went dark, as far as it is decided.
    pub fn scope(&self) -> Scope {
        self.finding
            .as_ref()
            .map_or(Scope::Unknown, |finding| finding.scope)
    }

    /// Whether the wall clock is believed, for [`crate::PeerWord::wall`].
    pub fn clock_is_sound(&self) -> bool {
        self.clock.as_ref().is_some_and(Clock::is_sound)
    }

    /// Whether a placement dealt at that wall time is still good: not if its server has started since, or takes nothing
    /// new.
    pub fn placement_holds(&self, server: &str, placed_at: Millis) -> bool {
        let Some(server) = self.farm.get(server).filter(|server| server.takes_new()) else {
            return false;
        };
        let Some(clock) = &self.clock else {
            return false;
        };
        let age = clock.age(self.last, placed_at);
        let is_young = age.is_some_and(|age| age <= self.config.ages.placements);
        let before = server.started_since
            && self
                .memory
                .as_ref()
                .is_some_and(|kept| placed_at <= kept.written_at);
        is_young && !before && server.entry.started_at_ms <= placed_at
    }

    /// Whether an override that was kept from before still holds. `restricts`: it takes a server out; then it holds for
    /// as long as a former drain if its end can't be told.
    pub fn override_holds(&self, expires_at: Millis, restricts: bool) -> bool {
        match self.verdict(Kind::Overrides) {
            Verdict::Holds => self
                .clock
                .as_ref()
                .is_some_and(|clock| clock.wall(self.last) < expires_at),
            Verdict::Hint(_) => {
                restricts && self.last < self.since.saturating_add(self.config.bounds.drain_hold)
            }
            Verdict::Void => false,
        }
    }

    /// Whether what stands now may replace what memory knows of former service. Guards against a second power loss in
    /// the midst of a recovery, after which the half that stood by then would count as all there was.
    pub fn may_remember(&self) -> bool {
        self.state == State::Serving
    }

    /// Clients a second that are told to come again though their turn has come, for [`crate::PeerWord::short`].
    pub fn short(&self) -> f64 {
        self.part.short()
    }

    /// Clients that the whole fleet had before, for [`crate::PeerWord::former`]; nothing if only others' words or guesses
    /// tell.
    pub fn former(&self) -> Option<f64> {
        let kept = self
            .memory
            .as_ref()
            .filter(|_| self.verdict(Kind::Former) == Verdict::Hint(1.0))?;
        Some(kept.former.iter().map(|one| one.clients).sum::<f64>()).filter(|all| *all > 0.0)
    }
}
