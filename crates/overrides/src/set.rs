//! The set of overrides, and its effect on servers and requests over time.

use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasher, Hash};
use std::ops::Bound;

use beaconflow_settings::digest;
use rustc_hash::FxHashMap;

use crate::effect::ServerAdjustment;
use crate::kind::{Id, Kind, Override, Strictness, Subject};
use crate::{Effect, Listed, Millis};

/// Steps of the ramp of a weight that rises.
const STEPS: u64 = 20;
/// First step of the ramp. A smaller weight would put the server's next turn many rounds ahead.
const INITIAL_FRACTION: f64 = 0.1;

/// The pin of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin<'a> {
    /// The override that pins it.
    pub id: Id,
    /// The server's name.
    pub server: &'a str,
    /// Whether it may use another server.
    pub strictness: Strictness,
}

/// All overrides in effect, and those that still have an effect after their end.
#[derive(Clone, Debug, Default)]
pub struct Set {
    all: BTreeMap<Id, Override>,
    /// Those that apply to a server itself, by its name.
    by_server: HashMap<String, Vec<Id>>,
    by_group: FxHashMap<u64, Vec<Id>>,
    by_tenant: FxHashMap<u64, Vec<Id>>,
    /// All times at which one begins or ends.
    bounds: BTreeSet<(Millis, Id)>,
    ramp: Millis,
}

impl Set {
    /// Creates an empty set with this ramp.
    pub fn new(ramp: Millis) -> Set {
        Set {
            ramp,
            ..Set::default()
        }
    }

    /// Number of overrides, including those that ended and still have an effect.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// One of them.
    pub fn get(&self, id: Id) -> Option<&Override> {
        self.all.get(&id)
    }

