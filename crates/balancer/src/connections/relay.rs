//! Relay of an established connection in both directions, and its end.
//!
//! Nothing here blocks: the owner of a connection polls both sides and reports which one is ready.

mod client;
mod ending;
mod liveness;
mod message_hold;
mod migration;
mod monitor;
mod supervision;

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::attempt::ConnectionEnd;
use crate::core::{CoreHandle, CoreInput};
use crate::front::{FrameProgress, Framer, Front, MessageKind, ProtocolError};
use crate::handover::{MAX_UNANSWERED, UnansweredRequests};
use crate::net::{self, WriteBuffer};
use crate::poller::EventFlags;
pub use client::ClientConnection;
use liveness::ServerLiveness;
pub use message_hold::HeldBytes;
use message_hold::MessageHold;
use monitor::ServerMonitor;
use supervision::WriteStalls;

/// Interval of the timeout checks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A migration waits this long for the end of a message that has begun.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(700);
/// Bytes read at a time.
const READ_CHUNK_BYTES: usize = 4096;
/// Most bytes that the system buffers for a server that is sent keepalives. A keepalive is sent
/// behind them, so that a slow server is late with its answer by the time that it takes for them.
const SERVER_SEND_BUFFER_BYTES: usize = 128 * 1024;

/// An established connection.
pub struct EstablishedConnection {
    client: ClientConnection,
    server: TcpStream,
    framer: Box<dyn Framer>,
    /// The beginning of an incomplete message of the server.
    unforwarded: Vec<u8>,
    to_server: WriteBuffer,
    /// Why writes to the client fail. The client's remaining input and its end are still read.
    client_write_error: Option<ErrorKind>,
    /// Why writes to the server fail.
    server_write_error: Option<ErrorKind>,
    /// The client's incomplete message.
    message_hold: MessageHold,
    write_stalls: WriteStalls,
    monitor: ServerMonitor,
}

/// A side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The client.
    Client,
    /// The server.
    Server,
}

impl EstablishedConnection {
    /// Creates a connection from a successful attempt, or one of another process with what its
    /// server owes; [`EstablishedConnection::start_relay`] begins the relay of a new one.
    pub fn new<F: Front>(
        front: &F,
        client: ClientConnection,
        server: TcpStream,
        (core, id): (&CoreHandle, u64),
        held_bytes: &HeldBytes,
        unanswered: UnansweredRequests,
    ) -> EstablishedConnection {
        let now = Instant::now();
        let has_keepalive = front.response_limits().keepalive.is_some();
        if has_keepalive {
            net::limit_send_buffer(&server, SERVER_SEND_BUFFER_BYTES);
        }
        let monitor = ServerMonitor {
            core: core.clone(),
            id,
            liveness: ServerLiveness::new(now, unanswered),
            was_slow: false,
            message_started_at: now,
            received_at: now,
            last_message: None,
            migration: None,
        };
        EstablishedConnection {
            client,
            server,
            framer: front.server_framer(),
            unforwarded: Vec::new(),
            to_server: WriteBuffer::default(),
            client_write_error: None,
            server_write_error: None,
            message_hold: MessageHold::new(has_keepalive.then(|| held_bytes.clone())),
            write_stalls: WriteStalls::default(),
            monitor,
        }
    }

    /// Writes the answer to the client and the early bytes to the server, then relays what the
    /// server sent beyond its answer.
    pub fn start_relay(
        &mut self,
        (answer, read_ahead): (&[u8], &[u8]),
        migration_message: &[u8],
    ) -> Result<(), ConnectionEnd> {
        self.write_to_client(&[answer]);
        self.relay_to_server(&[])?;
        self.monitor
            .core
            .send(CoreInput::AttemptEstablished(self.monitor.id));
        self.relay_to_client(read_ahead, migration_message)
    }

    /// The client's and the server's socket.
    pub fn streams(&self) -> (&TcpStream, &TcpStream) {
        (&self.client.client, &self.server)
    }

