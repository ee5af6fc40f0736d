//! The decision on the extent of the outage.

use super::Recovery;
use crate::scope::ScopeFinding;
use crate::{Action, Nanos, RecoveryState, RecoveryStep};

impl Recovery {
    /// Updates the decision on the extent of the outage, if there is one.
    pub(super) fn reassess_scope(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.scope_finding.is_some() {
            self.decide_scope(now, out);
        }
    }

    pub(crate) fn assess_scope(&self, now: Nanos) -> ScopeFinding {
        let list_warming_fraction = self
            .has_list_since_outage()
            .then(|| self.servers.warming_fraction(now, &self.config.slow_start));
        let warming_fraction = list_warming_fraction.flatten();
        self.evidence.assess(
            now,
            now.saturating_sub(self.outage_started_at),
            &self.config,
            warming_fraction,
        )
    }

    /// Decides the extent of the outage and reports a change, unless service is full already.
    pub(crate) fn decide_scope(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let finding = self.assess_scope(now);
        if self.state == RecoveryState::Serving
            || self
                .scope_finding
                .as_ref()
                .is_some_and(|previous| previous.scope == finding.scope)
        {
            return;
        }
        let ScopeFinding {
            scope,
            likelihood,
            evidence,
        } = finding.clone();
        let evidence_text = if evidence.is_empty() {
            "none".into()
        } else {
            evidence.join("; ")
        };
        self.log_step(
            out,
            RecoveryStep::Scope,
            format!("scope of the outage: {scope}; evidence: {evidence_text}"),
            None,
        );
        out.push(Action::ScopeDecided {
            scope,
            likelihood,
            evidence,
        });
        self.scope_finding = Some(finding);
        self.limit_server_starts();
    }
}
