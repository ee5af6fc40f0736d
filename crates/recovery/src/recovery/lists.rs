//! Handling of server lists and server starts.

use super::{Recovery, list_context};
use crate::server_table::ListOutcome;
use crate::{Action, List, ListSource, Millis, Nanos, RecoveryStep};

impl Recovery {
    pub(super) fn apply_list(&mut self, now: Nanos, list: &List, out: &mut Vec<Action>) {
        if let (Some(wall), Some(clock)) = (list.reported_at, self.clock.as_mut()) {
            clock.record_peer(now, "discovery", wall);
        }
        for entry in list
            .entries
            .iter()
            .filter(|_| list.source != ListSource::Memory)
        {
            self.clock
                .iter_mut()
                .for_each(|clock| clock.record_server_start(entry.started_at_ms));
        }
        self.assess_clock(now, out);
        self.on_list_received(list.source);
        let memory_written_at = (list.source == ListSource::Memory)
            .then(|| self.memory.as_ref().map(|memory| memory.written_at));
        let list_context = list_context(
            &self.config,
            self.clock.as_ref(),
            now,
            memory_written_at.flatten(),
        );
        let (source, entries) = (list.source, list.entries.len());
        match self.servers.apply(list, list_context) {
            ListOutcome::Rejected => self.log_step(
                out,
                RecoveryStep::List,
                format!(
                    "list from {source:?} rejected: the present list is newer or has precedence"
                ),
                None,
            ),
            ListOutcome::Applied {
                held_drains,
                is_new_incarnation,
            } => {
                let incarnation_note = if is_new_incarnation {
                    "; discovery lost its state"
                } else {
                    ""
                };
                self.log_step(
                    out,
                    RecoveryStep::List,
                    format!("list from {source:?} applied; servers: {entries}{incarnation_note}"),
                    None,
                );
                if held_drains > 0 && is_new_incarnation {
                    let until = now.saturating_add(self.config.timeouts.drain_hold);
                    let reason = format!(
                        "former drains held until discovery reports another state: {held_drains}"
                    );
                    self.log_step(out, RecoveryStep::Drain, reason, Some(until));
                }
                self.on_servers_changed(now, out);
            }
        }
    }

    pub(super) fn on_server_started(
        &mut self,
        now: Nanos,
        name: &str,
        started_at_ms: Millis,
        out: &mut Vec<Action>,
    ) {
        let list_context = list_context(&self.config, self.clock.as_ref(), now, None);
        if self.servers.record_start(name, started_at_ms, list_context) {
            self.on_servers_changed(now, out);
        }
    }

    pub(super) fn on_servers_changed(&mut self, now: Nanos, out: &mut Vec<Action>) {
        out.push(Action::ListChanged);
        self.limit_server_starts();
        self.plan_admission(now);
        self.reassess_scope(now, out);
    }
}
