//! What the core tells the fleet's thread of what it sees. Where no fleet is set up nothing is told, and nothing else
//! is decided.
//!
//! The other way, what is known elsewhere comes as an event like any other; it is a hint, and no rule hangs on it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beaconflow_affinity::{Placement, VersionFact};
use beaconflow_policy::{self as policy, AttemptOutcome, ClientKey, Nanos, ServerId};
use beaconflow_recovery::Arrival;
use beaconflow_settings::digest;
use crossbeam_channel::Sender;

use super::farm::SitePart;
use super::ledger::Ended;
use super::lifecycle::Word;
use super::ties::{TieNews, Ties, ended_by};
use super::{Core, Due, Order};
use crate::clock::nanos;
use crate::farm::List;

/// A client that waits to hear whether it is its turn is let in after this.
const TURN_PATIENCE: Duration = Duration::from_millis(250);

/// An application server as the core saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Its name in the list.
    pub name: Arc<str>,
    /// When it last started, in Unix milliseconds; 0 if long ago.
    pub started_ms: u64,
}

/// What the core has seen.
#[derive(Clone, Debug)]
pub enum Witness {
    /// Where clients are placed now, or how their connections ended.
    Placed(Vec<Placement>),
    /// The version of the configuration that is run here.
    Runs(VersionFact),
    /// So many connections stand.
    Standing(usize),
    /// So many clients' placements are remembered.
    Remembers(usize),
    /// A proxy pass of the client with this key came to its end: it stood, or how it failed.
    Passed(Seen, Option<u64>, Option<AttemptOutcome>),
    /// An application server sent a client away by its own word: it drains.
    SentAway(Seen),
    /// A server that is still cold was sent a connection.
    SentCold(Seen),
    /// A list was taken in; it was known before the start if so marked.
    List(List, bool),
    /// The watch on discovery ended or could not be had.
    Deaf,
    /// A client wants in while clients are let in by turns.
    Wants(Arrival),
}

/// What is known elsewhere.
#[derive(Clone, Debug)]
pub enum KnownNews {
    /// The farm as the memory or the peers last had it. It counts only as long as this core knows no server.
    List(List),
    /// What is remembered of clients.
    Ties(TieNews),
    /// How often placements of that client key have failed, over all processes.
    Failures(u64, u32),
    /// What the site's evidence makes of servers that are not as listed, by name.
    Site(BTreeMap<String, SitePart>),
    /// The uplink is lost: for so long from now discovery is asked only when the site's turn comes.
    Hold(Duration),
    /// It is this process's turn to ask discovery, or the uplink is back.
    Ask,
    /// What was known before is being gathered, or no longer: `PING` follows.
    Gathers(bool),
    /// Clients are let in by turns, or no longer.
    Turns(bool),
    /// It is the turn of this transaction's client.
    Admit(u64),
    /// The client of this transaction is to come again after so long.
    Defer(u64, Duration),
}

/// What ties a core to the fleet's thread, as it starts.
pub struct Tie {
    /// Who is told what the core sees.
    pub tell: Sender<Witness>,
    /// What was known before is gathered first, for no longer than this.
    pub gather: Option<Duration>,
    /// Clients are let in by turns until the thread says that they need not.
    pub turns: bool,
    /// What is remembered of clients, where affinity is set up.
    pub ties: Option<Ties>,
}

/// The same, as it goes on.
pub(super) struct Bond {
    tell: Sender<Witness>,
    pub(super) ties: Option<Ties>,
    /// Discovery is not asked before this moment, but when the site's turn comes.
    held_until: Nanos,
    /// The module wants it asked.
    asks: bool,
    /// What was known before is gathered for so long at most.
    gather: Duration,
    /// Until when at most it is gathered now.
    gathers_until: Nanos,
    /// Clients are let in by turns.
    by_turns: bool,
    /// Those of whom nobody has said yet whether it is their turn.
    waits: BTreeSet<u64>,
}

impl Core {
    /// Ties the core to the fleet's thread.
    pub(super) fn bind(&mut self, tie: Tie) {
        let is_tied = tie.ties.is_some();
        self.bond = Some(Bond {
            tell: tie.tell,
            ties: tie.ties,
            held_until: 0,
            asks: false,
            gather: tie.gather.unwrap_or_default(),
            gathers_until: 0,
            by_turns: tie.turns,
            waits: BTreeSet::new(),
        });
        if is_tied {
            self.wake(Duration::ZERO, Due::Ties);
        }
        if tie.gather.is_some() {
            self.gathers(true);
        }
    }

