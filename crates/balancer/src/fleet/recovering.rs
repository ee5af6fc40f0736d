//! The way from dark to serving: what the machine of recovery is told, and what is done of what it wants.

use std::collections::BTreeSet;
use std::time::Duration;

use beaconflow_recovery::{self as recovery, Event as RecoveryEvent, Whom};

use super::gather::Wanted;
use super::{Millis, Thread, carry, words};
use crate::core::{Event, KnownNews};
use crate::farm::{Lifecycle, List, Listed};
use crate::overrides::wall;

/// A part that was left to a peer lapses there at once, too.
const LOAN_GOOD: Millis = 2_000;

impl Thread {
    /// Tells the machine of recovery, and does what it wants.
    pub(super) fn recovery_event(&mut self, event: RecoveryEvent) {
        let wanted = self.gathering.take(self.now, wall(), event);
        self.want(wanted);
    }

    pub(super) fn want(&mut self, wanted: Vec<Wanted>) {
        for one in wanted {
            match one {
                Wanted::Ask(whom) => self.ask(whom),
                Wanted::List => self.show_list(),
                Wanted::Serve(how) => self.serve(how),
                Wanted::Admit(id) => self.core.tell(Event::Known(KnownNews::Admit(id))),
                Wanted::Defer(id, after) => {
                    self.status.deferred += 1;
                    let after = Duration::from_nanos(after);
                    self.core.tell(Event::Known(KnownNews::Defer(id, after)));
                }
                Wanted::Lend(to, number, clients) => {
                    let (key, value) = (
                        to.into_bytes(),
                        words::lend(&self.file.name, number, clients),
                    );
                    self.enter(carry::LOAN, (key, true), value, LOAN_GOOD);
                    self.peers.say();
                }
            }
        }
    }

    /// Asks somebody. The peers' words come by themselves, and so does discovery's list: whoever has been heard has
    /// answered.
    fn ask(&mut self, whom: Whom) {
        match whom {
            Whom::SitePeers if self.is_settled => {
                self.recovery_event(RecoveryEvent::Answered(whom))
            }
            Whom::SitePeers | Whom::OtherSites => self.peers.say(),
            Whom::Discovery => {}
            Whom::Store => self.recovery_event(RecoveryEvent::Failed(whom)),
        }
    }

    /// Shows the core the list as it is believed; it counts there only as long as it knows none.
    pub(super) fn show_list(&mut self) {
        let entry = |entry: recovery::Entry| {
            let known = self.servers.get(&entry.name)?;
            let lifecycle = match entry.lifecycle {
                recovery::Lifecycle::Ready => Lifecycle::Serving,
                recovery::Lifecycle::Draining => Lifecycle::Draining,
                recovery::Lifecycle::Gone => Lifecycle::Deleted,
            };
            Some(Listed {
                lifecycle,
                started_at_ms: entry.started_at_ms,
                ..known.clone()
            })
        };
        let instances: Vec<Listed> = self
            .gathering
            .recovery()
            .servers()
            .filter_map(entry)
            .collect();
        if !instances.is_empty() {
            let list = List {
                generation: 0,
                reset: true,
                instances,
            };
            self.core.tell(Event::Known(KnownNews::List(list)));
        }
        self.hold_drains();
    }

    /// Servers that drained when they were last heard of, and that a list calls ready whose teller may have forgotten.
    pub(super) fn hold_drains(&mut self) {
        let drains = self.gathering.recovery().servers().filter(|entry| {
            let told = self.servers.get(&entry.name).map(|listed| listed.lifecycle);
            entry.lifecycle == recovery::Lifecycle::Draining && told == Some(Lifecycle::Serving)
        });
        let drains: BTreeSet<String> = drains.map(|entry| entry.name).collect();
        if self.site.hold(drains) {
            self.go_by_evidence();
        }
    }

    fn serve(&mut self, how: recovery::How) {
        let gathers = how == recovery::How::NotYet;
        self.serving_since = if gathers {
            None
        } else {
            self.serving_since.or(Some(self.now))
        };
        self.in_full = how == recovery::How::Full;
        if gathers != self.gathers {
            self.gathers = gathers;
            self.core.tell(Event::Known(KnownNews::Gathers(gathers)));
        }
        let by_turns = self.file.borne.is_some() && !self.in_full;
        if by_turns != self.by_turns {
            self.by_turns = by_turns;
            self.core.tell(Event::Known(KnownNews::Turns(by_turns)));
        }
        // The others count their turns from the first that lets clients in.
        self.tell_at = self.now;
    }
}
