//! Threads of a front: core, discovery watcher, connections and acceptor.

use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use tracing::{info, warn};

use crate::connections;
use crate::connections::descriptors::Descriptors;
use crate::core::lifecycle::LifecycleCommand;
use crate::core::{self, CoreConfig, CoreHandle, CoreInput};
use crate::discovery::{DiscoveryEvent, Watcher};
use crate::front::Front;
use crate::handover::HandoverAddress;
use crate::net::Listener;

/// Maximum wait for the agent's first list, which arrives at once unless discovery is down.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts a core and its discovery watcher. If discovery pushes lists, waits up to
/// [`FIRST_LIST_TIMEOUT`] for the agent's first list, so that the core starts with it.
pub(super) fn start_core(
    config: CoreConfig,
    watcher: Option<Watcher>,
) -> Result<(CoreHandle, JoinHandle<()>), String> {
    let is_pushed = config.site.is_pushed();
    let (core, thread) = core::start(config).map_err(|error| format!("settings: {error}"))?;
    let Some(watcher) = watcher else {
        return Ok((core, thread));
    };
    let watcher = if is_pushed {
        watcher.for_agent()
    } else {
        watcher
    };
    let (list_sender, first_list) = crossbeam_channel::bounded(1);
    let event_core = core.clone();
    spawn("discovery", move || {
        watcher.run(|event| {
            let is_list = matches!(event, DiscoveryEvent::List(_));
            event_core.send_discovery(event);
            if is_list {
                // Only the first list is awaited; later sends fail harmlessly.
                let _ = list_sender.try_send(());
            }
        });
    })?;
    if is_pushed && first_list.recv_timeout(FIRST_LIST_TIMEOUT).is_err() {
        info!(
            part = "discovery",
            "no list from discovery in time; the cached list is used"
        );
    }
    Ok((core, thread))
}

/// Starts the event loop of connections, the receiver of handed-over connections and the acceptor.
pub(super) fn start_front<F: Front>(
    front: Arc<F>,
    (listener, handover_address): (Listener, Option<HandoverAddress>),
    descriptors: Descriptors,
    core: &CoreHandle,
) -> Result<(), String> {
    let core = core.clone();
    let connections = connections::event_loop::serve(&front, &core, handover_address.clone())
        .map_err(|error| format!("event loop of connections: {error}"))?;
    if let Some(handover_address) = handover_address {
        let place = (&core, &descriptors);
        if let Err(error) =
            connections::take_over::receive(&front, &handover_address, place, &connections)
        {
            warn!(part = "handover", why = %error, "connection handover is unavailable; a process that shuts down migrates its clients instead");
        }
    }
    spawn("acceptor", move || {
        // The process must not report readiness without a running acceptor.
        let _listening = ListeningGuard::start(&core);
        connections::acceptor::listen(&front, &listener, (&core, &descriptors), &connections);
    })
}

/// Starts a detached thread.
pub(super) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), String> {
    Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .map(drop)
        .map_err(|error| format!("thread {name}: {error}"))
}

/// Marks the core as listening until it is dropped.
struct ListeningGuard(CoreHandle);

impl ListeningGuard {
    fn start(core: &CoreHandle) -> ListeningGuard {
        set_listening(core, true);
        ListeningGuard(core.clone())
    }
}

impl Drop for ListeningGuard {
    fn drop(&mut self) {
        set_listening(&self.0, false);
    }
}

fn set_listening(core: &CoreHandle, is_listening: bool) {
    core.send(CoreInput::LifecycleCommanded {
        command: LifecycleCommand::SetListening(is_listening),
        reply: None,
    });
}
