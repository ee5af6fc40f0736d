//! Admission of clients whose handshake is complete.
//!
//! A front whose admission may block is called on a fixed number of threads. Clients wait for them
//! in a bounded queue that serves their accounts in turn: whatever one account's clients send,
//! others are delayed by little and find room.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};

use super::fair_queue::FairQueue;
use crate::attempt::WaitingClient;
use crate::connections::event_loop::{Admitted, ConnectionsHandle};
use crate::connections::lingering::LingeringClose;
use crate::connections::relay::ClientConnection;
use crate::core::ConnectionSlot;
use crate::front::{Admission, ClientMessage, Front, Rejection};
use crate::log::RateLimitedLog;

/// Threads on which a front's admission may block.
const ADMISSION_THREADS: usize = 8;
/// A client that waits longer is rejected without a call of the front: together with its handshake
/// it is answered within 3 s of connecting.
const MAX_ADMISSION_WAIT: Duration = Duration::from_millis(800);

/// Interval at which clients that have left while they waited are looked for.
const LEFT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A completed handshake.
pub(super) struct CompletedHandshake<F: Front> {
    pub(super) client_connection: ClientConnection,
    pub(super) request: F::Request,
    pub(super) slot: ConnectionSlot,
}

/// Where admitted and rejected clients go.
struct Outcomes<F: Front> {
    connections: ConnectionsHandle<F>,
    rejections: Arc<RateLimitedLog>,
}

impl<F: Front> Clone for Outcomes<F> {
    fn clone(&self) -> Outcomes<F> {
        Outcomes {
            connections: self.connections.clone(),
            rejections: Arc::clone(&self.rejections),
        }
    }
}

impl<F: Front> Outcomes<F> {
    /// Passes a client on to the connections, or returns it with its rejection.
    fn finish(
        &self,
        front: &F,
        (client, slot): (ClientConnection, ConnectionSlot),
        admission: Admission<F::ServerHandshake>,
    ) -> Option<LingeringClose> {
        match admission {
            Ok((request, server_handshake)) => {
                self.connections.admit(Admitted {
                    connection: client,
                    request,
                    server_handshake,
                    slot,
                });
                None
            }
            Err(Rejection { answer, reason }) => {
                self.rejections
                    .warn(front.name(), "handshake rejected", &reason);
                Some(client.close_with(&answer))
            }
        }
    }
}

/// Admits clients, on threads where the front may block.
pub(super) struct Admissions<F: Front> {
    front: Arc<F>,
    outcomes: Outcomes<F>,
    pending: Arc<PendingAdmissions<F>>,
    /// Clients that were rejected on the threads.
    rejected: Receiver<LingeringClose>,
    /// When clients that have left were last looked for.
    left_checked_at: Instant,
}

/// The clients that wait for a thread.
struct PendingAdmissions<F: Front> {
    queue: Mutex<FairQueue<PendingAdmission<F>>>,
    added: Condvar,
}

struct PendingAdmission<F: Front> {
    handshake: CompletedHandshake<F>,
    queued_at: Instant,
}

