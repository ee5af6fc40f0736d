//! Where facts are kept: found by subject, bounded by kind, and digested by stretches of their subjects' hash.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use hashbrown::HashTable;

use crate::Millis;
use crate::bounds::Bounds;
use crate::calendar::{Calendar, day};
use crate::fact::Kind;
use crate::record::{HashRange, View};
use crate::slot::{Id, LEAF_BITS, Raw, Slot};

#[derive(Clone, Debug, Default)]
struct Leaf {
    digest: u64,
    slots: Vec<u32>,
}

/// What is kept of one kind.
#[derive(Clone, Debug, Default)]
struct KindUsage {
    bytes: usize,
    count: usize,
    by_age: Calendar,
}

/// What merging a fact came to.
#[derive(Debug)]
pub(crate) enum Merged {
    /// Nothing was known of the subject.
    New(u32),
    /// It took the place of an earlier one, which was witnessed then.
    Replaced(u32, Raw, Millis),
    /// It was known.
    Same(u32),
    /// A later one is known, its life is over, or all that is kept of its kind was witnessed later.
    Nothing,
}

/// All facts.
#[derive(Clone, Debug)]
pub(crate) struct FactTable {
    slots: Vec<Option<Slot>>,
    free: Vec<u32>,
    table: HashTable<u32>,
    leaves: Vec<Leaf>,
    /// All but placements, in the order of their names; for each name by process.
    index: BTreeMap<(u32, Box<[u8]>), Vec<u32>>,
    ends: Calendar,
    kinds: [KindUsage; Kind::ALL.len()],
    /// Those that are told as rumours: how often they were, and their turn among equals.
    hot: BTreeSet<(u8, u32, u32)>,
    turns: u32,
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
            ends: Calendar::default(),
            kinds: Default::default(),
            hot: BTreeSet::new(),
            turns: 0,
            bounds,
        }
    }

    /// Has room for so many at once.
    pub fn reserve(&mut self, facts: usize) {
        let more = facts.saturating_sub(self.table.len());
        self.slots.reserve(more);
        let (slots, seed) = (&self.slots, self.bounds.seed);
        self.table.reserve(more, |at| hash_of(slots, *at, seed));
    }

    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    pub fn slot(&self, at: u32) -> Option<&Slot> {
        self.slots.get(at as usize)?.as_ref()
    }

    /// Finds a subject's slot.
    pub fn find(&self, id: Id<'_>) -> Option<u32> {
        self.table
            .find(id.hash(self.bounds.seed), |at| self.is(*at, id))
            .copied()
    }

    fn is(&self, at: u32, id: Id<'_>) -> bool {
        self.slot(at).is_some_and(|slot| slot.id() == id)
    }

    /// Bytes and number of what is kept of a kind.
    pub fn size(&self, kind: Kind) -> (usize, usize) {
        let tally = &self.kinds[kind as usize];
        (tally.bytes, tally.count)
    }

    /// All of a kind, by name and then by process; placements in the order of their slots.
    pub fn of_kind(&self, kind: Kind) -> Box<dyn Iterator<Item = &Slot> + '_> {
        let known = move |number: u32| Kind::of(number) == kind;
        match kind {
            Kind::Placement => Box::new(
                self.slots
                    .iter()
                    .flatten()
                    .filter(move |slot| slot.kind() == kind),
            ),
            Kind::Unknown => {
                let held = self
                    .index
                    .iter()
                    .filter(move |((number, _), _)| known(*number));
                Box::new(
                    held.flat_map(|(_, slots)| slots)
                        .filter_map(|at| self.slot(*at)),
                )
            }
            _ => {
                let (from, to) = (kind.number(), kind.number() + 1);
                let held = self
                    .index
                    .range((from, Box::default())..(to, Box::default()));
                Box::new(
                    held.flat_map(|(_, slots)| slots)
                        .filter_map(|at| self.slot(*at)),
                )
            }
        }
    }

    /// All words on one subject, by process.
    pub fn slots_of(&self, kind: Kind, key: &[u8]) -> impl Iterator<Item = &Slot> {
        let slots = self.index.get(&(kind.number(), key.into()));
        slots.into_iter().flatten().filter_map(|at| self.slot(*at))
    }

    /// Takes a fact in, if it is later than what is known of its subject.
    pub fn merge(&mut self, view: &View<'_>, witnessed: Millis, now: Millis) -> Merged {
        let longest = self.bounds.of(Kind::of(view.kind)).longest;
        if witnessed.saturating_add(view.retained_for.max(view.valid_for).min(longest)) <= now {
            return Merged::Nothing;
        }
        let Some(at) = self.find(Id::of(view)) else {
            let slot = Slot::new(view, witnessed, longest);
            return if self.ensure_capacity(&slot, now) {
                Merged::New(self.insert(slot))
            } else {
                Merged::Nothing
            };
        };
        let Some(kept) = self.slots[at as usize].as_mut() else {
            return Merged::Nothing;
        };
        if kept.until <= now {
            // It is over and only waits to be swept.
            self.remove(at);
            return self.merge(view, witnessed, now);
        }
        match kept.against(view) {
            Ordering::Less => Merged::Nothing,
            Ordering::Equal => {
                self.grow_older(at, witnessed);
                Merged::Same(at)
            }
            Ordering::Greater => self.replace(at, Slot::new(view, witnessed, longest), now),
        }
    }

    /// Guards against an age that got lost on the way: of two ages of a fact the greater one is believed.
    fn grow_older(&mut self, at: u32, witnessed: Millis) {
        let Some(kept) = self.slots[at as usize].as_mut() else {
            return;
        };
        let before = (day(kept.observed_at), day(kept.until));
        let younger = kept.observed_at.saturating_sub(witnessed);
        kept.observed_at -= younger;
        kept.valid_until = kept.valid_until.saturating_sub(younger);
        kept.until = kept.until.saturating_sub(younger);
        if before != (day(kept.observed_at), day(kept.until)) {
            self.note(at);
        }
    }

    fn replace(&mut self, at: u32, mut slot: Slot, now: Millis) -> Merged {
        self.cool(at);
        let Some(kept) = self.slots[at as usize].as_mut() else {
            return Merged::Nothing;
        };
        let (kind, cost, before) = (slot.kind(), slot.cost(), kept.cost());
        slot.leaf_at = kept.leaf_at;
        self.leaves[slot.id().leaf()].digest ^= kept.digest() ^ slot.digest();
        let old = std::mem::replace(kept, slot);
        let tally = &mut self.kinds[kind as usize];
        tally.bytes = tally.bytes + cost - before;
        self.note(at);
        self.evict(kind, now);
        if self.slot(at).is_none() {
            Merged::Nothing
        } else {
            Merged::Replaced(at, old.raw, old.observed_at)
        }
    }

    fn insert(&mut self, mut slot: Slot) -> u32 {
        let at = self.free.pop().unwrap_or(self.slots.len() as u32);
        let leaf = &mut self.leaves[slot.id().leaf()];
        slot.leaf_at = leaf.slots.len() as u32;
        leaf.slots.push(at);
        leaf.digest ^= slot.digest();
        let tally = &mut self.kinds[slot.kind() as usize];
        tally.bytes += slot.cost();
        tally.count += 1;
        let hash = slot.id().hash(self.bounds.seed);
        if slot.kind() != Kind::Placement {
            let words = self
                .index
                .entry((slot.number, slot.key().into()))
                .or_default();
            let named = |at: &u32| {
                self.slots
                    .get(*at as usize)
                    .and_then(Option::as_ref)
                    .map(Slot::name)
            };
            let place = words.partition_point(|word| named(word) < Some(slot.name()));
            words.insert(place, at);
        }
        if at as usize == self.slots.len() {
            self.slots.push(Some(slot))
        } else {
            self.slots[at as usize] = Some(slot)
        }
        let (slots, seed) = (&self.slots, self.bounds.seed);
        self.table
            .insert_unique(hash, at, |at| hash_of(slots, *at, seed));
        self.note(at);
        at
    }

    fn remove(&mut self, at: u32) {
        self.cool(at);
        let Some(slot) = self.slots.get_mut(at as usize).and_then(Option::take) else {
            return;
        };
        if let Ok(found) = self
            .table
            .find_entry(slot.id().hash(self.bounds.seed), |other| *other == at)
        {
            found.remove();
        }
        let leaf = &mut self.leaves[slot.id().leaf()];
        leaf.digest ^= slot.digest();
        leaf.slots.swap_remove(slot.leaf_at as usize);
        if let Some(moved) = leaf.slots.get(slot.leaf_at as usize)
            && let Some(moved) = self.slots[*moved as usize].as_mut()
        {
            moved.leaf_at = slot.leaf_at;
        }
        let tally = &mut self.kinds[slot.kind() as usize];
        tally.bytes -= slot.cost();
        tally.count -= 1;
        let name = (slot.number, slot.key().into());
        if let Some(words) = self.index.get_mut(&name) {
            words.retain(|word| *word != at);
            if words.is_empty() {
                self.index.remove(&name);
            }
        }
        self.free.push(at);
    }

    /// Notes when a slot ends and how old it is.
    fn note(&mut self, at: u32) {
        let Some(slot) = self.slots[at as usize].as_ref() else {
            return;
        };
        let (kind, slots) = (slot.kind(), &self.slots);
        let of = |at: u32| slots[at as usize].as_ref();
        self.ends.note(slot.until, at);
        if self.ends.is_stale(self.slots.len() - self.free.len()) {
            self.ends
                .sweep(|at, on| of(at).is_some_and(|slot| day(slot.until) == on));
        }
        let tally = &mut self.kinds[kind as usize];
        tally.by_age.note(slot.observed_at, at);
        if tally.by_age.is_stale(tally.count) {
            let holds = |slot: &Slot, on| slot.kind() == kind && day(slot.observed_at) == on;
            tally
                .by_age
                .sweep(|at, on| of(at).is_some_and(|slot| holds(slot, on)));
        }
    }

    /// Removes what is kept no longer.
    pub fn expire(&mut self, now: Millis) {
        while let Some((at, _)) = self.ends.pop(Some(now)) {
            if self.slot(at).is_some_and(|slot| slot.until <= now) {
                self.remove(at);
            }
        }
    }

    /// Whether there is room for one more of its kind, once what is over and what was witnessed earlier gave way.
    fn ensure_capacity(&mut self, slot: &Slot, now: Millis) -> bool {
        let (kind, cost) = (slot.kind(), slot.cost());
        let most = self.bounds.of(kind).bytes;
        if cost > most {
            return false;
        }
        if self.kinds[kind as usize].bytes + cost > most {
            self.expire(now);
        }
        while self.kinds[kind as usize].bytes + cost > most {
            let Some((at, witnessed)) = self.oldest(kind) else {
                return false;
            };
            if witnessed > slot.observed_at {
                self.kinds[kind as usize].by_age.note(witnessed, at);
                return false;
            }
            self.remove(at);
        }
        true
    }

    /// Has what is over and then the oldest of a kind give way, after one of them grew.
    fn evict(&mut self, kind: Kind, now: Millis) {
        let most = self.bounds.of(kind).bytes;
        if self.kinds[kind as usize].bytes > most {
            self.expire(now);
        }
        while self.kinds[kind as usize].bytes > most {
            let Some((at, _)) = self.oldest(kind) else {
                return;
            };
            self.remove(at);
        }
    }

    /// Takes the note of the oldest of a kind, to the second, and tells when it was witnessed.
    fn oldest(&mut self, kind: Kind) -> Option<(u32, Millis)> {
        loop {
            let (at, on) = self.kinds[kind as usize].by_age.pop(None)?;
            let slot = self
                .slot(at)
                .filter(|slot| slot.kind() == kind && day(slot.observed_at) <= on);
            if let Some(slot) = slot {
                return Some((at, slot.observed_at));
            }
        }
    }

    /// Has a slot told as a rumour that was told so often already.
    pub fn heat(&mut self, at: u32, announcement: u8) {
        self.cool(at);
        if self.hot.len() >= self.bounds.gossiped_facts {
            // The one that most have heard gives way.
            match self.hot.last() {
                Some((most, _, last)) if *most > announcement => self.cool(*last),
                _ => return,
            };
        }
        self.turns = self.turns.wrapping_add(1);
        if let Some(slot) = self.slots[at as usize].as_mut() {
            slot.gossip_order = Some((announcement, self.turns));
            self.hot.insert((announcement, self.turns, at));
        }
    }

    /// Has it told no more.
    pub fn cool(&mut self, at: u32) -> Option<u8> {
        let slot = self.slots.get_mut(at as usize)?.as_mut()?;
        let (announcement, turn) = slot.gossip_order.take()?;
        self.hot.remove(&(announcement, turn, at));
        Some(announcement)
    }

    /// Rumours, least often told first.
    pub fn hot(&self) -> impl Iterator<Item = (u32, &Slot)> {
        self.hot
            .iter()
            .filter_map(|(_, _, at)| Some((*at, self.slot(*at)?)))
    }

    /// The digest of a stretch.
    pub fn digest(&self, stretch: HashRange) -> u64 {
        self.leaves_of(stretch)
            .iter()
            .fold(0, |all, leaf| all ^ leaf.digest)
    }

    /// All in a stretch.
    pub fn within(&self, stretch: HashRange) -> impl Iterator<Item = &Slot> {
        let slots = self.leaves_of(stretch).iter().flat_map(|leaf| &leaf.slots);
        slots.filter_map(|at| self.slot(*at))
    }

    /// How many are in a stretch.
    pub fn count(&self, stretch: HashRange) -> usize {
        self.leaves_of(stretch)
            .iter()
            .map(|leaf| leaf.slots.len())
            .sum()
    }

    fn leaves_of(&self, stretch: HashRange) -> &[Leaf] {
        let bits = LEAF_BITS - stretch.bits.min(LEAF_BITS);
        let from = ((stretch.prefix as usize) << bits).min(self.leaves.len());
        &self.leaves[from..(from + (1 << bits)).min(self.leaves.len())]
    }
}

fn hash_of(slots: &[Option<Slot>], at: u32, seed: u64) -> u64 {
    slots
        .get(at as usize)
        .and_then(Option::as_ref)
        .map_or(0, |slot| slot.id().hash(seed))
}
