//! What becomes of what a site held on its island, once discovery's list is in hand.
//!
//! | held on the island | the list says | what happens |
//! | --- | --- | --- |
//! | serves | the same | kept, with the list's weight |
//! | serves | started later | kept, cold from that start on |
//! | serves | drains | nothing new; its connections are moved, paced |
//! | serves | gone, or not there (whole list of the same discovery) | nothing new; its connections are moved, paced |
//! | serves | not there (a list of changes, or a discovery that lost its state) | kept until it is listed or gone |
//! | drained by its own word | serves, same start | kept; passed over until that word has faded |
//! | drained by its own word | serves, started later | kept, cold; the word was of its former life |
//! | passed over for its health | serves | kept; passed over for as long as the evidence says |
//! | nothing | serves | taken in with its part, cold where it is young; nobody is moved to it |
//! | nothing | drains or gone | nothing |

use std::collections::BTreeMap;

use crate::Millis;
use crate::health_reports::ServerHealth;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ready {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// A server as the island has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IslandServer {
    /// Its name.
    pub server: String,
    /// As last listed.
    pub ready: Ready,
    /// When it started, by the list or by the site's evidence.
    pub started_ms: Millis,
    /// Its weight, in thousandths.
    pub weight: u64,
    /// Why the site passes it over, if it does.
    pub ejected_for: Option<ServerHealth>,
    /// This process's connections on it.
    pub established: usize,
}

/// A server of discovery's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub server: String,
    /// Whether it takes new work.
    pub ready: Ready,
    /// When it started; 0 for long ago.
    pub started_ms: Millis,
    /// Its weight, in thousandths.
    pub weight: u64,
}

/// Why connections are moved off a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It drains, which the island had not seen.
    Drains,
    /// It is gone.
    Gone,
}

/// Connections that are moved off a server, paced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Off which.
    pub server: String,
    /// How many stand there.
    pub established: usize,
    /// Why.
    pub why: Why,
}

/// A server that goes on, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keep {
    /// Which.
    pub server: String,
    /// Its weight from now on.
    pub weight: u64,
    /// Why the site's evidence passes it over still.
    pub ejected_for: Option<ServerHealth>,
    /// It is cold from this start on.
    pub slow_start_since: Option<Millis>,
    /// In a sentence, where it is not simply as listed.
    pub why: Option<&'static str>,
}

/// What is done at the merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// All servers that go on, by name.
    pub keep: Vec<Keep>,
    /// The only moves that the rejoining makes.
    pub moves: Vec<Move>,
}

/// What the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListOrigin {
    /// Whether it is the whole list, not changes alone.
    pub is_complete: bool,
    /// Whether it comes from the same discovery as before: one that has not lost its state since.
    pub same_incarnation: bool,
}

/// Compares both sides.
pub fn plan_rejoin(
    now: Millis,
    island: &[IslandServer],
    listed: &[Listed],
    list: ListOrigin,
    slow_start_ms: Millis,
) -> Plan {
    let by_name: BTreeMap<&str, &Listed> = listed
        .iter()
        .map(|one| (one.server.as_str(), one))
        .collect();
    let known: BTreeMap<&str, &IslandServer> = island
        .iter()
        .map(|one| (one.server.as_str(), one))
        .collect();
    let mut plan = Plan::default();
    for (name, island) in &known {
        match by_name.get(name) {
            Some(one) => plan.known(now, island, one, slow_start_ms),
            None if list.is_complete && list.same_incarnation => plan.leave(island, Ready::Gone),
            None => plan.keep.push(Keep {
                server: island.server.clone(),
                weight: island.weight,
                ejected_for: island.ejected_for,
                slow_start_since: None,
                why: Some("not listed yet; what stands stays until the list says that it is gone"),
            }),
        }
    }
    for one in by_name.values().filter(|one| one.ready == Ready::Serving) {
        if !known.contains_key(one.server.as_str()) {
            let slow_start_since = slow_start_since(now, one.started_ms, slow_start_ms);
            let why = Some("new since the link was lost");
            plan.keep.push(Keep {
                server: one.server.clone(),
                weight: one.weight,
                ejected_for: None,
                slow_start_since,
                why,
            });
        }
    }
    plan.keep.sort_by(|a, b| a.server.cmp(&b.server));
    plan
}

impl Plan {
    fn known(
        &mut self,
        now: Millis,
        island: &IslandServer,
        listed: &Listed,
        slow_start_ms: Millis,
    ) {
        if listed.ready != Ready::Serving {
            return self.leave(island, listed.ready);
        }
        let anew = listed.started_ms > island.started_ms;
        let ejected_for = island.ejected_for.filter(|_| !anew);
        let why = match (anew, ejected_for) {
            (true, _) => Some("it started anew while the link was lost"),
            (false, Some(ServerHealth::Drains)) => {
                Some("it said itself that it drains, and has not started since")
            }
            (false, Some(_)) => Some("the site's evidence is against it still"),
            (false, None) => None,
        };
        let slow_start_since =
            slow_start_since(now, listed.started_ms.max(island.started_ms), slow_start_ms);
        self.keep.push(Keep {
            server: island.server.clone(),
            weight: listed.weight,
            ejected_for,
            slow_start_since,
            why,
        });
    }

    /// A server that drains, or is gone: what stands there is moved, if anything does.
    fn leave(&mut self, island: &IslandServer, ready: Ready) {
        let why = if ready == Ready::Gone {
            Why::Gone
        } else {
            Why::Drains
        };
        if island.established > 0 {
            self.moves.push(Move {
                server: island.server.clone(),
                established: island.established,
                why,
            });
        }
    }
}

/// Since when a server is cold, if it is.
fn slow_start_since(now: Millis, started_ms: Millis, slow_start_ms: Millis) -> Option<Millis> {
    (started_ms > 0 && now < started_ms.saturating_add(slow_start_ms)).then_some(started_ms)
}
