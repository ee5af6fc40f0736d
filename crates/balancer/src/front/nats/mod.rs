//! The NATS client protocol.
//!
//! A client receives INFO and sends CONNECT; its tenant follows from the user name, its class from
//! the tenant's record. An attempt reads the server's INFO, sends CONNECT with the tenant's
//! identity there, and PING; the first PONG proves that the connection is established. How attempts
//! end:
//!
//! | what the server sends | outcome |
//! | --- | --- |
//! | no connection, no INFO, an end before CONNECT is written, TLS required | not executed |
//! | INFO with `ldm`, `-ERR` for too many connections or a shutdown | rejected |
//! | any other `-ERR`, an unknown line | server error |
//! | an end after CONNECT is written | reset |
//! | nothing after CONNECT | timed out, retried as the class allows |

pub mod framing;
pub mod limits;
pub mod tenants;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beaconflow_settings::{SiteSettings, digest};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use self::framing::{ClientFramer, MAX_CONTROL_LINE_BYTES, ServerFramer};
use self::limits::{NatsLimits, SharedResponseLimits};
use self::tenants::{Tenant, TenantSlot, Tenants};
use super::{
    Admission, ClientMessage, Framer, Front, HandshakeError, HandshakeLine, Rejection,
    ResponseLimits,
};
use crate::attempt::{AttemptError, ServerAnswer, ServerExchange};
use crate::core::ClientRequest;
use crate::net::{ReadError, trim_line_end};

/// The NATS front.
pub struct Nats {
    settings: Arc<SiteSettings>,
    tenants: Arc<Tenants>,
    limits: NatsLimits,
    response_limits: SharedResponseLimits,
    name: String,
    /// Number of accepted clients, from which their ids follow.
    clients: AtomicU64,
}

/// A client's CONNECT.
pub struct Connect {
    options: Vec<u8>,
    /// The account that the client claims, and its password.
    credentials: Credentials,
    received_at: u64,
}

/// The options of a CONNECT from which its admission is decided.
#[derive(Default, Deserialize)]
struct Credentials {
    #[serde(default)]
    user: String,
    #[serde(default)]
    pass: String,
}

/// The CONNECT line for a server.
pub struct ConnectLine {
    /// The line, with the tenant's identity at the servers.
    connect: Vec<u8>,
    verbose: bool,
    /// Counts against the tenant's limit until it is dropped.
    _slot: TenantSlot,
}

impl Nats {
    /// Creates the front of a site and its tenants.
    pub fn new(
        name: String,
        settings: Arc<SiteSettings>,
        tenants: Arc<Tenants>,
        limits: NatsLimits,
    ) -> Nats {
        Nats {
            settings,
            tenants,
            response_limits: SharedResponseLimits::new(&limits),
            limits,
            name,
            clients: AtomicU64::new(0),
        }
    }

    /// The response limits, which a reload may replace.
    pub fn shared_response_limits(&self) -> SharedResponseLimits {
        self.response_limits.clone()
    }

    fn info(&self, is_shutting_down: bool, client: u64) -> Vec<u8> {
        let mut info = json!({
            "server_id": self.name, "server_name": self.name, "version": env!("CARGO_PKG_VERSION"),
            "proto": 1, "headers": true, "auth_required": true, "max_payload": self.limits.max_payload_bytes,
        });
        if client > 0 {
            info["client_id"] = client.into();
        }
        if is_shutting_down {
            info["ldm"] = true.into();
        }
        format!("INFO {info}\r\n").into_bytes()
    }

