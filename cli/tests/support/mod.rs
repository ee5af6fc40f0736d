//! The program under test and its scripted peers, over loopback.

#![allow(dead_code, reason = "each test file uses its part")]

pub mod fleet;
pub mod held;
pub mod nats;
pub mod site;

use std::fs::Permissions;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Longer than anything here takes; a test that waits for so long has failed. A client of a draining server is moved by
/// odds of a quarter in each second: one in eighteen waits for over ten.
pub const PATIENCE: Duration = Duration::from_secs(40);

pub const SETTINGS: &str = r#"{"discovery":"subscribe","zones":["a"],"zone":0,"balancers":1,
    "lanes":[{"name":"chat","on-time-ns":400000000,"hard-limit-ns":3000000000,"effect":"retryable","value":1.0},
             {"name":"once","on-time-ns":400000000,"hard-limit-ns":3000000000,"effect":"fragile","value":1.0}],
    "policy-limits":{"max-attempts":4,"connect-timeout-ns":200000000,"retry-after":true,"max-retry-after-ns":2000000000},
    "rules":{"cold-share":0.2,"cold-ns":20000000000,"tip-multiple":3.0,"fall-ns":1500000000,"ask-within-ns":10000000000}}"#;

/// A listener at an address that nobody else in this process or another test's has.
pub fn listener() -> TcpListener {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    let [_, _, high, low] = pid.to_be_bytes();
    let address = Ipv4Addr::new(127, high | 0x40, low, NEXT.fetch_add(1, Ordering::Relaxed));
    TcpListener::bind((address, 0)).expect("loopback")
}

/// An address that is free.
pub fn free() -> SocketAddr {
    listener().local_addr().expect("bound")
}

/// The program, killed at the end of its test.
pub struct Program {
    child: Child,
    log: Receiver<String>,
}

impl Program {
    pub fn start(args: &[&str], env: &[(&str, &str)]) -> Program {
        Program::begin(Command::new(env!("CARGO_BIN_EXE_beaconflow")), args, env)
    }

    /// Starts it as an ordinary user, whom the leave to write concerns. Root's tests need a copy that others may run.
    pub fn start_as_nobody(copy: &Path, args: &[&str], env: &[(&str, &str)]) -> Program {
        std::fs::copy(env!("CARGO_BIN_EXE_beaconflow"), copy).expect("room");
        std::fs::set_permissions(copy, Permissions::from_mode(0o755)).expect("its owner may");
        let mut command = Command::new(copy);
        if rustix::process::geteuid().is_root() {
            command.uid(65_534).gid(65_534);
        }
        Program::begin(command, args, env)
    }

    /// Starts it with a listener that this test holds, as descriptor 3.
    pub fn start_inheriting(held: &TcpListener, env: &[(&str, &str)]) -> Program {
        let mut command = Command::new("sh");
        command.args(["-c", r#"exec 3<&0 </dev/null; exec "$0" "$@""#, env!("CARGO_BIN_EXE_beaconflow")]);
        command.stdin(OwnedFd::from(held.try_clone().expect("open")));
        Program::begin(command, &[], &[&[("LB_INHERITED_FD", "3")], env].concat())
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        self.child.kill().expect("a child");
        let _ = self.child.wait();
    }

    fn begin(mut command: Command, args: &[&str], env: &[(&str, &str)]) -> Program {
        command.arg("serve").args(args).envs(env.iter().copied()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (send, log) = channel();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| send.send(line)));
        Program { child, log }
    }

    /// Waits for a log line with these words; where none comes, tells what came instead.
    pub fn says(&self, words: &str) -> String {
        let until = Instant::now() + PATIENCE;
        let mut said = Vec::new();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.log.recv_timeout(left) {
                Ok(line) if line.contains(words) => return line,
                Ok(line) => said.push(line),
                Err(error) => panic!("the log never said {words:?} ({error}), but: {said:#?}"),
            }
        }
    }

    /// The lines up to the one with these words.
    pub fn says_up_to(&self, words: &str) -> Vec<String> {
        let mut said: Vec<String> = Vec::new();
        while said.last().is_none_or(|line| !line.contains(words)) {
            said.push(
                self.log.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("never {words:?}: {said:#?}")),
            );
        }
        said
    }

    /// Sends a signal, by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let done = Command::new("kill").args(["-s", name, &pid]).status().expect("kill runs");
        assert!(done.success());
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// How many threads it has.
    pub fn threads(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("it runs").count()
    }

    /// Waits for the program's own end, which has to be in order.
    pub fn left(&mut self) -> bool {
        self.ends().success()
    }

    /// Waits for the program's end.
    pub fn ends(&mut self) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the program never left");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.log.iter().for_each(|line| eprintln!("{line}"));
        }
    }
}

