//! The admission queue: who waits, who is admitted next, and who is shed.

use std::collections::{BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::fair::Fair;
use crate::slab::{Place, Slab};

/// Limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// For all entries.
    pub all: Bound,
    /// For one account.
    pub account: Bound,
    /// For one queue.
    pub queue: Bound,
    /// Queues of one class of one account.
    pub queues: usize,
    /// Queues that a client's entry chooses the shortest of.
    pub choices: usize,
}

/// Entries and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// Entries.
    pub entries: usize,
    /// Bytes of what waits, as the host counts them.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            all: Bound {
                entries: 4_096,
                bytes: 4 << 20,
            },
            account: Bound {
                entries: 4_096,
                bytes: 4 << 20,
            },
            queue: Bound {
                entries: 1_024,
                bytes: 4 << 20,
            },
            queues: 64,
            choices: 4,
        }
    }
}

impl Bound {
    /// No limit.
    pub const NONE: Bound = Bound {
        entries: usize::MAX,
        bytes: usize::MAX,
    };

    pub(crate) fn add(&mut self, entry: &Entry) {
        self.entries += 1;
        self.bytes += entry.bytes as usize;
    }

    pub(crate) fn take(&mut self, entry: &Entry) {
        self.entries -= 1;
        self.bytes -= entry.bytes as usize;
    }

    fn is_over(&self, most: &Bound) -> bool {
        self.entries > most.entries || self.bytes > most.bytes
    }
}

/// An entry of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Its id, unique among the entries that wait.
    pub id: u64,
    /// Hash of its account's name.
    pub account: u64,
    /// Its account's weight. A value that is not positive counts as 1.
    pub share: f64,
    /// Index of its class. An unknown one counts as the last.
    pub class: usize,
    /// Hash of its client or group.
    pub flow: u64,
    /// It expires then.
    pub deadline: Nanos,
    /// Whether its client was rejected before: it goes ahead of others of its account, and is shed
    /// last.
    pub is_returning: bool,
    /// Bytes that wait with it.
    pub bytes: u32,
}

/// Most idle accounts that are remembered, so that their recent service counts.
const MOST_RESTING: usize = 1_024;

struct Account {
    name: u64,
    share: f64,
    among_classes: Fair,
    /// By class.
    among_queues: Vec<Fair>,
    waiting: Bound,
    /// Its nonempty queues by length, returning clients first.
    lengths: BTreeSet<(bool, u32, usize)>,
    /// Whether it is listed as idle; it may be in use again.
    rests: bool,
}

/// The admission queue.
pub struct AdmissionQueue {
    limits: Limits,
    /// Each class's weight within an account; the last one is for returning clients.
    urgencies: Vec<f64>,
    seed: u64,
    among_accounts: Fair,
    accounts: Vec<Account>,
    by_name: FxHashMap<u64, usize>,
    /// Accounts that became idle, the earliest first; some are in use again.
    resting: VecDeque<usize>,
    slab: Slab,
    places: FxHashMap<u64, Place>,
    by_end: BTreeSet<(Nanos, u64)>,
    waiting: Bound,
}

