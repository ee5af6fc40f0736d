//! The ids of requests. An id names one request: servers would treat a second one as a retry of the
//! first, or run it twice. The processes of an upgrade serve side by side and exchange their ids:
//! each claims a new id and waits for the answers of the others before it sends the request.

mod claim;
mod exchange;

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use beaconflow_settings::digest;
use crossbeam_channel::{Receiver, Sender, unbounded};

use claim::{Claim, ClaimState};
pub use exchange::IdExchangeAddress;

/// An id of a request that may have run is refused for this long after its end.
const MEMORY_DURATION: Duration = Duration::from_secs(30);
/// Most ids of ended requests that are remembered, by digest.
const MAX_REMEMBERED: usize = 65_536;
/// Most open ids of another process that are known.
const MAX_PEER_IDS: usize = 65_536;
/// Most changes that wait to be sent to another process. One that takes none is given up.
const MAX_PENDING_EVENTS: usize = 65_536;

/// A change of the ids that a process knows, by digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdEvent {
    /// All ids that were known at the start have been sent.
    SnapshotComplete,
    /// A request was opened; the other process answers whether its id is free there.
    Opened(u64),
    /// A request has ended, and its id is free.
    Released(u64),
    /// A request has ended that may have run without its client hearing of it.
    Remembered(u64),
    /// The id that the other process opened is free here.
    Granted(u64),
    /// The id that the other process opened is taken here.
    Refused(u64),
}

/// Which of two processes was there first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerRole {
    /// The other process is the former one. It gets an id that both claim at the same moment.
    Former,
    /// The other process follows this one.
    Successor,
}

/// What is to be sent to another process.
struct Subscription {
    /// Number of the other process.
    peer: u64,
    /// The ids that are known, and the end of the snapshot.
    snapshot: Vec<IdEvent>,
    /// The changes since. Ends if the other process is given up.
    events: Receiver<IdEvent>,
}

/// The open ids of another process.
struct PeerIds {
    role: PeerRole,
    open: HashSet<u64>,
    events: Sender<IdEvent>,
    /// Whether claims wait for its answers.
    is_responsive: bool,
}

/// The ids of open requests and of those that ended lately.
#[derive(Clone, Default)]
pub(super) struct OpenIds(Arc<SharedIds>);

#[derive(Default)]
struct SharedIds {
    table: Mutex<IdTable>,
    /// Notified when claims are answered.
    answered: Condvar,
}

#[derive(Default)]
struct IdTable {
    open: HashSet<u64>,
    /// The claims of open ids that other processes were told of.
    claims: HashMap<u64, Claim>,
    ended: HashSet<u64>,
    /// When each of the ended ids is forgotten, the earliest first.
    forgotten_at: VecDeque<(Instant, u64)>,
    /// The other processes, by number.
    peers: HashMap<u64, PeerIds>,
    next_peer: u64,
}

/// An id of an open request, released on drop.
pub struct OpenId {
    digest: u64,
    /// Whether a server may have run the request.
    may_have_run: AtomicBool,
    ids: OpenIds,
}

impl OpenIds {
    /// Locks the table. It is valid even if a thread panicked while holding the lock.
    fn lock(&self) -> MutexGuard<'_, IdTable> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Exchanges ids with the other processes of this balancer.
    ///
    /// # Errors
    ///
    /// Fails if the socket or a thread can't be created.
    pub(super) fn exchange(&self, address: &IdExchangeAddress) -> io::Result<()> {
        exchange::start(self, address)
    }

    /// Registers the id of a new request; `None` if another request has it or had it lately.
    pub(super) fn register(&self, id: &str) -> Option<OpenId> {
        let digest = digest(id);
        let mut table = self.lock();
        table.forget_expired(Instant::now());
        let is_known = table.ended.contains(&digest)
            || table.peers.values().any(|peer| peer.open.contains(&digest));
        let is_new = !is_known && table.open(digest);
        if is_new {
            table.claim(digest);
        }
        is_new.then(|| self.open_id(digest))
    }

