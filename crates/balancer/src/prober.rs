//! The prober: asks servers for their load, over one connection to each that is kept while it is
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

use beaconflow_policy::ServerId;
use crossbeam_channel::{Receiver, Sender, unbounded};
use socket2::{Domain, Socket, Type};
use tracing::debug;

use crate::core::{Endpoint, LoadProber, ProbeAnswer as Answer};
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
    pub parse: fn(&[u8]) -> Answer,
}

/// A handle to the prober.
#[derive(Clone, Debug)]
pub struct ProberHandle {
    probes: Sender<(ServerId, Arc<Endpoint>)>,
    waker: Waker,
}

impl LoadProber for ProberHandle {
    fn probe(&self, id: ServerId, server: Arc<Endpoint>) {
        // Without a prober the policy's own timer fires.
        let _ = self.probes.send((id, server));
        self.waker.wake();
    }
}

/// A connection to one server.
struct ProbeConnection {
    stream: TcpStream,
    address: SocketAddr,
    intake: ReadBuffer,
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
    /// Most connections at present.
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
        let (ask, probes) = unbounded();
        let poller = Poller::new()?;
        let handle = ProberHandle {
            probes: ask,
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

    /// Publishes the number of connections and limits it, so that clients, servers, discovery and
    /// operators find descriptors.
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

    /// Runs until all handles are gone.
    pub fn run(mut self, tell: impl Fn(ServerId, Option<Answer>)) {
        loop {
            let on_ready = self.poller.wait(self.wait_timeout());
            for token in on_ready {
                let id = ServerId(u32::try_from(token).unwrap_or(u32::MAX));
                self.ready(id, &tell);
            }
            loop {
                match self.probes.try_recv() {
                    Ok((id, server)) => self.start_probe(id, &server, &tell),
                    Err(error) if error.is_disconnected() => return,
                    Err(_) => break,
                }
            }
            self.close_expired(&tell);
            self.publish_count();
        }
    }

    fn publish_count(&self) {
        self.connection_count
            .store(self.connections.len(), Ordering::Relaxed);
    }

    /// Closes connections without a pending probe, the longest unused first, while there are more
    /// than the limit allows beside `more`. Returns whether the limit is kept.
    fn close_idle_beyond(&mut self, more: usize) -> bool {
        let max_connections = (self.max_connections)();
        while self.connections.len() + more > max_connections {
            let idle = self
                .connections
                .iter()
                .filter(|(_, line)| line.pending_since.is_none());
            let Some(id) = idle.min_by_key(|(_, line)| line.used_at).map(|(id, _)| *id) else {
                break;
            };
            self.connections.remove(&id);
        }
        self.connections.len() + more <= max_connections
    }

    fn wait_timeout(&self) -> Duration {
        let asked = self
            .connections
            .values()
            .filter_map(|line| line.pending_since);
        let left = asked
            .min()
            .map(|at| (self.timeout)().saturating_sub(at.elapsed()));
        // A zero timeout would spin where the clock stands still between two calls.
        left.unwrap_or(MAX_WAIT)
            .clamp(Duration::from_millis(1), MAX_WAIT)
    }

    fn start_probe(
        &mut self,
        id: ServerId,
        server: &Endpoint,
        tell: &impl Fn(ServerId, Option<Answer>),
    ) {
        // The server may have come back under another address.
        if self
            .connections
            .get(&id)
            .is_some_and(|line| line.address != server.address)
        {
            self.connections.remove(&id);
        }
        if !self.connections.contains_key(&id) && !self.close_idle_beyond(1) {
            debug!(part = "prober", server = %server.name, "no descriptor to spare");
            // A server must not be skipped because this process lacks descriptors.
            return tell(id, Some(Answer::NoLoad));
        }
        let line = match self.connections.entry(id) {
            Entry::Occupied(line) => line.into_mut(),
            Entry::Vacant(none) => match ProbeConnection::open(server.address) {
                Ok(line) => none.insert(line),
                Err(error) => {
                    debug!(part = "prober", server = %server.name, why = %error, "not connected");
                    return tell(id, None);
                }
            },
        };
        // One probe at a time: its answer serves all that wait.
        if line.pending_since.is_some() {
            return;
        }
        line.pending_since = Some(Instant::now());
        line.used_at = Instant::now();
        let asked = if line.is_connecting {
            Ok(())
        } else {
            line.write(self.probe.request)
        };
        let watched = asked.and_then(|()| line.update_interest(id, &self.poller));
        if watched.is_err() {
            self.close(id, tell);
        }
    }

    fn ready(&mut self, id: ServerId, tell: &impl Fn(ServerId, Option<Answer>)) {
        let Some(line) = self.connections.get_mut(&id) else {
            return;
        };
        if line.is_connecting {
            let up = line
                .stream
                .take_error()
                .and_then(|error| error.map_or(Ok(()), Err));
            line.is_connecting = false;
            let asked = up.and_then(|()| line.write(self.probe.request));
            if asked
                .and_then(|()| line.update_interest(id, &self.poller))
                .is_err()
            {
                self.close(id, tell);
            }
            return;
        }
        match line.intake.read(&line.stream, Instant::now()) {
            Ok(()) | Err(ReadError::TimedOut) => {}
            // An incomplete line at the end is no answer.
            Err(_) => return self.close(id, tell),
        }
        while let Some(said) = line.intake.next_line() {
            if line.pending_since.take().is_some() {
                tell(id, Some((self.probe.parse)(net::trim_line_end(&said))));
            }
        }
    }

    /// Closes a connection; a pending probe fails.
    fn close(&mut self, id: ServerId, tell: &impl Fn(ServerId, Option<Answer>)) {
        if self
            .connections
            .remove(&id)
            .is_some_and(|line| line.pending_since.is_some())
        {
            tell(id, None);
        }
    }

    /// Closes connections whose probe timed out or that are idle.
    fn close_expired(&mut self, tell: &impl Fn(ServerId, Option<Answer>)) {
        self.close_idle_beyond(0);
        let over = |line: &ProbeConnection| match line.pending_since {
            Some(at) => at.elapsed() >= (self.timeout)(),
            None => line.used_at.elapsed() >= IDLE_TIMEOUT,
        };
        let ended: Vec<ServerId> = self
            .connections
            .iter()
            .filter(|(_, line)| over(line))
            .map(|(id, _)| *id)
            .collect();
        ended.into_iter().for_each(|id| self.close(id, tell));
    }
}

impl ProbeConnection {
    fn open(address: SocketAddr) -> io::Result<ProbeConnection> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
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
            intake: ReadBuffer::new(MAX_ANSWER_BYTES),
            interest: EventFlags::empty(),
            is_connecting,
            pending_since: None,
            used_at: Instant::now(),
        })
    }

    /// A probe fits into any socket buffer that takes one at a time.
    fn write(&mut self, words: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(words)
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
