//! Restores overrides from the store at the start.

use beaconflow_overrides::{Limits, Millis, Override, OverrideSet, bounded_expiry};
use beaconflow_store::{Contents, OpenError, OverrideStore};
use tracing::{error, info, warn};

use super::audit::audit;
use super::{OverridesConfig, StoreStatus};
use crate::clock::Clock;

/// The restored overrides with their store.
pub struct RestoredOverrides {
    pub(super) store: Option<Box<dyn OverrideStore>>,
    pub(super) store_status: StoreStatus,
    /// The restored overrides, with which the cores are started.
    pub set: OverrideSet,
}

impl RestoredOverrides {
    /// No overrides, with a store for later changes.
    pub fn empty(store: Box<dyn OverrideStore>, limits: Limits) -> RestoredOverrides {
        let store_status = StoreStatus {
            is_persistent: true,
            notes: Vec::new(),
        };
        RestoredOverrides {
            store: Some(store),
            store_status,
            set: OverrideSet::new(limits.ramp_ms),
        }
    }
}

/// Opens the configured store. If that fails, the error is logged and the process runs without
/// overrides.
pub fn restore(config: &OverridesConfig, clock: Clock) -> RestoredOverrides {
    let Some(file) = &config.file else {
        let store_status = StoreStatus {
            is_persistent: false,
            notes: vec!["no store is set (overrides.file)".into()],
        };
        return RestoredOverrides {
            store: None,
            store_status,
            set: OverrideSet::new(config.limits.ramp_ms),
        };
    };
    match beaconflow_store::open(file) {
        Ok((store, contents)) => {
            restore_contents(Box::new(store), contents, config, clock.now() / 1_000_000)
        }
        Err(error) => {
            let state = match &error {
                OpenError::NewerSchema { .. } | OpenError::InUse => "is left unchanged",
                OpenError::System(_) => "can't be opened",
            };
            let note = format!("the store {} {state}: {error}", file.display());
            error!(
                part = "overrides",
                why = note,
                "override store unavailable; overrides are disabled"
            );
            let store_status = StoreStatus {
                is_persistent: false,
                notes: vec![note],
            };
            RestoredOverrides {
                store: None,
                store_status,
                set: OverrideSet::new(config.limits.ramp_ms),
            }
        }
    }
}

/// Restores the overrides that have remaining effect, and removes the others from the store.
fn restore_contents(
    mut store: Box<dyn OverrideStore>,
    contents: Contents,
    config: &OverridesConfig,
    now: Millis,
) -> RestoredOverrides {
    let mut notes = store_notes(&contents);
    let mut set = OverrideSet::new(config.limits.ramp_ms);
    let (mut active_count, mut expired) = (0, Vec::new());
    for mut record in contents.overrides {
        notes.extend(bound_times(&mut record, now));
        if record.removed_at.is_none() && !record.is_active_at(now) {
            audit("found expired", &record, now);
        }
        if record.ends_at().saturating_add(config.limits.ramp_ms) > now {
            active_count += usize::from(record.is_active_at(now));
            set.insert(record);
        } else {
            expired.push(record.id);
        }
    }
    // Overrides without remaining effect are removed, so that the file does not grow without bound.
    if let Err(error) = store.delete(&expired) {
        error!(part = "overrides", why = %error, "failed to write to the override store");
    }
    for note in &notes {
        warn!(
            part = "overrides",
            what = note,
            "problem found while restoring overrides"
        );
    }
    info!(
        part = "overrides",
        restored = active_count,
        "overrides restored"
    );
    RestoredOverrides {
        store: Some(store),
        store_status: StoreStatus {
            is_persistent: true,
            notes,
        },
        set,
    }
}

/// Notes on the state in which the file was found.
fn store_notes(contents: &Contents) -> Vec<String> {
    let mut notes = Vec::new();
    if let Some((aside, why)) = &contents.moved_aside {
        notes.push(format!(
            "the store was damaged ({why}); it is kept as {}, and none of its overrides are restored",
            aside.display()
        ));
    }
    if !contents.unreadable_ids.is_empty() {
        notes.push(format!(
            "unreadable records were skipped: {:?}",
            contents.unreadable_ids
        ));
    }
    notes
}

/// Moves the creation and removal times of an override to now if they are in the future, and bounds
/// its expiry; returns a note if the expiry was shortened.
fn bound_times(record: &mut Override, now: Millis) -> Option<String> {
    let (expires_at, cut) = bounded_expiry(record, now);
    (record.created_at, record.expires_at) = (record.created_at.min(now), expires_at);
    record.removed_at = record.removed_at.map(|at| at.min(now));
    let seconds = cut? / 1_000;
    Some(format!(
        "the wall clock is before the creation of override {}; its expiry is {seconds} s earlier on that clock, \
         so that it lasts no longer than its full duration",
        record.id
    ))
}
