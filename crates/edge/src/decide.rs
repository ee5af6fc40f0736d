//! What a site decides alone, and what it refuses plainly.

use crate::Millis;
use crate::evidence::{Place, State};
use crate::state_machine::Edge;

/// Something that is to be decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A connection that stands goes on.
    GoOn,
    /// A client, new or returning, is sent to a server.
    Place {
        /// The server's site.
        site: String,
        /// Whether the server was ever listed.
        listed: bool,
        /// Whether the evidence of this site says that it is well.
        well: bool,
    },
    /// A tenant's client is let in by the record in hand.
    Tenant {
        /// How long ago its record was read; `None` where there is none.
        read_ms: Option<Millis>,
    },
    /// A tenant is made, changed or removed, or its credentials are.
    ChangeTenant,
    /// A share, a class or a bound of admission is changed.
    ChangeShare,
    /// An override is made or changed.
    Override {
        /// The site of the server that it names.
        site: String,
    },
    /// An override is ended before its time.
    EndOverride {
        /// The site of the server that it names.
        site: String,
    },
    /// A connection is moved off a server that drains or is gone.
    MoveOff,
    /// A connection is moved for balance alone.
    MoveForBalance,
    /// A server that is not heard of is forgotten.
    ForgetServer,
    /// Something beyond the link is asked, apart from the site's probes.
    Ask {
        /// What.
        place: Place,
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
        why: &'static str,
        /// When to ask again at the earliest; whoever passes it on adds jitter.
        again_ms: Millis,
    },
}

impl Edge {
    /// How old the list in hand is.
    pub fn list_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|at| now.saturating_sub(at))
    }

    /// Whether the list in hand is young enough to be trusted.
    pub fn trusted(&self, now: Millis) -> bool {
        self.list_age(now)
            .is_some_and(|age| age <= self.config.trust_for_ms)
    }

    /// Whether the site has to do without what lies beyond: on the island, and until both sides are merged.
    fn apart(&self) -> bool {
        self.state == State::Islanded || (self.state == State::Rejoining && !self.merged)
    }

    /// Whether this may be decided now.
    pub fn may(&self, now: Millis, decision: &Decision) -> Permission {
        if !self.apart() {
            return Permission::Granted;
        }
        match self.refusal(now, decision) {
            None => Permission::Granted,
            Some(why) => Permission::Denied {
                why,
                again_ms: self.config.probe_cap_ms,
            },
        }
    }

    fn refusal(&self, now: Millis, decision: &Decision) -> Option<&'static str> {
        let here = |site: &str| site == self.config.site;
        let islanded = self.state == State::Islanded;
        match decision {
            Decision::GoOn | Decision::MoveOff => None,
            Decision::Place { listed: false, .. } => Some("this server was never listed"),
            Decision::Place { site, .. } if islanded && !here(site) => {
                Some("this server lies beyond the lost link")
            }
            Decision::Place { well, .. } if !self.trusted(now) && !well => Some(
                "the list is older than it is trusted, and nothing says that this server is well",
            ),
            Decision::Place { .. } => None,
            // Once the link is back the store answers for itself.
            Decision::Tenant { .. } if !islanded => None,
            Decision::Tenant { read_ms: None } => {
                Some("this tenant is not known here while the link is lost")
            }
            Decision::Tenant { read_ms: Some(age) } => {
                let old = *age > self.config.tenants_for_ms;
                old.then_some("this tenant's record is too old while the link is lost")
            }
            Decision::ChangeTenant => Some("tenants are not changed while the link is lost"),
            Decision::ChangeShare => Some("shares are not changed while the link is lost"),
            Decision::Override { site } | Decision::EndOverride { site } => (!here(site))
                .then_some("only servers of this site are overridden while the link is lost"),
            Decision::MoveForBalance => Some("nobody is moved for balance while the link is lost"),
            Decision::ForgetServer => Some("no server is forgotten while the link is lost"),
            Decision::Ask { .. } => {
                islanded.then_some("the site's probes ask what lies beyond the lost link")
            }
        }
    }
}
