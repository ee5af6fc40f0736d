//! What one thread waits for when it serves many connections: their streams, their listener, and a bell.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::time::Duration;

use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, Event, EventData};
use rustix::event::{EventfdFlags, Timespec, eventfd};

pub use rustix::event::epoll::EventFlags;

/// Streams that are told ready in one wait.
const BATCH: usize = 256;
/// The bell's token.
const BELL: u64 = u64::MAX;

/// Streams by tokens, watched for as long as something is wanted of them.
pub struct Poller {
    epoll: OwnedFd,
    bell: Bell,
}

/// Cuts a wait short from another thread.
#[derive(Clone, Debug)]
pub struct Bell(Arc<OwnedFd>);

impl Bell {
    /// Rings. One that rings already is as good; nothing here blocks.
    pub fn ring(&self) {
        let _ = rustix::io::write(&*self.0, &1_u64.to_ne_bytes());
    }
}

impl Poller {
    /// A poller that watches its bell alone.
    pub fn new() -> io::Result<Poller> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        let bell = Bell(Arc::new(eventfd(
            0,
            EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK,
        )?));
        epoll::add(&epoll, &*bell.0, EventData::new_u64(BELL), EventFlags::IN)?;
        Ok(Poller { epoll, bell })
    }

    /// Its bell.
    pub fn bell(&self) -> Bell {
        self.bell.clone()
    }

    /// Watches a stream or a listener for what is wanted of it from now on. One of which nothing is wanted is not watched at all:
    /// its end would cut every wait short.
    pub fn watch(
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

    /// Waits until a stream is ready, the bell rings, or the span is over; gives the tokens of what is ready. A wait
    /// that is cut short is as good as one that is over.
    pub fn wait(&self, patience: Duration) -> Vec<u64> {
        let seconds = i64::try_from(patience.as_secs()).unwrap_or(i64::MAX);
        let until = Timespec {
            tv_sec: seconds,
            tv_nsec: patience.subsec_nanos().into(),
        };
        let mut ready: Vec<Event> = Vec::with_capacity(BATCH);
        let _ = epoll::wait(&self.epoll, spare_capacity(&mut ready), Some(&until));
        let tokens: Vec<u64> = ready.iter().map(|event| event.data.u64()).collect();
        if tokens.contains(&BELL) {
            let _ = rustix::io::read(&*self.bell.0, &mut [0; 8]);
        }
        tokens.into_iter().filter(|token| *token != BELL).collect()
    }
}
