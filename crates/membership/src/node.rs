//! One process's part in the fleet, without socket or clock.

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
    Body, Configuration, Counts, Event, Keys, Member, Millis, Profile, ProfileFault, Settings,
};
use names::Naming;
use swim::{Doubted, Swim};
use timers::{Budget, Timers};

/// A node alone asks around for the first time after this, then ever more seldom.
const FIRST_HELLO: Millis = 200;
/// A node alone asks around at least this often.
const ALONE_HELLO: Millis = 5_000;
/// A node among others asks an address where nobody is known to be this often: guards against two fleets that know
/// nothing of each other.
const SPARE_HELLO: Millis = 20_000;
/// So many addresses are asked at a time.
const HELLOS: usize = 3;
/// A node run later than this after it wanted to be gives its probes that much longer: guards against blaming others
/// for its own lateness.
const LATE: Millis = 200;
/// After news are said the next round comes within this, and not sooner than this after the last.
const SAY_WITHIN: Millis = 20;

/// What a node is handed.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// It is to run for the first time.
    Start,
    /// A datagram came.
    Datagram {
        /// From here.
        from: SocketAddr,
        /// With these bytes.
        bytes: &'a [u8],
    },
    /// The moment came that was wanted. Datagrams that came before it are to be handed in first.
    Tick,
    /// The body has news that should not wait for the next round.
    Say,
    /// The process runs this configuration from now on.
    Configured(Configuration),
    /// These addresses are asked from now on.
    Seeds(Vec<SocketAddr>),
    /// These keys hold from now on.
    Keys(Box<Keys>),
    /// The process is about to end: the others are told.
    Leave,
}

/// What a node answers with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// These bytes are to be sent.
    Send {
        /// To this address.
        to: SocketAddr,
        /// At most [`crate::LARGEST`].
        bytes: Vec<u8>,
    },
    /// Something that the host or the log should know.
    Event(Box<Event>),
    /// The node wants to be run at this moment at the latest. The last output of each call.
    Wake(Millis),
}

/// Where a node stands to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Within,
    /// Its name is another's; these addresses are asked whether it still is.
    Outside(Vec<SocketAddr>),
    Left,
}

/// When what is done next.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    round: Millis,
    summary: Millis,
    hello: Millis,
    hello_gap: Millis,
    roster: Millis,
    roster_gap: Millis,
    last_round: Millis,
}

/// One process's part in the fleet.
pub struct Node<B> {
    body: B,
    settings: Settings,
    keys: Keys,
    seeds: Vec<SocketAddr>,
    own: OwnName,
    me: Member,
    phase: Phase,
    swim: Swim,
    runtime: AccumulatingRuntime<Member>,
    timers: Timers,
    doubts: Vec<Doubted>,
    present: BTreeMap<Arc<str>, Member>,
    speaker: Option<(Arc<str>, SocketAddr)>,
    told_members: usize,
    ask: Option<Arc<str>>,
    asked_first: usize,
    senders: Senders,
    unknown_senders: UnknownSenders,
    naming: Naming,
    budget: Budget,
    counts: Counts,
    counter: u64,
    room: usize,
    rng: Pcg64Mcg,
    schedule: Schedule,
    last: Millis,
    wake: Option<Millis>,
}

impl<B: Body> Node<B> {
    /// A node that has done nothing yet: hand it [`Input::Start`].
    ///
    /// # Errors
    /// All that is wrong with the profile.
    pub fn new(
        profile: Profile,
        keys: Keys,
        settings: Settings,
        body: B,
    ) -> Result<Self, Vec<ProfileFault>> {
        profile.check()?;
        let mut rng = Pcg64Mcg::seed_from_u64(profile.seed);
        let me = Member {
            name: profile.name,
            address: profile.address,
            incarnation: profile.incarnation,
            start_nonce: rng.random(),
            renewal: 0,
            site: profile.site,
            configuration: profile.peer_configuration,
        };
        let own = OwnName::new(me.clone());
        let room = wire::payload_capacity(&me.name);
        Ok(Self {
            body,
            swim: swim::library(&settings, room, own.clone(), &mut rng),
            budget: Budget::new(settings.bytes_per_s),
            settings,
            keys,
            seeds: profile.seeds,
            own,
            me,
            phase: Phase::Within,
            runtime: AccumulatingRuntime::default(),
            timers: Timers::default(),
            doubts: Vec::new(),
            present: BTreeMap::new(),
            speaker: None,
            told_members: 0,
            ask: None,
            asked_first: 0,
            senders: Senders::default(),
            unknown_senders: UnknownSenders::default(),
            naming: Naming::default(),
            counts: Counts::default(),
            counter: 0,
            room,
            rng,
            schedule: Schedule::default(),
            last: 0,
            wake: None,
        })
    }

