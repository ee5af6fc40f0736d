//! A NATS server whose answers a test scripts, and a balancer with a fixed list of such servers.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::nats::{Redis, add_tenant, connect_client, read_message, settings_section, start_redis};
use super::{ADMIN_TOKEN, Api, Peer, Program, listener, reserve_address, write_temp_file};

const PASSWORD: &str = "acme's own password";
/// Interval at which a server that does not read looks whether it is to go on.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How a server treats its established connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerMode {
    /// Answers each PING at once.
    Serve,
    /// Reads everything and returns nothing.
    Silent,
    /// Reads nothing and returns nothing.
    Stopped,
    /// Answers each PING after this time.
    AnswerAfter(Duration),
    /// Sends a message at this interval, and no PONG.
    LinesOnly(Duration),
    /// Confirms each PUB with +OK, and sends no PONG.
    ConfirmOnly,
    /// Reads this many bytes a second, and answers each PING once it has read it.
    ReadSlowly(usize),
}

/// State shared by a server's threads.
struct ServerState {
    mode: Mutex<ServerMode>,
    /// The write ends of all connections.
    peers: Mutex<Vec<Arc<Mutex<TcpStream>>>>,
}

/// A scripted NATS server.
pub struct ScriptedServer {
    pub address: SocketAddr,
    state: Arc<ServerState>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("lock is not poisoned")
}

impl ScriptedServer {
    pub fn start() -> ScriptedServer {
        let listener = listener();
        let address = listener
            .local_addr()
            .expect("bound socket has a local address");
        let state = Arc::new(ServerState {
            mode: Mutex::new(ServerMode::Serve),
            peers: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        std::thread::spawn(move || accept_all(&listener, &shared));
        ScriptedServer { address, state }
    }

    pub fn set_mode(&self, mode: ServerMode) {
        *lock(&self.state.mode) = mode;
        if let ServerMode::LinesOnly(interval) = mode {
            let state = Arc::clone(&self.state);
            std::thread::spawn(move || {
                while *lock(&state.mode) == mode {
                    send_to_all(&state, b"MSG t 1 2\r\nhi\r\n");
                    std::thread::sleep(interval);
                }
            });
        }
    }

    /// Sends bytes to all clients.
    pub fn send_to_all(&self, bytes: &[u8]) {
        send_to_all(&self.state, bytes);
    }
}

fn send_to_all(state: &ServerState, bytes: &[u8]) {
    let peers: Vec<Arc<Mutex<TcpStream>>> = lock(&state.peers).clone();
    for peer in peers {
        // A client may have left.
        let _ = lock(&peer).write_all(bytes);
    }
}

fn accept_all(listener: &TcpListener, state: &Arc<ServerState>) {
    while let Ok((stream, _)) = listener.accept() {
        let state = Arc::clone(state);
        std::thread::spawn(move || serve(stream, &state));
    }
}

/// Serves one connection until it ends.
fn serve(stream: TcpStream, state: &Arc<ServerState>) {
    stream.set_nodelay(true).expect("socket is open");
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("socket is open")));
    let info = b"INFO {\"server_id\":\"scripted\",\"max_payload\":1048576}\r\n";
    let mut reader = BufReader::new(GatedStream { stream, state });
    if lock(&writer).write_all(info).is_err() || read_message(&mut reader).is_none() {
        return;
    }
    lock(&state.peers).push(Arc::clone(&writer));
    while let Some(message) = read_message(&mut reader) {
        let mode = *lock(&state.mode);
        let answer: &[u8] = match (mode, message.as_str()) {
            (ServerMode::ConfirmOnly, text) if text.starts_with("PUB ") => b"+OK\r\n",
            (ServerMode::Serve | ServerMode::ReadSlowly(_), "PING\r\n") => b"PONG\r\n",
            (ServerMode::AnswerAfter(delay), "PING\r\n") => {
                let writer = Arc::clone(&writer);
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    // The client may have left.
                    let _ = lock(&writer).write_all(b"PONG\r\n");
                });
                b""
            }
            _ => b"",
        };
        if lock(&writer).write_all(answer).is_err() {
            return;
        }
    }
}

/// A server's read end, which is read as the mode says.
struct GatedStream<'a> {
    stream: TcpStream,
    state: &'a ServerState,
}

