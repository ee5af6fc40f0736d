//! The stored memory of the process: writing, and reading at the start.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

use beaconflow_affinity::{Placement, VersionFact};
use beaconflow_store::memory::{self, MemoryContents, Record, Writer};
use tracing::{error, info, warn};

use super::{Millis, records};
use crate::discovery::ServerList;
use crate::operator;

/// Time for the last write during a shutdown.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which expired records are removed and the file's size is checked.
const HOUSEKEEPING_INTERVAL_MS: Millis = 10_000;
/// Most expired placements removed at once.
const MAX_EXPIRED_PER_PASS: usize = 10_000;

/// Contents of the stored memory at the start.
#[derive(Default)]
pub(super) struct RestoredMemory {
    /// Incarnation number of this process; 0 if the memory has none.
    pub(super) incarnation: u64,
    /// When the memory was last written, by the wall clock at that time.
    pub(super) written_at: Option<Millis>,
    /// The server list with the incarnation of the discovery that sent it.
    pub(super) list: Option<(ServerList, u64)>,
    pub(super) placements: Vec<Placement>,
    pub(super) versions: Vec<VersionFact>,
    pub(super) previous_clients: Option<f64>,
    /// Whether the site was isolated, and when discovery last confirmed the list.
    pub(super) uplink: Option<(bool, Option<u64>)>,
}

/// Writes the stored memory, where one is configured.
pub(super) struct MemoryWriter {
    writer: Option<Writer>,
    path: PathBuf,
    max_bytes: u64,
    /// Seconds after which a placement expires.
    retention_s: u32,
    /// Stored placements: when each client key was last seen, in seconds.
    last_seen_s: HashMap<u64, u32>,
    is_full: bool,
    housekeeping_at: Millis,
}

/// Opens the memory. Faults are logged, and the process serves without it.
pub(super) fn open(
    fleet_config: &operator::FleetConfig,
    wall_ms: Millis,
) -> (MemoryWriter, RestoredMemory) {
    let retention_s = u32::try_from(fleet_config.affinity.retention.as_secs()).unwrap_or(u32::MAX);
    let Some(config) = &fleet_config.memory else {
        return (
            MemoryWriter::disabled(PathBuf::new(), retention_s),
            RestoredMemory::default(),
        );
    };
    let (memory, remembered) = match memory::open(&config.path, &fleet_config.name, wall_ms) {
        Ok(opened) => opened,
        Err(error) => {
            error!(part = "memory", file = %config.path.display(), why = %error, "memory could not be opened; nothing is restored or stored");
            return (
                MemoryWriter::disabled(config.path.clone(), retention_s),
                RestoredMemory::default(),
            );
        }
    };
    log_faults(&remembered);
    let restored = RestoredMemory::read(&remembered);
    let writer = Writer::spawn(memory)
        .inspect_err(|error| {
            error!(
                part = "memory",
                why = error,
                "memory writer could not be started; nothing is stored"
            )
        })
        .ok();
    let last_seen_s = restored
        .placements
        .iter()
        .map(|placement| (placement.key.0, placement.seen_s))
        .collect();
    let memory_writer = MemoryWriter {
        writer,
        max_bytes: config.max_bytes,
        last_seen_s,
        ..MemoryWriter::disabled(config.path.clone(), retention_s)
    };
    (memory_writer, restored)
}

fn log_faults(remembered: &MemoryContents) {
    if let Some(moved_aside) = &remembered.moved_aside {
        warn!(part = "memory", what = %moved_aside, "memory file can't be used");
    }
    if let Some(why) = &remembered.write_error {
        warn!(
            part = "memory",
            why, "memory can't be written; new state is not stored"
        );
    }
    if remembered.clock_went_back {
        warn!(
            part = "memory",
            "wall clock is behind the last write of the memory; ages are unknown"
        );
    }
}

