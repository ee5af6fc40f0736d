//! The set of overrides, and its effect on servers and requests at a time.

use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasher, Hash};
use std::ops::Bound;

use beaconflow_settings::digest;
use rustc_hash::FxHashMap;

use crate::effect::ServerAdjustment;
use crate::kind::{Override, OverrideId, OverrideKind, Strictness, Subject};
use crate::{Effect, Listed, Millis};

/// Number of steps of a weight's ramp.
const RAMP_STEPS: u64 = 20;
/// Smallest fraction of the target factor during a ramp. With a smaller weight the rotation would
/// select the server only after many rounds.
const INITIAL_FRACTION: f64 = 0.1;

/// The pin that applies to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin<'a> {
    /// Id of the override.
    pub id: OverrideId,
    /// Name of the server.
    pub server: &'a str,
    /// Whether the request may use another server.
    pub strictness: Strictness,
}

/// The overrides that are in effect, and ended ones whose weight is still ramping.
#[derive(Clone, Debug, Default)]
pub struct OverrideSet {
    overrides: BTreeMap<OverrideId, Override>,
    /// Ids in ascending order of the `out` and weight overrides, by the name of the server.
    by_server: HashMap<String, Vec<OverrideId>>,
    /// Ids in ascending order of the pins, by the digest of the group's name.
    by_group: FxHashMap<u64, Vec<OverrideId>>,
    /// Ids in ascending order of the pins, by the digest of the tenant's name.
    by_tenant: FxHashMap<u64, Vec<OverrideId>>,
    /// Times at which an override takes effect or ends.
    boundaries: BTreeSet<(Millis, OverrideId)>,
    ramp_ms: Millis,
}

impl OverrideSet {
    /// Creates an empty set with this duration of a weight's ramp.
    pub fn new(ramp_ms: Millis) -> OverrideSet {
        OverrideSet {
            ramp_ms,
            ..OverrideSet::default()
        }
    }

    /// Number of overrides, including ended ones that were not discarded.
    pub fn len(&self) -> usize {
        self.overrides.len()
    }

    /// Whether the set has no overrides, including ended ones.
    pub fn is_empty(&self) -> bool {
        self.overrides.is_empty()
    }

    /// The override with this id, even if it has ended.
    pub fn get(&self, id: OverrideId) -> Option<&Override> {
        self.overrides.get(&id)
    }

    /// All overrides in order of their ids, including ended ones.
    pub fn iter(&self) -> impl Iterator<Item = &Override> {
        self.overrides.values()
    }

    /// The overrides in effect at a time, in order of their ids.
    pub fn active(&self, now: Millis) -> impl Iterator<Item = &Override> {
        self.overrides
            .values()
            .filter(move |record| record.is_active_at(now))
    }

    /// Whether the set has any pin. Without pins, requests need no lookup.
    pub fn has_pins(&self) -> bool {
        !(self.by_group.is_empty() && self.by_tenant.is_empty())
    }

    /// Adds an override, or replaces the one with the same id.
    pub fn insert(&mut self, record: Override) {
        self.discard(record.id);
        self.boundaries.insert((record.created_at, record.id));
        self.boundaries.insert((record.ends_at(), record.id));
        let ids = match &record.kind {
            OverrideKind::Out { server, .. } | OverrideKind::Weight { server, .. } => {
                self.by_server.entry(server.clone()).or_default()
            }
            OverrideKind::Pin {
                subject: Subject::Group(name),
                ..
            } => self.by_group.entry(digest(name)).or_default(),
            OverrideKind::Pin {
                subject: Subject::Tenant(name),
                ..
            } => self.by_tenant.entry(digest(name)).or_default(),
        };
        let index = ids.partition_point(|id| *id < record.id);
        ids.insert(index, record.id);
        self.overrides.insert(record.id, record);
    }

    /// Deletes an override from the set, without a ramp.
    pub fn discard(&mut self, id: OverrideId) -> Option<Override> {
        let record = self.overrides.remove(&id)?;
        self.boundaries.remove(&(record.created_at, id));
        self.boundaries.remove(&(record.ends_at(), id));
        match &record.kind {
            OverrideKind::Out { server, .. } | OverrideKind::Weight { server, .. } => {
                remove_from_index(&mut self.by_server, server, id)
            }
            OverrideKind::Pin {
                subject: Subject::Group(name),
                ..
            } => {
                remove_from_index(&mut self.by_group, &digest(name), id);
            }
            OverrideKind::Pin {
                subject: Subject::Tenant(name),
                ..
            } => {
                remove_from_index(&mut self.by_tenant, &digest(name), id);
            }
        }
        Some(record)
    }

