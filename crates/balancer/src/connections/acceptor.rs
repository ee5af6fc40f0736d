//! The acceptor: the listener of a front and its incomplete handshakes.
//!
//! One thread serves both, so that an idle or invalid client costs one descriptor and no thread.

mod admission;
mod fair_queue;
mod handshake;
mod place_queue;

use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::connections::descriptors::{DescriptorBudget, Descriptors};
use crate::connections::event_loop::ConnectionsHandle;
use crate::connections::lingering::LingeringClose;
use crate::connections::relay::ClientConnection;
use crate::core::lifecycle::LifecycleState;
use crate::core::{ConnectionSlot, CoreHandle};
use crate::front::{ClientMessage, Front, HandshakeError, Rejection};
use crate::log::RateLimitedLog;
use crate::net::{self, Listener, ReadBuffer, WriteBuffer};
use admission::{Admissions, CompletedHandshake};
use handshake::{Handshake, HandshakeOutcome, MIN_HANDSHAKE_TIME, read_handshake_guarded};
use place_queue::{AwaitingPlace, PLACE_CHECK_INTERVAL, PlaceQueue};

/// Interval of lifecycle checks while handshakes are pending.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of lifecycle checks during a shutdown.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Clients accepted before handshakes are read again.
const ACCEPT_BATCH: usize = 32;
/// Pause after a failed accept, which avoids a busy loop without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Interval at which clients that were rejected on admission threads are taken over.
const REJECTED_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Clients that wait for admission may hold this fraction (1/n) of the connections, so that they
/// leave room for others.
const PENDING_ADMISSIONS_DIVISOR: usize = 4;
/// Most clients that wait for admission.
const MAX_PENDING_ADMISSIONS: usize = 1024;

/// Accepts clients and reads their handshakes until the program ends.
pub fn listen<F: Front>(
    front: &Arc<F>,
    listener: &Listener,
    (core, descriptors): (&CoreHandle, &Descriptors),
    connections: &ConnectionsHandle<F>,
) {
    let rejections = Arc::new(RateLimitedLog::default());
    let mut acceptor = Acceptor {
        front,
        core,
        descriptors,
        admissions: Admissions::start(front, connections, &rejections),
        rejections,
        handshakes: VecDeque::new(),
        place_queue: PlaceQueue::default(),
        lingering: VecDeque::new(),
        accept_resumes_at: Instant::now(),
        queue_empty_at: Instant::now(),
        is_queue_empty: true,
        drain_started_at: None,
    };
    loop {
        acceptor.follow_lifecycle();
        let should_accept = acceptor.should_accept(listener);
        let has_room = should_accept && acceptor.can_accept_one();
        let timeout = acceptor.wait_timeout(has_room || !should_accept);
        let handshakes = acceptor
            .handshakes
            .iter()
            .map(|handshake| Some(&handshake.client));
        let lingering = acceptor
            .lingering
            .iter()
            .map(LingeringClose::stream_to_read);
        let streams = handshakes.chain(lingering);
        let (listener_ready, ready) =
            net::wait_listener_or_streams(has_room.then_some(&listener.socket), streams, timeout);
        let (ready_handshakes, ready_lingering) = ready.split_at(acceptor.handshakes.len());
        acceptor.read_lingering(ready_lingering);
        acceptor.take_rejected();
        acceptor.admissions.drop_left();
        // Handshakes are read before new clients are accepted: a complete one makes room without an
        // eviction.
        acceptor.read_handshakes(ready_handshakes);
        acceptor.expire_handshakes();
        acceptor.serve_place_queue();
        acceptor.follow_accept_queue(has_room, listener_ready);
        if listener_ready && acceptor.should_accept(listener) {
            acceptor.accept(&listener.socket);
        }
        acceptor.publish_handshakes();
        acceptor.rejections.flush(front.name());
    }
}

