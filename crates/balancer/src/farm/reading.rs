//! What is read of a watch: each list is bounded in its length and in the time that it may take, and it is known when
//! something was heard last.

use std::cell::Cell;
use std::io::{self, BufReader, Read};
use std::time::{Duration, Instant};

use super::SILENCE;

/// Longest list, so that a peer gone wrong costs no more memory than this.
const LONGEST_LIST: u64 = 4 << 20;
/// A list that has begun is whole by then. Guards against a discovery that goes on byte by byte: no single read is
/// silent, and what comes after the list is never heard.
const LONGEST_SPAN: Duration = SILENCE;

/// What has been heard of one call and its watch.
pub(super) struct Hearing {
    /// When something came last, an empty line too; the call's beginning before that.
    heard_at: Cell<Instant>,
    /// Since when a list has been coming that is not whole.
    list_since: Cell<Option<Instant>>,
    /// Bytes since the last list's end. The empty lines that come while nothing changes count for the next list, and
    /// reach the bound after months.
    bytes: Cell<u64>,
}

impl Hearing {
    /// A call begins.
    pub(super) fn begin() -> Hearing {
        Hearing {
            heard_at: Cell::new(Instant::now()),
            list_since: Cell::new(None),
            bytes: Cell::new(0),
        }
    }

    /// For how long nothing whole has been heard.
    pub(super) fn quiet(&self) -> Duration {
        self.list_since
            .get()
            .unwrap_or(self.heard_at.get())
            .elapsed()
    }

    /// A list is whole.
    pub(super) fn list_ended(&self) {
        self.list_since.set(None);
        self.bytes.set(0);
    }
}

/// The lists of a watch, for a parser that reads byte by byte.
pub(super) fn lists_of<R: Read>(body: R, hearing: &Hearing) -> impl Read {
    let bounded = Bounded {
        from: body,
        hearing,
        failed: false,
    };
    Marked {
        from: BufReader::new(bounded),
        hearing,
    }
}

/// What comes is bounded, white space too: a text without an end may be all blanks.
///
/// After a failed read there is none. Guards against a parser that reads on after it: it looks for the end of each
/// object and array that stands open, and a watch that falls silent inside an entry would be waited for again and again.
struct Bounded<'a, R> {
    from: R,
    hearing: &'a Hearing,
    failed: bool,
}

impl<R: Read> Bounded<'_, R> {
    fn read_on(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let count = self.from.read(into)?;
        let (hearing, now) = (self.hearing, Instant::now());
        hearing.heard_at.set(now);
        hearing.bytes.set(hearing.bytes.get() + count as u64);
        if hearing.bytes.get() > LONGEST_LIST {
            return Err(io::Error::other("a list without an end"));
        }
        if hearing
            .list_since
            .get()
            .is_some_and(|since| now - since > LONGEST_SPAN)
        {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "a list that takes too long",
            ));
        }
        Ok(count)
    }
}

impl<R: Read> Read for Bounded<'_, R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        if self.failed {
            return Err(io::Error::other("the watch is over"));
        }
        self.read_on(into).inspect_err(|_| self.failed = true)
    }
}

/// Marks the moment at which a list begins: the first byte that is no blank.
struct Marked<'a, R> {
    from: R,
    hearing: &'a Hearing,
}

impl<R: Read> Read for Marked<'_, R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let count = self.from.read(into)?;
        if self.hearing.list_since.get().is_none() && !into[..count].trim_ascii().is_empty() {
            self.hearing
                .list_since
                .set(Some(self.hearing.heard_at.get()));
        }
        Ok(count)
    }
}
