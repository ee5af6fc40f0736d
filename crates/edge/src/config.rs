//! What an operator sets.

use std::fmt;

use crate::Millis;

/// What the site is, and the spans by which it changes its mind.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The site's name, the same at all of its processes.
    pub site: String,
    /// This process's name.
    pub name: String,
    /// Seed of all odds; different at each process.
    pub seed: u64,
    /// How many processes the whole fleet has at least; more are counted where more are heard.
    pub processes: u32,
    /// Whether discovery stands in the site itself; what it answers then tells nothing of the link.
    pub is_discovery_local: bool,
    /// Whether the shared store stands in the site itself.
    pub is_store_local: bool,
    /// An answer from beyond the link counts as fresh for so long.
    pub fresh_ms: Millis,
    /// A doubt that says the link is lost has to hold for so long.
    pub confirm_ms: Millis,
    /// Answers from beyond the link have to come for so long before the site rejoins.
    pub steady_ms: Millis,
    /// The longest doubt.
    pub answer_timeout_ms: Millis,
    /// The longest rejoining.
    pub rejoin_ms: Millis,
    /// Each change of state within a minute doubles the spans, up to this.
    pub damp_cap_ms: Millis,
    /// An answer that takes longer is slow.
    pub slow_ms: Millis,
    /// The list in hand is trusted for so long after discovery last confirmed it.
    pub trust_for_ms: Millis,
    /// A tenant's record is good for so long after it was read.
    pub tenants_for_ms: Millis,
    /// Spacing of probes beyond the link, for the whole site: the first.
    pub probe_base_ms: Millis,
    /// And the longest.
    pub probe_cap_ms: Millis,
    /// Calls for the list and the store after an island are spread so far for each process of the fleet.
    pub spread_ms: Millis,
    /// Clients that may be moved in a second after an island, by all processes together.
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
            answer_timeout_ms: 20_000,
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

/// What is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The field, by its name in the operator's file.
    pub field: &'static str,
    /// What it has to be.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// Longest name of a site or process.
const MAX_NAME_BYTES: usize = 128;
/// Shortest and longest of the spans by which states change.
const SPAN_RANGE_MS: std::ops::RangeInclusive<Millis> = 100..=3_600_000;
/// The longest that anything is trusted: a month.
const MAX_TRUST_MS: Millis = 31 * 86_400_000;

impl Config {
    /// All that is wrong with it, at once.
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
                format!("a name of 1 to {MAX_NAME_BYTES} bytes"),
            );
        }
        require(self.processes >= 1, "processes", "at least 1".into());
        for (field, span_ms) in self.validated_spans() {
            require(
                SPAN_RANGE_MS.contains(&span_ms),
                field,
                format!("{} to {} ms", SPAN_RANGE_MS.start(), SPAN_RANGE_MS.end()),
            );
        }
        for (field, span_ms) in [
            ("trust_for", self.trust_for_ms),
            ("tenants_for", self.tenants_for_ms),
        ] {
            require(
                (1..=MAX_TRUST_MS).contains(&span_ms),
                field,
                format!("1 to {MAX_TRUST_MS} ms"),
            );
        }
        // Guards against a span that outlasts the bound of the state it is kept in.
        let max_damping_ms = self.damp_cap_ms;
        require(
            max_damping_ms >= self.confirm_ms.max(self.steady_ms),
            "damp_cap",
            "no less than confirm and steady".into(),
        );
        require(
            max_damping_ms <= self.answer_timeout_ms,
            "patience",
            "no less than damp_cap".into(),
        );
        require(
            max_damping_ms <= self.rejoin_ms,
            "rejoin",
            "no less than damp_cap".into(),
        );
        require(
            self.probe_base_ms <= self.probe_cap_ms,
            "probe_cap",
            "no less than probe_base".into(),
        );
        require(self.spread_ms <= 1_000, "spread", "0 to 1000 ms".into());
        let rate = self.moves_per_s;
        require(
            rate.is_finite() && (0.01..=10_000.0).contains(&rate),
            "moves_per_s",
            "0.01 to 10000".into(),
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
            ("patience", self.answer_timeout_ms),
            ("rejoin", self.rejoin_ms),
            ("damp_cap", self.damp_cap_ms),
            ("slow", self.slow_ms),
            ("probe_base", self.probe_base_ms),
            ("probe_cap", self.probe_cap_ms),
        ]
    }
}
