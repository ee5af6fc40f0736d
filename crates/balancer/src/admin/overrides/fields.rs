//! The fields of a request's body.

use std::time::{SystemTime, UNIX_EPOCH};

use beaconflow_overrides::{FieldError, Millis, OverrideKind, Strictness, Subject};
use serde_json::{Map, Value};

use crate::http::Reply;
use crate::overrides::OverrideManager;

/// The fields of a body. All errors are collected.
pub(super) struct Fields {
    left: Map<String, Value>,
    faults: Vec<FieldError>,
}

impl Fields {
    pub(super) fn of(body: &[u8]) -> Result<Fields, Reply> {
        match serde_json::from_slice(body) {
            Ok(Value::Object(left)) => Ok(Fields {
                left,
                faults: Vec::new(),
            }),
            Ok(_) => Err(Reply::error(422, "the body is no JSON object")),
            Err(error) => Err(Reply::error(
                400,
                format!(
                    "not JSON, at line {} column {}",
                    error.line(),
                    error.column()
                ),
            )),
        }
    }

    fn fault<T>(&mut self, field: &'static str, why: &str) -> Option<T> {
        self.faults.push(FieldError {
            field,
            why: why.to_owned(),
        });
        None
    }

    pub(super) fn text(&mut self, field: &'static str) -> Option<String> {
        match self.left.remove(field) {
            Some(Value::String(text)) => Some(text),
            Some(_) => self.fault(field, "a text"),
            None => self.fault(field, "is missing"),
        }
    }

    fn number(&mut self, field: &'static str) -> Option<f64> {
        match self.left.remove(field) {
            Some(Value::Number(number)) => number.as_f64(),
            Some(_) => self.fault(field, "a number"),
            None => self.fault(field, "is missing"),
        }
    }

    pub(super) fn flag(&mut self, field: &'static str) -> bool {
        match self.left.remove(field) {
            None => false,
            Some(Value::Bool(flag)) => flag,
            Some(_) => self.fault::<bool>(field, "true or false").unwrap_or(false),
        }
    }

    pub(super) fn kind(&mut self) -> Option<OverrideKind> {
        let kind = self.text("kind")?;
        let server = self.text("server");
        match kind.as_str() {
            "out" => {
                let has_rate = self.left.contains_key("moves_per_s");
                let moves_per_s = if has_rate {
                    self.number("moves_per_s")
                } else {
                    None
                };
                Some(OverrideKind::Out {
                    server: server?,
                    moves_per_s,
                })
            }
            "weight" => {
                let factor = self.number("factor");
                Some(OverrideKind::Weight {
                    server: server?,
                    factor: factor?,
                })
            }
            "pin" => self.pin(server),
            _ => self.fault("kind", "out, weight or pin"),
        }
    }

    /// Reads a pin; `server` has been read already.
    fn pin(&mut self, server: Option<String>) -> Option<OverrideKind> {
        let subject = match (
            self.left.contains_key("group"),
            self.left.contains_key("tenant"),
        ) {
            (true, false) => self.text("group").map(Subject::Group),
            (false, true) => self.text("tenant").map(Subject::Tenant),
            _ => self.fault("group", "either group or tenant"),
        };
        let has_mode = self.left.contains_key("mode");
        let mode = if has_mode {
            self.text("mode")
        } else {
            Some("prefer".to_owned())
        };
        let strictness = match mode?.as_str() {
            "prefer" => Some(Strictness::Prefer),
            "strict" => Some(Strictness::Strict),
            _ => self.fault("mode", "prefer or strict"),
        };
        Some(OverrideKind::Pin {
            subject: subject?,
            server: server?,
            strictness: strictness?,
        })
    }

    /// Reads the expiry on the program's clock: `expires_in_s` from now, or `expires_at` by the
    /// wall clock.
    pub(super) fn expiry(&mut self, override_manager: &OverrideManager) -> Option<Millis> {
        match (
            self.left.contains_key("expires_in_s"),
            self.left.contains_key("expires_at"),
        ) {
            (true, false) => {
                let seconds = self.number("expires_in_s")?;
                if seconds.is_finite() && seconds > 0.0 {
                    Some(override_manager.after((seconds * 1e3) as Millis))
                } else {
                    self.fault("expires_in_s", "more than 0")
                }
            }
            (false, true) => {
                let text = self.text("expires_at")?;
                let at = humantime::parse_rfc3339_weak(&text).ok();
                let at = at.and_then(|at: SystemTime| at.duration_since(UNIX_EPOCH).ok());
                match at.and_then(|at| Millis::try_from(at.as_millis()).ok()) {
                    Some(at) => Some(override_manager.from_wall(at)),
                    None => self.fault("expires_at", "a time as 2026-12-01T18:00:00Z"),
                }
            }
            _ => self.fault("expires_in_s", "either expires_in_s or expires_at"),
        }
    }

    /// All errors, including unknown fields.
    pub(super) fn end(mut self) -> Vec<FieldError> {
        let unknown: Vec<String> = self.left.keys().cloned().collect();
        if !unknown.is_empty() {
            let names = unknown.join(", ");
            self.faults.push(FieldError {
                field: "body",
                why: format!("unknown fields here: {names}"),
            });
        }
        self.faults
    }
}
