//! Storage of facts: found by subject, limited by kind, and digested by ranges of the subjects' hashes.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use hashbrown::HashTable;

use crate::Millis;
use crate::bounds::Bounds;
use crate::fact::FactKind;
use crate::record::{HashRange, RecordView};
use crate::slot::{FactId, LEAF_BITS, RawRecord, Slot};
use crate::time_index::{TimeIndex, bucket_of};

#[derive(Clone, Debug, Default)]
struct Leaf {
    digest: u64,
    slots: Vec<u32>,
}

/// Usage of one kind.
#[derive(Clone, Debug, Default)]
struct KindUsage {
    bytes: usize,
    count: usize,
    by_age: TimeIndex,
}

/// Result of merging a fact. Each `u32` is the index of its slot.
#[derive(Debug)]
pub(crate) enum MergeResult {
    /// The subject was unknown.
    New(u32),
    /// It replaced an earlier fact, given with its time of observation.
    Replaced(u32, RawRecord, Millis),
    /// The same fact was known.
    Duplicate(u32),
    /// A later fact is known, the fact has expired, or all facts kept of its kind were observed later.
    Ignored,
}

/// All facts, with their indexes.
#[derive(Clone, Debug)]
pub(crate) struct FactTable {
    slots: Vec<Option<Slot>>,
    free: Vec<u32>,
    table: HashTable<u32>,
    leaves: Vec<Leaf>,
    /// Slots of all facts but placements, by kind and key; the slots of a key are ordered by process name.
    index: BTreeMap<(u32, Box<[u8]>), Vec<u32>>,
    expirations: TimeIndex,
    kinds: [KindUsage; FactKind::ALL.len()],
    /// The facts being gossiped: number of transmissions, order among equals, slot.
    gossip_queue: BTreeSet<(u8, u32, u32)>,
    last_gossip_order: u32,
    bounds: Bounds,
}

impl FactTable {
    pub fn new(bounds: Bounds) -> FactTable {
        FactTable {
            slots: Vec::new(),
            free: Vec::new(),
            table: HashTable::new(),
            leaves: vec![Leaf::default(); 1 << LEAF_BITS],
            index: BTreeMap::new(),
            expirations: TimeIndex::default(),
            kinds: Default::default(),
            gossip_queue: BTreeSet::new(),
            last_gossip_order: 0,
            bounds,
        }
    }

    /// Reserves capacity for this many facts at once.
    pub fn reserve(&mut self, facts: usize) {
        let additional = facts.saturating_sub(self.table.len());
        self.slots.reserve(additional);
        let (slots, seed) = (&self.slots, self.bounds.hash_seed);
        self.table
            .reserve(additional, |slot_index| hash_of(slots, *slot_index, seed));
    }

    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    pub fn slot(&self, slot_index: u32) -> Option<&Slot> {
        self.slots.get(slot_index as usize)?.as_ref()
    }

    /// The slot of a subject.
    pub fn find(&self, id: FactId<'_>) -> Option<u32> {
        self.table
            .find(id.hash(self.bounds.hash_seed), |slot_index| {
                self.matches(*slot_index, id)
            })
            .copied()
    }

    fn matches(&self, slot_index: u32, id: FactId<'_>) -> bool {
        self.slot(slot_index).is_some_and(|slot| slot.id() == id)
    }

    /// Memory in bytes and number of facts of a kind.
    pub fn usage(&self, kind: FactKind) -> (usize, usize) {
        let usage = &self.kinds[kind as usize];
        (usage.bytes, usage.count)
    }