impl AdmissionQueue {
    /// Creates an empty queue. `urgencies` are the weights of the classes within an account; a
    /// value that is not positive counts as 1, and there is at least one class and queue.
    pub fn new(urgencies: &[f64], limits: Limits, seed: u64) -> AdmissionQueue {
        let mut urgencies: Vec<f64> = urgencies.iter().map(|urgency| sound(*urgency)).collect();
        if urgencies.is_empty() {
            urgencies.push(1.0);
        }
        // Returning clients get up to half of their account's permits.
        urgencies.push(urgencies.iter().sum());
        let queues = limits.queues.max(1);
        let limits = Limits {
            queues,
            choices: limits.choices.clamp(1, queues.min(MAX_CHOICES)),
            ..limits
        };
        AdmissionQueue {
            limits,
            urgencies,
            seed,
            among_accounts: Fair::new(&[]),
            accounts: Vec::new(),
            by_name: FxHashMap::default(),
            resting: VecDeque::new(),
            slab: Slab::default(),
            places: FxHashMap::default(),
            by_end: BTreeSet::new(),
            waiting: Bound::default(),
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Number of account slots, including idle ones.
    pub fn places(&self) -> usize {
        self.accounts.len()
    }

    /// Bytes of all entries.
    pub fn bytes(&self) -> usize {
        self.waiting.bytes
    }

    /// The limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Number of an account's entries.
    pub fn waiting_of(&self, account: u64) -> usize {
        self.by_name
            .get(&account)
            .map_or(0, |slot| self.accounts[*slot].waiting.entries)
    }

    /// Adds an entry; `gone` receives those that were shed, which may include it. An entry whose id
    /// is present is ignored.
    pub fn enter(&mut self, mut entry: Entry, gone: &mut Vec<Entry>) {
        if self.places.contains_key(&entry.id) {
            return;
        }
        entry.class = entry.class.min(self.urgencies.len() - 2);
        entry.share = sound(entry.share);
        let slot = self.slot_of(&entry);
        let queue = self.queue_of(slot, &entry);
        let place = self.slab.push(queue, entry);
        self.places.insert(entry.id, place);
        self.by_end.insert((entry.deadline, entry.id));
        self.waiting.add(&entry);
        let account = &mut self.accounts[slot];
        account.waiting.add(&entry);
        let length = self.slab.queues[queue].usage.entries as u32;
        account
            .lengths
            .remove(&(!entry.is_returning, length - 1, queue));
        account.lengths.insert((!entry.is_returning, length, queue));
        let lane = (queue / self.limits.queues) % self.urgencies.len();
        account.among_classes.wants(lane);
        account.among_queues[lane].wants(queue % self.limits.queues);
        self.among_accounts.wants(slot);
        while self.slab.queues[queue].usage.is_over(&self.limits.queue) {
            gone.extend(self.slab.last(queue).and_then(|place| self.take_out(place)));
        }
        while self.accounts[slot].waiting.is_over(&self.limits.account) {
            gone.extend(
                self.last_of_longest(slot)
                    .and_then(|place| self.take_out(place)),
            );
        }
        self.shed(gone);
    }

    /// Changes the limits; `gone` receives those that were shed. The number of queues and choices
    /// stays.
    pub fn limit(&mut self, limits: Limits, gone: &mut Vec<Entry>) {
        self.limits = Limits {
            queues: self.limits.queues,
            choices: self.limits.choices,
            ..limits
        };
        for queue in 0..self.slab.queues.len() {
            while self.slab.queues[queue].usage.is_over(&self.limits.queue) {
                gone.extend(self.slab.last(queue).and_then(|place| self.take_out(place)));
            }
        }
        for slot in 0..self.accounts.len() {
            while self.accounts[slot].waiting.is_over(&self.limits.account) {
                gone.extend(
                    self.last_of_longest(slot)
                        .and_then(|place| self.take_out(place)),
                );
            }
        }
        self.shed(gone);
    }

    /// Sheds entries beyond the total limit, from the longest queue of the account furthest over
    /// its share.
    fn shed(&mut self, gone: &mut Vec<Entry>) {
        while self.waiting.is_over(&self.limits.all) {
            let over = |slot: &usize| {
                let account = &self.accounts[*slot];
                account.waiting.entries as f64 / account.share
            };
            let furthest =
                (0..self.accounts.len()).max_by(|one, other| over(one).total_cmp(&over(other)));
            let Some(place) = furthest.and_then(|slot| self.last_of_longest(slot)) else {
                return;
            };
            gone.extend(self.take_out(place));
        }
    }

    /// Admits the next entry.
    pub fn admit(&mut self) -> Option<Entry> {
        let slot = self.among_accounts.next()?;
        let account = &mut self.accounts[slot];
        let lane = account.among_classes.next()?;
        let queue = account.among_queues[lane].next()?;
        account.among_classes.takes(lane);
        account.among_queues[lane].takes(queue);
        self.among_accounts.takes(slot);
        let lanes = self.urgencies.len();
        let place = self
            .slab
            .first((slot * lanes + lane) * self.limits.queues + queue)?;
        self.take_out(place)
    }

    /// Removes an entry.
    pub fn leave(&mut self, id: u64) -> Option<Entry> {
        let place = self.places.get(&id).copied()?;
        self.take_out(place)
    }

    /// Removes the first entry that has expired.
    pub fn expire(&mut self, now: Nanos) -> Option<Entry> {
        let (_, id) = self
            .by_end
            .first()
            .copied()
            .filter(|(end, _)| *end <= now)?;
        self.leave(id)
    }

    /// When the next entry expires.
    pub fn next_end(&self) -> Option<Nanos> {
        self.by_end.first().map(|(end, _)| *end)
    }

    /// Permits of its account until one more such entry would be admitted, assuming queues as long
    /// as its own.
    pub fn ahead_of(&self, entry: &Entry) -> usize {
        let Some(slot) = self.by_name.get(&entry.account).copied() else {
            return 1;
        };
        let entry = Entry {
            class: entry.class.min(self.urgencies.len() - 2),
            ..*entry
        };
        let own = self.slab.queues[self.queue_of(slot, &entry)].usage.entries + 1;
        let account = &self.accounts[slot];
        1 + account
            .waiting
            .entries
            .min(own.saturating_mul(account.lengths.len()))
    }

    /// The slot of an entry's account, created if necessary. Slots of idle accounts are reused, so
    /// that memory does not grow with every name.
    fn slot_of(&mut self, entry: &Entry) -> usize {
        let known = self.by_name.get(&entry.account).copied();
        let slot = known.unwrap_or_else(|| match self.place_at_rest() {
            Some(slot) => {
                self.by_name.remove(&self.accounts[slot].name);
                slot
            }
            None => {
                let fair = || Fair::new(&vec![1.0; self.limits.queues]);
                self.accounts.push(Account {
                    name: 0,
                    share: 1.0,
                    among_classes: Fair::new(&self.urgencies),
                    among_queues: self.urgencies.iter().map(|_| fair()).collect(),
                    waiting: Bound::default(),
                    lengths: BTreeSet::new(),
                    rests: false,
                });
                self.slab.widen(self.urgencies.len() * self.limits.queues);
                self.among_accounts.join(1.0);
                self.accounts.len() - 1
            }
        });
        if known.is_none() {
            self.accounts[slot].name = entry.account;
            self.by_name.insert(entry.account, slot);
        }
        if self.accounts[slot].share != entry.share || known.is_none() {
            self.accounts[slot].share = entry.share;
            self.among_accounts.weigh(slot, entry.share);
        }
        slot
    }

    /// The slot of an idle account that can be reused.
    fn place_at_rest(&mut self) -> Option<usize> {
        while let Some(slot) = self.resting.front().copied() {
            let waits = self.accounts[slot].waiting.entries > 0;
            if !waits && !self.among_accounts.is_square(slot) && self.resting.len() < MOST_RESTING {
                return None;
            }
            self.resting.pop_front();
            self.accounts[slot].rests = false;
            if !waits {
                return Some(slot);
            }
        }
        None
    }

    /// The queues of its class that a client's entries choose the shortest of (shuffle sharding).
    /// They are derived from its flow and the seed, so that nobody can choose names that collide or
    /// fill all queues under one name.
    pub fn candidate_queues(&self, flow: u64) -> impl Iterator<Item = usize> {
        let mut deck = mixed(flow ^ self.seed);
        let mut dealt: [usize; MAX_CHOICES] = [usize::MAX; MAX_CHOICES];
        for card in 0..self.limits.choices {
            // Without repetition: the k-th of the queues not yet chosen.
            let left = (self.limits.queues - card) as u64;
            let mut pick = (deck % left) as usize;
            deck = mixed((deck / left) ^ self.seed.rotate_left(17));
            let mut sorted = dealt;
            sorted[..card].sort_unstable();
            for other in &sorted[..card] {
                pick += usize::from(pick >= *other);
            }
            dealt[card] = pick;
        }
        dealt.into_iter().take(self.limits.choices)
    }

    /// The queue for an entry.
    fn queue_of(&self, slot: usize, entry: &Entry) -> usize {
        let lane = if entry.is_returning {
            self.urgencies.len() - 1
        } else {
            entry.class
        };
        let base = (slot * self.urgencies.len() + lane) * self.limits.queues;
        let shortest = self
            .candidate_queues(entry.flow)
            .min_by_key(|card| self.slab.queues[base + card].usage.entries);
        base + shortest.unwrap_or(0)
    }

    fn last_of_longest(&self, slot: usize) -> Option<Place> {
        self.slab.last(self.accounts[slot].lengths.last()?.2)
    }

    fn take_out(&mut self, place: Place) -> Option<Entry> {
        let (entry, queue) = self.slab.remove(place)?;
        self.places.remove(&entry.id);
        self.by_end.remove(&(entry.deadline, entry.id));
        self.waiting.take(&entry);
        let lanes = self.urgencies.len();
        let pair = queue / self.limits.queues;
        let (slot, lane) = (pair / lanes, pair % lanes);
        let account = &mut self.accounts[slot];
        account.waiting.take(&entry);
        let length = self.slab.queues[queue].usage.entries as u32;
        account
            .lengths
            .remove(&(!entry.is_returning, length + 1, queue));
        if length > 0 {
            account.lengths.insert((!entry.is_returning, length, queue));
            return Some(entry);
        }
        account.among_queues[lane].rests(queue % self.limits.queues);
        if account.among_queues[lane].next().is_none() {
            account.among_classes.rests(lane);
        }
        if account.among_classes.next().is_none() {
            self.among_accounts.rests(slot);
            if !account.rests {
                account.rests = true;
                self.resting.push_back(slot);
            }
        }
        Some(entry)
    }
}

/// Most choices.
const MAX_CHOICES: usize = 16;

fn sound(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight
    } else {
        1.0
    }
}

/// Spreads a number's bits over all of it.
fn mixed(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
