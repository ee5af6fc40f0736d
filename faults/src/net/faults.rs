//! What a fault does to a link: to what flows, to what stands, and to what would come up.

use std::sync::Arc;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::connections::{BACKLOG, Listening};
use super::relay::Relay;
use crate::fault::Fault;
use crate::flow::Lane;
use crate::record::What;

/// So many openings fill a queue without room: the first comes up and waits to be taken, the second waits for room.
const PLUGS: usize = 2;

impl Relay {
    /// Does something to a link.
    pub(super) fn apply(&mut self, name: &str, fault: Fault) {
        let Some(link) = self.links.get_mut(name) else { panic!("no link {name}") };
        let (near, far) = (link.near.clone(), link.far.clone());
        for (direction, lane) in link.lanes.iter_mut().enumerate() {
            change(lane, direction, fault);
        }
        match fault {
            Fault::Cut(_) => self.plug(name),
            Fault::Refuse => self.refuse(name),
            Fault::Heal | Fault::HealWithReset => self.open(name),
            _ => {}
        }
        if matches!(fault, Fault::Reset | Fault::Refuse | Fault::HealWithReset) {
            self.reset_all(name);
        }
        self.record.note(What::Link { link: name.to_owned(), near, far, fault });
        // What waited may go now.
        self.pump_all(name);
    }

    /// Fills the listener's queue, so that the system answers no further opening: new connections never come up.
    fn plug(&mut self, name: &str) {
        let Some(Listening { kept, listener: Some(listener), plugs, .. }) = self.listening(name) else {
            return;
        };
        let _ = SockRef::from(&*listener).listen(0);
        for _ in plugs.len()..PLUGS {
            let plug = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("a socket");
            plug.set_nonblocking(true).expect("open");
            let _ = plug.connect(&kept.at.into());
            plugs.push(plug);
        }
    }

    /// Has the system refuse new connections.
    fn refuse(&mut self, name: &str) {
        let Some(listening) = self.listening(name) else { return };
        listening.listener = None;
        listening.plugs.clear();
        self.disown_listener(name);
    }

    /// Takes new connections again.
    fn open(&mut self, name: &str) {
        let Some(listening) = self.listening(name) else { return };
        if let Some(listener) = &listening.listener {
            let _ = SockRef::from(listener).listen(BACKLOG);
            // A plug in the queue is no connection of the story's.
            let plugs = listening.plugs.drain(..);
            listening.past.extend(plugs.filter_map(|plug| plug.local_addr().ok()?.as_socket()));
            return self.accept(name);
        }
        let kept = Arc::clone(&listening.kept);
        let listener = self.listen(name, &kept);
        if let Some(listening) = self.listening(name) {
            listening.listener = Some(listener);
        }
    }
}

/// What a fault makes of one direction.
fn change(lane: &mut Lane, direction: usize, fault: Fault) {
    match fault {
        Fault::Delay(way, by) if way.covers(direction) => lane.delay = by,
        Fault::Stall(way, after) if way.covers(direction) => lane.left = Some(after),
        Fault::Dribble(way, size, every) if way.covers(direction) => lane.dribble = Some((size, every)),
        Fault::Lose(way, share) if way.covers(direction) => lane.lose = share,
        Fault::Double(way, share) if way.covers(direction) => lane.double = share,
        Fault::Cut(way) if way.covers(direction) => lane.cut = true,
        Fault::Heal | Fault::HealWithReset => *lane = Lane::default(),
        _ => {}
    }
}
