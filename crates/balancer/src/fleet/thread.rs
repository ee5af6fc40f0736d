//! The fleet's thread: what it has, and the loop that hands each input to whoever takes it up.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_affinity::Version;
use beaconflow_gossip::Change;
use beaconflow_membership::{self as peers, driver};
use crossbeam_channel::{Receiver, never, select};
use tracing::{info, warn};

use super::carry::Shared;
use super::gather::Gathering;
use super::handle::{Command, Status};
use super::keep::{MemoryWriter, Restored};
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
    pub(super) observations: Receiver<Witness>,
    pub(super) changes: Receiver<Vec<Change>>,
    pub(super) events: Receiver<peers::Event>,
    pub(super) commands: Receiver<Command>,
}

/// What reached it.
enum Input {
    Observed(Witness),
    Changed(Vec<Change>),
    Peers(peers::Event),
    Commanded(Command),
    CoreLeft,
    Nothing,
}

impl Inputs {
    /// What comes next, if it comes within a time.
    fn next(&mut self, wait: Duration) -> Input {
        // Guards against a loop round an end that is ready at all times: an input that has ended is left out.
        select! {
            recv(self.observations) -> seen => seen.map_or(Input::CoreLeft, Input::Observed),
            recv(self.changes) -> changes => changes.map_or(Input::Nothing, Input::Changed),
            recv(self.events) -> event => event.map_or_else(
                |_| {
                    self.events = never();
                    Input::Nothing
                },
                Input::Peers,
            ),
            recv(self.commands) -> command => command.map_or_else(
                |_| {
                    self.commands = never();
                    Input::Nothing
                },
                Input::Commanded,
            ),
            default(wait) => Input::Nothing,
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
    pub(super) servers: BTreeMap<String, Listed>,
    pub(super) position: Option<beaconflow_gossip::Position>,
    pub(super) standing: usize,
    /// When the own word is told again.
    pub(super) tell_at: u64,
    pub(super) status_at: u64,
    pub(super) status: Status,
    pub(super) file: operator::Fleet,
    pub(super) clock: Clock,
    pub(super) boot: u64,
    pub(super) version: Version,
    pub(super) core: Handle,
    pub(super) known: Shared,
    pub(super) peers: driver::Handle,
    pub(super) memory: MemoryWriter,
    pub(super) gathering: Gathering,
    pub(super) uplink: Option<Uplink>,
    pub(super) site: Site,
    /// A started server is warm after this.
    pub(super) cold_ms: Millis,
    /// A client key's failures are forgotten after this.
    pub(super) failures_good: Millis,
    pub(super) shown: Arc<Mutex<Status>>,
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
                Input::Observed(seen) => self.take_observation(seen),
                Input::Changed(changes) => self.take_changes(&changes),
                Input::Peers(event) => self.take_peer_event(event),
                Input::Commanded(command) => self.follow(command),
                Input::CoreLeft => return self.end(),
                Input::Nothing => {}
            }
        }
    }

    /// How long nothing is due.
    fn wait(&self) -> Duration {
        let due = [
            self.gathering.next(),
            self.settling.map(|(at, _)| at),
            Some(self.tell_at),
        ];
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
        let Some(uplink) = &mut self.uplink else {
            return;
        };
        let wanted = act(uplink, now);
        let kept = uplink.kept(now);
        for one in wanted {
            match one {
                uplink::Wanted::Hold(span) => self.core.tell(Event::Known(KnownNews::Hold(span))),
                uplink::Wanted::Ask => self.core.tell(Event::Known(KnownNews::Ask)),
                uplink::Wanted::Tell => self.tell_at = self.now,
                uplink::Wanted::Keep => self.memory.remember(records::uplink(kept.0, kept.1, now)),
            }
        }
    }

    pub(super) fn tell_affinity(&self, news: TieNews) {
        self.core.tell(Event::Known(KnownNews::Ties(news)));
    }

    /// Another file's word.
    fn follow(&mut self, command: Command) {
        let file = match command {
            Command::Follow(file) => file,
            Command::Routes(version) => {
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
        (
            self.file.peers,
            self.file.affinity.serial,
            self.file.edge.word,
        ) = (file.peers, file.affinity.serial, file.edge.word);
    }

    /// The present version is run under that number from now on.
    fn adopt(&mut self, serial: u64) {
        self.peers.configured(configuration(self.version, serial));
        self.tell_affinity(TieNews::Adopt(self.version, serial));
    }

    /// The core has left: what is known is written, and the peers are told.
    fn end(self) {
        if !self.memory.end() {
            warn!(part = "memory", "not all that was known is written");
        }
        self.peers.stop();
    }
}
