//! The admission queue: order of admission, expiry and eviction.

use std::collections::{BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::fair_scheduler::FairScheduler;
use crate::slab::{EntryIndex, Slab};

/// Size limits of the admission queue, and its division into queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Limit on all entries.
    pub total: QueueSize,
    /// Limit on the entries of one account.
    pub per_account: QueueSize,
    /// Limit on each queue within a class.
    pub per_queue: QueueSize,
    /// Number of queues in each class of an account; at least 1.
    pub queues_per_class: usize,
    /// Number of queues assigned to a client by shuffle sharding; an entry joins the shortest. At
    /// most 16 and at most `queues_per_class`.
    pub hand_size: usize,
}

/// Number of entries and bytes, as a usage or a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueSize {
    /// Number of entries.
    pub entries: usize,
    /// Sum of [`Entry::bytes`].
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            total: QueueSize {
                entries: 4_096,
                bytes: 4 << 20,
            },
            per_account: QueueSize {
                entries: 4_096,
                bytes: 4 << 20,
            },
            per_queue: QueueSize {
                entries: 1_024,
                bytes: 4 << 20,
            },
            queues_per_class: 64,
            hand_size: 4,
        }
    }
}

impl QueueSize {
    /// A limit that is never exceeded.
    pub const UNLIMITED: QueueSize = QueueSize {
        entries: usize::MAX,
        bytes: usize::MAX,
    };

    pub(crate) fn add_entry(&mut self, entry: &Entry) {
        self.entries += 1;
        self.bytes += entry.bytes as usize;
    }

    pub(crate) fn remove_entry(&mut self, entry: &Entry) {
        self.entries -= 1;
        self.bytes -= entry.bytes as usize;
    }

    fn exceeds(&self, limit: &QueueSize) -> bool {
        self.entries > limit.entries || self.bytes > limit.bytes
    }
}

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Id, unique among the queued entries.
    pub id: u64,
    /// Hash of the account's name.
    pub account: u64,
    /// Weight of the account. A value that is not positive and finite counts as 1.
    pub share: f64,
    /// Index of the request class. An unknown index counts as the last class.
    pub class: usize,
    /// Hash of the client or of its group, which selects the queues of the entry.
    pub flow: u64,
    /// Time at which the entry expires.
    pub deadline: Nanos,
    /// Bytes of memory that the entry holds, as the caller counts them.
    pub bytes: u32,
}

/// Maximum number of idle accounts whose recent service is remembered. At this number, the slot of
/// the account that has been idle for longest is reused.
const MAX_IDLE_ACCOUNTS: usize = 1_024;

struct Account {
    id: u64,
    share: f64,
    class_scheduler: FairScheduler,
    /// One scheduler per class, over the queues of the class.
    queue_schedulers: Vec<FairScheduler>,
    size: QueueSize,
    /// Nonempty queues as (length, index in the slab). Evictions take from the queue that sorts last.
    queues_by_length: BTreeSet<(u32, usize)>,
    /// Whether `idle_accounts` contains this account's slot; the account may be active again.
    is_listed_idle: bool,
}

/// A bounded queue that divides permits fairly among accounts, classes and clients.
pub struct AdmissionQueue {
    limits: Limits,
    /// Weight of each class within an account.
    class_weights: Vec<f64>,
    seed: u64,
    account_scheduler: FairScheduler,
    accounts: Vec<Account>,
    slot_by_account: FxHashMap<u64, usize>,
    /// Slots of accounts that became idle, oldest first; some may be active again.
    idle_accounts: VecDeque<usize>,
    slab: Slab,
    index_by_id: FxHashMap<u64, EntryIndex>,
    by_deadline: BTreeSet<(Nanos, u64)>,
    size: QueueSize,
}

