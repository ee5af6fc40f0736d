//! Send: one proxy pass to one application server.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rustix::io::Errno;
use socket2::{Domain, SockRef, Socket, Type};

use crate::core::{ApplicationServer, PassTimes};
use crate::front::Front;
use crate::net::{self, PollFlags};
use crate::pass::{Asking, Client, GIVEN_UP_LOOK, PassError};
use crate::stages::relay::Link;

/// A pass that stands.
pub struct Passed {
    /// The application server's connection.
    pub server: TcpStream,
    /// What the client is told.
    pub answer: Vec<u8>,
    /// What the server has sent beyond that.
    pub ahead: Vec<u8>,
}

/// Makes a pass. Its connection is closed by the time that an error is known. Guards against an attempt that still
/// counts as out while the next one is made.
pub fn pass<F: Front>(
    front: &F,
    link: &mut Link,
    greeting: &F::Greeting,
    to: &ApplicationServer,
    times: PassTimes,
    connect_timeout: Duration,
) -> Result<Passed, PassError> {
    let server = connect(to.address, link, times, connect_timeout)?;
    net::prepare(&server).map_err(PassError::NotConnected)?;
    let mut asking = Asking::new(server, to, link, times);
    let answer = front.pass(&mut asking, greeting)?;
    let (server, ahead) = asking.into_parts();
    Ok(Passed {
        server,
        answer,
        ahead,
    })
}

/// Connects, for as long as the pass may still begin: one that has not come up by then counts against its server.
/// None is begun for a client that has left, or whose time is up, while the order waited for its thread.
/// The wait ends at once with a client that leaves, and soon with one that the core has given up on: neither has to
/// wait for a server that is late to come up.
pub fn connect(
    to: SocketAddr,
    client: &mut dyn Client,
    times: PassTimes,
    connect_timeout: Duration,
) -> Result<TcpStream, PassError> {
    client.look().map_err(PassError::ClientLeft)?;
    if client.is_given_up() || Instant::now() >= times.begin_by {
        return Err(PassError::Withheld);
    }
    let given_up_at = times.begin_by.min(Instant::now() + connect_timeout);
    let server = begin_to_connect(to).map_err(PassError::NotConnected)?;
    loop {
        let left = given_up_at.saturating_duration_since(Instant::now());
        let sides = [(&server, PollFlags::OUT), (client.stream(), PollFlags::IN)];
        let [is_decided, client_ready] = net::ready(sides, left.min(GIVEN_UP_LOOK));
        if client_ready {
            client.look().map_err(PassError::ClientLeft)?;
        }
        if client.is_given_up() {
            return Err(PassError::Withheld);
        }
        if is_decided {
            let failure = server.take_error().unwrap_or_else(Some);
            return failure.map_or(Ok(server), |error| Err(PassError::NotConnected(error)));
        }
        if left.is_zero() {
            return Err(PassError::NotConnected(io::ErrorKind::TimedOut.into()));
        }
    }
}

/// A connection that is on its way, or up. It does not block.
fn begin_to_connect(to: SocketAddr) -> io::Result<TcpStream> {
    // The same calls to the system as the standard library's connect with a timeout makes.
    let server = TcpStream::from(Socket::new(Domain::for_address(to), Type::STREAM, None)?);
    server.set_nonblocking(true)?;
    match SockRef::from(&server).connect(&to.into()) {
        Err(error) if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => Err(error),
        _ => Ok(server),
    }
}

#[cfg(test)]
mod tests;
