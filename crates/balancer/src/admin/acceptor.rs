//! Accepts callers of the API and reads their requests.
//!
//! One thread reads all requests, so that a caller without a complete and authorized request costs
//! a descriptor and no thread, and gives way to later callers.

use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tracing::warn;

use super::{Admin, MAX_REQUESTS};
use crate::connections::lingering::LingeringClose;
use crate::http::{
    self, EvictionRule, Reply, Request, RequestError, RequestProgress, RequestReader,
};
use crate::net::{self, ReadError, WriteBuffer};

/// Most callers whose request is incomplete. A further one evicts one of them.
const MAX_READING: usize = 16;
/// Most callers that are read after their answer.
const MAX_LINGERING: usize = 16;
/// Pause after a failed accept, which avoids a busy loop without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait for input.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for input while callers are connected, after which timeouts are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A caller whose request is incomplete.
struct Caller {
    stream: TcpStream,
    request: RequestReader,
    progress: RequestProgress,
}

/// The callers that no thread serves.
pub(super) struct Acceptor<'a> {
    admin: &'a Arc<Admin>,
    listener: &'a TcpListener,
    /// Callers with incomplete requests.
    reading: Vec<Caller>,
    eviction_rule: EvictionRule,
    /// Callers that were answered here, the oldest first.
    lingering: VecDeque<LingeringClose>,
}

