//! The fleet's thread: what it has, and the loop that hands each input to whoever takes it up.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_affinity::Version;
use beaconflow_knowledge::Change;
use beaconflow_peers::{self as peers, driver};
use crossbeam_channel::{Receiver, never, select};
use tracing::{info, warn};

use super::carry::Shared;
use super::gather::Gathering;
use super::handle::{Ask, Look};
use super::keep::{Keeps, Restored};
use super::setup::configuration;
use super::site::Site;
use super::uplink::{self, Uplink};
use super::{Millis, records};
use crate::clock::Clock;
use crate::core::{Event, Handle, KnownNews, TieNews, Witness};
use crate::farm::Listed;
use crate::operator;

/// The thread looks at what only time changes this often at least.
const LONGEST_WAIT: Duration = Duration::from_millis(250);

/// Whatever reaches the thread.
pub(super) struct Inputs {
    pub(super) witnesses: Receiver<Witness>,
    pub(super) changes: Receiver<Vec<Change>>,
    pub(super) events: Receiver<peers::Event>,
    pub(super) asked: Receiver<Ask>,
}

/// What reached it.
enum Came {
    Seen(Witness),
    Learnt(Vec<Change>),
    Peers(peers::Event),
    Asked(Ask),
    CoreLeft,
    Nothing,
}

impl Inputs {
    /// What comes next, if it comes within a time.
    fn next(&mut self, wait: Duration) -> Came {
        // Guards against a loop round an end that is ready at all times: an input that has ended is left out.
        select! {
            recv(self.witnesses) -> seen => seen.map_or(Came::CoreLeft, Came::Seen),
            recv(self.changes) -> changes => changes.map_or(Came::Nothing, Came::Learnt),
            recv(self.events) -> event => event.map_or_else(
                |_| {
                    self.events = never();
                    Came::Nothing
                },
                Came::Peers,
            ),
            recv(self.asked) -> ask => ask.map_or_else(
                |_| {
                    self.asked = never();
                    Came::Nothing
                },
                Came::Asked,
            ),
            default(wait) => Came::Nothing,
        }
    }
}

/// The thread's own.
pub(super) struct Thread {
    /// The present moment, in nanoseconds as the core counts them.
    pub(super) now: u64,
    pub(super) since: u64,
    pub(super) serving_since: Option<u64>,
    pub(super) in_full: bool,
    /// The site's processes have begun to tell what they know: all has come by the first moment if nothing more comes
    /// until then, and at the second at the latest.
    pub(super) settling: Option<(u64, u64)>,
    /// The site's processes have told what they know.
    pub(super) is_settled: bool,
    /// `PING` says no: what was known before is gathered.
    pub(super) gathers: bool,
    /// Clients are let in by turns.
    pub(super) by_turns: bool,
    /// The list as the core has it, by name.
    pub(super) farm: BTreeMap<String, Listed>,
    pub(super) position: Option<beaconflow_knowledge::Position>,
    pub(super) standing: usize,
    /// When the own word is told again.
    pub(super) tell_at: u64,
    pub(super) look_at: u64,
    pub(super) look: Look,
    pub(super) file: operator::Fleet,
    pub(super) clock: Clock,
    pub(super) boot: u64,
    pub(super) version: Version,
    pub(super) core: Handle,
    pub(super) known: Shared,
    pub(super) peers: driver::Handle,
    pub(super) keeps: Keeps,
    pub(super) gathering: Gathering,
    pub(super) uplink: Option<Uplink>,
    pub(super) site: Site,
    /// A started server is warm after this.
    pub(super) cold_ms: Millis,
    /// A client key's failures are forgotten after this.
    pub(super) failures_good: Millis,
    pub(super) shown: Arc<Mutex<Look>>,
}

impl Thread {
    pub(super) fn run(mut self, restored: Restored, mut inputs: Inputs) {
        self.restore(restored);
        if self.file.edge.word != operator::EdgeWord::Automatic {
            let word = self.file.edge.word;
            self.uplink(|uplink, now| uplink.word(now, word));
        }
        loop {
            self.now = self.clock.now();
            self.look_after();
            let came = inputs.next(self.wait());
            // Guards against a success that is dated before the failure that it makes void: the wait may have been long.
            self.now = self.clock.now();
            match came {
                Came::Seen(seen) => self.witnessed(seen),
                Came::Learnt(changes) => self.learnt(&changes),
                Came::Peers(event) => self.peers_say(event),
                Came::Asked(ask) => self.follow(ask),
                Came::CoreLeft => return self.end(),
                Came::Nothing => {}
            }
        }
    }

    /// How long nothing is due.
    fn wait(&self) -> Duration {
        let due = [self.gathering.next(), self.settling.map(|(at, _)| at), Some(self.tell_at)];
        let due = due.into_iter().flatten().min().unwrap_or(u64::MAX);
        Duration::from_nanos(due.saturating_sub(self.now)).min(LONGEST_WAIT)
    }

    /// The present moment, in milliseconds.
    pub(super) fn ms(&self) -> Millis {
        self.now / 1_000_000
    }

    /// Tells the uplink something, and does what it wants.
    pub(super) fn uplink(&mut self, act: impl FnOnce(&mut Uplink, Millis) -> Vec<uplink::Wanted>) {
        let now = self.ms();
        let Some(uplink) = &mut self.uplink else { return };
        let wanted = act(uplink, now);
        let kept = uplink.kept(now);
        for one in wanted {
            match one {
                uplink::Wanted::Hold(span) => self.core.tell(Event::Known(KnownNews::Hold(span))),
                uplink::Wanted::Ask => self.core.tell(Event::Known(KnownNews::Ask)),
                uplink::Wanted::Tell => self.tell_at = self.now,
                uplink::Wanted::Keep => self.keeps.remember(records::uplink(kept.0, kept.1, now)),
            }
        }
    }

    pub(super) fn ties(&self, news: TieNews) {
        self.core.tell(Event::Known(KnownNews::Ties(news)));
    }

    /// Another file's word.
    fn follow(&mut self, ask: Ask) {
        let file = match ask {
            Ask::Follow(file) => file,
            Ask::Routes(version) => {
                self.version = version;
                return self.adopt(self.file.affinity.serial);
            }
        };
        if file.peers != self.file.peers {
            info!(part = "peers", peers = ?file.peers, "other addresses are asked from now on");
            self.peers.seeds(file.peers.clone());
        }
        if file.affinity.serial != self.file.affinity.serial {
            self.adopt(file.affinity.serial);
        }
        if file.edge.word != self.file.edge.word {
            self.uplink(|uplink, now| uplink.word(now, file.edge.word));
        }
        (self.file.peers, self.file.affinity.serial, self.file.edge.word) =
            (file.peers, file.affinity.serial, file.edge.word);
    }

    /// The present version is run under that number from now on.
    fn adopt(&mut self, serial: u64) {
        self.peers.configured(configuration(self.version, serial));
        self.ties(TieNews::Adopt(self.version, serial));
    }

    /// The core has left: what is known is written, and the peers are told.
    fn end(self) {
        if !self.keeps.end() {
            warn!(part = "memory", "not all that was known is written");
        }
        self.peers.stop();
    }
}
