//! The table of placements: insertion, merging, expiry and eviction.

use std::collections::VecDeque;

use crate::advice::Client;
use crate::ages::AgeIndex;
use crate::entry::{Entry, NO_ID};
use crate::group_counts::GroupCounts;
use crate::index::Index;
use crate::interning::{ServerIncarnations, VersionIds};
use crate::limits::{Counts, Limits};
use crate::placement::{
    EndReason, MAX_CLOCK_LEAD_MS, MergeOutcome, Placement, PlacementError, PlacementState,
    SHARED_KEY_OVERLAPS, Stamp, origin_bits,
};
use crate::versions::{AdoptOutcome, Version, VersionFact, Versions};
use crate::{Group, Key, Millis, Tag, mix64};

/// Most expired placements that one call removes. Guards against a call that removes a million
/// placements at once.
const MAX_EXPIRED_PER_CALL: usize = 2;
/// Most processes whose death is remembered; the oldest is dropped first.
const MAX_DEAD_ORIGINS: usize = 64;
/// Placements whose table entries are prefetched together.
const PREFETCH_BATCH: usize = 16;

/// The last known placement of each client.
pub struct PlacementTable {
    pub(crate) limits: Limits,
    capacity: usize,
    origin: u64,
    seed: u64,
    pub(crate) entries: Vec<Entry>,
    free: u32,
    index: Index,
    ages: AgeIndex,
    pub(crate) group_counts: GroupCounts,
    pub(crate) servers: ServerIncarnations,
    version_ids: VersionIds,
    versions: Versions,
    counts: Counts,
    dead_origins: VecDeque<u32>,
}

impl PlacementTable {
    /// Creates an empty table. `origin` identifies the process and its incarnation; `seed` prevents
    /// clients that choose their keys from choosing keys that collide. Address space is reserved
    /// for the full capacity; memory is used as placements are added.
    pub fn new(limits: Limits, origin: u64, seed: u64) -> PlacementTable {
        let capacity = limits.max_placements();
        PlacementTable {
            limits,
            capacity,
            origin,
            seed: mix64(seed),
            entries: Vec::with_capacity(capacity),
            free: NO_ID,
            index: Index::for_entries(capacity),
            ages: AgeIndex::with_ttl(limits.ttl_s),
            group_counts: GroupCounts::for_entries(capacity, seed),
            servers: ServerIncarnations::default(),
            version_ids: VersionIds::default(),
            versions: Versions::default(),
            counts: Counts::default(),
            dead_origins: VecDeque::new(),
        }
    }

    /// Switches this process to a version of the configuration, with the serial number of the
    /// operator or 0.
    pub fn adopt(&mut self, version: Version, serial: u64, now: Millis) -> AdoptOutcome {
        self.versions.adopt(version, serial, now)
    }

    /// The known versions of the configuration.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// Records that this process still runs its version, and returns the fact to publish to peers.
    /// To be called about every half minute.
    pub fn refresh_current_version(&mut self, now: Millis) -> Option<VersionFact> {
        self.versions.refresh_current_version(now)
    }

    /// Merges a peer's fact about a version; returns whether anything changed.
    pub fn merge_version(&mut self, fact: &VersionFact, now: Millis) -> bool {
        self.versions.merge(fact, now)
    }

    /// Records that a server started at this time; connections to its earlier incarnations no
    /// longer count toward group homes. To be called with each server list; a start that is already
    /// known changes nothing.
    pub fn record_server_start(&mut self, server: Tag, at: Millis) {
        self.servers.record_start(server, at);
    }

    /// Records a new name of a server. Existing placements follow, as do placements that peers
    /// still report under the old name.
    pub fn rename_server(&mut self, old: Tag, new: Tag) {
        self.servers.rename(old, new);
    }

    /// Records the death of a process, by the `origin` that it passed to [`PlacementTable::new`];
    /// connections through it count as ended. Also applies to earlier incarnations of this process.
    pub fn record_balancer_death(&mut self, origin: u64) {
        let origin = origin_bits(origin);
        if !self.dead_origins.contains(&origin) {
            self.dead_origins.truncate(MAX_DEAD_ORIGINS - 1);
            self.dead_origins.push_front(origin);
        }
    }

    pub(crate) fn is_dead(&self, stamp: Stamp) -> bool {
        self.dead_origins.contains(&stamp.origin())
    }

