//! The states of one connection and their transitions.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tracing::{error, warn};

use super::FrontContext;
use crate::attempt::{AttemptError, ConnectionEnd, ServerAnswer, WaitingClient};
use crate::connections::connect::EstablishedServer;
use crate::connections::lingering::LingeringClose;
use crate::connections::relay::{ClientConnection, EstablishedConnection, Side, TICK_INTERVAL};
use crate::core::{ConnectionCommand, ConnectionSlot, CoreInput, Endpoint};
use crate::front::{ClientMessage, Front, ResponseLimits};
use crate::handover::UnansweredRequests;
use crate::net::ReadError;
use crate::poller::{EventFlags, Poller};

/// Time for a server to finish after its client has half-closed.
const HALF_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// State of a connection.
pub(super) enum ConnectionState {
    /// The client waits for the core.
    Waiting(ClientConnection),
    /// An attempt is in flight and owns the client; the core's final answer may have arrived.
    InAttempt(Option<ConnectionCommand>, Arc<AtomicBool>),
    /// Bytes are relayed between both sides.
    Established(Box<EstablishedConnection>),
    /// The client has half-closed; the server may finish until the deadline.
    HalfClosed(Box<EstablishedConnection>, Instant),
    /// The final message has been written; the client, and the server if there is one, are read
    /// until they close.
    Lingering(LingeringClose, Option<LingeringClose>),
    /// The connection is closed.
    Closed,
}

/// The client of an attempt with its handshake for the server.
pub(super) type AttemptClient<F> = Option<(ClientConnection, Arc<<F as Front>::ServerHandshake>)>;

/// A connection of the event loop.
pub(super) struct Connection<F: Front> {
    id: u64,
    /// Released before the client sees the close, so that a client that reconnects at once finds
    /// its id and its place among its tenant's connections free.
    pub(super) server_handshake: Option<Arc<F::ServerHandshake>>,
    pub(super) state: ConnectionState,
    /// Name of the server of the latest attempt.
    pub(super) server_name: Option<Arc<str>>,
    /// When the latest attempt began.
    attempted_at: Instant,
    /// The events that the client and the server are polled for.
    pub(super) polled_events: (EventFlags, EventFlags),
    _slot: ConnectionSlot,
}

impl<F: Front> Connection<F> {
    /// Creates a connection in its first state.
    pub(super) fn new(
        id: u64,
        server_handshake: Option<F::ServerHandshake>,
        (state, server_name): (ConnectionState, Option<Arc<str>>),
        slot: ConnectionSlot,
    ) -> Connection<F> {
        let (server_handshake, attempted_at) = (server_handshake.map(Arc::new), Instant::now());
        let polled_events = (EventFlags::empty(), EventFlags::empty());
        Connection {
            id,
            server_handshake,
            state,
            server_name,
            attempted_at,
            polled_events,
            _slot: slot,
        }
    }