    /// All of them, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &Override> {
        self.all.values()
    }

    /// Those in effect.
    pub fn holding(&self, now: Millis) -> impl Iterator<Item = &Override> {
        self.all.values().filter(move |one| one.is_active_at(now))
    }

    /// Whether there is any pin; without one, requests need no lookup.
    pub fn has_pins(&self) -> bool {
        !(self.by_group.is_empty() && self.by_tenant.is_empty())
    }

    /// Adds an override, or replaces it by a changed one.
    pub fn put(&mut self, one: Override) {
        self.forget(one.id);
        self.bounds.insert((one.created_at, one.id));
        self.bounds.insert((one.end(), one.id));
        let ids = match &one.kind {
            Kind::Out { server, .. } | Kind::Weight { server, .. } => {
                self.by_server.entry(server.clone()).or_default()
            }
            Kind::Pin {
                subject: Subject::Group(name),
                ..
            } => self.by_group.entry(digest(name)).or_default(),
            Kind::Pin {
                subject: Subject::Tenant(name),
                ..
            } => self.by_tenant.entry(digest(name)).or_default(),
        };
        let place = ids.partition_point(|id| *id < one.id);
        ids.insert(place, one.id);
        self.all.insert(one.id, one);
    }

    /// Removes an override at once.
    pub fn forget(&mut self, id: Id) -> Option<Override> {
        let one = self.all.remove(&id)?;
        self.bounds.remove(&(one.created_at, id));
        self.bounds.remove(&(one.end(), id));
        match &one.kind {
            Kind::Out { server, .. } | Kind::Weight { server, .. } => {
                strike(&mut self.by_server, server, id)
            }
            Kind::Pin {
                subject: Subject::Group(name),
                ..
            } => {
                strike(&mut self.by_group, &digest(name), id);
            }
            Kind::Pin {
                subject: Subject::Tenant(name),
                ..
            } => {
                strike(&mut self.by_tenant, &digest(name), id);
            }
        }
        Some(one)
    }

    /// Those that no longer have an effect.
    pub fn spent(&self, now: Millis) -> Vec<Id> {
        let ended = self
            .bounds
            .iter()
            .take_while(|(at, _)| at.saturating_add(self.ramp) <= now);
        let spent = |id: &Id| self.all[id].end().saturating_add(self.ramp) <= now;
        let ids: BTreeSet<Id> = ended.map(|(_, id)| *id).filter(spent).collect();
        ids.into_iter().collect()
    }

    /// Those that ended after one time and not after the other.
    pub fn ended_between(&self, after: Millis, until: Millis) -> Vec<Id> {
        if after >= until {
            return Vec::new();
        }
        let bounds = self
            .bounds
            .range((after + 1, Id(0))..=(until, Id(u64::MAX)));
        bounds
            .filter(|(at, id)| self.all[id].end() == *at)
            .map(|(_, id)| *id)
            .collect()
    }

    /// What a server is under the overrides.
    pub fn server(&self, name: &str, now: Millis) -> ServerAdjustment {
        match self.by_server.get(name) {
            None => ServerAdjustment::AS_LISTED,
            Some(ids) => self.adjustment(ids, now),
        }
    }

    /// The servers that overrides apply to.
    pub fn servers(&self) -> impl Iterator<Item = &str> {
        self.by_server.keys().map(String::as_str)
    }

    /// The rate at which a server's established connections are migrated, and the override that
    /// says so.
    pub fn moves(&self, name: &str, now: Millis) -> Option<(Id, f64)> {
        let winner = self.winner(self.by_server.get(name)?, now)?;
        match self.all[&winner].kind {
            Kind::Out {
                moves_per_s: Some(rate),
                ..
            } => Some((winner, rate)),
            _ => None,
        }
    }

    /// The pin of a request, by the hashes of its group and tenant. The group's pin takes
    /// precedence.
    pub fn pin(&self, group: Option<u64>, tenant: Option<u64>, now: Millis) -> Option<Pin<'_>> {
        let of =
            |map: &FxHashMap<u64, Vec<Id>>, key: Option<u64>| self.latest(map.get(&key?)?, now);
        let id = of(&self.by_group, group).or_else(|| of(&self.by_tenant, tenant))?;
        match &self.all[&id].kind {
            Kind::Pin {
                server, strictness, ..
            } => Some(Pin {
                id,
                server,
                strictness: *strictness,
            }),
            Kind::Out { .. } | Kind::Weight { .. } => None,
        }
    }

    /// The next time at which any effect changes by itself.
    pub fn next_change(&self, now: Millis) -> Option<Millis> {
        let next = self
            .bounds
            .range((now.saturating_add(1), Id(0))..)
            .next()
            .map(|(at, _)| *at);
        let felt = (now.saturating_sub(self.ramp), Id(u64::MAX));
        let felt = (Bound::Excluded(felt), Bound::Included((now, Id(u64::MAX))));
        let rises = |id: &Id| match &self.all[id].kind {
            Kind::Out { server, .. } | Kind::Weight { server, .. } => {
                let adjustment = self.adjustment(&self.by_server[server], now);
                adjustment.factor < adjustment.to
            }
            Kind::Pin { .. } => false,
        };
        // Without a ramp nothing lasts, and an inverted range would panic.
        let felt = (self.ramp > 0).then(|| self.bounds.range(felt));
        let steps = felt.into_iter().flatten().filter(|(_, id)| rises(id));
        let steps = steps.map(|(at, _)| next_step(*at, now, self.ramp));
        next.into_iter().chain(steps).min()
    }

    /// The present effect of an override, given the listed state of its server.
    pub fn effect(&self, id: Id, listed: Listed, now: Millis) -> Option<Effect> {
        let one = self.all.get(&id)?;
        if !one.is_active_at(now) {
            return Some(Effect::Ended);
        }
        let (winner, server) = match &one.kind {
            Kind::Out { server, .. } | Kind::Weight { server, .. } => {
                (self.winner(&self.by_server[server], now), server)
            }
            Kind::Pin {
                subject: Subject::Group(name),
                server,
                ..
            } => (self.latest(&self.by_group[&digest(name)], now), server),
            Kind::Pin {
                subject: Subject::Tenant(name),
                server,
                ..
            } => (self.latest(&self.by_tenant[&digest(name)], now), server),
        };
        let is_pin = matches!(one.kind, Kind::Pin { .. });
        Some(match (winner, listed) {
            (Some(winner), _) if winner != id => Effect::Shadowed(winner),
            (_, Listed::Absent) => Effect::NotListed,
            (_, Listed::Leaving) if is_pin => Effect::TakesNothing,
            _ if is_pin && self.server(server, now).out => Effect::TakesNothing,
            _ => Effect::InEffect,
        })
    }

    /// The latest one in effect.
    fn latest(&self, ids: &[Id], now: Millis) -> Option<Id> {
        ids.iter()
            .rev()
            .copied()
            .find(|id| self.all[id].is_active_at(now))
    }

    /// The one that applies to a server: the latest `out`, else the latest weight.
    fn winner(&self, ids: &[Id], now: Millis) -> Option<Id> {
        let is_out = |id: &Id| matches!(self.all[id].kind, Kind::Out { .. });
        let holding = || {
            ids.iter()
                .rev()
                .copied()
                .filter(|id| self.all[id].is_active_at(now))
        };
        holding().find(is_out).or_else(|| holding().next())
    }

    /// The factor at the end of the ramp; 0 if out of service.
    fn target(&self, ids: &[Id], now: Millis) -> f64 {
        match self.winner(ids, now).map(|id| &self.all[&id].kind) {
            Some(Kind::Out { .. }) => 0.0,
            Some(Kind::Weight { factor, .. }) => *factor,
            Some(Kind::Pin { .. }) | None => 1.0,
        }
    }

    /// A weight falls at once and rises in steps from its previous value. A returning server would
    /// otherwise be overloaded at once.
    fn adjustment(&self, ids: &[Id], now: Millis) -> ServerAdjustment {
        let to = self.target(ids, now);
        if to == 0.0 {
            return ServerAdjustment {
                out: true,
                factor: 0.0,
                to: 0.0,
            };
        }
        let mut factor = to;
        for id in ids {
            let one = &self.all[id];
            for at in [one.created_at, one.end()] {
                if at > now || now - at >= self.ramp || at == 0 {
                    continue;
                }
                let before = self.target(ids, at - 1);
                if before < to {
                    let risen = before + (to - before) * ramp_fraction(now - at, self.ramp);
                    factor = factor.min(risen);
                }
            }
        }
        ServerAdjustment {
            out: false,
            factor: factor.max(to * INITIAL_FRACTION),
            to,
        }
    }
}

/// Removes an override from those of a name, and the name with the last one.
fn strike<K, Q, S>(map: &mut HashMap<K, Vec<Id>, S>, key: &Q, id: Id)
where
    K: Hash + Eq + Borrow<Q>,
    Q: Hash + Eq + ?Sized,
    S: BuildHasher,
{
    if let Some(ids) = map.get_mut(key) {
        ids.retain(|other| *other != id);
        if ids.is_empty() {
            map.remove(key);
        }
    }
}

/// Elapsed fraction of the ramp, in steps.
fn ramp_fraction(passed: Millis, ramp: Millis) -> f64 {
    let steps = passed.saturating_mul(STEPS) / ramp.max(1);
    steps.min(STEPS) as f64 / STEPS as f64
}

/// When the next step of a ramp takes place.
fn next_step(began: Millis, now: Millis, ramp: Millis) -> Millis {
    let done = (now - began).saturating_mul(STEPS) / ramp.max(1);
    began.saturating_add((ramp * (done + 1)).div_ceil(STEPS))
}
