//! Whose turn comes when: one order of all clients that every balancer computes alike from a client's class, account and
//! group, so that nobody has to be asked and nobody's promise depends on who gave it.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Arrival, Config, Former};

/// Clients counted one by one before there are turns; more are counted as if they were like these.
const MOST_COUNTED: usize = 65_536;
/// Fewer say nothing of the parts of classes and accounts.
const FEW: usize = 50;

/// The order: turns are counted in clients of the whole fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Order {
    bands: BTreeMap<usize, Band>,
    all: f64,
    /// Part of an account's turns over which those of one group are spread.
    spread: f64,
}

/// The turns of classes of one urgency.
#[derive(Clone, Debug, Default)]
struct Band {
    begins: f64,
    clients: f64,
    /// Of each account: how many, and how long it takes until all of it are in, in rounds of which each gives an
    /// account its share.
    accounts: BTreeMap<u64, (f64, f64)>,
    /// By rounds: clients of the accounts that are all in by then, and the shares of the others.
    rounds: Vec<(f64, f64, f64)>,
}

/// Clients seen before there were turns.
#[derive(Default)]
pub(crate) struct Census {
    keys: BTreeSet<u64>,
    counts: BTreeMap<(usize, u64), f64>,
}

impl Census {
    pub(crate) fn count(&mut self, arrival: &Arrival) {
        let key = arrival.key.unwrap_or(arrival.id);
        if self.keys.len() < MOST_COUNTED && self.keys.insert(key) {
            *self
                .counts
                .entry((arrival.class, arrival.account))
                .or_insert(0.0) += 1.0;
        }
    }

    /// Own clients.
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// As if the fleet had so many, in the same parts; nothing if too few were seen.
    pub(crate) fn scaled_to(&self, all: f64) -> Vec<Former> {
        if self.keys.len() < FEW {
            return Vec::new();
        }
        let factor = all / self.keys.len() as f64;
        let scaled = |((class, account), count): (&(usize, u64), &f64)| Former {
            class: *class,
            account: *account,
            clients: count * factor,
        };
        self.counts.iter().map(scaled).collect()
    }
}

/// A number from 0 to 1 that is the same everywhere.
fn luck(of: u64) -> f64 {
    let mut mixed = of.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

impl Order {
    /// The order of so many clients. Without `former` all of them are in one band.
    pub(crate) fn new(config: &Config, former: &[Former], all: f64) -> Order {
        let mut bands: BTreeMap<usize, Band> = BTreeMap::new();
        for one in former
            .iter()
            .filter(|one| one.clients.is_finite() && one.clients > 0.0)
        {
            let band = bands.entry(rank(config, one.class)).or_default();
            band.clients += one.clients;
            band.accounts.entry(one.account).or_insert((0.0, 0.0)).0 += one.clients;
        }
        if bands.is_empty() {
            let one = Band {
                clients: all,
                ..Band::default()
            };
            return Order {
                bands: BTreeMap::from([(0, one)]),
                all,
                spread: 0.0,
            };
        }
        let mut begins = 0.0;
        for band in bands.values_mut() {
            band.begins = begins;
            begins += band.clients;
            band.share_out(config);
        }
        Order {
            bands,
            all: begins,
            spread: 0.0,
        }
    }

    /// All clients.
    pub(crate) fn all(&self) -> f64 {
        self.all
    }

    /// Turns of one group are spread over that part of its account's.
    pub(crate) fn spread(&mut self, part: f64) {
        self.spread = part.clamp(0.0, 1.0);
    }

    /// Its turn: so many come before it. A group's clients come together, or over the part that is set for them.
    pub(crate) fn turn(&self, config: &Config, arrival: &Arrival) -> f64 {
        let own = luck(arrival.key.unwrap_or(arrival.id));
        // Round and round, so that turns stay even from the first to the last.
        let luck = arrival
            .group
            .map_or(own, |group| (luck(group) + self.spread * own).fract());
        let rank = rank(config, arrival.class);
        // A class that nobody remembers comes behind the last one that is not less urgent.
        match self.bands.range(..=rank).next_back() {
            Some((at, band)) if *at == rank || self.bands.len() == 1 => {
                band.turn(arrival.account, luck)
            }
            Some((_, band)) => band.begins + band.clients,
            None => 0.0,
        }
    }
}

/// A class's place by urgency, 0 the most urgent; equals share one.
fn rank(config: &Config, class: usize) -> usize {
    let Some(own) = config.classes.get(class).or(config.classes.last()) else {
        return 0;
    };
    config
        .classes
        .iter()
        .filter(|other| other.urgency() > own.urgency())
        .count()
}

fn share(config: &Config, account: u64) -> f64 {
    config
        .accounts
        .iter()
        .find(|one| one.account == account)
        .map_or(1.0, |one| one.share)
}

impl Band {
    fn share_out(&mut self, config: &Config) {
        let mut ends = Vec::new();
        for (account, (clients, rounds)) in &mut self.accounts {
            let share = share(config, *account);
            *rounds = *clients / share;
            ends.push((*rounds, *clients, share));
        }
        ends.sort_by(|one, other| one.0.total_cmp(&other.0));
        let (mut done, mut shares) = (0.0, ends.iter().map(|end| end.2).sum::<f64>());
        for (rounds, clients, share) in ends {
            self.rounds.push((rounds, done, shares));
            done += clients;
            shares = (shares - share).max(0.0);
        }
    }

    /// An account that nobody remembers is let in all along the band.
    fn turn(&self, account: u64, luck: f64) -> f64 {
        let Some((_, rounds)) = self.accounts.get(&account) else {
            return self.begins + luck * self.clients;
        };
        let round = luck * rounds;
        let at = self
            .rounds
            .partition_point(|(end, ..)| *end <= round)
            .min(self.rounds.len() - 1);
        let (_, done, shares) = self.rounds[at];
        self.begins + done + shares * round
    }
}
