//! The platform's protocol: lines of text that end in CRLF.

mod framer;
mod open;
mod open_ids;

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use beaconflow_policy::ProbeAnswer;
use beaconflow_settings::digest;

use super::{
    ClientMessage, Framer, Front, HandshakeError, HandshakeLine, Rejection, ResponseLimits,
};
use crate::attempt::{AttemptError, ServerAnswer, ServerExchange};
use crate::config::SharedSettings;
use crate::core::ClientRequest;
use crate::core::lifecycle::LifecycleState;
use crate::net::trim_line_end;
use crate::prober::LoadProbe;
use framer::LineFramer;
use open::{OpenFields, OpenLine};
pub use open_ids::IdExchangeAddress;
use open_ids::{OpenId, OpenIds};

/// Longest line, with its end.
const MAX_LINE_BYTES: usize = 4096;
/// Time after which a silent client is closed. The platform requires an answer or a close within
/// 3 s of connecting, and the client may have waited to be accepted.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Some clients take 2 s to write their first line; a line that is never complete must end in a
/// close within 3 s.
const PARTIAL_HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_300);
/// Longest id or key.
const MAX_NAME_BYTES: usize = 64;
/// Well below the 7 s that the platform allows from before the line, and above the time that an
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
    let is_valid = |load: &f64| load.is_finite() && *load >= 0.0;
    load.filter(is_valid)
        .map_or(ProbeAnswer::NoLoad, ProbeAnswer::Load)
}

/// Registers the id of a request, if it may be used.
type RegisterId = fn(&OpenIds, &str) -> Option<OpenId>;

/// The platform's front.
pub struct Platform {
    settings: SharedSettings,
    open_ids: OpenIds,
}

impl Platform {
    /// Creates the front of a site.
    pub fn new(settings: SharedSettings) -> Platform {
        Platform {
            settings,
            open_ids: OpenIds::default(),
        }
    }

    /// Exchanges the ids of requests with the other processes of this balancer.
    ///
    /// # Errors
    ///
    /// Fails if the socket or a thread can't be created.
    pub fn exchange_ids(&self, address: &IdExchangeAddress) -> io::Result<()> {
        self.open_ids.exchange(address)
    }

    /// Parses a handshake line other than a readiness query.
    fn parse_request(
        &self,
        line: &[u8],
        now: u64,
        register_id: RegisterId,
    ) -> HandshakeLine<(ClientRequest, OpenLine)> {
        match self.parse_open(line, now, register_id) {
            Ok(request) => HandshakeLine::Connect(request),
            Err(reason) => {
                let shown = String::from_utf8_lossy(&line[..line.len().min(MAX_NAME_BYTES)]);
                HandshakeLine::Rejected(Rejection::new(b"ERR\r\n", format!("{reason}: {shown:?}")))
            }
        }
    }

