//! A small NATS server and a small NATS client, after the public description of the protocol.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server that accepts every CONNECT, answers every PING, and every message of a verbose client.
/// It runs until the process ends.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
}

#[derive(Default)]
struct ServerState {
    /// It reads and answers nothing until then.
    hangs_until: Option<Instant>,
    /// Names of the clients that it has accepted.
    clients: Vec<String>,
}

impl Server {
    pub fn start() -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
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

    /// Reads and answers nothing for a span.
    pub fn hang_for(&self, span: Duration) {
        self.state.lock().expect("the server's lock").hangs_until = Some(Instant::now() + span);
    }

    /// Names of the clients that it has accepted.
    pub fn clients(&self) -> Vec<String> {
        self.state
            .lock()
            .expect("the server's lock")
            .clients
            .clone()
    }

    fn wait_while_hung(&self) {
        let is_hung = || {
            let state = self.state.lock().expect("the server's lock");
            state
                .hangs_until
                .is_some_and(|until| Instant::now() < until)
        };
        while is_hung() {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let mut out = stream;
        self.wait_while_hung();
        let info = "INFO {\"server_id\":\"s\",\"version\":\"2.10.0\",\"proto\":1,\"headers\":true,\"max_payload\":1048576}\r\n";
        if out.write_all(info.as_bytes()).is_err() {
            return;
        }
        let mut reader = BufReader::new(stream);
        let (mut line, mut is_verbose) = (String::new(), false);
        loop {
            line.clear();
            if !matches!(reader.read_line(&mut line), Ok(count) if count > 0) {
                return;
            }
            self.wait_while_hung();
            let text = line.trim_end();
            let verb = text
                .split(' ')
                .next()
                .unwrap_or_default()
                .to_ascii_uppercase();
            let answer = match verb.as_str() {
                "CONNECT" => {
                    is_verbose = text.contains("\"verbose\":true");
                    let name = text
                        .split("\"name\":\"")
                        .nth(1)
                        .and_then(|rest| rest.split('"').next());
                    let mut state = self.state.lock().expect("the server's lock");
                    state.clients.extend(name.map(str::to_owned));
                    if is_verbose { "+OK\r\n" } else { "" }
                }
                "PING" => "PONG\r\n",
                "PUB" => {
                    let size = text.rsplit(' ').next().and_then(|size| size.parse().ok());
                    let mut payload = vec![0; size.unwrap_or(0) + 2];
                    if reader.read_exact(&mut payload).is_err() {
                        return;
                    }
                    if is_verbose { "+OK\r\n" } else { "" }
                }
                "SUB" | "UNSUB" if is_verbose => "+OK\r\n",
                _ => "",
            };
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// How a client's set-up ended.
#[derive(Clone, Debug)]
pub struct SetUp {
    /// The final answer, or why there was none.
    pub answer: String,
    /// From the last byte of CONNECT to the answer.
    pub took: Duration,
    /// Whether the answer was the PONG of a server.
    pub is_served: bool,
    /// Whether any final answer came.
    pub is_answered: bool,
}

/// Connects as a tenant and waits for the answer, no longer than `wait`. An established connection
/// is closed at once.
pub fn set_up(address: SocketAddr, user: &str, password: &str, wait: Duration) -> SetUp {
    let mut sent_at = Instant::now();
    let exchange = |sent_at: &mut Instant| -> std::io::Result<String> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        let mut reader = BufReader::new(&stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if !line.starts_with("INFO ") {
            return Ok(line);
        }
        let connect = format!(
            "CONNECT {{\"verbose\":false,\"pedantic\":false,\"user\":\"{user}\",\"pass\":\"{password}\",\"name\":\"{user}\",\"lang\":\"review\",\"version\":\"1\",\"protocol\":1}}\r\nPING\r\n"
        );
        (&stream).write_all(connect.as_bytes())?;
        *sent_at = Instant::now();
        loop {
            line.clear();
            stream.set_read_timeout(Some(
                wait.saturating_sub(sent_at.elapsed())
                    .max(Duration::from_millis(1)),
            ))?;
            if reader.read_line(&mut line)? == 0 {
                return Ok(String::new());
            }
            if line.starts_with("PONG") || line.starts_with("-ERR") {
                return Ok(line);
            }
        }
    };
    let result = exchange(&mut sent_at);
    let took = sent_at.elapsed();
    let answer = match &result {
        Ok(line) if line.is_empty() => "closed without an answer".to_owned(),
        Ok(line) => line.trim_end().to_owned(),
        Err(error) => format!("no answer: {error}"),
    };
    let is_served = answer.starts_with("PONG");
    SetUp {
        is_answered: is_served || answer.starts_with("-ERR"),
        answer,
        took,
        is_served,
    }
}

/// What a client with a standing connection saw.
pub enum Seen {
    /// A message was confirmed.
    Confirmed,
    /// It was asked to come again elsewhere.
    Moved,
    /// Another line.
    Line(String),
    /// The connection ended.
    Ended(String),
}

/// A standing connection of a verbose client, set up and read by `on_seen` on a thread of its own
/// until it ends.
pub struct Publisher {
    stream: TcpStream,
}

impl Publisher {
    pub fn connect(
        address: SocketAddr,
        (user, password): (&str, &str),
        name: &str,
        on_seen: impl Fn(Seen) + Send + 'static,
    ) -> Result<Publisher, String> {
        let text = |error: std::io::Error| format!("{name}: {error}");
        let stream = TcpStream::connect(address).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .map_err(text)?;
        let mut reader = BufReader::new(stream.try_clone().map_err(text)?);
        let connect = format!(
            "CONNECT {{\"verbose\":true,\"pedantic\":false,\"user\":\"{user}\",\"pass\":\"{password}\",\"name\":\"{name}\",\"lang\":\"review\",\"version\":\"1\",\"protocol\":1}}\r\nPING\r\n"
        );
        let mut line = String::new();
        reader.read_line(&mut line).map_err(text)?;
        (&stream).write_all(connect.as_bytes()).map_err(text)?;
        loop {
            line.clear();
            if reader.read_line(&mut line).map_err(text)? == 0 || line.starts_with("-ERR") {
                return Err(format!("{name} was not served: {line}"));
            }
            if line.starts_with("PONG") {
                break;
            }
        }
        stream.set_read_timeout(None).map_err(text)?;
        std::thread::spawn(move || {
            loop {
                let mut line = String::new();
                match reader.read_line(&mut line) {
                    Ok(0) => return on_seen(Seen::Ended("closed".to_owned())),
                    Err(error) => return on_seen(Seen::Ended(error.to_string())),
                    Ok(_) if line.starts_with("+OK") => on_seen(Seen::Confirmed),
                    Ok(_) if line.starts_with("INFO ") && line.contains("\"ldm\":true") => {
                        on_seen(Seen::Moved)
                    }
                    Ok(_) => on_seen(Seen::Line(line.trim_end().to_owned())),
                }
            }
        });
        Ok(Publisher { stream })
    }

    /// Publishes a reading.
    pub fn publish(&self, text: &str) -> std::io::Result<()> {
        let message = format!("PUB readings.power {}\r\n{text}\r\n", text.len());
        (&self.stream).write_all(message.as_bytes())
    }
}
