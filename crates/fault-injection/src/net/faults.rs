//! Applies faults to a link: to its data, its open connections and its new connections.

use std::sync::Arc;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::connections::{BACKLOG, LinkListener};
use super::relay::Relay;
use crate::fault::Fault;
use crate::flow::Impairment;
use crate::record::EventKind;

/// Number of connections that fill an accept queue of length 0: the first is established and waits to be accepted, the
/// second waits for room.
const FILLERS: usize = 2;

impl Relay {
    /// Applies a fault to a link and records it. Panics if there is no such link.
    pub(super) fn apply(&mut self, name: &str, fault: Fault) {
        let Some(link) = self.links.get_mut(name) else {
            panic!("there is no link named {name:?}")
        };
        let (near, far) = (link.near.clone(), link.far.clone());
        for (direction, impairment) in link.impairments.iter_mut().enumerate() {
            update_impairment(impairment, direction, fault);
        }
        match fault {
            Fault::Partition(_) => self.fill_backlog(name),
            Fault::Refuse => self.refuse(name),
            Fault::Heal | Fault::HealWithReset => self.open(name),
            _ => {}
        }
        if matches!(fault, Fault::Reset | Fault::Refuse | Fault::HealWithReset) {
            self.reset_all(name);
        }
        self.record.append(EventKind::Link {
            link: name.to_owned(),
            near,
            far,
            fault,
        });
        // Data that was held back may be forwarded now.
        self.pump_all(name);
    }

    /// Fills the listener's accept queue, so that the system answers no further SYN and new connections time out.
    fn fill_backlog(&mut self, name: &str) {
        let Some(LinkListener {
            reservation,
            listener: Some(listener),
            backlog_fillers,
            ..
        }) = self.link_listener(name)
        else {
            return;
        };
        let _ = SockRef::from(&*listener).listen(0);
        for _ in backlog_fillers.len()..FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))
                .expect("create a TCP socket");
            filler
                .set_nonblocking(true)
                .expect("make the filler nonblocking");
            let _ = filler.connect(&reservation.address.into());
            backlog_fillers.push(filler);
        }
    }

    /// Closes the listener, so that the system refuses new connections.
    fn refuse(&mut self, name: &str) {
        let Some(link_listener) = self.link_listener(name) else {
            return;
        };
        link_listener.listener = None;
        link_listener.backlog_fillers.clear();
        self.deregister_listener(name);
    }

    /// Accepts new connections again.
    fn open(&mut self, name: &str) {
        let Some(link_listener) = self.link_listener(name) else {
            return;
        };
        if let Some(listener) = &link_listener.listener {
            let _ = SockRef::from(listener).listen(BACKLOG);
            // A filler that is still in the accept queue is not a connection of the test.
            let fillers = link_listener.backlog_fillers.drain(..);
            link_listener
                .closed_fillers
                .extend(fillers.filter_map(|filler| filler.local_addr().ok()?.as_socket()));
            return self.accept(name);
        }
        let reservation = Arc::clone(&link_listener.reservation);
        let listener = self.listen(name, &reservation);
        if let Some(link_listener) = self.link_listener(name) {
            link_listener.listener = Some(listener);
        }
    }
}

/// Applies a fault to the impairment of one direction.
fn update_impairment(impairment: &mut Impairment, direction: usize, fault: Fault) {
    match fault {
        Fault::Delay(affected, delay) if affected.covers(direction) => impairment.delay = delay,
        Fault::Stall(affected, bytes) if affected.covers(direction) => {
            impairment.remaining_bytes = Some(bytes)
        }
        Fault::Throttle(affected, size, interval) if affected.covers(direction) => {
            impairment.throttle = Some((size, interval))
        }
        Fault::Drop(affected, rate) if affected.covers(direction) => impairment.drop_rate = rate,
        Fault::Duplicate(affected, rate) if affected.covers(direction) => {
            impairment.duplicate_rate = rate
        }
        Fault::Partition(affected) if affected.covers(direction) => impairment.partitioned = true,
        Fault::Heal | Fault::HealWithReset => *impairment = Impairment::default(),
        _ => {}
    }
}
