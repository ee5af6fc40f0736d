//! What happens to the servers known to an isolated site when discovery's list arrives.
//!
//! | known to the isolated site | in the list | result |
//! | --- | --- | --- |
//! | serving | the same | kept, with the list's weight |
//! | serving | started later | kept, in slow start from that start on |
//! | serving | draining | no new work; its connections are migrated at a limited rate |
//! | serving | gone, or absent from a complete list of the same discovery incarnation | no new work; its connections are migrated at a limited rate |
//! | serving | absent from a delta, or from the list of a discovery that lost its state | kept until it is listed or gone |
//! | announced its drain | serving, same start | kept; skipped until the announcement expires |
//! | announced its drain | serving, started later | kept, in slow start; the announcement belongs to the former start |
//! | ejected for its health | serving | kept; skipped for as long as the evidence lasts |
//! | absent | serving | added with its share, in slow start if it is young; no client is migrated to it |
//! | absent | draining or gone | nothing |

use std::collections::BTreeMap;

use crate::Millis;
use crate::health_reports::ServerHealth;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It takes new work.
    Serving,
    /// It finishes its present work and takes no more.
    Draining,
    /// It is gone.
    Removed,
}

/// A server as known to the isolated site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownServer {
    /// Name of the server.
    pub server: String,
    /// Readiness in the last list.
    pub readiness: Readiness,
    /// Start time, by the list or the site's evidence.
    pub started_ms: Millis,
    /// Weight in thousandths.
    pub weight: u64,
    /// Finding for which the site skips the server, if it does.
    pub ejected_for: Option<ServerHealth>,
    /// This process's established connections to it.
    pub connections: usize,
}

/// A server in discovery's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Name of the server.
    pub server: String,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// Start time; 0 if long ago.
    pub started_ms: Millis,
    /// Weight in thousandths.
    pub weight: u64,
}

/// Why connections are migrated off a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationReason {
    /// The server is draining, which the isolated site did not know.
    Draining,
    /// The server is gone.
    Removed,
}

/// Connections to migrate off a server at a limited rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Migration {
    /// Server to migrate off.
    pub server: String,
    /// Number of established connections there.
    pub connections: usize,
    /// Reason for the migration.
    pub reason: MigrationReason,
}

/// A server that stays in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptServer {
    /// Name of the server.
    pub server: String,
    /// Weight from now on, in thousandths.
    pub weight: u64,
    /// Finding for which the site still skips the server, if it does.
    pub ejected_for: Option<ServerHealth>,
    /// Start time from which the server is in slow start, if it is.
    pub slow_start_since: Option<Millis>,
    /// Explanation, if the server differs from its entry in the list.
    pub reason: Option<&'static str>,
}

/// Result of comparing both sides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejoinPlan {
    /// Servers that stay in use, ordered by name.
    pub kept: Vec<KeptServer>,
    /// The only migrations that rejoining causes.
    pub migrations: Vec<Migration>,
}

/// Properties of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListOrigin {
    /// Whether it is a complete list rather than a delta.
    pub is_complete: bool,
    /// Whether it comes from the same discovery incarnation as before: one that has not lost its
    /// state since.
    pub is_same_incarnation: bool,
}

/// Compares the servers known to the isolated site with the list.
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
                plan.migrate_off(known, Readiness::Removed)
            }
            None => plan.kept.push(KeptServer {
                server: known.server.clone(),
                weight: known.weight,
                ejected_for: known.ejected_for,
                slow_start_since: None,
                reason: Some("not listed yet; kept until the list reports it as gone"),
            }),
        }
    }
    for server in listed_by_name
        .values()
        .filter(|server| server.readiness == Readiness::Serving)
    {
        if !known_by_name.contains_key(server.server.as_str()) {
            let slow_start_since = slow_start_since(now, server.started_ms, slow_start_ms);
            let reason = Some("added since the uplink was lost");
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
            (true, _) => Some("restarted while the uplink was lost"),
            (false, Some(ServerHealth::Draining)) => {
                Some("the server announced its drain and has not restarted since")
            }
            (false, Some(_)) => Some("the site's evidence still counts against it"),
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

    /// Stops using a server that is draining or gone, and migrates its connections, if any.
    fn migrate_off(&mut self, known: &KnownServer, readiness: Readiness) {
        let reason = if readiness == Readiness::Removed {
            MigrationReason::Removed
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

/// Start time from which a server is in slow start, if it is.
fn slow_start_since(now: Millis, started_ms: Millis, slow_start_ms: Millis) -> Option<Millis> {
    (started_ms > 0 && now < started_ms.saturating_add(slow_start_ms)).then_some(started_ms)
}
