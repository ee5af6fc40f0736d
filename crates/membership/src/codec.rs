//! Protobuf encoding of the SWIM library's messages, and the guard against updates about this
//! process's own name.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Message as Swim, State};
use prost::Message;

use crate::Member;
use crate::wire::Identity;

#[derive(Clone, PartialEq, Message)]
struct HeaderRecord {
    #[prost(message, optional, tag = "1")]
    from: Option<Identity>,
    #[prost(uint32, tag = "2")]
    incarnation: u32,
    #[prost(message, optional, tag = "3")]
    to: Option<Identity>,
    #[prost(uint32, tag = "4")]
    kind: u32,
    #[prost(message, optional, tag = "5")]
    third_party: Option<Identity>,
    #[prost(uint32, tag = "6")]
    probe: u32,
}

#[derive(Clone, PartialEq, Message)]
struct MemberRecord {
    #[prost(message, optional, tag = "1")]
    member: Option<Identity>,
    #[prost(uint32, tag = "2")]
    incarnation: u32,
    #[prost(uint32, tag = "3")]
    state: u32,
}

/// Another incarnation under this process's own name, as reported by peers.
#[derive(Clone, Debug)]
pub(crate) struct ConflictingMember {
    pub member: Member,
    pub is_alive: bool,
}

/// The identity of this process, and any conflicting identity that peers reported. Shared with the
/// codec, which decodes every update.
#[derive(Debug)]
pub(crate) struct OwnNameState {
    pub local: Member,
    pub conflict: Option<ConflictingMember>,
}

#[derive(Clone, Debug)]
pub(crate) struct OwnName(Arc<Mutex<OwnNameState>>);

impl OwnName {
    pub fn new(local: Member) -> Self {
        Self(Arc::new(Mutex::new(OwnNameState {
            local,
            conflict: None,
        })))
    }

    pub fn lock(&self) -> MutexGuard<'_, OwnNameState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a message could not be encoded or decoded.
#[derive(Debug)]
pub(crate) enum CodecError {
    Encode(prost::EncodeError),
    Decode(prost::DecodeError),
    /// A field has a value unknown to this version.
    UnknownValue,
}

impl fmt::Display for CodecError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encode(error) => error.fmt(out),
            Self::Decode(error) => error.fmt(out),
            Self::UnknownValue => out.write_str("a field has an unknown value"),
        }
    }
}

impl std::error::Error for CodecError {}

pub(crate) struct RecordCodec(pub OwnName);

impl Codec<Member> for RecordCodec {
    type Error = CodecError;

    fn encode_header(
        &mut self,
        header: &Header<Member>,
        buf: impl BufMut,
    ) -> Result<(), CodecError> {
        let (kind, third_party, probe) = message_fields(&header.message);
        let record = HeaderRecord {
            from: Some(Identity::full(&header.src)),
            incarnation: header.src_incarnation.into(),
            to: Some(Identity::short(&header.dst)),
            kind,
            third_party: third_party.map(Identity::short),
            probe: probe.into(),
        };
        encode(&record, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, CodecError> {
        let record = HeaderRecord::decode_length_delimited(buf).map_err(CodecError::Decode)?;
        Ok(Header {
            src: required_member(record.from.as_ref())?,
            src_incarnation: narrow(record.incarnation)?,
            dst: required_member(record.to.as_ref())?,
            message: message_from_fields(
                record.kind,
                record.third_party.as_ref(),
                narrow(record.probe)?,
            )?,
        })
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Member>,
        buf: impl BufMut,
    ) -> Result<(), CodecError> {
        let id = member.id();
        let (identity, state) = match member.state() {
            State::Alive => (Identity::full(id), 1),
            State::Suspect => (Identity::full(id), 2),
            State::Down => (Identity::short(id), 3),
        };
        encode(
            &MemberRecord {
                member: Some(identity),
                incarnation: member.incarnation().into(),
                state,
            },
            buf,
        )
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, CodecError> {
        let record = MemberRecord::decode_length_delimited(buf).map_err(CodecError::Decode)?;
        let state = match record.state {
            1 => State::Alive,
            2 => State::Suspect,
            3 => State::Down,
            _ => return Err(CodecError::UnknownValue),
        };
        let member = required_member(record.member.as_ref())?;
        Ok(self.guard_own_name(member, narrow(record.incarnation)?, state))
    }
}

impl RecordCodec {
    /// Replaces updates about another process that has this process's name. The library would
    /// declare that process down, so two processes with one name would declare each other down
    /// forever. It is given this process's own identity instead, and the node resolves the
    /// conflict.
    fn guard_own_name(
        &self,
        member: Member,
        incarnation: u16,
        state: State,
    ) -> foca::Member<Member> {
        let mut own_name = self.0.lock();
        if member.name != own_name.local.name || member == own_name.local {
            return foca::Member::new(member, incarnation, state);
        }
        let is_later = own_name
            .conflict
            .as_ref()
            .is_none_or(|conflict| member.rank() > conflict.member.rank());
        if member.incarnation_id() > own_name.local.incarnation_id() && is_later {
            own_name.conflict = Some(ConflictingMember {
                member,
                is_alive: state != State::Down,
            });
        }
        foca::Member::alive(own_name.local.clone())
    }
}

fn encode(record: &impl Message, mut buf: impl BufMut) -> Result<(), CodecError> {
    record
        .encode_length_delimited(&mut buf)
        .map_err(CodecError::Encode)
}

fn required_member(identity: Option<&Identity>) -> Result<Member, CodecError> {
    identity
        .and_then(Identity::member)
        .ok_or(CodecError::UnknownValue)
}

fn narrow<T: TryFrom<u32>>(value: u32) -> Result<T, CodecError> {
    T::try_from(value).map_err(|_| CodecError::UnknownValue)
}

fn message_fields(message: &Swim<Member>) -> (u32, Option<&Member>, u8) {
    match message {
        Swim::Ping(probe) => (1, None, *probe),
        Swim::Ack(probe) => (2, None, *probe),
        Swim::PingReq {
            target,
            probe_number,
        } => (3, Some(target), *probe_number),
        Swim::IndirectPing {
            origin,
            probe_number,
        } => (4, Some(origin), *probe_number),
        Swim::IndirectAck {
            target,
            probe_number,
        } => (5, Some(target), *probe_number),
        Swim::ForwardedAck {
            origin,
            probe_number,
        } => (6, Some(origin), *probe_number),
        Swim::Announce => (7, None, 0),
        Swim::Feed => (8, None, 0),
        Swim::Gossip => (9, None, 0),
        Swim::Broadcast => (10, None, 0),
        Swim::TurnUndead => (11, None, 0),
    }
}

fn message_from_fields(
    kind: u32,
    third_party: Option<&Identity>,
    probe_number: u8,
) -> Result<Swim<Member>, CodecError> {
    Ok(match kind {
        1 => Swim::Ping(probe_number),
        2 => Swim::Ack(probe_number),
        3 => Swim::PingReq {
            target: required_member(third_party)?,
            probe_number,
        },
        4 => Swim::IndirectPing {
            origin: required_member(third_party)?,
            probe_number,
        },
        5 => Swim::IndirectAck {
            target: required_member(third_party)?,
            probe_number,
        },
        6 => Swim::ForwardedAck {
            origin: required_member(third_party)?,
            probe_number,
        },
        7 => Swim::Announce,
        8 => Swim::Feed,
        9 => Swim::Gossip,
        10 => Swim::Broadcast,
        11 => Swim::TurnUndead,
        _ => return Err(CodecError::UnknownValue),
    })
}
