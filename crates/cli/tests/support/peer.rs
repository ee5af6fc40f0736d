//! Peers of line-based connections: clients, and servers scripted by a test.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::{TEST_TIMEOUT, wait_for};

/// One end of a line-based connection; reads fail after `TEST_TIMEOUT`.
pub struct Peer {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("socket is open");
        let reader = BufReader::new(stream.try_clone().expect("socket is open"));
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

    /// Accepts the next connection; fails after `TEST_TIMEOUT`, so that no test waits forever.
    pub fn accept(from: &TcpListener) -> Peer {
        wait_for("a connection", || Peer::try_accept(from))
    }

    /// Accepts a connection that is already pending.
    pub fn try_accept(from: &TcpListener) -> Option<Peer> {
        from.set_nonblocking(true).expect("socket is open");
        let (stream, _) = from.accept().ok()?;
        stream.set_nonblocking(false).expect("socket is open");
        Some(Peer::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("peer accepts data");
    }

    /// Reads the next line without its line ending; `None` at the end of the connection.
    pub fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
            Err(error) => panic!("reading a line failed: {error}"),
        }
    }

    /// Like `read_line`, but keeps the line ending and treats a reset as the end of the connection.
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

    /// Reads exactly this many bytes as text.
    pub fn read_text(&mut self, count: usize) -> String {
        let mut bytes = vec![0; count];
        self.reader
            .read_exact(&mut bytes)
            .expect("requested number of bytes");
        String::from_utf8(bytes).expect("valid UTF-8")
    }

    pub fn expect_end(&mut self) {
        assert_eq!(
            self.read_line(),
            None,
            "connection ends without further data"
        );
    }

    /// Waits until the connection is closed or reset: a peer that broke the protocol may get no more than a close.
    pub fn is_closed(&mut self) -> bool {
        let is_reset = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionReset;
        self.reader
            .read(&mut [0])
            .map_or_else(is_reset, |count| count == 0)
    }

    /// Waits for the next byte or the end of the connection; true if it was reset.
    pub fn was_reset(&mut self) -> bool {
        self.reader
            .read(&mut [0])
            .is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
    }

    pub fn shutdown_write(&self) {
        self.stream
            .shutdown(Shutdown::Write)
            .expect("socket is open");
    }
}

/// Has an application server accept every opening and answer every line for the duration of the test.
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
        // A client that asks for half a line has to ask for the rest.
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
