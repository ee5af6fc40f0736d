//! Results of attempts to connect a client to a server, and the handshake with the server.
//!
//! Each front (the code for one protocol) runs the handshake through [`ServerExchange`].

use std::fmt;
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use beaconflow_policy::AttemptOutcome;

use crate::core::{AttemptTiming, Endpoint};
use crate::net::{self, PollFlags, ReadBuffer, ReadError};

/// Maximum number of bytes read ahead from a server.
const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;
/// Interval at which a waiting attempt checks whether the core has abandoned it.
pub const ABANDON_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How far an attempt got before it ended. The outcome for the policy follows from this alone.
#[derive(Debug)]
pub enum AttemptError {
    /// Nothing was sent: the server is draining, the attempt was too late, or the core abandoned
    /// it.
    NotSent,
    /// The client left.
    ClientLeft(ReadError),
    /// Nothing was sent: the front found that the request must not be sent at all.
    Withdrawn,
    /// The connection could not be established.
    NotConnected(io::Error),
    /// The connection broke before the request was written.
    RequestPartlyWritten(usize, io::Error),
    /// The request was written, and no answer came.
    RequestWritten(ReadError),
    /// The server answered that it does not serve the request.
    NotServed(ServerAnswer),
    /// The connection was established and ended.
    ConnectionEnded(ConnectionEnd),
}

/// A server's answer that does not establish the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAnswer {
    /// The server rejected the request without reading it.
    Rejected,
    /// The server is draining and redirects the client.
    Redirected,
    /// Any other answer.
    Error,
}

/// How an established connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The server ended it after announcing the end with a goodbye message.
    Served,
    /// The server redirected the client and ended it.
    Redirected,
    /// The server closed it without a goodbye.
    ServerClosed,
    /// The server's side was reset.
    ServerReset,
    /// The server did not answer in time; the client was migrated.
    ServerUnresponsive,
    /// The server announced its shutdown; the client was migrated.
    ServerLeaving,
    /// The server violated the protocol.
    ServerProtocolError,
    /// The client closed it.
    ClientClosed,
    /// The client's side was reset.
    ClientReset,
    /// The client violated the protocol and is sent this error message.
    ClientProtocolError(&'static str),
    /// The client was migrated.
    Migrated,
    /// The connection was handed over to another process.
    HandedOver,
    /// A migration waited too long for a message to be complete.
    MigrationTimedOut,
}

impl AttemptError {
    /// The error of a partly written request, by the number of bytes written.
    pub fn partly_written((written, error): (usize, io::Error)) -> AttemptError {
        AttemptError::RequestPartlyWritten(written, error)
    }

    /// The error of a server that did not send the greeting that its protocol requires before the
    /// request. Nothing was written.
    pub fn before_request(error: ReadError) -> AttemptError {
        AttemptError::NotConnected(match error {
            ReadError::Broken(error) => error,
            ReadError::TimedOut => io::ErrorKind::TimedOut.into(),
            ReadError::Ended | ReadError::TooLong => io::ErrorKind::InvalidData.into(),
        })
    }

    /// The outcome for the policy.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptError::NotSent => AttemptOutcome::NotSent,
            AttemptError::ClientLeft(_) | AttemptError::Withdrawn => AttemptOutcome::Cancelled,
            AttemptError::NotConnected(_) | AttemptError::RequestPartlyWritten(..) => {
                AttemptOutcome::ConnectFailed
            }
            AttemptError::RequestWritten(ReadError::TimedOut) => AttemptOutcome::TimedOut,
            AttemptError::RequestWritten(ReadError::TooLong)
            | AttemptError::NotServed(ServerAnswer::Error) => AttemptOutcome::ServerError,
            AttemptError::RequestWritten(ReadError::Ended | ReadError::Broken(_)) => {
                AttemptOutcome::Reset
            }
            AttemptError::NotServed(ServerAnswer::Rejected) => AttemptOutcome::Rejected,
            AttemptError::NotServed(ServerAnswer::Redirected) => AttemptOutcome::Cancelled,
            AttemptError::ConnectionEnded(end) => end.outcome(),
        }
    }
}

impl ConnectionEnd {
    fn outcome(self) -> AttemptOutcome {
        match self {
            ConnectionEnd::Served => AttemptOutcome::Served,
            ConnectionEnd::ServerClosed
            | ConnectionEnd::ServerReset
            | ConnectionEnd::ServerUnresponsive
            | ConnectionEnd::ServerProtocolError => AttemptOutcome::Reset,
            ConnectionEnd::Redirected
            | ConnectionEnd::ServerLeaving
            | ConnectionEnd::ClientClosed
            | ConnectionEnd::ClientReset
            | ConnectionEnd::ClientProtocolError(_)
            | ConnectionEnd::Migrated
            | ConnectionEnd::HandedOver
            | ConnectionEnd::MigrationTimedOut => AttemptOutcome::Cancelled,
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptError::NotSent => write!(f, "the request was not sent"),
            AttemptError::ClientLeft(error) => write!(f, "the client left: {error:?}"),
            AttemptError::Withdrawn => write!(f, "the request must not be sent"),
            AttemptError::NotConnected(error) => write!(f, "could not connect: {error}"),
            AttemptError::RequestPartlyWritten(bytes, error) => {
                write!(
                    f,
                    "the connection broke after {bytes} bytes of the request: {error}"
                )
            }
            AttemptError::RequestWritten(error) => {
                write!(f, "no answer after the request was written: {error:?}")
            }
            AttemptError::NotServed(answer) => {
                write!(f, "the server did not serve the request: {answer:?}")
            }
            AttemptError::ConnectionEnded(end) => {
                write!(f, "the established connection ended: {end:?}")
            }
        }
    }
}