    /// The events to poll both sides for. A side is read only while the other one has taken
    /// everything.
    pub fn interest(&self) -> (EventFlags, EventFlags) {
        let wanted_events = |own: &WriteBuffer, other: &WriteBuffer| {
            let read = if other.is_empty() {
                EventFlags::IN
            } else {
                EventFlags::empty()
            };
            if own.is_empty() {
                read
            } else {
                read | EventFlags::OUT
            }
        };
        (
            wanted_events(&self.client.outgoing, &self.to_server),
            wanted_events(&self.to_server, &self.client.outgoing),
        )
    }

    /// Handles a side that is ready: writes what is outgoing and relays what was read.
    pub fn on_ready(&mut self, side: Side, migration_message: &[u8]) -> Result<(), ConnectionEnd> {
        self.flush(side);
        let mut chunk = [0; READ_CHUNK_BYTES];
        match side {
            Side::Client if self.to_server.is_empty() => match (&self.client.client)
                .read(&mut chunk)
            {
                Ok(0) => return Err(self.client_end()),
                // What a client sent before its reset can still be read, but nobody waits for it.
                Ok(READ_CHUNK_BYTES) if self.is_client_reset() => {
                    return Err(ConnectionEnd::ClientReset);
                }
                Ok(count) => self.relay_to_server(&chunk[..count])?,
                Err(error) if net::is_would_block(&error) && self.client_write_error.is_none() => {}
                Err(_) => return Err(ConnectionEnd::ClientReset),
            },
            Side::Server if self.client.outgoing.is_empty() => {
                match (&self.server).read(&mut chunk) {
                    Ok(0) => return Err(self.server_end()),
                    Ok(count) => self.relay_to_client(&chunk[..count], migration_message)?,
                    Err(error)
                        if net::is_would_block(&error) && self.server_write_error.is_none() => {}
                    Err(_) => {
                        return Err(self.announced_end().unwrap_or(ConnectionEnd::ServerReset));
                    }
                }
            }
            Side::Client | Side::Server => {}
        }
        self.continue_migration(migration_message)
    }

    /// Writes what is outgoing to a side.
    fn flush(&mut self, side: Side) {
        match side {
            Side::Client => self.write_to_client(&[]),
            Side::Server => self.write_to_server(&[]),
        }
    }

    /// Writes to the client. A failed write does not end the connection, since a client that closed
    /// normally may have sent input that is still unread.
    fn write_to_client(&mut self, buffers: &[&[u8]]) {
        let EstablishedConnection {
            client: ClientConnection {
                client, outgoing, ..
            },
            client_write_error,
            ..
        } = self;
        write(client, outgoing, buffers, client_write_error);
    }

    /// Writes to the server. After a failed write, the server's last lines still go to the client.
    fn write_to_server(&mut self, buffers: &[&[u8]]) {
        let bytes = buffers.iter().map(|buffer| buffer.len()).sum();
        self.monitor.liveness.on_sent(bytes);
        write(
            &self.server,
            &mut self.to_server,
            buffers,
            &mut self.server_write_error,
        );
    }

    /// Whether the client has reset the connection, also if its input is still unread.
    fn is_client_reset(&self) -> bool {
        was_reset(self.client_write_error)
            || self.client.client.take_error().is_ok_and(|error| {
                error.is_some_and(|error| error.kind() == ErrorKind::ConnectionReset)
            })
    }

    /// What the server owes, for the process that takes the connection over.
    pub fn unanswered_requests(&self) -> UnansweredRequests {
        self.monitor.liveness.unanswered(Instant::now())
    }

    /// Whether this process buffers no bytes of the connection and both sides are between messages.
    pub fn can_be_handed_over(&self) -> bool {
        let has_unsent = !(self.client.outgoing.is_empty() && self.to_server.is_empty());
        let has_unforwarded = !(self.client.unforwarded.is_empty() && self.unforwarded.is_empty());
        let is_at_boundary = self.client.framer.is_at_boundary() && self.framer.is_at_boundary();
        let has_write_error =
            self.client_write_error.is_some() || self.server_write_error.is_some();
        is_at_boundary
            && !has_unsent
            && !has_unforwarded
            && !has_write_error
            && !self.client.has_final_message
            && self.monitor.migration.is_none()
    }

