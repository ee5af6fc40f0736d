//! Dissemination: new facts spread as gossip, and anti-entropy repairs what gossip lost by comparing digests of hash
//! ranges and sending pages of facts for ranges that differ.

use std::collections::VecDeque;
use std::fmt;

use prost::Message;

use crate::Millis;
use crate::fact::{Fact, FactKind, Subject};
use crate::fact_store::{FactStore, aged_record};
use crate::fact_table::MergeResult;
use crate::record::{AgedRecord, HashRange, Packet, RecordView, Summary, read_aged_record};
use crate::slot::{LEAF_BITS, RawRecord};
use crate::wire::{Field, Fields};

/// Longer packets and summaries are rejected unread.
const MAX_PACKET_BYTES: usize = 1 << 20;
/// A differing range with at most this many facts is sent in full; a fuller one is first compared in parts.
const MAX_UNSPLIT_RANGE_FACTS: usize = 64;
/// Bounds the differing ranges named by one answer, and those a process queues for comparison in parts.
const MAX_DIFFERING_RANGES: usize = 16;
/// Transmissions of a server entry by a process that received it from discovery.
const SERVER_ENTRY_TRANSMISSIONS: u8 = 3;
/// Facts that may fail to fit into a gossip packet before the search for a shorter one ends.
const MAX_SKIPPED_FACTS: usize = 8;
/// Bytes reserved in each packet or summary for fields other than facts and digests.
const FRAME_OVERHEAD_BYTES: usize = 32;

/// Error for bytes that are not a valid packet or summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer than the limit of 1 MiB.
    TooLong,
    /// Not a valid encoding.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DecodeError::TooLong => "longer than 1 MiB",
            DecodeError::Malformed => "not in the form of facts or of a summary",
        })
    }
}

/// An encoded fact and its time of observation; decoded on request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TimedRecord {
    pub raw: RawRecord,
    pub observed_at: Millis,
}

impl TimedRecord {
    fn fact(&self) -> Option<Fact> {
        Some(RecordView::new(&self.raw)?.fact(self.observed_at))
    }
}

/// A fact that a merge added or replaced.
#[derive(Clone, Debug, PartialEq)]
pub struct FactChange {
    pub(crate) previous: Option<TimedRecord>,
    pub(crate) current: TimedRecord,
}

impl FactChange {
    /// Subject of the fact.
    pub fn subject(&self) -> Option<Subject> {
        self.after().map(|fact| fact.subject)
    }

    /// The replaced fact; `None` if the subject was unknown.
    pub fn before(&self) -> Option<Fact> {
        self.previous.as_ref()?.fact()
    }

    /// The merged fact.
    pub fn after(&self) -> Option<Fact> {
        self.current.fact()
    }
}

/// State of gossip and anti-entropy.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipState {
    member_count: usize,
    /// Ranges to be compared in parts.
    differing_ranges: VecDeque<HashRange>,
    summary_sequence: u32,
    rejected_facts: u64,
    pub later_incarnation: Option<u64>,
}

impl GossipState {
    /// Transmissions after which a fact is no longer gossiped.
    fn max_transmissions(&self) -> u8 {
        let members = self.member_count.max(2);
        (3 * (usize::BITS - (members - 1).leading_zeros()) + 2) as u8
    }

    /// Transmission count at which an own observation starts. Server entries start near the maximum, as otherwise every
    /// process would gossip at length what all have just received from discovery; a process that receives an entry by
    /// gossip passes it on in full.
    pub fn initial_transmissions(&self, kind: FactKind) -> u8 {
        if kind == FactKind::ServerEntry {
            self.max_transmissions() - SERVER_ENTRY_TRANSMISSIONS
        } else {
            0
        }
    }
}

/// Most bytes that a record takes in a packet.
fn packet_cost(raw: &[u8]) -> usize {
    // The longest age takes 10 bytes, and each field has one byte for its tag.
    let len = 1 + prost::length_delimiter_len(raw.len()) + raw.len() + 11;
    1 + prost::length_delimiter_len(len) + len
}

impl FactStore {
    /// Sets the number of processes in the fleet, including this one.
    pub fn set_member_count(&mut self, count: usize) {
        self.gossip.member_count = count;
    }

    /// Number of facts from peers rejected so far because no version of this program would write them.
    pub fn rejected_facts(&self) -> u64 {
        self.gossip.rejected_facts
    }

