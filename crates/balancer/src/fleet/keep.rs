//! What outlives the process: what is written of it, and what is read back at the start.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

use beaconflow_affinity::{Placement, VersionFact};
use beaconflow_store::memory::{self, Record, Writer};
use tracing::{error, info, warn};

use super::{Millis, records};
use crate::farm::List;
use crate::operator;

/// The last batch may take so long when the program leaves.
const LAST_BATCH: Duration = Duration::from_millis(500);
/// The file's size is looked at, and what is past its life is cleared away, this often.
const HOUSEKEEPING: Millis = 10_000;
/// Placements that are cleared away each time.
const CLEARED: usize = 10_000;

/// What was remembered.
#[derive(Default)]
pub(super) struct Restored {
    /// This process's boot number; 0 where nothing tells it.
    pub(super) boot: u64,
    /// When the memory was last written, by the wall clock of then.
    pub(super) written_at: Option<Millis>,
    /// The list, and the life of the discovery that told it.
    pub(super) list: Option<(List, u64)>,
    pub(super) placements: Vec<Placement>,
    pub(super) versions: Vec<VersionFact>,
    pub(super) former: Option<f64>,
    /// Whether the site was an island, and when discovery last confirmed the list.
    pub(super) uplink: Option<(bool, Option<u64>)>,
}

/// Where it is written, if anywhere.
pub(super) struct MemoryWriter {
    writer: Option<Writer>,
    path: PathBuf,
    most: u64,
    /// A placement is forgotten so many seconds after it was last seen.
    life_s: u32,
    /// What is on the disk: clients' keys, and when they were last seen.
    placed: HashMap<u64, u32>,
    is_full: bool,
    due: Millis,
}

/// Opens the memory. Whatever is wrong with it is said once and served through.
pub(super) fn open(file: &operator::Fleet, wall: Millis) -> (MemoryWriter, Restored) {
    let life_s = u32::try_from(file.affinity.keep.as_secs()).unwrap_or(u32::MAX);
    let none = |path| MemoryWriter {
        writer: None,
        path,
        most: 0,
        life_s,
        placed: HashMap::new(),
        is_full: false,
        due: 0,
    };
    let Some(set) = &file.memory else {
        return (none(PathBuf::new()), Restored::default());
    };
    let (memory, found) = match memory::open(&set.path, &file.name, wall) {
        Ok(opened) => opened,
        Err(why) => {
            error!(part = "memory", file = %set.path.display(), why = %why, "nothing is remembered or kept");
            return (none(set.path.clone()), Restored::default());
        }
    };
    if let Some(aside) = &found.aside {
        warn!(part = "memory", what = %aside, "a file is not read");
    }
    if let Some(why) = &found.unwritable {
        warn!(
            part = "memory",
            why, "the disk takes nothing; what is known is not kept"
        );
    }
    if found.clock_went_back {
        warn!(
            part = "memory",
            "the wall clock stands before the last writing: no age can be told from it"
        );
    }
    let mut restored = Restored {
        boot: found.boot,
        written_at: found.last_written_ms,
        ..Restored::default()
    };
    let mut unreadable = found.unreadable;
    for record in &found.records {
        unreadable += u64::from(!restored.read(record));
    }
    info!(
        part = "memory",
        boot = found.boot,
        list = restored
            .list
            .as_ref()
            .map_or(0, |(list, _)| list.instances.len()),
        placements = restored.placements.len(),
        unreadable,
        "remembered"
    );
    let writer = Writer::spawn(memory)
        .inspect_err(|why| error!(part = "memory", why, "nothing is kept"))
        .ok();
    let placed = restored
        .placements
        .iter()
        .map(|one| (one.key.0, one.seen_s))
        .collect();
    (
        MemoryWriter {
            writer,
            most: set.most,
            placed,
            ..none(set.path.clone())
        },
        restored,
    )
}

impl Restored {
    /// Takes a record in; says whether it could be read.
    fn read(&mut self, record: &Record) -> bool {
        match record.kind {
            records::LIST => {
                let list = records::read_list(record);
                let read = list.is_some();
                self.list = list.or(self.list.take());
                read
            }
            records::FORMER => {
                self.former = records::read_former(record);
                self.former.is_some()
            }
            records::UPLINK => {
                self.uplink = records::read_uplink(record);
                self.uplink.is_some()
            }
            records::VERSION => {
                let fact = records::read_version(&record.subject, &record.value);
                self.versions.extend(fact);
                fact.is_some()
            }
            records::PLACEMENT => {
                let placement = records::read_placement(&record.subject, &record.value);
                self.placements.extend(placement);
                placement.is_some()
            }
            _ => false,
        }
    }
}

impl MemoryWriter {
    /// Whether anything is kept.
    pub(super) fn is_kept(&self) -> bool {
        self.writer
            .as_ref()
            .is_some_and(|writer| !writer.counts().ailing)
    }

    /// Remembers a record. Waits for nothing.
    pub(super) fn remember(&self, record: Record) {
        if let Some(writer) = &self.writer {
            writer.remember(record);
        }
    }

    /// Remembers a placement, unless the file is as large as it may be.
    pub(super) fn placed(&mut self, placement: &Placement, now: Millis) {
        let Some(writer) = &self.writer else { return };
        let key = placement.key.0;
        if self.is_full && !self.placed.contains_key(&key) {
            return;
        }
        self.placed.insert(key, placement.seen_s);
        let value = records::placement(placement);
        writer.remember(records::keep(
            records::PLACEMENT,
            &key.to_be_bytes(),
            value,
            now,
        ));
    }

    /// Clears away what is past its life, and looks at the file's size.
    pub(super) fn look_after(&mut self, now: Millis) {
        let Some(writer) = self.writer.as_ref().filter(|_| now >= self.due) else {
            return;
        };
        self.due = now.saturating_add(HOUSEKEEPING);
        let oldest = u32::try_from(now / 1_000)
            .unwrap_or(u32::MAX)
            .saturating_sub(self.life_s);
        let spent = self
            .placed
            .iter()
            .filter(|(_, seen)| **seen < oldest)
            .map(|(key, _)| *key);
        let spent: Vec<u64> = spent.take(CLEARED).collect();
        for key in spent {
            self.placed.remove(&key);
            writer.forget(records::PLACEMENT, key.to_be_bytes().to_vec());
        }
        let size = std::fs::metadata(&self.path).map_or(0, |about| about.len());
        let is_full = size > self.most;
        if is_full != self.is_full {
            self.is_full = is_full;
            warn!(
                part = "memory",
                size,
                most = self.most,
                full = is_full,
                "no further clients are remembered while the file is full"
            );
        }
    }

    /// Writes what waits, within a bound.
    pub(super) fn end(self) -> bool {
        self.writer.is_none_or(|writer| writer.end(LAST_BATCH))
    }
}
