//! What is read off the balancers' own wire: the lists that they were told, and the attempts that they made.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::Value;

use crate::flow::Observation;
use crate::net::{LinkObserver, MakeObserver};
use crate::record::{Moment, Record, Row, What};

/// Notes each list whose last byte was written to a balancer.
pub fn lists(record: &Record, balancer: &str) -> MakeObserver {
    let (record, balancer) = (record.clone(), balancer.to_owned());
    Box::new(move || {
        Box::new(Lists {
            record: record.clone(),
            balancer: balancer.clone(),
            raw: Vec::new(),
            body: Vec::new(),
            begun: false,
        })
    })
}

struct Lists {
    record: Record,
    balancer: String,
    raw: Vec<u8>,
    body: Vec<u8>,
    begun: bool,
}

impl LinkObserver for Lists {
    fn observe(&mut self, observation: Observation<'_>) {
        let Observation::ToNear(bytes) = observation else {
            return;
        };
        self.raw.extend_from_slice(bytes);
        if !self.begun {
            let Some(end) = find(&self.raw, b"\r\n\r\n") else {
                return;
            };
            self.raw.drain(..end + 4);
            self.begun = true;
        }
        while let Some(chunk) = next_chunk(&mut self.raw) {
            self.body.extend_from_slice(&chunk);
        }
        let mut lists = serde_json::Deserializer::from_slice(&self.body).into_iter::<Value>();
        let mut whole = Vec::new();
        let mut read = 0;
        while let Some(Ok(list)) = lists.next() {
            whole.push(list);
            read = lists.byte_offset();
        }
        self.body.drain(..read);
        for list in whole {
            self.record.note(list_sent(&self.balancer, &list));
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// Takes the first chunk off, if it is whole.
fn next_chunk(raw: &mut Vec<u8>) -> Option<Vec<u8>> {
    let head = find(raw, b"\r\n")?;
    let size = usize::from_str_radix(std::str::from_utf8(&raw[..head]).ok()?, 16).ok()?;
    let end = head + 2 + size;
    if raw.len() < end + 2 {
        return None;
    }
    let chunk = raw[head + 2..end].to_vec();
    raw.drain(..end + 2);
    Some(chunk)
}

fn list_sent(balancer: &str, list: &Value) -> What {
    let text = |row: &Value, field: &str| row[field].as_str().unwrap_or_default().to_owned();
    let row = |row: &Value| Row {
        server: text(row, "instanceId"),
        lifecycle: text(row, "lifecycle"),
        started_at_ms: row["startedAtMs"].as_u64().unwrap_or(0),
    };
    What::Told {
        balancer: balancer.to_owned(),
        generation: list["generation"].as_u64().unwrap_or(0),
        reset: list["reset"].as_bool().unwrap_or(false),
        rows: list["instances"]
            .as_array()
            .into_iter()
            .flatten()
            .map(row)
            .collect(),
    }
}

/// Notes each attempt of a balancer's at a server, and how it went.
pub fn attempts(
    record: &Record,
    balancer: &str,
    server: &str,
    numbers: &Arc<AtomicU64>,
) -> MakeObserver {
    let (record, numbers) = (record.clone(), Arc::clone(numbers));
    let (balancer, server) = (balancer.to_owned(), server.to_owned());
    Box::new(move || {
        Box::new(Attempts {
            record: record.clone(),
            numbers: Arc::clone(&numbers),
            balancer: balancer.clone(),
            server: server.clone(),
            head: Vec::new(),
            begun: None,
            answer: Vec::new(),
            at: At::Head,
        })
    })
}

enum At {
    Head,
    Waits(u64),
    Over,
}

struct Attempts {
    record: Record,
    numbers: Arc<AtomicU64>,
    balancer: String,
    server: String,
    head: Vec<u8>,
    begun: Option<Moment>,
    answer: Vec<u8>,
    at: At,
}

impl Attempts {
    fn over(&mut self, how: &str) {
        if let At::Waits(number) = self.at {
            self.record.note(What::AttemptOver {
                number,
                how: how.to_owned(),
            });
        }
        self.at = At::Over;
    }

    fn on_complete_head(&mut self) {
        let head = String::from_utf8_lossy(&self.head);
        let Some(id) = head
            .strip_prefix("OPEN ")
            .and_then(|rest| rest.split(' ').next())
        else {
            // A question for the load is no attempt.
            self.at = At::Over;
            return;
        };
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let begun = self.begun.unwrap_or_default();
        let (balancer, server) = (self.balancer.clone(), self.server.clone());
        self.record.note(What::Attempt {
            number,
            balancer,
            server,
            id: id.to_owned(),
            begun,
        });
        self.at = At::Waits(number);
    }
}

impl LinkObserver for Attempts {
    fn observe(&mut self, observation: Observation<'_>) {
        match (observation, &self.at) {
            (Observation::FromNear(bytes), At::Head) => {
                self.begun.get_or_insert_with(|| self.record.now());
                self.head.extend_from_slice(bytes);
                if let Some(end) = self.head.iter().position(|byte| *byte == b'\n') {
                    self.head.truncate(end);
                    self.on_complete_head();
                }
            }
            (Observation::ToNear(bytes), At::Waits(_)) => {
                self.answer.extend_from_slice(bytes);
                if let Some(end) = self.answer.iter().position(|byte| *byte == b'\n') {
                    let line = String::from_utf8_lossy(&self.answer[..end])
                        .trim_end()
                        .to_owned();
                    self.over(&line);
                }
            }
            (Observation::NearEnded, _) => self.over("the balancer ended it"),
            (Observation::FarEnded, _) => self.over("the server ended it"),
            _ => {}
        }
    }
}
