//! The facts that a process knows: its own observations and those received from peers.

use prost::Message;

use crate::Millis;
use crate::bounds::Bounds;
use crate::dissemination::{FactChange, GossipState, TimedRecord};
use crate::fact::{
    Fact, FactKind, ListPosition, ListVersion, Origin, ServerEntry, ServerEvidence, Subject, Value,
};
use crate::fact_table::{FactTable, MergeResult};
use crate::list_incarnation::{ListAnnouncement, PeerList, list_incarnation};
use crate::record::{
    AgedRecord, MAX_RECORD_BYTES, MAX_VERSION, Record, RecordView, encode_key, encode_value,
    read_aged_record,
};
use crate::slot::RawRecord;
use crate::slot::{FactId, Slot};

/// Error for an observation that was not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObserveError {
    /// The value does not match the subject's kind, or an amount is negative or not finite.
    Senseless,
    /// The record would be longer than 8 KiB, or a name longer than 512 bytes.
    TooLong,
    /// All facts kept of the kind were observed later, or the validity is zero.
    NotKept,
}

/// The list that discovery announced last.
#[derive(Clone, Copy, Debug)]
struct CurrentList {
    announcement: ListAnnouncement,
    announced_at: Millis,
    position: ListPosition,
    /// Whether this process held an earlier list when it received this one.
    has_previous_list: bool,
}

/// All facts that a process knows.
#[derive(Clone, Debug)]
pub struct FactStore {
    pub(crate) origin: Origin,
    pub(crate) facts: FactTable,
    pub(crate) gossip: GossipState,
    current_list: Option<CurrentList>,
}

/// The number of the subject's kind in records, for a look-up.
pub(crate) fn kind_number(subject: &Subject) -> u32 {
    if let Subject::Unknown { kind, .. } = subject {
        *kind
    } else {
        subject.kind().wire_number()
    }
}

impl FactStore {
    /// An empty store.
    pub fn new(origin: Origin, bounds: Bounds) -> FactStore {
        FactStore {
            origin,
            facts: FactTable::new(bounds),
            gossip: GossipState::default(),
            current_list: None,
        }
    }

