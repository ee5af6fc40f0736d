//! The pace of set-ups: how many may be under way at once, and how long one takes lately.

use crate::api::{AttemptOutcome, Nanos, ServerId};
use crate::fleet::Fleet;
use crate::span::{part, seconds, within};

/// The pace of one gateway.
#[derive(Default)]
pub(crate) struct Pace {
    window: Window,
    setups: SetUps,
}

impl Pace {
    /// The pace of one of so many gateways.
    pub(crate) fn of(gateways: u32) -> Pace {
        Pace {
            window: Window::of(gateways),
            ..Pace::default()
        }
    }

    /// There are so many gateways from now on: what was learnt holds within the new bounds.
    pub(crate) fn share_with(&mut self, gateways: u32) {
        let Window { least, most, .. } = Window::of(gateways);
        let size = self.window.size.clamp(least, most);
        self.window = Window {
            size,
            least,
            most,
            ..self.window
        };
    }

    /// How many set-ups may be under way at once.
    pub(crate) fn window(&self) -> f64 {
        self.window.size
    }

    /// A set-up with that aim stands after so long.
    pub(crate) fn stood(&mut self, now: Nanos, took: Nanos, aim: Nanos) {
        self.window.grow(took, aim);
        self.setups.took(now, took);
    }

    /// A set-up failed after so long.
    pub(crate) fn failed(
        &mut self,
        now: Nanos,
        server: ServerId,
        how: AttemptOutcome,
        after: Nanos,
    ) {
        if how == AttemptOutcome::TimedOut {
            self.setups.timed_out(now, server, after);
        }
        if matches!(how, AttemptOutcome::ServerError | AttemptOutcome::TimedOut) {
            self.window.cut(now);
        }
    }

    /// How long one is given: `usual` where nothing is known, and no less; longer where they take longer.
    pub(crate) fn patience(&self, now: Nanos, usual: Nanos) -> Nanos {
        let (took, count) = self.setups.lately(now);
        usual.max(((usual as f64 + PATIENCE * took) / (1.0 + count)) as Nanos)
    }
}

/// How many set-ups may be under way at once: one more for each windowful that succeeds, cut by failures.
struct Window {
    size: f64,
    least: f64,
    most: f64,
    cut_at: Option<Nanos>,
}

/// Set-ups under way at once of one gateway of a few: at the start, at least and at most.
const FIRST_WINDOW: f64 = 12.0;
const LEAST_WINDOW: f64 = 3.0;
const MOST_WINDOW: f64 = 48.0;
/// A set-up that takes less than this part of its aim did not have to wait.
const EASY_OF_AIM: f64 = 0.5;
/// What is left of a window after failures, which count once within the span, in nanoseconds.
const WINDOW_CUT: f64 = 0.6;
const CUT_PERIOD: Nanos = 150_000_000;

impl Default for Window {
    fn default() -> Window {
        Window::of(1)
    }
}

impl Window {
    /// The window of one of so many gateways.
    fn of(gateways: u32) -> Window {
        let fleet = Fleet::of(gateways);
        let [size, least, most] =
            [FIRST_WINDOW, LEAST_WINDOW, MOST_WINDOW].map(|size| fleet.part(size).max(1.0));
        Window {
            size,
            least,
            most,
            cut_at: None,
        }
    }

    /// A set-up that took so long stands. Guards against a window that grows until set-ups time out, and their work
    /// is thrown away: one that took long waited in a line of what the servers share.
    fn grow(&mut self, took: Nanos, aim: Nanos) {
        if took < part(aim, EASY_OF_AIM) {
            self.size = (self.size + 1.0 / self.size).min(self.most);
        }
    }

    fn cut(&mut self, now: Nanos) {
        if !within(self.cut_at, now, CUT_PERIOD) {
            self.cut_at = Some(now);
            self.size = (self.size * WINDOW_CUT).max(self.least);
        }
    }
}

/// Span over which set-ups are remembered, in seconds.
const SETUP_SECONDS: f64 = 5.0;
/// A set-up that was not there in time would have taken so many times longer, for all that is known.
const OVERDUE: f64 = 2.0;
/// A set-up is given so many times what they take lately.
const PATIENCE: f64 = 3.0;

/// How long set-ups take lately, on all servers. Guards against attempts that are all given up before a line that the
/// servers share has come to them: each leaves its place behind, and those that take it up again keep the line long.
#[derive(Default)]
struct SetUps {
    /// Sum of what they took and their count, fading.
    took: f64,
    count: f64,
    at: Nanos,
    /// The server of the latest time-out, if nothing has stood since.
    silent: Option<ServerId>,
}

impl SetUps {
    /// A set-up took so long.
    fn took(&mut self, now: Nanos, took: Nanos) {
        self.silent = None;
        self.add(now, took as f64);
    }

    /// A server has said nothing for so long. One that is silent again tells nothing of the others.
    fn timed_out(&mut self, now: Nanos, server: ServerId, after: Nanos) {
        if self.silent.replace(server) != Some(server) {
            self.add(now, OVERDUE * after as f64);
        }
    }

    fn add(&mut self, now: Nanos, took: f64) {
        let left = self.left(now);
        (self.took, self.count, self.at) = (self.took * left + took, self.count * left + 1.0, now);
    }

    fn left(&self, now: Nanos) -> f64 {
        (-seconds(now.saturating_sub(self.at)) / SETUP_SECONDS).exp()
    }

    /// What they took in all, and how many there were, as both have faded by now.
    fn lately(&self, now: Nanos) -> (f64, f64) {
        let left = self.left(now);
        (self.took * left, self.count * left)
    }
}
