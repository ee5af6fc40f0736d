//! Formats responses of the API as tables.

use std::time::Duration;

use comfy_table::{ContentArrangement, Table, presets};
use serde_json::Value;

fn table<const N: usize>(head: [&str; N]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(head);
    table
}

/// A value as plain text; `-` if it is absent.
fn display_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// A duration in whole seconds, such as `1h 30m 5s`.
fn format_duration(seconds: &Value) -> String {
    let seconds = seconds
        .as_f64()
        .filter(|seconds| (0.0..1e12).contains(seconds))
        .unwrap_or_default();
    humantime::format_duration(Duration::from_secs(seconds as u64)).to_string()
}

/// A short description of what an override does.
fn override_description(record: &Value) -> String {
    let server = display_text(&record["server"]);
    match record["kind"].as_str() {
        Some("out") if record["moves_per_s"].is_number() => {
            format!(
                "out {server}, migrating {} per second",
                record["moves_per_s"]
            )
        }
        Some("weight") => format!("weight {server} x {}", record["factor"]),
        Some("pin") => {
            let (subject, name) = if record["group"].is_string() {
                ("group", &record["group"])
            } else {
                ("tenant", &record["tenant"])
            };
            format!(
                "pin {subject} {} to {server}, {}",
                display_text(name),
                display_text(&record["mode"])
            )
        }
        _ => format!("out {server}"),
    }
}

/// The effect at each front, or a single value if all fronts have the same.
fn effect_summary(record: &Value) -> String {
    let effects: Vec<(String, String)> = record["effects"]
        .as_object()
        .into_iter()
        .flatten()
        .map(|(front, effect)| (front.clone(), display_text(effect)))
        .collect();
    match effects.as_slice() {
        [] => "-".into(),
        [(_, first), rest @ ..] if rest.iter().all(|(_, effect)| effect == first) => first.clone(),
        all => {
            let parts: Vec<String> = all
                .iter()
                .map(|(front, effect)| format!("{front}: {effect}"))
                .collect();
            parts.join(", ")
        }
    }
}

/// Formats one override.
pub fn override_details(record: &Value) -> String {
    let mut table = table(["", ""]);
    for (name, value) in [
        ("override", display_text(&record["id"])),
        ("does", override_description(record)),
        ("effect", effect_summary(record)),
        ("left", format_duration(&record["remaining_s"])),
        ("expires", display_text(&record["expires_at"])),
        ("since", display_text(&record["created_at"])),
        ("who", display_text(&record["who"])),
        ("why", display_text(&record["why"])),
        ("revision", display_text(&record["revision"])),
        ("forced", display_text(&record["forced"])),
    ] {
        table.add_row([name.to_owned(), value]);
    }
    table.trim_fmt().trim_start().to_owned()
}

