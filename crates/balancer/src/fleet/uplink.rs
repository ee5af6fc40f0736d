//! The uplink: whether this site is an island, by its own evidence and its peers', and what is not asked meanwhile.
//!
//! The judgement is `beaconflow-edge`'s.

use std::time::Duration;

use beaconflow_edge::{
    Action, Config, Decision, Edge, Evidence, Force, Place, Start, State, Step, Verdict, Word,
};
use beaconflow_membership::Member;
use tracing::{info, warn};

use super::{Millis, millis};
use crate::operator::{self, EdgeWord};

/// A word of the operator's file holds for as long as it stands there.
const FOR_EVER: Millis = Millis::MAX;
/// Discovery is held back for so long at a time. Guards against a thread that is gone and a core that never asks again.
const HELD: Duration = Duration::from_secs(5);
/// It is held back anew this often, in milliseconds, and evidence that only lasts is given again.
const AGAIN: Millis = 1_000;

/// What the fleet's thread is to do.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Wanted {
    /// Discovery is not asked for so long, but in turn.
    Hold(Duration),
    /// Discovery is asked, if the module wants it.
    Ask,
    /// The site's other processes are told at once.
    Tell,
    /// State and confirmation are to be remembered.
    Keep,
}

/// The site's uplink as this process sees it.
pub(super) struct Uplink {
    edge: Edge,
    /// The watch on discovery stands.
    watches: bool,
    /// When discovery is to be asked after an island.
    ask_at: Option<Millis>,
    again_at: Millis,
    out: Vec<Action>,
}

/// What the machine is told of its site.
pub(super) fn config(fleet: &operator::Fleet, seed: u64) -> Config {
    let (usual, patience_ms) = (Config::default(), millis(fleet.edge.patience));
    let within = |span: Millis| span.min(patience_ms);
    Config {
        site: fleet.site.clone(),
        name: fleet.name.clone(),
        seed,
        processes: u32::try_from(fleet.size).unwrap_or(u32::MAX),
        confirm_ms: within(usual.confirm_ms),
        steady_ms: within(usual.steady_ms),
        damp_cap_ms: within(usual.damp_cap_ms),
        patience_ms,
        trust_for_ms: millis(fleet.edge.trust),
        ..usual
    }
}

impl Uplink {
    /// A process that starts, with what it wrote down before: whether it was an island, and when discovery last
    /// confirmed its list.
    pub(super) fn new(
        config: Config,
        now: Millis,
        before: Option<(bool, Option<Millis>)>,
    ) -> Result<Uplink, String> {
        config.check().map_err(|faults| {
            let faults: Vec<String> = faults
                .iter()
                .map(|fault| format!("edge: {fault}"))
                .collect();
            faults.join("; ")
        })?;
        let start = match before {
            None => Start::Anew,
            Some((islanded, confirmed_at)) => {
                let state = if islanded {
                    State::Islanded
                } else {
                    State::Linked
                };
                Start::Remembered {
                    state,
                    confirmed_at,
                    word: None,
                }
            }
        };
        let edge = Edge::new(config, now, start);
        Ok(Uplink {
            edge,
            watches: false,
            ask_at: None,
            again_at: 0,
            out: Vec::new(),
        })
    }

    /// Takes evidence in; gives what is to be done.
    pub(super) fn take(&mut self, now: Millis, evidence: Evidence) -> Vec<Wanted> {
        match &evidence {
            Evidence::WatchStands => self.watches = true,
            Evidence::WatchLost => self.watches = false,
            _ => {}
        }
        let mut out = std::mem::take(&mut self.out);
        self.edge.handle(now, evidence, &mut out);
        let mut wanted = Vec::new();
        for action in out.drain(..) {
            self.follow(now, action, &mut wanted);
        }
        self.out = out;
        wanted
    }

    /// The watch on discovery ended, or could not be had. One that told nothing since the last time was asked for and
    /// not answered.
    pub(super) fn hears_nothing(&mut self, now: Millis) -> Vec<Wanted> {
        let was_asked = !self.watches;
        let mut wanted = self.take(now, Evidence::WatchLost);
        if was_asked {
            wanted.extend(self.take(now, Evidence::DiscoveryFailed));
        }
        wanted
    }

    /// The list of the configuration is in hand; its age counts from the start where nothing older is known of it.
    pub(super) fn has_known_list(&mut self, now: Millis) -> Vec<Wanted> {
        if self.edge.list_age(now).is_some() {
            Vec::new()
        } else {
            self.take(now, Evidence::Confirmed { at: now })
        }
    }

