//! The operations port: status, and entering and leaving standby, over HTTP. See
//! `docs/operations.md`.
//!
//! A single thread runs a non-blocking event loop. A caller is answered within a second under any
//! load, even if other callers send nothing. Its resources are reserved at the start.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use serde_json::json;
use tracing::{info, warn};

use crate::core::lifecycle::{CommandRefusedError, LifecycleCommand, LifecycleState};
use crate::core::{CoreHandle, CoreInput, LifecycleReply};
use crate::http::{EvictionRule, Reply, Request, RequestError, RequestProgress, RequestReader};
use crate::net::{self, Listener, ReadError, WriteBuffer};
use crate::poller::{EventFlags, Poller, Waker};

/// Maximum number of callers. A further caller evicts one of them.
const MAX_CALLERS: usize = 16;
/// File descriptors of the port: its callers, its listener and the two of its poller.
pub const DESCRIPTORS: usize = MAX_CALLERS + 3;
/// Maximum sizes of the head and of the body of a request.
const MAX_REQUEST_BYTES: (usize, usize) = (4 * 1024, 1024);
/// Timeout for the cores to apply a command. It is below the 1 s within which every caller is
/// answered.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which input of an answered caller is still read. Closing with unread input would send a
/// reset, which can destroy the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait without callers.
const IDLE_WAIT: Duration = Duration::from_secs(60);
/// Interval of timeout checks while callers are connected.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Poll token of the listener; callers have tokens from 1.
const LISTENER_TOKEN: u64 = 0;

/// The operations port, with its event loop.
pub struct Operations {
    listener: TcpListener,
    /// The events for which the listener is registered.
    listener_interest: EventFlags,
    poller: Poller,
    cores: Vec<CoreHandle>,
    callers: Vec<Caller>,
    eviction_rule: EvictionRule,
    next_id: u64,
    results: (Sender<CommandResult>, Receiver<CommandResult>),
}

/// The id of a caller, and the result of its command.
type CommandResult = (u64, Result<LifecycleState, CommandRefusedError>);

struct Caller {
    id: u64,
    stream: TcpStream,
    request: RequestReader,
    outgoing: WriteBuffer,
    progress: RequestProgress,
    state: CallerState,
    /// The events for which the stream is registered.
    interest: EventFlags,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallerState {
    /// The answer has been queued; input is discarded until the deadline.
    Answered(Instant),
    /// The request is incomplete.
    Reading,
    /// The cores are applying the command; it times out at the deadline.
    AwaitingCores(Instant),
    /// To be closed.
    Closed,
}

/// Creates the port, which commands all cores of the process.
///
/// # Errors
///
/// Returns an error if the poller can't be created or the listener can't be registered.
pub fn listen(
    Listener {
        socket: listener, ..
    }: Listener,
    cores: Vec<CoreHandle>,
) -> io::Result<Operations> {
    let poller = Poller::new()?;
    let listener_interest = EventFlags::IN;
    poller.set_interest(
        &listener,
        LISTENER_TOKEN,
        (EventFlags::empty(), listener_interest),
    )?;
    info!(part = "operations", on = %listener.local_addr()?, "serves");
    let callers = Vec::with_capacity(MAX_CALLERS);
    Ok(Operations {
        listener,
        listener_interest,
        poller,
        cores,
        callers,
        eviction_rule: EvictionRule::default(),
        next_id: LISTENER_TOKEN + 1,
        results: unbounded(),
    })
}

impl Operations {
    /// Serves callers until the process ends.
    pub fn run(mut self) {
        loop {
            let now = Instant::now();
            let has_room =
                self.callers.len() < MAX_CALLERS || self.eviction_candidate(now).is_some();
            self.poll_listener(has_room);
            let timeout = self.wait_timeout(now, has_room);
            let ready = self.poller.wait(timeout);
            // Existing callers come before new ones, so that a complete request is answered rather
            // than evicted.
            for id in ready.iter().filter(|token| **token != LISTENER_TOKEN) {
                self.with_caller(*id, Self::on_ready);
            }
            while let Ok((id, result)) = self.results.1.try_recv() {
                self.with_caller(id, |_, caller| {
                    if let CallerState::AwaitingCores(_) = caller.state {
                        caller.answer(&command_reply(result));
                    }
                });
            }
            let now = Instant::now();
            let expired_callers: Vec<u64> = self
                .callers
                .iter()
                .filter(|caller| caller.has_expired(now))
                .map(|caller| caller.id)
                .collect();
            for id in expired_callers {
                self.with_caller(id, |_, caller| caller.expire());
            }
            if ready.contains(&LISTENER_TOKEN) {
                self.accept();
            }
        }
    }

