//! The thread that serves all connections of a front, from admission to close.
//!
//! Only attempts have threads of their own. A thread per connection costs too much where the whole
//! process is stopped and resumed to limit its share of a core.

mod attempt_thread;
mod connection;
mod handover;
mod run;

use std::fmt;
use std::io;
use std::sync::Arc;

use crossbeam_channel::{Sender, unbounded};

use crate::attempt::AttemptError;
use crate::connections::connect::EstablishedServer;
use crate::connections::relay::{ClientConnection, HeldBytes};
use crate::core::{ClientRequest, CommandSender, ConnectionCommand, ConnectionSlot, CoreHandle};
use crate::front::{ClientMessage, Front};
use crate::handover::{HandoverAddress, TransferredConnection};
use crate::log::RateLimitedLog;
use crate::poller::{Poller, Waker};

use run::EventLoop;

/// A client that has been admitted, with its connection.
pub struct Admitted<F: Front, C> {
    /// What is known of its connection.
    pub connection: C,
    /// The client's request for the core.
    pub request: ClientRequest,
    /// The handshake for the server.
    pub server_handshake: F::ServerHandshake,
    /// The reserved place among the open connections.
    pub slot: ConnectionSlot,
}

/// A new client: its socket, with the bytes it sent early.
pub type AdmittedClient<F> = Admitted<F, ClientConnection>;
/// A connection of another process, admitted once more: its sockets and the server's name.
pub type TakenOverConnection<F> = Admitted<F, TransferredConnection>;

/// An input of the connections' thread.
enum ConnectionInput<F: Front> {
    Admitted(Box<AdmittedClient<F>>),
    Commanded(u64, ConnectionCommand),
    /// Another process has handed over this connection.
    TakenOver(Box<TakenOverConnection<F>>),
    /// An attempt ended; `None` if it panicked.
    AttemptFinished(
        u64,
        ClientConnection,
        Option<Result<EstablishedServer, AttemptError>>,
    ),
}

/// A handle to the thread that serves a front's connections.
pub struct ConnectionsHandle<F: Front> {
    inputs: Sender<ConnectionInput<F>>,
    waker: Waker,
}

impl<F: Front> Clone for ConnectionsHandle<F> {
    fn clone(&self) -> ConnectionsHandle<F> {
        ConnectionsHandle {
            inputs: self.inputs.clone(),
            waker: self.waker.clone(),
        }
    }
}

impl<F: Front> fmt::Debug for ConnectionsHandle<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ConnectionsHandle")
    }
}

impl<F: Front> ConnectionsHandle<F> {
    fn send_input(&self, input: ConnectionInput<F>) {
        // The thread has ended only if the program is about to end.
        let _ = self.inputs.send(input);
        self.waker.wake();
    }

    /// Takes over a connection from another process.
    pub fn take_over(&self, taken_over: TakenOverConnection<F>) {
        self.send_input(ConnectionInput::TakenOver(Box::new(taken_over)));
    }

    /// Serves an admitted client.
    pub fn admit(&self, admitted: AdmittedClient<F>) {
        self.send_input(ConnectionInput::Admitted(Box::new(admitted)));
    }
}

impl<F: Front> CommandSender for ConnectionsHandle<F> {
    fn send(&self, id: u64, command: ConnectionCommand) {
        self.send_input(ConnectionInput::Commanded(id, command));
    }
}

/// State shared by all connections of a front.
struct FrontContext<F: Front> {
    front: Arc<F>,
    core: CoreHandle,
    /// The message that asks a client to migrate.
    migration_message: Vec<u8>,
    /// Where connections are handed over; `None` if this front does not hand over.
    handover: Option<HandoverAddress>,
    /// What the front holds back of clients' incomplete messages.
    held_bytes: HeldBytes,
    /// Limits the lines about clients that break the protocol, which they can do at will.
    client_errors: RateLimitedLog,
    /// Limits the lines about connections that servers or timeouts end.
    server_errors: RateLimitedLog,
}

/// Starts the thread that serves a front's connections.
///
/// # Errors
///
/// Fails if the poller or the thread can't be created.
pub fn serve<F: Front>(
    front: &Arc<F>,
    core: &CoreHandle,
    handover: Option<HandoverAddress>,
) -> io::Result<ConnectionsHandle<F>> {
    let poller = Poller::new()?;
    let (inputs, inbox) = unbounded();
    let connections_handle = ConnectionsHandle {
        inputs,
        waker: poller.waker(),
    };
    let context = FrontContext {
        front: Arc::clone(front),
        core: core.clone(),
        migration_message: front.encode(ClientMessage::Migrate),
        handover,
        held_bytes: HeldBytes::default(),
        client_errors: RateLimitedLog::default(),
        server_errors: RateLimitedLog::default(),
    };
    let server = EventLoop::new(context, poller, (inbox, connections_handle.clone()));
    std::thread::Builder::new()
        .name("connections".into())
        .spawn(move || server.run())?;
    Ok(connections_handle)
}

#[cfg(test)]
mod tests;
