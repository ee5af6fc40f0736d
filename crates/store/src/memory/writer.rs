//! Accepts changes of a memory without blocking and writes them in batches on a separate thread.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, select};
use tracing::{info, warn};

use super::queue::Queue;
use super::{Change, Memory, Record};

/// Limits and intervals of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Limit on the bytes of queued changes. A batch being written may hold as many again.
    pub queue_bytes: usize,
    /// Size of the journal in bytes above which it is merged into the snapshot.
    pub journal_bytes: u64,
    /// Minimum interval between batches, which an urgent write cuts short.
    pub batch_interval: Duration,
    /// Delay of a retry after a failed batch.
    pub retry_interval: Duration,
    /// Duration above which a batch is reported as slow.
    pub slow_batch_threshold: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            queue_bytes: 32 << 20,
            journal_bytes: 16 << 20,
            batch_interval: Duration::from_millis(250),
            retry_interval: Duration::from_secs(1),
            slow_batch_threshold: Duration::from_secs(5),
        }
    }
}

/// A change of the disk's state, reported once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskEvent {
    /// Writes fail, with the error.
    Failing(String),
    /// A batch took this long, which is above the threshold.
    Slow(Duration),
    /// Writes succeed again.
    Recovered,
    /// The file was recreated and its former contents are lost, with the reason.
    FileRecreated(String),
}

impl fmt::Display for DiskEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiskEvent::Failing(reason) => {
                write!(
                    f,
                    "writes to the memory file fail, continuing without persistence: {reason}"
                )
            }
            DiskEvent::Slow(took) => {
                write!(
                    f,
                    "the disk is slow: writing a batch took {} ms",
                    took.as_millis()
                )
            }
            DiskEvent::Recovered => {
                f.write_str("the disk has recovered; changes queued in the meantime are written")
            }
            DiskEvent::FileRecreated(reason) => {
                write!(f, "the memory file was recreated: {reason}")
            }
        }
    }
}

/// Counters of a writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of changes written.
    pub written: u64,
    /// Number of changes evicted beyond the limit.
    pub evicted: u64,
    /// Number of failed batches.
    pub failed: u64,
    /// Number of queued changes, without those being written.
    pub pending: u64,
    /// Bytes of the queued changes, with overhead.
    pub pending_bytes: u64,
    /// Whether the last batch failed or was slow.
    pub is_degraded: bool,
}

/// State shared with the writer thread. The lock is held for one change or one swap of the queue, never
/// during a write.
#[derive(Default)]
struct Shared {
    pending: Mutex<PendingChanges>,
    written: AtomicU64,
    evicted: AtomicU64,
    failed: AtomicU64,
    degraded: AtomicBool,
    resync_requested: AtomicBool,
}

#[derive(Default)]
struct PendingChanges {
    queue: Queue,
    /// Senders that receive after the next batch whether it succeeded.
    flushes: Vec<Sender<bool>>,
    is_closing: bool,
}

impl Shared {
    /// Ignores poisoning: the contents are replaced as a whole, so they are valid even after a panic.
    fn lock(&self) -> MutexGuard<'_, PendingChanges> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts changes of a memory. Only [`Writer::flush`] and [`Writer::close`] wait for the disk.
/// A later change replaces a queued one of the same subject. Beyond the limit, records of the
/// highest kind are evicted first, and among them the greatest subject; deletions are evicted last.
/// Evicted changes are counted, and requested again once the disk has recovered
/// ([`Writer::take_resync_request`]).
pub struct Writer {
    shared: Arc<Shared>,
    max_queue_bytes: usize,
    /// Signals that changes are queued.
    waker: Sender<()>,
    /// Signals that queued changes must be written at once.
    urgent: Sender<()>,
    ended: Receiver<()>,
}

impl Writer {
    /// Starts the writer thread of a memory, which logs the events of its disk.
    pub fn spawn(memory: Memory) -> Result<Writer, String> {
        Writer::spawn_with(memory, Limits::default(), |event| match event {
            DiskEvent::Recovered => info!(part = "memory", "{event}"),
            _ => warn!(part = "memory", "{event}"),
        })
    }