    /// Time until timeouts are to be checked or, without room, a caller may be evicted.
    fn wait_timeout(&self, now: Instant, has_room: bool) -> Duration {
        let next_eviction_at = || {
            self.eviction_rule
                .next_eviction_at(self.reading_callers(), now)
        };
        match (!has_room).then(next_eviction_at).flatten() {
            Some(next_eviction_at) => next_eviction_at.saturating_duration_since(now),
            None if self.callers.is_empty() => IDLE_WAIT,
            None => TICK_INTERVAL,
        }
    }

    /// Polls the listener only while there is room for a further caller, since it would otherwise
    /// end every wait.
    fn poll_listener(&mut self, has_room: bool) {
        let mut wanted = EventFlags::empty();
        wanted.set(EventFlags::IN, has_room);
        let interests = (self.listener_interest, wanted);
        match self
            .poller
            .set_interest(&self.listener, LISTENER_TOKEN, interests)
        {
            Ok(()) => self.listener_interest = wanted,
            Err(error) => warn!(part = "operations", why = %error, "poll failed"),
        }
    }

    /// Accepts callers while there is room for them.
    fn accept(&mut self) {
        for _ in 0..MAX_CALLERS {
            // A caller is evicted only for one that waits.
            if !net::has_waiting_connection(&self.listener) || !self.make_room() {
                return;
            }
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if net::is_would_block(&error) => return,
                Err(error) => {
                    warn!(part = "operations", why = %error, "accept failed");
                    // Without free descriptors the listener stays readable; the pause avoids a busy
                    // loop.
                    return std::thread::sleep(Duration::from_millis(10));
                }
            };
            if net::configure_stream(&stream).is_err() {
                continue;
            }
            let id = self.next_id;
            self.next_id += 1;
            self.callers.push(Caller {
                id,
                stream,
                request: RequestReader::new(MAX_REQUEST_BYTES),
                outgoing: WriteBuffer::default(),
                progress: RequestProgress::start_at(Instant::now()),
                state: CallerState::Reading,
                interest: EventFlags::empty(),
            });
            // A request usually arrives with its connection.
            self.with_caller(id, Self::on_ready);
        }
    }

    /// The ids of the callers whose requests are incomplete.
    fn reading_callers(&self) -> impl Iterator<Item = (u64, RequestProgress)> {
        self.callers
            .iter()
            .filter(|caller| caller.state == CallerState::Reading)
            .map(|caller| (caller.id, caller.progress))
    }

    /// The id of the caller to evict for a further one: an answered one if there is one, otherwise
    /// one whose request is incomplete. One that waits for the cores is evicted if all do.
    fn eviction_candidate(&self, now: Instant) -> Option<u64> {
        let oldest_of = |is_wanted: fn(&CallerState) -> bool| {
            self.callers
                .iter()
                .filter(|caller| is_wanted(&caller.state))
                .min_by_key(|caller| caller.progress.last_read_at())
                .map(|caller| caller.id)
        };
        let is_answered =
            |state: &CallerState| matches!(state, CallerState::Answered(_) | CallerState::Closed);
        if let Some(id) = oldest_of(is_answered) {
            return Some(id);
        }
        if self.reading_callers().next().is_none() {
            return oldest_of(|_| true);
        }
        self.eviction_rule.candidate(self.reading_callers(), now)
    }

