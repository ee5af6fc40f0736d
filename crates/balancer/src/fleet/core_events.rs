//! Events of the core: stored, published to peers, and evaluated.

use beaconflow_affinity::{Placement, VersionFact};
use beaconflow_edge::RequestOutcome::{Answered, Failed};
use beaconflow_edge::{Evidence, ServerHealth};
use beaconflow_gossip::{ObservedHealth, ServerEvidence, Subject, Value};
use beaconflow_policy::AttemptOutcome;
use beaconflow_recovery::{Event as RecoveryEvent, EvidenceSource};
use tracing::warn;

use super::server_list::LIST_TTL_MS;
use super::uplink::Uplink;
use super::{FleetThread, Millis, messages, millis, records, shared_gossip, site_evidence};
use crate::core::{CoreEvent, ServerIdentity};

/// Lifetime of evidence on a server.
const EVIDENCE_TTL_MS: Millis = 60_000;
/// Lifetime of a site's evidence on a server.
const SITE_EVIDENCE_TTL_MS: Millis = 600_000;
/// Half-life of the count of placements on a server in slow start.
const SLOW_START_HALF_LIFE_MS: f64 = 10_000.0;
/// Largest weight of repeated evidence.
const MAX_EVIDENCE_WEIGHT: f64 = 4.0;

