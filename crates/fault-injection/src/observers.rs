//! Observers of the balancers' links: the endpoint lists they receive and the attempts they send.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::Value;

use crate::flow::Observation;
use crate::net::{LinkObserver, MakeObserver};
use crate::record::{EventKind, ListRow, Record, Timestamp};

/// Records each endpoint list once its last byte is written to a balancer.
pub fn lists(record: &Record, balancer: &str) -> MakeObserver {
    let (record, balancer) = (record.clone(), balancer.to_owned());
    Box::new(move || {
        Box::new(ListObserver {
            record: record.clone(),
            balancer: balancer.clone(),
            unparsed: Vec::new(),
            body: Vec::new(),
            head_done: false,
        })
    })
}

struct ListObserver {
    record: Record,
    balancer: String,
    unparsed: Vec<u8>,
    body: Vec<u8>,
    head_done: bool,
}

impl LinkObserver for ListObserver {
    fn observe(&mut self, observation: Observation<'_>) {
        let Observation::ToNear(bytes) = observation else {
            return;
        };
        self.unparsed.extend_from_slice(bytes);
        if !self.head_done {
            let Some(end) = find_bytes(&self.unparsed, b"\r\n\r\n") else {
                return;
            };
            self.unparsed.drain(..end + 4);
            self.head_done = true;
        }
        while let Some(chunk) = next_chunk(&mut self.unparsed) {
            self.body.extend_from_slice(&chunk);
        }
        let mut lists = serde_json::Deserializer::from_slice(&self.body).into_iter::<Value>();
        let mut complete_lists = Vec::new();
        let mut parsed_bytes = 0;
        while let Some(Ok(list)) = lists.next() {
            complete_lists.push(list);
            parsed_bytes = lists.byte_offset();
        }
        self.body.drain(..parsed_bytes);
        for list in complete_lists {
            self.record.append(list_event(&self.balancer, &list));
        }
    }
}

fn find_bytes(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes
        .windows(needle.len())
        .position(|window| window == needle)
}

/// Removes and returns the first chunk if it is complete.
fn next_chunk(unparsed: &mut Vec<u8>) -> Option<Vec<u8>> {
    let head = find_bytes(unparsed, b"\r\n")?;
    let size = usize::from_str_radix(std::str::from_utf8(&unparsed[..head]).ok()?, 16).ok()?;
    let end = head + 2 + size;
    if unparsed.len() < end + 2 {
        return None;
    }
    let chunk = unparsed[head + 2..end].to_vec();
    unparsed.drain(..end + 2);
    Some(chunk)
}

fn list_event(balancer: &str, list: &Value) -> EventKind {
    let text = |row: &Value, field: &str| row[field].as_str().unwrap_or_default().to_owned();
    let row = |row: &Value| ListRow {
        server: text(row, "instanceId"),
        lifecycle: text(row, "lifecycle"),
        started_at_ms: row["startedAtMs"].as_u64().unwrap_or(0),
    };
    EventKind::EndpointListSent {
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

/// Records each attempt that a balancer sends to a server, and its outcome. `next_attempt` supplies the attempt
/// numbers.
pub fn attempts(
    record: &Record,
    balancer: &str,
    server: &str,
    next_attempt: &Arc<AtomicU64>,
) -> MakeObserver {
    let (record, next_attempt) = (record.clone(), Arc::clone(next_attempt));
    let (balancer, server) = (balancer.to_owned(), server.to_owned());
    Box::new(move || {
        Box::new(AttemptObserver {
            record: record.clone(),
            next_attempt: Arc::clone(&next_attempt),
            balancer: balancer.clone(),
            server: server.clone(),
            head: Vec::new(),
            started_at: None,
            answer: Vec::new(),
            state: AttemptState::ReadingHead,
        })
    })
}

enum AttemptState {
    ReadingHead,
    AwaitingAnswer(u64),
    Done,
}

struct AttemptObserver {
    record: Record,
    next_attempt: Arc<AtomicU64>,
    balancer: String,
    server: String,
    head: Vec<u8>,
    started_at: Option<Timestamp>,
    answer: Vec<u8>,
    state: AttemptState,
}

impl AttemptObserver {
    fn end_attempt(&mut self, outcome: &str) {
        if let AttemptState::AwaitingAnswer(number) = self.state {
            self.record.append(EventKind::AttemptEnded {
                number,
                outcome: outcome.to_owned(),
            });
        }
        self.state = AttemptState::Done;
    }

    fn on_request_head(&mut self) {
        let head = String::from_utf8_lossy(&self.head);
        let Some(id) = head
            .strip_prefix("OPEN ")
            .and_then(|rest| rest.split(' ').next())
        else {
            // A load query is not an attempt.
            self.state = AttemptState::Done;
            return;
        };
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let started_at = self.started_at.unwrap_or_default();
        let (balancer, server) = (self.balancer.clone(), self.server.clone());
        self.record.append(EventKind::Attempt {
            number,
            balancer,
            server,
            id: id.to_owned(),
            started_at,
        });
        self.state = AttemptState::AwaitingAnswer(number);
    }
}

impl LinkObserver for AttemptObserver {
    fn observe(&mut self, observation: Observation<'_>) {
        match (observation, &self.state) {
            (Observation::FromNear(bytes), AttemptState::ReadingHead) => {
                self.started_at.get_or_insert_with(|| self.record.now());
                self.head.extend_from_slice(bytes);
                if let Some(end) = self.head.iter().position(|byte| *byte == b'\n') {
                    self.head.truncate(end);
                    self.on_request_head();
                }
            }
            (Observation::ToNear(bytes), AttemptState::AwaitingAnswer(_)) => {
                self.answer.extend_from_slice(bytes);
                if let Some(end) = self.answer.iter().position(|byte| *byte == b'\n') {
                    let line = String::from_utf8_lossy(&self.answer[..end])
                        .trim_end()
                        .to_owned();
                    self.end_attempt(&line);
                }
            }
            (Observation::NearClosed, _) => self.end_attempt("the balancer closed the connection"),
            (Observation::FarClosed, _) => self.end_attempt("the server closed the connection"),
            _ => {}
        }
    }
}
