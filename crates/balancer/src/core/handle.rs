//! Access to the core for other threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded, unbounded};

use super::lifecycle::LifecycleView;
use super::{
    AdmissionSnapshot, ClientRequest, CommandSender, CoreInput, CoreSnapshot, SharedTimeouts,
};
use crate::clock::Clock;
use crate::discovery::DiscoveryEvent;

/// A handle to the core.
#[derive(Clone)]
pub struct CoreHandle {
    pub(super) inputs: CoreSender,
    pub(super) next_id: Arc<AtomicU64>,
    /// Open connections, including those that linger.
    pub(super) connections: Arc<AtomicUsize>,
    pub(super) lifecycle: LifecycleView,
    pub(super) clock: Clock,
    pub(super) timeouts: Arc<SharedTimeouts>,
}

/// Most discovery events that wait for the core. Discovery is read no faster than the core applies
/// its lists.
const MAX_PENDING_DISCOVERY_EVENTS: usize = 3;

/// The sending ends of the core's channels.
#[derive(Clone)]
pub(super) struct CoreSender {
    inputs: Sender<CoreInput>,
    discovery: Sender<DiscoveryEvent>,
}

/// The receiving ends of the core's channels. Discovery events go ahead of the other inputs.
pub(super) struct CoreReceiver {
    pub(super) inputs: Receiver<CoreInput>,
    pub(super) discovery: Receiver<DiscoveryEvent>,
}

/// Creates both ends of the core's channels.
pub(super) fn channel() -> (CoreSender, CoreReceiver) {
    let (inputs, input_receiver) = unbounded();
    let (discovery, discovery_receiver) = bounded(MAX_PENDING_DISCOVERY_EVENTS);
    (
        CoreSender { inputs, discovery },
        CoreReceiver {
            inputs: input_receiver,
            discovery: discovery_receiver,
        },
    )
}

/// Counts one connection until it is dropped.
pub struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CoreHandle {
    /// Registers a client's request; returns its id.
    pub fn open(&self, client_request: ClientRequest, commands: Arc<dyn CommandSender>) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.send(CoreInput::ConnectRequested {
            id,
            client_request,
            commands,
        });
        id
    }

    /// Registers an established connection that was taken over; returns its id.
    pub fn adopt(
        &self,
        client_request: ClientRequest,
        server: Arc<str>,
        commands: Arc<dyn CommandSender>,
    ) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.send(CoreInput::ConnectionAdopted {
            id,
            client_request,
            server_name: server,
            commands,
        });
        id
    }

    /// Sends an input. Inputs to a core that has stopped are dropped.
    pub fn send(&self, input: CoreInput) {
        let _ = self.inputs.inputs.send(input);
    }

    /// Sends a discovery event, ahead of the inputs that are queued. Waits while too many are
    /// pending.
    pub fn send_discovery(&self, event: DiscoveryEvent) {
        let _ = self.inputs.discovery.send(event);
        // The core applies the event with any input that it receives from now on.
        if self.inputs.inputs.is_empty() {
            self.send(CoreInput::DiscoveryPending);
        }
    }

    /// The clock that the core runs on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// A connect that takes longer has failed.
    pub fn connect_timeout(&self) -> Duration {
        self.timeouts.connect_timeout()
    }

    /// A message that takes this long is slow.
    pub fn slow_message_threshold(&self) -> Duration {
        self.timeouts.slow_message_threshold()
    }

    /// Counts a connection, unless there are `max_connections` already.
    pub fn reserve_connection(&self, max_connections: usize) -> Option<ConnectionSlot> {
        let count_before = self.connections.fetch_add(1, Ordering::Relaxed);
        let slot = ConnectionSlot(Arc::clone(&self.connections));
        (count_before < max_connections).then_some(slot)
    }

    /// Number of open connections, including those that linger.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// The lifecycle state, readable without waiting for the core.
    pub fn lifecycle(&self) -> &LifecycleView {
        &self.lifecycle
    }

    /// A snapshot of the core, or `None` if it does not answer.
    pub fn snapshot(&self) -> Option<CoreSnapshot> {
        self.request(CoreInput::GetSnapshot)
    }

    /// A snapshot of the admission queue, or `None` if the core does not answer.
    pub fn admission_snapshot(&self) -> Option<AdmissionSnapshot> {
        self.request(CoreInput::GetAdmission)
    }

    fn request<T>(&self, build_input: impl FnOnce(Sender<T>) -> CoreInput) -> Option<T> {
        let (reply, answer) = crossbeam_channel::bounded(1);
        self.send(build_input(reply));
        answer.recv_timeout(Duration::from_secs(1)).ok()
    }
}
