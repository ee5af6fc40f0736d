//! The program's fronts, brought to the suite.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use beaconflow_contracts::transports::{End, LinkFault, Pair, Received, Subject, Traits};
use beaconflow_fault_injection::{Link, Net, Record};

use crate::fault;
use crate::support::nats::{Redis, start_redis};
use crate::support::*;

/// How messages are written.
#[derive(Clone, Copy, PartialEq)]
pub enum Wire {
    Platform,
    Nats,
}

const PASSWORD: &str = "acme's own password";
/// Longest payload in the operator's file.
const MAX_PAYLOAD: usize = 4_000;

impl Wire {
    /// A message as the near end or the far end writes it.
    fn written(self, message: &str, near: bool) -> String {
        let verb = if near { "PUB a" } else { "MSG a 1" };
        match self {
            Wire::Platform => format!("= {message}\r\n"),
            Wire::Nats => format!("{verb} {}\r\n{message}\r\n", message.len()),
        }
    }

    /// Whether a client that has sent its opening is served.
    fn is_served(self, near: &TcpStream) -> bool {
        let served = if self == Wire::Platform {
            "UP "
        } else {
            "PONG"
        };
        let line = line_of(near, &[served, "BUSY", "ERR", "-ERR"]);
        line.is_ok_and(|line| line.starts_with(served))
    }

    /// How many bytes of it are the first part of a payload of so many.
    fn head(self, message: &str, near: bool) -> usize {
        self.written(message, near).len() - message.len() - 2
    }

    /// A line that is a message's first, and how many bytes follow it; what it says by itself.
    fn read(self, line: &str) -> Line {
        let words: Vec<&str> = line.split(' ').collect();
        match (self, &words[..]) {
            (Wire::Platform, ["=", message]) => Line::Message((*message).to_owned()),
            (Wire::Platform, ["MOVE"]) => Line::Moved,
            (Wire::Nats, ["PUB" | "MSG", .., size]) => Line::Payload(size.parse().expect("a size")),
            (Wire::Nats, ["INFO", ..]) if line.contains("\"ldm\":true") => Line::Moved,
            (Wire::Nats, ["PING"]) => Line::Asks,
            _ => Line::Else,
        }
    }
}

enum Line {
    Message(String),
    Payload(usize),
    Moved,
    Asks,
    Else,
}

/// The program with one server, and a link on each side of it.
pub struct Front {
    wire: Wire,
    net: Net,
    door: SocketAddr,
    passes: Receiver<Conn>,
    next: u32,
    _program: Program,
    _keeps: (Discovery, Peer, Option<Redis>),
}

impl Front {
    pub fn start(wire: Wire) -> Front {
        let (at, discovery, server) = (reserve_address(), Discovery::start(), listener());
        let net = Net::start(&Record::default(), 9);
        let door = net.add_link(Link::new("clients", "program", at));
        let place = net.add_link(Link::new(
            "program",
            "server",
            server.local_addr().expect("bound"),
        ));
        let rows = [("s0", place, "SERVING")];
        let (program, redis) = match wire {
            Wire::Platform => {
                let text = platform_config(
                    at,
                    discovery.address,
                    &endpoint_list(1, true, &rows),
                    SETTINGS,
                    256,
                );
                let path = write_temp_file(&format!("contract-{at}"), &text);
                (Program::start(&[], &[("LB_CONFIG", &path)]), None)
            }
            Wire::Nats => {
                let (program, redis) = start_nats(at, discovery.address);
                (program, Some(redis))
            }
        };
        let mut watch = discovery.accept_watch();
        send_endpoints(&mut watch, 2, true, &rows);
        program.wait_for_log("generation=2");
        let (send, passes) = channel();
        std::thread::spawn(move || set_up(wire, &server, &send));
        Front {
            wire,
            net,
            door,
            passes,
            next: 0,
            _program: program,
            _keeps: (discovery, watch, redis),
        }
    }
}

