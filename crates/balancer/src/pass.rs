//! A proxy pass: how far it came, how it ended, and the application server that is being asked.
//!
//! Fronts speak through [`Asking`]; the stages make passes and book their ends.

use std::fmt;
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use beaconflow_policy::AttemptOutcome;

use crate::core::{ApplicationServer, PassTimes};
use crate::net::{self, Intake, PollFlags, ReadError};

/// Most bytes read ahead from a server that is being asked.
const MOST_AHEAD: usize = 8 * 1024;
/// A pass looks so often whether its client has been given up on.
pub const GIVEN_UP_LOOK: Duration = Duration::from_millis(50);

/// How far a proxy pass had come when it ended. What became of its transaction follows from this alone.
#[derive(Debug)]
pub enum PassError {
    /// Nothing was sent: the application server is leaving, it is too late to begin, or the core has given it up.
    Withheld,
    /// The client left, or did not wait for its answer.
    ClientLeft(ReadError),
    /// The connection did not come up.
    NotConnected(io::Error),
    /// It broke before the head's last byte was written.
    HeadPartlyWritten(usize, io::Error),
    /// The head was written, and no answer came.
    Written(ReadError),
    /// The application server answered, but not by serving.
    Answered(Answer),
    /// The connection stood.
    Standing(End),
}

/// An application server's answer to a pass that does not stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Turned away unseen.
    Unavailable,
    /// A draining server sends the client away.
    SentAway,
    /// Anything else.
    Error,
}

/// How a standing connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its server said goodbye and ended it.
    Served,
    /// Its server sent the client away and ended it.
    SentAway,
    /// Its server ended it without a word.
    ServerEnded,
    /// Its server's side broke.
    ServerBroke,
    /// Its server is silent; the client was told to move.
    ServerSilent,
    /// Its server said that it is about to leave; the client was told to move.
    ServerLeaving,
    /// Its server broke the wire's rules.
    ServerFault,
    /// The client ended it.
    ClientEnded,
    /// The client's side broke.
    ClientBroke,
    /// The client broke the wire's rules.
    ClientFault(&'static str),
    /// The client was told to move.
    Moved,
    /// It was given to the process that takes this one's place.
    Given,
    /// It was to be moved, but a message that had begun never ended.
    Cut,
}

impl PassError {
    /// A failed write of a head, by the number of bytes written.
    pub fn unwritten((written, error): (usize, io::Error)) -> PassError {
        PassError::HeadPartlyWritten(written, error)
    }

    /// A server that did not say what goes before the head: nothing was written, so nothing ran.
    pub fn before_head(error: ReadError) -> PassError {
        PassError::NotConnected(match error {
            ReadError::Broken(error) => error,
            ReadError::TimedOut => io::ErrorKind::TimedOut.into(),
            ReadError::Ended | ReadError::TooLong => io::ErrorKind::InvalidData.into(),
        })
    }

    /// What the decision module is told.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            PassError::Withheld => AttemptOutcome::NotSent,
            PassError::ClientLeft(_) => AttemptOutcome::Cancelled,
            PassError::NotConnected(_) | PassError::HeadPartlyWritten(..) => {
                AttemptOutcome::ConnectFailed
            }
            PassError::Written(ReadError::TimedOut) => AttemptOutcome::TimedOut,
            PassError::Written(ReadError::TooLong) | PassError::Answered(Answer::Error) => {
                AttemptOutcome::ServerError
            }
            PassError::Written(ReadError::Ended | ReadError::Broken(_)) => AttemptOutcome::Reset,
            PassError::Answered(Answer::Unavailable) => AttemptOutcome::Rejected,
            PassError::Answered(Answer::SentAway) => AttemptOutcome::Cancelled,
            PassError::Standing(end) => end.outcome(),
        }
    }
}

impl End {
    fn outcome(self) -> AttemptOutcome {
        match self {
            End::Served => AttemptOutcome::Served,
            End::ServerEnded | End::ServerBroke | End::ServerSilent | End::ServerFault => {
                AttemptOutcome::Reset
            }
            End::SentAway
            | End::ServerLeaving
            | End::ClientEnded
            | End::ClientBroke
            | End::ClientFault(_)
            | End::Moved
            | End::Given
            | End::Cut => AttemptOutcome::Cancelled,
        }
    }
}

