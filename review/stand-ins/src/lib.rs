//! What the cases of the review share: the record, the program under test, and small stand-ins for Redis and for NATS
//! servers and clients. Standard library alone.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The token of the administration API.
pub const TOKEN: &str = "review-token-0123456789";
/// The password of every tenant.
pub const PASSWORD: &str = "a password of the review";

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the disruption is played (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    listener.local_addr().expect("a bound address")
}

/// `record.txt`: each line begins with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// The record of `review/NAME`.
    pub fn create(name: &str) -> Record {
        let folder = Path::new("review").join(name);
        std::fs::create_dir_all(&folder).expect("a folder for the record");
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_millis();
        let _ = writeln!(lock(&self.file), "{at:>7} ms  {}", text.as_ref().trim_end());
    }
}

/// The end of a case: 0 the rule held, 1 it was broken, 2 the case could not run.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// The processes and the folder of a case; both are gone when it ends.
pub struct Stage {
    pub record: Record,
    pub folder: PathBuf,
    children: Arc<Mutex<Vec<(String, Child)>>>,
}

impl Stage {
    /// A case in the folder `review/NAME`, which ends after `limit` at the latest.
    pub fn open(name: &str, limit: Duration) -> Stage {
        let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let stage = Stage {
            record: Record::create(name),
            folder,
            children: Arc::default(),
        };
        let (record, children, folder) = (
            stage.record.clone(),
            Arc::clone(&stage.children),
            stage.folder.clone(),
        );
        std::thread::spawn(move || {
            sleep(limit);
            record.line("COULD NOT RUN: the case took too long");
            println!("COULD NOT RUN: the case took too long");
            end_all(&children);
            let _ = std::fs::remove_dir_all(folder);
            std::process::exit(2);
        });
        stage
    }

    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("a file in the temporary folder");
        path.to_string_lossy().into_owned()
    }

    /// Starts the program by the deploy file's command with further arguments; its log goes to a file.
    pub fn start_program(&self, name: &str, arguments: &str, environment: &[(&str, &str)]) {
        let log = File::create(self.log_path(name)).expect("a log file");
        let command = format!("exec target/release/beaconflow serve {arguments}");
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record.line(format!("{name}: started, `{command}`"));
        lock(&self.children).push((name.to_owned(), child));
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    pub fn log_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.log_path(name)).unwrap_or_default()
    }

    /// Waits for a text in the program's log.
    pub fn wait_for_log(&self, name: &str, text: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.log_of(name).contains(text) {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        self.record
            .line(format!("{name}: the log never said {text:?}"));
        false
    }

    /// The process id of a program.
    pub fn pid(&self, name: &str) -> Option<u32> {
        lock(&self.children)
            .iter()
            .find(|(child, _)| child == name)
            .map(|(_, child)| child.id())
    }

    /// Whether a program still runs.
    pub fn runs(&self, name: &str) -> bool {
        lock(&self.children)
            .iter_mut()
            .find(|(child, _)| child == name)
            .is_some_and(|(_, child)| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to a program that this case started.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(pid) = self.pid(name) {
            self.record.line(format!("{name}: signal {signal}"));
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -{signal} {pid}")])
                .status();
        }
    }

    /// Writes the programs' logs to the record, ends them and returns the exit code.
    pub fn close(self, verdict: Verdict, why: &str) -> i32 {
        let (code, word) = match verdict {
            Verdict::Held => (0, "HELD"),
            Verdict::Broken => (1, "BROKEN"),
            Verdict::CouldNotRun => (2, "COULD NOT RUN"),
        };
        self.record.line(format!("{word}: {why}"));
        println!("{word}: {why}");
        end_all(&self.children);
        let names: Vec<String> = lock(&self.children)
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let log = self.log_of(&name);
            let lines: Vec<&str> = log.lines().collect();
            self.record.line(format!("log of {name}, its last lines:"));
            for line in &lines[lines.len().saturating_sub(60)..] {
                self.record.line(format!("  | {line}"));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        code
    }
}

fn end_all(children: &Mutex<Vec<(String, Child)>>) {
    for (_, child) in lock(children).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        end_all(&self.children);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One call of the administration API; returns the status.
pub fn call_api(address: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: review\r\nAuthorization: Bearer {TOKEN}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        )?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        Ok(text)
    };
    let text = exchange().unwrap_or_default();
    text.split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0)
}

