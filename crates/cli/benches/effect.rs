//! How long a change of overrides takes, from the request to its effect: durable, followed by the core, and no first
//! byte on its way to the server. `cargo bench -p beaconflow-cli --bench effect`

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use hdrhistogram::Histogram;
use support::{ADMIN_TOKEN, Api, Program, SETTINGS, endpoint_list, listener, reserve_address};

const CHANGES: u64 = 1_000;

fn main() {
    // Cargo also starts benchmarks as tests; this one takes too long for that.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    let folder = tempfile::tempdir().expect("a folder for temporary files");
    let (at, admin, server) = (
        reserve_address(),
        reserve_address(),
        listener().local_addr().expect("bound"),
    );
    let config = folder.path().join("config.json");
    let names: Vec<String> = (0..100).map(|number| format!("s{number}")).collect();
    let rows: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), server, "SERVING"))
        .collect();
    let text = support::platform_config(
        at,
        reserve_address(),
        &endpoint_list(1, true, &rows),
        SETTINGS,
        256,
    );
    std::fs::write(&config, text).expect("room");
    let operator = folder.path().join("operator.toml");
    let store = folder.path().join("overrides.redb");
    let text = format!(
        "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[overrides]\nfile = {store:?}\nramp_s = 0\n"
    );
    std::fs::write(&operator, text).expect("room");
    let path = |path: &std::path::Path| path.to_str().expect("text").to_owned();
    let program = Program::start(
        &["--operator", &path(&operator)],
        &[("LB_CONFIG", &path(&config))],
    );
    program.wait_for_log("administration API serves");
    let api = Api {
        address: admin,
        token: ADMIN_TOKEN,
    };
    let mut adds = Histogram::<u64>::new(3).expect("three digits");
    let mut removes = adds.clone();
    for number in 0..CHANGES {
        let body = format!(
            r#"{{"kind":"out","server":"s{}","who":"bench","why":"bench","expires_in_s":600}}"#,
            number % 100
        );
        let begun = Instant::now();
        let id = api.add_override(&body);
        adds.record(begun.elapsed().as_micros() as u64)
            .expect("in range");
        let begun = Instant::now();
        assert_eq!(
            api.call("DELETE", &format!("/v1/overrides/{id}"), "")
                .status,
            200
        );
        removes
            .record(begun.elapsed().as_micros() as u64)
            .expect("in range");
    }
    println!(
        "{CHANGES} changes one after the other, 100 servers, microseconds from the request to its answer"
    );
    for (name, times) in [("POST", adds), ("DELETE", removes)] {
        let [half, most] = [0.5, 0.99].map(|part| times.value_at_quantile(part));
        println!(
            "{name:7} p50 {half:6}  p99 {most:6}  longest {}",
            times.max()
        );
    }
}