    /// What was known before is being gathered, or no longer.
    fn gathers(&mut self, gathers: bool) {
        let now = self.clock.now();
        let Some(bond) = &mut self.bond else { return };
        let most = bond.gather;
        bond.gathers_until = now.saturating_add(nanos(most));
        // Refused to no word of the program's own.
        let _ = self.follow_word(Word::Recovers(gathers));
        if gathers {
            self.wake(most, Due::Recovered);
        }
    }

    /// Guards against a fleet's thread that never says so: the program serves whatever is missing.
    pub(super) fn recovers_no_longer(&mut self) {
        let now = self.clock.now();
        if self
            .bond
            .as_ref()
            .is_some_and(|bond| now >= bond.gathers_until)
        {
            let _ = self.follow_word(Word::Recovers(false));
        }
    }

    /// Asks whether it is a client's turn, where clients are let in by turns; says whether it has to wait for that.
    pub(super) fn waits_its_turn(&mut self, id: u64) -> bool {
        let Some(bond) = self.bond.as_mut().filter(|bond| bond.by_turns) else {
            return false;
        };
        bond.waits.insert(id);
        self.witness(|core| {
            let opening = &core.ledger.get(id)?.opening;
            let account = opening.account.as_deref().map_or(0, digest);
            let class = core.in_force.place(opening.class);
            let (group, key, returns) = (opening.group, opening.key, opening.again);
            Some(Witness::Wants(Arrival {
                id,
                class,
                account,
                group,
                key,
                returns,
            }))
        });
        self.wake(TURN_PATIENCE, Due::Turn(id));
        true
    }

    /// It is a client's turn. Also where nobody has said so in time: guards against a fleet's thread that is gone.
    pub(super) fn has_its_turn(&mut self, id: u64) {
        let waited = self
            .bond
            .as_mut()
            .is_some_and(|bond| bond.waits.remove(&id));
        if let Some(arrival) = self.ledger.arrival(id).filter(|_| waited) {
            self.decide(policy::Event::ConnectRequested(arrival));
        }
    }

    /// A client is told when to come again, as far as clients are told here.
    fn comes_again(&mut self, id: u64, after: Duration) {
        if self
            .bond
            .as_mut()
            .is_some_and(|bond| bond.waits.remove(&id))
        {
            let (told, most) = (
                self.settings.limits.sends_retry_after,
                self.settings.limits.max_retry_after,
            );
            let after = told.then(|| after.min(Duration::from_nanos(most)));
            if self.ledger.get(id).is_some() {
                self.answer(id, Order::Unavailable(after));
            }
        }
    }

    /// Clients are let in by turns, or no longer: then whoever waits is in.
    fn go_by_turns(&mut self, by_turns: bool) {
        let Some(bond) = &mut self.bond else { return };
        bond.by_turns = by_turns;
        if !by_turns {
            let waits: Vec<u64> = bond.waits.iter().copied().collect();
            waits.into_iter().for_each(|id| self.has_its_turn(id));
        }
    }

    /// Takes in what is known elsewhere.
    pub(super) fn take_known(&mut self, news: KnownNews) {
        match news {
            KnownNews::List(list) if self.farm.is_empty() => self.take_list(list, true),
            KnownNews::List(_) => {}
            KnownNews::Ties(news) => self.take_ties(news),
            KnownNews::Failures(key, count) => {
                self.decide(policy::Event::FleetFailuresCounted {
                    client_key: ClientKey(key),
                    count,
                });
            }
            KnownNews::Site(site) => self.follow_site(site),
            KnownNews::Gathers(gathers) => self.gathers(gathers),
            KnownNews::Turns(by_turns) => self.go_by_turns(by_turns),
            KnownNews::Admit(id) => self.has_its_turn(id),
            KnownNews::Defer(id, after) => self.comes_again(id, after),
            KnownNews::Hold(span) => {
                let until = self.clock.now().saturating_add(nanos(span));
                if let Some(bond) = &mut self.bond {
                    bond.held_until = until;
                }
            }
            KnownNews::Ask => {
                if let Some(bond) = &mut self.bond {
                    bond.held_until = 0;
                }
                self.ask_held();
            }
        }
    }

