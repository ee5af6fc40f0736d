//! Peers that speak lines: clients, and servers by the script of a test.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::{TEST_TIMEOUT, wait_for};

/// One end of a connection that speaks lines.
pub struct Peer {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a socket");
        let reader = BufReader::new(stream.try_clone().expect("a socket"));
        Peer { stream, reader }
    }

    pub fn connect(to: SocketAddr) -> Peer {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            match TcpStream::connect(to) {
                Ok(stream) => return Peer::new(stream),
                Err(error) => assert!(Instant::now() < deadline, "{to}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The next connection. Guards against a test that would wait without an end.
    pub fn accept(from: &TcpListener) -> Peer {
        wait_for("a connection", || Peer::try_accept(from))
    }

    /// A connection that has come already.
    pub fn try_accept(from: &TcpListener) -> Option<Peer> {
        from.set_nonblocking(true).expect("open");
        let (stream, _) = from.accept().ok()?;
        stream.set_nonblocking(false).expect("open");
        Some(Peer::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the peer reads");
    }

    /// The next line without its end; nothing at the end of the connection.
    pub fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
            Err(error) => panic!("no line: {error}"),
        }
    }

    /// The same, where a reset is an end too.
    pub fn read_line_or_end(&mut self) -> Option<String> {
        let mut line = String::new();
        self.reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        Some(line)
    }

    pub fn expect_line(&mut self, text: &str) {
        assert_eq!(self.read_line().as_deref(), Some(text));
    }

    /// So many bytes as they come.
    pub fn read_text(&mut self, count: usize) -> String {
        let mut bytes = vec![0; count];
        self.reader.read_exact(&mut bytes).expect("so many bytes");
        String::from_utf8(bytes).expect("text")
    }

    pub fn expect_end(&mut self) {
        assert_eq!(self.read_line(), None, "nothing but the end");
    }

    /// Waits for the connection's end, in order or not: a peer at fault may be owed no more than a close.
    pub fn is_closed(&mut self) -> bool {
        let is_reset = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionReset;
        self.reader
            .read(&mut [0])
            .map_or_else(is_reset, |count| count == 0)
    }

    /// Whether the connection was reset.
    pub fn was_reset(&mut self) -> bool {
        self.reader
            .read(&mut [0])
            .is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
    }

    pub fn shutdown_write(&self) {
        self.stream.shutdown(Shutdown::Write).expect("open");
    }
}

/// Has an application server take every opening and answer every line, for as long as the test runs.
pub fn serve_all_openings(server: TcpListener) {
    std::thread::spawn(move || {
        while let Ok((stream, _)) = server.accept() {
            std::thread::spawn(move || answer_lines(Peer::new(stream)));
        }
    });
}

fn answer_lines(mut peer: Peer) {
    let Some(opening) = peer.read_line() else {
        return;
    };
    assert!(opening.starts_with("OPEN "), "{opening}");
    if peer.stream.write_all(b"UP r\r\n").is_err() {
        return;
    }
    while let Some(line) = peer.read_line_or_end() {
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
