//! Cold gateways that fall over when they are sent too much.

use super::{Engine, Occurrence};
use crate::nanos;
use crate::scenario::{FALL_S, TIP_MULTIPLE};

/// A gateway that fell over is there again after this.
const LIES_S: f64 = 5.0;

impl Engine<'_> {
    /// A set-up reaches a gateway; tells whether it falls over by that.
    pub(super) fn falls(&mut self, gateway: u32) -> bool {
        if !self.scenario.fleet.falls {
            return false;
        }
        let (now, borne) = (self.now, self.scenario.borne());
        let machine = &mut self.machines[gateway as usize];
        let warmth = machine.gateway.capacity_fraction(now);
        if warmth >= 1.0 {
            return false;
        }
        machine.sent.push_back(now);
        while machine
            .sent
            .front()
            .is_some_and(|at| at + nanos(FALL_S) <= now)
        {
            machine.sent.pop_front();
        }
        let allowed = TIP_MULTIPLE * borne * warmth * FALL_S;
        let falls_at = allowed + self.scenario.fleet.slack * (allowed.sqrt() + 1.0);
        let sent = machine.sent.len() as f64;
        self.measures.fleet.most_sent = self.measures.fleet.most_sent.max(sent / falls_at);
        if sent <= falls_at {
            return false;
        }
        self.measures.fleet.fallen += 1;
        self.goes_down(gateway, LIES_S);
        self.list_changes();
        let start = self.machines[gateway as usize].start;
        self.after(LIES_S, Occurrence::Rises { gateway, start });
        true
    }

    /// A gateway that fell over is there again.
    pub(super) fn rises(&mut self, gateway: u32, start: u32) {
        if self.machines[gateway as usize].start == start {
            self.comes_up(gateway);
            self.list_changes();
        }
    }
}
