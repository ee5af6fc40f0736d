//! Passive outlier detection: servers with failed attempts are ejected from the rotation.

use crate::balancer::Balancer;
use crate::ids::ServerId;
use crate::time::Nanos;

/// First ejection, as a divisor of the longest deadline, which is the longest ejection.
const FIRST_EJECTION_DIVISOR: Nanos = 16;

impl Balancer {
    /// Ejects a server after a failure, for a jittered span that grows with its failures in a row.
    pub(crate) fn eject(&mut self, now: Nanos, id: ServerId) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let failures = server.consecutive_failures + 1;
        let longest = self.settings.longest_deadline();
        let ejection = self.jittered_backoff(failures, longest / FIRST_EJECTION_DIVISOR, longest);
        let until = now.saturating_add(ejection);
        if let Some(server) = self.servers.get_mut(id) {
            server.consecutive_failures = failures;
            server.ejected_until = server.ejected_until.max(until);
        }
    }

    /// Ends the ejection of a server after a success and halves its failures.
    pub(crate) fn reinstate(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.consecutive_failures /= 2;
            server.ejected_until = 0;
        }
    }
}
