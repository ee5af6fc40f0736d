//! How the cores follow a change.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, bounded};

use super::Keeper;
use crate::core::{Event, InEffect, OverrideChange};

/// A core that has not followed by then is answered for as late.
const CORE_PATIENCE: Duration = Duration::from_secs(1);
/// Passes that write a first byte just now are waited for so long.
const QUIET_PATIENCE: Duration = Duration::from_secs(1);

impl Keeper {
    /// Tells the cores, and waits until each follows and no first byte is being written to a server that is out.
    pub(super) fn have_followed(&self, change: OverrideChange) -> bool {
        let answers: Vec<Receiver<InEffect>> = self
            .cores
            .iter()
            .map(|(_, core)| {
                let (answer, receiver) = bounded(1);
                core.tell(Event::Overrides(vec![change.clone()], Some(answer)));
                receiver
            })
            .collect();
        let until = Instant::now() + CORE_PATIENCE;
        let effects: Vec<Option<InEffect>> = answers
            .iter()
            .map(|answer| answer.recv_deadline(until).ok())
            .collect();
        let followed = effects.iter().all(Option::is_some);
        let marks = || effects.iter().flatten().flat_map(|effect| &effect.out);
        let until = Instant::now() + QUIET_PATIENCE;
        // A write that does not block takes microseconds; there is no event that tells of its end.
        while !marks().all(|mark| mark.is_quiet()) && Instant::now() < until {
            std::thread::sleep(Duration::from_micros(50));
        }
        followed && marks().all(|mark| mark.is_quiet())
    }
}