    /// Whether there is room for one more caller, by eviction if necessary.
    fn make_room(&mut self) -> bool {
        while self.callers.len() == MAX_CALLERS {
            let now = Instant::now();
            let Some(id) = self.eviction_candidate(now) else {
                return false;
            };
            self.with_caller(id, |operations, caller| operations.evict(caller, now));
        }
        true
    }

    /// Closes a caller, with an answer if it has none. The rest of its request may have arrived
    /// since the last wait: a command is carried out then, and its caller stays for the result.
    fn evict(&mut self, caller: &mut Caller, now: Instant) {
        if caller.state == CallerState::Reading {
            self.on_ready(caller);
            match caller.state {
                CallerState::AwaitingCores(_) => return,
                CallerState::Reading => self.eviction_rule.record_eviction(&caller.progress, now),
                CallerState::Answered(_) | CallerState::Closed => {}
            }
        }
        if !matches!(caller.state, CallerState::Answered(_)) {
            caller.answer(&Reply::error(503, "too many concurrent callers"));
        }
        caller.state = CallerState::Closed;
    }

    /// Runs `act` on a caller, updates its poll events, and closes it on an error or in state
    /// `Closed`.
    fn with_caller(&mut self, id: u64, act: impl FnOnce(&mut Operations, &mut Caller)) {
        let Some(index) = self.callers.iter().position(|caller| caller.id == id) else {
            return;
        };
        let mut caller = self.callers.swap_remove(index);
        act(self, &mut caller);
        let interest = caller.interest_now();
        let updated = self
            .poller
            .set_interest(&caller.stream, id, (caller.interest, interest));
        caller.interest = interest;
        if updated.is_ok() && caller.state != CallerState::Closed {
            return self.callers.push(caller);
        }
        net::close(&caller.stream);
    }

    fn on_ready(&mut self, caller: &mut Caller) {
        match caller.state {
            CallerState::Answered(_) => {
                if !caller.outgoing.discard_input(&caller.stream) {
                    caller.state = CallerState::Closed;
                }
            }
            // The loop is bounded by the maximum size of a request.
            CallerState::Reading => {
                while caller.state == CallerState::Reading && self.read_once(caller) {}
            }
            CallerState::AwaitingCores(_) | CallerState::Closed => {}
        }
    }

    /// Reads once; returns whether more input may be available.
    fn read_once(&mut self, caller: &mut Caller) -> bool {
        let read_result = match caller.request.read(&caller.stream, Instant::now()) {
            Err(ReadError::TimedOut) => return false,
            read_result => read_result.map_err(RequestError::from),
        };
        match read_result.and_then(|()| caller.request.parse()) {
            Ok(Some(request)) => self.dispatch(caller, &request),
            Ok(None) => caller.progress.record_input_at(Instant::now()),
            Err(RequestError::Disconnected) => caller.state = CallerState::Closed,
            Err(RequestError::Rejected(reply)) => caller.answer(&reply),
        }
        true
    }

    fn dispatch(&mut self, caller: &mut Caller, request: &Request) {
        let path = request.path.split('?').next().unwrap_or_default();
        let command = match (path, request.method.as_str()) {
            ("/status", "GET") => return caller.answer(&self.status()),
            ("/standby", "POST") => LifecycleCommand::EnterStandby,
            ("/active", "POST") => LifecycleCommand::LeaveStandby,
            ("/status", _) => return caller.answer(&method_not_allowed("GET")),
            ("/standby" | "/active", _) => return caller.answer(&method_not_allowed("POST")),
            _ => return caller.answer(&Reply::error(404, "no such path")),
        };
        info!(part = "audit", command = ?command, who = %peer_address(&caller.stream), "operator command received");
        caller.state = CallerState::AwaitingCores(Instant::now() + COMMAND_TIMEOUT);
        let collector = Arc::new(CommandResults {
            remaining: AtomicUsize::new(self.cores.len()),
            caller: caller.id,
            results: self.results.0.clone(),
            waker: self.poller.waker(),
        });
        for core in &self.cores {
            let collector = Arc::clone(&collector);
            core.send(CoreInput::LifecycleCommanded {
                command,
                reply: Some(LifecycleReply::new(move |result| collector.record(result))),
            });
        }
    }

