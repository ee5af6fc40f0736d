//! The peers' datagrams: loss, delay and cuts, and what the balancers hear.

use beaconflow_edge::Evidence;
use beaconflow_membership::{Event, Input, Output};
use beaconflow_recovery::{Event as Step, PeerStatus, RecoveryState as Stage};

use super::{Engine, Occurrence};
use crate::mesh::{self, StatusMessage};
use crate::{Nanos, SECOND};

/// A word of one's own is made anew after so long.
const STATUS_PERIOD: Nanos = SECOND / 10;
/// How long a balancer has run that was there when the run began.
const LONG: Nanos = 86_400 * SECOND;

/// A datagram on its way.
pub(super) struct Post {
    from: u32,
    to: u32,
    bytes: Vec<u8>,
}

impl Engine<'_> {
    /// The balancer's node starts.
    pub(super) fn joins(&mut self, balancer: u32) {
        if !self.scenario.fleet.talks() {
            return;
        }
        let start = self.nodes[balancer as usize].start;
        let (of, seed) = (self.scenario.balancers, self.scenario.seed);
        let node = mesh::node(
            balancer,
            of,
            u64::from(start) + 1,
            &self.site(balancer),
            &self.letters,
            seed,
        );
        let host = &mut self.hosts[balancer as usize];
        (host.node, host.published_at, host.wake) = (Some(node), None, None);
        self.hands(balancer, Input::Start);
    }

    /// Hands something to a balancer's node and does what it asks for.
    pub(super) fn hands(&mut self, balancer: u32, input: Input<'_>) {
        let mut out = Vec::new();
        let wall = mesh::wall(self.now);
        let Some(node) = &mut self.hosts[balancer as usize].node else {
            return;
        };
        node.handle(wall, input, &mut out);
        let (heard, news) = {
            let talk = node.payload_mut();
            (
                std::mem::take(&mut talk.received),
                std::mem::take(&mut talk.changes),
            )
        };
        for output in out {
            match output {
                Output::Send { to, bytes } => self.posts(balancer, mesh::at(to), bytes),
                Output::Event(event) => {
                    if let Event::Down(was) | Event::Restarted { previous: was, .. } = *event
                        && let Some(of) = mesh::rank(&was.name)
                    {
                        self.on_balancer_died(balancer, of, was.incarnation);
                    }
                }
                Output::Wake(at) => self.wakes(balancer, at),
            }
        }
        self.on_changes(balancer, &news);
        for said in heard {
            self.recovers(balancer, Step::PeerReported(said.peer_status.clone()));
            if let Some(says) = &said.uplink_report {
                self.sees(balancer, Evidence::PeerReport(says.clone()));
            }
        }
    }

    fn wakes(&mut self, balancer: u32, at: u64) {
        let start = self.nodes[balancer as usize].start;
        let host = &mut self.hosts[balancer as usize];
        if host.wake == Some(at) {
            return;
        }
        host.wake = Some(at);
        let at = (at - mesh::WALL) * 1_000_000;
        self.push(at, Occurrence::Talks { balancer, start });
    }

    fn posts(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        let fleet = &self.scenario.fleet;
        if self.wire.happens(fleet.lost) || to as usize >= self.hosts.len() {
            return;
        }
        if self.is_lost(self.zone(from), self.zone(to)) {
            return;
        }
        let now = self.now;
        let is_cut = |(until, cut): &(Nanos, Vec<bool>)| {
            now < *until && cut[from as usize] != cut[to as usize]
        };
        if self.cuts.iter().any(is_cut) {
            return;
        }
        let wait = self.wire.exponential(fleet.delay_ms / 1e3 / 2.0) + fleet.delay_ms / 1e3 / 2.0;
        let post = self.next_post;
        self.next_post += 1;
        self.posts.insert(post, Post { from, to, bytes });
        self.after(wait, Occurrence::Datagram { post });
    }

    /// A datagram is there.
    pub(super) fn delivers(&mut self, post: u64) {
        let Some(Post { from, to, bytes }) = self.posts.remove(&post) else {
            return;
        };
        let from = mesh::address(from);
        self.hands(
            to,
            Input::Datagram {
                from,
                bytes: &bytes,
            },
        );
    }

    /// A node has its turn.
    pub(super) fn talks(&mut self, balancer: u32) {
        let host = &self.hosts[balancer as usize];
        if host.wake.is_none_or(|wake| wake > mesh::wall(self.now)) {
            return;
        }
        if host
            .published_at
            .is_none_or(|at| self.now >= at + STATUS_PERIOD)
        {
            let wall = mesh::wall(self.now);
            let uplink_report = self.hosts[balancer as usize]
                .edge
                .as_ref()
                .map(|edge| edge.report(wall));
            let said = StatusMessage {
                peer_status: self.word(balancer),
                uplink_report,
            };
            let host = &mut self.hosts[balancer as usize];
            host.published_at = Some(self.now);
            if let Some(node) = &mut host.node {
                node.payload_mut().say(said);
            }
        }
        self.hands(balancer, Input::Tick);
    }

    /// What a balancer says of itself.
    fn word(&self, balancer: u32) -> PeerStatus {
        let host = &self.hosts[balancer as usize];
        let machine = host.recovery.as_ref();
        let uptime = if machine.is_some() {
            self.now - host.begun
        } else {
            LONG
        };
        let sound = machine.is_none_or(|machine| machine.is_clock_reliable());
        PeerStatus {
            name: mesh::name(balancer),
            site: self.site(balancer),
            incarnation: u64::from(self.nodes[balancer as usize].start) + 1,
            uptime,
            serving_time: match machine {
                Some(_) => host.lets_in_since.map(|since| self.now - since),
                None => Some(uptime),
            },
            is_in_full_service: machine.is_none_or(|machine| machine.state() == Stage::Serving),
            wall_clock: sound.then_some(mesh::wall(self.now)),
            previous_clients: match machine {
                Some(machine) => machine.previous_clients(),
                None => Some(self.previous_clients().iter().map(|one| one.clients).sum()),
            },
            deferred_per_s: machine.map_or(0.0, |machine| machine.deferred_per_s()),
        }
    }
}