    /// All facts of a kind, by key and then by process; placements in the order of their slots.
    pub fn of_kind(&self, kind: FactKind) -> Box<dyn Iterator<Item = &Slot> + '_> {
        let is_of_kind = move |number: u32| FactKind::from_number(number) == kind;
        match kind {
            FactKind::Placement => Box::new(
                self.slots
                    .iter()
                    .flatten()
                    .filter(move |slot| slot.kind() == kind),
            ),
            FactKind::Unknown => {
                let entries = self
                    .index
                    .iter()
                    .filter(move |((number, _), _)| is_of_kind(*number));
                Box::new(
                    entries
                        .flat_map(|(_, slots)| slots)
                        .filter_map(|slot_index| self.slot(*slot_index)),
                )
            }
            _ => {
                let (from, to) = (kind.wire_number(), kind.wire_number() + 1);
                let entries = self
                    .index
                    .range((from, Box::default())..(to, Box::default()));
                Box::new(
                    entries
                        .flat_map(|(_, slots)| slots)
                        .filter_map(|slot_index| self.slot(*slot_index)),
                )
            }
        }
    }

    /// All processes' facts on one subject, by process.
    pub fn slots_of(&self, kind: FactKind, key: &[u8]) -> impl Iterator<Item = &Slot> {
        let slots = self.index.get(&(kind.wire_number(), key.into()));
        slots
            .into_iter()
            .flatten()
            .filter_map(|slot_index| self.slot(*slot_index))
    }

    /// Stores a fact if it is later than the known one on its subject.
    pub fn merge(
        &mut self,
        view: &RecordView<'_>,
        observed_at: Millis,
        now: Millis,
    ) -> MergeResult {
        let max_lifetime_ms = self
            .bounds
            .of_kind(FactKind::from_number(view.kind))
            .max_lifetime_ms;
        if observed_at.saturating_add(view.retained_for.max(view.valid_for).min(max_lifetime_ms))
            <= now
        {
            return MergeResult::Ignored;
        }
        let Some(slot_index) = self.find(FactId::of(view)) else {
            let slot = Slot::new(view, observed_at, max_lifetime_ms);
            return if self.ensure_capacity(&slot, now) {
                MergeResult::New(self.insert(slot))
            } else {
                MergeResult::Ignored
            };
        };
        let Some(stored) = self.slots[slot_index as usize].as_mut() else {
            return MergeResult::Ignored;
        };
        if stored.retained_until <= now {
            // It has expired and is only waiting for its removal.
            self.remove(slot_index);
            return self.merge(view, observed_at, now);
        }
        match stored.compare_to(view) {
            Ordering::Less => MergeResult::Ignored,
            Ordering::Equal => {
                self.raise_age(slot_index, observed_at);
                MergeResult::Duplicate(slot_index)
            }
            Ordering::Greater => self.replace(
                slot_index,
                Slot::new(view, observed_at, max_lifetime_ms),
                now,
            ),
        }
    }

    /// Applies the greater of two ages of a fact, as part of an age can get lost in transit.
    fn raise_age(&mut self, slot_index: u32, observed_at: Millis) {
        let Some(stored) = self.slots[slot_index as usize].as_mut() else {
            return;
        };
        let previous_buckets = (
            bucket_of(stored.observed_at),
            bucket_of(stored.retained_until),
        );
        let missing_age = stored.observed_at.saturating_sub(observed_at);
        stored.observed_at -= missing_age;
        stored.valid_until = stored.valid_until.saturating_sub(missing_age);
        stored.retained_until = stored.retained_until.saturating_sub(missing_age);
        if previous_buckets
            != (
                bucket_of(stored.observed_at),
                bucket_of(stored.retained_until),
            )
        {
            self.index_times(slot_index);
        }
    }

    fn replace(&mut self, slot_index: u32, mut slot: Slot, now: Millis) -> MergeResult {
        self.dequeue_gossip(slot_index);
        let Some(stored) = self.slots[slot_index as usize].as_mut() else {
            return MergeResult::Ignored;
        };
        let (kind, cost, previous_cost) = (slot.kind(), slot.cost(), stored.cost());
        slot.leaf_index = stored.leaf_index;
        self.leaves[slot.id().leaf()].digest ^= stored.digest() ^ slot.digest();
        let previous = std::mem::replace(stored, slot);
        let usage = &mut self.kinds[kind as usize];
        usage.bytes = usage.bytes + cost - previous_cost;
        self.index_times(slot_index);
        self.evict_over_limit(kind, now);
        if self.slot(slot_index).is_none() {
            MergeResult::Ignored
        } else {
            MergeResult::Replaced(slot_index, previous.raw, previous.observed_at)
        }
    }

    fn insert(&mut self, mut slot: Slot) -> u32 {
        let slot_index = self.free.pop().unwrap_or(self.slots.len() as u32);
        let leaf = &mut self.leaves[slot.id().leaf()];
        slot.leaf_index = leaf.slots.len() as u32;
        leaf.slots.push(slot_index);
        leaf.digest ^= slot.digest();
        let usage = &mut self.kinds[slot.kind() as usize];
        usage.bytes += slot.cost();
        usage.count += 1;
        let hash = slot.id().hash(self.bounds.hash_seed);
        if slot.kind() != FactKind::Placement {
            let slots = self
                .index
                .entry((slot.kind_number, slot.key().into()))
                .or_default();
            let name_of = |slot_index: &u32| {
                self.slots
                    .get(*slot_index as usize)
                    .and_then(Option::as_ref)
                    .map(Slot::name)
            };
            let position = slots.partition_point(|existing| name_of(existing) < Some(slot.name()));
            slots.insert(position, slot_index);
        }
        if slot_index as usize == self.slots.len() {
            self.slots.push(Some(slot))
        } else {
            self.slots[slot_index as usize] = Some(slot)
        }
        let (slots, seed) = (&self.slots, self.bounds.hash_seed);
        self.table.insert_unique(hash, slot_index, |slot_index| {
            hash_of(slots, *slot_index, seed)
        });
        self.index_times(slot_index);
        slot_index
    }

    fn remove(&mut self, slot_index: u32) {
        self.dequeue_gossip(slot_index);
        let Some(slot) = self
            .slots
            .get_mut(slot_index as usize)
            .and_then(Option::take)
        else {
            return;
        };
        if let Ok(entry) = self
            .table
            .find_entry(slot.id().hash(self.bounds.hash_seed), |candidate| {
                *candidate == slot_index
            })
        {
            entry.remove();
        }
        let leaf = &mut self.leaves[slot.id().leaf()];
        leaf.digest ^= slot.digest();
        leaf.slots.swap_remove(slot.leaf_index as usize);
        if let Some(moved) = leaf.slots.get(slot.leaf_index as usize)
            && let Some(moved) = self.slots[*moved as usize].as_mut()
        {
            moved.leaf_index = slot.leaf_index;
        }
        let usage = &mut self.kinds[slot.kind() as usize];
        usage.bytes -= slot.cost();
        usage.count -= 1;
        let index_key = (slot.kind_number, slot.key().into());
        if let Some(slots) = self.index.get_mut(&index_key) {
            slots.retain(|existing| *existing != slot_index);
            if slots.is_empty() {
                self.index.remove(&index_key);
            }
        }
        self.free.push(slot_index);
    }

    /// Indexes a slot by its expiry and its time of observation.
    fn index_times(&mut self, slot_index: u32) {
        let Some(slot) = self.slots[slot_index as usize].as_ref() else {
            return;
        };
        let (kind, slots) = (slot.kind(), &self.slots);
        let slot_at = |slot_index: u32| slots[slot_index as usize].as_ref();
        self.expirations.insert(slot.retained_until, slot_index);
        if self
            .expirations
            .needs_sweep(self.slots.len() - self.free.len())
        {
            self.expirations.sweep(|slot_index, bucket| {
                slot_at(slot_index).is_some_and(|slot| bucket_of(slot.retained_until) == bucket)
            });
        }
        let usage = &mut self.kinds[kind as usize];
        usage.by_age.insert(slot.observed_at, slot_index);
        if usage.by_age.needs_sweep(usage.count) {
            let is_current =
                |slot: &Slot, bucket| slot.kind() == kind && bucket_of(slot.observed_at) == bucket;
            usage.by_age.sweep(|slot_index, bucket| {
                slot_at(slot_index).is_some_and(|slot| is_current(slot, bucket))
            });
        }
    }

    /// Removes facts that are past their retention.
    pub fn expire(&mut self, now: Millis) {
        while let Some((slot_index, _)) = self.expirations.pop_earliest(Some(now)) {
            if self
                .slot(slot_index)
                .is_some_and(|slot| slot.retained_until <= now)
            {
                self.remove(slot_index);
            }
        }
    }

    /// Makes room for one more fact of the kind by removing expired facts and those observed earlier. Returns `false`
    /// if that is not enough.
    fn ensure_capacity(&mut self, slot: &Slot, now: Millis) -> bool {
        let (kind, cost) = (slot.kind(), slot.cost());
        let max_bytes = self.bounds.of_kind(kind).max_bytes;
        if cost > max_bytes {
            return false;
        }
        if self.kinds[kind as usize].bytes + cost > max_bytes {
            self.expire(now);
        }
        while self.kinds[kind as usize].bytes + cost > max_bytes {
            let Some((slot_index, observed_at)) = self.pop_oldest(kind) else {
                return false;
            };
            if observed_at > slot.observed_at {
                self.kinds[kind as usize]
                    .by_age
                    .insert(observed_at, slot_index);
                return false;
            }
            self.remove(slot_index);
        }
        true
    }

    /// Removes expired facts and then the oldest of a kind until it is within its limit, after one of them grew.
    fn evict_over_limit(&mut self, kind: FactKind, now: Millis) {
        let max_bytes = self.bounds.of_kind(kind).max_bytes;
        if self.kinds[kind as usize].bytes > max_bytes {
            self.expire(now);
        }
        while self.kinds[kind as usize].bytes > max_bytes {
            let Some((slot_index, _)) = self.pop_oldest(kind) else {
                return;
            };
            self.remove(slot_index);
        }
    }

    /// Removes the time index entry of the oldest fact of a kind, with the resolution of a bucket, and returns its
    /// slot and time of observation.
    fn pop_oldest(&mut self, kind: FactKind) -> Option<(u32, Millis)> {
        loop {
            let (slot_index, bucket) = self.kinds[kind as usize].by_age.pop_earliest(None)?;
            let slot = self
                .slot(slot_index)
                .filter(|slot| slot.kind() == kind && bucket_of(slot.observed_at) <= bucket);
            if let Some(slot) = slot {
                return Some((slot_index, slot.observed_at));
            }
        }
    }

    /// Gossips the fact in a slot, counting it as transmitted this many times already.
    pub fn enqueue_gossip(&mut self, slot_index: u32, transmissions: u8) {
        self.dequeue_gossip(slot_index);
        if self.gossip_queue.len() >= self.bounds.max_gossiped_facts {
            // The fact transmitted most often is dropped first.
            match self.gossip_queue.last() {
                Some((max_transmissions, _, last)) if *max_transmissions > transmissions => {
                    self.dequeue_gossip(*last)
                }
                _ => return,
            };
        }
        self.last_gossip_order = self.last_gossip_order.wrapping_add(1);
        if let Some(slot) = self.slots[slot_index as usize].as_mut() {
            slot.gossip_order = Some((transmissions, self.last_gossip_order));
            self.gossip_queue
                .insert((transmissions, self.last_gossip_order, slot_index));
        }
    }

    /// Stops gossiping the fact in a slot; returns how often it was transmitted.
    pub fn dequeue_gossip(&mut self, slot_index: u32) -> Option<u8> {
        let slot = self.slots.get_mut(slot_index as usize)?.as_mut()?;
        let (transmissions, order) = slot.gossip_order.take()?;
        self.gossip_queue
            .remove(&(transmissions, order, slot_index));
        Some(transmissions)
    }

    /// The facts being gossiped, least transmitted first.
    pub fn gossip_queue(&self) -> impl Iterator<Item = (u32, &Slot)> {
        self.gossip_queue
            .iter()
            .filter_map(|(_, _, slot_index)| Some((*slot_index, self.slot(*slot_index)?)))
    }

    /// Digest of the facts in a range.
    pub fn digest(&self, range: HashRange) -> u64 {
        self.leaves_in(range)
            .iter()
            .fold(0, |digest, leaf| digest ^ leaf.digest)
    }

    /// All facts in a range.
    pub fn slots_in(&self, range: HashRange) -> impl Iterator<Item = &Slot> {
        let slots = self.leaves_in(range).iter().flat_map(|leaf| &leaf.slots);
        slots.filter_map(|slot_index| self.slot(*slot_index))
    }

    /// Number of facts in a range.
    pub fn count_in(&self, range: HashRange) -> usize {
        self.leaves_in(range)
            .iter()
            .map(|leaf| leaf.slots.len())
            .sum()
    }

    fn leaves_in(&self, range: HashRange) -> &[Leaf] {
        let bits = LEAF_BITS - range.bits.min(LEAF_BITS);
        let from = ((range.prefix as usize) << bits).min(self.leaves.len());
        &self.leaves[from..(from + (1 << bits)).min(self.leaves.len())]
    }
}

fn hash_of(slots: &[Option<Slot>], slot_index: u32, seed: u64) -> u64 {
    slots
        .get(slot_index as usize)
        .and_then(Option::as_ref)
        .map_or(0, |slot| slot.id().hash(seed))
}
