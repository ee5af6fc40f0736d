//! The platform's protocol: lines of text that end in CRLF.

use std::collections::HashSet;
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use beaconflow_settings::{ActiveSettings, digest};

use super::{
    ClientMessage, FrameProgress, Framer, Front, HandshakeError, HandshakeLine, MessageKind,
    ProtocolError, Rejection,
};
use crate::attempt::{AttemptError, ServerAnswer, ServerExchange};
use crate::config::SharedSettings;
use crate::core::lifecycle::LifecycleState;
use crate::core::{ClientRequest, ProbeAnswer};
use crate::net::trim_line_end;
use crate::prober::LoadProbe;

/// Longest line, with its end.
const MAX_LINE_BYTES: usize = 4096;
/// A silent client is closed after this. It is owed an answer or a close within 3 s of connecting,
/// and may have waited to be accepted.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Some clients take 2 s to write their first line; one that is never complete is owed a close
/// within 3 s.
const BEGUN_HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_300);
/// Longest id or key.
const MAX_NAME_BYTES: usize = 64;
/// Well below the 7 s of the platform's rule, which begin before the line, and above what an
/// overloaded server takes for a message.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The probe for a server's load.
pub const LOAD_PROBE: LoadProbe = LoadProbe {
    request: b"STATS\r\n",
    parse: parse_load,
};

/// Parses `PONG` with a report, of which only the load is used.
fn parse_load(line: &[u8]) -> ProbeAnswer {
    let Some(report) = line.strip_prefix(b"PONG") else {
        // A server that does not allow probes is not known to be overloaded.
        return if line == b"NO" {
            ProbeAnswer::NoLoad
        } else {
            ProbeAnswer::Unhealthy
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
        .map_or(ProbeAnswer::NoLoad, ProbeAnswer::Load)
}

/// The platform's front.
pub struct Platform {
    settings: SharedSettings,
    open: OpenIds,
}

/// Ids of all open requests.
type OpenIds = Arc<Mutex<HashSet<String>>>;

/// An id in use while this lives. Servers would take a second request under an id in use for a
/// retry of the first.
pub struct OpenId {
    id: String,
    open: OpenIds,
}

impl OpenId {
    fn take(id: &str, open: &OpenIds) -> Option<OpenId> {
        // The set is valid even if a thread panicked while holding the lock.
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

/// A client's `OPEN` line.
pub struct OpenLine {
    line: Vec<u8>,
    /// The range of the value of `d`, the time left.
    deadline_field: Range<usize>,
    _id: OpenId,
}

impl Platform {
    /// Creates the front of a site.
    pub fn new(settings: SharedSettings) -> Platform {
        Platform {
            settings,
            open: OpenIds::default(),
        }
    }

    /// Parses an `OPEN` line. An unknown field is forwarded unchanged.
    fn parse_open(&self, line: &[u8], now: u64) -> Result<(ClientRequest, OpenLine), &'static str> {
        let text = std::str::from_utf8(line).map_err(|_| "not text")?;
        let is_printable = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
        if !text.bytes().all(is_printable) {
            return Err("not text");
        }
        let words: Vec<&str> = text.split(' ').collect();
        let ["OPEN", id, key, list] = words[..] else {
            return Err("not an opening");
        };
        let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let is_id = is_name(id) && id.bytes().all(|byte| byte.is_ascii_alphanumeric());
        if !is_id || !is_name(key) || key.contains(['=', ',']) {
            return Err("no id or no key");
        }
        // The whole line is parsed under one version of the settings.
        let settings = self.settings.current();
        let fields = OpenFields::parse(list, text, &settings)?;
        let (timeout, deadline_field) = fields.timeout.ok_or("no time to wait")?;
        let class = fields.class.ok_or("no class")?;
        // The settings limit how long a client waits, except for a resumed connection, which names
        // an unlimited time.
        let client_timeout = if fields.resumed_server.is_some() {
            timeout
        } else {
            timeout.min(settings.client_timeout(class))
        };
        // Taken last, so that a rejected line leaves no id behind.
        let id = OpenId::take(id, &self.open).ok_or("the id of an open request")?;
        let client_request = ClientRequest {
            class,
            client_key: Some(digest(key)),
            group: fields.group,
            tenant: fields.tenant.map(digest),
            account: fields.tenant.map(Arc::from),
            quota: None,
            is_reconnect: fields.is_reconnect,
            buffered_bytes: line.len(),
            expected_load: fields.expected_load,
            received_at: now,
            client_timeout,
            resumed_server: fields.resumed_server,
        };
        let open_line = OpenLine {
            line: line.to_vec(),
            deadline_field,
            _id: id,
        };
        Ok((client_request, open_line))
    }
}

/// The fields of an `OPEN` line.
#[derive(Default)]
struct OpenFields<'l> {
    class: Option<usize>,
    /// How long the client waits, and the range of the value in the line.
    timeout: Option<(Duration, Range<usize>)>,
    group: Option<u64>,
    tenant: Option<&'l str>,
    expected_load: Option<f64>,
    is_reconnect: bool,
    resumed_server: Option<String>,
}

impl<'l> OpenFields<'l> {
    /// Parses a list of `name=value`, which is a part of `line`.
    fn parse(
        list: &'l str,
        line: &str,
        settings: &ActiveSettings,
    ) -> Result<OpenFields<'l>, &'static str> {
        let mut fields = OpenFields::default();
        let mut names = HashSet::new();
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=').ok_or("a field without a value")?;
            if name.is_empty() || value.is_empty() {
                return Err("a field without a name or a value");
            }
            if !names.insert(name) {
                return Err("a field twice");
            }
            fields.set(name, value, line, settings)?;
        }
        Ok(fields)
    }

    fn set(
        &mut self,
        name: &str,
        value: &'l str,
        line: &str,
        settings: &ActiveSettings,
    ) -> Result<(), &'static str> {
        match name {
            "c" => self.class = Some(settings.class(value).ok_or("no such class")?),
            "t" if !settings.setup().knows_tenant(value) => return Err("no such tenant"),
            "t" => self.tenant = Some(value),
            "d" => {
                let timeout = parse_millis(value).ok_or("no time to wait")?;
                let start = value.as_ptr() as usize - line.as_ptr() as usize;
                self.timeout = Some((timeout, start..start + value.len()));
            }
            "g" => self.group = Some(digest(value)),
            "h" => self.expected_load = Some(parse_expected_load(value).ok_or("no load")?),
            "r" | "again" if !matches!(value, "0" | "1") => return Err("a mark that is none"),
            "again" => self.is_reconnect = value == "1",
            "at" => self.resumed_server = Some(value.to_owned()),
            _ => {}
        }
        Ok(())
    }
}

