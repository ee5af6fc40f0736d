//! Admission: transactions that have to wait for a set-up wait at the door, and nowhere else.
//!
//! The order and who gives way are the door's; where a transaction goes and how it is answered are the module's.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use beaconflow_admission::{
    Counts, Door, Entry, Limits, Miss, OverShare, Quickest, Returning, Tallies, Tally,
};
use beaconflow_policy::{self as policy, Nanos, RequestClass, RequestId};
use beaconflow_settings::{InForce, digest};
use tracing::{info, warn};

use super::ledger::{Ledger, Transaction};
use super::{Core, Due, Opening};

/// The account of those who belong to none.
const OTHERS: &str = "others";

/// How far the door goes, and what the accounts' shares are where their own settings don't say.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// What it holds at most.
    pub limits: Limits,
    /// Shares by the account's name; these go before all others.
    pub shares: HashMap<String, f64>,
    /// An account that is over its share for longer than this is told of.
    pub over_share: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            limits: Limits::default(),
            shares: HashMap::new(),
            over_share: Duration::from_secs(10),
        }
    }
}

/// The door as people see it.
#[derive(Clone, Debug)]
pub struct DoorLook {
    /// Entries that wait.
    pub waiting: usize,
    /// Their bytes.
    pub bytes: usize,
    /// What it holds at most.
    pub limits: Limits,
    /// Each account that has asked, by name.
    pub accounts: Vec<AccountLook>,
}

/// One account as people see it.
#[derive(Clone, Debug)]
pub struct AccountLook {
    /// Its name.
    pub name: String,
    /// Its part of the service by the shares of all, from 0 to 1.
    pub due: f64,
    /// First attempts a second, lately.
    pub per_second: f64,
    /// Entries that wait.
    pub waiting: usize,
    /// What came of its requests.
    pub counts: Counts,
    /// Time to the first attempt, median, in milliseconds.
    pub wait_p50_ms: u64,
    /// The same, 99th percentile.
    pub wait_p99_ms: u64,
}

/// The line, who stands in it, and what came of it.
pub(super) struct Gate {
    door: Door,
    tallies: Tallies,
    returning: Returning,
    /// By class.
    quickest: Vec<Quickest>,
    config: Config,
    /// The settings of the site: they name classes, and accounts with their shares.
    in_force: Arc<InForce>,
    /// For the deals of hands, also of a queue that takes this one's place.
    seed: u64,
    /// Those that gave way and have not been answered.
    gone: Vec<Entry>,
    /// When the next one's time is up, if that moment has been set.
    wakes_at: Option<Nanos>,
}

impl Gate {
    pub(super) fn new(in_force: Arc<InForce>, config: Config, seed: u64) -> Gate {
        let settings = in_force.setup().module();
        Gate {
            door: Door::new(&urgencies(&settings.classes), config.limits, seed),
            tallies: Tallies::default(),
            returning: Returning::default(),
            quickest: vec![Quickest::default(); settings.classes.len()],
            config,
            in_force,
            seed,
            gone: Vec::new(),
            wakes_at: None,
        }
    }

    /// An account's share: what the operator's file says, else its own record, else the settings of the site. One of
    /// which nobody says anything has the least of those listed.
    fn share(&self, opening: &Opening) -> f64 {
        let account = opening.account.as_deref();
        let configured = || self.config.shares.get(account?).copied();
        let listed = || self.in_force.setup().shares();
        let named = || {
            listed()
                .find(|(name, _)| Some(*name) == account)
                .map(|(_, share)| share)
        };
        let least = || listed().map(|(_, share)| share).reduce(f64::min);
        configured()
            .or(opening.share)
            .or_else(named)
            .or_else(least)
            .unwrap_or(1.0)
    }

    /// What the line is told of a transaction.
    pub(super) fn entry(
        &mut self,
        id: u64,
        opening: &Opening,
        give_up_at: Nanos,
        now: Nanos,
    ) -> Entry {
        let client = opening.key.or(opening.group).unwrap_or(id);
        // The word is made good also where the client says itself that it returns.
        let known = opening
            .key
            .is_some_and(|key| self.returning.comes(now, key));
        let quickest = self.quickest.get(opening.class).map_or(0, Quickest::get);
        Entry {
            id,
            account: account(opening),
            share: self.share(opening),
            class: self.in_force.place(opening.class),
            // A group of ten thousand sites is one name: it fills no more queues than any other.
            flow: opening.group.unwrap_or(client),
            give_up_at: give_up_at.saturating_sub(quickest),
            returns: known || opening.again,
            bytes: u32::try_from(size_of::<Transaction>() + opening.bytes).unwrap_or(u32::MAX),
        }
    }

    pub(super) fn asked(&mut self, now: Nanos, opening: &Opening, entry: &Entry) {
        let name = opening.account.as_deref().unwrap_or(OTHERS);
        self.tallies.asked(now, entry.account, name, entry.share);
    }

    pub(super) fn wait(&mut self, entry: Entry) {
        self.door.enter(entry, &mut self.gone);
    }

    /// Whoever has been answered or has left waits no more.
    pub(super) fn leave(&mut self, id: u64) {
        self.door.leave(id);
    }