/// The body that makes a tenant.
pub fn tenant(name: &str, class: &str, connections: usize) -> String {
    format!(
        r#"{{"name":"{name}","password":"{PASSWORD}","class":"{class}","connections":{connections},"upstream":{{"user":"up","password":"up-secret"}}}}"#
    )
}

// ---- Redis ----

/// A Redis of one connection at a time or many, with hashes; each answer to a hash command may be delayed.
#[derive(Clone)]
pub struct Redis {
    pub address: SocketAddr,
    pub delay_ms: Arc<AtomicU64>,
    pub calls: Arc<AtomicUsize>,
}

type Hashes = BTreeMap<String, BTreeMap<String, String>>;

impl Redis {
    pub fn start() -> Redis {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let redis = Redis {
            address: listener.local_addr().expect("a bound address"),
            delay_ms: Arc::default(),
            calls: Arc::default(),
        };
        let (shared, hashes) = (redis.clone(), Arc::new(Mutex::new(Hashes::new())));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, hashes) = (shared.clone(), Arc::clone(&hashes));
                std::thread::spawn(move || shared.serve(&stream, &hashes));
            }
        });
        redis
    }

    fn serve(&self, stream: &TcpStream, hashes: &Mutex<Hashes>) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let (mut reader, mut out) = (BufReader::new(stream), stream);
        loop {
            let arguments = read_command(&mut reader)?;
            let name = arguments.first()?.to_ascii_uppercase();
            let reply = execute(&mut lock(hashes), &name, &arguments[1..]);
            if name.starts_with('H') && name != "HELLO" {
                self.calls.fetch_add(1, Ordering::Relaxed);
                sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
            }
            out.write_all(reply.as_bytes()).ok()?;
        }
    }
}

fn read_command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let count = read_length(reader, '*')?;
    (0..count)
        .map(|_| {
            let mut bytes = vec![0; read_length(reader, '$')? + 2];
            reader.read_exact(&mut bytes).ok()?;
            bytes.truncate(bytes.len() - 2);
            String::from_utf8(bytes).ok()
        })
        .collect()
}

fn read_length(reader: &mut impl BufRead, prefix: char) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.strip_prefix(prefix)?.trim_end().parse().ok()
}

fn execute(hashes: &mut Hashes, name: &str, arguments: &[String]) -> String {
    let bulk = |text: &str| format!("${}\r\n{text}\r\n", text.len());
    match (name, arguments) {
        ("HGET", [hash, field]) => match hashes.get(hash).and_then(|fields| fields.get(field)) {
            Some(value) => bulk(value),
            None => "$-1\r\n".to_owned(),
        },
        ("HSET" | "HSETNX", [hash, field, value]) => {
            let fields = hashes.entry(hash.clone()).or_default();
            let is_new = !fields.contains_key(field);
            if is_new || name == "HSET" {
                fields.insert(field.clone(), value.clone());
            }
            format!(":{}\r\n", u8::from(is_new))
        }
        ("HDEL", [hash, field]) => {
            let removed = hashes.get_mut(hash).and_then(|fields| fields.remove(field));
            format!(":{}\r\n", u8::from(removed.is_some()))
        }
        ("HGETALL", [hash]) => {
            let fields = hashes.get(hash).cloned().unwrap_or_default();
            let rows: String = fields
                .iter()
                .map(|(field, value)| bulk(field) + &bulk(value))
                .collect();
            format!("*{}\r\n{rows}", fields.len() * 2)
        }
        ("CLIENT" | "SELECT", _) => "+OK\r\n".to_owned(),
        ("PING", []) => "+PONG\r\n".to_owned(),
        _ => format!("-ERR unknown command '{name}'\r\n"),
    }
}

// ---- NATS ----

/// A NATS server: INFO, a PONG for each PING, and nothing for a PUB but that its payload is taken.
#[derive(Clone)]
pub struct NatsServer {
    pub name: String,
    pub address: SocketAddr,
    /// CONNECT lines received.
    pub sessions: Arc<AtomicUsize>,
    /// Payloads received whole.
    pub messages: Arc<AtomicUsize>,
    pub is_silent: Arc<AtomicBool>,
}

