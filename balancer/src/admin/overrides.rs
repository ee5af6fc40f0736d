//! Overrides, over the administration API.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beaconflow_overrides::{Draft, Fault, Id, Kind, Millis, Replay, Strictness, Subject};
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

use crate::http::{Reply, Request};
use crate::overrides::{Changed, Keeper, Refused, Shown};

/// Longest key of a request.
const LONGEST_KEY: usize = 128;

impl From<Refused> for Reply {
    fn from(refused: Refused) -> Reply {
        match refused {
            Refused::NoStore(why) => Reply::error(503, format!("no overrides are kept here: {why}")),
            Refused::Faults(faults) => faulty(&faults),
            Refused::Unknown => Reply::error(404, "no override of that number holds"),
            Refused::Stale(revision) => {
                let mut reply =
                    Reply::error(412, "it has changed meanwhile: If-Match names another revision");
                reply.body["revision"] = revision.into();
                reply
            }
            Refused::LeavesNone(fronts) => {
                let words: Vec<String> =
                    fronts.iter().map(|(front, judgement)| format!("{front}: {judgement}")).collect();
                let why = format!("it would leave {}; set force to enter it all the same", words.join("; "));
                Reply::error(409, why)
            }
            Refused::Full(most) => {
                Reply::error(409, format!("there are {most} overrides, as many as may be"))
            }
            Refused::KeyReused => {
                Reply::error(422, "Idempotency-Key: it was used for a request with another body")
            }
            Refused::Store(error) => Reply::error(507, format!("{error}; nothing was changed")),
        }
    }
}

fn faulty(faults: &[Fault]) -> Reply {
    let words: Vec<String> = faults.iter().map(Fault::to_string).collect();
    let rows: Vec<Value> =
        faults.iter().map(|fault| json!({ "field": fault.field, "why": fault.why })).collect();
    Reply::new(422, json!({ "error": words.join("; "), "faults": rows }))
}

/// Every override that holds, and where they are kept.
pub(super) fn list(keeper: &Keeper) -> Reply {
    let about = keeper.about();
    let limits = keeper.limits();
    let all: Vec<Value> = keeper.list().iter().map(row).collect();
    Reply::new(
        200,
        json!({
            "kept": about.kept, "notes": about.notes, "wall_ahead_s": keeper.wall_ahead() as f64 / 1e3,
            "longest_s": limits.longest / 1_000, "most": limits.most, "ramp_s": limits.ramp as f64 / 1e3,
            "overrides": all,
        }),
    )
}

/// One of them.
pub(super) fn read(keeper: &Keeper, id: &str) -> Result<Reply, Reply> {
    let shown = keeper.get(number(id)?).ok_or(Refused::Unknown)?;
    Ok(tagged(200, &shown))
}

/// Enters one.
pub(super) fn add(keeper: &Keeper, request: &Request) -> Result<Reply, Reply> {
    let mut fields = Fields::of(&request.body)?;
    let key = request.idempotency_key.as_deref();
    if key.is_some_and(|key| !(1..=LONGEST_KEY).contains(&key.len())) {
        return Err(Reply::error(422, format!("Idempotency-Key: 1 to {LONGEST_KEY} bytes")));
    }
    let replay = key.map(|key| Replay { key: key.to_owned(), body: Sha256::digest(&request.body).to_vec() });
    let kind = fields.kind();
    let (who, why) = (fields.text("who"), fields.text("why"));
    let expires_at = fields.expiry(keeper);
    let force = fields.flag("force");
    let faults = fields.end();
    let draft = match (kind, who, why, expires_at) {
        (Some(kind), Some(who), Some(why), Some(expires_at)) if faults.is_empty() => {
            Draft { kind, who, why, expires_at }
        }
        _ => return Err(faulty(&faults)),
    };
    let Changed { shown, settled, replayed } = keeper.add(draft, force, replay)?;
    let status = if settled { 201 } else { 202 };
    let reply = tagged(status, &shown).with("Location", format!("/v1/overrides/{}", shown.one.id));
    Ok(if replayed { reply.with("Idempotency-Replayed", "true") } else { reply })
}

/// Changes when one ends.
pub(super) fn extend(keeper: &Keeper, id: &str, request: &Request) -> Result<Reply, Reply> {
    let (id, revision) = (number(id)?, revision(request)?);
    let mut fields = Fields::of(&request.body)?;
    let expires_at = fields.expiry(keeper);
    let faults = fields.end();
    let Some(expires_at) = expires_at.filter(|_| faults.is_empty()) else { return Err(faulty(&faults)) };
    Ok(changed(&keeper.extend(id, expires_at, revision)?))
}

/// Ends one.
pub(super) fn remove(keeper: &Keeper, id: &str, request: &Request) -> Result<Reply, Reply> {
    Ok(changed(&keeper.remove(number(id)?, revision(request)?)?))
}

fn changed(changed: &Changed) -> Reply {
    tagged(if changed.settled { 200 } else { 202 }, &changed.shown)
}

fn tagged(status: u16, shown: &Shown) -> Reply {
    Reply::new(status, row(shown)).with("ETag", format!("\"{}\"", shown.one.revision))
}

fn number(id: &str) -> Result<Id, Reply> {
    id.parse().map(Id).map_err(|_| Reply::error(404, "an override has a number"))
}

