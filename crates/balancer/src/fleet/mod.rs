//! The fleet thread: shared state with other processes, and memory across restarts.
//!
//! It consumes the core's events, stores and gossips them, and sends the core what other processes
//! know. All of this is advisory: the core serves without it.
//!
//! - `setup` prepares and starts it, `handle` is its interface, `thread` its event loop;
//! - `core_events` handles events of the core, `peer_events` those of the peers, `server_list`
//!   lists of either;
//! - `restore` and `recovery_commands` lead from the stored memory to service, driven by
//!   `recovery_driver`;
//! - `site_evidence` and `uplink` act on what the site observes; `periodic` publishes this
//!   process's status;
//! - `memory_writer` writes the memory; `records` and `messages` are the stored and the sent forms;
//!   `shared_gossip` sends.

mod core_events;
mod handle;
mod memory_writer;
mod messages;
mod peer_events;
mod periodic;
mod records;
mod recovery_commands;
mod recovery_driver;
mod restore;
mod server_list;
mod settling;
mod setup;
mod shared_gossip;
mod site_evidence;
mod thread;
mod uplink;

use std::time::Duration;

pub use handle::{FleetHandle, FleetStatus};
use setup::placement_origin;
pub use setup::{PreparedFleet, prepare};
use thread::FleetThread;

/// A time in Unix milliseconds by the program's clock, or a span of it.
type Millis = u64;

/// A span in milliseconds, saturating.
fn millis(span: Duration) -> Millis {
    Millis::try_from(span.as_millis()).unwrap_or(Millis::MAX)
}