    /// Ids of the ended overrides whose ramp is over too; they may be discarded.
    pub fn expired_effects(&self, now: Millis) -> Vec<OverrideId> {
        let ended = self
            .boundaries
            .iter()
            .take_while(|(at, _)| at.saturating_add(self.ramp_ms) <= now);
        let has_no_effect =
            |id: &OverrideId| self.overrides[id].ends_at().saturating_add(self.ramp_ms) <= now;
        let ids: BTreeSet<OverrideId> = ended.map(|(_, id)| *id).filter(has_no_effect).collect();
        ids.into_iter().collect()
    }

    /// Ids of the overrides that ended later than `after` and not later than `until`.
    pub fn ended_between(&self, after: Millis, until: Millis) -> Vec<OverrideId> {
        if after >= until {
            return Vec::new();
        }
        let boundaries = self
            .boundaries
            .range((after + 1, OverrideId(0))..=(until, OverrideId(u64::MAX)));
        boundaries
            .filter(|(at, id)| self.overrides[id].ends_at() == *at)
            .map(|(_, id)| *id)
            .collect()
    }

    /// The effect of all overrides on a server.
    pub fn server_adjustment(&self, name: &str, now: Millis) -> ServerAdjustment {
        match self.by_server.get(name) {
            None => ServerAdjustment::AS_LISTED,
            Some(ids) => self.adjustment(ids, now),
        }
    }

    /// Names of the servers with an `out` or weight override, in no particular order.
    pub fn affected_servers(&self) -> impl Iterator<Item = &str> {
        self.by_server.keys().map(String::as_str)
    }

    /// The override that migrates a server's established connections, and its rate per second.
    pub fn migration_rate(&self, name: &str, now: Millis) -> Option<(OverrideId, f64)> {
        let effective_id = self.effective_id(self.by_server.get(name)?, now)?;
        match self.overrides[&effective_id].kind {
            OverrideKind::Out {
                moves_per_s: Some(rate),
                ..
            } => Some((effective_id, rate)),
            _ => None,
        }
    }

