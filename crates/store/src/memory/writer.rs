//! A writer that accepts changes without blocking and writes them on a thread of its own.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, select};
use tracing::{info, warn};

use super::queue::Queue;
use super::{Change, Memory, Record};

/// Limits of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of waiting changes; as many again may be being written.
    pub queue_bytes: usize,
    /// Size of the journal at which it is merged into the snapshot, in bytes.
    pub journal_bytes: u64,
    /// Interval of batches.
    pub every: Duration,
    /// Interval of retries after a failed batch.
    pub retry: Duration,
    /// A batch that takes longer is logged.
    pub slow: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            queue_bytes: 32 << 20,
            journal_bytes: 16 << 20,
            every: Duration::from_millis(250),
            retry: Duration::from_secs(1),
            slow: Duration::from_secs(5),
        }
    }
}

/// State changes of the disk, each reported once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskEvent {
    /// Writes fail.
    Ailing(String),
    /// A write is slow.
    Slow(Duration),
    /// Writes succeed again.
    Recovered,
    /// The file was recreated, with the reason.
    BegunAnew(String),
}

impl fmt::Display for DiskEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiskEvent::Ailing(why) => {
                write!(f, "the disk takes nothing, serving on without: {why}")
            }
            DiskEvent::Slow(took) => {
                write!(f, "the disk is slow: a batch took {} ms", took.as_millis())
            }
            DiskEvent::Recovered => {
                f.write_str("the disk is well again, what was kept meanwhile is written")
            }
            DiskEvent::BegunAnew(why) => write!(f, "the file is begun anew: {why}"),
        }
    }
}

/// Counters of a writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Changes written.
    pub written: u64,
    /// Changes evicted beyond the bound.
    pub evicted: u64,
    /// Failed batches.
    pub failed: u64,
    /// Waiting changes, without those being written.
    pub waiting: u64,
    /// Their bytes, with overhead.
    pub waiting_bytes: u64,
    /// Whether the last batch failed or was slow.
    pub degraded: bool,
}

/// State shared with the thread. The lock is held for one change or one swap of the queue, never
/// during a write.
#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    written: AtomicU64,
    evicted: AtomicU64,
    failed: AtomicU64,
    degraded: AtomicBool,
    wants_all: AtomicBool,
}

#[derive(Default)]
struct Waiting {
    queue: Queue,
    /// Senders that wait for the next batch, told whether it succeeded.
    flushes: Vec<Sender<bool>>,
    ending: bool,
}

impl Shared {
    /// The contents are replaced as a whole, so they are valid even after a panic.
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts changes of a memory. Only [`Writer::flush`] and [`Writer::end`] wait for the disk.
/// A later change replaces a waiting one of the same subject. Beyond the bound, records of the
/// highest kind number are evicted first, and among them the greatest subject; removals are evicted
/// last. Evicted changes are counted, and requested again once the disk has recovered
/// ([`Writer::wants_all`]).
pub struct Writer {
    shared: Arc<Shared>,
    bound: usize,
    /// Signals that changes wait.
    waker: Sender<()>,
    /// Signals that changes wait that must be written at once.
    urgent: Sender<()>,
    ended: Receiver<()>,
}

impl Writer {
    /// Starts the writer of a memory; events of its disk are logged.
    pub fn spawn(memory: Memory) -> Result<Writer, String> {
        Writer::spawn_with(memory, Limits::default(), |notice| match notice {
            DiskEvent::Recovered => info!(part = "memory", "{notice}"),
            _ => warn!(part = "memory", "{notice}"),
        })
    }

    /// The same within given limits; `say` receives events of the disk, on the writer's thread.
    pub fn spawn_with(
        mut memory: Memory,
        limits: Limits,
        say: impl FnMut(DiskEvent) + Send + 'static,
    ) -> Result<Writer, String> {
        memory.bound_journal(limits.journal_bytes);
        let shared = Arc::new(Shared::default());
        let (waker, bells) = bounded(1);
        let (urgent, urgents) = bounded(1);
        let (end, ended) = bounded(1);
        let work = Work {
            memory,
            limits,
            shared: Arc::clone(&shared),
            bells,
            urgents,
            say,
        };
        let run = move || {
            // The file is closed before the end is reported.
            work.run();
            let _ = end.send(());
        };
        let thread = thread::Builder::new().name("memory".into()).spawn(run);
        thread.map_err(|error| format!("thread memory: {error}"))?;
        Ok(Writer {
            shared,
            bound: limits.queue_bytes,
            waker,
            urgent,
            ended,
        })
    }

    /// Stores a record in place of an earlier one of its subject.
    pub fn remember(&self, record: Record) {
        self.change(Change::Keep(record));
    }

    /// Removes the record of a subject.
    pub fn forget(&self, kind: u32, subject: Vec<u8>) {
        self.change(Change::Forget { kind, subject });
    }

    fn change(&self, change: Change) {
        let mut waiting = self.shared.lock();
        let gave_way = waiting.queue.put(change, self.bound);
        let first = waiting.queue.len() == 1;
        drop(waiting);
        if gave_way > 0 {
            self.shared.evicted.fetch_add(gave_way, Ordering::Relaxed);
        }
        if first {
            ring(&self.waker);
        }
    }

