//! What a run came to.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::scenario::Scenario;
use crate::{Nanos, SECOND};

/// Counts of one class or account.
#[derive(Clone, Debug)]
pub struct ServiceCounts {
    /// Its name.
    pub name: String,
    /// Clients that wanted a connection.
    pub wanted: u64,
    /// Those that had it within the aim, from their first try on.
    pub in_time: u64,
    /// Those that had it later.
    pub late: u64,
    /// Those that gave up.
    pub gave_up: u64,
    /// Time from the first try to the connection, in microseconds.
    pub took: Histogram<u64>,
}

impl ServiceCounts {
    /// Nothing yet.
    pub fn new(name: &str) -> ServiceCounts {
        let took = Histogram::new(3).expect("three digits");
        ServiceCounts {
            name: name.to_owned(),
            wanted: 0,
            in_time: 0,
            late: 0,
            gave_up: 0,
            took,
        }
    }

    /// Part of those that wanted a connection that had it in time.
    pub fn fraction_in_time(&self) -> f64 {
        self.in_time as f64 / self.wanted.max(1) as f64
    }
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SecondFigures {
    /// Clients whose connection came to stand.
    pub stood: u64,
    /// Those of them in time.
    pub in_time: u64,
    /// Attempts.
    pub attempts: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Clients moved.
    pub moved: u64,
    /// Connections reset, dropped or lost with their gateway or balancer.
    pub cut: u64,
    /// Connections that stand at its end.
    pub standing: u64,
    /// Requests that wait at the balancers' doors at its end.
    pub waiting: u64,
    /// Highest load of a gateway over what it can do, at its end.
    pub highest_load: f64,
    /// Part of the messages of what stands that are answered in time, at its end.
    pub messages_in_time: f64,
}

/// All of a run.
#[derive(Clone, Debug)]
pub struct Measures {
    /// By class.
    pub classes: Vec<ServiceCounts>,
    /// By account.
    pub accounts: Vec<ServiceCounts>,
    /// By second.
    pub seconds: Vec<SecondFigures>,
    /// Events that the engine played.
    pub events: u64,
    /// What became of the fleet through failures.
    pub fleet: FleetFigures,
}

/// What became of the fleet through failures.
#[derive(Clone, Debug, Default)]
pub struct FleetFigures {
    /// Cold gateways that fell over.
    pub fallen: u64,
    /// Most that a cold one was sent, over what makes it fall.
    pub most_sent: f64,
    /// The latest loss of power.
    pub power: Option<PowerLossFigures>,
    /// Clients that returned and whose gateway stood and was theirs by the newest configuration; those of them that got
    /// it.
    pub owed: u64,
    /// See the one before.
    pub landed: u64,
    /// The zone whose uplink is lost, and from when to when.
    pub island: Option<(u32, Nanos, Nanos)>,
    /// Its clients that wanted a connection meanwhile, and those that had it in time.
    pub island_wanted: u64,
    /// See the one before.
    pub island_served: u64,
    /// How long each of them took.
    pub island_took: Vec<Nanos>,
    /// Questions beyond the lost link.
    pub probes: u64,
    /// When each balancer had merged what both sides know.
    pub merges: Vec<Nanos>,
    /// Clients that the decisions moved to even gateways out, or since one was cold.
    pub evened: u64,
    /// Clients that were dealt anew since a new configuration has them there no longer.
    pub redealt: u64,
}

/// A loss of power, and the way back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PowerLossFigures {
    /// Worth that stood before.
    pub worth: f64,
    /// Clients that stood before.
    pub clients: f64,
    /// When the power was back.
    pub back_at: Option<Nanos>,
    /// The time until 99% of the former worth stood again.
    pub took: Option<Nanos>,
    /// The time that a refill takes which sees all and goes to the limit of the rule on cold gateways.
    pub ideal_refill_time: Nanos,
}

impl PowerLossFigures {
    /// The time until 99% of the former worth stood again, over that of a refill that sees all; nothing if it never did.
    pub fn ratio(&self) -> Option<f64> {
        Some(self.took? as f64 / self.ideal_refill_time.max(1) as f64)
    }
}

/// Part of the former worth that counts as all of it.
const RECOVERED_FRACTION: f64 = 0.99;

impl FleetFigures {
    /// Power is lost, while so much stands.
    pub fn record_power_loss(&mut self, worth: f64, clients: f64) {
        self.power = Some(PowerLossFigures {
            worth,
            clients,
            ..PowerLossFigures::default()
        });
    }

    /// Clients that stood before.
    pub fn clients_before_power_loss(&self) -> f64 {
        self.power.map_or(0.0, |power| power.clients)
    }

    /// Power is back; a refill that sees all takes so long.
    pub fn record_power_restored(&mut self, now: Nanos, ideal_refill_time: Nanos) {
        if let Some(power) = &mut self.power {
            (power.back_at, power.ideal_refill_time) = (Some(now), ideal_refill_time);
        }
    }

    /// So much worth stands.
    pub fn record_established_worth(&mut self, now: Nanos, worth: f64) {
        if let Some(power) = &mut self.power
            && power.took.is_none()
            && let Some(back_at) = power.back_at
            && worth >= RECOVERED_FRACTION * power.worth
        {
            power.took = Some(now - back_at);
        }
    }
}

