//! What can be done to a link, and seeded scripts of it.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Which way of a link. `There` is from who connects to who is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From near to far.
    Forward,
    /// From far to near.
    Reverse,
    /// Both.
    Both,
}

impl Direction {
    /// Whether it covers a direction: 0 is there, 1 is back.
    pub fn covers(self, direction: usize) -> bool {
        matches!(
            (self, direction),
            (Direction::Both, _) | (Direction::Forward, 0) | (Direction::Reverse, 1)
        )
    }
}

/// What is done to a link. All of it lasts until the link is healed, but for `Reset`, which is over at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// What comes is passed on later: by a time, and by chance up to as much again. Order is kept on connections only.
    Delay(Direction, Duration),
    /// So many bytes more are passed on, then nothing, so that a message stops in its middle. Connections stay open.
    Stall(Direction, usize),
    /// What comes is passed on in pieces of so many bytes, one each time.
    Throttle(Direction, usize, Duration),
    /// A share of datagrams is lost.
    Drop(Direction, f64),
    /// A share of datagrams arrives twice.
    Duplicate(Direction, f64),
    /// Cut in silence: connections stay open and silent, new ones never come up, datagrams are lost.
    Partition(Direction),
    /// All connections are reset; new ones come up.
    Reset,
    /// All connections are reset, and new ones are refused, as where the process at the far end has died.
    Refuse,
    /// Whole again. What was held back on open connections arrives now.
    Heal,
    /// Whole again, with all connections from before reset, as where a machine has come back.
    HealWithReset,
}

impl Fault {
    /// The same, seen from the other side.
    #[must_use]
    pub fn reversed(self) -> Fault {
        let reversed = |direction| match direction {
            Direction::Forward => Direction::Reverse,
            Direction::Reverse => Direction::Forward,
            Direction::Both => Direction::Both,
        };
        match self {
            Fault::Delay(direction, time) => Fault::Delay(reversed(direction), time),
            Fault::Stall(direction, bytes) => Fault::Stall(reversed(direction), bytes),
            Fault::Throttle(direction, bytes, time) => {
                Fault::Throttle(reversed(direction), bytes, time)
            }
            Fault::Drop(direction, rate) => Fault::Drop(reversed(direction), rate),
            Fault::Duplicate(direction, rate) => Fault::Duplicate(reversed(direction), rate),
            Fault::Partition(direction) => Fault::Partition(reversed(direction)),
            Fault::Reset | Fault::Refuse | Fault::Heal | Fault::HealWithReset => self,
        }
    }
}

/// One line of a script: after how long, which links, and what is done to them.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedFault {
    /// Since the script began.
    pub after: Duration,
    /// The link's name.
    pub link: String,
    /// What is done.
    pub fault: Fault,
}

/// A script of faults, in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<ScriptedFault>);

impl Script {
    /// Adds a line.
    #[must_use]
    pub fn then(mut self, after: Duration, link: &str, fault: Fault) -> Script {
        self.0.push(ScriptedFault {
            after,
            link: link.to_owned(),
            fault,
        });
        self.0.sort_by_key(|step| step.after);
        self
    }

    /// So many troubles over a span, each on one link and each healed within a quarter of it. The same seed gives the
    /// same script.
    pub fn seeded(seed: u64, links: &[String], faults: usize, span: Duration) -> Script {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut script = Script::default();
        for _ in 0..faults {
            let link = &links[rng.random_range(0..links.len())];
            let starts_after = span.mul_f64(rng.random_range(0.0..0.75));
            let duration = span.mul_f64(rng.random_range(0.02..0.25));
            let direction =
                [Direction::Forward, Direction::Reverse, Direction::Both][rng.random_range(0..3)];
            let fault = match rng.random_range(0..6) {
                0 => Fault::Delay(direction, Duration::from_millis(rng.random_range(1..200))),
                1 => Fault::Stall(direction, rng.random_range(0..200)),
                2 => Fault::Throttle(direction, rng.random_range(1..20), Duration::from_millis(5)),
                3 => Fault::Partition(direction),
                4 => Fault::Drop(direction, rng.random_range(0.01..0.5)),
                _ => Fault::Reset,
            };
            let heal = [Fault::Heal, Fault::HealWithReset][rng.random_range(0..2)];
            script =
                script
                    .then(starts_after, link, fault)
                    .then(starts_after + duration, link, heal);
        }
        script
    }
}

#[cfg(test)]
mod tests;
