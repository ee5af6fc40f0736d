//! A stored fact: its record, and the metadata to find, order and expire it.

use std::cmp::Ordering;

use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Millis;
use crate::fact::{Fact, FactKind};
use crate::record::RecordView;

/// Number of hash bits that select a leaf, the finest range that is digested.
pub(crate) const LEAF_BITS: u32 = 14;
/// Memory of a fact besides its slot: its entries in the table, leaf, index and time indexes.
const INDEX_OVERHEAD_BYTES: usize = 56;
/// Records up to this length are stored inside the slot.
const INLINE_RECORD_BYTES: usize = 96;

/// An encoded record.
pub(crate) type RawRecord = SmallVec<[u8; INLINE_RECORD_BYTES]>;

/// A byte range within a slot's record.
#[derive(Clone, Copy, Debug)]
struct ByteRange {
    start: u16,
    len: u16,
}

impl ByteRange {
    fn new(raw: &[u8], part: &[u8]) -> ByteRange {
        // A part is a slice of the record; an empty one may point anywhere.
        let start = if part.is_empty() {
            0
        } else {
            part.as_ptr() as usize - raw.as_ptr() as usize
        };
        ByteRange {
            start: start as u16,
            len: part.len() as u16,
        }
    }

    fn slice(self, raw: &[u8]) -> &[u8] {
        &raw[self.start as usize..][..self.len as usize]
    }
}

/// A stored fact.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub raw: RawRecord,
    key: ByteRange,
    name: ByteRange,
    value: ByteRange,
    /// Number of the fact's kind in records.
    pub kind_number: u32,
    /// Position within its leaf.
    pub leaf_index: u32,
    pub epoch: u64,
    pub version: u64,
    /// Time of observation by this process's clock.
    pub observed_at: Millis,
    pub valid_until: Millis,
    /// The fact is kept until this time.
    pub retained_until: Millis,
    /// Number of transmissions and order among equals, while the fact is gossiped.
    pub gossip_order: Option<(u8, u32)>,
    is_per_process: bool,
}

impl Slot {
    pub fn key(&self) -> &[u8] {
        self.key.slice(&self.raw)
    }

    pub fn name(&self) -> &[u8] {
        self.name.slice(&self.raw)
    }

    pub fn value(&self) -> &[u8] {
        self.value.slice(&self.raw)
    }

    pub fn kind(&self) -> FactKind {
        FactKind::from_number(self.kind_number)
    }

    /// Digest of the record, combined into the digest of the leaf.
    pub fn digest(&self) -> u64 {
        xxh3_64(&self.raw)
    }

    /// Whether the fact is still valid.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.valid_until
    }

    /// Memory that counts towards the limit of the kind.
    pub fn cost(&self) -> usize {
        let heap_bytes = if self.raw.spilled() {
            self.raw.capacity()
        } else {
            0
        };
        size_of::<Option<Slot>>() + heap_bytes + INDEX_OVERHEAD_BYTES
    }

    /// Identifies the subject.
    pub fn id(&self) -> FactId<'_> {
        FactId {
            kind: self.kind_number,
            key: self.key(),
            name: self.is_per_process.then(|| self.name()),
        }
    }

    /// The decoded fact.
    pub fn fact(&self) -> Option<Fact> {
        Some(RecordView::new(&self.raw)?.fact(self.observed_at))
    }

    /// A slot for a fact, kept for at most the maximum lifetime of its kind.
    pub fn new(view: &RecordView<'_>, observed_at: Millis, max_lifetime_ms: Millis) -> Slot {
        let raw = view.raw;
        let valid_until = observed_at.saturating_add(view.valid_for.min(max_lifetime_ms));
        Slot {
            raw: SmallVec::from_slice(raw),
            key: ByteRange::new(raw, view.key),
            name: ByteRange::new(raw, view.name),
            value: ByteRange::new(raw, view.value),
            kind_number: view.kind,
            leaf_index: 0,
            epoch: view.epoch,
            version: view.version,
            observed_at,
            valid_until,
            retained_until: observed_at
                .saturating_add(view.retained_for.min(max_lifetime_ms))
                .max(valid_until),
            gossip_order: None,
            is_per_process: view.is_per_process,
        }
    }

    /// Orders a fact relative to the stored one: by epoch and version, then by the origin's time of observation,
    /// incarnation and name, and then by all bytes. The order is total and depends on nothing but the two facts.
    pub fn compare_to(&self, view: &RecordView<'_>) -> Ordering {
        let raw = view.raw;
        (view.epoch, view.version)
            .cmp(&(self.epoch, self.version))
            .then_with(|| {
                if *raw == self.raw[..] {
                    return Ordering::Equal;
                }
                let stored = RecordView::new(&self.raw);
                Some(view.tie_breaker())
                    .cmp(&stored.as_ref().map(RecordView::tie_breaker))
                    .then_with(|| raw.cmp(&self.raw[..]))
            })
    }
}

/// Identifies the subject of a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FactId<'a> {
    pub kind: u32,
    pub key: &'a [u8],
    /// The process, where each has its own fact.
    pub name: Option<&'a [u8]>,
}

impl<'a> FactId<'a> {
    pub fn of(view: &RecordView<'a>) -> FactId<'a> {
        FactId {
            kind: view.kind,
            key: view.key,
            name: view.is_per_process.then_some(view.name),
        }
    }

    pub fn hash(self, seed: u64) -> u64 {
        let hash = xxh3_64_with_seed(
            self.key,
            seed ^ u64::from(self.kind).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        );
        self.name.map_or(hash, |name| xxh3_64_with_seed(name, hash))
    }

    /// Index of the subject's leaf; the same at all processes.
    pub fn leaf(self) -> usize {
        (self.hash(0) >> (64 - LEAF_BITS)) as usize
    }
}
