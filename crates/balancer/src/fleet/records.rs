//! What is remembered across darkness, as protocol buffers. Fields are added, never given another meaning or number.

use std::net::SocketAddr;

use beaconflow_affinity::{Group, Key, Placement, Stamp, State, Tag, Version, VersionFact};
use beaconflow_store::memory::Record;
use prost::Message;

use crate::farm::{Lifecycle, List, Listed};

/// Kinds of records; the lowest gives way last where the disk can't keep up.
pub(super) const LIST: u32 = 1;
pub(super) const VERSION: u32 = 2;
pub(super) const FORMER: u32 = 3;
pub(super) const PLACEMENT: u32 = 4;
pub(super) const UPLINK: u32 = 5;

#[derive(Clone, PartialEq, Message)]
struct ListRecord {
    #[prost(uint64, tag = "1")]
    generation: u64,
    #[prost(uint64, tag = "2")]
    life: u64,
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
    twins: u32,
}

#[derive(Clone, PartialEq, Message)]
struct VersionRecord {
    #[prost(uint32, tag = "1")]
    reign: u32,
    #[prost(uint64, tag = "2")]
    serial: u64,
    #[prost(uint64, tag = "3")]
    since: u64,
    #[prost(uint64, tag = "4")]
    runs: u64,
}

#[derive(Clone, PartialEq, Message)]
struct FormerRecord {
    #[prost(double, tag = "1")]
    clients: f64,
}

#[derive(Clone, PartialEq, Message)]
struct UplinkRecord {
    #[prost(bool, tag = "1")]
    islanded: bool,
    #[prost(uint64, optional, tag = "2")]
    confirmed_at: Option<u64>,
}

/// In the order of their numbers, from 0.
const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Serving, Lifecycle::Draining, Lifecycle::Deleted];
pub(super) fn keep(kind: u32, subject: &[u8], value: Vec<u8>, now: u64) -> Record {
    Record {
        kind,
        subject: subject.to_vec(),
        value,
        witnessed_ms: now,
    }
}

/// The list, and the life of the discovery that told it.
pub(super) fn list(list: &List, life: u64, now: u64) -> Record {
    let entry = |listed: &Listed| EntryRecord {
        name: listed.instance_id.clone(),
        address: listed.host_port.map(|at| at.to_string()),
        zone: listed.zone.clone(),
        cell: listed.cell,
        lifecycle: LIFECYCLES
            .iter()
            .position(|one| *one == listed.lifecycle)
            .unwrap_or(0) as u32,
        weight: listed.weight,
        started_at_ms: listed.started_at_ms,
        machine_type: listed.machine_type.clone(),
    };
    let entries = list.instances.iter().map(entry).collect();
    keep(
        LIST,
        b"",
        ListRecord {
            generation: list.generation,
            life,
            entries,
        }
        .encode_to_vec(),
        now,
    )
}

/// The list that a record holds, whole, with the life of its discovery.
pub(super) fn read_list(record: &Record) -> Option<(List, u64)> {
    let read = ListRecord::decode(record.value.as_slice()).ok()?;
    let entry = |entry: EntryRecord| {
        Some(Listed {
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
    let instances: Option<Vec<Listed>> = read.entries.into_iter().map(entry).collect();
    Some((
        List {
            generation: read.generation,
            reset: true,
            instances: instances?,
        },
        read.life,
    ))
}

/// Where a client was placed, in bytes under its key.
pub(super) fn placement(placement: &Placement) -> Vec<u8> {
    let Version(version) = placement.version;
    PlacementRecord {
        server: placement.server.0,
        group: placement.group.map(|group| group.0),
        version_high: (version >> 64) as u64,
        version_low: version as u64,
        stamp: placement.stamp.0,
        seen_s: placement.seen_s,
        state: placement.state.byte().into(),
        twins: placement.twins.into(),
    }
    .encode_to_vec()
}

/// The placement that bytes under a key hold.
pub(super) fn read_placement(key: &[u8], bytes: &[u8]) -> Option<Placement> {
    let read = PlacementRecord::decode(bytes).ok()?;
    let key = u64::from_be_bytes(key.try_into().ok()?);
    let state = State::of(u8::try_from(read.state).ok()?);
    let twins = u8::try_from(read.twins).unwrap_or(u8::MAX);
    Some(Placement {
        key: Key(key),
        group: read.group.map(Group),
        server: Tag(read.server),
        version: Version(u128::from(read.version_high) << 64 | u128::from(read.version_low)),
        stamp: Stamp(read.stamp),
        seen_s: read.seen_s,
        state,
        twins,
    })
}

/// What is known of a version of the configuration, in bytes under its digest.
pub(super) fn version(fact: &VersionFact) -> Vec<u8> {
    let VersionFact {
        reign,
        serial,
        since,
        runs,
        ..
    } = *fact;
    VersionRecord {
        reign,
        serial,
        since,
        runs,
    }
    .encode_to_vec()
}

/// The version that bytes under a digest tell of.
pub(super) fn read_version(digest: &[u8], bytes: &[u8]) -> Option<VersionFact> {
    let VersionRecord {
        reign,
        serial,
        since,
        runs,
    } = VersionRecord::decode(bytes).ok()?;
    let version = Version(u128::from_be_bytes(digest.try_into().ok()?));
    Some(VersionFact {
        version,
        reign,
        serial,
        since,
        runs,
    })
}

/// How many clients stood here when the program last served in full.
pub(super) fn former(clients: f64, now: u64) -> Record {
    keep(FORMER, b"", FormerRecord { clients }.encode_to_vec(), now)
}

/// That count.
pub(super) fn read_former(record: &Record) -> Option<f64> {
    let FormerRecord { clients } = FormerRecord::decode(record.value.as_slice()).ok()?;
    (clients.is_finite() && clients >= 0.0).then_some(clients)
}

/// Whether the site was an island, and when discovery last confirmed the list.
pub(super) fn uplink(islanded: bool, confirmed_at: Option<u64>, now: u64) -> Record {
    keep(
        UPLINK,
        b"",
        UplinkRecord {
            islanded,
            confirmed_at,
        }
        .encode_to_vec(),
        now,
    )
}

/// The same.
pub(super) fn read_uplink(record: &Record) -> Option<(bool, Option<u64>)> {
    let UplinkRecord {
        islanded,
        confirmed_at,
    } = UplinkRecord::decode(record.value.as_slice()).ok()?;
    Some((islanded, confirmed_at))
}

#[cfg(test)]
mod tests;
