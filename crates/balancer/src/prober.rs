//! The prober: requests the load of servers over one connection to each, which is kept while it is
//! used.
//!
//! One thread serves all of them without blocking. The front defines the request and parses the
//! answer.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use beaconflow_policy::{ProbeAnswer, ServerId};
use crossbeam_channel::{Receiver, Sender, unbounded};
use tracing::debug;

use crate::core::{Endpoint, LoadProber};
use crate::net::{self, ReadBuffer, ReadError};
use crate::poller::{EventFlags, Poller, Waker};

/// Longest answer that is read.
const MAX_ANSWER_BYTES: usize = 4096;
/// A connection that is not used for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait between two checks of timeouts.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A front's probe for a server's load.
#[derive(Clone, Copy, Debug)]
pub struct LoadProbe {
    /// The request.
    pub request: &'static [u8],
    /// Parses the line that answers it.
    pub parse: fn(&[u8]) -> ProbeAnswer,
}

/// A handle to the prober.
#[derive(Clone, Debug)]
pub struct ProberHandle {
    probes: Sender<(ServerId, Arc<Endpoint>)>,
    waker: Waker,
}

impl LoadProber for ProberHandle {
    fn probe(&self, id: ServerId, server: Arc<Endpoint>) {
        // If the prober has ended, the policy's own timer fires.
        let _ = self.probes.send((id, server));
        self.waker.wake();
    }
}

/// A connection to one server.
struct ProbeConnection {
    stream: TcpStream,
    address: SocketAddr,
    read_buffer: ReadBuffer,
    /// The events it is polled for.
    interest: EventFlags,
    /// Whether the connect is pending.
    is_connecting: bool,
    /// When the unanswered probe was sent.
    pending_since: Option<Instant>,
    used_at: Instant,
}

/// Sends probes and reads their answers.
pub struct Prober {
    probes: Receiver<(ServerId, Arc<Endpoint>)>,
    poller: Poller,
    connections: BTreeMap<ServerId, ProbeConnection>,
    probe: LoadProbe,
    /// Timeout of a probe.
    timeout: Box<dyn Fn() -> Duration + Send>,
    /// Number of connections, for the descriptor budget.
    connection_count: Arc<AtomicUsize>,
    /// Most connections that are allowed at present.
    max_connections: Box<dyn Fn() -> usize + Send>,
}

impl Prober {
    /// Creates a prober and its handle.
    ///
    /// # Errors
    ///
    /// Fails if the poller can't be created.
    pub fn new(
        probe: LoadProbe,
        timeout: impl Fn() -> Duration + Send + 'static,
    ) -> io::Result<(Prober, ProberHandle)> {
        let timeout = Box::new(timeout);
        let (probe_sender, probes) = unbounded();
        let poller = Poller::new()?;
        let handle = ProberHandle {
            probes: probe_sender,
            waker: poller.waker(),
        };
        let (connections, connection_count) = (BTreeMap::new(), Arc::default());
        let max_connections = Box::new(|| usize::MAX);
        Ok((
            Prober {
                probes,
                poller,
                connections,
                probe,
                timeout,
                connection_count,
                max_connections,
            },
            handle,
        ))
    }

    /// Publishes the number of connections and limits it, so that descriptors are left for clients,
    /// servers, discovery and operators.
    pub fn with_limit(
        self,
        connection_count: Arc<AtomicUsize>,
        max_connections: impl Fn() -> usize + Send + 'static,
    ) -> Prober {
        Prober {
            connection_count,
            max_connections: Box::new(max_connections),
            ..self
        }
    }

    /// Runs until all handles are dropped; reports the answer to each probe, or `None` if there was
    /// none.
    pub fn run(mut self, on_answer: impl Fn(ServerId, ProbeAnswer)) {
        loop {
            let ready_tokens = self.poller.wait(self.wait_timeout());
            for token in ready_tokens {
                let id = ServerId(u32::try_from(token).unwrap_or(u32::MAX));
                self.on_ready(id, &on_answer);
            }
            loop {
                match self.probes.try_recv() {
                    Ok((id, server)) => self.start_probe(id, &server, &on_answer),
                    Err(error) if error.is_disconnected() => return,
                    Err(_) => break,
                }
            }
            self.close_expired(&on_answer);
            self.publish_count();
        }
    }

    fn publish_count(&self) {
        self.connection_count
            .store(self.connections.len(), Ordering::Relaxed);
    }

    /// Closes connections without a pending probe, the longest unused first, while there are more
    /// than the limit allows together with `additional` ones. Returns whether the limit is kept.
    fn close_idle_beyond(&mut self, additional: usize) -> bool {
        let max_connections = (self.max_connections)();
        while self.connections.len() + additional > max_connections {
            let idle = self
                .connections
                .iter()
                .filter(|(_, connection)| connection.pending_since.is_none());
            let Some(id) = idle
                .min_by_key(|(_, connection)| connection.used_at)
                .map(|(id, _)| *id)
            else {
                break;
            };
            self.connections.remove(&id);
        }
        self.connections.len() + additional <= max_connections
    }