    fn status(&self) -> Reply {
        let lifecycles: Vec<_> = self.cores.iter().map(CoreHandle::lifecycle).collect();
        let ready = lifecycles.iter().all(|lifecycle| lifecycle.is_ready());
        // The first front that is not ready, or else the first front.
        let reported = lifecycles
            .iter()
            .find(|lifecycle| !lifecycle.is_ready())
            .or_else(|| lifecycles.first());
        let state = reported.map_or("starting", |lifecycle| lifecycle.state().name());
        let core = if lifecycles.iter().all(|lifecycle| lifecycle.is_core_alive()) {
            "works"
        } else {
            "silent"
        };
        let open: usize = self.cores.iter().map(CoreHandle::connections).sum();
        let body = json!({ "ready": ready, "state": state, "core": core, "connections": open });
        Reply::new(if ready { 200 } else { 503 }, body)
    }
}

/// Collects the results of one command from all cores.
struct CommandResults {
    remaining: AtomicUsize,
    caller: u64,
    results: Sender<CommandResult>,
    waker: Waker,
}

impl CommandResults {
    /// Records a core's result. The last result, or any refusal, is sent to the event loop.
    fn record(&self, result: Result<LifecycleState, CommandRefusedError>) {
        let last = self.remaining.fetch_sub(1, Ordering::SeqCst) == 1;
        if last || result.is_err() {
            // The event loop ignores results for a caller that was already answered.
            let _ = self.results.send((self.caller, result));
            self.waker.wake();
        }
    }
}

fn command_reply(result: Result<LifecycleState, CommandRefusedError>) -> Reply {
    match result {
        Ok(state) => Reply::new(200, json!({ "state": state.name() })),
        Err(refused) => Reply::error(409, refused.to_string()),
    }
}

fn method_not_allowed(allowed: &'static str) -> Reply {
    Reply::error(405, "method not allowed").with("Allow", allowed)
}

fn peer_address(stream: &TcpStream) -> String {
    stream
        .peer_addr()
        .map_or_else(|_| "gone".into(), |peer| peer.to_string())
}

impl Caller {
    fn answer(&mut self, reply: &Reply) {
        self.state = CallerState::Answered(Instant::now() + LINGER_TIMEOUT);
        self.outgoing.finish_with(&self.stream, &reply.bytes());
    }

    fn has_expired(&self, now: Instant) -> bool {
        match self.state {
            CallerState::Reading => now >= self.progress.deadline_at(),
            CallerState::Answered(until) | CallerState::AwaitingCores(until) => now >= until,
            CallerState::Closed => true,
        }
    }

    fn expire(&mut self) {
        match self.state {
            CallerState::Reading => {
                self.answer(&Reply::error(408, "timed out waiting for the request"))
            }
            CallerState::AwaitingCores(_) => self.answer(&Reply::error(
                503,
                "timed out waiting for the cores; query /status for the outcome",
            )),
            CallerState::Answered(_) | CallerState::Closed => self.state = CallerState::Closed,
        }
    }

    fn interest_now(&self) -> EventFlags {
        match self.state {
            CallerState::Answered(_) => {
                let mut flags = EventFlags::empty();
                flags.set(EventFlags::IN, self.outgoing.is_reading());
                flags.set(EventFlags::OUT, !self.outgoing.is_empty());
                flags
            }
            CallerState::Reading => EventFlags::IN,
            // No events are polled: a disconnect is noticed when the answer is written.
            CallerState::AwaitingCores(_) | CallerState::Closed => EventFlags::empty(),
        }
    }
}

#[cfg(test)]
mod tests;
