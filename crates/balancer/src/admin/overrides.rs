//! Administration API: overrides.

mod fields;

use std::time::{Duration, UNIX_EPOCH};

use beaconflow_overrides::{
    Draft, FieldError, Millis, OverrideId, OverrideKind, Replay, Strictness,
};
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

use crate::http::{Reply, Request};
use crate::overrides::{ChangeResult, OverrideError, OverrideManager, OverrideView};
use fields::Fields;

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

impl From<OverrideError> for Reply {
    fn from(error: OverrideError) -> Reply {
        match error {
            OverrideError::NoStore(why) => {
                Reply::error(503, format!("overrides are disabled: {why}"))
            }
            OverrideError::Invalid(errors) => invalid_fields(&errors),
            OverrideError::Unknown => Reply::error(404, "no active override has this id"),
            OverrideError::Stale(revision) => {
                let mut reply = Reply::error(
                    412,
                    "the override has changed: If-Match names another revision",
                );
                reply.body["revision"] = revision.into();
                reply
            }
            OverrideError::LeavesNoServer(fronts) => {
                let messages: Vec<String> = fronts
                    .iter()
                    .map(|(front, gaps)| format!("{front}: {gaps}"))
                    .collect();
                let why = format!(
                    "the override would leave {}; set force to create it anyway",
                    messages.join("; ")
                );
                Reply::error(409, why)
            }
            OverrideError::Full(max_count) => Reply::error(
                409,
                format!("the limit of {max_count} overrides is reached"),
            ),
            OverrideError::KeyReused => Reply::error(
                422,
                "Idempotency-Key: used before for a request with another body",
            ),
            OverrideError::Store(error) => {
                Reply::error(507, format!("{error}; nothing was changed"))
            }
        }
    }
}

fn invalid_fields(errors: &[FieldError]) -> Reply {
    let messages: Vec<String> = errors.iter().map(FieldError::to_string).collect();
    let error_json: Vec<Value> = errors
        .iter()
        .map(|error| json!({ "field": error.field, "why": error.why }))
        .collect();
    Reply::new(
        422,
        json!({ "error": messages.join("; "), "faults": error_json }),
    )
}

/// Lists all active overrides, their limits and the state of their store.
pub(super) fn list(override_manager: &OverrideManager) -> Reply {
    let store_status = override_manager.store_status();
    let limits = override_manager.limits();
    let all: Vec<Value> = override_manager.list().iter().map(override_json).collect();
    Reply::new(
        200,
        json!({
            "kept": store_status.is_persistent, "notes": store_status.notes, "wall_ahead_s": override_manager.wall_clock_offset_ms() as f64 / 1e3,
            "longest_s": limits.max_duration_ms / 1_000, "most": limits.max_count, "ramp_s": limits.ramp_ms as f64 / 1e3,
            "overrides": all,
        }),
    )
}

/// Reads one override.
pub(super) fn read(override_manager: &OverrideManager, id: &str) -> Result<Reply, Reply> {
    let view = override_manager
        .get(parse_id(id)?)
        .ok_or(OverrideError::Unknown)?;
    Ok(reply_with_etag(200, &view))
}

/// Creates an override.
pub(super) fn add(override_manager: &OverrideManager, request: &Request) -> Result<Reply, Reply> {
    let mut fields = Fields::parse(&request.body)?;
    let key = request.idempotency_key.as_deref();
    if key.is_some_and(|key| !(1..=MAX_KEY_BYTES).contains(&key.len())) {
        return Err(Reply::error(
            422,
            format!("Idempotency-Key: must be 1 to {MAX_KEY_BYTES} bytes"),
        ));
    }
    let replay = key.map(|key| Replay {
        key: key.to_owned(),
        body: Sha256::digest(&request.body).to_vec(),
    });
    let kind = fields.kind();
    let (who, why) = (fields.text("who"), fields.text("why"));
    let expires_at = fields.expiry(override_manager);
    let force = fields.flag("force");
    let errors = fields.finish();
    let draft = match (kind, who, why, expires_at) {
        (Some(kind), Some(who), Some(why), Some(expires_at)) if errors.is_empty() => Draft {
            kind,
            who,
            why,
            expires_at,
        },
        _ => return Err(invalid_fields(&errors)),
    };
    let ChangeResult {
        view,
        is_in_effect,
        is_replay,
    } = override_manager.add(draft, force, replay)?;
    let status = if is_in_effect { 201 } else { 202 };
    let reply = reply_with_etag(status, &view)
        .with("Location", format!("/v1/overrides/{}", view.record.id));
    Ok(if is_replay {
        reply.with("Idempotency-Replayed", "true")
    } else {
        reply
    })
}

