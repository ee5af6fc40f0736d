//! Encoding of facts as protocol buffers, on the wire and on disk alike.
//!
//! Fields are added, but never change their meaning or number. A fact's record is kept and forwarded byte for byte as
//! its origin wrote it, so that fields and kinds of a newer version reach other processes of that version through this
//! one.

use prost::Message;

use crate::Millis;
use crate::fact::{
    Configuration, Fact, FactKind, Lifecycle, ListPosition, ListVersion, ObservedHealth, Origin,
    Override, Placement, PlacementFailures, PlacementKey, PlacementView, ServerEntry,
    ServerEvidence, Subject, Value,
};
use crate::wire::{FieldError, Fields};

/// Most bytes of a fact's record.
pub(crate) const MAX_RECORD_BYTES: usize = 8 << 10;
/// Most bytes of a process name and of a subject's key.
const MAX_NAME_BYTES: usize = 512;
/// Upper limit on versions and epochs. Prevents a fact that no later one could replace.
pub(crate) const MAX_VERSION: u64 = 1 << 62;

/// A fact without its age, as it is encoded: the same bytes at every process.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Record {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// Whether each process has its own fact on the subject.
    #[prost(bool, tag = "3")]
    pub is_per_process: bool,
    #[prost(bytes = "vec", tag = "4")]
    pub name: Vec<u8>,
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// Time of observation by the origin's clock; 0 if it equals the version.
    #[prost(uint64, tag = "8")]
    pub origin_observed_at: u64,
    #[prost(uint64, tag = "9")]
    pub valid_for: u64,
    /// Minimum retention, which may exceed the validity so that the fact that this one replaced cannot come back.
    #[prost(uint64, tag = "10")]
    pub retained_for: u64,
    #[prost(bytes = "vec", tag = "11")]
    pub value: Vec<u8>,
}

/// A decoded record that borrows from the encoded bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordView<'a> {
    /// The whole record as its origin wrote it.
    pub raw: &'a [u8],
    pub kind: u32,
    pub key: &'a [u8],
    pub is_per_process: bool,
    pub name: &'a [u8],
    pub incarnation: u64,
    pub epoch: u64,
    pub version: u64,
    pub origin_observed_at: u64,
    pub valid_for: u64,
    pub retained_for: u64,
    pub value: &'a [u8],
}

impl<'a> RecordView<'a> {
    /// Decodes a record; `None` if it is invalid or exceeds a limit that every version observes.
    pub fn new(raw: &'a [u8]) -> Option<RecordView<'a>> {
        if raw.len() > MAX_RECORD_BYTES {
            return None;
        }
        let mut view = RecordView {
            raw,
            ..RecordView::default()
        };
        for field in Fields(raw) {
            let (number, value) = field.ok()?;
            match number {
                1 => view.kind = u32::try_from(value.number()?).ok()?,
                2 => view.key = value.bytes()?,
                3 => view.is_per_process = value.number()? != 0,
                4 => view.name = value.bytes()?,
                5 => view.incarnation = value.number()?,
                6 => view.epoch = value.number()?,
                7 => view.version = value.number()?,
                8 => view.origin_observed_at = value.number()?,
                9 => view.valid_for = value.number()?,
                10 => view.retained_for = value.number()?,
                11 => view.value = value.bytes()?,
                // A field of a newer version.
                _ => {}
            }
        }
        let names_fit = view.key.len() <= MAX_NAME_BYTES && view.name.len() <= MAX_NAME_BYTES;
        (names_fit && view.epoch <= MAX_VERSION && view.version <= MAX_VERSION).then_some(view)
    }

    /// Decides, after epoch and version, which of two facts on a subject is later.
    pub fn tie_breaker(&self) -> (u64, u64, &[u8]) {
        (self.origin_observed_at, self.incarnation, self.name)
    }

    /// The decoded fact. Parts that this version cannot read become unknown.
    pub fn fact(&self, observed_at: Millis) -> Fact {
        let kind = FactKind::from_number(self.kind);
        let position = ListPosition {
            incarnation: self.epoch,
            generation: self.version,
        };
        let value = decode_value(kind, position, self.value);
        let unknown = || Subject::Unknown {
            kind: self.kind,
            key: self.key.to_vec(),
            is_per_process: self.is_per_process,
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
            origin_observed_at: if self.origin_observed_at == 0 {
                self.version
            } else {
                self.origin_observed_at
            },
            valid_for: self.valid_for,
        }
    }
}

/// A record and its age when it was sent or written.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AgedRecord {
    #[prost(bytes = "vec", tag = "1")]
    pub record: Vec<u8>,
    #[prost(uint64, tag = "2")]
    pub age: u64,
}

/// Decodes an aged record; the view is `None` if the record in it is not valid.
pub(crate) fn read_aged_record(
    bytes: &[u8],
) -> Result<(Option<RecordView<'_>>, Millis), FieldError> {
    let (mut record, mut age) = (&[][..], 0);
    for field in Fields(bytes) {
        match field? {
            (1, value) => record = value.bytes().ok_or(FieldError)?,
            (2, value) => age = value.number().ok_or(FieldError)?,
            _ => {}
        }
    }
    Ok((RecordView::new(record), age))
}