    /// Records that a client's connection to a server is established, and returns the fact to
    /// publish to peers. The stamp identifies the connection in [`PlacementTable::refresh`] and
    /// [`PlacementTable::record_ended`].
    pub fn record_established(
        &mut self,
        client: &Client,
        server: Tag,
        now: Millis,
    ) -> Result<Placement, PlacementError> {
        let known = self.get(client.key);
        let own_version = self.versions.current().unwrap_or(Version(0));
        // Keeps a newer version on the placement. Otherwise this older process would place the
        // client again the next time.
        let previous_version = known
            .filter(|old| {
                self.servers.current_name(old.server) == self.servers.current_name(server)
            })
            .map(|old| old.config_version);
        let config_version = previous_version
            .filter(|previous_version| {
                *previous_version != own_version
                    && self.is_newer_than_own(*previous_version, now, now)
            })
            .unwrap_or(own_version);
        let overlapping = known
            .filter(|old| old.state == PlacementState::Established && !self.is_dead(old.stamp));
        let placement = Placement {
            key: client.key,
            group: client.group,
            server: self.servers.current_name(server),
            config_version,
            stamp: Stamp::after(known.map(|old| old.stamp), now, self.origin),
            seen_s: unix_seconds(now),
            state: PlacementState::Established,
            overlap_count: overlapping
                .map_or(0, |old| (old.overlap_count + 1).min(SHARED_KEY_OVERLAPS)),
        };
        self.expire_some(now);
        match self.apply(&placement) {
            MergeOutcome::Rejected(error) => Err(error),
            _ => Ok(placement),
        }
    }

    /// Records that a connection is still established, and returns the fact to publish. To be
    /// called several times within the TTL. `None` if the connection is no longer the known
    /// placement.
    pub fn refresh(&mut self, key: Key, stamp: Stamp, now: Millis) -> Option<Placement> {
        let established = self.established_placement(key, stamp)?;
        let refreshed = Placement {
            seen_s: unix_seconds(now).max(established.seen_s),
            ..established
        };
        self.apply(&refreshed);
        Some(refreshed)
    }

    /// Records the end of a connection, and returns the fact to publish. `None` if the connection
    /// is no longer the known placement.
    pub fn record_ended(
        &mut self,
        key: Key,
        stamp: Stamp,
        reason: EndReason,
        now: Millis,
    ) -> Option<Placement> {
        let established = self.established_placement(key, stamp)?;
        let seen_s = unix_seconds(now).max(established.seen_s);
        let ended = Placement {
            seen_s,
            state: PlacementState::Ended(reason),
            ..established
        };
        self.apply(&ended);
        Some(ended)
    }

    /// Merges a placement received from a peer or read from stored data.
    pub fn merge(&mut self, received: &Placement, now: Millis) -> MergeOutcome {
        self.expire_some(now);
        let latest = now.saturating_add(MAX_CLOCK_LEAD_MS);
        let outcome = if self.is_expired(received.seen_s, now) {
            MergeOutcome::Rejected(PlacementError::Expired)
        } else if received.placed_at() > latest || u64::from(received.seen_s) * 1_000 > latest {
            MergeOutcome::Rejected(PlacementError::DatedAhead)
        } else {
            self.apply(received)
        };
        self.counts.rejected += u64::from(matches!(outcome, MergeOutcome::Rejected(_)));
        outcome
    }

    /// Merges several placements, with one result for each in order. Faster than merging one by
    /// one, because the table entries of a batch are prefetched together.
    pub fn merge_all(&mut self, received: &[Placement], now: Millis) -> Vec<MergeOutcome> {
        let mut outcomes = Vec::with_capacity(received.len());
        for batch in received.chunks(PREFETCH_BATCH) {
            std::hint::black_box(
                batch
                    .iter()
                    .map(|placement| self.prefetch(placement.key))
                    .sum::<u32>(),
            );
            outcomes.extend(batch.iter().map(|placement| self.merge(placement, now)));
        }
        outcomes
    }

    /// Reads the table entries that a merge of this key needs, only to load them into the cache.
    fn prefetch(&self, key: Key) -> u32 {
        let Some(entry) = self.find(key).map(|id| &self.entries[id as usize]) else {
            return 0;
        };
        let last_seen_of = |id: u32| {
            self.entries
                .get(id as usize)
                .map_or(0, |entry| entry.seen_s)
        };
        u32::from(self.group_counts.incarnation(entry.group_count_id()))
            .wrapping_add(last_seen_of(entry.prev()) ^ last_seen_of(entry.next()))
            >> 16
    }

