//! The admission order of all clients. Every balancer computes the same order from class, account
//! and group, so that no coordination is needed.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AdmissionRequest, PreviousClients, RecoveryConfig};

/// Limit on the clients that are counted individually; further ones are not counted.
const MAX_COUNTED_CLIENTS: usize = 65_536;
/// Smallest number of clients from which the distribution over classes and accounts is estimated.
const MIN_SAMPLE: usize = 50;

/// The admission order. Positions count the clients of the whole fleet, from 0.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionOrder {
    bands: BTreeMap<usize, Band>,
    total: f64,
    /// Fraction of an account's positions over which the clients of a group are spread.
    group_spread: f64,
}

/// The clients of all classes with one deadline.
#[derive(Clone, Debug, Default)]
struct Band {
    start: f64,
    clients: f64,
    /// By account: its clients, and the number of rounds until all of them are admitted. In each
    /// round every account admits its share.
    accounts: BTreeMap<u64, (f64, f64)>,
    /// In order of the round in which an account ends: that round, the clients of the accounts that
    /// ended before, and the sum of the remaining shares.
    rounds: Vec<(f64, f64, f64)>,
}

/// Clients that asked for admission before the order was computed.
#[derive(Default)]
pub(crate) struct ClientCount {
    keys: BTreeSet<u64>,
    counts: BTreeMap<(usize, u64), f64>,
}

impl ClientCount {
    pub(crate) fn count(&mut self, request: &AdmissionRequest) {
        let key = request.client_key.unwrap_or(request.id);
        if self.keys.len() < MAX_COUNTED_CLIENTS && self.keys.insert(key) {
            *self
                .counts
                .entry((request.class, request.account))
                .or_insert(0.0) += 1.0;
        }
    }

    /// Number of clients that were counted by this process.
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// The distribution over classes and accounts, scaled to a total; empty if the sample is too
    /// small.
    pub(crate) fn scaled_to(&self, total_clients: f64) -> Vec<PreviousClients> {
        if self.keys.len() < MIN_SAMPLE {
            return Vec::new();
        }
        let factor = total_clients / self.keys.len() as f64;
        let scaled = |((class, account), count): (&(usize, u64), &f64)| PreviousClients {
            class: *class,
            account: *account,
            clients: count * factor,
        };
        self.counts.iter().map(scaled).collect()
    }
}

/// A uniformly distributed number from 0 to 1 that is the same at every balancer.
fn uniform_hash(key: u64) -> f64 {
    let mut mixed = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

impl AdmissionOrder {
    /// Computes the order of the previous clients. Without them, `total` clients are in one band.
    pub(crate) fn new(
        config: &RecoveryConfig,
        previous_clients: &[PreviousClients],
        total: f64,
    ) -> AdmissionOrder {
        let mut bands: BTreeMap<usize, Band> = BTreeMap::new();
        for one in previous_clients
            .iter()
            .filter(|one| one.clients.is_finite() && one.clients > 0.0)
        {
            let band = bands.entry(rank(config, one.class)).or_default();
            band.clients += one.clients;
            band.accounts.entry(one.account).or_insert((0.0, 0.0)).0 += one.clients;
        }
        if bands.is_empty() {
            let one = Band {
                clients: total,
                ..Band::default()
            };
            return AdmissionOrder {
                bands: BTreeMap::from([(0, one)]),
                total,
                group_spread: 0.0,
            };
        }
        let mut start = 0.0;
        for band in bands.values_mut() {
            band.start = start;
            start += band.clients;
            band.divide_by_share(config);
        }
        AdmissionOrder {
            bands,
            total: start,
            group_spread: 0.0,
        }
    }

    /// Number of clients in the order.
    pub(crate) fn total_clients(&self) -> f64 {
        self.total
    }

    /// Sets the fraction of an account's positions over which the clients of a group are spread;
    /// limited to 0 to 1.
    pub(crate) fn set_group_spread(&mut self, fraction: f64) {
        self.group_spread = fraction.clamp(0.0, 1.0);
    }

    /// The position of a client. The clients of a group have neighboring positions, or positions
    /// within the group spread.
    pub(crate) fn position(&self, config: &RecoveryConfig, request: &AdmissionRequest) -> f64 {
        let client_hash = uniform_hash(request.client_key.unwrap_or(request.id));
        // Wraps around, so that the positions stay uniformly distributed.
        let quantile = request.group.map_or(client_hash, |group| {
            (uniform_hash(group) + self.group_spread * client_hash).fract()
        });
        let own_rank = rank(config, request.class);
        // A rank without a band comes after the last band of a lower rank.
        match self.bands.range(..=own_rank).next_back() {
            Some((at, band)) if *at == own_rank || self.bands.len() == 1 => {
                band.position(request.account, quantile)
            }
            Some((_, band)) => band.start + band.clients,
            None => 0.0,
        }
    }
}

/// The rank of a class by its deadline, from 0 for the shortest: clients that wait least go first.
/// Classes with equal deadlines share one.
fn rank(config: &RecoveryConfig, class: usize) -> usize {
    let Some(own) = config.classes.get(class).or(config.classes.last()) else {
        return 0;
    };
    config
        .classes
        .iter()
        .filter(|other| other.deadline < own.deadline)
        .count()
}

fn account_share(config: &RecoveryConfig, account: u64) -> f64 {
    config
        .accounts
        .iter()
        .find(|one| one.account == account)
        .map_or(1.0, |one| one.share)
}

impl Band {
    fn divide_by_share(&mut self, config: &RecoveryConfig) {
        let mut ends = Vec::new();
        for (account, (clients, rounds)) in &mut self.accounts {
            let share = account_share(config, *account);
            *rounds = *clients / share;
            ends.push((*rounds, *clients, share));
        }
        ends.sort_by(|one, other| one.0.total_cmp(&other.0));
        let (mut done_clients, mut shares) = (0.0, ends.iter().map(|end| end.2).sum::<f64>());
        for (rounds, clients, share) in ends {
            self.rounds.push((rounds, done_clients, shares));
            done_clients += clients;
            shares = (shares - share).max(0.0);
        }
    }

    /// The position within the band. Clients of an unknown account are spread over all of it.
    fn position(&self, account: u64, quantile: f64) -> f64 {
        let Some((_, rounds)) = self.accounts.get(&account) else {
            return self.start + quantile * self.clients;
        };
        let round = quantile * rounds;
        let at = self
            .rounds
            .partition_point(|(end, ..)| *end <= round)
            .min(self.rounds.len() - 1);
        let (_, done_clients, shares) = self.rounds[at];
        self.start + done_clients + shares * round
    }
}
