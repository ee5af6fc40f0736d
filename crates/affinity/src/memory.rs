//! The table of placements: what is taken in, what is merged, what expires and what gives way.

use std::collections::VecDeque;

use crate::advice::Client;
use crate::ages::Ages;
use crate::entry::{Entry, NONE};
use crate::group_counts::GroupCounts;
use crate::index::Index;
use crate::limits::{Counts, Limits};
use crate::names::{Digests, Names};
use crate::placement::{
    AHEAD, How, MergeOutcome, Placement, Refused, SHARED, Stamp, State, origin_of,
};
use crate::versions::{Adopted, Version, VersionFact, Versions};
use crate::{Group, Key, Millis, Tag, mix};

/// Placements past their life that each call clears away at most. Guards against a call that waits for a million.
const SWEEP: usize = 2;
/// Processes that died lately, of which so many are remembered.
const MOST_DEAD: usize = 64;
/// Placements whose tables are fetched side by side.
const TOGETHER: usize = 16;

/// Which server each client had.
pub struct Memory {
    pub(crate) limits: Limits,
    most: usize,
    origin: u64,
    seed: u64,
    pub(crate) entries: Vec<Entry>,
    free: u32,
    index: Index,
    ages: Ages,
    pub(crate) group_counts: GroupCounts,
    pub(crate) names: Names,
    digests: Digests,
    versions: Versions,
    counts: Counts,
    dead: VecDeque<u32>,
}

impl Memory {
    /// An empty one. The origin tells processes and their lives apart; the seed keeps whoever chooses keys from choosing
    /// such as lie in one place. Room is reserved for all that may be held, and taken as it is used.
    pub fn new(limits: Limits, origin: u64, seed: u64) -> Memory {
        let most = limits.most();
        Memory {
            limits,
            most,
            origin,
            seed: mix(seed),
            entries: Vec::with_capacity(most),
            free: NONE,
            index: Index::for_entries(most),
            ages: Ages::with_ttl(limits.ttl_s),
            group_counts: GroupCounts::for_entries(most, seed),
            names: Names::default(),
            digests: Digests::default(),
            versions: Versions::default(),
            counts: Counts::default(),
            dead: VecDeque::new(),
        }
    }

    /// Another version of the configuration holds in this process from now on.
    pub fn adopt(&mut self, version: Version, serial: u64, now: Millis) -> Adopted {
        self.versions.adopt(version, serial, now)
    }

    /// The versions that are known of.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// This process still runs its version: the fact for peers, to be asked for each half minute or so.
    pub fn still_runs(&mut self, now: Millis) -> Option<VersionFact> {
        self.versions.still_runs(now)
    }

    /// What a peer tells of a version.
    pub fn merge_version(&mut self, fact: &VersionFact, now: Millis) -> bool {
        self.versions.merge(fact, now)
    }

    /// A server started anew at this moment: a group has no home there for what stood on it before. To be told with each
    /// list; what was told before changes nothing.
    pub fn restarted(&mut self, server: Tag, at: Millis) {
        self.names.restarted(server, at);
    }

    /// A server has another name: placements follow, also those that peers tell under the old one.
    pub fn renamed(&mut self, old: Tag, new: Tag) {
        self.names.rename(old, new);
    }

    /// A process is no more, by the name that it was begun with: what stood through it has ended. The process's own former
    /// life too.
    pub fn balancer_died(&mut self, origin: u64) {
        let origin = origin_of(origin);
        if !self.dead.contains(&origin) {
            self.dead.truncate(MOST_DEAD - 1);
            self.dead.push_front(origin);
        }
    }

    pub(crate) fn is_dead(&self, stamp: Stamp) -> bool {
        self.dead.contains(&stamp.origin())
    }

    /// A client stands on a server; the fact for peers. Its stamp is the connection's, for [`Memory::ended`].
    pub fn established(
        &mut self,
        client: &Client,
        server: Tag,
        now: Millis,
    ) -> Result<Placement, Refused> {
        let old = self.get(client.key);
        let own = self.versions.current().unwrap_or(Version(0));
        // Guards against a client of the newer version that an older process would deal anew the next time.
        let kept = old
            .filter(|old| self.names.now(old.server) == self.names.now(server))
            .map(|old| old.encode_version);
        let encode_version = kept
            .filter(|kept| *kept != own && self.is_beyond(*kept, now, now))
            .unwrap_or(own);
        let again = old.filter(|old| old.state == State::Established && !self.is_dead(old.stamp));
        let placement = Placement {
            key: client.key,
            group: client.group,
            server: self.names.now(server),
            encode_version,
            stamp: Stamp::after(old.map(|old| old.stamp), now, self.origin),
            seen_s: seconds(now),
            state: State::Established,
            twins: again.map_or(0, |old| (old.twins + 1).min(SHARED)),
        };
        self.sweep(now);
        match self.take_in(&placement) {
            MergeOutcome::Refused(why) => Err(why),
            _ => Ok(placement),
        }
    }

