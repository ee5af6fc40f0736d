//! Faults of links, and scripts of faults that are written by hand or generated from a seed.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the near side, which connects, to the far side.
    Forward,
    /// From the far side to the near side.
    Reverse,
    /// Both directions.
    Both,
}

impl Direction {
    /// Whether it includes a direction by index: 0 is forward, 1 is reverse.
    pub fn covers(self, direction: usize) -> bool {
        matches!(
            (self, direction),
            (Direction::Both, _) | (Direction::Forward, 0) | (Direction::Reverse, 1)
        )
    }
}

/// A fault of a link. Every fault lasts until the link is healed, except `Reset`, which is momentary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Data is forwarded after a random delay between the given time and twice that. Only connections keep their order.
    Delay(Direction, Duration),
    /// Forwards this many more bytes and then nothing, which can cut a message off in its middle. Connections stay
    /// open.
    Stall(Direction, usize),
    /// Forwards data in pieces of at most this many bytes, one piece per interval.
    Throttle(Direction, usize, Duration),
    /// Drops this share of datagrams.
    Drop(Direction, f64),
    /// Delivers this share of datagrams twice.
    Duplicate(Direction, f64),
    /// Forwards nothing: connections stay open without traffic, new ones time out, datagrams are lost.
    Partition(Direction),
    /// Resets all connections; new ones succeed.
    Reset,
    /// Resets all connections and refuses new ones, as if the process on the far side had died.
    Refuse,
    /// Ends all faults. Data that was held back on open connections is delivered.
    Heal,
    /// Ends all faults and resets all connections, as if a machine had restarted.
    HealWithReset,
}

impl Fault {
    /// The same fault with its direction reversed.
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

/// One entry of a script.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedFault {
    /// Time since the start of the script.
    pub after: Duration,
    /// The name of the link.
    pub link: String,
    /// The fault to apply.
    pub fault: Fault,
}

/// A script of faults, sorted by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<ScriptedFault>);

impl Script {
    /// Adds a fault and keeps the script sorted by time.
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

    /// Generates a number of faults over a time span, each on one link and healed within a quarter of the span. The
    /// same seed gives the same script.
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
