//! Adapter of the program's fronts to the contract suite.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use beaconflow_contracts::transports::{End, LinkFault, Pair, Properties, Received, Subject};
use beaconflow_fault_injection::{Link, Net, Record};

use crate::link_fault;
use crate::support::nats::{Redis, add_tenant, settings_section, start_redis};
use crate::support::*;

/// Protocol of a front, and how it encodes messages.
#[derive(Clone, Copy, PartialEq)]
pub enum Protocol {
    Platform,
    Nats,
}

const PASSWORD: &str = "acme's own password";
/// Maximum payload in the operator's file, in bytes.
const MAX_PAYLOAD: usize = 4_000;

impl Protocol {
    /// Encodes a message as the near end (the client) or the far end (the server) sends it.
    fn encode(self, message: &str, is_near: bool) -> String {
        let verb = if is_near { "PUB a" } else { "MSG a 1" };
        match self {
            Protocol::Platform => format!("= {message}\r\n"),
            Protocol::Nats => format!("{verb} {}\r\n{message}\r\n", message.len()),
        }
    }

    /// Reads the answer to a client's opening and returns whether the client is served.
    fn is_served(self, near: &TcpStream) -> bool {
        let served = if self == Protocol::Platform {
            "UP "
        } else {
            "PONG"
        };
        let line = read_line_starting_with(near, &[served, "BUSY", "ERR", "-ERR"]);
        line.is_ok_and(|line| line.starts_with(served))
    }

    /// Offset of the payload in the encoded message.
    fn payload_offset(self, message: &str, is_near: bool) -> usize {
        self.encode(message, is_near).len() - message.len() - 2
    }

    /// Parses the first line of a message.
    fn parse_line(self, line: &str) -> Line {
        let fields: Vec<&str> = line.split(' ').collect();
        match (self, &fields[..]) {
            (Protocol::Platform, ["=", message]) => Line::Message((*message).to_owned()),
            (Protocol::Platform, ["MOVE"]) => Line::Moved,
            (Protocol::Nats, ["PUB" | "MSG", .., size]) => {
                Line::Payload(size.parse().expect("payload size is a number"))
            }
            (Protocol::Nats, ["INFO", ..]) if line.contains("\"ldm\":true") => Line::Moved,
            (Protocol::Nats, ["PING"]) => Line::Ping,
            _ => Line::Other,
        }
    }
}

enum Line {
    Message(String),
    Payload(usize),
    Moved,
    Ping,
    Other,
}

/// The program with one server, and a faultable link on each side of the program.
pub struct Front {
    protocol: Protocol,
    net: Net,
    client_address: SocketAddr,
    sessions: Receiver<Connection>,
    next_client_id: u32,
    _program: Program,
    _dependencies: (Discovery, Peer, Option<Redis>),
}

impl Front {
    pub fn start(protocol: Protocol) -> Front {
        let (at, discovery, server) = (reserve_address(), Discovery::start(), listener());
        let net = Net::start(&Record::default(), 9);
        let client_address = net.add_link(Link::new("clients", "program", at));
        let server_address = net.add_link(Link::new(
            "program",
            "server",
            server
                .local_addr()
                .expect("bound socket has a local address"),
        ));
        let rows = [("s0", server_address, "SERVING")];
        let (program, redis) = match protocol {
            Protocol::Platform => {
                let config_text = platform_config(
                    at,
                    discovery.address,
                    &endpoint_list(1, true, &rows),
                    SETTINGS,
                    256,
                );
                let path = write_temp_file(&format!("contract-{at}"), &config_text);
                (Program::start(&[], &[("LB_CONFIG", &path)]), None)
            }
            Protocol::Nats => {
                let (program, redis) = start_nats(at, discovery.address);
                (program, Some(redis))
            }
        };
        let mut watch = discovery.accept_watch();
        send_endpoints(&mut watch, 2, true, &rows);
        program.wait_for_log("generation=2");
        let (session_sender, sessions) = channel();
        std::thread::spawn(move || accept_sessions(protocol, &server, &session_sender));
        Front {
            protocol,
            net,
            client_address,
            sessions,
            next_client_id: 0,
            _program: program,
            _dependencies: (discovery, watch, redis),
        }
    }
}

