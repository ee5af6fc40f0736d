//! The front of the NATS client protocol.
//!
//! One transaction is the set-up of a client's connection. The client gets INFO and sends CONNECT; its tenant is
//! known by the user name, its class by the tenant's record. A proxy pass reads the application server's INFO,
//! sends it CONNECT with the tenant's own identity there, and PING; the first PONG proves that the connection
//! stands. How each end of a pass counts:
//!
//! | what comes back | counts as |
//! | --- | --- |
//! | no connection, no INFO, or an end before CONNECT is written; a server that wants TLS | never ran |
//! | INFO with `ldm`, `-ERR` for too many connections or a shutdown | turned away |
//! | any other `-ERR`, an unknown line | error |
//! | an end after CONNECT is written | reset |
//! | silence after CONNECT | time-out, repeated as the class allows |

pub mod framing;
pub mod tenants;
pub mod wire;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beaconflow_settings::{Setup, digest};
use serde_json::{Map, Value, json};

use self::framing::{ClientFramer, LONGEST_LINE, ServerFramer};
use self::tenants::{Admitted, Tenants};
use self::wire::Wire;
use super::{First, Framer, Front, NoOpening, Probe, Refusal, Word};
use crate::core::Opening;
use crate::net::{ReadError, trimmed};
use crate::pass::{Answer, Asking, PassError};

/// The front of the NATS client protocol.
pub struct Nats {
    setup: Arc<Setup>,
    tenants: Arc<Tenants>,
    wire: Wire,
    name: String,
    /// Clients so far, for their numbers.
    clients: AtomicU64,
}

/// A client's CONNECT.
pub struct Connect {
    options: Vec<u8>,
    taken_at: u64,
}

/// What is kept of a client that has sent CONNECT.
pub struct Greeting {
    /// The CONNECT line for an application server, with the tenant's identity there.
    connect: Vec<u8>,
    verbose: bool,
    /// Counts against the tenant's limit for as long as the transaction lives.
    _admitted: Admitted,
}

impl Nats {
    /// A front for a site and its tenants.
    pub fn new(name: String, setup: Arc<Setup>, tenants: Arc<Tenants>, wire: Wire) -> Nats {
        Nats {
            setup,
            tenants,
            wire,
            name,
            clients: AtomicU64::new(0),
        }
    }

    fn info(&self, leaving: bool, client: u64) -> Vec<u8> {
        let mut info = json!({
            "server_id": self.name, "server_name": self.name, "version": env!("CARGO_PKG_VERSION"),
            "proto": 1, "headers": true, "auth_required": true, "max_payload": self.wire.max_payload,
        });
        if client > 0 {
            info["client_id"] = client.into();
        }
        if leaving {
            info["ldm"] = true.into();
        }
        format!("INFO {info}\r\n").into_bytes()
    }

    /// Who a client is, by its CONNECT; its place among its tenant's connections; what servers are told.
    fn connect(&self, options: &[u8], now: u64) -> Result<(Opening, Greeting), Refusal> {
        let Ok(mut options) = serde_json::from_slice::<Map<String, Value>>(options) else {
            return Err(refuse("Parser Error", "CONNECT without a JSON object"));
        };
        if options.get("tls_required").and_then(Value::as_bool) == Some(true) {
            return Err(refuse("TLS Not Supported", "CONNECT asks for TLS"));
        }
        let text = |name: &str| {
            options
                .get(name)
                .and_then(Value::as_str)
                .unwrap_or_default()
        };
        let (user, password) = (text("user"), text("pass"));
        let (tenant, admitted) = match self.tenants.admit(user, password) {
            Ok(admitted) => admitted,
            Err(tenants::Refusal::Unknown) => {
                return Err(refuse(
                    "Authorization Violation",
                    "not a tenant's credentials",
                ));
            }
            Err(tenants::Refusal::TooMany) => {
                return Err(refuse(
                    "Maximum Connections Exceeded",
                    "a tenant's limit is reached",
                ));
            }
            Err(tenants::Refusal::StoreAway) => {
                let after = self.wire.store_retry().as_millis();
                let words = format!("Service Unavailable; try again in {after} ms");
                return Err(refuse(&words, "the store is away and the tenant not known"));
            }
        };
        let Some(class) = self.setup.class(&tenant.class) else {
            return Err(refuse(
                "Authorization Violation",
                "the tenant's class is not in the settings",
            ));
        };
        let key = digest(&format!("{user}/{}", text("name")));
        let verbose = options.get("verbose").and_then(Value::as_bool) == Some(true);
        for secret in ["user", "pass", "auth_token", "jwt", "nkey", "sig"] {
            options.remove(secret);
        }
        options.insert("user".into(), tenant.upstream.user.clone().into());
        options.insert("pass".into(), tenant.upstream.password.clone().into());
        let connect = format!("CONNECT {}\r\n", Value::Object(options)).into_bytes();
        let opening = Opening {
            class,
            key: Some(key),
            group: None,
            tenant: Some(digest(&tenant.name)),
            account: Some(Arc::from(tenant.name.as_str())),
            share: Some(tenant.share),
            again: false,
            bytes: connect.len(),
            load: None,
            taken_at: now,
            patience: self.setup.patience(class),
            held_by: None,
        };
        Ok((
            opening,
            Greeting {
                connect,
                verbose,
                _admitted: admitted,
            },
        ))
    }
}

