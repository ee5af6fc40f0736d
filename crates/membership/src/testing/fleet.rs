//! Many nodes on one virtual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Rules, keys};
use crate::{Body, Counts, Event, Input, Keys, Millis, Node, Output, Profile, Settings};

/// What lies in the socket of a process that is stopped; more is lost.
const SOCKET: usize = 256;

/// The place of one process.
pub struct Seat<B> {
    /// Where it is.
    pub address: SocketAddr,
    /// What runs there; `None` after it was killed.
    pub node: Option<Node<B>>,
    is_paused: bool,
    socket: Vec<(SocketAddr, Vec<u8>)>,
    wake: Millis,
}

enum Happening {
    Run(usize),
    Datagram {
        from: SocketAddr,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
}

/// Many nodes on one virtual clock and one net.
pub struct Fleet<B> {
    /// The moment it is now.
    pub now: Millis,
    /// What happens to datagrams.
    pub rules: Rules,
    /// The processes, in the order in which they were added.
    pub seats: Vec<Seat<B>>,
    /// What they told: when, which process, what.
    pub events: Vec<(Millis, usize, Event)>,
    queue: BTreeMap<(Millis, u64), Happening>,
    queued: u64,
}

impl<B: Body> Fleet<B> {
    /// A fleet of nobody.
    pub fn new(rules: Rules) -> Self {
        Self {
            now: 1_000,
            rules,
            seats: Vec::new(),
            events: Vec::new(),
            queue: BTreeMap::new(),
            queued: 0,
        }
    }

    /// Starts a process with the usual key and settings, and answers with its place.
    pub fn add(&mut self, profile: Profile, body: B) -> usize {
        self.add_with(profile, keys(1), Settings::default(), body)
    }

    /// Starts a process. One that ran at its address hears nothing any more.
    pub fn add_with(&mut self, profile: Profile, keys: Keys, settings: Settings, body: B) -> usize {
        let address = profile.address;
        let node = Node::new(profile, keys, settings, body).expect("a profile without faults");
        let seat = Seat {
            address,
            node: Some(node),
            is_paused: false,
            socket: Vec::new(),
            wake: 0,
        };
        self.seats.push(seat);
        let at = self.seats.len() - 1;
        self.hand(at, Input::Start);
        at
    }

    /// Ends a process in one instant.
    pub fn kill(&mut self, at: usize) {
        self.seats[at].node = None;
    }

    /// Stops a process: it gets no turns, and what is sent to it lies in its socket.
    pub fn pause(&mut self, at: usize) {
        self.seats[at].is_paused = true;
    }

    /// Lets a stopped process run on.
    pub fn resume(&mut self, at: usize) {
        self.seats[at].is_paused = false;
        for (from, bytes) in std::mem::take(&mut self.seats[at].socket) {
            self.hand(
                at,
                Input::Datagram {
                    from,
                    bytes: &bytes,
                },
            );
        }
        self.hand(at, Input::Tick);
    }

    /// Hands an input to a process now.
    pub fn hand(&mut self, at: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let Some(node) = &mut self.seats[at].node else {
            return;
        };
        node.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, bytes } => self.post(self.seats[at].address, to, bytes),
                Output::Event(event) => self.events.push((self.now, at, *event)),
                Output::Wake(wake) => {
                    self.seats[at].wake = wake;
                    self.put(wake, Happening::Run(at));
                }
            }
        }
    }

    /// Sends a datagram by the rules.
    pub fn post(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        assert!(
            bytes.len() <= crate::LARGEST,
            "a datagram of {} bytes was sent",
            bytes.len()
        );
        for delay in self.rules.fate(from, to) {
            self.put(
                self.now + delay,
                Happening::Datagram {
                    from,
                    to,
                    bytes: bytes.clone(),
                },
            );
        }
    }

    fn put(&mut self, due: Millis, happening: Happening) {
        self.queued += 1;
        self.queue.insert((due, self.queued), happening);
    }

    /// Lets that much time go by.
    pub fn run_for(&mut self, millis: Millis) {
        self.run_until(millis, |_| false);
    }

    /// Lets time go by until it is so, or that much has gone: whether it was so in the end.
    pub fn run_until(&mut self, millis: Millis, mut is_so: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now + millis;
        let mut asked = None;
        while let Some(first) = self
            .queue
            .first_entry()
            .filter(|first| first.key().0 <= end)
        {
            let due = first.key().0;
            // Asked once a moment, of what it was before.
            if asked != Some(due) {
                if is_so(self) {
                    return true;
                }
                asked = Some(due);
            }
            let Some(((due, _), happening)) = self.queue.pop_first() else {
                break;
            };
            self.now = self.now.max(due);
            self.happen(happening);
        }
        self.now = end;
        is_so(self)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Run(at) => {
                let seat = &self.seats[at];
                if !seat.is_paused && seat.wake <= self.now {
                    self.hand(at, Input::Tick);
                }
            }
            Happening::Datagram { from, to, bytes } => {
                let living = |seat: &Seat<B>| seat.address == to && seat.node.is_some();
                let Some(at) = self.seats.iter().rposition(living) else {
                    return;
                };
                let seat = &mut self.seats[at];
                if !seat.is_paused {
                    self.hand(
                        at,
                        Input::Datagram {
                            from,
                            bytes: &bytes,
                        },
                    );
                } else if seat.socket.len() < SOCKET {
                    seat.socket.push((from, bytes));
                }
            }
        }
    }

    /// A process that lives.
    pub fn node(&self, at: usize) -> &Node<B> {
        self.seats[at].node.as_ref().expect("a process that lives")
    }

    /// Whether every process that lives and is not stopped knows just these others, by name and boot number.
    pub fn all_know(&self, members: &[(&str, u64)]) -> bool {
        let running = self.seats.iter().filter(|seat| !seat.is_paused);
        running.filter_map(|seat| seat.node.as_ref()).all(|node| {
            let known = node
                .members()
                .map(|member| (&*member.name, member.incarnation));
            let me = std::iter::once((&*node.me().name, node.me().incarnation));
            let mut known: Vec<_> = known.chain(me).collect();
            known.sort_unstable();
            known == members
        })
    }

    /// What a process told, in its order.
    pub fn told(&self, at: usize) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(move |(_, by, _)| *by == at)
            .map(|(_, _, event)| event)
    }

    /// What passed through all that live.
    pub fn counts(&self) -> Vec<Counts> {
        self.seats
            .iter()
            .filter_map(|seat| seat.node.as_ref())
            .map(Node::counts)
            .collect()
    }
}
