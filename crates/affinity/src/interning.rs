//! Maps servers and versions to short reference-counted ids.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::entry::NO_ID;
use crate::versions::Version;
use crate::{Millis, Tag};

/// One incarnation of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerIncarnation {
    pub(crate) tag: Tag,
    /// The time of the start in Unix milliseconds; 0 if unknown.
    pub(crate) started_at: Millis,
    /// Whether the server has started again since.
    pub(crate) has_restarted: bool,
    /// The id of the count of clients without a group.
    pub(crate) ungrouped_count_id: u32,
    use_count: u32,
}

/// The server incarnations that placements refer to.
#[derive(Default)]
pub(crate) struct ServerIncarnations {
    incarnations: Vec<ServerIncarnation>,
    free: Vec<u16>,
    /// The ids of each server's current incarnation and of the one before it.
    current: FxHashMap<Tag, u16>,
    previous: FxHashMap<Tag, u16>,
    /// Current names of renamed servers, by former name.
    new_names: BTreeMap<Tag, Tag>,
}

impl ServerIncarnations {
    pub(crate) fn get(&self, id: u16) -> &ServerIncarnation {
        &self.incarnations[usize::from(id)]
    }

    pub(crate) fn set_ungrouped_count_id(&mut self, id: u16, count_id: u32) {
        self.incarnations[usize::from(id)].ungrouped_count_id = count_id;
    }

    /// The current name of a server.
    pub(crate) fn current_name(&self, tag: Tag) -> Tag {
        if self.new_names.is_empty() {
            tag
        } else {
            self.new_names.get(&tag).copied().unwrap_or(tag)
        }
    }

    /// The former names of a server.
    pub(crate) fn former_names(&self, tag: Tag) -> impl Iterator<Item = Tag> {
        self.new_names
            .iter()
            .filter(move |(_, new)| **new == tag)
            .map(|(old, _)| *old)
    }

    /// The id of the incarnation that a placement made at this time belongs to; `None` if no id is
    /// free.
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

    /// Whether a placement made at this time belongs to this incarnation, and the server has not
    /// started again since.
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

    /// Evicts an incarnation that is kept only for its start time, and returns its id.
    fn evict_unused(&mut self) -> Option<u16> {
        let idle = self
            .incarnations
            .iter()
            .position(|incarnation| incarnation.use_count == 0 && !incarnation.has_restarted)?;
        self.current.remove(&self.incarnations[idle].tag);
        u16::try_from(idle).ok()
    }

    /// Records a start of a server, which voids earlier placements on it.
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

    /// Records a new name of a server; placements on it follow.
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
        // The start time of a current incarnation is kept, because the server is likely to be used
        // again.
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

/// The versions under which placements were made.
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

    /// Acquires a reference to a version, and returns its id; `None` if no id is free.
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