/// A message to a peer.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Packet {
    #[prost(message, repeated, tag = "1")]
    pub facts: Vec<AgedRecord>,
    /// Whether it is a page that answers a summary, not gossip.
    #[prost(bool, tag = "2")]
    pub is_page: bool,
    /// Ranges that differ and are too full to be sent unasked.
    #[prost(message, repeated, tag = "3")]
    pub differing_ranges: Vec<HashRange>,
}

/// All facts whose subject's hash begins with these bits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Message)]
pub(crate) struct HashRange {
    #[prost(uint32, tag = "1")]
    pub bits: u32,
    #[prost(uint32, tag = "2")]
    pub prefix: u32,
}

/// Digests of the equal parts of a range.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Summary {
    #[prost(message, required, tag = "1")]
    pub range: HashRange,
    /// Four bytes for each part; the number of parts is a power of two.
    #[prost(bytes = "vec", tag = "2")]
    pub digests: Vec<u8>,
    /// Counts the summaries of the process, so that each answer begins at another part.
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
    ServerEntryRecord {
        #[prost(uint32, tag = "1")] lifecycle: u32,
        #[prost(string, tag = "2")] zone: String,
        #[prost(uint32, tag = "3")] cell: u32,
        #[prost(double, tag = "4")] weight: f64,
        #[prost(string, optional, tag = "5")] address: Option<String>,
        #[prost(uint64, tag = "6")] started_at_ms: u64,
        #[prost(string, tag = "7")] machine_type: String,
    }
    ListVersionRecord {
        #[prost(uint64, tag = "1")] incarnation: u64,
        #[prost(uint64, tag = "2")] generation: u64,
        #[prost(fixed64, tag = "3")] digest: u64,
    }
    EvidenceRecord {
        #[prost(uint32, tag = "1")] observed: u32,
        #[prost(double, tag = "2")] weight: f64,
    }
    SlowStartSendsRecord {
        #[prost(double, tag = "1")] sent: f64,
    }
    FailuresRecord {
        #[prost(uint32, tag = "1")] count: u32,
        #[prost(uint64, optional, tag = "2")] last_success_age: Option<u64>,
    }
    PlacementRecord {
        #[prost(string, optional, tag = "1")] server: Option<String>,
        #[prost(fixed64, tag = "2")] configuration_digest: u64,
        #[prost(uint64, tag = "3")] placed_at: u64,
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

/// In the order of their numbers in records, from 0.
const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Serving, Lifecycle::Draining, Lifecycle::Deleted];
/// In the order of their numbers in records, from 0.
const HEALTH_STATES: [ObservedHealth; 3] = [
    ObservedHealth::Hung,
    ObservedHealth::Refused,
    ObservedHealth::Healthy,
];

