//! Servers and versions by short numbers, counted by use.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::entry::NONE;
use crate::versions::Version;
use crate::{Millis, Tag};

/// A server in one of its lives.
#[derive(Clone, Debug)]
pub(crate) struct ServerIncarnation {
    pub(crate) tag: Tag,
    /// When it started, as far as is known.
    pub(crate) from: Millis,
    /// It has started anew since.
    pub(crate) is_over: bool,
    /// The spot of those in no group.
    pub(crate) loose: u32,
    uses: u32,
}

/// The servers that placements name.
#[derive(Default)]
pub(crate) struct Names {
    incarnations: Vec<ServerIncarnation>,
    free: Vec<u16>,
    /// Each server's present life, and the one before it.
    live: FxHashMap<Tag, u16>,
    over: FxHashMap<Tag, u16>,
    /// Old name to new.
    renamed: BTreeMap<Tag, Tag>,
}

impl Names {
    pub(crate) fn get(&self, life: u16) -> &ServerIncarnation {
        &self.incarnations[usize::from(life)]
    }

    pub(crate) fn set_loose(&mut self, life: u16, spot: u32) {
        self.incarnations[usize::from(life)].loose = spot;
    }

    /// What a server is called now.
    pub(crate) fn now(&self, tag: Tag) -> Tag {
        if self.renamed.is_empty() {
            tag
        } else {
            self.renamed.get(&tag).copied().unwrap_or(tag)
        }
    }

    /// What it was called before.
    pub(crate) fn before(&self, tag: Tag) -> impl Iterator<Item = Tag> {
        self.renamed
            .iter()
            .filter(move |(_, new)| **new == tag)
            .map(|(old, _)| *old)
    }

    /// The life that a placement of this moment belongs to.
    pub(crate) fn incarnation_at(&mut self, tag: Tag, at: Millis) -> Option<u16> {
        let tag = self.now(tag);
        match self.live.get(&tag) {
            Some(life) if at >= self.get(*life).from => Some(*life),
            Some(_) => match self.over.get(&tag) {
                Some(life) => Some(*life),
                None => self.begin(tag, 0, true),
            },
            None => self.begin(tag, 0, false),
        }
    }

    /// Whether a placement of this moment belongs to this life.
    pub(crate) fn is_incarnation(&self, life: u16, tag: Tag, at: Millis) -> bool {
        let one = self.get(life);
        one.tag == self.now(tag) && !one.is_over && at >= one.from
    }

    fn begin(&mut self, tag: Tag, from: Millis, is_over: bool) -> Option<u16> {
        let life = ServerIncarnation {
            tag,
            from,
            is_over,
            loose: NONE,
            uses: 0,
        };
        let number = match self.free.pop() {
            Some(number) => number,
            None => match u16::try_from(self.incarnations.len()) {
                Ok(number) => {
                    self.incarnations.push(life.clone());
                    number
                }
                Err(_) => self.reclaim()?,
            },
        };
        self.incarnations[usize::from(number)] = life;
        let map = if is_over {
            &mut self.over
        } else {
            &mut self.live
        };
        map.insert(tag, number);
        Some(number)
    }

    /// A life that is kept for its start alone.
    fn reclaim(&mut self) -> Option<u16> {
        let idle = self
            .incarnations
            .iter()
            .position(|life| life.uses == 0 && !life.is_over)?;
        self.live.remove(&self.incarnations[idle].tag);
        u16::try_from(idle).ok()
    }

    /// A server started anew: what was placed on it before is void.
    pub(crate) fn restarted(&mut self, tag: Tag, at: Millis) {
        let tag = self.now(tag);
        let Some(life) = self.live.get(&tag).copied() else {
            self.begin(tag, at, false);
            return;
        };
        let one = &mut self.incarnations[usize::from(life)];
        if one.from >= at {
            return;
        }
        if one.uses == 0 {
            one.from = at;
            return;
        }
        one.is_over = true;
        self.over.insert(tag, life);
        self.live.remove(&tag);
        self.begin(tag, at, false);
    }

    /// A server has another name: what is placed on it follows.
    pub(crate) fn rename(&mut self, old: Tag, new: Tag) {
        let (old, new) = (self.now(old), self.now(new));
        if old == new {
            return;
        }
        self.renamed.remove(&new);
        self.renamed
            .values_mut()
            .filter(|to| **to == old)
            .for_each(|to| *to = new);
        self.renamed.insert(old, new);
        self.incarnations
            .iter_mut()
            .filter(|life| life.tag == old)
            .for_each(|life| life.tag = new);
        for map in [&mut self.live, &mut self.over] {
            if let Some(life) = map.remove(&old) {
                map.entry(new).or_insert(life);
            }
        }
    }

    pub(crate) fn take(&mut self, life: u16) {
        self.incarnations[usize::from(life)].uses += 1;
    }

    pub(crate) fn give_back(&mut self, life: u16) {
        let one = &mut self.incarnations[usize::from(life)];
        one.uses -= 1;
        // The start of a server that is in use again and again is worth knowing.
        if one.uses > 0 || !one.is_over && one.from > 0 {
            return;
        }
        let (tag, map) = (
            one.tag,
            if one.is_over {
                &mut self.over
            } else {
                &mut self.live
            },
        );
        if map.get(&tag) == Some(&life) {
            map.remove(&tag);
        }
        self.free.push(life);
    }

    pub(crate) fn bytes(&self) -> usize {
        self.incarnations.capacity() * size_of::<ServerIncarnation>()
            + (self.live.capacity() + self.over.capacity()) * 12
    }
}

/// The versions that placements were dealt under.
#[derive(Default)]
pub(crate) struct Digests {
    all: Vec<(Version, u32)>,
    free: Vec<u16>,
    numbers: FxHashMap<Version, u16>,
}

impl Digests {
    pub(crate) fn get(&self, number: u16) -> Version {
        self.all[usize::from(number)].0
    }

    /// The number of a version, one use more.
    pub(crate) fn take(&mut self, version: Version) -> Option<u16> {
        let number = match self.numbers.get(&version) {
            Some(number) => *number,
            None => {
                let number = match self.free.pop() {
                    Some(number) => number,
                    None => {
                        let number = u16::try_from(self.all.len()).ok()?;
                        self.all.push((version, 0));
                        number
                    }
                };
                self.all[usize::from(number)] = (version, 0);
                self.numbers.insert(version, number);
                number
            }
        };
        self.all[usize::from(number)].1 += 1;
        Some(number)
    }

    pub(crate) fn give_back(&mut self, number: u16) {
        let (version, uses) = &mut self.all[usize::from(number)];
        *uses -= 1;
        if *uses == 0 {
            self.numbers.remove(version);
            self.free.push(number);
        }
    }
}