/// Parses a span in milliseconds: digits only.
fn parse_millis(value: &str) -> Option<Duration> {
    let is_number = value.bytes().all(|byte| byte.is_ascii_digit());
    let millis = value.parse().ok().filter(|_| is_number)?;
    Some(Duration::from_millis(millis))
}

fn parse_expected_load(value: &str) -> Option<f64> {
    let load: f64 = value.parse().ok()?;
    (load.is_finite() && load >= 0.0).then_some(load)
}

impl Front for Platform {
    type Request = (ClientRequest, OpenLine);
    type ServerHandshake = OpenLine;

    fn name(&self) -> &'static str {
        "platform"
    }

    fn handshake_timeout(&self) -> Duration {
        HANDSHAKE_TIMEOUT
    }

    fn begun_handshake_timeout(&self) -> Duration {
        BEGUN_HANDSHAKE_TIMEOUT
    }

    fn max_handshake_line(&self) -> usize {
        MAX_LINE_BYTES
    }

    /// A client sends one line and waits: the answer to a second one would be taken for the first
    /// one's.
    fn max_early_bytes(&self) -> usize {
        0
    }

    fn parse_handshake(&self, line: &[u8], now: u64) -> HandshakeLine<(ClientRequest, OpenLine)> {
        let line = trim_line_end(line);
        if line == b"PING" {
            return HandshakeLine::ReadinessQuery;
        }
        match self.parse_open(line, now) {
            Ok(request) => HandshakeLine::Connect(request),
            Err(why) => {
                let shown = String::from_utf8_lossy(&line[..line.len().min(MAX_NAME_BYTES)]);
                HandshakeLine::Rejected(Rejection::new(b"ERR\r\n", format!("{why}: {shown:?}")))
            }
        }
    }

    fn readiness_answer(&self, at: LifecycleState, ready: bool) -> &'static [u8] {
        match at {
            LifecycleState::Serving if ready => b"PONG\r\n",
            LifecycleState::Serving => b"NO core\r\n",
            LifecycleState::Starting => b"NO starting\r\n",
            LifecycleState::Standby => b"NO standby\r\n",
            LifecycleState::ShuttingDown => b"NO leaving\r\n",
        }
    }

    fn handover_line<'a>(&self, of: &'a OpenLine) -> Option<&'a [u8]> {
        Some(&of.line)
    }

    fn handshake_error(&self, why: HandshakeError) -> Rejection {
        Rejection::new(b"ERR\r\n", format!("{why:?}"))
    }

    fn admit(
        &self,
        request: (ClientRequest, OpenLine),
    ) -> Result<(ClientRequest, OpenLine), Rejection> {
        Ok(request)
    }

    fn request_connection(
        &self,
        exchange: &mut ServerExchange<'_>,
        server_handshake: &OpenLine,
    ) -> Result<Vec<u8>, AttemptError> {
        let wait = exchange
            .deadline_at()
            .saturating_duration_since(Instant::now())
            .as_millis()
            .to_string();
        let (before, after) = (
            &server_handshake.line[..server_handshake.deadline_field.start],
            &server_handshake.line[server_handshake.deadline_field.end..],
        );
        exchange.write_request(&[before, wait.as_bytes(), after, b"\r\n"])?;
        let line = exchange.read_line(AttemptError::RequestWritten)?;
        // A longer answer is not valid in this protocol.
        if line.len() > MAX_LINE_BYTES {
            return Err(AttemptError::NotServed(ServerAnswer::Error));
        }
        match trim_line_end(&line) {
            b"BUSY" => Err(AttemptError::NotServed(ServerAnswer::Rejected)),
            b"MOVE" => Err(AttemptError::NotServed(ServerAnswer::Redirected)),
            b"UP" => Ok(line),
            text if text.starts_with(b"UP ") => Ok(line),
            text if text.starts_with(b"BUSY ") => {
                Err(AttemptError::NotServed(ServerAnswer::Rejected))
            }
            _ => Err(AttemptError::NotServed(ServerAnswer::Error)),
        }
    }

    fn load_probe(&self) -> Option<LoadProbe> {
        Some(LOAD_PROBE)
    }

    fn encode(&self, word: ClientMessage) -> Vec<u8> {
        match word {
            ClientMessage::Rejected(None) => b"BUSY\r\n".to_vec(),
            ClientMessage::Rejected(Some(after)) => {
                format!("BUSY {}\r\n", after.as_millis()).into_bytes()
            }
            ClientMessage::Failed => b"ERR\r\n".to_vec(),
            ClientMessage::Migrate => b"MOVE\r\n".to_vec(),
        }
    }

    fn client_framer(&self) -> Box<dyn Framer> {
        Box::new(LineFramer {
            is_client: true,
            ..LineFramer::default()
        })
    }

    fn server_framer(&self) -> Box<dyn Framer> {
        Box::new(LineFramer::default())
    }

    fn response_timeout(&self) -> Duration {
        RESPONSE_TIMEOUT
    }
}