fn start_nats(at: SocketAddr, discovery: SocketAddr) -> (Program, Redis) {
    let (admin, redis) = (reserve_address(), start_redis());
    let settings: serde_json::Value = serde_json::from_str(SETTINGS).expect("JSON");
    let overrides = write_temp_file(&format!("contract-{at}.redb"), "");
    std::fs::remove_file(&overrides).expect("just made");
    let text = format!(
        "name = \"front\"\nlisten = \"{at}\"\nsockets = 256\n\
         wire = {{ max_payload = {MAX_PAYLOAD}, ping_after_ms = 300, silence_ms = 3000 }}\n\
         store = {{ url = \"redis://{}/\", fresh_ms = 60000 }}\n\
         admin = {{ listen = \"{admin}\", token = \"{ADMIN_TOKEN}\" }}\noverrides = {{ file = \"{overrides}\" }}\n\
         farm = {{ discovery = \"{discovery}\" }}\n{}",
        redis.address,
        toml::to_string(&serde_json::json!({ "settings": settings })).expect("TOML")
    );
    let program = Program::start(
        &[
            "--operator",
            &write_temp_file(&format!("contract-{at}"), &text),
        ],
        &[],
    );
    program.wait_for_log("administration API serves");
    let tenant = format!(
        r#"{{"name":"acme","password":"{PASSWORD}","class":"chat","connections":64,
            "upstream":{{"user":"up","password":"up-secret"}}}}"#
    );
    let api = Api {
        address: admin,
        token: ADMIN_TOKEN,
    };
    // On a loaded machine the store may seem away for a while; then the call may be repeated.
    let added =
        (0..20).any(|_| matches!(api.call("POST", "/v1/tenants", &tenant).status, 201 | 409));
    assert!(added, "the tenant is not taken");
    (program, redis)
}

impl Front {
    /// A client that has come to stand.
    fn opens(&mut self) -> Option<TcpStream> {
        self.next += 1;
        let opening = match self.wire {
            Wire::Platform => format!("OPEN a{} 02 c=chat,t=acme,d=2500,g=3\r\n", self.next),
            Wire::Nats => format!(
                "CONNECT {{\"user\":\"acme\",\"pass\":\"{PASSWORD}\",\"name\":\"n{}\",\"verbose\":false}}\r\nPING\r\n",
                self.next
            ),
        };
        let mut near = TcpStream::connect(self.door).expect("it listens");
        near.write_all(opening.as_bytes()).expect("open");
        self.wire.is_served(&near).then_some(near)
    }
}

impl Subject for Front {
    fn traits(&self) -> Traits {
        let (longest, silence) = match self.wire {
            // 4 KiB with what is round the message.
            Wire::Platform => (4_096 - 4, 3_000),
            Wire::Nats => (MAX_PAYLOAD, 3_000),
        };
        let silence = Some(Duration::from_millis(silence));
        Traits {
            ordered: true,
            reliable: true,
            once: true,
            ends: true,
            longest,
            silence,
        }
    }

    fn pair(&mut self) -> Pair {
        let until = Instant::now() + TEST_TIMEOUT * 3;
        // On a loaded machine a set-up may take too long, and is refused for a while: whoever is refused comes again.
        let near = loop {
            if let Some(near) = self.opens() {
                break near;
            }
            assert!(Instant::now() < until, "nobody is served");
            std::thread::sleep(Duration::from_millis(20));
        };
        // The balancer gives up one pass before it begins another: the last one is the one that stands.
        let first = self.passes.recv_timeout(TEST_TIMEOUT).expect("a pass");
        let far = self.passes.try_iter().last().unwrap_or(first);
        (Box::new(Conn::new(near, self.wire, true)), Box::new(far))
    }

    fn weather(&mut self, weather: LinkFault) {
        for link in ["clients>program", "program>server"] {
            self.net.fault(link, fault(weather));
        }
    }
}

/// Messages that are read ahead: beyond them a far end that takes nothing holds its sender back.
const AHEAD: usize = 8;

/// One end of a connection. A thread reads it, and answers a server's questions that are none of the contract's.
struct Conn {
    stream: TcpStream,
    wire: Wire,
    near: bool,
    silent: Arc<AtomicBool>,
    heard: Option<Receiver<Received>>,
    thread: Option<JoinHandle<()>>,
}

/// Reads to the first line with one of these beginnings. Byte by byte: what follows is another's.
fn line_of(mut stream: &TcpStream, beginnings: &[&str]) -> std::io::Result<String> {
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    loop {
        let (mut line, mut byte) = (Vec::new(), [0]);
        while !line.ends_with(b"\n") {
            stream.read_exact(&mut byte)?;
            line.push(byte[0]);
        }
        let line = String::from_utf8_lossy(&line).into_owned();
        if beginnings
            .iter()
            .any(|beginning| line.starts_with(beginning))
        {
            stream.set_read_timeout(None)?;
            return Ok(line);
        }
    }
}

