//! The library that finds out who is there, driven by a node.

use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification as Notice, PeriodicParams,
    State, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Node, Output, Phase};
use crate::codec::{OwnName, Records};
use crate::wire::{Doubt, Identity, WireMessage};
use crate::{Body, Event, Member, Millis, Settings};

pub(super) type Swim = Foca<Member, Records, Pcg64Mcg, NoCustomBroadcast>;

/// Others asked to probe whom this node cannot reach.
const INDIRECT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Each change is passed on this often by each member that hears of it.
const TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(10).unwrap();
/// One that is down is asked whether it is back in this time: so two halves meet again.
const ANNOUNCE_DOWN: Duration = Duration::from_secs(2);
/// A suspect is told so this often until it speaks up.
const DOUBT_EVERY: Millis = 500;

pub(super) fn library(settings: &Settings, room: usize, own: OwnName, rng: &mut Pcg64Mcg) -> Swim {
    let one = NonZeroUsize::MIN;
    let config = foca::Config {
        probe_period: Duration::from_millis(settings.probe),
        probe_rtt: Duration::from_millis(settings.answer),
        num_indirect_probes: INDIRECT,
        max_transmissions: TRANSMISSIONS,
        suspect_to_down_after: Duration::from_millis(settings.suspect),
        remove_down_after: Some(Duration::from_millis(settings.forget)),
        max_packet_size: NonZeroUsize::new(room).unwrap_or(one),
        notify_down_members: true,
        // Rosters do this, and do not answer whoever knows all.
        periodic_announce: None,
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ANNOUNCE_DOWN,
            num_members: one,
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: Duration::from_millis(settings.round),
            num_members: NonZeroUsize::new(settings.gossip_fanout).unwrap_or(one),
        }),
    };
    let me = own.lock().me.clone();
    Foca::new(
        me,
        config,
        Pcg64Mcg::seed_from_u64(rng.random()),
        Records(own),
    )
}

/// A member that did not answer and is declared down at the end, unless it speaks up.
#[derive(Debug)]
pub(super) struct Doubted {
    member: Member,
    incarnation: u16,
    next: Millis,
    end: Millis,
}

impl Doubted {
    pub fn next_timer(&self) -> Millis {
        self.next
    }

    pub fn put_off(&mut self, by: Millis) {
        self.next += by;
        self.end += by;
    }
}

