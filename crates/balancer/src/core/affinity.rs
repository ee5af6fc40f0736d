//! Session affinity: a returning client is pinned to its previous server.
//!
//! The rules are those of `beaconflow-affinity`. The pin is not strict, and an operator's pin
//! has precedence.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use beaconflow_affinity::{
    Client, EndReason, EndpointView, Group, Key, Millis, Placement, PlacementTable, ServerStatus,
    Stamp, Tag, Version, VersionFact,
};
use beaconflow_policy::{AttemptOutcome, MigrationReason, Pin, ServerId};
use tracing::{debug, error, info};

use super::endpoints::EndpointRegistry;
use super::fleet_link::CoreEvent;
use super::{ClientRequest, Core, TimerKind};

/// Most expired placements removed in one refresh.
const MAX_EXPIRED_PER_REFRESH: usize = 10_000;

/// Session affinity of one core.
pub struct SessionAffinity {
    placements: PlacementTable,
    /// Placements of the connections established here.
    established: BTreeMap<u64, (Key, Stamp)>,
    /// Interval at which placements and the running version are published again.
    refresh_interval: Duration,
}

impl SessionAffinity {
    /// Creates session affinity from a table that has adopted a version; a placement is kept for
    /// `retention` after it was last published.
    pub fn new(placements: PlacementTable, retention: Duration) -> SessionAffinity {
        let refresh_interval =
            (retention / 4).clamp(Duration::from_secs(1), Duration::from_secs(100));
        SessionAffinity {
            placements,
            established: BTreeMap::new(),
            refresh_interval,
        }
    }
}

/// An event that concerns remembered placements.
#[derive(Clone, Debug)]
pub enum AffinityEvent {
    /// Placements from peers or from the stored memory, to be merged.
    Placements(Vec<Placement>),
    /// Versions of the configuration that other processes run.
    Versions(Vec<VersionFact>),
    /// A process has died, by its origin; the connections through it have ended.
    BalancerDied(u64),
    /// This process runs a version from now on, with the operator's serial number.
    VersionAdopted(Version, u64),
}

impl EndpointView for EndpointRegistry {
    fn server(&self, server: Tag) -> Option<ServerStatus> {
        self.affinity_target(server.0)
    }

    /// No setting restricts tenants to servers.
    fn permits(&self, _: &Client, _: Tag) -> bool {
        true
    }
}

fn affinity_client(client_request: &ClientRequest) -> Option<Client> {
    Some(Client {
        key: Key(client_request.client_key?),
        group: client_request.group.map(Group),
        tenant: client_request.tenant,
    })
}

impl Core {
    /// Runs code on the affinity state. After a panic there affinity is disabled, and the core
    /// continues.
    fn with_affinity<T>(
        &mut self,
        action: impl FnOnce(&mut SessionAffinity, &EndpointRegistry, Millis) -> T,
    ) -> Option<T> {
        let now = self.now_ms();
        let (endpoints, affinity) = (&self.endpoints, self.fleet.as_mut()?.affinity.as_mut()?);
        let result = catch_unwind(AssertUnwindSafe(|| action(affinity, endpoints, now)));
        if result.is_err() {
            error!(
                part = "affinity",
                "session affinity panicked and is disabled until a restart"
            );
            if let Some(fleet_link) = &mut self.fleet {
                fleet_link.affinity = None;
            }
        }
        result.ok()
    }

    /// The affinity pin of a request.
    pub(super) fn affinity_pin(&mut self, id: u64, client_request: &ClientRequest) -> Option<Pin> {
        let client = affinity_client(client_request)?;
        let advice = self.with_affinity(|affinity, endpoints, now| {
            affinity.placements.advise(&client, endpoints, now)
        })??;
        let server = self.endpoints.by_hash(advice.server.0)?;
        let name = self
            .endpoints
            .endpoint(server)
            .map(|server| server.name.to_string());
        debug!(part = "affinity", request = id, server = name, why = ?advice.reason, under = %advice.config_version, "client returns to its previous server");
        Some(Pin {
            server: Some(server),
            strict: false,
        })
    }

    /// Records the placement of an established connection.
    pub(super) fn record_placement(&mut self, id: u64, server: ServerId) {
        let Some(client) = self
            .requests
            .get(id)
            .and_then(|request_state| affinity_client(&request_state.request))
        else {
            return;
        };
        let Some(tag) = self.endpoints.name_hash(server) else {
            return;
        };
        let placement = self.with_affinity(|affinity, _, now| {
            let placement = affinity
                .placements
                .record_established(&client, Tag(tag), now)
                .ok()?;
            affinity
                .established
                .insert(id, (placement.key, placement.stamp));
            Some(placement)
        });
        self.publish_placement(placement.flatten());
    }

