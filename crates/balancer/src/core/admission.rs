//! Admission control: requests beyond the concurrency limit wait in one fair queue.
//!
//! The queue decides on order and eviction; the policy decides on servers and answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use beaconflow_admission::{
    AccountStatistics, AccountTable, AdmissionQueue, Counts, Entry, Limits, NotAdmitted,
    ShareExcess, ShortestSetup,
};
use beaconflow_policy::{self as policy, Nanos, RequestClass, RequestId};
use beaconflow_settings::{ActiveSettings, digest};
use tracing::{info, warn};

use super::requests::{RequestState, RequestTable};
use super::{ClientRequest, Core, TimerKind};

/// The account of requests that name none.
const DEFAULT_ACCOUNT: &str = "others";

/// Settings of the admission queue and of the accounts' shares.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Limits of the admission queue.
    pub limits: Limits,
    /// Shares by account; they override all others.
    pub shares: HashMap<String, f64>,
    /// Time over its share after which an account is logged.
    pub over_share_after: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig {
            limits: Limits::default(),
            shares: HashMap::new(),
            over_share_after: Duration::from_secs(10),
        }
    }
}

/// A snapshot of the admission queue.
#[derive(Clone, Debug)]
pub struct AdmissionSnapshot {
    /// Number of queued requests.
    pub queued: usize,
    /// Bytes that are buffered for the queued requests.
    pub bytes: usize,
    /// Limits of the admission queue.
    pub limits: Limits,
    /// Every account that has sent a request.
    pub accounts: Vec<AccountSnapshot>,
}

/// A snapshot of one account.
#[derive(Clone, Debug)]
pub struct AccountSnapshot {
    /// Name of the account.
    pub name: String,
    /// Fraction of the service that its share entitles it to, from 0 to 1.
    pub entitled_fraction: f64,
    /// Recent first attempts per second.
    pub admitted_per_s: f64,
    /// Number of queued requests.
    pub queued: usize,
    /// Counters of its requests since the start.
    pub counts: Counts,
    /// Median time to the first attempt, in milliseconds.
    pub wait_p50_ms: u64,
    /// 99th percentile of the time to the first attempt, in milliseconds.
    pub wait_p99_ms: u64,
}

/// The admission queue with its accounts and counters.
pub(super) struct AdmissionControl {
    queue: AdmissionQueue,
    accounts: AccountTable,
    /// Shortest setup times by class.
    fastest_setups: Vec<ShortestSetup>,
    config: AdmissionConfig,
    /// The site's settings, which name classes, accounts and shares.
    active_settings: Arc<ActiveSettings>,
    /// Seed of the queue's shuffle shards, also of a queue that replaces this one.
    seed: u64,
    /// Evicted entries that have not been answered.
    evicted: Vec<Entry>,
    /// When the queue's timer fires, if it is set.
    timer_at: Option<Nanos>,
}

impl AdmissionControl {
    pub(super) fn new(
        active_settings: Arc<ActiveSettings>,
        config: AdmissionConfig,
        seed: u64,
    ) -> AdmissionControl {
        let settings = active_settings.site_settings().policy_settings();
        AdmissionControl {
            queue: AdmissionQueue::new(&queue_weights_of(&settings.classes), config.limits, seed),
            accounts: AccountTable::default(),
            fastest_setups: vec![ShortestSetup::default(); settings.classes.len()],
            config,
            active_settings,
            seed,
            evicted: Vec::new(),
            timer_at: None,
        }
    }

    /// The share of an account: from the operator's file, else its own record, else the site's
    /// settings. An account without any gets the least of the listed ones.
    fn share(&self, client_request: &ClientRequest) -> f64 {
        let account_id = client_request.account.as_deref();
        let configured = || self.config.shares.get(account_id?).copied();
        let listed = || self.active_settings.site_settings().tenant_shares();
        let named = || {
            listed()
                .find(|(name, _)| Some(*name) == account_id)
                .map(|(_, share)| share)
        };
        let min_listed = || listed().map(|(_, share)| share).reduce(f64::min);
        configured()
            .or(client_request.share)
            .or_else(named)
            .or_else(min_listed)
            .unwrap_or(1.0)
    }