    /// The pin of a request, by the digests of its group's and its tenant's name. The group's pin
    /// takes precedence.
    pub fn pin(&self, group: Option<u64>, tenant: Option<u64>, now: Millis) -> Option<Pin<'_>> {
        let latest_of = |map: &FxHashMap<u64, Vec<OverrideId>>, key: Option<u64>| {
            self.latest(map.get(&key?)?, now)
        };
        let id = latest_of(&self.by_group, group).or_else(|| latest_of(&self.by_tenant, tenant))?;
        match &self.overrides[&id].kind {
            OverrideKind::Pin {
                server, strictness, ..
            } => Some(Pin {
                id,
                server,
                strictness: *strictness,
            }),
            OverrideKind::Out { .. } | OverrideKind::Weight { .. } => None,
        }
    }

    /// The next time at which any effect changes without a change of the set.
    pub fn next_change(&self, now: Millis) -> Option<Millis> {
        let next = self
            .boundaries
            .range((now.saturating_add(1), OverrideId(0))..)
            .next()
            .map(|(at, _)| *at);
        let ramp_started_after = (now.saturating_sub(self.ramp_ms), OverrideId(u64::MAX));
        let ramp_range = (
            Bound::Excluded(ramp_started_after),
            Bound::Included((now, OverrideId(u64::MAX))),
        );
        let is_ramping = |id: &OverrideId| match &self.overrides[id].kind {
            OverrideKind::Out { server, .. } | OverrideKind::Weight { server, .. } => {
                let adjustment = self.adjustment(&self.by_server[server], now);
                adjustment.factor < adjustment.target_factor
            }
            OverrideKind::Pin { .. } => false,
        };
        // Without a ramp no effect outlasts an override, and the range would be inverted and panic.
        let ramp_bounds = (self.ramp_ms > 0).then(|| self.boundaries.range(ramp_range));
        let steps = ramp_bounds
            .into_iter()
            .flatten()
            .filter(|(_, id)| is_ramping(id));
        let steps = steps.map(|(at, _)| next_step(*at, now, self.ramp_ms));
        next.into_iter().chain(steps).min()
    }

    /// The effect of an override, given the listed state of its server; `None` for an unknown id.
    pub fn effect(&self, id: OverrideId, listed: Listed, now: Millis) -> Option<Effect> {
        let record = self.overrides.get(&id)?;
        if !record.is_active_at(now) {
            return Some(Effect::Ended);
        }
        let (effective_id, server) = match &record.kind {
            OverrideKind::Out { server, .. } | OverrideKind::Weight { server, .. } => {
                (self.effective_id(&self.by_server[server], now), server)
            }
            OverrideKind::Pin {
                subject: Subject::Group(name),
                server,
                ..
            } => (self.latest(&self.by_group[&digest(name)], now), server),
            OverrideKind::Pin {
                subject: Subject::Tenant(name),
                server,
                ..
            } => (self.latest(&self.by_tenant[&digest(name)], now), server),
        };
        let is_pin = matches!(record.kind, OverrideKind::Pin { .. });
        Some(match (effective_id, listed) {
            (Some(effective_id), _) if effective_id != id => Effect::Shadowed(effective_id),
            (_, Listed::Absent) => Effect::NotListed,
            (_, Listed::Draining) if is_pin => Effect::ServerNotAccepting,
            _ if is_pin && self.server_adjustment(server, now).is_out => Effect::ServerNotAccepting,
            _ => Effect::InEffect,
        })
    }

    /// The latest of these overrides that is in effect.
    fn latest(&self, ids: &[OverrideId], now: Millis) -> Option<OverrideId> {
        ids.iter()
            .rev()
            .copied()
            .find(|id| self.overrides[id].is_active_at(now))
    }

    /// The override that applies to a server: the latest `out` in effect, else the latest weight.
    fn effective_id(&self, ids: &[OverrideId], now: Millis) -> Option<OverrideId> {
        let is_out = |id: &OverrideId| matches!(self.overrides[id].kind, OverrideKind::Out { .. });
        let active = || {
            ids.iter()
                .rev()
                .copied()
                .filter(|id| self.overrides[id].is_active_at(now))
        };
        active().find(is_out).or_else(|| active().next())
    }

    /// The factor on a server's weight without a ramp; 0 if the server is out of service.
    fn target(&self, ids: &[OverrideId], now: Millis) -> f64 {
        match self
            .effective_id(ids, now)
            .map(|id| &self.overrides[&id].kind)
        {
            Some(OverrideKind::Out { .. }) => 0.0,
            Some(OverrideKind::Weight { factor, .. }) => *factor,
            Some(OverrideKind::Pin { .. }) | None => 1.0,
        }
    }

    /// The effect of a server's overrides with the ramp: a weight falls at once and rises in steps
    /// from its previous value, because a returning server would otherwise be overloaded.
    fn adjustment(&self, ids: &[OverrideId], now: Millis) -> ServerAdjustment {
        let target_factor = self.target(ids, now);
        if target_factor == 0.0 {
            return ServerAdjustment {
                is_out: true,
                factor: 0.0,
                target_factor: 0.0,
            };
        }
        let mut factor = target_factor;
        for id in ids {
            let record = &self.overrides[id];
            for at in [record.created_at, record.ends_at()] {
                if at > now || now - at >= self.ramp_ms || at == 0 {
                    continue;
                }
                let previous = self.target(ids, at - 1);
                if previous < target_factor {
                    let ramped = previous
                        + (target_factor - previous) * ramp_fraction(now - at, self.ramp_ms);
                    factor = factor.min(ramped);
                }
            }
        }
        ServerAdjustment {
            is_out: false,
            factor: factor.max(target_factor * INITIAL_FRACTION),
            target_factor,
        }
    }
}

/// Removes an override from an index, and the key if it was the last one.
fn remove_from_index<K, Q, S>(map: &mut HashMap<K, Vec<OverrideId>, S>, key: &Q, id: OverrideId)
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

/// Elapsed fraction of a ramp, rounded down to whole steps.
fn ramp_fraction(elapsed: Millis, ramp_ms: Millis) -> f64 {
    let steps = elapsed.saturating_mul(RAMP_STEPS) / ramp_ms.max(1);
    steps.min(RAMP_STEPS) as f64 / RAMP_STEPS as f64
}

/// When the next step of a ramp is due.
fn next_step(started_at: Millis, now: Millis, ramp_ms: Millis) -> Millis {
    let steps_done = (now - started_at).saturating_mul(RAMP_STEPS) / ramp_ms.max(1);
    started_at.saturating_add((ramp_ms * (steps_done + 1)).div_ceil(RAMP_STEPS))
}
