//! A fact as it is kept: its record, and what it takes to find, order and age it.

use std::cmp::Ordering;

use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Millis;
use crate::fact::{Fact, FactKind};
use crate::record::RecordView;

/// Bits of a subject's hash that tell the finest stretch.
pub(crate) const LEAF_BITS: u32 = 14;
/// What a fact costs beside its slot: its notes in table, leaf, index and calendars.
const INDEX_OVERHEAD_BYTES: usize = 56;
/// Records of this length are kept in the slot itself.
const INLINE_RECORD_BYTES: usize = 96;

/// A record as it is kept.
pub(crate) type RawRecord = SmallVec<[u8; INLINE_RECORD_BYTES]>;

/// A part of a slot's view.
#[derive(Clone, Copy, Debug)]
struct ByteRange {
    start: u16,
    len: u16,
}

impl ByteRange {
    fn new(raw: &[u8], part: &[u8]) -> ByteRange {
        // A part is a slice of the record; one that is empty may point anywhere.
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

/// A fact that is kept.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub raw: RawRecord,
    key: ByteRange,
    name: ByteRange,
    value: ByteRange,
    /// The number of its kind.
    pub kind_number: u32,
    /// Its place in its leaf.
    pub leaf_index: u32,
    pub epoch: u64,
    pub version: u64,
    /// By this process's clock.
    pub observed_at: Millis,
    pub valid_until: Millis,
    /// It is kept until then.
    pub retained_until: Millis,
    /// Its turn among the rumours, while it is one.
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

    /// Digest of the record, for the leaf.
    pub fn digest(&self) -> u64 {
        xxh3_64(&self.raw)
    }

    /// Whether what it says holds still.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.valid_until
    }

    /// What it counts for in its kind's bytes.
    pub fn cost(&self) -> usize {
        let heap_bytes = if self.raw.spilled() {
            self.raw.capacity()
        } else {
            0
        };
        size_of::<Option<Slot>>() + heap_bytes + INDEX_OVERHEAD_BYTES
    }

    /// What tells its subject from all others.
    pub fn id(&self) -> FactId<'_> {
        FactId {
            kind: self.kind_number,
            key: self.key(),
            name: self.is_per_process.then(|| self.name()),
        }
    }

    /// The fact that it keeps.
    pub fn fact(&self) -> Option<Fact> {
        Some(RecordView::new(&self.raw)?.fact(self.observed_at))
    }

    /// A slot for a fact, which is kept for the kind's longest span at most.
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

    /// How a fact stands to the one that is kept: by epoch and version, then by the moment told, boot and name of the
    /// origin and all bytes. A total order that needs nothing but the two facts.
    pub fn compare_to(&self, view: &RecordView<'_>) -> Ordering {
        let raw = view.raw;
        (view.epoch, view.version)
            .cmp(&(self.epoch, self.version))
            .then_with(|| {
                if *raw == self.raw[..] {
                    return Ordering::Equal;
                }
                let kept = RecordView::new(&self.raw);
                Some(view.tie_breaker())
                    .cmp(&kept.as_ref().map(RecordView::tie_breaker))
                    .then_with(|| raw.cmp(&self.raw[..]))
            })
    }
}

/// What tells a subject from all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FactId<'a> {
    pub kind: u32,
    pub key: &'a [u8],
    /// The process, where each has its own word.
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

    /// The same at all processes.
    pub fn leaf(self) -> usize {
        (self.hash(0) >> (64 - LEAF_BITS)) as usize
    }
}
