//! A server's address and drain state, shared with the attempts that write to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Address and drain state of a server, shared with the attempts that connect to it.
#[derive(Debug)]
pub struct Endpoint {
    /// Name in the server list.
    pub name: Arc<str>,
    /// Address that attempts connect to.
    pub address: SocketAddr,
    pub(super) drain_state: Arc<DrainState>,
}

/// Whether a server is draining, and how many attempts are writing their first byte to it.
#[derive(Debug, Default)]
pub struct DrainState {
    is_leaving: AtomicBool,
    writers: AtomicUsize,
}

impl DrainState {
    /// Sets whether the server accepts no new connections; attempts in flight see the change.
    pub(super) fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::SeqCst);
    }

    /// Whether no first byte is being written. Once true after the drain began, it stays true.
    pub fn has_no_writers(&self) -> bool {
        self.writers.load(Ordering::SeqCst) == 0
    }
}

/// Permission to write a first byte, valid until it is dropped.
pub struct WritePermit<'a>(&'a DrainState);

impl Drop for WritePermit<'_> {
    fn drop(&mut self) {
        self.0.writers.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Endpoint {
    /// Creates an endpoint that accepts new connections.
    pub fn new(name: String, address: SocketAddr) -> Endpoint {
        Endpoint {
            name: name.into(),
            address,
            drain_state: Arc::default(),
        }
    }

    /// Permission to write the first byte of an attempt, or `None` if the server drains, was
    /// removed or is out of service. The writer is counted before the state is read, so that a
    /// drain that has begun sees every writer.
    pub fn begin_write(&self) -> Option<WritePermit<'_>> {
        self.drain_state.writers.fetch_add(1, Ordering::SeqCst);
        let permit = WritePermit(&self.drain_state);
        (!self.drain_state.is_leaving.load(Ordering::SeqCst)).then_some(permit)
    }
}
