//! Read access for the host.

use crate::clock::WallClock;
use crate::recovery::Recovery;
use crate::{Entry, Millis, OutageScope, RecoveryState, RememberedKind, Validity};

impl Recovery {
    /// The present state of the recovery.
    pub fn state(&self) -> RecoveryState {
        self.state
    }

    /// The servers in order of their names; a server with a held drain is listed as draining.
    pub fn servers(&self) -> impl Iterator<Item = Entry> {
        self.servers.effective_entries()
    }

    /// The validity of a kind of remembered state; discarded if there is no memory.
    pub fn validity(&self, kind: RememberedKind) -> Validity {
        self.validities
            .get(&kind)
            .map_or(Validity::Discarded, |(validity, _)| *validity)
    }

    /// The extent of the outage; unknown until it is decided.
    pub fn scope(&self) -> OutageScope {
        self.scope_finding
            .as_ref()
            .map_or(OutageScope::Unknown, |scope_finding| scope_finding.scope)
    }

    /// Whether the wall clock is reliable and may be sent as [`crate::PeerStatus::wall_clock`].
    pub fn is_clock_reliable(&self) -> bool {
        self.clock.as_ref().is_some_and(WallClock::is_reliable)
    }

    /// Whether a placement made at this wall time is still valid: it is recent enough, and its
    /// server has not restarted since and accepts new connections.
    pub fn is_placement_valid(&self, server: &str, placed_at: Millis) -> bool {
        let Some(server) = self
            .servers
            .get(server)
            .filter(|server| server.accepts_new())
        else {
            return false;
        };
        let Some(clock) = &self.clock else {
            return false;
        };
        let age = clock.age(self.last_event_at, placed_at);
        let is_recent = age.is_some_and(|age| age <= self.config.retention.placements);
        let is_before_restart = server.has_restarted
            && self
                .memory
                .as_ref()
                .is_some_and(|memory| placed_at <= memory.written_at);
        is_recent && !is_before_restart && server.entry.started_at_ms <= placed_at
    }

    /// Whether a remembered override is still valid. If the wall clock is unreliable, an override
    /// that `restricts` a server stays valid for [`crate::Timeouts::drain_hold`].
    pub fn is_override_valid(&self, expires_at: Millis, restricts: bool) -> bool {
        match self.validity(RememberedKind::Overrides) {
            Validity::Valid => self
                .clock
                .as_ref()
                .is_some_and(|clock| clock.wall_time(self.last_event_at) < expires_at),
            Validity::Hint(_) => {
                restricts
                    && self.last_event_at
                        < self
                            .outage_started_at
                            .saturating_add(self.config.timeouts.drain_hold)
            }
            Validity::Discarded => false,
        }
    }

    /// Whether the present clients may replace the remembered ones. Until service is full, a second
    /// power loss would otherwise leave only the clients admitted so far in the memory.
    pub fn can_update_memory(&self) -> bool {
        self.state == RecoveryState::Serving
    }

    /// Clients per second deferred for lack of quota although their position is admitted, for
    /// [`crate::PeerStatus::deferred_per_s`].
    pub fn deferred_per_s(&self) -> f64 {
        self.quota.deferred_per_s()
    }

    /// Previous clients of the whole fleet, for [`crate::PeerStatus::previous_clients`]; `None`
    /// without a recent memory of them.
    pub fn previous_clients(&self) -> Option<f64> {
        let memory = self
            .memory
            .as_ref()
            .filter(|_| self.validity(RememberedKind::FormerClients) == Validity::Hint(1.0))?;
        Some(
            memory
                .previous_clients
                .iter()
                .map(|previous| previous.clients)
                .sum::<f64>(),
        )
        .filter(|total| *total > 0.0)
    }
}
