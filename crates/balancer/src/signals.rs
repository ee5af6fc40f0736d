//! Signals: reload or shutdown.

#[cfg(test)]
mod tests;

use std::panic::{AssertUnwindSafe, catch_unwind};

use signal_hook::consts::SIGHUP;
use tracing::{error, info};

/// Handles signals as they come. SIGHUP reloads the configuration, unless the program is shutting
/// down; every other signal shuts it down. A panic in a reload costs that reload alone.
pub fn follow(signals: impl IntoIterator<Item = i32>, mut reload: impl FnMut(), leave: impl Fn()) {
    let mut leaving = false;
    for signal in signals {
        if signal != SIGHUP {
            leaving = true;
            leave();
        } else if leaving {
            info!(part = "reload", "left out: the program is leaving");
        } else if catch_unwind(AssertUnwindSafe(&mut reload)).is_err() {
            error!(
                part = "reload",
                why = "it panicked",
                "present configuration kept"
            );
        }
    }
}
