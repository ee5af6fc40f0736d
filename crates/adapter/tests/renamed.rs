//! The same story under other names, and with lists in another order where order has no meaning: the same decisions.

use std::io::Write;
use std::process::{Command, Stdio};

use serde_json::{Value, json};

const MS: u64 = 1_000_000;
const SERVERS: [&str; 5] = ["SERVER-A", "SERVER-B", "SERVER-C", "SERVER-D", "SERVER-E"];
/// Steps of the story.
const STEPS: u64 = 100;

/// A telling of the story: the name of each thing, and the places of classes, tenants and zones.
struct Telling {
    name: fn(&str) -> String,
    classes: [usize; 3],
    tenants: [usize; 2],
    zones: [usize; 3],
}

impl Telling {
    /// A list in this telling's order.
    fn ordered<const N: usize>(rows: [Value; N], places: [usize; N]) -> Value {
        let mut list = vec![Value::Null; N];
        for (row, place) in rows.into_iter().zip(places) {
            list[place] = row;
        }
        list.into()
    }

    fn setup(&self) -> Value {
        let name = self.name;
        let lane = |class: &str, on_time: u64, effect: &str, value: f64| {
            json!({"name": name(class), "on-time-ns": on_time * MS, "hard-limit-ns": on_time * 6 * MS,
                   "effect": effect, "dedup-scope": "zone", "repeat-window-ns": 900 * MS, "value": value})
        };
        let lanes = [
            lane("CLASS-A", 300, "retryable", 1.0),
            lane("CLASS-B", 500, "fragile", 5.0),
            lane("CLASS-C", 400, "dedup", 2.0),
        ];
        let aims = [json!(80 * MS), json!(120 * MS), Value::Null];
        let tenants = [
            json!({"name": name("TENANT-A"), "share": 0.6}),
            json!({"name": name("TENANT-B"), "share": 0.4}),
        ];
        let zones = ["ZONE-A", "ZONE-B", "ZONE-C"].map(|zone| json!(name(zone)));
        json!({
            "balancers": 3, "rank": 1, "discovery": "automatic",
            "zones": Telling::ordered(zones, self.zones), "zone": self.zones[1],
            "lanes": Telling::ordered(lanes, self.classes), "projects": Telling::ordered(tenants, self.tenants),
            "family-info": {"message-aim-ns": Telling::ordered(aims, self.classes)},
            "policy-limits": {"max-attempts": 3, "retry-after": true, "max-retry-after-ns": 1_000 * MS,
                              "connect-timeout-ns": 100 * MS},
            "prices": {"cross-zone": 0.009},
            "rules": {"cold-share": 0.3, "cold-ns": 8_000 * MS, "tip-multiple": 3.0, "fall-ns": 2_000 * MS},
        })
    }

    fn list(&self, drained: usize) -> Value {
        let row = |(at, server): (usize, &&str)| {
            json!({"server": (self.name)(server), "region-part": self.zones[at % 3], "block": at / 2, "share": 1.0,
                   "availability": if at < drained { "leaving" } else { "on" }})
        };
        SERVERS.iter().enumerate().map(row).collect()
    }

    fn ask(&self, step: u64) -> Value {
        let step_at = |count: u64| (step % count) as usize;
        json!({"what": "ASK", "req": step, "give-up-at-ns": step * 20 * MS + 1_800 * MS,
               "grade": self.classes[step_at(3)], "client-group": self.tenants[step_at(2)],
               "resource": format!("client {}", step % 7)})
    }

    /// What becomes of an attempt.
    fn result(&self, step: u64, send_no: u64) -> Value {
        let (server, elapsed) = ((self.name)(SERVERS[0]), 7 * MS);
        // Some are turned away again and again.
        let by_turns = [1, 3, 6, 5, 4][((step + send_no) % 5) as usize];
        let status = if step.is_multiple_of(6) { 3 } else { by_turns };
        if status == 1 {
            return json!({"what": "ACK_FIRST", "req": step, "send-no": send_no, "server": server, "elapsed-ns": elapsed});
        }
        json!({"what": "RESULT", "req": step, "send-no": send_no, "server": server, "status": status,
               "elapsed-ns": elapsed})
    }

    fn story(&self) -> String {
        let hit = |mark: u64| json!({"what": "DEADLINE_HIT", "mark": mark});
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
            let timers = [step, step * 2 / 3].map(hit);
            let mut events = vec![
                self.ask(step),
                timers[0].clone(),
                self.result(step, 0),
                timers[1].clone(),
            ];
            // Repeats end a step later; what is said of those that are not out means nothing.
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

    /// What the adapter decides, in the first telling's names.
    fn decisions(&self) -> String {
        let decided = decides(self.story());
        let names = SERVERS.iter().chain(&["BALANCER"]);
        names.fold(decided, |text, name| {
            text.replace(
                &format!("\"{}\"", (self.name)(name)),
                &format!("\"{name}\""),
            )
        })
    }
}

/// What the adapter decides in a story.
fn decides(story: String) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beaconflow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    let writes = std::thread::spawn(move || stdin.write_all(story.as_bytes()));
    let output = child.wait_with_output().expect("the adapter ends");
    writes.join().expect("no panic").expect("all is read");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("UTF-8")
}

const PLAIN: Telling = Telling {
    name: |name| name.to_owned(),
    classes: [0, 1, 2],
    tenants: [0, 1],
    zones: [0, 1, 2],
};

#[test]
fn the_story_has_attempts_answers_and_delays_in_it() {
    let decisions = PLAIN.decisions();
    for (what, least) in [
        ("CALL_OUT", 60),
        ("DECLINE", 1),
        ("REPORT_FAILURE", 5),
        ("SLEEP", 20),
    ] {
        let count = decisions.matches(&format!("\"{what}\"")).count();
        assert!(count >= least, "{count} of {what} in\n{decisions}");
    }
    assert!(
        SERVERS.iter().all(|server| decisions.contains(server)),
        "{decisions}"
    );
}

#[test]
fn other_names_make_no_other_decisions() {
    let names: [fn(&str) -> String; 3] = [
        |name| name.chars().rev().collect(),
        |name| format!("retryable {name} on"),
        |name| {
            format!(
                "{:016x}",
                name.bytes()
                    .fold(7_u64, |hash, byte| hash.wrapping_mul(31) ^ u64::from(byte))
            )
        },
    ];
    let plain = PLAIN.decisions();
    for name in names {
        assert_eq!(Telling { name, ..PLAIN }.decisions(), plain);
    }
}

#[test]
fn classes_tenants_and_zones_in_another_order_make_no_other_decisions() {
    let plain = PLAIN.decisions();
    for classes in [[2, 0, 1], [1, 2, 0], [2, 1, 0]] {
        for (tenants, zones) in [
            ([1, 0], [0, 1, 2]),
            ([0, 1], [2, 0, 1]),
            ([1, 0], [1, 2, 0]),
        ] {
            let telling = Telling {
                classes,
                tenants,
                zones,
                ..PLAIN
            };
            assert_eq!(
                telling.decisions(),
                plain,
                "{classes:?} {tenants:?} {zones:?}"
            );
        }
    }
}

#[test]
fn another_effect_or_zone_makes_other_decisions() {
    // Guards against a story so poor that it would be the same under any settings.
    let plain = PLAIN.decisions();
    assert_ne!(
        decides(PLAIN.story().replace("\"fragile\"", "\"retryable\"")),
        plain
    );
    assert_ne!(
        decides(PLAIN.story().replace("\"zone\":1", "\"zone\":2")),
        plain
    );
}
