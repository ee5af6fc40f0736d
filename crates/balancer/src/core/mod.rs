//! The core of the balancer: one thread that owns the decision module, the clock, the timers and the books.
//!
//! It knows no wire and touches no socket. Events come in over one channel; orders go out by the carrier of the
//! transaction that they concern.

mod admit;
mod book;
mod door;
mod drain;
mod events;
mod farm;
mod fleet;
mod handle;
mod ledger;
pub mod lifecycle;
mod overrides;
mod route;
mod settings;
mod start;
#[cfg(test)]
mod testing;
mod ties;
#[cfg(test)]
mod turns;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use beaconflow_admission::Miss;
use beaconflow_overrides::{Id, Judgement, Pace};
use beaconflow_policy::Balancer;
use beaconflow_policy::{self as policy, Action, Nanos, RequestId, ServerId, Settings, TimerId};
use beaconflow_settings::InForce;
use crossbeam_channel::{RecvTimeoutError, Sender};
use tracing::debug;

use door::Gate;
pub use door::{AccountLook, Config as DoorConfig, DoorLook};
use drain::Drain;
pub use events::{Asker, Carrier, Event, LoadAnswer, Look, Opening, Order, PassTimes, Told};
use farm::Farm;
pub use farm::{ApplicationServer, Mark, ServerLook, SitePart};
use fleet::Bond;
pub use fleet::{KnownNews, Seen, Tie, Witness};
use handle::Inbox;
pub use handle::{Counted, Handle};
pub use ledger::Counts;
use ledger::Ledger;
use lifecycle::{Lifecycle, Shown};
pub use overrides::{InEffect, OverrideChange};
pub use settings::Figures;
pub use start::{Start, StartError, start};
pub use ties::{TieNews, Ties};

use crate::clock::{Clock, nanos};
use crate::farm::News;

/// Period of the log line of what has been counted.
const COUNTS_PERIOD: Duration = Duration::from_secs(5);
/// Accounts over their shares are looked for this often.
const SHARES_PERIOD: Duration = Duration::from_secs(1);
/// A connection that stood before this balancer's start is tried again after this long.
const HELD_RETRY: Duration = Duration::from_millis(300);
/// One pass for it may take this long.
const HELD_PATIENCE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(TimerId),
    /// A connection that stood before the start is to be opened again.
    Held(u64),
    /// The client is moved in the drain of that number.
    Drained(u64, u64),
    /// That drain goes on.
    Drain(u64),
    Counts,
    /// Accounts may be over their shares.
    Shares,
    /// The time of somebody who waits at the door is up.
    Door,
    /// An override begins, ends or goes on rising.
    Overrides,
    /// Connections are moved off servers that were taken out.
    Moves,
    /// A call to discovery that was held back may be due.
    Asks,
    /// What stands is told of again.
    Ties,
    /// What was known before the start has been gathered for long enough.
    Recovered,
    /// Nobody has said whether it is that client's turn.
    Turn(u64),
}

struct Core {
    name: &'static str,
    /// The settings of the site as they are in force, and what the module has of them.
    in_force: Arc<InForce>,
    settings: Settings,
    seed: u64,
    clock: Clock,
    balancer: Balancer,
    farm: Farm,
    ledger: Ledger,
    gate: Gate,
    /// What is due when; the middle number keeps the order in which equal moments were set.
    timers: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    set: u64,
    watch: Sender<()>,
    asker: Option<Box<dyn Asker>>,
    /// The figures of the settings that other threads read.
    figures: Arc<Figures>,
    lifecycle: Lifecycle,
    shown: Shown,
    /// Open connections, also those that have had their last word.
    connections: Arc<AtomicUsize>,
    /// The drain that is on.
    drain: Option<Drain>,
    /// Drains so far.
    drains: u64,
    actions: Vec<Action>,
    /// The servers that an operator has emptied, by the override that says so.
    moves: BTreeMap<ServerId, (Id, Pace)>,
    /// Where the overrides leave no ready server, as last told.
    judgement: Judgement,
    /// When the overrides are looked at anew, if it has been set.
    overrides_due: Option<Nanos>,
    /// A fault in the overrides was met; none hold.
    overrides_lost: bool,
    /// What ties it to the fleet's thread, where a fleet is set up.
    bond: Option<Bond>,
}

impl Core {
    fn run(&mut self, inbox: &Inbox) {
        self.wake(COUNTS_PERIOD, Due::Counts);
        self.wake(SHARES_PERIOD, Due::Shares);
        while self.turn(inbox) && !self.has_left() {}
    }