fn refuse(words: &str, why: &str) -> Refusal {
    Refusal::new(format!("-ERR '{words}'\r\n").as_bytes(), why)
}

impl Front for Nats {
    type Request = Connect;
    type Greeting = Greeting;

    /// The store is asked, and a password is proved.
    const ADMIT_WAITS: bool = true;

    fn name(&self) -> &'static str {
        "nats"
    }

    fn stack(&self) -> usize {
        // The store's client wants more than the relay.
        256 * 1024
    }

    fn most_early(&self) -> usize {
        self.wire.most_early
    }

    fn greet(&self) -> Vec<u8> {
        self.info(false, self.clients.fetch_add(1, Ordering::Relaxed) + 1)
    }

    fn opening_wait(&self) -> Duration {
        self.wire.connect_wait()
    }

    fn longest_opening(&self) -> usize {
        LONGEST_LINE
    }

    fn first(&self, line: &[u8], now: u64) -> First<Connect> {
        let (verb, options) = framing::verb(trimmed(line));
        if !verb.eq_ignore_ascii_case(b"CONNECT") {
            return First::Refused(refuse(
                "Authorization Violation",
                "something else before CONNECT",
            ));
        }
        First::Opening(Connect {
            options: options.to_vec(),
            taken_at: now,
        })
    }

    fn no_opening(&self, why: NoOpening) -> Refusal {
        match why {
            NoOpening::Late => refuse("Authentication Timeout", "no CONNECT in time"),
            NoOpening::TooLong => refuse("Maximum Control Line Exceeded", "a line too long"),
            NoOpening::Piled => refuse("Parser Error", "too much behind CONNECT"),
        }
    }

    fn admit(
        &self,
        Connect { options, taken_at }: Connect,
    ) -> Result<(Opening, Greeting), Refusal> {
        self.connect(&options, taken_at)
    }

    fn pass(&self, asking: &mut Asking<'_>, greeting: &Greeting) -> Result<Vec<u8>, PassError> {
        let info = asking.line(PassError::before_head)?;
        let (verb, info) = framing::verb(trimmed(&info));
        if !verb.eq_ignore_ascii_case(b"INFO") {
            return Err(PassError::before_head(ReadError::Ended));
        }
        let info: Value = serde_json::from_slice(info).unwrap_or_default();
        if info["tls_required"] == true {
            return Err(PassError::before_head(ReadError::Ended));
        }
        if info["ldm"] == true {
            return Err(PassError::Answered(Answer::Unavailable));
        }
        asking.head(&[&greeting.connect, b"PING\r\n"])?;
        loop {
            let line = asking.line(PassError::Written)?;
            let (verb, rest) = framing::verb(trimmed(&line));
            match verb.to_ascii_uppercase().as_slice() {
                b"PONG" => break,
                b"+OK" => {}
                // A keepalive may come at any time.
                b"PING" => asking
                    .write(&[b"PONG\r\n"])
                    .map_err(|(_, error)| PassError::Written(ReadError::Broken(error)))?,
                b"INFO" if framing::says_leaving(rest) => {
                    return Err(PassError::Answered(Answer::Unavailable));
                }
                b"INFO" => {}
                b"-ERR" => return Err(PassError::Answered(framing::error_means(rest))),
                _ => return Err(PassError::Answered(Answer::Error)),
            }
        }
        // The server's +OK to CONNECT was read here; the client waits for it.
        Ok(if greeting.verbose {
            b"+OK\r\n".to_vec()
        } else {
            Vec::new()
        })
    }

    fn say(&self, word: Word) -> Vec<u8> {
        match word {
            Word::Unavailable(None) => b"-ERR 'Service Unavailable'\r\n".to_vec(),
            Word::Unavailable(Some(after)) => format!(
                "-ERR 'Service Unavailable; try again in {} ms'\r\n",
                after.as_millis()
            )
            .into_bytes(),
            Word::Failed => b"-ERR 'Connection Failed'\r\n".to_vec(),
            Word::Move => self.info(true, 0),
        }
    }

    fn client_framer(&self) -> Box<dyn Framer> {
        Box::new(ClientFramer::new(self.wire.max_payload))
    }

    fn server_framer(&self) -> Box<dyn Framer> {
        Box::new(ServerFramer::default())
    }

    fn probe(&self) -> Option<Probe> {
        Some(Probe {
            words: b"PING\r\n",
            after: self.wire.ping_after(),
        })
    }

    fn silence(&self) -> Duration {
        self.wire.silence()
    }
}