    /// This process as it announces itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The other processes that are there, by name.
    pub fn members(&self) -> impl ExactSizeIterator<Item = &Member> {
        self.present.values()
    }

    /// Whether this process's name is another's, so that it stands outside the fleet.
    pub fn is_displaced(&self) -> bool {
        matches!(self.phase, Phase::Outside(_))
    }

    /// What passed through since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The body that it carries.
    pub fn body(&self) -> &B {
        &self.body
    }

    /// The body that it carries, to be changed.
    pub fn body_mut(&mut self) -> &mut B {
        &mut self.body
    }

    /// Takes what happened and answers with what to do.
    pub fn handle(&mut self, now: Millis, input: Input<'_>, out: &mut Vec<Output>) {
        // Guards against a clock that was set back: time stands still until it has caught up.
        let now = now.max(self.last);
        self.notice_gap(now, out);
        self.last = now;
        match input {
            Input::Start => self.start(now),
            Input::Datagram { from, bytes } => self.datagram(from, bytes, now, out),
            Input::Tick => self.run_scheduled(now, out),
            Input::Say => self.schedule.round = self.schedule.round.min(self.next_reply_at(now)),
            Input::Configured(configuration) => self.configured(configuration, now, out),
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Keys(keys) => self.keys = *keys,
            Input::Leave => self.leave(now, out),
        }
        self.count_members();
        let wake = self.next_scheduled(now);
        self.wake = Some(wake);
        out.push(Output::Wake(wake));
    }

    /// Guards against false words after a pause: what this node believes of the others may be long over, and they
    /// may have declared it down.
    fn notice_gap(&mut self, now: Millis, out: &mut Vec<Output>) {
        let late = self.wake.map_or(0, |wake| now.saturating_sub(wake));
        if late <= LATE {
            return;
        }
        self.timers.put_off(late);
        self.doubts.iter_mut().for_each(|doubt| doubt.put_off(late));
        if late >= self.settings.pause && self.phase == Phase::Within {
            self.tell(Event::Woke(late), out);
            self.schedule.hello = now;
            self.announce_anew(self.me.renewed(), now, out);
        }
    }

    fn start(&mut self, now: Millis) {
        self.schedule.hello_gap = FIRST_HELLO;
        // Guards against a fleet in step, all of which starts in one moment.
        self.schedule.hello = now + self.rng.random_range(0..FIRST_HELLO);
        self.schedule.round = now + self.jittered(self.settings.round);
        self.schedule.summary = now + self.jittered(self.settings.summary);
    }

    fn next_reply_at(&mut self, now: Millis) -> Millis {
        now.max(self.schedule.last_round + SAY_WITHIN) + self.rng.random_range(0..SAY_WITHIN)
    }

    fn configured(&mut self, configuration: Configuration, now: Millis, out: &mut Vec<Output>) {
        if configuration == self.me.configuration || self.phase == Phase::Left {
            return;
        }
        let me = Member {
            configuration,
            ..self.me.renewed()
        };
        if self.phase == Phase::Within {
            self.announce_anew(me, now, out);
        } else {
            self.me = me;
        }
    }

    fn run_scheduled(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.phase == Phase::Left {
            return;
        }
        if self.phase == Phase::Within {
            self.run_timers(now, out);
            self.voice_doubts(now, out);
            if now >= self.schedule.round {
                self.round(now, out);
            }
            if now >= self.schedule.summary {
                self.summary(now, out);
            }
            if now >= self.schedule.roster {
                self.ask_for_roster(now, out);
            }
        }
        if now >= self.schedule.hello {
            self.hello(now, out);
        }
    }

    fn round(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.schedule.last_round = now;
        self.schedule.round = now + self.jittered(self.settings.round);
        for name in self.some(self.settings.gossip_fanout) {
            let Some(to) = self.present.get(&name).map(|member| member.address) else {
                continue;
            };
            if !self.budget.has(self.room, now) {
                self.counts.rate_limited += 1;
                break;
            }
            let bytes = self.body.gossip(self.room, now);
            if bytes.is_empty() {
                break;
            }
            // Guards against a datagram that no other would take.
            if bytes.len() > self.room {
                self.counts.rate_limited += 1;
                continue;
            }
            self.say_bytes(to, WireMessage::Rumours(bytes), out);
        }
        if let Some(name) = self.ask.take() {
            self.ask_for_pages(&name, now, out);
        }
    }

