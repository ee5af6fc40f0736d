//! What the program does on a signal: it reads its files anew, or it leaves.

#[cfg(test)]
mod tests;

use std::panic::{AssertUnwindSafe, catch_unwind};

use signal_hook::consts::SIGHUP;
use tracing::{error, info};

/// Follows signals as they come, for as long as there are any. SIGHUP reads the files anew, unless the program leaves
/// already; each other signal has it leave. A panic in a reload costs that reload alone. Guards against a program that
/// follows no signal any more and is killed with all its clients.
pub fn follow(signals: impl IntoIterator<Item = i32>, mut reload: impl FnMut(), leave: impl Fn()) {
    let mut leaving = false;
    for signal in signals {
        if signal != SIGHUP {
            leaving = true;
            leave();
        } else if leaving {
            info!(part = "reload", "left out: the program is leaving");
        } else if catch_unwind(AssertUnwindSafe(&mut reload)).is_err() {
            error!(part = "reload", why = "it panicked", "what stands is kept");
        }
    }
}
