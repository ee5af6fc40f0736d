//! A balancer is drained while clients read a schedule slowly and steadily.

use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::http::Api;
use crate::platform::{self, Server};
use crate::program::{Balancer, Folder, free_address};
use crate::record::Record;

const SERVERS: usize = 6;
const CLIENTS: usize = 6;
const SCHEDULE_LINES: usize = 8_192;
const CLIENT_TIME: Duration = Duration::from_millis(4_800);
/// A slow client reads 5 KiB every 50 ms: 100 KiB/s.
const STEP_BYTES: usize = 5 * 1_024;
const STEP: Duration = Duration::from_millis(50);
/// The call for the drain comes so long after the last client was served.
const BEFORE_DRAIN: Duration = Duration::from_secs(1);
/// A client is watched for so long.
const WATCHED: Duration = Duration::from_secs(80);

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let folder = Folder::create("slow-reader").map_err(text)?;
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| Server::start(&format!("gateway-{number}")).map_err(text))
        .collect::<Result<_, _>>()?;
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

    let mut readers = Vec::new();
    for number in 0..CLIENTS {
        let line = open_line(number);
        let (answer, _, connection) = platform::open(listen, &line, CLIENT_TIME);
        let Some(mut connection) = connection else {
            return Err(format!("client {number} was not served: {answer:?}"));
        };
        let request = format!("settings {SCHEDULE_LINES}\r\n");
        connection
            .get_mut()
            .write_all(request.as_bytes())
            .map_err(text)?;
        readers.push(std::thread::spawn(move || read_all(connection, trouble)));
    }
    std::thread::sleep(BEFORE_DRAIN);
    let (status, body) = Api { address: admin }.call("POST", "/standby", "")?;
    record.line(&format!("POST /standby -> {status} {body}"));
    let called_at = Instant::now();
    let mut are_moved = true;
    for (number, reader) in readers.into_iter().enumerate() {
        let (end, count, tail) = reader.join().map_err(|_| "a client's thread panicked")?;
        let is_moved = tail.ends_with("\r\nMOVE\r\n");
        are_moved &= is_moved;
        record.line(&format!(
            "client {number}: {end} after {count} bytes, last bytes {tail:?}, moved: {is_moved}"
        ));
    }
    record.line(&format!(
        "all clients have ended {:.1} s after the call",
        called_at.elapsed().as_secs_f64()
    ));
    for line in balancer
        .log_text()
        .lines()
        .filter(|line| line.contains("connection ended"))
    {
        record.line(&format!("log: {line}"));
    }
    for server in &servers {
        let (answer, _, connection) = platform::open(server.address, &open_line(999), CLIENT_TIME);
        if connection.is_none() {
            return Err(format!("{} does not answer: {answer:?}", server.name));
        }
    }
    Ok(are_moved)
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

/// Reads to the end: how it ended, the number of bytes, and the last ones.
fn read_all(mut connection: BufReader<TcpStream>, is_slow: bool) -> (String, usize, String) {
    let started_at = Instant::now();
    let (mut chunk, mut tail, mut count) = ([0; STEP_BYTES], Vec::new(), 0);
    let _ = connection
        .get_ref()
        .set_read_timeout(Some(Duration::from_secs(10)));
    let end = loop {
        if started_at.elapsed() > WATCHED {
            break "still open".to_owned();
        }
        match connection.read(&mut chunk) {
            Ok(0) => break "the end".to_owned(),
            Ok(read) => {
                count += read;
                tail.extend_from_slice(&chunk[..read]);
                tail.drain(..tail.len().saturating_sub(16));
            }
            Err(error) => break error.to_string(),
        }
        if is_slow {
            std::thread::sleep(STEP);
        }
    };
    (end, count, String::from_utf8_lossy(&tail).into_owned())
}
