//! A process's membership state machine, without socket or clock.

mod datagrams;
mod names;
mod roster;
mod swim;
mod timers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use foca::AccumulatingRuntime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::codec::OwnName;
use crate::senders::Senders;
use crate::unknown_senders::UnknownSenders;
use crate::wire::{self, Content, Identity, WireMessage};
use crate::{
    Configuration, Counts, Event, Keys, Member, Millis, Payload, Profile, ProfileError, Settings,
};
use names::ConflictReports;
use swim::{Suspicion, Swim};
use timers::{Budget, Timers};

/// Delay bound of the first hello, and initial interval between hellos while the node is alone, in
/// milliseconds. The interval doubles with each hello.
const INITIAL_HELLO_INTERVAL_MS: Millis = 200;
/// Maximum interval between hellos while the node is alone, in milliseconds.
const MAX_ALONE_HELLO_INTERVAL_MS: Millis = 5_000;
/// Interval between hellos to a seed without a known member, in milliseconds. Lets two fleets that
/// do not know each other merge.
const HELLO_INTERVAL_MS: Millis = 20_000;
/// Seeds contacted at a time while the node is alone.
const HELLO_FANOUT: usize = 3;
/// Lateness of a call, after the requested time, above which probe timers are postponed by that
/// lateness, in milliseconds. Otherwise the node would blame peers for its own lateness.
const MAX_LATENESS_MS: Millis = 200;
/// Minimum delay between the last gossip round and an expedited one, and the bound of the random
/// delay added to it, in milliseconds.
const EXPEDITED_GOSSIP_DELAY_MS: Millis = 20;
/// Most peers that are asked for their state at once.
const MAX_STATE_SOURCES: usize = 8;

/// An input to a node.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// Starts the node. Must be the first input.
    Start,
    /// A datagram was received.
    Datagram {
        /// Source address.
        from: SocketAddr,
        /// Content, still sealed.
        bytes: &'a [u8],
    },
    /// The requested time has come. Datagrams received before that time must be passed in first.
    Tick,
    /// The payload has urgent changes, so the next gossip round runs early.
    GossipSoon,
    /// Requests what this process lacks from its peers: from all, or from some of many.
    RequestState,
    /// The configuration that the process runs from now on.
    SetConfiguration(Configuration),
    /// The seed addresses from now on.
    SetSeeds(Vec<SocketAddr>),
    /// The keys from now on.
    SetKeys(Box<Keys>),
    /// The process is about to end. Peers are notified.
    Leave,
}

/// An action that the host must execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// At most [`crate::MAX_DATAGRAM_BYTES`] long.
        bytes: Vec<u8>,
    },
    /// Report an event to the host or the log.
    Event(Box<Event>),
    /// Call the node again at this time at the latest. The last output of each call.
    Wake(Millis),
}

/// Relation of the node to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Joined,
    /// Another process holds the name; hellos to these addresses ask whether it still does.
    Displaced(Vec<SocketAddr>),
    Left,
}

/// Times of the next periodic actions, and their present intervals.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    gossip_at: Millis,
    summary_at: Millis,
    hello_at: Millis,
    hello_interval_ms: Millis,
    roster_at: Millis,
    roster_interval_ms: Millis,
    last_gossip_at: Millis,
}

/// The membership state of one process.
pub struct Node<B> {
    payload: B,
    settings: Settings,
    keys: Keys,
    seeds: Vec<SocketAddr>,
    own_name: OwnName,
    local: Member,
    phase: Phase,
    swim: Swim,
    runtime: AccumulatingRuntime<Member>,
    timers: Timers,
    suspicions: Vec<Suspicion>,
    live_members: BTreeMap<Arc<str>, Member>,
    sender: Option<(Arc<str>, SocketAddr)>,
    reported_member_count: usize,
    next_page_source: Option<Arc<str>>,
    initial_requests_sent: usize,
    senders: Senders,
    unknown_senders: UnknownSenders,
    conflict_reports: ConflictReports,
    budget: Budget,
    counts: Counts,
    counter: u64,
    payload_capacity: usize,
    rng: Pcg64Mcg,
    schedule: Schedule,
    last_handled_at: Millis,
    wake_at: Option<Millis>,
}