    /// Parses an `OPEN` line. An unknown field is forwarded unchanged.
    fn parse_open(
        &self,
        line: &[u8],
        now: u64,
        register_id: RegisterId,
    ) -> Result<(ClientRequest, OpenLine), &'static str> {
        let text = std::str::from_utf8(line).map_err(|_| "the line is not printable ASCII")?;
        let is_printable = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
        if !text.bytes().all(is_printable) {
            return Err("the line is not printable ASCII");
        }
        let tokens: Vec<&str> = text.split(' ').collect();
        let ["OPEN", id, key, field_list] = tokens[..] else {
            return Err("the line is not OPEN with an id, a key and fields");
        };
        let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let is_id = is_name(id) && id.bytes().all(|byte| byte.is_ascii_alphanumeric());
        if !is_id || !is_name(key) || key.contains(['=', ',']) {
            return Err("the id or the key is missing, too long or invalid");
        }
        // The whole line is parsed under one version of the settings.
        let settings = self.settings.current();
        let fields = OpenFields::parse(field_list, text, &settings)?;
        let (timeout, deadline_field) = fields
            .timeout
            .ok_or("the field d (time to wait) is missing")?;
        let class = fields
            .class
            .ok_or("the field c (request class) is missing")?;
        // The settings limit how long a client waits, except for a resumed connection, which names
        // an unlimited time.
        let client_timeout = if fields.resumed_server.is_some() {
            timeout
        } else {
            timeout.min(settings.client_timeout(class))
        };
        // Registered last, so that a rejected line does not reserve its id.
        let id = register_id(&self.open_ids, id).ok_or("the id belongs to another request")?;
        let client_request = ClientRequest {
            class,
            client_key: Some(digest(key)),
            group: fields.group,
            tenant: fields.tenant.map(digest),
            account: fields.tenant.map(Arc::from),
            share: None,
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
            id,
        };
        Ok((client_request, open_line))
    }
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

    fn partial_handshake_timeout(&self) -> Duration {
        PARTIAL_HANDSHAKE_TIMEOUT
    }

    fn max_handshake_line(&self) -> usize {
        MAX_LINE_BYTES
    }

    /// A client sends one line and waits: the answer to a second line would be mistaken for the
    /// answer to the first.
    fn max_early_bytes(&self) -> usize {
        0
    }

    fn parse_handshake(&self, line: &[u8], now: u64) -> HandshakeLine<(ClientRequest, OpenLine)> {
        let line = trim_line_end(line);
        if line == b"PING" {
            return HandshakeLine::ReadinessQuery;
        }
        self.parse_request(line, now, OpenIds::register)
    }

    fn parse_transferred(&self, line: &[u8], now: u64) -> HandshakeLine<Self::Request> {
        self.parse_request(trim_line_end(line), now, OpenIds::register_transferred)
    }

    fn readiness_answer(&self, state: LifecycleState, is_ready: bool) -> &'static [u8] {
        match state {
            LifecycleState::Serving if is_ready => b"PONG\r\n",
            LifecycleState::Serving => b"NO core\r\n",
            LifecycleState::Starting => b"NO starting\r\n",
            LifecycleState::Standby => b"NO standby\r\n",
            LifecycleState::ShuttingDown => b"NO leaving\r\n",
        }
    }

    fn handover_line<'a>(&self, handshake: &'a OpenLine) -> Option<&'a [u8]> {
        Some(&handshake.line)
    }

    fn handshake_error(&self, error: HandshakeError) -> Rejection {
        Rejection::new(b"ERR\r\n", format!("{error:?}"))
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
        if !server_handshake.id.wait_until_granted() {
            return Err(AttemptError::Withdrawn);
        }
        let wait = exchange
            .deadline_at()
            .saturating_duration_since(Instant::now())
            .as_millis()
            .to_string();
        let (before, after) = (
            &server_handshake.line[..server_handshake.deadline_field.start],
            &server_handshake.line[server_handshake.deadline_field.end..],
        );
        let written = exchange.write_request(&[before, wait.as_bytes(), after, b"\r\n"]);
        if written.is_ok() {
            server_handshake.id.set_may_have_run(true);
        }
        written?;
        let line = exchange.read_line(AttemptError::RequestWritten)?;
        // A longer answer is not valid in this protocol.
        if line.len() > MAX_LINE_BYTES {
            return Err(AttemptError::NotServed(ServerAnswer::Error));
        }
        let text = trim_line_end(&line);
        let is_established = text == b"UP" || text.starts_with(b"UP ");
        let is_rejected = text == b"BUSY" || text.starts_with(b"BUSY ");
        // An established client hears how its request ended, so its id may be used again.
        if is_established || is_rejected {
            server_handshake.id.set_may_have_run(false);
        }
        match text {
            _ if is_established => Ok(line),
            _ if is_rejected => Err(AttemptError::NotServed(ServerAnswer::Rejected)),
            b"MOVE" => Err(AttemptError::NotServed(ServerAnswer::Redirected)),
            _ => Err(AttemptError::NotServed(ServerAnswer::Error)),
        }
    }

    fn load_probe(&self) -> Option<LoadProbe> {
        Some(LOAD_PROBE)
    }

    fn encode(&self, message: ClientMessage) -> Vec<u8> {
        match message {
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

    fn response_limits(&self) -> ResponseLimits {
        ResponseLimits {
            response_timeout: RESPONSE_TIMEOUT,
            keepalive: None,
        }
    }
}

#[cfg(test)]
mod tests;
