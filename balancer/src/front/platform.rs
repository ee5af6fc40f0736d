//! The platform's front: lines of text, ended by CRLF.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use beaconflow_settings::{Setup, digest};

use super::{Followed, FrameFault, Framer, Front, OpeningError, Seen, Word};
use crate::core::Opening;
use crate::net::{Intake, ReadError, trimmed, write_gathered};
use crate::stages::send::{Answer, PassError};

/// Longest line, with its end.
const LONGEST_LINE: usize = 4096;
/// A client that has said nothing whole by then is let go.
const OPENING_PATIENCE: Duration = Duration::from_secs(5);
/// A client's line unanswered for so long means that its server is silent. Well under the rule's 7 s, which
/// run from before the line, and over what a server under strain takes for a message.
const SILENCE: Duration = Duration::from_secs(3);

/// The front of the platform's protocol.
pub struct Platform {
    setup: Arc<Setup>,
}

/// A client's first line, split where `d` stands.
pub struct Greeting {
    line: Vec<u8>,
    /// The value of `d` in it.
    wait: std::ops::Range<usize>,
}

impl Platform {
    /// A front for a site.
    pub fn new(setup: Arc<Setup>) -> Platform {
        Platform { setup }
    }

    /// Reads an opening line in place; nothing if no client sends one in this form.
    fn read(&self, line: &[u8], now: u64) -> Option<(Opening, std::ops::Range<usize>)> {
        let text = std::str::from_utf8(line).ok()?;
        let mut words = text.split(' ');
        let (verb, id, key, list) = (words.next()?, words.next()?, words.next()?, words.next()?);
        if verb != "OPEN" || id.is_empty() || words.next().is_some() {
            return None;
        }
        let (mut class, mut wait) = (None, None);
        let (mut group, mut load, mut held_by) = (None, None, None);
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=')?;
            match name {
                "c" => class = Some(self.setup.class(value)?),
                "t" if !self.setup.knows_tenant(value) => return None,
                "d" => {
                    let start = value.as_ptr() as usize - text.as_ptr() as usize;
                    wait = Some((value.parse().ok()?, start..start + value.len()));
                }
                "g" => group = Some(digest(value)),
                "h" => load = value.parse().ok().filter(|load: &f64| load.is_finite() && *load >= 0.0),
                "at" => held_by = Some(value.to_owned()),
                _ => {}
            }
        }
        let (millis, place) = wait?;
        let opening = Opening {
            class: class?,
            key: Some(digest(key)),
            group,
            load,
            taken_at: now,
            patience: Duration::from_millis(millis),
            held_by,
        };
        Some((opening, place))
    }
}

impl Front for Platform {
    type Greeting = Greeting;

    fn name(&self) -> &'static str {
        "platform"
    }

    fn most_early(&self) -> usize {
        LONGEST_LINE
    }

    fn take_in(
        &self,
        client: &TcpStream,
        intake: &mut Intake,
        now: u64,
    ) -> Result<(Opening, Greeting), OpeningError> {
        let until = Instant::now() + OPENING_PATIENCE;
        loop {
            let line = intake.line(client, until)?;
            let line = trimmed(&line);
            if line == b"PING" {
                write_gathered(client, &[b"PONG\r\n"]).map_err(|(_, error)| ReadError::Broken(error))?;
                continue;
            }
            return match self.read(line, now) {
                Some((opening, wait)) => Ok((opening, Greeting { line: line.to_vec(), wait })),
                None => Err(OpeningError::Refused {
                    answer: b"SYNTAX\r\n".to_vec(),
                    why: format!("not an opening: {:?}", String::from_utf8_lossy(line)),
                }),
            };
        }
    }

    fn pass(
        &self,
        server: &TcpStream,
        greeting: &Greeting,
        until: Instant,
        recheck: &dyn Fn() -> bool,
        intake: &mut Intake,
    ) -> Result<Vec<u8>, PassError> {
        if !recheck() {
            return Err(PassError::Withheld);
        }
        let wait = until.saturating_duration_since(Instant::now()).as_millis().to_string();
        let (before, after) = (&greeting.line[..greeting.wait.start], &greeting.line[greeting.wait.end..]);
        write_gathered(server, &[before, wait.as_bytes(), after, b"\r\n"]).map_err(PassError::unwritten)?;
        let line = intake.line(server, until).map_err(PassError::Written)?;
        match trimmed(&line) {
            b"BUSY" => Err(PassError::Answered(Answer::Unavailable)),
            b"MOVE" => Err(PassError::Answered(Answer::SentAway)),
            b"UP" => Ok(line),
            text if text.starts_with(b"UP ") => Ok(line),
            text if text.starts_with(b"BUSY ") => Err(PassError::Answered(Answer::Unavailable)),
            _ => Err(PassError::Answered(Answer::Error)),
        }
    }

    fn say(&self, word: Word) -> Vec<u8> {
        match word {
            Word::Unavailable(None) => b"BUSY\r\n".to_vec(),
            Word::Unavailable(Some(after)) => format!("BUSY {}\r\n", after.as_millis()).into_bytes(),
            Word::Failed => b"ERR\r\n".to_vec(),
            Word::Move => b"MOVE\r\n".to_vec(),
        }
    }

    fn client_framer(&self) -> Box<dyn Framer> {
        Box::new(Lines { by_client: true, ..Lines::default() })
    }

    fn server_framer(&self) -> Box<dyn Framer> {
        Box::new(Lines::default())
    }

    fn silence(&self) -> Duration {
        SILENCE
    }
}

