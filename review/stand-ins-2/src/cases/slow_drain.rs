//! A balancer is drained and taken back; five of eleven servers are slow meanwhile.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Api;
use crate::platform::{self, Answer, Server};
use crate::program::{Balancer, Folder, free_address};
use crate::record::Record;

const SERVERS: usize = 11;
const SLOW_SERVERS: usize = 5;
const CLIENTS: usize = 370;
/// A message is wanted within 50 ms. A machine of which 69% is taken needs 3.25 times as long.
const SOUND_LINE: Duration = Duration::from_millis(20);
const SLOW_LINE: Duration = Duration::from_millis(65);
const SLOW_FOR: Duration = Duration::from_secs(11);
const CLIENT_TIME: Duration = Duration::from_millis(4_800);
/// New connections a second: the share of one of three balancers of 17 a second.
const RATE: f64 = 17.0 / 3.0;
/// How long clients come after the balancer was taken back.
const WATCHED: Duration = Duration::from_secs(20);

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let folder = Folder::create("slow-drain").map_err(text)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = Server::start(&format!("gateway-{number}")).map_err(text)?;
        server.set_line_time(SOUND_LINE);
        servers.push(server);
    }
    let discovery = platform::start_discovery(&servers).map_err(text)?;
    let (listen, admin) = (free_address().map_err(text)?, free_address().map_err(text)?);
    let path = folder.0.join("config.json");
    let config = platform::config(listen, discovery, &platform::list(&servers)).replacen(
        '{',
        &format!(r#"{{"admin_addr":"{admin}","#),
        1,
    );
    fs::write(&path, config).map_err(text)?;
    let path = path.display().to_string();
    let log = folder.0.join("balancer.log");
    let mut balancer = Balancer::start("", &[("LB_CONFIG", path.as_str())], &log).map_err(text)?;
    balancer.wait_for(listen)?;
    balancer.wait_for(admin)?;
    record.line(&format!("balancer started, process {}", balancer.id()));
    std::thread::sleep(Duration::from_millis(500));
    let api = Api { address: admin };

    for number in 0..CLIENTS {
        let line = open_line(number);
        let (answer, _, connection) = platform::open(listen, &line, CLIENT_TIME);
        let Some(connection) = connection else {
            return Err(format!(
                "client {number} was not served at first: {answer:?}"
            ));
        };
        std::thread::spawn(move || live(connection, number));
        std::thread::sleep(Duration::from_millis(12));
    }
    std::thread::sleep(Duration::from_secs(3));
    let slow = &servers[..SLOW_SERVERS];
    if trouble {
        slow.iter()
            .for_each(|server| server.set_line_time(SLOW_LINE));
        record.line("five of eleven servers take 65 ms for a line from now on, for 11 s");
    }
    let slow_since = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    let call = |method: &str, path: &str| {
        let (status, body) = api.call(method, path, "")?;
        record.line(&format!("{method} {path} -> {status} {body}"));
        Ok::<(u16, String), String>((status, body))
    };
    call("POST", "/standby")?;
    let drained_by = Instant::now() + Duration::from_secs(4);
    loop {
        std::thread::sleep(Duration::from_millis(300));
        let (_, body) = call("GET", "/status")?;
        if body.contains("\"connections\":0") || Instant::now() > drained_by {
            break;
        }
    }
    std::thread::sleep(SLOW_FOR.saturating_sub(slow_since.elapsed()));
    slow.iter()
        .for_each(|server| server.set_line_time(SOUND_LINE));
    record.line("all servers are sound again");
    std::thread::sleep(Duration::from_secs(3));
    let (status, _) = call("POST", "/active")?;
    if status != 200 {
        return Err("the balancer was not taken back".into());
    }
    std::thread::sleep(Duration::from_secs(2));
    record.line(&format!("PING is answered {}", platform::ping(listen)));

    let opened_before: usize = servers.iter().map(Server::opened).sum();
    let results: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let started_at = Instant::now();
    let mut number = CLIENTS;
    while started_at.elapsed() < WATCHED {
        let (line, results) = (open_line(number), Arc::clone(&results));
        std::thread::spawn(move || {
            let (answer, _, connection) =
                platform::open(listen, &line, CLIENT_TIME + Duration::from_secs(2));
            results.lock().expect("the results' lock").push(answer);
            if let Some(connection) = connection {
                live(connection, number);
            }
        });
        number += 1;
        std::thread::sleep(Duration::from_secs_f64(1.0 / RATE));
    }
    std::thread::sleep(CLIENT_TIME + Duration::from_millis(700));
    let results = results.lock().expect("the results' lock").clone();
    let served = results
        .iter()
        .filter(|answer| **answer == Answer::Up)
        .count();
    let refused = results
        .iter()
        .filter(|answer| matches!(answer, Answer::Busy(_)))
        .count();
    let opened: usize = servers.iter().map(Server::opened).sum();
    for line in balancer.log_text().lines().rev().take(3) {
        record.line(&format!("log: {line}"));
    }
    let sound = servers
        .iter()
        .filter(|server| answers(server.address))
        .count();
    record.line(&format!(
        "after it was taken back: {served} of {} requests served, {refused} refused, {} attempts reached servers; {sound} of {SERVERS} servers answer when asked directly",
        results.len(),
        opened - opened_before
    ));
    if sound < SERVERS {
        return Err("a stand-in server does not answer".into());
    }
    Ok(served > 0)
}

fn open_line(number: usize) -> String {
    format!(
        "OPEN {:016x} {:016x} c=telemetry,t=acme,d={},g={:016x}\r\n",
        number + 1,
        number * 7919 + 13,
        CLIENT_TIME.as_millis(),
        number * 104_729 + 7
    )
}

/// Whether a server serves who comes to it directly.
fn answers(address: SocketAddr) -> bool {
    platform::open(address, &open_line(999_999), Duration::from_secs(2)).0 == Answer::Up
}

/// Sends a line every 2 s until the connection is moved or ends.
fn live(mut connection: BufReader<TcpStream>, number: usize) {
    std::thread::sleep(Duration::from_millis((number as u64 * 137) % 2_000));
    let _ = connection
        .get_ref()
        .set_read_timeout(Some(Duration::from_secs(20)));
    loop {
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
        std::thread::sleep(Duration::from_secs(2));
    }
}
