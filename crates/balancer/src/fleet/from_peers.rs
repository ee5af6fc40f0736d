//! What the peers tell: what they added to what is known, and who of them is there.

use beaconflow_affinity::{Placement, VersionFact};
use beaconflow_edge::Evidence;
use beaconflow_gossip::{Change, Subject};
use beaconflow_membership::Event as PeerEvent;
use beaconflow_recovery::{Event as RecoveryEvent, PeerWord, Whom};

use super::server_list::LIST_GOOD;
use super::{Millis, Thread, carry, records, words};
use crate::core::{Event, KnownNews, TieNews};

/// Once a process of the site has spoken up and nothing more has come for so long, it has told what it knows.
const SETTLES: u64 = 200_000_000;
/// Or so long after the first word. Guards against a fleet that always has news.
const SETTLES_MOST: u64 = 600_000_000;

/// What several changes come to together.
#[derive(Default)]
struct Gathered {
    placements: Vec<Placement>,
    versions: Vec<VersionFact>,
    has_entries: bool,
    has_lists: bool,
}

impl Thread {
    /// What peers added to what is known.
    pub(super) fn take_changes(&mut self, changes: &[Change]) {
        let mut gathered = Gathered::default();
        for fact in changes.iter().filter_map(Change::after) {
            match carry::own(&fact) {
                Some((kind, key, bytes)) => {
                    self.heard(kind, (key, bytes), fact.witnessed, &mut gathered)
                }
                None => self.heard_fact(&fact.subject, &mut gathered),
            }
        }
        // Guards against a process that serves before it knows what the others do: more may be on its way.
        self.settling = self
            .settling
            .map(|(_, most)| (self.now.saturating_add(SETTLES).min(most), most));
        for placement in &gathered.placements {
            self.memory.placed(placement, self.ms());
        }
        self.hand_over(&gathered.placements);
        if !gathered.versions.is_empty() {
            self.tell_affinity(TieNews::Versions(gathered.versions));
        }
        if gathered.has_lists {
            self.joins_life();
        }
        if gathered.has_entries {
            self.peers_list();
        }
    }

    /// Something of a kind of this program's own.
    fn heard(
        &mut self,
        kind: u32,
        (key, bytes): (&[u8], &[u8]),
        witnessed: Millis,
        gathered: &mut Gathered,
    ) {
        let age = self.ms().saturating_sub(witnessed);
        match kind {
            carry::PLACED => gathered
                .placements
                .extend(records::read_placement(key, bytes)),
            carry::VERSION => gathered.versions.extend(records::read_version(key, bytes)),
            carry::WORD => words::hear(bytes, age)
                .into_iter()
                .for_each(|word| self.heard_peer(word)),
            carry::UPLINK => {
                if let Some(says) = words::hear_uplink(bytes, age) {
                    self.uplink(|uplink, now| uplink.take(now, Evidence::PeerSays(says)));
                }
            }
            carry::JUDGED => {
                if let Some(one) = words::read_judged(bytes, witnessed) {
                    self.site.heard(one);
                }
            }
            carry::LOAN if key == self.file.name.as_bytes() => {
                if let Some((from, number, clients)) = words::read_loan(bytes) {
                    self.recovery_event(RecoveryEvent::Lent {
                        from,
                        number,
                        clients,
                    });
                }
            }
            _ => {}
        }
    }

    /// A peer has told how it stands on its way.
    fn heard_peer(&mut self, peer: PeerWord) {
        let is_here = peer.site == self.file.site;
        self.recovery_event(RecoveryEvent::Peer(peer));
        if is_here {
            self.settles();
        } else {
            self.recovery_event(RecoveryEvent::Answered(Whom::OtherSites));
        }
    }

    /// A fact of a kind that the knowledge reads itself.
    fn heard_fact(&mut self, subject: &Subject, gathered: &mut Gathered) {
        match subject {
            Subject::Listed(_) => gathered.has_entries = true,
            Subject::List => gathered.has_lists = true,
            Subject::Failures(key) => {
                let (key, now) = (*key, self.ms());
                let count = carry::with(&self.known, |known| known.knowledge.failures(key, now));
                self.core
                    .tell(Event::Known(KnownNews::Failures(key, count)));
            }
            _ => {}
        }
    }

    /// One that had only its memory's list, or none, joins the life that the others know.
    fn joins_life(&mut self) {
        let now = self.ms();
        let settled = carry::with(&self.known, |known| {
            known.knowledge.settle_list(LIST_GOOD, now)
        });
        self.position = settled
            .filter(|_| self.position.is_some())
            .or(self.position);
    }

    /// The site's processes have begun to tell what they know.
    pub(super) fn settles(&mut self) {
        if !self.is_settled && self.settling.is_none() {
            let after = |span| self.now.saturating_add(span);
            self.settling = Some((after(SETTLES), after(SETTLES_MOST)));
        }
    }

    /// They have told it.
    pub(super) fn settled(&mut self) {
        (self.settling, self.is_settled) = (None, true);
        self.peers_list();
        self.recovery_event(RecoveryEvent::Answered(Whom::SitePeers));
    }

    /// What the peers' thread tells has stood in the log already.
    pub(super) fn take_peer_event(&mut self, event: PeerEvent) {
        if let PeerEvent::Down(was) | PeerEvent::Restarted { was, .. } = &event {
            self.tell_affinity(TieNews::Died(super::origin(&was.name, was.boot)));
        }
        match event {
            PeerEvent::BootRaised(boot) => {
                self.boot = boot;
                self.status.boot = boot;
                carry::with(&self.known, |known| known.knowledge.renumber(boot));
            }
            PeerEvent::Up(_) | PeerEvent::Restarted { .. } | PeerEvent::Changed { .. } => {
                self.tell_at = self.now
            }
            PeerEvent::Down(member) if *member.site != *self.file.site => {
                let (name, site) = (member.name.to_string(), member.site.to_string());
                self.uplink(|uplink, now| uplink.take(now, Evidence::PeerSilent { name, site }));
            }
            _ => {}
        }
    }
}
