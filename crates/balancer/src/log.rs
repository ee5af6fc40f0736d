//! Logging: one event per line on standard error, as text or as JSON, with stable field names.
//! Every event has a `part` and a constant message; variable data is in its fields. The text format
//! is `unix-seconds level part message field=value ...`.

use std::fmt::{self, Debug, Display, Write as _};
use std::io::Write as _;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber, warn};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt as _};
use tracing_subscriber::registry::LookupSpan;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Space-separated `field=value` pairs.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Installs the global logger; later calls have no effect. `BEACONFLOW_LOG=debug` enables debug
/// events.
pub fn start(format: LogFormat) {
    let max_level = if std::env::var("BEACONFLOW_LOG").is_ok_and(|value| value == "debug") {
        Level::DEBUG
    } else {
        Level::INFO
    };
    let subscriber = tracing_subscriber::registry().with(LogLayer { format, max_level });
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Writes events of this project's crates, one line each.
struct LogLayer {
    format: LogFormat,
    /// Most verbose level that is written. `debug` logs every request.
    max_level: Level,
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for LogLayer {
    fn enabled(&self, metadata: &tracing::Metadata<'_>, _: Context<'_, S>) -> bool {
        *metadata.level() <= self.max_level && metadata.target().starts_with("beaconflow")
    }

    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut record = LogRecord::default();
        event.record(&mut record);
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = match *event.metadata().level() {
            Level::ERROR => "error",
            Level::WARN => "warn",
            Level::DEBUG => "debug",
            _ => "info",
        };
        let mut text = match self.format {
            LogFormat::Text => record.text(now, level),
            LogFormat::Json => record.json(now, level),
        };
        text.push('\n');
        // A closed standard error must not stop the process.
        let _ = std::io::stderr().write_all(text.as_bytes());
    }
}

/// The fields of an event, in the order in which they were recorded.
#[derive(Default)]
struct LogRecord {
    part: String,
    message: String,
    fields: Vec<(&'static str, Value)>,
}

impl LogRecord {
    fn add(&mut self, field: &Field, value: Value) {
        let text = |value: Value| match value {
            Value::String(text) => text,
            other => other.to_string(),
        };
        match field.name() {
            "part" => self.part = text(value),
            "message" => self.message = text(value),
            name => self.fields.push((name, value)),
        }
    }

    fn text(&self, now: Duration, level: &str) -> String {
        let mut line = format!(
            "{}.{:03} {level} {} {}",
            now.as_secs(),
            now.subsec_millis(),
            self.part,
            self.message
        );
        for (name, value) in &self.fields {
            // Writing to a string cannot fail.
            let _ = match value {
                Value::String(text) if is_plain(text) => write!(line, " {name}={text}"),
                value => write!(line, " {name}={value}"),
            };
        }
        line
    }

    fn json(self, now: Duration, level: &str) -> String {
        let mut line = Map::new();
        let time = humantime::format_rfc3339_millis(UNIX_EPOCH + now).to_string();
        for (name, text) in [
            ("time", time),
            ("level", level.into()),
            ("part", self.part),
            ("message", self.message),
        ] {
            line.insert(name.into(), text.into());
        }
        line.extend(
            self.fields
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value)),
        );
        Value::Object(line).to_string()
    }
}

/// Whether a value can be written without quotes: it is not empty and has no whitespace, quote or
/// control character.
fn is_plain(text: &str) -> bool {
    !text.is_empty()
        && !text.chars().any(|character| {
            character.is_whitespace() || character.is_control() || character == '"'
        })
}

impl Visit for LogRecord {
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.add(field, value.into());
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.add(field, value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.add(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.add(field, value.into());
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.add(field, value.into());
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.add(field, format!("{value:?}").into());
    }
}

/// Maximum number of lines per second of one rate-limited log; further events are only counted.
/// Clients could otherwise fill the log.
const MAX_LINES_PER_SECOND: u32 = 5;

/// A rate-limited log for events that clients can trigger at will.
#[derive(Default)]
pub struct RateLimitedLog(Mutex<RateWindow>);

#[derive(Default)]
struct RateWindow {
    started_at: Option<Instant>,
    written: u32,
    suppressed: u64,
}

impl RateLimitedLog {
    /// Writes a warning, or counts it as suppressed once the limit of this second is reached.
    pub fn warn(&self, part: &str, message: &'static str, why: &dyn Display) {
        if self.is_allowed(part) {
            warn!(part, why = %why, "{message}");
        }
    }

    /// Whether an event may be written now; counts it as suppressed otherwise.
    pub fn is_allowed(&self, part: &str) -> bool {
        self.flush(part);
        let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_allowed = window.written < MAX_LINES_PER_SECOND;
        if is_allowed {
            window.written += 1;
        } else {
            window.suppressed += 1;
        }
        is_allowed
    }

    /// Starts a new window when the current second is over, and logs how many warnings it
    /// suppressed.
    pub fn flush(&self, part: &str) {
        let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if window
            .started_at
            .is_none_or(|started_at| started_at.elapsed() >= Duration::from_secs(1))
        {
            if window.suppressed > 0 {
                warn!(
                    part,
                    left_out = window.suppressed,
                    "further messages of this kind suppressed"
                );
            }
            *window = RateWindow {
                started_at: Some(Instant::now()),
                ..RateWindow::default()
            };
        }
    }
}

impl fmt::Debug for RateLimitedLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Bounded")
    }
}

#[cfg(test)]
mod tests;
