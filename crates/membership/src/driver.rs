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
    Body, Configuration, Counts, Event, Input, Keys, LARGEST, Member, Millis, Node, Output,
};

/// What the thread needs; debug builds need the most.
const STACK: usize = 256 * 1024;
/// Datagrams handled in a row when the node wants to be run: guards against a flood that keeps it from its turns.
const DRAINED: usize = 64;
/// After a fault of the link the thread waits this long: guards against a loop that burns a core.
const FAULT_PAUSE: Duration = Duration::from_millis(200);

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
            secret: random().to_be_bytes(),
            timeout: None,
        }
    }

    fn wait_for(&mut self, wait: Duration) -> io::Result<()> {
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
            self.wait_for(wait)?;
            self.socket.recv_from(buffer)
        };
        match received {
            Ok((bytes, _)) if buffer[..bytes] == self.secret => Ok(None),
            Ok(received) => Ok(Some(received)),
            Err(error) if is_in_vain(error.kind()) => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn waker(&self) -> io::Result<Waker> {
        let (socket, secret) = (self.socket.try_clone()?, self.secret);
        let own = socket.local_addr()?;
        // When it is lost the thread comes round by itself a little later.
        Ok(Box::new(move || drop(socket.send_to(&secret, own))))
    }
}

fn is_in_vain(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// A number that is another at each start, for [`crate::Profile::seed`].
pub fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// What the host reads of a running node.
#[derive(Debug)]
struct View {
    me: Member,
    is_displaced: bool,
    members: Vec<Member>,
    counts: Counts,
}

/// A running node. It leaves the fleet when this is dropped.
pub struct Handle {
    orders: Sender<Input<'static>>,
    waker: Waker,
    view: Arc<Mutex<View>>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// This process as it announces itself.
    pub fn me(&self) -> Member {
        self.view(|view| view.me.clone())
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
    pub fn say(&self) {
        self.order(Input::Say);
    }

    /// The process runs this configuration from now on.
    pub fn configured(&self, configuration: Configuration) {
        self.order(Input::Configured(configuration));
    }

    /// These addresses are asked from now on.
    pub fn seeds(&self, seeds: Vec<SocketAddr>) {
        self.order(Input::Seeds(seeds));
    }

    /// These keys hold from now on.
    pub fn keys(&self, keys: Keys) {
        self.order(Input::Keys(Box::new(keys)));
    }

    /// Tells the others that this process ends, and waits for the thread.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(thread) = self.thread.take() {
            self.order(Input::Leave);
            // A thread that panicked has nothing more to tell.
            drop(thread.join());
        }
    }

    fn order(&self, input: Input<'static>) {
        // Fails only when the thread has ended, which nothing can be done about.
        drop(self.orders.send(input));
        (self.waker)();
    }

    fn view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(&self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.end();
    }
}

/// Runs a node on a link. All that it tells goes to the log, and to `events` as far as there is room. The clock is
/// the program's; it should go on while the process is stopped.
///
/// # Errors
/// When the thread cannot be started or the link not be waited on.
pub fn spawn<B, L, C>(node: Node<B>, link: L, clock: C, events: Sender<Event>) -> io::Result<Handle>
where
    B: Body + Send + 'static,
    L: Link + 'static,
    C: FnMut() -> Millis + Send + 'static,
{
    let waker = link.waker()?;
    let (orders, inbox) = unbounded();
    let view = View {
        me: node.me().clone(),
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
        inbox,
        view: view.clone(),
        wake: 0,
        out: Vec::new(),
        untold: 0,
    };
    let thread = std::thread::Builder::new()
        .name("peers".into())
        .stack_size(STACK)
        .spawn(|| driver.run())?;
    Ok(Handle {
        orders,
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
    inbox: Receiver<Input<'static>>,
    view: Arc<Mutex<View>>,
    wake: Millis,
    out: Vec<Output>,
    untold: u64,
}

impl<B: Body, L: Link, C: FnMut() -> Millis> Driver<B, L, C> {
    fn run(mut self) {
        self.step(Input::Start);
        // One byte more than is ever sent tells what is too large.
        let mut buffer = [0; LARGEST + 1];
        let mut drained = 0;
        loop {
            let wait = Duration::from_millis(self.wake.saturating_sub((self.clock)()));
            let received = self.link.receive(&mut buffer, wait);
            if let Ok(Some((bytes, from))) = received {
                self.step(Input::Datagram {
                    from,
                    bytes: &buffer[..bytes],
                });
                drained += 1;
            }
            if !self.follow_orders() {
                return;
            }
            if let Err(error) = &received {
                warn!("datagrams from peers cannot be received: {error}");
                std::thread::sleep(FAULT_PAUSE);
            }
            // What was sent before the node's turn is heard before it: guards against blaming a peer whose answer
            // lies in the socket.
            if matches!(received, Ok(Some(_))) && drained < DRAINED {
                continue;
            }
            drained = 0;
            if (self.clock)() >= self.wake {
                self.step(Input::Tick);
            }
        }
    }

    /// Whether to go on.
    fn follow_orders(&mut self) -> bool {
        while let Ok(input) = self.inbox.try_recv() {
            let is_last = matches!(input, Input::Leave);
            self.step(input);
            if is_last {
                return false;
            }
        }
        true
    }

    fn step(&mut self, input: Input<'_>) {
        let now = (self.clock)();
        let mut out = std::mem::take(&mut self.out);
        self.node.handle(now, input, &mut out);
        let mut events = Vec::new();
        for output in out.drain(..) {
            match output {
                // What is lost here is made up for like what is lost on the way.
                Output::Send { to, bytes } => drop(self.link.send(to, &bytes)),
                Output::Event(event) => events.push(*event),
                Output::Wake(at) => self.wake = at,
            }
        }
        self.out = out;
        // Before the events: whoever hears of one finds it shown.
        self.show(!events.is_empty());
        events.into_iter().for_each(|event| self.tell(event));
    }

    fn tell(&mut self, event: Event) {
        if event.is_fault() {
            warn!("{event}");
        } else {
            info!("{event}");
        }
        if self.events.try_send(event).is_err() {
            self.untold += 1;
        }
    }

    fn show(&mut self, is_news: bool) {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.counts = Counts {
            untold: self.untold,
            ..self.node.counts()
        };
        if is_news || view.is_displaced != self.node.is_displaced() {
            view.is_displaced = self.node.is_displaced();
            view.members = self.node.members().cloned().collect();
        }
        if *self.node.me() != view.me {
            view.me = self.node.me().clone();
        }
    }
}