fn start_nats(at: SocketAddr, discovery: SocketAddr) -> (Program, Redis) {
    let (admin, redis) = (reserve_address(), start_redis());
    let overrides = write_temp_file(&format!("contract-{at}.redb"), "");
    std::fs::remove_file(&overrides).expect("file was just created");
    let config_text = format!(
        "name = \"front\"\nlisten = \"{at}\"\nsockets = 256\n\
         wire = {{ max_payload = {MAX_PAYLOAD}, ping_after_ms = 300, silence_ms = 3000 }}\n\
         store = {{ url = \"redis://{}/\", fresh_ms = 60000 }}\n\
         admin = {{ listen = \"{admin}\", token = \"{ADMIN_TOKEN}\" }}\noverrides = {{ file = \"{overrides}\" }}\n\
         farm = {{ discovery = \"{discovery}\" }}\n{}",
        redis.address,
        settings_section()
    );
    let program = Program::start(
        &[
            "--operator",
            &write_temp_file(&format!("contract-{at}"), &config_text),
        ],
        &[],
    );
    program.wait_for_log("administration API serves");
    let api = Api {
        address: admin,
        token: ADMIN_TOKEN,
    };
    add_tenant(&api, PASSWORD, 64);
    (program, redis)
}

impl Front {
    /// Opens a client connection; `None` if it is refused.
    fn open_client(&mut self) -> Option<TcpStream> {
        self.next_client_id += 1;
        let opening = match self.protocol {
            Protocol::Platform => format!(
                "OPEN a{} 02 c=chat,t=acme,d=2500,g=3\r\n",
                self.next_client_id
            ),
            Protocol::Nats => format!(
                "CONNECT {{\"user\":\"acme\",\"pass\":\"{PASSWORD}\",\"name\":\"n{}\",\"verbose\":false}}\r\nPING\r\n",
                self.next_client_id
            ),
        };
        let mut near = TcpStream::connect(self.client_address).expect("program listens");
        near.write_all(opening.as_bytes()).expect("socket is open");
        self.protocol.is_served(&near).then_some(near)
    }
}

impl Subject for Front {
    fn properties(&self) -> Properties {
        let (longest, silence) = match self.protocol {
            // 4 KiB including the framing of the message.
            Protocol::Platform => (4_096 - 4, 3_000),
            Protocol::Nats => (MAX_PAYLOAD, 3_000),
        };
        let silence = Some(Duration::from_millis(silence));
        Properties {
            is_ordered: true,
            is_reliable: true,
            deduplicates: true,
            signals_close: true,
            max_message_bytes: longest,
            silence_timeout: silence,
        }
    }

    fn pair(&mut self) -> Pair {
        let deadline = Instant::now() + TEST_TIMEOUT * 3;
        // On a loaded machine set-ups may take too long and are refused for a while, so a refused client retries.
        let near = loop {
            if let Some(near) = self.open_client() {
                break near;
            }
            assert!(Instant::now() < deadline, "no client is served");
            std::thread::sleep(Duration::from_millis(20));
        };
        // The balancer ends one session before it begins another, so the last one is the established one.
        let first = self
            .sessions
            .recv_timeout(TEST_TIMEOUT)
            .expect("an upstream session");
        let far = self.sessions.try_iter().last().unwrap_or(first);
        (
            Box::new(Connection::new(near, self.protocol, true)),
            Box::new(far),
        )
    }

    fn set_fault(&mut self, conditions: LinkFault) {
        for link in ["clients>program", "program>server"] {
            self.net.fault(link, link_fault(conditions));
        }
    }
}

/// Messages read ahead of the test; beyond them a far end that takes nothing blocks its sender.
const READ_AHEAD_MESSAGES: usize = 8;

/// One end of a connection. A thread reads it and answers keepalives, which are not part of the contract.
struct Connection {
    stream: TcpStream,
    protocol: Protocol,
    is_near: bool,
    is_silent: Arc<AtomicBool>,
    received: Option<Receiver<Received>>,
    thread: Option<JoinHandle<()>>,
}

/// Reads up to the first line with one of these prefixes. It reads byte by byte, as another reader takes what follows.
fn read_line_starting_with(mut stream: &TcpStream, prefixes: &[&str]) -> std::io::Result<String> {
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    loop {
        let (mut line, mut byte) = (Vec::new(), [0]);
        while !line.ends_with(b"\n") {
            stream.read_exact(&mut byte)?;
            line.push(byte[0]);
        }
        let line = String::from_utf8_lossy(&line).into_owned();
        if prefixes.iter().any(|prefix| line.starts_with(prefix)) {
            stream.set_read_timeout(None)?;
            return Ok(line);
        }
    }
}

