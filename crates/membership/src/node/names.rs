//! One name, one process: what is done when two lives bear it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::swim;
use super::{Node, Output, Phase};
use crate::codec::ConflictingMember;
use crate::unknown_senders::TELL_EVERY;
use crate::wire::{Content, Identity, NameConflict, WireMessage};
use crate::{Body, Event, Member, Millis};

/// A process outside the fleet asks this often whether its name is still another's.
pub(super) const ASK_AGAIN: Millis = 15_000;
/// Whoever bears another's name is told so at most this often.
const TELL_LOSER_EVERY: Millis = 1_000;
/// At most this many names are remembered as told.
const MOST: usize = 256;

#[derive(Debug, Default)]
struct Times {
    loser: Option<Millis>,
    log: Option<Millis>,
}

/// When which name's trouble was last told.
#[derive(Debug, Default)]
pub(super) struct Naming(BTreeMap<Arc<str>, Times>);

impl Naming {
    fn of(&mut self, name: &str) -> &mut Times {
        if self.0.len() >= MOST && !self.0.contains_key(name) {
            self.0.pop_first();
        }
        self.0.entry(name.into()).or_default()
    }
}

/// Whether so much time has gone since; if so it counts from now.
fn again(last: &mut Option<Millis>, every: Millis, now: Millis) -> bool {
    let is_due = last.is_none_or(|last| now >= last + every);
    if is_due {
        *last = Some(now);
    }
    is_due
}

impl<B: Body> Node<B> {
    /// A datagram under this process's own name, which it did not send itself.
    pub(super) fn own_name_received(
        &mut self,
        from: SocketAddr,
        content: &Content,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let born = (content.incarnation, content.start_nonce);
        if born > self.me.born() {
            let member = Member {
                address: from,
                incarnation: content.incarnation,
                start_nonce: content.start_nonce,
                ..self.me.clone()
            };
            self.contest(
                ConflictingMember {
                    member,
                    is_there: true,
                },
                now,
                out,
            );
        } else if born < self.me.born() && from != self.me.address && self.phase == Phase::Within {
            self.tell_loser(from, self.me.clone(), content.incarnation, true, now, out);
        }
    }

    /// A datagram of another's earlier life. A fresh one, from elsewhere, means that it lives on beside the later.
    pub(super) fn earlier_incarnation_received(
        &mut self,
        from: SocketAddr,
        content: &Content,
        is_fresh: bool,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let born = (content.incarnation, content.start_nonce);
        let known = self
            .swim
            .iter_membership_state()
            .find(|known| *known.id().name == *content.name);
        let Some(holder) = known
            .map(|known| known.id().clone())
            .filter(|holder| holder.born() > born)
        else {
            return;
        };
        if self.phase == Phase::Within && is_fresh {
            self.tell_loser(
                from,
                holder,
                content.incarnation,
                self.present.contains_key(&content.name[..]),
                now,
                out,
            );
        }
    }

    fn tell_loser(
        &mut self,
        from: SocketAddr,
        holder: Member,
        other_boot: u64,
        is_there: bool,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let times = self.naming.of(&holder.name);
        let tell = again(&mut times.loser, TELL_LOSER_EVERY, now);
        if is_there && from != holder.address && again(&mut times.log, TELL_EVERY, now) {
            let doubled = Event::Doubled {
                holder: holder.clone(),
                other: from,
                other_boot,
            };
            self.tell(doubled, out);
        }
        if tell {
            self.say(
                from,
                WireMessage::NameConflict(NameConflict {
                    holder: Some(Identity::full(&holder)),
                    is_there,
                }),
                out,
            );
        }
    }

    pub(super) fn name_conflict_reported(
        &mut self,
        told: &NameConflict,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let holder = told.holder.as_ref().and_then(Identity::member);
        let Some(member) = holder.filter(|member| member.name == self.me.name) else {
            return;
        };
        self.contest(
            ConflictingMember {
                member,
                is_there: told.is_there,
            },
            now,
            out,
        );
    }

    /// Another life under this process's own name. The later counts; but one that is over, or that was at this very
    /// address, was an earlier one of this process, whose boot number was lost.
    pub(super) fn contest(&mut self, rival: ConflictingMember, now: Millis, out: &mut Vec<Output>) {
        let ConflictingMember { member, is_there } = rival;
        if member.born() <= self.me.born() || self.phase == Phase::Left {
            return;
        }
        if is_there && member.address != self.me.address {
            return self.step_out(member, now, out);
        }
        let incarnation = member.incarnation.saturating_add(1);
        self.tell(Event::BootRaised(incarnation), out);
        let me = Member {
            incarnation,
            renewal: 0,
            ..self.me.clone()
        };
        if self.phase == Phase::Within {
            self.schedule.hello = now;
            self.announce_anew(me, now, out);
        } else {
            self.step_in(me, now, out);
        }
    }

    fn step_out(&mut self, by: Member, now: Millis, out: &mut Vec<Output>) {
        if again(&mut self.naming.of(&by.name).log, TELL_EVERY, now) {
            self.tell(Event::Displaced { by }, out);
        }
        if self.phase != Phase::Within {
            return;
        }
        let known = self.present.values().map(|member| member.address);
        self.phase = Phase::Outside(self.seeds.iter().copied().chain(known).collect());
        self.present.clear();
        self.ask = None;
        self.schedule.hello = now + self.jittered(ASK_AGAIN);
    }

    /// Begins anew as this member, with nothing known of the others.
    pub(super) fn step_in(&mut self, me: Member, now: Millis, out: &mut Vec<Output>) {
        self.own.lock().me = me.clone();
        self.me = me;
        self.swim = swim::library(&self.settings, self.room, self.own.clone(), &mut self.rng);
        self.timers = super::Timers::default();
        self.doubts.clear();
        let before = std::mem::replace(&mut self.phase, Phase::Within);
        if let Phase::Outside(addresses) = before {
            let own = self.me.address;
            for to in addresses
                .into_iter()
                .filter(|to| *to != own)
                .take(super::HELLOS)
            {
                self.say(to, WireMessage::Hello(Identity::full(&self.me)), out);
            }
        }
        self.schedule.hello_gap = 0;
        self.schedule.hello = now + super::FIRST_HELLO;
    }
}
