//! Encoding of records and changes as protocol buffers.
//!
//! Fields may be added, but keep their meaning and number, so that each program reads the files of older ones.

use prost::Message;

use super::{Change, Record};

/// A record in the snapshot. Its key contains kind and subject.
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
    /// The row for the snapshot; absent for a deletion.
    #[prost(bytes = "vec", optional, tag = "2")]
    row: Option<Vec<u8>>,
}

/// Key of a kind and subject. The kind comes first, so that records of one kind are adjacent.
pub(super) fn key(kind: u32, subject: &[u8]) -> Vec<u8> {
    [&kind.to_be_bytes(), subject].concat()
}

/// Encodes a change as a journal entry.
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

/// Decodes a journal entry into a key and its new row, which is `None` for a deletion; `None` if it is malformed.
pub(super) fn decode_entry(bytes: &[u8]) -> Option<(Vec<u8>, Option<Vec<u8>>)> {
    let Entry { key, row } = Entry::decode(bytes).ok()?;
    (key.len() >= 4).then_some((key, row))
}

/// Decodes a row of the snapshot; `None` if key or row is malformed.
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