impl AdmissionQueue {
    /// Creates an empty queue. `class_weights` are the weights of the classes within an account; a
    /// value that is not positive and finite counts as 1. There is at least one class and one queue.
    pub fn new(class_weights: &[f64], limits: Limits, seed: u64) -> AdmissionQueue {
        let mut class_weights: Vec<f64> = class_weights
            .iter()
            .map(|weight| valid_weight(*weight))
            .collect();
        if class_weights.is_empty() {
            class_weights.push(1.0);
        }
        let queues_per_class = limits.queues_per_class.max(1);
        let limits = Limits {
            queues_per_class,
            hand_size: limits
                .hand_size
                .clamp(1, queues_per_class.min(MAX_HAND_SIZE)),
            ..limits
        };
        AdmissionQueue {
            limits,
            class_weights,
            seed,
            account_scheduler: FairScheduler::new(&[]),
            accounts: Vec::new(),
            slot_by_account: FxHashMap::default(),
            idle_accounts: VecDeque::new(),
            slab: Slab::default(),
            index_by_id: FxHashMap::default(),
            by_deadline: BTreeSet::new(),
            size: QueueSize::default(),
        }
    }

    /// Number of queued entries.
    pub fn len(&self) -> usize {
        self.index_by_id.len()
    }

    /// Whether no entry is queued.
    pub fn is_empty(&self) -> bool {
        self.index_by_id.is_empty()
    }

    /// Number of allocated account slots, including those of idle accounts.
    pub fn account_slots(&self) -> usize {
        self.accounts.len()
    }

    /// Sum of the bytes of all queued entries.
    pub fn bytes(&self) -> usize {
        self.size.bytes
    }

    /// The limits in force, with `queues_per_class` and `hand_size` clamped to their valid ranges.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Number of queued entries of an account.
    pub fn queued_of(&self, account: u64) -> usize {
        self.slot_by_account
            .get(&account)
            .map_or(0, |slot| self.accounts[*slot].size.entries)
    }

    /// Adds an entry. Evicted entries are appended to `evicted`, possibly including the new one. An
    /// entry whose id is already queued is ignored.
    pub fn enqueue(&mut self, mut entry: Entry, evicted: &mut Vec<Entry>) {
        if self.index_by_id.contains_key(&entry.id) {
            return;
        }
        entry.class = entry.class.min(self.class_weights.len() - 1);
        entry.share = valid_weight(entry.share);
        let slot = self.slot_for(&entry);
        let queue = self.queue_for(slot, &entry);
        let index = self.slab.push(queue, entry);
        self.index_by_id.insert(entry.id, index);
        self.by_deadline.insert((entry.deadline, entry.id));
        self.size.add_entry(&entry);
        let account = &mut self.accounts[slot];
        account.size.add_entry(&entry);
        let length = self.slab.queues[queue].size.entries as u32;
        account.queues_by_length.remove(&(length - 1, queue));
        account.queues_by_length.insert((length, queue));
        let class = (queue / self.limits.queues_per_class) % self.class_weights.len();
        account.class_scheduler.activate(class);
        account.queue_schedulers[class].activate(queue % self.limits.queues_per_class);
        self.account_scheduler.activate(slot);
        while self.slab.queues[queue].size.exceeds(&self.limits.per_queue) {
            evicted.extend(
                self.slab
                    .last(queue)
                    .and_then(|index| self.remove_at(index)),
            );
        }
        while self.accounts[slot].size.exceeds(&self.limits.per_account) {
            evicted.extend(
                self.tail_of_longest_queue(slot)
                    .and_then(|index| self.remove_at(index)),
            );
        }
        self.evict_over_total(evicted);
    }

    /// Sets the limits and appends evicted entries to `evicted`. `queues_per_class` and `hand_size`
    /// keep their values.
    pub fn set_limits(&mut self, limits: Limits, evicted: &mut Vec<Entry>) {
        self.limits = Limits {
            queues_per_class: self.limits.queues_per_class,
            hand_size: self.limits.hand_size,
            ..limits
        };
        for queue in 0..self.slab.queues.len() {
            while self.slab.queues[queue].size.exceeds(&self.limits.per_queue) {
                evicted.extend(
                    self.slab
                        .last(queue)
                        .and_then(|index| self.remove_at(index)),
                );
            }
        }
        for slot in 0..self.accounts.len() {
            while self.accounts[slot].size.exceeds(&self.limits.per_account) {
                evicted.extend(
                    self.tail_of_longest_queue(slot)
                        .and_then(|index| self.remove_at(index)),
                );
            }
        }
        self.evict_over_total(evicted);
    }

