//! A fleet in memory: processes that know things, and what they send each other.
#![allow(dead_code)] // Each test takes what it needs.

use beaconflow_gossip::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// A sound clock's moment at which stories begin.
pub const START: Millis = 1_800_000_000_000;
/// A datagram's room.
pub const ROOM: usize = 1_200;

pub fn process(name: &str, incarnation: u64) -> FactStore {
    FactStore::new(
        Origin {
            name: name.into(),
            incarnation,
        },
        Bounds::default(),
    )
}

pub fn stands(server: &str) -> Value {
    Value::Placement(Some(Placement {
        server: server.into(),
        configuration: 7,
        since: START,
    }))
}

pub fn client(key: u64) -> Subject {
    Subject::Placement(Holder::Client(key))
}

pub fn entry(incarnation: u64, generation: u64, lifecycle: Lifecycle) -> Value {
    let position = Position {
        incarnation,
        generation,
    };
    Value::Listed(Listed {
        position,
        lifecycle,
        zone: "a".into(),
        machine_type: "m1".into(),
        cell: 1,
        weight: 1.0,
        address: "127.0.0.1:80".parse().ok(),
        started_at_ms: 5,
    })
}

/// All that a process keeps, in an order that hangs on nothing but what it is, without ages.
pub fn all_of(knowledge: &FactStore, now: Millis) -> Vec<String> {
    let facts = Kind::ALL.iter().flat_map(|kind| knowledge.iter(*kind, now));
    let mut all: Vec<String> = facts
        .map(|fact| {
            format!(
                "{:?}",
                Fact {
                    observed_at: 0,
                    ..fact
                }
            )
        })
        .collect();
    all.sort();
    all
}

/// One pass of rumours from one to the other.
pub fn tell(from: &mut FactStore, to: &mut FactStore, now: Millis) -> Vec<Change> {
    let bytes = from.gossip_payload(ROOM, now);
    if bytes.is_empty() {
        Vec::new()
    } else {
        to.take(&bytes, now).expect("a sound packet")
    }
}

/// Tells the other by comparing digests until nothing comes any more.
pub fn catch_up(from: &mut FactStore, to: &mut FactStore, now: Millis) -> usize {
    let mut pages = 0;
    // A stretch is compared every second time.
    let mut quiet = 0;
    while quiet < 4 {
        let answer = from
            .answer(&to.summary(ROOM), ROOM, 8, now)
            .expect("a sound summary");
        pages += answer.len();
        let learnt = answer
            .iter()
            .map(|page| to.take(page, now).expect("a sound page").len())
            .sum::<usize>();
        quiet = if learnt == 0 { quiet + 1 } else { 0 };
    }
    pages
}

/// Processes that tell each other in rounds, over links that lose datagrams.
pub struct Net {
    pub all: Vec<FactStore>,
    pub now: Millis,
    /// Parts of a process's clock: what it is ahead by.
    pub ahead: Vec<i64>,
    pub loss: f64,
    /// Processes below this number and the others do not hear each other.
    pub cut: usize,
    pub rng: Pcg32,
}

impl Net {
    pub fn new(count: usize, loss: f64, seed: u64) -> Net {
        let mut all: Vec<FactStore> = (0..count).map(|at| process(&format!("p{at}"), 1)).collect();
        all.iter_mut().for_each(|one| one.members(count));
        let rng = Pcg32::seed_from_u64(seed);
        Net {
            all,
            now: START,
            ahead: vec![0; count],
            loss,
            cut: 0,
            rng,
        }
    }

    pub fn clock(&self, at: usize) -> Millis {
        self.now.saturating_add_signed(self.ahead[at])
    }

    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let lost = self.rng.random_bool(self.loss);
        !lost && (from < self.cut) == (to < self.cut)
    }

    fn other(&mut self, than: usize) -> usize {
        (than + self.rng.random_range(1..self.all.len())) % self.all.len()
    }

    /// Each tells rumours to two others and compares with one.
    pub fn round(&mut self) {
        self.now += 200;
        for from in 0..self.all.len() {
            for _ in 0..2 {
                let (to, clock) = (self.other(from), self.clock(from));
                let bytes = self.all[from].gossip_payload(ROOM, clock);
                self.deliver(from, to, &bytes);
            }
            let peer = self.other(from);
            let summary = self.all[from].summary(ROOM);
            if self.arrives(from, peer) {
                let clock = self.clock(peer);
                let pages = self.all[peer]
                    .answer(&summary, ROOM, 4, clock)
                    .expect("a sound summary");
                pages.iter().for_each(|page| self.deliver(peer, from, page));
            }
            let clock = self.clock(from);
            self.all[from].expire(clock);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !bytes.is_empty() && self.arrives(from, to) {
            let clock = self.clock(to);
            self.all[to].take(bytes, clock).expect("a sound packet");
        }
    }

    pub fn agree(&self) -> bool {
        let first = all_of(&self.all[0], self.clock(0));
        (1..self.all.len()).all(|at| all_of(&self.all[at], self.clock(at)) == first)
    }

    /// Goes on until all know the same; how many rounds that took.
    pub fn until_all_agree(&mut self, most: usize) -> Option<usize> {
        (0..most).find(|_| {
            self.round();
            self.agree()
        })
    }
}

/// A subject of every kind, with a value for it.
pub fn one_of_each_kind() -> [(Subject, Value); 11] {
    let made = Override::Made {
        expires_at: START + 600_000,
        bytes: vec![9; 30],
    };
    let held = ListVersion {
        position: Position {
            incarnation: 1,
            generation: 4,
        },
        digest: 3,
    };
    let unknown = Subject::Unknown {
        kind: 77,
        key: vec![1, 2],
        owned: true,
    };
    [
        (
            Subject::Listed("s1".into()),
            entry(1, 4, Lifecycle::Draining),
        ),
        (Subject::List, Value::List(held)),
        (
            Subject::Standing("s1".into()),
            Value::Standing(Evidence {
                seen: Seen::Refused,
                weight: 2.0,
            }),
        ),
        (Subject::ColdSent("s1".into()), Value::ColdSent(3.5)),
        (
            Subject::Failures(5),
            Value::Failures(Failures {
                count: 2,
                voided: Some(10),
            }),
        ),
        (client(5), stands("s1")),
        (Subject::Placement(Holder::Group(5)), Value::Placement(None)),
        (Subject::Override(vec![1]), Value::Override(made)),
        (
            Subject::Override(vec![2]),
            Value::Override(Override::Removed),
        ),
        (
            Subject::Configuration,
            Value::Configuration(Configuration {
                digest: 1,
                number: 2,
            }),
        ),
        (unknown, Value::Unknown(vec![1, 2, 3])),
    ]
}
