//! What is bounded over a whole fleet, and the part of it that falls to one gateway. Parts may be less than one: then
//! they are odds. Nothing is rounded up here, since hundreds that each round up keep no bound together.

use crate::api::{Nanos, ServerEntry, ServerRules};
use crate::span::{part, seconds};

/// Allowances were found with so many gateways: fewer have all of them each, more share them.
const FEW_GATEWAYS: f64 = 3.0;
/// Time that discovery is left for each call for the list when many gateways may call, in nanoseconds.
const LIST_CALL: Nanos = 100_000_000;
/// Longest wait before a list's agent on the own machine is asked again, in nanoseconds.
pub(crate) const AGENT_WAIT: Nanos = 50_000_000;
/// Longest time from the last that was heard of discovery, or from the beginning of a call that failed, to the beginning
/// of the next call, in nanoseconds. A change counts as told 6 s after discovery had it and could be reached, whatever
/// became of a call; the rest is for the next call's connection and answer.
pub(crate) const LIST_CLOCK: Nanos = 5_000_000_000;
/// Parts of what tips cold servers that they are sent: by what stands on warm ones, and by the new clients that the
/// farm bears. Both count less than a farm can do, which usually bears half of it and warms sooner than the rules say:
/// on days of the large fleet what tipped servers over was six times the first, by what usually stood, and more.
const OF_STANDING: f64 = 1.4;
const OF_NEW: f64 = 0.6;
/// The first of them where each cold server has a bound of its own besides, which chance need not be left room for.
const OF_STANDING_EACH: f64 = 4.2;

/// Shortest time, in nanoseconds, after which what is not used lapses: by rules that say none, a fleet that is cold as a
/// whole would take nobody.
const LEAST_FALL: Nanos = 100_000_000;
/// One cold server may take so many times its part of what all of them are sent: who comes is a matter of chance.
const OF_ONE: f64 = 3.0;

/// How many gateways there are.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fleet {
    gateways: f64,
}

/// What the ready servers can do together, in listed weights.
#[derive(Clone, Copy, Default)]
pub(crate) struct Able {
    /// If all were warm.
    pub(crate) full: f64,
    /// Now.
    pub(crate) now: f64,
    /// Now, of those that are cold.
    pub(crate) cold: f64,
    /// Each cold server has a bound of its own.
    pub(crate) each: bool,
}

impl Fleet {
    pub(crate) fn of(gateways: u32) -> Fleet {
        Fleet {
            gateways: f64::from(gateways),
        }
    }

    /// One gateway's part of an allowance.
    pub(crate) fn part(self, whole: f64) -> f64 {
        whole * (FEW_GATEWAYS / self.gateways).min(1.0)
    }

    /// The span over which all gateways spread their calls for the list, so that each has its time.
    pub(crate) fn herd(self, within: Nanos) -> Nanos {
        part(LIST_CALL, self.gateways - FEW_GATEWAYS).min(within)
    }
}

impl Able {
    /// Counts a ready server of that weight and warmth.
    pub(crate) fn add(&mut self, weight: f64, warmth: f64) {
        self.full += weight;
        self.now += weight * warmth;
        if warmth < 1.0 {
            self.cold += weight * warmth;
        }
    }

    /// Clients that may go to a server of weight 1, once warm, from one gateway in a second, over the rules' multiple.
    /// A cold server takes what fills it while it warms, and warm ones show how much that is at least: what stands on
    /// them. New clients come at a rate that the farm bears too. Both are the gateway's own, so that the sum over all
    /// is the fleet's, however unevenly clients fall to gateways.
    pub(crate) fn borne(&self, rules: &ServerRules, on_warm: f64, new_per_s: f64) -> f64 {
        let of_standing = if self.each {
            OF_STANDING_EACH
        } else {
            OF_STANDING
        };
        let (warm, full) = (self.now - self.cold, self.full.max(f64::MIN_POSITIVE));
        let stands = if warm > 0.0 {
            on_warm / warm / seconds(rules.warm_up_time.max(1))
        } else {
            0.0
        };
        (of_standing * stands).max(OF_NEW * new_per_s / full)
    }

    /// Odds that a client goes to a cold server, `waited` after one was last held against them. What is not used
    /// lapses after the time in which a server tips over.
    pub(crate) fn of_all(&self, rules: &ServerRules, borne: f64, waited: Nanos) -> f64 {
        odds(
            rules,
            self.cold,
            borne,
            waited.min(rules.overload_window.max(LEAST_FALL)),
        )
    }

    /// The same for one server. Where each has a bound of its own, its `own` part counts too: what it can do of all that,
    /// and how long ago it was last considered. Guards against servers to which all gateways are led alike, since their
    /// listed weights fall with what they hold: one that is empty would be sent what is meant for all cold ones. What is
    /// not used of this part lasts: a gateway is led to one server seldom, and all of them together more often than they
    /// know.
    pub(crate) fn odds(
        &self,
        rules: &ServerRules,
        borne: f64,
        (waited, (able, own)): (Nanos, (f64, Nanos)),
    ) -> f64 {
        let all = self.of_all(rules, borne, waited);
        if self.each {
            all.min(odds(rules, OF_ONE * able, borne, own))
        } else {
            all
        }
    }
}

fn odds(rules: &ServerRules, able: f64, borne: f64, waited: Nanos) -> f64 {
    let rate = rules.overload_multiple * able * borne;
    (rate * seconds(waited)).min(1.0)
}

/// Share of its capacity that a server has at least, by its listed start.
pub(crate) fn warmth(rules: &ServerRules, entry: &ServerEntry, now: Nanos) -> f64 {
    let age = now.saturating_sub(entry.started_at);
    if entry.started_at == 0 || age >= rules.warm_up_time {
        return 1.0;
    }
    rules.initial_capacity + (1.0 - rules.initial_capacity) * age as f64 / rules.warm_up_time as f64
}
