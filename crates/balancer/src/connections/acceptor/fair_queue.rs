//! A bounded queue that serves its accounts in turn.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Entries by account. Of one account at most one entry is in progress, so that many entries of one
/// account delay another account by one entry at most.
pub(super) struct FairQueue<T> {
    queued: BTreeMap<String, VecDeque<T>>,
    /// The accounts with queued entries, the next one first.
    rotation: VecDeque<String>,
    in_progress: BTreeSet<String>,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> FairQueue<T> {
        FairQueue {
            queued: BTreeMap::new(),
            rotation: VecDeque::new(),
            in_progress: BTreeSet::new(),
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Whether no entry is queued or in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.len == 0 && self.in_progress.is_empty()
    }

    /// Adds an entry. If the queue holds `max_len` entries, returns the one that gives way: the
    /// newest of the account with the most entries, which may be the added one.
    pub(super) fn push(&mut self, account: &str, entry: T, max_len: usize) -> Option<T> {
        let evicted = if self.len < max_len {
            None
        } else {
            let own_len = self.queued.get(account).map_or(0, VecDeque::len);
            match self.longest_account().filter(|(_, len)| *len > own_len + 1) {
                Some((longest, _)) => self.pop_newest(&longest),
                None => return Some(entry),
            }
        };
        if !self.queued.contains_key(account) {
            self.rotation.push_back(account.to_owned());
        }
        self.queued
            .entry(account.to_owned())
            .or_default()
            .push_back(entry);
        self.len += 1;
        evicted
    }

    /// Takes the oldest entry of the next account that has none in progress. The account is in
    /// progress until [`FairQueue::finish`].
    pub(super) fn pop(&mut self) -> Option<(String, T)> {
        let index = self
            .rotation
            .iter()
            .position(|account| !self.in_progress.contains(account))?;
        let account = self.rotation.remove(index)?;
        let entries = self.queued.get_mut(&account)?;
        let entry = entries.pop_front()?;
        self.len -= 1;
        if entries.is_empty() {
            self.queued.remove(&account);
        } else {
            self.rotation.push_back(account.clone());
        }
        self.in_progress.insert(account.clone());
        Some((account, entry))
    }

    /// Ends the progress of an account's entry.
    pub(super) fn finish(&mut self, account: &str) {
        self.in_progress.remove(account);
    }

    /// Drops the queued entries that `keep` does not keep.
    pub(super) fn retain(&mut self, mut keep: impl FnMut(&mut T) -> bool) {
        self.queued.retain(|_, entries| {
            entries.retain_mut(&mut keep);
            !entries.is_empty()
        });
        self.len = self.queued.values().map(VecDeque::len).sum();
        let queued = &self.queued;
        self.rotation.retain(|account| queued.contains_key(account));
    }

    fn longest_account(&self) -> Option<(String, usize)> {
        let longest = self.queued.iter().max_by_key(|(_, entries)| entries.len());
        longest.map(|(account, entries)| (account.clone(), entries.len()))
    }

    fn pop_newest(&mut self, account: &str) -> Option<T> {
        let entries = self.queued.get_mut(account)?;
        let entry = entries.pop_back()?;
        self.len -= 1;
        if entries.is_empty() {
            self.queued.remove(account);
            self.rotation.retain(|queued| queued != account);
        }
        Some(entry)
    }
}

#[cfg(test)]
mod tests;
