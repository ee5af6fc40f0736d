//! Field-by-field reader of a request's JSON body.

use std::time::{SystemTime, UNIX_EPOCH};

use beaconflow_overrides::{FieldError, Millis, OverrideKind, Strictness, Subject};
use serde_json::{Map, Value};

use crate::http::Reply;
use crate::overrides::OverrideManager;

/// The fields of a body that have not been read yet, and the errors so far.
pub(super) struct Fields {
    remaining: Map<String, Value>,
    errors: Vec<FieldError>,
}

impl Fields {
    pub(super) fn parse(body: &[u8]) -> Result<Fields, Reply> {
        match serde_json::from_slice(body) {
            Ok(Value::Object(remaining)) => Ok(Fields {
                remaining,
                errors: Vec::new(),
            }),
            Ok(_) => Err(Reply::error(422, "the body is not a JSON object")),
            Err(error) => Err(Reply::error(
                400,
                format!(
                    "invalid JSON at line {} column {}",
                    error.line(),
                    error.column()
                ),
            )),
        }
    }

    fn error<T>(&mut self, field: &'static str, why: &str) -> Option<T> {
        self.errors.push(FieldError {
            field,
            why: why.to_owned(),
        });
        None
    }

    pub(super) fn text(&mut self, field: &'static str) -> Option<String> {
        match self.remaining.remove(field) {
            Some(Value::String(text)) => Some(text),
            Some(_) => self.error(field, "must be a string"),
            None => self.error(field, "is missing"),
        }
    }

    fn number(&mut self, field: &'static str) -> Option<f64> {
        match self.remaining.remove(field) {
            Some(Value::Number(number)) => number.as_f64(),
            Some(_) => self.error(field, "must be a number"),
            None => self.error(field, "is missing"),
        }
    }

    pub(super) fn flag(&mut self, field: &'static str) -> bool {
        match self.remaining.remove(field) {
            None => false,
            Some(Value::Bool(flag)) => flag,
            Some(_) => self
                .error::<bool>(field, "must be true or false")
                .unwrap_or(false),
        }
    }

    pub(super) fn kind(&mut self) -> Option<OverrideKind> {
        let kind = self.text("kind")?;
        let server = self.text("server");
        match kind.as_str() {
            "out" => {
                let has_rate = self.remaining.contains_key("moves_per_s");
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
            _ => self.error("kind", "must be out, weight or pin"),
        }
    }

    /// Reads the remaining fields of a pin.
    fn pin(&mut self, server: Option<String>) -> Option<OverrideKind> {
        let subject = match (
            self.remaining.contains_key("group"),
            self.remaining.contains_key("tenant"),
        ) {
            (true, false) => self.text("group").map(Subject::Group),
            (false, true) => self.text("tenant").map(Subject::Tenant),
            _ => self.error("group", "needs exactly one of group and tenant"),
        };
        let has_mode = self.remaining.contains_key("mode");
        let mode = if has_mode {
            self.text("mode")
        } else {
            Some("prefer".to_owned())
        };
        let strictness = match mode?.as_str() {
            "prefer" => Some(Strictness::Prefer),
            "strict" => Some(Strictness::Strict),
            _ => self.error("mode", "must be prefer or strict"),
        };
        Some(OverrideKind::Pin {
            subject: subject?,
            server: server?,
            strictness: strictness?,
        })
    }

    /// Reads the expiry, on the process's monotonic clock, from either `expires_in_s` (from now) or
    /// `expires_at` (wall clock).
    pub(super) fn expiry(&mut self, override_manager: &OverrideManager) -> Option<Millis> {
        match (
            self.remaining.contains_key("expires_in_s"),
            self.remaining.contains_key("expires_at"),
        ) {
            (true, false) => {
                let seconds = self.number("expires_in_s")?;
                if seconds.is_finite() && seconds > 0.0 {
                    Some(override_manager.from_now((seconds * 1e3) as Millis))
                } else {
                    self.error("expires_in_s", "must be more than 0")
                }
            }
            (false, true) => {
                let text = self.text("expires_at")?;
                let at = humantime::parse_rfc3339_weak(&text).ok();
                let at = at.and_then(|at: SystemTime| at.duration_since(UNIX_EPOCH).ok());
                match at.and_then(|at| Millis::try_from(at.as_millis()).ok()) {
                    Some(at) => Some(override_manager.from_wall_clock(at)),
                    None => self.error("expires_at", "must be a time such as 2026-12-01T18:00:00Z"),
                }
            }
            _ => self.error(
                "expires_in_s",
                "needs exactly one of expires_in_s and expires_at",
            ),
        }
    }

    /// Returns all errors, with the unread fields reported as unknown.
    pub(super) fn finish(mut self) -> Vec<FieldError> {
        let unknown: Vec<String> = self.remaining.keys().cloned().collect();
        if !unknown.is_empty() {
            let names = unknown.join(", ");
            self.errors.push(FieldError {
                field: "body",
                why: format!("unknown fields: {names}"),
            });
        }
        self.errors
    }
}