    /// Whether everything must be stored again, because changes were evicted or the file was lost.
    /// Reset by the call.
    pub fn wants_all(&self) -> bool {
        self.shared.wants_all.swap(false, Ordering::Relaxed)
    }

    /// The counters.
    pub fn counts(&self) -> Counts {
        let Shared {
            written,
            evicted,
            failed,
            degraded,
            ..
        } = &*self.shared;
        let waiting = self.shared.lock();
        Counts {
            written: written.load(Ordering::Relaxed),
            evicted: evicted.load(Ordering::Relaxed),
            failed: failed.load(Ordering::Relaxed),
            waiting: waiting.queue.len() as u64,
            waiting_bytes: waiting.queue.bytes() as u64,
            degraded: degraded.load(Ordering::Relaxed),
        }
    }

    /// Waits until everything is written, at most this long; returns whether it is.
    pub fn flush(&self, within: Duration) -> bool {
        let (done, told) = bounded(1);
        self.shared.lock().flushes.push(done);
        ring(&self.urgent);
        told.recv_timeout(within).unwrap_or(false)
    }

    /// Writes what waits and closes the file, waiting at most this long; returns whether everything
    /// is written.
    pub fn end(self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        let (done, told) = bounded(1);
        let mut waiting = self.shared.lock();
        waiting.flushes.push(done);
        waiting.ending = true;
        drop(waiting);
        ring(&self.urgent);
        let written = told.recv_timeout(within).unwrap_or(false);
        let _ = self.ended.recv_deadline(deadline);
        written
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.shared.lock().ending = true;
        ring(&self.urgent);
    }
}

/// A full channel has a signal already.
fn ring(bell: &Sender<()>) {
    let _ = bell.try_send(());
}

/// The wall clock, in Unix milliseconds.
fn wall_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// The thread's side.
struct Work<S> {
    memory: Memory,
    limits: Limits,
    shared: Arc<Shared>,
    bells: Receiver<()>,
    urgents: Receiver<()>,
    say: S,
}

impl<S: FnMut(DiskEvent)> Work<S> {
    fn run(mut self) {
        let mut gave_way_before = 0;
        loop {
            let Waiting {
                queue,
                flushes,
                ending,
            } = std::mem::take(&mut *self.shared.lock());
            let done = queue.len() == 0 || self.write(queue);
            // A receiver may have stopped waiting.
            for flush in flushes {
                let _ = flush.try_send(done);
            }
            if ending {
                return;
            }
            let gave_way = self.shared.evicted.load(Ordering::Relaxed);
            if done && gave_way != gave_way_before {
                gave_way_before = gave_way;
                self.shared.wants_all.store(true, Ordering::Relaxed);
            }
            self.pause(done);
        }
    }

    /// Waits until the next batch is due.
    fn pause(&self, done: bool) {
        let spacing = if done {
            self.limits.every
        } else {
            self.limits.retry
        };
        if self.urgents.recv_timeout(spacing) != Err(RecvTimeoutError::Timeout) || !done {
            return;
        }
        select! {
            recv(self.bells) -> _ => {}
            recv(self.urgents) -> _ => {}
        }
    }

    fn write(&mut self, queue: Queue) -> bool {
        let changes: Vec<Change> = queue.into_changes().collect();
        let began = Instant::now();
        let done = self.memory.write(&changes, wall_ms());
        let took = began.elapsed();
        match done {
            Ok(written) => {
                self.shared
                    .written
                    .fetch_add(changes.len() as u64, Ordering::Relaxed);
                if let Some(why) = written.begun_anew {
                    self.shared.wants_all.store(true, Ordering::Relaxed);
                    (self.say)(DiskEvent::BegunAnew(why));
                }
                let slow = took > self.limits.slow;
                self.ails(slow, || DiskEvent::Slow(took));
                true
            }
            Err(why) => {
                self.shared.failed.fetch_add(1, Ordering::Relaxed);
                self.ails(true, || DiskEvent::Ailing(why.0));
                self.put_back(changes);
                false
            }
        }
    }

    /// Reports once that the disk fails, and once that it has recovered.
    fn ails(&mut self, ails: bool, notice: impl FnOnce() -> DiskEvent) {
        let before = self.shared.degraded.swap(ails, Ordering::Relaxed);
        match (before, ails) {
            (false, true) => (self.say)(notice()),
            (true, false) => (self.say)(DiskEvent::Recovered),
            _ => {}
        }
    }

    /// Puts a failed batch back under later changes.
    fn put_back(&mut self, changes: Vec<Change>) {
        let bound = self.limits.queue_bytes;
        let mut batch = Queue::default();
        let mut gave_way: u64 = changes
            .into_iter()
            .map(|change| batch.put(change, bound))
            .sum();
        // Most of the merge runs without the lock, so that callers do not wait for it.
        for _ in 0..4 {
            let later = std::mem::take(&mut self.shared.lock().queue);
            let few = later.len() <= 16;
            gave_way += batch.take_over(later, bound);
            if few {
                break;
            }
        }
        let mut waiting = self.shared.lock();
        let later = std::mem::take(&mut waiting.queue);
        gave_way += batch.take_over(later, bound);
        waiting.queue = batch;
        drop(waiting);
        self.shared.evicted.fetch_add(gave_way, Ordering::Relaxed);
    }
}