    pub(super) fn admitted(&mut self, now: Nanos, entry: &Entry, waited: Nanos) {
        self.tallies.admitted(now, entry.account, waited);
    }

    pub(super) fn missed(&mut self, entry: &Entry, how: Miss) {
        self.tallies.missed(entry.account, how);
    }

    pub(super) fn stands(&mut self, class: usize, took: Nanos) {
        if let Some(quickest) = self.quickest.get_mut(class) {
            quickest.took(took);
        }
    }

    pub(super) fn told_to_move(&mut self, now: Nanos, client: u64) {
        self.returning.told(now, client);
    }

    /// Another file's word, from now on; queues and hands stay as they are.
    pub(super) fn configure(&mut self, config: Config) {
        self.door.limit(config.limits, &mut self.gone);
        self.config = config;
    }

    /// Other settings of the site are in force from now on: whoever waits goes on waiting, in the same order, in a queue
    /// of their classes and shares.
    pub(super) fn replace_settings(&mut self, in_force: &Arc<InForce>, ledger: &mut Ledger) {
        let before = std::mem::replace(&mut self.in_force, Arc::clone(in_force));
        let classes = in_force.module().classes.len();
        self.quickest.resize_with(classes, Quickest::default);
        if before.setup().queues_as(in_force.setup()) {
            return;
        }
        ledger.rebook(|opening, entry| Entry {
            share: self.share(opening),
            class: in_force.place(opening.class),
            ..entry
        });
        let urgencies = urgencies(&in_force.setup().module().classes);
        let door = Door::new(&urgencies, self.door.limits(), self.seed);
        let mut before = std::mem::replace(&mut self.door, door);
        while let Some(waits) = before.admit() {
            if let Some(transaction) = ledger.get(waits.id) {
                self.wait(transaction.entry);
            }
        }
        ledger
            .entries()
            .for_each(|entry| self.tallies.weigh(entry.account, entry.share));
    }

    /// How many wait.
    pub(super) fn waiting(&self) -> usize {
        self.door.len()
    }

    pub(super) fn look(&self, now: Nanos) -> DoorLook {
        let all = self.tallies.all();
        let row = |(id, tally): &(u64, &Tally)| AccountLook {
            name: tally.name.clone().into(),
            due: self.tallies.due(*id),
            per_second: tally.per_second(now),
            waiting: self.door.waiting_of(*id),
            counts: tally.counts,
            wait_p50_ms: tally.waits.value_at_quantile(0.5),
            wait_p99_ms: tally.waits.value_at_quantile(0.99),
        };
        DoorLook {
            waiting: self.door.len(),
            bytes: self.door.bytes(),
            limits: self.door.limits(),
            accounts: all.iter().map(row).collect(),
        }
    }
}

/// The classes' parts of the turns of the admission queue.
fn urgencies(classes: &[RequestClass]) -> Vec<f64> {
    classes.iter().map(RequestClass::queue_weight).collect()
}

/// An account by number.
fn account(opening: &Opening) -> u64 {
    opening.account.as_deref().map_or(0, digest)
}

impl Core {
    /// Gives turns to those who wait, as long as the module has any; answers those who gave way and those whose time
    /// is up.
    pub(super) fn give_turns(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(entry) = self.gate.gone.pop() {
                self.turn_away(now, &entry);
            } else if let Some(entry) = self.gate.door.expire(now) {
                self.ledger.late(entry.id);
                self.turn_away(now, &entry);
            } else if self.balancer.has_permits()
                && let Some(entry) = self.gate.door.admit()
            {
                self.handle(policy::Event::PermitGranted(RequestId(entry.id)));
            } else {
                break;
            }
        }
        let end = self.gate.door.next_end();
        if let Some(end) = end.filter(|end| self.gate.wakes_at.is_none_or(|wakes| *end < wakes)) {
            self.gate.wakes_at = Some(end);
            self.wake(
                Duration::from_nanos(end.saturating_sub(self.clock.now())),
                Due::Door,
            );
        }
    }

    fn turn_away(&mut self, now: Nanos, entry: &Entry) {
        let queue_drain_time =
            self.gate
                .tallies
                .drain(now, entry.account, self.gate.door.ahead_of(entry));
        self.handle(policy::Event::QueueRejected {
            request: RequestId(entry.id),
            queue_drain_time,
        });
    }

    /// Somebody's time may be up.
    pub(super) fn door_is_due(&mut self) {
        self.gate.wakes_at = None;
        self.give_turns();
    }

    /// Tells of accounts that are over their shares for long, and of their return.
    pub(super) fn tell_over_share(&mut self) {
        let bound = self.gate.config.over_share;
        let bound = Nanos::try_from(bound.as_nanos()).unwrap_or(Nanos::MAX);
        for OverShare {
            name,
            part,
            due,
            lasts,
        } in self.gate.tallies.over_share(self.clock.now(), bound)
        {
            let (part, due) = (
                format!("{:.0}%", part * 100.0),
                format!("{:.0}%", due * 100.0),
            );
            match lasts {
                Some(lasts) => {
                    let for_s = lasts / 1_000_000_000;
                    warn!(part = self.name, account = %name, of_all = part, due, for_s, "account over its share");
                }
                None => {
                    info!(part = self.name, account = %name, of_all = part, due, "account within its share")
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