    /// Relays what the client sent, up to the last complete message.
    fn relay_to_server(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        let client_connection = &mut self.client;
        client_connection.unforwarded.extend_from_slice(bytes);
        let mut request_count = 0;
        let progress =
            client_connection
                .framer
                .advance(&client_connection.unforwarded, &mut |kind| {
                    request_count += usize::from(kind == MessageKind::Request);
                    true
                });
        let FrameProgress {
            consumed, boundary, ..
        } = progress
            .map_err(|ProtocolError { answer }| ConnectionEnd::ClientProtocolError(answer))?;
        let liveness = &mut self.monitor.liveness;
        if liveness.unanswered_count() + request_count > MAX_UNANSWERED {
            return Err(ConnectionEnd::ClientProtocolError(""));
        }
        let framed = client_connection.unforwarded.drain(..consumed).collect();
        let message = self.message_hold.add(framed, boundary);
        self.write_to_server(&[&message]);
        let now = Instant::now();
        for _ in 0..request_count {
            self.monitor.liveness.on_request(now, false);
        }
        Ok(())
    }

    /// Relays what the server sent, up to the last complete message. A pending migration is written
    /// at the last boundary.
    fn relay_to_client(
        &mut self,
        bytes: &[u8],
        migration_message: &[u8],
    ) -> Result<(), ConnectionEnd> {
        let now = Instant::now();
        self.monitor.received_at = now;
        let is_mid_message = !self.unforwarded.is_empty() || !self.framer.is_at_boundary();
        if !is_mid_message {
            self.monitor.message_started_at = now;
        }
        self.monitor
            .liveness
            .on_received(now, bytes.len(), is_mid_message);
        self.unforwarded.extend_from_slice(bytes);
        // A message in the same bytes as the migration request has begun; the migration waits for
        // its end.
        let is_migrating = self.monitor.migration.is_some();
        let monitor = &mut self.monitor;
        let progress = self.framer.advance(&self.unforwarded, &mut |kind| {
            monitor.on_server_message(kind)
        });
        let FrameProgress {
            consumed,
            boundary,
            dropped,
        } = progress.map_err(|_| ConnectionEnd::ServerProtocolError)?;
        let migration_boundary = boundary.filter(|_| is_migrating);
        let end = migration_boundary.unwrap_or(consumed);
        let message: Vec<u8> = self.unforwarded.drain(..consumed).collect();
        let (mut buffers, mut start) = (Vec::with_capacity(dropped.len() + 2), 0);
        for gap in dropped.iter().filter(|gap| gap.end <= end) {
            buffers.push(&message[start..gap.start]);
            start = gap.end;
        }
        buffers.push(&message[start..end]);
        if migration_boundary.is_some() {
            buffers.push(migration_message);
            self.client.has_final_message = true;
        }
        self.write_to_client(&buffers);
        Ok(())
    }
}

/// Writes what can be written now. After a failed write, nothing more is written to that side.
fn write(
    to: &TcpStream,
    out: &mut WriteBuffer,
    buffers: &[&[u8]],
    write_error: &mut Option<ErrorKind>,
) {
    if write_error.is_some() {
        return;
    }
    let written = if buffers.is_empty() {
        out.flush(to)
    } else {
        out.send(to, buffers)
    };
    if let Err(error) = written {
        *write_error = Some(error.kind());
        *out = WriteBuffer::default();
    }
}

/// Whether a side was reset. Writes to a side that closed normally fail with a broken pipe.
fn was_reset(write_error: Option<ErrorKind>) -> bool {
    write_error.is_some_and(|kind| kind != ErrorKind::BrokenPipe)
}
