//! What comes in, and what is answered.

use std::net::SocketAddr;

use super::{Node, Output, Phase};
use crate::senders::DatagramOrder;
use crate::wire::{self, Content, Identity, Page, WireMessage};
use crate::{Body, Member, Millis, Refusal};

impl<B: Body> Node<B> {
    pub(super) fn datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let content = match wire::open(&self.keys, bytes) {
            Ok(content) => content,
            Err(why) => return self.refuse(from, why, now, out),
        };
        let born = (content.incarnation, content.start_nonce);
        let heard = self.senders.hear(&content.name, born, content.counter, now);
        if heard == DatagramOrder::Duplicate || self.phase == Phase::Left {
            return self.refuse(from, Refusal::Replay, now, out);
        }
        if *content.name == *self.me.name {
            return self.own_name_received(from, &content, now, out);
        }
        if let DatagramOrder::Earlier { is_fresh } = heard {
            self.refuse(from, Refusal::Replay, now, out);
            return self.earlier_incarnation_received(from, &content, is_fresh, now, out);
        }
        self.handle_message(from, content, now, out);
    }

    pub(super) fn refuse(
        &mut self,
        from: SocketAddr,
        why: Refusal,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.counts.refused[why as usize] += 1;
        let event = self.unknown_senders.refused(from, why, now);
        event.into_iter().for_each(|event| self.tell(event, out));
    }

    fn handle_message(
        &mut self,
        from: SocketAddr,
        content: Content,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let Content {
            name,
            incarnation,
            start_nonce,
            message,
            ..
        } = content;
        let speaker = self
            .present
            .get(&name[..])
            .filter(|member| member.born() == (incarnation, start_nonce))
            .cloned();
        let is_speaker = |identity: &Identity| {
            identity.member().filter(|member| {
                *member.name == name && member.born() == (incarnation, start_nonce)
            })
        };
        match (message, speaker) {
            (Some(WireMessage::NameConflict(told)), _) => {
                self.name_conflict_reported(&told, now, out)
            }
            (Some(WireMessage::Welcome(identity)), _) => {
                if let Some(member) = is_speaker(&identity) {
                    self.welcomed(member, now, out);
                }
            }
            // Outside the fleet nothing else is heard.
            _ if self.phase != Phase::Within => {}
            (Some(WireMessage::Swim(bytes)), _) => self.swim_message(from, &name, &bytes, now, out),
            (Some(WireMessage::Hello(identity)), _) => {
                if let Some(member) = is_speaker(&identity) {
                    self.greeted(from, member, now, out);
                }
            }
            (Some(WireMessage::Doubt(doubt)), speaker) => self.doubted(&doubt, speaker, now, out),
            (Some(WireMessage::Rumours(bytes)), Some(speaker)) => {
                self.body.take(&speaker, &bytes, now)
            }
            (Some(WireMessage::Summary(bytes)), Some(speaker)) => {
                self.asked(&speaker, &bytes, now, out)
            }
            (Some(WireMessage::Page(page)), Some(speaker)) => {
                self.body.take(&speaker, &page.bytes, now);
                if page.more {
                    self.ask = Some(speaker.name);
                }
            }
            (Some(WireMessage::RosterAsk(ask)), Some(speaker)) => {
                self.roster_asked(&speaker, &ask, now, out)
            }
            (Some(WireMessage::Roster(page)), Some(_)) => self.roster_came(&page, now, out),
            (
                None
                | Some(
                    WireMessage::RosterAsk(_)
                    | WireMessage::Roster(_)
                    | WireMessage::Rumours(_)
                    | WireMessage::Summary(_)
                    | WireMessage::Page(_),
                ),
                _,
            ) => self.counts.unheard += 1,
        }
    }

    fn greeted(&mut self, from: SocketAddr, member: Member, now: Millis, out: &mut Vec<Output>) {
        let to = member.address;
        self.speaker = Some((member.name.clone(), from));
        let update = foca::Member::alive(member);
        self.with_swim(now, out, |swim, runtime| {
            swim.apply_many(std::iter::once(update), true, runtime)
        });
        self.speaker = None;
        self.say(to, WireMessage::Welcome(Identity::full(&self.me)), out);
    }

    fn welcomed(&mut self, by: Member, now: Millis, out: &mut Vec<Output>) {
        if self.phase != Phase::Within {
            self.step_in(self.me.clone(), now, out);
        }
        let update = foca::Member::alive(by.clone());
        self.with_swim(now, out, |swim, runtime| {
            swim.apply_many(std::iter::once(update), true, runtime)
        });
        self.with_swim(now, out, |swim, runtime| swim.announce(by, runtime));
    }

    fn asked(&mut self, by: &Member, summary: &[u8], now: Millis, out: &mut Vec<Output>) {
        let most = self.settings.pages;
        let pages = self.body.answer(summary, self.room, most, now);
        let more = pages.len() >= most;
        for bytes in pages.into_iter().take(most) {
            if bytes.is_empty() || bytes.len() > self.room || !self.budget.has(self.room, now) {
                self.counts.rate_limited += 1;
                continue;
            }
            self.say_bytes(by.address, WireMessage::Page(Page { bytes, more }), out);
        }
    }
}