    /// A packet of gossip for one peer, in at most `max_bytes`, with the least transmitted facts first; empty if there
    /// are none. Each call counts as one transmission of the facts it returns.
    pub fn gossip_payload(&mut self, max_bytes: usize, now: Millis) -> Vec<u8> {
        let max_transmissions = self.gossip.max_transmissions();
        let mut remaining_bytes = max_bytes.saturating_sub(FRAME_OVERHEAD_BYTES);
        let (mut facts, mut transmitted, mut skipped) = (Vec::new(), Vec::new(), 0);
        for (slot_index, slot) in self.facts.gossip_queue() {
            let cost = packet_cost(&slot.raw);
            if cost <= remaining_bytes {
                remaining_bytes -= cost;
                facts.push(aged_record(slot, now));
                let transmissions = slot.gossip_order.map_or(0, |(count, _)| count);
                transmitted.push((slot_index, transmissions + 1));
                continue;
            }
            if cost > max_bytes.saturating_sub(FRAME_OVERHEAD_BYTES) {
                // It fits no gossip packet and is left to the larger anti-entropy pages.
                transmitted.push((slot_index, max_transmissions));
            }
            skipped += 1;
            if skipped > MAX_SKIPPED_FACTS {
                break;
            }
        }
        for (slot_index, transmissions) in transmitted {
            self.facts.dequeue_gossip(slot_index);
            if transmissions < max_transmissions {
                self.facts.enqueue_gossip(slot_index, transmissions);
            }
        }
        if facts.is_empty() {
            Vec::new()
        } else {
            Packet {
                facts,
                ..Packet::default()
            }
            .encode_to_vec()
        }
    }

    /// Digests for a peer to compare, in at most `max_bytes`: alternately of all facts and, if one is queued, of a range
    /// that was found to differ.
    pub fn summary(&mut self, max_bytes: usize) -> Vec<u8> {
        self.gossip.summary_sequence = self.gossip.summary_sequence.wrapping_add(1);
        let sequence = self.gossip.summary_sequence;
        let differing_range = if sequence.is_multiple_of(2) {
            self.gossip.differing_ranges.pop_front()
        } else {
            None
        };
        let range = differing_range.unwrap_or_default();
        let max_bits = (max_bytes.saturating_sub(FRAME_OVERHEAD_BYTES) / 4)
            .max(1)
            .ilog2();
        let bits = max_bits.min(LEAF_BITS - range.bits);
        let digests = (0..1 << bits).flat_map(|part| {
            let digest = self.facts.digest(subrange(range, bits, part));
            (digest as u32).to_le_bytes()
        });
        Summary {
            range,
            digests: digests.collect(),
            sequence,
        }
        .encode_to_vec()
    }

    /// At most `max_pages` pages, each of at most `max_bytes`, for the peer that sent this summary: the facts of parts
    /// that differ, and the names of parts that are too full to be sent before they are compared in detail.
    pub fn answer_summary(
        &self,
        summary: &[u8],
        max_bytes: usize,
        max_pages: usize,
        now: Millis,
    ) -> Result<Vec<Vec<u8>>, DecodeError> {
        let (range, bits, summary) = read_summary(summary)?;
        let count = 1_u32 << bits;
        let mut pages = PageWriter {
            max_bytes: max_bytes.saturating_sub(FRAME_OVERHEAD_BYTES),
            max_pages,
            finished: Vec::new(),
            current: Packet::default(),
        };
        pages.current.is_page = true;
        let mut remaining_bytes = pages.max_bytes;
        let start = summary.sequence.wrapping_mul(0x9e37_79b9);
        for step in 0..count {
            let part_index = step.wrapping_add(start) % count;
            let part = subrange(range, bits, part_index);
            let peer_digest = &summary.digests[4 * part_index as usize..][..4];
            if self.facts.digest(part).to_le_bytes()[..4] == *peer_digest {
                continue;
            }
            let is_empty_at_peer = peer_digest == [0; 4];
            if part.bits < LEAF_BITS
                && !is_empty_at_peer
                && self.facts.count_in(part) > MAX_UNSPLIT_RANGE_FACTS
            {
                if pages.current.differing_ranges.len() < MAX_DIFFERING_RANGES
                    && remaining_bytes > FRAME_OVERHEAD_BYTES
                {
                    pages.current.differing_ranges.push(part);
                    remaining_bytes -= FRAME_OVERHEAD_BYTES / 2;
                }
                continue;
            }
            for slot in self
                .facts
                .slots_in(part)
                .filter(|slot| now < slot.retained_until)
            {
                let fact = aged_record(slot, now);
                if !pages.push(fact, &mut remaining_bytes) {
                    return Ok(pages.finish());
                }
            }
        }
        Ok(pages.finish())
    }

