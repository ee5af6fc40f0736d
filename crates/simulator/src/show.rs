//! Formats the results of a run or a comparison as text tables.

use beaconflow_simulator::compare::{self, Figures};
use beaconflow_simulator::engine::Engine;
use beaconflow_simulator::measures::{Measures, SavedFleet, ServiceCounts};
use comfy_table::{ContentArrangement, Table, presets};
use serde_json::{Value, json};

fn empty_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(header);
    table
}

/// Formats the result of a run. `wall_time_s` is the wall time of the run in seconds; `has_fleet_figures` says whether the
/// scenario reports figures of the fleet.
pub(crate) fn format_run(
    engine: &Engine<'_>,
    wall_time_s: f64,
    seed: u64,
    has_fleet_figures: bool,
) -> String {
    let measures = &engine.measures;
    let mut text = service_table(measures) + &totals_line(measures);
    if let Some(fleet) = measures.fleet.saved(has_fleet_figures) {
        text.push_str(&fleet_section(measures, &fleet));
    }
    text.push_str(&format!(
        "seed {seed}: {} events in {wall_time_s:.2} s, {:.2} million a second\n",
        measures.events,
        measures.events as f64 / wall_time_s / 1e6
    ));
    for violation in engine.checker.violations() {
        text.push_str(&format!("broken at {violation}\n"));
    }
    text.push_str(&match engine.checker.violation_count {
        0 => "every rule was kept\n".to_owned(),
        count => format!("{count} times a rule was broken\n"),
    });
    text
}

/// Formats the service counts of each class and account.
fn service_table(measures: &Measures) -> String {
    let mut table = empty_table(&["", "WANTED", "IN TIME", "LATE", "GAVE UP", "P50", "P99"]);
    let mut row = |kind: &str, counts: &ServiceCounts| {
        let percentile = |quantile| {
            format!(
                "{:.1} ms",
                counts.took.value_at_quantile(quantile) as f64 / 1e3
            )
        };
        table.add_row([
            format!("{kind} {}", counts.name),
            counts.wanted.to_string(),
            format!("{:.2}%", counts.fraction_in_time() * 100.0),
            counts.late.to_string(),
            counts.gave_up.to_string(),
            percentile(0.5),
            percentile(0.99),
        ]);
    };
    measures
        .classes
        .iter()
        .for_each(|counts| row("class", counts));
    measures
        .accounts
        .iter()
        .for_each(|counts| row("account", counts));
    table.trim_fmt()
}

/// Formats totals of attempts, rejections, failures and migrations, and the highest gateway load.
fn totals_line(measures: &Measures) -> String {
    let highest_load = measures
        .seconds
        .iter()
        .map(|second| second.highest_load)
        .fold(0.0, f64::max);
    format!(
        "\nattempts {}, refused {}, failed {}, moved {}, cut off {}, highest load of a gateway {highest_load:.2}\n",
        measures.sum(|second| second.attempts),
        measures.sum(|second| second.refused),
        measures.sum(|second| second.failed),
        measures.sum(|second| second.moved),
        measures.sum(|second| second.cut),
    )
}

/// Formats the figures of the fleet: affinity, cold overload, uplink failure and power loss.
fn fleet_section(measures: &Measures, fleet: &SavedFleet) -> String {
    let mut text = format!(
        "returned while their gateway stood {}, got it {:.2}%, dealt anew by a configuration {}, \
         evened out {}\n",
        fleet.owed,
        fleet.landed * 100.0,
        fleet.redealt,
        fleet.evened
    );
    text.push_str(&format!(
        "cold gateways fallen {}, most sent {:.2} of what makes one fall\n",
        fleet.fallen, fleet.most_sent
    ));
    if measures.fleet.island.is_some() {
        text.push_str(&format!(
            "without uplink: wanted {}, in time {:.2}%, p99 {:.1} ms, probes beyond {}; merged {}, the first {:.1} s after \
             the return, the last {:.1} s after the first\n",
            fleet.island_wanted,
            fleet.island_served * 100.0,
            fleet.island_p99_ms,
            fleet.probes,
            fleet.merged,
            fleet.merge_first_s,
            fleet.merge_span_s
        ));
    }
    if measures.fleet.power.is_some() {
        let format_optional =
            |value: Option<f64>| value.map_or("never".to_owned(), |value| format!("{value:.2}"));
        text.push_str(&format!(
            "99% of the former worth stands again after {} s, {} times what a refill takes that sees all\n",
            format_optional(fleet.power_took_s),
            format_optional(fleet.power_ratio)
        ));
    }
    text
}

/// Formats the comparison of two scenarios or policies as a text table and as JSON rows.
pub(crate) fn format_comparison(pairs: &[[Figures; 2]], seeds: u64) -> (String, Vec<Value>) {
    let mut table = empty_table(&["", "FIRST", "SECOND", "DIFFERENCE", "95% INTERVAL", ""]);
    let mut rows = Vec::new();
    for (index, (name, more_is_better)) in compare::FIGURES.into_iter().enumerate() {
        let values: Vec<(f64, f64)> = pairs
            .iter()
            .filter_map(|[first, second]| first.get(index).zip(second.get(index)))
            .collect();
        if values.is_empty() {
            continue;
        }
        let mean = |side: fn(&(f64, f64)) -> f64| {
            values.iter().map(side).sum::<f64>() / values.len() as f64
        };
        let (first, second) = (mean(|pair| pair.0), mean(|pair| pair.1));
        let (difference, low, high) = compare::mean_difference(&values, seeds);
        let verdict = verdict((low, high), more_is_better);
        table.add_row([
            name.to_owned(),
            format!("{first:.4}"),
            format!("{second:.4}"),
            format!("{difference:+.4}"),
            format!("{low:+.4} to {high:+.4}"),
            verdict.to_owned(),
        ]);
        rows.push(json!({
            "figure": name, "first": first, "second": second, "difference": difference, "low": low, "high": high,
            "verdict": verdict,
        }));
    }
    (table.trim_fmt(), rows)
}

/// Verdict on the two sides from the confidence interval of their difference.
fn verdict((low, high): (f64, f64), more_is_better: bool) -> &'static str {
    match (low > 0.0, high < 0.0) {
        (false, false) => "no difference shown",
        (is_higher, _) if is_higher == more_is_better => "the second is better",
        _ => "the first is better",
    }
}
