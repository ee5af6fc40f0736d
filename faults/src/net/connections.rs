//! Connections of a link: where they come in, and what is carried on to the far side.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use mio::Interest;
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::relay::{LinkState, Owner, Relay, by_chance};
use super::timers::Due;
use super::{Link, Tap, Taps};
use crate::address::Kept;
use crate::flow::{Conn, Lane, Next, Saw};

/// Connections that a listener holds before they are taken.
pub(super) const BACKLOG: i32 = 1024;

/// Where a link's connections come in, and where they lead.
pub(super) struct Listening {
    /// The link's address, which stays its own while nothing listens there.
    pub(super) kept: Arc<Kept>,
    /// Nothing where new connections are refused.
    pub(super) listener: Option<TcpListener>,
    target: SocketAddr,
    source: Option<IpAddr>,
    taps: Option<Taps>,
    /// Sockets that fill the listener's queue, so that nothing comes up.
    pub(super) plugs: Vec<Socket>,
    /// Such sockets that are gone and may stand in the queue yet.
    pub(super) past: Vec<SocketAddr>,
}

impl Listening {
    /// The next connection that has come in, by both its sides; nothing where none is to be taken now.
    fn next(&mut self) -> Option<(TcpStream, io::Result<TcpStream>)> {
        if !self.plugs.is_empty() {
            return None;
        }
        loop {
            let (near, from) = self.listener.as_ref()?.accept().ok()?;
            if self.past.contains(&from) {
                self.past.retain(|plug| *plug != from);
                continue;
            }
            return Some((near, connect(self.target, self.source)));
        }
    }
}

/// A connection on a link.
pub(super) struct Carried {
    link: String,
    connection: Conn,
    tap: Option<Box<dyn Tap>>,
    tokens: Vec<usize>,
}

impl Carried {
    fn saw(&mut self, saw: Saw<'_>) {
        self.tap.iter_mut().for_each(|tap| tap.saw(saw));
    }
}

impl Relay {
    /// Adds a link for connections; gives its address.
    pub(super) fn add_link(&mut self, link: Link) -> SocketAddr {
        let Link { name, near, far, target, source, taps } = link;
        let kept = Arc::new(Kept::default());
        let (listener, at) = (self.listen(&name, &kept), kept.at);
        let listener = Some(listener);
        let listening =
            Listening { kept, listener, target, source, taps, plugs: Vec::new(), past: Vec::new() };
        let lanes = Default::default();
        self.links.insert(name, LinkState { near, far, lanes, listening: Some(listening) });
        at
    }

    /// Has new connections of a link taken.
    pub(super) fn listen(&mut self, name: &str, kept: &Kept) -> TcpListener {
        let listener = kept.listen(BACKLOG);
        listener.set_nonblocking(true).expect("open");
        let mut listener = TcpListener::from_std(listener);
        self.own(&mut listener, Owner::Listener(name.to_owned()), Interest::READABLE);
        listener
    }

    /// Where a link's connections come in, if it is for connections.
    pub(super) fn listening(&mut self, name: &str) -> Option<&mut Listening> {
        self.links.get_mut(name)?.listening.as_mut()
    }

    /// Takes all connections that have come in at a link.
    pub(super) fn accept(&mut self, name: &str) {
        while let Some(listening) = self.listening(name) {
            let Some((near, far)) = listening.next() else { return };
            let tap = listening.taps.as_ref().map(|taps| taps());
            match far {
                Ok(far) => self.carry(name, Conn::new(near, far), tap),
                // Dropped with its linger at zero, it is reset.
                Err(_) => drop(SockRef::from(&near).set_linger(Some(Duration::ZERO))),
            }
        }
    }

    fn carry(&mut self, link: &str, mut connection: Conn, tap: Option<Box<dyn Tap>>) {
        let number = self.number();
        let mut tokens = Vec::new();
        for stream in &mut connection.streams {
            let _ = stream.set_nodelay(true);
            let both = Interest::READABLE | Interest::WRITABLE;
            tokens.push(self.own(stream, Owner::Connection(number), both));
        }
        // What it brings is taken in at the next look, which tells what ended before it began.
        self.connections.insert(number, Carried { link: link.to_owned(), connection, tap, tokens });
    }

    /// Forwards what a connection can forward now.
    pub(super) fn pump(&mut self, number: usize) {
        let Some(Carried { link, connection, tap, .. }) = self.connections.get_mut(&number) else { return };
        let Some(state) = self.links.get_mut(link) else { return };
        let chance = &mut self.chance;
        let mut delay = |lane: &Lane| by_chance(chance, lane.delay);
        let mut saw = |saw: Saw<'_>| tap.iter_mut().for_each(|tap| tap.saw(saw));
        match connection.pump(&mut state.lanes, &mut delay, &mut saw) {
            Next::Over => self.forget(number),
            Next::Wait(Some(at)) => self.timers.enter(at, Due::Pump(number)),
            Next::Wait(None) => {}
        }
    }

    fn forget(&mut self, number: usize) {
        let Some(carried) = self.connections.remove(&number) else { return };
        carried.tokens.into_iter().for_each(|token| self.disown(token));
    }

    /// The connections of a link.
    fn connections_of(&self, link: &str) -> Vec<usize> {
        let of = self.connections.iter().filter(|(_, carried)| carried.link == link);
        of.map(|(number, _)| *number).collect()
    }

    /// Forwards what a link's connections can forward now.
    pub(super) fn pump_all(&mut self, link: &str) {
        self.connections_of(link).into_iter().for_each(|number| self.pump(number));
    }

    /// Resets a link's connections.
    pub(super) fn reset_all(&mut self, link: &str) {
        let numbers = self.connections_of(link);
        for number in &numbers {
            let Some(carried) = self.connections.get_mut(number) else { continue };
            carried.connection.reset();
            carried.saw(Saw::FarEnded);
        }
        numbers.into_iter().for_each(|number| self.forget(number));
    }
}

/// A connection to the far side, on its way.
fn connect(target: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    if let Some(source) = source {
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    match socket.connect(&target.into()) {
        Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
            Err(error)
        }
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}
