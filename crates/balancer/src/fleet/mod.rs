//! The fleet's thread: what this process knows together with the others, and what outlives it.
//!
//! It hears what the core sees, keeps it, tells the peers, and tells the core what they know. All of it is a hint: the
//! core serves whether this thread lives or not, and no rule of the platform hangs on it.
//!
//! - `setup` starts it, `handle` is the way to it, and `thread` has its loop;
//! - `observed` takes up what the core saw, `from_peers` what the peers tell, `server_list` either's list;
//! - `remembered` and `recovering` lead from the memory of before to serving; `gather` owns that machine;
//! - `site` and `uplink` go by what the site saw itself; `tell` tells the peers of this process;
//! - `keep` writes the memory, `records` and `words` are the forms of what is written and told, `carry` sends it.

mod carry;
mod from_peers;
mod gather;
mod handle;
mod keep;
mod observed;
mod records;
mod recovering;
mod remembered;
mod server_list;
mod setup;
mod site;
mod tell;
mod thread;
mod uplink;
mod words;

use std::time::Duration;

pub use handle::{FleetHandle as Way, Status};
use setup::origin;
pub use setup::{Fleet, prepare};
use thread::Thread;

/// A moment of the program's clock: Unix time as it was at the start, in milliseconds; or a span of it.
type Millis = u64;

/// A span in milliseconds; one that is too long to be counted is as long as can be.
fn millis(span: Duration) -> Millis {
    Millis::try_from(span.as_millis()).unwrap_or(Millis::MAX)
}