    /// Prepares the request and the server's CONNECT of a client that was admitted.
    fn connect_as(
        &self,
        connect: &Connect,
        admitted: Result<(Arc<Tenant>, TenantSlot), tenants::AdmitError>,
    ) -> Admission<ConnectLine> {
        let options = parse_options(&connect.options)?;
        let (tenant, slot) = admitted.map_err(|error| self.reject_admission(error))?;
        let Some(class) = self.settings.class(&tenant.class) else {
            return Err(reject(
                "Authorization Violation",
                "the tenant's request class is not in the settings",
            ));
        };
        let key = digest(&format!(
            "{}/{}",
            tenant.name,
            text_option(&options, "name")
        ));
        let verbose = options.get("verbose").and_then(Value::as_bool) == Some(true);
        let server_connect = upstream_connect(options, &tenant.upstream);
        let client_request = ClientRequest {
            class,
            client_key: Some(key),
            group: None,
            tenant: Some(digest(&tenant.name)),
            account: Some(Arc::from(tenant.name.as_str())),
            share: Some(tenant.share),
            is_reconnect: false,
            buffered_bytes: server_connect.len(),
            expected_load: None,
            received_at: connect.received_at,
            client_timeout: self.settings.client_timeout(class),
            resumed_server: None,
        };
        Ok((
            client_request,
            ConnectLine {
                connect: server_connect,
                verbose,
                _slot: slot,
            },
        ))
    }

    fn reject_admission(&self, error: tenants::AdmitError) -> Rejection {
        match error {
            tenants::AdmitError::InvalidCredentials => reject(
                "Authorization Violation",
                "unknown tenant or wrong password",
            ),
            tenants::AdmitError::TooManyConnections => reject(
                "Maximum Connections Exceeded",
                "the tenant has reached its limit of connections",
            ),
            tenants::AdmitError::StoreUnavailable => {
                let retry_after = self.limits.store_retry_after().as_millis();
                let text = format!("Service Unavailable; try again in {retry_after} ms");
                reject(
                    &text,
                    "the store is unavailable and the tenant is not cached",
                )
            }
        }
    }
}

/// The options of a CONNECT.
fn parse_options(options: &[u8]) -> Result<Map<String, Value>, Rejection> {
    let Ok(options) = serde_json::from_slice::<Map<String, Value>>(options) else {
        return Err(reject(
            "Parser Error",
            "the options of CONNECT are not a JSON object",
        ));
    };
    if options.get("tls_required").and_then(Value::as_bool) == Some(true) {
        return Err(reject("TLS Not Supported", "CONNECT requires TLS"));
    }
    Ok(options)
}

/// An option that is a text; empty if it is absent.
fn text_option<'a>(options: &'a Map<String, Value>, name: &str) -> &'a str {
    options
        .get(name)
        .and_then(Value::as_str)
        .unwrap_or_default()
}

/// The CONNECT for a server: the client's options with the tenant's credentials in place of its
/// own.
fn upstream_connect(mut options: Map<String, Value>, upstream: &tenants::Identity) -> Vec<u8> {
    for secret in ["user", "pass", "auth_token", "jwt", "nkey", "sig"] {
        options.remove(secret);
    }
    options.insert("user".into(), upstream.user.clone().into());
    options.insert("pass".into(), upstream.password.clone().into());
    format!("CONNECT {}\r\n", Value::Object(options)).into_bytes()
}

fn reject(text: &str, reason: &str) -> Rejection {
    Rejection::new(format!("-ERR '{text}'\r\n").as_bytes(), reason)
}

impl Front for Nats {
    type Request = Connect;
    type ServerHandshake = ConnectLine;

    /// The store is called, and a password is verified.
    const ADMIT_BLOCKS: bool = true;

