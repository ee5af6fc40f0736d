//! The spans of a drain. One that leaves may be killed after the longest deadline of the settings and 0.7 s, so its spans
//! shrink with that deadline; on standby the platform waits for 4 s whatever the settings say.

use std::time::Duration;

use super::{ANSWERS, LEAVE_LEAST, LEAVE_MOST, MOVES, NEWCOMERS};

/// A longest deadline beyond this counts as this: as the platform counts it.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// The longest that a move may wait for the end of a line (`stages/relay.rs`).
const WAITS_FOR_A_LINE: Duration = Duration::from_millis(700);
/// The front goes on sending newcomers for 0.4 s at most after the signal.
const FRONT_GRACE: Duration = Duration::from_millis(450);
/// Moves are spread over this part of all the time at least.
const LEAST_MOVES: f64 = 0.25;

/// How long what lasts in a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Spans {
    /// The moves are spread over this.
    pub(super) moves: Duration,
    /// Newcomers are served for so long.
    pub(super) newcomers: Duration,
    /// What is open after this gets its final answer.
    pub(super) answers: Duration,
    /// A program that leaves stays for so long.
    pub(super) least: Duration,
    /// It is gone by then.
    pub(super) most: Duration,
}

impl Spans {
    /// Those of a drain that no deadline bounds.
    pub(super) const UNBOUNDED: Spans =
        Spans { moves: MOVES, newcomers: NEWCOMERS, answers: ANSWERS, least: LEAVE_LEAST, most: LEAVE_MOST };

    /// Those of a program that leaves, by the longest deadline of its settings.
    pub(super) fn within(longest_deadline: Duration) -> Spans {
        let longest = longest_deadline.min(LONGEST_COUNTED);
        let most = longest + (LEAVE_MOST - LONGEST_COUNTED);
        let part = |span: Duration| span.mul_f64(most.as_secs_f64() / LEAVE_MOST.as_secs_f64());
        let answers = part(ANSWERS);
        let last_move = most.saturating_sub(WAITS_FOR_A_LINE).max(most.mul_f64(LEAST_MOVES));
        Spans {
            moves: part(MOVES).min(last_move),
            newcomers: part(NEWCOMERS).max(FRONT_GRACE).min(answers),
            answers,
            least: LEAVE_LEAST.min(most),
            most,
        }
    }
}

#[cfg(test)]
mod tests;
