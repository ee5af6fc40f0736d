//! What the core hears and what it orders, in the words of no wire.

use std::sync::Arc;
use std::time::{Duration, Instant};

use beaconflow_overrides::Judgement;
use beaconflow_policy::{AttemptOutcome, ConnectionMetric, Nanos, ServerId};
use beaconflow_settings::InForce;
use crossbeam_channel::Sender;

use super::lifecycle::{Refused, State, Word};
use super::{
    ApplicationServer, Counts, DoorConfig, DoorLook, InEffect, KnownNews, OverrideChange,
    ServerLook,
};

/// What a client asks for, in the words of no wire.
#[derive(Clone, Debug)]
pub struct Opening {
    /// Place of the class in the settings.
    pub class: usize,
    /// A hash of what it concerns.
    pub key: Option<u64>,
    /// A hash of the group it shares work with.
    pub group: Option<u64>,
    /// A hash of its tenant's name.
    pub tenant: Option<u64>,
    /// The name of the account that it counts for: its tenant's.
    pub account: Option<Arc<str>>,
    /// The account's part of the service, where its record says.
    pub share: Option<f64>,
    /// Its client says that it was moved, or that its connection broke.
    pub again: bool,
    /// Bytes that its front keeps for it while it waits.
    pub bytes: usize,
    /// Expected load, in microseconds of work a second.
    pub load: Option<f64>,
    /// When it came.
    pub taken_at: Nanos,
    /// How long its client waits.
    pub patience: Duration,
    /// The application server that holds the connection already, by name.
    pub held_by: Option<String>,
}

/// What happens to a transaction.
#[derive(Debug)]
pub enum Event {
    /// A client asks for a connection; the carrier takes the orders.
    Opened(u64, Opening, Arc<dyn Carrier>),
    /// A connection that stands at that application server was taken over from another process.
    Adopted(u64, Opening, Arc<str>, Arc<dyn Carrier>),
    /// The proxy pass stands.
    Established(u64),
    /// The proxy pass, or the connection that it became, has ended.
    Ended(u64, AttemptOutcome, Duration),
    /// Its application server has sent the client away by its own word; the end follows.
    SentAway(u64),
    /// News of a standing connection.
    Noted(u64, ConnectionMetric),
    /// The client left before its final answer.
    Left(u64),
    /// The connection's thread panicked; the client has been answered.
    Lost(u64),
    /// What discovery says has been told ([`Handle::tell_of_servers`](super::Handle::tell_of_servers)), and has been taken
    /// by the time that this is.
    ServersTold,
    /// What a server said of its load; nothing if it did not answer.
    Probed(ServerId, Option<LoadAnswer>),
    /// A word on what the program is to be at; the answer is given once it holds.
    Told(Word, Option<Told>),
    /// Somebody wants to see the counts and the farm.
    Look(Sender<Look>),
    /// Somebody wants to see who waits at the door and what each account got.
    LookAtDoor(Sender<DoorLook>),
    /// The operator's file says something else of admission.
    Door(DoorConfig),
    /// Other settings of the site are in force from now on, as a whole.
    Settings(Arc<InForce>),
    /// Overrides have changed; the answer comes once the module has been told.
    Overrides(Vec<OverrideChange>, Option<Sender<InEffect>>),
    /// The fleet's thread knows something; it is a hint.
    Known(KnownNews),
}

/// Hears what came of a word.
pub struct Told(pub(super) Box<dyn FnOnce(Result<State, Refused>) + Send>);

impl Told {
    /// Somebody who hears it, and does not block.
    pub fn new(hear: impl FnOnce(Result<State, Refused>) + Send + 'static) -> Told {
        Told(Box::new(hear))
    }
}

impl std::fmt::Debug for Told {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Told")
    }
}

/// Takes orders to whoever serves a transaction, and does not block.
pub trait Carrier: std::fmt::Debug + Send + Sync {
    /// Takes one order.
    fn carry(&self, id: u64, order: Order);
}

/// Asks an application server for its load, and does not block; [`Event::Probed`] follows.
pub trait Asker: Send {
    /// Asks one server.
    fn ask(&self, id: ServerId, server: Arc<ApplicationServer>);
}

/// What an application server says of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadAnswer {
    /// The load asked of it over what it can do.
    Load(f64),
    /// It answers, but tells no load that makes sense: nothing speaks against it.
    Nothing,
    /// It is in trouble, or not to be understood.
    Trouble,
}

/// The moments that bound a pass. They are set by the core, so that an order that waits gains no time by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassTimes {
    /// Its first byte is not written at or after this moment.
    pub begin_by: Instant,
    /// It is given up then.
    pub until: Instant,
}

/// What a transaction is to do.
#[derive(Debug)]
pub enum Order {
    /// Make a proxy pass.
    Pass {
        /// Where to.
        to: Arc<ApplicationServer>,
        /// When it has to have begun and to have its answer.
        times: PassTimes,
    },
    /// Final answer: unavailable; a new try does no harm, after the span if one is given.
    Unavailable(Option<Duration>),
    /// Final answer: failed.
    Failed,
    /// Final answer to a client whose only pass that may have run is the one that is out: unavailable if it proves
    /// not to have run, else failed.
    GiveUp,
    /// Move the client.
    Move,
    /// Give the standing connection to the process that takes this one's place, if there is one.
    Give,
}

/// A look at the core, for people.
#[derive(Clone, Debug)]
pub struct Look {
    /// What has been counted.
    pub counts: Counts,
    /// Open transactions.
    pub open: usize,
    /// Standing connections among them.
    pub standing: usize,
    /// Each application server that is listed.
    pub farm: Vec<ServerLook>,
    /// Where the overrides leave no ready server.
    pub judgement: Judgement,
    /// Transactions that wait at the door.
    pub waiting: usize,
    /// None hold at this front, since a fault in them was met.
    pub overrides_lost: bool,
}
