//! Overrides, requests for overrides and their validation.

use std::fmt;

use crate::Millis;

/// Limit on the name of a server, group, tenant or author, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Limit on the reason of an override, in bytes.
const MAX_REASON_BYTES: usize = 512;
/// Factors that an override may apply to a weight.
const FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.001..=100.0;
/// Migration rates that an override may set, in connections per second.
const MOVES_PER_S_RANGE: std::ops::RangeInclusive<f64> = 0.01..=10_000.0;

/// Id of an override. A store never reuses one.
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
    /// A connection group, by the name that clients send.
    Group(String),
    /// A tenant, by name.
    Tenant(String),
}

impl Subject {
    /// The name of the group or tenant.
    pub fn name(&self) -> &str {
        let (Subject::Group(name) | Subject::Tenant(name)) = self;
        name
    }

    /// The kind of subject: `group` or `tenant`.
    pub fn kind_name(&self) -> &'static str {
        match self {
            Subject::Group(_) => "group",
            Subject::Tenant(_) => "tenant",
        }
    }
}

/// What happens to a pinned request if its server can't accept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strictness {
    /// The request is placed on another server, as without a pin.
    Prefer,
    /// The request is rejected with a retry-after time.
    Strict,
}

/// What an override changes.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideKind {
    /// A server gets no new connections.
    Out {
        /// Name of the server in the list.
        server: String,
        /// Rate at which its established connections are migrated, per second; `None` keeps them.
        moves_per_s: Option<f64>,
    },
    /// A server's listed weight is multiplied.
    Weight {
        /// Name of the server in the list.
        server: String,
        /// Factor on the listed weight, from 0.001 to 100.
        factor: f64,
    },
    /// New connections of a group or tenant go to one server.
    Pin {
        /// The group or tenant.
        subject: Subject,
        /// Name of the server in the list.
        server: String,
        /// Whether its connections may use other servers.
        strictness: Strictness,
    },
}

impl OverrideKind {
    /// Name of the server that the override applies to.
    pub fn server(&self) -> &str {
        let (OverrideKind::Out { server, .. }
        | OverrideKind::Weight { server, .. }
        | OverrideKind::Pin { server, .. }) = self;
        server
    }

    /// Name of the kind: `out`, `weight` or `pin`.
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
    /// Longest time from now to an expiry.
    pub max_duration_ms: Millis,
    /// Limit on the overrides that are in effect at the same time.
    pub max_count: usize,
    /// Duration of the ramp of a rising weight.
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

/// An invalid field of a requested override.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Name of the field in the API.
    pub field: &'static str,
    /// Which values are valid.
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

/// A requested override that has no id yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// What the override changes.
    pub kind: OverrideKind,
    /// The author; 1 to 128 bytes.
    pub who: String,
    /// The reason; 1 to 512 bytes.
    pub why: String,
    /// When the override expires.
    pub expires_at: Millis,
}

impl Draft {
    /// Validates all fields.
    ///
    /// # Errors
    ///
    /// Returns all invalid fields.
    pub fn check(&self, now: Millis, limits: &Limits) -> Result<(), Vec<FieldError>> {
        let mut errors = Vec::new();
        let mut text = |field, text: &str, max_bytes: usize| {
            if !(1..=max_bytes).contains(&text.len()) || text.chars().any(char::is_control) {
                errors.push(FieldError::new(
                    field,
                    format!("must have 1 to {max_bytes} bytes and no control characters"),
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
                    "must not be 0: use the kind out to take a server out of service",
                ));
            }
            OverrideKind::Weight { factor, .. } if !FACTOR_RANGE.contains(factor) => {
                errors.push(FieldError::new("factor", "must be from 0.001 to 100"));
            }
            OverrideKind::Out {
                moves_per_s: Some(rate),
                ..
            } if !MOVES_PER_S_RANGE.contains(rate) => {
                errors.push(FieldError::new("moves_per_s", "must be from 0.01 to 10000"));
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

    /// Creates the override, in effect from now on, with revision 1.
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

/// Validates that an expiry is in the future and within the longest duration.
pub(crate) fn check_expiry(
    expires_at: Millis,
    now: Millis,
    limits: &Limits,
) -> Result<(), FieldError> {
    if expires_at <= now {
        return Err(FieldError::new("expires", "must be in the future"));
    }
    if expires_at - now > limits.max_duration_ms {
        let max_duration_s = limits.max_duration_ms / 1_000;
        return Err(FieldError::new(
            "expires",
            format!("must be at most {max_duration_s} s from now"),
        ));
    }
    Ok(())
}

/// The request that created an override, kept to recognize its repetition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replay {
    /// The client's idempotency key.
    pub key: String,
    /// Digest of the request's body.
    pub body: Vec<u8>,
}

/// An override with its lifetime.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Id in the store.
    pub id: OverrideId,
    /// What the override changes.
    pub kind: OverrideKind,
    /// Who created the override.
    pub who: String,
    /// Why it was created, for other operators.
    pub why: String,
    /// When it took effect.
    pub created_at: Millis,
    /// When it expires, unless it is removed before.
    pub expires_at: Millis,
    /// When an operator removed it; `None` if it was not removed.
    pub removed_at: Option<Millis>,
    /// Revision, from 1; grows by 1 with each change.
    pub revision: u64,
    /// Whether it was created although it leaves a zone or the whole list without a ready server.
    pub forced: bool,
    /// The request that created it, if that had an idempotency key.
    pub replay: Option<Replay>,
}

impl Override {
    /// When it ended or will end, by its removal or its expiry; never before its creation.
    pub fn ends_at(&self) -> Millis {
        self.removed_at
            .map_or(self.expires_at, |at| at.min(self.expires_at))
            .max(self.created_at)
    }

    /// Whether it is in effect at a time. Its end is exclusive.
    pub fn is_active_at(&self, at: Millis) -> bool {
        self.created_at <= at && at < self.ends_at()
    }

    /// Changes the expiry and raises the revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the expiry is not in the future or exceeds the longest duration.
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

    /// Ends the override now and raises the revision.
    pub fn remove(&mut self, now: Millis) {
        self.removed_at = Some(now);
        self.revision += 1;
    }
}
