//! Stand-ins of the platform: discovery, servers and clients, after PROTOCOL.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server that accepts every connection, tells its load once and answers every line at once; the
/// line `settings N` with N lines of 1 KiB first.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    /// Opening lines that have arrived.
    opened: AtomicUsize,
    /// Time that a line takes, in milliseconds.
    line_ms: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(name: &str) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
            name: name.to_owned(),
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let shared = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(&stream));
            }
        });
        Ok(server)
    }

    /// Number of opening lines that have arrived.
    pub fn opened(&self) -> usize {
        self.state.opened.load(Ordering::SeqCst)
    }

    /// Each line is answered after so long from now on.
    pub fn set_line_time(&self, time: Duration) {
        let millis = usize::try_from(time.as_millis()).unwrap_or(usize::MAX);
        self.state.line_ms.store(millis, Ordering::SeqCst);
    }

    /// Sends a line on the oldest connection that is open; returns whether there was one.
    pub fn send_once(&self, line: &str) -> bool {
        let mut connections = self.state.connections.lock().expect("the server's lock");
        connections
            .iter_mut()
            .any(|connection| connection.write_all(line.as_bytes()).is_ok())
    }

    fn serve(&self, stream: &TcpStream) {
        let mut out = stream;
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(count) if count > 0) {
            return;
        }
        if !line.starts_with("OPEN ") {
            let _ = out.write_all(b"SYNTAX\r\n");
            return;
        }
        let number = self.state.opened.fetch_add(1, Ordering::SeqCst);
        let greeting = format!("UP {}-{number}\r\nLOAD 12000\r\n", self.name);
        if out.write_all(greeting.as_bytes()).is_err() {
            return;
        }
        let id = stream.peer_addr().ok();
        if let Ok(clone) = stream.try_clone() {
            let mut connections = self.state.connections.lock().expect("the server's lock");
            connections.push(clone);
        }
        loop {
            line.clear();
            if !matches!(reader.read_line(&mut line), Ok(count) if count > 0) {
                break;
            }
            let millis = self.state.line_ms.load(Ordering::SeqCst) as u64;
            std::thread::sleep(Duration::from_millis(millis));
            let count = line.strip_prefix("settings ").map(str::trim);
            for number in 0..count.and_then(|count| count.parse().ok()).unwrap_or(0) {
                let setting = format!("{number:06} {}\r\n", "s".repeat(1015));
                if out.write_all(setting.as_bytes()).is_err() {
                    break;
                }
            }
            if out.write_all(b"OK\r\n").is_err() {
                break;
            }
        }
        let mut connections = self.state.connections.lock().expect("the server's lock");
        connections.retain(|connection| connection.peer_addr().ok() != id);
    }
}

/// Starts discovery, which tells these servers and no change; it runs until the process ends.
pub fn start_discovery(servers: &[Server]) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let list = list(servers);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            std::thread::spawn(move || serve_discovery(&stream, &list));
        }
    });
    Ok(address)
}

/// The whole list in discovery's form.
pub fn list(servers: &[Server]) -> String {
    let entries: Vec<String> = servers
        .iter()
        .map(|server| {
            format!(
                r#"{{"instanceId":"{}","hostPort":"{}","zone":"a","machineType":"m","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}"#,
                server.name, server.address
            )
        })
        .collect();
    format!(
        r#"{{"generation":1,"reset":true,"instances":[{}]}}"#,
        entries.join(",")
    )
}

fn serve_discovery(stream: &TcpStream, list: &str) {
    let mut out = stream;
    let mut reader = BufReader::new(stream);
    let mut request = String::new();
    if reader.read_line(&mut request).is_err() {
        return;
    }
    loop {
        let mut header = String::new();
        match reader.read_line(&mut header) {
            Ok(count) if count > 0 && header.trim_end().is_empty() => break,
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
    if !request.contains("watch=1") {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        let _ = out.write_all(format!("{head}{list}").as_bytes());
        return;
    }
    let mut chunk =
        |text: &str| out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    let _ = (&*stream).write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if request.contains("from=0") && chunk(&format!("{list}\n")).is_err() {
        return;
    }
    while chunk("\n").is_ok() {
        std::thread::sleep(Duration::from_secs(2));
    }
}

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Up,
    Busy(String),
    Failed(String),
    None(String),
}

/// Opens a connection and waits for the answer; returns the connection if it is up.
pub fn open(
    address: SocketAddr,
    line: &str,
    wait: Duration,
) -> (Answer, Duration, Option<BufReader<TcpStream>>) {
    let started_at = Instant::now();
    let exchange = || -> std::io::Result<(String, BufReader<TcpStream>)> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        (&stream).write_all(line.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut answer = String::new();
        reader.read_line(&mut answer)?;
        Ok((answer.trim_end().to_owned(), reader))
    };
    let result = exchange();
    let took = started_at.elapsed();
    match result {
        Ok((answer, reader)) if answer.starts_with("UP") => (Answer::Up, took, Some(reader)),
        Ok((answer, _)) if answer.starts_with("BUSY") => (Answer::Busy(answer), took, None),
        Ok((answer, _)) if answer.is_empty() => (Answer::None("closed".into()), took, None),
        Ok((answer, _)) => (Answer::Failed(answer), took, None),
        Err(error) => (Answer::None(error.to_string()), took, None),
    }
}

/// What the front's question is answered.
pub fn ping(address: SocketAddr) -> String {
    match open(address, "PING\r\n", Duration::from_secs(2)).0 {
        Answer::Failed(line) => line,
        other => format!("{other:?}"),
    }
}

/// A configuration like that of a small deployment.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{{"balancers":3,"discovery":"subscribe","zones":["a"],"zone":0,"rank":0,
"family":"conn","family-info":{{"groups":true,"mode":"proxy","message-aim-ns":[50000000],"tells-load":true,"tells-delay":true}},
"projects":[{{"name":"acme","quota-per-s":12.0,"share":1.0}}],
"lanes":[{{"name":"telemetry","on-time-ns":800000000,"hard-limit-ns":4800000000,"effect":"retryable","dedup-scope":"all","repeat-window-ns":5000000000,"streaming":true,"value":1.0}}],
"policy-limits":{{"max-attempts":6,"connect-timeout-ns":200000000,"retry-after":false,"max-retry-after-ns":2000000000,"may-probe":false,"second-copies":false}},
"rules":{{"cold-share":0.13,"cold-ns":23000000000,"tip-multiple":3.0,"fall-ns":1500000000,"ask-within-ns":10000000000,"drain-grace-ns":1000000000,"grace-to-answer-ns":8000000}}}}}}"#
    )
}
