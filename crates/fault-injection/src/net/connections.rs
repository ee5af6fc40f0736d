//! Accepts the connections of a link and forwards them to the far side.

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

/// Length of the accept queue of a link.
pub(super) const BACKLOG: i32 = 1024;

/// The listening side of a link and its target.
pub(super) struct LinkListener {
    /// The link's address, reserved while nothing listens there.
    pub(super) reservation: Arc<ReservedAddress>,
    /// Absent while new connections are refused.
    pub(super) listener: Option<TcpListener>,
    target: SocketAddr,
    source: Option<IpAddr>,
    make_observer: Option<MakeObserver>,
    /// Sockets that fill the listener's accept queue so that no new connection is established.
    pub(super) backlog_fillers: Vec<Socket>,
    /// Addresses of closed fillers that may still be in the accept queue.
    pub(super) closed_fillers: Vec<SocketAddr>,
}

impl LinkListener {
    /// The next incoming connection and its connection to the far side; `None` if there is none or the link is
    /// partitioned.
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

/// A connection that the relay forwards.
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
    /// Adds a link for connections; returns its address.
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

    /// Starts to accept new connections of a link.
    pub(super) fn listen(&mut self, name: &str, reservation: &ReservedAddress) -> TcpListener {
        let listener = reservation.listen(BACKLOG);
        listener
            .set_nonblocking(true)
            .expect("make the listener nonblocking");
        let mut listener = TcpListener::from_std(listener);
        self.register(
            &mut listener,
            Owner::Listener(name.to_owned()),
            Interest::READABLE,
        );
        listener
    }

    /// The listener of a link; `None` for a link between datagram peers.
    pub(super) fn link_listener(&mut self, name: &str) -> Option<&mut LinkListener> {
        self.links.get_mut(name)?.listener.as_mut()
    }

    /// Accepts all pending connections of a link.
    pub(super) fn accept(&mut self, name: &str) {
        while let Some(link_listener) = self.link_listener(name) {
            let Some((near, far)) = link_listener.next() else {
                return;
            };
            let observer = link_listener.make_observer.as_ref().map(|make| make());
            match far {
                Ok(far) => self.add_connection(name, Connection::new(near, far), observer),
                // Closing a socket with a linger time of zero resets the connection.
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
        // Its data is read at the next poll, whose event order shows which connections closed before this one opened.
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

    /// The numbers of the connections of a link.
    fn connections_of(&self, link: &str) -> Vec<usize> {
        let numbers = self
            .connections
            .iter()
            .filter(|(_, forwarded)| forwarded.link == link);
        numbers.map(|(number, _)| *number).collect()
    }

    /// Forwards what all connections of a link can forward now.
    pub(super) fn pump_all(&mut self, link: &str) {
        self.connections_of(link)
            .into_iter()
            .for_each(|number| self.pump(number));
    }

    /// Resets all connections of a link.
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

/// Starts a nonblocking connection to the far side.
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
