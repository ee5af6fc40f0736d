//! The lifecycle of the process: one state, owned by the core. No I/O.
//!
//! `PING` from clients and `GET /status` from operators read the same state from an atomic, without
//! waiting for the core.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A core without a heartbeat for this long is not alive. It sends one at least every second.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// State of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum LifecycleState {
    /// It does not listen yet, knows no servers, or is recovering.
    Starting,
    /// It accepts clients.
    Serving,
    /// It accepts no clients, migrates those it has, and stays.
    Standby,
    /// It migrates its clients and exits.
    ShuttingDown,
}

impl LifecycleState {
    const ALL: [LifecycleState; 4] = [
        LifecycleState::Starting,
        LifecycleState::Serving,
        LifecycleState::Standby,
        LifecycleState::ShuttingDown,
    ];

    /// Name in the log and the API.
    pub fn name(self) -> &'static str {
        match self {
            LifecycleState::Starting => "starting",
            LifecycleState::Serving => "serving",
            LifecycleState::Standby => "standby",
            LifecycleState::ShuttingDown => "leaving",
        }
    }
}

/// A command that may change the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleCommand {
    /// The listener is served, or no longer.
    SetListening(bool),
    /// A server list was applied.
    ServersKnown,
    /// Recovery has begun or ended.
    SetRecovering(bool),
    /// An operator requests standby.
    EnterStandby,
    /// An operator requests service.
    LeaveStandby,
    /// The process shuts down.
    ShutDown,
}

/// The command is not possible in this state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandRefusedError(pub LifecycleState);

impl fmt::Display for CommandRefusedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the program is {}", self.0.name())
    }
}

/// The state and the conditions that it follows from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    is_listening: bool,
    knows_servers: bool,
    is_recovering: bool,
    is_standby: bool,
    is_shutting_down: bool,
}

impl Lifecycle {
    /// The state that follows from the conditions.
    pub fn state(&self) -> LifecycleState {
        match self {
            Lifecycle {
                is_shutting_down: true,
                ..
            } => LifecycleState::ShuttingDown,
            Lifecycle {
                is_standby: true, ..
            } => LifecycleState::Standby,
            Lifecycle {
                is_listening: true,
                knows_servers: true,
                is_recovering: false,
                ..
            } => LifecycleState::Serving,
            _ => LifecycleState::Starting,
        }
    }

    /// Applies a command. One that requests the present state changes nothing; a process that shuts
    /// down takes no more commands of operators.
    ///
    /// # Errors
    ///
    /// Fails if an operator's command comes during a shutdown.
    pub fn apply(
        &mut self,
        command: LifecycleCommand,
    ) -> Result<LifecycleState, CommandRefusedError> {
        match command {
            LifecycleCommand::SetListening(is_listening) => self.is_listening = is_listening,
            LifecycleCommand::ServersKnown => self.knows_servers = true,
            LifecycleCommand::SetRecovering(is_recovering) => self.is_recovering = is_recovering,
            LifecycleCommand::ShutDown => self.is_shutting_down = true,
            LifecycleCommand::EnterStandby | LifecycleCommand::LeaveStandby
                if self.is_shutting_down =>
            {
                return Err(CommandRefusedError(LifecycleState::ShuttingDown));
            }
            LifecycleCommand::EnterStandby => self.is_standby = true,
            LifecycleCommand::LeaveStandby => self.is_standby = false,
        }
        Ok(self.state())
    }
}

/// The lifecycle state as other threads see it.
#[derive(Clone, Debug)]
pub struct LifecycleView(Arc<SharedState>);

#[derive(Debug)]
struct SharedState {
    state: AtomicU8,
    /// Latest heartbeat of the core, in milliseconds since the origin.
    heartbeat_at: AtomicU64,
    origin: Instant,
    /// Unfinished handshakes, as the acceptor reports them.
    handshakes: AtomicUsize,
    /// Whether handshakes are closed because the process is about to exit.
    is_closed_to_handshakes: AtomicBool,
}

impl Default for LifecycleView {
    fn default() -> LifecycleView {
        LifecycleView::with_origin(Instant::now())
    }
}

impl LifecycleView {
    fn with_origin(origin: Instant) -> LifecycleView {
        let (state, heartbeat_at) = (
            AtomicU8::new(LifecycleState::Starting as u8),
            AtomicU64::new(0),
        );
        let (handshakes, is_closed_to_handshakes) = (AtomicUsize::new(0), AtomicBool::new(false));
        LifecycleView(Arc::new(SharedState {
            state,
            heartbeat_at,
            origin,
            handshakes,
            is_closed_to_handshakes,
        }))
    }

    /// Publishes the number of unfinished handshakes.
    pub fn set_handshakes(&self, count: usize) {
        self.0.handshakes.store(count, Ordering::SeqCst);
    }

    /// Requests that unfinished handshakes are closed from now on.
    pub fn close_handshakes(&self) {
        self.0.is_closed_to_handshakes.store(true, Ordering::SeqCst);
    }

    /// Whether handshakes are still read.
    pub fn accepts_handshakes(&self) -> bool {
        !self.0.is_closed_to_handshakes.load(Ordering::SeqCst)
    }

    /// Number of unfinished handshakes.
    pub fn handshakes(&self) -> usize {
        self.0.handshakes.load(Ordering::SeqCst)
    }

    /// Publishes a state to other threads.
    pub fn set_state(&self, state: LifecycleState) {
        self.0.state.store(state as u8, Ordering::SeqCst);
    }

    /// Publishes a heartbeat of the core.
    pub fn record_heartbeat(&self) {
        let elapsed_ms = u64::try_from(self.0.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.0.heartbeat_at.store(elapsed_ms, Ordering::Relaxed);
    }

    /// The state last published by the core.
    pub fn state(&self) -> LifecycleState {
        let index = usize::from(self.0.state.load(Ordering::SeqCst));
        LifecycleState::ALL
            .get(index)
            .copied()
            .unwrap_or(LifecycleState::Starting)
    }

    /// Whether the core has sent a heartbeat recently.
    pub fn is_core_alive(&self) -> bool {
        let heartbeat_at = Duration::from_millis(self.0.heartbeat_at.load(Ordering::Relaxed));
        self.0.origin.elapsed().saturating_sub(heartbeat_at) < STALL_TIMEOUT
    }

    /// Whether clients are accepted.
    pub fn is_ready(&self) -> bool {
        self.state() == LifecycleState::Serving && self.is_core_alive()
    }
}

#[cfg(test)]
mod tests;