impl NatsServer {
    pub fn start(name: &str, record: &Record) -> NatsServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let server = NatsServer {
            name: name.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            sessions: Arc::default(),
            messages: Arc::default(),
            is_silent: Arc::default(),
        };
        let (shared, record) = (server.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, record) = (shared.clone(), record.clone());
                std::thread::spawn(move || shared.serve(&stream, &record));
            }
        });
        server
    }

    fn serve(&self, stream: &TcpStream, record: &Record) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let (mut reader, mut out) = (BufReader::new(stream), stream);
        let info = format!(
            "INFO {{\"server_id\":\"{0}\",\"server_name\":\"{0}\",\"version\":\"2.10.0\",\"proto\":1,\"max_payload\":1048576}}\r\n",
            self.name
        );
        out.write_all(info.as_bytes()).ok()?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let verb = line
                .split_whitespace()
                .next()
                .unwrap_or_default()
                .to_ascii_uppercase();
            match verb.as_str() {
                "CONNECT" => {
                    self.sessions.fetch_add(1, Ordering::Relaxed);
                    record.line(format!("{}: CONNECT of {}", self.name, client_name(&line)));
                }
                "PING" if !self.is_silent.load(Ordering::Relaxed) => {
                    out.write_all(b"PONG\r\n").ok()?
                }
                "PUB" => {
                    let size: usize = line.split_whitespace().last()?.parse().ok()?;
                    let mut payload = vec![0; size + 2];
                    reader.read_exact(&mut payload).ok()?;
                    self.messages.fetch_add(1, Ordering::Relaxed);
                }
                _ => {}
            }
        }
    }
}

/// The value of `name` in the options of a CONNECT.
fn client_name(line: &str) -> &str {
    let rest = line.split("\"name\":\"").nth(1).unwrap_or_default();
    rest.split('"').next().unwrap_or_default()
}

/// What a NATS client met.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// PONG: the connection stands.
    Served,
    /// The text of `-ERR`.
    Refused(String),
    /// The connection ended without an answer.
    Ended,
    /// Nothing came in time.
    Nothing,
}

/// Connects a NATS client, sends CONNECT, PING and `more` in one write, and waits for the answer until `wait` after that.
pub fn nats_client(
    address: SocketAddr,
    (tenant, name, password): (&str, &str, &str),
    more: &str,
    wait: Duration,
) -> (Answer, Duration, Option<TcpStream>) {
    let begun_at = Instant::now();
    let Ok(stream) = TcpStream::connect(address) else {
        return (Answer::Ended, begun_at.elapsed(), None);
    };
    let _ = stream.set_nodelay(true);
    let mut lines = Lines {
        stream: &stream,
        bytes: Vec::new(),
    };
    match lines.next(Instant::now() + wait) {
        Some(Some(info)) if info.starts_with("INFO") => {}
        Some(Some(other)) => return (Answer::Refused(other), begun_at.elapsed(), None),
        Some(None) => return (Answer::Ended, begun_at.elapsed(), None),
        None => return (Answer::Nothing, begun_at.elapsed(), None),
    }
    let text = format!(
        "CONNECT {{\"verbose\":false,\"user\":\"{tenant}\",\"pass\":\"{password}\",\"name\":\"{name}\"}}\r\nPING\r\n{more}"
    );
    if (&stream).write_all(text.as_bytes()).is_err() {
        return (Answer::Ended, begun_at.elapsed(), None);
    }
    let sent_at = Instant::now();
    let answer = loop {
        match lines.next(sent_at + wait) {
            Some(Some(line)) if line.starts_with("PONG") => break Answer::Served,
            Some(Some(line)) if line.starts_with("-ERR") => break Answer::Refused(line),
            Some(Some(_)) => {}
            Some(None) => break Answer::Ended,
            None => break Answer::Nothing,
        }
    };
    let took = sent_at.elapsed();
    drop(lines);
    (answer, took, Some(stream))
}

/// Lines of a stream, each waited for until a moment.
pub struct Lines<'a> {
    pub stream: &'a TcpStream,
    pub bytes: Vec<u8>,
}

impl Lines<'_> {
    /// The next line; `Some(None)` at the end of the connection, `None` if the time is up.
    pub fn next(&mut self, until: Instant) -> Option<Option<String>> {
        loop {
            if let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return Some(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Some(None),
                Ok(count) => self.bytes.extend_from_slice(&chunk[..count]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock
                            | std::io::ErrorKind::TimedOut
                            | std::io::ErrorKind::Interrupted
                    ) => {}
                Err(_) => return Some(None),
            }
        }
    }
}

