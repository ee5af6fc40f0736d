//! Weighted rotation: ready servers ordered by virtual time.
//!
//! Each selection advances a server by the inverse of its weight, so that servers are selected in
//! proportion to their weights (stride scheduling).

use std::collections::BTreeSet;

use crate::ids::ServerId;

/// Position of one server in the rotation.
#[derive(Clone, Copy, Default)]
pub(crate) struct RotationSlot {
    /// Virtual time of the next selection, in rounds of a server of weight 1.
    next_virtual_time: f64,
}

/// The ready servers, the next one first.
#[derive(Default)]
pub(crate) struct Rotation {
    /// Virtual times are not negative, so that their bit patterns sort like their values.
    order: BTreeSet<(u64, ServerId)>,
    /// Latest virtual time at which a server was selected.
    virtual_time: f64,
}

impl RotationSlot {
    fn key(self, id: ServerId) -> (u64, ServerId) {
        (self.next_virtual_time.to_bits(), id)
    }
}

impl Rotation {
    /// The servers, the next one first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ServerId> {
        self.order.iter().map(|(_, id)| *id)
    }

    /// Adds a server that has become ready, `lead` after the present virtual time, and removes one
    /// that is no longer ready.
    pub(crate) fn update(
        &mut self,
        id: ServerId,
        slot: &mut RotationSlot,
        is_ready: bool,
        lead: f64,
    ) {
        let is_listed = self.order.contains(&slot.key(id));
        if is_listed && !is_ready {
            self.order.remove(&slot.key(id));
        }
        if is_ready && !is_listed {
            slot.next_virtual_time = self.virtual_time + lead;
            self.order.insert(slot.key(id));
        }
    }

    /// Moves a selected server back by `stride`. Rounds that it missed are not made up for.
    pub(crate) fn advance(&mut self, id: ServerId, slot: &mut RotationSlot, stride: f64) {
        if self.order.remove(&slot.key(id)) {
            self.virtual_time = self.virtual_time.max(slot.next_virtual_time);
            let from = slot.next_virtual_time.max(self.virtual_time - stride);
            slot.next_virtual_time = from + stride;
            self.order.insert(slot.key(id));
        }
    }

    /// Rescales the remaining wait of a server whose weight has changed.
    pub(crate) fn reweigh(
        &mut self,
        id: ServerId,
        slot: &mut RotationSlot,
        before: f64,
        after: f64,
    ) {
        if before != after && self.order.remove(&slot.key(id)) {
            let wait = (slot.next_virtual_time - self.virtual_time).max(0.0);
            slot.next_virtual_time = self.virtual_time + wait * before / after;
            self.order.insert(slot.key(id));
        }
    }
}
