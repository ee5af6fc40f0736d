//! One attempt: connect to a server and exchange the handshake.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rustix::io::Errno;
use socket2::SockRef;

use crate::attempt::{ABANDON_CHECK_INTERVAL, AttemptError, ServerExchange, WaitingClient};
use crate::connections::relay::ClientConnection;
use crate::core::{AttemptTiming, Endpoint};
use crate::front::Front;
use crate::net::{self, PollFlags};

/// A server that accepted the connection.
pub struct EstablishedServer {
    /// The non-blocking socket of the server.
    pub server: TcpStream,
    /// The answer for the client.
    pub answer: Vec<u8>,
    /// Bytes that the server sent beyond the answer.
    pub read_ahead: Vec<u8>,
}

/// Makes an attempt. Its socket is closed before an error is returned, so that the attempts of one
/// request never overlap.
///
/// # Errors
///
/// Returns how far the attempt got.
pub fn attempt<F: Front>(
    front: &F,
    client_connection: &mut ClientConnection,
    server_handshake: &F::ServerHandshake,
    endpoint: &Endpoint,
    timing: AttemptTiming,
    connect_timeout: Duration,
) -> Result<EstablishedServer, AttemptError> {
    let server = connect(endpoint.address, client_connection, timing, connect_timeout)?;
    net::configure_stream(&server).map_err(AttemptError::NotConnected)?;
    let mut exchange = ServerExchange::new(server, endpoint, client_connection, timing);
    let answer = front.request_connection(&mut exchange, server_handshake)?;
    let (server, read_ahead) = exchange.into_parts();
    Ok(EstablishedServer {
        server,
        answer,
        read_ahead,
    })
}

/// Connects while the attempt may still begin. A connect that takes longer counts against the
/// server. It ends at once if the client leaves, and soon after the core has abandoned it.
///
/// # Errors
///
/// Fails if the client has left, the attempt is too late or abandoned, or the connect fails.
pub fn connect(
    address: SocketAddr,
    client: &mut dyn WaitingClient,
    timing: AttemptTiming,
    connect_timeout: Duration,
) -> Result<TcpStream, AttemptError> {
    client.read_early().map_err(AttemptError::ClientLeft)?;
    if client.is_abandoned() || Instant::now() >= timing.begin_by {
        return Err(AttemptError::NotSent);
    }
    let connect_deadline_at = timing.begin_by.min(Instant::now() + connect_timeout);
    let server = start_connect(address).map_err(AttemptError::NotConnected)?;
    loop {
        let remaining = connect_deadline_at.saturating_duration_since(Instant::now());
        let sides = [(&server, PollFlags::OUT), (client.stream(), PollFlags::IN)];
        let [is_connect_done, client_ready] =
            net::wait_ready(sides, remaining.min(ABANDON_CHECK_INTERVAL));
        if client_ready {
            client.read_early().map_err(AttemptError::ClientLeft)?;
        }
        if client.is_abandoned() {
            return Err(AttemptError::NotSent);
        }
        if is_connect_done {
            let connect_error = server.take_error().unwrap_or_else(Some);
            return connect_error
                .map_or(Ok(server), |error| Err(AttemptError::NotConnected(error)));
        }
        if remaining.is_zero() {
            return Err(AttemptError::NotConnected(io::ErrorKind::TimedOut.into()));
        }
    }
}

/// Starts a non-blocking connect.
fn start_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let server = TcpStream::from(net::outgoing_socket(address)?);
    server.set_nonblocking(true)?;
    match SockRef::from(&server).connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => Err(error),
        _ => Ok(server),
    }
}

#[cfg(test)]
mod tests;
