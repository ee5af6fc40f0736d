//! The log: one line an event on standard error, `unix-seconds level part message`.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// How much a line matters to the people on call.
#[derive(Clone, Copy)]
pub enum Level {
    /// The ordinary course.
    Info,
    /// Something that the balancer coped with.
    Warn,
    /// Something that someone has to look at.
    Error,
}

/// Begins the log in a form.
pub fn start(_form: Form) {}

/// Writes one line. A closed standard error is no reason to stop serving.
pub fn line(level: Level, part: &str, message: Arguments<'_>) {
    let name = match level {
        Level::Info => "info",
        Level::Warn => "warn",
        Level::Error => "error",
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let text = format!("{}.{:03} {name} {part} {message}\n", now.as_secs(), now.subsec_millis());
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// Lines of one kind that are written in a second; the rest is counted. Guards against a log that clients fill at full
/// speed.
const MOST_A_SECOND: u32 = 5;

/// A log of what clients can cause as often as they like.
#[derive(Default)]
pub struct Bounded(Mutex<Spell>);

#[derive(Default)]
struct Spell {
    begun: Option<Instant>,
    written: u32,
    left_out: u64,
}

impl Bounded {
    /// Writes a warning, or counts it.
    pub fn line(&self, part: &str, message: Arguments<'_>) {
        self.look(part);
        let mut spell = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if spell.written < MOST_A_SECOND {
            spell.written += 1;
            line(Level::Warn, part, message);
        } else {
            spell.left_out += 1;
        }
    }

    /// Begins a new second once one is over, and tells what was left out in it.
    pub fn look(&self, part: &str) {
        let mut spell = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if spell.begun.is_none_or(|begun| begun.elapsed() >= Duration::from_secs(1)) {
            if spell.left_out > 0 {
                line(Level::Warn, part, format_args!("{} more like these left out", spell.left_out));
            }
            *spell = Spell { begun: Some(Instant::now()), ..Spell::default() };
        }
    }
}
