//! Identifiers that the host and the policy exchange.

/// A request, as numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server, as numbered by the host of this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A request class: its index in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// A zone, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// A hash that identifies a client. A returning client has the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientKey(pub u64);

/// A hash of the group a connection shares work with; equal at every balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

impl GroupId {
    /// A number from 0 to 1 derived from the group; equal at every balancer.
    pub(crate) fn phase(self) -> f64 {
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// A timer that the policy has requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);