    /// Registers the id of a connection that another process hands over, which may still have it.
    pub(super) fn register_transferred(&self, id: &str) -> Option<OpenId> {
        let digest = digest(id);
        let is_new = self.lock().open(digest);
        is_new.then(|| self.open_id(digest))
    }

    fn open_id(&self, digest: u64) -> OpenId {
        OpenId {
            digest,
            may_have_run: AtomicBool::new(false),
            ids: self.clone(),
        }
    }

    /// Adds another process, which is sent all ids and changes.
    fn subscribe(&self, role: PeerRole) -> Subscription {
        let (sender, events) = unbounded();
        let mut table = self.lock();
        table.forget_expired(Instant::now());
        let peer = table.next_peer;
        table.next_peer += 1;
        let opened = table.open.iter().map(|digest| IdEvent::Opened(*digest));
        let remembered = table
            .forgotten_at
            .iter()
            .map(|(_, digest)| IdEvent::Remembered(*digest));
        let snapshot = opened
            .chain(remembered)
            .chain([IdEvent::SnapshotComplete])
            .collect();
        table.peers.insert(
            peer,
            PeerIds {
                role,
                open: HashSet::new(),
                events: sender,
                is_responsive: true,
            },
        );
        Subscription {
            peer,
            snapshot,
            events,
        }
    }

    /// Removes another process.
    fn unsubscribe(&self, peer: u64) {
        self.lock().remove_peer(peer);
        self.0.answered.notify_all();
    }

    /// Applies a change at another process.
    fn apply(&self, peer: u64, event: IdEvent) {
        let mut table = self.lock();
        let Some(peer_ids) = table.peers.get_mut(&peer) else {
            return;
        };
        match event {
            IdEvent::SnapshotComplete => {}
            IdEvent::Opened(digest) => table.answer_claim(peer, digest),
            IdEvent::Released(digest) => {
                peer_ids.open.remove(&digest);
            }
            IdEvent::Remembered(digest) => {
                peer_ids.open.remove(&digest);
                table.remember(digest);
                table.refuse_pending_claim(digest);
            }
            IdEvent::Granted(digest) => table.on_answer(peer, digest, |claim| claim.grant(peer)),
            IdEvent::Refused(digest) => table.on_answer(peer, digest, Claim::refuse),
        }
        drop(table);
        self.0.answered.notify_all();
    }
}

impl IdTable {
    /// Opens an id; false if it is open.
    fn open(&mut self, digest: u64) -> bool {
        let is_new = self.open.insert(digest);
        if is_new {
            self.publish(IdEvent::Opened(digest));
        }
        is_new
    }

    /// Has an open id wait for the answers of the other processes.
    fn claim(&mut self, digest: u64) {
        let responsive = self.peers.iter().filter(|(_, peer)| peer.is_responsive);
        let awaited_peers: HashSet<u64> = responsive.map(|(number, _)| *number).collect();
        if !awaited_peers.is_empty() {
            self.claims.insert(digest, Claim::new(awaited_peers));
        }
    }

    /// Answers the claim of another process.
    fn answer_claim(&mut self, peer: u64, digest: u64) {
        let is_refused = self.is_taken_for(peer, digest);
        let Some(peer_ids) = self.peers.get_mut(&peer) else {
            return;
        };
        let answer = if is_refused {
            IdEvent::Refused(digest)
        } else {
            if peer_ids.open.len() < MAX_PEER_IDS {
                peer_ids.open.insert(digest);
            }
            IdEvent::Granted(digest)
        };
        if !peer_ids.send(answer) {
            return self.remove_peer(peer);
        }
        // Where both claim the id, this process yields.
        if !is_refused && let Some(claim) = self.claims.get_mut(&digest) {
            claim.refuse();
        }
    }

    /// Refuses a claim of this process that waits for answers: another process has sent the id.
    fn refuse_pending_claim(&mut self, digest: u64) {
        if let Some(claim) = self.claims.get_mut(&digest)
            && claim.is_pending()
        {
            claim.refuse();
        }
    }

