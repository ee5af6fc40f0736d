//! What a process knows: its own observations and what it heard.

use prost::Message;

use crate::Millis;
use crate::bounds::Bounds;
use crate::dissemination::{Change, Gossip, Noted};
use crate::fact::{Evidence, Fact, Kind, ListVersion, Listed, Origin, Position, Subject, Value};
use crate::fact_table::{FactTable, Merged};
use crate::list_incarnation::{KnownList, ListAnnouncement, list_incarnation};
use crate::record::{
    Carried, LAST_VERSION, LONGEST_FACT, Record, View, encode_key, encode_value, read_carried,
};
use crate::slot::Raw;
use crate::slot::{Id, Slot};

/// Why an observation is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
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
    at: Millis,
    position: Position,
    /// It follows on one that this process held before.
    follows: bool,
}

/// All facts that a process knows.
#[derive(Clone, Debug)]
pub struct FactStore {
    pub(crate) me: Origin,
    pub(crate) facts: FactTable,
    pub(crate) gossip: Gossip,
    current_list: Option<CurrentList>,
}

/// The key and kind of a subject, for a look-up.
pub(crate) fn number_of(subject: &Subject) -> u32 {
    if let Subject::Unknown { kind, .. } = subject {
        *kind
    } else {
        subject.kind().number()
    }
}

impl FactStore {
    /// Nothing is known yet.
    pub fn new(me: Origin, bounds: Bounds) -> FactStore {
        FactStore {
            me,
            facts: FactTable::new(bounds),
            gossip: Gossip::default(),
            current_list: None,
        }
    }

    /// Whose knowledge it is.
    pub fn me(&self) -> &Origin {
        &self.me
    }

    /// The process goes by another boot number from now on; see [`FactStore::outrun`].
    pub fn renumber(&mut self, boot: u64) {
        self.me.incarnation = boot;
    }

    /// A boot of this process that others remember and that is later than its own: its memory is lost or old, and
    /// its own words are passed over until it goes by a later number.
    pub fn outrun(&self) -> Option<u64> {
        self.gossip
            .outrun
            .filter(|boot| *boot > self.me.incarnation)
    }

    fn slot(&self, subject: &Subject, process: &str) -> Option<(u32, &Slot)> {
        let key = encode_key(subject);
        let name = subject.owned().then_some(process.as_bytes());
        let at = self.facts.find(Id {
            kind: number_of(subject),
            key: &key,
            name,
        })?;
        Some((at, self.facts.slot(at)?))
    }

    /// What is known of a subject now. Where each process has its own word, it is that process's.
    pub fn get(&self, subject: &Subject, process: &str, now: Millis) -> Option<Fact> {
        self.slot(subject, process)
            .filter(|(_, slot)| slot.is_good(now))?
            .1
            .fact()
    }

    /// All of a kind that is good now, by subject and then by process; placements in no order but the same one
    /// after the same calls.
    pub fn iter(&self, kind: Kind, now: Millis) -> impl Iterator<Item = Fact> {
        self.facts
            .of_kind(kind)
            .filter(move |slot| slot.is_good(now))
            .filter_map(Slot::fact)
    }

    /// Bytes that a kind takes, and how many facts.
    pub fn size(&self, kind: Kind) -> (usize, usize) {
        self.facts.size(kind)
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
        good_for: Millis,
        now: Millis,
    ) -> Result<Fact, Refused> {
        let known = self.slot(subject, &self.me.name).map(|(_, slot)| slot);
        if let Some(fact) = known.and_then(|slot| unchanged_fact(slot, value, now)) {
            return Ok(fact);
        }
        let record = self.record(subject, value, good_for, known, now);
        if let Merged::New(at) | Merged::Replaced(at, ..) =
            self.enter(subject, value, &record, (now, now))?
        {
            self.facts
                .heat(at, self.gossip.transmissions_of(subject.kind()));
        }
        self.slot(subject, &self.me.name)
            .and_then(|(_, slot)| slot.fact())
            .ok_or(Refused::NotKept)
    }

    /// Enters an observation of this process's former life, made at an earlier moment, unless something later is known. It is
    /// told to those who ask for what they lack, and not by rumour: guards against a fleet that starts and tells itself
    /// all that it remembers.
    pub fn recall(
        &mut self,
        subject: &Subject,
        value: &Value,
        good_for: Millis,
        (witnessed, now): (Millis, Millis),
    ) -> Result<(), Refused> {
        let record = self.record(subject, value, good_for, None, witnessed);
        self.enter(subject, value, &record, (witnessed, now))
            .map(drop)
    }

