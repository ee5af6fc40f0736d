//! Signal handling: reload and shutdown.

#[cfg(test)]
mod tests;

use std::panic::{AssertUnwindSafe, catch_unwind};

use signal_hook::consts::SIGHUP;
use tracing::{error, info};

/// Handles signals until the iterator ends. SIGHUP reloads the configuration, unless the program is
/// shutting down; every other signal shuts it down. A panic in a reload is logged, and later
/// signals are still handled.
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
            info!(
                part = "reload",
                "reload skipped: the program is shutting down"
            );
        } else if catch_unwind(AssertUnwindSafe(&mut reload)).is_err() {
            error!(
                part = "reload",
                why = "the reload panicked",
                "reload failed; current configuration kept"
            );
        }
    }
}
