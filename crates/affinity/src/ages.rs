//! Indexes entries by the time at which they were last seen, with ended and established ones apart.

use std::collections::BTreeMap;

use crate::entry::{Entry, NO_ID};

/// Buckets into which the TTL is divided; entries of one bucket count as equally old.
const BUCKETS_PER_TTL: u32 = 1_024;

pub(crate) struct AgeIndex {
    /// Width of a bucket in seconds.
    bucket_s: u32,
    ended: BTreeMap<u32, u32>,
    established: BTreeMap<u32, u32>,
}

/// Order of eviction, lowest first: ended before established, then by age.
pub(crate) type RetentionRank = (bool, u32);

impl AgeIndex {
    pub(crate) fn with_ttl(ttl_s: u32) -> AgeIndex {
        AgeIndex {
            bucket_s: (ttl_s / BUCKETS_PER_TTL).max(1),
            ended: BTreeMap::new(),
            established: BTreeMap::new(),
        }
    }

    pub(crate) fn retention_rank(&self, is_established: bool, seen_s: u32) -> RetentionRank {
        (is_established, seen_s / self.bucket_s)
    }

    fn buckets(&mut self, is_established: bool) -> &mut BTreeMap<u32, u32> {
        if is_established {
            &mut self.established
        } else {
            &mut self.ended
        }
    }

    pub(crate) fn insert(&mut self, entries: &mut [Entry], id: u32) {
        let (is_established, bucket) = self.retention_rank(
            entries[id as usize].is_established(),
            entries[id as usize].seen_s,
        );
        let head = self
            .buckets(is_established)
            .insert(bucket, id)
            .unwrap_or(NO_ID);
        entries[id as usize].set_prev(NO_ID);
        entries[id as usize].set_next(head);
        if head != NO_ID {
            entries[head as usize].set_prev(id);
        }
    }

    pub(crate) fn remove(&mut self, entries: &mut [Entry], id: u32) {
        let entry = entries[id as usize];
        let (prev, next) = (entry.prev(), entry.next());
        if next != NO_ID {
            entries[next as usize].set_prev(prev);
        }
        if prev != NO_ID {
            entries[prev as usize].set_next(next);
            return;
        }
        let (is_established, bucket) = self.retention_rank(entry.is_established(), entry.seen_s);
        let buckets = self.buckets(is_established);
        if next == NO_ID {
            buckets.remove(&bucket);
        } else {
            buckets.insert(bucket, next);
        }
    }

    /// The entry to evict first: the one that ended longest ago, or if none has ended, the
    /// established one not seen for longest.
    pub(crate) fn eviction_candidate(&self) -> Option<(RetentionRank, u32)> {
        let first = |buckets: &BTreeMap<u32, u32>, is_established| {
            buckets
                .first_key_value()
                .map(|(bucket, id)| ((is_established, *bucket), *id))
        };
        first(&self.ended, false).or_else(|| first(&self.established, true))
    }

    /// An entry last seen before this second, if there is one.
    pub(crate) fn oldest_before(&self, seen_s: u32) -> Option<u32> {
        let first = |buckets: &BTreeMap<u32, u32>| {
            buckets.first_key_value().map(|(bucket, id)| (*bucket, *id))
        };
        let oldest = first(&self.ended)
            .into_iter()
            .chain(first(&self.established))
            .min()?;
        // A bucket has expired only when all of it has.
        (oldest.0.saturating_add(1).saturating_mul(self.bucket_s) <= seen_s).then_some(oldest.1)
    }
}