    /// The known placement of a client, expired or not.
    pub fn get(&self, key: Key) -> Option<Placement> {
        self.find(key).map(|id| self.placement(id))
    }

    /// Up to `limit` placements from position `start_id` on, and the position of the next page if
    /// there are more.
    pub fn page(&self, start_id: u32, limit: usize) -> (Vec<Placement>, Option<u32>) {
        let mut page = Vec::new();
        for id in start_id..self.entries.len() as u32 {
            if page.len() == limit {
                return (page, Some(id));
            }
            if self.entries[id as usize].group_count_id() != NO_ID {
                page.push(self.placement(id));
            }
        }
        (page, None)
    }

    /// Removes up to `limit` expired placements; returns how many were removed.
    pub fn expire(&mut self, now: Millis, limit: usize) -> usize {
        let cutoff_s = unix_seconds(now).saturating_sub(self.limits.ttl_s);
        for removed in 0..limit {
            let Some(id) = self.ages.oldest_before(cutoff_s) else {
                return removed;
            };
            self.remove(id);
            self.counts.expired += 1;
        }
        limit
    }

    /// The current and cumulative counts.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The maximum number of placements.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Bytes reserved for entries, index, group counts and server incarnations.
    pub fn bytes(&self) -> usize {
        let entries = self.entries.capacity() * size_of::<Entry>();
        entries + self.index.bytes() + self.group_counts.bytes() + self.servers.bytes()
    }

    pub(crate) fn is_expired(&self, seen_s: u32, now: Millis) -> bool {
        seen_s.saturating_add(self.limits.ttl_s) < unix_seconds(now)
    }

    /// Whether a version is newer than the version of this process, which then does not judge its
    /// placements. An unknown version counts as newer if the placement was made after this
    /// process's version became current.
    pub(crate) fn is_newer_than_own(
        &self,
        version: Version,
        placed_at: Millis,
        now: Millis,
    ) -> bool {
        let Some(own_version) = self.versions.current() else {
            return false;
        };
        if self.versions.get(version).is_some() {
            return self.versions.is_newer(version, own_version, now);
        }
        self.versions
            .get(own_version)
            .is_none_or(|fact| placed_at > fact.adopted_at)
    }

    pub(crate) fn version_of(&self, entry: &Entry) -> Version {
        self.version_ids.get(entry.version_id())
    }

    fn hash(&self, key: u64) -> u64 {
        mix64(key ^ self.seed)
    }

    pub(crate) fn find(&self, key: Key) -> Option<u32> {
        self.index.find(self.hash(key.0), |id| {
            self.entries[id as usize].key == key.0
        })
    }

    fn placement(&self, id: u32) -> Placement {
        let entry = &self.entries[id as usize];
        Placement {
            key: Key(entry.key),
            group: self.group_counts.group(entry.group_count_id()).map(Group),
            server: self
                .servers
                .get(self.group_counts.incarnation(entry.group_count_id()))
                .tag,
            config_version: self.version_of(entry),
            stamp: Stamp(entry.stamp),
            seen_s: entry.seen_s,
            state: entry.state(),
            overlap_count: entry.overlap_count(),
        }
    }

    /// The placement of this connection, if the connection is still established.
    fn established_placement(&self, key: Key, stamp: Stamp) -> Option<Placement> {
        self.get(key)
            .filter(|known| known.stamp == stamp && known.state == PlacementState::Established)
    }

    fn apply(&mut self, placement: &Placement) -> MergeOutcome {
        let Some(id) = self.find(placement.key) else {
            return self
                .insert(placement)
                .map_or_else(MergeOutcome::Rejected, |()| MergeOutcome::New);
        };
        let known_stamp = self.entries[id as usize].stamp;
        let is_newer = match placement.stamp.0 == known_stamp {
            true => {
                let placement = Placement {
                    server: self.servers.current_name(placement.server),
                    ..*placement
                };
                placement.cmp_precedence(&self.placement(id)).is_gt()
            }
            false => placement.stamp.0 > known_stamp,
        };
        if !is_newer {
            return MergeOutcome::Known;
        }
        self.replace(id, placement)
            .map_or_else(MergeOutcome::Rejected, |()| MergeOutcome::Newer)
    }