/// Sets up whatever pass comes to the server. An end stands here before its balancer is told that it stands.
fn set_up(wire: Wire, server: &TcpListener, passes: &Sender<Conn>) {
    while let Ok((stream, _)) = server.accept() {
        let passes = passes.clone();
        std::thread::spawn(move || {
            let (info, asks, answer): (&[u8], _, &[u8]) = match wire {
                Wire::Platform => (b"", "OPEN ", b"UP r1\r\n"),
                Wire::Nats => (
                    b"INFO {\"server_id\":\"s0\",\"max_payload\":1048576}\r\n",
                    "PING",
                    b"PONG\r\n",
                ),
            };
            let asked = (&stream)
                .write_all(info)
                .and_then(|()| line_of(&stream, &[asks]));
            let Ok(mut own) = stream.try_clone() else {
                return;
            };
            if asked.is_ok() && passes.send(Conn::new(stream, wire, false)).is_ok() {
                let _ = own.write_all(answer);
            }
        });
    }
}

impl Conn {
    fn new(stream: TcpStream, wire: Wire, near: bool) -> Conn {
        stream.set_nodelay(true).expect("open");
        let (send, heard) = sync_channel(AHEAD);
        let silent = Arc::new(AtomicBool::new(false));
        let (own, quiet) = (stream.try_clone().expect("open"), Arc::clone(&silent));
        let thread = std::thread::spawn(move || read(&own, wire, &quiet, &send));
        Conn {
            stream,
            wire,
            near,
            silent,
            heard: Some(heard),
            thread: Some(thread),
        }
    }
}

/// Reads to the end, and tells what was heard.
fn read(mut stream: &TcpStream, wire: Wire, silent: &AtomicBool, tell: &SyncSender<Received>) {
    let mut reader = BufReader::new(stream);
    let mut next = || -> std::io::Result<Received> {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            if !line.ends_with('\n') {
                return Ok(Received::Ended);
            }
            match wire.read(line.trim_end()) {
                Line::Message(message) => return Ok(Received::Message(message)),
                Line::Moved => return Ok(Received::Moved),
                Line::Payload(size) => {
                    let mut payload = Vec::new();
                    (&mut reader)
                        .take(size as u64 + 2)
                        .read_to_end(&mut payload)?;
                    let message = String::from_utf8_lossy(&payload).trim_end().to_owned();
                    let is_whole = payload.len() == size + 2;
                    return Ok(if is_whole {
                        Received::Message(message)
                    } else {
                        Received::Ended
                    });
                }
                Line::Asks if !silent.load(Ordering::Relaxed) => stream.write_all(b"PONG\r\n")?,
                Line::Asks | Line::Else => {}
            }
        }
    };
    loop {
        let heard = next().unwrap_or(Received::Reset);
        let is_last = matches!(heard, Received::Ended | Received::Reset);
        if tell.send(heard).is_err() || is_last {
            return;
        }
    }
}

impl End for Conn {
    fn send(&mut self, message: &str) -> Result<(), String> {
        let words = self.wire.written(message, self.near);
        self.stream
            .write_all(words.as_bytes())
            .map_err(|error| error.to_string())
    }

    fn send_partial(&mut self, message: &str, bytes: usize) {
        let words = self.wire.written(message, self.near);
        let head = self.wire.head(message, self.near);
        self.stream
            .write_all(&words.as_bytes()[..head + bytes])
            .expect("open");
    }

    fn hear(&mut self, within: Duration) -> Received {
        let heard = self.heard.as_ref().expect("not over").recv_timeout(within);
        heard.unwrap_or(Received::Nothing)
    }

    fn falls_silent(&mut self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    fn finish(&mut self) {
        self.stream.shutdown(Shutdown::Write).expect("open");
    }

    fn reset(self: Box<Self>) {
        socket2::SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("open");
    }
}

impl Drop for Conn {
    /// The last one that lets go of the connection ends it: its thread goes first.
    fn drop(&mut self) {
        self.heard = None;
        let _ = self.stream.shutdown(Shutdown::Read);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
