//! Who asks beyond the lost link, and when: few probes for the whole site.
//!
//! Each place has an order of the site's processes, by name and place alone, so that all agree on it without a word.
//! The first asks; the others do when nothing was heard of a probe for too long.

use std::collections::BTreeMap;

use beaconflow_settings::digest;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::evidence::Place;
use crate::{Config, Millis};

/// The probes of one place, as far as this process knows of the site's.
#[derive(Clone, Copy, Debug, Default)]
struct Probing {
    /// How many came in a row without an answer.
    tries: u32,
    /// When the last one was.
    at: Option<Millis>,
    /// When this process asks if nothing is heard of another.
    due: Option<Millis>,
    /// This process's own questions that only confirm what another of the site says.
    confirming: u32,
    confirm_at: Option<Millis>,
}

/// All probes beyond the link.
#[derive(Clone, Debug)]
pub(crate) struct Probes {
    base: Millis,
    cap: Millis,
    rng: Pcg32,
    places: BTreeMap<Place, Probing>,
}

/// The place of a process in the order of those who ask.
pub(crate) fn rank<'a>(name: &str, place: &Place, alive: impl Iterator<Item = &'a str>) -> u64 {
    let score = |name: &str| (digest(&format!("{place}/{name}")), name.to_owned());
    let own = score(name);
    alive
        .filter(|other| *other != name && score(other) < own)
        .count() as u64
}

impl Probes {
    pub(crate) fn new(config: &Config) -> Probes {
        let (base, cap) = (config.probe_base_ms, config.probe_cap_ms);
        Probes {
            base,
            cap,
            rng: Pcg32::seed_from_u64(config.seed ^ digest(&config.name)),
            places: BTreeMap::new(),
        }
    }

    pub(crate) fn set_up(&mut self, config: &Config) {
        (self.base, self.cap) = (config.probe_base_ms, config.probe_cap_ms);
    }

    /// A moment within a span, by the odds.
    pub(crate) fn within(&mut self, span: Millis) -> Millis {
        self.rng.random_range(0..=span)
    }

    /// The longest wait after so many tries.
    fn longest(&self, tries: u32) -> Millis {
        self.base.saturating_mul(1 << tries.min(20)).min(self.cap)
    }

    /// The wait of the process of this rank. All jitter lies over the whole span, and never below the first
    /// spacing; who comes later waits until the one before must have asked.
    fn wait(&mut self, tries: u32, rank: u64) -> Millis {
        let longest = self.longest(tries);
        if rank == 0 {
            return self.base + self.within(longest.saturating_sub(self.base));
        }
        longest + self.base.saturating_mul(rank.saturating_add(1)) + self.within(self.base / 2)
    }

    /// Begins anew with a place: it is asked at once by the first, by the next ones if the first does not.
    pub(crate) fn begin(&mut self, place: &Place, now: Millis, rank: u64) {
        let wait = self.within(self.base / 4) + rank * self.base;
        let probing = self.places.entry(place.clone()).or_default();
        (probing.tries, probing.due) = (0, Some(now + wait));
    }

    /// Asks at once, whatever the order says, but no sooner after the last time than the first spacing.
    pub(crate) fn at_once(&mut self, place: &Place, now: Millis) {
        let probing = self.places.entry(place.clone()).or_default();
        let due = probing.at.map_or(now, |at| now.max(at + self.base));
        *probing = Probing {
            at: probing.at,
            due: Some(due),
            ..Probing::default()
        };
    }

    /// Asks no more.
    pub(crate) fn stop(&mut self) {
        self.places.clear();
    }

    /// Another process of the site has asked, so long after so many tries.
    pub(crate) fn record(
        &mut self,
        place: &Place,
        tries: u32,
        at: Millis,
        rank: impl FnOnce() -> u64,
    ) {
        let Some(known) = self.places.get(place).copied() else {
            return;
        };
        if known.at.is_some_and(|own| own >= at) {
            return;
        }
        let due = at + self.wait(tries, rank());
        let known = self.places.entry(place.clone()).or_default();
        (known.tries, known.at, known.due) = (tries, Some(at), Some(due));
    }

    /// Whether the place is asked now, by its order; notes that it is.
    pub(crate) fn take_due(
        &mut self,
        place: &Place,
        now: Millis,
        rank: impl FnOnce() -> u64,
    ) -> bool {
        let Some(probing) = self.places.get(place).copied() else {
            self.begin(place, now, rank());
            return false;
        };
        if probing.due.is_none_or(|due| due > now) {
            return false;
        }
        let tries = probing.tries.saturating_add(1);
        let due = now + self.wait(tries, rank());
        let probing = self.places.entry(place.clone()).or_default();
        (probing.tries, probing.at, probing.due) = (tries, Some(now), Some(due));
        true
    }

    /// Whether this process asks for itself, since another of the site says that the place answers. The longer it
    /// is in vain, the more seldom.
    pub(crate) fn take_confirm(&mut self, place: &Place, now: Millis) -> bool {
        let known = self.places.get(place).copied().unwrap_or_default();
        let Some(at) = known.confirm_at else {
            let at = now + self.within(self.base);
            self.places.entry(place.clone()).or_default().confirm_at = Some(at);
            return false;
        };
        if at > now {
            return false;
        }
        let next = now + self.base + self.within(self.longest(known.confirming));
        let probing = self.places.entry(place.clone()).or_default();
        (probing.confirming, probing.confirm_at) = (known.confirming.saturating_add(1), Some(next));
        true
    }

    /// The last probe of each place that is known of.
    pub(crate) fn known(&self, now: Millis) -> Vec<(Place, u32, Millis)> {
        let known = |(place, probing): (&Place, &Probing)| {
            Some((
                place.clone(),
                probing.tries,
                now.saturating_sub(probing.at?),
            ))
        };
        self.places.iter().filter_map(known).collect()
    }

    /// When the next one may be due.
    pub(crate) fn next(&self) -> Option<Millis> {
        self.places
            .values()
            .flat_map(|probing| [probing.due, probing.confirm_at])
            .flatten()
            .min()
    }
}