impl fmt::Display for PassError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PassError::Withheld => write!(f, "withheld"),
            PassError::ClientLeft(error) => write!(f, "client left: {error:?}"),
            PassError::NotConnected(error) => write!(f, "not connected: {error}"),
            PassError::HeadPartlyWritten(bytes, error) => {
                write!(f, "head broken after {bytes} bytes: {error}")
            }
            PassError::Written(error) => write!(f, "written, then {error:?}"),
            PassError::Answered(answer) => write!(f, "answered: {answer:?}"),
            PassError::Standing(end) => write!(f, "stood, then {end:?}"),
        }
    }
}

/// The client that a pass is made for.
pub trait Client {
    /// Its connection.
    fn stream(&self) -> &TcpStream;

    /// Whether its last word waits for the end of the pass.
    fn is_given_up(&self) -> bool;

    /// Looks at it: keeps what it sent early, and tells if it has left or sent more than is kept.
    fn look(&mut self) -> Result<(), ReadError>;
}

/// An application server that is being asked, while its client is looked after.
pub struct Asking<'a> {
    server: TcpStream,
    to: &'a ApplicationServer,
    client: &'a mut dyn Client,
    times: PassTimes,
    intake: Intake,
}

impl<'a> Asking<'a> {
    /// Asks a server whose connection is up.
    pub fn new(
        server: TcpStream,
        to: &'a ApplicationServer,
        client: &'a mut dyn Client,
        times: PassTimes,
    ) -> Asking<'a> {
        Asking {
            server,
            to,
            client,
            times,
            intake: Intake::new(MOST_AHEAD),
        }
    }

    /// The server's connection, and what it has sent beyond its answer.
    pub fn into_parts(self) -> (TcpStream, Vec<u8>) {
        (self.server, self.intake.into_rest())
    }

    /// Until when this pass may take.
    pub fn until(&self) -> Instant {
        self.times.until
    }

    /// Writes the head, if the client still waits, the server still takes new work and there is still time to begin
    /// just before the first byte. The connect may have taken long.
    pub fn head(&mut self, parts: &[&[u8]]) -> Result<(), PassError> {
        self.client.look().map_err(PassError::ClientLeft)?;
        if self.client.is_given_up() || Instant::now() >= self.times.begin_by {
            return Err(PassError::Withheld);
        }
        let begun = {
            let _leave = self.to.leave_to_write().ok_or(PassError::Withheld)?;
            net::write_gathered(&self.server, parts)
        };
        self.go_on(begun, parts).map_err(PassError::unwritten)
    }

    /// Writes more after the head.
    pub fn write(&self, parts: &[&[u8]]) -> Result<(), (usize, io::Error)> {
        self.go_on(net::write_gathered(&self.server, parts), parts)
    }

    /// Waits for a server that takes its time with what was begun.
    fn go_on(
        &self,
        begun: Result<(), (usize, io::Error)>,
        parts: &[&[u8]],
    ) -> Result<(), (usize, io::Error)> {
        match begun {
            Err((written, error)) if net::is_wait(&error) => {
                let whole = parts.concat();
                net::write_until(&self.server, &[&whole[written..]], self.times.until)
                    .map_err(|(more, error)| (written + more, error))
            }
            done => done,
        }
    }

    /// The server's next line with its end. A client that leaves meanwhile cuts the wait short; `failed` says how
    /// far the pass had come if the server gives none.
    pub fn line(&mut self, failed: impl Fn(ReadError) -> PassError) -> Result<Vec<u8>, PassError> {
        loop {
            if let Some(line) = self.intake.whole_line() {
                return Ok(line);
            }
            let left = self.times.until.saturating_duration_since(Instant::now());
            let sides = [
                (&self.server, PollFlags::IN),
                (self.client.stream(), PollFlags::IN),
            ];
            let [server_ready, client_ready] = net::ready(sides, left.min(GIVEN_UP_LOOK));
            if self.client.is_given_up() {
                return Err(failed(ReadError::TimedOut));
            }
            if client_ready {
                self.client.look().map_err(PassError::ClientLeft)?;
            }
            if server_ready || left.is_zero() {
                self.intake
                    .read(&self.server, Instant::now())
                    .or_else(|error| match error {
                        ReadError::TimedOut if !left.is_zero() => Ok(()),
                        error => Err(failed(error)),
                    })?;
            }
        }
    }
}