/// Encodes a value. The position of a server entry is carried in the epoch and version of its record.
pub(crate) fn encode_value(value: &Value) -> Vec<u8> {
    match value {
        Value::ServerEntry(entry) => ServerEntryRecord {
            lifecycle: entry.lifecycle as u32,
            zone: entry.zone.clone(),
            cell: entry.cell,
            weight: entry.weight,
            address: entry.address.map(|address| address.to_string()),
            started_at_ms: entry.started_at_ms,
            machine_type: entry.machine_type.clone(),
        }
        .encode_to_vec(),
        Value::ListVersion(ListVersion { position, digest }) => {
            let ListPosition {
                incarnation,
                generation,
            } = *position;
            ListVersionRecord {
                incarnation,
                generation,
                digest: *digest,
            }
            .encode_to_vec()
        }
        Value::ServerEvidence(ServerEvidence { observed, weight }) => EvidenceRecord {
            observed: *observed as u32,
            weight: *weight,
        }
        .encode_to_vec(),
        Value::SlowStartSends(sent) => SlowStartSendsRecord { sent: *sent }.encode_to_vec(),
        Value::PlacementFailures(PlacementFailures {
            count,
            last_success_age,
        }) => FailuresRecord {
            count: *count,
            last_success_age: *last_success_age,
        }
        .encode_to_vec(),
        Value::Placement(None) => PlacementRecord::default().encode_to_vec(),
        Value::Placement(Some(Placement {
            server,
            configuration_digest,
            placed_at,
        })) => {
            let server = Some(server.clone());
            PlacementRecord {
                server,
                configuration_digest: *configuration_digest,
                placed_at: *placed_at,
            }
            .encode_to_vec()
        }
        Value::Override(Override::Removed) => OverrideRecord {
            removed: true,
            ..OverrideRecord::default()
        }
        .encode_to_vec(),
        Value::Override(Override::Set { expires_at, bytes }) => OverrideRecord {
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

/// Decodes a value of that kind; `None` if this version cannot read it.
pub(crate) fn decode_value(kind: FactKind, position: ListPosition, bytes: &[u8]) -> Option<Value> {
    Some(match kind {
        FactKind::ServerEntry => {
            let decoded = ServerEntryRecord::decode(bytes).ok()?;
            Value::ServerEntry(ServerEntry {
                position,
                lifecycle: *LIFECYCLES.get(decoded.lifecycle as usize)?,
                zone: decoded.zone,
                cell: decoded.cell,
                weight: amount(decoded.weight)?,
                address: decoded.address.map(|text| text.parse()).transpose().ok()?,
                started_at_ms: decoded.started_at_ms,
                machine_type: decoded.machine_type,
            })
        }
        FactKind::ListVersion => {
            let ListVersionRecord {
                incarnation,
                generation,
                digest,
            } = ListVersionRecord::decode(bytes).ok()?;
            Value::ListVersion(ListVersion {
                position: ListPosition {
                    incarnation,
                    generation,
                },
                digest,
            })
        }
        FactKind::ServerEvidence => {
            let EvidenceRecord { observed, weight } = EvidenceRecord::decode(bytes).ok()?;
            Value::ServerEvidence(ServerEvidence {
                observed: *HEALTH_STATES.get(observed as usize)?,
                weight: amount(weight)?,
            })
        }
        FactKind::SlowStartSends => {
            Value::SlowStartSends(amount(SlowStartSendsRecord::decode(bytes).ok()?.sent)?)
        }
        FactKind::PlacementFailures => {
            let FailuresRecord {
                count,
                last_success_age,
            } = FailuresRecord::decode(bytes).ok()?;
            Value::PlacementFailures(PlacementFailures {
                count,
                last_success_age,
            })
        }
        FactKind::Placement => {
            let PlacementRecord {
                server,
                configuration_digest,
                placed_at,
            } = PlacementRecord::decode(bytes).ok()?;
            Value::Placement(server.map(|server| Placement {
                server,
                configuration_digest,
                placed_at,
            }))
        }
        FactKind::Override => match OverrideRecord::decode(bytes).ok()? {
            OverrideRecord { removed: true, .. } => Value::Override(Override::Removed),
            OverrideRecord {
                expires_at, bytes, ..
            } => Value::Override(Override::Set { expires_at, bytes }),
        },
        FactKind::Configuration => {
            let ConfigurationRecord { digest, number } = ConfigurationRecord::decode(bytes).ok()?;
            Value::Configuration(Configuration { digest, number })
        }
        FactKind::Unknown => Value::Unknown(bytes.to_vec()),
    })
}

/// Encodes the key of a subject within its kind.
pub(crate) fn encode_key(subject: &Subject) -> Vec<u8> {
    match subject {
        Subject::ServerEntry(name)
        | Subject::ServerEvidence(name)
        | Subject::SlowStartSends(name) => name.clone().into_bytes(),
        Subject::ListVersion | Subject::Configuration => Vec::new(),
        Subject::PlacementFailures(key) => key.to_be_bytes().to_vec(),
        Subject::Placement(key) => encode_placement_key(*key).to_vec(),
        Subject::Override(id) => id.clone(),
        Subject::Unknown { key, .. } => key.clone(),
    }
}

/// Encodes the key of a placement.
pub(crate) fn encode_placement_key(key: PlacementKey) -> [u8; 9] {
    let (tag, number) = match key {
        PlacementKey::Client(number) => (0, number),
        PlacementKey::Group(number) => (1, number),
    };
    let mut key = [tag; 9];
    key[1..].copy_from_slice(&number.to_be_bytes());
    key
}

fn decode_key(kind: FactKind, key: &[u8]) -> Option<Subject> {
    let name = || String::from_utf8(key.to_vec()).ok();
    Some(match kind {
        FactKind::ServerEntry => Subject::ServerEntry(name()?),
        FactKind::ListVersion => Subject::ListVersion,
        FactKind::ServerEvidence => Subject::ServerEvidence(name()?),
        FactKind::SlowStartSends => Subject::SlowStartSends(name()?),
        FactKind::PlacementFailures => {
            Subject::PlacementFailures(u64::from_be_bytes(key.try_into().ok()?))
        }
        FactKind::Placement => {
            let (tag, number) = key.split_first()?;
            let number = u64::from_be_bytes(number.try_into().ok()?);
            Subject::Placement(if *tag == 0 {
                PlacementKey::Client(number)
            } else {
                PlacementKey::Group(number)
            })
        }
        FactKind::Override => Subject::Override(key.to_vec()),
        FactKind::Configuration => Subject::Configuration,
        FactKind::Unknown => return None,
    })
}

/// Decodes a placement in place; `None` if the client or group has left or the value is invalid.
pub(crate) fn read_placement(value: &[u8]) -> Option<PlacementView<'_>> {
    let (mut server, mut configuration_digest, mut placed_at) = (None, 0, 0);
    for field in Fields(value) {
        match field.ok()? {
            (1, value) => server = Some(std::str::from_utf8(value.bytes()?).ok()?),
            (2, value) => configuration_digest = value.number()?,
            (3, value) => placed_at = value.number()?,
            _ => {}
        }
    }
    Some(PlacementView {
        server: server?,
        configuration_digest,
        placed_at,
    })
}

#[cfg(test)]
mod tests;
