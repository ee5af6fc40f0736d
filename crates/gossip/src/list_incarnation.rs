//! Determines which incarnation of discovery a list belongs to.

use crate::Millis;
use crate::fact::{ListPosition, ListVersion};

/// Upper limit on the clock difference of two processes, and on the time that a list takes to arrive.
pub const MAX_CLOCK_SKEW_MS: Millis = 10_000;

/// A list announced by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListAnnouncement {
    /// Discovery's counter of list changes.
    pub generation: u64,
    /// Digest of the whole list without addresses; the same at all processes.
    pub digest: u64,
    /// Whether the whole list was sent, not only changes.
    pub is_complete: bool,
}

/// The version of a list that a peer holds, and when that was observed.
pub(crate) struct PeerList {
    pub list: ListVersion,
    pub observed_at: Millis,
}

/// The incarnation of a list that has just been announced, by the rules in the crate documentation.
pub(crate) fn list_incarnation(
    own_position: Option<ListPosition>,
    announcement: ListAnnouncement,
    peer_lists: &[PeerList],
    now: Millis,
) -> u64 {
    let own_incarnation = own_position.map_or(0, |own| own.incarnation);
    let is_same_list = |peer: &&PeerList| {
        peer.list.position.generation == announcement.generation
            && peer.list.digest == announcement.digest
    };
    let shared_incarnation = peer_lists
        .iter()
        .filter(is_same_list)
        .map(|peer| peer.list.position.incarnation)
        .max();
    if let Some(incarnation) =
        shared_incarnation.filter(|incarnation| *incarnation > own_incarnation)
    {
        return incarnation;
    }
    let latest = peer_lists
        .iter()
        .max_by_key(|peer| (peer.list.position, peer.observed_at));
    let ahead_of_own =
        latest.filter(|peer| own_position.is_none_or(|own| peer.list.position > own));
    let mut incarnation = own_incarnation.max(1);
    if let Some(peer) = ahead_of_own.filter(|_| announcement.is_complete || own_position.is_none())
    {
        let ListPosition {
            incarnation: peer_incarnation,
            generation,
        } = peer.list.position;
        let is_older_than_skew = peer.observed_at.saturating_add(MAX_CLOCK_SKEW_MS) < now;
        incarnation = if announcement.generation < generation && is_older_than_skew {
            peer_incarnation + 1
        } else {
            peer_incarnation
        };
    }
    // This process saw the generation restart on its own connection to discovery, so no clocks are compared.
    let is_restart = own_position
        .is_some_and(|own| announcement.is_complete && announcement.generation < own.generation);
    if is_restart {
        incarnation.max(own_incarnation + 1)
    } else {
        incarnation
    }
}
