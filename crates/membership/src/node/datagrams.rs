//! Received datagrams, and the answers to them.

use std::net::SocketAddr;

use super::{Node, Output, Phase};
use crate::senders::DatagramOrder;
use crate::wire::{self, Content, Identity, Page, WireMessage};
use crate::{Member, Millis, Payload, Refusal};

impl<B: Payload> Node<B> {
    pub(super) fn handle_datagram(
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
            Err(reason) => return self.refuse(from, reason, now, out),
        };
        let incarnation_id = (content.incarnation, content.start_nonce);
        let order = self
            .senders
            .record(&content.name, incarnation_id, content.counter, now);
        if order == DatagramOrder::Duplicate || self.phase == Phase::Left {
            return self.refuse(from, Refusal::Replay, now, out);
        }
        if *content.name == *self.local.name {
            return self.own_name_received(from, &content, now, out);
        }
        if let DatagramOrder::Earlier { is_fresh } = order {
            self.refuse(from, Refusal::Replay, now, out);
            return self.earlier_incarnation_received(from, &content, is_fresh, now, out);
        }
        self.handle_message(from, content, now, out);
    }

    pub(super) fn refuse(
        &mut self,
        from: SocketAddr,
        reason: Refusal,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.counts.refused[reason as usize] += 1;
        let event = self.unknown_senders.record_refusal(from, reason, now);
        event.into_iter().for_each(|event| self.emit(event, out));
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
        let sender = self
            .live_members
            .get(&name[..])
            .filter(|member| member.incarnation_id() == (incarnation, start_nonce))
            .cloned();
        let sender_identity = |identity: &Identity| {
            identity.member().filter(|member| {
                *member.name == name && member.incarnation_id() == (incarnation, start_nonce)
            })
        };
        match (message, sender) {
            (Some(WireMessage::NameConflict(conflict)), _) => {
                self.name_conflict_reported(&conflict, now, out)
            }
            (Some(WireMessage::Welcome(identity)), _) => {
                if let Some(member) = sender_identity(&identity) {
                    self.welcome_received(member, now, out);
                }
            }
            // A displaced process ignores all other messages.
            _ if self.phase != Phase::Joined => {}
            (Some(WireMessage::Swim(bytes)), _) => self.swim_message(from, &name, &bytes, now, out),
            (Some(WireMessage::Hello(identity)), _) => {
                if let Some(member) = sender_identity(&identity) {
                    self.hello_received(from, member, now, out);
                }
            }
            (Some(WireMessage::SuspicionNotice(notice)), sender) => {
                self.suspicion_received(&notice, sender, now, out)
            }
            (Some(WireMessage::Gossip(bytes)), Some(sender)) => {
                self.payload.receive(&sender, &bytes, now)
            }
            (Some(WireMessage::Summary(bytes)), Some(sender)) => {
                self.answer_summary(&sender, &bytes, now, out)
            }
            (Some(WireMessage::Page(page)), Some(sender)) => {
                self.payload.receive(&sender, &page.bytes, now);
                if page.has_more {
                    self.next_page_source = Some(sender.name);
                }
            }
            (Some(WireMessage::RosterRequest(request)), Some(sender)) => {
                self.answer_roster_request(&sender, &request, now, out)
            }
            (Some(WireMessage::Roster(page)), Some(_)) => self.apply_roster(&page, now, out),
            (
                None
                | Some(
                    WireMessage::RosterRequest(_)
                    | WireMessage::Roster(_)
                    | WireMessage::Gossip(_)
                    | WireMessage::Summary(_)
                    | WireMessage::Page(_),
                ),
                _,
            ) => self.counts.ignored += 1,
        }
    }

    fn hello_received(
        &mut self,
        from: SocketAddr,
        member: Member,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let to = member.address;
        self.sender = Some((member.name.clone(), from));
        let update = foca::Member::alive(member);
        self.with_swim(now, out, |swim, runtime| {
            swim.apply_many(std::iter::once(update), true, runtime)
        });
        self.sender = None;
        self.send(to, WireMessage::Welcome(Identity::full(&self.local)), out);
    }

    fn welcome_received(&mut self, responder: Member, now: Millis, out: &mut Vec<Output>) {
        if self.phase != Phase::Joined {
            self.rejoin_as(self.local.clone(), now, out);
        }
        let update = foca::Member::alive(responder.clone());
        self.with_swim(now, out, |swim, runtime| {
            swim.apply_many(std::iter::once(update), true, runtime)
        });
        self.with_swim(now, out, |swim, runtime| swim.announce(responder, runtime));
    }

    fn answer_summary(
        &mut self,
        requester: &Member,
        summary: &[u8],
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let max_pages = self.settings.max_pages;
        let pages = self
            .payload
            .answer(summary, self.payload_capacity, max_pages, now);
        let has_more = pages.len() >= max_pages;
        for bytes in pages.into_iter().take(max_pages) {
            if bytes.is_empty()
                || bytes.len() > self.payload_capacity
                || !self.budget.allows(self.payload_capacity, now)
            {
                self.counts.rate_limited += 1;
                continue;
            }
            self.send_payload(
                requester.address,
                WireMessage::Page(Page { bytes, has_more }),
                out,
            );
        }
    }
}
