//! Results of a run.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::scenario::Scenario;
use crate::{Nanos, SECOND};

/// Service counts of one class or account.
#[derive(Clone, Debug)]
pub struct ServiceCounts {
    /// Name of the class or account.
    pub name: String,
    /// Clients that requested a connection.
    pub wanted: u64,
    /// Clients connected within the latency objective, measured from their first try.
    pub in_time: u64,
    /// Clients connected after the latency objective.
    pub late: u64,
    /// Clients that gave up.
    pub gave_up: u64,
    /// Time from the first try to the established connection, in microseconds.
    pub took: Histogram<u64>,
}

impl ServiceCounts {
    /// Counts of 0 under a name.
    pub fn new(name: &str) -> ServiceCounts {
        let took = Histogram::new(3).expect("3 significant digits are supported");
        ServiceCounts {
            name: name.to_owned(),
            wanted: 0,
            in_time: 0,
            late: 0,
            gave_up: 0,
            took,
        }
    }

    /// Fraction of the requesting clients that were connected in time.
    pub fn fraction_in_time(&self) -> f64 {
        self.in_time as f64 / self.wanted.max(1) as f64
    }
}

/// Figures of one simulated second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SecondFigures {
    /// Connections established.
    pub stood: u64,
    /// Connections established within the latency objective.
    pub in_time: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Requests rejected.
    pub refused: u64,
    /// Requests failed after they may have run.
    pub failed: u64,
    /// Clients migrated.
    pub moved: u64,
    /// Connections reset, dropped, closed for a reconnect, or lost with their gateway or balancer.
    pub cut: u64,
    /// Established connections at the end of the second.
    pub standing: u64,
    /// Requests in the balancers' admission queues at the end of the second.
    pub waiting: u64,
    /// Highest ratio of load to capacity of a gateway at the end of the second.
    pub highest_load: f64,
    /// Fraction of the messages on established connections that are answered in time, at the end of the second.
    pub messages_in_time: f64,
}

/// All results of a run.
#[derive(Clone, Debug)]
pub struct Measures {
    /// Counts by class, in scenario order.
    pub classes: Vec<ServiceCounts>,
    /// Counts by account, in scenario order; a single entry `all` if the scenario names none.
    pub accounts: Vec<ServiceCounts>,
    /// Figures by simulated second.
    pub seconds: Vec<SecondFigures>,
    /// Events that the engine processed.
    pub events: u64,
    /// Figures of the fleet during failures.
    pub fleet: FleetFigures,
}

/// Figures of the fleet during failures.
#[derive(Clone, Debug, Default)]
pub struct FleetFigures {
    /// Cold gateways that crashed from overload.
    pub fallen: u64,
    /// Highest number of setups sent to a cold gateway within the overload window, relative to the number that makes it
    /// crash.
    pub most_sent: f64,
    /// The latest power loss, if there was one.
    pub power: Option<PowerLossFigures>,
    /// Reconnected clients whose previous gateway was still available and in the newest configuration.
    pub owed: u64,
    /// Clients of `owed` that got their previous gateway back.
    pub landed: u64,
    /// The zone whose uplink fails, and the start and end of the failure.
    pub island: Option<(u32, Nanos, Nanos)>,
    /// Clients of that zone that requested a connection during the failure.
    pub island_wanted: u64,
    /// Clients of `island_wanted` that were connected in time.
    pub island_served: u64,
    /// Connection times of the clients of `island_wanted` that were connected.
    pub island_took: Vec<Nanos>,
    /// Probes that were lost on the failed uplink.
    pub probes: u64,
    /// When each balancer merged its state after an isolation.
    pub merges: Vec<Nanos>,
    /// Clients that the policy engine migrated for rebalancing or slow start.
    pub evened: u64,
    /// Clients that were migrated because a new configuration no longer contains their gateway.
    pub redealt: u64,
}

/// A power loss and the recovery from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PowerLossFigures {
    /// Total worth of the connections before the loss.
    pub worth: f64,
    /// Connected clients before the loss.
    pub clients: f64,
    /// When power was restored; `None` until then.
    pub back_at: Option<Nanos>,
    /// Time from the restoration until 99% of the former worth was connected again.
    pub took: Option<Nanos>,
    /// Time of an ideal refill, which has complete information and uses the overload limit of cold gateways in full.
    pub ideal_refill_time: Nanos,
}

impl PowerLossFigures {
    /// Recovery time relative to the ideal refill; `None` if 99% of the former worth was never reached.
    pub fn ratio(&self) -> Option<f64> {
        Some(self.took? as f64 / self.ideal_refill_time.max(1) as f64)
    }
}

/// Fraction of the former worth at which the fleet counts as recovered.
const RECOVERED_FRACTION: f64 = 0.99;

