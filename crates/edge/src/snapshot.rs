//! What an operator is shown.

use crate::evidence::{Force, Place, Reachability, State};
use crate::state_machine::Edge;
use crate::{Millis, UplinkReport};

/// A place beyond the link, as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceSnapshot {
    /// Which.
    pub place: Place,
    /// How it stands by this process's own evidence, and how old that is.
    pub seen: Option<(Reachability, Millis)>,
    /// What another process of this site says of it, which one, and how old that is.
    pub peer_report: Option<(Reachability, String, Millis)>,
    /// How long its last answer took, where that is slow.
    pub slow_ms: Option<Millis>,
}

/// All that there is to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeSnapshot {
    /// The state.
    pub state: State,
    /// For how long.
    pub for_ms: Millis,
    /// Why it came to be.
    pub why: String,
    /// The odds that the link is lost, in tenths of a power of ten, by all that the site saw.
    pub odds: i32,
    /// Whether others of this site are answered from beyond the link while this process is not.
    pub alone: bool,
    /// How old the list in hand is, where discovery ever confirmed it.
    pub list_ms: Option<Millis>,
    /// Whether it is trusted still.
    pub trusted: bool,
    /// The operator's word that holds, and for how long it does.
    pub operator_mode: Option<(String, Millis)>,
    /// The places beyond the link.
    pub places: Vec<PlaceSnapshot>,
    /// The other processes of this site that were heard lately, and their states.
    pub others: Vec<(String, State)>,
}

impl Edge {
    /// What there is to see at this moment.
    pub fn snapshot(&self, now: Millis) -> EdgeSnapshot {
        let places: Vec<PlaceSnapshot> = self
            .view
            .places()
            .into_iter()
            .map(|place| self.place_snapshot(place, now))
            .collect();
        let is_reachable = |seen: Option<Reachability>| seen == Some(Reachability::Reachable);
        let own = places
            .iter()
            .any(|one| is_reachable(one.seen.map(|(seen, _)| seen)));
        let others = places
            .iter()
            .any(|one| is_reachable(one.peer_report.as_ref().map(|(seen, ..)| *seen)));
        let holding = self
            .operator_mode
            .as_ref()
            .filter(|_| self.force(now) != Force::Automatic);
        EdgeSnapshot {
            state: self.state,
            for_ms: now.saturating_sub(self.since),
            why: self.why.clone(),
            odds: self.view.odds(now, true),
            alone: self.state == State::Islanded && others && !own,
            list_ms: self.list_age(now),
            trusted: self.trusted(now),
            operator_mode: holding.map(|word| {
                let text = format!("{} says: {}", word.who, self.operator_mode_text(word));
                (text, word.ends_at.saturating_sub(now))
            }),
            places,
            others: self
                .view
                .states(now)
                .map(|(name, state)| (name.to_owned(), state))
                .collect(),
        }
    }

    fn place_snapshot(&self, place: Place, now: Millis) -> PlaceSnapshot {
        let said = self.view.peer_reachability(&place, now);
        let took = self.view.took(&place);
        PlaceSnapshot {
            seen: self.view.seen(&place, now),
            peer_report: said.map(|(seen, who, age)| (seen, who.to_owned(), age)),
            slow_ms: (took > self.config.slow_ms).then_some(took),
            place,
        }
    }
}

impl EdgeSnapshot {
    /// The same in plain sentences, one a line.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "{} for {}: {}",
            self.state,
            span(self.for_ms),
            self.why
        )];
        if self.alone {
            lines.push(
                "others of this site are answered from beyond: this process alone is cut off"
                    .into(),
            );
        }
        lines.extend(
            self.operator_mode
                .as_ref()
                .map(|(word, left)| format!("{word}, for {} more", span(*left))),
        );
        lines.push(match self.list_ms {
            None => "the list was never confirmed by discovery".into(),
            Some(age) if self.trusted => format!("the list was confirmed {} ago", span(age)),
            Some(age) => format!(
                "the list was confirmed {} ago and is not trusted any more",
                span(age)
            ),
        });
        lines.extend(self.places.iter().map(PlaceSnapshot::line));
        for state in [
            State::Linked,
            State::Doubtful,
            State::Islanded,
            State::Rejoining,
        ] {
            let names = self
                .others
                .iter()
                .filter(|(_, of)| *of == state)
                .map(|(name, _)| name.as_str());
            let names: Vec<&str> = names.collect();
            if !names.is_empty() {
                lines.push(format!("{state} by their own word: {}", names.join(", ")));
            }
        }
        lines
    }
}

impl PlaceSnapshot {
    fn line(&self) -> String {
        let mut line = match self.seen {
            Some((seen, age)) => format!("{} {}, {} ago", self.place, describe(seen), span(age)),
            None => format!("{} was not asked lately", self.place),
        };
        if let Some(took) = self.slow_ms {
            line += &format!(", slowly: {}", span(took));
        }
        if let Some((seen, who, age)) = &self.peer_report {
            line += &format!("; by {who} it {}, {} ago", describe(*seen), span(*age));
        }
        line
    }
}

fn describe(seen: Reachability) -> &'static str {
    match seen {
        Reachability::Reachable => "answered",
        Reachability::OneWay => "was heard but does not hear",
        Reachability::Lost => "did not answer",
    }
}

fn span(ms: Millis) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{}.{} s", ms / 1_000, ms % 1_000 / 100),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

impl UplinkReport {
    /// Whether it says that anything answers from beyond the link.
    pub fn is_reachable(&self) -> bool {
        self.places
            .iter()
            .any(|(_, seen, _)| *seen == Reachability::Reachable)
    }
}
