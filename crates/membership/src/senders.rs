//! Replay protection: the datagram counters received from each sender.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Millis;

/// A datagram whose counter is this far behind the sender's latest is refused.
pub(crate) const REPLAY_WINDOW: u64 = 256;
/// Maximum number of senders kept; the one heard from least recently is evicted first.
const MAX_SENDERS: usize = 4_096;

/// Classification of a datagram by its sender's incarnation and counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DatagramOrder {
    Fresh,
    /// Received before, or far older than the latest.
    Duplicate,
    /// Sent by an earlier incarnation than the latest. A fresh one, which was not received before,
    /// shows that the earlier incarnation still runs.
    Earlier {
        is_fresh: bool,
    },
}

/// The counters received from one incarnation.
#[derive(Clone, Debug, Default)]
struct Window {
    incarnation_id: (u64, u64),
    last: u64,
    /// Bit `n` represents the counter `last - n`.
    received_bits: [u64; (REPLAY_WINDOW / 64) as usize],
}

#[derive(Debug, Default)]
struct Sender {
    current: Window,
    previous: Window,
    received_at: Millis,
}

#[derive(Debug, Default)]
pub(crate) struct Senders(BTreeMap<Arc<str>, Sender>);

impl Senders {
    pub fn record(
        &mut self,
        name: &str,
        incarnation_id: (u64, u64),
        counter: u64,
        now: Millis,
    ) -> DatagramOrder {
        let Some(sender) = self.0.get_mut(name) else {
            self.evict_oldest();
            let sender = Sender {
                current: Window::starting_at(incarnation_id, counter),
                received_at: now,
                ..Sender::default()
            };
            self.0.insert(name.into(), sender);
            return DatagramOrder::Fresh;
        };
        if incarnation_id < sender.current.incarnation_id {
            let is_fresh = incarnation_id > sender.previous.incarnation_id
                || incarnation_id == sender.previous.incarnation_id
                    && sender.previous.accept(counter);
            if incarnation_id > sender.previous.incarnation_id {
                sender.previous = Window::starting_at(incarnation_id, counter);
            }
            return DatagramOrder::Earlier { is_fresh };
        }
        if incarnation_id > sender.current.incarnation_id {
            sender.previous = std::mem::replace(
                &mut sender.current,
                Window::starting_at(incarnation_id, counter),
            );
        } else if !sender.current.accept(counter) {
            return DatagramOrder::Duplicate;
        }
        sender.received_at = now;
        DatagramOrder::Fresh
    }

    fn evict_oldest(&mut self) {
        if self.0.len() < MAX_SENDERS {
            return;
        }
        let oldest = self
            .0
            .iter()
            .min_by_key(|(_, sender)| sender.received_at)
            .map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.0.remove(&name);
        }
    }
}

impl Window {
    fn starting_at(incarnation_id: (u64, u64), last: u64) -> Self {
        let mut window = Self {
            incarnation_id,
            last,
            ..Self::default()
        };
        window.received_bits[0] = 1;
        window
    }

    /// Marks the counter as received. Returns whether it is new and within the window.
    fn accept(&mut self, counter: u64) -> bool {
        if counter > self.last {
            self.shift(counter - self.last);
            self.last = counter;
        }
        let behind = self.last - counter;
        if behind >= REPLAY_WINDOW {
            return false;
        }
        let (index, bit) = ((behind / 64) as usize, 1 << (behind % 64));
        let is_new = self.received_bits[index] & bit == 0;
        self.received_bits[index] |= bit;
        is_new
    }

    fn shift(&mut self, by: u64) {
        let (words, bits) = ((by / 64) as usize, by % 64);
        for to in (0..self.received_bits.len()).rev() {
            let shifted = |from: Option<usize>| {
                from.and_then(|from| self.received_bits.get(from))
                    .copied()
                    .unwrap_or(0)
            };
            let low = shifted(to.checked_sub(words));
            let high = shifted(to.checked_sub(words.saturating_add(1)));
            self.received_bits[to] = if bits == 0 {
                low
            } else {
                low << bits | high >> (64 - bits)
            };
        }
    }
}

#[cfg(test)]
mod tests;
