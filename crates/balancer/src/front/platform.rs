//! The platform's front: lines of text, ended by CRLF.

use std::collections::HashSet;
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use beaconflow_settings::digest;

use super::{First, Followed, FrameFault, Framer, Front, NoOpening, Refusal, Seen, Word};
use crate::config::SharedSettings;
use crate::core::lifecycle::State;
use crate::core::{LoadAnswer, Opening};
use crate::net::trimmed;
use crate::pass::{Answer, Asking, PassError};
use crate::prober::Question;

/// Longest line, with its end.
const LONGEST_LINE: usize = 4096;
/// A client that has sent nothing by then is let go. It is owed a word or a close within 3 s of connecting, and may
/// have waited to be accepted.
const OPENING_PATIENCE: Duration = Duration::from_millis(1_500);
/// One that has begun its opening is let go by then: some clients take 2 s to write it, and those that never end theirs
/// are owed the same within 3 s.
const BEGUN_OPENING_PATIENCE: Duration = Duration::from_millis(2_300);
/// Longest id, and longest key.
const LONGEST_NAME: usize = 64;
/// A client's line unanswered for so long means that its server is silent. Well under the rule's 7 s, which
/// run from before the line, and over what a server under strain takes for a message.
const SILENCE: Duration = Duration::from_secs(3);

/// The question for a server's load, and what is made of the answer.
pub const LOAD: Question = Question {
    words: b"STATS\r\n",
    read: load_of,
};

/// `PONG` and a report, of which only the load is read; other fields may be there or be spoilt.
fn load_of(line: &[u8]) -> LoadAnswer {
    let Some(report) = line.strip_prefix(b"PONG") else {
        // Where probes are not allowed after all, nothing may be made of that.
        return if line == b"NO" {
            LoadAnswer::Nothing
        } else {
            LoadAnswer::Trouble
        };
    };
    let fields = std::str::from_utf8(report)
        .unwrap_or_default()
        .trim_start()
        .split(',');
    let load = fields
        .filter_map(|field| field.strip_prefix("x0="))
        .find_map(|value| value.parse().ok());
    let sound = |load: &f64| load.is_finite() && *load >= 0.0;
    load.filter(sound)
        .map_or(LoadAnswer::Nothing, LoadAnswer::Load)
}

/// The front of the platform's protocol.
pub struct Platform {
    settings: SharedSettings,
    open: OpenIds,
}

/// The ids of all open requests.
type OpenIds = Arc<Mutex<HashSet<String>>>;

/// An id that is in use for as long as this lives. Guards against a client that opens a connection under the id of
/// another's: servers take the second one for a repeat of the first.
pub struct OpenId {
    id: String,
    open: OpenIds,
}

impl OpenId {
    fn take(id: &str, open: &OpenIds) -> Option<OpenId> {
        // A set of texts is sound at every moment, whoever panicked.
        let is_new = open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.to_owned());
        is_new.then(|| OpenId {
            id: id.to_owned(),
            open: Arc::clone(open),
        })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.id);
    }
}

/// A client's first line, split where `d` stands.
pub struct Greeting {
    line: Vec<u8>,
    /// The value of `d` in it.
    wait: Range<usize>,
    _id: OpenId,
}

impl Platform {
    /// A front for a site.
    pub fn new(settings: SharedSettings) -> Platform {
        Platform {
            settings,
            open: OpenIds::default(),
        }
    }

    /// Reads an opening line in place. Guards against lines that no client sends in this form: an application
    /// server answers them `SYNTAX`. A name that is not known may be a further figure, and goes on unchanged.
    fn read(&self, line: &[u8], now: u64) -> Result<(Opening, Greeting), &'static str> {
        let text = std::str::from_utf8(line).map_err(|_| "not text")?;
        if text
            .bytes()
            .any(|byte| !(byte == b' ' || byte.is_ascii_graphic()))
        {
            return Err("not text");
        }
        let words: Vec<&str> = text.split(' ').collect();
        let ["OPEN", id, key, list] = words[..] else {
            return Err("not an opening");
        };
        let named = |name: &str| !name.is_empty() && name.len() <= LONGEST_NAME;
        let is_id = named(id) && id.bytes().all(|byte| byte.is_ascii_alphanumeric());
        if !is_id || !named(key) || key.contains(['=', ',']) {
            return Err("no id or no key");
        }
        // One look for the whole line: another file may come into force meanwhile.
        let settings = self.settings.now();
        let mut names = HashSet::new();
        let (mut class, mut wait) = (None, None);
        let (mut group, mut tenant, mut load, mut held_by) = (None, None, None, None);
        let mut again = false;
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=').ok_or("a field without a value")?;
            if name.is_empty() || value.is_empty() {
                return Err("a field without a name or a value");
            }
            if !names.insert(name) {
                return Err("a field twice");
            }
            match name {
                "c" => class = Some(settings.class(value).ok_or("no such class")?),
                "t" if !settings.setup().knows_tenant(value) => return Err("no such tenant"),
                "t" => tenant = Some(value),
                "d" => {
                    let digits = value.bytes().all(|byte| byte.is_ascii_digit());
                    let millis = value
                        .parse()
                        .ok()
                        .filter(|_| digits)
                        .map(Duration::from_millis);
                    let millis = millis.ok_or("no time to wait")?;
                    let start = value.as_ptr() as usize - text.as_ptr() as usize;
                    wait = Some((millis, start..start + value.len()));
                }
                "g" => group = Some(digest(value)),
                "h" => {
                    let guess = value
                        .parse()
                        .ok()
                        .filter(|load: &f64| load.is_finite() && *load >= 0.0);
                    load = Some(guess.ok_or("no load")?);
                }
                "r" | "again" if !matches!(value, "0" | "1") => return Err("a mark that is none"),
                "again" => again = value == "1",
                "at" => held_by = Some(value.to_owned()),
                _ => {}
            }
        }
        let (patience, wait) = wait.ok_or("no time to wait")?;
        let class = class.ok_or("no class")?;
        // A client of a class waits no longer than the settings say; one whose connection stood before the start
        // names a time without an end.
        let patience = if held_by.is_some() {
            patience
        } else {
            patience.min(settings.patience(class))
        };
        // Last, so that nothing refused takes an id.
        let id = OpenId::take(id, &self.open).ok_or("the id of an open request")?;
        let opening = Opening {
            class,
            key: Some(digest(key)),
            group,
            tenant: tenant.map(digest),
            account: tenant.map(Arc::from),
            share: None,
            again,
            bytes: line.len(),
            load,
            taken_at: now,
            patience,
            held_by,
        };
        Ok((
            opening,
            Greeting {
                line: line.to_vec(),
                wait,
                _id: id,
            },
        ))
    }
}