/// Frames lines. Only the beginning of an incomplete line is kept, as far as it may carry a
/// meaning.
#[derive(Default)]
struct LineFramer {
    is_client: bool,
    /// Beginning of the incomplete line.
    head: Vec<u8>,
    /// Its length so far.
    length: usize,
}

/// Bytes of a line that are classified.
const CLASSIFIED_BYTES: usize = 64;

impl LineFramer {
    fn classify(&self, line: &[u8]) -> MessageKind {
        if self.is_client {
            return MessageKind::Request;
        }
        let load = line
            .strip_prefix(b"LOAD ")
            .and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        match line {
            b"BYE" => MessageKind::Goodbye,
            b"MOVE" => MessageKind::Redirect,
            _ => load.map_or(MessageKind::AnswerToAll, MessageKind::Load),
        }
    }
}

impl Framer for LineFramer {
    fn advance(
        &mut self,
        bytes: &[u8],
        seen: &mut dyn FnMut(MessageKind) -> bool,
    ) -> Result<FrameProgress, ProtocolError> {
        let mut followed = FrameProgress {
            consumed: bytes.len(),
            ..FrameProgress::default()
        };
        let mut rest = bytes;
        while !rest.is_empty() {
            let end = rest.iter().position(|byte| *byte == b'\n').map(|at| at + 1);
            let piece = &rest[..end.unwrap_or(rest.len())];
            rest = &rest[piece.len()..];
            self.length += piece.len();
            if self.length > MAX_LINE_BYTES {
                return Err(ProtocolError { answer: "" });
            }
            let room = CLASSIFIED_BYTES
                .saturating_sub(self.head.len())
                .min(piece.len());
            self.head.extend_from_slice(&piece[..room]);
            if end.is_some() {
                // Every line is relayed.
                seen(self.classify(trim_line_end(&self.head)));
                self.head.clear();
                self.length = 0;
                followed.boundary = Some(bytes.len() - rest.len());
            }
        }
        Ok(followed)
    }

    fn is_at_boundary(&self) -> bool {
        self.length == 0
    }
}

#[cfg(test)]
mod tests;
