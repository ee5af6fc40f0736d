//! How soon a fleet knows a fact, and what telling costs, on a virtual clock: 300 processes, rounds of 200 ms, three
//! peers told in each, 5% of datagrams lost.
//!
//! `cargo run --release -p beaconflow-gossip --example spread [processes] [loss]`

use beaconflow_gossip::{
    Bounds, Configuration, FactStore, Holder, Lifecycle, ListVersion, Listed, Millis, Origin,
    Placement, Position, Subject, Value,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const ROUND: Millis = 200;
const FANOUT: usize = 3;
const ROOM: usize = 1_200;
/// Each process compares digests with one peer once in so many rounds.
const COMPARE: u64 = 5;
/// What each says of itself is good for so long, and said anew after half of it.
const GOOD: Millis = 10 * 60_000;

struct Fleet {
    all: Vec<FactStore>,
    now: Millis,
    loss: f64,
    rng: Pcg32,
    sent: usize,
    datagrams: usize,
}

impl Fleet {
    fn other(&mut self, than: usize) -> usize {
        (than + self.rng.random_range(1..self.all.len())) % self.all.len()
    }

    /// A datagram, with what the transport adds: 28 bytes of headers and some 60 of its own.
    fn deliver(&mut self, to: usize, bytes: &[u8]) {
        self.sent += bytes.len() + 88;
        self.datagrams += 1;
        if !self.rng.random_bool(self.loss) {
            self.all[to].take(bytes, self.now).expect("sound");
        }
    }

    fn round(&mut self) {
        self.now += ROUND;
        for from in 0..self.all.len() {
            for _ in 0..FANOUT {
                let (to, bytes) = (
                    self.other(from),
                    self.all[from].gossip_payload(ROOM, self.now),
                );
                if !bytes.is_empty() {
                    self.deliver(to, &bytes);
                }
            }
            if (self.now / ROUND + from as u64).is_multiple_of(COMPARE) {
                self.compare(from);
            }
            if self.now.is_multiple_of(GOOD / 2) {
                self.all[from].expire(self.now);
            }
        }
    }

    fn compare(&mut self, from: usize) {
        let (peer, summary) = (self.other(from), self.all[from].summary(ROOM));
        self.sent += summary.len() + 88;
        self.datagrams += 1;
        if !self.rng.random_bool(self.loss) {
            let pages = self.all[peer]
                .answer(&summary, ROOM, 4, self.now)
                .expect("sound");
            pages.iter().for_each(|page| self.deliver(from, page));
        }
    }

    /// Says what each process says of itself, when its turn has come.
    fn refresh(&mut self, at: usize, now: Millis) {
        let runs = Value::Configuration(Configuration {
            digest: 1,
            number: 1,
        });
        self.all[at]
            .observe(&Subject::Configuration, &runs, GOOD, now)
            .expect("taken");
        let held = ListVersion {
            position: Position {
                incarnation: 1,
                generation: 1,
            },
            digest: 1,
        };
        self.all[at]
            .observe(&Subject::List, &Value::List(held), GOOD, now)
            .expect("taken");
    }

    /// Goes on for so long in quiet; bytes and datagrams a second of each.
    fn quiet(&mut self, span: Millis) -> (f64, f64) {
        (self.sent, self.datagrams) = (0, 0);
        let end = self.now + span;
        while self.now < end {
            for at in 0..self.all.len() {
                let turn = at as u64 * (GOOD / 2) / self.all.len() as u64 / ROUND * ROUND;
                if self.now % (GOOD / 2) == turn {
                    self.refresh(at, self.now);
                }
            }
            self.round();
        }
        let share = self.all.len() as f64 * span as f64 / 1_000.0;
        (self.sent as f64 / share, self.datagrams as f64 / share)
    }
}

fn percentile(spans: &mut [Millis], part: f64) -> Millis {
    spans.sort_unstable();
    spans[((spans.len() as f64 * part).ceil() as usize).clamp(1, spans.len()) - 1]
}

fn main() {
    let mut words = std::env::args().skip(1);
    let count: usize = words
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(300);
    let loss: f64 = words
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(0.05);
    let one = |at| {
        FactStore::new(
            Origin {
                name: format!("process-{at:03}"),
                incarnation: 1,
            },
            Bounds::default(),
        )
    };
    let all: Vec<FactStore> = (0..count).map(one).collect();
    let now = 1_800_000_000_000;
    let mut fleet = Fleet {
        all,
        now,
        loss,
        rng: Pcg32::seed_from_u64(5),
        sent: 0,
        datagrams: 0,
    };
    for at in 0..count {
        fleet.all[at].members(count);
        for server in 0..1_000 {
            let listed = Listed {
                position: Position {
                    incarnation: 1,
                    generation: 1,
                },
                lifecycle: Lifecycle::Serving,
                zone: "a".into(),
                machine_type: "m1".into(),
                cell: 0,
                weight: 1.0,
                address: None,
                started_at_ms: 0,
            };
            let subject = Subject::Listed(format!("server-{server:04}"));
            fleet.all[at]
                .observe(&subject, &Value::Listed(listed), 24 * GOOD, now)
                .expect("taken");
        }
        fleet.refresh(at, now);
    }
    let begun = fleet.now;
    while (0..count).any(|at| fleet.all[at].configurations(fleet.now).len() < count) {
        fleet.round();
    }
    println!(
        "{count} processes, {loss} lost: all heard of all others after {} ms",
        fleet.now - begun
    );
    fleet.quiet(30_000);
    let (bytes, datagrams) = fleet.quiet(60_000);
    println!(
        "quiet, each: {:.1} KiB/s in {datagrams:.1} datagrams a second",
        bytes / 1024.0
    );
    let (mut spans, mut lasts) = (Vec::new(), Vec::new());
    for key in 0..100 {
        fleet.quiet(ROUND * 7);
        let placed = Placement {
            server: "server-0001".into(),
            configuration: 1,
            since: fleet.now,
        };
        let (at, told) = (fleet.rng.random_range(0..count), fleet.now);
        let subject = Subject::Placement(Holder::Client(key));
        fleet.all[at]
            .observe(&subject, &Value::Placement(Some(placed)), GOOD, told)
            .expect("taken");
        let knows = |fleet: &Fleet, at: usize| {
            fleet.all[at]
                .placement(Holder::Client(key), fleet.now)
                .is_some()
        };
        let mut lack: Vec<usize> = (0..count).filter(|other| *other != at).collect();
        while !lack.is_empty() {
            fleet.round();
            let before = lack.len();
            lack.retain(|at| !knows(&fleet, *at));
            spans.extend(std::iter::repeat_n(fleet.now - told, before - lack.len()));
        }
        lasts.extend(spans.last().copied());
    }
    let (half, most, last) = (
        percentile(&mut spans, 0.5),
        percentile(&mut spans, 0.99),
        percentile(&mut lasts, 0.99),
    );
    println!("a fact is known: p50 {half} ms, p99 {most} ms; by the last process p99 {last} ms");
}
