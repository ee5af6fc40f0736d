//! What the core saw: kept, told to the peers, and weighed.

use beaconflow_affinity::{Placement, VersionFact};
use beaconflow_edge::Outcome::{Answered, Failed};
use beaconflow_edge::{Evidence, Judged};
use beaconflow_gossip::{Evidence as Weighed, Seen as Sight, Subject, Value};
use beaconflow_policy::AttemptOutcome;
use beaconflow_recovery::{Event as RecoveryEvent, Whom};
use tracing::warn;

use super::server_list::LIST_GOOD;
use super::uplink::Uplink;
use super::{Millis, Thread, carry, millis, records, site, words};
use crate::core::{Seen, Witness};

/// What is known of a server is good for so long.
const STANDING_GOOD: Millis = 60_000;
/// What a server was found to be.
const JUDGED_GOOD: Millis = 600_000;
/// What a cold server was sent counts for half after so many milliseconds.
const COLD_HALF_LIFE_MS: f64 = 10_000.0;
/// Evidence on a server weighs no more than so many sightings.
const MOST_WEIGHT: f64 = 4.0;

impl Thread {
    /// What the core saw.
    pub(super) fn take_observation(&mut self, seen: Witness) {
        match seen {
            Witness::List(list, known) => self.listed(list, known),
            Witness::Deaf => {
                self.recovery_event(RecoveryEvent::Failed(Whom::Discovery));
                self.uplink(Uplink::hears_nothing);
            }
            Witness::Placed(placements) => placements.iter().for_each(|one| self.placed(one)),
            Witness::Runs(fact) => self.runs(&fact),
            Witness::Remembers(held) => self.status.placements = Some(held),
            Witness::Standing(standing) => {
                self.standing = standing;
                if self.gathering.recovery().may_remember() {
                    self.memory
                        .remember(records::former(self.fleet_clients(), self.ms()));
                }
            }
            Witness::Passed(server, key, how) => {
                self.passed(&server, how);
                self.counted(key, how);
                if let Some(judged) = site::judged(how) {
                    self.judged(&server, judged);
                }
            }
            Witness::SentAway(server) => self.judged(&server, Judged::Drains),
            Witness::Wants(arrival) => self.recovery_event(RecoveryEvent::Arrived(arrival)),
            Witness::SentCold(server) => self.sent_cold(&server),
        }
    }

    /// A version of the configuration runs here.
    fn runs(&mut self, fact: &VersionFact) {
        let (key, value) = (fact.version.0.to_be_bytes(), records::version(fact));
        self.memory.remember(records::keep(
            records::VERSION,
            &key,
            value.clone(),
            self.ms(),
        ));
        self.enter(carry::VERSION, (key.to_vec(), true), value, LIST_GOOD);
    }

    /// A cold server was sent one more; what it was sent before counts for less and less.
    fn sent_cold(&self, server: &Seen) {
        let (subject, now) = (Subject::ColdSent(server.name.to_string()), self.ms());
        carry::with(&self.known, |known| {
            let sent = known
                .knowledge
                .get(&subject, &known.knowledge.me().name.clone(), now);
            let before = match sent.map(|fact| (fact.value, fact.witnessed)) {
                Some((Value::ColdSent(sent), at)) => {
                    sent * 0.5_f64.powf((now - at.min(now)) as f64 / COLD_HALF_LIFE_MS)
                }
                _ => 0.0,
            };
            let _ = known.knowledge.witness(
                &subject,
                &Value::ColdSent(before + 1.0),
                STANDING_GOOD,
                now,
            );
        });
    }

    /// Clients of the whole fleet, taken from what stands here: processes bear alike.
    fn fleet_clients(&self) -> f64 {
        self.standing as f64 * carry::with(&self.known, |known| known.members) as f64
    }

    fn placed(&mut self, placement: &Placement) {
        self.memory.placed(placement, self.ms());
        let life = millis(self.file.affinity.keep);
        let key = placement.key.0.to_be_bytes().to_vec();
        self.enter(
            carry::PLACED,
            (key, false),
            records::placement(placement),
            life,
        );
        // Guards against a client that comes to another process before the next round.
        self.peers.say();
    }

    /// Enters a word of an own kind into what is known together.
    pub(super) fn enter(
        &self,
        kind: u32,
        (key, owned): (Vec<u8>, bool),
        value: Vec<u8>,
        good_for: Millis,
    ) {
        let (subject, now) = (carry::subject(kind, key, owned), self.ms());
        let entered = carry::with(&self.known, |known| {
            known
                .knowledge
                .witness(&subject, &Value::Unknown(value), good_for, now)
        });
        if let Err(why) = entered {
            warn!(part = "peers", kind, why = ?why, "not told to the others");
        }
    }

    /// A server was seen to be so: told to the site, where its uplink is judged.
    fn judged(&mut self, server: &Seen, judged: Judged) {
        if self.uplink.is_none() {
            return;
        }
        let is_answer = !matches!(judged, Judged::Hung | Judged::Refused | Judged::Gone);
        let outcome = if is_answer {
            Answered { took_ms: 0 }
        } else {
            Failed
        };
        self.uplink(|uplink, now| uplink.take(now, Evidence::ServerHere { outcome }));
        if let Some(told) = self.site.saw(self.ms(), &self.file.name, server, judged) {
            let key = told.server.clone().into_bytes();
            self.enter(carry::JUDGED, (key, true), words::judge(&told), JUDGED_GOOD);
            self.peers.say();
        }
    }

    /// Placements of a client key that failed count at all processes, until one succeeds anywhere.
    fn counted(&mut self, key: Option<u64>, how: Option<AttemptOutcome>) {
        let (Some(key), now, good) = (key, self.ms(), self.failures_good) else {
            return;
        };
        let has_failed = !matches!(how, None | Some(AttemptOutcome::Served));
        let told = carry::with(&self.known, |known| {
            let known = &mut known.knowledge;
            if has_failed {
                return known.failed(key, good, now).is_ok();
            }
            known.failures(key, now) > 0 && known.succeeded(key, good, now).is_ok()
        });
        if told {
            self.peers.say();
        }
    }

    fn passed(&mut self, server: &Seen, how: Option<AttemptOutcome>) {
        let seen = match how {
            None | Some(AttemptOutcome::Served) => Sight::Well,
            Some(AttemptOutcome::TimedOut) => Sight::Hung,
            Some(
                AttemptOutcome::ConnectFailed
                | AttemptOutcome::Rejected
                | AttemptOutcome::Reset
                | AttemptOutcome::ServerError,
            ) => Sight::Refused,
            Some(AttemptOutcome::Cancelled | AttemptOutcome::NotSent) => return,
        };
        let (subject, now) = (Subject::Standing(server.name.to_string()), self.ms());
        carry::with(&self.known, |known| {
            let before = known
                .knowledge
                .get(&subject, &known.knowledge.me().name.clone(), now);
            let weight = match before.map(|fact| (fact.value, fact.witnessed)) {
                Some((Value::Standing(Weighed { seen: same, weight }), at)) if same == seen => {
                    // Nothing new for a while yet. Guards against a word for each connection of a server that is well.
                    if seen == Sight::Well && now.saturating_sub(at) < STANDING_GOOD / 4 {
                        return;
                    }
                    (weight + 1.0).min(MOST_WEIGHT)
                }
                _ => 1.0,
            };
            let _ = known.knowledge.witness(
                &subject,
                &Value::Standing(Weighed { seen, weight }),
                STANDING_GOOD,
                now,
            );
        });
    }
}
