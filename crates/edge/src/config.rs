//! Configuration of an edge site.

use std::fmt;

use crate::Millis;

/// Identity of the site and process, and the timing of state changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of the site, the same at all of its processes.
    pub site: String,
    /// Name of this process; peer reports under the same name are ignored.
    pub name: String,
    /// Seed of the random number generator; has to differ between processes.
    pub seed: u64,
    /// Minimum number of processes in the fleet. Where more are seen, more are counted.
    pub processes: u32,
    /// Whether discovery runs inside the site; its answers then say nothing about the uplink.
    pub is_discovery_local: bool,
    /// Whether the shared store runs inside the site; its answers then say nothing about the
    /// uplink.
    pub is_store_local: bool,
    /// How long an answer from beyond the uplink counts as current.
    pub fresh_ms: Millis,
    /// How long the evidence has to indicate a loss before the site counts as isolated.
    pub confirm_ms: Millis,
    /// How long answers have to arrive over the uplink before an isolated site rejoins.
    pub steady_ms: Millis,
    /// Maximum time in [`UplinkState::Doubtful`](crate::UplinkState::Doubtful).
    pub isolation_delay_ms: Millis,
    /// Maximum time in [`UplinkState::Rejoining`](crate::UplinkState::Rejoining).
    pub rejoin_ms: Millis,
    /// Upper bound of the confirmation spans, which double with each state change within a minute.
    pub damp_cap_ms: Millis,
    /// Latency above which an answer is reported as slow.
    pub slow_ms: Millis,
    /// How long the server list is trusted after discovery last confirmed it.
    pub trust_for_ms: Millis,
    /// How long a tenant's record may be used after it was read.
    pub tenants_for_ms: Millis,
    /// Initial interval of probes over the uplink, for the whole site.
    pub probe_base_ms: Millis,
    /// Maximum interval of probes over the uplink, for the whole site.
    pub probe_cap_ms: Millis,
    /// Span for each process of the fleet over which requests for the list and the store are spread
    /// after an isolation.
    pub spread_ms: Millis,
    /// Clients that all processes together may migrate in a second after an isolation.
    pub moves_per_s: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            site: String::new(),
            name: String::new(),
            seed: 0,
            processes: 1,
            is_discovery_local: false,
            is_store_local: false,
            fresh_ms: 6_000,
            confirm_ms: 2_000,
            steady_ms: 3_000,
            isolation_delay_ms: 20_000,
            rejoin_ms: 30_000,
            damp_cap_ms: 20_000,
            slow_ms: 2_000,
            trust_for_ms: 4 * 3_600_000,
            tenants_for_ms: 3_600_000,
            probe_base_ms: 1_000,
            probe_cap_ms: 20_000,
            spread_ms: 10,
            moves_per_s: 5.0,
        }
    }
}

/// A configuration field outside its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the field in the operator's file.
    pub field: &'static str,
    /// The values that the field accepts.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// Maximum length of the name of a site or process.
const MAX_NAME_BYTES: usize = 128;
/// Range of the spans by which states change.
const SPAN_RANGE_MS: std::ops::RangeInclusive<Millis> = 100..=3_600_000;
/// Maximum span for which a server list or tenant record is trusted: 31 days.
const MAX_TRUST_MS: Millis = 31 * 86_400_000;

impl Config {
    /// Checks all fields.
    ///
    /// # Errors
    ///
    /// Returns every field outside its range, not only the first.
    pub fn validate(&self) -> Result<(), Vec<ConfigError>> {
        let mut errors = Vec::new();
        let mut require = |is_valid: bool, field, reason: String| {
            if !is_valid {
                errors.push(ConfigError { field, reason });
            }
        };
        for (field, name) in [("site", &self.site), ("name", &self.name)] {
            let is_valid =
                (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
            require(
                is_valid,
                field,
                format!("must be 1 to {MAX_NAME_BYTES} bytes without control characters"),
            );
        }
        require(
            self.processes >= 1,
            "processes",
            "must be at least 1".into(),
        );
        for (field, span_ms) in self.validated_spans() {
            require(
                SPAN_RANGE_MS.contains(&span_ms),
                field,
                format!(
                    "must be {} to {} ms",
                    SPAN_RANGE_MS.start(),
                    SPAN_RANGE_MS.end()
                ),
            );
        }
        for (field, span_ms) in [
            ("trust_for", self.trust_for_ms),
            ("tenants_for", self.tenants_for_ms),
        ] {
            require(
                (1..=MAX_TRUST_MS).contains(&span_ms),
                field,
                format!("must be 1 to {MAX_TRUST_MS} ms"),
            );
        }
        // A longer span would outlast the maximum time of the state that it applies to.
        let max_damping_ms = self.damp_cap_ms;
        require(
            max_damping_ms >= self.confirm_ms.max(self.steady_ms),
            "damp_cap",
            "must be at least confirm and steady".into(),
        );
        require(
            max_damping_ms <= self.isolation_delay_ms,
            "patience",
            "must be at least damp_cap".into(),
        );
        require(
            max_damping_ms <= self.rejoin_ms,
            "rejoin",
            "must be at least damp_cap".into(),
        );
        require(
            self.probe_base_ms <= self.probe_cap_ms,
            "probe_cap",
            "must be at least probe_base".into(),
        );
        require(
            self.spread_ms <= 1_000,
            "spread",
            "must be 0 to 1000 ms".into(),
        );
        let rate = self.moves_per_s;
        require(
            rate.is_finite() && (0.01..=10_000.0).contains(&rate),
            "moves_per_s",
            "must be 0.01 to 10000".into(),
        );
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn validated_spans(&self) -> [(&'static str, Millis); 9] {
        [
            ("fresh", self.fresh_ms),
            ("confirm", self.confirm_ms),
            ("steady", self.steady_ms),
            ("patience", self.isolation_delay_ms),
            ("rejoin", self.rejoin_ms),
            ("damp_cap", self.damp_cap_ms),
            ("slow", self.slow_ms),
            ("probe_base", self.probe_base_ms),
            ("probe_cap", self.probe_cap_ms),
        ]
    }
}
