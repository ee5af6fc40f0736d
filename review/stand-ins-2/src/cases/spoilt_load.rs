//! One server sends one spoilt line, `LOAD nan`, on one connection. `LOAD_VALUE` names another value.

use std::fs;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::platform::{self, Answer, Server};
use crate::program::{Balancer, Folder, free_address};
use crate::record::Record;

const SERVERS: usize = 9;
/// New connections a second: the share of one of three balancers of 17 a second.
const RATE: f64 = 17.0 / 3.0;
const RUN: Duration = Duration::from_secs(45);
const TROUBLE_AT: Duration = Duration::from_secs(10);
/// A connection lives so long.
const LIFE: Duration = Duration::from_secs(27);
/// `hard-limit-ns` of the class.
const CLIENT_TIME: Duration = Duration::from_millis(4_800);

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let value = std::env::var("LOAD_VALUE").unwrap_or_else(|_| "nan".into());
    let text = |error: std::io::Error| error.to_string();
    let folder = Folder::create("spoilt-load").map_err(text)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(Server::start(&format!("gateway-{number}")).map_err(text)?);
    }
    let discovery = platform::start_discovery(&servers).map_err(text)?;
    let listen = free_address().map_err(text)?;
    let config = platform::config(listen, discovery, &platform::list(&servers));
    let path = folder.0.join("config.json");
    fs::write(&path, config).map_err(text)?;
    let path = path.display().to_string();
    let mut balancer = Balancer::start(
        "",
        &[("LB_CONFIG", path.as_str())],
        &folder.0.join("balancer.log"),
    )
    .map_err(text)?;
    balancer.wait_for(listen)?;
    record.line(&format!("balancer started, process {}", balancer.id()));
    std::thread::sleep(Duration::from_millis(500));

    let results: Arc<Mutex<Vec<(Duration, Answer, Duration)>>> = Arc::default();
    let started_at = Instant::now();
    let (mut number, mut is_spoilt) = (0_u32, false);
    let mut opened_before = 0;
    while started_at.elapsed() < RUN {
        if !is_spoilt && started_at.elapsed() >= TROUBLE_AT {
            is_spoilt = true;
            opened_before = servers.iter().map(Server::opened).sum();
            if trouble {
                let line = format!("LOAD {value}\r\n");
                if !servers.iter().any(|server| server.send_once(&line)) {
                    return Err("no server held a connection".into());
                }
                record.line(&format!(
                    "one server sent one line LOAD {value} on one connection"
                ));
            } else {
                servers
                    .iter()
                    .any(|server| server.send_once("LOAD 13000\r\n"));
            }
        }
        let line = format!(
            "OPEN {:016x} {:016x} c=telemetry,t=acme,d={},g={:016x}\r\n",
            number + 1,
            u64::from(number) * 7919 + 13,
            CLIENT_TIME.as_millis(),
            u64::from(number) * 104_729 + 7
        );
        let results = Arc::clone(&results);
        std::thread::spawn(move || {
            let asked_at = started_at.elapsed();
            let (answer, took, connection) =
                platform::open(listen, &line, CLIENT_TIME + Duration::from_secs(2));
            let result = (asked_at, answer, took);
            results.lock().expect("the results' lock").push(result);
            if let Some(mut connection) = connection {
                live(&mut connection);
            }
        });
        number += 1;
        std::thread::sleep(Duration::from_secs_f64(1.0 / RATE));
    }
    std::thread::sleep(Duration::from_secs(1));
    let results = results.lock().expect("the results' lock").clone();
    let mut counts = [[0_usize; 3]; 2];
    for (asked_at, answer, took) in &results {
        record.line(&format!(
            "request at {:.3} s: {answer:?} after {:.3} s",
            asked_at.as_secs_f64(),
            took.as_secs_f64()
        ));
        let kind = match answer {
            Answer::Up => 0,
            Answer::Busy(_) => 1,
            Answer::Failed(_) | Answer::None(_) => 2,
        };
        counts[usize::from(*asked_at > TROUBLE_AT + Duration::from_millis(200))][kind] += 1;
    }
    let [before, after] = counts;
    let opened: usize = servers.iter().map(Server::opened).sum();
    record.line(&format!(
        "first {} s: {} up, {} refused, {} failed; after them: {} up, {} refused, {} failed; {} attempts reached servers",
        TROUBLE_AT.as_secs(),
        before[0], before[1], before[2], after[0], after[1], after[2],
        opened - opened_before
    ));
    for line in balancer.log_text().lines().rev().take(12) {
        record.line(&format!("log: {line}"));
    }
    record.line(&format!("PING is answered {}", platform::ping(listen)));
    let all: usize = before.iter().chain(&after).sum();
    let served = before[0] + after[0];
    record.line(&format!(
        "{served} of {all} requests were served by {SERVERS} idle servers"
    ));
    // The gate: at least half over the whole day, and a fifth in each third of it.
    let after_all: usize = after.iter().sum();
    Ok(2 * served >= all && 5 * after[0] >= after_all)
}

/// Sends a line every 2 s for the life of the connection.
fn live(connection: &mut std::io::BufReader<TcpStream>) {
    let opened_at = Instant::now();
    while opened_at.elapsed() < LIFE {
        std::thread::sleep(Duration::from_secs(2));
        if connection.get_mut().write_all(b"reading 2100\r\n").is_err() {
            return;
        }
        let mut line = String::new();
        while !line.starts_with("OK") {
            line.clear();
            match connection.read_line(&mut line) {
                Ok(count) if count > 0 && !line.starts_with("MOVE") => {}
                _ => return,
            }
        }
    }
}