impl<B: Payload> Node<B> {
    /// Creates a node, whose first input must be [`Input::Start`].
    ///
    /// # Errors
    ///
    /// Returns all errors of the profile.
    pub fn new(
        profile: Profile,
        keys: Keys,
        settings: Settings,
        payload: B,
    ) -> Result<Self, Vec<ProfileError>> {
        profile.check()?;
        let mut rng = Pcg64Mcg::seed_from_u64(profile.seed);
        let local = Member {
            name: profile.name,
            address: profile.address,
            incarnation: profile.incarnation,
            start_nonce: rng.random(),
            renewal: 0,
            site: profile.site,
            configuration: profile.peer_configuration,
        };
        let own_name = OwnName::new(local.clone());
        let payload_capacity = wire::payload_capacity(&local.name);
        Ok(Self {
            payload,
            swim: swim::new_swim(&settings, payload_capacity, own_name.clone(), &mut rng),
            budget: Budget::new(settings.payload_bytes_per_s),
            settings,
            keys,
            seeds: profile.seeds,
            own_name,
            local,
            phase: Phase::Joined,
            runtime: AccumulatingRuntime::default(),
            timers: Timers::default(),
            suspicions: Vec::new(),
            live_members: BTreeMap::new(),
            sender: None,
            reported_member_count: 0,
            next_page_source: None,
            initial_requests_sent: 0,
            senders: Senders::default(),
            unknown_senders: UnknownSenders::default(),
            conflict_reports: ConflictReports::default(),
            counts: Counts::default(),
            counter: 0,
            payload_capacity,
            rng,
            schedule: Schedule::default(),
            last_handled_at: 0,
            wake_at: None,
        })
    }

    /// This process, as it announces itself to its peers.
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// The other live processes, ordered by name.
    pub fn members(&self) -> impl ExactSizeIterator<Item = &Member> {
        self.live_members.values()
    }

    /// Whether another process holds this process's name, which keeps this process out of the
    /// fleet.
    pub fn is_displaced(&self) -> bool {
        matches!(self.phase, Phase::Displaced(_))
    }

    /// Traffic and protocol counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The payload that the node's datagrams carry.
    pub fn payload(&self) -> &B {
        &self.payload
    }

    /// Mutable access to the payload that the node's datagrams carry.
    pub fn payload_mut(&mut self) -> &mut B {
        &mut self.payload
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, input: Input<'_>, out: &mut Vec<Output>) {
        // If the clock goes backwards, time stands still until the clock has caught up.
        let now = now.max(self.last_handled_at);
        self.detect_pause(now, out);
        self.last_handled_at = now;
        match input {
            Input::Start => self.start(now),
            Input::Datagram { from, bytes } => self.handle_datagram(from, bytes, now, out),
            Input::Tick => self.run_scheduled(now, out),
            Input::GossipSoon => {
                self.schedule.gossip_at = self.schedule.gossip_at.min(self.expedited_gossip_at(now))
            }
            Input::RequestState => self.request_state(now, out),
            Input::SetConfiguration(configuration) => {
                self.set_configuration(configuration, now, out)
            }
            Input::SetSeeds(seeds) => self.seeds = seeds,
            Input::SetKeys(keys) => self.keys = *keys,
            Input::Leave => self.leave(now, out),
        }
        self.report_member_count();
        let wake_at = self.next_call_at(now);
        self.wake_at = Some(wake_at);
        out.push(Output::Wake(wake_at));
    }

    /// Postpones timers after a late call, and announces a new identity after a long pause. The
    /// node's knowledge of its peers may be outdated then, and they may have declared it down.
    fn detect_pause(&mut self, now: Millis, out: &mut Vec<Output>) {
        let lateness_ms = self
            .wake_at
            .map_or(0, |wake_at| now.saturating_sub(wake_at));
        if lateness_ms <= MAX_LATENESS_MS {
            return;
        }
        self.timers.postpone(lateness_ms);
        self.suspicions
            .iter_mut()
            .for_each(|suspicion| suspicion.postpone(lateness_ms));
        if lateness_ms >= self.settings.pause_threshold_ms && self.phase == Phase::Joined {
            self.emit(Event::PauseDetected(lateness_ms), out);
            self.schedule.hello_at = now;
            self.announce_identity(self.local.renewed(), now, out);
        }
    }

