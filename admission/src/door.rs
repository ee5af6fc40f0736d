//! The door: who waits, whose turn it is, and who gives way.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::fair::Fair;
use crate::slab::{Place, Slab};

/// An account, in the order of the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Account {
    /// Its part of the service, against the other accounts'.
    pub share: f64,
}

/// A class, in the order of the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Its part of an account's turns, against the other classes'.
    pub urgency: f64,
}

/// What the door holds at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Entries in all.
    pub most: usize,
    /// Entries of one account.
    pub most_of_account: usize,
    /// Entries of one queue.
    pub most_of_queue: usize,
    /// Queues of one class of one account.
    pub queues: usize,
    /// Queues among which a client's entry takes the shortest.
    pub hand: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { most: 4_096, most_of_account: 4_096, most_of_queue: 1_024, queues: 64, hand: 4 }
    }
}

/// Who waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its number; nobody else who waits has it.
    pub id: u64,
    /// Its account, by place. One that is not known counts as the last.
    pub account: usize,
    /// Its class, by place. One that is not known counts as the last.
    pub class: usize,
    /// A hash of its client or group.
    pub flow: u64,
    /// It is of no use after this.
    pub give_up_at: Nanos,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entered {
    /// It waits.
    Waits,
    /// It waits, and this one, which may be itself, gave way.
    GaveWay(Entry),
}

/// The door.
pub struct Door {
    accounts: Vec<Account>,
    limits: Limits,
    classes: usize,
    seed: u64,
    among_accounts: Fair,
    /// For each account.
    among_classes: Vec<Fair>,
    /// For each class of each account.
    among_queues: Vec<Fair>,
    slab: Slab,
    places: FxHashMap<u64, Place>,
    by_end: BTreeSet<(Nanos, u64)>,
    /// Entries of each account.
    of_account: Vec<usize>,
    /// Each account's queues by length, the empty ones left out.
    lengths: Vec<BTreeSet<(u32, usize)>>,
}

