//! Supervision of an established connection: keepalives, and the timeouts of both sides.

use std::time::{Duration, Instant};

use super::{EstablishedConnection, Side, TICK_INTERVAL};
use crate::attempt::ConnectionEnd;
use crate::front::ResponseLimits;
use crate::net;

/// Most chunks of a server that are read before it is judged.
const MAX_UNREAD_CHUNKS: usize = 16;

/// How long each side has taken nothing of what it is sent.
#[derive(Default)]
pub(super) struct WriteStalls {
    /// Time since the client had last taken all it was sent.
    client: Duration,
    /// Time since the server had last taken bytes, or all of them.
    server: Duration,
    /// Number of bytes that the server had taken then.
    server_taken: u64,
}

impl EstablishedConnection {
    /// Handles timeouts. Returns the time until the next check is due.
    pub fn on_tick(
        &mut self,
        limits: &ResponseLimits,
        migration_message: &[u8],
    ) -> Result<Duration, ConnectionEnd> {
        if !self.to_server.is_empty() && self.is_client_reset() {
            // The client is not polled while the server takes nothing.
            return Err(ConnectionEnd::ClientReset);
        }
        let has_unread = !self.client.outgoing.is_empty() && self.has_unread();
        let gap = self.monitor.liveness.on_tick(Instant::now(), has_unread);
        let is_keepalive_blocked = self.send_keepalive(limits);
        self.check_write_stalls(gap)?;
        let next_check = self.check_server(limits, is_keepalive_blocked, migration_message)?;
        self.continue_migration(migration_message)?;
        Ok(next_check)
    }

    /// Sends a keepalive between two messages if the server has not been asked for the idle interval.
    /// Returns whether one is due that can't be sent.
    fn send_keepalive(&mut self, limits: &ResponseLimits) -> bool {
        let now = Instant::now();
        let Some(keepalive) = &limits.keepalive else {
            return false;
        };
        if !self.monitor.liveness.needs_keepalive(now, keepalive) {
            return false;
        }
        if !self.message_hold.is_between_messages() {
            return true;
        }
        self.monitor.liveness.on_request(now, true);
        self.write_to_server(&[keepalive.request]);
        false
    }

    /// Fails if a side has taken nothing for too long; `gap` is the time since the last tick.
    fn check_write_stalls(&mut self, gap: Duration) -> Result<(), ConnectionEnd> {
        let stalls = &mut self.write_stalls;
        if self.client.outgoing.is_empty() {
            stalls.client = Duration::ZERO;
        } else {
            stalls.client += gap;
        }
        let taken = self.to_server.taken_count();
        if self.to_server.is_empty() || taken > stalls.server_taken {
            stalls.server = Duration::ZERO;
            stalls.server_taken = taken;
        } else {
            stalls.server += gap;
        }
        if stalls.client >= net::WRITE_TIMEOUT {
            Err(ConnectionEnd::ClientReset)
        } else if stalls.server >= net::WRITE_TIMEOUT {
            Err(ConnectionEnd::ServerReset)
        } else {
            Ok(())
        }
    }

    /// Fails if the server is unresponsive; its client is then migrated if possible.
    fn check_server(
        &mut self,
        limits: &ResponseLimits,
        is_keepalive_blocked: bool,
        migration_message: &[u8],
    ) -> Result<Duration, ConnectionEnd> {
        let time_left = |connection: &EstablishedConnection| {
            let liveness = &connection.monitor.liveness;
            let response_timeout = limits.response_timeout;
            liveness
                .time_left(Instant::now(), response_timeout, is_keepalive_blocked)
                .unwrap_or(TICK_INTERVAL)
        };
        if time_left(self).is_zero() {
            // An answer may be unread because this process was suspended.
            self.read_unread(migration_message)?;
            if self.has_unread() {
                return Ok(TICK_INTERVAL);
            }
            if time_left(self).is_zero() {
                self.write_migration(migration_message);
                return Err(ConnectionEnd::ServerUnresponsive);
            }
        }
        Ok(time_left(self))
    }

    /// Relays what the server has sent, as far as the client takes it and up to a bound.
    fn read_unread(&mut self, migration_message: &[u8]) -> Result<(), ConnectionEnd> {
        for _ in 0..MAX_UNREAD_CHUNKS {
            if !self.client.outgoing.is_empty() || !self.has_unread() {
                break;
            }
            self.on_ready(Side::Server, migration_message)?;
        }
        Ok(())
    }

    /// Whether bytes of the server, or its end, wait to be read.
    fn has_unread(&self) -> bool {
        match self.server.peek(&mut [0]) {
            Ok(_) => true,
            Err(error) => !net::is_would_block(&error),
        }
    }
}