impl FleetThread {
    /// Handles an event of the core.
    pub(super) fn on_core_event(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::ListApplied(list, is_cached) => self.on_list_applied(list, is_cached),
            CoreEvent::DiscoveryLost => {
                self.on_recovery_event(RecoveryEvent::QueryFailed(EvidenceSource::Discovery));
                self.with_uplink(Uplink::on_discovery_lost);
            }
            CoreEvent::PlacementsChanged(placements) => placements
                .iter()
                .for_each(|placement| self.publish_placement(placement)),
            CoreEvent::VersionRuns(fact) => self.publish_version(&fact),
            CoreEvent::RememberedPlacements(count) => self.status.placements = Some(count),
            CoreEvent::EstablishedConnections(count) => {
                self.established = count;
                if self.recovery.recovery().can_update_memory() {
                    self.memory.store(records::encode_previous_clients(
                        self.estimate_fleet_clients(),
                        self.now_ms(),
                    ));
                }
            }
            CoreEvent::AttemptFinished(server, key, outcome) => {
                self.publish_attempt_outcome(&server, outcome);
                self.count_client_outcome(key, outcome);
                if let Some(health) = site_evidence::health_from_outcome(outcome) {
                    self.publish_server_evidence(&server, health);
                }
            }
            CoreEvent::ServerDraining(server) => {
                self.publish_server_evidence(&server, ServerHealth::Draining)
            }
            CoreEvent::AdmissionRequested(request) => {
                self.on_recovery_event(RecoveryEvent::AdmissionRequested(request))
            }
            CoreEvent::SlowStartPlacement(server) => self.count_slow_start_placement(&server),
        }
    }

    /// Publishes a version of the configuration that runs here.
    fn publish_version(&mut self, fact: &VersionFact) {
        let (key, value) = (fact.version.0.to_be_bytes(), records::encode_version(fact));
        self.memory.store(records::record(
            records::VERSION_RECORD,
            &key,
            value.clone(),
            self.now_ms(),
        ));
        self.publish_fact(
            shared_gossip::VERSION_FACT,
            (key.to_vec(), true),
            value,
            LIST_TTL_MS,
        );
    }

    /// Counts a placement on a server in slow start; earlier ones decay.
    fn count_slow_start_placement(&self, server: &ServerIdentity) {
        let (subject, now) = (
            Subject::SlowStartSends(server.name.to_string()),
            self.now_ms(),
        );
        shared_gossip::with_gossip(&self.gossip, |shared| {
            let previous = shared
                .facts
                .get(&subject, &shared.facts.origin().name.clone(), now);
            let count_before = match previous.map(|fact| (fact.value, fact.observed_at)) {
                Some((Value::SlowStartSends(previous), observed_at)) => {
                    previous
                        * 0.5_f64
                            .powf((now - observed_at.min(now)) as f64 / SLOW_START_HALF_LIFE_MS)
                }
                _ => 0.0,
            };
            let _ = shared.facts.observe(
                &subject,
                &Value::SlowStartSends(count_before + 1.0),
                EVIDENCE_TTL_MS,
                now,
            );
        });
    }

    /// Estimates the clients of the whole fleet from this process's share.
    fn estimate_fleet_clients(&self) -> f64 {
        self.established as f64
            * shared_gossip::with_gossip(&self.gossip, |shared| shared.members) as f64
    }

    fn publish_placement(&mut self, placement: &Placement) {
        self.memory.store_placement(placement, self.now_ms());
        let retention_ms = millis(self.config.affinity.retention);
        let key = placement.key.0.to_be_bytes().to_vec();
        self.publish_fact(
            shared_gossip::PLACEMENT_FACT,
            (key, false),
            records::encode_placement(placement),
            retention_ms,
        );
        // A client may return to another process before the next gossip round.
        self.membership.gossip_soon();
    }

    /// Publishes a fact of a kind that the gossip crate does not interpret.
    pub(super) fn publish_fact(
        &self,
        kind: u32,
        (key, is_per_process): (Vec<u8>, bool),
        value: Vec<u8>,
        ttl_ms: Millis,
    ) {
        let (subject, now) = (
            shared_gossip::custom_subject(kind, key, is_per_process),
            self.now_ms(),
        );
        let result = shared_gossip::with_gossip(&self.gossip, |shared| {
            shared
                .facts
                .observe(&subject, &Value::Unknown(value), ttl_ms, now)
        });
        if let Err(error) = result {
            warn!(part = "peers", kind, why = ?error, "fact could not be published to the peers");
        }
    }

    /// Publishes evidence on a server to the site, where the uplink is monitored.
    fn publish_server_evidence(&mut self, server: &ServerIdentity, health: ServerHealth) {
        if self.uplink.is_none() {
            return;
        }
        let is_answer = !matches!(
            health,
            ServerHealth::Unresponsive | ServerHealth::Refused | ServerHealth::Removed
        );
        let outcome = if is_answer {
            Answered { latency_ms: 0 }
        } else {
            Failed
        };
        self.with_uplink(|uplink, now| {
            uplink.on_evidence(now, Evidence::LocalServerRequest { outcome })
        });
        if let Some(report) =
            self.site_evidence
                .record_own(self.now_ms(), &self.config.name, server, health)
        {
            let key = report.server.clone().into_bytes();
            self.publish_fact(
                shared_gossip::SERVER_EVIDENCE_FACT,
                (key, true),
                messages::encode_server_evidence(&report),
                SITE_EVIDENCE_TTL_MS,
            );
            self.membership.gossip_soon();
        }
    }

    /// Counts failed placements of a client key over all processes, until one succeeds.
    fn count_client_outcome(&mut self, key: Option<u64>, outcome: Option<AttemptOutcome>) {
        let (Some(key), now, ttl_ms) = (key, self.now_ms(), self.failure_ttl_ms) else {
            return;
        };
        let has_failed = !matches!(outcome, None | Some(AttemptOutcome::Served));
        let is_published = shared_gossip::with_gossip(&self.gossip, |shared| {
            let facts = &mut shared.facts;
            if has_failed {
                return facts.record_placement_failure(key, ttl_ms, now).is_ok();
            }
            facts.failure_count(key, now) > 0
                && facts.record_placement_success(key, ttl_ms, now).is_ok()
        });
        if is_published {
            self.membership.gossip_soon();
        }
    }

    fn publish_attempt_outcome(
        &mut self,
        server: &ServerIdentity,
        outcome: Option<AttemptOutcome>,
    ) {
        let observed = match outcome {
            None | Some(AttemptOutcome::Served) => ObservedHealth::Healthy,
            Some(AttemptOutcome::TimedOut) => ObservedHealth::Hung,
            Some(
                AttemptOutcome::ConnectFailed
                | AttemptOutcome::Rejected
                | AttemptOutcome::Reset
                | AttemptOutcome::ServerError,
            ) => ObservedHealth::Refused,
            Some(AttemptOutcome::Cancelled | AttemptOutcome::NotSent) => return,
        };
        let (subject, now) = (
            Subject::ServerEvidence(server.name.to_string()),
            self.now_ms(),
        );
        shared_gossip::with_gossip(&self.gossip, |shared| {
            let previous = shared
                .facts
                .get(&subject, &shared.facts.origin().name.clone(), now);
            let weight = match previous.map(|fact| (fact.value, fact.observed_at)) {
                Some((
                    Value::ServerEvidence(ServerEvidence {
                        observed: previous_health,
                        weight,
                    }),
                    observed_at,
                )) if previous_health == observed => {
                    // A healthy server is not reported for every connection.
                    if observed == ObservedHealth::Healthy
                        && now.saturating_sub(observed_at) < EVIDENCE_TTL_MS / 4
                    {
                        return;
                    }
                    (weight + 1.0).min(MAX_EVIDENCE_WEIGHT)
                }
                _ => 1.0,
            };
            let _ = shared.facts.observe(
                &subject,
                &Value::ServerEvidence(ServerEvidence { observed, weight }),
                EVIDENCE_TTL_MS,
                now,
            );
        });
    }
}
