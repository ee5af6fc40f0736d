//! Latency of a change of overrides, from the request until it is durable, applied by the core, and no first byte is
//! being written to the server. Run with `cargo bench -p beaconflow-cli --bench effect`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use hdrhistogram::Histogram;
use support::{ADMIN_TOKEN, Api, Program, SETTINGS, endpoint_list, listener, reserve_address};

const CHANGES: u64 = 1_000;

fn main() {
    // Cargo also runs benchmarks as tests; this one takes too long for that.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let (at, admin, server) = (
        reserve_address(),
        reserve_address(),
        listener()
            .local_addr()
            .expect("local address of the listener"),
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
    std::fs::write(&config, text).expect("write the file");
    let operator = folder.path().join("operator.toml");
    let store = folder.path().join("overrides.redb");
    let text = format!(
        "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[overrides]\nfile = {store:?}\nramp_s = 0\n"
    );
    std::fs::write(&operator, text).expect("write the file");
    let path = |path: &std::path::Path| path.to_str().expect("path is UTF-8").to_owned();
    let program = Program::start(
        &["--operator", &path(&operator)],
        &[("LB_CONFIG", &path(&config))],
    );
    program.wait_for_log("administration API serves");
    let api = Api {
        address: admin,
        token: ADMIN_TOKEN,
    };
    let mut add_latencies = Histogram::<u64>::new(3).expect("valid histogram precision");
    let mut remove_latencies = add_latencies.clone();
    for number in 0..CHANGES {
        let body = format!(
            r#"{{"kind":"out","server":"s{}","who":"bench","why":"bench","expires_in_s":600}}"#,
            number % 100
        );
        let started_at = Instant::now();
        let id = api.add_override(&body);
        add_latencies
            .record(started_at.elapsed().as_micros() as u64)
            .expect("latency within the histogram's range");
        let started_at = Instant::now();
        assert_eq!(
            api.call("DELETE", &format!("/v1/overrides/{id}"), "")
                .status,
            200
        );
        remove_latencies
            .record(started_at.elapsed().as_micros() as u64)
            .expect("latency within the histogram's range");
    }
    println!(
        "{CHANGES} sequential changes, 100 servers, microseconds from the request to its response"
    );
    for (name, latencies) in [("POST", add_latencies), ("DELETE", remove_latencies)] {
        let [p50, p99] = [0.5, 0.99].map(|quantile| latencies.value_at_quantile(quantile));
        println!(
            "{name:7} p50 {p50:6}  p99 {p99:6}  longest {}",
            latencies.max()
        );
    }
}
