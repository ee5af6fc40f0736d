//! Anti-entropy of the member list, compared by partition fingerprints. Serves new processes and
//! those that missed a change.

use foca::State;
use rand::RngExt;

use super::{Node, Output};
use crate::wire::{Identity, Roster, RosterRequest, WireMessage};
use crate::{Member, Millis, Payload};

/// Maximum delay of the first roster request after a change, and initial interval between requests,
/// in milliseconds. The interval doubles with each request.
const INITIAL_ROSTER_INTERVAL_MS: Millis = 400;
/// Maximum interval between roster requests to a random member, in milliseconds.
const MAX_ROSTER_INTERVAL_MS: Millis = 10_000;
/// Maximum delay of the next request after an answer with new information, in milliseconds.
const FOLLOW_UP_DELAY_MS: Millis = 100;
/// Number of partitions in which names are compared.
const PARTITIONS: usize = 32;
/// Maximum number of pages in an answer.
const MAX_ROSTER_PAGES: usize = 4;

impl<B: Payload> Node<B> {
    /// Schedules a request within the delay, because a change suggests that there are more.
    pub(super) fn schedule_roster_request(&mut self, now: Millis, max_delay_ms: Millis) {
        self.schedule.roster_interval_ms = INITIAL_ROSTER_INTERVAL_MS;
        self.schedule.roster_at = self
            .schedule
            .roster_at
            .min(now + self.rng.random_range(0..=max_delay_ms));
    }

    pub(super) fn roster_changed(&mut self, now: Millis) {
        self.schedule_roster_request(now, INITIAL_ROSTER_INTERVAL_MS);
    }

    pub(super) fn request_roster(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.schedule.roster_at = now + self.jittered(self.schedule.roster_interval_ms);
        self.schedule.roster_interval_ms =
            (self.schedule.roster_interval_ms * 2).min(MAX_ROSTER_INTERVAL_MS);
        for name in self.random_members(1) {
            let Some(to) = self.live_members.get(&name).map(|member| member.address) else {
                continue;
            };
            let fingerprints = self.partition_fingerprints();
            self.send(
                to,
                WireMessage::RosterRequest(RosterRequest { fingerprints }),
                out,
            );
        }
    }

    /// One fingerprint for each partition of the known members; equal at processes with equal
    /// knowledge.
    fn partition_fingerprints(&self) -> Vec<u64> {
        let mut fingerprints = vec![0; PARTITIONS];
        let all = self
            .live_members
            .values()
            .chain(std::iter::once(&self.local));
        all.for_each(|member| fingerprints[partition_of(member)] ^= fingerprint(member));
        fingerprints
    }

    pub(super) fn answer_roster_request(
        &mut self,
        requester: &Member,
        request: &RosterRequest,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let fingerprints = self.partition_fingerprints();
        let differs = |index: usize| request.fingerprints.get(index) != Some(&fingerprints[index]);
        // Starts at a random partition. Otherwise a requester that rejects the first partitions
        // would receive only those again and again.
        let first_partition = self.rng.random_range(0..PARTITIONS);
        let partitions = (0..PARTITIONS)
            .map(|offset| (first_partition + offset) % PARTITIONS)
            .filter(|index| differs(*index));
        let all: Vec<_> = self
            .swim
            .iter_membership_state()
            .map(|known| (partition_of(known.id()), known))
            .collect();
        let members = partitions.flat_map(|index| {
            all.iter()
                .filter(move |(partition, _)| *partition == index)
                .map(|(_, member)| *member)
        });
        let pages = roster_pages(members, self.payload_capacity);
        for page in pages {
            if !self.budget.allows(self.payload_capacity, now) {
                self.counts.rate_limited += 1;
                return;
            }
            self.send_payload(requester.address, WireMessage::Roster(page), out);
        }
    }

    pub(super) fn apply_roster(&mut self, page: &Roster, now: Millis, out: &mut Vec<Output>) {
        // Updates about this process's own name are skipped, unless they report its present
        // identity as down. Name conflicts are resolved by notices sent directly to this process.
        let decode_identities = |identities: &[Identity]| {
            let members = identities.iter().filter_map(Identity::member);
            members
                .filter(|member| member.name != self.local.name || *member == self.local)
                .collect::<Vec<_>>()
        };
        let alive = decode_identities(&page.members)
            .into_iter()
            .map(foca::Member::alive);
        let updates: Vec<_> = alive
            .chain(
                decode_identities(&page.down)
                    .into_iter()
                    .map(foca::Member::down),
            )
            .collect();
        let fingerprints_before = self.partition_fingerprints();
        // Not gossiped further, since processes that lack these updates request them as well.
        self.with_swim(now, out, |swim, runtime| {
            swim.apply_many(updates.into_iter(), false, runtime)
        });
        if self.partition_fingerprints() != fingerprints_before {
            self.schedule_roster_request(now, FOLLOW_UP_DELAY_MS);
        }
    }
}

/// The members as pages, at most [`MAX_ROSTER_PAGES`].
fn roster_pages<'a>(
    members: impl Iterator<Item = &'a foca::Member<Member>>,
    max_bytes: usize,
) -> Vec<Roster> {
    let (mut pages, mut page, mut bytes_left) = (Vec::new(), Roster::default(), max_bytes);
    for member in members {
        let is_down = member.state() == State::Down;
        let identity = if is_down {
            Identity::short(member.id())
        } else {
            Identity::full(member.id())
        };
        if identity.list_entry_bytes() > bytes_left {
            pages.push(std::mem::take(&mut page));
            bytes_left = max_bytes;
            if pages.len() == MAX_ROSTER_PAGES {
                return pages;
            }
        }
        bytes_left = bytes_left.saturating_sub(identity.list_entry_bytes());
        if is_down {
            page.down.push(identity)
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
    (fnv1a(0, member.name.as_bytes()) % PARTITIONS as u64) as usize
}

/// Identifies a member in one incarnation and renewal.
fn fingerprint(member: &Member) -> u64 {
    let (incarnation, start_nonce, renewal) = member.rank();
    let numbers = [
        incarnation.to_be_bytes(),
        start_nonce.to_be_bytes(),
        u64::from(renewal).to_be_bytes(),
    ];
    fnv1a(fnv1a(0, member.name.as_bytes()), numbers.as_flattened())
}

/// FNV-1a hash, which is equal in every build of the program.
fn fnv1a(start: u64, bytes: &[u8]) -> u64 {
    let start = start ^ 0xcbf2_9ce4_8422_2325;
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
