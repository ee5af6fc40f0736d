//! Takes changes from the core without waiting, and writes them on a thread of its own.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, select};
use tracing::{info, warn};

use super::queue::Queue;
use super::{Change, Memory, Record};

/// Bounds of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of changes that wait for the disk; as many again may be at the disk.
    pub queue_bytes: usize,
    /// Bytes of the journal that go over into the snapshot.
    pub journal_bytes: u64,
    /// From one batch to the next.
    pub every: Duration,
    /// From a failed batch to the next attempt.
    pub retry: Duration,
    /// A batch that takes longer is said.
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

/// What a writer says, each once until the opposite is so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskEvent {
    /// The disk does not take what is written.
    Ailing(String),
    /// It takes its time.
    Slow(Duration),
    /// It is well again.
    Recovered,
    /// The file had to be begun anew: why.
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

/// What a writer has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Changes that are on the disk.
    pub written: u64,
    /// Changes that gave way to others for the bound in bytes.
    pub evicted: u64,
    /// Batches that failed.
    pub failed: u64,
    /// Changes that wait, without those that are at the disk.
    pub waiting: u64,
    /// Their bytes, with what each costs beside.
    pub waiting_bytes: u64,
    /// Whether the last batch failed or was slow.
    pub degraded: bool,
}

/// What the callers and the thread share. The lock is held for one change or for the swap of a queue, never while
/// the disk is at work.
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
    /// Those who wait for the next batch, with whether it succeeded.
    flushes: Vec<Sender<bool>>,
    ending: bool,
}

impl Shared {
    /// What is held here is replaced whole, so that a panic elsewhere leaves it sound.
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes changes of a memory. Nothing here waits for the disk but [`Writer::flush`] and [`Writer::end`].
///
/// While the disk is slow or ill a later change takes the place of an earlier one of the same subject. Beyond the
/// bound in bytes records of the kind with the highest number give way first, and among them those of the greatest
/// subject; what is to be forgotten gives way last. What gave way is counted, and asked for again when the disk is
/// well ([`Writer::wants_all`]).
pub struct Writer {
    shared: Arc<Shared>,
    bound: usize,
    /// Something waits.
    waker: Sender<()>,
    /// Something waits that can't wait for the next batch.
    urgent: Sender<()>,
    ended: Receiver<()>,
}

impl Writer {
    /// Writes what this memory is told, and logs what befalls its disk.
    pub fn spawn(memory: Memory) -> Result<Writer, String> {
        Writer::spawn_with(memory, Limits::default(), |notice| match notice {
            DiskEvent::Recovered => info!(part = "memory", "{notice}"),
            _ => warn!(part = "memory", "{notice}"),
        })
    }

    /// The same within given bounds; `say` gets what befalls the disk, on the writer's thread.
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
            // The file is let go of before the end is told.
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

    /// Remembers a record in the place of what is known of its subject.
    pub fn remember(&self, record: Record) {
        self.change(Change::Keep(record));
    }

    /// Forgets what is known of a subject.
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

    /// Whether all that is known must be told anew, since something gave way or the file was lost; asked once, it
    /// is taken as done.
    pub fn wants_all(&self) -> bool {
        self.shared.wants_all.swap(false, Ordering::Relaxed)
    }

    /// What has been done so far.
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

    /// Waits until all that was told is on the disk, but no longer than this; tells whether it is.
    pub fn flush(&self, within: Duration) -> bool {
        let (done, told) = bounded(1);
        self.shared.lock().flushes.push(done);
        ring(&self.urgent);
        told.recv_timeout(within).unwrap_or(false)
    }

    /// Writes what waits and lets go of the file, but waits no longer than this; tells whether all is written.
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

/// A full bell rings already.
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
            // One who has left waits no longer.
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

    /// Says once that the disk ails, and once that it is well.
    fn ails(&mut self, ails: bool, notice: impl FnOnce() -> DiskEvent) {
        let before = self.shared.degraded.swap(ails, Ordering::Relaxed);
        match (before, ails) {
            (false, true) => (self.say)(notice()),
            (true, false) => (self.say)(DiskEvent::Recovered),
            _ => {}
        }
    }

    /// Puts a batch that failed back under what was told since.
    fn put_back(&mut self, changes: Vec<Change>) {
        let bound = self.limits.queue_bytes;
        let mut batch = Queue::default();
        let mut gave_way: u64 = changes
            .into_iter()
            .map(|change| batch.put(change, bound))
            .sum();
        // Guards against a caller that waits while much is put together: but for the last few, it is done unlocked.
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
