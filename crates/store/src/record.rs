//! Encoding of overrides as protocol buffers.
//!
//! Fields may be added, but a field never changes its meaning or its tag, so that a program can read
//! files written by older versions.

use beaconflow_overrides::{Override, OverrideId, OverrideKind, Replay, Strictness, Subject};
use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Message)]
struct Record {
    #[prost(uint64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    who: String,
    #[prost(string, tag = "3")]
    why: String,
    /// Unix time in milliseconds, like `expires_at` and `removed_at`.
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

/// Identifies the request that created the override, so that a repetition is recognized.
#[derive(Clone, PartialEq, Message)]
struct ReplayRecord {
    #[prost(string, tag = "1")]
    key: String,
    /// Digest of the request's body.
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

/// A server gets no new connections.
#[derive(Clone, PartialEq, Message)]
struct OutRecord {
    #[prost(string, tag = "1")]
    server: String,
    /// Rate at which established connections are migrated off the server; `None` keeps them.
    #[prost(double, optional, tag = "2")]
    moves_per_s: Option<f64>,
}

/// The listed weight of a server is multiplied by `factor`.
#[derive(Clone, PartialEq, Message)]
struct WeightRecord {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(double, tag = "2")]
    factor: f64,
}

/// New connections of a group or tenant go to one server.
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

/// Encodes an override as one record.
pub(crate) fn encode(source: &Override) -> Vec<u8> {
    let kind = match &source.kind {
        OverrideKind::Out {
            server,
            moves_per_s,
        } => KindRecord::Out(OutRecord {
            server: server.clone(),
            moves_per_s: *moves_per_s,
        }),
        OverrideKind::Weight { server, factor } => KindRecord::Weight(WeightRecord {
            server: server.clone(),
            factor: *factor,
        }),
        OverrideKind::Pin {
            subject,
            server,
            strictness,
        } => KindRecord::Pin(PinRecord {
            server: server.clone(),
            subject: Some(match subject {
                Subject::Group(name) => SubjectRecord::Group(name.clone()),
                Subject::Tenant(name) => SubjectRecord::Tenant(name.clone()),
            }),
            strict: *strictness == Strictness::Strict,
        }),
    };
    let replay = source.replay.as_ref();
    let record = Record {
        id: source.id.0,
        who: source.who.clone(),
        why: source.why.clone(),
        created_at: source.created_at,
        expires_at: source.expires_at,
        removed_at: source.removed_at,
        revision: source.revision,
        forced: source.forced,
        replay: replay.map(|replay| ReplayRecord {
            key: replay.key.clone(),
            body: replay.body.clone(),
        }),
        kind: Some(kind),
    };
    record.encode_to_vec()
}

/// Decodes an override; `None` if the record is malformed, of an unknown kind, or has a weight
/// factor that is not positive and finite.
pub(crate) fn decode(bytes: &[u8]) -> Option<Override> {
    let record = Record::decode(bytes).ok()?;
    let kind = match record.kind? {
        KindRecord::Out(OutRecord {
            server,
            moves_per_s,
        }) => OverrideKind::Out {
            server,
            moves_per_s,
        },
        KindRecord::Weight(WeightRecord { server, factor })
            if factor.is_finite() && factor > 0.0 =>
        {
            OverrideKind::Weight { server, factor }
        }
        KindRecord::Weight(_) => return None,
        KindRecord::Pin(PinRecord {
            server,
            subject,
            strict,
        }) => OverrideKind::Pin {
            subject: match subject? {
                SubjectRecord::Group(name) => Subject::Group(name),
                SubjectRecord::Tenant(name) => Subject::Tenant(name),
            },
            server,
            strictness: if strict {
                Strictness::Strict
            } else {
                Strictness::Prefer
            },
        },
    };
    Some(Override {
        id: OverrideId(record.id),
        kind,
        who: record.who,
        why: record.why,
        created_at: record.created_at,
        expires_at: record.expires_at,
        removed_at: record.removed_at,
        revision: record.revision,
        forced: record.forced,
        replay: record.replay.map(|replay| Replay {
            key: replay.key,
            body: replay.body,
        }),
    })
}

#[cfg(test)]
mod tests;