    fn follow(&mut self, now: Millis, action: Action, wanted: &mut Vec<Wanted>) {
        match action {
            Action::State {
                from,
                to: State::Islanded,
                why,
            } => {
                warn!(part = "edge", from = %from, to = %State::Islanded, why, "state");
                wanted.extend([Wanted::Hold(HELD), Wanted::Keep]);
            }
            Action::State { from, to, why } => {
                info!(part = "edge", from = %from, to = %to, why, "state");
                wanted.push(Wanted::Keep);
            }
            Action::Probe {
                place: Place::Discovery,
            } => {
                info!(part = "edge", "this process asks discovery for the site");
                wanted.push(Wanted::Ask);
            }
            // The store is asked by its front as clients come, and other sites are heard of through the peers.
            Action::Probe { .. } => {}
            Action::Tell => wanted.push(Wanted::Tell),
            Action::Say(why) => info!(part = "edge", why, "says"),
            Action::Rejoin(Step::Ask {
                place: Place::Discovery,
                in_ms,
            }) => {
                self.ask_at = Some(now.saturating_add(in_ms));
            }
            Action::Rejoin(Step::Ask { .. }) => {}
            // The list is the module's to take over: it moves nobody because an entry looks different.
            Action::Rejoin(Step::Merge) => {
                info!(
                    part = "edge",
                    "both sides are merged: the list goes by its entries, overrides by their ends"
                );
                let mut more = Vec::new();
                self.edge
                    .handle(now, Evidence::Done(Step::Merge), &mut more);
                more.into_iter()
                    .for_each(|action| self.follow(now, action, wanted));
            }
        }
    }

    /// What time alone brings. `others` are the processes of other sites that are there.
    pub(super) fn due(&mut self, now: Millis, others: &[Member]) -> Vec<Wanted> {
        let mut wanted = Vec::new();
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            wanted.push(Wanted::Ask);
        }
        if now >= self.again_at {
            self.again_at = now.saturating_add(AGAIN);
            // A watch that falls silent is ended by whoever watches: until then it stands.
            if self.watches {
                wanted.extend(self.take(now, Evidence::WatchStands));
            }
            for other in others {
                let (name, site) = (other.name.to_string(), other.site.to_string());
                wanted.extend(self.take(
                    now,
                    Evidence::PeerHeard {
                        name,
                        site,
                        both_ways: true,
                    },
                ));
            }
            if self.edge.state() == State::Islanded {
                wanted.push(Wanted::Hold(HELD));
            }
        }
        wanted.extend(self.take(now, Evidence::Tick));
        wanted
    }

    /// The operator's file has this word from now on.
    pub(super) fn word(&mut self, now: Millis, word: EdgeWord) -> Vec<Wanted> {
        let force = match word {
            EdgeWord::Automatic => Force::Automatic,
            EdgeWord::Island => Force::Island,
            EdgeWord::Linked => Force::Linked,
        };
        let (who, why) = ("the operator's file".into(), "edge.word".into());
        self.take(
            now,
            Evidence::OperatorsWord(Word {
                given_at: now,
                force,
                ends_at: FOR_EVER,
                who,
                why,
            }),
        )
    }

    pub(super) fn edge(&self) -> &Edge {
        &self.edge
    }

    /// Whether the site is an island now, and when discovery last confirmed the list.
    pub(super) fn kept(&self, now: Millis) -> (bool, Option<Millis>) {
        let confirmed_at = self.edge.list_age(now).map(|age| now.saturating_sub(age));
        (self.edge.state() == State::Islanded, confirmed_at)
    }

    /// Whether the site has to do without what lies beyond, and why a server is passed over then of which nothing says
    /// that it is well, if it is.
    pub(super) fn stands_apart(&self, now: Millis) -> (bool, Option<&'static str>) {
        let is_no = |decision: Decision| match self.edge.may(now, &decision) {
            Verdict::No { why, .. } => Some(why),
            Verdict::Yes => None,
        };
        let site = self.edge.config().site.clone();
        let unproven = is_no(Decision::Place {
            site,
            listed: true,
            well: false,
        });
        (is_no(Decision::MoveForBalance).is_some(), unproven)
    }

    /// How it stands, in words for people.
    pub(super) fn words(&self, now: Millis) -> String {
        self.edge.look(now).lines().join("; ")
    }
}
