//! Datagram format: a frame with a version and a keyed digest around a Protobuf message. Older
//! versions ignore fields that newer ones add under new numbers.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use prost::{Message, Oneof};

use crate::settings::{MAX_DATAGRAM_BYTES, is_name, is_reachable, is_site};
use crate::{Configuration, Keys, Member};

/// Incremented only with changes that older versions cannot interpret.
pub(crate) const VERSION: u32 = 1;

/// Why a datagram was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// It has no digest.
    NoKey,
    /// It was sealed with another key, or altered on the way.
    WrongKey,
    /// It is truncated, or not a datagram of this program.
    Malformed,
    /// It exceeds [`crate::MAX_DATAGRAM_BYTES`].
    TooLarge,
    /// Its version is newer than this program's.
    NewerVersion,
    /// It was received before, is far older than the sender's latest, or comes from an earlier
    /// incarnation of the sender.
    Replay,
}

impl Refusal {
    /// All reasons, in the order of [`crate::Counts::refused`].
    pub const ALL: [Self; 6] = [
        Self::NoKey,
        Self::WrongKey,
        Self::Malformed,
        Self::TooLarge,
        Self::NewerVersion,
        Self::Replay,
    ];

    /// Short name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoKey => "no-key",
            Self::WrongKey => "wrong-key",
            Self::Malformed => "cut",
            Self::TooLarge => "huge",
            Self::NewerVersion => "newer",
            Self::Replay => "replay",
        }
    }
}

#[derive(Clone, PartialEq, Message)]
struct Frame {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(fixed32, optional, tag = "2")]
    key: Option<u32>,
    #[prost(bytes = "vec", tag = "3")]
    digest: Vec<u8>,
    #[prost(bytes = "vec", tag = "4")]
    sealed: Vec<u8>,
}