    fn name(&self) -> &'static str {
        "nats"
    }

    fn thread_stack_bytes(&self) -> usize {
        // The store's client needs more stack than the relay.
        256 * 1024
    }

    fn max_early_bytes(&self) -> usize {
        self.limits.max_early_bytes
    }

    fn banner(&self) -> Vec<u8> {
        self.info(false, self.clients.fetch_add(1, Ordering::Relaxed) + 1)
    }

    fn handshake_timeout(&self) -> Duration {
        self.limits.handshake_timeout()
    }

    fn max_handshake_line(&self) -> usize {
        MAX_CONTROL_LINE_BYTES
    }

    fn parse_handshake(&self, line: &[u8], now: u64) -> HandshakeLine<Connect> {
        let (verb, options) = framing::split_verb(trim_line_end(line));
        if !verb.eq_ignore_ascii_case(b"CONNECT") {
            return HandshakeLine::Rejected(reject(
                "Authorization Violation",
                "the client sent another message before CONNECT",
            ));
        }
        // Options that can't be parsed are rejected at the admission.
        HandshakeLine::Connect(Connect {
            options: options.to_vec(),
            credentials: serde_json::from_slice(options).unwrap_or_default(),
            received_at: now,
        })
    }

    fn handshake_error(&self, error: HandshakeError) -> Rejection {
        match error {
            HandshakeError::TimedOut => reject(
                "Authentication Timeout",
                "the client sent no CONNECT in time",
            ),
            HandshakeError::TooLong => reject(
                "Maximum Control Line Exceeded",
                "a control line is too long",
            ),
            HandshakeError::ExtraBytes => reject(
                "Parser Error",
                "the client sent too many bytes after CONNECT",
            ),
        }
    }

    fn admit_at_once(&self, request: Connect) -> Result<Admission<ConnectLine>, Connect> {
        let Credentials { user, pass } = &request.credentials;
        match self.tenants.admit_at_once(user, pass) {
            Some(admitted) => Ok(self.connect_as(&request, admitted)),
            None => Err(request),
        }
    }

    fn account<'a>(&self, request: &'a Connect) -> &'a str {
        &request.credentials.user
    }

    fn admit(&self, request: Connect) -> Admission<ConnectLine> {
        let Credentials { user, pass } = &request.credentials;
        self.connect_as(&request, self.tenants.admit(user, pass))
    }

    fn request_connection(
        &self,
        exchange: &mut ServerExchange<'_>,
        server_handshake: &ConnectLine,
    ) -> Result<Vec<u8>, AttemptError> {
        let info = exchange.read_line(AttemptError::before_request)?;
        let (verb, info) = framing::split_verb(trim_line_end(&info));
        if !verb.eq_ignore_ascii_case(b"INFO") {
            return Err(AttemptError::before_request(ReadError::Ended));
        }
        let info: Value = serde_json::from_slice(info).unwrap_or_default();
        if info["tls_required"] == true {
            return Err(AttemptError::before_request(ReadError::Ended));
        }
        if info["ldm"] == true {
            return Err(AttemptError::NotServed(ServerAnswer::Rejected));
        }
        exchange.write_request(&[&server_handshake.connect, b"PING\r\n"])?;
        loop {
            let line = exchange.read_line(AttemptError::RequestWritten)?;
            let (verb, rest) = framing::split_verb(trim_line_end(&line));
            match verb.to_ascii_uppercase().as_slice() {
                b"PONG" => break,
                b"+OK" => {}
                // A keepalive may arrive at any time.
                b"PING" => exchange
                    .write(&[b"PONG\r\n"])
                    .map_err(|(_, error)| AttemptError::RequestWritten(ReadError::Broken(error)))?,
                b"INFO" if framing::is_lame_duck(rest) => {
                    return Err(AttemptError::NotServed(ServerAnswer::Rejected));
                }
                b"INFO" => {}
                b"-ERR" => return Err(AttemptError::NotServed(framing::classify_error(rest))),
                _ => return Err(AttemptError::NotServed(ServerAnswer::Error)),
            }
        }
        // The server's +OK to CONNECT was read here; the client waits for it.
        Ok(if server_handshake.verbose {
            b"+OK\r\n".to_vec()
        } else {
            Vec::new()
        })
    }

    fn encode(&self, message: ClientMessage) -> Vec<u8> {
        match message {
            ClientMessage::Rejected(None) => b"-ERR 'Service Unavailable'\r\n".to_vec(),
            ClientMessage::Rejected(Some(retry_after)) => format!(
                "-ERR 'Service Unavailable; try again in {} ms'\r\n",
                retry_after.as_millis()
            )
            .into_bytes(),
            ClientMessage::Failed => b"-ERR 'Connection Failed'\r\n".to_vec(),
            ClientMessage::Migrate => self.info(true, 0),
        }
    }

    fn client_framer(&self) -> Box<dyn Framer> {
        Box::new(ClientFramer::new(self.limits.max_payload_bytes))
    }

    fn server_framer(&self) -> Box<dyn Framer> {
        Box::new(ServerFramer::default())
    }

    fn response_limits(&self) -> ResponseLimits {
        self.response_limits.current()
    }
}
