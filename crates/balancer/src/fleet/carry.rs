//! What the processes know together, as the peers' datagrams carry it.

use std::sync::{Arc, Mutex, PoisonError};

use beaconflow_gossip::{Change, Fact, Kind, Knowledge, Subject, Value};
use beaconflow_membership::{Body, Member};
use crossbeam_channel::Sender;
use tracing::warn;

use super::Millis;

/// Words of this program's own kinds, which the knowledge carries unread. The numbers are never given another meaning.
pub(super) const WORD: u32 = 101;
pub(super) const PLACED: u32 = 102;
pub(super) const VERSION: u32 = 103;
pub(super) const UPLINK: u32 = 104;
pub(super) const LOAN: u32 = 105;
pub(super) const JUDGED: u32 = 106;

/// What is known, shared by the peers' thread and the fleet's.
pub(super) type Shared = Arc<Mutex<Carried>>;

/// Knowledge, and who is told what peers added to it.
pub(super) struct Carried {
    pub(super) knowledge: Knowledge,
    news: Sender<Vec<Change>>,
    /// How many processes are there, this one among them.
    pub(super) members: usize,
    /// Packets that could not be read.
    pub(super) unread: u64,
}

impl Carried {
    pub(super) fn shared(knowledge: Knowledge, news: Sender<Vec<Change>>) -> Shared {
        Arc::new(Mutex::new(Carried {
            knowledge,
            news,
            members: 1,
            unread: 0,
        }))
    }
}

/// Knowledge is sound between any two of its calls.
pub(super) fn with<T>(shared: &Shared, act: impl FnOnce(&mut Carried) -> T) -> T {
    act(&mut shared.lock().unwrap_or_else(PoisonError::into_inner))
}

impl Body for Carried {
    fn rumours(&mut self, room: usize, now: Millis) -> Vec<u8> {
        self.knowledge.rumours(room, now)
    }

    fn summary(&mut self, room: usize, _: Millis) -> Vec<u8> {
        self.knowledge.summary(room)
    }

    fn answer(&mut self, summary: &[u8], room: usize, most: usize, now: Millis) -> Vec<Vec<u8>> {
        self.knowledge
            .answer(summary, room, most, now)
            .unwrap_or_else(|_| {
                self.unread += 1;
                Vec::new()
            })
    }

    fn take(&mut self, from: &Member, bytes: &[u8], now: Millis) {
        match self.knowledge.take(bytes, now) {
            Ok(changes) if changes.is_empty() => {}
            // A fleet's thread that is gone has said so.
            Ok(changes) => drop(self.news.send(changes)),
            Err(error) => {
                self.unread += 1;
                if self.unread.is_power_of_two() {
                    warn!(part = "peers", from = %from.name, why = %error, count = self.unread, "a packet was not read");
                }
            }
        }
    }

    fn members(&mut self, n: usize) {
        self.members = n;
        self.knowledge.members(n);
    }
}

/// The subject under which a word of an own kind is known.
pub(super) fn subject(kind: u32, key: Vec<u8>, owned: bool) -> Subject {
    Subject::Unknown { kind, key, owned }
}

/// A fact's kind, key and bytes, if it is of an own kind.
pub(super) fn own(fact: &Fact) -> Option<(u32, &[u8], &[u8])> {
    match (&fact.subject, &fact.value) {
        (Subject::Unknown { kind, key, .. }, Value::Unknown(bytes)) => Some((*kind, key, bytes)),
        _ => None,
    }
}

/// Bounds under which so many placements find room.
pub(super) fn bounds(most: usize, keep: Millis, seed: u64) -> beaconflow_gossip::Bounds {
    let mut bounds = beaconflow_gossip::Bounds {
        seed,
        ..Default::default()
    };
    let own = bounds.of_mut(Kind::Unknown);
    own.bytes = own.bytes.max(most.saturating_mul(BYTES_EACH));
    own.longest = own.longest.max(keep);
    bounds
}

/// What a placement takes in the knowledge, with its place in all tables.
const BYTES_EACH: usize = 320;