impl<B: Body> Node<B> {
    /// Lets the library act, and does what it asks for.
    pub(super) fn with_swim<F>(&mut self, now: Millis, out: &mut Vec<Output>, act: F)
    where
        F: FnOnce(&mut Swim, &mut AccumulatingRuntime<Member>) -> Result<(), foca::Error>,
    {
        if act(&mut self.swim, &mut self.runtime).is_err() {
            self.counts.unheard += 1;
        }
        self.keep_name();
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.schedule(timer, after.as_millis() as Millis, now);
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.say(to.address, WireMessage::Swim(bytes.into()), out);
        }
        let mut notices = Vec::new();
        while let Some(notice) = self.runtime.to_notify() {
            notices.push(notice);
        }
        notices
            .into_iter()
            .for_each(|notice| self.noticed(notice, now, out));
        let rival = self.own.lock().conflict.take();
        if let Some(rival) = rival {
            self.contest(rival, now, out);
        }
    }

    /// The library may have announced this process anew.
    fn keep_name(&mut self) {
        if *self.swim.identity() != self.me {
            self.me = self.swim.identity().clone();
            self.own.lock().me = self.me.clone();
            self.counts.renewals += 1;
        }
    }

    fn schedule(&mut self, timer: Timer<Member>, after: Millis, now: Millis) {
        let after = match &timer {
            // Guards against a fleet in step. The probe's own steps keep their order.
            Timer::ProbeRandomMember(_) => self
                .rng
                .random_range(after - after / 10..=after + after / 10),
            Timer::PeriodicAnnounce(_)
            | Timer::PeriodicAnnounceDown(_)
            | Timer::PeriodicGossip(_) => self.jittered(after),
            Timer::ChangeSuspectToDown {
                member_id,
                incarnation,
                ..
            } => {
                self.counts.suspected += 1;
                self.doubts
                    .retain(|doubt| doubt.member.name != member_id.name);
                let (member, incarnation) = (member_id.clone(), *incarnation);
                self.doubts.push(Doubted {
                    member,
                    incarnation,
                    next: now,
                    end: now + after,
                });
                after
            }
            Timer::SendIndirectProbe { .. } | Timer::RemoveDown(_) => after,
        };
        self.timers.add(now + after, timer);
    }

    pub(super) fn run_timers(&mut self, now: Millis, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop(now) {
            self.fire(timer, now, out);
        }
    }

    pub(super) fn fire(&mut self, timer: Timer<Member>, now: Millis, out: &mut Vec<Output>) {
        // Guards against telling a member that it is down which spoke up in time: the library tells it all the same,
        // and it would have to announce itself anew.
        if let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = &timer
            && !self.is_suspect(member_id, *incarnation)
        {
            return;
        }
        self.with_swim(now, out, |swim, runtime| swim.handle_timer(timer, runtime));
    }

    /// Tells suspects to their face, again and again: guards against declaring down whoever is well, since word of
    /// the suspicion, or of its answer, was lost on its way round.
    pub(super) fn voice_doubts(&mut self, now: Millis, out: &mut Vec<Output>) {
        let mut doubts = std::mem::take(&mut self.doubts);
        doubts.retain(|doubt| now < doubt.end && self.is_suspect(&doubt.member, doubt.incarnation));
        for doubt in doubts.iter_mut().filter(|doubt| doubt.next <= now) {
            doubt.next = now + DOUBT_EVERY;
            let suspect = Some(Identity::short(&doubt.member));
            let word = WireMessage::Doubt(Doubt {
                suspect,
                incarnation: doubt.incarnation.into(),
            });
            self.say(doubt.member.address, word, out);
        }
        self.doubts = doubts;
    }

    fn is_suspect(&self, member: &Member, incarnation: u16) -> bool {
        let known = self.swim.iter_members().find(|known| known.id() == member);
        known.is_some_and(|known| {
            known.state() == State::Suspect && known.incarnation() == incarnation
        })
    }

    /// This process is suspected: it speaks up, to all and to whoever suspects it.
    pub(super) fn doubted(
        &mut self,
        doubt: &Doubt,
        by: Option<Member>,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let suspect = doubt.suspect.as_ref().and_then(Identity::member);
        let (Some(suspect), Ok(incarnation)) = (suspect, u16::try_from(doubt.incarnation)) else {
            return;
        };
        // Whoever suspects what this process was before it announced itself anew has missed that.
        if suspect != self.me {
            let answer = by.filter(|_| suspect.is_same_incarnation(&self.me));
            answer.into_iter().for_each(|by| {
                self.with_swim(now, out, |swim, runtime| swim.announce(by, runtime))
            });
            return;
        }
        let update = foca::Member::new(suspect, incarnation, State::Suspect);
        self.with_swim(now, out, |swim, runtime| {
            swim.apply_many(std::iter::once(update), true, runtime)
        });
        if let Some(by) = by {
            self.with_swim(now, out, |swim, runtime| swim.announce(by, runtime));
        }
    }

    /// Takes another identity, and tells the others.
    pub(super) fn announce_anew(&mut self, me: Member, now: Millis, out: &mut Vec<Output>) {
        self.doubts.clear();
        self.with_swim(now, out, |swim, runtime| {
            swim.change_identity(me, &mut *runtime)?;
            // Guards against waiting for a word from others, who may still speak to the identity before.
            swim.apply_many(std::iter::empty(), true, runtime)
        });
    }

    fn noticed(&mut self, notice: Notice<Member>, now: Millis, out: &mut Vec<Output>) {
        match notice {
            Notice::MemberUp(member) => {
                self.present.insert(member.name.clone(), member.clone());
                self.roster_changed(now);
                self.tell(Event::Up(member.clone()), out);
                self.settle_address(&member, now, out);
                self.ask_first(&member, now, out);
            }
            // What came over the wire of one that is down is short: the host is told all that was known.
            Notice::MemberDown(member) => {
                if let Some(gone) = self.present.remove(&member.name) {
                    self.tell(Event::Down(gone), out);
                }
            }
            Notice::Rename(_, member) => self.announced_anew(member, now, out),
            Notice::Active => self.joined(now),
            Notice::Idle => {
                self.schedule.hello_gap = 0;
                self.schedule.hello = now;
            }
            Notice::Rejoin(_) => {
                self.tell(Event::Returned, out);
                self.schedule.hello = now;
                self.roster_changed(now);
            }
            Notice::Defunct => {}
        }
    }

    /// Guards against waiting a second for what the others know: whoever joins asks for it in the next moment.
    fn joined(&mut self, now: Millis) {
        if self.phase == Phase::Within {
            self.schedule.summary = now;
        }
    }

    /// A newcomer asks the first few that it finds. Guards against asking only one, who may know as little.
    fn ask_first(&mut self, member: &Member, now: Millis, out: &mut Vec<Output>) {
        if self.asked_first < self.settings.gossip_fanout && self.phase == Phase::Within {
            self.asked_first += 1;
            self.ask_for_pages(&member.name, now, out);
        }
    }

    fn announced_anew(&mut self, member: Member, now: Millis, out: &mut Vec<Output>) {
        let is_there = self.swim.iter_members().any(|known| *known.id() == member);
        // One that was gone comes up next, and one that is gone goes down next.
        let Some(was) = self.present.get(&member.name).filter(|_| is_there).cloned() else {
            return;
        };
        self.present.insert(member.name.clone(), member.clone());
        self.roster_changed(now);
        let is_changed = was.configuration != member.configuration || was.site != member.site;
        if !was.is_same_incarnation(&member) {
            self.tell(
                Event::Restarted {
                    was,
                    now: member.clone(),
                },
                out,
            );
        } else if is_changed {
            self.tell(
                Event::Changed {
                    was,
                    now: member.clone(),
                },
                out,
            );
        }
        self.settle_address(&member, now, out);
    }

    /// Whoever speaks from an address has it: another that was there under another name is gone.
    fn settle_address(&mut self, member: &Member, now: Millis, out: &mut Vec<Output>) {
        let speaks = self.speaker == Some((member.name.clone(), member.address));
        let same_place =
            |other: &&Member| other.address == member.address && other.name != member.name;
        let Some(was) = self
            .present
            .values()
            .find(same_place)
            .filter(|_| speaks)
            .cloned()
        else {
            return;
        };
        let incarnation = self
            .swim
            .iter_members()
            .find(|known| *known.id() == was)
            .map(foca::Member::incarnation);
        self.tell(
            Event::Renamed {
                was: was.clone(),
                now: member.clone(),
            },
            out,
        );
        let gone = foca::Member::new(was, incarnation.unwrap_or_default(), State::Down);
        self.with_swim(now, out, |swim, runtime| {
            swim.apply_many(std::iter::once(gone), true, runtime)
        });
    }

    pub(super) fn swim_message(
        &mut self,
        from: SocketAddr,
        name: &str,
        bytes: &[u8],
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.speaker = Some((name.into(), from));
        self.with_swim(now, out, |swim, runtime| swim.handle_data(bytes, runtime));
        self.speaker = None;
    }
}
