//! Overrides and their validation.

use std::fmt;

use crate::Millis;

/// Longest name of a server, group, tenant or author.
const MAX_NAME_BYTES: usize = 128;
/// Longest reason.
const MAX_REASON_BYTES: usize = 512;
/// Allowed factors of a weight.
const FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.001..=100.0;
/// Allowed migrations per second.
const MOVES_PER_S_RANGE: std::ops::RangeInclusive<f64> = 0.01..=10_000.0;

/// Id of an override; never reused by a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OverrideId(pub u64);

impl fmt::Display for OverrideId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Whose connections are pinned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A connection group, by the name that clients give.
    Group(String),
    /// A tenant, by name.
    Tenant(String),
}

impl Subject {
    /// Its name.
    pub fn name(&self) -> &str {
        let (Subject::Group(name) | Subject::Tenant(name)) = self;
        name
    }

    /// What it is: `group` or `tenant`.
    pub fn kind_name(&self) -> &'static str {
        match self {
            Subject::Group(_) => "group",
            Subject::Tenant(_) => "tenant",
        }
    }
}

/// What happens to a pinned request that its server can't take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strictness {
    /// It is placed by the rotation.
    Prefer,
    /// It is rejected, with a time to retry.
    Strict,
}

/// What an override does.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideKind {
    /// A server gets no new connections.
    Out {
        /// The server's name in the list.
        server: String,
        /// Rate at which its established connections are migrated; `None` keeps them.
        moves_per_s: Option<f64>,
    },
    /// A server's listed weight is multiplied.
    Weight {
        /// The server's name in the list.
        server: String,
        /// The factor.
        factor: f64,
    },
    /// New connections of a group or tenant go to one server.
    Pin {
        /// Whose connections.
        subject: Subject,
        /// The server's name in the list.
        server: String,
        /// Whether they may use other servers.
        strictness: Strictness,
    },
}

impl OverrideKind {
    /// The server that it names.
    pub fn server(&self) -> &str {
        let (OverrideKind::Out { server, .. }
        | OverrideKind::Weight { server, .. }
        | OverrideKind::Pin { server, .. }) = self;
        server
    }

    /// Its name: `out`, `weight` or `pin`.
    pub fn name(&self) -> &'static str {
        match self {
            OverrideKind::Out { .. } => "out",
            OverrideKind::Weight { .. } => "weight",
            OverrideKind::Pin { .. } => "pin",
        }
    }
}

/// Limits on overrides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest time to an expiry.
    pub max_duration_ms: Millis,
    /// Most overrides at once.
    pub max_count: usize,
    /// Duration of the ramp of a weight that rises.
    pub ramp_ms: Millis,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_duration_ms: 7 * 24 * 3_600_000,
            max_count: 10_000,
            ramp_ms: 30_000,
        }
    }
}

/// An error in a requested override.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The field, by its name in the API.
    pub field: &'static str,
    /// What it must be.
    pub why: String,
}

impl FieldError {
    fn new(field: &'static str, why: impl Into<String>) -> FieldError {
        FieldError {
            field,
            why: why.into(),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

/// A requested override.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// What it does.
    pub kind: OverrideKind,
    /// The author.
    pub who: String,
    /// The reason.
    pub why: String,
    /// When it ends.
    pub expires_at: Millis,
}

impl Draft {
    /// Checks it; returns all errors.
    pub fn check(&self, now: Millis, limits: &Limits) -> Result<(), Vec<FieldError>> {
        let mut errors = Vec::new();
        let mut text = |field, text: &str, max_bytes: usize| {
            if !(1..=max_bytes).contains(&text.len()) || text.chars().any(char::is_control) {
                errors.push(FieldError::new(
                    field,
                    format!("1 to {max_bytes} bytes, no control characters"),
                ));
            }
        };
        text("who", &self.who, MAX_NAME_BYTES);
        text("why", &self.why, MAX_REASON_BYTES);
        text("server", self.kind.server(), MAX_NAME_BYTES);
        match &self.kind {
            OverrideKind::Pin { subject, .. } => {
                text(subject.kind_name(), subject.name(), MAX_NAME_BYTES)
            }
            OverrideKind::Weight { factor, .. } if *factor == 0.0 => {
                errors.push(FieldError::new(
                    "factor",
                    "0 is no weight: use the kind out",
                ));
            }
            OverrideKind::Weight { factor, .. } if !FACTOR_RANGE.contains(factor) => {
                errors.push(FieldError::new("factor", "from 0.001 to 100"));
            }
            OverrideKind::Out {
                moves_per_s: Some(rate),
                ..
            } if !MOVES_PER_S_RANGE.contains(rate) => {
                errors.push(FieldError::new("moves_per_s", "from 0.01 to 10000"));
            }
            OverrideKind::Weight { .. } | OverrideKind::Out { .. } => {}
        }
        errors.extend(check_expiry(self.expires_at, now, limits).err());
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    /// The override that it becomes.
    pub fn into_override(self, id: OverrideId, now: Millis) -> Override {
        let Draft {
            kind,
            who,
            why,
            expires_at,
        } = self;
        Override {
            id,
            kind,
            who,
            why,
            created_at: now,
            expires_at,
            removed_at: None,
            revision: 1,
            forced: false,
            replay: None,
        }
    }
}

/// Checks an expiry.
pub(crate) fn check_expiry(
    expires_at: Millis,
    now: Millis,
    limits: &Limits,
) -> Result<(), FieldError> {
    if expires_at <= now {
        return Err(FieldError::new("expires", "lies in the past"));
    }
    if expires_at - now > limits.max_duration_ms {
        let max_duration_s = limits.max_duration_ms / 1_000;
        return Err(FieldError::new(
            "expires",
            format!("more than {max_duration_s} s from now, the longest span here"),
        ));
    }
    Ok(())
}

/// The request that created an override, by which a repetition is recognized.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replay {
    /// The client's idempotency key.
    pub key: String,
    /// A digest of its body.
    pub body: Vec<u8>,
}

/// An override.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Its number.
    pub id: OverrideId,
    /// What it does.
    pub kind: OverrideKind,
    /// The author.
    pub who: String,
    /// The reason.
    pub why: String,
    /// When it took effect.
    pub created_at: Millis,
    /// When it ends.
    pub expires_at: Millis,
    /// When it was removed, if it was.
    pub removed_at: Option<Millis>,
    /// Revision; grows with each change, from 1.
    pub revision: u64,
    /// Whether it was created although it leaves a place without a ready server.
    pub forced: bool,
    /// The request that made it, if that had a key.
    pub replay: Option<Replay>,
}

impl Override {
    /// When it ended or will end.
    pub fn ends_at(&self) -> Millis {
        self.removed_at
            .map_or(self.expires_at, |at| at.min(self.expires_at))
            .max(self.created_at)
    }

    /// Whether it is in effect at a time.
    pub fn is_active_at(&self, at: Millis) -> bool {
        self.created_at <= at && at < self.ends_at()
    }

    /// Changes its expiry.
    pub fn extend(
        &mut self,
        expires_at: Millis,
        now: Millis,
        limits: &Limits,
    ) -> Result<(), FieldError> {
        check_expiry(expires_at, now, limits)?;
        self.expires_at = expires_at;
        self.revision += 1;
        Ok(())
    }

    /// Ends it.
    pub fn remove(&mut self, now: Millis) {
        self.removed_at = Some(now);
        self.revision += 1;
    }
}