    fn summary(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.schedule.summary = now + self.jittered(self.settings.summary);
        self.timers
            .take_forget_timers(now)
            .into_iter()
            .for_each(|timer| self.fire(timer, now, out));
        for name in self.some(1) {
            self.ask_for_pages(&name, now, out);
        }
    }

    fn ask_for_pages(&mut self, name: &str, now: Millis, out: &mut Vec<Output>) {
        let Some(to) = self.present.get(name).map(|member| member.address) else {
            return;
        };
        if !self.budget.has(self.room, now) {
            self.counts.rate_limited += 1;
            return;
        }
        let bytes = self.body.summary(self.room, now);
        if !bytes.is_empty() {
            self.say_bytes(to, WireMessage::Summary(bytes), out);
        }
    }

    fn hello(&mut self, now: Millis, out: &mut Vec<Output>) {
        let alone = self.present.is_empty();
        self.schedule.hello_gap = match (alone, &self.phase) {
            (_, Phase::Outside(_)) => names::ASK_AGAIN,
            (true, _) => (self.schedule.hello_gap * 2).clamp(FIRST_HELLO, ALONE_HELLO),
            (false, _) => SPARE_HELLO,
        };
        self.schedule.hello = now + self.jittered(self.schedule.hello_gap);
        let known: Vec<_> = self.present.values().map(|member| member.address).collect();
        let mut ask = match &self.phase {
            Phase::Outside(addresses) => addresses.clone(),
            _ => self.seeds.clone(),
        };
        ask.retain(|address| *address != self.me.address && !known.contains(address));
        for _ in 0..if alone { HELLOS } else { 1 } {
            if ask.is_empty() {
                break;
            }
            let to = ask.swap_remove(self.rng.random_range(0..ask.len()));
            self.say(to, WireMessage::Hello(Identity::full(&self.me)), out);
        }
    }

    fn leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.phase == Phase::Within {
            self.with_swim(now, out, |swim, runtime| swim.leave_cluster(runtime));
        }
        self.phase = Phase::Left;
    }

    /// Some members at random, none twice.
    fn some(&mut self, most: usize) -> Vec<Arc<str>> {
        let picked = rand::seq::index::sample(
            &mut self.rng,
            self.present.len(),
            most.min(self.present.len()),
        );
        let mut places = picked.into_vec();
        places.sort_unstable();
        let mut names = self.present.keys().enumerate();
        places
            .iter()
            .filter_map(|place| names.find(|(at, _)| at == place))
            .map(|(_, name)| name.clone())
            .collect()
    }

    fn jittered(&mut self, gap: Millis) -> Millis {
        self.rng.random_range(gap - gap / 4..=gap + gap / 4)
    }

    fn count_members(&mut self) {
        let members = self.present.len() + 1;
        if members != self.told_members {
            self.told_members = members;
            self.body.members(members);
        }
    }

    fn next_scheduled(&self, now: Millis) -> Millis {
        let others = [
            self.timers.next(),
            self.doubts.iter().map(Doubted::next_timer).min(),
            self.next_talk(),
        ];
        let due = match self.phase {
            Phase::Left => now + ALONE_HELLO,
            Phase::Outside(_) => self.schedule.hello,
            Phase::Within => others
                .into_iter()
                .flatten()
                .fold(self.schedule.hello, Millis::min),
        };
        due.max(now)
    }

    fn next_talk(&self) -> Option<Millis> {
        (!self.present.is_empty()).then(|| {
            self.schedule
                .round
                .min(self.schedule.summary)
                .min(self.schedule.roster)
        })
    }

    fn tell(&self, event: Event, out: &mut Vec<Output>) {
        out.push(Output::Event(Box::new(event)));
    }

    /// Sends what counts against the bytes that bodies may fill.
    fn say_bytes(&mut self, to: SocketAddr, word: WireMessage, out: &mut Vec<Output>) {
        let before = self.counts.sent_bytes;
        self.say(to, word, out);
        self.budget.spend(self.counts.sent_bytes - before);
    }

    fn say(&mut self, to: SocketAddr, word: WireMessage, out: &mut Vec<Output>) {
        self.counter += 1;
        let (incarnation, start_nonce) = self.me.born();
        let content = Content {
            name: self.me.name.to_string(),
            incarnation,
            start_nonce,
            counter: self.counter,
            message: Some(word),
        };
        let bytes = wire::seal(&self.keys, &content);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }
}
