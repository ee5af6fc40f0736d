//! The state as shown to an operator.

use crate::evidence::{Reachability, RemoteTarget, UplinkMode, UplinkState};
use crate::state_machine::Edge;
use crate::{Millis, UplinkReport};

/// State of a remote target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSnapshot {
    /// The target.
    pub target: RemoteTarget,
    /// Reachability by this process's own evidence, and the age of that evidence.
    pub reachability: Option<(Reachability, Millis)>,
    /// Reachability according to another process of this site, its name, and the age of its
    /// evidence.
    pub peer_report: Option<(Reachability, String, Millis)>,
    /// Latency of the last answer, if that was slow.
    pub slow_latency_ms: Option<Millis>,
}

/// State of the uplink and the evidence behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeSnapshot {
    /// State of the uplink.
    pub state: UplinkState,
    /// Time since the state was entered.
    pub in_state_ms: Millis,
    /// Reason for entering the state.
    pub reason: String,
    /// Log odds of a lost uplink by the evidence of the whole site, in tenths of a power of ten.
    pub log_odds: i32,
    /// Whether peers of this site reach remote targets while this process does not.
    pub is_process_isolated: bool,
    /// Age of the server list; `None` if discovery never confirmed it.
    pub list_age_ms: Option<Millis>,
    /// Whether the server list is within its trust period.
    pub is_list_trusted: bool,
    /// Description of the operator mode in effect, and the time until it expires.
    pub operator_mode: Option<(String, Millis)>,
    /// The remote targets.
    pub targets: Vec<TargetSnapshot>,
    /// The other processes of this site that were heard recently, and their states.
    pub peers: Vec<(String, UplinkState)>,
}

impl Edge {
    /// Captures the state at `now`.
    pub fn snapshot(&self, now: Millis) -> EdgeSnapshot {
        let targets: Vec<TargetSnapshot> = self
            .view
            .targets()
            .into_iter()
            .map(|target| self.target_snapshot(target, now))
            .collect();
        let is_reachable =
            |reachability: Option<Reachability>| reachability == Some(Reachability::Reachable);
        let is_reachable_here = targets
            .iter()
            .any(|target| is_reachable(target.reachability.map(|(reachability, _)| reachability)));
        let is_reachable_by_peers = targets.iter().any(|target| {
            is_reachable(
                target
                    .peer_report
                    .as_ref()
                    .map(|(reachability, ..)| *reachability),
            )
        });
        let active_mode = self
            .operator_mode
            .as_ref()
            .filter(|_| self.current_mode(now) != UplinkMode::Automatic);
        EdgeSnapshot {
            state: self.state,
            in_state_ms: now.saturating_sub(self.state_since),
            reason: self.reason.clone(),
            log_odds: self.view.log_odds(now, true),
            is_process_isolated: self.state == UplinkState::Isolated
                && is_reachable_by_peers
                && !is_reachable_here,
            list_age_ms: self.list_age(now),
            is_list_trusted: self.is_list_trusted(now),
            operator_mode: active_mode.map(|operator_mode| {
                let text = format!(
                    "operator mode set by {}: {}",
                    operator_mode.set_by,
                    self.operator_mode_text(operator_mode)
                );
                (text, operator_mode.expires_at.saturating_sub(now))
            }),
            targets,
            peers: self
                .view
                .peer_states(now)
                .map(|(name, state)| (name.to_owned(), state))
                .collect(),
        }
    }

    fn target_snapshot(&self, target: RemoteTarget, now: Millis) -> TargetSnapshot {
        let peer_report = self.view.peer_reachability(&target, now);
        let latency = self.view.last_latency(&target);
        TargetSnapshot {
            reachability: self.view.reachability(&target, now),
            peer_report: peer_report
                .map(|(reachability, peer, age)| (reachability, peer.to_owned(), age)),
            slow_latency_ms: (latency > self.config.slow_ms).then_some(latency),
            target,
        }
    }
}

impl EdgeSnapshot {
    /// The snapshot in sentences for people, one a line.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "{} for {}: {}",
            self.state,
            format_span(self.in_state_ms),
            self.reason
        )];
        if self.is_process_isolated {
            lines.push(
                "peers of this site reach remote targets: only this process is cut off".into(),
            );
        }
        lines.extend(self.operator_mode.as_ref().map(|(mode, remaining_ms)| {
            format!("{mode}, expires in {}", format_span(*remaining_ms))
        }));
        lines.push(match self.list_age_ms {
            None => "the server list was never confirmed by discovery".into(),
            Some(age) if self.is_list_trusted => {
                format!("the server list was confirmed {} ago", format_span(age))
            }
            Some(age) => format!(
                "the server list was confirmed {} ago and is no longer trusted",
                format_span(age)
            ),
        });
        lines.extend(self.targets.iter().map(TargetSnapshot::line));
        for state in [
            UplinkState::Linked,
            UplinkState::Doubtful,
            UplinkState::Isolated,
            UplinkState::Rejoining,
        ] {
            let names = self
                .peers
                .iter()
                .filter(|(_, peer_state)| *peer_state == state)
                .map(|(name, _)| name.as_str());
            let names: Vec<&str> = names.collect();
            if !names.is_empty() {
                lines.push(format!("peers that report {state}: {}", names.join(", ")));
            }
        }
        lines
    }
}

impl TargetSnapshot {
    fn line(&self) -> String {
        let mut line = match self.reachability {
            Some((reachability, age)) => format!(
                "{} {}, {} ago",
                self.target,
                describe(reachability),
                format_span(age)
            ),
            None => format!("{} was not contacted recently", self.target),
        };
        if let Some(latency) = self.slow_latency_ms {
            line += &format!(", slow answer: {}", format_span(latency));
        }
        if let Some((reachability, peer, age)) = &self.peer_report {
            line += &format!(
                "; according to {peer} it {}, {} ago",
                describe(*reachability),
                format_span(*age)
            );
        }
        line
    }
}

fn describe(reachability: Reachability) -> &'static str {
    match reachability {
        Reachability::Reachable => "answered",
        Reachability::OneWay => "sent messages but did not answer",
        Reachability::Unreachable => "did not answer",
    }
}

fn format_span(ms: Millis) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{}.{} s", ms / 1_000, ms % 1_000 / 100),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

impl UplinkReport {
    /// Whether any remote target is reachable from the reporting process.
    pub fn is_reachable(&self) -> bool {
        self.targets
            .iter()
            .any(|(_, reachability, _)| *reachability == Reachability::Reachable)
    }
}
