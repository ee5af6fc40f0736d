//! Which caller gives way to a further one when all places are taken.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::RequestProgress;

/// Time for which an evicted caller counts as one of its kind.
const EVICTED_DURATION: Duration = Duration::from_secs(1);
/// Most evicted callers that are counted. It is above the number of places of each port, so that
/// callers that keep coming back outnumber those that hold their places.
const MAX_EVICTED: usize = 32;

/// Evicted callers count only against callers that have been silent for less than this, so that no
/// caller keeps its place because others come back.
const MAX_SHIELDED_SILENCE: Duration = Duration::from_millis(200);

/// What a caller has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerKind {
    /// A part of its request.
    Begun,
    /// Nothing.
    Silent,
}

impl CallerKind {
    fn of(progress: &RequestProgress) -> CallerKind {
        if progress.has_begun() {
            CallerKind::Begun
        } else {
            CallerKind::Silent
        }
    }
}

/// Chooses among the callers whose requests are incomplete.
///
/// A caller of the larger kind gives way, so that neither kind evicts the few callers of the other
/// one, which may be slow. The callers evicted within the last second count too: the ones present
/// may by chance be mostly slow callers that are served soon. Those that have been silent for
/// longer are judged by the callers present alone.
#[derive(Debug, Default)]
pub struct EvictionRule {
    evicted: VecDeque<(Instant, CallerKind)>,
}

impl EvictionRule {
    /// The caller to evict for a further one: of those of the larger kind that may be evicted, the
    /// one that has been silent longest.
    pub fn candidate<K>(
        &self,
        callers: impl Iterator<Item = (K, RequestProgress)>,
        now: Instant,
    ) -> Option<K> {
        self.larger_kind(callers, now)
            .into_iter()
            .filter(|(_, progress)| now >= progress.evictable_at())
            .min_by_key(|(_, progress)| progress.last_read_at())
            .map(|(key, _)| key)
    }

    /// From when a caller may be evicted.
    pub fn next_eviction_at<K>(
        &self,
        callers: impl Iterator<Item = (K, RequestProgress)>,
        now: Instant,
    ) -> Option<Instant> {
        self.larger_kind(callers, now)
            .iter()
            .map(|(_, progress)| progress.evictable_at())
            .min()
    }

    /// Records that a caller has been evicted.
    pub fn record_eviction(&mut self, progress: &RequestProgress, now: Instant) {
        if self.evicted.len() == MAX_EVICTED {
            self.evicted.pop_front();
        }
        self.evicted.push_back((now, CallerKind::of(progress)));
    }

    /// The present callers of the larger kind. Where none of it is present, those of the other kind.
    fn larger_kind<K>(
        &self,
        callers: impl Iterator<Item = (K, RequestProgress)>,
        now: Instant,
    ) -> Vec<(K, RequestProgress)> {
        let (begun, silent): (Vec<_>, Vec<_>) =
            callers.partition(|(_, progress)| CallerKind::of(progress) == CallerKind::Begun);
        let larger_present = larger_of(begun.len(), silent.len());
        let present = match larger_present {
            CallerKind::Begun => &begun,
            CallerKind::Silent => &silent,
        };
        let is_shielded = |(_, progress): &(K, RequestProgress)| {
            now < progress.last_read_at() + MAX_SHIELDED_SILENCE
        };
        let larger = if present.iter().all(is_shielded) {
            let begun_count = begun.len() + self.evicted_count(CallerKind::Begun, now);
            let silent_count = silent.len() + self.evicted_count(CallerKind::Silent, now);
            larger_of(begun_count, silent_count)
        } else {
            larger_present
        };
        match larger {
            CallerKind::Begun if !begun.is_empty() => begun,
            CallerKind::Silent if silent.is_empty() => begun,
            _ => silent,
        }
    }

    fn evicted_count(&self, kind: CallerKind, now: Instant) -> usize {
        self.evicted
            .iter()
            .filter(|(at, _)| now.saturating_duration_since(*at) < EVICTED_DURATION)
            .filter(|(_, evicted_kind)| *evicted_kind == kind)
            .count()
    }
}

/// The kind with more callers.
fn larger_of(begun: usize, silent: usize) -> CallerKind {
    if begun >= silent {
        CallerKind::Begun
    } else {
        CallerKind::Silent
    }
}

#[cfg(test)]
mod tests;
