//! Handover of established connections to the process that replaces this one: two sockets, the
//! client's request line and what the server owes are passed on. Client and server do not notice.
//!
//! The processes connect through a Unix socket in `$TMPDIR`, which each new process replaces by its
//! own. A process that finds no socket, its own one or one whose process does not greet migrates its
//! clients instead.

use std::io::{self, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use rustix::net::sockopt::socket_peercred;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use socket2::{Socket, Type};
use tracing::info;

use crate::log::RateLimitedLog;
use crate::net;
use crate::net::unix_socket::{self, PeerLimit};

/// The part that log messages name.
const PART: &str = "handover";
/// Most processes that send at a time. Usually one does, the former process.
const MAX_SENDERS: usize = 2;
/// Time for which a migrated client is read before its socket is closed, short since further
/// connections wait meanwhile.
const MIGRATED_CLIENT_TIMEOUT: Duration = Duration::from_millis(2);
/// Longest message: a server's name, a request line and what the server owes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024;
/// Most unanswered messages of one connection; a client that sends more violates the protocol.
pub const MAX_UNANSWERED: usize = 1024;
/// What a process that takes connections over sends first to each sender. A process that is hung or
/// suspended accepts senders and messages too.
const GREETING: &[u8] = b"ready";
/// Longest wait of a sender for the greeting; the connections of all clients wait meanwhile.
const GREETING_TIMEOUT: Duration = Duration::from_millis(100);
/// Keeps message boundaries: a message arrives as a whole or not at all.
const SOCKET_TYPE: Type = Type::SEQPACKET;

/// Separates the number and the age of unanswered requests, in milliseconds.
const UNANSWERED_SEPARATOR: char = ' ';

/// The requests of a connection that its server has not answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnansweredRequests {
    /// Number of requests.
    pub count: usize,
    /// Age of the oldest one.
    pub age: Duration,
}

impl UnansweredRequests {
    /// The last line of a message. A server that owes nothing has none, as in messages of former
    /// versions.
    fn encode(self) -> String {
        if self.count == 0 {
            return String::new();
        }
        let age_ms = self.age.as_millis();
        format!("\n{}{UNANSWERED_SEPARATOR}{age_ms}", self.count)
    }

    fn decode(line: &[u8]) -> Option<UnansweredRequests> {
        let line = std::str::from_utf8(line).ok()?;
        let (count, age_ms) = line.split_once(UNANSWERED_SEPARATOR)?;
        Some(UnansweredRequests {
            // An untrusted number must not make this process reserve memory.
            count: count.parse::<usize>().ok()?.min(MAX_UNANSWERED),
            age: Duration::from_millis(age_ms.parse().ok()?),
        })
    }
}

/// A connection received from another process.
pub struct TransferredConnection {
    /// The client's socket.
    pub client: TcpStream,
    /// The server's socket.
    pub server: TcpStream,
    /// The server's name.
    pub server_name: String,
    /// The client's request line.
    pub request_line: Vec<u8>,
    /// What the server owes.
    pub unanswered: UnansweredRequests,
}

impl TransferredConnection {
    /// Asks the client to migrate, waits a moment for it to leave, and closes both sides.
    pub fn migrate(self, migration_message: &[u8]) {
        net::close(&self.server);
        // A client that has left needs no message.
        let _ = net::write_gathered(&self.client, &[migration_message]);
        net::shutdown_write(&self.client);
        net::discard_until_end(&self.client, MIGRATED_CLIENT_TIMEOUT);
    }
}

/// Path of the Unix socket of one balancer's processes.
#[derive(Clone, Debug)]
pub struct HandoverAddress(PathBuf);

impl HandoverAddress {
    /// The address for the balancer `name`, in a folder that all its processes share.
    pub fn new(folder: &Path, name: &str) -> HandoverAddress {
        HandoverAddress(folder.join(format!(
            "handover-{:016x}",
            beaconflow_settings::digest(name)
        )))
    }

    /// Starts receiving connections, those of each sender on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be created or put in place.
    pub fn receive(
        &self,
        on_connection: impl Fn(TransferredConnection) + Send + Sync + 'static,
    ) -> io::Result<()> {
        let listener = unix_socket::listen_in_place(&self.0, SOCKET_TYPE)?;
        let on_connection = Arc::new(on_connection);
        let limit = PeerLimit::new(MAX_SENDERS);
        let warnings = Arc::new(RateLimitedLog::default());
        let start_receiver = move |sender: Socket| {
            let Some(place) = limit.take() else {
                return warnings.warn(PART, "too many senders", &"refused one");
            };
            let (on_connection, receiver_warnings) =
                (Arc::clone(&on_connection), Arc::clone(&warnings));
            let run = move || {
                let _place = place;
                let count = receive_all(&sender, &*on_connection, &receiver_warnings);
                if count > 0 {
                    info!(part = PART, taken = count, "connections taken over");
                }
            };
            if let Err(error) = thread_builder().spawn(run) {
                warnings.warn(PART, "could not start a thread", &error);
            }
        };
        let accept = move || {
            unix_socket::accept_peers(
                PART,
                || listener.accept().map(|(sender, _)| sender),
                start_receiver,
            )
        };
        thread_builder().spawn(accept).map(drop)
    }

