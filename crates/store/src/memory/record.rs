//! Records and changes as protocol buffers.
//!
//! Fields are added, never given another meaning or number, so that each program reads what older ones wrote.

use prost::Message;

use super::{Change, Record};

/// A record in the snapshot, where its key tells kind and subject.
#[derive(Clone, PartialEq, Message)]
struct Row {
    #[prost(uint64, tag = "1")]
    observed_at_ms: u64,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
}

/// A change in the journal.
#[derive(Clone, PartialEq, Message)]
struct Entry {
    #[prost(bytes = "vec", tag = "1")]
    key: Vec<u8>,
    /// The row as it is in the snapshot; none where it is forgotten.
    #[prost(bytes = "vec", optional, tag = "2")]
    row: Option<Vec<u8>>,
}

/// The key of a kind and a subject: the kind first, so that kinds stand together.
pub(super) fn key(kind: u32, subject: &[u8]) -> Vec<u8> {
    [&kind.to_be_bytes(), subject].concat()
}

/// The bytes of a change.
pub(super) fn encode_entry(change: &Change) -> Vec<u8> {
    let entry = match change {
        Change::Put(Record {
            kind,
            subject,
            value,
            observed_at_ms,
        }) => {
            let row = Row {
                observed_at_ms: *observed_at_ms,
                value: value.clone(),
            };
            Entry {
                key: key(*kind, subject),
                row: Some(row.encode_to_vec()),
            }
        }
        Change::Delete { kind, subject } => Entry {
            key: key(*kind, subject),
            row: None,
        },
    };
    entry.encode_to_vec()
}

/// The key of a change, and the row that it leaves there; nothing if the bytes hold none.
pub(super) fn decode_entry(bytes: &[u8]) -> Option<(Vec<u8>, Option<Vec<u8>>)> {
    let Entry { key, row } = Entry::decode(bytes).ok()?;
    (key.len() >= 4).then_some((key, row))
}

/// The record that a row under a key holds; nothing if it holds none.
pub(super) fn decode_row(key: &[u8], row: &[u8]) -> Option<Record> {
    let (kind, subject) = key.split_first_chunk::<4>()?;
    let Row {
        observed_at_ms,
        value,
    } = Row::decode(row).ok()?;
    Some(Record {
        kind: u32::from_be_bytes(*kind),
        subject: subject.to_vec(),
        value,
        observed_at_ms,
    })
}

#[cfg(test)]
mod tests;
