//! Answers of the API as tables for people.

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

/// A value as it is read aloud.
fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// `1h 30m 5s`.
fn span(seconds: &Value) -> String {
    let seconds = seconds
        .as_f64()
        .filter(|seconds| (0.0..1e12).contains(seconds))
        .unwrap_or_default();
    humantime::format_duration(Duration::from_secs(seconds as u64)).to_string()
}

/// What an override does, in a few words.
fn what(one: &Value) -> String {
    let server = text_of(&one["server"]);
    match one["kind"].as_str() {
        Some("out") if one["moves_per_s"].is_number() => {
            format!("out {server}, moving {} a second", one["moves_per_s"])
        }
        Some("weight") => format!("weight {server} x {}", one["factor"]),
        Some("pin") => {
            let (what, name) = if one["group"].is_string() {
                ("group", &one["group"])
            } else {
                ("tenant", &one["tenant"])
            };
            format!(
                "pin {what} {} to {server}, {}",
                text_of(name),
                text_of(&one["mode"])
            )
        }
        _ => format!("out {server}"),
    }
}

/// The effect at each front; one word where all agree.
fn effect(one: &Value) -> String {
    let effects: Vec<(String, String)> = one["effects"]
        .as_object()
        .into_iter()
        .flatten()
        .map(|(front, effect)| (front.clone(), text_of(effect)))
        .collect();
    match effects.as_slice() {
        [] => "-".into(),
        [(_, first), rest @ ..] if rest.iter().all(|(_, effect)| effect == first) => first.clone(),
        all => {
            let words: Vec<String> = all
                .iter()
                .map(|(front, effect)| format!("{front}: {effect}"))
                .collect();
            words.join(", ")
        }
    }
}

/// One override.
pub fn one(one: &Value) -> String {
    let mut table = table(["", ""]);
    for (name, value) in [
        ("override", text_of(&one["id"])),
        ("does", what(one)),
        ("effect", effect(one)),
        ("left", span(&one["remaining_s"])),
        ("expires", text_of(&one["expires_at"])),
        ("since", text_of(&one["created_at"])),
        ("who", text_of(&one["who"])),
        ("why", text_of(&one["why"])),
        ("revision", text_of(&one["revision"])),
        ("forced", text_of(&one["forced"])),
    ] {
        table.add_row([name.to_owned(), value]);
    }
    table.trim_fmt().trim_start().to_owned()
}

/// All overrides, and what has to be said of where they are kept.
pub fn list(answer: &Value) -> String {
    let mut text = String::new();
    for note in answer["notes"].as_array().into_iter().flatten() {
        text.push_str(&format!("note: {}\n", text_of(note)));
    }
    if answer["kept"] != true {
        text.push_str("No overrides are kept here.\n");
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
        text.push_str("No override holds.\n");
        return text;
    }
    let mut table = table(["ID", "DOES", "EFFECT", "LEFT", "WHO", "WHY"]);
    for one in all {
        table.add_row([
            text_of(&one["id"]),
            what(one),
            effect(one),
            span(&one["remaining_s"]),
            text_of(&one["who"]),
            text_of(&one["why"]),
        ]);
    }
    text + &table.trim_fmt()
}

/// The server list.
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
                text_of(&side["state"]),
                side["weight"].as_f64().unwrap_or(0.0)
            )
        };
        let why: Vec<String> = server["why"]
            .as_array()
            .into_iter()
            .flatten()
            .map(text_of)
            .collect();
        table.add_row([
            text_of(&server["front"]),
            text_of(&server["name"]),
            text_of(&server["address"]),
            text_of(&server["zone"]),
            text_of(&server["standing"]),
            side(&server["listed"]),
            side(&server["effective"]),
            why.join("; "),
        ]);
    }
    let warnings = answer["warnings"].as_array().into_iter().flatten();
    let warnings: String = warnings
        .map(|warning| format!("warning: {}\n", text_of(warning)))
        .collect();
    warnings + &fleet(&answer["fleet"]) + &table.trim_fmt()
}

/// A line on the fleet, where one is set up.
fn fleet(fleet: &Value) -> String {
    if fleet.is_null() {
        return String::new();
    }
    let remembers = match fleet["placements"].as_u64() {
        Some(count) => format!(
            ", {count} clients remembered under version {}",
            text_of(&fleet["version"])
        ),
        None => String::new(),
    };
    let uplink = match fleet["uplink"].as_str() {
        Some(words) => format!(", {words}"),
        None => String::new(),
    };
    let deferred = match fleet["deferred"].as_u64() {
        Some(count) if count > 0 => {
            format!(", {count} times a client was told to come in its turn")
        }
        _ => String::new(),
    };
    let kept = if fleet["kept"] == true {
        ""
    } else {
        ", nothing kept on disk"
    };
    format!(
        "fleet: {} of site {} (boot {}), {} of {} processes, {}{deferred}{uplink}{remembers}{kept}\n",
        text_of(&fleet["name"]),
        text_of(&fleet["site"]),
        fleet["boot"],
        fleet["processes"],
        fleet["size"],
        text_of(&fleet["recovery"]),
    )
}

/// Who waits in the admission queue, and what each account got.
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
            "{}: {} of {} wait, {bytes:.0} of {:.0} KiB\n",
            text_of(&front["front"]),
            text_of(&front["waiting"]),
            text_of(&limits["entries"]),
            limits["bytes"].as_f64().unwrap_or_default() / 1024.0,
        ));
        for account in front["accounts"].as_array().into_iter().flatten() {
            let number = |name: &str| account[name].as_f64().unwrap_or_default();
            table.add_row([
                text_of(&front["front"]),
                text_of(&account["account"]),
                format!("{:.1}%", number("due") * 100.0),
                format!("{:.1}", number("per_second")),
                text_of(&account["waiting"]),
                text_of(&account["asked"]),
                text_of(&account["admitted"]),
                text_of(&account["lent"]),
                text_of(&account["refused"]),
                text_of(&account["given_up"]),
                text_of(&account["left"]),
                format!("{} ms", text_of(&account["wait_p50_ms"])),
                format!("{} ms", text_of(&account["wait_p99_ms"])),
            ]);
        }
    }
    text + &table.trim_fmt()
}