    /// Evicts entries beyond the total limit, from the longest queue of the account with the most
    /// entries for its share.
    fn evict_over_total(&mut self, evicted: &mut Vec<Entry>) {
        while self.size.exceeds(&self.limits.total) {
            let relative_load = |slot: &usize| {
                let account = &self.accounts[*slot];
                account.size.entries as f64 / account.share
            };
            let most_loaded = (0..self.accounts.len())
                .max_by(|one, other| relative_load(one).total_cmp(&relative_load(other)));
            let Some(index) = most_loaded.and_then(|slot| self.tail_of_longest_queue(slot)) else {
                return;
            };
            evicted.extend(self.remove_at(index));
        }
    }

    /// Removes and returns the entry that gets the next permit.
    pub fn admit(&mut self) -> Option<Entry> {
        let slot = self.account_scheduler.next()?;
        let account = &mut self.accounts[slot];
        let class = account.class_scheduler.next()?;
        let queue = account.queue_schedulers[class].next()?;
        account.class_scheduler.serve(class);
        account.queue_schedulers[class].serve(queue);
        self.account_scheduler.serve(slot);
        let class_count = self.class_weights.len();
        let index = self
            .slab
            .first((slot * class_count + class) * self.limits.queues_per_class + queue)?;
        self.remove_at(index)
    }

    /// Removes and returns the entry with this id.
    pub fn remove(&mut self, id: u64) -> Option<Entry> {
        let index = self.index_by_id.get(&id).copied()?;
        self.remove_at(index)
    }

