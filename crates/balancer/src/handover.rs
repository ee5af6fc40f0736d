//! Standing connections go from a process that leaves to the one that takes its place: their two sockets, and what the
//! client said when it opened. Client and application server feel nothing of it.
//!
//! The way is a socket in `$TMPDIR`, which both processes see. Each process puts its own in the place of the one before,
//! by a rename; whoever finds none there, or its own, gives nothing away, and moves its clients instead.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use rustix::net::sockopt::socket_peercred;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use socket2::{Domain, SockAddr, Socket, Type};
use tracing::{info, warn};

use crate::net;

/// Longest message: a server's name, and an opening line.
const LONGEST: usize = 8 * 1024;
/// After a failed accept the next one waits for so long. Guards against a busy loop while there are no descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Messages are whole or not there.
const KIND: Type = Type::SEQPACKET;

/// A standing connection on its way.
pub struct Given {
    /// The client's socket.
    pub client: TcpStream,
    /// The application server's.
    pub server: TcpStream,
    /// The application server's name.
    pub at: String,
    /// The client's opening line.
    pub line: Vec<u8>,
}

/// Where the processes of one balancer meet.
#[derive(Clone, Debug)]
pub struct Place(PathBuf);

impl Place {
    /// The place of the balancer of that name in a folder that all its processes see.
    pub fn of(folder: &Path, name: &str) -> Place {
        Place(folder.join(format!(
            "handover-{:016x}",
            beaconflow_settings::digest(name)
        )))
    }

    /// Takes what is given here from now on, each giver's on a thread of its own.
    pub fn take(&self, take: impl Fn(Given) + Send + Sync + 'static) -> io::Result<()> {
        let own = self.0.with_extension(std::process::id().to_string());
        // One may be left of a process that had this number before.
        let _ = std::fs::remove_file(&own);
        let listener = Socket::new(Domain::UNIX, KIND, None)?;
        listener.bind(&SockAddr::unix(&own)?)?;
        listener.listen(4)?;
        std::fs::rename(&own, &self.0)?;
        let take = Arc::new(take);
        let begin = move |giver: Socket| {
            let take = Arc::clone(&take);
            let run = move || {
                let taken = take_all(&giver, &*take);
                info!(part = "handover", taken, "taken over");
            };
            if let Err(error) = thread().spawn(run) {
                warn!(part = "handover", why = %error, "no thread");
            }
        };
        let accept = move || accept_all(|| listener.accept().map(|(giver, _)| giver), begin);
        thread().spawn(accept).map(drop)
    }

    /// The process that takes this one's place, if there is one.
    pub fn find(&self) -> io::Result<Option<Giver>> {
        let socket = Socket::new(Domain::UNIX, KIND, None)?;
        match socket.connect(&SockAddr::unix(&self.0)?) {
            Ok(()) => {}
            // What is left of a process that is gone, or of none.
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::ConnectionRefused | io::ErrorKind::NotFound
                ) =>
            {
                return Ok(None);
            }
            Err(error) => return Err(error),
        }
        // Whoever gives serves all clients, and waits for nobody.
        socket.set_nonblocking(true)?;
        let other = socket_peercred(&socket)?.pid.as_raw_nonzero().get();
        let is_own = u32::try_from(other).is_ok_and(|other| other == std::process::id());
        Ok((!is_own).then_some(Giver(socket)))
    }
}

/// The way to the process that takes this one's place.
pub struct Giver(Socket);

impl Giver {
    /// Gives a connection away. Its sockets are the other's from then on: here they may only be closed. One that would
    /// block is to be given later: some hundreds may be on their way at once.
    pub fn give(
        &self,
        (client, server): (&TcpStream, &TcpStream),
        at: &str,
        line: &[u8],
    ) -> io::Result<()> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut with = SendAncillaryBuffer::new(&mut space);
        let sockets = [client.as_fd(), server.as_fd()];
        if !with.push(SendAncillaryMessage::ScmRights(&sockets)) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let parts = [
            IoSlice::new(at.as_bytes()),
            IoSlice::new(b"\n"),
            IoSlice::new(line),
        ];
        sendmsg(&self.0, &parts, &mut with, SendFlags::NOSIGNAL)?;
        Ok(())
    }
}

fn thread() -> std::thread::Builder {
    std::thread::Builder::new()
        .name("handover".into())
        .stack_size(net::STACK)
}

/// Accepts whoever gives, for as long as the program runs. Guards against a lack of descriptors in the wrong moment: a
/// giver has its connection by then, and what it gives would stay in the system's queue with its clients.
fn accept_all(mut accept: impl FnMut() -> io::Result<Socket>, begin: impl Fn(Socket)) {
    loop {
        match accept() {
            Ok(giver) => begin(giver),
            Err(error) => {
                warn!(part = "handover", why = %error, "accept failed");
                std::thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

/// Takes what one process gives until it ends; gives how many connections that were.
fn take_all(giver: &Socket, take: &impl Fn(Given)) -> usize {
    let mut taken = 0;
    loop {
        match receive(giver) {
            Ok(Some(given)) => {
                taken += 1;
                take(given);
            }
            Ok(None) => return taken,
            Err(error) => {
                warn!(part = "handover", why = %error, "not understood");
                if error.kind() != io::ErrorKind::InvalidData {
                    return taken;
                }
            }
        }
    }
}

/// The next connection; nothing at the end.
fn receive(giver: &Socket) -> io::Result<Option<Given>> {
    let mut bytes = vec![0; LONGEST];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut with = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(
        giver,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut with,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let mut sockets: Vec<OwnedFd> = Vec::new();
    for message in with.drain() {
        if let RecvAncillaryMessage::ScmRights(given) = message {
            sockets.extend(given);
        }
    }
    if got.bytes == 0 {
        return Ok(None);
    }
    bytes.truncate(got.bytes);
    let fault = || io::Error::from(io::ErrorKind::InvalidData);
    let end = bytes
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or_else(fault)?;
    let at = String::from_utf8(bytes[..end].to_vec()).map_err(|_| fault())?;
    let [client, server] = <[OwnedFd; 2]>::try_from(sockets).map_err(|_| fault())?;
    let (client, server) = (TcpStream::from(client), TcpStream::from(server));
    Ok(Some(Given {
        client,
        server,
        at,
        line: bytes[end + 1..].to_vec(),
    }))
}

#[cfg(test)]
mod tests;