    /// The queue entry of a request.
    pub(super) fn entry(
        &self,
        id: u64,
        client_request: &ClientRequest,
        give_up_at: Nanos,
    ) -> Entry {
        let client = client_request
            .client_key
            .or(client_request.group)
            .unwrap_or(id);
        let quickest = self
            .fastest_setups
            .get(client_request.class)
            .map_or(0, ShortestSetup::estimate);
        Entry {
            id,
            account: account_id(client_request),
            share: self.share(client_request),
            class: self.active_settings.current_index(client_request.class),
            // A group of ten thousand sites is one flow and fills no more queues than any other.
            flow: client_request.group.unwrap_or(client),
            deadline: give_up_at.saturating_sub(quickest),
            bytes: u32::try_from(size_of::<RequestState>() + client_request.buffered_bytes)
                .unwrap_or(u32::MAX),
        }
    }

    pub(super) fn count_request(
        &mut self,
        now: Nanos,
        client_request: &ClientRequest,
        entry: &Entry,
    ) {
        let name = client_request.account.as_deref().unwrap_or(DEFAULT_ACCOUNT);
        self.accounts
            .record_request(now, entry.account, name, entry.share);
    }

    pub(super) fn enqueue(&mut self, entry: Entry) {
        self.queue.enqueue(entry, &mut self.evicted);
    }

    /// Removes a request that was answered or left.
    pub(super) fn remove(&mut self, id: u64) {
        self.queue.remove(id);
    }

    pub(super) fn count_admitted(&mut self, now: Nanos, entry: &Entry, waited: Nanos) {
        self.accounts.record_admission(now, entry.account, waited);
    }

    pub(super) fn count_not_admitted(&mut self, entry: &Entry, reason: NotAdmitted) {
        self.accounts.record_not_admitted(entry.account, reason);
    }

    pub(super) fn record_setup(&mut self, class: usize, duration: Nanos) {
        if let Some(fastest) = self.fastest_setups.get_mut(class) {
            fastest.record(duration);
        }
    }

    /// Applies changed settings of the queue; the number of queues stays.
    pub(super) fn configure(&mut self, config: AdmissionConfig) {
        self.queue.set_limits(config.limits, &mut self.evicted);
        self.config = config;
    }

    /// Applies replaced site settings. Queued requests keep their order in a queue for the new
    /// classes and shares.
    pub(super) fn replace_settings(
        &mut self,
        active_settings: &Arc<ActiveSettings>,
        requests: &mut RequestTable,
    ) {
        let previous = std::mem::replace(&mut self.active_settings, Arc::clone(active_settings));
        let classes = active_settings.policy_settings().classes.len();
        self.fastest_setups
            .resize_with(classes, ShortestSetup::default);
        if previous
            .site_settings()
            .has_same_queue(active_settings.site_settings())
        {
            return;
        }
        requests.update_queue_entries(|client_request, entry| Entry {
            share: self.share(client_request),
            class: active_settings.current_index(client_request.class),
            ..entry
        });
        let queue_weights =
            queue_weights_of(&active_settings.site_settings().policy_settings().classes);
        let queue = AdmissionQueue::new(&queue_weights, self.queue.limits(), self.seed);
        let mut previous_queue = std::mem::replace(&mut self.queue, queue);
        while let Some(queued) = previous_queue.admit() {
            if let Some(request_state) = requests.get(queued.id) {
                self.enqueue(request_state.entry);
            }
        }
        requests
            .queue_entries()
            .for_each(|entry| self.accounts.set_share(entry.account, entry.share));
    }

