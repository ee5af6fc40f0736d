//! Overrides as the core follows them: what the module is told of the farm, the pins of arrivals, and moves.
//!
//! What holds when is the set's word (`beaconflow-overrides`); here it meets the list, the timers and the books.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Duration;

use beaconflow_affinity::How;
use beaconflow_overrides::{Id, Millis, Override, Pace, Set};
use beaconflow_policy::{self as policy, RequestId};
use crossbeam_channel::Sender;
use tracing::{error, info, warn};

use super::farm::{Mark, SitePart};
use super::{Core, Due};

/// Moves are looked for no more often than this. Guards against a core that is busy with nothing else.
const LEAST_WAIT: Duration = Duration::from_millis(20);
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// A change of the overrides.
#[derive(Clone, Debug)]
pub enum OverrideChange {
    /// There is one, or it has changed.
    Put(Box<Override>),
    /// What is left of them is no longer felt.
    Forget(Vec<Id>),
}

/// The module has been told of a change.
#[derive(Debug)]
pub struct InEffect {
    /// Marks of the servers that were taken out: no first byte goes to one once it is quiet.
    pub out: Vec<Arc<Mark>>,
}

impl Core {
    pub(super) fn now_ms(&self) -> Millis {
        self.clock.now() / 1_000_000
    }

    /// Does something with the overrides. Guards against a fault in them that would end the core and all connections
    /// with it: from then on none hold at this front, and it is said.
    pub(super) fn guarded<T>(&mut self, act: impl FnOnce(&mut Core) -> T) -> Option<T> {
        let done = catch_unwind(AssertUnwindSafe(|| act(self)));
        if done.is_err() {
            error!(
                part = self.name,
                "overrides panicked; none hold at this front until a restart"
            );
            self.overrides_lost = true;
            self.farm.overrides = Set::default();
            self.moves.clear();
            let entries = self.farm.reconsider(0);
            self.decide(policy::Event::ServerList {
                update: policy::ListUpdate::Delta,
                entries,
            });
        }
        done.ok()
    }

    /// Takes changes over. Whoever asked hears of it once the module has.
    pub(super) fn take_overrides(
        &mut self,
        changes: Vec<OverrideChange>,
        answer: Option<Sender<InEffect>>,
    ) {
        if self.overrides_lost {
            return;
        }
        let followed = self.guarded(|core| {
            for change in changes {
                match change {
                    OverrideChange::Put(one) => core.farm.overrides.put(*one),
                    OverrideChange::Forget(ids) => {
                        ids.into_iter()
                            .for_each(|id| drop(core.farm.overrides.forget(id)));
                    }
                }
            }
            core.reconsider();
        });
        if let (Some(()), Some(answer)) = (followed, answer) {
            // Nobody waits any more if this fails.
            let _ = answer.try_send(InEffect {
                out: self.farm.marks_of_out(),
            });
        }
    }

    pub(super) fn overrides_are_due(&mut self) {
        if self
            .overrides_due
            .is_some_and(|due| due <= self.clock.now())
        {
            self.overrides_due = None;
        }
        self.guarded(Core::reconsider);
    }

    /// Tells the module what the overrides have made of the farm and of the transactions that wait.
    fn reconsider(&mut self) {
        let now = self.now_ms();
        let entries = self.farm.reconsider(now);
        if !entries.is_empty() {
            self.decide(policy::Event::ServerList {
                update: policy::ListUpdate::Delta,
                entries,
            });
        }
        self.follow();
    }

    /// Takes over what the site's evidence makes of servers while its uplink is lost. Nobody is moved by it.
    pub(super) fn follow_site(&mut self, site: BTreeMap<String, SitePart>) {
        self.farm.follow_site(site);
        self.guarded(Core::reconsider);
    }

    /// What follows from overrides and list alike: pins, moves, a judgement, and when to look again.
    pub(super) fn follow_overrides(&mut self) {
        self.guarded(Core::follow);
    }

    fn follow(&mut self) {
        let now = self.now_ms();
        let farm = &self.farm;
        for (id, pin) in self
            .ledger
            .repin(|opening| farm.pin(opening.group, opening.tenant, now))
        {
            self.decide(policy::Event::PinChanged {
                request: RequestId(id),
                pin,
            });
        }
        let moving = self.farm.moving(now);
        self.moves
            .retain(|server, (id, pace)| moving.get(server) == Some(&(*id, pace.rate())));
        let idle = self.moves.is_empty();
        for (server, (id, rate)) in moving {
            self.moves
                .entry(server)
                .or_insert_with(|| (id, Pace::new(rate, now)));
        }
        if idle && !self.moves.is_empty() {
            self.wake(Duration::ZERO, Due::Moves);
        }
        let judgement = self.farm.judge(now);
        if judgement != self.judgement {
            if judgement.is_sound() {
                info!(
                    part = self.name,
                    "overrides leave a ready server everywhere again"
                );
            } else {
                warn!(part = self.name, what = %judgement, "overrides leave too little");
            }
            self.judgement = judgement;
        }
        let next = self
            .farm
            .overrides
            .next_change(now)
            .map(|at| at.saturating_mul(1_000_000));
        if let Some(next) = next
            && self.overrides_due.is_none_or(|due| next < due)
        {
            self.overrides_due = Some(next);
            self.wake(
                Duration::from_nanos(next.saturating_sub(self.clock.now())),
                Due::Overrides,
            );
        }
    }

