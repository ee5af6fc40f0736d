//! Events of the gossip and membership threads.

use beaconflow_affinity::{Placement, VersionFact};
use beaconflow_edge::Evidence;
use beaconflow_gossip::{FactChange, Subject};
use beaconflow_membership::Event as PeerEvent;
use beaconflow_recovery::{Event as RecoveryEvent, EvidenceSource, PeerStatus};

use super::server_list::LIST_TTL_MS;
use super::settling::{Settling, SettlingStep};
use super::{FleetThread, Millis, messages, records, shared_gossip};
use crate::core::{AffinityEvent, CoreInput, FleetEvent};

/// Summary of a batch of gossip changes.
#[derive(Default)]
struct ChangeSummary {
    placements: Vec<Placement>,
    versions: Vec<VersionFact>,
    has_entries: bool,
    has_list_position: bool,
}

impl FleetThread {
    /// Handles facts that peers added.
    pub(super) fn on_gossip_changes(&mut self, changes: &[FactChange]) {
        let mut summary = ChangeSummary::default();
        for fact in changes.iter().filter_map(FactChange::after) {
            match shared_gossip::custom_fact(&fact) {
                Some((kind, key, bytes)) => {
                    self.on_custom_fact(kind, (key, bytes), fact.observed_at, &mut summary)
                }
                None => self.on_fact(&fact.subject, &mut summary),
            }
        }
        if let Some(settling) = &mut self.settling {
            settling.on_news(self.now);
        }
        for placement in &summary.placements {
            self.memory.store_placement(placement, self.now_ms());
        }
        self.send_placements_to_core(&summary.placements);
        if !summary.versions.is_empty() {
            self.send_affinity_event(AffinityEvent::Versions(summary.versions));
        }
        if summary.has_list_position {
            self.adopt_list_incarnation();
        }
        if summary.has_entries {
            self.adopt_peer_list();
        }
    }

    /// Handles a fact of a kind that the gossip crate does not interpret.
    fn on_custom_fact(
        &mut self,
        kind: u32,
        (key, bytes): (&[u8], &[u8]),
        observed_at: Millis,
        summary: &mut ChangeSummary,
    ) {
        let age = self.now_ms().saturating_sub(observed_at);
        match kind {
            shared_gossip::PLACEMENT_FACT => summary
                .placements
                .extend(records::decode_placement(key, bytes)),
            shared_gossip::VERSION_FACT => {
                summary.versions.extend(records::decode_version(key, bytes))
            }
            shared_gossip::RECOVERY_STATUS_FACT => messages::decode_recovery_status(bytes, age)
                .into_iter()
                .for_each(|status| self.on_recovery_status(status)),
            shared_gossip::UPLINK_STATUS_FACT => {
                if let Some(report) = messages::decode_uplink_status(bytes, age) {
                    self.with_uplink(|uplink, now| {
                        uplink.on_evidence(now, Evidence::PeerReport(report))
                    });
                }
            }
            shared_gossip::SERVER_EVIDENCE_FACT => {
                if let Some(report) = messages::decode_server_evidence(bytes, observed_at) {
                    self.site_evidence.record_peer(report);
                }
            }
            shared_gossip::LENT_QUOTA_FACT if key == self.config.name.as_bytes() => {
                if let Some((from, number, clients)) = messages::decode_lent_quota(bytes) {
                    self.on_recovery_event(RecoveryEvent::QuotaLent {
                        from,
                        number,
                        clients,
                    });
                }
            }
            _ => {}
        }
    }

    /// Handles a peer's recovery status.
    fn on_recovery_status(&mut self, peer: PeerStatus) {
        let is_same_site = peer.site == self.config.site;
        self.on_recovery_event(RecoveryEvent::PeerReported(peer));
        if is_same_site {
            self.start_settling();
        } else {
            self.on_recovery_event(RecoveryEvent::QueryAnswered(EvidenceSource::OtherSites));
        }
    }

    /// Handles a fact that the gossip crate interprets.
    fn on_fact(&mut self, subject: &Subject, summary: &mut ChangeSummary) {
        match subject {
            Subject::ServerEntry(_) => summary.has_entries = true,
            Subject::ListVersion => summary.has_list_position = true,
            Subject::PlacementFailures(key) => {
                let (key, now) = (*key, self.now_ms());
                let count = shared_gossip::with_gossip(&self.gossip, |shared| {
                    shared.facts.failure_count(key, now)
                });
                self.core
                    .send(CoreInput::Fleet(FleetEvent::FailuresCounted(key, count)));
            }
            _ => {}
        }
    }

    /// Adopts the list incarnation that the peers know, where this process had none of its own.
    fn adopt_list_incarnation(&mut self) {
        let now = self.now_ms();
        let position = shared_gossip::with_gossip(&self.gossip, |shared| {
            shared.facts.reassess_list(LIST_TTL_MS, now)
        });
        self.list_position = position
            .filter(|_| self.list_position.is_some())
            .or(self.list_position);
    }

    /// Begins to wait for the reports of the site's peers.
    pub(super) fn start_settling(&mut self) {
        if !self.is_settled && self.settling.is_none() {
            self.settling = Some(Settling::new(self.now));
        }
    }

    /// Continues the wait for the reports of the site's peers.
    pub(super) fn continue_settling(&mut self) {
        let now = self.now;
        match self.settling.as_mut().map(|settling| settling.step(now)) {
            Some(SettlingStep::RequestState) => self.membership.request_state(),
            Some(SettlingStep::Finish) => self.finish_settling(),
            Some(SettlingStep::Wait) | None => {}
        }
    }

    /// Ends the wait for the reports of the site's peers.
    fn finish_settling(&mut self) {
        (self.settling, self.is_settled) = (None, true);
        self.adopt_peer_list();
        self.on_recovery_event(RecoveryEvent::QueryAnswered(EvidenceSource::SitePeers));
    }

    /// Handles a membership event; the membership thread has logged it.
    pub(super) fn on_membership_event(&mut self, event: PeerEvent) {
        if let PeerEvent::Down(member)
        | PeerEvent::Restarted {
            previous: member, ..
        } = &event
        {
            self.send_affinity_event(AffinityEvent::BalancerDied(super::placement_origin(
                &member.name,
                member.incarnation,
            )));
        }
        match event {
            PeerEvent::IncarnationRaised(incarnation) => {
                self.incarnation = incarnation;
                self.status.incarnation = incarnation;
                shared_gossip::with_gossip(&self.gossip, |shared| {
                    shared.facts.set_incarnation(incarnation)
                });
            }
            PeerEvent::Up(_) | PeerEvent::Restarted { .. } | PeerEvent::Changed { .. } => {
                self.publish_status_at = self.now
            }
            PeerEvent::Down(member) if *member.site != *self.config.site => {
                let (name, site) = (member.name.to_string(), member.site.to_string());
                self.with_uplink(|uplink, now| {
                    uplink.on_evidence(now, Evidence::PeerSilent { name, site })
                });
            }
            _ => {}
        }
    }
}
