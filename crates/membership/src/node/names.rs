//! Name conflicts: two incarnations that run under the same name.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::swim;
use super::{Node, Output, Phase};
use crate::codec::ConflictingMember;
use crate::unknown_senders::REPORT_INTERVAL_MS;
use crate::wire::{Content, Identity, NameConflict, WireMessage};
use crate::{Event, Member, Millis, Payload};

/// Interval at which a displaced process asks whether its name is still in use, in milliseconds.
pub(super) const DISPLACED_HELLO_INTERVAL_MS: Millis = 15_000;
/// Minimum interval between two notices to a process with a conflicting name, in milliseconds.
const CONFLICT_NOTICE_INTERVAL_MS: Millis = 1_000;
/// Maximum number of names whose report times are kept.
const MAX_TRACKED_NAMES: usize = 256;

#[derive(Debug, Default)]
struct ReportTimes {
    notified_at: Option<Millis>,
    logged_at: Option<Millis>,
}

/// When each name's conflict was last reported.
#[derive(Debug, Default)]
pub(super) struct ConflictReports(BTreeMap<Arc<str>, ReportTimes>);

impl ConflictReports {
    fn times_for(&mut self, name: &str) -> &mut ReportTimes {
        if self.0.len() >= MAX_TRACKED_NAMES && !self.0.contains_key(name) {
            self.0.pop_first();
        }
        self.0.entry(name.into()).or_default()
    }
}

/// Whether the interval has passed since the last time. If so, the last time becomes `now`.
fn mark_if_due(last: &mut Option<Millis>, interval_ms: Millis, now: Millis) -> bool {
    let is_due = last.is_none_or(|last| now >= last + interval_ms);
    if is_due {
        *last = Some(now);
    }
    is_due
}

impl<B: Payload> Node<B> {
    /// Handles a datagram that has this process's own name but comes from another process.
    pub(super) fn own_name_received(
        &mut self,
        from: SocketAddr,
        content: &Content,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let incarnation_id = (content.incarnation, content.start_nonce);
        if incarnation_id > self.local.incarnation_id() {
            let member = Member {
                address: from,
                incarnation: content.incarnation,
                start_nonce: content.start_nonce,
                ..self.local.clone()
            };
            self.resolve_name_conflict(
                ConflictingMember {
                    member,
                    is_alive: true,
                },
                now,
                out,
            );
        } else if incarnation_id < self.local.incarnation_id()
            && from != self.local.address
            && self.phase == Phase::Joined
        {
            self.report_name_conflict(
                from,
                self.local.clone(),
                content.incarnation,
                true,
                now,
                out,
            );
        }
    }

    /// Handles a datagram of an earlier incarnation of a peer. If it is fresh, that incarnation
    /// still runs beside the later one.
    pub(super) fn earlier_incarnation_received(
        &mut self,
        from: SocketAddr,
        content: &Content,
        is_fresh: bool,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let incarnation_id = (content.incarnation, content.start_nonce);
        let known = self
            .swim
            .iter_membership_state()
            .find(|known| *known.id().name == *content.name);
        let Some(holder) = known
            .map(|known| known.id().clone())
            .filter(|holder| holder.incarnation_id() > incarnation_id)
        else {
            return;
        };
        if self.phase == Phase::Joined && is_fresh {
            self.report_name_conflict(
                from,
                holder,
                content.incarnation,
                self.live_members.contains_key(&content.name[..]),
                now,
                out,
            );
        }
    }

    fn report_name_conflict(
        &mut self,
        from: SocketAddr,
        holder: Member,
        other_incarnation: u64,
        is_alive: bool,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let times = self.conflict_reports.times_for(&holder.name);
        let should_notify = mark_if_due(&mut times.notified_at, CONFLICT_NOTICE_INTERVAL_MS, now);
        if is_alive
            && from != holder.address
            && mark_if_due(&mut times.logged_at, REPORT_INTERVAL_MS, now)
        {
            let event = Event::NameConflictFound {
                holder: holder.clone(),
                other_address: from,
                other_incarnation,
            };
            self.emit(event, out);
        }
        if should_notify {
            self.send(
                from,
                WireMessage::NameConflict(NameConflict {
                    holder: Some(Identity::full(&holder)),
                    is_alive,
                }),
                out,
            );
        }
    }

    pub(super) fn name_conflict_reported(
        &mut self,
        notice: &NameConflict,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let holder = notice.holder.as_ref().and_then(Identity::member);
        let Some(member) = holder.filter(|member| member.name == self.local.name) else {
            return;
        };
        self.resolve_name_conflict(
            ConflictingMember {
                member,
                is_alive: notice.is_alive,
            },
            now,
            out,
        );
    }

    /// Resolves a conflict with another incarnation of this process's own name; the later one wins.
    /// If that incarnation is down or had this very address, it was an earlier start of this
    /// process whose incarnation number was lost. This process then continues with a higher number.
    pub(super) fn resolve_name_conflict(
        &mut self,
        conflict: ConflictingMember,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let ConflictingMember { member, is_alive } = conflict;
        if member.incarnation_id() <= self.local.incarnation_id() || self.phase == Phase::Left {
            return;
        }
        if is_alive && member.address != self.local.address {
            return self.become_displaced(member, now, out);
        }
        let incarnation = member.incarnation.saturating_add(1);
        self.emit(Event::IncarnationRaised(incarnation), out);
        let local = Member {
            incarnation,
            renewal: 0,
            ..self.local.clone()
        };
        if self.phase == Phase::Joined {
            self.schedule.hello_at = now;
            self.announce_identity(local, now, out);
        } else {
            self.rejoin_as(local, now, out);
        }
    }

    fn become_displaced(&mut self, holder: Member, now: Millis, out: &mut Vec<Output>) {
        if mark_if_due(
            &mut self.conflict_reports.times_for(&holder.name).logged_at,
            REPORT_INTERVAL_MS,
            now,
        ) {
            self.emit(Event::Displaced { holder }, out);
        }
        if self.phase != Phase::Joined {
            return;
        }
        let known = self.live_members.values().map(|member| member.address);
        self.phase = Phase::Displaced(self.seeds.iter().copied().chain(known).collect());
        self.live_members.clear();
        self.next_page_source = None;
        self.schedule.hello_at = now + self.jittered(DISPLACED_HELLO_INTERVAL_MS);
    }

    /// Joins the fleet under this identity, without any knowledge of the peers.
    pub(super) fn rejoin_as(&mut self, local: Member, now: Millis, out: &mut Vec<Output>) {
        self.own_name.lock().local = local.clone();
        self.local = local;
        self.swim = swim::new_swim(
            &self.settings,
            self.payload_capacity,
            self.own_name.clone(),
            &mut self.rng,
        );
        self.timers = super::Timers::default();
        self.suspicions.clear();
        let previous = std::mem::replace(&mut self.phase, Phase::Joined);
        if let Phase::Displaced(addresses) = previous {
            let own_address = self.local.address;
            for to in addresses
                .into_iter()
                .filter(|to| *to != own_address)
                .take(super::HELLO_FANOUT)
            {
                self.send(to, WireMessage::Hello(Identity::full(&self.local)), out);
            }
        }
        self.schedule.hello_interval_ms = 0;
        self.schedule.hello_at = now + super::INITIAL_HELLO_INTERVAL_MS;
    }
}
