//! Clients are let in by their turns, at the pace that all cold servers together bear.

use rand::Rng;

use crate::config::TICK;
use crate::curve::Curve;
use crate::machine::Recovery;
use crate::order::Order;
use crate::scope::TOGETHER;
use crate::{Action, Arrival, How, MS, Nanos, PeerWord, SECOND, Scope, State, Step};

/// Part of what may be let in that turns are given for. The rest is for those that missed theirs.
const TURNS: f64 = 0.95;
/// Part of a cold server's limit that one group may make up.
const CLUMP: f64 = 0.05;
/// Those that come in their turn come within so long after it.
const JITTER: Nanos = 500 * MS;
/// Least time after which one comes again for which there was no room.
const AGAIN: Nanos = 250 * MS;
/// A peer's word of being short is good for so long.
const SHORT_HOLDS: Nanos = 2 * SECOND;

impl Recovery {
    /// Asking is over, whoever answered.
    pub(crate) fn let_in(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.farm.source().is_none() {
            self.take_remembered(now, out);
        }
        self.state = State::Refilling;
        self.decide(now, out);
        self.doubt_starts();
        self.let_in_from = Some(self.let_in_from.map_or(now, |from| from.min(now)));
        self.deadline = now.saturating_add(self.config.bounds.refill);
        self.earned_at = now;
        self.plan(now);
        if self.why_in_full(now).is_none() {
            let servers = self.farm.able().count();
            let reason = format!(
                "{} clients by turns, {servers} servers, {}",
                self.order.all().round(),
                self.scope()
            );
            self.say(out, Step::Refills, reason.clone(), Some(self.deadline));
            out.push(Action::Serve {
                how: How::Paced,
                reason,
            });
        }
    }

    /// Starts that nobody has told since the darkness are doubted, unless it was only this process's own.
    pub(crate) fn doubt_starts(&mut self) {
        let is_doubted = self.scope() != Scope::Alone && !self.is_told_since();
        self.farm.doubt_starts(is_doubted.then_some(self.since));
    }

    /// Takes the moment from which turns count from a peer that started together with this one, so that all count
    /// alike.
    pub(crate) fn begin_with(&mut self, now: Nanos, word: &PeerWord) {
        let together = word.up_for <= now.saturating_sub(self.since).saturating_add(TOGETHER);
        let Some(from) = word
            .serving_for
            .filter(|_| together)
            .map(|span| now.saturating_sub(span))
        else {
            return;
        };
        // Words take a while on their way: what is less than that changes nothing.
        if self
            .let_in_from
            .is_none_or(|own| from.saturating_add(AGAIN) < own)
        {
            self.let_in_from = Some(from);
            self.plan(now);
        }
    }

    /// Plans the refill anew: the farm, or when it began, has changed. What was let in by now stays so.
    pub(crate) fn plan(&mut self, now: Nanos) {
        let (State::Refilling, Some(from)) = (self.state, self.let_in_from) else {
            return;
        };
        let servers: Vec<_> = self.farm.able().collect();
        let before = self.curve.take().map(|curve| curve.at(now));
        if servers.is_empty() {
            self.order = Order::default();
            return;
        }
        self.line_up(servers.iter().map(|(weight, _)| weight).sum());
        let (cold, borne) = (&self.config.cold, self.borne());
        let (mut clump, mut span) = self.clump(&servers);
        let mut begun = Curve::new(from, 0.0, &servers, cold, (borne, clump));
        let refill = begun.span(self.order.all()).max(1);
        if span > refill {
            (clump, span) = (
                (clump * span as f64 / refill as f64).min(self.config.group),
                refill,
            );
            begun = Curve::new(from, 0.0, &servers, cold, (borne, clump));
        }
        self.order.spread(span as f64 / refill as f64);
        self.curve = Some(match before {
            Some(before) if before > begun.at(now) => {
                Curve::new(now, before, &servers, cold, (borne, clump))
            }
            _ => begun,
        });
    }

    /// How many of a group may come to one server in the time in which it tips, and the span over which the group's
    /// turns are spread for that. Guards against small servers that one group after the other falls upon as a whole.
    fn clump(&self, servers: &[(f64, i64)]) -> (f64, Nanos) {
        let cold = &self.config.cold;
        let small = servers
            .iter()
            .map(|(weight, _)| *weight)
            .fold(f64::INFINITY, f64::min);
        let least =
            cold.tip_multiple * self.borne() * small * cold.cold_share * cold.fall_time as f64
                / SECOND as f64;
        let clump = (CLUMP * least).max(1.0);
        if self.config.group <= clump {
            return (self.config.group.max(1.0), 0);
        }
        (
            clump,
            (self.config.group / clump * cold.fall_time as f64) as Nanos,
        )
    }

