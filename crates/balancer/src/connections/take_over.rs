//! Takes over established connections from the process that this one replaces.

use std::io;
use std::sync::Arc;

use tracing::warn;

use crate::connections::descriptors::Descriptors;
use crate::connections::event_loop::{Admitted, ConnectionsHandle};
use crate::core::{ClientRequest, CoreHandle};
use crate::front::{ClientMessage, Front, HandshakeLine};
use crate::handover::{HandoverAddress, TransferredConnection};
use crate::log::RateLimitedLog;

/// Takes over the connections that other processes send, while there are places for them. The
/// clients of all others are migrated.
///
/// # Errors
///
/// Fails if the socket can't be created or put in place.
pub fn receive<F: Front>(
    front: &Arc<F>,
    address: &HandoverAddress,
    (core, descriptors): (&CoreHandle, &Descriptors),
    connections: &ConnectionsHandle<F>,
) -> io::Result<()> {
    let successor = Successor {
        front: Arc::clone(front),
        core: core.clone(),
        descriptors: descriptors.clone(),
        connections: connections.clone(),
        migration_message: front.encode(ClientMessage::Migrate),
        warnings: RateLimitedLog::default(),
    };
    address.receive(move |transferred| successor.take_over(transferred))
}

/// The process that takes over.
struct Successor<F: Front> {
    front: Arc<F>,
    core: CoreHandle,
    descriptors: Descriptors,
    connections: ConnectionsHandle<F>,
    /// The message that asks a client to migrate.
    migration_message: Vec<u8>,
    warnings: RateLimitedLog,
}

impl<F: Front> Successor<F> {
    fn take_over(&self, transferred: TransferredConnection) {
        let part = self.front.name();
        let Some((request, server_handshake)) = self.admit(&transferred.request_line) else {
            if self.warnings.is_allowed(part) {
                warn!(
                    part,
                    "request of a connection that was handed over is invalid; migrating the client"
                );
            }
            return transferred.migrate(&self.migration_message);
        };
        let max_connections = self.descriptors.budget().connections;
        let Some(slot) = self.core.reserve_connection(max_connections) else {
            let why = "migrating a client that was handed over";
            self.warnings.warn(part, "too many connections", &why);
            return transferred.migrate(&self.migration_message);
        };
        self.connections.take_over(Admitted {
            connection: transferred,
            request,
            server_handshake,
            slot,
        });
    }

    /// Admits the client's request once more.
    fn admit(&self, request_line: &[u8]) -> Option<(ClientRequest, F::ServerHandshake)> {
        let now = self.core.clock().now();
        match self.front.parse_transferred(request_line, now) {
            HandshakeLine::Connect(request) => self.front.admit(request).ok(),
            _ => None,
        }
    }
}
