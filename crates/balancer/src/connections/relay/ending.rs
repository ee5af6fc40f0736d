//! The end of an established connection: how it ended, and the close of both sides.

use super::{EstablishedConnection, Side, was_reset};
use crate::attempt::ConnectionEnd;
use crate::connections::lingering::LingeringClose;
use crate::front::MessageKind;
use crate::net::{self, WriteBuffer};

impl EstablishedConnection {
    /// The end that the server's last message announced.
    pub(super) fn announced_end(&self) -> Option<ConnectionEnd> {
        match self.monitor.last_message {
            Some(MessageKind::Goodbye) => Some(ConnectionEnd::Served),
            Some(MessageKind::Redirect) => Some(ConnectionEnd::Redirected),
            _ => None,
        }
    }

    pub(super) fn server_end(&self) -> ConnectionEnd {
        let unannounced_end = if was_reset(self.server_write_error) {
            ConnectionEnd::ServerReset
        } else {
            ConnectionEnd::ServerClosed
        };
        self.announced_end().unwrap_or(unannounced_end)
    }

    pub(super) fn client_end(&self) -> ConnectionEnd {
        if was_reset(self.client_write_error) {
            ConnectionEnd::ClientReset
        } else {
            ConnectionEnd::ClientClosed
        }
    }

    /// Relays what the server still sends to a client that has half-closed. Fails once the
    /// connection has ended.
    pub fn relay_remaining(
        &mut self,
        side: Side,
        migration_message: &[u8],
    ) -> Result<(), ConnectionEnd> {
        if self.client.has_final_message {
            return Err(ConnectionEnd::Migrated);
        }
        match side {
            // The client has half-closed; only outgoing bytes are left.
            Side::Client => self.flush(Side::Client),
            Side::Server => self.on_ready(Side::Server, migration_message)?,
        }
        if self.client_write_error.is_some() {
            Err(ConnectionEnd::ClientReset)
        } else {
            Ok(())
        }
    }

    /// Closes or resets both sides, depending on how the connection ended. Returns the client and
    /// the server to linger, or `None` if both were reset.
    pub fn close(mut self, end: ConnectionEnd) -> Option<(LingeringClose, LingeringClose)> {
        match end {
            ConnectionEnd::ClientReset => {
                net::reset_on_close(&self.server);
                net::reset_on_close(&self.client.client);
                return None;
            }
            ConnectionEnd::ServerReset => {
                // A server that took nothing for too long must not get the rest later.
                net::reset_on_close(&self.server);
                net::reset_on_close(&self.client.client);
                return None;
            }
            ConnectionEnd::ClientProtocolError(answer)
                if !self.client.has_final_message && self.framer.is_at_boundary() =>
            {
                self.write_to_client(&[answer.as_bytes()]);
            }
            _ => {}
        }
        // Unsent bytes for the server are dropped: their client closes or migrates.
        let server = LingeringClose::start(self.server, WriteBuffer::default(), b"");
        Some((self.client.close_with(b""), server))
    }

    /// Shuts down the write side to a server whose client has half-closed, after what the client
    /// sent of its last message.
    pub fn shutdown_server_write(&mut self) {
        let incomplete = self.message_hold.take();
        self.write_to_server(&[&incomplete]);
        net::shutdown_write(&self.server);
    }
}