    /// The module wants discovery asked. While the uplink is lost the call waits for the site's turn. Guards against
    /// every process of a site that asks again and again what lies beyond a lost link.
    pub(super) fn ask_discovery(&mut self) {
        let now = self.clock.now();
        match self.bond.as_mut().filter(|bond| now < bond.held_until) {
            Some(bond) => {
                bond.asks = true;
                let wait = Duration::from_nanos(bond.held_until - now);
                self.wake(wait, Due::Asks);
            }
            // The watcher lives as long as the program.
            None => drop(self.watch.send(())),
        }
    }

    /// Asks what was held back, if nobody holds it back any more.
    pub(super) fn ask_held(&mut self) {
        if self
            .bond
            .as_mut()
            .is_some_and(|bond| std::mem::take(&mut bond.asks))
        {
            self.ask_discovery();
        }
    }

    /// Tells what was seen, where there is anybody to tell. Waits for nobody.
    pub(super) fn witness(&self, what: impl FnOnce(&Core) -> Option<Witness>) {
        if let Some(bond) = &self.bond
            && let Some(seen) = what(self)
        {
            // A fleet's thread that is gone has said so; the core serves on.
            let _ = bond.tell.send(seen);
        }
    }

    pub(super) fn seen(&self, server: ServerId) -> Option<Seen> {
        self.farm.seen(server)
    }

    /// A pass goes out.
    pub(super) fn witness_pass(&self, server: ServerId, now: Nanos) {
        self.witness(|core| {
            let seen = core.seen(server)?;
            let warm_at = (seen.started_ms.saturating_mul(1_000_000))
                .saturating_add(core.settings.rules.warm_up_time);
            (seen.started_ms > 0 && now < warm_at).then_some(Witness::SentCold(seen))
        });
    }

    /// A connection stands, which was a pass of this core's or another process's.
    pub(super) fn witness_stands(&mut self, id: u64, server: ServerId) {
        self.witness(|core| Some(Witness::Passed(core.seen(server)?, core.key_of(id), None)));
        self.tie(id, server);
    }

    /// A pass or a connection has ended.
    pub(super) fn witness_end(&mut self, id: u64, ended: &Ended, how: AttemptOutcome) {
        if ended.stood {
            return self.untie(id, ended_by(how));
        }
        self.witness(|core| {
            Some(Witness::Passed(
                core.seen(ended.server)?,
                core.key_of(id),
                Some(how),
            ))
        });
    }

    fn key_of(&self, id: u64) -> Option<u64> {
        self.ledger.get(id)?.opening.key
    }

    /// A server has sent a client away.
    pub(super) fn sent_away(&self, id: u64) {
        self.witness(|core| Some(Witness::SentAway(core.seen(core.ledger.server_of(id)?)?)));
    }
}

#[cfg(test)]
mod tests {
    use std::cmp::Reverse;
    use std::sync::Arc;
    use std::time::Duration;

    use beaconflow_overrides::Set;

    use super::super::testing::{self, Orders, list, row};
    use super::super::{Core, Event};
    use super::*;
    use crate::clock::Clock;
    use crate::farm::News;

    const LONG: Duration = Duration::from_secs(60);

    /// The same story for a core, with what it ordered and decided.
    fn story(mut core: Core) -> (String, Core) {
        let orders = Arc::new(Orders::default());
        core.hear_of_farm(News::List(list(
            &[row("s0"), row("s1"), row("s2")].join(","),
        )));
        for id in 0..12 {
            testing::opens(&mut core, &orders, id, "acme", LONG);
        }
        for id in 0..8 {
            core.take(Event::Established(id));
        }
        core.take(Event::Ended(
            3,
            AttemptOutcome::Reset,
            Duration::from_millis(900),
        ));
        core.take(Event::Ended(
            8,
            AttemptOutcome::ConnectFailed,
            Duration::from_millis(2),
        ));
        core.hear_of_farm(News::Failed(Duration::ZERO));
        core.take(Event::Left(9));
        (orders.words(), core)
    }