    fn start(&mut self, now: Millis) {
        self.schedule.hello_interval_ms = INITIAL_HELLO_INTERVAL_MS;
        // The random delay keeps processes that start at the same time out of lockstep.
        self.schedule.hello_at = now + self.rng.random_range(0..INITIAL_HELLO_INTERVAL_MS);
        self.schedule.gossip_at = now + self.jittered(self.settings.gossip_interval_ms);
        self.schedule.summary_at = now + self.jittered(self.settings.summary_interval_ms);
    }

    fn expedited_gossip_at(&mut self, now: Millis) -> Millis {
        now.max(self.schedule.last_gossip_at + EXPEDITED_GOSSIP_DELAY_MS)
            + self.rng.random_range(0..EXPEDITED_GOSSIP_DELAY_MS)
    }

    fn set_configuration(
        &mut self,
        configuration: Configuration,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if configuration == self.local.configuration || self.phase == Phase::Left {
            return;
        }
        let local = Member {
            configuration,
            ..self.local.renewed()
        };
        if self.phase == Phase::Joined {
            self.announce_identity(local, now, out);
        } else {
            self.local = local;
        }
    }

    fn run_scheduled(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.phase == Phase::Left {
            return;
        }
        if self.phase == Phase::Joined {
            self.run_timers(now, out);
            self.notify_suspects(now, out);
            if now >= self.schedule.gossip_at {
                self.run_gossip_round(now, out);
            }
            if now >= self.schedule.summary_at {
                self.send_summary(now, out);
            }
            if now >= self.schedule.roster_at {
                self.request_roster(now, out);
            }
        }
        if now >= self.schedule.hello_at {
            self.send_hellos(now, out);
        }
    }

    fn run_gossip_round(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.schedule.last_gossip_at = now;
        self.schedule.gossip_at = now + self.jittered(self.settings.gossip_interval_ms);
        for name in self.random_members(self.settings.gossip_fanout) {
            let Some(to) = self.live_members.get(&name).map(|member| member.address) else {
                continue;
            };
            if !self.budget.allows(self.payload_capacity, now) {
                self.counts.rate_limited += 1;
                break;
            }
            let bytes = self.payload.gossip(self.payload_capacity, now);
            if bytes.is_empty() {
                break;
            }
            // Peers would refuse such a datagram.
            if bytes.len() > self.payload_capacity {
                self.counts.rate_limited += 1;
                continue;
            }
            self.send_payload(to, WireMessage::Gossip(bytes), out);
        }
        if let Some(name) = self.next_page_source.take() {
            self.request_pages(&name, now, out);
        }
    }

    fn send_summary(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.schedule.summary_at = now + self.jittered(self.settings.summary_interval_ms);
        self.timers
            .take_forget_timers(now)
            .into_iter()
            .for_each(|timer| self.fire_timer(timer, now, out));
        for name in self.random_members(1) {
            self.request_pages(&name, now, out);
        }
    }

    fn request_state(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.phase == Phase::Joined {
            for name in self.random_members(MAX_STATE_SOURCES) {
                self.request_pages(&name, now, out);
            }
        }
    }

    fn request_pages(&mut self, name: &str, now: Millis, out: &mut Vec<Output>) {
        let Some(to) = self.live_members.get(name).map(|member| member.address) else {
            return;
        };
        if !self.budget.allows(self.payload_capacity, now) {
            self.counts.rate_limited += 1;
            return;
        }
        let bytes = self.payload.summary(self.payload_capacity, now);
        if !bytes.is_empty() {
            self.send_payload(to, WireMessage::Summary(bytes), out);
        }
    }