/// Follows lines. Only the head of one that comes in pieces is kept, as far as it may carry a meaning.
#[derive(Default)]
struct Lines {
    by_client: bool,
    /// Head of the line that has not ended.
    head: Vec<u8>,
    /// Its length so far.
    length: usize,
}

/// Bytes of a line that are looked at.
const HEAD: usize = 64;

impl Lines {
    fn meaning(&self, line: &[u8]) -> Seen {
        if self.by_client {
            return Seen::Asked;
        }
        let load =
            line.strip_prefix(b"LOAD ").and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        match line {
            b"BYE" => Seen::Goodbye,
            b"MOVE" => Seen::SentAway,
            _ => load.map_or(Seen::Answered, Seen::Load),
        }
    }
}

impl Framer for Lines {
    fn follow(&mut self, bytes: &[u8], seen: &mut dyn FnMut(Seen) -> bool) -> Result<Followed, FrameFault> {
        let mut followed = Followed { consumed: bytes.len(), ..Followed::default() };
        let mut rest = bytes;
        while !rest.is_empty() {
            let end = rest.iter().position(|byte| *byte == b'\n').map(|at| at + 1);
            let piece = &rest[..end.unwrap_or(rest.len())];
            rest = &rest[piece.len()..];
            self.length += piece.len();
            if self.length > LONGEST_LINE {
                return Err(FrameFault { answer: "" });
            }
            let room = HEAD.saturating_sub(self.head.len()).min(piece.len());
            self.head.extend_from_slice(&piece[..room]);
            if end.is_some() {
                // Every line goes on, whatever it means.
                seen(self.meaning(trimmed(&self.head)));
                self.head.clear();
                self.length = 0;
                followed.boundary = Some(bytes.len() - rest.len());
            }
        }
        Ok(followed)
    }

    fn is_between(&self) -> bool {
        self.length == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_in_pieces_keep_their_meaning_and_their_boundaries() {
        let mut lines = Lines::default();
        let mut all = Vec::new();
        let mut follow = |bytes: &[u8]| {
            let mut seen = |seen| {
                all.push(seen);
                true
            };
            lines.follow(bytes, &mut seen).expect("short lines").boundary
        };
        assert_eq!(follow(b"LOAD 12"), None);
        assert_eq!(follow(b".5\r\nBY"), Some(4));
        assert_eq!(follow(b"E\r\nok\r"), Some(3));
        assert_eq!(follow(b"\n"), Some(1));
        assert!(lines.is_between());
        assert_eq!(all, [Seen::Load(12.5), Seen::Goodbye, Seen::Answered]);
    }

    #[test]
    fn a_line_over_four_kib_is_a_fault() {
        let mut lines = Lines::default();
        assert!(lines.follow(&[b'x'; 4096], &mut |_| true).is_ok());
        assert!(lines.follow(b"x", &mut |_| true).is_err());
    }
}