/// One end of a connection that speaks lines.
pub struct Peer {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        let reader = BufReader::new(stream.try_clone().expect("a socket"));
        Peer { stream, reader }
    }

    pub fn connect(to: SocketAddr) -> Peer {
        let until = Instant::now() + PATIENCE;
        loop {
            match TcpStream::connect(to) {
                Ok(stream) => return Peer::new(stream),
                Err(error) => assert!(Instant::now() < until, "{to}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The next connection. Guards against a test that would wait without an end.
    pub fn accept(from: &TcpListener) -> Peer {
        let until = Instant::now() + PATIENCE;
        from.set_nonblocking(true).expect("open");
        loop {
            match from.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("open");
                    return Peer::new(stream);
                }
                Err(error) => assert!(Instant::now() < until, "no connection: {error}"),
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn say(&mut self, words: &str) {
        self.stream.write_all(words.as_bytes()).expect("the peer reads");
    }

    /// The next line without its end; nothing at the end of the connection.
    pub fn hear(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
            Err(error) => panic!("no line: {error}"),
        }
    }

    /// The same, where a reset is an end too.
    pub fn hear_or_end(&mut self) -> Option<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        Some(line)
    }

    pub fn hears(&mut self, words: &str) {
        assert_eq!(self.hear().as_deref(), Some(words));
    }

    /// So many bytes as they come.
    pub fn bytes(&mut self, count: usize) -> String {
        let mut bytes = vec![0; count];
        self.reader.read_exact(&mut bytes).expect("so many bytes");
        String::from_utf8(bytes).expect("text")
    }

    pub fn ended(&mut self) {
        assert_eq!(self.hear(), None, "nothing but the end");
    }

    /// Waits for the connection's end, in order or not: a peer at fault may be owed no more than a close.
    pub fn is_gone(&mut self) -> bool {
        let reset = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionReset;
        self.reader.read(&mut [0]).map_or_else(reset, |count| count == 0)
    }

    /// Whether the connection was reset.
    pub fn was_reset(&mut self) -> bool {
        self.reader.read(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
    }

    pub fn finish(&self) {
        self.stream.shutdown(Shutdown::Write).expect("open");
    }
}

/// Has an application server take every opening and answer every line, for as long as the test runs.
pub fn obliges(server: TcpListener) {
    std::thread::spawn(move || {
        while let Ok((stream, _)) = server.accept() {
            std::thread::spawn(move || serve(Peer::new(stream)));
        }
    });
}

fn serve(mut peer: Peer) {
    let Some(opening) = peer.hear() else { return };
    assert!(opening.starts_with("OPEN "), "{opening}");
    if peer.stream.write_all(b"UP r\r\n").is_err() {
        return;
    }
    while let Some(line) = peer.hear_or_end() {
        // One asks for half a line, and has to ask for the rest.
        let answer: &[u8] = match line.trim_end() {
            "half" => b"ha",
            "rest" => b"lf\r\n",
            _ => b"ok\r\n",
        };
        if peer.stream.write_all(answer).is_err() {
            return;
        }
    }
}

/// Discovery: each watch begins with the present list and is then told what the test says. It beats unless told not
/// to: a story that is slow on a loaded machine would talk to a watch that the program has given up.
pub struct Discovery {
    pub address: SocketAddr,
    watches: Receiver<Peer>,
    beats: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = listener();
        let address = listener.local_addr().expect("bound");
        let (send, watches) = channel();
        let beats = Arc::new(AtomicBool::new(true));
        let beating = Arc::clone(&beats);
        std::thread::spawn(move || accept_watches(&listener, &send, &beating));
        Discovery { address, watches, beats }
    }

    /// The next watch that is asked for.
    pub fn watch(&self) -> Peer {
        self.watches.recv_timeout(PATIENCE).expect("a watch")
    }

    /// The same, if one is asked for within so long.
    pub fn watch_within(&self, span: Duration) -> Option<Peer> {
        self.watches.recv_timeout(span).ok()
    }

    /// Sends heartbeats again on watches that are asked for from now on.
    pub fn speaks_again(&self) {
        self.beats.store(true, Ordering::Relaxed);
    }

    /// Sends no more heartbeats.
    pub fn falls_silent(&self) {
        self.beats.store(false, Ordering::Relaxed);
    }
}

fn accept_watches(listener: &TcpListener, send: &Sender<Peer>, beats: &Arc<AtomicBool>) {
    loop {
        let Ok((stream, _)) = listener.accept() else { return };
        let mut peer = Peer::new(stream);
        let asked = peer.hear().expect("a request");
        assert!(asked.starts_with("GET /api/targets?watch=1&from="), "{asked}");
        while peer.hear().is_some_and(|line| !line.is_empty()) {}
        peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let (mut stream, beats) = (peer.stream.try_clone().expect("open"), Arc::clone(beats));
        std::thread::spawn(move || {
            while beats.load(Ordering::Relaxed) && stream.write_all(b"1\r\n\n\r\n").is_ok() {
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        if send.send(peer).is_err() {
            return;
        }
    }
}

/// Tells a watch of servers: name, address, lifecycle.
pub fn tell(watch: &mut Peer, generation: u32, reset: bool, servers: &[(&str, SocketAddr, &str)]) {
    let list = list(generation, reset, servers);
    watch.say(&format!("{:x}\r\n{list}\n\r\n", list.len() + 1));
}

pub fn list(generation: u32, reset: bool, servers: &[(&str, SocketAddr, &str)]) -> String {
    let row = |(name, address, state): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","lifecycle":"{state}","weight":1.0}}"#
        )
    };
    let rows: Vec<String> = servers.iter().map(row).collect();
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, rows.join(","))
}

/// The platform's configuration file: where clients connect, where discovery is, what was known of the farm.
pub fn config(at: SocketAddr, discovery: SocketAddr, known: &str, settings: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"{at}","discovery":"{discovery}","seed":"7","limits":{{"sockets":{sockets}}},
            "known":{known},"settings":{settings}}}"#
    )
}

