//! Send: one proxy pass to one application server.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::core::ApplicationServer;
use crate::front::Front;
use crate::net;
use crate::pass::{Asking, PassError};
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
    until: Instant,
    connect_timeout: Duration,
) -> Result<Passed, PassError> {
    let within = until.saturating_duration_since(Instant::now());
    // A wait of nothing is no wait to the system, but an error.
    let patience = connect_timeout.min(within).max(Duration::from_millis(1));
    let server = TcpStream::connect_timeout(&to.address, patience).map_err(PassError::NotConnected)?;
    net::prepare(&server).map_err(PassError::NotConnected)?;
    let mut asking = Asking::new(server, to, link, until);
    let answer = front.pass(&mut asking, greeting)?;
    let (server, ahead) = asking.into_parts();
    Ok(Passed { server, answer, ahead })
}