    /// Orders the moves that are due off servers that were taken out.
    pub(super) fn go_on_moving(&mut self) {
        if self.moves.is_empty() {
            return;
        }
        let now = self.now_ms();
        let (mut wait, mut moved) = (LONGEST_WAIT, Vec::new());
        for (server, (_, pace)) in &mut self.moves {
            let there: Vec<u64> = self.ledger.movable_at(*server).collect();
            let due = pace.due(now, there.len());
            moved.extend(there.into_iter().take(due));
            wait = wait.min(Duration::from_millis(pace.wait()));
        }
        for id in moved {
            self.untie(id, How::MovedLeaving);
            self.order_move(id, "an operator empties its server");
        }
        self.wake(wait.max(LEAST_WAIT), Due::Moves);
    }
}

#[cfg(test)]
mod tests {
    use beaconflow_overrides::{Draft, Kind, Strictness, Subject};
    use beaconflow_policy::ServerState;
    use beaconflow_settings::digest;

    use super::super::testing::{core, list, row};
    use super::*;
    use crate::clock::Clock;

    fn told(core: &Core) -> Vec<ServerState> {
        core.look()
            .farm
            .iter()
            .map(|server| server.state.1)
            .collect()
    }

    #[test]
    fn a_list_or_a_placement_in_the_instant_of_an_end_finds_it_ended_before_its_timer_fires() {
        let clock = Clock::start();
        let now = clock.now() / 1_000_000;
        let mut overrides = Set::new(0);
        for (id, kind) in [
            Kind::Out {
                server: "s0".into(),
                moves_per_s: None,
            },
            Kind::Pin {
                subject: Subject::Group("north".into()),
                server: "s0".into(),
                strictness: Strictness::Strict,
            },
        ]
        .into_iter()
        .enumerate()
        {
            let draft = Draft {
                kind,
                who: "ada".into(),
                why: "why".into(),
                expires_at: now + 40,
            };
            overrides.put(draft.into_override(Id(id as u64 + 1), now));
        }
        let mut core = core(clock, overrides);
        let pin = |core: &Core| core.farm.pin(Some(digest("north")), None, core.now_ms());
        assert_eq!(
            (told(&core), pin(&core).is_some()),
            (vec![ServerState::OutOfService], true)
        );
        // No timer of the core fires here: nobody runs it.
        while core.now_ms() < now + 40 {
            std::thread::sleep(Duration::from_millis(1));
        }
        assert_eq!(pin(&core), None);
        assert_eq!(told(&core), [ServerState::OutOfService], "it was told so");
        core.take_list(list(&row("s0")), false);
        assert_eq!(told(&core), [ServerState::Ready]);
        core.overrides_are_due();
        assert_eq!(told(&core), [ServerState::Ready]);
    }

    #[test]
    fn a_fault_in_the_overrides_costs_the_overrides_and_not_the_core() {
        let clock = Clock::start();
        let mut overrides = Set::new(1_000);
        let kind = Kind::Out {
            server: "s0".into(),
            moves_per_s: Some(1.0),
        };
        let now = clock.now() / 1_000_000;
        let draft = Draft {
            kind,
            who: "ada".into(),
            why: "why".into(),
            expires_at: now + 60_000,
        };
        overrides.put(draft.into_override(Id(1), now));
        let mut core = core(clock, overrides);
        assert_eq!(told(&core), [ServerState::OutOfService]);
        assert!(!core.moves.is_empty() && core.judgement.whole_farm);
        assert_eq!(core.guarded(|_| -> u8 { panic!("a fault") }), None);
        assert_eq!(told(&core), [ServerState::Ready], "as it is listed");
        assert!(core.look().overrides_lost && core.moves.is_empty());
        // What comes later is not followed, and whoever waits for it is not told that it is.
        let (answer, told_of) = crossbeam_channel::bounded(1);
        core.take_overrides(vec![OverrideChange::Forget(vec![Id(1)])], Some(answer));
        assert!(told_of.try_recv().is_err());
        core.take_list(list(&[row("s0"), row("s1")].join(",")), false);
        assert_eq!(told(&core), [ServerState::Ready, ServerState::Ready]);
    }
}