impl Read for GatedStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        while *lock(&self.state.mode) == ServerMode::Stopped {
            std::thread::sleep(PAUSE_POLL_INTERVAL);
        }
        if let ServerMode::ReadSlowly(bytes_per_second) = *lock(&self.state.mode) {
            std::thread::sleep(Duration::from_millis(10));
            let count = buffer.len().min(bytes_per_second / 100);
            return self.stream.read(&mut buffer[..count]);
        }
        let count = self.stream.read(buffer)?;
        // What was awaited before the server stopped is not handled then.
        while *lock(&self.state.mode) == ServerMode::Stopped {
            std::thread::sleep(PAUSE_POLL_INTERVAL);
        }
        Ok(count)
    }
}

/// A balancer with scripted servers.
pub struct ScriptedSite {
    pub program: Program,
    pub address: SocketAddr,
    pub servers: Vec<ScriptedServer>,
    pub api: Api,
    /// Path of the operator's file; `file_text` holds its contents.
    pub path: String,
    pub file_text: String,
    _folder: tempfile::TempDir,
    _redis: Redis,
}

impl ScriptedSite {
    /// Starts a balancer with these limits of its wire, as in the operator's file.
    pub fn start(name: &str, wire: &str, server_count: usize) -> ScriptedSite {
        let servers: Vec<ScriptedServer> =
            (0..server_count).map(|_| ScriptedServer::start()).collect();
        let listed: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(number, server)| {
                format!(
                    "{{ name = \"n{number}\", address = \"{}\" }}",
                    server.address
                )
            })
            .collect();
        let (address, admin, redis) = (reserve_address(), reserve_address(), start_redis());
        let folder = tempfile::tempdir().expect("temporary folder is writable");
        let file_text = format!(
            "name = \"front\"\nlisten = \"{address}\"\nsockets = 4096\nwire = {{ {wire} }}\n\
             overrides = {{ file = \"{}\" }}\n\
             store = {{ url = \"redis://{}/\", fresh_ms = 60000 }}\n\
             admin = {{ listen = \"{admin}\", token = \"{ADMIN_TOKEN}\" }}\n\
             farm = {{ servers = [{}] }}\n{}",
            folder.path().join("overrides.redb").display(),
            redis.address,
            listed.join(", "),
            settings_section()
        );
        let path = write_temp_file(name, &file_text);
        let program = Program::start(&["--operator", &path], &[]);
        program.wait_for_log("administration API serves");
        let api = Api {
            address: admin,
            token: ADMIN_TOKEN,
        };
        add_tenant(&api, PASSWORD, 2_000);
        ScriptedSite {
            program,
            address,
            servers,
            api,
            path,
            file_text,
            _redis: redis,
            _folder: folder,
        }
    }

    /// Connects a client and waits until its connection is established.
    pub fn client(&self, name: &str) -> Peer {
        let mut client = connect_client(self.address, name, "acme", PASSWORD);
        client.expect_line("PONG");
        client
    }
}

/// What a client does on its connection.
#[derive(Clone, Copy, Debug)]
pub enum ClientHabit {
    /// Sends nothing.
    Idle,
    /// Sends SUB at this interval.
    Subscribe(Duration),
    /// Sends PING at this interval.
    Ask(Duration),
    /// Publishes at this interval.
    Publish(Duration),
    /// Publishes and sends PING at this interval.
    PublishAndAsk(Duration),
    /// Publishes without a pause.
    PublishWithoutPause,
    /// Publishes ten messages of 100 kB a second.
    PublishMegabyte,
    /// Publishes messages in pieces of a few bytes.
    PublishInPieces,
    /// Sends half a message and then nothing.
    StopInPayload,
    /// Sends half a control line and then nothing.
    StopInLine,
    /// Sends a few bytes of one long message each second.
    TrickleMessage,
}

/// All habits.
pub const HABITS: [ClientHabit; 12] = [
    ClientHabit::Idle,
    ClientHabit::Subscribe(Duration::from_millis(900)),
    ClientHabit::Ask(Duration::from_millis(500)),
    ClientHabit::Publish(Duration::from_millis(1_000)),
    ClientHabit::Publish(Duration::from_millis(1_900)),
    ClientHabit::PublishAndAsk(Duration::from_millis(700)),
    ClientHabit::PublishWithoutPause,
    ClientHabit::PublishMegabyte,
    ClientHabit::PublishInPieces,
    ClientHabit::StopInPayload,
    ClientHabit::StopInLine,
    ClientHabit::TrickleMessage,
];

