//! What the farm bears while it warms: how many clients may have been let in, over the whole fleet, by each moment.

use crate::config::Cold;
use crate::{Nanos, SECOND};

/// Points for each warm-up, and at most.
const POINTS_OF_WARM_UP: u64 = 64;
const MOST_POINTS: u64 = 1_024;
/// Chances, for each server, that one is sent more than the limit by chance alone: one in so many over a refill.
const ONE_IN: f64 = 1_000.0;
/// Least part that is used. Where a limit is a client or two, no part would leave room for chance.
const LEAST_USED: f64 = 0.15;

/// Sums over time from `from` on, every `step`; straight on after the last one.
#[derive(Clone, Debug)]
pub(crate) struct Curve {
    from: Nanos,
    step: Nanos,
    sums: Vec<f64>,
}

/// A server's weight and when it started.
pub(crate) type Source = (f64, i64);

/// The part of its capacity that a server has.
pub(crate) fn warmth(cold: &Cold, born: i64, now: i64) -> f64 {
    let age = now.saturating_sub(born);
    if age < 0 {
        return 0.0;
    }
    let part = if cold.cold_time == 0 {
        1.0
    } else {
        (age as f64 / cold.cold_time as f64).min(1.0)
    };
    cold.cold_share + (1.0 - cold.cold_share) * part
}

/// The part of a limit that may be used if so many are allowed in the time in which a server tips over, and each goes
/// where it goes by chance: so much that more than tip it come once in `e` to the power of `rarity` times (Chernoff's
/// bound for what comes by itself). Guards against small servers that a mean just below the limit tips.
/// Clients come to a server in clumps of so many, the ones of a group.
fn room_for_chance(allowed: f64, slack: f64, rarity: f64, clump: f64) -> f64 {
    let tips = (allowed + slack * (allowed.sqrt() + 1.0)) / clump;
    let allowed = allowed / clump;
    let is_rare = |used: f64| {
        // Of what the bound says only this part is beyond: the tail of Poisson's law falls off by `used / tips` a step.
        let part = (2.0 * std::f64::consts::PI * tips).sqrt() * (1.0 - used / tips);
        used - tips + tips * (tips / used).ln() + part.max(1.0).ln() >= rarity
    };
    let (mut low, mut high) = (0.0, allowed);
    for _ in 0..32 {
        let middle = (low + high) / 2.0;
        if is_rare(middle) {
            low = middle
        } else {
            high = middle
        }
    }
    if allowed > 0.0 {
        (low / allowed).max(LEAST_USED)
    } else {
        LEAST_USED
    }
}

impl Curve {
    /// From that moment on, at which so many were let in. `borne`: clients a second that a warm server of weight 1 bears;
    /// `clump`: those that come to one server together.
    pub(crate) fn new(
        from: Nanos,
        base: f64,
        servers: &[Source],
        cold: &Cold,
        (borne, clump): (f64, f64),
    ) -> Curve {
        let last = servers
            .iter()
            .map(|(_, born)| born.saturating_add(cold.cold_time as i64))
            .max()
            .unwrap_or(0);
        let until = u64::try_from(last)
            .unwrap_or(0)
            .saturating_sub(from)
            .max(cold.cold_time.max(SECOND));
        let step = (cold.cold_time / POINTS_OF_WARM_UP)
            .max(until / MOST_POINTS)
            .max(1);
        let rarity = (ONE_IN * servers.len() as f64).ln();
        // The smallest server gets fewest, and so chance does most to it.
        let small = servers
            .iter()
            .map(|(weight, _)| *weight)
            .fold(f64::INFINITY, f64::min);
        let rate = |at: Nanos| {
            let sum = servers
                .iter()
                .map(|(weight, born)| weight * warmth(cold, *born, at as i64))
                .sum::<f64>();
            let all = servers
                .iter()
                .map(|(weight, _)| weight)
                .sum::<f64>()
                .max(f64::MIN_POSITIVE);
            let each = cold.tip_multiple * borne * cold.fall_time as f64 / SECOND as f64;
            cold.tip_multiple
                * borne
                * sum
                * room_for_chance(each * small * sum / all, cold.slack, rarity, clump)
        };
        let mut sums = vec![base];
        let (mut sum, mut now, mut here) = (base, from, rate(from));
        while now < from.saturating_add(until) {
            now = now.saturating_add(step);
            let there = rate(now);
            sum += (here + there) / 2.0 * step as f64 / SECOND as f64;
            sums.push(sum);
            here = there;
        }
        Curve { from, step, sums }
    }

    /// The span until so many are in, all of it if never.
    pub(crate) fn span(&self, clients: f64) -> Nanos {
        let whole = self.step.saturating_mul(self.sums.len() as u64);
        self.when(clients).map_or(whole, |at| at - self.from)
    }

    /// How many by then.
    pub(crate) fn at(&self, now: Nanos) -> f64 {
        let since = now.saturating_sub(self.from) as f64 / self.step as f64;
        let last = self.sums.len() - 1;
        let place = (since as usize).min(last - 1);
        self.sums[place] + (self.sums[place + 1] - self.sums[place]) * (since - place as f64)
    }

    /// When so many may have been let in; nothing if never.
    pub(crate) fn when(&self, clients: f64) -> Option<Nanos> {
        let last = self.sums.len() - 1;
        let place = self
            .sums
            .partition_point(|sum| *sum < clients)
            .clamp(1, last)
            - 1;
        let rise = self.sums[place + 1] - self.sums[place];
        if clients <= self.sums[place] {
            return Some(self.from.saturating_add(place as u64 * self.step));
        }
        (rise > 0.0).then(|| {
            let steps = place as f64 + (clients - self.sums[place]) / rise;
            self.from
                .saturating_add((steps * self.step as f64) as Nanos)
        })
    }
}
