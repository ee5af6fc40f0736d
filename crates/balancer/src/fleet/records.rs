//! Records of the stored memory, as protocol buffers. Fields are only added; numbers keep their
//! meaning.

use std::net::SocketAddr;

use beaconflow_affinity::{
    Group, Key, Placement, PlacementState, Stamp, Tag, Version, VersionFact,
};
use beaconflow_store::memory::Record;
use prost::Message;

use crate::discovery::{ListedServer, ServerLifecycle, ServerList};

/// Record kinds; if the disk can't keep up, the lowest kind is dropped last.
pub(super) const LIST_RECORD: u32 = 1;
pub(super) const VERSION_RECORD: u32 = 2;
pub(super) const PREVIOUS_CLIENTS_RECORD: u32 = 3;
pub(super) const PLACEMENT_RECORD: u32 = 4;
pub(super) const UPLINK_RECORD: u32 = 5;

#[derive(Clone, PartialEq, Message)]
struct ListRecord {
    #[prost(uint64, tag = "1")]
    generation: u64,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(message, repeated, tag = "3")]
    entries: Vec<EntryRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct EntryRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, optional, tag = "2")]
    address: Option<String>,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(uint32, tag = "4")]
    cell: u32,
    #[prost(uint32, tag = "5")]
    lifecycle: u32,
    #[prost(double, tag = "6")]
    weight: f64,
    #[prost(uint64, tag = "7")]
    started_at_ms: u64,
    #[prost(string, tag = "8")]
    machine_type: String,
}

#[derive(Clone, PartialEq, Message)]
struct PlacementRecord {
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(fixed64, optional, tag = "2")]
    group: Option<u64>,
    #[prost(fixed64, tag = "3")]
    version_high: u64,
    #[prost(fixed64, tag = "4")]
    version_low: u64,
    #[prost(fixed64, tag = "5")]
    stamp: u64,
    #[prost(uint32, tag = "6")]
    seen_s: u32,
    #[prost(uint32, tag = "7")]
    state: u32,
    #[prost(uint32, tag = "8")]
    overlap_count: u32,
}

#[derive(Clone, PartialEq, Message)]
struct VersionRecord {
    #[prost(uint32, tag = "1")]
    term: u32,
    #[prost(uint64, tag = "2")]
    serial: u64,
    #[prost(uint64, tag = "3")]
    adopted_at: u64,
    #[prost(uint64, tag = "4")]
    last_run_at: u64,
}

#[derive(Clone, PartialEq, Message)]
struct PreviousClientsRecord {
    #[prost(double, tag = "1")]
    clients: f64,
}

#[derive(Clone, PartialEq, Message)]
struct UplinkRecord {
    #[prost(bool, tag = "1")]
    is_isolated: bool,
    #[prost(uint64, optional, tag = "2")]
    confirmed_at: Option<u64>,
}

/// Indexed by the numbers in records.
const LIFECYCLES: [ServerLifecycle; 3] = [
    ServerLifecycle::Serving,
    ServerLifecycle::Draining,
    ServerLifecycle::Deleted,
];

/// A record of the stored memory that was observed at `now`.
pub(super) fn record(kind: u32, subject: &[u8], value: Vec<u8>, now: u64) -> Record {
    Record {
        kind,
        subject: subject.to_vec(),
        value,
        observed_at_ms: now,
    }
}

/// Encodes the server list with the incarnation of its discovery.
pub(super) fn encode_list(list: &ServerList, list_incarnation: u64, now: u64) -> Record {
    let entry = |listed: &ListedServer| EntryRecord {
        name: listed.instance_id.clone(),
        address: listed.host_port.map(|at| at.to_string()),
        zone: listed.zone.clone(),
        cell: listed.cell,
        lifecycle: LIFECYCLES
            .iter()
            .position(|lifecycle| *lifecycle == listed.lifecycle)
            .unwrap_or(0) as u32,
        weight: listed.weight,
        started_at_ms: listed.started_at_ms,
        machine_type: listed.machine_type.clone(),
    };
    let entries = list.instances.iter().map(entry).collect();
    record(
        LIST_RECORD,
        b"",
        ListRecord {
            generation: list.generation,
            incarnation: list_incarnation,
            entries,
        }
        .encode_to_vec(),
        now,
    )
}