    fn enter(
        &mut self,
        subject: &Subject,
        value: &Value,
        record: &Record,
        (witnessed, now): (Millis, Millis),
    ) -> Result<Merged, Refused> {
        let sound = match value {
            Value::Listed(Listed { weight: amount, .. })
            | Value::Standing(Evidence { weight: amount, .. })
            | Value::ColdSent(amount) => amount.is_finite() && *amount >= 0.0,
            // A kind that this program knows has to be called by its name.
            Value::Unknown(_) => Kind::of(number_of(subject)) == Kind::Unknown,
            _ => true,
        };
        if !sound || subject.kind() != value.kind() {
            return Err(Refused::Senseless);
        }
        let raw = record.encode_to_vec();
        let view = View::new(&raw).ok_or(Refused::TooLong)?;
        Ok(self.facts.merge(&view, witnessed, now))
    }

    /// The record of an own observation that comes after what is known.
    fn record(
        &self,
        subject: &Subject,
        value: &Value,
        good_for: Millis,
        known: Option<&Slot>,
        now: Millis,
    ) -> Record {
        let owned = subject.owned();
        let mut record = Record {
            kind: number_of(subject),
            key: encode_key(subject),
            owned,
            name: self.me.name.clone().into_bytes(),
            incarnation: self.me.incarnation,
            epoch: if owned { self.me.incarnation } else { 0 },
            version: now,
            origin_time: now,
            valid_for: good_for.min(self.facts.bounds().of(subject.kind()).longest),
            retained_for: known.map_or(0, |slot| slot.until.saturating_sub(now)),
            value: encode_value(value),
        };
        if let Value::Listed(listed) = value {
            // Discovery's own word, so that all who hear it write the same: guards against a fleet that tells itself
            // each entry once for each process.
            record.name = b"discovery".to_vec();
            (record.epoch, record.version) =
                (listed.position.incarnation, listed.position.generation);
            record.incarnation = record.epoch;
            record.origin_time = now - now % (good_for / 4).max(1);
        } else if let Some(slot) = known.filter(|slot| slot.epoch == record.epoch) {
            record.version = now.max(slot.version + 1);
        }
        record.version = record.version.min(LAST_VERSION);
        record.epoch = record.epoch.min(LAST_VERSION);
        // Left out where they say nothing: each fact is told some thousand times.
        if record.retained_for <= record.valid_for {
            record.retained_for = 0;
        }
        if record.origin_time == record.version {
            record.origin_time = 0;
        }
        record
    }

    /// A list came from discovery: says under which position its entries are to be witnessed, and enters that this
    /// process holds it.
    pub fn hear_list(
        &mut self,
        announcement: ListAnnouncement,
        good_for: Millis,
        now: Millis,
    ) -> Result<Position, Refused> {
        let held = self
            .current_list
            .map(|heard| heard.position)
            .or_else(|| self.own_position(now));
        let life = list_incarnation(held, announcement, &self.lists(now), now);
        self.set_current_list(announcement, life, held.is_some(), good_for, now)
    }

    /// Judges the last list anew, after more was heard from peers. Tells a position if it is another one than before:
    /// then the entries are to be witnessed again. Only a process that held no list before that one has cause to.
    pub fn settle_list(&mut self, good_for: Millis, now: Millis) -> Option<Position> {
        let heard = self.current_list.filter(|heard| !heard.follows)?;
        let announcement = ListAnnouncement {
            complete_list: true,
            ..heard.announcement
        };
        let life = list_incarnation(
            Some(heard.position),
            announcement,
            &self.lists(now),
            heard.at,
        );
        if life == heard.position.incarnation {
            return None;
        }
        let position = self
            .set_current_list(announcement, life, false, good_for, now)
            .ok()?;
        self.current_list = self.current_list.map(|last| CurrentList {
            at: heard.at,
            ..last
        });
        Some(position)
    }

    fn set_current_list(
        &mut self,
        announcement: ListAnnouncement,
        incarnation: u64,
        follows: bool,
        good_for: Millis,
        now: Millis,
    ) -> Result<Position, Refused> {
        let position = Position {
            incarnation,
            generation: announcement.generation,
        };
        let value = Value::List(ListVersion {
            position,
            digest: announcement.digest,
        });
        self.observe(&Subject::List, &value, good_for, now)?;
        self.current_list = Some(CurrentList {
            announcement,
            at: now,
            position,
            follows,
        });
        Ok(position)
    }