    /// A connection still stands: to be told a few times in each life.
    pub fn refresh(&mut self, key: Key, stamp: Stamp, now: Millis) -> Option<Placement> {
        let standing = self.own(key, stamp)?;
        let seen = Placement {
            seen_s: seconds(now).max(standing.seen_s),
            ..standing
        };
        self.take_in(&seen);
        Some(seen)
    }

    /// A connection ended; the fact for peers, unless the client has stood elsewhere since.
    pub fn ended(&mut self, key: Key, stamp: Stamp, how: How, now: Millis) -> Option<Placement> {
        let standing = self.own(key, stamp)?;
        let seen_s = seconds(now).max(standing.seen_s);
        let ended = Placement {
            seen_s,
            state: State::Ended(how),
            ..standing
        };
        self.take_in(&ended);
        Some(ended)
    }

    /// A peer's word, or one of before from the disk.
    pub fn merge(&mut self, told: &Placement, now: Millis) -> MergeOutcome {
        self.sweep(now);
        let limit = now.saturating_add(AHEAD);
        let heard = if self.is_expired(told.seen_s, now) {
            MergeOutcome::Refused(Refused::Expired)
        } else if told.since() > limit || u64::from(told.seen_s) * 1_000 > limit {
            MergeOutcome::Refused(Refused::Ahead)
        } else {
            self.take_in(told)
        };
        self.counts.refused += u64::from(matches!(heard, MergeOutcome::Refused(_)));
        heard
    }

    /// What a peer tells at once. Many that are told together are merged faster than one by one: what they need is
    /// fetched side by side first.
    pub fn merge_all(&mut self, told: &[Placement], now: Millis) -> Vec<MergeOutcome> {
        let mut heard = Vec::with_capacity(told.len());
        for some in told.chunks(TOGETHER) {
            std::hint::black_box(some.iter().map(|one| self.touch(one.key)).sum::<u32>());
            heard.extend(some.iter().map(|one| self.merge(one, now)));
        }
        heard
    }

    /// Reads all that a merge will, to no end but to have it near.
    fn touch(&self, key: Key) -> u32 {
        let Some(entry) = self.find(key).map(|id| &self.entries[id as usize]) else {
            return 0;
        };
        let link = |id: u32| {
            self.entries
                .get(id as usize)
                .map_or(0, |entry| entry.seen_s)
        };
        u32::from(self.group_counts.incarnation(entry.group_count()))
            .wrapping_add(link(entry.before()) ^ link(entry.after()))
            >> 16
    }

    /// Where a client is placed, as far as is known.
    pub fn get(&self, key: Key) -> Option<Placement> {
        self.find(key).map(|id| self.placement(id))
    }

    /// Up to so many placements from a position on, and the position to go on from, if there are more.
    pub fn page(&self, from: u32, most: usize) -> (Vec<Placement>, Option<u32>) {
        let mut found = Vec::new();
        for id in from..self.entries.len() as u32 {
            if found.len() == most {
                return (found, Some(id));
            }
            if self.entries[id as usize].group_count() != NONE {
                found.push(self.placement(id));
            }
        }
        (found, None)
    }

    /// Forgets up to so many that are past their life; how many it was.
    pub fn expire(&mut self, now: Millis, most: usize) -> usize {
        let oldest = seconds(now).saturating_sub(self.limits.ttl_s);
        for gone in 0..most {
            let Some(id) = self.ages.older_than(oldest) else {
                return gone;
            };
            self.remove(id);
            self.counts.expired += 1;
        }
        most
    }

    /// What is held and what happened.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How many placements are held at most.
    pub fn most(&self) -> usize {
        self.most
    }

    /// Bytes reserved for all tables.
    pub fn bytes(&self) -> usize {
        let entries = self.entries.capacity() * size_of::<Entry>();
        entries + self.index.bytes() + self.group_counts.bytes() + self.names.bytes()
    }

    pub(crate) fn is_expired(&self, seen_s: u32, now: Millis) -> bool {
        seen_s.saturating_add(self.limits.ttl_s) < seconds(now)
    }

    /// Whether a version is newer than this process's own: its placements are not for this process to judge. One that
    /// nothing is known of is taken for newer if what was dealt under it is younger than the own version.
    pub(crate) fn is_beyond(&self, version: Version, dealt: Millis, now: Millis) -> bool {
        let Some(own) = self.versions.current() else {
            return false;
        };
        if self.versions.get(version).is_some() {
            return self.versions.is_newer(version, own, now);
        }
        self.versions.get(own).is_none_or(|own| dealt > own.since)
    }

    pub(crate) fn version_of(&self, entry: &Entry) -> Version {
        self.digests.get(entry.version())
    }