/// A client that waits for an attempt.
pub trait WaitingClient {
    /// The client's socket.
    fn stream(&self) -> &TcpStream;

    /// Whether the core has abandoned the attempt.
    fn is_abandoned(&self) -> bool;

    /// Reads and keeps the bytes that the client sends before it is connected to a server.
    ///
    /// # Errors
    ///
    /// Fails if the client has left or sent too much.
    fn read_early(&mut self) -> Result<(), ReadError>;
}

/// The handshake with a server while the client waits.
pub struct ServerExchange<'a> {
    server: TcpStream,
    endpoint: &'a Endpoint,
    client: &'a mut dyn WaitingClient,
    timing: AttemptTiming,
    read_buffer: ReadBuffer,
}

impl<'a> ServerExchange<'a> {
    /// Begins the handshake over a connected socket.
    pub fn new(
        server: TcpStream,
        endpoint: &'a Endpoint,
        client: &'a mut dyn WaitingClient,
        timing: AttemptTiming,
    ) -> ServerExchange<'a> {
        ServerExchange {
            server,
            endpoint,
            client,
            timing,
            read_buffer: ReadBuffer::new(MAX_READ_AHEAD_BYTES),
        }
    }

    /// The server's socket, and the bytes that were received after the last line read.
    pub fn into_parts(self) -> (TcpStream, Vec<u8>) {
        (self.server, self.read_buffer.into_rest())
    }

    /// When the attempt times out.
    pub fn deadline_at(&self) -> Instant {
        self.timing.deadline_at
    }

    /// Writes the request. Just before the first byte, checks that the client still waits, the server
    /// accepts new connections and the time to begin has not passed.
    ///
    /// # Errors
    ///
    /// Returns how far the attempt got.
    pub fn write_request(&mut self, buffers: &[&[u8]]) -> Result<(), AttemptError> {
        self.client.read_early().map_err(AttemptError::ClientLeft)?;
        if self.client.is_abandoned() || Instant::now() >= self.timing.begin_by {
            return Err(AttemptError::NotSent);
        }
        let result = {
            let _write_permit = self.endpoint.begin_write().ok_or(AttemptError::NotSent)?;
            net::write_gathered(&self.server, buffers)
        };
        self.finish_write(result, buffers)
            .map_err(AttemptError::partly_written)
    }

    /// Writes further bytes of the handshake after the request.
    ///
    /// # Errors
    ///
    /// Returns the number of bytes written before the error.
    pub fn write(&self, buffers: &[&[u8]]) -> Result<(), (usize, io::Error)> {
        self.finish_write(net::write_gathered(&self.server, buffers), buffers)
    }

    /// Writes what remains if the write would have blocked, until the deadline.
    fn finish_write(
        &self,
        result: Result<(), (usize, io::Error)>,
        buffers: &[&[u8]],
    ) -> Result<(), (usize, io::Error)> {
        match result {
            Err((written, error)) if net::is_would_block(&error) => {
                let joined = buffers.concat();
                net::write_until(&self.server, &[&joined[written..]], self.timing.deadline_at)
                    .map_err(|(additional, error)| (written + additional, error))
            }
            other => other,
        }
    }

    /// Reads the server's next line. Fails at once if the client leaves; `to_error` converts the read
    /// error if the server sends no line or the core abandons the attempt.
    ///
    /// # Errors
    ///
    /// Returns how far the attempt got.
    pub fn read_line(
        &mut self,
        to_error: impl Fn(ReadError) -> AttemptError,
    ) -> Result<Vec<u8>, AttemptError> {
        loop {
            if let Some(line) = self.read_buffer.next_line() {
                return Ok(line);
            }
            let remaining = self
                .timing
                .deadline_at
                .saturating_duration_since(Instant::now());
            let sockets = [
                (&self.server, PollFlags::IN),
                (self.client.stream(), PollFlags::IN),
            ];
            let [server_ready, client_ready] =
                net::wait_ready(sockets, remaining.min(ABANDON_CHECK_INTERVAL));
            if self.client.is_abandoned() {
                return Err(to_error(ReadError::TimedOut));
            }
            if client_ready {
                self.client.read_early().map_err(AttemptError::ClientLeft)?;
            }
            if server_ready || remaining.is_zero() {
                self.read_buffer
                    .read(&self.server, Instant::now())
                    .or_else(|error| match error {
                        ReadError::TimedOut if !remaining.is_zero() => Ok(()),
                        error => Err(to_error(error)),
                    })?;
            }
        }
    }
}