    fn own_position(&self, now: Millis) -> Option<Position> {
        let held = self
            .get(&Subject::List, &self.me.name, now)
            .map(|fact| fact.value);
        match held {
            Some(Value::List(held)) => Some(held.position),
            _ => None,
        }
    }

    fn lists(&self, now: Millis) -> Vec<KnownList> {
        let others = self
            .iter(Kind::List, now)
            .filter(|fact| fact.origin.name != self.me.name);
        let known = others.filter_map(|fact| match fact.value {
            Value::List(list) => Some(KnownList {
                list,
                observed_at: fact.observed_at,
            }),
            _ => None,
        });
        known.collect()
    }

    /// Records of all that is kept of these kinds, for a durable memory: the same bytes as on the wire.
    pub fn export(&self, kinds: &[Kind], now: Millis) -> Vec<Vec<u8>> {
        let all = kinds
            .iter()
            .flat_map(|kind| self.facts.of_kind(*kind))
            .filter(|slot| now < slot.until);
        all.map(|slot| carried(slot, now).encode_to_vec()).collect()
    }

    /// The record of one subject, for a durable memory that is written as things change.
    pub fn export_one(&self, subject: &Subject, process: &str, now: Millis) -> Option<Vec<u8>> {
        let (_, slot) = self.slot(subject, process)?;
        Some(carried(slot, now).encode_to_vec())
    }

    /// The fact in an exported record, with its moment as of one that was written `dark` before now.
    pub fn read(record: &[u8], dark: Millis, now: Millis) -> Option<Fact> {
        let (view, age) = read_carried(record).ok()?;
        Some(view?.fact(now.saturating_sub(age.saturating_add(dark))))
    }

    /// Takes exported records back in, as they stand beside what is known by now. How long ago they were written is
    /// for whoever read them to say; no clock is compared here.
    pub fn import<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a [u8]>,
        dark: Millis,
        now: Millis,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in records {
            let Ok((Some(view), age)) = read_carried(record) else {
                continue;
            };
            let witnessed = now.saturating_sub(age.saturating_add(dark));
            self.merged(&view, witnessed, None, now, &mut changes);
        }
        changes
    }

    /// Merges a fact, tells it on as one that was told so often already, and notes what changed.
    pub(crate) fn merged(
        &mut self,
        view: &View<'_>,
        observed_at: Millis,
        transmissions: Option<u8>,
        now: Millis,
        changes: &mut Vec<Change>,
    ) -> Merged {
        let merged = self.facts.merge(view, observed_at, now);
        let (at, old, known) = match merged {
            Merged::New(at) => (at, None, Merged::New(at)),
            Merged::Replaced(at, raw, then) => (
                at,
                Some(Noted {
                    raw,
                    observed_at: then,
                }),
                Merged::New(at),
            ),
            Merged::Same(_) | Merged::Nothing => return merged,
        };
        if let Some(transmissions) = transmissions {
            self.facts.heat(at, transmissions);
        }
        changes.push(Change {
            old,
            new: Noted {
                raw: Raw::from_slice(view.raw),
                observed_at,
            },
        });
        known
    }
}

/// A slot's record with its age.
pub(crate) fn carried(slot: &Slot, now: Millis) -> Carried {
    Carried {
        fact: slot.raw.to_vec(),
        age: now.saturating_sub(slot.observed_at),
    }
}

/// What is known, where an entry of the list says nothing beyond it: it is known from the same life of discovery, and
/// is good for a while yet.
fn unchanged_fact(slot: &Slot, value: &Value, now: Millis) -> Option<Fact> {
    let Value::Listed(entry) = value else {
        return None;
    };
    let fact = slot.fact().filter(|_| slot.is_good(now))?;
    let Value::Listed(known) = &fact.value else {
        return None;
    };
    let Position {
        incarnation,
        generation,
    } = known.position;
    let earlier =
        incarnation == entry.position.incarnation && generation <= entry.position.generation;
    let same = Listed {
        position: entry.position,
        address: entry.address,
        ..known.clone()
    } == *entry;
    (earlier && same && now.saturating_sub(fact.observed_at) < fact.valid_for / 2).then_some(fact)
}

const _: () = assert!(LONGEST_FACT < u16::MAX as usize);