/// Formats all overrides, with notes on their store and clock.
pub fn override_list(answer: &Value) -> String {
    let mut text = String::new();
    for note in answer["notes"].as_array().into_iter().flatten() {
        text.push_str(&format!("note: {}\n", display_text(note)));
    }
    if answer["kept"] != true {
        text.push_str("Overrides are disabled.\n");
        return text;
    }
    let ahead = answer["wall_ahead_s"].as_f64().unwrap_or_default();
    if ahead.abs() >= 1.0 {
        text.push_str(&format!(
            "note: the wall clock was stepped by {ahead} s since the balancer's start\n"
        ));
    }
    let all = answer["overrides"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    if all.is_empty() {
        text.push_str("No overrides are active.\n");
        return text;
    }
    let mut table = table(["ID", "DOES", "EFFECT", "LEFT", "WHO", "WHY"]);
    for record in all {
        table.add_row([
            display_text(&record["id"]),
            override_description(record),
            effect_summary(record),
            format_duration(&record["remaining_s"]),
            display_text(&record["who"]),
            display_text(&record["why"]),
        ]);
    }
    text + &table.trim_fmt()
}

/// Formats the server list, with warnings and the state of the fleet.
pub fn server_list(answer: &Value) -> String {
    let mut table = table([
        "FRONT",
        "SERVER",
        "ADDRESS",
        "ZONE",
        "STANDING",
        "LISTED",
        "EFFECTIVE",
        "WHY THEY DIFFER",
    ]);
    for server in answer["servers"].as_array().into_iter().flatten() {
        let side = |side: &Value| {
            format!(
                "{} {:.3}",
                display_text(&side["state"]),
                side["weight"].as_f64().unwrap_or(0.0)
            )
        };
        let reasons: Vec<String> = server["why"]
            .as_array()
            .into_iter()
            .flatten()
            .map(display_text)
            .collect();
        table.add_row([
            display_text(&server["front"]),
            display_text(&server["name"]),
            display_text(&server["address"]),
            display_text(&server["zone"]),
            display_text(&server["standing"]),
            side(&server["listed"]),
            side(&server["effective"]),
            reasons.join("; "),
        ]);
    }
    let warnings = answer["warnings"].as_array().into_iter().flatten();
    let warnings: String = warnings
        .map(|warning| format!("warning: {}\n", display_text(warning)))
        .collect();
    warnings + &fleet(&answer["fleet"]) + &table.trim_fmt()
}

/// Formats the state of the fleet in one line; empty without a fleet.
fn fleet(fleet: &Value) -> String {
    if fleet.is_null() {
        return String::new();
    }
    let placements = match fleet["placements"].as_u64() {
        Some(count) => format!(
            ", {count} client placements remembered under version {}",
            display_text(&fleet["version"])
        ),
        None => String::new(),
    };
    let uplink = match fleet["uplink"].as_str() {
        Some(status) => format!(", {status}"),
        None => String::new(),
    };
    let deferred = match fleet["deferred"].as_u64() {
        Some(count) if count > 0 => {
            format!(", {count} deferrals by staged admission")
        }
        _ => String::new(),
    };
    let storage = if fleet["kept"] == true {
        ""
    } else {
        ", no stored memory"
    };
    format!(
        "fleet: {} of site {} (boot {}), {} of {} processes, {}{deferred}{uplink}{placements}{storage}\n",
        display_text(&fleet["name"]),
        display_text(&fleet["site"]),
        fleet["boot"],
        fleet["processes"],
        fleet["size"],
        display_text(&fleet["recovery"]),
    )
}

/// Formats the admission queue of each front, and the counters of each account.
pub fn admission(answer: &Value) -> String {
    let mut text = String::new();
    let mut table = table([
        "FRONT", "ACCOUNT", "DUE", "A SECOND", "WAITING", "ASKED", "ADMITTED", "LENT", "REFUSED",
        "GIVEN UP", "LEFT", "WAIT P50", "P99",
    ]);
    for front in answer["fronts"].as_array().into_iter().flatten() {
        let (limits, bytes) = (
            &front["limits"],
            front["bytes"].as_f64().unwrap_or_default() / 1024.0,
        );
        text.push_str(&format!(
            "{}: {} of {} queued, {bytes:.0} of {:.0} KiB\n",
            display_text(&front["front"]),
            display_text(&front["waiting"]),
            display_text(&limits["entries"]),
            limits["bytes"].as_f64().unwrap_or_default() / 1024.0,
        ));
        for account in front["accounts"].as_array().into_iter().flatten() {
            let number = |name: &str| account[name].as_f64().unwrap_or_default();
            table.add_row([
                display_text(&front["front"]),
                display_text(&account["account"]),
                format!("{:.1}%", number("due") * 100.0),
                format!("{:.1}", number("per_second")),
                display_text(&account["waiting"]),
                display_text(&account["asked"]),
                display_text(&account["admitted"]),
                display_text(&account["lent"]),
                display_text(&account["refused"]),
                display_text(&account["given_up"]),
                display_text(&account["left"]),
                format!("{} ms", display_text(&account["wait_p50_ms"])),
                format!("{} ms", display_text(&account["wait_p99_ms"])),
            ]);
        }
    }
    text + &table.trim_fmt()
}
