//! What each sender said last, so that nothing is heard twice, and nothing of an earlier life.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Millis;

/// A datagram this far behind the sender's last is refused.
pub(crate) const REPLAY_WINDOW: u64 = 256;
/// At most this many senders are remembered: those heard last.
const MAX_SENDERS: usize = 4_096;

/// What a datagram is by its sender's life and counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DatagramOrder {
    Fresh,
    /// It came before, or is far older than the last.
    Duplicate,
    /// It is of an earlier life. When it was sent after all that came of that life, that life still goes on.
    Earlier {
        is_fresh: bool,
    },
}

/// The counters of one life.
#[derive(Clone, Debug, Default)]
struct Window {
    incarnation_id: (u64, u64),
    last: u64,
    /// Bit `n` stands for the counter `last - n`.
    seen: [u64; (REPLAY_WINDOW / 64) as usize],
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
        window.seen[0] = 1;
        window
    }

    /// Whether this counter is new; it is not from then on.
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
        let is_new = self.seen[index] & bit == 0;
        self.seen[index] |= bit;
        is_new
    }

    fn shift(&mut self, by: u64) {
        let (words, bits) = ((by / 64) as usize, by % 64);
        for to in (0..self.seen.len()).rev() {
            let shifted = |from: Option<usize>| {
                from.and_then(|from| self.seen.get(from))
                    .copied()
                    .unwrap_or(0)
            };
            let low = shifted(to.checked_sub(words));
            let high = shifted(to.checked_sub(words.saturating_add(1)));
            self.seen[to] = if bits == 0 {
                low
            } else {
                low << bits | high >> (64 - bits)
            };
        }
    }
}

#[cfg(test)]
mod tests;