/// Decodes a server list with the incarnation of its discovery.
pub(super) fn decode_list(record: &Record) -> Option<(ServerList, u64)> {
    let decoded = ListRecord::decode(record.value.as_slice()).ok()?;
    let entry = |entry: EntryRecord| {
        Some(ListedServer {
            instance_id: entry.name,
            host_port: entry
                .address
                .map(|text| text.parse::<SocketAddr>())
                .transpose()
                .ok()?,
            zone: entry.zone,
            cell: entry.cell,
            lifecycle: *LIFECYCLES.get(entry.lifecycle as usize)?,
            weight: entry.weight,
            started_at_ms: entry.started_at_ms,
            machine_type: entry.machine_type,
        })
    };
    let instances: Option<Vec<ListedServer>> = decoded.entries.into_iter().map(entry).collect();
    Some((
        ServerList {
            generation: decoded.generation,
            reset: true,
            instances: instances?,
        },
        decoded.incarnation,
    ))
}

/// Encodes a placement, stored under its client key.
pub(super) fn encode_placement(placement: &Placement) -> Vec<u8> {
    let Version(version) = placement.config_version;
    PlacementRecord {
        server: placement.server.0,
        group: placement.group.map(|group| group.0),
        version_high: (version >> 64) as u64,
        version_low: version as u64,
        stamp: placement.stamp.0,
        seen_s: placement.seen_s,
        state: placement.state.to_byte().into(),
        overlap_count: placement.overlap_count.into(),
    }
    .encode_to_vec()
}

/// Decodes a placement.
pub(super) fn decode_placement(key: &[u8], bytes: &[u8]) -> Option<Placement> {
    let record = PlacementRecord::decode(bytes).ok()?;
    let key = u64::from_be_bytes(key.try_into().ok()?);
    let state = PlacementState::from_byte(u8::try_from(record.state).ok()?);
    let overlap_count = u8::try_from(record.overlap_count).unwrap_or(u8::MAX);
    Some(Placement {
        key: Key(key),
        group: record.group.map(Group),
        server: Tag(record.server),
        config_version: Version(
            u128::from(record.version_high) << 64 | u128::from(record.version_low),
        ),
        stamp: Stamp(record.stamp),
        seen_s: record.seen_s,
        state,
        overlap_count,
    })
}

/// Encodes a version of the configuration, stored under its digest.
pub(super) fn encode_version(fact: &VersionFact) -> Vec<u8> {
    let VersionFact {
        term,
        serial,
        adopted_at,
        last_run_at,
        ..
    } = *fact;
    VersionRecord {
        term,
        serial,
        adopted_at,
        last_run_at,
    }
    .encode_to_vec()
}

/// Decodes a version of the configuration.
pub(super) fn decode_version(digest: &[u8], bytes: &[u8]) -> Option<VersionFact> {
    let VersionRecord {
        term,
        serial,
        adopted_at,
        last_run_at,
    } = VersionRecord::decode(bytes).ok()?;
    let version = Version(u128::from_be_bytes(digest.try_into().ok()?));
    Some(VersionFact {
        version,
        term,
        serial,
        adopted_at,
        last_run_at,
    })
}

/// Encodes the number of clients when the process last served in full.
pub(super) fn encode_previous_clients(clients: f64, now: u64) -> Record {
    record(
        PREVIOUS_CLIENTS_RECORD,
        b"",
        PreviousClientsRecord { clients }.encode_to_vec(),
        now,
    )
}

/// Decodes the number of clients when the process last served in full.
pub(super) fn decode_previous_clients(record: &Record) -> Option<f64> {
    let PreviousClientsRecord { clients } =
        PreviousClientsRecord::decode(record.value.as_slice()).ok()?;
    (clients.is_finite() && clients >= 0.0).then_some(clients)
}

/// Encodes whether the site is isolated, and when discovery last confirmed the list.
pub(super) fn encode_uplink(is_isolated: bool, confirmed_at: Option<u64>, now: u64) -> Record {
    record(
        UPLINK_RECORD,
        b"",
        UplinkRecord {
            is_isolated,
            confirmed_at,
        }
        .encode_to_vec(),
        now,
    )
}

/// Decodes whether the site was isolated, and when discovery last confirmed the list.
pub(super) fn decode_uplink(record: &Record) -> Option<(bool, Option<u64>)> {
    let UplinkRecord {
        is_isolated,
        confirmed_at,
    } = UplinkRecord::decode(record.value.as_slice()).ok()?;
    Some((is_isolated, confirmed_at))
}

#[cfg(test)]
mod tests;