/// Changes the expiry of an override.
pub(super) fn extend(
    override_manager: &OverrideManager,
    id: &str,
    request: &Request,
) -> Result<Reply, Reply> {
    let (id, revision) = (parse_id(id)?, revision(request)?);
    let mut fields = Fields::parse(&request.body)?;
    let expires_at = fields.expiry(override_manager);
    let errors = fields.finish();
    let Some(expires_at) = expires_at.filter(|_| errors.is_empty()) else {
        return Err(invalid_fields(&errors));
    };
    Ok(change_reply(
        &override_manager.extend(id, expires_at, revision)?,
    ))
}

/// Removes an override.
pub(super) fn remove(
    override_manager: &OverrideManager,
    id: &str,
    request: &Request,
) -> Result<Reply, Reply> {
    Ok(change_reply(
        &override_manager.remove(parse_id(id)?, revision(request)?)?,
    ))
}

fn change_reply(result: &ChangeResult) -> Reply {
    reply_with_etag(if result.is_in_effect { 200 } else { 202 }, &result.view)
}

fn reply_with_etag(status: u16, view: &OverrideView) -> Reply {
    Reply::new(status, override_json(view)).with("ETag", format!("\"{}\"", view.record.revision))
}

fn parse_id(id: &str) -> Result<OverrideId, Reply> {
    id.parse()
        .map(OverrideId)
        .map_err(|_| Reply::error(404, "the id of an override is a number"))
}

fn revision(request: &Request) -> Result<Option<u64>, Reply> {
    match request.if_match.as_deref().map(str::trim) {
        None | Some("*") => Ok(None),
        Some(tag) => match tag.trim_matches('"').parse() {
            Ok(revision) => Ok(Some(revision)),
            Err(_) => Err(Reply::error(422, "If-Match: must be a revision as in ETag")),
        },
    }
}

/// An override in the API's format.
fn override_json(view: &OverrideView) -> Value {
    let record = &view.record;
    let time = |at: Millis| {
        humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(at.min(MAX_DATE_MS)))
            .to_string()
    };
    let effects: Map<String, Value> = view
        .effects
        .iter()
        .map(|(front, effect)| ((*front).to_owned(), effect.to_string().into()))
        .collect();
    let mut json = json!({
        "id": record.id.0, "kind": record.kind.name(), "server": record.kind.server(), "who": record.who, "why": record.why,
        "created_at": time(record.created_at), "expires_at": time(record.ends_at()),
        "remaining_s": view.remaining_ms as f64 / 1e3, "revision": record.revision, "forced": record.forced,
        "effects": effects,
    });
    match &record.kind {
        OverrideKind::Out { moves_per_s, .. } => json["moves_per_s"] = (*moves_per_s).into(),
        OverrideKind::Weight { factor, .. } => json["factor"] = (*factor).into(),
        OverrideKind::Pin {
            subject,
            strictness,
            ..
        } => {
            json[subject.kind_name()] = subject.name().into();
            json["mode"] = if *strictness == Strictness::Strict {
                "strict"
            } else {
                "prefer"
            }
            .into();
        }
    }
    json
}

/// The last time that can be formatted as a date: the end of the year 9999.
const MAX_DATE_MS: Millis = 253_402_300_799_000;
