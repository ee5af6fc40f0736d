//! What can be done to a link, and seeded scripts of it.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Which way of a link. `There` is from who connects to who is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From near to far.
    There,
    /// From far to near.
    Back,
    /// Both.
    Both,
}

impl Direction {
    /// Whether it covers a direction: 0 is there, 1 is back.
    pub fn covers(self, direction: usize) -> bool {
        matches!(
            (self, direction),
            (Direction::Both, _) | (Direction::There, 0) | (Direction::Back, 1)
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
    Dribble(Direction, usize, Duration),
    /// A share of datagrams is lost.
    Lose(Direction, f64),
    /// A share of datagrams arrives twice.
    Double(Direction, f64),
    /// Cut in silence: connections stay open and silent, new ones never come up, datagrams are lost.
    Cut(Direction),
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
    pub fn turned(self) -> Fault {
        let turned = |way| match way {
            Direction::There => Direction::Back,
            Direction::Back => Direction::There,
            Direction::Both => Direction::Both,
        };
        match self {
            Fault::Delay(way, time) => Fault::Delay(turned(way), time),
            Fault::Stall(way, bytes) => Fault::Stall(turned(way), bytes),
            Fault::Dribble(way, bytes, time) => Fault::Dribble(turned(way), bytes, time),
            Fault::Lose(way, share) => Fault::Lose(turned(way), share),
            Fault::Double(way, share) => Fault::Double(turned(way), share),
            Fault::Cut(way) => Fault::Cut(turned(way)),
            Fault::Reset | Fault::Refuse | Fault::Heal | Fault::HealWithReset => self,
        }
    }
}

/// One line of a script: after how long, which links, and what is done to them.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Since the script began.
    pub after: Duration,
    /// The link's name.
    pub link: String,
    /// What is done.
    pub fault: Fault,
}

/// A script of faults, in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<Line>);

impl Script {
    /// Adds a line.
    #[must_use]
    pub fn then(mut self, after: Duration, link: &str, fault: Fault) -> Script {
        self.0.push(Line {
            after,
            link: link.to_owned(),
            fault,
        });
        self.0.sort_by_key(|line| line.after);
        self
    }

    /// So many troubles over a span, each on one link and each healed within a quarter of it. The same seed gives the
    /// same script.
    pub fn seeded(seed: u64, links: &[String], troubles: usize, span: Duration) -> Script {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut script = Script::default();
        for _ in 0..troubles {
            let link = &links[chance.random_range(0..links.len())];
            let begins = span.mul_f64(chance.random_range(0.0..0.75));
            let lasts = span.mul_f64(chance.random_range(0.02..0.25));
            let way =
                [Direction::There, Direction::Back, Direction::Both][chance.random_range(0..3)];
            let fault = match chance.random_range(0..6) {
                0 => Fault::Delay(way, Duration::from_millis(chance.random_range(1..200))),
                1 => Fault::Stall(way, chance.random_range(0..200)),
                2 => Fault::Dribble(way, chance.random_range(1..20), Duration::from_millis(5)),
                3 => Fault::Cut(way),
                4 => Fault::Lose(way, chance.random_range(0.01..0.5)),
                _ => Fault::Reset,
            };
            let heals = [Fault::Heal, Fault::HealWithReset][chance.random_range(0..2)];
            script = script
                .then(begins, link, fault)
                .then(begins + lasts, link, heals);
        }
        script
    }
}

#[cfg(test)]
mod tests;
