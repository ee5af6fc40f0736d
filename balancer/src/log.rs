//! The log: one line an event on standard error, `unix-seconds level part message`.

use std::fmt::Arguments;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

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
