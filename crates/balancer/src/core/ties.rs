//! Ties: which server a returning client had, and the pin that leads it back, where affinity is set up.
//!
//! The rules are `beaconflow-affinity`'s. The pin is not strict, and where an operator's pin holds there is none: the
//! rotation stays the ordinary path, and no rule of the platform hangs on what is remembered.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use beaconflow_affinity::{
    Client, FarmView, Group, How, Key, Memory, Millis, Placement, ServerNow, Stamp, Tag, Version,
    VersionFact,
};
use beaconflow_policy::{AttemptOutcome, MigrationReason, Pin, ServerId};
use tracing::{debug, error, info};

use super::farm::Farm;
use super::fleet::Witness;
use super::{Core, Due, Opening};

/// Placements past their life that are cleared away each time.
const CLEARED: usize = 10_000;

/// What is remembered of clients, as a core starts with it.
pub struct Ties {
    memory: Memory,
    /// The placements of connections that stand here.
    standing: BTreeMap<u64, (Key, Stamp)>,
    /// They are told of again this often, and that this version is run.
    again: Duration,
}

impl Ties {
    /// Ties over a memory that runs a version already; a placement is remembered for so long after it was last told of.
    pub fn new(memory: Memory, life: Duration) -> Ties {
        let again = (life / 4).clamp(Duration::from_secs(1), Duration::from_secs(100));
        Ties {
            memory,
            standing: BTreeMap::new(),
            again,
        }
    }
}

/// News of what is remembered.
#[derive(Clone, Debug)]
pub enum TieNews {
    /// Where clients were placed, by peers or by the memory of before.
    Placements(Vec<Placement>),
    /// Versions of the configuration that others run.
    Versions(Vec<VersionFact>),
    /// A process is no more, by its origin: what stood through it has ended.
    Died(u64),
    /// This process runs a version from now on, with the operator's number for it.
    Adopt(Version, u64),
}

impl FarmView for Farm {
    fn server(&self, server: Tag) -> Option<ServerNow> {
        self.server_now(server.0)
    }

    /// Every client may be on every server that is listed: what a tenant may use is not part of today's settings.
    fn permits(&self, _: &Client, _: Tag) -> bool {
        true
    }
}

fn client(opening: &Opening) -> Option<Client> {
    Some(Client {
        key: Key(opening.key?),
        group: opening.group.map(Group),
        tenant: opening.tenant,
    })
}

impl Core {
    /// Does something with the ties. Guards against a fault in them that would end the core and all connections with
    /// it: from then on clients go by the rotation, and it is said.
    fn with_ties<T>(&mut self, act: impl FnOnce(&mut Ties, &Farm, Millis) -> T) -> Option<T> {
        let now = self.now_ms();
        let (farm, ties) = (&self.farm, self.bond.as_mut()?.ties.as_mut()?);
        let done = catch_unwind(AssertUnwindSafe(|| act(ties, farm, now)));
        if done.is_err() {
            error!(
                part = "affinity",
                "panicked; no client is led back until a restart"
            );
            if let Some(bond) = &mut self.bond {
                bond.ties = None;
            }
        }
        done.ok()
    }

    /// Where a client that comes is led.
    pub(super) fn led(&mut self, id: u64, opening: &Opening) -> Option<Pin> {
        let client = client(opening)?;
        let advice = self.with_ties(|ties, farm, now| ties.memory.place(&client, farm, now))??;
        let server = self.farm.by_tag(advice.server.0)?;
        let name = self.farm.get(server).map(|server| server.name.to_string());
        debug!(part = "affinity", transaction = id, server = name, why = ?advice.why, under = %advice.under, "led back");
        Some(Pin {
            server: Some(server),
            strict: false,
        })
    }