impl<'a> Acceptor<'a> {
    /// Creates an acceptor on a non-blocking listener.
    pub(super) fn new(admin: &'a Arc<Admin>, listener: &'a TcpListener) -> Acceptor<'a> {
        Acceptor {
            admin,
            listener,
            reading: Vec::with_capacity(MAX_READING),
            eviction_rule: EvictionRule::default(),
            lingering: VecDeque::with_capacity(MAX_LINGERING),
        }
    }

    /// Waits for input once and handles it.
    pub(super) fn run_once(&mut self) {
        let now = Instant::now();
        let has_room = self.reading.len() < MAX_READING || self.eviction_candidate(now).is_some();
        let timeout = self.wait_timeout(now, has_room);
        let reading = self.reading.iter().map(|caller| Some(&caller.stream));
        let lingering = self.lingering.iter().map(LingeringClose::stream_to_read);
        let streams = reading.chain(lingering);
        let (is_listener_ready, ready) =
            net::wait_listener_or_streams(has_room.then_some(self.listener), streams, timeout);
        let (ready_reading, ready_lingering) = ready.split_at(self.reading.len());
        self.read_lingering(ready_lingering);
        self.read_ready(ready_reading);
        self.expire();
        if is_listener_ready {
            self.accept();
        }
    }

    /// Time until timeouts are to be checked or, without room, a caller may be evicted.
    fn wait_timeout(&self, now: Instant, has_room: bool) -> Duration {
        if self.reading.is_empty() && self.lingering.is_empty() {
            return MAX_WAIT;
        }
        let next_eviction_at = || {
            self.eviction_rule
                .next_eviction_at(self.reading_callers(), now)
        };
        match (!has_room).then(next_eviction_at).flatten() {
            Some(next_eviction_at) => next_eviction_at.saturating_duration_since(now),
            None => TICK_INTERVAL,
        }
    }

    fn read_lingering(&mut self, ready: &[bool]) {
        for (caller, is_ready) in self.lingering.iter_mut().zip(ready) {
            if *is_ready {
                caller.on_ready();
            }
        }
        self.lingering.retain(|caller| !caller.is_done());
    }

    fn read_ready(&mut self, ready: &[bool]) {
        let callers = std::mem::take(&mut self.reading);
        for (caller, is_ready) in callers.into_iter().zip(ready) {
            if *is_ready {
                self.read(caller);
            } else {
                self.reading.push(caller);
            }
        }
    }

    /// Reads what has arrived, and answers or keeps the caller. The loop is bounded by the longest
    /// request.
    fn read(&mut self, mut caller: Caller) {
        loop {
            match caller.request.parse() {
                Ok(Some(request)) => return self.serve(caller.stream, request),
                Ok(None) => {}
                Err(error) => return self.end(caller.stream, error),
            }
            match caller.request.read(&caller.stream, Instant::now()) {
                Ok(()) => caller.progress.record_input_at(Instant::now()),
                Err(ReadError::TimedOut) => return self.reading.push(caller),
                Err(error) => return self.end(caller.stream, RequestError::from(error)),
            }
        }
    }

    /// Ends a caller without a request.
    fn end(&mut self, stream: TcpStream, error: RequestError) {
        if let RequestError::Rejected(reply) = error {
            self.answer(stream, &reply);
        }
    }

    /// Answers a caller on this thread.
    fn answer(&mut self, stream: TcpStream, reply: &Reply) {
        if self.lingering.len() == MAX_LINGERING {
            self.lingering.pop_front();
        }
        let bytes = reply.bytes();
        self.lingering.push_back(LingeringClose::start(
            stream,
            WriteBuffer::default(),
            &bytes,
        ));
    }

    /// Serves a request on a thread of its own, if it is authorized and there are not too many.
    fn serve(&mut self, stream: TcpStream, request: Request) {
        if let Some(refusal) = self.admin.check_token(&request) {
            return self.answer(stream, &refusal);
        }
        if self.admin.requests.fetch_add(1, Ordering::Relaxed) >= MAX_REQUESTS {
            self.admin.requests.fetch_sub(1, Ordering::Relaxed);
            return self.answer(stream, &Reply::error(503, "too many concurrent requests"));
        }
        let admin = Arc::clone(self.admin);
        let handle = move || {
            // A panic must not leave the request counted as active.
            let reply = catch_unwind(AssertUnwindSafe(|| admin.answer(&request)))
                .unwrap_or_else(|_| Reply::error(500, "internal error; see the log"));
            http::write(&stream, &reply);
            admin.requests.fetch_sub(1, Ordering::Relaxed);
        };
        // The default stack size: hashing a password needs more than a connection's stack.
        if std::thread::Builder::new()
            .name("admin".into())
            .spawn(handle)
            .is_err()
        {
            self.admin.requests.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Answers callers whose request did not come in time.
    fn expire(&mut self) {
        let now = Instant::now();
        while let Some(index) = self
            .reading
            .iter()
            .position(|caller| now >= caller.progress.deadline_at())
        {
            let caller = self.reading.swap_remove(index);
            self.end(caller.stream, RequestError::from(ReadError::TimedOut));
        }
    }

    /// Accepts callers while there is room for them.
    fn accept(&mut self) {
        for _ in 0..MAX_READING {
            // A caller is evicted only for one that waits.
            if !net::has_waiting_connection(self.listener) || !self.make_room() {
                return;
            }
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if net::is_would_block(&error) => return,
                Err(error) => {
                    warn!(part = "admin", why = %error, "accept failed");
                    return std::thread::sleep(ACCEPT_PAUSE);
                }
            };
            if net::configure_stream(&stream).is_err() {
                continue;
            }
            // A request usually arrives with its connection.
            self.read(Caller {
                stream,
                request: RequestReader::new(http::MAX_REQUEST_BYTES),
                progress: RequestProgress::start_at(Instant::now()),
            });
        }
    }

    /// Index of the caller to evict for a further one.
    fn eviction_candidate(&self, now: Instant) -> Option<usize> {
        self.eviction_rule.candidate(self.reading_callers(), now)
    }

    /// The callers whose requests are incomplete, by index.
    fn reading_callers(&self) -> impl Iterator<Item = (usize, RequestProgress)> {
        let progress = self.reading.iter().map(|caller| caller.progress);
        progress.enumerate()
    }

    /// Whether there is room for one more caller, by eviction if necessary.
    fn make_room(&mut self) -> bool {
        if self.reading.len() < MAX_READING {
            return true;
        }
        let now = Instant::now();
        let Some(index) = self.eviction_candidate(now) else {
            return false;
        };
        let caller = self.reading.swap_remove(index);
        // The rest of the request may have arrived since the last wait. A caller whose request is
        // still incomplete is put last.
        self.read(caller);
        if self.reading.len() == MAX_READING
            && let Some(caller) = self.reading.pop()
        {
            self.eviction_rule.record_eviction(&caller.progress, now);
            let refusal = Reply::error(503, "too many concurrent callers");
            self.answer(caller.stream, &refusal);
        }
        true
    }
}
