//! What the thread tells again and again: its own word to the peers, and what people are shown.

use std::collections::BTreeSet;
use std::sync::PoisonError;

use beaconflow_gossip::{Kind, Subject};
use beaconflow_membership::Member;
use beaconflow_recovery::PeerWord;

use super::{Millis, Thread, carry, words};
use crate::core::{Event, KnownNews};
use crate::overrides::wall;

/// The own word is told this often, in nanoseconds, and is good for so long, in milliseconds.
const TELL_PERIOD: u64 = 2_000_000_000;
const WORD_GOOD: Millis = 15_000;
/// The uplink is looked at, and what people are shown is made anew, this often, in nanoseconds.
const STATUS_PERIOD: u64 = 200_000_000;

impl Thread {
    /// Does what is due.
    pub(super) fn look_after(&mut self) {
        let wanted = self.gathering.due(self.now, wall());
        self.want(wanted);
        if self.settling.is_some_and(|(at, _)| at <= self.now) {
            self.settled();
        }
        self.memory.look_after(self.ms());
        if self.now >= self.tell_at {
            self.tell_at = self.now.saturating_add(TELL_PERIOD);
            self.tell_word();
            let now = self.ms();
            carry::with(&self.known, |known| known.knowledge.expire(now));
        }
        if self.now >= self.status_at {
            self.status_at = self.now.saturating_add(STATUS_PERIOD);
            let others = self
                .peers
                .members()
                .into_iter()
                .filter(|member| *member.site != *self.file.site);
            let others: Vec<Member> = others.collect();
            self.uplink(|uplink, now| uplink.due(now, &others));
            self.go_by_evidence();
            self.show();
        }
    }

    /// Tells the others how this process stands on its way.
    fn tell_word(&self) {
        let recovery = self.gathering.recovery();
        let word = PeerWord {
            name: self.file.name.clone(),
            site: self.file.site.clone(),
            boot: self.boot,
            up_for: self.now.saturating_sub(self.since),
            serving_for: self
                .serving_since
                .map(|since| self.now.saturating_sub(since)),
            in_full: self.in_full,
            wall: recovery.clock_is_sound().then(wall),
            former: recovery.former(),
            short: recovery.short(),
        };
        self.enter(
            carry::WORD,
            (Vec::new(), true),
            words::say(&word),
            WORD_GOOD,
        );
        if let Some(uplink) = &self.uplink {
            let says = words::say_uplink(&uplink.edge().says(self.ms()));
            self.enter(carry::UPLINK, (Vec::new(), true), says, WORD_GOOD);
        }
    }

    /// While the site is apart its servers go by its own evidence.
    pub(super) fn go_by_evidence(&mut self) {
        let now = self.ms();
        let apart = self
            .uplink
            .as_ref()
            .map_or((false, None), |uplink| uplink.stands_apart(now));
        let parts = self.site.parts(now, &self.servers, apart, self.cold_ms);
        if let Some(parts) = parts {
            self.core.tell(Event::Known(KnownNews::Site(parts)));
        }
    }

    fn show(&mut self) {
        self.status.processes = (self.peers.members().len() + 1, self.file.size);
        self.status.recovery = self.gathering.words();
        let now = self.ms();
        self.status.failing = carry::with(&self.known, |known| {
            let keys = known
                .knowledge
                .iter(Kind::Failures, now)
                .filter_map(|fact| match fact.subject {
                    Subject::Failures(key) => Some(key),
                    _ => None,
                });
            let keys: BTreeSet<u64> = keys.collect();
            keys.into_iter()
                .filter(|key| known.knowledge.failures(*key, now) > 0)
                .count()
        });
        self.status.uplink = self.uplink.as_ref().map(|uplink| uplink.words(self.ms()));
        self.status.version = self.version.to_string();
        self.status.refused = self.peers.counts().refused.iter().sum();
        self.status.kept = self.memory.is_kept();
        *self.shown.lock().unwrap_or_else(PoisonError::into_inner) = self.status.clone();
    }
}
