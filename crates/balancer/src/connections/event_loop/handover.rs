//! Handover of established connections to and from other processes.

use std::io;
use std::sync::Arc;

use tracing::warn;

use super::connection::ConnectionState;
use super::run::EventLoop;
use super::{Admitted, FrontContext, TakenOverConnection};
use crate::attempt::{AttemptError, ConnectionEnd};
use crate::connections::relay::{ClientConnection, EstablishedConnection};
use crate::core::{ClientRequest, CommandSender};
use crate::front::Front;
use crate::handover::{HandoverSender, TransferredConnection};
use crate::net;
use crate::poller::EventFlags;

impl<F: Front> EventLoop<F> {
    /// Hands an established connection over to the process that replaces this one. A connection
    /// with buffered bytes, or for a process that has not greeted, is retried until it is migrated.
    pub(super) fn hand_over(&mut self, id: u64) {
        let EventLoop {
            context,
            poller,
            handover_sender,
            connections,
            awaiting_handover,
            ..
        } = self;
        let Some(connection) = connections.get_mut(&id) else {
            return;
        };
        let (ConnectionState::Established(established), Some(server_handshake), Some(server_name)) = (
            &connection.state,
            connection.server_handshake.as_deref(),
            connection.server_name.as_deref(),
        ) else {
            return;
        };
        let Some(line) = context.front.handover_line(server_handshake) else {
            return;
        };
        let sender = handover_sender.get_or_insert_with(|| find_successor(context));
        let Some(sender) = sender else { return };
        if !sender.is_ready() || !established.can_be_handed_over() {
            return awaiting_handover.push(id);
        }
        let (client, server) = established.streams();
        // The other process polls the same sockets; without this, their input would wake this one
        // too.
        let no_events = EventFlags::empty();
        let unpolled = poller
            .set_interest(client, id * 2, (connection.polled_events.0, no_events))
            .and_then(|()| {
                poller.set_interest(server, id * 2 + 1, (connection.polled_events.1, no_events))
            });
        if unpolled.is_err() {
            return;
        }
        connection.polled_events = (no_events, no_events);
        let unanswered = established.unanswered_requests();
        let sent = sender.send((client, server), server_name, line, unanswered);
        self.on_handover_sent(id, sent);
    }

    /// Closes a connection that was sent, and retries one for which the sender has no room.
    fn on_handover_sent(&mut self, id: u64, sent: io::Result<()>) {
        match sent {
            Ok(()) => {
                let end = AttemptError::ConnectionEnded(ConnectionEnd::HandedOver);
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.report_end(&end, &self.context);
                }
                self.connections.remove(&id);
            }
            Err(error) => {
                if net::is_would_block(&error) {
                    self.awaiting_handover.push(id);
                } else {
                    warn!(part = self.context.front.name(), request = id, why = %error, "connection could not be handed over");
                }
                self.with_connection(id, |_, _| ());
            }
        }
    }

    /// Serves a connection of another process.
    pub(super) fn take_over(&mut self, taken_over: TakenOverConnection<F>) {
        let Admitted {
            connection: transferred,
            request,
            server_handshake,
            slot,
        } = taken_over;
        let TransferredConnection {
            client,
            server,
            server_name,
            unanswered,
            ..
        } = transferred;
        let FrontContext {
            front,
            core,
            held_bytes,
            ..
        } = &self.context;
        let server_name: Arc<str> = Arc::from(server_name);
        let request = ClientRequest {
            resumed_server: None,
            ..request
        };
        let commands = Arc::clone(&self.handle) as Arc<dyn CommandSender>;
        let id = core.adopt(request, Arc::clone(&server_name), commands);
        let client_connection = ClientConnection::new(&**front, client, Vec::new());
        let established = EstablishedConnection::new(
            &**front,
            client_connection,
            server,
            (core, id),
            held_bytes,
            unanswered,
        );
        let state = ConnectionState::Established(Box::new(established));
        self.insert(id, Some(server_handshake), (state, Some(server_name)), slot);
    }
}

/// Connects to the process that replaces this one, if there is one.
fn find_successor<F: Front>(context: &FrontContext<F>) -> Option<HandoverSender> {
    let address = context.handover.as_ref()?;
    let part = context.front.name();
    let mut sender = address.connect().unwrap_or_else(|error| {
        warn!(part, why = %error, "could not connect to the process that replaces this one");
        None
    })?;
    if !sender.is_ready() {
        warn!(
            part,
            "the process that replaces this one does not answer; migrating clients until it does"
        );
    }
    Some(sender)
}