    /// Like [`Writer::spawn`] with given limits; `on_event` is called on the writer thread.
    pub fn spawn_with(
        mut memory: Memory,
        limits: Limits,
        on_event: impl FnMut(DiskEvent) + Send + 'static,
    ) -> Result<Writer, String> {
        memory.set_journal_limit(limits.journal_bytes);
        let shared = Arc::new(Shared::default());
        let (waker, wake_signals) = bounded(1);
        let (urgent, urgent_signals) = bounded(1);
        let (ended_sender, ended) = bounded(1);
        let worker = WriterThread {
            memory,
            limits,
            shared: Arc::clone(&shared),
            wake_signals,
            urgent_signals,
            on_event,
        };
        let run = move || {
            // Closes the file before the end is reported.
            worker.run();
            let _ = ended_sender.send(());
        };
        let thread = thread::Builder::new().name("memory".into()).spawn(run);
        thread.map_err(|error| format!("cannot start the thread memory: {error}"))?;
        Ok(Writer {
            shared,
            max_queue_bytes: limits.queue_bytes,
            waker,
            urgent,
            ended,
        })
    }

    /// Queues a record, which replaces an earlier one of its kind and subject.
    pub fn put(&self, record: Record) {
        self.enqueue(Change::Put(record));
    }

    /// Queues the deletion of a record.
    pub fn delete(&self, kind: u32, subject: Vec<u8>) {
        self.enqueue(Change::Delete { kind, subject });
    }

    fn enqueue(&self, change: Change) {
        let mut pending = self.shared.lock();
        let evicted = pending.queue.put(change, self.max_queue_bytes);
        let is_first = pending.queue.len() == 1;
        drop(pending);
        if evicted > 0 {
            self.shared.evicted.fetch_add(evicted, Ordering::Relaxed);
        }
        if is_first {
            signal(&self.waker);
        }
    }

    /// Whether all records must be queued again, because changes were evicted or the file was lost.
    /// The call resets the request.
    pub fn take_resync_request(&self) -> bool {
        self.shared.resync_requested.swap(false, Ordering::Relaxed)
    }

    /// Current values of the counters.
    pub fn counts(&self) -> Counts {
        let Shared {
            written,
            evicted,
            failed,
            degraded,
            ..
        } = &*self.shared;
        let pending = self.shared.lock();
        Counts {
            written: written.load(Ordering::Relaxed),
            evicted: evicted.load(Ordering::Relaxed),
            failed: failed.load(Ordering::Relaxed),
            pending: pending.queue.len() as u64,
            pending_bytes: pending.queue.bytes() as u64,
            is_degraded: degraded.load(Ordering::Relaxed),
        }
    }

    /// Writes all queued changes, waiting at most `timeout`; returns whether they are written.
    pub fn flush(&self, timeout: Duration) -> bool {
        let (done, written) = bounded(1);
        self.shared.lock().flushes.push(done);
        signal(&self.urgent);
        written.recv_timeout(timeout).unwrap_or(false)
    }

