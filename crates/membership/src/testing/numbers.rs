//! A payload that replicates a set of numbers.

use std::collections::BTreeSet;

use crate::{Member, Millis, Payload};

/// Gossips each new number a few times, and sends pages of numbers to members that lack them.
#[derive(Clone, Debug, Default)]
pub struct NumberPayload {
    /// The known numbers.
    pub known: BTreeSet<u64>,
    /// Numbers still to gossip, each with the remaining number of times.
    pub pending: Vec<(u64, u32)>,
    /// Maximum capacity offered for gossip, in bytes.
    pub largest_capacity: usize,
}

fn encode_numbers(numbers: impl Iterator<Item = u64>, max_bytes: usize) -> Vec<u8> {
    numbers
        .take(max_bytes / 8)
        .flat_map(u64::to_be_bytes)
        .collect()
}

impl NumberPayload {
    fn first_gap(&self) -> u64 {
        self.known
            .iter()
            .zip(0..)
            .take_while(|(known, expected)| *known == expected)
            .count() as u64
    }

    /// Adds a number, and gossips it ten times if it is new.
    pub fn learn(&mut self, number: u64) {
        if self.known.insert(number) {
            self.pending.push((number, 10));
        }
    }
}

impl Payload for NumberPayload {
    fn gossip(&mut self, max_bytes: usize, _: Millis) -> Vec<u8> {
        self.largest_capacity = self.largest_capacity.max(max_bytes);
        let gossip = encode_numbers(self.pending.iter().map(|(number, _)| *number), max_bytes);
        self.pending
            .iter_mut()
            .take(max_bytes / 8)
            .for_each(|(_, sends_left)| *sends_left -= 1);
        self.pending.retain(|(_, sends_left)| *sends_left > 0);
        gossip
    }

    fn summary(&mut self, _: usize, _: Millis) -> Vec<u8> {
        self.first_gap().to_be_bytes().to_vec()
    }

    fn answer(
        &mut self,
        summary: &[u8],
        max_bytes: usize,
        max_pages: usize,
        _: Millis,
    ) -> Vec<Vec<u8>> {
        let gap = u64::from_be_bytes(summary.try_into().expect("a summary has 8 bytes"));
        let behind: Vec<_> = self.known.range(gap..).copied().collect();
        behind
            .chunks(max_bytes / 8)
            .take(max_pages)
            .map(|page| encode_numbers(page.iter().copied(), max_bytes))
            .collect()
    }

    fn receive(&mut self, _: &Member, bytes: &[u8], _: Millis) {
        for number in bytes.chunks_exact(8) {
            self.learn(u64::from_be_bytes(
                number.try_into().expect("a chunk has 8 bytes"),
            ));
        }
    }

    fn set_member_count(&mut self, _: usize) {}
}