/// Accepts all sessions at the server. Each end is registered before the balancer gets the answer that establishes it.
fn accept_sessions(protocol: Protocol, server: &TcpListener, session_sender: &Sender<Connection>) {
    while let Ok((stream, _)) = server.accept() {
        let session_sender = session_sender.clone();
        std::thread::spawn(move || {
            let (info, request_prefix, answer): (&[u8], _, &[u8]) = match protocol {
                Protocol::Platform => (b"", "OPEN ", b"UP r1\r\n"),
                Protocol::Nats => (
                    b"INFO {\"server_id\":\"s0\",\"max_payload\":1048576}\r\n",
                    "PING",
                    b"PONG\r\n",
                ),
            };
            let request = (&stream)
                .write_all(info)
                .and_then(|()| read_line_starting_with(&stream, &[request_prefix]));
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            if request.is_ok()
                && session_sender
                    .send(Connection::new(stream, protocol, false))
                    .is_ok()
            {
                let _ = writer.write_all(answer);
            }
        });
    }
}

impl Connection {
    fn new(stream: TcpStream, protocol: Protocol, is_near: bool) -> Connection {
        stream.set_nodelay(true).expect("socket is open");
        let (received_sender, received) = sync_channel(READ_AHEAD_MESSAGES);
        let is_silent = Arc::new(AtomicBool::new(false));
        let (stream_copy, silent_flag) = (
            stream.try_clone().expect("socket is open"),
            Arc::clone(&is_silent),
        );
        let thread = std::thread::spawn(move || {
            read_messages(&stream_copy, protocol, &silent_flag, &received_sender)
        });
        Connection {
            stream,
            protocol,
            is_near,
            is_silent,
            received: Some(received),
            thread: Some(thread),
        }
    }
}

/// Reads to the end of the connection and reports what was received.
fn read_messages(
    mut stream: &TcpStream,
    protocol: Protocol,
    is_silent: &AtomicBool,
    received_sender: &SyncSender<Received>,
) {
    let mut reader = BufReader::new(stream);
    let mut read_message = || -> std::io::Result<Received> {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            if !line.ends_with('\n') {
                return Ok(Received::Closed);
            }
            match protocol.parse_line(line.trim_end()) {
                Line::Message(message) => return Ok(Received::Message(message)),
                Line::Moved => return Ok(Received::MoveRequested),
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
                        Received::Closed
                    });
                }
                Line::Ping if !is_silent.load(Ordering::Relaxed) => {
                    stream.write_all(b"PONG\r\n")?
                }
                Line::Ping | Line::Other => {}
            }
        }
    };
    loop {
        let received = read_message().unwrap_or(Received::Reset);
        let is_last = matches!(received, Received::Closed | Received::Reset);
        if received_sender.send(received).is_err() || is_last {
            return;
        }
    }
}

impl End for Connection {
    fn send(&mut self, message: &str) -> Result<(), String> {
        let encoded = self.protocol.encode(message, self.is_near);
        self.stream
            .write_all(encoded.as_bytes())
            .map_err(|error| error.to_string())
    }

    fn send_partial(&mut self, message: &str, bytes: usize) {
        let encoded = self.protocol.encode(message, self.is_near);
        let payload_offset = self.protocol.payload_offset(message, self.is_near);
        self.stream
            .write_all(&encoded.as_bytes()[..payload_offset + bytes])
            .expect("socket is open");
    }

    fn receive(&mut self, within: Duration) -> Received {
        let received = self
            .received
            .as_ref()
            .expect("connection is in use")
            .recv_timeout(within);
        received.unwrap_or(Received::Nothing)
    }

    fn stop_answering(&mut self) {
        self.is_silent.store(true, Ordering::Relaxed);
    }

    fn finish(&mut self) {
        self.stream
            .shutdown(Shutdown::Write)
            .expect("socket is open");
    }

    fn reset(self: Box<Self>) {
        socket2::SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("socket is open");
    }
}

impl Drop for Connection {
    /// The connection closes when its last handle is dropped, so the reader thread is joined first.
    fn drop(&mut self) {
        self.received = None;
        let _ = self.stream.shutdown(Shutdown::Read);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
