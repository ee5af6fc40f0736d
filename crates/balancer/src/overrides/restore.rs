//! What the program finds in its store at the start.

use beaconflow_overrides::{Limits, Millis, Override, Set, bounded_expiry};
use beaconflow_store::{Contents, OpenError, OverrideStore};
use tracing::{error, info, warn};

use super::audit::audit;
use super::{OverridesConfig, StoreStatus};
use crate::clock::Clock;

/// What was found at the start.
pub struct RestoredOverrides {
    pub(super) store: Option<Box<dyn OverrideStore>>,
    pub(super) store_status: StoreStatus,
    /// The overrides, for the cores.
    pub set: Set,
}

impl RestoredOverrides {
    /// Nothing, to be kept in this store from now on.
    pub fn empty(store: Box<dyn OverrideStore>, limits: Limits) -> RestoredOverrides {
        let store_status = StoreStatus {
            is_persistent: true,
            notes: Vec::new(),
        };
        RestoredOverrides {
            store: Some(store),
            store_status,
            set: Set::new(limits.ramp),
        }
    }
}

/// Opens the store that the operator's file names. Whatever is wrong with it is said, and the program serves.
pub fn restore(config: &OverridesConfig, clock: Clock) -> RestoredOverrides {
    let Some(file) = &config.file else {
        let store_status = StoreStatus {
            is_persistent: false,
            notes: vec!["no store is set (overrides.file)".into()],
        };
        return RestoredOverrides {
            store: None,
            store_status,
            set: Set::new(config.limits.ramp),
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
                set: Set::new(config.limits.ramp),
            }
        }
    }
}

/// Takes back what a store held.
fn restore_contents(
    mut store: Box<dyn OverrideStore>,
    contents: Contents,
    config: &OverridesConfig,
    now: Millis,
) -> RestoredOverrides {
    let mut notes = store_notes(&contents);
    let mut set = Set::new(config.limits.ramp);
    let (mut holding, mut spent) = (0, Vec::new());
    for mut one in contents.overrides {
        notes.extend(bound_times(&mut one, now));
        if one.removed_at.is_none() && !one.is_active_at(now) {
            audit("found expired", &one, now);
        }
        if one.end().saturating_add(config.limits.ramp) > now {
            holding += usize::from(one.is_active_at(now));
            set.put(one);
        } else {
            spent.push(one.id);
        }
    }
    // Guards against a file that grows with every override that ended while no program ran.
    if let Err(error) = store.forget(&spent) {
        error!(part = "overrides", why = %error, "not written");
    }
    for note in &notes {
        warn!(part = "overrides", what = note, "found at the start");
    }
    info!(part = "overrides", restored = holding, "restored");
    RestoredOverrides {
        store: Some(store),
        store_status: StoreStatus {
            is_persistent: true,
            notes,
        },
        set,
    }
}

/// What was amiss with the file as a whole.
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

/// Has no moment of an override lie in the future, but for its end; tells where that was cut.
fn bound_times(one: &mut Override, now: Millis) -> Option<String> {
    let (expires_at, cut) = bounded_expiry(one, now);
    (one.created_at, one.expires_at) = (one.created_at.min(now), expires_at);
    one.removed_at = one.removed_at.map(|at| at.min(now));
    let seconds = cut? / 1_000;
    Some(format!(
        "the wall clock stands before override {} began: it ends {seconds} s earlier by that clock, after no more \
         than its whole span",
        one.id
    ))
}
