//! A body that knows numbers.

use std::collections::BTreeSet;

use crate::{Body, Member, Millis};

/// Knows numbers, tells each new one a few times, and pages of them to whoever lacks them.
#[derive(Clone, Debug, Default)]
pub struct Numbers {
    /// What is known.
    pub known: BTreeSet<u64>,
    /// What is still told, and how often.
    pub news: Vec<(u64, u32)>,
    /// The most that fitted into a datagram, in bytes.
    pub largest_room: usize,
}

fn packed(numbers: impl Iterator<Item = u64>, room: usize) -> Vec<u8> {
    numbers.take(room / 8).flat_map(u64::to_be_bytes).collect()
}

impl Numbers {
    fn first_gap(&self) -> u64 {
        self.known
            .iter()
            .zip(0..)
            .take_while(|(known, expected)| *known == expected)
            .count() as u64
    }

    /// Knows a number, and tells it ten times when it is new.
    pub fn learn(&mut self, number: u64) {
        if self.known.insert(number) {
            self.news.push((number, 10));
        }
    }
}

impl Body for Numbers {
    fn gossip(&mut self, room: usize, _: Millis) -> Vec<u8> {
        self.largest_room = self.largest_room.max(room);
        let told = packed(self.news.iter().map(|(number, _)| *number), room);
        self.news
            .iter_mut()
            .take(room / 8)
            .for_each(|(_, left)| *left -= 1);
        self.news.retain(|(_, left)| *left > 0);
        told
    }

    fn summary(&mut self, _: usize, _: Millis) -> Vec<u8> {
        self.first_gap().to_be_bytes().to_vec()
    }

    fn answer(&mut self, summary: &[u8], room: usize, most: usize, _: Millis) -> Vec<Vec<u8>> {
        let gap = u64::from_be_bytes(summary.try_into().expect("as it was made"));
        let behind: Vec<_> = self.known.range(gap..).copied().collect();
        behind
            .chunks(room / 8)
            .take(most)
            .map(|page| packed(page.iter().copied(), room))
            .collect()
    }

    fn take(&mut self, _: &Member, bytes: &[u8], _: Millis) {
        for number in bytes.chunks_exact(8) {
            self.learn(u64::from_be_bytes(number.try_into().expect("eight bytes")));
        }
    }

    fn members(&mut self, _: usize) {}
}