impl Measures {
    /// Of a run that has not begun: its classes, and its accounts or one for all.
    pub fn new(scenario: &Scenario) -> Measures {
        let classes = scenario
            .classes
            .iter()
            .map(|class| ServiceCounts::new(&class.name));
        let accounts = scenario
            .accounts
            .iter()
            .map(|account| ServiceCounts::new(&account.name));
        let all = scenario
            .accounts
            .is_empty()
            .then(|| ServiceCounts::new("all"));
        Measures {
            classes: classes.collect(),
            accounts: all.into_iter().chain(accounts).collect(),
            seconds: Vec::new(),
            events: 0,
            fleet: FleetFigures::default(),
        }
    }

    /// The second that a moment lies in.
    pub fn second_at(&mut self, now: Nanos) -> &mut SecondFigures {
        let second = (now / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondFigures::default());
        }
        &mut self.seconds[second]
    }

    /// A sum over all seconds.
    pub fn sum(&self, of: impl Fn(&SecondFigures) -> u64) -> u64 {
        self.seconds.iter().map(of).sum()
    }
}

/// A result as it is saved.
#[derive(Debug, Serialize)]
pub struct Saved {
    /// Which form this is.
    pub schema: &'static str,
    /// The seed.
    pub seed: u64,
    /// By class and by account: name, wanted, in time, late, gave up, and set-up percentiles in milliseconds.
    pub classes: Vec<SavedServiceCounts>,
    /// The same by account.
    pub accounts: Vec<SavedServiceCounts>,
    /// By second.
    pub seconds: Vec<SecondFigures>,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Events that the engine played.
    pub events: u64,
    /// What became of the fleet through failures, where there is something to tell.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<SavedFleet>,
}

/// [`FleetFigures`] as it is saved.
#[derive(Debug, Serialize)]
pub struct SavedFleet {
    /// Cold gateways that fell over.
    pub fallen: u64,
    /// Most that a cold one was sent, over what makes it fall.
    pub most_sent: f64,
    /// After a loss of power: seconds until 99% of the former worth stood again, and that over a refill that sees all.
    pub power_took_s: Option<f64>,
    /// See the one before.
    pub power_ratio: Option<f64>,
    /// Clients that returned while their gateway stood, and the part of them that got it.
    pub owed: u64,
    /// See the one before.
    pub landed: f64,
    /// Of the clients of a zone whose uplink was lost: how many wanted a connection meanwhile, the part that had it in
    /// time, and the 99th percentile in milliseconds.
    pub island_wanted: u64,
    /// See the one before.
    pub island_served: f64,
    /// See the one before.
    pub island_p99_ms: f64,
    /// Questions beyond the lost link.
    pub probes: u64,
    /// Balancers that merged, the seconds from the link's return to the first, and from the first to the last of them.
    pub merged: usize,
    /// See the one before.
    pub merge_first_s: f64,
    /// See the one before.
    pub merge_span_s: f64,
    /// Clients that were moved to even gateways out.
    pub evened: u64,
    /// Clients that were dealt anew.
    pub redealt: u64,
}

impl FleetFigures {
    /// As it is saved, if there is something to tell.
    pub fn saved(&self, has_fleet_figures: bool) -> Option<SavedFleet> {
        let power = self.power;
        let until = self.island.map_or(0, |(.., until)| until);
        let merged = self
            .merges
            .iter()
            .copied()
            .min()
            .zip(self.merges.iter().copied().max());
        (has_fleet_figures || self.power.is_some() || self.most_sent > 0.0).then(|| SavedFleet {
            fallen: self.fallen,
            most_sent: self.most_sent,
            power_took_s: power
                .and_then(|power| power.took)
                .map(|took| took as f64 / 1e9),
            power_ratio: power.and_then(|power| power.ratio()),
            owed: self.owed,
            landed: self.landed as f64 / self.owed.max(1) as f64,
            island_wanted: self.island_wanted,
            island_served: self.island_served as f64 / self.island_wanted.max(1) as f64,
            island_p99_ms: percentile(&self.island_took, 0.99) as f64 / 1e6,
            probes: self.probes,
            merged: self.merges.len(),
            merge_first_s: merged
                .map_or(0.0, |(first, _)| first.saturating_sub(until) as f64 / 1e9),
            merge_span_s: merged.map_or(0.0, |(first, last)| (last - first) as f64 / 1e9),
            evened: self.evened,
            redealt: self.redealt,
        })
    }
}

fn percentile(of: &[Nanos], part: f64) -> Nanos {
    let mut of = of.to_vec();
    of.sort_unstable();
    of.get(((of.len() as f64 * part) as usize).min(of.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}

/// [`Served`] as it is saved.
#[derive(Debug, Serialize)]
pub struct SavedServiceCounts {
    /// Its name.
    pub name: String,
    /// Clients that wanted a connection.
    pub wanted: u64,
    /// Those that had it within the aim.
    pub in_time: u64,
    /// Those that had it later.
    pub late: u64,
    /// Those that gave up.
    pub gave_up: u64,
    /// Set-up, median, in milliseconds.
    pub p50_ms: f64,
    /// The same, 99th percentile.
    pub p99_ms: f64,
}

impl From<&ServiceCounts> for SavedServiceCounts {
    fn from(served: &ServiceCounts) -> SavedServiceCounts {
        let at = |quantile| served.took.value_at_quantile(quantile) as f64 / 1e3;
        SavedServiceCounts {
            name: served.name.clone(),
            wanted: served.wanted,
            in_time: served.in_time,
            late: served.late,
            gave_up: served.gave_up,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
        }
    }
}