    /// Acquires a reference to the group count and the version of a placement, and returns their
    /// ids.
    fn acquire_ids(&mut self, placement: &Placement) -> Result<(u32, u16), PlacementError> {
        let version_id = self
            .version_ids
            .acquire(placement.config_version)
            .ok_or(PlacementError::AtCapacity)?;
        let Some(incarnation) = self
            .servers
            .incarnation_at(placement.server, placement.placed_at())
        else {
            self.version_ids.release(version_id);
            return Err(PlacementError::AtCapacity);
        };
        Ok((
            self.group_counts.increment(
                &mut self.servers,
                placement.group.map(|group| group.0),
                incarnation,
            ),
            version_id,
        ))
    }

    fn insert(&mut self, placement: &Placement) -> Result<(), PlacementError> {
        if self.counts.entries == self.capacity {
            let rank = self.ages.retention_rank(
                placement.state == PlacementState::Established,
                placement.seen_s,
            );
            match self.ages.eviction_candidate() {
                Some((lowest, id)) if lowest <= rank => self.remove(id),
                _ => return Err(PlacementError::AtCapacity),
            }
            self.counts.evicted += 1;
        }
        let (count_id, version_id) = self.acquire_ids(placement)?;
        let entry = Entry::new(placement, count_id, version_id);
        let id = match self.free {
            NO_ID => {
                self.entries.push(entry);
                self.entries.len() as u32 - 1
            }
            free => {
                self.free = self.entries[free as usize].prev();
                self.entries[free as usize] = entry;
                free
            }
        };
        self.index.insert(self.hash(placement.key.0), id);
        self.ages.insert(&mut self.entries, id);
        self.counts.entries += 1;
        self.counts.established += usize::from(entry.is_established());
        Ok(())
    }

    /// The ids of the old entry if the placement has the same server, group and version; otherwise
    /// releases those and acquires new ones.
    fn reuse_or_acquire_ids(
        &mut self,
        old: &Entry,
        placement: &Placement,
    ) -> Result<(u32, u16), PlacementError> {
        let is_same = placement.config_version == self.version_of(old)
            && placement.group.map(|group| group.0)
                == self.group_counts.group(old.group_count_id())
            && self.servers.is_incarnation(
                self.group_counts.incarnation(old.group_count_id()),
                placement.server,
                placement.placed_at(),
            );
        if !is_same {
            let ids = self.acquire_ids(placement)?;
            self.group_counts
                .decrement(&mut self.servers, old.group_count_id());
            self.version_ids.release(old.version_id());
            return Ok(ids);
        }
        Ok((old.group_count_id(), old.version_id()))
    }

    fn replace(&mut self, id: u32, placement: &Placement) -> Result<(), PlacementError> {
        let old = self.entries[id as usize];
        let (count_id, version_id) = self.reuse_or_acquire_ids(&old, placement)?;
        let mut entry = Entry::new(placement, count_id, version_id);
        let rank = |entry: &Entry| {
            self.ages
                .retention_rank(entry.is_established(), entry.seen_s)
        };
        if rank(&old) == rank(&entry) {
            entry.set_prev(old.prev());
            entry.set_next(old.next());
            self.entries[id as usize] = entry;
        } else {
            self.ages.remove(&mut self.entries, id);
            self.entries[id as usize] = entry;
            self.ages.insert(&mut self.entries, id);
        }
        self.counts.established += usize::from(entry.is_established());
        self.counts.established -= usize::from(old.is_established());
        Ok(())
    }

    fn remove(&mut self, id: u32) {
        let old = self.entries[id as usize];
        self.ages.remove(&mut self.entries, id);
        let (entries, seed) = (&self.entries, self.seed);
        self.index.remove(mix64(old.key ^ seed), id, |id| {
            mix64(entries[id as usize].key ^ seed)
        });
        let mut vacant = Entry::vacant();
        vacant.set_prev(self.free);
        self.entries[id as usize] = vacant;
        self.free = id;
        self.counts.entries -= 1;
        self.counts.established -= usize::from(old.is_established());
        self.group_counts
            .decrement(&mut self.servers, old.group_count_id());
        self.version_ids.release(old.version_id());
    }

    fn expire_some(&mut self, now: Millis) {
        self.expire(now, MAX_EXPIRED_PER_CALL);
    }
}

/// Converts milliseconds to whole seconds, saturating at `u32::MAX`.
pub(crate) fn unix_seconds(now: Millis) -> u32 {
    u32::try_from(now / 1_000).unwrap_or(u32::MAX)
}
