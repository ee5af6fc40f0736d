//! How facts spread: as rumours while they are new, and by comparing digests, page by page, where a rumour got lost.

use std::collections::VecDeque;
use std::fmt;

use prost::Message;

use crate::Millis;
use crate::fact::{Fact, Kind, Subject};
use crate::fact_store::{FactStore, carried};
use crate::fact_table::Merged;
use crate::record::{Carried, HashRange, Packet, Summary, View, read_carried};
use crate::slot::{LEAF_BITS, Raw};
use crate::wire::{Field, Fields};

/// Longest packet that is read.
const LONGEST: usize = 1 << 20;
/// A range of so many facts is sent as it is; a fuller one is first compared in parts.
const FEW: usize = 64;
/// Stretches that an answer names, and that a process keeps in mind, to be compared in parts.
const GAPS: usize = 16;
/// How often a process tells an entry that it has from discovery.
const LISTED_TELLINGS: u8 = 3;
/// Rumours that do not fit any more, after which no shorter one is looked for.
const MISSES: usize = 8;
/// Bytes of a packet or summary beside what it carries.
const FRAME: usize = 32;

/// Bytes that are no packet or summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Longer than any is.
    TooLong,
    /// Not in the form of one.
    Malformed,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unreadable::TooLong => "longer than 1 MiB",
            Unreadable::Malformed => "not in the form of facts or of a summary",
        })
    }
}

/// A fact as it was noted, read when it is asked for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Noted {
    pub raw: Raw,
    pub observed_at: Millis,
}

impl Noted {
    fn fact(&self) -> Option<Fact> {
        Some(View::new(&self.raw)?.fact(self.observed_at))
    }
}

/// Something became known.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub(crate) old: Option<Noted>,
    pub(crate) new: Noted,
}

impl Change {
    /// What it is about.
    pub fn subject(&self) -> Option<Subject> {
        self.after().map(|fact| fact.subject)
    }

    /// What was known of it before.
    pub fn before(&self) -> Option<Fact> {
        self.old.as_ref()?.fact()
    }

    /// What is known now.
    pub fn after(&self) -> Option<Fact> {
        self.new.fact()
    }
}

/// How far the telling is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    members: usize,
    /// Stretches to be compared in parts.
    gaps: VecDeque<HashRange>,
    turn: u32,
    refused: u64,
    pub outrun: Option<u64>,
}

impl Gossip {
    /// A fact that was told so often is no rumour any more.
    fn enough(&self) -> u8 {
        let members = self.members.max(2);
        (3 * (usize::BITS - (members - 1).leading_zeros()) + 2) as u8
    }

    /// As how often told an own observation begins. Guards against a fleet in which each process tells at length what
    /// all have just heard from discovery: who had not tells it on in full.
    pub fn transmissions_of(&self, kind: Kind) -> u8 {
        if kind == Kind::Listed {
            self.enough() - LISTED_TELLINGS
        } else {
            0
        }
    }
}

/// Bytes in a packet of a record of that length.
fn weight(raw: &[u8]) -> usize {
    // The longest age takes 10 bytes; each field has one byte for its number.
    let len = 1 + prost::length_delimiter_len(raw.len()) + raw.len() + 11;
    1 + prost::length_delimiter_len(len) + len
}

impl FactStore {
    /// So many processes there are, with this one.
    pub fn members(&mut self, n: usize) {
        self.gossip.members = n;
    }

    /// Facts that peers sent and that no program would write, so far.
    pub fn refused(&self) -> u64 {
        self.gossip.refused
    }

    /// Rumours for one peer in at most so many bytes, least often told first; nothing if there are none. Each call
    /// counts as one telling of what it hands out.
    pub fn gossip_payload(&mut self, room: usize, now: Millis) -> Vec<u8> {
        let (enough, mut left) = (self.gossip.enough(), room.saturating_sub(FRAME));
        let (mut facts, mut announcement, mut missed) = (Vec::new(), Vec::new(), 0);
        for (at, slot) in self.facts.hot() {
            let weight = weight(&slot.raw);
            if weight <= left {
                left -= weight;
                facts.push(carried(slot, now));
                announcement.push((at, slot.gossip_order.map_or(0, |turn| turn.0) + 1));
                continue;
            }
            if weight > room.saturating_sub(FRAME) {
                // It fits no packet and is left to larger pages.
                announcement.push((at, enough));
            }
            missed += 1;
            if missed > MISSES {
                break;
            }
        }
        for (at, times) in announcement {
            self.facts.cool(at);
            if times < enough {
                self.facts.heat(at, times);
            }
        }
        if facts.is_empty() {
            Vec::new()
        } else {
            Packet {
                facts,
                ..Packet::default()
            }
            .encode_to_vec()
        }
    }

    /// Digests to be compared by a peer, in at most so many bytes: of all facts, or in turn with that of a range
    /// that was found to differ.
    pub fn summary(&mut self, room: usize) -> Vec<u8> {
        self.gossip.turn = self.gossip.turn.wrapping_add(1);
        let sequence = self.gossip.turn;
        let gap = if sequence.is_multiple_of(2) {
            self.gossip.gaps.pop_front()
        } else {
            None
        };
        let range = gap.unwrap_or_default();
        let most = (room.saturating_sub(FRAME) / 4).max(1).ilog2();
        let parts = most.min(LEAF_BITS - range.bits);
        let digests = (0..1 << parts).flat_map(|part| {
            let digest = self.facts.digest(subrange(range, parts, part));
            (digest as u32).to_le_bytes()
        });
        Summary {
            range,
            digests: digests.collect(),
            sequence,
        }
        .encode_to_vec()
    }