impl Door {
    /// A door without a line. There is at least one account, class and queue; a share or urgency that is no number
    /// above 0 counts as 1.
    pub fn new(accounts: Vec<Account>, classes: Vec<Class>, limits: Limits, seed: u64) -> Door {
        let sound = |weight: f64| if weight.is_finite() && weight > 0.0 { weight } else { 1.0 };
        let mut accounts: Vec<Account> =
            accounts.into_iter().map(|account| Account { share: sound(account.share) }).collect();
        if accounts.is_empty() {
            accounts.push(Account { share: 1.0 });
        }
        let mut urgencies: Vec<f64> = classes.iter().map(|class| sound(class.urgency)).collect();
        if urgencies.is_empty() {
            urgencies.push(1.0);
        }
        let queues = limits.queues.max(1);
        let limits =
            Limits { queues, hand: limits.hand.clamp(1, queues), most: limits.most.max(1), ..limits };
        let (count, classes) = (accounts.len(), urgencies.len());
        Door {
            among_accounts: Fair::new(accounts.iter().map(|account| account.share).collect()),
            among_classes: (0..count).map(|_| Fair::new(urgencies.clone())).collect(),
            among_queues: (0..count * classes).map(|_| Fair::new(vec![1.0; queues])).collect(),
            slab: Slab::new(count * classes * queues),
            places: FxHashMap::default(),
            by_end: BTreeSet::new(),
            of_account: vec![0; count],
            lengths: vec![BTreeSet::new(); count],
            accounts,
            limits,
            classes,
            seed,
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// How many of an account wait.
    pub fn waiting_of(&self, account: usize) -> usize {
        self.of_account.get(account).copied().unwrap_or(0)
    }

    /// Lets somebody in who waits from now on. One whose number waits already is left as it is.
    pub fn enter(&mut self, mut entry: Entry) -> Entered {
        if self.places.contains_key(&entry.id) {
            return Entered::Waits;
        }
        entry.account = entry.account.min(self.accounts.len() - 1);
        entry.class = entry.class.min(self.classes - 1);
        let queue = self.queue_of(&entry);
        let place = self.slab.push(queue, entry);
        self.places.insert(entry.id, place);
        self.by_end.insert((entry.give_up_at, entry.id));
        self.of_account[entry.account] += 1;
        self.relength(entry.account, queue, self.slab.queues[queue].length - 1);
        self.among_accounts.wants(entry.account);
        self.among_classes[entry.account].wants(entry.class);
        self.among_queues[queue / self.limits.queues].wants(queue % self.limits.queues);
        match self.gives_way(entry.account, queue) {
            Some(place) => self.take_out(place).map_or(Entered::Waits, Entered::GaveWay),
            None => Entered::Waits,
        }
    }

    /// Whose turn it is; it waits no more.
    pub fn admit(&mut self) -> Option<Entry> {
        let account = self.among_accounts.next()?;
        let class = self.among_classes[account].next()?;
        let pair = account * self.classes + class;
        let queue = self.among_queues[pair].next()?;
        let place = self.slab.first(pair * self.limits.queues + queue)?;
        self.among_accounts.takes(account);
        self.among_classes[account].takes(class);
        self.among_queues[pair].takes(queue);
        self.take_out(place)
    }

    /// Somebody waits no more.
    pub fn leave(&mut self, id: u64) -> Option<Entry> {
        let place = self.places.get(&id).copied()?;
        self.take_out(place)
    }

    /// Takes out those who are of no use at that moment, the first to end first.
    pub fn expire(&mut self, now: Nanos) -> Vec<Entry> {
        let mut gone = Vec::new();
        while let Some((_, id)) = self.by_end.first().copied().filter(|(end, _)| *end <= now) {
            match self.leave(id) {
                Some(entry) => gone.push(entry),
                None => drop(self.by_end.pop_first()),
            }
        }
        gone
    }

    /// When the next one is of no use any more.
    pub fn next_end(&self) -> Option<Nanos> {
        self.by_end.first().map(|(end, _)| *end)
    }

    /// The queue that an entry goes to: the shortest of a hand that its flow is dealt. The deal is keyed by the seed.
    /// Guards against names that are chosen to meet in one queue, and against one loud name that fills all of them.
    fn queue_of(&self, entry: &Entry) -> usize {
        let base = (entry.account * self.classes + entry.class) * self.limits.queues;
        let mut deck = mixed(entry.flow ^ self.seed);
        let mut best = None;
        let mut dealt: [usize; MOST_HAND] = [usize::MAX; MOST_HAND];
        for card in 0..self.limits.hand.min(MOST_HAND) {
            // Without repeats, as cards are dealt: the k-th of those not dealt yet.
            let left = (self.limits.queues - card) as u64;
            let mut pick = (deck % left) as usize;
            deck = mixed((deck / left) ^ self.seed.rotate_left(17));
            let mut sorted = dealt;
            sorted[..card].sort_unstable();
            for other in &sorted[..card] {
                pick += usize::from(pick >= *other);
            }
            dealt[card] = pick;
            let length = self.slab.queues[base + pick].length;
            if best.is_none_or(|(least, _)| length < least) {
                best = Some((length, base + pick));
            }
        }
        best.map_or(base, |(_, queue)| queue)
    }

    /// Who gives way now that one more waits: the last of a queue that is too long, else of the longest queue of an
    /// account that has too many, else of the account furthest over its share.
    fn gives_way(&self, account: usize, queue: usize) -> Option<Place> {
        if self.slab.queues[queue].length as usize > self.limits.most_of_queue {
            return self.slab.last(queue);
        }
        if self.of_account[account] > self.limits.most_of_account {
            return self.last_of_longest(account);
        }
        if self.places.len() <= self.limits.most {
            return None;
        }
        let over = |account: &usize| self.of_account[*account] as f64 / self.accounts[*account].share;
        let furthest = (0..self.accounts.len()).max_by(|one, other| over(one).total_cmp(&over(other)))?;
        self.last_of_longest(furthest)
    }

    fn last_of_longest(&self, account: usize) -> Option<Place> {
        self.slab.last(self.lengths[account].last()?.1)
    }

    fn take_out(&mut self, place: Place) -> Option<Entry> {
        let (entry, queue) = self.slab.remove(place)?;
        self.places.remove(&entry.id);
        self.by_end.remove(&(entry.give_up_at, entry.id));
        self.of_account[entry.account] -= 1;
        self.relength(entry.account, queue, self.slab.queues[queue].length + 1);
        if self.slab.queues[queue].length == 0 {
            let pair = queue / self.limits.queues;
            self.among_queues[pair].rests(queue % self.limits.queues);
            if self.among_queues[pair].next().is_none() {
                self.among_classes[entry.account].rests(entry.class);
            }
            if self.among_classes[entry.account].next().is_none() {
                self.among_accounts.rests(entry.account);
            }
        }
        Some(entry)
    }

    /// Books that a queue's length is another one than before.
    fn relength(&mut self, account: usize, queue: usize, before: u32) {
        let lengths = &mut self.lengths[account];
        lengths.remove(&(before, queue));
        let now = self.slab.queues[queue].length;
        if now > 0 {
            lengths.insert((now, queue));
        }
    }
}

/// Largest hand.
const MOST_HAND: usize = 16;

/// Spreads a number's bits over all of it.
fn mixed(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