    /// Connects to the process that replaces this one, if there is one, and waits a moment for its
    /// greeting.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be used.
    pub fn connect(&self) -> io::Result<Option<HandoverSender>> {
        let Some(socket) = unix_socket::connect_if_present(&self.0, SOCKET_TYPE)? else {
            return Ok(None);
        };
        let peer_pid = socket_peercred(&socket)?.pid.as_raw_nonzero().get();
        if u32::try_from(peer_pid).is_ok_and(|peer_pid| peer_pid == std::process::id()) {
            return Ok(None);
        }
        socket.set_read_timeout(Some(GREETING_TIMEOUT))?;
        let mut sender = HandoverSender {
            socket,
            is_greeted: false,
        };
        sender.is_ready();
        // The sender serves all clients and must not block.
        sender.socket.set_nonblocking(true)?;
        Ok(Some(sender))
    }
}

/// Sends connections to the process that replaces this one.
pub struct HandoverSender {
    socket: Socket,
    /// Whether the other process has shown that it runs.
    is_greeted: bool,
}

impl HandoverSender {
    /// Whether the other process has shown that it takes connections over. Until then it must not be
    /// sent any.
    pub fn is_ready(&mut self) -> bool {
        if !self.is_greeted {
            let mut greeting = [0; GREETING.len()];
            self.is_greeted = (&self.socket)
                .read(&mut greeting)
                .is_ok_and(|count| &greeting[..count] == GREETING);
        }
        self.is_greeted
    }

    /// Hands a connection over. Afterwards this process may only close its sockets.
    ///
    /// # Errors
    ///
    /// Fails with an error that would block if hundreds are in transit; the connection is then sent
    /// later.
    pub fn send(
        &self,
        (client, server): (&TcpStream, &TcpStream),
        server_name: &str,
        request_line: &[u8],
        unanswered: UnansweredRequests,
    ) -> io::Result<()> {
        let mut ancillary_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut ancillary = SendAncillaryBuffer::new(&mut ancillary_space);
        let sockets = [client.as_fd(), server.as_fd()];
        if !ancillary.push(SendAncillaryMessage::ScmRights(&sockets)) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let unanswered = unanswered.encode();
        let message = [
            IoSlice::new(server_name.as_bytes()),
            IoSlice::new(b"\n"),
            IoSlice::new(request_line),
            IoSlice::new(unanswered.as_bytes()),
        ];
        sendmsg(&self.socket, &message, &mut ancillary, SendFlags::NOSIGNAL)?;
        Ok(())
    }
}

fn thread_builder() -> std::thread::Builder {
    std::thread::Builder::new()
        .name("handover".into())
        .stack_size(net::THREAD_STACK_BYTES)
}

/// Receives from one sender until it ends; returns the number of connections.
fn receive_all(
    sender: &Socket,
    on_connection: &impl Fn(TransferredConnection),
    warnings: &RateLimitedLog,
) -> usize {
    let mut count = 0;
    if let Err(error) = sender.send(GREETING) {
        warnings.warn(PART, "could not greet a sender", &error);
        return count;
    }
    loop {
        match receive_one(sender) {
            Ok(Some(transferred)) => {
                count += 1;
                on_connection(transferred);
            }
            Ok(None) => return count,
            Err(error) => {
                warnings.warn(PART, "could not receive a connection", &error);
                if error.kind() != io::ErrorKind::InvalidData {
                    return count;
                }
            }
        }
    }
}

/// Receives the next connection, or `None` at the end.
fn receive_one(sender: &Socket) -> io::Result<Option<TransferredConnection>> {
    let mut bytes = vec![0; MAX_MESSAGE_BYTES];
    let mut ancillary_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut ancillary_space);
    let received = recvmsg(
        sender,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut ancillary,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let mut sockets: Vec<OwnedFd> = Vec::new();
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            sockets.extend(descriptors);
        }
    }
    if received.bytes == 0 {
        return Ok(None);
    }
    bytes.truncate(received.bytes);
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let mut lines = bytes.splitn(3, |byte| *byte == b'\n');
    let server_name = lines.next().unwrap_or_default().to_vec();
    let server_name = String::from_utf8(server_name).map_err(|_| invalid())?;
    let request_line = lines.next().ok_or_else(invalid)?.to_vec();
    let unanswered = match lines.next() {
        Some(line) => UnansweredRequests::decode(line).ok_or_else(invalid)?,
        None => UnansweredRequests::default(),
    };
    let [client, server] = <[OwnedFd; 2]>::try_from(sockets).map_err(|_| invalid())?;
    let (client, server) = (TcpStream::from(client), TcpStream::from(server));
    // A sender that is not a former process may pass on sockets that block.
    net::configure_stream(&client)?;
    net::configure_stream(&server)?;
    Ok(Some(TransferredConnection {
        client,
        server,
        server_name,
        request_line,
        unanswered,
    }))
}

#[cfg(test)]
mod tests;