    /// Pages for the peer that sent this summary, each of at most so many bytes and no more of them than `most`:
    /// facts in parts that differ, and which parts are too full for that.
    pub fn answer(
        &self,
        summary: &[u8],
        room: usize,
        most: usize,
        now: Millis,
    ) -> Result<Vec<Vec<u8>>, Unreadable> {
        let (range, parts, theirs) = read_summary(summary)?;
        let count = 1_u32 << parts;
        let mut pages = Pages {
            room: room.saturating_sub(FRAME),
            most,
            done: Vec::new(),
            open: Packet::default(),
        };
        pages.open.page = true;
        let mut left = pages.room;
        let turn = theirs.sequence.wrapping_mul(0x9e37_79b9);
        for step in 0..count {
            let at = step.wrapping_add(turn) % count;
            let part = subrange(range, parts, at);
            let announcement = &theirs.digests[4 * at as usize..][..4];
            if self.facts.digest(part).to_le_bytes()[..4] == *announcement {
                continue;
            }
            let empty = announcement == [0; 4];
            if part.bits < LEAF_BITS && !empty && self.facts.count(part) > FEW {
                if pages.open.gaps.len() < GAPS && left > FRAME {
                    pages.open.gaps.push(part);
                    left -= FRAME / 2;
                }
                continue;
            }
            for slot in self.facts.within(part).filter(|slot| now < slot.until) {
                let fact = carried(slot, now);
                if !pages.put(fact, &mut left) {
                    return Ok(pages.finish());
                }
            }
        }
        Ok(pages.finish())
    }

    /// Merges what a peer sent, rumours or a page, and says what became known by it.
    pub fn take(&mut self, bytes: &[u8], now: Millis) -> Result<Vec<Change>, Unreadable> {
        if bytes.len() > LONGEST {
            return Err(Unreadable::TooLong);
        }
        let fields = || Fields(bytes).filter_map(Result::ok);
        if Fields(bytes).any(|field| field.is_err()) {
            return Err(Unreadable::Malformed);
        }
        let page = fields().any(|(number, held)| number == 2 && held != Field::Number(0));
        let enough = self.gossip.enough();
        let mut changes = Vec::new();
        for held in fields()
            .filter(|(number, _)| *number == 1)
            .filter_map(|(_, held)| held.bytes())
        {
            let Ok((Some(view), age)) = read_carried(held) else {
                self.gossip.refused += 1;
                continue;
            };
            self.meet(&view);
            // A page tells what most know already.
            let announcement = if page { enough / 2 } else { 0 };
            let merged = self.merged(
                &view,
                now.saturating_sub(age),
                Some(announcement),
                now,
                &mut changes,
            );
            if let (Merged::Same(at), false) = (merged, page) {
                self.count_duplicate(at, enough);
            }
        }
        let gaps = fields()
            .filter(|(number, _)| *number == 3)
            .filter_map(|(_, held)| held.bytes());
        for gap in gaps
            .filter_map(|gap| HashRange::decode(gap).ok())
            .filter(|gap| sound(*gap))
        {
            if self.gossip.gaps.len() < GAPS && !self.gossip.gaps.contains(&gap) {
                self.gossip.gaps.push_back(gap);
            }
        }
        Ok(changes)
    }

    /// A rumour that comes back counts as told: the more know it, the sooner it rests.
    fn count_duplicate(&mut self, at: u32, enough: u8) {
        if let Some(announcement) = self.facts.cool(at)
            && announcement + 1 < enough
        {
            self.facts.heat(at, announcement + 1);
        }
    }

    /// Notes an own word of a boot that is not this one's yet.
    fn meet(&mut self, view: &View<'_>) {
        if view.owned && view.epoch > self.me.incarnation && view.name == self.me.name.as_bytes() {
            self.gossip.outrun = self.gossip.outrun.max(Some(view.epoch));
        }
    }
}

fn subrange(range: HashRange, parts: u32, part: u32) -> HashRange {
    HashRange {
        bits: range.bits + parts,
        prefix: (range.prefix << parts) | part,
    }
}

fn sound(range: HashRange) -> bool {
    range.bits <= LEAF_BITS && range.prefix < 1 << range.bits
}

fn read_summary(bytes: &[u8]) -> Result<(HashRange, u32, Summary), Unreadable> {
    if bytes.len() > LONGEST {
        return Err(Unreadable::TooLong);
    }
    let summary = Summary::decode(bytes).map_err(|_| Unreadable::Malformed)?;
    let (range, parts) = (summary.range, summary.digests.len() / 4);
    let parts = if parts.is_power_of_two() && summary.digests.len() % 4 == 0 {
        parts.ilog2()
    } else {
        32
    };
    let sound = sound(range) && range.bits + parts <= LEAF_BITS;
    if sound {
        Ok((range, parts, summary))
    } else {
        Err(Unreadable::Malformed)
    }
}

/// Pages that are being filled.
struct Pages {
    room: usize,
    most: usize,
    done: Vec<Vec<u8>>,
    open: Packet,
}

impl Pages {
    /// Adds a fact; says no once all pages are full.
    fn put(&mut self, fact: Carried, left: &mut usize) -> bool {
        let weight = weight(&fact.fact);
        if weight > *left && weight <= self.room {
            self.rotate();
            *left = self.room;
        }
        if self.done.len() >= self.most {
            return false;
        }
        if weight <= *left {
            *left -= weight;
            self.open.facts.push(fact);
        }
        true
    }

    fn rotate(&mut self) {
        let page = std::mem::take(&mut self.open);
        self.open.page = true;
        if !(page.facts.is_empty() && page.gaps.is_empty()) && self.done.len() < self.most {
            self.done.push(page.encode_to_vec());
        }
    }

    fn finish(mut self) -> Vec<Vec<u8>> {
        self.rotate();
        self.done
    }
}
