//! Whose datagrams are refused, told once a minute for each address.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{Event, Millis, Refusal};

/// An address is named at most once in this time.
pub(crate) const REPORT_INTERVAL_MS: Millis = 60_000;
/// At most this many addresses are remembered, so at most this many lines a minute are written.
const MAX_ADDRESSES: usize = 256;

#[derive(Debug)]
struct UnknownSender {
    reported_at: Millis,
    unreported: u64,
}

#[derive(Debug, Default)]
pub(crate) struct UnknownSenders(BTreeMap<SocketAddr, UnknownSender>);

impl UnknownSenders {
    /// What to tell of this refusal, if anything.
    pub fn record_refusal(
        &mut self,
        from: SocketAddr,
        reason: Refusal,
        now: Millis,
    ) -> Option<Event> {
        if let Some(sender) = self.0.get_mut(&from) {
            sender.unreported += 1;
            if now < sender.reported_at + REPORT_INTERVAL_MS {
                return None;
            }
            let count = std::mem::take(&mut sender.unreported);
            sender.reported_at = now;
            return Some(Event::DatagramsRefused {
                from,
                reason,
                count,
            });
        }
        // Guards against a flood from made-up addresses: when all places are taken by some told within the minute,
        // the newcomer is counted and not named.
        if self.0.len() >= MAX_ADDRESSES {
            self.0
                .retain(|_, sender| now < sender.reported_at + REPORT_INTERVAL_MS);
            if self.0.len() >= MAX_ADDRESSES {
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
        Some(Event::DatagramsRefused {
            from,
            reason,
            count: 1,
        })
    }
}

#[cfg(test)]
mod tests;
