//! Conditions that a test waits for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::Fleet;
use crate::options;
use crate::record::{Event, EventKind, WAIT_TIMEOUT, established_connections};

impl Fleet {
    /// Waits until the front has exactly this number of available processes.
    pub fn wait_until_available(&self, count: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.front.available().len() != count {
            assert!(
                Instant::now() < deadline,
                "{count} available processes expected, got {:?}; latest events:\n{}",
                self.front.available(),
                self.record.recent_events()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until the `fleet` section of the status of a process meets the condition; returns the section.
    pub fn wait_for_status(
        &self,
        number: usize,
        description: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Value {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = options::query_servers(self.balancers[number].admin.address)
                .map(|status| status["fleet"].clone());
            match status {
                Some(status) if condition(&status) => return status,
                status if Instant::now() >= deadline => {
                    panic!(
                        "timed out waiting for {description:?} at b{number}; last status: {status:?}; latest events:\n{}",
                        self.record.recent_events()
                    )
                }
                _ => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Waits until each client has established a connection since an index in the record and still has it; returns
    /// their servers.
    pub fn wait_all_established_since(&self, since: usize) -> BTreeMap<String, String> {
        let clients = self.clients.len();
        self.record
            .wait("an established connection of each client", |events| {
                let servers_by_client = established_connections(&events[since.min(events.len())..]);
                (servers_by_client.len() == clients).then_some(servers_by_client)
            })
    }

    /// Waits until all clients have an established connection since an index in the record, at most for the timeout;
    /// returns how many have one at the last evaluation.
    pub fn count_established_within(&self, timeout: Duration, since: usize) -> usize {
        let mut established_count = 0;
        self.record.wait_for(timeout, |events| {
            established_count = established_connections(&events[since.min(events.len())..]).len();
            (established_count == self.clients.len()).then_some(())
        });
        established_count
    }

    /// Waits until all clients have an established connection; returns their servers.
    pub fn wait_all_established(&self) -> BTreeMap<String, String> {
        self.wait_all_established_since(0)
    }

    /// Waits until the log of a process contains a text since an index in the record.
    pub fn wait_for_log(&self, since: usize, process: &str, text: &str) {
        self.record.wait(&format!("{text:?} in the log of {process}"), |events| {
            let matches_text = |event: &Event| {
                matches!(&event.kind, EventKind::Log { process: of, line } if of == process && line.to_string().contains(text))
            };
            events[since.min(events.len())..].iter().any(matches_text).then_some(())
        });
    }
}
