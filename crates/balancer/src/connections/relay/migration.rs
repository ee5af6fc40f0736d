//! Migration of a client between two messages.

use super::{EstablishedConnection, MIGRATION_TIMEOUT};
use crate::attempt::ConnectionEnd;

impl EstablishedConnection {
    /// Migrates the client, at the end of the present message if one has begun.
    pub fn migrate(&mut self, migration_message: &[u8]) -> Result<(), ConnectionEnd> {
        self.monitor.start_migration(ConnectionEnd::Migrated);
        self.continue_migration(migration_message)
    }

    /// Migrates a client if possible; the connection has then ended.
    pub(super) fn continue_migration(
        &mut self,
        migration_message: &[u8],
    ) -> Result<(), ConnectionEnd> {
        let Some((requested_at, end)) = self.monitor.migration else {
            return Ok(());
        };
        if self.write_migration(migration_message) {
            return Err(end);
        }
        if requested_at.elapsed() >= MIGRATION_TIMEOUT {
            Err(ConnectionEnd::MigrationTimedOut)
        } else {
            Ok(())
        }
    }

    /// Asks the client to migrate, unless a message has begun. Returns whether it was asked.
    pub(super) fn write_migration(&mut self, migration_message: &[u8]) -> bool {
        if !self.client.has_final_message && self.framer.is_at_boundary() {
            self.client.has_final_message = true;
            self.write_to_client(&[migration_message]);
        }
        self.client.has_final_message
    }
}