    /// Number of queued requests.
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn snapshot(&self, now: Nanos) -> AdmissionSnapshot {
        let accounts = self.accounts.sorted_by_name();
        let snapshot_of = |(id, statistics): &(u64, &AccountStatistics)| AccountSnapshot {
            name: statistics.name.clone().into(),
            entitled_fraction: self.accounts.entitled_fraction(*id),
            admitted_per_s: statistics.admitted_per_s(now),
            queued: self.queue.queued_of(*id),
            counts: statistics.counts,
            wait_p50_ms: statistics.wait_ms.value_at_quantile(0.5),
            wait_p99_ms: statistics.wait_ms.value_at_quantile(0.99),
        };
        AdmissionSnapshot {
            queued: self.queue.len(),
            bytes: self.queue.bytes(),
            limits: self.queue.limits(),
            accounts: accounts.iter().map(snapshot_of).collect(),
        }
    }
}

/// Weights of the classes in the admission queue, by the index of the class.
fn queue_weights_of(classes: &[RequestClass]) -> Vec<f64> {
    classes.iter().map(RequestClass::queue_weight).collect()
}

/// Digest of the account's name; 0 for requests that name none.
fn account_id(client_request: &ClientRequest) -> u64 {
    client_request.account.as_deref().map_or(0, digest)
}

impl Core {
    /// Grants permits to queued requests while the policy has any; rejects evicted and expired
    /// ones.
    pub(super) fn grant_permits(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(entry) = self.admission.evicted.pop() {
                self.reject_queued(now, &entry);
            } else if let Some(entry) = self.admission.queue.pop_expired(now) {
                self.requests.expire_in_queue(entry.id);
                self.reject_queued(now, &entry);
            } else if self.policy.has_permits()
                && let Some(entry) = self.admission.queue.admit()
            {
                self.run_policy_without_permits(policy::Event::PermitGranted(RequestId(entry.id)));
            } else {
                break;
            }
        }
        let expires_at = self.admission.queue.next_deadline();
        if let Some(expires_at) = expires_at.filter(|expires_at| {
            self.admission
                .timer_at
                .is_none_or(|timer_at| *expires_at < timer_at)
        }) {
            self.admission.timer_at = Some(expires_at);
            self.set_timer(
                Duration::from_nanos(expires_at.saturating_sub(self.clock.now())),
                TimerKind::QueueExpiry,
            );
        }
    }

    fn reject_queued(&mut self, now: Nanos, entry: &Entry) {
        let queue_drain_time = self.admission.accounts.drain_time(
            now,
            entry.account,
            self.admission.queue.admission_position(entry),
        );
        self.run_policy_without_permits(policy::Event::QueueRejected {
            request: RequestId(entry.id),
            queue_drain_time,
        });
    }

    /// Handles the queue's timer.
    pub(super) fn on_queue_timer(&mut self) {
        self.admission.timer_at = None;
        self.grant_permits();
    }

    /// Logs accounts that have been over their share for long, and their return.
    pub(super) fn log_over_share(&mut self) {
        let min_duration = self.admission.config.over_share_after;
        let min_duration = Nanos::try_from(min_duration.as_nanos()).unwrap_or(Nanos::MAX);
        for ShareExcess {
            name,
            fraction,
            entitled_fraction,
            duration,
        } in self
            .admission
            .accounts
            .check_shares(self.clock.now(), min_duration)
        {
            let (fraction_text, entitled_text) = (
                format!("{:.0}%", fraction * 100.0),
                format!("{:.0}%", entitled_fraction * 100.0),
            );
            match duration {
                Some(duration_ns) => {
                    let for_s = duration_ns / 1_000_000_000;
                    warn!(part = self.name, account = %name, of_all = fraction_text, due = entitled_text, for_s, "account exceeds its quota");
                }
                None => {
                    info!(part = self.name, account = %name, of_all = fraction_text, due = entitled_text, "account is within its quota again")
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
