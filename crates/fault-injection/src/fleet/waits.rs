//! What a story waits for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::Fleet;
use crate::record::{Event, WAIT_TIMEOUT, What, established};
use crate::together;

impl Fleet {
    /// Waits until the front has so many processes.
    pub fn are_open(&self, count: usize) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while self.front.open().len() != count {
            assert!(
                Instant::now() < until,
                "open: {:?}; {}",
                self.front.open(),
                self.record.tail()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until what a process says of itself under `fleet` is so; gives it.
    pub fn until(&self, number: usize, what: &str, holds: impl Fn(&Value) -> bool) -> Value {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let said =
                together::ask(self.balancers[number].admin.at).map(|farm| farm["fleet"].clone());
            match said {
                Some(said) if holds(&said) => return said,
                said if Instant::now() >= until => {
                    panic!(
                        "never so at b{number}: {what}; last: {said:?}; {}",
                        self.record.tail()
                    )
                }
                _ => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Waits until each client has come to stand again after a place in the record, and stands.
    pub fn all_stand_since(&self, since: usize) -> BTreeMap<String, String> {
        let clients = self.clients.len();
        self.record.wait("each client stands", |events| {
            let placed = established(&events[since.min(events.len())..]);
            (placed.len() == clients).then_some(placed)
        })
    }

    /// How many clients come to stand within a time, by what happened after a place in the record. Gives back as soon
    /// as all do.
    pub fn stand_within(&self, time: Duration, since: usize) -> usize {
        let mut most = 0;
        self.record.wait_for(time, |events| {
            most = established(&events[since.min(events.len())..]).len();
            (most == self.clients.len()).then_some(())
        });
        most
    }

    /// Waits until all clients stand by all that has happened so far.
    pub fn all_stand(&self) -> BTreeMap<String, String> {
        self.all_stand_since(0)
    }

    /// The balancer's log says this, after a place in the record.
    pub fn says(&self, since: usize, process: &str, words: &str) {
        self.record.wait(&format!("{process} says {words:?}"), |events| {
            let said = |event: &Event| {
                matches!(&event.what, What::Log { process: of, line } if of == process && line.to_string().contains(words))
            };
            events[since.min(events.len())..].iter().any(said).then_some(())
        });
    }
}
