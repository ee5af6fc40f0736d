//! Overrides as protocol buffers.
//!
//! Fields are added, never given another meaning or number, so that each program reads what older ones wrote.

use beaconflow_overrides::{Id, Kind, Override, Replay, Strictness, Subject};
use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Message)]
struct Record {
    #[prost(uint64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    who: String,
    #[prost(string, tag = "3")]
    why: String,
    /// Unix time in milliseconds, here and below.
    #[prost(uint64, tag = "4")]
    created_at: u64,
    #[prost(uint64, tag = "5")]
    expires_at: u64,
    #[prost(uint64, optional, tag = "6")]
    removed_at: Option<u64>,
    #[prost(uint64, tag = "7")]
    revision: u64,
    #[prost(bool, tag = "8")]
    forced: bool,
    #[prost(message, optional, tag = "9")]
    replay: Option<ReplayRecord>,
    #[prost(oneof = "KindRecord", tags = "10, 11, 12")]
    kind: Option<KindRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct ReplayRecord {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "vec", tag = "2")]
    body: Vec<u8>,
}

#[derive(Clone, PartialEq, Oneof)]
enum KindRecord {
    #[prost(message, tag = "10")]
    Out(OutRecord),
    #[prost(message, tag = "11")]
    Weight(WeightRecord),
    #[prost(message, tag = "12")]
    Pin(PinRecord),
}

#[derive(Clone, PartialEq, Message)]
struct OutRecord {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(double, optional, tag = "2")]
    moves_per_s: Option<f64>,
}

#[derive(Clone, PartialEq, Message)]
struct WeightRecord {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(double, tag = "2")]
    factor: f64,
}

#[derive(Clone, PartialEq, Message)]
struct PinRecord {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(oneof = "SubjectRecord", tags = "2, 3")]
    subject: Option<SubjectRecord>,
    #[prost(bool, tag = "4")]
    strict: bool,
}

#[derive(Clone, PartialEq, Oneof)]
enum SubjectRecord {
    #[prost(string, tag = "2")]
    Group(String),
    #[prost(string, tag = "3")]
    Tenant(String),
}

/// The bytes of an override.
pub(crate) fn encode(one: &Override) -> Vec<u8> {
    let kind = match &one.kind {
        Kind::Out { server, moves_per_s } => {
            KindRecord::Out(OutRecord { server: server.clone(), moves_per_s: *moves_per_s })
        }
        Kind::Weight { server, factor } => {
            KindRecord::Weight(WeightRecord { server: server.clone(), factor: *factor })
        }
        Kind::Pin { subject, server, strictness } => KindRecord::Pin(PinRecord {
            server: server.clone(),
            subject: Some(match subject {
                Subject::Group(name) => SubjectRecord::Group(name.clone()),
                Subject::Tenant(name) => SubjectRecord::Tenant(name.clone()),
            }),
            strict: *strictness == Strictness::Strict,
        }),
    };
    let replay = one.replay.as_ref();
    let record = Record {
        id: one.id.0,
        who: one.who.clone(),
        why: one.why.clone(),
        created_at: one.created_at,
        expires_at: one.expires_at,
        removed_at: one.removed_at,
        revision: one.revision,
        forced: one.forced,
        replay: replay.map(|replay| ReplayRecord { key: replay.key.clone(), body: replay.body.clone() }),
        kind: Some(kind),
    };
    record.encode_to_vec()
}

/// The override that bytes hold; nothing if they hold none, or one of a kind that this program does not know.
pub(crate) fn decode(bytes: &[u8]) -> Option<Override> {
    let record = Record::decode(bytes).ok()?;
    let kind = match record.kind? {
        KindRecord::Out(OutRecord { server, moves_per_s }) => Kind::Out { server, moves_per_s },
        KindRecord::Weight(WeightRecord { server, factor }) if factor.is_finite() && factor > 0.0 => {
            Kind::Weight { server, factor }
        }
        KindRecord::Weight(_) => return None,
        KindRecord::Pin(PinRecord { server, subject, strict }) => Kind::Pin {
            subject: match subject? {
                SubjectRecord::Group(name) => Subject::Group(name),
                SubjectRecord::Tenant(name) => Subject::Tenant(name),
            },
            server,
            strictness: if strict { Strictness::Strict } else { Strictness::Prefer },
        },
    };
    Some(Override {
        id: Id(record.id),
        kind,
        who: record.who,
        why: record.why,
        created_at: record.created_at,
        expires_at: record.expires_at,
        removed_at: record.removed_at,
        revision: record.revision,
        forced: record.forced,
        replay: record.replay.map(|replay| Replay { key: replay.key, body: replay.body }),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pin() -> Override {
        Override {
            id: Id(7),
            kind: Kind::Pin {
                subject: Subject::Tenant("north".into()),
                server: "s1".into(),
                strictness: Strictness::Strict,
            },
            who: "ada".into(),
            why: "why".into(),
            created_at: 1,
            expires_at: 2,
            removed_at: Some(2),
            revision: 3,
            forced: true,
            replay: Some(Replay { key: "k".into(), body: vec![1, 2] }),
        }
    }

    #[test]
    fn what_is_written_is_read_back() {
        for kind in [
            pin().kind,
            Kind::Out { server: "s".into(), moves_per_s: Some(0.5) },
            Kind::Out { server: "s".into(), moves_per_s: None },
            Kind::Weight { server: "s".into(), factor: 0.25 },
            Kind::Pin {
                subject: Subject::Group("g".into()),
                server: "s".into(),
                strictness: Strictness::Prefer,
            },
        ] {
            let one = Override { kind, ..pin() };
            assert_eq!(decode(&encode(&one)), Some(one));
        }
    }

    #[test]
    fn records_of_other_programs_are_read_or_refused_but_never_misread() {
        // An older one without the later fields.
        let older =
            Record { removed_at: None, replay: None, ..Record::decode(&encode(&pin())[..]).expect("sound") };
        let read = decode(&older.encode_to_vec()).expect("an older record");
        assert_eq!((read.removed_at, read.replay), (None, None));
        // A newer one with a field that is not known here: field 99, a varint.
        let mut newer = encode(&pin());
        newer.extend([0x98, 0x06, 0x01]);
        assert_eq!(decode(&newer), Some(pin()));
        // A kind that is not known, a weight of nothing, and no record at all.
        assert_eq!(decode(&Record { kind: None, ..older.clone() }.encode_to_vec()), None);
        let naught = KindRecord::Weight(WeightRecord { server: "s".into(), factor: 0.0 });
        assert_eq!(decode(&Record { kind: Some(naught), ..older }.encode_to_vec()), None);
        assert_eq!(decode(b"\xff\xff\xff"), None);
    }
}