    /// The process that the store belongs to.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Sets this process's incarnation; see [`FactStore::later_incarnation`].
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.origin.incarnation = incarnation;
    }

    /// An incarnation of this process that peers remember and that is later than its own. The process's stored state
    /// is then lost or outdated, and peers ignore its facts until it takes a later incarnation.
    pub fn later_incarnation(&self) -> Option<u64> {
        self.gossip
            .later_incarnation
            .filter(|incarnation| *incarnation > self.origin.incarnation)
    }

    fn slot(&self, subject: &Subject, process: &str) -> Option<(u32, &Slot)> {
        let key = encode_key(subject);
        let name = subject.is_per_process().then_some(process.as_bytes());
        let slot_index = self.facts.find(FactId {
            kind: kind_number(subject),
            key: &key,
            name,
        })?;
        Some((slot_index, self.facts.slot(slot_index)?))
    }

    /// The valid fact on a subject. Where each process has its own fact, the one of `process`.
    pub fn get(&self, subject: &Subject, process: &str, now: Millis) -> Option<Fact> {
        self.slot(subject, process)
            .filter(|(_, slot)| slot.is_valid(now))?
            .1
            .fact()
    }

    /// All valid facts of a kind, ordered by subject and then by process. Placements come in no particular order, but
    /// in the same one after the same calls.
    pub fn iter(&self, kind: FactKind, now: Millis) -> impl Iterator<Item = Fact> {
        self.facts
            .of_kind(kind)
            .filter(move |slot| slot.is_valid(now))
            .filter_map(Slot::fact)
    }

    /// Memory of a kind in bytes, and its number of facts.
    pub fn usage(&self, kind: FactKind) -> (usize, usize) {
        self.facts.usage(kind)
    }

    /// Reserves capacity for this many facts at once, so that no insertion waits for tables to grow.
    pub fn reserve(&mut self, facts: usize) {
        self.facts.reserve(facts);
    }

    /// Removes facts that are past their retention.
    pub fn expire(&mut self, now: Millis) {
        self.facts.expire(now);
    }

    /// Stores an observation of this process and returns the fact then known on the subject: the observation itself,
    /// unless a later fact is known.
    pub fn observe(
        &mut self,
        subject: &Subject,
        value: &Value,
        valid_for: Millis,
        now: Millis,
    ) -> Result<Fact, ObserveError> {
        let known = self.slot(subject, &self.origin.name).map(|(_, slot)| slot);
        if let Some(fact) = known.and_then(|slot| unchanged_fact(slot, value, now)) {
            return Ok(fact);
        }
        let record = self.build_record(subject, value, valid_for, known, now);
        if let MergeResult::New(slot_index) | MergeResult::Replaced(slot_index, ..) =
            self.merge_observation(subject, value, &record, (now, now))?
        {
            self.facts.enqueue_gossip(
                slot_index,
                self.gossip.initial_transmissions(subject.kind()),
            );
        }
        self.slot(subject, &self.origin.name)
            .and_then(|(_, slot)| slot.fact())
            .ok_or(ObserveError::NotKept)
    }

    /// Stores an observation that a former incarnation of this process made at an earlier time, unless a later fact is
    /// known. It spreads by anti-entropy and not by gossip; otherwise a starting fleet would gossip everything that it
    /// remembers.
    pub fn restore_observation(
        &mut self,
        subject: &Subject,
        value: &Value,
        valid_for: Millis,
        (observed_at, now): (Millis, Millis),
    ) -> Result<(), ObserveError> {
        let record = self.build_record(subject, value, valid_for, None, observed_at);
        self.merge_observation(subject, value, &record, (observed_at, now))
            .map(drop)
    }

    fn merge_observation(
        &mut self,
        subject: &Subject,
        value: &Value,
        record: &Record,
        (observed_at, now): (Millis, Millis),
    ) -> Result<MergeResult, ObserveError> {
        let is_valid = match value {
            Value::ServerEntry(ServerEntry { weight: amount, .. })
            | Value::ServerEvidence(ServerEvidence { weight: amount, .. })
            | Value::SlowStartSends(amount) => amount.is_finite() && *amount >= 0.0,
            // A kind that this version knows must not be given by its number.
            Value::Unknown(_) => FactKind::from_number(kind_number(subject)) == FactKind::Unknown,
            _ => true,
        };
        if !is_valid || subject.kind() != value.kind() {
            return Err(ObserveError::Senseless);
        }
        let raw = record.encode_to_vec();
        let view = RecordView::new(&raw).ok_or(ObserveError::TooLong)?;
        Ok(self.facts.merge(&view, observed_at, now))
    }

    /// Builds the record of an own observation so that it is later than the known fact.
    fn build_record(
        &self,
        subject: &Subject,
        value: &Value,
        valid_for: Millis,
        known: Option<&Slot>,
        now: Millis,
    ) -> Record {
        let is_per_process = subject.is_per_process();
        let mut record = Record {
            kind: kind_number(subject),
            key: encode_key(subject),
            is_per_process,
            name: self.origin.name.clone().into_bytes(),
            incarnation: self.origin.incarnation,
            epoch: if is_per_process {
                self.origin.incarnation
            } else {
                0
            },
            version: now,
            origin_observed_at: now,
            valid_for: valid_for.min(self.facts.bounds().of_kind(subject.kind()).max_lifetime_ms),
            retained_for: known.map_or(0, |slot| slot.retained_until.saturating_sub(now)),
            value: encode_value(value),
        };
        if let Value::ServerEntry(entry) = value {
            // Discovery is the origin, so that all processes that receive the entry write the same record. Otherwise
            // the fleet would gossip each entry once per process.
            record.name = b"discovery".to_vec();
            (record.epoch, record.version) =
                (entry.position.incarnation, entry.position.generation);
            record.incarnation = record.epoch;
            record.origin_observed_at = now - now % (valid_for / 4).max(1);
        } else if let Some(slot) = known.filter(|slot| slot.epoch == record.epoch) {
            record.version = now.max(slot.version + 1);
        }
        record.version = record.version.min(MAX_VERSION);
        record.epoch = record.epoch.min(MAX_VERSION);
        // These fields are left out where they are implied, as each fact is transmitted some thousand times.
        if record.retained_for <= record.valid_for {
            record.retained_for = 0;
        }
        if record.origin_observed_at == record.version {
            record.origin_observed_at = 0;
        }
        record
    }

    /// Records a list received from discovery: stores that this process holds it, and returns the position under which
    /// its entries are to be observed.
    pub fn record_list(
        &mut self,
        announcement: ListAnnouncement,
        valid_for: Millis,
        now: Millis,
    ) -> Result<ListPosition, ObserveError> {
        let previous_position = self
            .current_list
            .map(|current| current.position)
            .or_else(|| self.own_position(now));
        let incarnation =
            list_incarnation(previous_position, announcement, &self.peer_lists(now), now);
        self.set_current_list(
            announcement,
            incarnation,
            previous_position.is_some(),
            valid_for,
            now,
        )
    }

    /// Determines the incarnation of the last list again after more facts arrived from peers. Returns the position if
    /// it changed; the entries are then to be observed again. Applies only to a process that held no list before that
    /// one.
    pub fn reassess_list(&mut self, valid_for: Millis, now: Millis) -> Option<ListPosition> {
        let current = self
            .current_list
            .filter(|current| !current.has_previous_list)?;
        let announcement = ListAnnouncement {
            is_complete: true,
            ..current.announcement
        };
        let incarnation = list_incarnation(
            Some(current.position),
            announcement,
            &self.peer_lists(now),
            current.announced_at,
        );
        if incarnation == current.position.incarnation {
            return None;
        }
        let position = self
            .set_current_list(announcement, incarnation, false, valid_for, now)
            .ok()?;
        self.current_list = self.current_list.map(|list| CurrentList {
            announced_at: current.announced_at,
            ..list
        });
        Some(position)
    }

    fn set_current_list(
        &mut self,
        announcement: ListAnnouncement,
        incarnation: u64,
        has_previous_list: bool,
        valid_for: Millis,
        now: Millis,
    ) -> Result<ListPosition, ObserveError> {
        let position = ListPosition {
            incarnation,
            generation: announcement.generation,
        };
        let value = Value::ListVersion(ListVersion {
            position,
            digest: announcement.digest,
        });
        self.observe(&Subject::ListVersion, &value, valid_for, now)?;
        self.current_list = Some(CurrentList {
            announcement,
            announced_at: now,
            position,
            has_previous_list,
        });
        Ok(position)
    }

    fn own_position(&self, now: Millis) -> Option<ListPosition> {
        let value = self
            .get(&Subject::ListVersion, &self.origin.name, now)
            .map(|fact| fact.value);
        match value {
            Some(Value::ListVersion(list)) => Some(list.position),
            _ => None,
        }
    }

    fn peer_lists(&self, now: Millis) -> Vec<PeerList> {
        let peer_facts = self
            .iter(FactKind::ListVersion, now)
            .filter(|fact| fact.origin.name != self.origin.name);
        let lists = peer_facts.filter_map(|fact| match fact.value {
            Value::ListVersion(list) => Some(PeerList {
                list,
                observed_at: fact.observed_at,
            }),
            _ => None,
        });
        lists.collect()
    }

    /// Records of all facts kept of these kinds, for persistent storage, in the encoding used on the wire.
    pub fn export(&self, kinds: &[FactKind], now: Millis) -> Vec<Vec<u8>> {
        let slots = kinds
            .iter()
            .flat_map(|kind| self.facts.of_kind(*kind))
            .filter(|slot| now < slot.retained_until);
        slots
            .map(|slot| aged_record(slot, now).encode_to_vec())
            .collect()
    }

    /// The record of one subject, for persistent storage that is updated with each change.
    pub fn export_fact(&self, subject: &Subject, process: &str, now: Millis) -> Option<Vec<u8>> {
        let (_, slot) = self.slot(subject, process)?;
        Some(aged_record(slot, now).encode_to_vec())
    }

    /// The fact in an exported record that was written `downtime_ms` before `now`.
    pub fn read_exported(record: &[u8], downtime_ms: Millis, now: Millis) -> Option<Fact> {
        let (view, age) = read_aged_record(record).ok()?;
        Some(view?.fact(now.saturating_sub(age.saturating_add(downtime_ms))))
    }

    /// Merges exported records with the facts that are known by now. The caller states how long ago they were written;
    /// no clocks are compared here.
    pub fn import<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a [u8]>,
        downtime_ms: Millis,
        now: Millis,
    ) -> Vec<FactChange> {
        let mut changes = Vec::new();
        for record in records {
            let Ok((Some(view), age)) = read_aged_record(record) else {
                continue;
            };
            let observed_at = now.saturating_sub(age.saturating_add(downtime_ms));
            self.merge_and_report(&view, observed_at, None, now, &mut changes);
        }
        changes
    }

    /// Merges a fact, appends the change if there is one, and gossips the fact starting from the given number of
    /// transmissions; `None` means no gossip.
    pub(crate) fn merge_and_report(
        &mut self,
        view: &RecordView<'_>,
        observed_at: Millis,
        transmissions: Option<u8>,
        now: Millis,
        changes: &mut Vec<FactChange>,
    ) -> MergeResult {
        let result = self.facts.merge(view, observed_at, now);
        let (slot_index, previous, known) = match result {
            MergeResult::New(slot_index) => (slot_index, None, MergeResult::New(slot_index)),
            MergeResult::Replaced(slot_index, raw, replaced_observed_at) => (
                slot_index,
                Some(TimedRecord {
                    raw,
                    observed_at: replaced_observed_at,
                }),
                MergeResult::New(slot_index),
            ),
            MergeResult::Duplicate(_) | MergeResult::Ignored => return result,
        };
        if let Some(transmissions) = transmissions {
            self.facts.enqueue_gossip(slot_index, transmissions);
        }
        changes.push(FactChange {
            previous,
            current: TimedRecord {
                raw: RawRecord::from_slice(view.raw),
                observed_at,
            },
        });
        known
    }
}

/// The record of a slot with its current age.
pub(crate) fn aged_record(slot: &Slot, now: Millis) -> AgedRecord {
    AgedRecord {
        record: slot.raw.to_vec(),
        age: now.saturating_sub(slot.observed_at),
    }
}

/// The known fact, if a server entry adds nothing to it: it comes from the same incarnation of discovery and more than
/// half of its validity remains.
fn unchanged_fact(slot: &Slot, value: &Value, now: Millis) -> Option<Fact> {
    let Value::ServerEntry(entry) = value else {
        return None;
    };
    let fact = slot.fact().filter(|_| slot.is_valid(now))?;
    let Value::ServerEntry(known) = &fact.value else {
        return None;
    };
    let ListPosition {
        incarnation,
        generation,
    } = known.position;
    let is_not_newer =
        incarnation == entry.position.incarnation && generation <= entry.position.generation;
    let is_unchanged = ServerEntry {
        position: entry.position,
        address: entry.address,
        ..known.clone()
    } == *entry;
    (is_not_newer && is_unchanged && now.saturating_sub(fact.observed_at) < fact.valid_for / 2)
        .then_some(fact)
}

const _: () = assert!(MAX_RECORD_BYTES < u16::MAX as usize);
