//! In-memory transports: a correct one, and variants with one defect each, which the suite has to detect.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::{End, LinkFault, Pair, Properties, Received, Subject};

/// The defect of a transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The transport is correct.
    None,
    /// Every second message overtakes the one before.
    Reorders,
    /// Every second message overtakes the one before while the link has jitter.
    ReordersUnderJitter,
    /// Messages sent during a partition are lost.
    LosesDuringPartition,
    /// The first fragment is taken for the complete message.
    TruncatesFragments,
    /// A partial message is delivered as complete when the connection closes.
    DeliversPartialAtClose,
    /// Messages that the link duplicates are delivered twice.
    DeliversDuplicates,
    /// Messages of any length are accepted.
    AcceptsOversized,
    /// Messages over `CAPACITY_MESSAGES` in transit are dropped.
    DropsWhenFull,
    /// A silent far end is never given up.
    NeverTimesOut,
    /// Neither a close nor a reset is reported.
    HidesClose,
    /// A close is reported as a reset, and a reset as a close.
    SwapsCloseAndReset,
}

const MAX_MESSAGE_BYTES: usize = 100;
const SILENCE_TIMEOUT: Duration = Duration::from_millis(60);
/// Messages in transit that a transport with [`Defect::DropsWhenFull`] holds in each direction.
const CAPACITY_MESSAGES: usize = 250;

#[derive(Clone, Copy, PartialEq)]
enum CloseState {
    Open,
    Closed,
    Reset,
}

/// One direction of a pair.
struct ModelDirection {
    messages: VecDeque<String>,
    held_back: VecDeque<String>,
    partial_message: String,
    close_state: CloseState,
    /// Time at which the oldest unanswered message was sent.
    unanswered_since: Option<Instant>,
}