impl RestoredMemory {
    /// Reads all records, and logs how many there were.
    fn read(remembered: &MemoryContents) -> RestoredMemory {
        let mut restored = RestoredMemory {
            incarnation: remembered.incarnation,
            written_at: remembered.last_written_at_ms,
            ..RestoredMemory::default()
        };
        let mut unreadable = remembered.unreadable_records;
        for record in &remembered.records {
            unreadable += u64::from(!restored.read_record(record));
        }
        let list = restored.list.as_ref();
        info!(
            part = "memory",
            boot = remembered.incarnation,
            list = list.map_or(0, |(list, _)| list.instances.len()),
            placements = restored.placements.len(),
            unreadable,
            "records restored"
        );
        restored
    }

    /// Reads a record; returns whether it could be parsed.
    fn read_record(&mut self, record: &Record) -> bool {
        match record.kind {
            records::LIST_RECORD => {
                let list = records::decode_list(record);
                let is_valid = list.is_some();
                self.list = list.or(self.list.take());
                is_valid
            }
            records::PREVIOUS_CLIENTS_RECORD => {
                self.previous_clients = records::decode_previous_clients(record);
                self.previous_clients.is_some()
            }
            records::UPLINK_RECORD => {
                self.uplink = records::decode_uplink(record);
                self.uplink.is_some()
            }
            records::VERSION_RECORD => {
                let fact = records::decode_version(&record.subject, &record.value);
                self.versions.extend(fact);
                fact.is_some()
            }
            records::PLACEMENT_RECORD => {
                let placement = records::decode_placement(&record.subject, &record.value);
                self.placements.extend(placement);
                placement.is_some()
            }
            _ => false,
        }
    }
}

impl MemoryWriter {
    /// A writer that stores nothing.
    fn disabled(path: PathBuf, retention_s: u32) -> MemoryWriter {
        MemoryWriter {
            writer: None,
            path,
            max_bytes: 0,
            retention_s,
            last_seen_s: HashMap::new(),
            is_full: false,
            housekeeping_at: 0,
        }
    }

    /// Whether anything is stored.
    pub(super) fn is_persistent(&self) -> bool {
        self.writer
            .as_ref()
            .is_some_and(|writer| !writer.counts().is_degraded)
    }

    /// Stores a record without blocking.
    pub(super) fn store(&self, record: Record) {
        if let Some(writer) = &self.writer {
            writer.put(record);
        }
    }

    /// Stores a placement, unless the file is full.
    pub(super) fn store_placement(&mut self, placement: &Placement, now: Millis) {
        let Some(writer) = &self.writer else { return };
        let key = placement.key.0;
        if self.is_full && !self.last_seen_s.contains_key(&key) {
            return;
        }
        self.last_seen_s.insert(key, placement.seen_s);
        let value = records::encode_placement(placement);
        writer.put(records::record(
            records::PLACEMENT_RECORD,
            &key.to_be_bytes(),
            value,
            now,
        ));
    }

    /// Removes expired placements and checks the file's size.
    pub(super) fn on_timer(&mut self, now: Millis) {
        let Some(writer) = self.writer.as_ref().filter(|_| now >= self.housekeeping_at) else {
            return;
        };
        self.housekeeping_at = now.saturating_add(HOUSEKEEPING_INTERVAL_MS);
        let oldest_s = u32::try_from(now / 1_000)
            .unwrap_or(u32::MAX)
            .saturating_sub(self.retention_s);
        let expired = self
            .last_seen_s
            .iter()
            .filter(|(_, last_seen_s)| **last_seen_s < oldest_s)
            .map(|(key, _)| *key);
        let expired: Vec<u64> = expired.take(MAX_EXPIRED_PER_PASS).collect();
        for key in expired {
            self.last_seen_s.remove(&key);
            writer.delete(records::PLACEMENT_RECORD, key.to_be_bytes().to_vec());
        }
        let size = std::fs::metadata(&self.path).map_or(0, |metadata| metadata.len());
        let is_full = size > self.max_bytes;
        if is_full != self.is_full {
            self.is_full = is_full;
            warn!(
                part = "memory",
                size,
                most = self.max_bytes,
                full = is_full,
                "memory file crossed its size limit; no new placements are stored while it is full"
            );
        }
    }

    /// Writes what is pending; returns whether all of it was written in time.
    pub(super) fn finish(self) -> bool {
        self.writer
            .is_none_or(|writer| writer.close(FINAL_WRITE_TIMEOUT))
    }
}
