//! Facts as protocol buffers, on the wire and on disk alike.
//!
//! Fields are added, never given another meaning or number. A fact's record is kept and passed on byte for byte as its
//! origin wrote it, so that fields and kinds of a newer program reach other newer ones through this one.

use prost::Message;

use crate::Millis;
use crate::fact::{
    Configuration, Evidence, Fact, Failures, Holder, Kind, Lifecycle, ListVersion, Listed, Origin,
    Override, Placement, PlacementView, Position, Seen, Subject, Value,
};
use crate::wire::{Fields, NoField};

/// Longest record of a fact.
pub(crate) const LONGEST_FACT: usize = 8 << 10;
/// Longest name of a process and of a subject.
const LONGEST_NAME: usize = 512;
/// No version is counted beyond this. Guards against a fact that no later one could outdo.
pub(crate) const LAST_VERSION: u64 = 1 << 62;

/// A fact without its age, as it is written: the same bytes at every process.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Record {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// Each process has its own word on the subject.
    #[prost(bool, tag = "3")]
    pub owned: bool,
    #[prost(bytes = "vec", tag = "4")]
    pub name: Vec<u8>,
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// The moment witnessed, by the origin's clock; 0 where the version says it.
    #[prost(uint64, tag = "8")]
    pub origin_time: u64,
    #[prost(uint64, tag = "9")]
    pub valid_for: u64,
    /// It is kept for at least so long, beyond being good, that what it replaced cannot come back.
    #[prost(uint64, tag = "10")]
    pub retained_for: u64,
    #[prost(bytes = "vec", tag = "11")]
    pub value: Vec<u8>,
}

/// A record as it is read, where it lies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct View<'a> {
    /// All of it, as its origin wrote it.
    pub raw: &'a [u8],
    pub kind: u32,
    pub key: &'a [u8],
    pub owned: bool,
    pub name: &'a [u8],
    pub incarnation: u64,
    pub epoch: u64,
    pub version: u64,
    pub origin_time: u64,
    pub valid_for: u64,
    pub retained_for: u64,
    pub value: &'a [u8],
}

impl<'a> View<'a> {
    /// Reads a record, unless something in it is beyond what any program writes.
    pub fn new(raw: &'a [u8]) -> Option<View<'a>> {
        if raw.len() > LONGEST_FACT {
            return None;
        }
        let mut view = View {
            raw,
            ..View::default()
        };
        for field in Fields(raw) {
            let (number, held) = field.ok()?;
            match number {
                1 => view.kind = u32::try_from(held.number()?).ok()?,
                2 => view.key = held.bytes()?,
                3 => view.owned = held.number()? != 0,
                4 => view.name = held.bytes()?,
                5 => view.incarnation = held.number()?,
                6 => view.epoch = held.number()?,
                7 => view.version = held.number()?,
                8 => view.origin_time = held.number()?,
                9 => view.valid_for = held.number()?,
                10 => view.retained_for = held.number()?,
                11 => view.value = held.bytes()?,
                // A newer program's.
                _ => {}
            }
        }
        let short = view.key.len() <= LONGEST_NAME && view.name.len() <= LONGEST_NAME;
        (short && view.epoch <= LAST_VERSION && view.version <= LAST_VERSION).then_some(view)
    }

    /// What settles, after epoch and version, which of two facts on a subject stands.
    pub fn settles(&self) -> (u64, u64, &[u8]) {
        (self.origin_time, self.incarnation, self.name)
    }

    /// The fact that it tells. What this program cannot read of it comes as unknown.
    pub fn fact(&self, observed_at: Millis) -> Fact {
        let kind = Kind::of(self.kind);
        let position = Position {
            incarnation: self.epoch,
            generation: self.version,
        };
        let value = decode_value(kind, position, self.value);
        let unknown = || Subject::Unknown {
            kind: self.kind,
            key: self.key.to_vec(),
            owned: self.owned,
        };
        let name = String::from_utf8_lossy(self.name).into_owned();
        Fact {
            subject: decode_key(kind, self.key).unwrap_or_else(unknown),
            value: value.unwrap_or_else(|| Value::Unknown(self.value.to_vec())),
            origin: Origin {
                name,
                incarnation: self.incarnation,
            },
            epoch: self.epoch,
            version: self.version,
            observed_at,
            origin_time: if self.origin_time == 0 {
                self.version
            } else {
                self.origin_time
            },
            valid_for: self.valid_for,
        }
    }
}

/// A record and how old it was when it was sent or written.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Carried {
    #[prost(bytes = "vec", tag = "1")]
    pub fact: Vec<u8>,
    #[prost(uint64, tag = "2")]
    pub age: u64,
}

/// A record that was carried, and its age; no record if it cannot be read.
pub(crate) fn read_carried(bytes: &[u8]) -> Result<(Option<View<'_>>, Millis), NoField> {
    let (mut fact, mut age) = (&[][..], 0);
    for field in Fields(bytes) {
        match field? {
            (1, held) => fact = held.bytes().ok_or(NoField)?,
            (2, held) => age = held.number().ok_or(NoField)?,
            _ => {}
        }
    }
    Ok((View::new(fact), age))
}