/// An operator's file with a NATS front over these servers, after the sample in `deploy/`.
pub fn nats_file(
    (listen, admin, redis): (SocketAddr, SocketAddr, SocketAddr),
    servers: &[NatsServer],
    folder: &Path,
) -> String {
    let farm: String = servers
        .iter()
        .map(|server| {
            format!(
                "    {{ name = \"{}\", address = \"{}\", zone = \"north\", weight = 1.0 }},\n",
                server.name, server.address
            )
        })
        .collect();
    let overrides = folder.join("overrides.redb");
    format!(
        r#"name = "nats-front"
listen = "{listen}"
sockets = 4096

[wire]
max_payload = 1048576
most_early = 65536
connect_wait_ms = 2000
ping_after_ms = 2000
silence_ms = 3000
store_retry_ms = 1000

[store]
url = "redis://{redis}/0"
fresh_ms = 5000

[admin]
listen = "{admin}"
token = "{TOKEN}"

[overrides]
file = "{overrides}"

[farm]
servers = [
{farm}]

[settings]
balancers = 1
discovery = "automatic"
zones = ["north", "south", "west"]
zone = 0
lanes = [
    {{ name = "telemetry", on-time-ns = 800000000, hard-limit-ns = 4800000000, effect = "retryable", value = 1.0 }},
    {{ name = "control", on-time-ns = 800000000, hard-limit-ns = 4800000000, effect = "retryable", value = 5.0 }},
    {{ name = "upkeep", on-time-ns = 500000000, hard-limit-ns = 3000000000, effect = "retryable", value = 1.0 }},
]

[settings.policy-limits]
max-attempts = 6
connect-timeout-ns = 200000000
retry-after = true
max-retry-after-ns = 2000000000

[settings.rules]
cold-share = 0.13
cold-ns = 23000000000
tip-multiple = 3.0
fall-ns = 1500000000
ask-within-ns = 10000000000
"#,
        overrides = overrides.display()
    )
}

// ---- the platform ----

/// Discovery: the whole list on a watch, then an empty line every 2 s, and each change as it is made.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<(u64, String)>>,
}

impl Discovery {
    /// Starts with the entries of a list, as JSON objects.
    pub fn start(entries: &[String]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let discovery = Discovery {
            address: listener.local_addr().expect("a bound address"),
            list: Arc::new(Mutex::new((2, entries.join(",")))),
        };
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(&stream));
            }
        });
        discovery
    }

    /// Replaces the list; every open watch is told the whole of it.
    pub fn set(&self, entries: &[String]) {
        let mut list = lock(&self.list);
        *list = (list.0 + 1, entries.join(","));
    }

    fn serve(&self, stream: &TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let (mut reader, mut out) = (BufReader::new(stream), stream);
        let mut line = String::new();
        while line.trim_end() != "" || line.is_empty() {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
        }
        out.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let (mut told, mut told_at) = (0, Instant::now());
        loop {
            let (generation, entries) = lock(&self.list).clone();
            let text = if generation != told {
                told = generation;
                format!(
                    "{{\"generation\":{generation},\"reset\":true,\"instances\":[{entries}]}}\n"
                )
            } else if told_at.elapsed() >= Duration::from_secs(2) {
                "\n".to_owned()
            } else {
                sleep(Duration::from_millis(10));
                continue;
            };
            told_at = Instant::now();
            out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                .ok()?;
        }
    }
}

/// An entry of discovery's list.
pub fn entry(name: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// A configuration for `LB_CONFIG`, after the sample of the working page.
pub fn platform_file(listen: SocketAddr, discovery: SocketAddr, known: &[String]) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":256,"sockets":1024}},
 "known":{{"generation":1,"reset":true,"instances":[{}]}},
 "settings":{{"discovery":"subscribe","zones":["a"],"zone":0,"balancers":1,
  "lanes":[{{"name":"telemetry","on-time-ns":800000000,"hard-limit-ns":4800000000,"effect":"retryable","value":1.0}},
           {{"name":"settings-sync","on-time-ns":500000000,"hard-limit-ns":3000000000,"effect":"retryable","value":1.0}}],
  "policy-limits":{{"max-attempts":6,"connect-timeout-ns":200000000,"retry-after":false,"max-retry-after-ns":2000000000}},
  "rules":{{"cold-share":0.13,"cold-ns":23000000000,"tip-multiple":3.0,"fall-ns":1500000000,"ask-within-ns":10000000000}}}}}}"#,
        known.join(",")
    )
}