impl<F: Front> PendingAdmissions<F> {
    /// Locks the queue. It is valid between any two operations, so a poisoned lock can be used.
    fn lock(&self) -> MutexGuard<'_, FairQueue<PendingAdmission<F>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next client.
    fn next(&self) -> (String, PendingAdmission<F>) {
        let mut queue = self.lock();
        loop {
            if let Some(next) = queue.pop() {
                return next;
            }
            queue = self
                .added
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn finish(&self, account: &str) {
        self.lock().finish(account);
        // An entry of the same account may wait for this one.
        self.added.notify_one();
    }
}

impl<F: Front> Admissions<F> {
    /// Starts the threads, if the front needs them.
    pub(super) fn start(
        front: &Arc<F>,
        connections: &ConnectionsHandle<F>,
        rejections: &Arc<RateLimitedLog>,
    ) -> Admissions<F> {
        let (rejected_sender, rejected) = unbounded();
        let admissions = Admissions {
            front: Arc::clone(front),
            outcomes: Outcomes {
                connections: connections.clone(),
                rejections: Arc::clone(rejections),
            },
            pending: Arc::new(PendingAdmissions {
                queue: Mutex::default(),
                added: Condvar::new(),
            }),
            rejected,
            left_checked_at: Instant::now(),
        };
        let threads = if F::ADMIT_BLOCKS {
            ADMISSION_THREADS
        } else {
            0
        };
        for _ in 0..threads {
            if let Err(error) = admissions.start_thread(rejected_sender.clone()) {
                rejections.warn(front.name(), "could not start a thread", &error);
            }
        }
        admissions
    }

    fn start_thread(&self, rejected: Sender<LingeringClose>) -> std::io::Result<()> {
        let (front, outcomes) = (Arc::clone(&self.front), self.outcomes.clone());
        let pending = Arc::clone(&self.pending);
        let run = move || {
            loop {
                let (account, admission) = pending.next();
                if let Some(client) = admit_guarded(&*front, admission, &outcomes) {
                    // The acceptor has ended only if the program is about to end.
                    let _ = rejected.send(client);
                }
                // Afterwards, since the acceptor looks for rejected clients while any is pending.
                pending.finish(&account);
            }
        };
        std::thread::Builder::new()
            .name("admit".into())
            .stack_size(self.front.thread_stack_bytes())
            .spawn(run)
            .map(drop)
    }

    /// Admits a client, or has it wait for a thread while fewer than `max_pending` do. Returns a
    /// client that was rejected.
    pub(super) fn admit(
        &self,
        handshake: CompletedHandshake<F>,
        max_pending: usize,
    ) -> Option<LingeringClose> {
        let CompletedHandshake {
            client_connection,
            request,
            slot,
        } = handshake;
        let request = match self.front.admit_at_once(request) {
            Ok(admission) => {
                let client = (client_connection, slot);
                return self.outcomes.finish(&self.front, client, admission);
            }
            Err(request) => request,
        };
        let account = self.front.account(&request).to_owned();
        let admission = PendingAdmission {
            handshake: CompletedHandshake {
                client_connection,
                request,
                slot,
            },
            queued_at: Instant::now(),
        };
        let evicted = self.pending.lock().push(&account, admission, max_pending);
        self.pending.added.notify_one();
        evicted.map(|evicted| reject_unchecked(&*self.front, evicted, &self.outcomes))
    }

    /// Whether clients wait for a thread, are admitted on one, or were rejected on one.
    pub(super) fn is_any_pending(&self) -> bool {
        !self.pending.lock().is_idle() || !self.rejected.is_empty()
    }

    /// Drops the clients that have left while they waited, now and then.
    pub(super) fn drop_left(&mut self) {
        if self.left_checked_at.elapsed() < LEFT_CHECK_INTERVAL {
            return;
        }
        self.left_checked_at = Instant::now();
        self.pending
            .lock()
            .retain(|admission| admission.handshake.client_connection.read_early().is_ok());
    }

    /// The clients that were rejected on the threads since the last call.
    pub(super) fn take_rejected(&self) -> impl Iterator<Item = LingeringClose> {
        self.rejected.try_iter()
    }
}

/// Admits a client on this thread, unless it has left or waited for too long. A panic drops that
/// client alone.
fn admit_guarded<F: Front>(
    front: &F,
    admission: PendingAdmission<F>,
    outcomes: &Outcomes<F>,
) -> Option<LingeringClose> {
    let admit = std::panic::AssertUnwindSafe(|| admit(front, admission, outcomes));
    std::panic::catch_unwind(admit).unwrap_or(None)
}

fn admit<F: Front>(
    front: &F,
    mut admission: PendingAdmission<F>,
    outcomes: &Outcomes<F>,
) -> Option<LingeringClose> {
    if admission.handshake.client_connection.read_early().is_err() {
        return None;
    }
    if admission.queued_at.elapsed() >= MAX_ADMISSION_WAIT {
        return Some(reject_unchecked(front, admission, outcomes));
    }
    let CompletedHandshake {
        client_connection,
        request,
        slot,
    } = admission.handshake;
    let admitted = front.admit(request);
    outcomes.finish(front, (client_connection, slot), admitted)
}

/// Rejects a client for lack of room or time.
fn reject_unchecked<F: Front>(
    front: &F,
    admission: PendingAdmission<F>,
    outcomes: &Outcomes<F>,
) -> LingeringClose {
    outcomes.rejections.warn(
        front.name(),
        "handshake rejected",
        &"too many clients wait for admission",
    );
    let answer = front.encode(ClientMessage::Rejected(None));
    admission.handshake.client_connection.close_with(&answer)
}