    /// Whether an id that another process claims is taken. Of two processes that claim an id at the
    /// same moment the former one gets it.
    fn is_taken_for(&self, claimant: u64, digest: u64) -> bool {
        let is_former = |peer: &PeerIds| peer.role == PeerRole::Former;
        let yields = self.peers.get(&claimant).is_some_and(is_former)
            && self.claims.get(&digest).is_some_and(Claim::is_pending);
        let is_open_elsewhere = self
            .peers
            .iter()
            .any(|(number, peer)| *number != claimant && peer.open.contains(&digest));
        self.ended.contains(&digest)
            || is_open_elsewhere
            || (self.open.contains(&digest) && !yields)
    }

    /// Applies the answer of another process to a claim of this one.
    fn on_answer(&mut self, peer: u64, digest: u64, apply_to: impl FnOnce(&mut Claim)) {
        if let Some(peer_ids) = self.peers.get_mut(&peer) {
            peer_ids.is_responsive = true;
        }
        if let Some(claim) = self.claims.get_mut(&digest) {
            apply_to(claim);
        }
    }

    /// Grants a claim whose answers are late, and stops waiting for the processes that owe them.
    fn expire_claim(&mut self, digest: u64) {
        let late_peers = self.claims.get_mut(&digest).map(Claim::expire);
        for number in late_peers.unwrap_or_default() {
            if let Some(peer) = self.peers.get_mut(&number) {
                peer.is_responsive = false;
            }
        }
    }

    fn close(&mut self, digest: u64, may_have_run: bool) {
        self.open.remove(&digest);
        self.claims.remove(&digest);
        if may_have_run {
            self.remember(digest);
            self.publish(IdEvent::Remembered(digest));
        } else {
            self.publish(IdEvent::Released(digest));
        }
    }

    /// Sends a change to the other processes, and gives up those that take none.
    fn publish(&mut self, event: IdEvent) {
        let stuck: Vec<u64> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.send(event))
            .map(|(number, _)| *number)
            .collect();
        for peer in stuck {
            self.remove_peer(peer);
        }
    }

    /// Removes another process. How its open requests ended is not known, so that their ids are
    /// remembered.
    fn remove_peer(&mut self, peer: u64) {
        let Some(peer_ids) = self.peers.remove(&peer) else {
            return;
        };
        for digest in peer_ids.open {
            self.remember(digest);
        }
        for claim in self.claims.values_mut() {
            claim.grant(peer);
        }
    }

    fn remember(&mut self, digest: u64) {
        if self.ended.insert(digest) {
            self.forgotten_at
                .push_back((Instant::now() + MEMORY_DURATION, digest));
        }
        if self.forgotten_at.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    fn forget_expired(&mut self, now: Instant) {
        while self
            .forgotten_at
            .front()
            .is_some_and(|(forgotten_at, _)| *forgotten_at <= now)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, digest)) = self.forgotten_at.pop_front() {
            self.ended.remove(&digest);
        }
    }
}

impl PeerIds {
    /// Sends an event; false if the other process has taken none for too long or has ended.
    fn send(&self, event: IdEvent) -> bool {
        self.events.len() < MAX_PENDING_EVENTS && self.events.send(event).is_ok()
    }
}

impl OpenId {
    /// Waits for the answers of the other processes; returns whether the request may be sent.
    pub(super) fn wait_until_granted(&self) -> bool {
        let mut table = self.ids.lock();
        loop {
            let state = table
                .claims
                .get(&self.digest)
                .map_or(ClaimState::Granted, Claim::state);
            let expires_at = match state {
                ClaimState::Granted => return true,
                ClaimState::Refused => return false,
                ClaimState::Pending(expires_at) => expires_at,
            };
            let remaining = expires_at.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                table.expire_claim(self.digest);
                return true;
            }
            let waited = self.ids.0.answered.wait_timeout(table, remaining);
            (table, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Records whether a server may have run the request without its client hearing of it.
    pub(super) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        let may_have_run = *self.may_have_run.get_mut();
        self.ids.lock().close(self.digest, may_have_run);
    }
}

#[cfg(test)]
mod tests;
