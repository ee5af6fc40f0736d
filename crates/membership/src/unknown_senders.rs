//! Reports of refused datagrams, at most once a minute for each address.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{Event, Millis, Refusal};

/// Minimum interval between two reports of the same address, in milliseconds.
pub(crate) const REPORT_INTERVAL_MS: Millis = 60_000;
/// Maximum number of addresses kept, and so of reports a minute.
const MAX_ADDRESSES: usize = 256;

#[derive(Debug)]
struct UnknownSender {
    reported_at: Millis,
    unreported: u64,
}

#[derive(Debug, Default)]
pub(crate) struct UnknownSenders(BTreeMap<SocketAddr, UnknownSender>);

impl UnknownSenders {
    /// Returns the event to report for this refusal, if one is due.
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
        // Bounds the memory during a flood from forged addresses. If all entries were reported
        // within the last minute, a new address is counted but not reported.
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
