//! The decision on the extent of the outage.

use super::Recovery;
use crate::scope::ScopeFinding;
use crate::{Action, Nanos, RecoveryState, RecoveryStep};

impl Recovery {
    /// Assesses the extent of the outage again once it was decided.
    pub(super) fn reassess_scope(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.finding.is_some() {
            self.decide_scope(now, out);
        }
    }

    pub(crate) fn assess_scope(&self, now: Nanos) -> ScopeFinding {
        let told = self
            .has_fresh_list()
            .then(|| self.servers.warming_fraction(now, &self.config.slow_start));
        let warming = told.flatten();
        self.evidence.assess(
            now,
            now.saturating_sub(self.outage_started_at),
            &self.config,
            warming,
        )
    }

    /// Decides the extent of the outage and reports a change.
    pub(crate) fn decide_scope(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let found = self.assess_scope(now);
        if self.state == RecoveryState::Serving
            || self
                .finding
                .as_ref()
                .is_some_and(|old| old.scope == found.scope)
        {
            return;
        }
        let ScopeFinding {
            scope,
            likelihood,
            evidence,
        } = found.clone();
        let by = if evidence.is_empty() {
            "nothing".into()
        } else {
            evidence.join("; ")
        };
        self.log_step(out, RecoveryStep::Scope, format!("{scope}, by {by}"), None);
        out.push(Action::ScopeDecided {
            scope,
            likelihood,
            evidence,
        });
        self.finding = Some(found);
        self.limit_server_starts();
    }
}
