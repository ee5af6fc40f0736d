//! A poller for one thread that serves many sockets, with a waker.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::time::Duration;

use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, Event, EventData};
use rustix::event::{EventfdFlags, Timespec, eventfd};

pub use rustix::event::epoll::EventFlags;

/// Most events returned by one wait.
const MAX_EVENTS: usize = 256;
/// The waker's token.
const WAKER_TOKEN: u64 = u64::MAX;

/// Polls streams for wanted events; each stream is identified by a token.
pub struct Poller {
    epoll: OwnedFd,
    waker: Waker,
}

/// Wakes a poller from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<OwnedFd>);

impl Waker {
    /// Wakes the poller. Never blocks.
    pub fn wake(&self) {
        let _ = rustix::io::write(&*self.0, &1_u64.to_ne_bytes());
    }
}

impl Poller {
    /// Creates a poller that waits for its waker.
    pub fn new() -> io::Result<Poller> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        let waker = Waker(Arc::new(eventfd(
            0,
            EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK,
        )?));
        epoll::add(
            &epoll,
            &*waker.0,
            EventData::new_u64(WAKER_TOKEN),
            EventFlags::IN,
        )?;
        Ok(Poller { epoll, waker })
    }

    /// A waker, which ends a wait from any thread.
    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Changes the events that a stream is polled for. A stream without events is not polled, since
    /// it would end every wait once it is closed.
    pub fn set_interest(
        &self,
        stream: &impl AsFd,
        token: u64,
        (before, wanted): (EventFlags, EventFlags),
    ) -> io::Result<()> {
        let data = EventData::new_u64(token);
        match (before.is_empty(), wanted.is_empty()) {
            _ if before == wanted => Ok(()),
            (true, _) => Ok(epoll::add(&self.epoll, stream, data, wanted)?),
            (false, false) => Ok(epoll::modify(&self.epoll, stream, data, wanted)?),
            (false, true) => Ok(epoll::delete(&self.epoll, stream)?),
        }
    }

    /// Waits until a stream is ready, a waker is used or the time is over; returns the tokens
    /// that are ready. May return early.
    pub fn wait(&self, timeout: Duration) -> Vec<u64> {
        let seconds = i64::try_from(timeout.as_secs()).unwrap_or(i64::MAX);
        let timespec = Timespec {
            tv_sec: seconds,
            tv_nsec: timeout.subsec_nanos().into(),
        };
        let mut ready: Vec<Event> = Vec::with_capacity(MAX_EVENTS);
        let _ = epoll::wait(&self.epoll, spare_capacity(&mut ready), Some(&timespec));
        let tokens: Vec<u64> = ready.iter().map(|event| event.data.u64()).collect();
        if tokens.contains(&WAKER_TOKEN) {
            let _ = rustix::io::read(&*self.waker.0, &mut [0; 8]);
        }
        tokens
            .into_iter()
            .filter(|token| *token != WAKER_TOKEN)
            .collect()
    }
}