/// A file for one test.
pub fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("beaconflow-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a folder for temporary files");
    path.to_str().expect("text").to_owned()
}

/// The administration API of a program under test.
pub struct Api {
    pub at: SocketAddr,
    pub token: &'static str,
}

pub const ADMIN_TOKEN: &str = "an operator's own token";

/// What the API answers: status, headers as they come, and a body.
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: serde_json::Value,
}

impl Api {
    /// A call with further headers, each whole and ended.
    pub fn call_with(&self, method: &str, path: &str, headers: &str, body: &str) -> Answer {
        // The program may have begun to serve its clients a moment before.
        let stream = Peer::connect(self.at).stream;
        self.ask(stream, method, path, headers, body).expect("it answers")
    }

    /// A call to a program that may be killed meanwhile.
    pub fn try_call(&self, method: &str, path: &str, body: &str) -> Option<Answer> {
        self.ask(TcpStream::connect(self.at).ok()?, method, path, "", body)
    }

    fn ask(
        &self,
        mut stream: TcpStream,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Option<Answer> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n{headers}",
            self.token
        );
        write!(stream, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).expect("open");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).ok()?;
        let (head, body) = reply.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Answer { status, head: head.to_owned(), body: serde_json::from_str(body).unwrap_or_default() })
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> Answer {
        self.call_with(method, path, "", body)
    }

    /// Adds an override that has to be taken; gives its number.
    pub fn add(&self, body: &str) -> u64 {
        let answer = self.call("POST", "/v1/overrides", body);
        assert_eq!(answer.status, 201, "{}", answer.body);
        answer.body["id"].as_u64().expect("a number")
    }

    /// Has an override end very soon; gives the moment, in Unix seconds. A story that gave it a short life from the
    /// start would race with a loaded machine.
    pub fn shorten(&self, id: u64) -> f64 {
        let answer = self.call("PATCH", &format!("/v1/overrides/{id}"), r#"{"expires_in_s":0.05}"#);
        assert_eq!(answer.status, 200, "{}", answer.body);
        let at =
            humantime::parse_rfc3339(answer.body["expires_at"].as_str().expect("a time")).expect("RFC 3339");
        at.duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_secs_f64()
    }

    /// Every override that holds, by number.
    pub fn overrides(&self) -> Vec<serde_json::Value> {
        let answer = self.call("GET", "/v1/overrides", "");
        assert_eq!(answer.status, 200);
        answer.body["overrides"].as_array().expect("a list").clone()
    }

    /// A server's row in the farm.
    pub fn server(&self, name: &str) -> serde_json::Value {
        let farm = self.call("GET", "/v1/farm", "").body;
        let rows = farm["servers"].as_array().expect("a list");
        rows.iter().find(|row| row["name"] == name).unwrap_or_else(|| panic!("no {name} in {farm}")).clone()
    }
}
