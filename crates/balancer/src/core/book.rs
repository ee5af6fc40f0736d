//! Book: what becomes of passes and connections, and the farm's lists, as the module is told and people are shown.

use std::time::Duration;

use beaconflow_policy::{self as policy, AttemptOutcome, ConnectionMetric, Nanos, RequestId};
use tracing::{debug, info, warn};

use super::fleet::Witness;
use super::ledger::Stands;
use super::lifecycle::Word;
use super::{Core, Due, HELD_RETRY, Look};
use crate::clock::nanos;
use crate::farm::List;

/// Slow messages at one application server are told to the module this often.
const DELAY_PERIOD: Nanos = 1_000_000_000;

impl Core {
    pub(super) fn take_list(&mut self, list: List, known: bool) {
        let (count, reset, generation) = (list.instances.len(), list.reset, list.generation);
        for listed in &list.instances {
            debug!(part = self.name, entry = ?listed, "listed");
        }
        self.witness(|_| Some(Witness::List(list.clone(), known)));
        let entries = self
            .farm
            .learn(list, self.now_ms(), |zone| self.in_force.setup().zone(zone));
        let update = match (known, reset) {
            (true, _) => policy::ListUpdate::Cached,
            (false, true) => policy::ListUpdate::Snapshot,
            (false, false) => policy::ListUpdate::Delta,
        };
        info!(part = self.name, generation, kind = ?update, entries = count, "list taken in");
        self.decide(policy::Event::ServerList { update, entries });
        self.tell_ties_of_starts();
        self.follow_overrides();
        // A list that was never heard of, empty by default, is no knowledge of the farm.
        if !known || count > 0 {
            // Refused to no word of the program's own.
            let _ = self.follow_word(Word::Knows);
        }
    }

    /// There is no watch; the module asks for one.
    pub(super) fn list_is_out(&mut self, kind: policy::ListUpdate) {
        self.witness(|_| Some(Witness::Deaf));
        self.decide(policy::Event::ServerList {
            update: kind,
            entries: Vec::new(),
        });
    }

    pub(super) fn established(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(Stands {
            attempt,
            server,
            held,
            class,
            took,
        }) = self.ledger.stands(id, now)
        else {
            return;
        };
        debug!(part = self.name, transaction = id, held, took = ?Duration::from_nanos(took), "stands");
        if held {
            let Some(arrival) = self.ledger.restart(id) else {
                return;
            };
            self.decide(policy::Event::ConnectionAdopted {
                request: arrival,
                server,
            });
        } else {
            self.gate.stands(class, took);
            self.decide(policy::Event::AttemptEstablished {
                request: RequestId(id),
                attempt,
            });
        }
        self.witness_stands(id, server);
        self.drain_stands(id);
    }

    pub(super) fn ended(&mut self, id: u64, outcome: AttemptOutcome, took: Duration) {
        let Some(ended) = self.ledger.ended(id, outcome) else {
            return;
        };
        debug!(
            part = self.name,
            transaction = id,
            stood = ended.stood,
            ?outcome,
            ?took,
            "pass ended"
        );
        self.witness_end(id, &ended, outcome);
        if ended.held {
            let name = self
                .ledger
                .get(id)
                .and_then(|transaction| transaction.opening.held_by.as_deref());
            let name = name.unwrap_or_default();
            warn!(part = self.name, server = name, how = ?outcome, "held connection not up");
            // Guards against a start at which the application server is not reached at the first try.
            return self.wake(HELD_RETRY, Due::Held(id));
        }
        if ended.stood {
            self.ledger.close(id);
        }
        self.decide(policy::Event::AttemptEnded {
            request: RequestId(id),
            attempt: ended.attempt,
            outcome,
            elapsed: nanos(took),
            is_final: ended.stood,
        });
    }

    pub(super) fn noted(&mut self, id: u64, metric: ConnectionMetric) {
        let Some((attempt, server)) = self.ledger.standing(id) else {
            return;
        };
        debug!(part = self.name, transaction = id, ?metric, "noted");
        if let ConnectionMetric::MessageLatency(delay) = metric {
            let slow = Duration::from_nanos(delay) >= self.figures.slow();
            if !self
                .farm
                .delay_is_news(server, self.clock.now(), slow, DELAY_PERIOD)
            {
                return;
            }
        }
        self.decide(policy::Event::ConnectionMeasured {
            request: RequestId(id),
            attempt,
            metric,
        });
    }

    pub(super) fn look(&self) -> Look {
        let standing = self.ledger.standing_at();
        Look {
            counts: self.ledger.counts.clone(),
            open: self.ledger.len(),
            standing: standing.values().sum(),
            farm: self.farm.look(&standing),
            judgement: self.judgement.clone(),
            waiting: self.gate.waiting(),
            overrides_lost: self.overrides_lost,
        }
    }

    pub(super) fn tell_counts(&self, look: &Look) {
        let counts = &look.counts;
        let [
            ok,
            error,
            full,
            timed_out,
            connect_failed,
            reset,
            cancelled,
            not_sent,
        ] = counts.ends;
        info!(
            part = self.name,
            open = look.open,
            waiting = look.waiting,
            standing = look.standing,
            opened = counts.opened,
            adopted = counts.adopted,
            served = counts.served,
            unavailable = counts.unavailable,
            failed = counts.failed,
            left = counts.left,
            moved = counts.moved,
            pinned = counts.pinned,
            passes = counts.passes,
            ok,
            error,
            full,
            timed_out,
            connect_failed,
            reset,
            cancelled,
            not_sent,
            "counts"
        );
    }
}