    #[test]
    fn who_listens_changes_nothing_of_what_is_decided_and_hears_all_of_it() {
        let clock = Clock::start();
        let (alone, _) = story(testing::core(clock, Set::default()));
        let mut core = testing::core(clock, Set::default());
        let (tell, heard) = crossbeam_channel::unbounded();
        core.bind(Tie {
            tell,
            gather: None,
            turns: false,
            ties: None,
        });
        let (tied, core) = story(core);
        assert_eq!(alone, tied);
        assert!(alone.contains("Pass"), "{alone}");
        drop(core);
        let heard: Vec<Witness> = heard.iter().collect();
        let count = |is: fn(&Witness) -> bool| heard.iter().filter(|one| is(one)).count();
        assert_eq!(count(|one| matches!(one, Witness::Passed(_, _, None))), 8);
        assert_eq!(
            count(|one| matches!(
                one,
                Witness::Passed(_, _, Some(AttemptOutcome::ConnectFailed))
            )),
            1
        );
        assert_eq!(count(|one| matches!(one, Witness::List(..))), 1);
        assert_eq!(count(|one| matches!(one, Witness::Deaf)), 1);
    }

    #[test]
    fn a_program_gathers_what_was_known_before_for_no_longer_than_its_bound() {
        let mut core = testing::core(Clock::start(), Set::default());
        let (tell, _heard) = crossbeam_channel::unbounded();
        core.bind(Tie {
            tell,
            gather: Some(Duration::ZERO),
            turns: false,
            ties: None,
        });
        core.follow_word(Word::Listens(true))
            .expect("a word of its own");
        assert_eq!(
            core.lifecycle.state(),
            super::super::lifecycle::State::Starting
        );
        // Nobody ever says that it is over.
        core.fire();
        assert_eq!(
            core.lifecycle.state(),
            super::super::lifecycle::State::Serving
        );
    }

    #[test]
    fn discovery_is_not_asked_while_the_uplink_is_lost_but_in_turn_or_when_nobody_holds_it_back() {
        let mut core = testing::core(Clock::start(), Set::default());
        let (watch, asked) = crossbeam_channel::unbounded();
        core.watch = watch;
        let (tell, _heard) = crossbeam_channel::unbounded();
        core.bind(Tie {
            tell,
            gather: None,
            turns: false,
            ties: None,
        });
        core.take(Event::Known(KnownNews::Ask));
        assert!(asked.is_empty(), "the module has not wanted it");
        core.take(Event::Known(KnownNews::Hold(LONG)));
        core.ask_discovery();
        core.ask_held();
        assert!(asked.is_empty(), "held back");
        core.take(Event::Known(KnownNews::Ask));
        assert_eq!(asked.len(), 1, "in turn");
        // Whoever held it back is gone, and its last word is over.
        core.take(Event::Known(KnownNews::Hold(Duration::from_millis(1))));
        core.ask_discovery();
        while asked.len() < 2 {
            std::thread::sleep(Duration::from_millis(1));
            core.ask_held();
        }
        core.ask_discovery();
        assert_eq!(asked.len(), 3);
    }

    #[test]
    fn a_list_that_is_known_elsewhere_counts_only_while_none_is_known_here() {
        let mut core = testing::core(Clock::start(), Set::default());
        core.take(Event::Known(KnownNews::List(list(&row("s7")))));
        assert!(core.farm.by_name("s7").is_none());
        core.hear_of_farm(News::List(list("")));
        core.take(Event::Known(KnownNews::List(list(&row("s7")))));
        assert!(core.farm.by_name("s7").is_some());
    }

    /// How long the module has a client wait whose first pass has failed.
    fn delay(core: &mut Core, id: u64) -> Nanos {
        testing::opens(core, &Arc::new(Orders::default()), id, "acme", LONG);
        let now = core.clock.now();
        core.take(Event::Ended(
            id,
            AttemptOutcome::Rejected,
            Duration::from_millis(1),
        ));
        let last = core
            .timers
            .iter()
            .map(|Reverse((at, set, due))| (*set, *at, *due))
            .max();
        let (_, at, due) = last.expect("a timer");
        assert!(matches!(due, Due::Module(_)), "{due:?}");
        core.take(Event::Left(id));
        at.saturating_sub(now)
    }

