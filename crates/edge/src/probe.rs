//! Schedules probes over the lost uplink, so that the whole site sends few of them.
//!
//! For each target the processes of the site have an order, computed from names alone, on which all
//! agree without messages. The first process probes; the others do when no probe has been reported
//! for too long.

use std::collections::BTreeMap;

use beaconflow_settings::digest;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::evidence::RemoteTarget;
use crate::{Config, Millis};

/// Probes of one target by all processes of the site, as far as this process knows.
#[derive(Clone, Copy, Debug, Default)]
struct ProbeState {
    /// Attempts in a row without an answer.
    attempts: u32,
    /// Time of the last attempt.
    last_at: Option<Millis>,
    /// When this process probes unless another is heard to have done so.
    due_at: Option<Millis>,
    /// This process's own probes that only confirm a peer's report.
    confirm_attempts: u32,
    confirm_at: Option<Millis>,
}

/// Probes of all targets.
#[derive(Clone, Debug)]
pub(crate) struct ProbeSchedule {
    base_ms: Millis,
    cap_ms: Millis,
    rng: Pcg32,
    targets: BTreeMap<RemoteTarget, ProbeState>,
}

/// Position of a process in the order in which the processes probe a target. The order is a digest
/// of the texts of target and name, which all processes of a site have to share.
pub(crate) fn rank<'a>(
    name: &str,
    target: &RemoteTarget,
    live_peers: impl Iterator<Item = &'a str>,
) -> u64 {
    let score = |name: &str| (digest(&format!("{target}/{name}")), name.to_owned());
    let own = score(name);
    live_peers
        .filter(|other| *other != name && score(other) < own)
        .count() as u64
}

impl ProbeSchedule {
    pub(crate) fn new(config: &Config) -> ProbeSchedule {
        let (base, cap) = (config.probe_base_ms, config.probe_cap_ms);
        ProbeSchedule {
            base_ms: base,
            cap_ms: cap,
            rng: Pcg32::seed_from_u64(config.seed ^ digest(&config.name)),
            targets: BTreeMap::new(),
        }
    }

    pub(crate) fn reconfigure(&mut self, config: &Config) {
        (self.base_ms, self.cap_ms) = (config.probe_base_ms, config.probe_cap_ms);
    }

    /// A uniformly random delay of up to `max_ms`.
    pub(crate) fn random_delay(&mut self, max_ms: Millis) -> Millis {
        self.rng.random_range(0..=max_ms)
    }

    /// Upper bound of the delay after a number of attempts (exponential backoff).
    fn max_delay(&self, attempts: u32) -> Millis {
        self.base_ms
            .saturating_mul(1 << attempts.min(20))
            .min(self.cap_ms)
    }

    /// Delay before the next probe by the process of this rank. The jitter covers the whole span
    /// above the base interval; a process of a higher rank waits until the one before it must have
    /// probed.
    fn delay(&mut self, attempts: u32, rank: u64) -> Millis {
        let max_delay = self.max_delay(attempts);
        if rank == 0 {
            return self.base_ms + self.random_delay(max_delay.saturating_sub(self.base_ms));
        }
        max_delay
            + self.base_ms.saturating_mul(rank.saturating_add(1))
            + self.random_delay(self.base_ms / 2)
    }

    /// Restarts the schedule of a target: the first process probes at once, the next ones follow if
    /// it does not.
    pub(crate) fn start(&mut self, target: &RemoteTarget, now: Millis, rank: u64) {
        let delay = self.random_delay(self.base_ms / 4) + rank * self.base_ms;
        let probe = self.targets.entry(target.clone()).or_default();
        (probe.attempts, probe.due_at) = (0, Some(now + delay));
    }

    /// Schedules a probe at once, whatever the rank, but no sooner after the last one than the base
    /// interval.
    pub(crate) fn probe_now(&mut self, target: &RemoteTarget, now: Millis) {
        let probe = self.targets.entry(target.clone()).or_default();
        let due_at = probe.last_at.map_or(now, |at| now.max(at + self.base_ms));
        *probe = ProbeState {
            last_at: probe.last_at,
            due_at: Some(due_at),
            ..ProbeState::default()
        };
    }

    /// Cancels all probes.
    pub(crate) fn clear(&mut self) {
        self.targets.clear();
    }

    /// Records a probe by another process of the site at `at`, its attempt number `attempts`.
    pub(crate) fn record_peer_probe(
        &mut self,
        target: &RemoteTarget,
        attempts: u32,
        at: Millis,
        rank: impl FnOnce() -> u64,
    ) {
        let Some(probe) = self.targets.get(target).copied() else {
            return;
        };
        if probe.last_at.is_some_and(|last_at| last_at >= at) {
            return;
        }
        let due_at = at + self.delay(attempts, rank());
        let probe = self.targets.entry(target.clone()).or_default();
        (probe.attempts, probe.last_at, probe.due_at) = (attempts, Some(at), Some(due_at));
    }

    /// Whether to probe the target now; if so, records the probe.
    pub(crate) fn take_due(
        &mut self,
        target: &RemoteTarget,
        now: Millis,
        rank: impl FnOnce() -> u64,
    ) -> bool {
        let Some(probe) = self.targets.get(target).copied() else {
            self.start(target, now, rank());
            return false;
        };
        if probe.due_at.is_none_or(|due_at| due_at > now) {
            return false;
        }
        let attempts = probe.attempts.saturating_add(1);
        let due_at = now + self.delay(attempts, rank());
        let probe = self.targets.entry(target.clone()).or_default();
        (probe.attempts, probe.last_at, probe.due_at) = (attempts, Some(now), Some(due_at));
        true
    }

    /// Whether to send an own probe because a peer reports that the target answers. The interval
    /// grows with each unsuccessful one.
    pub(crate) fn take_due_confirmation(&mut self, target: &RemoteTarget, now: Millis) -> bool {
        let probe = self.targets.get(target).copied().unwrap_or_default();
        let Some(at) = probe.confirm_at else {
            let at = now + self.random_delay(self.base_ms);
            self.targets.entry(target.clone()).or_default().confirm_at = Some(at);
            return false;
        };
        if at > now {
            return false;
        }
        let next_at =
            now + self.base_ms + self.random_delay(self.max_delay(probe.confirm_attempts));
        let probe = self.targets.entry(target.clone()).or_default();
        (probe.confirm_attempts, probe.confirm_at) =
            (probe.confirm_attempts.saturating_add(1), Some(next_at));
        true
    }

    /// Last known probe of each target.
    pub(crate) fn last_probes(&self, now: Millis) -> Vec<(RemoteTarget, u32, Millis)> {
        let last_probe = |(target, probe): (&RemoteTarget, &ProbeState)| {
            Some((
                target.clone(),
                probe.attempts,
                now.saturating_sub(probe.last_at?),
            ))
        };
        self.targets.iter().filter_map(last_probe).collect()
    }

    /// Time at which the next probe may be due.
    pub(crate) fn next_due_at(&self) -> Option<Millis> {
        self.targets
            .values()
            .flat_map(|probe| [probe.due_at, probe.confirm_at])
            .flatten()
            .min()
    }
}