    /// A connection stands, and its client's place is remembered.
    pub(super) fn tie(&mut self, id: u64, server: ServerId) {
        let Some(client) = self
            .ledger
            .get(id)
            .and_then(|transaction| client(&transaction.opening))
        else {
            return;
        };
        let Some(tag) = self.farm.tag(server) else {
            return;
        };
        let placed = self.with_ties(|ties, _, now| {
            let placed = ties.memory.stood(&client, Tag(tag), now).ok()?;
            ties.standing.insert(id, (placed.key, placed.stamp));
            Some(placed)
        });
        self.tell_placed(placed.flatten());
    }

    /// A connection that stood ends, or its client is sent off its server.
    pub(super) fn untie(&mut self, id: u64, how: How) {
        let ended = self.with_ties(|ties, _, now| {
            let (key, stamp) = ties.standing.remove(&id)?;
            ties.memory.ended(key, stamp, how, now)
        });
        self.tell_placed(ended.flatten());
    }

    fn tell_placed(&self, placed: Option<Placement>) {
        self.witness(|_| placed.map(|placed| Witness::Placed(vec![placed])));
        self.tell_held();
    }

    /// Tells how many placements are remembered, for people.
    fn tell_held(&self) {
        self.witness(|core| {
            let ties = core.bond.as_ref()?.ties.as_ref()?;
            Some(Witness::Remembers(ties.memory.counts().held))
        });
    }

    /// Servers that started anew hold nothing of what stood there before.
    pub(super) fn tell_ties_of_starts(&mut self) {
        self.with_ties(|ties, farm, _| {
            for (tag, started_at) in farm.starts() {
                ties.memory.restarted(Tag(tag), started_at);
            }
        });
    }

    /// What others and the memory of before know.
    pub(super) fn take_ties(&mut self, news: TieNews) {
        match news {
            TieNews::Placements(told) => {
                self.with_ties(|ties, _, now| ties.memory.heard_all(&told, now));
                self.tell_held();
            }
            TieNews::Versions(facts) => {
                self.with_ties(|ties, _, now| {
                    for fact in &facts {
                        if ties.memory.heard_version(fact, now) {
                            info!(part = "affinity", version = %fact.version, serial = fact.serial, "a version is run elsewhere");
                        }
                    }
                });
            }
            TieNews::Died(origin) => {
                self.with_ties(|ties, _, _| ties.memory.balancer_died(origin));
            }
            TieNews::Adopt(version, serial) => {
                let adopted =
                    self.with_ties(|ties, _, now| ties.memory.adopt(version, serial, now));
                if let Some(adopted) = adopted {
                    info!(part = "affinity", version = %version, serial, how = ?adopted, "version runs here");
                }
                self.tell_version();
            }
        }
    }

    fn tell_version(&mut self) {
        let runs = self
            .with_ties(|ties, _, now| ties.memory.still_runs(now))
            .flatten();
        self.witness(|_| runs.map(Witness::Runs));
    }

    /// Tells again of what stands, and forgets what is past its life.
    pub(super) fn ties_are_due(&mut self) {
        let standing = self.with_ties(|ties, _, now| {
            ties.memory.expire(now, CLEARED);
            let stands = ties
                .standing
                .values()
                .filter_map(|(key, stamp)| ties.memory.stands(*key, *stamp, now));
            (stands.collect::<Vec<Placement>>(), ties.again)
        });
        let Some((standing, again)) = standing else {
            return;
        };
        self.tell_held();
        self.witness(|_| (!standing.is_empty()).then_some(Witness::Placed(standing)));
        self.tell_version();
        self.wake(again, Due::Ties);
    }
}

/// How a move by the module ends a placement.
pub(super) fn moved_for(why: MigrationReason) -> How {
    match why {
        MigrationReason::ServerLeaving => How::MovedLeaving,
        MigrationReason::SlowMessages => How::MovedLate,
        MigrationReason::Rebalancing | MigrationReason::SlowStart => How::MovedUneven,
    }
}

/// How a connection's own end ends one.
pub(super) fn ended_by(outcome: AttemptOutcome) -> How {
    if outcome == AttemptOutcome::Served {
        How::Left
    } else {
        How::Broke
    }
}
