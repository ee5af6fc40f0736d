//! Entries in one block of memory, linked into queues; removal has constant cost.

use crate::queue::{Bound, Entry};

/// Index of an entry.
pub(crate) type Place = u32;

const NONE: Place = Place::MAX;

struct Node {
    entry: Entry,
    queue: u32,
    before: Place,
    after: Place,
}

/// Both ends of a queue, and its usage.
#[derive(Clone, Copy)]
pub(crate) struct Queue {
    first: Place,
    last: Place,
    pub(crate) usage: Bound,
}

impl Queue {
    const EMPTY: Queue = Queue {
        first: NONE,
        last: NONE,
        usage: Bound {
            entries: 0,
            bytes: 0,
        },
    };
}

/// The entries of all queues.
#[derive(Default)]
pub(crate) struct Slab {
    nodes: Vec<Option<Node>>,
    free: Vec<Place>,
    pub(crate) queues: Vec<Queue>,
}

impl Slab {
    /// Adds queues.
    pub(crate) fn widen(&mut self, by: usize) {
        self.queues.resize(self.queues.len() + by, Queue::EMPTY);
    }

    pub(crate) fn push(&mut self, queue: usize, entry: Entry) -> Place {
        let before = self.queues[queue].last;
        let node = Node {
            entry,
            queue: queue as u32,
            before,
            after: NONE,
        };
        let place = match self.free.pop() {
            Some(place) => {
                self.nodes[place as usize] = Some(node);
                place
            }
            None => {
                self.nodes.push(Some(node));
                (self.nodes.len() - 1) as Place
            }
        };
        match self.node(before) {
            Some(last) => last.after = place,
            None => self.queues[queue].first = place,
        }
        self.queues[queue].last = place;
        self.queues[queue].usage.add(&entry);
        place
    }

    pub(crate) fn first(&self, queue: usize) -> Option<Place> {
        Some(self.queues[queue].first).filter(|place| *place != NONE)
    }

    pub(crate) fn last(&self, queue: usize) -> Option<Place> {
        Some(self.queues[queue].last).filter(|place| *place != NONE)
    }

    /// Removes an entry; returns it and its queue.
    pub(crate) fn remove(&mut self, place: Place) -> Option<(Entry, usize)> {
        let Node {
            entry,
            queue,
            before,
            after,
        } = self.nodes.get_mut(place as usize)?.take()?;
        let queue = queue as usize;
        match self.node(before) {
            Some(node) => node.after = after,
            None => self.queues[queue].first = after,
        }
        match self.node(after) {
            Some(node) => node.before = before,
            None => self.queues[queue].last = before,
        }
        self.queues[queue].usage.take(&entry);
        self.free.push(place);
        Some((entry, queue))
    }

    fn node(&mut self, place: Place) -> Option<&mut Node> {
        self.nodes.get_mut(place as usize)?.as_mut()
    }
}