    /// Removes and returns the expired entry with the earliest deadline.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<Entry> {
        let (_, id) = self
            .by_deadline
            .first()
            .copied()
            .filter(|(deadline, _)| *deadline <= now)?;
        self.remove(id)
    }

    /// Earliest deadline of the queued entries.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Number of permits that the account needs until one more such entry would be admitted. The
    /// estimate counts the account's other queues as if they were as long as the queue of this entry.
    pub fn admission_position(&self, entry: &Entry) -> usize {
        let Some(slot) = self.slot_by_account.get(&entry.account).copied() else {
            return 1;
        };
        let entry = Entry {
            class: entry.class.min(self.class_weights.len() - 1),
            ..*entry
        };
        let own_length = self.slab.queues[self.queue_for(slot, &entry)].size.entries + 1;
        let account = &self.accounts[slot];
        1 + account
            .size
            .entries
            .min(own_length.saturating_mul(account.queues_by_length.len()))
    }

    /// The slot of the entry's account, allocated if necessary. Slots of idle accounts are reused,
    /// so that memory does not grow with every account name.
    fn slot_for(&mut self, entry: &Entry) -> usize {
        let known_slot = self.slot_by_account.get(&entry.account).copied();
        let slot = known_slot.unwrap_or_else(|| match self.reusable_idle_slot() {
            Some(slot) => {
                self.slot_by_account.remove(&self.accounts[slot].id);
                slot
            }
            None => {
                let new_scheduler = || FairScheduler::new(&vec![1.0; self.limits.queues_per_class]);
                self.accounts.push(Account {
                    id: 0,
                    share: 1.0,
                    class_scheduler: FairScheduler::new(&self.class_weights),
                    queue_schedulers: self.class_weights.iter().map(|_| new_scheduler()).collect(),
                    size: QueueSize::default(),
                    queues_by_length: BTreeSet::new(),
                    is_listed_idle: false,
                });
                self.slab
                    .add_queues(self.class_weights.len() * self.limits.queues_per_class);
                self.account_scheduler.add_member(1.0);
                self.accounts.len() - 1
            }
        });
        if known_slot.is_none() {
            self.accounts[slot].id = entry.account;
            self.slot_by_account.insert(entry.account, slot);
        }
        if self.accounts[slot].share != entry.share || known_slot.is_none() {
            self.accounts[slot].share = entry.share;
            self.account_scheduler.set_weight(slot, entry.share);
        }
        slot
    }

    /// Takes the slot of an idle account for reuse.
    fn reusable_idle_slot(&mut self) -> Option<usize> {
        while let Some(slot) = self.idle_accounts.front().copied() {
            let has_entries = self.accounts[slot].size.entries > 0;
            if !has_entries
                && !self.account_scheduler.is_caught_up(slot)
                && self.idle_accounts.len() < MAX_IDLE_ACCOUNTS
            {
                return None;
            }
            self.idle_accounts.pop_front();
            self.accounts[slot].is_listed_idle = false;
            if !has_entries {
                return Some(slot);
            }
        }
        None
    }

    /// Indices of the queues within a class that a flow (a client or group) may use: shuffle
    /// sharding. They are derived from the flow and the seed, so that a client that does not know the
    /// seed cannot choose a name that collides with another, and one name cannot fill all queues.
    pub fn candidate_queues(&self, flow: u64) -> impl Iterator<Item = usize> {
        let mut hash = mix_bits(flow ^ self.seed);
        let mut chosen: [usize; MAX_HAND_SIZE] = [usize::MAX; MAX_HAND_SIZE];
        for position in 0..self.limits.hand_size {
            // Draws without repetition: the index counts only the queues not chosen yet.
            let remaining = (self.limits.queues_per_class - position) as u64;
            let mut choice = (hash % remaining) as usize;
            hash = mix_bits((hash / remaining) ^ self.seed.rotate_left(17));
            let mut sorted = chosen;
            sorted[..position].sort_unstable();
            for other in &sorted[..position] {
                choice += usize::from(choice >= *other);
            }
            chosen[position] = choice;
        }
        chosen.into_iter().take(self.limits.hand_size)
    }

    /// The shortest of the queues that the entry may join.
    fn queue_for(&self, slot: usize, entry: &Entry) -> usize {
        let base = (slot * self.class_weights.len() + entry.class) * self.limits.queues_per_class;
        let shortest = self
            .candidate_queues(entry.flow)
            .min_by_key(|candidate| self.slab.queues[base + candidate].size.entries);
        base + shortest.unwrap_or(0)
    }

    /// The last entry of the account's longest queue.
    fn tail_of_longest_queue(&self, slot: usize) -> Option<EntryIndex> {
        self.slab
            .last(self.accounts[slot].queues_by_length.last()?.1)
    }

    fn remove_at(&mut self, index: EntryIndex) -> Option<Entry> {
        let (entry, queue) = self.slab.remove(index)?;
        self.index_by_id.remove(&entry.id);
        self.by_deadline.remove(&(entry.deadline, entry.id));
        self.size.remove_entry(&entry);
        let class_count = self.class_weights.len();
        let class_index = queue / self.limits.queues_per_class;
        let (slot, class) = (class_index / class_count, class_index % class_count);
        let account = &mut self.accounts[slot];
        account.size.remove_entry(&entry);
        let length = self.slab.queues[queue].size.entries as u32;
        account.queues_by_length.remove(&(length + 1, queue));
        if length > 0 {
            account.queues_by_length.insert((length, queue));
            return Some(entry);
        }
        account.queue_schedulers[class].deactivate(queue % self.limits.queues_per_class);
        if account.queue_schedulers[class].next().is_none() {
            account.class_scheduler.deactivate(class);
        }
        if account.class_scheduler.next().is_none() {
            self.account_scheduler.deactivate(slot);
            if !account.is_listed_idle {
                account.is_listed_idle = true;
                self.idle_accounts.push_back(slot);
            }
        }
        Some(entry)
    }
}

/// Upper limit of [`Limits::hand_size`].
const MAX_HAND_SIZE: usize = 16;

fn valid_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight
    } else {
        1.0
    }
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
