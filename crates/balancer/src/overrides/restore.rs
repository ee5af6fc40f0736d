//! Restoring overrides from the store at the start.

use beaconflow_overrides::{Limits, Millis, Override, OverrideSet, bounded_expiry};
use beaconflow_store::{Contents, OpenError, OverrideStore};
use tracing::{error, info, warn};

use super::audit::audit;
use super::{OverridesConfig, StoreStatus};
use crate::clock::Clock;

/// What was restored.
pub struct RestoredOverrides {
    pub(super) store: Option<Box<dyn OverrideStore>>,
    pub(super) store_status: StoreStatus,
    /// The overrides, for the cores.
    pub set: OverrideSet,
}

impl RestoredOverrides {
    /// Nothing, with a store for later changes.
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

/// Opens the configured store. Errors are logged, and the program serves without it.
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
            let what = match &error {
                OpenError::Newer { .. } | OpenError::InUse => "is left alone",
                OpenError::System(_) => "can't be opened",
            };
            let note = format!("the store {} {what}: {error}", file.display());
            error!(part = "overrides", why = note, "none are restored or kept");
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

/// Restores the contents of a store.
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
    // Spent overrides are removed, so that the file does not grow without end.
    if let Err(error) = store.forget(&expired) {
        error!(part = "overrides", why = %error, "not written");
    }
    for note in &notes {
        warn!(part = "overrides", what = note, "found at the start");
    }
    info!(part = "overrides", restored = active_count, "restored");
    RestoredOverrides {
        store: Some(store),
        store_status: StoreStatus {
            is_persistent: true,
            notes,
        },
        set,
    }
}

/// Notes on the file as a whole.
fn store_notes(contents: &Contents) -> Vec<String> {
    let mut notes = Vec::new();
    if let Some((aside, why)) = &contents.moved_aside {
        notes.push(format!(
            "the store was damaged ({why}): it is kept as {}, and none of its overrides are restored",
            aside.display()
        ));
    }
    if !contents.unreadable.is_empty() {
        notes.push(format!(
            "records that can't be read were left out: {:?}",
            contents.unreadable
        ));
    }
    notes
}

/// Moves times of an override that are in the future to now, except its expiry; returns a note
/// where the expiry was cut.
fn bound_times(record: &mut Override, now: Millis) -> Option<String> {
    let (expires_at, cut) = bounded_expiry(record, now);
    (record.created_at, record.expires_at) = (record.created_at.min(now), expires_at);
    record.removed_at = record.removed_at.map(|at| at.min(now));
    let seconds = cut? / 1_000;
    Some(format!(
        "the wall clock stands before override {} began: it ends {seconds} s earlier by that clock, after no more \
         than its whole span",
        record.id
    ))
}