    /// Whether the connection can be removed from the event loop.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self.state, ConnectionState::Closed)
    }

    /// Passes the client to an attempt.
    pub(super) fn start_attempt(
        &mut self,
        poller: &Poller,
        endpoint: &Endpoint,
    ) -> io::Result<AttemptClient<F>> {
        let (ConnectionState::Waiting(client_connection), Some(server_handshake)) =
            (&self.state, &self.server_handshake)
        else {
            return Ok(None);
        };
        let server_handshake = Arc::clone(server_handshake);
        let no_events = EventFlags::empty();
        // The client must not be polled while the attempt reads it.
        poller.set_interest(
            client_connection.stream(),
            self.id * 2,
            (self.polled_events.0, no_events),
        )?;
        self.polled_events = (no_events, no_events);
        self.attempted_at = Instant::now();
        self.server_name = Some(Arc::clone(&endpoint.name));
        let in_attempt = ConnectionState::InAttempt(None, client_connection.abandon_flag());
        let ConnectionState::Waiting(client_connection) =
            std::mem::replace(&mut self.state, in_attempt)
        else {
            return Ok(None);
        };
        Ok(Some((client_connection, server_handshake)))
    }

    /// Handles a side that is ready.
    pub(super) fn on_ready(&mut self, side: Side, context: &FrontContext<F>) {
        match &mut self.state {
            ConnectionState::Waiting(client_connection) => {
                if let Err(error) = client_connection.read_early() {
                    self.on_client_left(&error, context);
                }
            }
            ConnectionState::Established(established) => {
                let result = established.on_ready(side, &context.migration_message);
                self.continue_or_end(result, context);
            }
            ConnectionState::HalfClosed(established, _) => {
                if established
                    .relay_remaining(side, &context.migration_message)
                    .is_err()
                {
                    self.close(ConnectionEnd::ClientClosed);
                }
            }
            ConnectionState::Lingering(client, server) => {
                match (side, server) {
                    (Side::Client, _) => client.on_ready(),
                    (Side::Server, Some(server)) => server.on_ready(),
                    (Side::Server, None) => {}
                }
                self.finish_lingering();
            }
            ConnectionState::InAttempt(..) | ConnectionState::Closed => {}
        }
    }

    /// Handles timeouts. Returns the time until the next check is due.
    pub(super) fn on_tick(
        &mut self,
        limits: &ResponseLimits,
        context: &FrontContext<F>,
    ) -> Duration {
        match &mut self.state {
            ConnectionState::Established(established) => {
                match established.on_tick(limits, &context.migration_message) {
                    Ok(next_check) => return next_check,
                    Err(end) => self.continue_or_end(Err(end), context),
                }
            }
            ConnectionState::HalfClosed(_, deadline_at) if Instant::now() >= *deadline_at => {
                self.close(ConnectionEnd::ClientClosed)
            }
            ConnectionState::Lingering(..) => self.finish_lingering(),
            _ => {}
        }
        TICK_INTERVAL
    }

    /// Handles a command of the core.
    pub(super) fn on_command(&mut self, command: ConnectionCommand, context: &FrontContext<F>) {
        match (&mut self.state, command) {
            // A final answer that was sent before the core knew of the server's answer: the core no
            // longer knows the connection, so the client migrates.
            (
                ConnectionState::Established(established),
                ConnectionCommand::Migrate
                | ConnectionCommand::Reject(_)
                | ConnectionCommand::Fail
                | ConnectionCommand::AbandonAttempt,
            ) => {
                let result = established.migrate(&context.migration_message);
                self.continue_or_end(result, context);
            }
            // The connection has just ended, or is not established yet.
            (
                _,
                ConnectionCommand::Migrate
                | ConnectionCommand::StartAttempt { .. }
                | ConnectionCommand::HandOver,
            ) => {}
            // A final answer must not wait for an unresponsive server; the attempt is abandoned.
            (ConnectionState::InAttempt(answer, abandon_flag), command) => {
                abandon_flag.store(true, Ordering::Relaxed);
                *answer = Some(command);
            }
            (ConnectionState::Waiting(_), ConnectionCommand::Reject(after)) => {
                self.answer(ClientMessage::Rejected(after), context)
            }
            (
                ConnectionState::Waiting(_),
                ConnectionCommand::Fail | ConnectionCommand::AbandonAttempt,
            ) => self.answer(ClientMessage::Failed, context),
            _ => {}
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn on_attempt_finished(
        &mut self,
        client_connection: ClientConnection,
        result: Option<Result<EstablishedServer, AttemptError>>,
        context: &FrontContext<F>,
    ) {
        let answer =
            match std::mem::replace(&mut self.state, ConnectionState::Waiting(client_connection)) {
                ConnectionState::InAttempt(answer, _) => answer,
                _ => None,
            };
        let Some(result) = result else {
            return self.on_panic(context);
        };
        match (answer, result) {
            (Some(ConnectionCommand::AbandonAttempt), Err(error))
                if error.outcome().proves_not_executed() =>
            {
                self.on_command(ConnectionCommand::Reject(None), context);
            }
            // The core answered during the attempt.
            (Some(answer), _) => self.on_command(answer, context),
            (None, Ok(result)) => self.establish(result, context),
            (None, Err(AttemptError::ClientLeft(error))) => self.on_client_left(&error, context),
            (None, Err(AttemptError::Withdrawn)) => self.withdraw(context),
            (None, Err(error)) => self.report_end(&error, context),
        }
    }

    /// Fails a request that must not be sent.
    fn withdraw(&mut self, context: &FrontContext<F>) {
        context.core.send(CoreInput::ClientLeft(self.id));
        self.answer(ClientMessage::Failed, context);
    }

    fn establish(
        &mut self,
        EstablishedServer {
            server,
            answer,
            read_ahead,
        }: EstablishedServer,
        context: &FrontContext<F>,
    ) {
        let ConnectionState::Waiting(client_connection) =
            std::mem::replace(&mut self.state, ConnectionState::Closed)
        else {
            return;
        };
        let mut established = Box::new(EstablishedConnection::new(
            &*context.front,
            client_connection,
            server,
            (&context.core, self.id),
            &context.held_bytes,
            UnansweredRequests::default(),
        ));
        let result = established.start_relay((&answer, &read_ahead), &context.migration_message);
        self.state = ConnectionState::Established(established);
        self.continue_or_end(result, context);
    }

    /// Continues an established connection, or ends it.
    fn continue_or_end(&mut self, result: Result<(), ConnectionEnd>, context: &FrontContext<F>) {
        let Err(end) = result else { return };
        self.server_handshake = None;
        self.log_end(end, context);
        self.report_end(&AttemptError::ConnectionEnded(end), context);
        if end == ConnectionEnd::ClientClosed {
            if let ConnectionState::Established(mut established) =
                std::mem::replace(&mut self.state, ConnectionState::Closed)
            {
                established.shutdown_server_write();
                self.state =
                    ConnectionState::HalfClosed(established, Instant::now() + HALF_CLOSE_TIMEOUT);
            }
        } else {
            self.close(end);
        }
    }

    /// Logs an end that is not an ordinary one.
    fn log_end(&self, end: ConnectionEnd, context: &FrontContext<F>) {
        let part = context.front.name();
        let log = match end {
            ConnectionEnd::Served
            | ConnectionEnd::Redirected
            | ConnectionEnd::ClientClosed
            | ConnectionEnd::ClientReset
            | ConnectionEnd::Migrated => return,
            ConnectionEnd::ClientProtocolError(_) => &context.client_errors,
            _ => &context.server_errors,
        };
        if log.is_allowed(part) {
            warn!(part, request = self.id, how = ?end, "connection ended");
        }
    }

    fn close(&mut self, end: ConnectionEnd) {
        let (ConnectionState::Established(established)
        | ConnectionState::HalfClosed(established, _)) =
            std::mem::replace(&mut self.state, ConnectionState::Closed)
        else {
            return;
        };
        if let Some((client, server)) = established.close(end) {
            self.state = ConnectionState::Lingering(client, Some(server));
            self.finish_lingering();
        }
    }

    /// Closes both sides once they are done.
    fn finish_lingering(&mut self) {
        let ConnectionState::Lingering(client, server) = &self.state else {
            return;
        };
        if client.is_done() && server.as_ref().is_none_or(LingeringClose::is_done) {
            self.state = ConnectionState::Closed;
        }
    }

    /// Handles a client that left before its answer or sent too much.
    fn on_client_left(&mut self, error: &ReadError, context: &FrontContext<F>) {
        if matches!(error, ReadError::TooLong) {
            return self.withdraw(context);
        }
        context.core.send(CoreInput::ClientLeft(self.id));
        self.state = ConnectionState::Closed;
    }

    fn answer(&mut self, message: ClientMessage, context: &FrontContext<F>) {
        self.server_handshake = None;
        if let ConnectionState::Waiting(client_connection) =
            std::mem::replace(&mut self.state, ConnectionState::Closed)
        {
            self.state = ConnectionState::Lingering(
                client_connection.close_with(&context.front.encode(message)),
                None,
            );
            self.finish_lingering();
        }
    }

    /// Ends a connection after a panic in its code, with a final answer.
    pub(super) fn on_panic(&mut self, context: &FrontContext<F>) {
        error!(
            part = context.front.name(),
            request = self.id,
            "connection panicked"
        );
        context.core.send(CoreInput::ConnectionPanicked(self.id));
        self.answer(ClientMessage::Failed, context);
        if matches!(
            self.state,
            ConnectionState::Established(_) | ConnectionState::HalfClosed(..)
        ) {
            self.close(ConnectionEnd::MigrationTimedOut);
        }
        if !matches!(self.state, ConnectionState::Lingering(..)) {
            self.state = ConnectionState::Closed;
        }
    }

    /// Reports the end of an attempt or connection to the core.
    pub(super) fn report_end(&self, error: &AttemptError, context: &FrontContext<F>) {
        if matches!(
            error,
            AttemptError::NotServed(ServerAnswer::Redirected)
                | AttemptError::ConnectionEnded(ConnectionEnd::Redirected)
        ) {
            context
                .core
                .send(CoreInput::ServerRedirectedClient(self.id));
        }
        context.core.send(CoreInput::AttemptEnded {
            id: self.id,
            outcome: error.outcome(),
            duration: self.attempted_at.elapsed(),
        });
    }

    /// Updates the events that both sides are polled for.
    pub(super) fn update_interest(&mut self, poller: &Poller) -> io::Result<()> {
        let no_events = EventFlags::empty();
        let (client, server, wanted) = match &self.state {
            ConnectionState::Waiting(client_connection) => (
                client_connection.stream(),
                None,
                (EventFlags::IN, no_events),
            ),
            ConnectionState::Lingering(client, server) => {
                let server_events = server.as_ref().map_or(no_events, LingeringClose::interest);
                (
                    client.stream(),
                    server.as_ref().map(LingeringClose::stream),
                    (client.interest(), server_events),
                )
            }
            ConnectionState::Established(established) => {
                let (client, server) = established.streams();
                (client, Some(server), established.interest())
            }
            ConnectionState::HalfClosed(established, _) => {
                let (client, server) = established.streams();
                // A half-closed client is always readable.
                let (client_events, server_events) = established.interest();
                (
                    client,
                    Some(server),
                    (client_events & EventFlags::OUT, server_events),
                )
            }
            ConnectionState::InAttempt(..) | ConnectionState::Closed => return Ok(()),
        };
        poller.set_interest(client, self.id * 2, (self.polled_events.0, wanted.0))?;
        if let Some(server) = server {
            poller.set_interest(server, self.id * 2 + 1, (self.polled_events.1, wanted.1))?;
        }
        self.polled_events = wanted;
        Ok(())
    }
}
