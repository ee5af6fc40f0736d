//! The event loop of the thread that serves all connections of a front.

use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use tracing::error;

use super::connection::{Connection, ConnectionState};
use super::{
    Admitted, AdmittedClient, ConnectionInput, ConnectionsHandle, FrontContext, attempt_thread,
};
use crate::attempt::AttemptError;
use crate::connections::relay::{Side, TICK_INTERVAL};
use crate::core::{AttemptTiming, CommandSender, ConnectionCommand, ConnectionSlot, Endpoint};
use crate::front::Front;
use crate::handover::HandoverSender;
use crate::poller::Poller;

/// Shortest interval of the timeout checks, for a connection whose timeout comes before the next
/// regular one.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait of a thread without connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Most inputs handled between two looks at the sockets, so that new clients do not delay the
/// release of the places of those that have left.
const INPUT_BATCH: usize = 16;

pub(super) struct EventLoop<F: Front> {
    pub(super) context: FrontContext<F>,
    pub(super) poller: Poller,
    inbox: Receiver<ConnectionInput<F>>,
    pub(super) handle: Arc<ConnectionsHandle<F>>,
    pub(super) connections: HashMap<u64, Connection<F>>,
    /// Connection to the process that replaces this one; the outer `None` means that none has been
    /// tried yet.
    pub(super) handover_sender: Option<Option<HandoverSender>>,
    /// Connections that could not be handed over yet.
    pub(super) awaiting_handover: Vec<u64>,
    /// Time from the last check of timeouts to the next one.
    tick_interval: Duration,
}

impl<F: Front> EventLoop<F> {
    /// Creates the loop.
    pub(super) fn new(
        context: FrontContext<F>,
        poller: Poller,
        (inbox, connections_handle): (Receiver<ConnectionInput<F>>, ConnectionsHandle<F>),
    ) -> EventLoop<F> {
        let handle = Arc::new(connections_handle);
        let (connections, handover_sender, awaiting_handover) = (HashMap::new(), None, Vec::new());
        EventLoop {
            context,
            poller,
            inbox,
            handle,
            connections,
            handover_sender,
            awaiting_handover,
            tick_interval: TICK_INTERVAL,
        }
    }

    /// Runs until the program ends.
    pub(super) fn run(mut self) {
        let mut last_tick_at = Instant::now();
        loop {
            for token in self.poller.wait(self.wait_timeout(last_tick_at)) {
                let side = if token % 2 == 0 {
                    Side::Client
                } else {
                    Side::Server
                };
                self.with_connection(token / 2, |connection, context| {
                    connection.on_ready(side, context)
                });
            }
            self.handle_inputs();
            if last_tick_at.elapsed() >= self.tick_interval {
                last_tick_at = Instant::now();
                self.on_tick();
            }
        }
    }

    /// Longest wait for a socket or an input.
    fn wait_timeout(&self, last_tick_at: Instant) -> Duration {
        if !self.inbox.is_empty() {
            return Duration::ZERO;
        }
        let interval = if self.connections.is_empty() {
            IDLE_TIMEOUT
        } else {
            self.tick_interval
        };
        interval.saturating_sub(last_tick_at.elapsed())
    }

    /// Handles the next inputs.
    fn handle_inputs(&mut self) {
        for input in self.inbox.clone().try_iter().take(INPUT_BATCH) {
            // A panic in one connection's code must not end the others.
            if catch_unwind(AssertUnwindSafe(|| self.handle_input(input))).is_err() {
                error!(
                    part = self.context.front.name(),
                    "handling an input of the connections panicked"
                );
            }
        }
    }

    fn on_tick(&mut self) {
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        let limits = self.context.front.response_limits();
        let mut next_check = TICK_INTERVAL;
        for id in ids {
            self.with_connection(id, |connection, context| {
                next_check = next_check.min(connection.on_tick(&limits, context));
            });
        }
        self.tick_interval = next_check.max(MIN_TICK_INTERVAL);
        for id in std::mem::take(&mut self.awaiting_handover) {
            self.hand_over(id);
        }
        let FrontContext {
            front,
            client_errors,
            server_errors,
            ..
        } = &self.context;
        client_errors.flush(front.name());
        server_errors.flush(front.name());
    }

    fn handle_input(&mut self, input: ConnectionInput<F>) {
        match input {
            ConnectionInput::Admitted(admitted) => self.on_admitted(*admitted),
            ConnectionInput::Commanded(
                id,
                ConnectionCommand::StartAttempt { endpoint, timing },
            ) => self.start_attempt(id, endpoint, timing),
            ConnectionInput::Commanded(id, ConnectionCommand::HandOver) => self.hand_over(id),
            ConnectionInput::TakenOver(taken_over) => self.take_over(*taken_over),
            ConnectionInput::Commanded(id, command) => {
                self.with_connection(id, |connection, context| {
                    connection.on_command(command, context)
                });
            }
            ConnectionInput::AttemptFinished(id, client_connection, result) => {
                self.with_connection(id, |connection, context| {
                    connection.on_attempt_finished(client_connection, result, context)
                });
            }
        }
    }

    /// Registers a client's request with the core.
    fn on_admitted(&mut self, admitted: AdmittedClient<F>) {
        let Admitted {
            connection: client,
            request,
            server_handshake,
            slot,
        } = admitted;
        let commands = Arc::clone(&self.handle) as Arc<dyn CommandSender>;
        let id = self.context.core.open(request, commands);
        self.insert(
            id,
            Some(server_handshake),
            (ConnectionState::Waiting(client), None),
            slot,
        );
    }

    /// Passes the client to the thread of an attempt.
    fn start_attempt(&mut self, id: u64, endpoint: Arc<Endpoint>, timing: AttemptTiming) {
        let lent = self
            .connections
            .get_mut(&id)
            .map(|connection| connection.start_attempt(&self.poller, &endpoint));
        let (client_connection, server_handshake) = match lent {
            Some(Ok(Some(lent))) => lent,
            // The core must not wait for an attempt that was never made.
            Some(Err(_)) => {
                return self
                    .with_connection(id, |connection, context| connection.on_panic(context));
            }
            // The client left or was answered, which is reported to the core.
            Some(Ok(None)) | None => return,
        };
        if let Err(failed) = attempt_thread::start(
            &self.context,
            &self.handle,
            (id, client_connection, server_handshake),
            endpoint,
            timing,
        ) {
            let (client_connection, error) = *failed;
            let error = AttemptError::NotConnected(error);
            self.with_connection(id, |connection, context| {
                connection.on_attempt_finished(client_connection, Some(Err(error)), context)
            });
        }
    }

    /// Adds a connection and polls it.
    pub(super) fn insert(
        &mut self,
        id: u64,
        server_handshake: Option<F::ServerHandshake>,
        (state, server_name): (ConnectionState, Option<Arc<str>>),
        slot: ConnectionSlot,
    ) {
        self.connections.insert(
            id,
            Connection::new(id, server_handshake, (state, server_name), slot),
        );
        self.with_connection(id, |_, _| ());
    }

    /// Runs `action` on a connection and updates the events it is polled for.
    pub(super) fn with_connection(
        &mut self,
        id: u64,
        action: impl FnOnce(&mut Connection<F>, &FrontContext<F>),
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let context = &self.context;
        // A panic in one connection's code must neither end the others nor leave its client without
        // an answer.
        if catch_unwind(AssertUnwindSafe(|| action(connection, context))).is_err() {
            connection.on_panic(context);
        }
        if connection.update_interest(&self.poller).is_err() {
            connection.on_panic(context);
        }
        if connection.is_closed() {
            self.connections.remove(&id);
        }
    }
}