impl Front for Platform {
    type Request = (Opening, Greeting);
    type Greeting = Greeting;

    fn name(&self) -> &'static str {
        "platform"
    }

    fn opening_wait(&self) -> Duration {
        OPENING_PATIENCE
    }

    fn begun_opening_wait(&self) -> Duration {
        BEGUN_OPENING_PATIENCE
    }

    fn longest_opening(&self) -> usize {
        LONGEST_LINE
    }

    /// A client sends one line and waits. Guards against commands piled up behind an opening: what a server
    /// makes of them would pass for the answer.
    fn most_early(&self) -> usize {
        0
    }

    fn first(&self, line: &[u8], now: u64) -> First<(Opening, Greeting)> {
        let line = trimmed(line);
        if line == b"PING" {
            return First::Asks;
        }
        match self.read(line, now) {
            Ok(request) => First::Opening(request),
            Err(why) => {
                let shown = String::from_utf8_lossy(&line[..line.len().min(LONGEST_NAME)]);
                First::Refused(Refusal::new(b"ERR\r\n", format!("{why}: {shown:?}")))
            }
        }
    }

    fn state(&self, at: State, ready: bool) -> &'static [u8] {
        match at {
            State::Serving if ready => b"PONG\r\n",
            State::Serving => b"NO core\r\n",
            State::Starting => b"NO starting\r\n",
            State::Standby => b"NO standby\r\n",
            State::Leaving => b"NO leaving\r\n",
        }
    }

    fn opening<'a>(&self, of: &'a Greeting) -> Option<&'a [u8]> {
        Some(&of.line)
    }

    fn no_opening(&self, why: NoOpening) -> Refusal {
        Refusal::new(b"ERR\r\n", format!("{why:?}"))
    }

    fn admit(&self, request: (Opening, Greeting)) -> Result<(Opening, Greeting), Refusal> {
        Ok(request)
    }

    fn pass(&self, asking: &mut Asking<'_>, greeting: &Greeting) -> Result<Vec<u8>, PassError> {
        let wait = asking
            .until()
            .saturating_duration_since(Instant::now())
            .as_millis()
            .to_string();
        let (before, after) = (
            &greeting.line[..greeting.wait.start],
            &greeting.line[greeting.wait.end..],
        );
        asking.head(&[before, wait.as_bytes(), after, b"\r\n"])?;
        let line = asking.line(PassError::Written)?;
        // Guards against an answer that no line of this wire can hold, with or without its beginning.
        if line.len() > LONGEST_LINE {
            return Err(PassError::Answered(Answer::Error));
        }
        match trimmed(&line) {
            b"BUSY" => Err(PassError::Answered(Answer::Unavailable)),
            b"MOVE" => Err(PassError::Answered(Answer::SentAway)),
            b"UP" => Ok(line),
            text if text.starts_with(b"UP ") => Ok(line),
            text if text.starts_with(b"BUSY ") => Err(PassError::Answered(Answer::Unavailable)),
            _ => Err(PassError::Answered(Answer::Error)),
        }
    }

    fn load_question(&self) -> Option<Question> {
        Some(LOAD)
    }

    fn say(&self, word: Word) -> Vec<u8> {
        match word {
            Word::Unavailable(None) => b"BUSY\r\n".to_vec(),
            Word::Unavailable(Some(after)) => {
                format!("BUSY {}\r\n", after.as_millis()).into_bytes()
            }
            Word::Failed => b"ERR\r\n".to_vec(),
            Word::Move => b"MOVE\r\n".to_vec(),
        }
    }

    fn client_framer(&self) -> Box<dyn Framer> {
        Box::new(Lines {
            by_client: true,
            ..Lines::default()
        })
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
        let load = line
            .strip_prefix(b"LOAD ")
            .and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        match line {
            b"BYE" => Seen::Goodbye,
            b"MOVE" => Seen::SentAway,
            _ => load.map_or(Seen::Answered, Seen::Load),
        }
    }
}

impl Framer for Lines {
    fn follow(
        &mut self,
        bytes: &[u8],
        seen: &mut dyn FnMut(Seen) -> bool,
    ) -> Result<Followed, FrameFault> {
        let mut followed = Followed {
            consumed: bytes.len(),
            ..Followed::default()
        };
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
mod tests;
