//! Assessment of the wall clock, which can be wrong by years after a power loss.

use std::collections::BTreeMap;

use crate::config::Retention;
use crate::{MS, Millis, Nanos};

/// The wall clock of this process and of its peers. Each clock is stored as its reading at
/// monotonic time 0, so that a step of one clock does not affect the others.
pub(crate) struct WallClock {
    own_base: i64,
    written_at: Option<Millis>,
    peer_bases: BTreeMap<String, i64>,
    latest_server_start: Millis,
    quality: Option<ClockQuality>,
}

/// Whether ages can be computed from the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClockQuality {
    /// Ages can be computed, for this reason.
    Reliable(&'static str),
    /// Ages can't be computed, for this reason.
    Unknown(&'static str),
}

/// The reading of a wall clock at monotonic time 0.
fn clock_base(now: Nanos, wall: Millis) -> i64 {
    i64::try_from(wall)
        .unwrap_or(i64::MAX)
        .saturating_sub((now / MS) as i64)
}

impl WallClock {
    pub(crate) fn new(now: Nanos, wall: Millis, written_at: Option<Millis>) -> WallClock {
        let own_base = clock_base(now, wall);
        WallClock {
            own_base,
            written_at,
            peer_bases: BTreeMap::new(),
            latest_server_start: 0,
            quality: None,
        }
    }

    /// Detects a step of the own wall clock against the monotonic clock; returns it in
    /// milliseconds.
    pub(crate) fn detect_step(
        &mut self,
        now: Nanos,
        wall: Millis,
        retention: &Retention,
    ) -> Option<i64> {
        let step = clock_base(now, wall).saturating_sub(self.own_base);
        (step.unsigned_abs() > retention.clock_tolerance).then(|| {
            self.own_base = self.own_base.saturating_add(step);
            step
        })
    }

    /// Records a peer's or discovery's wall clock.
    pub(crate) fn record_peer(&mut self, now: Nanos, peer: &str, wall: Millis) {
        self.peer_bases
            .insert(peer.to_string(), clock_base(now, wall));
    }

    /// Records the wall time at which a server started.
    pub(crate) fn record_server_start(&mut self, at: Millis) {
        self.latest_server_start = self.latest_server_start.max(at);
    }

    /// The age of a wall time in milliseconds; `None` if the wall clock is unreliable.
    pub(crate) fn age(&self, now: Nanos, at: Millis) -> Option<Millis> {
        matches!(self.quality, Some(ClockQuality::Reliable(_)))
            .then(|| self.wall_time(now).saturating_sub(at))
    }

    pub(crate) fn is_reliable(&self) -> bool {
        matches!(self.quality, Some(ClockQuality::Reliable(_)))
    }

    /// The present time of the own wall clock; 0 if that is before 1970.
    pub(crate) fn wall_time(&self, now: Nanos) -> Millis {
        u64::try_from(self.own_base.saturating_add((now / MS) as i64)).unwrap_or(0)
    }

    /// Assesses the wall clock again; returns its quality if that changed.
    pub(crate) fn reassess(&mut self, now: Nanos, retention: &Retention) -> Option<ClockQuality> {
        let quality = self.assess(now, retention);
        (self.quality != Some(quality)).then(|| {
            self.quality = Some(quality);
            quality
        })
    }

    /// The median of the other clocks decides if there is any; otherwise the servers' starts and
    /// the memory's write time do.
    fn assess(&self, now: Nanos, retention: &Retention) -> ClockQuality {
        let wall = self.wall_time(now);
        let mut peer_bases: Vec<i64> = self.peer_bases.values().copied().collect();
        peer_bases.sort_unstable();
        if let Some(median) = peer_bases.get(peer_bases.len() / 2) {
            return if median.abs_diff(self.own_base) <= retention.clock_tolerance {
                ClockQuality::Reliable("the wall clock agrees with the median of the other clocks")
            } else {
                ClockQuality::Unknown(
                    "the wall clock disagrees with the median of the other clocks",
                )
            };
        }
        if self.latest_server_start > wall.saturating_add(retention.clock_tolerance) {
            return ClockQuality::Unknown("a server's start time is ahead of the wall clock");
        }
        match self.written_at {
            Some(at) if wall.saturating_add(retention.clock_tolerance) < at => {
                ClockQuality::Unknown("the memory's write time is ahead of the wall clock")
            }
            Some(at) if wall.saturating_sub(at) > retention.max_outage => ClockQuality::Unknown(
                "the memory is older than the longest outage that is accepted without another clock",
            ),
            Some(_) => {
                ClockQuality::Reliable("the wall clock continues from the memory's write time")
            }
            None => ClockQuality::Unknown("no other clock and no memory confirm the wall clock"),
        }
    }
}
