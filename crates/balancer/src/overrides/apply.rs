//! Applies a change of overrides to the cores.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, bounded};

use super::OverrideManager;
use crate::core::{CoreInput, OverrideChange, OverridesApplied};

/// Timeout for a core to apply a change; the change then counts as not yet in effect.
const CORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum wait for attempts that are writing their first byte.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

impl OverrideManager {
    /// Sends a change to the cores, and waits until each core has applied it and no attempt is
    /// writing its first byte to a server that is out of service. Returns whether that is so within
    /// the timeouts.
    pub(super) fn apply_to_cores(&self, change: OverrideChange) -> bool {
        let answers: Vec<Receiver<OverridesApplied>> = self
            .cores
            .iter()
            .map(|(_, core)| {
                let (answer, receiver) = bounded(1);
                core.send(CoreInput::OverridesChanged {
                    changes: vec![change.clone()],
                    reply: Some(answer),
                });
                receiver
            })
            .collect();
        let deadline = Instant::now() + CORE_TIMEOUT;
        let results: Vec<Option<OverridesApplied>> = answers
            .iter()
            .map(|answer| answer.recv_deadline(deadline).ok())
            .collect();
        let all_applied = results.iter().all(Option::is_some);
        let marks = || {
            results
                .iter()
                .flatten()
                .flat_map(|result| &result.out_of_service)
        };
        let deadline = Instant::now() + WRITE_TIMEOUT;
        // A non-blocking write takes microseconds, and no event signals its end.
        while !marks().all(|mark| mark.has_no_writers()) && Instant::now() < deadline {
            std::thread::sleep(Duration::from_micros(50));
        }
        all_applied && marks().all(|mark| mark.has_no_writers())
    }
}