/// Waits until the balancer answers `PING` with `PONG`.
pub fn wait_for_pong(address: SocketAddr) -> bool {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if let Ok(stream) = TcpStream::connect(address)
            && (&stream).write_all(b"PING\r\n").is_ok()
        {
            let mut lines = Lines {
                stream: &stream,
                bytes: Vec::new(),
            };
            if lines.next(Instant::now() + Duration::from_millis(500))
                == Some(Some("PONG".to_owned()))
            {
                return true;
            }
        }
        sleep(Duration::from_millis(50));
    }
    false
}

/// An application server of the platform: `UP` for `OPEN`, and a line for each line. While it hangs it takes connections
/// and lines, and answers nothing.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub hangs: Arc<AtomicBool>,
    /// `OPEN` lines received.
    pub opened: Arc<AtomicUsize>,
    /// `UP` lines sent.
    pub served: Arc<AtomicUsize>,
}

impl Server {
    pub fn start(name: &str, record: &Record) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let server = Server {
            name: name.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            hangs: Arc::default(),
            opened: Arc::default(),
            served: Arc::default(),
        };
        let (shared, record) = (server.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, record) = (shared.clone(), record.clone());
                std::thread::spawn(move || shared.serve(&stream, &record));
            }
        });
        server
    }

    pub fn set_hanging(&self, hangs: bool, record: &Record) {
        record.line(format!(
            "{}: {}",
            self.name,
            if hangs { "hangs" } else { "answers again" }
        ));
        self.hangs.store(hangs, Ordering::SeqCst);
    }

    fn serve(&self, stream: &TcpStream, record: &Record) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let (mut lines, mut out) = (
            Lines {
                stream,
                bytes: Vec::new(),
            },
            stream,
        );
        loop {
            let line = lines.next(Instant::now() + Duration::from_secs(600))??;
            let is_open = line.starts_with("OPEN ");
            if is_open {
                let number = self.opened.fetch_add(1, Ordering::Relaxed);
                let id = line.split(' ').nth(1).unwrap_or_default().to_owned();
                record.line(format!("{}: OPEN {id}, number {number}", self.name));
            }
            // What comes while it hangs is never answered.
            if self.hangs.load(Ordering::SeqCst) {
                continue;
            }
            let answer = if is_open {
                self.served.fetch_add(1, Ordering::Relaxed);
                "UP receipt\r\n".to_owned()
            } else {
                "OK\r\n".to_owned()
            };
            out.write_all(answer.as_bytes()).ok()?;
        }
    }
}

/// What a client of the platform met.
#[derive(Clone, Debug, PartialEq)]
pub enum Met {
    Up,
    Busy,
    /// Another line.
    Failed(String),
    Ended,
    Nothing,
}

/// Opens a connection as a client of the platform does, and waits for its answer until `wait` after the line.
pub fn open(
    address: SocketAddr,
    id: &str,
    fields: &str,
    wait: Duration,
) -> (Met, Duration, Option<TcpStream>) {
    let begun_at = Instant::now();
    let Ok(stream) = TcpStream::connect(address) else {
        return (Met::Ended, begun_at.elapsed(), None);
    };
    let _ = stream.set_nodelay(true);
    let text = format!("OPEN {id} 7f3a9c21{id} {fields}\r\n");
    if (&stream).write_all(text.as_bytes()).is_err() {
        return (Met::Ended, begun_at.elapsed(), None);
    }
    let sent_at = Instant::now();
    let mut lines = Lines {
        stream: &stream,
        bytes: Vec::new(),
    };
    let met = match lines.next(sent_at + wait) {
        Some(Some(line)) if line.starts_with("UP") => Met::Up,
        Some(Some(line)) if line.starts_with("BUSY") => Met::Busy,
        Some(Some(line)) => Met::Failed(line),
        Some(None) => Met::Ended,
        None => Met::Nothing,
    };
    let took = sent_at.elapsed();
    drop(lines);
    (met, took, Some(stream))
}

/// One question on a connection of its own, as the front asks `PING`.
pub fn ask_ping(address: SocketAddr) -> Option<String> {
    let stream = TcpStream::connect(address).ok()?;
    (&stream).write_all(b"PING\r\n").ok()?;
    Lines {
        stream: &stream,
        bytes: Vec::new(),
    }
    .next(Instant::now() + Duration::from_secs(1))
    .flatten()
}

/// A call of the operations port; returns the status and the body.
pub fn call_operations(address: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: review\r\nConnection: close\r\n\r\n"
        )?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        Ok(text)
    };
    let text = exchange().unwrap_or_default();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    (
        status,
        text.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned(),
    )
}
