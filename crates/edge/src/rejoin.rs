//! What becomes of what a site held on its island, once discovery's list is in hand.
//!
//! | held on the island | the list says | what happens |
//! | --- | --- | --- |
//! | serves | the same | kept, with the list's weight |
//! | serves | started later | kept, cold from that start on |
//! | serves | drains | nothing new; its connections are moved, paced |
//! | serves | gone, or not there (whole list of the same discovery) | nothing new; its connections are moved, paced |
//! | serves | not there (a list of changes, or a discovery that lost its state) | kept until it is listed or gone |
//! | drained by its own word | serves, same start | kept; passed over until that word has faded |
//! | drained by its own word | serves, started later | kept, cold; the word was of its former life |
//! | passed over for its health | serves | kept; passed over for as long as the evidence says |
//! | nothing | serves | taken in with its part, cold where it is young; nobody is moved to it |
//! | nothing | drains or gone | nothing |

use std::collections::BTreeMap;

use crate::Millis;
use crate::health_reports::ServerHealth;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// A server as the island has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownServer {
    /// Its name.
    pub server: String,
    /// As last listed.
    pub readiness: Readiness,
    /// When it started, by the list or by the site's evidence.
    pub started_ms: Millis,
    /// Its weight, in thousandths.
    pub weight: u64,
    /// Why the site passes it over, if it does.
    pub ejected_for: Option<ServerHealth>,
    /// This process's connections on it.
    pub connections: usize,
}

/// A server of discovery's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Its name.
    pub server: String,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// When it started; 0 for long ago.
    pub started_ms: Millis,
    /// Its weight, in thousandths.
    pub weight: u64,
}

/// Why connections are moved off a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationReason {
    /// It drains, which the island had not seen.
    Draining,
    /// It is gone.
    Gone,
}

/// Connections that are moved off a server, paced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Migration {
    /// Off which.
    pub server: String,
    /// How many stand there.
    pub connections: usize,
    /// Why.
    pub reason: MigrationReason,
}

/// A server that goes on, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptServer {
    /// Which.
    pub server: String,
    /// Its weight from now on.
    pub weight: u64,
    /// Why the site's evidence passes it over still.
    pub ejected_for: Option<ServerHealth>,
    /// It is cold from this start on.
    pub slow_start_since: Option<Millis>,
    /// In a sentence, where it is not simply as listed.
    pub reason: Option<&'static str>,
}

/// What is done at the merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejoinPlan {
    /// All servers that go on, by name.
    pub kept: Vec<KeptServer>,
    /// The only moves that the rejoining makes.
    pub migrations: Vec<Migration>,
}

/// What the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListOrigin {
    /// Whether it is the whole list, not changes alone.
    pub is_complete: bool,
    /// Whether it comes from the same discovery as before: one that has not lost its state since.
    pub is_same_incarnation: bool,
}

/// Compares both sides.
pub fn plan_rejoin(
    now: Millis,
    known: &[KnownServer],
    listed: &[ListedServer],
    origin: ListOrigin,
    slow_start_ms: Millis,
) -> RejoinPlan {
    let listed_by_name: BTreeMap<&str, &ListedServer> = listed
        .iter()
        .map(|server| (server.server.as_str(), server))
        .collect();
    let known_by_name: BTreeMap<&str, &KnownServer> = known
        .iter()
        .map(|server| (server.server.as_str(), server))
        .collect();
    let mut plan = RejoinPlan::default();
    for (name, known) in &known_by_name {
        match listed_by_name.get(name) {
            Some(server) => plan.reconcile(now, known, server, slow_start_ms),
            None if origin.is_complete && origin.is_same_incarnation => {
                plan.migrate_off(known, Readiness::Gone)
            }
            None => plan.kept.push(KeptServer {
                server: known.server.clone(),
                weight: known.weight,
                ejected_for: known.ejected_for,
                slow_start_since: None,
                reason: Some(
                    "not listed yet; what stands stays until the list says that it is gone",
                ),
            }),
        }
    }
    for server in listed_by_name
        .values()
        .filter(|server| server.readiness == Readiness::Serving)
    {
        if !known_by_name.contains_key(server.server.as_str()) {
            let slow_start_since = slow_start_since(now, server.started_ms, slow_start_ms);
            let reason = Some("new since the link was lost");
            plan.kept.push(KeptServer {
                server: server.server.clone(),
                weight: server.weight,
                ejected_for: None,
                slow_start_since,
                reason,
            });
        }
    }
    plan.kept.sort_by(|a, b| a.server.cmp(&b.server));
    plan
}

impl RejoinPlan {
    fn reconcile(
        &mut self,
        now: Millis,
        known: &KnownServer,
        listed: &ListedServer,
        slow_start_ms: Millis,
    ) {
        if listed.readiness != Readiness::Serving {
            return self.migrate_off(known, listed.readiness);
        }
        let has_restarted = listed.started_ms > known.started_ms;
        let ejected_for = known.ejected_for.filter(|_| !has_restarted);
        let reason = match (has_restarted, ejected_for) {
            (true, _) => Some("it started anew while the link was lost"),
            (false, Some(ServerHealth::Draining)) => {
                Some("it said itself that it drains, and has not started since")
            }
            (false, Some(_)) => Some("the site's evidence is against it still"),
            (false, None) => None,
        };
        let slow_start_since =
            slow_start_since(now, listed.started_ms.max(known.started_ms), slow_start_ms);
        self.kept.push(KeptServer {
            server: known.server.clone(),
            weight: listed.weight,
            ejected_for,
            slow_start_since,
            reason,
        });
    }

    /// A server that drains, or is gone: what stands there is moved, if anything does.
    fn migrate_off(&mut self, known: &KnownServer, readiness: Readiness) {
        let reason = if readiness == Readiness::Gone {
            MigrationReason::Gone
        } else {
            MigrationReason::Draining
        };
        if known.connections > 0 {
            self.migrations.push(Migration {
                server: known.server.clone(),
                connections: known.connections,
                reason,
            });
        }
    }
}

/// Since when a server is cold, if it is.
fn slow_start_since(now: Millis, started_ms: Millis, slow_start_ms: Millis) -> Option<Millis> {
    (started_ms > 0 && now < started_ms.saturating_add(slow_start_ms)).then_some(started_ms)
}
