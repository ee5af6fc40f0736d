//! A scenario on the simulator's wire that leads to attempts, answers and timers of all kinds.

use std::io::Write;
use std::process::{Command, Stdio};

use serde_json::{Value, json};

pub const MS: u64 = 1_000_000;
pub const SERVERS: [&str; 5] = ["SERVER-A", "SERVER-B", "SERVER-C", "SERVER-D", "SERVER-E"];
/// Steps of the scenario.
const STEPS: u64 = 100;

/// A variant of the scenario: the names, and the positions of classes, tenants and zones.
pub struct Variant {
    pub name: fn(&str) -> String,
    pub classes: [usize; 3],
    pub tenants: [usize; 2],
    pub zones: [usize; 3],
}

impl Variant {
    /// Moves each item to its position.
    fn ordered<const N: usize>(items: [Value; N], positions: [usize; N]) -> Value {
        let mut list = vec![Value::Null; N];
        for (item, position) in items.into_iter().zip(positions) {
            list[position] = item;
        }
        list.into()
    }

    fn setup(&self) -> Value {
        let name = self.name;
        let class = |class_name: &str, on_time: u64, effect: &str, value: f64| {
            json!({"name": name(class_name), "on-time-ns": on_time * MS, "hard-limit-ns": on_time * 6 * MS,
                   "effect": effect, "dedup-scope": "zone", "repeat-window-ns": 900 * MS, "value": value})
        };
        let classes = [
            class("CLASS-A", 300, "retryable", 1.0),
            class("CLASS-B", 500, "fragile", 5.0),
            class("CLASS-C", 400, "dedup", 2.0),
        ];
        let message_objectives = [json!(80 * MS), json!(120 * MS), Value::Null];
        let tenants = [
            json!({"name": name("TENANT-A"), "share": 0.6}),
            json!({"name": name("TENANT-B"), "share": 0.4}),
        ];
        let zones = ["ZONE-A", "ZONE-B", "ZONE-C"].map(|zone| json!(name(zone)));
        json!({
            "balancers": 3, "rank": 1, "discovery": "automatic",
            "zones": Variant::ordered(zones, self.zones), "zone": self.zones[1],
            "lanes": Variant::ordered(classes, self.classes), "projects": Variant::ordered(tenants, self.tenants),
            "family-info": {"message-aim-ns": Variant::ordered(message_objectives, self.classes)},
            "policy-limits": {"max-attempts": 3, "retry-after": true, "max-retry-after-ns": 1_000 * MS,
                              "connect-timeout-ns": 100 * MS},
            "prices": {"cross-zone": 0.009},
            "rules": {"cold-share": 0.3, "cold-ns": 8_000 * MS, "tip-multiple": 3.0, "fall-ns": 2_000 * MS},
        })
    }

    fn list(&self, drained: usize) -> Value {
        let item = |(index, server): (usize, &&str)| {
            json!({"server": (self.name)(server), "region-part": self.zones[index % 3], "block": index / 2, "share": 1.0,
                   "availability": if index < drained { "leaving" } else { "on" }})
        };
        SERVERS.iter().enumerate().map(item).collect()
    }

    fn ask(&self, step: u64) -> Value {
        let step_modulo = |count: u64| (step % count) as usize;
        json!({"what": "ASK", "req": step, "give-up-at-ns": step * 20 * MS + 1_800 * MS,
               "grade": self.classes[step_modulo(3)], "client-group": self.tenants[step_modulo(2)],
               "resource": format!("client {}", step % 7)})
    }

    /// The outcome of an attempt.
    fn result(&self, step: u64, send_no: u64) -> Value {
        let (server, elapsed) = ((self.name)(SERVERS[0]), 7 * MS);
        // All attempts of some requests are rejected.
        let cyclic_status = [1, 3, 6, 5, 4][((step + send_no) % 5) as usize];
        let status = if step.is_multiple_of(6) {
            3
        } else {
            cyclic_status
        };
        if status == 1 {
            return json!({"what": "ACK_FIRST", "req": step, "send-no": send_no, "server": server, "elapsed-ns": elapsed});
        }
        json!({"what": "RESULT", "req": step, "send-no": send_no, "server": server, "status": status,
               "elapsed-ns": elapsed})
    }

    pub fn transcript(&self) -> String {
        let timer_fired = |mark: u64| json!({"what": "DEADLINE_HIT", "mark": mark});
        let id = (self.name)("BALANCER");
        let mut lines = vec![
            json!({"what": "TICK", "time-ns": 5}),
            json!({"what": "POWER_ON", "balancer-id": id, "nonce64": 9, "setup": self.setup()}),
            json!({"what": "TABLE", "list": 3, "items": self.list(0)}),
            json!({"what": "ANNOUNCE", "balancer-id": id, "mode": "cached", "revision": 1, "list": 3}),
            json!({"what": "FLUSH"}),
        ];
        for step in 1..STEPS {
            lines.push(json!({"what": "TICK", "time-ns": step * 20 * MS}));
            let timers = [step, step * 2 / 3].map(timer_fired);
            let mut events = vec![
                self.ask(step),
                timers[0].clone(),
                self.result(step, 0),
                timers[1].clone(),
            ];
            // Retries end in later steps; results of attempts that are not in flight are ignored.
            let earlier = step.saturating_sub(90)..step;
            events.extend(
                earlier.flat_map(|request| [1, 2].map(|send_no| self.result(request, send_no))),
            );
            for mut event in events {
                event["balancer-id"] = json!(id);
                lines.push(event);
            }
            lines.push(json!({"what": "FLUSH"}));
        }
        lines.iter().map(|line| format!("{line}\n")).collect()
    }

    /// Output of the adapter for this variant, with the names of [`PLAIN`].
    pub fn decisions(&self) -> String {
        let decisions = run_adapter(self.transcript());
        let names = SERVERS.iter().chain(&["BALANCER"]);
        names.fold(decisions, |text, name| {
            text.replace(
                &format!("\"{}\"", (self.name)(name)),
                &format!("\"{name}\""),
            )
        })
    }
}

/// Output of the adapter for a transcript.
pub fn run_adapter(transcript: String) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beaconflow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    let writer = std::thread::spawn(move || stdin.write_all(transcript.as_bytes()));
    let output = child.wait_with_output().expect("the adapter ends");
    writer
        .join()
        .expect("the writer does not panic")
        .expect("the adapter reads all input");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}

pub const PLAIN: Variant = Variant {
    name: |name| name.to_owned(),
    classes: [0, 1, 2],
    tenants: [0, 1],
    zones: [0, 1, 2],
};
