//! Runs a node on a socket, in its own thread.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, unbounded};
use tracing::{info, warn};

use crate::{
    Configuration, Counts, Event, Input, Keys, MAX_DATAGRAM_BYTES, Member, Millis, Node, Output,
    Payload,
};

/// Stack size of the thread. Debug builds need the most.
const STACK_BYTES: usize = 256 * 1024;
/// Datagrams handled in a row before due timers run. Without the limit, a flood of datagrams would
/// starve the node's timers.
const MAX_CONSECUTIVE_DATAGRAMS: usize = 64;
/// Delay after a receive error. Without it, a failing link would make the thread spin on a core.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(200);

/// Wakes a thread that waits in [`Link::receive`].
pub type Waker = Box<dyn Fn() + Send + Sync>;

/// An unreliable datagram transport.
pub trait Link: Send {
    /// Sends a datagram, which may get lost.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is known not to have been sent.
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) -> io::Result<()>;

    /// Waits for a datagram for at most `wait`; a zero `wait` does not block. Returns `None` on a
    /// timeout or a wake-up. A datagram larger than the buffer is truncated.
    ///
    /// # Errors
    ///
    /// Fails if no datagram can be received.
    fn receive(
        &mut self,
        buffer: &mut [u8],
        wait: Duration,
    ) -> io::Result<Option<(usize, SocketAddr)>>;

    /// Returns a function that wakes a thread that waits in [`Link::receive`].
    ///
    /// # Errors
    ///
    /// Fails if the link does not support it.
    fn waker(&self) -> io::Result<Waker>;
}

/// Datagrams over UDP. The waker sends a datagram with secret content to the socket's own address.
#[derive(Debug)]
pub struct Udp {
    socket: UdpSocket,
    secret: [u8; 8],
    timeout: Option<Duration>,
}

impl Udp {
    /// Uses a socket that is already bound.
    pub fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            secret: random_seed().to_be_bytes(),
            timeout: None,
        }
    }

    fn set_timeout(&mut self, wait: Duration) -> io::Result<()> {
        if self.timeout != Some(wait) {
            self.socket.set_read_timeout(Some(wait))?;
            self.timeout = Some(wait);
        }
        Ok(())
    }
}