    fn send_hellos(&mut self, now: Millis, out: &mut Vec<Output>) {
        let is_alone = self.live_members.is_empty();
        self.schedule.hello_interval_ms = match (is_alone, &self.phase) {
            (_, Phase::Displaced(_)) => names::DISPLACED_HELLO_INTERVAL_MS,
            (true, _) => (self.schedule.hello_interval_ms * 2)
                .clamp(INITIAL_HELLO_INTERVAL_MS, MAX_ALONE_HELLO_INTERVAL_MS),
            (false, _) => HELLO_INTERVAL_MS,
        };
        self.schedule.hello_at = now + self.jittered(self.schedule.hello_interval_ms);
        let known_addresses: Vec<_> = self
            .live_members
            .values()
            .map(|member| member.address)
            .collect();
        let mut candidates = match &self.phase {
            Phase::Displaced(addresses) => addresses.clone(),
            _ => self.seeds.clone(),
        };
        candidates
            .retain(|address| *address != self.local.address && !known_addresses.contains(address));
        for _ in 0..if is_alone { HELLO_FANOUT } else { 1 } {
            if candidates.is_empty() {
                break;
            }
            let to = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
            self.send(to, WireMessage::Hello(Identity::full(&self.local)), out);
        }
    }

    fn leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.phase == Phase::Joined {
            self.with_swim(now, out, |swim, runtime| swim.leave_cluster(runtime));
        }
        self.phase = Phase::Left;
    }

    /// The names of up to `count` distinct random members.
    fn random_members(&mut self, count: usize) -> Vec<Arc<str>> {
        let sampled = rand::seq::index::sample(
            &mut self.rng,
            self.live_members.len(),
            count.min(self.live_members.len()),
        );
        let mut indices = sampled.into_vec();
        indices.sort_unstable();
        let mut names = self.live_members.keys().enumerate();
        indices
            .iter()
            .filter_map(|index| names.find(|(position, _)| position == index))
            .map(|(_, name)| name.clone())
            .collect()
    }

    fn jittered(&mut self, interval_ms: Millis) -> Millis {
        self.rng
            .random_range(interval_ms - interval_ms / 4..=interval_ms + interval_ms / 4)
    }

    fn report_member_count(&mut self) {
        let member_count = self.live_members.len() + 1;
        if member_count != self.reported_member_count {
            self.reported_member_count = member_count;
            self.payload.set_member_count(member_count);
        }
    }

    fn next_call_at(&self, now: Millis) -> Millis {
        let timers = [
            self.timers.next_due_at(),
            self.suspicions.iter().map(Suspicion::next_notice_at).min(),
            self.next_exchange(),
        ];
        let due_at = match self.phase {
            Phase::Left => now + MAX_ALONE_HELLO_INTERVAL_MS,
            Phase::Displaced(_) => self.schedule.hello_at,
            Phase::Joined => timers
                .into_iter()
                .flatten()
                .fold(self.schedule.hello_at, Millis::min),
        };
        due_at.max(now)
    }

    fn next_exchange(&self) -> Option<Millis> {
        (!self.live_members.is_empty()).then(|| {
            self.schedule
                .gossip_at
                .min(self.schedule.summary_at)
                .min(self.schedule.roster_at)
        })
    }

    fn emit(&self, event: Event, out: &mut Vec<Output>) {
        out.push(Output::Event(Box::new(event)));
    }

    /// Sends a message that counts against the byte budget of payloads.
    fn send_payload(&mut self, to: SocketAddr, message: WireMessage, out: &mut Vec<Output>) {
        let sent_before = self.counts.sent_bytes;
        self.send(to, message, out);
        self.budget.spend(self.counts.sent_bytes - sent_before);
    }

    fn send(&mut self, to: SocketAddr, message: WireMessage, out: &mut Vec<Output>) {
        self.counter += 1;
        let (incarnation, start_nonce) = self.local.incarnation_id();
        let content = Content {
            name: self.local.name.to_string(),
            incarnation,
            start_nonce,
            counter: self.counter,
            message: Some(message),
        };
        let bytes = wire::seal(&self.keys, &content);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }
}
