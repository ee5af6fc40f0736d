//! Many nodes on one virtual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{NetworkConditions, keys};
use crate::{Counts, Event, Input, Keys, Millis, Node, Output, Payload, Profile, Settings};

/// What lies in the socket of a process that is stopped; more is lost.
const MAX_SOCKET_DATAGRAMS: usize = 256;

/// The place of one process.
pub struct Process<B> {
    /// Where it is.
    pub address: SocketAddr,
    /// What runs there; `None` after it was killed.
    pub node: Option<Node<B>>,
    is_paused: bool,
    socket_queue: Vec<(SocketAddr, Vec<u8>)>,
    wake_at: Millis,
}

enum ScheduledEvent {
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
    pub network: NetworkConditions,
    /// The processes, in the order in which they were added.
    pub processes: Vec<Process<B>>,
    /// What they told: when, which process, what.
    pub events: Vec<(Millis, usize, Event)>,
    queue: BTreeMap<(Millis, u64), ScheduledEvent>,
    last_sequence: u64,
}

impl<B: Payload> Fleet<B> {
    /// A fleet of nobody.
    pub fn new(network: NetworkConditions) -> Self {
        Self {
            now: 1_000,
            network,
            processes: Vec::new(),
            events: Vec::new(),
            queue: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Starts a process with the usual key and settings, and answers with its place.
    pub fn add(&mut self, profile: Profile, payload: B) -> usize {
        self.add_with(profile, keys(1), Settings::default(), payload)
    }

    /// Starts a process. One that ran at its address hears nothing any more.
    pub fn add_with(
        &mut self,
        profile: Profile,
        keys: Keys,
        settings: Settings,
        payload: B,
    ) -> usize {
        let address = profile.address;
        let node = Node::new(profile, keys, settings, payload).expect("a profile without faults");
        let process = Process {
            address,
            node: Some(node),
            is_paused: false,
            socket_queue: Vec::new(),
            wake_at: 0,
        };
        self.processes.push(process);
        let index = self.processes.len() - 1;
        self.handle_input(index, Input::Start);
        index
    }

    /// Ends a process in one instant.
    pub fn kill(&mut self, index: usize) {
        self.processes[index].node = None;
    }

    /// Stops a process: it gets no turns, and what is sent to it lies in its socket.
    pub fn pause(&mut self, index: usize) {
        self.processes[index].is_paused = true;
    }

    /// Lets a stopped process run on.
    pub fn resume(&mut self, index: usize) {
        self.processes[index].is_paused = false;
        for (from, bytes) in std::mem::take(&mut self.processes[index].socket_queue) {
            self.handle_input(
                index,
                Input::Datagram {
                    from,
                    bytes: &bytes,
                },
            );
        }
        self.handle_input(index, Input::Tick);
    }

    /// Hands an input to a process now.
    pub fn handle_input(&mut self, index: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let Some(node) = &mut self.processes[index].node else {
            return;
        };
        node.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, bytes } => self.send(self.processes[index].address, to, bytes),
                Output::Event(event) => self.events.push((self.now, index, *event)),
                Output::Wake(wake_at) => {
                    self.processes[index].wake_at = wake_at;
                    self.enqueue(wake_at, ScheduledEvent::Run(index));
                }
            }
        }
    }

    /// Sends a datagram by the rules.
    pub fn send(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        assert!(
            bytes.len() <= crate::MAX_DATAGRAM_BYTES,
            "a datagram of {} bytes was sent",
            bytes.len()
        );
        for delay in self.network.delivery_delays(from, to) {
            self.enqueue(
                self.now + delay,
                ScheduledEvent::Datagram {
                    from,
                    to,
                    bytes: bytes.clone(),
                },
            );
        }
    }

    fn enqueue(&mut self, due_at: Millis, scheduled: ScheduledEvent) {
        self.last_sequence += 1;
        self.queue.insert((due_at, self.last_sequence), scheduled);
    }

    /// Lets that much time go by.
    pub fn run_for(&mut self, duration_ms: Millis) {
        self.run_until(duration_ms, |_| false);
    }

    /// Lets time go by until it is so, or that much has gone: whether it was so in the end.
    pub fn run_until(
        &mut self,
        duration_ms: Millis,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> bool {
        let end = self.now + duration_ms;
        let mut checked_at = None;
        while let Some(first) = self
            .queue
            .first_entry()
            .filter(|first| first.key().0 <= end)
        {
            let due_at = first.key().0;
            // Asked once a moment, of what it was before.
            if checked_at != Some(due_at) {
                if condition(self) {
                    return true;
                }
                checked_at = Some(due_at);
            }
            let Some(((due_at, _), scheduled)) = self.queue.pop_first() else {
                break;
            };
            self.now = self.now.max(due_at);
            self.run_scheduled(scheduled);
        }
        self.now = end;
        condition(self)
    }

    fn run_scheduled(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Run(index) => {
                let process = &self.processes[index];
                if !process.is_paused && process.wake_at <= self.now {
                    self.handle_input(index, Input::Tick);
                }
            }
            ScheduledEvent::Datagram { from, to, bytes } => {
                let is_receiver =
                    |process: &Process<B>| process.address == to && process.node.is_some();
                let Some(index) = self.processes.iter().rposition(is_receiver) else {
                    return;
                };
                let process = &mut self.processes[index];
                if !process.is_paused {
                    self.handle_input(
                        index,
                        Input::Datagram {
                            from,
                            bytes: &bytes,
                        },
                    );
                } else if process.socket_queue.len() < MAX_SOCKET_DATAGRAMS {
                    process.socket_queue.push((from, bytes));
                }
            }
        }
    }

    /// A process that lives.
    pub fn node(&self, index: usize) -> &Node<B> {
        self.processes[index]
            .node
            .as_ref()
            .expect("a process that lives")
    }

    /// Whether every process that lives and is not stopped knows just these others, by name and boot number.
    pub fn all_know(&self, members: &[(&str, u64)]) -> bool {
        let running = self.processes.iter().filter(|process| !process.is_paused);
        running
            .filter_map(|process| process.node.as_ref())
            .all(|node| {
                let known = node
                    .members()
                    .map(|member| (&*member.name, member.incarnation));
                let local =
                    std::iter::once((&*node.local_member().name, node.local_member().incarnation));
                let mut known: Vec<_> = known.chain(local).collect();
                known.sort_unstable();
                known == members
            })
    }

    /// What a process told, in its order.
    pub fn events_of(&self, index: usize) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(move |(_, process, _)| *process == index)
            .map(|(_, _, event)| event)
    }

    /// What passed through all that live.
    pub fn counts(&self) -> Vec<Counts> {
        self.processes
            .iter()
            .filter_map(|process| process.node.as_ref())
            .map(Node::counts)
            .collect()
    }
}
