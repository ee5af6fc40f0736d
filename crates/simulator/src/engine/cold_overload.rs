//! Cold gateways that crash when they receive too many setups.

use super::{Engine, ScheduledEvent};
use crate::nanos;
use crate::scenario::{COLD_OVERLOAD_MULTIPLE, COLD_OVERLOAD_WINDOW_S};

/// A gateway that crashed from overload restarts after this, in seconds.
const FALLEN_RESTART_S: f64 = 5.0;

impl Engine<'_> {
    /// Counts a setup that reaches a cold gateway. Returns whether the gateway crashes from it.
    pub(super) fn check_cold_overload(&mut self, gateway: u32) -> bool {
        if !self.scenario.fleet.falls {
            return false;
        }
        let (now, clients_per_s) = (self.now, self.scenario.clients_per_warm_gateway_s());
        let gateway_state = &mut self.gateways[gateway as usize];
        let capacity = gateway_state.gateway.capacity_fraction(now);
        if capacity >= 1.0 {
            return false;
        }
        gateway_state.sent.push_back(now);
        while gateway_state
            .sent
            .front()
            .is_some_and(|at| at + nanos(COLD_OVERLOAD_WINDOW_S) <= now)
        {
            gateway_state.sent.pop_front();
        }
        let allowed = COLD_OVERLOAD_MULTIPLE * clients_per_s * capacity * COLD_OVERLOAD_WINDOW_S;
        let max_setups = allowed + self.scenario.fleet.slack * (allowed.sqrt() + 1.0);
        let sent = gateway_state.sent.len() as f64;
        self.measures.fleet.most_sent = self.measures.fleet.most_sent.max(sent / max_setups);
        if sent <= max_setups {
            return false;
        }
        self.measures.fleet.fallen += 1;
        self.stop_gateway(gateway, FALLEN_RESTART_S);
        self.notify_list_changed();
        let incarnation = self.gateways[gateway as usize].incarnation;
        self.schedule_after(
            FALLEN_RESTART_S,
            ScheduledEvent::FallenGatewayRestarted {
                gateway,
                incarnation,
            },
        );
        true
    }

    /// Restarts a gateway that crashed from overload, unless it was stopped again since.
    pub(super) fn restart_fallen_gateway(&mut self, gateway: u32, incarnation: u32) {
        if self.gateways[gateway as usize].incarnation == incarnation {
            self.start_gateway(gateway);
            self.notify_list_changed();
        }
    }
}
