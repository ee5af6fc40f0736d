//! A client's connection, from its handshake to its close.

use std::io::Read;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::READ_CHUNK_BYTES;
use crate::attempt::WaitingClient;
use crate::connections::lingering::LingeringClose;
use crate::front::{Framer, Front};
use crate::net::{self, ReadError, WriteBuffer};

/// A client's connection with its buffers.
pub struct ClientConnection {
    pub(super) client: TcpStream,
    pub(super) framer: Box<dyn Framer>,
    /// Early bytes, then the beginning of an incomplete message.
    pub(super) unforwarded: Vec<u8>,
    /// Bytes that the client has not received yet.
    pub(super) outgoing: WriteBuffer,
    max_early_bytes: usize,
    /// Whether the final message to the client has been written.
    pub(super) has_final_message: bool,
    /// Set by the owner to abandon an attempt in flight.
    is_abandoned: Arc<AtomicBool>,
}

impl WaitingClient for ClientConnection {
    fn is_abandoned(&self) -> bool {
        self.is_abandoned.load(Ordering::Relaxed)
    }

    fn stream(&self) -> &TcpStream {
        &self.client
    }

    fn read_early(&mut self) -> Result<(), ReadError> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match (&self.client).read(&mut chunk) {
                Ok(0) => return Err(ReadError::Ended),
                Ok(count) if self.unforwarded.len() + count > self.max_early_bytes => {
                    return Err(ReadError::TooLong);
                }
                Ok(count) => self.unforwarded.extend_from_slice(&chunk[..count]),
                Err(error) if net::is_would_block(&error) => return Ok(()),
                Err(error) => return Err(ReadError::Broken(error)),
            }
        }
    }
}

impl ClientConnection {
    /// Creates a connection whose handshake is complete; `early` are the bytes after it.
    pub fn new<F: Front>(front: &F, client: TcpStream, early: Vec<u8>) -> ClientConnection {
        let (framer, max_early_bytes) = (front.client_framer(), front.max_early_bytes());
        let outgoing = WriteBuffer::default();
        let is_abandoned = Arc::default();
        ClientConnection {
            client,
            framer,
            unforwarded: early,
            outgoing,
            max_early_bytes,
            has_final_message: false,
            is_abandoned,
        }
    }

    /// The flag that abandons an attempt in flight.
    pub fn abandon_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.is_abandoned)
    }

    /// Writes the final message and begins the lingering close.
    pub fn close_with(self, final_message: &[u8]) -> LingeringClose {
        LingeringClose::start(self.client, self.outgoing, final_message)
    }
}