    /// Merges a packet from a peer, either gossip or a page, and returns the facts that it added or replaced.
    pub fn merge_packet(
        &mut self,
        bytes: &[u8],
        now: Millis,
    ) -> Result<Vec<FactChange>, DecodeError> {
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(DecodeError::TooLong);
        }
        let fields = || Fields(bytes).filter_map(Result::ok);
        if Fields(bytes).any(|field| field.is_err()) {
            return Err(DecodeError::Malformed);
        }
        let is_page = fields().any(|(number, value)| number == 2 && value != Field::Number(0));
        let max_transmissions = self.gossip.max_transmissions();
        let mut changes = Vec::new();
        for encoded_fact in fields()
            .filter(|(number, _)| *number == 1)
            .filter_map(|(_, value)| value.bytes())
        {
            let Ok((Some(view), age)) = read_aged_record(encoded_fact) else {
                self.gossip.rejected_facts += 1;
                continue;
            };
            self.detect_later_incarnation(&view);
            // Most processes already know the facts of a page.
            let transmissions = if is_page { max_transmissions / 2 } else { 0 };
            let result = self.merge_and_report(
                &view,
                now.saturating_sub(age),
                Some(transmissions),
                now,
                &mut changes,
            );
            if let (MergeResult::Duplicate(slot_index), false) = (result, is_page) {
                self.count_duplicate(slot_index, max_transmissions);
            }
        }
        let encoded_ranges = fields()
            .filter(|(number, _)| *number == 3)
            .filter_map(|(_, value)| value.bytes());
        for range in encoded_ranges
            .filter_map(|encoded| HashRange::decode(encoded).ok())
            .filter(|range| is_valid_range(*range))
        {
            if self.gossip.differing_ranges.len() < MAX_DIFFERING_RANGES
                && !self.gossip.differing_ranges.contains(&range)
            {
                self.gossip.differing_ranges.push_back(range);
            }
        }
        Ok(changes)
    }

    /// Counts a received duplicate as a transmission, so that a fact is gossiped less the more processes know it.
    fn count_duplicate(&mut self, slot_index: u32, max_transmissions: u8) {
        if let Some(transmissions) = self.facts.dequeue_gossip(slot_index)
            && transmissions + 1 < max_transmissions
        {
            self.facts.enqueue_gossip(slot_index, transmissions + 1);
        }
    }

    /// Records that a peer knows a fact of this process from an incarnation later than the current one.
    fn detect_later_incarnation(&mut self, view: &RecordView<'_>) {
        if view.is_per_process
            && view.epoch > self.origin.incarnation
            && view.name == self.origin.name.as_bytes()
        {
            self.gossip.later_incarnation = self.gossip.later_incarnation.max(Some(view.epoch));
        }
    }
}

/// Part number `part` of a range that is split into 2^`bits` equal parts.
fn subrange(range: HashRange, bits: u32, part: u32) -> HashRange {
    HashRange {
        bits: range.bits + bits,
        prefix: (range.prefix << bits) | part,
    }
}

fn is_valid_range(range: HashRange) -> bool {
    range.bits <= LEAF_BITS && range.prefix < 1 << range.bits
}

/// The range of a summary, the binary logarithm of its number of parts, and the summary.
fn read_summary(bytes: &[u8]) -> Result<(HashRange, u32, Summary), DecodeError> {
    if bytes.len() > MAX_PACKET_BYTES {
        return Err(DecodeError::TooLong);
    }
    let summary = Summary::decode(bytes).map_err(|_| DecodeError::Malformed)?;
    let (range, parts) = (summary.range, summary.digests.len() / 4);
    let bits = if parts.is_power_of_two() && summary.digests.len() % 4 == 0 {
        parts.ilog2()
    } else {
        32
    };
    let is_valid = is_valid_range(range) && range.bits + bits <= LEAF_BITS;
    if is_valid {
        Ok((range, bits, summary))
    } else {
        Err(DecodeError::Malformed)
    }
}

/// Distributes facts over pages of bounded number and size.
struct PageWriter {
    max_bytes: usize,
    max_pages: usize,
    finished: Vec<Vec<u8>>,
    current: Packet,
}

impl PageWriter {
    /// Adds a fact; returns `false` once all pages are full.
    fn push(&mut self, fact: AgedRecord, remaining_bytes: &mut usize) -> bool {
        let cost = packet_cost(&fact.record);
        if cost > *remaining_bytes && cost <= self.max_bytes {
            self.finish_page();
            *remaining_bytes = self.max_bytes;
        }
        if self.finished.len() >= self.max_pages {
            return false;
        }
        if cost <= *remaining_bytes {
            *remaining_bytes -= cost;
            self.current.facts.push(fact);
        }
        true
    }

    fn finish_page(&mut self) {
        let page = std::mem::take(&mut self.current);
        self.current.is_page = true;
        if !(page.facts.is_empty() && page.differing_ranges.is_empty())
            && self.finished.len() < self.max_pages
        {
            self.finished.push(page.encode_to_vec());
        }
    }

    fn finish(mut self) -> Vec<Vec<u8>> {
        self.finish_page();
        self.finished
    }
}
