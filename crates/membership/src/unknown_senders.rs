//! Whose datagrams are refused, told once a minute for each address.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{Event, Millis, Refusal};

/// An address is named at most once in this time.
pub(crate) const TELL_EVERY: Millis = 60_000;
/// At most this many addresses are remembered, so at most this many lines a minute are written.
const MOST: usize = 256;

#[derive(Debug)]
struct UnknownSender {
    reported_at: Millis,
    unreported: u64,
}

#[derive(Debug, Default)]
pub(crate) struct UnknownSenders(BTreeMap<SocketAddr, UnknownSender>);

impl UnknownSenders {
    /// What to tell of this refusal, if anything.
    pub fn refused(&mut self, from: SocketAddr, why: Refusal, now: Millis) -> Option<Event> {
        if let Some(stranger) = self.0.get_mut(&from) {
            stranger.unreported += 1;
            if now < stranger.reported_at + TELL_EVERY {
                return None;
            }
            let count = std::mem::take(&mut stranger.unreported);
            stranger.reported_at = now;
            return Some(Event::Refused { from, why, count });
        }
        // Guards against a flood from made-up addresses: when all places are taken by some told within the minute,
        // the newcomer is counted and not named.
        if self.0.len() >= MOST {
            self.0
                .retain(|_, stranger| now < stranger.reported_at + TELL_EVERY);
            if self.0.len() >= MOST {
                return None;
            }
        }
        self.0.insert(
            from,
            UnknownSender {
                reported_at: now,
                unreported: 0,
            },
        );
        Some(Event::Refused {
            from,
            why,
            count: 1,
        })
    }
}

#[cfg(test)]
mod tests;