struct Acceptor<'a, F: Front> {
    front: &'a Arc<F>,
    core: &'a CoreHandle,
    descriptors: &'a Descriptors,
    admissions: Admissions<F>,
    rejections: Arc<RateLimitedLog>,
    /// Incomplete handshakes, the oldest first.
    handshakes: VecDeque<Handshake>,
    /// Clients whose handshake is complete and that wait for a place.
    place_queue: PlaceQueue<F::Request>,
    /// Rejected clients that are read until they close, the oldest first.
    lingering: VecDeque<LingeringClose>,
    /// End of the pause after a failed accept.
    accept_resumes_at: Instant,
    /// When the accept queue was last seen empty.
    queue_empty_at: Instant,
    /// Whether the accept queue was empty when it was last looked at.
    is_queue_empty: bool,
    /// When a drain was first noticed.
    drain_started_at: Option<Instant>,
}

impl<F: Front> Acceptor<'_, F> {
    /// Time until the next handshake expires or may be evicted, or accepting resumes.
    fn wait_timeout(&self, has_room: bool) -> Duration {
        let now = Instant::now();
        let next_event_at = |handshake: &Handshake| {
            if has_room {
                handshake.deadline_at(&**self.front, self.drain_started_at)
            } else {
                handshake.accepted_at + MIN_HANDSHAKE_TIME
            }
        };
        let next_at = self
            .handshakes
            .iter()
            .map(next_event_at)
            .chain(self.lingering.iter().map(LingeringClose::deadline_at))
            .min();
        let left = next_at.map_or(Duration::from_secs(1), |at| {
            at.saturating_duration_since(now)
        });
        let paused = self.accept_resumes_at.saturating_duration_since(now);
        let left = if paused.is_zero() {
            left
        } else {
            left.min(paused)
        };
        left.clamp(Duration::from_millis(1), self.max_wait())
    }

    /// Longest wait without a lifecycle check.
    fn max_wait(&self) -> Duration {
        let is_shutting_down = self.core.lifecycle().state() == LifecycleState::ShuttingDown;
        if !self.place_queue.is_empty() {
            return PLACE_CHECK_INTERVAL;
        }
        if self.admissions.is_any_pending() {
            return REJECTED_CHECK_INTERVAL;
        }
        match (self.handshakes.is_empty(), is_shutting_down) {
            (true, _) => Duration::from_secs(1),
            (false, true) => SHUTDOWN_CHECK_INTERVAL,
            (false, false) => STATE_CHECK_INTERVAL,
        }
    }

    fn budget(&self) -> DescriptorBudget {
        self.descriptors.budget()
    }

    /// Whether this process accepts clients. During a shutdown a shared listener is left to the
    /// other process.
    fn should_accept(&self, listener: &Listener) -> bool {
        let is_shutting_down = self.core.lifecycle().state() == LifecycleState::ShuttingDown;
        (!listener.is_shared || !is_shutting_down) && Instant::now() >= self.accept_resumes_at
    }

    /// Records when a drain began, or that there is none.
    fn follow_lifecycle(&mut self) {
        match self.core.lifecycle().state() {
            LifecycleState::Starting | LifecycleState::Serving => self.drain_started_at = None,
            LifecycleState::Standby | LifecycleState::ShuttingDown => {
                self.drain_started_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Records after a wait when the accept queue was last empty. A wait that began with an empty
    /// queue ended with its first client.
    fn follow_accept_queue(&mut self, was_polled: bool, is_ready: bool) {
        if was_polled && (self.is_queue_empty || !is_ready) {
            self.queue_empty_at = Instant::now();
        }
        self.is_queue_empty = was_polled && !is_ready;
    }

    /// Publishes the number of unfinished clients, so that a shutdown waits for them.
    fn publish_handshakes(&self) {
        self.core
            .lifecycle()
            .set_handshakes(self.handshakes.len() + self.place_queue.len() + self.lingering.len());
    }

    /// Whether one more client can be accepted, by eviction if necessary.
    fn can_accept_one(&self) -> bool {
        self.has_room_for_one() || self.eviction_candidate().is_some()
    }

    /// Whether there are fewer unfinished clients than there may be.
    fn has_room_for_one(&self) -> bool {
        self.handshakes.len() + self.place_queue.len() < self.budget().handshakes
    }

    /// Index of the handshake to evict: the one that has been silent longest, else the oldest.
    fn eviction_candidate(&self) -> Option<usize> {
        let is_silent = |handshake: &Handshake| {
            handshake.has_had_min_time() && handshake.read_buffer.bytes().is_empty()
        };
        self.handshakes
            .iter()
            .position(is_silent)
            .or_else(|| self.handshakes.iter().position(Handshake::has_had_min_time))
    }

    fn accept(&mut self, listener: &TcpListener) {
        for _ in 0..ACCEPT_BATCH {
            if !self.can_accept_one() {
                return;
            }
            let client = match listener.accept() {
                Ok((client, _)) => client,
                Err(error) if net::is_would_block(&error) => {
                    self.is_queue_empty = true;
                    return;
                }
                Err(error) => {
                    self.rejections
                        .warn(self.front.name(), "accept failed", &error);
                    self.accept_resumes_at = Instant::now() + ACCEPT_PAUSE;
                    return;
                }
            };
            self.evict_one();
            if net::configure_stream(&client).is_err() {
                continue;
            }
            // A client that does not read the banner times out like other silent ones.
            let _ = net::write_gathered(&client, &[&self.front.banner()]);
            self.handshakes.push_back(Handshake::new(
                client,
                self.front.max_handshake_line(),
                self.queue_empty_at,
            ));
        }
    }

    /// Evicts a client if there are too many handshakes.
    fn evict_one(&mut self) {
        let index = self
            .eviction_candidate()
            .filter(|_| !self.has_room_for_one());
        let Some(handshake) = index.and_then(|index| self.handshakes.remove(index)) else {
            return;
        };
        self.reject(
            handshake.client,
            &self.front.encode(ClientMessage::Rejected(None)),
        );
        self.rejections.warn(
            self.front.name(),
            "too many handshakes",
            &"evicted the oldest one",
        );
    }

    /// Rejects a client and reads it until it closes.
    fn reject(&mut self, client: TcpStream, answer: &[u8]) {
        self.linger(LingeringClose::start(
            client,
            WriteBuffer::default(),
            answer,
        ));
    }

    /// Adds a client that is read until it closes; the oldest one is closed if there are too many.
    fn linger(&mut self, client: LingeringClose) {
        self.lingering.push_back(client);
        let max_lingering = self.budget().lingering;
        while self.lingering.len() > max_lingering {
            self.lingering.pop_front();
        }
    }

    /// Reads lingering clients that are ready, and drops those that are done.
    fn read_lingering(&mut self, ready: &[bool]) {
        for (client, _) in self
            .lingering
            .iter_mut()
            .zip(ready)
            .filter(|(_, ready)| **ready)
        {
            client.on_ready();
        }
        self.lingering.retain(|client| !client.is_done());
    }

    /// Reads the handshakes that are ready.
    fn read_handshakes(&mut self, ready: &[bool]) {
        let mut index = 0;
        for is_ready in ready {
            let Some(handshake) = self.handshakes.get_mut(index).filter(|_| *is_ready) else {
                index += 1;
                continue;
            };
            let outcome = read_handshake_guarded(&**self.front, handshake, self.core);
            if matches!(outcome, HandshakeOutcome::Incomplete) {
                index += 1;
            } else if let Some(handshake) = self.handshakes.remove(index) {
                self.finish_handshake(handshake, outcome);
            }
        }
    }

    /// Admits, rejects or drops a client whose handshake has an outcome.
    fn finish_handshake(&mut self, handshake: Handshake, outcome: HandshakeOutcome<F::Request>) {
        match outcome {
            HandshakeOutcome::Rejected(Rejection { answer, reason }) => {
                self.rejections
                    .warn(self.front.name(), "handshake rejected", &reason);
                self.reject(handshake.client, &answer);
            }
            HandshakeOutcome::Complete(request) => {
                self.admit_client(handshake.client, request, handshake.read_buffer)
            }
            HandshakeOutcome::Closed | HandshakeOutcome::Incomplete => {}
        }
    }

    /// Has a client whose handshake is complete admitted once there is a place for it.
    fn admit_client(&mut self, client: TcpStream, request: F::Request, read_buffer: ReadBuffer) {
        self.place_queue.push(AwaitingPlace {
            client,
            request,
            read_buffer,
            queued_at: Instant::now(),
        });
        self.serve_place_queue();
    }

    /// Admits the clients for which there are places, and rejects those that can't wait.
    fn serve_place_queue(&mut self) {
        while !self.place_queue.is_empty() {
            let Some(slot) = self.core.reserve_connection(self.budget().connections) else {
                break;
            };
            if let Some(waiting) = self.place_queue.pop() {
                self.admit_at_place(waiting, slot);
            }
        }
        while let Some(client) = self.place_queue.pop_rejected(!self.has_room_for_one()) {
            self.rejections.warn(
                self.front.name(),
                "too many connections",
                &"rejected a client",
            );
            self.reject(client, &self.front.encode(ClientMessage::Rejected(None)));
        }
    }

    fn admit_at_place(&mut self, waiting: AwaitingPlace<F::Request>, slot: ConnectionSlot) {
        let AwaitingPlace {
            client,
            request,
            read_buffer,
            ..
        } = waiting;
        let client_connection =
            ClientConnection::new(&**self.front, client, read_buffer.into_rest());
        let admission = CompletedHandshake {
            client_connection,
            request,
            slot,
        };
        let max_pending = (self.budget().connections / PENDING_ADMISSIONS_DIVISOR)
            .clamp(1, MAX_PENDING_ADMISSIONS);
        if let Some(rejected) = self.admissions.admit(admission, max_pending) {
            self.linger(rejected);
        }
    }

    /// Takes over the clients that were rejected on admission threads.
    fn take_rejected(&mut self) {
        let rejected: Vec<LingeringClose> = self.admissions.take_rejected().collect();
        for client in rejected {
            self.linger(client);
        }
    }

    /// Closes handshakes that timed out, and all of them once none is accepted any more.
    fn expire_handshakes(&mut self) {
        let now = Instant::now();
        let accepts_handshakes = self.core.lifecycle().accepts_handshakes();
        let mut index = 0;
        while let Some(handshake) = self.handshakes.get_mut(index) {
            if accepts_handshakes
                && now < handshake.deadline_at(&**self.front, self.drain_started_at)
            {
                index += 1;
                continue;
            }
            // A complete handshake may have arrived since the last poll.
            let outcome = read_handshake_guarded(&**self.front, handshake, self.core);
            let is_expired = !accepts_handshakes
                || now >= handshake.deadline_at(&**self.front, self.drain_started_at);
            if matches!(outcome, HandshakeOutcome::Incomplete) && !is_expired {
                index += 1;
                continue;
            }
            let Some(handshake) = self.handshakes.remove(index) else {
                return;
            };
            if matches!(outcome, HandshakeOutcome::Incomplete) {
                self.expire(handshake);
            } else {
                self.finish_handshake(handshake, outcome);
            }
        }
        self.lingering.retain(|client| !client.is_done());
    }

    /// Closes a client whose handshake timed out. An idle one gets a rejection, after which it may
    /// retry; the rejection also answers a request that is in transit.
    fn expire(&mut self, handshake: Handshake) {
        if handshake.is_idle() {
            return self.reject(
                handshake.client,
                &self.front.encode(ClientMessage::Rejected(None)),
            );
        }
        let Rejection { answer, reason } = self.front.handshake_error(HandshakeError::TimedOut);
        self.rejections
            .warn(self.front.name(), "handshake rejected", &reason);
        self.reject(handshake.client, &answer);
    }
}
