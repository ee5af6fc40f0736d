//! A simulated fleet of nodes on a virtual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{NetworkConditions, keys};
use crate::{Counts, Event, Input, Keys, Millis, Node, Output, Payload, Profile, Settings};

/// Capacity of a paused process's socket queue, in datagrams; further ones are lost.
const MAX_SOCKET_DATAGRAMS: usize = 256;

/// A simulated process.
pub struct Process<B> {
    /// Address of the process.
    pub address: SocketAddr,
    /// The node; `None` after the process was killed.
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

/// A simulated fleet on one virtual clock and one network.
pub struct Fleet<B> {
    /// The present virtual time.
    pub now: Millis,
    /// Loss, duplication, delay and partitions of the network.
    pub network: NetworkConditions,
    /// The processes, in the order of their addition.
    pub processes: Vec<Process<B>>,
    /// Reported events, each with its time and the index of the process.
    pub events: Vec<(Millis, usize, Event)>,
    queue: BTreeMap<(Millis, u64), ScheduledEvent>,
    last_sequence: u64,
}

impl<B: Payload> Fleet<B> {
    /// Creates a fleet without processes.
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

    /// Starts a process with the default key and settings, and returns its index.
    pub fn add(&mut self, profile: Profile, payload: B) -> usize {
        self.add_with(profile, keys(1), Settings::default(), payload)
    }

    /// Starts a process and returns its index. A process that already runs at the address receives
    /// nothing further.
    pub fn add_with(
        &mut self,
        profile: Profile,
        keys: Keys,
        settings: Settings,
        payload: B,
    ) -> usize {
        let address = profile.address;
        let node = Node::new(profile, keys, settings, payload).expect("the profile is valid");
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

    /// Ends a process without a notice to its peers.
    pub fn kill(&mut self, index: usize) {
        self.processes[index].node = None;
    }

    /// Suspends a process: it handles nothing, and its socket queues datagrams.
    pub fn pause(&mut self, index: usize) {
        self.processes[index].is_paused = true;
    }

    /// Resumes a paused process, which first handles the queued datagrams.
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

    /// Passes an input to a process at the present time.
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

    /// Sends a datagram, subject to the network conditions.
    pub fn send(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        assert!(
            bytes.len() <= crate::MAX_DATAGRAM_BYTES,
            "a datagram of {} bytes exceeds the limit",
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

    /// Advances the time by this much.
    pub fn run_for(&mut self, duration_ms: Millis) {
        self.run_until(duration_ms, |_| false);
    }

    /// Advances the time until the condition holds, or by `duration_ms`. Returns whether the
    /// condition holds at the end.
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
            // Evaluated once for each distinct time, before its events.
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

    /// The node of a process that was not killed.
    pub fn node(&self, index: usize) -> &Node<B> {
        self.processes[index]
            .node
            .as_ref()
            .expect("the process is running")
    }

    /// Whether each running process knows exactly these members, itself included, by name and
    /// incarnation.
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

    /// The events that a process reported, in order.
    pub fn events_of(&self, index: usize) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(move |(_, process, _)| *process == index)
            .map(|(_, _, event)| event)
    }

    /// The counters of all processes that were not killed.
    pub fn counts(&self) -> Vec<Counts> {
        self.processes
            .iter()
            .filter_map(|process| process.node.as_ref())
            .map(Node::counts)
            .collect()
    }
}