struct State {
    fault: LinkFault,
    directions: Vec<ModelDirection>,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// An in-memory transport under test.
pub struct InMemory {
    defect: Defect,
    shared: Shared,
}

impl InMemory {
    /// Creates a transport with this defect.
    pub fn new(defect: Defect) -> InMemory {
        let state = State {
            fault: LinkFault::None,
            directions: Vec::new(),
        };
        InMemory {
            defect,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        }
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    // The state is valid after every step, so a poisoned lock can be used.
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Subject for InMemory {
    fn properties(&self) -> Properties {
        Properties {
            is_ordered: true,
            is_reliable: true,
            deduplicates: true,
            signals_close: true,
            max_message_bytes: MAX_MESSAGE_BYTES,
            silence_timeout: Some(SILENCE_TIMEOUT),
        }
    }

    /// Delivery in memory is immediate, so a short timeout suffices.
    fn delivery_timeout(&self) -> Duration {
        Duration::from_secs(1)
    }

    fn pair(&mut self) -> Pair {
        let first = {
            let mut state = lock(&self.shared);
            let direction = || ModelDirection {
                messages: VecDeque::new(),
                held_back: VecDeque::new(),
                partial_message: String::new(),
                close_state: CloseState::Open,
                unanswered_since: None,
            };
            state.directions.extend([direction(), direction()]);
            state.directions.len() - 2
        };
        let end = |outgoing, incoming, is_near| MemoryEnd {
            defect: self.defect,
            shared: Arc::clone(&self.shared),
            outgoing,
            incoming,
            is_near,
            move_requested: false,
        };
        (
            Box::new(end(first, first + 1, true)),
            Box::new(end(first + 1, first, false)),
        )
    }

    fn set_fault(&mut self, fault: LinkFault) {
        let mut state = lock(&self.shared);
        state.fault = fault;
        if fault != LinkFault::Partition {
            for direction in &mut state.directions {
                let held_back = std::mem::take(&mut direction.held_back);
                direction.messages.extend(held_back);
            }
        }
        self.shared.1.notify_all();
    }
}

struct MemoryEnd {
    defect: Defect,
    shared: Shared,
    outgoing: usize,
    incoming: usize,
    is_near: bool,
    move_requested: bool,
}

impl MemoryEnd {
    fn set_close_state(&self, close_state: CloseState) {
        let defect = self.defect;
        let close_state = match close_state {
            CloseState::Closed if defect == Defect::SwapsCloseAndReset => CloseState::Reset,
            CloseState::Reset if defect == Defect::SwapsCloseAndReset => CloseState::Closed,
            _ if defect == Defect::HidesClose => CloseState::Open,
            close_state => close_state,
        };
        lock(&self.shared).directions[self.outgoing].close_state = close_state;
        self.shared.1.notify_all();
    }
}

impl End for MemoryEnd {
    fn send(&mut self, message: &str) -> Result<(), String> {
        let (defect, outgoing) = (self.defect, self.outgoing);
        if message.len() > MAX_MESSAGE_BYTES && defect != Defect::AcceptsOversized {
            return Err(format!("message exceeds {MAX_MESSAGE_BYTES} bytes"));
        }
        let mut state = lock(&self.shared);
        let fault = state.fault;
        state.directions[self.incoming].unanswered_since = None;
        let direction = &mut state.directions[outgoing];
        direction.unanswered_since.get_or_insert_with(Instant::now);
        let message = match fault {
            LinkFault::Fragments(size) if defect == Defect::TruncatesFragments => {
                message[..size].to_owned()
            }
            _ => message.to_owned(),
        };
        if fault == LinkFault::Partition {
            if defect != Defect::LosesDuringPartition {
                direction.held_back.push_back(message);
            }
            return Ok(());
        }
        if defect == Defect::DropsWhenFull && direction.messages.len() >= CAPACITY_MESSAGES {
            return Ok(());
        }
        if fault == LinkFault::Duplicate && defect == Defect::DeliversDuplicates {
            direction.messages.push_back(message.clone());
        }
        direction.messages.push_back(message);
        let count = direction.messages.len();
        let reorders = defect == Defect::Reorders
            || defect == Defect::ReordersUnderJitter && fault == LinkFault::Jitter;
        if reorders && count.is_multiple_of(2) {
            direction.messages.swap(count - 1, count - 2);
        }
        self.shared.1.notify_all();
        Ok(())
    }

    fn send_partial(&mut self, message: &str, bytes: usize) {
        lock(&self.shared).directions[self.outgoing].partial_message = message[..bytes].to_owned();
    }

    fn receive(&mut self, within: Duration) -> Received {
        let deadline = Instant::now() + within;
        let mut state = lock(&self.shared);
        loop {
            let unanswered_since = state.directions[self.outgoing].unanswered_since;
            let direction = &mut state.directions[self.incoming];
            if direction.close_state == CloseState::Reset {
                return Received::Reset;
            }
            if let Some(message) = direction.messages.pop_front() {
                return Received::Message(message);
            }
            let partial_message = std::mem::take(&mut direction.partial_message);
            if direction.close_state == CloseState::Closed
                && self.defect == Defect::DeliversPartialAtClose
                && !partial_message.is_empty()
            {
                return Received::Message(partial_message);
            }
            direction.partial_message = partial_message;
            if direction.close_state == CloseState::Closed || self.move_requested {
                return Received::Closed;
            }
            let now = Instant::now();
            let gives_up_at = unanswered_since
                .filter(|_| self.is_near && self.defect != Defect::NeverTimesOut)
                .map(|unanswered_since| unanswered_since + SILENCE_TIMEOUT);
            if gives_up_at.is_some_and(|deadline_at| deadline_at <= now) {
                self.move_requested = true;
                return Received::MoveRequested;
            }
            if deadline <= now {
                return Received::Nothing;
            }
            let wait = gives_up_at.map_or(deadline, |deadline_at| deadline_at.min(deadline)) - now;
            state = self
                .shared
                .1
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn finish(&mut self) {
        self.set_close_state(CloseState::Closed);
    }

    fn reset(self: Box<Self>) {
        self.set_close_state(CloseState::Reset);
    }
}
