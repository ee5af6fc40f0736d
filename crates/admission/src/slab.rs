//! Entries in one allocation, linked into queues. Insertion and removal take constant time.

use crate::queue::{Entry, QueueSize};

/// Position of an entry in the slab.
pub(crate) type EntryIndex = u32;

const NO_ENTRY: EntryIndex = EntryIndex::MAX;

struct Node {
    entry: Entry,
    queue: u32,
    previous: EntryIndex,
    next: EntryIndex,
}

/// Both ends of a queue, and its usage.
#[derive(Clone, Copy)]
pub(crate) struct Queue {
    first: EntryIndex,
    last: EntryIndex,
    pub(crate) size: QueueSize,
}

impl Queue {
    const EMPTY: Queue = Queue {
        first: NO_ENTRY,
        last: NO_ENTRY,
        size: QueueSize {
            entries: 0,
            bytes: 0,
        },
    };
}

/// The entries of all queues.
#[derive(Default)]
pub(crate) struct Slab {
    nodes: Vec<Option<Node>>,
    free: Vec<EntryIndex>,
    pub(crate) queues: Vec<Queue>,
}

impl Slab {
    /// Appends empty queues.
    pub(crate) fn add_queues(&mut self, count: usize) {
        self.queues.resize(self.queues.len() + count, Queue::EMPTY);
    }

    pub(crate) fn push(&mut self, queue: usize, entry: Entry) -> EntryIndex {
        let previous = self.queues[queue].last;
        let node = Node {
            entry,
            queue: queue as u32,
            previous,
            next: NO_ENTRY,
        };
        let index = match self.free.pop() {
            Some(index) => {
                self.nodes[index as usize] = Some(node);
                index
            }
            None => {
                self.nodes.push(Some(node));
                (self.nodes.len() - 1) as EntryIndex
            }
        };
        match self.node(previous) {
            Some(last) => last.next = index,
            None => self.queues[queue].first = index,
        }
        self.queues[queue].last = index;
        self.queues[queue].size.add_entry(&entry);
        index
    }

    pub(crate) fn first(&self, queue: usize) -> Option<EntryIndex> {
        Some(self.queues[queue].first).filter(|index| *index != NO_ENTRY)
    }

    pub(crate) fn last(&self, queue: usize) -> Option<EntryIndex> {
        Some(self.queues[queue].last).filter(|index| *index != NO_ENTRY)
    }

    /// Removes an entry; returns it and the index of its queue.
    pub(crate) fn remove(&mut self, index: EntryIndex) -> Option<(Entry, usize)> {
        let Node {
            entry,
            queue,
            previous,
            next,
        } = self.nodes.get_mut(index as usize)?.take()?;
        let queue = queue as usize;
        match self.node(previous) {
            Some(node) => node.next = next,
            None => self.queues[queue].first = next,
        }
        match self.node(next) {
            Some(node) => node.previous = previous,
            None => self.queues[queue].last = previous,
        }
        self.queues[queue].size.remove_entry(&entry);
        self.free.push(index);
        Some((entry, queue))
    }

    fn node(&mut self, index: EntryIndex) -> Option<&mut Node> {
        self.nodes.get_mut(index as usize)?.as_mut()
    }
}