fn revision(request: &Request) -> Result<Option<u64>, Reply> {
    match request.if_match.as_deref().map(str::trim) {
        None | Some("*") => Ok(None),
        Some(tag) => match tag.trim_matches('"').parse() {
            Ok(revision) => Ok(Some(revision)),
            Err(_) => Err(Reply::error(422, "If-Match: a revision, as ETag gives it")),
        },
    }
}

/// An override in the API's form.
fn row(shown: &Shown) -> Value {
    let one = &shown.one;
    let time = |at: Millis| {
        humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(at.min(MOST_MILLIS))).to_string()
    };
    let effects: Map<String, Value> = shown
        .effects
        .iter()
        .map(|(front, effect)| ((*front).to_owned(), effect.to_string().into()))
        .collect();
    let mut row = json!({
        "id": one.id.0, "kind": one.kind.name(), "server": one.kind.server(), "who": one.who, "why": one.why,
        "created_at": time(one.created_at), "expires_at": time(one.end()),
        "remaining_s": shown.remaining as f64 / 1e3, "revision": one.revision, "forced": one.forced,
        "effects": effects,
    });
    match &one.kind {
        Kind::Out { moves_per_s, .. } => row["moves_per_s"] = (*moves_per_s).into(),
        Kind::Weight { factor, .. } => row["factor"] = (*factor).into(),
        Kind::Pin { subject, strictness, .. } => {
            row[subject.what()] = subject.name().into();
            row["mode"] = if *strictness == Strictness::Strict { "strict" } else { "prefer" }.into();
        }
    }
    row
}

/// The last moment that can be written as a date: the end of the year 9999.
const MOST_MILLIS: Millis = 253_402_300_799_000;

/// The fields of a body. Every fault is kept, not the first only.
struct Fields {
    left: Map<String, Value>,
    faults: Vec<Fault>,
}

impl Fields {
    fn of(body: &[u8]) -> Result<Fields, Reply> {
        match serde_json::from_slice(body) {
            Ok(Value::Object(left)) => Ok(Fields { left, faults: Vec::new() }),
            Ok(_) => Err(Reply::error(422, "the body is no JSON object")),
            Err(error) => Err(Reply::error(
                400,
                format!("not JSON, at line {} column {}", error.line(), error.column()),
            )),
        }
    }

    fn fault<T>(&mut self, field: &'static str, why: &str) -> Option<T> {
        self.faults.push(Fault { field, why: why.to_owned() });
        None
    }

    fn text(&mut self, field: &'static str) -> Option<String> {
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

    fn flag(&mut self, field: &'static str) -> bool {
        match self.left.remove(field) {
            None => false,
            Some(Value::Bool(flag)) => flag,
            Some(_) => self.fault::<bool>(field, "true or false").unwrap_or(false),
        }
    }

    fn kind(&mut self) -> Option<Kind> {
        let kind = self.text("kind")?;
        let server = self.text("server");
        match kind.as_str() {
            "out" => {
                let has_rate = self.left.contains_key("moves_per_s");
                let moves_per_s = if has_rate { self.number("moves_per_s") } else { None };
                Some(Kind::Out { server: server?, moves_per_s })
            }
            "weight" => {
                let factor = self.number("factor");
                Some(Kind::Weight { server: server?, factor: factor? })
            }
            "pin" => {
                let subject = match (self.left.contains_key("group"), self.left.contains_key("tenant")) {
                    (true, false) => self.text("group").map(Subject::Group),
                    (false, true) => self.text("tenant").map(Subject::Tenant),
                    _ => self.fault("group", "either group or tenant"),
                };
                let has_mode = self.left.contains_key("mode");
                let mode = if has_mode { self.text("mode") } else { Some("prefer".to_owned()) };
                let strictness = match mode?.as_str() {
                    "prefer" => Some(Strictness::Prefer),
                    "strict" => Some(Strictness::Strict),
                    _ => self.fault("mode", "prefer or strict"),
                };
                Some(Kind::Pin { subject: subject?, server: server?, strictness: strictness? })
            }
            _ => self.fault("kind", "out, weight or pin"),
        }
    }

    /// When an override ends, on the program's clock: `expires_in_s` from now, or `expires_at` by the wall clock.
    fn expiry(&mut self, keeper: &Keeper) -> Option<Millis> {
        match (self.left.contains_key("expires_in_s"), self.left.contains_key("expires_at")) {
            (true, false) => {
                let seconds = self.number("expires_in_s")?;
                if seconds.is_finite() && seconds > 0.0 {
                    Some(keeper.after((seconds * 1e3) as Millis))
                } else {
                    self.fault("expires_in_s", "more than 0")
                }
            }
            (false, true) => {
                let text = self.text("expires_at")?;
                let at = humantime::parse_rfc3339_weak(&text).ok();
                let at = at.and_then(|at: SystemTime| at.duration_since(UNIX_EPOCH).ok());
                match at.and_then(|at| Millis::try_from(at.as_millis()).ok()) {
                    Some(at) => Some(keeper.from_wall(at)),
                    None => self.fault("expires_at", "a time as 2026-12-01T18:00:00Z"),
                }
            }
            _ => self.fault("expires_in_s", "either expires_in_s or expires_at"),
        }
    }

    /// Every fault, with the fields that nobody asked for.
    fn end(mut self) -> Vec<Fault> {
        let unknown: Vec<String> = self.left.keys().cloned().collect();
        if !unknown.is_empty() {
            let names = unknown.join(", ");
            self.faults.push(Fault { field: "body", why: format!("unknown fields here: {names}") });
        }
        self.faults
    }
}