impl Link for Udp {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        self.socket.send_to(bytes, to).map(drop)
    }

    fn receive(
        &mut self,
        buffer: &mut [u8],
        wait: Duration,
    ) -> io::Result<Option<(usize, SocketAddr)>> {
        let received = if wait.is_zero() {
            self.socket.set_nonblocking(true)?;
            let received = self.socket.recv_from(buffer);
            self.socket.set_nonblocking(false)?;
            received
        } else {
            self.set_timeout(wait)?;
            self.socket.recv_from(buffer)
        };
        match received {
            Ok((bytes, _)) if buffer[..bytes] == self.secret => Ok(None),
            Ok(received) => Ok(Some(received)),
            Err(error) if is_transient(error.kind()) => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn waker(&self) -> io::Result<Waker> {
        let (socket, secret) = (self.socket.try_clone()?, self.secret);
        let own_address = socket.local_addr()?;
        // If this datagram is lost, the thread wakes at the node's next timer.
        Ok(Box::new(move || drop(socket.send_to(&secret, own_address))))
    }
}

fn is_transient(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// A random number that differs with each start, for [`crate::Profile::seed`].
pub fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// The state of a running node that its handle reads.
#[derive(Debug)]
struct View {
    local: Member,
    is_displaced: bool,
    members: Vec<Member>,
    counts: Counts,
}

/// A running node. It leaves the fleet when its handle is dropped.
pub struct Handle {
    commands: Sender<Input<'static>>,
    waker: Waker,
    view: Arc<Mutex<View>>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// This process, as it announces itself to its peers.
    pub fn local_member(&self) -> Member {
        self.view(|view| view.local.clone())
    }

    /// The other live processes, ordered by name.
    pub fn members(&self) -> Vec<Member> {
        self.view(|view| view.members.clone())
    }

    /// Whether another process holds this process's name, which keeps this process out of the
    /// fleet.
    pub fn is_displaced(&self) -> bool {
        self.view(|view| view.is_displaced)
    }

    /// Traffic and protocol counters since the start.
    pub fn counts(&self) -> Counts {
        self.view(|view| view.counts)
    }

    /// Runs the next gossip round early, because the payload has urgent changes.
    pub fn gossip_soon(&self) {
        self.send_command(Input::GossipSoon);
    }

    /// Requests what this process lacks from its peers now.
    pub fn request_state(&self) {
        self.send_command(Input::RequestState);
    }

    /// Announces a new configuration of this process.
    pub fn set_configuration(&self, configuration: Configuration) {
        self.send_command(Input::SetConfiguration(configuration));
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.send_command(Input::SetSeeds(seeds));
    }

    /// Replaces the keys.
    pub fn set_keys(&self, keys: Keys) {
        self.send_command(Input::SetKeys(Box::new(keys)));
    }

    /// Announces that this process leaves, and waits for the thread to end.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        if let Some(thread) = self.thread.take() {
            self.send_command(Input::Leave);
            // A panicked thread has already reported its panic.
            drop(thread.join());
        }
    }

    fn send_command(&self, input: Input<'static>) {
        // Fails only after the thread has ended; nothing is left to notify then.
        drop(self.commands.send(input));
        (self.waker)();
    }

    fn view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(&self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// Runs a node on a link. Events are logged, and also sent to `events` unless that channel is full.
/// The clock should be monotonic and advance while the process is suspended, so that pauses
/// are detected.
///
/// # Errors
///
/// Fails if the thread cannot be started, or if the link has no waker.
pub fn spawn<B, L, C>(node: Node<B>, link: L, clock: C, events: Sender<Event>) -> io::Result<Handle>
where
    B: Payload + Send + 'static,
    L: Link + 'static,
    C: FnMut() -> Millis + Send + 'static,
{
    let waker = link.waker()?;
    let (commands, command_inputs) = unbounded();
    let view = View {
        local: node.local_member().clone(),
        is_displaced: false,
        members: Vec::new(),
        counts: node.counts(),
    };
    let view = Arc::new(Mutex::new(view));
    let driver = Driver {
        node,
        link,
        clock,
        events,
        command_inputs,
        view: view.clone(),
        wake_at: 0,
        outputs: Vec::new(),
        dropped_events: 0,
    };
    let thread = std::thread::Builder::new()
        .name("peers".into())
        .stack_size(STACK_BYTES)
        .spawn(|| driver.run())?;
    Ok(Handle {
        commands,
        waker,
        view,
        thread: Some(thread),
    })
}

struct Driver<B, L, C> {
    node: Node<B>,
    link: L,
    clock: C,
    events: Sender<Event>,
    command_inputs: Receiver<Input<'static>>,
    view: Arc<Mutex<View>>,
    wake_at: Millis,
    outputs: Vec<Output>,
    dropped_events: u64,
}

impl<B: Payload, L: Link, C: FnMut() -> Millis> Driver<B, L, C> {
    fn run(mut self) {
        self.handle_input(Input::Start);
        // One byte more than the limit, so that larger datagrams are detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut consecutive_datagrams = 0;
        loop {
            let wait = Duration::from_millis(self.wake_at.saturating_sub((self.clock)()));
            let received = self.link.receive(&mut buffer, wait);
            if let Ok(Some((bytes, from))) = received {
                self.handle_input(Input::Datagram {
                    from,
                    bytes: &buffer[..bytes],
                });
                consecutive_datagrams += 1;
            }
            if !self.handle_commands() {
                return;
            }
            if let Err(error) = &received {
                warn!("cannot receive datagrams from peers: {error}");
                std::thread::sleep(RECEIVE_ERROR_DELAY);
            }
            // Datagrams that are already in the socket are handled before timers fire. Otherwise a
            // peer would be suspected although its answer has arrived.
            if matches!(received, Ok(Some(_))) && consecutive_datagrams < MAX_CONSECUTIVE_DATAGRAMS
            {
                continue;
            }
            consecutive_datagrams = 0;
            if (self.clock)() >= self.wake_at {
                self.handle_input(Input::Tick);
            }
        }
    }

    /// Returns `false` once the node has left.
    fn handle_commands(&mut self) -> bool {
        while let Ok(input) = self.command_inputs.try_recv() {
            let is_last = matches!(input, Input::Leave);
            self.handle_input(input);
            if is_last {
                return false;
            }
        }
        true
    }

    fn handle_input(&mut self, input: Input<'_>) {
        let now = (self.clock)();
        let mut outputs = std::mem::take(&mut self.outputs);
        self.node.handle(now, input, &mut outputs);
        let mut events = Vec::new();
        for output in outputs.drain(..) {
            match output {
                // A failed send is treated like a datagram lost on the network.
                Output::Send { to, bytes } => drop(self.link.send(to, &bytes)),
                Output::Event(event) => events.push(*event),
                Output::Wake(at) => self.wake_at = at,
            }
        }
        self.outputs = outputs;
        // The view is updated first, so that a receiver of an event finds its effect there.
        self.update_view(!events.is_empty());
        events
            .into_iter()
            .for_each(|event| self.report_event(event));
    }

    fn report_event(&mut self, event: Event) {
        if event.is_fault() {
            warn!("{event}");
        } else {
            info!("{event}");
        }
        if self.events.try_send(event).is_err() {
            self.dropped_events += 1;
        }
    }

    fn update_view(&mut self, has_events: bool) {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.counts = Counts {
            dropped_events: self.dropped_events,
            ..self.node.counts()
        };
        if has_events || view.is_displaced != self.node.is_displaced() {
            view.is_displaced = self.node.is_displaced();
            view.members = self.node.members().cloned().collect();
        }
        if *self.node.local_member() != view.local {
            view.local = self.node.local_member().clone();
        }
    }
}
