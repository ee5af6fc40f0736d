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
use crate::connections::relay::{ClientConnection, EstablishedConnection, Side};
use crate::core::{ConnectionCommand, ConnectionSlot, CoreInput, Endpoint};
use crate::front::{ClientMessage, Front};
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
    /// Both sides are joined.
    Established(Box<EstablishedConnection>),
    /// The client has half-closed; the server may finish until then.
    HalfClosed(Box<EstablishedConnection>, Instant),
    /// The final message has been written; the client, and the server if there is one, are read
    /// until they close.
    Lingering(LingeringClose, Option<LingeringClose>),
    /// The connection is closed.
    Closed,
}

/// The client of an attempt with its handshake for the server.
pub(super) type AttemptClient<F> = Option<(ClientConnection, Arc<<F as Front>::ServerHandshake>)>;

/// One connection.
pub(super) struct Connection<F: Front> {
    id: u64,
    /// Released before the client learns of its end, so that one that returns at once finds its id
    /// and its place among its tenant's connections free.
    pub(super) server_handshake: Option<Arc<F::ServerHandshake>>,
    pub(super) state: ConnectionState,
    /// Name of the server of the latest attempt.
    pub(super) server_name: Option<Arc<str>>,
    /// When the latest attempt began.
    attempted_at: Instant,
    /// What both sides are polled for.
    pub(super) watched: (EventFlags, EventFlags),
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
        let watched = (EventFlags::empty(), EventFlags::empty());
        Connection {
            id,
            server_handshake,
            state,
            server_name,
            attempted_at,
            watched,
            _slot: slot,
        }
    }

    /// Whether it is closed.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self.state, ConnectionState::Closed)
    }

    /// Passes the client to an attempt.
    pub(super) fn start_attempt(
        &mut self,
        poller: &Poller,
        to: &Endpoint,
    ) -> io::Result<AttemptClient<F>> {
        let (ConnectionState::Waiting(client_connection), Some(server_handshake)) =
            (&self.state, &self.server_handshake)
        else {
            return Ok(None);
        };
        let server_handshake = Arc::clone(server_handshake);
        let nothing = EventFlags::empty();
        // The client must not be polled while the attempt reads it.
        poller.set_interest(
            client_connection.stream(),
            self.id * 2,
            (self.watched.0, nothing),
        )?;
        self.watched = (nothing, nothing);
        self.attempted_at = Instant::now();
        self.server_name = Some(Arc::clone(&to.name));
        let passing = ConnectionState::InAttempt(None, client_connection.abandon_flag());
        let ConnectionState::Waiting(client_connection) =
            std::mem::replace(&mut self.state, passing)
        else {
            return Ok(None);
        };
        Ok(Some((client_connection, server_handshake)))
    }

    /// Handles a side that is ready.
    pub(super) fn on_ready(&mut self, side: Side, shared: &FrontContext<F>) {
        match &mut self.state {
            ConnectionState::Waiting(client_connection) => {
                if let Err(why) = client_connection.read_early() {
                    self.on_client_left(&why, shared);
                }
            }
            ConnectionState::Established(standing) => {
                let went = standing.on_ready(side, &shared.migration_message);
                self.continue_or_end(went, shared);
            }
            ConnectionState::HalfClosed(standing, _) => {
                if standing
                    .relay_remaining(side, &shared.migration_message)
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

    /// Handles timeouts.
    pub(super) fn on_tick(&mut self, shared: &FrontContext<F>) {
        match &mut self.state {
            ConnectionState::Established(standing) => {
                let went = standing.on_tick(&shared.migration_message);
                self.continue_or_end(went, shared);
            }
            ConnectionState::HalfClosed(_, until) if Instant::now() >= *until => {
                self.close(ConnectionEnd::ClientClosed)
            }
            ConnectionState::Lingering(..) => self.finish_lingering(),
            _ => {}
        }
    }

    /// Handles a command of the core.
    pub(super) fn on_command(&mut self, order: ConnectionCommand, shared: &FrontContext<F>) {
        match (&mut self.state, order) {
            // A final answer that crossed the server's: the core no longer knows the connection, so
            // it migrates.
            (
                ConnectionState::Established(standing),
                ConnectionCommand::Migrate
                | ConnectionCommand::Reject(_)
                | ConnectionCommand::Fail
                | ConnectionCommand::AbandonAttempt,
            ) => {
                let went = standing.migrate(&shared.migration_message);
                self.continue_or_end(went, shared);
            }
            // The connection has just ended, or is not established yet.
            (
                _,
                ConnectionCommand::Migrate
                | ConnectionCommand::StartAttempt { .. }
                | ConnectionCommand::HandOver,
            ) => {}
            // A final answer must not wait for an unresponsive server.
            (ConnectionState::InAttempt(answer, give_up), order) => {
                give_up.store(true, Ordering::Relaxed);
                *answer = Some(order);
            }
            (ConnectionState::Waiting(_), ConnectionCommand::Reject(after)) => {
                self.answer(ClientMessage::Rejected(after), shared)
            }
            (
                ConnectionState::Waiting(_),
                ConnectionCommand::Fail | ConnectionCommand::AbandonAttempt,
            ) => self.answer(ClientMessage::Failed, shared),
            _ => {}
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn on_attempt_finished(
        &mut self,
        client_connection: ClientConnection,
        result: Option<Result<EstablishedServer, AttemptError>>,
        shared: &FrontContext<F>,
    ) {
        let answer =
            match std::mem::replace(&mut self.state, ConnectionState::Waiting(client_connection)) {
                ConnectionState::InAttempt(answer, _) => answer,
                _ => None,
            };
        let Some(result) = result else {
            return self.on_panic(shared);
        };
        match (answer, result) {
            (Some(ConnectionCommand::AbandonAttempt), Err(error))
                if error.outcome().proves_not_executed() =>
            {
                self.on_command(ConnectionCommand::Reject(None), shared);
            }
            // The core has answered meanwhile.
            (Some(answer), _) => self.on_command(answer, shared),
            (None, Ok(result)) => self.establish(result, shared),
            (None, Err(AttemptError::ClientLeft(why))) => self.on_client_left(&why, shared),
            (None, Err(error)) => self.report_end(&error, shared),
        }
    }

    fn establish(
        &mut self,
        EstablishedServer {
            server,
            answer,
            read_ahead,
        }: EstablishedServer,
        shared: &FrontContext<F>,
    ) {
        let ConnectionState::Waiting(client_connection) =
            std::mem::replace(&mut self.state, ConnectionState::Closed)
        else {
            return;
        };
        let mut standing = Box::new(EstablishedConnection::new(
            &*shared.front,
            client_connection,
            server,
            &shared.core,
            self.id,
        ));
        let went = standing.join((&answer, &read_ahead), &shared.migration_message);
        self.state = ConnectionState::Established(standing);
        self.continue_or_end(went, shared);
    }

    /// Continues an established connection, or ends it.
    fn continue_or_end(&mut self, went: Result<(), ConnectionEnd>, shared: &FrontContext<F>) {
        let Err(end) = went else { return };
        self.server_handshake = None;
        if !matches!(
            end,
            ConnectionEnd::Served
                | ConnectionEnd::Redirected
                | ConnectionEnd::ClientClosed
                | ConnectionEnd::ClientReset
                | ConnectionEnd::Migrated
        ) {
            warn!(part = shared.front.name(), request = self.id, how = ?end, "connection ended");
        }
        self.report_end(&AttemptError::ConnectionEnded(end), shared);
        if end == ConnectionEnd::ClientClosed {
            if let ConnectionState::Established(mut standing) =
                std::mem::replace(&mut self.state, ConnectionState::Closed)
            {
                standing.finish_server();
                self.state =
                    ConnectionState::HalfClosed(standing, Instant::now() + HALF_CLOSE_TIMEOUT);
            }
        } else {
            self.close(end);
        }
    }

    fn close(&mut self, end: ConnectionEnd) {
        let (ConnectionState::Established(standing) | ConnectionState::HalfClosed(standing, _)) =
            std::mem::replace(&mut self.state, ConnectionState::Closed)
        else {
            return;
        };
        if let Some((client, server)) = standing.close(end) {
            self.state = ConnectionState::Lingering(client, Some(server));
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

    /// The client left before its answer, or sent too much.
    fn on_client_left(&mut self, why: &ReadError, shared: &FrontContext<F>) {
        shared.core.send(CoreInput::ClientLeft(self.id));
        if matches!(why, ReadError::TooLong) {
            self.answer(ClientMessage::Failed, shared);
        } else {
            self.state = ConnectionState::Closed;
        }
    }

    fn answer(&mut self, word: ClientMessage, shared: &FrontContext<F>) {
        self.server_handshake = None;
        if let ConnectionState::Waiting(client_connection) =
            std::mem::replace(&mut self.state, ConnectionState::Closed)
        {
            self.state = ConnectionState::Lingering(
                client_connection.close_with(&shared.front.encode(word)),
                None,
            );
        }
    }

    /// Ends a connection after a panic in its code, with a final answer.
    pub(super) fn on_panic(&mut self, shared: &FrontContext<F>) {
        error!(
            part = shared.front.name(),
            request = self.id,
            "connection panicked"
        );
        shared.core.send(CoreInput::ConnectionPanicked(self.id));
        self.answer(ClientMessage::Failed, shared);
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
    pub(super) fn report_end(&self, error: &AttemptError, shared: &FrontContext<F>) {
        if matches!(
            error,
            AttemptError::NotServed(ServerAnswer::Redirected)
                | AttemptError::ConnectionEnded(ConnectionEnd::Redirected)
        ) {
            shared.core.send(CoreInput::ServerRedirectedClient(self.id));
        }
        shared.core.send(CoreInput::AttemptEnded {
            id: self.id,
            outcome: error.outcome(),
            duration: self.attempted_at.elapsed(),
        });
    }

    /// Updates what both sides are polled for.
    pub(super) fn update_interest(&mut self, poller: &Poller) -> io::Result<()> {
        let nothing = EventFlags::empty();
        let (client, server, wanted) = match &self.state {
            ConnectionState::Waiting(client_connection) => {
                (client_connection.stream(), None, (EventFlags::IN, nothing))
            }
            ConnectionState::Lingering(client, server) => {
                let wants_server = server.as_ref().map_or(nothing, LingeringClose::interest);
                (
                    client.stream(),
                    server.as_ref().map(LingeringClose::stream),
                    (client.interest(), wants_server),
                )
            }
            ConnectionState::Established(standing) => {
                let (client, server) = standing.sides();
                (client, Some(server), standing.interest())
            }
            ConnectionState::HalfClosed(standing, _) => {
                let (client, server) = standing.sides();
                // A half-closed client is always readable.
                let (wants_client, wants_server) = standing.interest();
                (
                    client,
                    Some(server),
                    (wants_client & EventFlags::OUT, wants_server),
                )
            }
            ConnectionState::InAttempt(..) | ConnectionState::Closed => return Ok(()),
        };
        poller.set_interest(client, self.id * 2, (self.watched.0, wanted.0))?;
        if let Some(server) = server {
            poller.set_interest(server, self.id * 2 + 1, (self.watched.1, wanted.1))?;
        }
        self.watched = wanted;
        Ok(())
    }
}
