//! Server lists and server starts.

use super::{Recovery, list_context};
use crate::server_table::ListOutcome;
use crate::{Action, List, Millis, Nanos, RecoveryStep, Source};

impl Recovery {
    pub(super) fn apply_list(&mut self, now: Nanos, list: &List, out: &mut Vec<Action>) {
        if let (Some(wall), Some(clock)) = (list.reported_at, self.clock.as_mut()) {
            clock.record_peer(now, "discovery", wall);
        }
        for entry in list
            .entries
            .iter()
            .filter(|_| list.source != Source::Memory)
        {
            self.clock
                .iter_mut()
                .for_each(|clock| clock.record_server_start(entry.started_at_ms));
        }
        self.assess_clock(now, out);
        self.on_list_source(list.source);
        let of_memory = (list.source == Source::Memory)
            .then(|| self.memory.as_ref().map(|kept| kept.written_at));
        let list_context =
            list_context(&self.config, self.clock.as_ref(), now, of_memory.flatten());
        let (source, entries) = (list.source, list.entries.len());
        match self.servers.apply(list, list_context) {
            ListOutcome::Rejected => self.log_step(
                out,
                RecoveryStep::List,
                format!("left out: what is held is newer than {source:?}'s"),
                None,
            ),
            ListOutcome::Applied { held, is_new_epoch } => {
                let lost = if is_new_epoch {
                    "; discovery counts anew"
                } else {
                    ""
                };
                self.log_step(
                    out,
                    RecoveryStep::List,
                    format!("{entries} servers by {source:?}{lost}"),
                    None,
                );
                if held > 0 && is_new_epoch {
                    let until = now.saturating_add(self.config.timeouts.drain_hold);
                    let reason =
                        format!("{held} former drains hold until discovery says otherwise");
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
        at: Millis,
        out: &mut Vec<Action>,
    ) {
        let list_context = list_context(&self.config, self.clock.as_ref(), now, None);
        if self.servers.record_start(name, at, list_context) {
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
