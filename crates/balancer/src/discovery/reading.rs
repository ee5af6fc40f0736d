//! Reading of a watch: bounds lists in size and time, and records the latest activity.

use std::cell::Cell;
use std::io::{self, BufReader, Read};
use std::time::{Duration, Instant};

use super::WATCH_TIMEOUT;

/// Longest list.
const MAX_LIST_BYTES: u64 = 4 << 20;
/// A list must be complete within this span. A discovery that sends single bytes is never silent,
/// and a list that never ends would block all later ones.
const MAX_LIST_SPAN: Duration = WATCH_TIMEOUT;

/// Activity of one call and its watch.
pub(super) struct WatchActivity {
    /// When anything last arrived, or when the call began.
    received_at: Cell<Instant>,
    /// When the first byte of an incomplete list arrived.
    list_started_at: Cell<Option<Instant>>,
    /// Bytes since the last list. Empty lines count for the next list and reach the bound only
    /// after months.
    bytes: Cell<u64>,
}

impl WatchActivity {
    /// Starts at the beginning of a call.
    pub(super) fn start() -> WatchActivity {
        WatchActivity {
            received_at: Cell::new(Instant::now()),
            list_started_at: Cell::new(None),
            bytes: Cell::new(0),
        }
    }

    /// Time since the last complete message.
    pub(super) fn quiet_for(&self) -> Duration {
        self.list_started_at
            .get()
            .unwrap_or(self.received_at.get())
            .elapsed()
    }

    /// Records that a list is complete.
    pub(super) fn list_ended(&self) {
        self.list_started_at.set(None);
        self.bytes.set(0);
    }
}

/// The body of a watch, for a parser that reads byte by byte.
pub(super) fn bounded_lists<R: Read>(body: R, activity: &WatchActivity) -> impl Read {
    let bounded = BoundedReader {
        inner: body,
        activity,
        has_failed: false,
    };
    ListStartReader {
        inner: BufReader::new(bounded),
        activity,
    }
}

/// Bounds what is read, including white space.
///
/// After a failed read nothing more is read: the parser would otherwise look for the end of each
/// open object and wait again.
struct BoundedReader<'a, R> {
    inner: R,
    activity: &'a WatchActivity,
    has_failed: bool,
}

impl<R: Read> BoundedReader<'_, R> {
    fn read_bounded(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let count = self.inner.read(into)?;
        let (activity, now) = (self.activity, Instant::now());
        activity.received_at.set(now);
        activity.bytes.set(activity.bytes.get() + count as u64);
        if activity.bytes.get() > MAX_LIST_BYTES {
            return Err(io::Error::other("a list is longer than 4 MiB"));
        }
        if activity
            .list_started_at
            .get()
            .is_some_and(|since| now - since > MAX_LIST_SPAN)
        {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "a list was not complete within 3.5 s",
            ));
        }
        Ok(count)
    }
}

impl<R: Read> Read for BoundedReader<'_, R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        if self.has_failed {
            return Err(io::Error::other("the watch has already failed"));
        }
        self.read_bounded(into)
            .inspect_err(|_| self.has_failed = true)
    }
}

/// Records when the first byte of a list arrived.
struct ListStartReader<'a, R> {
    inner: R,
    activity: &'a WatchActivity,
}

impl<R: Read> Read for ListStartReader<'_, R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let count = self.inner.read(into)?;
        if self.activity.list_started_at.get().is_none() && !into[..count].trim_ascii().is_empty() {
            self.activity
                .list_started_at
                .set(Some(self.activity.received_at.get()));
        }
        Ok(count)
    }
}
