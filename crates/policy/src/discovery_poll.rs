//! Calls for the server list: spread over the fleet, and repeated with backoff after failures.

use crate::action::Action;
use crate::balancer::Balancer;
use crate::settings::DiscoveryMode;
use crate::time::Nanos;
use crate::timers::TimerKind;

/// Longest wait before the agent on this host is asked again, in nanoseconds.
const MAX_AGENT_WAIT: Nanos = 50_000_000;
/// Longest time from the last message of discovery, or from the start of a failed call, to the
/// start of the next call, in nanoseconds. Changes count as known after 6 s; the rest is for the
/// call itself.
pub(crate) const MAX_CALL_INTERVAL: Nanos = 5_000_000_000;
/// First backoff, as a fraction of the longest.
const FIRST_BACKOFF_DIVISOR: Nanos = 8;

impl Balancer {
    /// Schedules the next call for the server list. `quiet_for` is the time since the last message.
    pub(crate) fn poll_server_list(&mut self, quiet_for: Nanos, actions: &mut Vec<Action>) {
        let limit = self.list_wait_limit(quiet_for);
        let spread = self.quota.list_call_spread(limit);
        let wait = match (self.list_failures, spread) {
            (0, 0) => return actions.push(Action::WatchServerList),
            (0, spread) => self.draw_span(1..=spread),
            (failures, spread) => {
                let longest = self.settings.longest_deadline().min(limit);
                let first = spread.max(longest / FIRST_BACKOFF_DIVISOR);
                self.jittered_backoff(failures, first, longest)
            }
        };
        self.set_timer(wait, TimerKind::ListPoll, actions);
    }

    /// The longest wait before the next call.
    fn list_wait_limit(&self, quiet_for: Nanos) -> Nanos {
        let usual = match self.settings.discovery {
            DiscoveryMode::Pushed => MAX_AGENT_WAIT,
            DiscoveryMode::Polled => half_of_max_age(self.settings.rules.list_max_age),
        };
        usual.min(
            MAX_CALL_INTERVAL
                .saturating_sub(quiet_for)
                .max(MAX_AGENT_WAIT),
        )
    }
}

/// Half of the age at which the list counts as known; unbounded without such a rule.
fn half_of_max_age(list_max_age: Nanos) -> Nanos {
    list_max_age
        .checked_sub(1)
        .map_or(Nanos::MAX, |age| age / 2)
}
