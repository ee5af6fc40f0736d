//! One server as this balancer sees it.

use crate::event::{ServerEntry, ServerState};
use crate::ids::{GroupId, ServerId};
use crate::load::{DecayingCount, LoadSum};
use crate::rotation::RotationSlot;
use crate::time::{Nanos, is_within};

/// A server's answer to a probe, or its failure to answer.
#[derive(Clone, Copy)]
pub(crate) struct LoadReport {
    pub(crate) received_at: Nanos,
    /// Whether the server is too loaded for new connections.
    pub(crate) is_full: bool,
}

/// State that this balancer keeps of a server.
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) is_ready: bool,
    pub(crate) slot: RotationSlot,
    /// Load of this balancer's connections there.
    pub(crate) load: LoadSum,
    /// Failed attempts in a row; halved by a success.
    pub(crate) consecutive_failures: u32,
    /// End of the ejection; the server is skipped until then.
    pub(crate) ejected_until: Nanos,
    /// Load of this balancer above which the server gets no more.
    pub(crate) load_ceiling: f64,
    /// Load of this balancer when the latest period of overload began.
    pub(crate) overload_onset_load: f64,
    /// Latest sign of overload.
    pub(crate) overloaded_at: Option<Nanos>,
    /// Latest report of messages over their latency objective.
    pub(crate) slow_messages_at: Option<Nanos>,
    /// Recent resets of established connections.
    pub(crate) resets: DecayingCount,
    /// End of the pause that follows a sign of overload.
    pub(crate) paused_until: Nanos,
    pub(crate) load_report: Option<LoadReport>,
    /// Whether it has ever reported its load.
    pub(crate) has_reported_load: bool,
    /// Fraction of its capacity that it has at least; 1 after slow start.
    pub(crate) capacity: f64,
    /// Its weight while it holds nothing.
    pub(crate) size: f64,
    /// When it was last considered for a placement during slow start.
    pub(crate) slow_start_considered_at: Nanos,
}

impl Server {
    pub(crate) fn new(entry: ServerEntry, classes: usize) -> Server {
        Server {
            entry,
            is_ready: false,
            slot: RotationSlot::default(),
            load: LoadSum::new(classes),
            consecutive_failures: 0,
            ejected_until: 0,
            load_ceiling: f64::INFINITY,
            overload_onset_load: 0.0,
            overloaded_at: None,
            slow_messages_at: None,
            resets: DecayingCount::default(),
            paused_until: 0,
            load_report: None,
            has_reported_load: false,
            capacity: 1.0,
            size: 1.0,
            slow_start_considered_at: 0,
        }
    }

    pub(crate) fn id(&self) -> ServerId {
        self.entry.server
    }

    /// Takes over a list entry. A process that has restarted begins without a history.
    pub(crate) fn update(&mut self, entry: ServerEntry) {
        if entry.started_at != self.entry.started_at {
            self.consecutive_failures = 0;
            self.ejected_until = 0;
            self.paused_until = 0;
            self.load_ceiling = f64::INFINITY;
            self.load_report = None;
            self.capacity = 1.0;
        }
        self.is_ready = entry.state == ServerState::Ready;
        self.entry = entry;
    }

    /// Drops all signs of overload.
    pub(crate) fn clear_overload(&mut self) {
        self.load_ceiling = f64::INFINITY;
        self.overload_onset_load = 0.0;
        self.overloaded_at = None;
        self.slow_messages_at = None;
        self.paused_until = 0;
    }

    /// The listed weight, or 1 if the listed one is not a positive number.
    pub(crate) fn weight(&self) -> f64 {
        let weight = self.entry.weight;
        if weight.is_finite() && weight > 0.0 {
            weight
        } else {
            1.0
        }
    }

    /// The weight that a gradual change ends at.
    pub(crate) fn target_weight(&self) -> f64 {
        self.entry.target_weight.unwrap_or_else(|| self.weight())
    }

    /// Whether it has passed its slow start.
    pub(crate) fn is_warm(&self) -> bool {
        self.capacity >= 1.0
    }

    pub(crate) fn is_ejected(&self, now: Nanos) -> bool {
        now < self.ejected_until
    }

    /// The latest load report, if it is at most `span` old.
    pub(crate) fn recent_load_report(&self, now: Nanos, span: Nanos) -> Option<LoadReport> {
        self.load_report
            .filter(|report| now < report.received_at.saturating_add(span))
    }

    pub(crate) fn was_overloaded_within(&self, now: Nanos, span: Nanos) -> bool {
        is_within(self.overloaded_at, now, span)
    }

    /// The rank of this server for a group, lowest first (weighted rendezvous hashing).
    pub(crate) fn rendezvous_rank(&self, group: GroupId) -> f64 {
        let mut mixed = self.entry.name_hash ^ group.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let uniform = ((mixed >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -uniform.ln() / (self.size * self.capacity)
    }
}
