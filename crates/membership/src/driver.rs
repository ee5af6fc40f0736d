//! A node on a socket, in a thread of its own.

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

/// What the thread needs; debug builds need the most.
const STACK_BYTES: usize = 256 * 1024;
/// Datagrams handled in a row when the node wants to be run: guards against a flood that keeps it from its turns.
const MAX_CONSECUTIVE_DATAGRAMS: usize = 64;
/// After a fault of the link the thread waits this long: guards against a loop that burns a core.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(200);

/// Wakes a thread that waits in [`Link::receive`].
pub type Waker = Box<dyn Fn() + Send + Sync>;

/// What datagrams travel over.
pub trait Link: Send {
    /// Sends a datagram, or loses it.
    ///
    /// # Errors
    /// When it is known that it did not go out.
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) -> io::Result<()>;

    /// Waits for a datagram that long at most, not at all when that is zero. `None` when none came, or it was woken.
    /// Of a datagram that is larger than the buffer the rest is lost.
    ///
    /// # Errors
    /// When none can be received.
    fn receive(
        &mut self,
        buffer: &mut [u8],
        wait: Duration,
    ) -> io::Result<Option<(usize, SocketAddr)>>;

    /// What wakes whoever waits.
    ///
    /// # Errors
    /// When there is no way to.
    fn waker(&self) -> io::Result<Waker>;
}

/// Datagrams over UDP. Whoever waits is woken by a datagram to oneself with a secret content.
#[derive(Debug)]
pub struct Udp {
    socket: UdpSocket,
    secret: [u8; 8],
    timeout: Option<Duration>,
}

impl Udp {
    /// Takes a bound socket.
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
        // When it is lost the thread comes round by itself a little later.
        Ok(Box::new(move || drop(socket.send_to(&secret, own_address))))
    }
}

fn is_transient(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// A number that is another at each start, for [`crate::Profile::seed`].
pub fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// What the host reads of a running node.
#[derive(Debug)]
struct View {
    local: Member,
    is_displaced: bool,
    members: Vec<Member>,
    counts: Counts,
}

/// A running node. It leaves the fleet when this is dropped.
pub struct Handle {
    commands: Sender<Input<'static>>,
    waker: Waker,
    view: Arc<Mutex<View>>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// This process as it announces itself.
    pub fn local_member(&self) -> Member {
        self.view(|view| view.local.clone())
    }

    /// The other processes that are there, by name.
    pub fn members(&self) -> Vec<Member> {
        self.view(|view| view.members.clone())
    }

    /// Whether this process's name is another's, so that it stands outside the fleet.
    pub fn is_displaced(&self) -> bool {
        self.view(|view| view.is_displaced)
    }

    /// What passed through since the start.
    pub fn counts(&self) -> Counts {
        self.view(|view| view.counts)
    }

    /// The body has news that should not wait for the next round.
    pub fn gossip_soon(&self) {
        self.send_command(Input::GossipSoon);
    }

    /// The process runs this configuration from now on.
    pub fn set_configuration(&self, configuration: Configuration) {
        self.send_command(Input::SetConfiguration(configuration));
    }

    /// These addresses are asked from now on.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.send_command(Input::SetSeeds(seeds));
    }

    /// These keys hold from now on.
    pub fn set_keys(&self, keys: Keys) {
        self.send_command(Input::SetKeys(Box::new(keys)));
    }

    /// Tells the others that this process ends, and waits for the thread.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        if let Some(thread) = self.thread.take() {
            self.send_command(Input::Leave);
            // A thread that panicked has nothing more to tell.
            drop(thread.join());
        }
    }

    fn send_command(&self, input: Input<'static>) {
        // Fails only when the thread has ended, which nothing can be done about.
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

/// Runs a node on a link. All that it tells goes to the log, and to `events` as far as there is room. The clock is
/// the program's; it should go on while the process is stopped.
///
/// # Errors
/// When the thread cannot be started or the link not be waited on.
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
        // One byte more than is ever sent tells what is too large.
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
                warn!("datagrams from peers cannot be received: {error}");
                std::thread::sleep(RECEIVE_ERROR_DELAY);
            }
            // What was sent before the node's turn is heard before it: guards against blaming a peer whose answer
            // lies in the socket.
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

    /// Whether to go on.
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
                // What is lost here is made up for like what is lost on the way.
                Output::Send { to, bytes } => drop(self.link.send(to, &bytes)),
                Output::Event(event) => events.push(*event),
                Output::Wake(at) => self.wake_at = at,
            }
        }
        self.outputs = outputs;
        // Before the events: whoever hears of one finds it shown.
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