/// What is handed to a peer.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Packet {
    #[prost(message, repeated, tag = "1")]
    pub facts: Vec<Carried>,
    /// An answer to a summary, no rumours.
    #[prost(bool, tag = "2")]
    pub page: bool,
    /// Stretches that differ and are too full to be sent unasked.
    #[prost(message, repeated, tag = "3")]
    pub gaps: Vec<HashRange>,
}

/// All facts whose subject's hash begins with these bits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Message)]
pub(crate) struct HashRange {
    #[prost(uint32, tag = "1")]
    pub bits: u32,
    #[prost(uint32, tag = "2")]
    pub prefix: u32,
}

/// Digests of the equal parts of a stretch.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Summary {
    #[prost(message, required, tag = "1")]
    pub range: HashRange,
    /// Four bytes for each part, whose number is a power of two.
    #[prost(bytes = "vec", tag = "2")]
    pub digests: Vec<u8>,
    /// Counts the summaries of the process, so that answers begin elsewhere each time.
    #[prost(uint32, tag = "3")]
    pub sequence: u32,
}

macro_rules! value_records {
    ($($name:ident { $($(#[$field:meta])* $id:ident: $type:ty,)* })*) => {
        $(
            #[derive(Clone, PartialEq, Message)]
            struct $name { $($(#[$field])* $id: $type,)* }
        )*
    };
}

value_records! {
    ListedRecord {
        #[prost(uint32, tag = "1")] lifecycle: u32,
        #[prost(string, tag = "2")] zone: String,
        #[prost(uint32, tag = "3")] cell: u32,
        #[prost(double, tag = "4")] weight: f64,
        #[prost(string, optional, tag = "5")] address: Option<String>,
        #[prost(uint64, tag = "6")] started_at_ms: u64,
        #[prost(string, tag = "7")] machine_type: String,
    }
    HeldRecord {
        #[prost(uint64, tag = "1")] life: u64,
        #[prost(uint64, tag = "2")] generation: u64,
        #[prost(fixed64, tag = "3")] digest: u64,
    }
    EvidenceRecord {
        #[prost(uint32, tag = "1")] seen: u32,
        #[prost(double, tag = "2")] weight: f64,
    }
    ColdRecord {
        #[prost(double, tag = "1")] sent: f64,
    }
    FailuresRecord {
        #[prost(uint32, tag = "1")] count: u32,
        #[prost(uint64, optional, tag = "2")] voided: Option<u64>,
    }
    PlacementRecord {
        #[prost(string, optional, tag = "1")] server: Option<String>,
        #[prost(fixed64, tag = "2")] configuration: u64,
        #[prost(uint64, tag = "3")] since: u64,
    }
    OverrideRecord {
        #[prost(uint64, tag = "1")] expires_at: u64,
        #[prost(bytes = "vec", tag = "2")] bytes: Vec<u8>,
        #[prost(bool, tag = "3")] removed: bool,
    }
    ConfigurationRecord {
        #[prost(fixed64, tag = "1")] digest: u64,
        #[prost(uint64, tag = "2")] number: u64,
    }
}

/// In the order of their numbers, from 0.
const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Serving, Lifecycle::Draining, Lifecycle::Deleted];
/// In the order of their numbers, from 0.
const SIGHTS: [Seen; 3] = [Seen::Hung, Seen::Refused, Seen::Well];

/// The bytes of a value. An entry's position is told by the record's epoch and version.
pub(crate) fn encode_value(value: &Value) -> Vec<u8> {
    match value {
        Value::Listed(entry) => ListedRecord {
            lifecycle: entry.lifecycle as u32,
            zone: entry.zone.clone(),
            cell: entry.cell,
            weight: entry.weight,
            address: entry.address.map(|address| address.to_string()),
            started_at_ms: entry.started_at_ms,
            machine_type: entry.machine_type.clone(),
        }
        .encode_to_vec(),
        Value::List(ListVersion { position, digest }) => {
            let Position {
                incarnation,
                generation,
            } = *position;
            HeldRecord {
                life: incarnation,
                generation,
                digest: *digest,
            }
            .encode_to_vec()
        }
        Value::Standing(Evidence { seen, weight }) => EvidenceRecord {
            seen: *seen as u32,
            weight: *weight,
        }
        .encode_to_vec(),
        Value::ColdSent(sent) => ColdRecord { sent: *sent }.encode_to_vec(),
        Value::Failures(Failures { count, voided }) => FailuresRecord {
            count: *count,
            voided: *voided,
        }
        .encode_to_vec(),
        Value::Placement(None) => PlacementRecord::default().encode_to_vec(),
        Value::Placement(Some(Placement {
            server,
            configuration,
            since,
        })) => {
            let server = Some(server.clone());
            PlacementRecord {
                server,
                configuration: *configuration,
                since: *since,
            }
            .encode_to_vec()
        }
        Value::Override(Override::Removed) => OverrideRecord {
            removed: true,
            ..OverrideRecord::default()
        }
        .encode_to_vec(),
        Value::Override(Override::Made { expires_at, bytes }) => OverrideRecord {
            expires_at: *expires_at,
            bytes: bytes.clone(),
            removed: false,
        }
        .encode_to_vec(),
        Value::Configuration(Configuration { digest, number }) => ConfigurationRecord {
            digest: *digest,
            number: *number,
        }
        .encode_to_vec(),
        Value::Unknown(bytes) => bytes.clone(),
    }
}

fn amount(value: f64) -> Option<f64> {
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// The value that bytes of that kind hold; nothing if this program cannot read them.
pub(crate) fn decode_value(kind: Kind, position: Position, bytes: &[u8]) -> Option<Value> {
    Some(match kind {
        Kind::Listed => {
            let read = ListedRecord::decode(bytes).ok()?;
            Value::Listed(Listed {
                position,
                lifecycle: *LIFECYCLES.get(read.lifecycle as usize)?,
                zone: read.zone,
                cell: read.cell,
                weight: amount(read.weight)?,
                address: read.address.map(|text| text.parse()).transpose().ok()?,
                started_at_ms: read.started_at_ms,
                machine_type: read.machine_type,
            })
        }
        Kind::List => {
            let HeldRecord {
                life: incarnation,
                generation,
                digest,
            } = HeldRecord::decode(bytes).ok()?;
            Value::List(ListVersion {
                position: Position {
                    incarnation,
                    generation,
                },
                digest,
            })
        }
        Kind::Standing => {
            let EvidenceRecord { seen, weight } = EvidenceRecord::decode(bytes).ok()?;
            Value::Standing(Evidence {
                seen: *SIGHTS.get(seen as usize)?,
                weight: amount(weight)?,
            })
        }
        Kind::ColdSent => Value::ColdSent(amount(ColdRecord::decode(bytes).ok()?.sent)?),
        Kind::Failures => {
            let FailuresRecord { count, voided } = FailuresRecord::decode(bytes).ok()?;
            Value::Failures(Failures { count, voided })
        }
        Kind::Placement => {
            let PlacementRecord {
                server,
                configuration,
                since,
            } = PlacementRecord::decode(bytes).ok()?;
            Value::Placement(server.map(|server| Placement {
                server,
                configuration,
                since,
            }))
        }
        Kind::Override => match OverrideRecord::decode(bytes).ok()? {
            OverrideRecord { removed: true, .. } => Value::Override(Override::Removed),
            OverrideRecord {
                expires_at, bytes, ..
            } => Value::Override(Override::Made { expires_at, bytes }),
        },
        Kind::Configuration => {
            let ConfigurationRecord { digest, number } = ConfigurationRecord::decode(bytes).ok()?;
            Value::Configuration(Configuration { digest, number })
        }
        Kind::Unknown => Value::Unknown(bytes.to_vec()),
    })
}

/// The name of a subject within its kind.
pub(crate) fn encode_key(subject: &Subject) -> Vec<u8> {
    match subject {
        Subject::Listed(name) | Subject::Standing(name) | Subject::ColdSent(name) => {
            name.clone().into_bytes()
        }
        Subject::List | Subject::Configuration => Vec::new(),
        Subject::Failures(key) => key.to_be_bytes().to_vec(),
        Subject::Placement(holder) => holder_key(*holder).to_vec(),
        Subject::Override(id) => id.clone(),
        Subject::Unknown { key, .. } => key.clone(),
    }
}

/// The key of a placement.
pub(crate) fn holder_key(holder: Holder) -> [u8; 9] {
    let (tag, number) = match holder {
        Holder::Client(number) => (0, number),
        Holder::Group(number) => (1, number),
    };
    let mut key = [tag; 9];
    key[1..].copy_from_slice(&number.to_be_bytes());
    key
}

fn decode_key(kind: Kind, key: &[u8]) -> Option<Subject> {
    let name = || String::from_utf8(key.to_vec()).ok();
    Some(match kind {
        Kind::Listed => Subject::Listed(name()?),
        Kind::List => Subject::List,
        Kind::Standing => Subject::Standing(name()?),
        Kind::ColdSent => Subject::ColdSent(name()?),
        Kind::Failures => Subject::Failures(u64::from_be_bytes(key.try_into().ok()?)),
        Kind::Placement => {
            let (tag, number) = key.split_first()?;
            let number = u64::from_be_bytes(number.try_into().ok()?);
            Subject::Placement(if *tag == 0 {
                Holder::Client(number)
            } else {
                Holder::Group(number)
            })
        }
        Kind::Override => Subject::Override(key.to_vec()),
        Kind::Configuration => Subject::Configuration,
        Kind::Unknown => return None,
    })
}

/// Where a placement says that its holder stands, read where it lies.
pub(crate) fn read_placement(value: &[u8]) -> Option<PlacementView<'_>> {
    let (mut server, mut configuration, mut since) = (None, 0, 0);
    for field in Fields(value) {
        match field.ok()? {
            (1, held) => server = Some(std::str::from_utf8(held.bytes()?).ok()?),
            (2, held) => configuration = held.number()?,
            (3, held) => since = held.number()?,
            _ => {}
        }
    }
    Some(PlacementView {
        server: server?,
        configuration,
        since,
    })
}

#[cfg(test)]
mod tests;
