//! Drains: on standby and on shutdown all clients are migrated over a span of time, and pending
//! requests are served or answered. A standby can be reverted at any time.

use std::sync::atomic::Ordering;
use std::time::Duration;

use beaconflow_policy::Nanos;
use tracing::info;

use super::lifecycle::{CommandRefusedError, LifecycleCommand, LifecycleState};
use super::requests::RequestPhase;
use super::{ConnectionCommand, Core, TimerKind};

/// Longer deadlines count as this long when the exit is scheduled.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// A process may be killed this long after the longest deadline, both counted from SIGTERM.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Time between the exit and that moment, for the last answers and slow machines.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// The last migration and the answers to open requests come this long before the exit. A client in
/// the middle of a message migrates up to 0.7 s after the command.
const MIGRATION_MARGIN: Duration = Duration::from_millis(800);
/// Handshakes are closed this long before the exit, so that their answers can be read.
const HANDSHAKE_MARGIN: Duration = Duration::from_millis(400);
/// New requests are served for this fraction of the migration span.
const ACCEPT_FRACTION: f64 = 5.0 / 9.0;
/// New requests are served for at least this long: a load balancer in front keeps sending for 0.2
/// to 0.4 s.
const MIN_ACCEPT_SPAN: Duration = Duration::from_millis(500);
/// A process that shuts down runs at least this long, to serve new requests.
const MIN_SHUTDOWN_SPAN: Duration = Duration::from_millis(700);
/// Interval of the checks of a shutdown's progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A drain in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// Number of the drain; timers of an earlier one are ignored.
    number: u64,
    started_at: Nanos,
    schedule: DrainSchedule,
}

/// Schedule of a drain, with spans from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DrainSchedule {
    /// New requests are served during this span and migrated later.
    accept: Duration,
    /// Migrations are spread over this span; open requests get their final answer at its end.
    /// Clients that reconnect together would overload the servers.
    migrate: Duration,
    /// Handshakes are read until the end of this span.
    handshakes: Duration,
    /// The process exits at the end of this span at the latest.
    exit: Duration,
}

impl DrainSchedule {
    /// The schedule of a site with this longest deadline, after which the process may be killed.
    fn for_deadline(longest_deadline: Duration) -> DrainSchedule {
        let exit = longest_deadline.min(LONGEST_DEADLINE) + KILL_AFTER_DEADLINE - EXIT_MARGIN;
        let migrate = exit.saturating_sub(MIGRATION_MARGIN).max(exit / 2);
        let accept = migrate.mul_f64(ACCEPT_FRACTION).max(MIN_ACCEPT_SPAN);
        let handshakes = exit.saturating_sub(HANDSHAKE_MARGIN).max(exit / 2);
        DrainSchedule {
            accept,
            migrate,
            handshakes,
            exit,
        }
    }
}

impl Core {
    /// Applies a lifecycle command.
    pub(super) fn on_lifecycle_command(
        &mut self,
        command: LifecycleCommand,
    ) -> Result<LifecycleState, CommandRefusedError> {
        let before = self.lifecycle.state();
        let after = self.lifecycle.apply(command)?;
        if after == before {
            return Ok(after);
        }
        // Readiness changes before anything else, so that no probe is answered with the old state.
        self.lifecycle_view.set_state(after);
        info!(
            part = self.name,
            from = before.name(),
            to = after.name(),
            clients = self.requests.len(),
            "lifecycle state changed"
        );
        match after {
            LifecycleState::Standby | LifecycleState::ShuttingDown => self.begin_drain(),
            LifecycleState::Starting | LifecycleState::Serving => self.drain = None,
        }
        Ok(after)
    }