impl FleetFigures {
    /// Records a power loss with the worth and number of the clients connected before it.
    pub fn record_power_loss(&mut self, worth: f64, clients: f64) {
        self.power = Some(PowerLossFigures {
            worth,
            clients,
            ..PowerLossFigures::default()
        });
    }

    /// Connected clients before the latest power loss; 0 if there was none.
    pub fn clients_before_power_loss(&self) -> f64 {
        self.power.map_or(0.0, |power| power.clients)
    }

    /// Records that power is back, and the time of an ideal refill.
    pub fn record_power_restored(&mut self, now: Nanos, ideal_refill_time: Nanos) {
        if let Some(power) = &mut self.power {
            (power.back_at, power.ideal_refill_time) = (Some(now), ideal_refill_time);
        }
    }

    /// Records the worth that is connected at present, which ends the recovery time once it suffices.
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
    /// Empty results for the classes and accounts of a scenario.
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

    /// Figures of the second that contains a virtual time, created if needed.
    pub fn second_at(&mut self, now: Nanos) -> &mut SecondFigures {
        let second = (now / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondFigures::default());
        }
        &mut self.seconds[second]
    }

    /// Sum of a figure over all seconds.
    pub fn sum(&self, of: impl Fn(&SecondFigures) -> u64) -> u64 {
        self.seconds.iter().map(of).sum()
    }
}

/// The saved form of a result.
#[derive(Debug, Serialize)]
pub struct Saved {
    /// Name and version of this format.
    pub schema: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Counts and setup percentiles by class.
    pub classes: Vec<SavedServiceCounts>,
    /// Counts and setup percentiles by account.
    pub accounts: Vec<SavedServiceCounts>,
    /// Figures by simulated second.
    pub seconds: Vec<SecondFigures>,
    /// The recorded rule violations, one text each.
    pub broken: Vec<String>,
    /// Events that the engine processed.
    pub events: u64,
    /// Figures of the fleet during failures; absent if the scenario yields none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<SavedFleet>,
}

/// The saved form of [`FleetFigures`].
#[derive(Debug, Serialize)]
pub struct SavedFleet {
    /// Cold gateways that crashed from overload.
    pub fallen: u64,
    /// Highest number of setups sent to a cold gateway within the overload window, relative to the number that makes it
    /// crash.
    pub most_sent: f64,
    /// Seconds from the end of a power loss until 99% of the former worth was connected again.
    pub power_took_s: Option<f64>,
    /// The same time relative to an ideal refill.
    pub power_ratio: Option<f64>,
    /// Reconnected clients whose previous gateway was still available.
    pub owed: u64,
    /// Fraction of `owed` that got their previous gateway back.
    pub landed: f64,
    /// Clients of the zone with the failed uplink that requested a connection during the failure.
    pub island_wanted: u64,
    /// Fraction of `island_wanted` that was connected in time.
    pub island_served: f64,
    /// 99th percentile of their connection times, in milliseconds.
    pub island_p99_ms: f64,
    /// Probes that were lost on the failed uplink.
    pub probes: u64,
    /// Number of merges after the isolation, one per balancer.
    pub merged: usize,
    /// Seconds from the return of the uplink to the first merge.
    pub merge_first_s: f64,
    /// Seconds from the first merge to the last.
    pub merge_span_s: f64,
    /// Clients that the policy engine migrated for rebalancing or slow start.
    pub evened: u64,
    /// Clients that were migrated because a new configuration no longer contains their gateway.
    pub redealt: u64,
}

impl FleetFigures {
    /// The saved form; `None` unless the scenario reports fleet figures, lost power or sent setups to cold gateways.
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

fn percentile(times: &[Nanos], part: f64) -> Nanos {
    let mut times = times.to_vec();
    times.sort_unstable();
    times
        .get(((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}

/// The saved form of [`ServiceCounts`].
#[derive(Debug, Serialize)]
pub struct SavedServiceCounts {
    /// Name of the class or account.
    pub name: String,
    /// Clients that requested a connection.
    pub wanted: u64,
    /// Clients connected within the latency objective.
    pub in_time: u64,
    /// Clients connected after the latency objective.
    pub late: u64,
    /// Clients that gave up.
    pub gave_up: u64,
    /// Median time to connect, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to connect, in milliseconds.
    pub p99_ms: f64,
}

impl From<&ServiceCounts> for SavedServiceCounts {
    fn from(served: &ServiceCounts) -> SavedServiceCounts {
        let percentile_ms = |quantile| served.took.value_at_quantile(quantile) as f64 / 1e3;
        SavedServiceCounts {
            name: served.name.clone(),
            wanted: served.wanted,
            in_time: served.in_time,
            late: served.late,
            gave_up: served.gave_up,
            p50_ms: percentile_ms(0.5),
            p99_ms: percentile_ms(0.99),
        }
    }
}