    fn wait_timeout(&self) -> Duration {
        let pending = self
            .connections
            .values()
            .filter_map(|connection| connection.pending_since);
        let remaining = pending
            .min()
            .map(|at| (self.timeout)().saturating_sub(at.elapsed()));
        // A zero timeout would cause a busy loop where the clock does not advance between two
        // calls.
        remaining
            .unwrap_or(MAX_WAIT)
            .clamp(Duration::from_millis(1), MAX_WAIT)
    }

    fn start_probe(
        &mut self,
        id: ServerId,
        server: &Endpoint,
        on_answer: &impl Fn(ServerId, ProbeAnswer),
    ) {
        // The server may have restarted under another address.
        if self
            .connections
            .get(&id)
            .is_some_and(|connection| connection.address != server.address)
        {
            self.connections.remove(&id);
        }
        if !self.connections.contains_key(&id) && !self.close_idle_beyond(1) {
            debug!(part = "prober", server = %server.name, "no file descriptor is left for a probe");
            // A server must not be skipped because this process lacks descriptors.
            return on_answer(id, ProbeAnswer::NoLoad);
        }
        let connection = match self.connections.entry(id) {
            Entry::Occupied(connection) => connection.into_mut(),
            Entry::Vacant(entry) => match ProbeConnection::open(server.address) {
                Ok(connection) => entry.insert(connection),
                Err(error) => {
                    debug!(part = "prober", server = %server.name, why = %error, "could not connect for a probe");
                    return on_answer(id, ProbeAnswer::Unhealthy);
                }
            },
        };
        // One probe at a time: its answer also serves the requests that arrive meanwhile.
        if connection.pending_since.is_some() {
            return;
        }
        connection.pending_since = Some(Instant::now());
        connection.used_at = Instant::now();
        let written = if connection.is_connecting {
            Ok(())
        } else {
            connection.write(self.probe.request)
        };
        let updated = written.and_then(|()| connection.update_interest(id, &self.poller));
        if updated.is_err() {
            self.close(id, on_answer);
        }
    }

    fn on_ready(&mut self, id: ServerId, on_answer: &impl Fn(ServerId, ProbeAnswer)) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.is_connecting {
            let connected = connection
                .stream
                .take_error()
                .and_then(|error| error.map_or(Ok(()), Err));
            connection.is_connecting = false;
            let written = connected.and_then(|()| connection.write(self.probe.request));
            if written
                .and_then(|()| connection.update_interest(id, &self.poller))
                .is_err()
            {
                self.close(id, on_answer);
            }
            return;
        }
        match connection
            .read_buffer
            .read(&connection.stream, Instant::now())
        {
            Ok(()) | Err(ReadError::TimedOut) => {}
            // An incomplete line at the end of the connection is not an answer.
            Err(_) => return self.close(id, on_answer),
        }
        while let Some(answer) = connection.read_buffer.next_line() {
            if connection.pending_since.take().is_some() {
                on_answer(id, (self.probe.parse)(net::trim_line_end(&answer)));
            }
        }
    }

    /// Closes a connection; a pending probe fails.
    fn close(&mut self, id: ServerId, on_answer: &impl Fn(ServerId, ProbeAnswer)) {
        if self
            .connections
            .remove(&id)
            .is_some_and(|connection| connection.pending_since.is_some())
        {
            on_answer(id, ProbeAnswer::Unhealthy);
        }
    }

    /// Closes connections whose probe timed out or that are idle.
    fn close_expired(&mut self, on_answer: &impl Fn(ServerId, ProbeAnswer)) {
        self.close_idle_beyond(0);
        let is_expired = |connection: &ProbeConnection| match connection.pending_since {
            Some(at) => at.elapsed() >= (self.timeout)(),
            None => connection.used_at.elapsed() >= IDLE_TIMEOUT,
        };
        let expired: Vec<ServerId> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_expired(connection))
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|id| self.close(id, on_answer));
    }
}

impl ProbeConnection {
    fn open(address: SocketAddr) -> io::Result<ProbeConnection> {
        let socket = net::outgoing_socket(address)?;
        socket.set_nonblocking(true)?;
        let is_connecting = match socket.connect(&address.into()) {
            Ok(()) => false,
            Err(error)
                if error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) =>
            {
                true
            }
            Err(error) => return Err(error),
        };
        socket.set_tcp_nodelay(true)?;
        Ok(ProbeConnection {
            stream: socket.into(),
            address,
            read_buffer: ReadBuffer::new(MAX_ANSWER_BYTES),
            interest: EventFlags::empty(),
            is_connecting,
            pending_since: None,
            used_at: Instant::now(),
        })
    }

    /// Writes a request, which fits into the socket buffer since only one is pending at a time.
    fn write(&mut self, request: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(request)
    }

    fn update_interest(&mut self, id: ServerId, poller: &Poller) -> io::Result<()> {
        let wanted = if self.is_connecting {
            EventFlags::OUT
        } else {
            EventFlags::IN
        };
        poller.set_interest(&self.stream, id.0.into(), (self.interest, wanted))?;
        self.interest = wanted;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
