//! The thread of one attempt, which owns the client until the attempt ends.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use crossbeam_channel::bounded;

use super::{ConnectionInput, ConnectionsHandle, FrontContext};
use crate::connections::connect;
use crate::connections::relay::ClientConnection;
use crate::core::{AttemptTiming, Endpoint};
use crate::front::Front;

/// Makes an attempt on a thread of its own. Returns the client if the thread can't be created.
pub(super) fn start<F: Front>(
    context: &FrontContext<F>,
    connections_handle: &Arc<ConnectionsHandle<F>>,
    (id, client_connection, server_handshake): (u64, ClientConnection, Arc<F::ServerHandshake>),
    endpoint: Arc<Endpoint>,
    timing: AttemptTiming,
) -> Result<(), Box<(ClientConnection, io::Error)>> {
    let (front, connections_handle, connect_timeout) = (
        Arc::clone(&context.front),
        Arc::clone(connections_handle),
        context.core.connect_timeout(),
    );
    let (sender, receiver) = bounded::<ClientConnection>(1);
    let run = move || {
        let Ok(mut client_connection) = receiver.recv() else {
            return;
        };
        let attempt = || {
            connect::attempt(
                &*front,
                &mut client_connection,
                &server_handshake,
                &endpoint,
                timing,
                connect_timeout,
            )
        };
        let result = catch_unwind(AssertUnwindSafe(attempt)).ok();
        drop(server_handshake);
        connections_handle.send_input(ConnectionInput::AttemptFinished(
            id,
            client_connection,
            result,
        ));
    };
    match std::thread::Builder::new()
        .name("attempt".into())
        .stack_size(context.front.thread_stack_bytes())
        .spawn(run)
    {
        Ok(_) => sender
            .send(client_connection)
            .map_err(|error| Box::new((error.into_inner(), io::ErrorKind::Other.into()))),
        Err(error) => Err(Box::new((client_connection, error))),
    }
}
