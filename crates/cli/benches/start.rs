//! Cost of a start with discovery on loopback: time until it serves and until it has the list, memory, threads and
//! descriptors. Run with `cargo bench -p beaconflow-cli --bench start`; `PROGRAM=path` measures another build in
//! alternation.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Instant;

use support::{
    Discovery, SETTINGS, endpoint_list, platform_config, reserve_address, send_endpoints,
    write_temp_file,
};

const STARTS: usize = 20;

fn main() {
    // Cargo also runs benchmarks as tests; this one measures the release build.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let own = env!("CARGO_BIN_EXE_beaconflow").to_owned();
    let other_program = std::env::var("PROGRAM").ok();
    let programs: Vec<String> = other_program.into_iter().chain([own]).collect();
    for (kind, settings) in [
        ("asked", SETTINGS.to_owned()),
        ("pushed", SETTINGS.replace("subscribe", "automatic")),
    ] {
        let mut all = vec![Vec::new(); programs.len()];
        for _ in 0..STARTS {
            for (program, figures) in programs.iter().zip(&mut all) {
                figures.push(start(program, &settings));
            }
        }
        for (program, figures) in programs.iter().zip(&all) {
            let size = std::fs::metadata(program)
                .expect("the program exists")
                .len();
            println!("{kind} {program}: {size} bytes");
            let names = [
                "serves, ms",
                "has the list, ms",
                "memory, KiB",
                "peak, KiB",
                "threads",
                "descriptors",
            ];
            for (at, name) in names.iter().enumerate() {
                let mut column: Vec<f64> = figures.iter().map(|run| run[at]).collect();
                column.sort_by(f64::total_cmp);
                let [minimum, median, maximum] = [0, STARTS / 2, STARTS - 1].map(|at| column[at]);
                println!("  {name}: {median:.1} ({minimum:.1} to {maximum:.1})");
            }
        }
    }
}

fn start(program: &str, settings: &str) -> [f64; 6] {
    let (at, discovery) = (reserve_address(), Discovery::start());
    let names: Vec<String> = (0..90).map(|number| format!("s{number}")).collect();
    let server: SocketAddr = reserve_address();
    let rows: Vec<(&str, SocketAddr, &str)> = names
        .iter()
        .map(|name| (name.as_str(), server, "SERVING"))
        .collect();
    let path = write_temp_file(
        "start",
        &platform_config(
            at,
            discovery.address,
            &endpoint_list(1, true, &rows),
            settings,
            1024,
        ),
    );
    let started_at = Instant::now();
    let mut command = Command::new(program);
    command
        .arg("serve")
        .env("LB_CONFIG", &path)
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    let mut lines = BufReader::new(child.stderr.take().expect("standard error is piped")).lines();
    let (mut serves, mut listed) = (None, None);
    let mut watch = discovery.accept_watch();
    send_endpoints(&mut watch, 2, true, &rows);
    while serves.is_none() || listed.is_none() {
        let line = lines
            .next()
            .expect("the log continues")
            .expect("the log is UTF-8");
        let now = started_at.elapsed().as_secs_f64() * 1e3;
        if line.contains("to=serving") {
            serves = Some(now);
        }
        if line.contains("generation=2") {
            listed = Some(now);
        }
    }
    let proc_path = |path: &str| format!("/proc/{}/{path}", child.id());
    let status = std::fs::read_to_string(proc_path("status")).expect("the process is running");
    let figure = |name: &str| {
        let line = status
            .lines()
            .find(|line| line.starts_with(name))
            .expect("field of /proc/PID/status");
        line.split_whitespace()
            .nth(1)
            .and_then(|value| value.parse().ok())
            .expect("the value is a number")
    };
    let descriptors = std::fs::read_dir(proc_path("fd"))
        .expect("the process is running")
        .count();
    let figures = [
        serves.unwrap_or(0.0),
        listed.unwrap_or(0.0),
        figure("VmRSS"),
        figure("VmHWM"),
        figure("Threads"),
        descriptors as f64,
    ];
    child.kill().expect("kill the child process");
    let _ = child.wait();
    figures
}