    /// Waits for the next event or timer and takes it; false once nobody is left who tells events.
    fn turn(&mut self, inbox: &Inbox) -> bool {
        let due = self
            .timers
            .peek()
            .map(|Reverse((at, ..))| self.clock.instant(*at));
        let event = match due {
            Some(due) if due <= Instant::now() => Err(RecvTimeoutError::Timeout),
            Some(due) => inbox.events.recv_deadline(due),
            None => inbox
                .events
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected),
        };
        self.take_lists(inbox);
        match event {
            Ok(event) => self.take(event),
            Err(RecvTimeoutError::Timeout) => self.fire(),
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        // Guards against timers that wait behind a long queue of events: those due come first.
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= self.clock.now())
        {
            self.take_lists(inbox);
            self.fire();
        }
        self.shown.turned();
        true
    }

    /// Takes what was told of the farm before anything else. Guards against a server that drains and is sent to for as
    /// long as its list waits behind a queue of other events: a drain counts from the moment at which it was told.
    fn take_lists(&mut self, inbox: &Inbox) {
        while let Ok(news) = inbox.farm.try_recv() {
            self.hear_of_farm(news);
        }
    }

    fn hear_of_farm(&mut self, news: News) {
        match news {
            News::List(list) => self.take_list(list, false),
            News::Failed(quiet) => self.list_is_out(policy::ListUpdate::Failed(nanos(quiet))),
            News::Silent(quiet) => self.list_is_out(policy::ListUpdate::TimedOut(nanos(quiet))),
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Opened(id, opening, orders) => self.admit(id, opening, orders),
            Event::Adopted(id, opening, server, orders) => self.adopt(id, opening, &server, orders),
            Event::Established(id) => self.established(id),
            Event::Ended(id, outcome, took) => self.ended(id, outcome, took),
            Event::SentAway(id) => self.sent_away(id),
            Event::Noted(id, note) => self.noted(id, note),
            Event::Left(id) | Event::Lost(id) => {
                if let Some(transaction) = self.ledger.close(id) {
                    self.ledger.counts.left += 1;
                    self.missed(&transaction, Some(Miss::Left));
                    self.decide(policy::Event::ClientLeft(RequestId(id)));
                }
            }
            Event::ServersTold => {}
            Event::Probed(server, answer) => {
                debug!(part = self.name, server = server.0, ?answer, "probed");
                let load = match answer {
                    Some(LoadAnswer::Load(load)) => Some(load),
                    // One that tells nothing of its load is not known to have too much.
                    Some(LoadAnswer::Nothing) => Some(0.0),
                    Some(LoadAnswer::Trouble) | None => None,
                };
                self.decide(policy::Event::ProbeAnswered { server, load });
            }
            Event::Told(word, told) => {
                let answer = self.follow_word(word);
                if let Some(Told(told)) = told {
                    told(answer);
                }
            }
            Event::Door(config) => {
                self.gate.configure(config);
                self.give_turns();
            }
            Event::Settings(in_force) => self.replace_settings(in_force),
            Event::Known(news) => self.take_known(news),
            Event::Overrides(changes, answer) => self.take_overrides(changes, answer),
            Event::Look(answer) => {
                // Nobody waits any more if this fails.
                let _ = answer.try_send(self.look());
            }
            Event::LookAtDoor(answer) => {
                let _ = answer.try_send(self.gate.look(self.clock.now()));
            }
        }
    }

    // ---- timers ----

    fn wake(&mut self, after: Duration, due: Due) {
        self.set += 1;
        self.timers.push(Reverse((
            self.clock.now().saturating_add(nanos(after)),
            self.set,
            due,
        )));
    }

    fn fire(&mut self) {
        let Some(Reverse((_, _, due))) = self.timers.pop() else {
            return;
        };
        match due {
            Due::Module(timer) => self.decide(policy::Event::TimerFired(timer)),
            Due::Held(id) => self.reopen(id),
            Due::Drained(number, id) => self.drained(number, id),
            Due::Drain(number) => self.go_on_draining(number),
            Due::Door => self.door_is_due(),
            Due::Overrides => self.overrides_are_due(),
            Due::Moves => self.go_on_moving(),
            Due::Asks => self.ask_held(),
            Due::Ties => self.ties_are_due(),
            Due::Recovered => self.recovers_no_longer(),
            Due::Turn(id) => self.has_its_turn(id),
            Due::Counts => {
                let look = self.look();
                self.witness(|_| Some(Witness::Standing(look.standing)));
                self.tell_counts(&look);
                self.wake(COUNTS_PERIOD, Due::Counts);
            }
            Due::Shares => {
                self.tell_over_share();
                self.wake(SHARES_PERIOD, Due::Shares);
            }
        }
    }
}
