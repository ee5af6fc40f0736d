//! What a process knows: its own observations and what it heard.

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

/// Why an observation is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObserveError {
    /// The value is not about such a subject, or is no amount.
    Senseless,
    /// Its record would be longer than 8 KiB, or its name longer than 512 bytes.
    TooLong,
    /// All that is kept of its kind was witnessed later, or the fact would be good for no time.
    NotKept,
}

/// The list that discovery told last.
#[derive(Clone, Copy, Debug)]
struct CurrentList {
    announcement: ListAnnouncement,
    announced_at: Millis,
    position: ListPosition,
    /// It follows on one that this process held before.
    continues_held_list: bool,
}

/// All facts that a process knows.
#[derive(Clone, Debug)]
pub struct FactStore {
    pub(crate) origin: Origin,
    pub(crate) facts: FactTable,
    pub(crate) gossip: GossipState,
    current_list: Option<CurrentList>,
}

/// The key and kind of a subject, for a look-up.
pub(crate) fn kind_number(subject: &Subject) -> u32 {
    if let Subject::Unknown { kind, .. } = subject {
        *kind
    } else {
        subject.kind().wire_number()
    }
}

impl FactStore {
    /// Nothing is known yet.
    pub fn new(origin: Origin, bounds: Bounds) -> FactStore {
        FactStore {
            origin,
            facts: FactTable::new(bounds),
            gossip: GossipState::default(),
            current_list: None,
        }
    }

    /// Whose knowledge it is.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// The process goes by another boot number from now on; see [`FactStore::later_incarnation`].
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.origin.incarnation = incarnation;
    }

    /// A boot of this process that others remember and that is later than its own: its memory is lost or old, and
    /// its own words are passed over until it goes by a later number.
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

    /// What is known of a subject now. Where each process has its own word, it is that process's.
    pub fn get(&self, subject: &Subject, process: &str, now: Millis) -> Option<Fact> {
        self.slot(subject, process)
            .filter(|(_, slot)| slot.is_valid(now))?
            .1
            .fact()
    }

    /// All of a kind that is good now, by subject and then by process; placements in no order but the same one
    /// after the same calls.
    pub fn iter(&self, kind: FactKind, now: Millis) -> impl Iterator<Item = Fact> {
        self.facts
            .of_kind(kind)
            .filter(move |slot| slot.is_valid(now))
            .filter_map(Slot::fact)
    }

    /// Bytes that a kind takes, and how many facts.
    pub fn usage(&self, kind: FactKind) -> (usize, usize) {
        self.facts.usage(kind)
    }

    /// Has room for so many facts at once, so that none of them waits while tables grow.
    pub fn reserve(&mut self, facts: usize) {
        self.facts.reserve(facts);
    }

    /// Removes what is kept no longer.
    pub fn expire(&mut self, now: Millis) {
        self.facts.expire(now);
    }

    /// Enters an observation of this process's own, and says what is known of the subject then: the observation,
    /// unless something later is known.
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

    /// Enters an observation of this process's former life, made at an earlier moment, unless something later is known. It is
    /// told to those who ask for what they lack, and not by rumour: guards against a fleet that starts and tells itself
    /// all that it remembers.
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
            // A kind that this program knows has to be called by its name.
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

    /// The record of an own observation that comes after what is known.
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
            // Discovery's own word, so that all who hear it write the same: guards against a fleet that tells itself
            // each entry once for each process.
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
        // Left out where they say nothing: each fact is told some thousand times.
        if record.retained_for <= record.valid_for {
            record.retained_for = 0;
        }
        if record.origin_observed_at == record.version {
            record.origin_observed_at = 0;
        }
        record
    }

    /// A list came from discovery: says under which position its entries are to be witnessed, and enters that this
    /// process holds it.
    pub fn record_list(
        &mut self,
        announcement: ListAnnouncement,
        valid_for: Millis,
        now: Millis,
    ) -> Result<ListPosition, ObserveError> {
        let held = self
            .current_list
            .map(|current| current.position)
            .or_else(|| self.own_position(now));
        let incarnation = list_incarnation(held, announcement, &self.peer_lists(now), now);
        self.set_current_list(announcement, incarnation, held.is_some(), valid_for, now)
    }

    /// Judges the last list anew, after more was heard from peers. Tells a position if it is another one than before:
    /// then the entries are to be witnessed again. Only a process that held no list before that one has cause to.
    pub fn reassess_list(&mut self, valid_for: Millis, now: Millis) -> Option<ListPosition> {
        let current = self
            .current_list
            .filter(|current| !current.continues_held_list)?;
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
        self.current_list = self.current_list.map(|last| CurrentList {
            announced_at: current.announced_at,
            ..last
        });
        Some(position)
    }

    fn set_current_list(
        &mut self,
        announcement: ListAnnouncement,
        incarnation: u64,
        continues_held_list: bool,
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
            continues_held_list,
        });
        Ok(position)
    }

    fn own_position(&self, now: Millis) -> Option<ListPosition> {
        let held = self
            .get(&Subject::ListVersion, &self.origin.name, now)
            .map(|fact| fact.value);
        match held {
            Some(Value::ListVersion(held)) => Some(held.position),
            _ => None,
        }
    }

    fn peer_lists(&self, now: Millis) -> Vec<PeerList> {
        let others = self
            .iter(FactKind::ListVersion, now)
            .filter(|fact| fact.origin.name != self.origin.name);
        let known = others.filter_map(|fact| match fact.value {
            Value::ListVersion(list) => Some(PeerList {
                list,
                observed_at: fact.observed_at,
            }),
            _ => None,
        });
        known.collect()
    }

    /// Records of all that is kept of these kinds, for a durable memory: the same bytes as on the wire.
    pub fn export(&self, kinds: &[FactKind], now: Millis) -> Vec<Vec<u8>> {
        let all = kinds
            .iter()
            .flat_map(|kind| self.facts.of_kind(*kind))
            .filter(|slot| now < slot.retained_until);
        all.map(|slot| aged_record(slot, now).encode_to_vec())
            .collect()
    }

    /// The record of one subject, for a durable memory that is written as things change.
    pub fn export_fact(&self, subject: &Subject, process: &str, now: Millis) -> Option<Vec<u8>> {
        let (_, slot) = self.slot(subject, process)?;
        Some(aged_record(slot, now).encode_to_vec())
    }

    /// The fact in an exported record, with its moment as of one that was written `dark` before now.
    pub fn read_exported(record: &[u8], downtime_ms: Millis, now: Millis) -> Option<Fact> {
        let (view, age) = read_aged_record(record).ok()?;
        Some(view?.fact(now.saturating_sub(age.saturating_add(downtime_ms))))
    }

    /// Takes exported records back in, as they stand beside what is known by now. How long ago they were written is
    /// for whoever read them to say; no clock is compared here.
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

    /// Merges a fact, tells it on as one that was told so often already, and notes what changed.
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

/// A slot's record with its age.
pub(crate) fn aged_record(slot: &Slot, now: Millis) -> AgedRecord {
    AgedRecord {
        record: slot.raw.to_vec(),
        age: now.saturating_sub(slot.observed_at),
    }
}

/// What is known, where an entry of the list says nothing beyond it: it is known from the same life of discovery, and
/// is good for a while yet.
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
