//! Signals: reload or shutdown.

#[cfg(test)]
mod tests;

use std::panic::{AssertUnwindSafe, catch_unwind};

use signal_hook::consts::SIGHUP;
use tracing::{error, info};

/// Handles signals as they come. SIGHUP reloads the configuration, unless the program is shutting
/// down; every other signal shuts it down. A panic in a reload costs that reload alone.
pub fn handle(
    signals: impl IntoIterator<Item = i32>,
    mut reload: impl FnMut(),
    shut_down: impl Fn(),
) {
    let mut is_shutting_down = false;
    for signal in signals {
        if signal != SIGHUP {
            is_shutting_down = true;
            shut_down();
        } else if is_shutting_down {
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
