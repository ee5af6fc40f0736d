//! Sums, means and decaying counts of connection loads.

use crate::ids::ClassId;
use crate::time::{Nanos, seconds};

/// The load of a set of connections. Connections of unknown load are counted by class.
#[derive(Clone, Default)]
pub(crate) struct LoadSum {
    /// Sum of the known loads, in microseconds of work per second.
    known: f64,
    /// Number of connections of unknown load, by class.
    unknown: Vec<u32>,
}

impl LoadSum {
    pub(crate) fn new(classes: usize) -> LoadSum {
        LoadSum {
            known: 0.0,
            unknown: vec![0; classes],
        }
    }

    /// Changes the number of classes.
    pub(crate) fn resize(&mut self, classes: usize) {
        self.unknown.resize(classes, 0);
    }

    pub(crate) fn add(&mut self, class: ClassId, load: Option<f64>) {
        match load {
            Some(load) => self.known += load,
            None => self.unknown[class.0] += 1,
        }
    }

    pub(crate) fn remove(&mut self, class: ClassId, load: Option<f64>) {
        match load {
            Some(load) => self.known = (self.known - load).max(0.0),
            None => self.unknown[class.0] = self.unknown[class.0].saturating_sub(1),
        }
    }

    /// The sum. An unknown load counts as the mean of its class.
    pub(crate) fn total(&self, class_means: &[MeanLoad]) -> f64 {
        let unknown = self.unknown.iter().zip(class_means);
        self.known
            + unknown
                .map(|(count, mean)| f64::from(*count) * mean.value())
                .sum::<f64>()
    }
}

/// A running mean of the loads reported so far.
#[derive(Clone, Default)]
pub(crate) struct MeanLoad {
    sum: f64,
    count: f64,
}

impl MeanLoad {
    pub(crate) fn add(&mut self, load: f64) {
        self.sum += load;
        self.count += 1.0;
    }

    /// The mean, or 1 before any report, which makes the sum a plain count of connections.
    pub(crate) fn value(&self) -> f64 {
        if self.count > 0.0 {
            self.sum / self.count
        } else {
            1.0
        }
    }
}

/// A count that decays exponentially.
#[derive(Default)]
pub(crate) struct DecayingCount {
    value: f64,
    updated_at: Nanos,
}

impl DecayingCount {
    /// Decays the count to `now` with a time constant in seconds, then adds to it.
    pub(crate) fn add(&mut self, now: Nanos, amount: f64, time_constant_s: f64) {
        self.value = self.value_at(now, time_constant_s) + amount;
        self.updated_at = now;
    }

    /// The count as of the last update.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// The count decayed to `now`.
    pub(crate) fn value_at(&self, now: Nanos, time_constant_s: f64) -> f64 {
        let age = seconds(now.saturating_sub(self.updated_at));
        self.value * (-age / time_constant_s).exp()
    }
}
