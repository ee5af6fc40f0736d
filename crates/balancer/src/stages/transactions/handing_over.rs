//! Standing connections that go to the process that takes this one's place, or come from the one before.

use std::sync::Arc;

use tracing::warn;

use super::Shared;
use super::event_loop::Server;
use super::transaction::Phase;
use crate::core::{Carrier, Counted, Opening};
use crate::front::{First, Front};
use crate::handover::{Given, Place};
use crate::net::{self, Outflow};
use crate::pass::{End, PassError};
use crate::poller::EventFlags;
use crate::stages::lingering::Lingering;
use crate::stages::relay::{Link, Standing};

impl<F: Front> Server<F> {
    /// Gives a standing connection to the process that takes this one's place, if there is one. It can be given while
    /// nothing of it is here and the other takes it; until then it is tried again, or moved when its turn comes.
    pub(super) fn give(&mut self, id: u64) {
        let Server {
            shared,
            poller,
            giver,
            open,
            ungiven,
            ..
        } = self;
        let Some(transaction) = open.get_mut(&id) else {
            return;
        };
        let (Phase::Standing(standing), Some(greeting), Some(at)) = (
            &transaction.phase,
            transaction.greeting.as_deref(),
            transaction.at.as_deref(),
        ) else {
            return;
        };
        let Some(line) = shared.front.opening(greeting) else {
            return;
        };
        let found = giver.get_or_insert_with(|| {
            let found = shared.place.as_ref().map_or(Ok(None), Place::find);
            found.unwrap_or_else(|error| {
                warn!(part = shared.front.name(), why = %error, "nobody to hand over to");
                None
            })
        });
        let Some(giver) = found else { return };
        if !standing.is_clear() {
            return ungiven.push(id);
        }
        let (client, server) = standing.sides();
        // The other process has the same sockets: left in this poller they would be told ready here for what is there.
        let nothing = EventFlags::empty();
        let unwatched = poller
            .watch(client, id * 2, (transaction.watched.0, nothing))
            .and_then(|()| poller.watch(server, id * 2 + 1, (transaction.watched.1, nothing)));
        if unwatched.is_err() {
            return;
        }
        transaction.watched = (nothing, nothing);
        match giver.give((client, server), at, line) {
            Ok(()) => {
                transaction.book(&PassError::Standing(End::Given), shared);
                self.open.remove(&id);
            }
            Err(error) => {
                if net::is_wait(&error) {
                    ungiven.push(id);
                } else {
                    warn!(part = shared.front.name(), transaction = id, why = %error, "not handed over");
                }
                self.with(id, |_, _| ());
            }
        }
    }

    /// Takes over a connection that another process gives. One that can't be read is moved.
    pub(super) fn take_over(&mut self, given: Given, counted: Counted) {
        let Given {
            client,
            server,
            at,
            line,
        } = given;
        let Shared {
            front,
            core,
            moving,
            ..
        } = &self.shared;
        let read = match front.first(&line, core.clock().now()) {
            First::Opening(request) => front.admit(request).ok(),
            _ => None,
        };
        let link = Link::new(&**front, client, Vec::new());
        let Some((opening, greeting)) = read else {
            warn!(
                part = front.name(),
                "a connection handed over could not be read"
            );
            let server = Lingering::begin(server, Outflow::default(), b"");
            let phase = Phase::Lingering(link.part(moving), Some(server));
            self.unbooked -= 1;
            return self.enter(self.unbooked, None, (phase, None), counted);
        };
        let (opening, at) = (
            Opening {
                held_by: None,
                ..opening
            },
            Arc::from(at),
        );
        let id = core.adopt(
            opening,
            Arc::clone(&at),
            Arc::clone(&self.desk) as Arc<dyn Carrier>,
        );
        let standing = Standing::new(&**front, link, server, core, id);
        self.enter(
            id,
            Some(greeting),
            (Phase::Standing(Box::new(standing)), Some(at)),
            counted,
        );
    }
}
