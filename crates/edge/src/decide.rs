//! What a site decides alone, and what it refuses plainly.

use crate::Millis;
use crate::evidence::{RemoteTarget, UplinkState};
use crate::state_machine::Edge;

/// Something that is to be decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A connection that stands goes on.
    KeepConnection,
    /// A client, new or returning, is sent to a server.
    PlaceClient {
        /// The server's site.
        site: String,
        /// Whether the server was ever listed.
        is_listed: bool,
        /// Whether the evidence of this site says that it is well.
        is_healthy: bool,
    },
    /// A tenant's client is let in by the record in hand.
    AdmitTenant {
        /// How long ago its record was read; `None` where there is none.
        record_age_ms: Option<Millis>,
    },
    /// A tenant is made, changed or removed, or its credentials are.
    ChangeTenant,
    /// A share, a class or a bound of admission is changed.
    ChangeAdmissionLimits,
    /// An override is made or changed.
    SetOverride {
        /// The site of the server that it names.
        site: String,
    },
    /// An override is ended before its time.
    EndOverride {
        /// The site of the server that it names.
        site: String,
    },
    /// A connection is moved off a server that drains or is gone.
    MigrateOffServer,
    /// A connection is moved for balance alone.
    Rebalance,
    /// A server that is not heard of is forgotten.
    ForgetServer,
    /// Something beyond the link is asked, apart from the site's probes.
    ContactRemote {
        /// What.
        target: RemoteTarget,
    },
}

/// What comes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It is done.
    Granted,
    /// It is refused.
    Denied {
        /// Why, in words for whoever asked.
        reason: &'static str,
        /// When to ask again at the earliest; whoever passes it on adds jitter.
        retry_after_ms: Millis,
    },
}

impl Edge {
    /// How old the list in hand is.
    pub fn list_age(&self, now: Millis) -> Option<Millis> {
        self.list_confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the list in hand is young enough to be trusted.
    pub fn is_list_trusted(&self, now: Millis) -> bool {
        self.list_age(now)
            .is_some_and(|age| age <= self.config.trust_for_ms)
    }

    /// Whether the site has to do without what lies beyond: on the island, and until both sides are merged.
    fn is_autonomous(&self) -> bool {
        self.state == UplinkState::Isolated
            || (self.state == UplinkState::Rejoining && !self.is_merged)
    }

    /// Whether this may be decided now.
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
            } => Some("this server was never listed"),
            Decision::PlaceClient { site, .. } if is_isolated && !is_local(site) => {
                Some("this server lies beyond the lost link")
            }
            Decision::PlaceClient { is_healthy, .. }
                if !self.is_list_trusted(now) && !is_healthy =>
            {
                Some(
                    "the list is older than it is trusted, and nothing says that this server is well",
                )
            }
            Decision::PlaceClient { .. } => None,
            // Once the link is back the store answers for itself.
            Decision::AdmitTenant { .. } if !is_isolated => None,
            Decision::AdmitTenant {
                record_age_ms: None,
            } => Some("this tenant is not known here while the link is lost"),
            Decision::AdmitTenant {
                record_age_ms: Some(record_age_ms),
            } => {
                let is_expired = *record_age_ms > self.config.tenants_for_ms;
                is_expired.then_some("this tenant's record is too old while the link is lost")
            }
            Decision::ChangeTenant => Some("tenants are not changed while the link is lost"),
            Decision::ChangeAdmissionLimits => {
                Some("shares are not changed while the link is lost")
            }
            Decision::SetOverride { site } | Decision::EndOverride { site } => (!is_local(site))
                .then_some("only servers of this site are overridden while the link is lost"),
            Decision::Rebalance => Some("nobody is moved for balance while the link is lost"),
            Decision::ForgetServer => Some("no server is forgotten while the link is lost"),
            Decision::ContactRemote { .. } => {
                is_isolated.then_some("the site's probes ask what lies beyond the lost link")
            }
        }
    }
}