    /// Schedules the migration of all clients. Those that an earlier drain migrated are left out.
    fn begin_drain(&mut self) {
        self.drains += 1;
        let schedule = self.drain_schedule();
        self.drain = Some(Drain {
            number: self.drains,
            started_at: self.clock.now(),
            schedule,
        });
        let migratable: Vec<u64> = self.requests.migratable().map(|(id, _)| id).collect();
        let count = u32::try_from(migratable.len().max(1)).unwrap_or(u32::MAX);
        for (index, id) in (0..).zip(migratable) {
            self.offer_handover(id);
            self.set_timer(
                schedule.migrate * index / count,
                TimerKind::DrainMigration(self.drains, id),
            );
        }
        let first_check_after = if self.lifecycle.state() == LifecycleState::ShuttingDown {
            CHECK_INTERVAL
        } else {
            schedule.migrate
        };
        self.set_timer(first_check_after, TimerKind::DrainProgress(self.drains));
    }

    /// A process on standby is not killed, so its schedule does not depend on the deadlines.
    fn drain_schedule(&self) -> DrainSchedule {
        if self.lifecycle.state() != LifecycleState::ShuttingDown {
            return DrainSchedule::for_deadline(LONGEST_DEADLINE);
        }
        let longest = self
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max();
        DrainSchedule::for_deadline(Duration::from_nanos(longest.unwrap_or(0)))
    }

    /// A connection established during a drain migrates with the last of the others.
    pub(super) fn drain_established(&mut self, id: u64) {
        if let Some(drain) = self.drain {
            self.offer_handover(id);
            let left = drain.schedule.migrate.saturating_sub(self.drain_age(drain));
            self.set_timer(left, TimerKind::DrainMigration(drain.number, id));
        }
    }

    /// A process that shuts down hands over its connections where it can, and migrates the others.
    fn offer_handover(&mut self, id: u64) {
        if self.lifecycle.state() == LifecycleState::ShuttingDown {
            self.requests.send_command(id, ConnectionCommand::HandOver);
        }
    }

    /// Whether new requests are still served.
    pub(super) fn accepts_new_requests(&self) -> bool {
        self.drain
            .is_none_or(|drain| self.drain_age(drain) < drain.schedule.accept)
    }

    /// Migrates a client unless the drain was reverted.
    pub(super) fn migrate_in_drain(&mut self, number: u64, id: u64) {
        if self.drain.is_some_and(|drain| drain.number == number) {
            self.migrate(id, "this process is draining");
        }
    }

    pub(super) fn continue_drain(&mut self, number: u64) {
        let Some(drain) = self.drain.filter(|drain| drain.number == number) else {
            return;
        };
        if self.lifecycle.state() == LifecycleState::ShuttingDown {
            // A shutdown is checked repeatedly; on standby one check suffices, since no requests
            // follow.
            self.set_timer(CHECK_INTERVAL, TimerKind::DrainProgress(number));
            if self.drain_age(drain) >= drain.schedule.handshakes {
                self.lifecycle_view.close_handshakes();
            }
        }
        if self.drain_age(drain) >= drain.schedule.migrate {
            self.answer_pending_requests();
        }
    }

    /// Sends the final answer to requests that wait or are in flight.
    pub(super) fn answer_pending_requests(&mut self) {
        for (id, phase) in self.requests.phases() {
            if !matches!(phase, RequestPhase::Established(_)) {
                self.give_up_on(id);
            }
        }
    }

    fn drain_age(&self, drain: Drain) -> Duration {
        Duration::from_nanos(self.clock.now().saturating_sub(drain.started_at))
    }

    /// Whether the process has finished its shutdown, or has run out of time.
    pub(super) fn has_exited(&self) -> bool {
        let Some(drain) = self
            .drain
            .filter(|_| self.lifecycle.state() == LifecycleState::ShuttingDown)
        else {
            return false;
        };
        let drain_age = self.drain_age(drain);
        let is_empty = || {
            self.requests.len() == 0
                && self.lifecycle_view.handshakes() == 0
                && self.connections.load(Ordering::Relaxed) == 0
        };
        drain_age >= drain.schedule.exit || drain_age >= MIN_SHUTDOWN_SPAN && is_empty()
    }
}

#[cfg(test)]
mod tests;
