//! Overrides and their validation.

use std::fmt;

use crate::Millis;

/// Longest name of a server, group, tenant or author.
const LONGEST_NAME: usize = 128;
/// Longest reason.
const LONGEST_WHY: usize = 512;
/// Allowed factors of a weight.
const FACTORS: std::ops::RangeInclusive<f64> = 0.001..=100.0;
/// Allowed migrations per second.
const MOVES: std::ops::RangeInclusive<f64> = 0.01..=10_000.0;

/// Id of an override; never reused by a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl fmt::Display for Id {
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
    pub fn what(&self) -> &'static str {
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
pub enum Kind {
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

impl Kind {
    /// The server that it names.
    pub fn server(&self) -> &str {
        let (Kind::Out { server, .. } | Kind::Weight { server, .. } | Kind::Pin { server, .. }) =
            self;
        server
    }

    /// Its name: `out`, `weight` or `pin`.
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Out { .. } => "out",
            Kind::Weight { .. } => "weight",
            Kind::Pin { .. } => "pin",
        }
    }
}

/// Limits on overrides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest time to an expiry.
    pub longest: Millis,
    /// Most overrides at once.
    pub most: usize,
    /// Duration of the ramp of a weight that rises.
    pub ramp: Millis,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            longest: 7 * 24 * 3_600_000,
            most: 10_000,
            ramp: 30_000,
        }
    }
}

/// An error in a requested override.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The field, by its name in the API.
    pub field: &'static str,
    /// What it must be.
    pub why: String,
}

impl Fault {
    fn new(field: &'static str, why: impl Into<String>) -> Fault {
        Fault {
            field,
            why: why.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

/// A requested override.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// What it does.
    pub kind: Kind,
    /// The author.
    pub who: String,
    /// The reason.
    pub why: String,
    /// When it ends.
    pub expires_at: Millis,
}

impl Draft {
    /// Checks it; returns all errors.
    pub fn check(&self, now: Millis, limits: &Limits) -> Result<(), Vec<Fault>> {
        let mut faults = Vec::new();
        let mut text = |field, text: &str, most: usize| {
            if !(1..=most).contains(&text.len()) || text.chars().any(char::is_control) {
                faults.push(Fault::new(
                    field,
                    format!("1 to {most} bytes, no control characters"),
                ));
            }
        };
        text("who", &self.who, LONGEST_NAME);
        text("why", &self.why, LONGEST_WHY);
        text("server", self.kind.server(), LONGEST_NAME);
        match &self.kind {
            Kind::Pin { subject, .. } => text(subject.what(), subject.name(), LONGEST_NAME),
            Kind::Weight { factor, .. } if *factor == 0.0 => {
                faults.push(Fault::new("factor", "0 is no weight: use the kind out"));
            }
            Kind::Weight { factor, .. } if !FACTORS.contains(factor) => {
                faults.push(Fault::new("factor", "from 0.001 to 100"));
            }
            Kind::Out {
                moves_per_s: Some(rate),
                ..
            } if !MOVES.contains(rate) => {
                faults.push(Fault::new("moves_per_s", "from 0.01 to 10000"));
            }
            Kind::Weight { .. } | Kind::Out { .. } => {}
        }
        faults.extend(check_expiry(self.expires_at, now, limits).err());
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    /// The override that it becomes.
    pub fn into_override(self, id: Id, now: Millis) -> Override {
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
pub(crate) fn check_expiry(expires_at: Millis, now: Millis, limits: &Limits) -> Result<(), Fault> {
    if expires_at <= now {
        return Err(Fault::new("expires", "lies in the past"));
    }
    if expires_at - now > limits.longest {
        let most = limits.longest / 1_000;
        return Err(Fault::new(
            "expires",
            format!("more than {most} s from now, the longest span here"),
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
    pub id: Id,
    /// What it does.
    pub kind: Kind,
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
    pub fn end(&self) -> Millis {
        self.removed_at
            .map_or(self.expires_at, |at| at.min(self.expires_at))
            .max(self.created_at)
    }

    /// Whether it is in effect at a time.
    pub fn is_active_at(&self, at: Millis) -> bool {
        self.created_at <= at && at < self.end()
    }

    /// Changes its expiry.
    pub fn extend(
        &mut self,
        expires_at: Millis,
        now: Millis,
        limits: &Limits,
    ) -> Result<(), Fault> {
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