    /// Makes the order of turns of what is known of former clients.
    fn line_up(&mut self, weight: f64) {
        let (remembered, sum) = self.remembered();
        let by_farm = weight * self.borne() * self.config.cold.cold_time as f64 / SECOND as f64;
        let counted = (self.census.len() * self.config.fleet as usize) as f64;
        let mut peers: Vec<f64> = self.peers_former.values().copied().collect();
        peers.sort_by(f64::total_cmp);
        let known = [
            self.former(),
            peers.get(peers.len() / 2).copied(),
            Some(f64::from(self.config.clients)),
            Some(sum),
            Some(counted),
        ];
        let all = known
            .into_iter()
            .flatten()
            .find(|all| *all > 0.0)
            .unwrap_or(by_farm);
        let order = match sum > 0.0 {
            true => Order::new(&self.config, remembered, all),
            false => Order::new(&self.config, &self.census.scaled_to(all), all),
        };
        self.order = order;
    }

    /// Why service is in full, if it is.
    fn why_in_full(&self, now: Nanos) -> Option<&'static str> {
        let cold = self.farm.cold_part(now, &self.config.cold);
        if now >= self.deadline {
            return Some("the bound of the refill is reached");
        }
        if self.scope() == Scope::Alone && cold.is_some() {
            return Some("it was alone");
        }
        // A farm that was warm from the first moment takes everybody at once.
        let is_through = self.frontier >= self.order.all() || self.frontier == 0.0;
        (cold == Some(0.0) && is_through).then_some("no server is cold, and all turns have come")
    }

    /// What time brings while clients are let in by turns.
    pub(crate) fn refill(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let span = now - self.earned_at;
        if self.frontier > 0.0 && span < TICK / 16 {
            return;
        }
        if let Some(why) = self.why_in_full(now) {
            self.state = State::Serving;
            self.curve = None;
            self.say(out, Step::Serves, why.into(), None);
            return out.push(Action::Serve {
                how: How::Full,
                reason: why.into(),
            });
        }
        let Some(curve) = &self.curve else {
            self.earned_at = now;
            return;
        };
        self.frontier = self.frontier.max(TURNS * curve.at(now));
        let fleet = curve.at(now) - curve.at(self.earned_at);
        self.part.earn(
            fleet / f64::from(self.config.fleet),
            span,
            self.config.cold.fall_time,
        );
        self.earned_at = now;
        self.leave_spare(now, out);
    }

    /// Leaves what would lapse to a peer that is short, by odds as it is short.
    fn leave_spare(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.part.spare < 1.0 {
            return;
        }
        self.shorts
            .retain(|_, (short, at)| *short > 0.0 && now < at.saturating_add(SHORT_HOLDS));
        let all: f64 = self.shorts.values().map(|(short, _)| short).sum();
        if all <= 0.0 {
            return;
        }
        let mut drawn = self.rng.random_range(0.0..all);
        for (peer, (short, _)) in &self.shorts {
            drawn -= short;
            if drawn < 0.0 {
                self.loans += 1;
                let clients = std::mem::take(&mut self.part.spare);
                return out.push(Action::Lend {
                    to: peer.clone(),
                    number: self.loans,
                    clients,
                });
            }
        }
    }

    /// Exactly one answer to each client.
    pub(crate) fn by_turn(&mut self, now: Nanos, arrival: &Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        let Some(curve) = &self.curve else {
            let retry_after = self.rng.random_range(SECOND..3 * SECOND);
            return out.push(Action::Defer {
                id,
                retry_after,
                firm: false,
            });
        };
        let turn = self.order.turn(&self.config, arrival);
        if turn > self.frontier {
            let left = curve
                .when(turn / TURNS)
                .map_or(self.deadline, |at| at.min(self.deadline))
                .saturating_sub(now);
            let retry_after = left
                .max(AGAIN)
                .saturating_add(self.rng.random_range(0..JITTER));
            return out.push(Action::Defer {
                id,
                retry_after,
                firm: true,
            });
        }
        if self.part.take(&mut self.rng) {
            return out.push(Action::Admit { id });
        }
        // As long as it takes until those that are short are in, if they go on to come.
        let line = self.part.short() / self.part.rate().max(f64::MIN_POSITIVE);
        let line = ((line * SECOND as f64) as Nanos).clamp(AGAIN, self.config.bounds.repeat);
        let retry_after = AGAIN + self.rng.random_range(0..=2 * line);
        out.push(Action::Defer {
            id,
            retry_after,
            firm: true,
        });
    }
}