    fn hash(&self, key: u64) -> u64 {
        mix(key ^ self.seed)
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
            group: self.group_counts.group(entry.group_count()).map(Group),
            server: self
                .names
                .get(self.group_counts.incarnation(entry.group_count()))
                .tag,
            encode_version: self.version_of(entry),
            stamp: Stamp(entry.stamp),
            seen_s: entry.seen_s,
            state: entry.state(),
            twins: entry.twins(),
        }
    }

    /// The placement of this connection, if it stands.
    fn own(&self, key: Key, stamp: Stamp) -> Option<Placement> {
        self.get(key)
            .filter(|known| known.stamp == stamp && known.state == State::Established)
    }

    fn take_in(&mut self, told: &Placement) -> MergeOutcome {
        let Some(id) = self.find(told.key) else {
            return self
                .insert(told)
                .map_or_else(MergeOutcome::Refused, |()| MergeOutcome::New);
        };
        let known = self.entries[id as usize].stamp;
        let says_more = match told.stamp.0 == known {
            true => {
                let told = Placement {
                    server: self.names.now(told.server),
                    ..*told
                };
                told.order(&self.placement(id)).is_gt()
            }
            false => told.stamp.0 > known,
        };
        if !says_more {
            return MergeOutcome::Known;
        }
        self.replace(id, told)
            .map_or_else(MergeOutcome::Refused, |()| MergeOutcome::Newer)
    }

    /// Spot and version of a placement, one use more of each.
    fn numbers(&mut self, told: &Placement) -> Result<(u32, u16), Refused> {
        let version = self
            .digests
            .take(told.encode_version)
            .ok_or(Refused::NoRoom)?;
        let Some(life) = self.names.incarnation_at(told.server, told.since()) else {
            self.digests.give_back(version);
            return Err(Refused::NoRoom);
        };
        Ok((
            self.group_counts
                .take(&mut self.names, told.group.map(|group| group.0), life),
            version,
        ))
    }

    fn insert(&mut self, told: &Placement) -> Result<(), Refused> {
        if self.counts.entries == self.most {
            let worth = self
                .ages
                .retention_rank(told.state == State::Established, told.seen_s);
            match self.ages.first_to_go() {
                Some((least, id)) if least <= worth => self.remove(id),
                _ => return Err(Refused::NoRoom),
            }
            self.counts.evicted += 1;
        }
        let (spot, version) = self.numbers(told)?;
        let entry = Entry::new(told, spot, version);
        let id = match self.free {
            NONE => {
                self.entries.push(entry);
                self.entries.len() as u32 - 1
            }
            free => {
                self.free = self.entries[free as usize].before();
                self.entries[free as usize] = entry;
                free
            }
        };
        self.index.enter(self.hash(told.key.0), id);
        self.ages.enter(&mut self.entries, id);
        self.counts.entries += 1;
        self.counts.established += usize::from(entry.is_established());
        Ok(())
    }

    /// The numbers that an entry has already, if the placement has the same, or those of [`Memory::numbers`].
    fn numbers_after(&mut self, old: &Entry, told: &Placement) -> Result<(u32, u16), Refused> {
        let is_same = told.encode_version == self.version_of(old)
            && told.group.map(|group| group.0) == self.group_counts.group(old.group_count())
            && self.names.is_incarnation(
                self.group_counts.incarnation(old.group_count()),
                told.server,
                told.since(),
            );
        if !is_same {
            let numbers = self.numbers(told)?;
            self.group_counts
                .give_back(&mut self.names, old.group_count());
            self.digests.give_back(old.version());
            return Ok(numbers);
        }
        Ok((old.group_count(), old.version()))
    }

    fn replace(&mut self, id: u32, told: &Placement) -> Result<(), Refused> {
        let old = self.entries[id as usize];
        let (spot, version) = self.numbers_after(&old, told)?;
        let mut entry = Entry::new(told, spot, version);
        let worth = |one: &Entry| self.ages.retention_rank(one.is_established(), one.seen_s);
        if worth(&old) == worth(&entry) {
            entry.set_before(old.before());
            entry.set_after(old.after());
            self.entries[id as usize] = entry;
        } else {
            self.ages.leave(&mut self.entries, id);
            self.entries[id as usize] = entry;
            self.ages.enter(&mut self.entries, id);
        }
        self.counts.established += usize::from(entry.is_established());
        self.counts.established -= usize::from(old.is_established());
        Ok(())
    }

    fn remove(&mut self, id: u32) {
        let old = self.entries[id as usize];
        self.ages.leave(&mut self.entries, id);
        let (entries, seed) = (&self.entries, self.seed);
        self.index.strike(mix(old.key ^ seed), id, |id| {
            mix(entries[id as usize].key ^ seed)
        });
        let mut none = Entry::none();
        none.set_before(self.free);
        self.entries[id as usize] = none;
        self.free = id;
        self.counts.entries -= 1;
        self.counts.established -= usize::from(old.is_established());
        self.group_counts
            .give_back(&mut self.names, old.group_count());
        self.digests.give_back(old.version());
    }

    fn sweep(&mut self, now: Millis) {
        self.expire(now, SWEEP);
    }
}

/// Whole seconds of a moment.
pub(crate) fn seconds(now: Millis) -> u32 {
    u32::try_from(now / 1_000).unwrap_or(u32::MAX)
}
