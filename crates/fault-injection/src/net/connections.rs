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
pub(super) struct LinkListener {
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
    pub(super) closed_fillers: Vec<SocketAddr>,
}

impl LinkListener {
    /// The next connection that has come in, by both its sides; nothing where none is to be taken now.
    fn next(&mut self) -> Option<(TcpStream, io::Result<TcpStream>)> {
        if !self.backlog_fillers.is_empty() {
            return None;
        }
        loop {
            let (near, from) = self.listener.as_ref()?.accept().ok()?;
            if self.closed_fillers.contains(&from) {
                self.closed_fillers.retain(|filler| *filler != from);
                continue;
            }
            return Some((near, connect(self.target, self.source)));
        }
    }
}

/// A connection on a link.
pub(super) struct ForwardedConnection {
    link: String,
    connection: Connection,
    observer: Option<Box<dyn LinkObserver>>,
    tokens: Vec<usize>,
}

impl ForwardedConnection {
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
        let (listener, at) = (self.listen(&name, &reservation), reservation.address);
        let listener = Some(listener);
        let link_listener = LinkListener {
            reservation,
            listener,
            target,
            source,
            make_observer,
            backlog_fillers: Vec::new(),
            closed_fillers: Vec::new(),
        };
        let impairments = Default::default();
        self.links.insert(
            name,
            LinkState {
                near,
                far,
                impairments,
                listener: Some(link_listener),
            },
        );
        at
    }

    /// Has new connections of a link taken.
    pub(super) fn listen(&mut self, name: &str, reservation: &ReservedAddress) -> TcpListener {
        let listener = reservation.listen(BACKLOG);
        listener.set_nonblocking(true).expect("open");
        let mut listener = TcpListener::from_std(listener);
        self.register(
            &mut listener,
            Owner::Listener(name.to_owned()),
            Interest::READABLE,
        );
        listener
    }

    /// Where a link's connections come in, if it is for connections.
    pub(super) fn link_listener(&mut self, name: &str) -> Option<&mut LinkListener> {
        self.links.get_mut(name)?.listener.as_mut()
    }

    /// Takes all connections that have come in at a link.
    pub(super) fn accept(&mut self, name: &str) {
        while let Some(link_listener) = self.link_listener(name) {
            let Some((near, far)) = link_listener.next() else {
                return;
            };
            let observer = link_listener.make_observer.as_ref().map(|make| make());
            match far {
                Ok(far) => self.add_connection(name, Connection::new(near, far), observer),
                // Dropped with its linger at zero, it is reset.
                Err(_) => drop(SockRef::from(&near).set_linger(Some(Duration::ZERO))),
            }
        }
    }

    fn add_connection(
        &mut self,
        link: &str,
        mut connection: Connection,
        observer: Option<Box<dyn LinkObserver>>,
    ) {
        let number = self.next_number();
        let mut tokens = Vec::new();
        for stream in &mut connection.streams {
            let _ = stream.set_nodelay(true);
            let both = Interest::READABLE | Interest::WRITABLE;
            tokens.push(self.register(stream, Owner::Connection(number), both));
        }
        // What it brings is taken in at the next look, which tells what ended before it began.
        self.connections.insert(
            number,
            ForwardedConnection {
                link: link.to_owned(),
                connection,
                observer,
                tokens,
            },
        );
    }

    /// Forwards what a connection can forward now.
    pub(super) fn pump(&mut self, number: usize) {
        let Some(ForwardedConnection {
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
        let rng = &mut self.rng;
        let mut delay = |impairment: &Impairment| random_duration(rng, impairment.delay);
        let mut observe = |observation: Observation<'_>| {
            observer
                .iter_mut()
                .for_each(|observer| observer.observe(observation));
        };
        match connection.pump(&mut state.impairments, &mut delay, &mut observe) {
            Progress::Done => self.remove_connection(number),
            Progress::Wait(Some(at)) => self.timers.schedule(at, TimerKind::Pump(number)),
            Progress::Wait(None) => {}
        }
    }

    fn remove_connection(&mut self, number: usize) {
        let Some(forwarded) = self.connections.remove(&number) else {
            return;
        };
        forwarded
            .tokens
            .into_iter()
            .for_each(|token| self.deregister(token));
    }

    /// The connections of a link.
    fn connections_of(&self, link: &str) -> Vec<usize> {
        let numbers = self
            .connections
            .iter()
            .filter(|(_, forwarded)| forwarded.link == link);
        numbers.map(|(number, _)| *number).collect()
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
            let Some(forwarded) = self.connections.get_mut(number) else {
                continue;
            };
            forwarded.connection.reset();
            forwarded.observe(Observation::FarClosed);
        }
        numbers
            .into_iter()
            .for_each(|number| self.remove_connection(number));
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