    /// Writes all queued changes and closes the file, waiting at most `timeout`; returns whether they
    /// are written.
    pub fn close(self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let (done, written) = bounded(1);
        let mut pending = self.shared.lock();
        pending.flushes.push(done);
        pending.is_closing = true;
        drop(pending);
        signal(&self.urgent);
        let is_written = written.recv_timeout(timeout).unwrap_or(false);
        let _ = self.ended.recv_deadline(deadline);
        is_written
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.shared.lock().is_closing = true;
        signal(&self.urgent);
    }
}

/// Sends a signal. A full channel already contains one.
fn signal(sender: &Sender<()>) {
    let _ = sender.try_send(());
}

/// Current time of the wall clock, in Unix milliseconds.
fn unix_time_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// State of the writer thread.
struct WriterThread<S> {
    memory: Memory,
    limits: Limits,
    shared: Arc<Shared>,
    wake_signals: Receiver<()>,
    urgent_signals: Receiver<()>,
    on_event: S,
}

impl<S: FnMut(DiskEvent)> WriterThread<S> {
    fn run(mut self) {
        let mut evicted_before = 0;
        loop {
            let PendingChanges {
                queue,
                flushes,
                is_closing,
            } = std::mem::take(&mut *self.shared.lock());
            let is_written = queue.len() == 0 || self.write(queue);
            // A receiver may have stopped waiting.
            for flush in flushes {
                let _ = flush.try_send(is_written);
            }
            if is_closing {
                return;
            }
            let evicted = self.shared.evicted.load(Ordering::Relaxed);
            if is_written && evicted != evicted_before {
                evicted_before = evicted;
                self.shared.resync_requested.store(true, Ordering::Relaxed);
            }
            self.wait_for_next_batch(is_written);
        }
    }

    /// Waits until the next batch is due.
    fn wait_for_next_batch(&self, is_written: bool) {
        let interval = if is_written {
            self.limits.batch_interval
        } else {
            self.limits.retry_interval
        };
        if self.urgent_signals.recv_timeout(interval) != Err(RecvTimeoutError::Timeout)
            || !is_written
        {
            return;
        }
        select! {
            recv(self.wake_signals) -> _ => {}
            recv(self.urgent_signals) -> _ => {}
        }
    }

    fn write(&mut self, queue: Queue) -> bool {
        let changes: Vec<Change> = queue.into_changes().collect();
        let started_at = Instant::now();
        let result = self.memory.write(&changes, unix_time_ms());
        let duration = started_at.elapsed();
        match result {
            Ok(written) => {
                self.shared
                    .written
                    .fetch_add(changes.len() as u64, Ordering::Relaxed);
                if let Some(reason) = written.recreated_reason {
                    self.shared.resync_requested.store(true, Ordering::Relaxed);
                    (self.on_event)(DiskEvent::FileRecreated(reason));
                }
                let is_slow = duration > self.limits.slow_batch_threshold;
                self.update_disk_state(is_slow, || DiskEvent::Slow(duration));
                true
            }
            Err(reason) => {
                self.shared.failed.fetch_add(1, Ordering::Relaxed);
                self.update_disk_state(true, || DiskEvent::Failing(reason.0));
                self.requeue(changes);
                false
            }
        }
    }

    /// Reports once that the disk fails or is slow, and once that it has recovered.
    fn update_disk_state(&mut self, is_degraded: bool, event: impl FnOnce() -> DiskEvent) {
        let was_degraded = self.shared.degraded.swap(is_degraded, Ordering::Relaxed);
        match (was_degraded, is_degraded) {
            (false, true) => (self.on_event)(event()),
            (true, false) => (self.on_event)(DiskEvent::Recovered),
            _ => {}
        }
    }

    /// Puts a failed batch back into the queue, where later changes replace its own.
    fn requeue(&mut self, changes: Vec<Change>) {
        let max_bytes = self.limits.queue_bytes;
        let mut batch = Queue::default();
        let mut evicted: u64 = changes
            .into_iter()
            .map(|change| batch.put(change, max_bytes))
            .sum();
        // Most of the merge runs without the lock, so that callers do not wait for it.
        for _ in 0..4 {
            let later = std::mem::take(&mut self.shared.lock().queue);
            let is_caught_up = later.len() <= 16;
            evicted += batch.append(later, max_bytes);
            if is_caught_up {
                break;
            }
        }
        let mut pending = self.shared.lock();
        let later = std::mem::take(&mut pending.queue);
        evicted += batch.append(later, max_bytes);
        pending.queue = batch;
        drop(pending);
        self.shared.evicted.fetch_add(evicted, Ordering::Relaxed);
    }
}
