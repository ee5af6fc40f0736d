//! Admission of a client whose handshake is complete.

use crate::connections::event_loop::{AdmittedClient, ConnectionsHandle};
use crate::connections::lingering::LingeringClose;
use crate::connections::relay::ClientConnection;
use crate::core::ConnectionSlot;
use crate::front::{Front, Rejection};
use crate::log::RateLimitedLog;

/// A completed handshake.
pub(super) struct CompletedHandshake<F: Front> {
    pub(super) client_connection: ClientConnection,
    pub(super) request: F::Request,
    pub(super) slot: ConnectionSlot,
}

/// Passes a client on to the connections, or returns it with its rejection.
pub(super) fn admit<F: Front>(
    front: &F,
    CompletedHandshake {
        client_connection: client,
        request,
        slot,
    }: CompletedHandshake<F>,
    (connections, rejections): (&ConnectionsHandle<F>, &RateLimitedLog),
) -> Option<LingeringClose> {
    match front.admit(request) {
        Ok((request, server_handshake)) => {
            connections.admit(AdmittedClient {
                client,
                request,
                server_handshake,
                slot,
            });
            None
        }
        Err(Rejection { answer, reason }) => {
            rejections.warn(front.name(), "handshake rejected", &reason);
            Some(client.close_with(&answer))
        }
    }
}