/// Content of a frame: the sender's identity, its datagram counter and a message.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Content {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(fixed64, tag = "3")]
    pub start_nonce: u64,
    #[prost(uint64, tag = "4")]
    pub counter: u64,
    #[prost(oneof = "WireMessage", tags = "5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub message: Option<WireMessage>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum WireMessage {
    /// A message of the SWIM library.
    #[prost(bytes, tag = "5")]
    Swim(Vec<u8>),
    /// Asks the process at the address, whichever it is, to admit the sender.
    #[prost(message, tag = "6")]
    Hello(Identity),
    /// Answers a hello with the responder's identity, from which the sender joins.
    #[prost(message, tag = "7")]
    Welcome(Identity),
    /// Notifies the receiver that another process holds its name.
    #[prost(message, tag = "8")]
    NameConflict(NameConflict),
    /// Notifies the receiver that it is suspected, so that it refutes the suspicion.
    #[prost(message, tag = "9")]
    SuspicionNotice(SuspicionNotice),
    #[prost(bytes, tag = "10")]
    Gossip(Vec<u8>),
    #[prost(bytes, tag = "11")]
    Summary(Vec<u8>),
    #[prost(message, tag = "12")]
    Page(Page),
    /// Requests the member list.
    #[prost(message, tag = "13")]
    RosterRequest(RosterRequest),
    #[prost(message, tag = "14")]
    Roster(Roster),
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct NameConflict {
    #[prost(message, optional, tag = "1")]
    pub holder: Option<Identity>,
    #[prost(bool, tag = "2")]
    pub is_alive: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct SuspicionNotice {
    #[prost(message, optional, tag = "1")]
    pub suspect: Option<Identity>,
    #[prost(uint32, tag = "2")]
    pub incarnation: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct Page {
    #[prost(bytes = "vec", tag = "1")]
    pub bytes: Vec<u8>,
    /// The answer reached the page limit, so the requester should ask again.
    #[prost(bool, tag = "2")]
    pub has_more: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RosterRequest {
    /// The sender's fingerprint of each partition of the names. A process with equal fingerprints
    /// does not answer.
    #[prost(fixed64, repeated, tag = "1")]
    pub fingerprints: Vec<u64>,
}

/// A page of the live and the down members.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Roster {
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Identity>,
    #[prost(message, repeated, tag = "2")]
    pub down: Vec<Identity>,
}

/// Encoded form of a [`Member`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Identity {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "vec", tag = "2")]
    ip: Vec<u8>,
    #[prost(uint32, tag = "3")]
    port: u32,
    #[prost(uint64, tag = "4")]
    incarnation: u64,
    #[prost(fixed64, tag = "5")]
    start_nonce: u64,
    #[prost(uint32, tag = "6")]
    renewal: u32,
    #[prost(string, tag = "7")]
    site: String,
    #[prost(bytes = "vec", tag = "8")]
    digest: Vec<u8>,
    #[prost(uint64, tag = "9")]
    order: u64,
}

impl Identity {
    /// The complete identity.
    pub fn full(member: &Member) -> Self {
        Self {
            site: member.site.to_string(),
            digest: member.configuration.digest.to_vec(),
            order: member.configuration.order,
            ..Self::short(member)
        }
    }

    /// Only the identifying fields and the address; sufficient to refer to a member.
    pub fn short(member: &Member) -> Self {
        let ip = match member.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        Self {
            name: member.name.to_string(),
            ip,
            port: member.address.port().into(),
            incarnation: member.incarnation,
            start_nonce: member.start_nonce,
            renewal: member.renewal,
            ..Self::default()
        }
    }

    /// Encoded size as an entry of a list, in bytes.
    pub fn list_entry_bytes(&self) -> usize {
        let bytes = self.encoded_len();
        1 + prost::length_delimiter_len(bytes) + bytes
    }

    /// Returns `None` if the identity is invalid or its address cannot be a destination.
    pub fn member(&self) -> Option<Member> {
        let ip = match self.ip.len() {
            4 => IpAddr::from(<[u8; 4]>::try_from(&self.ip[..]).ok()?),
            _ => IpAddr::from(<[u8; 16]>::try_from(&self.ip[..]).ok()?),
        };
        let address = SocketAddr::new(ip, u16::try_from(self.port).ok()?);
        let digest = if self.digest.is_empty() {
            [0; 32]
        } else {
            self.digest[..].try_into().ok()?
        };
        (is_name(&self.name) && is_site(&self.site) && is_reachable(address)).then(|| Member {
            name: Arc::from(&self.name[..]),
            address,
            incarnation: self.incarnation,
            start_nonce: self.start_nonce,
            renewal: self.renewal,
            site: Arc::from(&self.site[..]),
            configuration: Configuration {
                digest,
                order: self.order,
            },
        })
    }
}

/// Space for a message's payload in a datagram of a process with this name, in bytes.
pub(crate) fn payload_capacity(name: &str) -> usize {
    // Maximum sizes of the fields with their tags. Frame: version 2, key 5, digest 18, sealed 3.
    // Content: name 2, incarnation 11, start nonce 9, counter 11, message 3. Page: its own fields
    // 5.
    MAX_DATAGRAM_BYTES - (2 + 5 + 18 + 3) - (2 + name.len() + 11 + 9 + 11 + 3) - 5
}

pub(crate) fn seal(keys: &Keys, content: &Content) -> Vec<u8> {
    let sealed = content.encode_to_vec();
    let key = &keys.current;
    let digest = key.digest(VERSION, &sealed).to_vec();
    Frame {
        version: VERSION,
        key: Some(key.id),
        digest,
        sealed,
    }
    .encode_to_vec()
}

/// Verifies and decodes a datagram sealed with a known key.
pub(crate) fn open(keys: &Keys, bytes: &[u8]) -> Result<Content, Refusal> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Refusal::TooLarge);
    }
    let frame = Frame::decode(bytes).map_err(|_| Refusal::Malformed)?;
    if frame.version > VERSION {
        return Err(Refusal::NewerVersion);
    }
    if frame.version == 0 || frame.sealed.is_empty() {
        return Err(Refusal::Malformed);
    }
    let Some(id) = frame.key.filter(|_| !frame.digest.is_empty()) else {
        return Err(Refusal::NoKey);
    };
    if !keys
        .with_id(id)
        .any(|key| key.verify(frame.version, &frame.sealed, &frame.digest))
    {
        return Err(Refusal::WrongKey);
    }
    Content::decode(&frame.sealed[..])
        .ok()
        .filter(|content| is_name(&content.name))
        .ok_or(Refusal::Malformed)
}

#[cfg(test)]
mod tests;
