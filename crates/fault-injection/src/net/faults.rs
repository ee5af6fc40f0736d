//! What a fault does to a link: to what flows, to what stands, and to what would come up.

use std::sync::Arc;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::connections::{BACKLOG, Listening};
use super::relay::Relay;
use crate::fault::Fault;
use crate::flow::Impairment;
use crate::record::What;

/// So many openings fill a queue without room: the first comes up and waits to be taken, the second waits for room.
const FILLERS: usize = 2;

impl Relay {
    /// Does something to a link.
    pub(super) fn apply(&mut self, name: &str, fault: Fault) {
        let Some(link) = self.links.get_mut(name) else {
            panic!("no link {name}")
        };
        let (near, far) = (link.near.clone(), link.far.clone());
        for (direction, impairment) in link.impairments.iter_mut().enumerate() {
            change(impairment, direction, fault);
        }
        match fault {
            Fault::Cut(_) => self.fill_backlog(name),
            Fault::Refuse => self.refuse(name),
            Fault::Heal | Fault::HealWithReset => self.open(name),
            _ => {}
        }
        if matches!(fault, Fault::Reset | Fault::Refuse | Fault::HealWithReset) {
            self.reset_all(name);
        }
        self.record.note(What::Link {
            link: name.to_owned(),
            near,
            far,
            fault,
        });
        // What waited may go now.
        self.pump_all(name);
    }

    /// Fills the listener's queue, so that the system answers no further opening: new connections never come up.
    fn fill_backlog(&mut self, name: &str) {
        let Some(Listening {
            reservation,
            listener: Some(listener),
            backlog_fillers,
            ..
        }) = self.listening(name)
        else {
            return;
        };
        let _ = SockRef::from(&*listener).listen(0);
        for _ in backlog_fillers.len()..FILLERS {
            let filler =
                Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("a socket");
            filler.set_nonblocking(true).expect("open");
            let _ = filler.connect(&reservation.at.into());
            backlog_fillers.push(filler);
        }
    }

    /// Has the system refuse new connections.
    fn refuse(&mut self, name: &str) {
        let Some(listening) = self.listening(name) else {
            return;
        };
        listening.listener = None;
        listening.backlog_fillers.clear();
        self.disown_listener(name);
    }

    /// Takes new connections again.
    fn open(&mut self, name: &str) {
        let Some(listening) = self.listening(name) else {
            return;
        };
        if let Some(listener) = &listening.listener {
            let _ = SockRef::from(listener).listen(BACKLOG);
            // A filler in the queue is no connection of the story's.
            let drained = listening.backlog_fillers.drain(..);
            listening
                .late_fillers
                .extend(drained.filter_map(|filler| filler.local_addr().ok()?.as_socket()));
            return self.accept(name);
        }
        let kept = Arc::clone(&listening.reservation);
        let listener = self.listen(name, &kept);
        if let Some(listening) = self.listening(name) {
            listening.listener = Some(listener);
        }
    }
}

/// What a fault makes of one direction.
fn change(impairment: &mut Impairment, direction: usize, fault: Fault) {
    match fault {
        Fault::Delay(way, by) if way.covers(direction) => impairment.delay = by,
        Fault::Stall(way, after) if way.covers(direction) => impairment.left = Some(after),
        Fault::Dribble(way, size, every) if way.covers(direction) => {
            impairment.dribble = Some((size, every))
        }
        Fault::Lose(way, share) if way.covers(direction) => impairment.lose = share,
        Fault::Double(way, share) if way.covers(direction) => impairment.double = share,
        Fault::Cut(way) if way.covers(direction) => impairment.cut = true,
        Fault::Heal | Fault::HealWithReset => *impairment = Impairment::default(),
        _ => {}
    }
}