impl ClientHabit {
    /// Whether the server is sent more than it can be expected to answer behind at once.
    pub fn sends_bulk(self) -> bool {
        matches!(
            self,
            ClientHabit::PublishWithoutPause | ClientHabit::PublishMegabyte
        )
    }

    /// The bytes of one turn, and the pause after it; `None` if the client sends nothing more.
    fn turn(self, number: usize) -> Option<(Vec<u8>, Duration)> {
        let reading = b"PUB t 5\r\nhello\r\n";
        let second = Duration::from_secs(1);
        let once = |bytes: &[u8]| (number == 0).then(|| (bytes.to_vec(), second));
        match self {
            ClientHabit::Idle => None,
            ClientHabit::Subscribe(interval) => Some((b"SUB t 1\r\n".to_vec(), interval)),
            ClientHabit::Ask(interval) => Some((b"PING\r\n".to_vec(), interval)),
            ClientHabit::Publish(interval) => Some((reading.to_vec(), interval)),
            ClientHabit::PublishAndAsk(interval) => {
                Some(([&reading[..], b"PING\r\n"].concat(), interval))
            }
            ClientHabit::PublishWithoutPause => {
                Some((reading.repeat(20), Duration::from_micros(200)))
            }
            ClientHabit::PublishMegabyte => {
                let message = [b"PUB t 100000\r\n", &vec![b'x'; 100_000][..], b"\r\n"].concat();
                Some((message, Duration::from_millis(100)))
            }
            ClientHabit::PublishInPieces => {
                let pieces: [&[u8]; 4] = [b"PU", b"B t 5\r\nhe", b"ll", b"o\r\n"];
                Some((pieces[number % 4].to_vec(), Duration::from_millis(150)))
            }
            ClientHabit::StopInPayload => once(b"PUB t 10\r\nhello"),
            ClientHabit::StopInLine => once(b"PUB t 1"),
            ClientHabit::TrickleMessage if number == 0 => {
                Some((b"PUB t 10000\r\n".to_vec(), second))
            }
            ClientHabit::TrickleMessage => Some((b"more".to_vec(), second)),
        }
    }
}

/// How a client's connection ended.
#[derive(Clone, Debug)]
pub struct ConnectionClose {
    pub at: Instant,
    /// Whether the client was asked to reconnect.
    pub was_moved: bool,
}

/// Has a client follow its habit until its connection ends or the deadline; returns how it ended.
pub fn follow_habit(
    client: Peer,
    habit: ClientHabit,
    deadline: Instant,
) -> Option<ConnectionClose> {
    let reader_stream = client.stream.try_clone().expect("socket is open");
    let mut writer = client.stream;
    // A balancer that doesn't read must not hold the client up for long.
    writer
        .set_write_timeout(Some(Duration::from_millis(50)))
        .expect("socket is open");
    let reader = std::thread::spawn(move || read_until_end(&reader_stream, deadline));
    let (mut number, mut unsent) = (0, Vec::new());
    while !reader.is_finished() && Instant::now() < deadline {
        let mut pause = Duration::from_millis(20);
        if unsent.is_empty()
            && let Some((bytes, turn_pause)) = habit.turn(number)
        {
            number += 1;
            (unsent, pause) = (bytes, turn_pause);
        }
        match writer.write(&unsent) {
            Ok(count) => drop(unsent.drain(..count)),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
        if !unsent.is_empty() {
            pause = Duration::ZERO;
        }
        let until = (Instant::now() + pause).min(deadline);
        while Instant::now() < until && !reader.is_finished() {
            let remaining = until.saturating_duration_since(Instant::now());
            std::thread::sleep(remaining.min(Duration::from_millis(20)));
        }
    }
    reader.join().expect("the reader ends")
}

/// Reads what a client is sent until its connection ends or the deadline.
pub fn read_until_end(mut stream: &TcpStream, deadline: Instant) -> Option<ConnectionClose> {
    let mut tail: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return None;
        }
        let timeout = remaining.min(Duration::from_millis(100));
        stream
            .set_read_timeout(Some(timeout))
            .expect("socket is open");
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                tail.extend_from_slice(&chunk[..count]);
                let surplus = tail.len().saturating_sub(4_096);
                tail.drain(..surplus);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => {
                let text = String::from_utf8_lossy(&tail);
                let was_moved = text.contains("\"ldm\":true");
                return Some(ConnectionClose {
                    at: Instant::now(),
                    was_moved,
                });
            }
        }
    }
}