    #[test]
    fn what_failed_at_other_processes_lengthens_a_clients_delay_until_it_is_void() {
        let mut core = testing::core(Clock::start(), Set::default());
        let sum = |core: &mut Core, ids: std::ops::Range<u64>, known: Option<u32>| -> Nanos {
            let told = |core: &mut Core, id| {
                known
                    .into_iter()
                    .for_each(|count| core.take(Event::Known(KnownNews::Failures(id, count))));
                delay(core, id)
            };
            ids.map(|id| told(core, id)).sum()
        };
        let none = sum(&mut core, 0..40, None);
        let many = sum(&mut core, 100..140, Some(6));
        assert!(
            many > 2 * none,
            "{many} with six failures elsewhere, {none} without"
        );
        (200..240).for_each(|id| core.take(Event::Known(KnownNews::Failures(id, 6))));
        let void = sum(&mut core, 200..240, Some(0));
        assert!(
            void < many / 2,
            "{void} once a placement succeeded anywhere, {many} before"
        );
    }

    #[test]
    fn while_clients_go_by_turns_each_waits_for_its_own_and_no_longer_than_a_bound() {
        let (mut core, orders) = (
            testing::core(Clock::start(), Set::default()),
            Arc::new(Orders::default()),
        );
        let (tell, heard) = crossbeam_channel::unbounded();
        core.bind(Tie {
            tell,
            gather: None,
            turns: true,
            ties: None,
        });
        (0..4).for_each(|id| testing::opens(&mut core, &orders, id, "acme", LONG));
        let wants = heard
            .try_iter()
            .filter(|one| matches!(one, Witness::Wants(_)))
            .count();
        assert_eq!((wants, orders.words().as_str()), (4, ""));
        core.take(Event::Known(KnownNews::Admit(0)));
        core.take(Event::Known(KnownNews::Defer(
            1,
            Duration::from_millis(700),
        )));
        assert_eq!((orders.of(0), orders.of(1)), ((1, 0), (0, 1)));
        assert!(
            orders.words().contains("1 Unavailable(Some(700ms))"),
            "{}",
            orders.words()
        );
        // One that was answered has had its turn; nobody speaks of the third.
        core.take(Event::Known(KnownNews::Admit(1)));
        core.has_its_turn(2);
        core.take(Event::Known(KnownNews::Turns(false)));
        testing::opens(&mut core, &orders, 4, "acme", LONG);
        assert_eq!(
            [1, 2, 3, 4].map(|id| orders.of(id)),
            [(0, 1), (1, 0), (1, 0), (1, 0)]
        );
    }

    #[test]
    fn the_sites_evidence_passes_a_server_over_and_moves_nobody() {
        let (mut core, orders) = (
            testing::core(Clock::start(), Set::default()),
            Arc::new(Orders::default()),
        );
        core.hear_of_farm(News::List(list(&[row("s0"), row("s1")].join(","))));
        (0..8).for_each(|id| testing::opens(&mut core, &orders, id, "acme", LONG));
        (0..8).for_each(|id| core.take(Event::Established(id)));
        let part = SitePart {
            passed: Some("it hangs".into()),
            part: 1.0,
            cold_since: 0,
        };
        core.take(Event::Known(KnownNews::Site(
            [("s1".to_owned(), part)].into(),
        )));
        (8..16).for_each(|id| testing::opens(&mut core, &orders, id, "acme", LONG));
        let words = orders.words();
        let after: Vec<&str> = words
            .lines()
            .filter(|line| line.contains("Pass"))
            .skip(8)
            .collect();
        assert!(
            after.len() == 8 && after.iter().all(|line| line.ends_with("to s0")),
            "{after:?}"
        );
        assert!(!words.contains("Move"), "{words}");
        core.hear_of_farm(News::List(list(&[row("s0"), row("s1")].join(","))));
        assert!(core.look().farm.iter().any(
            |server| server.name == "s1" && server.state.1 == policy::ServerState::OutOfService
        ));
        core.take(Event::Known(KnownNews::Site(BTreeMap::new())));
        assert!(
            core.look()
                .farm
                .iter()
                .all(|server| server.state.1 == policy::ServerState::Ready)
        );
    }
}
