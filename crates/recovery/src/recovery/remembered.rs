//! Use of the remembered state according to its validity.

use super::{Recovery, RememberedState};
use crate::clock::ClockQuality;
use crate::validity::{self, MemoryOwner};
use crate::{
    Action, List, ListSource, Memory, Nanos, PreviousClients, RecoveryStep, RememberedKind,
    Validity,
};

impl Recovery {
    pub(super) fn load_memory(&mut self, now: Nanos, memory: Memory, out: &mut Vec<Action>) {
        if self.memory.is_some() {
            return;
        }
        let owner = validity::memory_owner(&self.config, self.incarnation, &memory);
        let reason = match owner {
            MemoryOwner::Own => format!(
                "memory of this process from incarnation {}",
                memory.incarnation
            ),
            MemoryOwner::Foreign => {
                format!(
                    "memory of process {} from incarnation {}: not written by an earlier run of this process",
                    memory.owner, memory.incarnation
                )
            }
        };
        self.log_step(out, RecoveryStep::MemoryRead, reason, None);
        let Memory {
            written_at,
            list,
            previous_clients,
            clients_per_server_s,
            ..
        } = memory;
        self.memory = Some(RememberedState {
            owner,
            written_at,
            list,
            previous_clients,
            clients_per_server_s,
        });
        self.assess_remembered(now, out);
        if self.validity(RememberedKind::List) == Validity::Hint(1.0) {
            self.apply_remembered_list(now, out);
        }
    }

    /// Applies the remembered list, unless it was applied before.
    pub(crate) fn apply_remembered_list(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Some(memory) = &mut self.memory else {
            return;
        };
        let Some(list) = memory.list.take() else {
            return;
        };
        let age = self
            .clock
            .as_ref()
            .and_then(|clock| clock.age(now, memory.written_at));
        let age = age.map_or(Nanos::MAX / 4, |age| {
            age.saturating_mul(crate::MS).min(Nanos::MAX / 4)
        });
        self.apply_list(
            now,
            &List {
                source: ListSource::Memory,
                age: list.age.saturating_add(age),
                reported_at: None,
                ..list
            },
            out,
        );
    }

    pub(super) fn assess_clock(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let quality = self
            .clock
            .as_mut()
            .and_then(|clock| clock.reassess(now, &self.config.retention));
        let Some(quality) = quality else { return };
        let reason = match quality {
            ClockQuality::Reliable(cause) => format!("ages can be computed: {cause}"),
            ClockQuality::Unknown(cause) => format!("ages can't be computed: {cause}"),
        };
        self.log_step(out, RecoveryStep::Clock, reason, None);
        self.assess_remembered(now, out);
    }

    /// Assesses all kinds of remembered state and reports changes.
    pub(super) fn assess_remembered(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Some(memory) = &self.memory else { return };
        let age = self
            .clock
            .as_ref()
            .and_then(|clock| clock.age(now, memory.written_at));
        for kind in RememberedKind::ALL {
            let (validity, reason) =
                validity::assess(kind, memory.owner, age, &self.config.retention);
            if self.validities.insert(kind, (validity, reason)) != Some((validity, reason)) {
                out.push(Action::RememberedStateAssessed {
                    kind,
                    validity,
                    reason,
                    as_of: Some(memory.written_at),
                });
            }
        }
    }

    /// The remembered previous clients by class and account, and their sum.
    pub(crate) fn remembered_clients(&self) -> (&[PreviousClients], f64) {
        let previous_clients = self
            .memory
            .as_ref()
            .map_or(&[][..], |memory| &memory.previous_clients);
        (
            previous_clients,
            previous_clients
                .iter()
                .map(|previous| previous.clients)
                .filter(|clients| *clients > 0.0)
                .sum(),
        )
    }

    /// Clients per second that a warm server of weight 1 can take. The remembered rate decays
    /// towards the configured one with its age.
    pub(crate) fn sustainable_arrivals(&self) -> f64 {
        let rate = self
            .memory
            .as_ref()
            .and_then(|memory| memory.clients_per_server_s)
            .filter(|rate| rate.is_finite() && *rate > 0.0);
        match (self.validity(RememberedKind::ServerRates), rate) {
            (Validity::Hint(weight), Some(rate)) => {
                weight * rate + (1.0 - weight) * self.config.slow_start.clients_per_server_s
            }
            _ => self.config.slow_start.clients_per_server_s,
        }
    }
}
