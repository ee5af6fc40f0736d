//! Exchange of ids between the processes of one balancer, which serve side by side during an
//! upgrade.
//!
//! Each new process connects to the former one. Either end sends the ids that it knows, and then each
//! change, and answers whether an id that the other one opens is free. All integers are
//! little-endian.

use std::io::{self, BufReader, Read, Write};
use std::net::Shutdown;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};
use socket2::{Socket, Type};
use tracing::warn;

use super::{IdEvent, OpenIds, PeerRole, Subscription};
use crate::log::RateLimitedLog;
use crate::net;
use crate::net::unix_socket::{self, PeerLimit, PeerPlace};

/// The part that log messages name.
const PART: &str = "platform";
/// Bytes of an event: its kind and the digest of an id.
const EVENT_BYTES: usize = 9;
/// Most events sent with one write.
const MAX_BATCH: usize = 512;
/// Most processes that ids are exchanged with.
const MAX_LINKS: usize = 2;
/// Longest wait at the start for the ids of the former process.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(500);

/// Path of the Unix socket through which one balancer's processes exchange ids.
pub struct IdExchangeAddress(PathBuf);

impl IdExchangeAddress {
    /// The address for the balancer `name`, in a folder that all its processes share.
    pub fn new(folder: &Path, name: &str) -> IdExchangeAddress {
        let digest = beaconflow_settings::digest(name);
        IdExchangeAddress(folder.join(format!("request-ids-{digest:016x}")))
    }
}

/// Receives the ids of the former process, if there is one, and exchanges changes with it and with
/// the processes that follow.
pub(super) fn start(open_ids: &OpenIds, address: &IdExchangeAddress) -> io::Result<()> {
    let former = unix_socket::connect_if_present(&address.0, Type::STREAM)?;
    let limit = PeerLimit::new(MAX_LINKS);
    let warnings = Arc::new(RateLimitedLog::default());
    if let (Some(former), Some(place)) = (former, limit.take()) {
        let role = PeerRole::Former;
        let snapshot = start_link(open_ids, (former, place), role, &warnings)?;
        if snapshot.recv_timeout(SNAPSHOT_TIMEOUT).is_err() {
            warn!(part = PART, "no ids from the former process");
        }
    }
    let listener = unix_socket::listen_in_place(&address.0, Type::STREAM)?;
    let open_ids = open_ids.clone();
    thread_builder()
        .spawn(move || accept_links(&listener, &open_ids, &limit, &warnings))
        .map(drop)
}

fn thread_builder() -> std::thread::Builder {
    std::thread::Builder::new()
        .name("request-ids".into())
        .stack_size(net::THREAD_STACK_BYTES)
}

/// Accepts the processes that follow.
fn accept_links(
    listener: &Socket,
    open_ids: &OpenIds,
    limit: &PeerLimit,
    warnings: &Arc<RateLimitedLog>,
) {
    let accept = || listener.accept().map(|(socket, _)| socket);
    unix_socket::accept_peers(PART, accept, |socket| {
        let Some(place) = limit.take() else {
            return warnings.warn(PART, "too many processes exchange ids", &"refused one");
        };
        let role = PeerRole::Successor;
        if let Err(error) = start_link(open_ids, (socket, place), role, warnings) {
            warnings.warn(PART, "could not exchange ids", &error);
        }
    });
}

/// Starts the exchange with one process; the receiver hears when its snapshot is complete.
fn start_link(
    open_ids: &OpenIds,
    (socket, place): (Socket, PeerPlace),
    role: PeerRole,
    warnings: &Arc<RateLimitedLog>,
) -> io::Result<Receiver<()>> {
    let Subscription {
        peer,
        snapshot,
        events,
    } = open_ids.subscribe(role);
    let socket = Arc::new(socket);
    let reading_socket = Arc::clone(&socket);
    let writer = thread_builder().spawn(move || {
        // The other thread reports how the connection ended.
        let _ = send_all(&socket, snapshot, &events);
        let _ = socket.shutdown(Shutdown::Both);
    });
    let (complete_sender, complete) = bounded(1);
    let (reading_ids, warnings) = (open_ids.clone(), Arc::clone(warnings));
    let reader = writer.and_then(|_| {
        thread_builder().spawn(move || {
            let _place = place;
            if let Err(error) = receive_all(&reading_socket, peer, &reading_ids, &complete_sender) {
                warnings.warn(PART, "exchange of ids ended", &error);
            }
            // Wakes a writer that the other process keeps waiting.
            let _ = reading_socket.shutdown(Shutdown::Both);
            reading_ids.unsubscribe(peer);
        })
    });
    if reader.is_err() {
        open_ids.unsubscribe(peer);
    }
    reader.map(|_| complete)
}

/// Sends the snapshot and then each event, until the subscription or the connection ends.
fn send_all(
    mut socket: &Socket,
    snapshot: Vec<IdEvent>,
    events: &Receiver<IdEvent>,
) -> io::Result<()> {
    for batch in snapshot.chunks(MAX_BATCH) {
        socket.write_all(&encode(batch))?;
    }
    while let Ok(event) = events.recv() {
        let batch: Vec<IdEvent> = std::iter::once(event)
            .chain(events.try_iter().take(MAX_BATCH - 1))
            .collect();
        socket.write_all(&encode(&batch))?;
    }
    Ok(())
}

/// Applies what the other process sends until it ends.
fn receive_all(
    socket: &Socket,
    peer: u64,
    open_ids: &OpenIds,
    snapshot_complete: &Sender<()>,
) -> io::Result<()> {
    let mut reader = BufReader::new(socket);
    let mut bytes = [0; EVENT_BYTES];
    loop {
        match reader.read_exact(&mut bytes) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
            Err(error) => return Err(error),
        }
        let event = IdEvent::decode(bytes).ok_or(io::ErrorKind::InvalidData)?;
        if event == IdEvent::SnapshotComplete {
            // The receiver may have stopped waiting.
            let _ = snapshot_complete.try_send(());
        }
        open_ids.apply(peer, event);
    }
}

fn encode(events: &[IdEvent]) -> Vec<u8> {
    events.iter().flat_map(|event| event.encode()).collect()
}

impl IdEvent {
    fn encode(self) -> [u8; EVENT_BYTES] {
        let (kind, digest) = match self {
            IdEvent::SnapshotComplete => (0, 0),
            IdEvent::Opened(digest) => (1, digest),
            IdEvent::Released(digest) => (2, digest),
            IdEvent::Remembered(digest) => (3, digest),
            IdEvent::Granted(digest) => (4, digest),
            IdEvent::Refused(digest) => (5, digest),
        };
        let mut bytes = [kind; EVENT_BYTES];
        bytes[1..].copy_from_slice(&u64::to_le_bytes(digest));
        bytes
    }

    fn decode([kind, digest @ ..]: [u8; EVENT_BYTES]) -> Option<IdEvent> {
        let digest = u64::from_le_bytes(digest);
        match kind {
            0 => Some(IdEvent::SnapshotComplete),
            1 => Some(IdEvent::Opened(digest)),
            2 => Some(IdEvent::Released(digest)),
            3 => Some(IdEvent::Remembered(digest)),
            4 => Some(IdEvent::Granted(digest)),
            5 => Some(IdEvent::Refused(digest)),
            _ => None,
        }
    }
}
