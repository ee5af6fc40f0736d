//! Who is there, compared with another's word by parts: for newcomers, and for whoever missed a change.

use foca::State;
use rand::RngExt;

use super::{Node, Output};
use crate::wire::{Identity, Roster, RosterAsk, WireMessage};
use crate::{Body, Member, Millis};

/// After something changed another is asked within this, then ever more seldom.
const FIRST: Millis = 400;
/// One member at random is asked at least this often.
const SELDOM: Millis = 10_000;
/// After an answer that told something new, another is asked within this.
const MORE_WITHIN: Millis = 100;
/// Names are compared in so many parts.
const PARTITIONS: usize = 32;
/// An answer has at most so many pages.
const PAGES: usize = 4;

impl<B: Body> Node<B> {
    /// Something changed: there may be more.
    pub(super) fn roster_soon(&mut self, now: Millis, within: Millis) {
        self.schedule.roster_gap = FIRST;
        self.schedule.roster = self
            .schedule
            .roster
            .min(now + self.rng.random_range(0..=within));
    }

    pub(super) fn roster_changed(&mut self, now: Millis) {
        self.roster_soon(now, FIRST);
    }

    pub(super) fn ask_for_roster(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.schedule.roster = now + self.jittered(self.schedule.roster_gap);
        self.schedule.roster_gap = (self.schedule.roster_gap * 2).min(SELDOM);
        for name in self.some(1) {
            let Some(to) = self.present.get(&name).map(|member| member.address) else {
                continue;
            };
            let known = self.known();
            self.say(to, WireMessage::RosterAsk(RosterAsk { known }), out);
        }
    }

    /// All that is known in a number for each part, the same for all who know the same.
    fn known(&self) -> Vec<u64> {
        let mut known = vec![0; PARTITIONS];
        let all = self.present.values().chain(std::iter::once(&self.me));
        all.for_each(|member| known[partition_of(member)] ^= fingerprint(member));
        known
    }

    pub(super) fn roster_asked(
        &mut self,
        by: &Member,
        ask: &RosterAsk,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let known = self.known();
        let is_other = |at: usize| ask.known.get(at) != Some(&known[at]);
        // Guards against telling the same first parts again and again to whoever does not believe them.
        let first = self.rng.random_range(0..PARTITIONS);
        let parts = (0..PARTITIONS)
            .map(|n| (first + n) % PARTITIONS)
            .filter(|at| is_other(*at));
        let all: Vec<_> = self
            .swim
            .iter_membership_state()
            .map(|known| (partition_of(known.id()), known))
            .collect();
        let told = parts.flat_map(|at| {
            all.iter()
                .filter(move |(part, _)| *part == at)
                .map(|(_, known)| *known)
        });
        let pages = paged(told, self.room);
        for page in pages {
            if !self.budget.has(self.room, now) {
                self.counts.rate_limited += 1;
                return;
            }
            self.say_bytes(by.address, WireMessage::Roster(page), out);
        }
    }

    pub(super) fn roster_came(&mut self, page: &Roster, now: Millis, out: &mut Vec<Output>) {
        // What is said of this process's name is left to those who speak of it to its face, unless it is down as it is.
        let others = |from: &[Identity]| {
            let members = from.iter().filter_map(Identity::member);
            members
                .filter(|member| member.name != self.me.name || *member == self.me)
                .collect::<Vec<_>>()
        };
        let there = others(&page.members).into_iter().map(foca::Member::alive);
        let updates: Vec<_> = there
            .chain(others(&page.gone).into_iter().map(foca::Member::down))
            .collect();
        let before = self.known();
        // Not passed on: whoever misses them asks as well.
        self.with_swim(now, out, |swim, runtime| {
            swim.apply_many(updates.into_iter(), false, runtime)
        });
        if self.known() != before {
            self.roster_soon(now, MORE_WITHIN);
        }
    }
}

/// As many pages as may be sent at once.
fn paged<'a>(told: impl Iterator<Item = &'a foca::Member<Member>>, room: usize) -> Vec<Roster> {
    let (mut pages, mut page, mut left) = (Vec::new(), Roster::default(), room);
    for known in told {
        let is_gone = known.state() == State::Down;
        let identity = if is_gone {
            Identity::short(known.id())
        } else {
            Identity::full(known.id())
        };
        if identity.width() > left {
            pages.push(std::mem::take(&mut page));
            left = room;
            if pages.len() == PAGES {
                return pages;
            }
        }
        left = left.saturating_sub(identity.width());
        if is_gone {
            page.gone.push(identity)
        } else {
            page.members.push(identity)
        }
    }
    if page != Roster::default() {
        pages.push(page);
    }
    pages
}

fn partition_of(member: &Member) -> usize {
    (hash(0, member.name.as_bytes()) % PARTITIONS as u64) as usize
}

/// What tells a life and its renewal from others.
fn fingerprint(member: &Member) -> u64 {
    let (boot, life, renewal) = member.rank();
    let numbers = [
        boot.to_be_bytes(),
        life.to_be_bytes(),
        u64::from(renewal).to_be_bytes(),
    ];
    hash(hash(0, member.name.as_bytes()), numbers.as_flattened())
}

/// FNV-1a: the same in every build of the program.
fn hash(start: u64, bytes: &[u8]) -> u64 {
    let start = start ^ 0xcbf2_9ce4_8422_2325;
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
