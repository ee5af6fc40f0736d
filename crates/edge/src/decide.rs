//! Decisions that an isolated site may take by itself, and those that it denies.

use crate::Millis;
use crate::evidence::{RemoteTarget, UplinkState};
use crate::state_machine::Edge;

/// A decision that the host asks permission for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Keep an established connection.
    KeepConnection,
    /// Send a client, new or returning, to a server.
    PlaceClient {
        /// Site of the server.
        site: String,
        /// Whether discovery ever listed the server.
        is_listed: bool,
        /// Whether this site's evidence says that the server is healthy.
        is_healthy: bool,
    },
    /// Admit a tenant's client by the stored record of the tenant.
    AdmitTenant {
        /// Time since the record was read; `None` if there is no record.
        record_age_ms: Option<Millis>,
    },
    /// Create, change or remove a tenant or its credentials.
    ChangeTenant,
    /// Change a share, a class or a limit of admission.
    ChangeAdmissionLimits,
    /// Create or change an override.
    SetOverride {
        /// Site of the server that the override names.
        site: String,
    },
    /// End an override before it expires.
    EndOverride {
        /// Site of the server that the override names.
        site: String,
    },
    /// Move a connection off a server that is draining or gone.
    MigrateOffServer,
    /// Move a connection only to balance load.
    Rebalance,
    /// Remove a server that is no longer heard from.
    ForgetServer,
    /// Contact a remote target outside the site's probes.
    ContactRemote {
        /// Target to contact.
        target: RemoteTarget,
    },
}

/// Answer to a [`Decision`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The decision may be carried out.
    Granted,
    /// The decision is denied.
    Denied {
        /// Reason, worded for the requester.
        reason: &'static str,
        /// Delay before the earliest retry. The host adds jitter when it passes this on.
        retry_after_ms: Millis,
    },
}

impl Edge {
    /// Age of the server list; `None` if discovery never confirmed it.
    pub fn list_age(&self, now: Millis) -> Option<Millis> {
        self.list_confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the server list is within its trust period.
    pub fn is_list_trusted(&self, now: Millis) -> bool {
        self.list_age(now)
            .is_some_and(|age| age <= self.config.trust_for_ms)
    }

    /// Whether the site has to act without remote targets: while isolated, and until both sides are
    /// merged.
    fn is_autonomous(&self) -> bool {
        self.state == UplinkState::Isolated
            || (self.state == UplinkState::Rejoining && !self.is_merged)
    }

    /// Whether the decision may be taken now.
    pub fn permission(&self, now: Millis, decision: &Decision) -> Permission {
        if !self.is_autonomous() {
            return Permission::Granted;
        }
        match self.denial_reason(now, decision) {
            None => Permission::Granted,
            Some(reason) => Permission::Denied {
                reason,
                retry_after_ms: self.config.probe_cap_ms,
            },
        }
    }

    fn denial_reason(&self, now: Millis, decision: &Decision) -> Option<&'static str> {
        let is_local = |site: &str| site == self.config.site;
        let is_isolated = self.state == UplinkState::Isolated;
        match decision {
            Decision::KeepConnection | Decision::MigrateOffServer => None,
            Decision::PlaceClient {
                is_listed: false, ..
            } => Some("the server was never listed by discovery"),
            Decision::PlaceClient { site, .. } if is_isolated && !is_local(site) => {
                Some("the server is at another site, and this site is isolated")
            }
            Decision::PlaceClient { is_healthy, .. }
                if !self.is_list_trusted(now) && !is_healthy =>
            {
                Some(
                    "the server list is past its trust period, and there is no evidence that the server is healthy",
                )
            }
            Decision::PlaceClient { .. } => None,
            // Once the uplink is back, the store can be asked for the tenant.
            Decision::AdmitTenant { .. } if !is_isolated => None,
            Decision::AdmitTenant {
                record_age_ms: None,
            } => Some("the site is isolated and has no record of the tenant"),
            Decision::AdmitTenant {
                record_age_ms: Some(record_age_ms),
            } => {
                let is_expired = *record_age_ms > self.config.tenants_for_ms;
                is_expired
                    .then_some("the site is isolated and its record of the tenant has expired")
            }
            Decision::ChangeTenant => Some("tenants can't be changed until the site has rejoined"),
            Decision::ChangeAdmissionLimits => {
                Some("admission limits can't be changed until the site has rejoined")
            }
            Decision::SetOverride { site } | Decision::EndOverride { site } => (!is_local(site))
                .then_some(
                    "only servers of this site can be overridden until the site has rejoined",
                ),
            Decision::Rebalance => {
                Some("connections can't be rebalanced until the site has rejoined")
            }
            Decision::ForgetServer => Some("servers can't be removed until the site has rejoined"),
            Decision::ContactRemote { .. } => is_isolated
                .then_some("the site is isolated, and only its probes may contact remote targets"),
        }
    }
}
