//! Servers and versions by short numbers, counted by use.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::entry::NO_ID;
use crate::versions::Version;
use crate::{Millis, Tag};

/// A server in one of its lives.
#[derive(Clone, Debug)]
pub(crate) struct ServerIncarnation {
    pub(crate) tag: Tag,
    /// When it started, as far as is known.
    pub(crate) started_at: Millis,
    /// It has started anew since.
    pub(crate) has_restarted: bool,
    /// The spot of those in no group.
    pub(crate) ungrouped_count_id: u32,
    use_count: u32,
}

/// The servers that placements name.
#[derive(Default)]
pub(crate) struct ServerIncarnations {
    incarnations: Vec<ServerIncarnation>,
    free: Vec<u16>,
    /// Each server's present life, and the one before it.
    current: FxHashMap<Tag, u16>,
    previous: FxHashMap<Tag, u16>,
    /// Old name to new.
    new_names: BTreeMap<Tag, Tag>,
}

impl ServerIncarnations {
    pub(crate) fn get(&self, id: u16) -> &ServerIncarnation {
        &self.incarnations[usize::from(id)]
    }

    pub(crate) fn set_ungrouped_count_id(&mut self, id: u16, count_id: u32) {
        self.incarnations[usize::from(id)].ungrouped_count_id = count_id;
    }

    /// What a server is called now.
    pub(crate) fn current_name(&self, tag: Tag) -> Tag {
        if self.new_names.is_empty() {
            tag
        } else {
            self.new_names.get(&tag).copied().unwrap_or(tag)
        }
    }

    /// What it was called before.
    pub(crate) fn former_names(&self, tag: Tag) -> impl Iterator<Item = Tag> {
        self.new_names
            .iter()
            .filter(move |(_, new)| **new == tag)
            .map(|(old, _)| *old)
    }

    /// The life that a placement of this moment belongs to.
    pub(crate) fn incarnation_at(&mut self, tag: Tag, at: Millis) -> Option<u16> {
        let tag = self.current_name(tag);
        match self.current.get(&tag) {
            Some(id) if at >= self.get(*id).started_at => Some(*id),
            Some(_) => match self.previous.get(&tag) {
                Some(id) => Some(*id),
                None => self.add(tag, 0, true),
            },
            None => self.add(tag, 0, false),
        }
    }

    /// Whether a placement of this moment belongs to this life.
    pub(crate) fn is_incarnation(&self, id: u16, tag: Tag, at: Millis) -> bool {
        let incarnation = self.get(id);
        incarnation.tag == self.current_name(tag)
            && !incarnation.has_restarted
            && at >= incarnation.started_at
    }

    fn add(&mut self, tag: Tag, started_at: Millis, has_restarted: bool) -> Option<u16> {
        let incarnation = ServerIncarnation {
            tag,
            started_at,
            has_restarted,
            ungrouped_count_id: NO_ID,
            use_count: 0,
        };
        let id = match self.free.pop() {
            Some(id) => id,
            None => match u16::try_from(self.incarnations.len()) {
                Ok(id) => {
                    self.incarnations.push(incarnation.clone());
                    id
                }
                Err(_) => self.evict_unused()?,
            },
        };
        self.incarnations[usize::from(id)] = incarnation;
        let map = if has_restarted {
            &mut self.previous
        } else {
            &mut self.current
        };
        map.insert(tag, id);
        Some(id)
    }

    /// A life that is kept for its start alone.
    fn evict_unused(&mut self) -> Option<u16> {
        let idle = self
            .incarnations
            .iter()
            .position(|incarnation| incarnation.use_count == 0 && !incarnation.has_restarted)?;
        self.current.remove(&self.incarnations[idle].tag);
        u16::try_from(idle).ok()
    }

    /// A server started anew: what was placed on it before is void.
    pub(crate) fn record_start(&mut self, tag: Tag, at: Millis) {
        let tag = self.current_name(tag);
        let Some(id) = self.current.get(&tag).copied() else {
            self.add(tag, at, false);
            return;
        };
        let incarnation = &mut self.incarnations[usize::from(id)];
        if incarnation.started_at >= at {
            return;
        }
        if incarnation.use_count == 0 {
            incarnation.started_at = at;
            return;
        }
        incarnation.has_restarted = true;
        self.previous.insert(tag, id);
        self.current.remove(&tag);
        self.add(tag, at, false);
    }

    /// A server has another name: what is placed on it follows.
    pub(crate) fn rename(&mut self, old: Tag, new: Tag) {
        let (old, new) = (self.current_name(old), self.current_name(new));
        if old == new {
            return;
        }
        self.new_names.remove(&new);
        self.new_names
            .values_mut()
            .filter(|to| **to == old)
            .for_each(|to| *to = new);
        self.new_names.insert(old, new);
        self.incarnations
            .iter_mut()
            .filter(|incarnation| incarnation.tag == old)
            .for_each(|incarnation| incarnation.tag = new);
        for map in [&mut self.current, &mut self.previous] {
            if let Some(id) = map.remove(&old) {
                map.entry(new).or_insert(id);
            }
        }
    }

    pub(crate) fn acquire(&mut self, id: u16) {
        self.incarnations[usize::from(id)].use_count += 1;
    }

    pub(crate) fn release(&mut self, id: u16) {
        let incarnation = &mut self.incarnations[usize::from(id)];
        incarnation.use_count -= 1;
        // The start of a server that is in use again and again is worth knowing.
        if incarnation.use_count > 0 || !incarnation.has_restarted && incarnation.started_at > 0 {
            return;
        }
        let (tag, map) = (
            incarnation.tag,
            if incarnation.has_restarted {
                &mut self.previous
            } else {
                &mut self.current
            },
        );
        if map.get(&tag) == Some(&id) {
            map.remove(&tag);
        }
        self.free.push(id);
    }

    pub(crate) fn bytes(&self) -> usize {
        self.incarnations.capacity() * size_of::<ServerIncarnation>()
            + (self.current.capacity() + self.previous.capacity()) * 12
    }
}

/// The versions that placements were dealt under.
#[derive(Default)]
pub(crate) struct VersionIds {
    versions: Vec<(Version, u32)>,
    free: Vec<u16>,
    ids: FxHashMap<Version, u16>,
}

impl VersionIds {
    pub(crate) fn get(&self, id: u16) -> Version {
        self.versions[usize::from(id)].0
    }

    /// The number of a version, one use more.
    pub(crate) fn acquire(&mut self, version: Version) -> Option<u16> {
        let id = match self.ids.get(&version) {
            Some(id) => *id,
            None => {
                let id = match self.free.pop() {
                    Some(id) => id,
                    None => {
                        let id = u16::try_from(self.versions.len()).ok()?;
                        self.versions.push((version, 0));
                        id
                    }
                };
                self.versions[usize::from(id)] = (version, 0);
                self.ids.insert(version, id);
                id
            }
        };
        self.versions[usize::from(id)].1 += 1;
        Some(id)
    }

    pub(crate) fn release(&mut self, id: u16) {
        let (version, use_count) = &mut self.versions[usize::from(id)];
        *use_count -= 1;
        if *use_count == 0 {
            self.ids.remove(version);
            self.free.push(id);
        }
    }
}
