//! What comes in, and what is answered.

use std::net::SocketAddr;

use super::{Node, Output, Phase};
use crate::senders::Heard;
use crate::wire::{self, Content, Identity, Page, Word};
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
        let born = (content.boot, content.life);
        let heard = self.senders.hear(&content.name, born, content.counter, now);
        if heard == Heard::Again || self.phase == Phase::Left {
            return self.refuse(from, Refusal::Replay, now, out);
        }
        if *content.name == *self.me.name {
            return self.own_name_heard(from, &content, now, out);
        }
        if let Heard::Earlier { is_fresh } = heard {
            self.refuse(from, Refusal::Replay, now, out);
            return self.earlier_life_heard(from, &content, is_fresh, now, out);
        }
        self.word(from, content, now, out);
    }

    pub(super) fn refuse(
        &mut self,
        from: SocketAddr,
        why: Refusal,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.counts.refused[why as usize] += 1;
        let event = self.strangers.refused(from, why, now);
        event.into_iter().for_each(|event| self.tell(event, out));
    }

    fn word(&mut self, from: SocketAddr, content: Content, now: Millis, out: &mut Vec<Output>) {
        let Content {
            name,
            boot,
            life,
            word,
            ..
        } = content;
        let speaker = self
            .present
            .get(&name[..])
            .filter(|member| member.born() == (boot, life))
            .cloned();
        let is_speaker = |identity: &Identity| {
            identity
                .member()
                .filter(|member| *member.name == name && member.born() == (boot, life))
        };
        match (word, speaker) {
            (Some(Word::Told(told)), _) => self.told(&told, now, out),
            (Some(Word::Welcome(identity)), _) => {
                if let Some(member) = is_speaker(&identity) {
                    self.welcomed(member, now, out);
                }
            }
            // Outside the fleet nothing else is heard.
            _ if self.phase != Phase::Within => {}
            (Some(Word::Swim(bytes)), _) => self.swim_message(from, &name, &bytes, now, out),
            (Some(Word::Hello(identity)), _) => {
                if let Some(member) = is_speaker(&identity) {
                    self.greeted(from, member, now, out);
                }
            }
            (Some(Word::Doubt(doubt)), speaker) => self.doubted(&doubt, speaker, now, out),
            (Some(Word::Rumours(bytes)), Some(speaker)) => self.body.take(&speaker, &bytes, now),
            (Some(Word::Summary(bytes)), Some(speaker)) => self.asked(&speaker, &bytes, now, out),
            (Some(Word::Page(page)), Some(speaker)) => {
                self.body.take(&speaker, &page.bytes, now);
                if page.more {
                    self.ask = Some(speaker.name);
                }
            }
            (Some(Word::RosterAsk(ask)), Some(speaker)) => {
                self.roster_asked(&speaker, &ask, now, out)
            }
            (Some(Word::Roster(page)), Some(_)) => self.roster_came(&page, now, out),
            (
                None
                | Some(
                    Word::RosterAsk(_)
                    | Word::Roster(_)
                    | Word::Rumours(_)
                    | Word::Summary(_)
                    | Word::Page(_),
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
        self.say(to, Word::Welcome(Identity::whole(&self.me)), out);
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
                self.counts.held_back += 1;
                continue;
            }
            self.say_bytes(by.address, Word::Page(Page { bytes, more }), out);
        }
    }
}
