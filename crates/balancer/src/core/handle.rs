//! Access to the core for other threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, unbounded};

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
    pub(super) figures: Arc<SharedTimeouts>,
}

/// The sending ends of the core's channels.
#[derive(Clone)]
pub(super) struct CoreSender {
    inputs: Sender<CoreInput>,
    discovery: Sender<DiscoveryEvent>,
}

/// The receiving ends. What discovery reports goes ahead of the other inputs.
pub(super) struct CoreReceiver {
    pub(super) inputs: Receiver<CoreInput>,
    pub(super) discovery: Receiver<DiscoveryEvent>,
}

/// Creates both ends.
pub(super) fn channel() -> (CoreSender, CoreReceiver) {
    let ((inputs, heard), (discovery, listed)) = (unbounded(), unbounded());
    (
        CoreSender { inputs, discovery },
        CoreReceiver {
            inputs: heard,
            discovery: listed,
        },
    )
}

/// Counts one connection while it lives.
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
    pub fn send(&self, event: CoreInput) {
        let _ = self.inputs.inputs.send(event);
    }

    /// Sends what discovery reported, ahead of the inputs that are queued.
    pub fn send_discovery(&self, event: DiscoveryEvent) {
        let _ = self.inputs.discovery.send(event);
        self.send(CoreInput::DiscoveryPending);
    }

    /// The program's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// A connect that takes longer has failed.
    pub fn connect_timeout(&self) -> Duration {
        self.figures.connect_timeout()
    }

    /// A message that takes this long is slow.
    pub fn slow_message_threshold(&self) -> Duration {
        self.figures.slow()
    }

    /// Counts a connection, unless there are `most` already.
    pub fn reserve_connection(&self, most: usize) -> Option<ConnectionSlot> {
        let before = self.connections.fetch_add(1, Ordering::Relaxed);
        let counted = ConnectionSlot(Arc::clone(&self.connections));
        (before < most).then_some(counted)
    }

    /// Number of open connections.
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

    fn request<T>(&self, what: impl FnOnce(Sender<T>) -> CoreInput) -> Option<T> {
        let (ask, answer) = crossbeam_channel::bounded(1);
        self.send(what(ask));
        answer.recv_timeout(Duration::from_secs(1)).ok()
    }
}