    /// Records the end of a connection or its migration.
    pub(super) fn end_placement(&mut self, id: u64, reason: EndReason) {
        let placement = self.with_affinity(|affinity, _, now| {
            let (key, stamp) = affinity.established.remove(&id)?;
            affinity.placements.record_ended(key, stamp, reason, now)
        });
        self.publish_placement(placement.flatten());
    }

    fn publish_placement(&self, placement: Option<Placement>) {
        self.publish(|_| placement.map(|placement| CoreEvent::PlacementsChanged(vec![placement])));
        self.publish_placement_count();
    }

    /// Publishes the number of remembered placements.
    fn publish_placement_count(&self) {
        self.publish(|core| {
            let affinity = core.fleet.as_ref()?.affinity.as_ref()?;
            Some(CoreEvent::RememberedPlacements(
                affinity.placements.counts().entries,
            ))
        });
    }

    /// Records the start times of servers, which void placements made before a restart.
    pub(super) fn record_server_starts(&mut self) {
        self.with_affinity(|affinity, endpoints, _| {
            for (tag, started_at) in endpoints.starts() {
                affinity
                    .placements
                    .record_server_start(Tag(tag), started_at);
            }
        });
    }

    /// Handles an event from peers or the stored memory.
    pub(super) fn on_affinity_event(&mut self, event: AffinityEvent) {
        match event {
            AffinityEvent::Placements(placements) => {
                self.with_affinity(|affinity, _, now| {
                    affinity.placements.merge_all(&placements, now)
                });
                self.publish_placement_count();
            }
            AffinityEvent::Versions(facts) => {
                self.with_affinity(|affinity, _, now| {
                    for fact in &facts {
                        if affinity.placements.merge_version(fact, now) {
                            info!(part = "affinity", version = %fact.version, serial = fact.serial, "another process runs this configuration version");
                        }
                    }
                });
            }
            AffinityEvent::BalancerDied(origin) => {
                self.with_affinity(|affinity, _, _| {
                    affinity.placements.record_balancer_death(origin)
                });
            }
            AffinityEvent::VersionAdopted(version, serial) => {
                let adopted = self.with_affinity(|affinity, _, now| {
                    affinity.placements.adopt(version, serial, now)
                });
                if let Some(adopted) = adopted {
                    info!(part = "affinity", version = %version, serial, how = ?adopted, "configuration version adopted");
                }
                self.publish_version();
            }
        }
    }

    fn publish_version(&mut self) {
        let fact = self
            .with_affinity(|affinity, _, now| affinity.placements.refresh_current_version(now))
            .flatten();
        self.publish(|_| fact.map(CoreEvent::VersionRuns));
    }

    /// Publishes established placements again, and drops expired ones.
    pub(super) fn refresh_affinity(&mut self) {
        let placements = self.with_affinity(|affinity, _, now| {
            affinity.placements.expire(now, MAX_EXPIRED_PER_REFRESH);
            let refreshed = affinity
                .established
                .values()
                .filter_map(|(key, stamp)| affinity.placements.refresh(*key, *stamp, now));
            (
                refreshed.collect::<Vec<Placement>>(),
                affinity.refresh_interval,
            )
        });
        let Some((placements, refresh_interval)) = placements else {
            return;
        };
        self.publish_placement_count();
        self.publish(|_| {
            (!placements.is_empty()).then_some(CoreEvent::PlacementsChanged(placements))
        });
        self.publish_version();
        self.set_timer(refresh_interval, TimerKind::AffinityRefresh);
    }
}

/// The reason with which a migration ends a placement.
pub(super) fn end_reason_of_migration(reason: MigrationReason) -> EndReason {
    match reason {
        MigrationReason::ServerLeaving => EndReason::MigratedServerLeaving,
        MigrationReason::SlowMessages => EndReason::MigratedSlowMessages,
        MigrationReason::Rebalancing | MigrationReason::SlowStart => EndReason::MigratedRebalancing,
    }
}

/// The reason with which the end of a connection ends its placement.
pub(super) fn end_reason_of_outcome(outcome: AttemptOutcome) -> EndReason {
    if outcome == AttemptOutcome::Served {
        EndReason::ClosedByClient
    } else {
        EndReason::ConnectionLost
    }
}
