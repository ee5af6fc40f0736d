//! Connections of a link: where they come in, and what is carried on to the far side.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use mio::Interest;
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::relay::{LinkState, Owner, Relay, random_duration};
use super::timers::TimerKind;
use super::{Link, LinkObserver, MakeObserver};
use crate::address::ReservedAddress;
use crate::flow::{Connection, Impairment, Observation, Progress};

/// Connections that a listener holds before they are taken.
pub(super) const BACKLOG: i32 = 1024;

/// Where a link's connections come in, and where they lead.
pub(super) struct Listening {
    /// The link's address, which stays its own while nothing listens there.
    pub(super) reservation: Arc<ReservedAddress>,
    /// Nothing where new connections are refused.
    pub(super) listener: Option<TcpListener>,
    target: SocketAddr,
    source: Option<IpAddr>,
    make_observer: Option<MakeObserver>,
    /// Sockets that fill the listener's queue, so that nothing comes up.
    pub(super) backlog_fillers: Vec<Socket>,
    /// Such sockets that are gone and may stand in the queue yet.
    pub(super) late_fillers: Vec<SocketAddr>,
}

impl Listening {
    /// The next connection that has come in, by both its sides; nothing where none is to be taken now.
    fn next(&mut self) -> Option<(TcpStream, io::Result<TcpStream>)> {
        if !self.backlog_fillers.is_empty() {
            return None;
        }
        loop {
            let (near, from) = self.listener.as_ref()?.accept().ok()?;
            if self.late_fillers.contains(&from) {
                self.late_fillers.retain(|filler| *filler != from);
                continue;
            }
            return Some((near, connect(self.target, self.source)));
        }
    }
}

/// A connection on a link.
pub(super) struct Carried {
    link: String,
    connection: Connection,
    observer: Option<Box<dyn LinkObserver>>,
    tokens: Vec<usize>,
}

impl Carried {
    fn observe(&mut self, observation: Observation<'_>) {
        self.observer
            .iter_mut()
            .for_each(|observer| observer.observe(observation));
    }
}

impl Relay {
    /// Adds a link for connections; gives its address.
    pub(super) fn add_link(&mut self, link: Link) -> SocketAddr {
        let Link {
            name,
            near,
            far,
            target,
            source,
            make_observer,
        } = link;
        let reservation = Arc::new(ReservedAddress::default());
        let (listener, at) = (self.listen(&name, &reservation), reservation.at);
        let listener = Some(listener);
        let listening = Listening {
            reservation,
            listener,
            target,
            source,
            make_observer,
            backlog_fillers: Vec::new(),
            late_fillers: Vec::new(),
        };
        let impairments = Default::default();
        self.links.insert(
            name,
            LinkState {
                near,
                far,
                impairments,
                listening: Some(listening),
            },
        );
        at
    }

    /// Has new connections of a link taken.
    pub(super) fn listen(&mut self, name: &str, kept: &ReservedAddress) -> TcpListener {
        let listener = kept.listen(BACKLOG);
        listener.set_nonblocking(true).expect("open");
        let mut listener = TcpListener::from_std(listener);
        self.own(
            &mut listener,
            Owner::Listener(name.to_owned()),
            Interest::READABLE,
        );
        listener
    }

    /// Where a link's connections come in, if it is for connections.
    pub(super) fn listening(&mut self, name: &str) -> Option<&mut Listening> {
        self.links.get_mut(name)?.listening.as_mut()
    }

    /// Takes all connections that have come in at a link.
    pub(super) fn accept(&mut self, name: &str) {
        while let Some(listening) = self.listening(name) {
            let Some((near, far)) = listening.next() else {
                return;
            };
            let observer = listening.make_observer.as_ref().map(|make| make());
            match far {
                Ok(far) => self.carry(name, Connection::new(near, far), observer),
                // Dropped with its linger at zero, it is reset.
                Err(_) => drop(SockRef::from(&near).set_linger(Some(Duration::ZERO))),
            }
        }
    }

    fn carry(
        &mut self,
        link: &str,
        mut connection: Connection,
        observer: Option<Box<dyn LinkObserver>>,
    ) {
        let number = self.number();
        let mut tokens = Vec::new();
        for stream in &mut connection.streams {
            let _ = stream.set_nodelay(true);
            let both = Interest::READABLE | Interest::WRITABLE;
            tokens.push(self.own(stream, Owner::Connection(number), both));
        }
        // What it brings is taken in at the next look, which tells what ended before it began.
        self.connections.insert(
            number,
            Carried {
                link: link.to_owned(),
                connection,
                observer,
                tokens,
            },
        );
    }

    /// Forwards what a connection can forward now.
    pub(super) fn pump(&mut self, number: usize) {
        let Some(Carried {
            link,
            connection,
            observer,
            ..
        }) = self.connections.get_mut(&number)
        else {
            return;
        };
        let Some(state) = self.links.get_mut(link) else {
            return;
        };
        let chance = &mut self.rng;
        let mut delay = |impairment: &Impairment| random_duration(chance, impairment.delay);
        let mut observe = |observation: Observation<'_>| {
            observer
                .iter_mut()
                .for_each(|observer| observer.observe(observation));
        };
        match connection.pump(&mut state.impairments, &mut delay, &mut observe) {
            Progress::Over => self.forget(number),
            Progress::Wait(Some(at)) => self.timers.enter(at, TimerKind::Pump(number)),
            Progress::Wait(None) => {}
        }
    }

    fn forget(&mut self, number: usize) {
        let Some(carried) = self.connections.remove(&number) else {
            return;
        };
        carried
            .tokens
            .into_iter()
            .for_each(|token| self.disown(token));
    }

    /// The connections of a link.
    fn connections_of(&self, link: &str) -> Vec<usize> {
        let of = self
            .connections
            .iter()
            .filter(|(_, carried)| carried.link == link);
        of.map(|(number, _)| *number).collect()
    }

    /// Forwards what a link's connections can forward now.
    pub(super) fn pump_all(&mut self, link: &str) {
        self.connections_of(link)
            .into_iter()
            .for_each(|number| self.pump(number));
    }

    /// Resets a link's connections.
    pub(super) fn reset_all(&mut self, link: &str) {
        let numbers = self.connections_of(link);
        for number in &numbers {
            let Some(carried) = self.connections.get_mut(number) else {
                continue;
            };
            carried.connection.reset();
            carried.observe(Observation::FarEnded);
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
        Err(error)
            if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) =>
        {
            Err(error)
        }
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}
