//! Messages between processes, as protocol buffers that the gossip crate carries unread. Fields are
//! only added; numbers keep their meaning.

use beaconflow_edge::{
    HealthReport, OperatorMode, PreviousFinding, Reachability, RemoteTarget, ServerHealth,
    UplinkMode, UplinkReport, UplinkState,
};
use beaconflow_recovery::PeerStatus;
use prost::Message;

const NANOS_PER_MS: u64 = 1_000_000;

#[derive(Clone, PartialEq, Message)]
struct RecoveryStatusRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    site: String,
    #[prost(uint64, tag = "3")]
    boot: u64,
    #[prost(uint64, tag = "4")]
    up_for_ms: u64,
    #[prost(uint64, optional, tag = "5")]
    serving_for_ms: Option<u64>,
    #[prost(bool, tag = "6")]
    in_full: bool,
    #[prost(uint64, optional, tag = "7")]
    wall_ms: Option<u64>,
    #[prost(double, optional, tag = "8")]
    previous_clients: Option<f64>,
    #[prost(double, tag = "9")]
    short: f64,
}

/// Encodes this process's recovery status.
pub(super) fn encode_recovery_status(word: &PeerStatus) -> Vec<u8> {
    RecoveryStatusRecord {
        name: word.name.clone(),
        site: word.site.clone(),
        boot: word.incarnation,
        up_for_ms: word.uptime / NANOS_PER_MS,
        serving_for_ms: word.serving_time.map(|span| span / NANOS_PER_MS),
        in_full: word.is_in_full_service,
        wall_ms: word.wall_clock,
        previous_clients: word.previous_clients,
        short: word.deferred_per_s,
    }
    .encode_to_vec()
}

/// Decodes a recovery status of the given age; its spans grow by it. `None` if it can't be parsed.
pub(super) fn decode_recovery_status(bytes: &[u8], age_ms: u64) -> Option<PeerStatus> {
    let read = RecoveryStatusRecord::decode(bytes).ok()?;
    let sound = |value: &f64| value.is_finite() && *value >= 0.0;
    let grown = |span: u64| span.saturating_add(age_ms).saturating_mul(NANOS_PER_MS);
    Some(PeerStatus {
        name: read.name,
        site: read.site,
        incarnation: read.boot,
        uptime: grown(read.up_for_ms),
        serving_time: read.serving_for_ms.map(grown),
        is_in_full_service: read.in_full,
        wall_clock: read.wall_ms.map(|wall| wall.saturating_add(age_ms)),
        previous_clients: read.previous_clients.filter(sound),
        deferred_per_s: if sound(&read.short) { read.short } else { 0.0 },
    })
}

/// Quota that a process lends to another.
#[derive(Clone, PartialEq, Message)]
struct LentQuotaRecord {
    #[prost(string, tag = "1")]
    from: String,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(double, tag = "3")]
    clients: f64,
}

pub(super) fn encode_lent_quota(from: &str, number: u64, clients: f64) -> Vec<u8> {
    LentQuotaRecord {
        from: from.to_owned(),
        number,
        clients,
    }
    .encode_to_vec()
}

/// Decodes lent quota: the lender, the number of the loan, and the clients.
pub(super) fn decode_lent_quota(bytes: &[u8]) -> Option<(String, u64, f64)> {
    let read = LentQuotaRecord::decode(bytes).ok()?;
    Some((read.from, read.number, read.clients))
}

/// A process's evidence on a server. Times are sent as ages.
#[derive(Clone, PartialEq, Message)]
struct ServerEvidenceRecord {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(string, tag = "2")]
    origin: String,
    #[prost(uint32, tag = "3")]
    judged: u32,
    #[prost(uint32, tag = "4")]
    weight: u32,
    #[prost(uint64, tag = "5")]
    since_age_ms: u64,
    #[prost(uint64, tag = "6")]
    started_ms: u64,
    #[prost(message, optional, tag = "7")]
    before: Option<BeforeRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct BeforeRecord {
    #[prost(uint64, tag = "1")]
    until_age_ms: u64,
    #[prost(uint32, tag = "2")]
    judged: u32,
    #[prost(uint32, tag = "3")]
    weight: u32,
}

/// Indexed by their numbers.
const SERVER_HEALTH_NUMBERS: [ServerHealth; 6] = [
    ServerHealth::Healthy,
    ServerHealth::Busy,
    ServerHealth::Unresponsive,
    ServerHealth::Refused,
    ServerHealth::Draining,
    ServerHealth::Gone,
];

/// Encodes own evidence on a server.
pub(super) fn encode_server_evidence(one: &HealthReport) -> Vec<u8> {
    let age = |at: u64| one.observed_at_ms.saturating_sub(at);
    ServerEvidenceRecord {
        server: one.server.clone(),
        origin: one.origin.clone(),
        judged: number(&one.health, &SERVER_HEALTH_NUMBERS),
        weight: one.weight,
        since_age_ms: age(one.since_ms),
        started_ms: one.started_ms,
        before: one.previous.map(|before| BeforeRecord {
            until_age_ms: age(before.until_ms),
            judged: number(&before.health, &SERVER_HEALTH_NUMBERS),
            weight: before.weight,
        }),
    }
    .encode_to_vec()
}

/// Decodes a peer's evidence. `None` if it can't be parsed.
pub(super) fn decode_server_evidence(bytes: &[u8], observed_at_ms: u64) -> Option<HealthReport> {
    let read = ServerEvidenceRecord::decode(bytes).ok()?;
    let kind = |number: u32| SERVER_HEALTH_NUMBERS.get(number as usize).copied();
    let ago = |age: u64| observed_at_ms.saturating_sub(age);
    let before = |before: BeforeRecord| {
        let (until_ms, health) = (ago(before.until_age_ms), kind(before.judged)?);
        Some(PreviousFinding {
            until_ms,
            health,
            weight: before.weight,
        })
    };
    Some(HealthReport {
        observed_at_ms,
        health: kind(read.judged)?,
        weight: read.weight,
        since_ms: ago(read.since_age_ms),
        previous: read.before.and_then(before),
        started_ms: read.started_ms,
        server: read.server,
        origin: read.origin,
    })
}

#[derive(Clone, PartialEq, Message)]
struct UplinkStatusRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    site: String,
    #[prost(uint32, tag = "3")]
    state: u32,
    #[prost(message, repeated, tag = "4")]
    places: Vec<PlaceRecord>,
    #[prost(message, repeated, tag = "5")]
    probes: Vec<PlaceRecord>,
    #[prost(message, optional, tag = "6")]
    operator_mode: Option<OperatorModeRecord>,
}

/// A place with a number: its reachability, or the probes sent to it.
#[derive(Clone, PartialEq, Message)]
struct PlaceRecord {
    /// 0 is discovery, 1 the store, 2 a site.
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(string, tag = "2")]
    site: String,
    #[prost(uint32, tag = "3")]
    number: u32,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct OperatorModeRecord {
    #[prost(uint64, tag = "1")]
    given_at: u64,
    #[prost(uint32, tag = "2")]
    force: u32,
    #[prost(uint64, tag = "3")]
    ends_at: u64,
    #[prost(string, tag = "4")]
    who: String,
    #[prost(string, tag = "5")]
    why: String,
}

/// Each indexed by its numbers.
const UPLINK_STATE_NUMBERS: [UplinkState; 4] = [
    UplinkState::Linked,
    UplinkState::Doubtful,
    UplinkState::Isolated,
    UplinkState::Rejoining,
];
const REACHABILITY_NUMBERS: [Reachability; 3] = [
    Reachability::Reachable,
    Reachability::OneWay,
    Reachability::Unreachable,
];
const OPERATOR_MODE_NUMBERS: [UplinkMode; 3] = [
    UplinkMode::Automatic,
    UplinkMode::Isolated,
    UplinkMode::Linked,
];

fn number<T: PartialEq>(of: &T, all: &[T]) -> u32 {
    all.iter().position(|one| one == of).unwrap_or(0) as u32
}

fn encode_place(place: &RemoteTarget, number: u32, age_ms: u64) -> PlaceRecord {
    let (kind, site) = match place {
        RemoteTarget::Discovery => (0, String::new()),
        RemoteTarget::Store => (1, String::new()),
        RemoteTarget::Site(site) => (2, site.clone()),
    };
    PlaceRecord {
        kind,
        site,
        number,
        age_ms,
    }
}

fn decode_place(record: &PlaceRecord) -> Option<RemoteTarget> {
    match record.kind {
        0 => Some(RemoteTarget::Discovery),
        1 => Some(RemoteTarget::Store),
        2 => Some(RemoteTarget::Site(record.site.clone())),
        _ => None,
    }
}

/// Encodes this process's uplink status.
pub(super) fn encode_uplink_status(says: &UplinkReport) -> Vec<u8> {
    let force = |word: &OperatorMode| OperatorModeRecord {
        given_at: word.set_at,
        force: number(&word.mode, &OPERATOR_MODE_NUMBERS),
        ends_at: word.expires_at,
        who: word.set_by.clone(),
        why: word.reason.clone(),
    };
    let seen = |(at, seen, age): &(RemoteTarget, Reachability, u64)| {
        encode_place(at, number(seen, &REACHABILITY_NUMBERS), *age)
    };
    UplinkStatusRecord {
        name: says.name.clone(),
        site: says.site.clone(),
        state: number(&says.state, &UPLINK_STATE_NUMBERS),
        places: says.targets.iter().map(seen).collect(),
        probes: says
            .probes
            .iter()
            .map(|(at, tries, age)| encode_place(at, *tries, *age))
            .collect(),
        operator_mode: says.operator_mode.as_ref().map(force),
    }
    .encode_to_vec()
}

/// Decodes an uplink status of the given age. `None` if it can't be parsed.
pub(super) fn decode_uplink_status(bytes: &[u8], age_ms: u64) -> Option<UplinkReport> {
    let read = UplinkStatusRecord::decode(bytes).ok()?;
    let aged = |one: &PlaceRecord| one.age_ms.saturating_add(age_ms);
    let seen = |one: &PlaceRecord| {
        Some((
            decode_place(one)?,
            *REACHABILITY_NUMBERS.get(one.number as usize)?,
            aged(one),
        ))
    };
    let probe = |one: &PlaceRecord| Some((decode_place(one)?, one.number, aged(one)));
    let force = |word: &OperatorModeRecord| {
        let force = *OPERATOR_MODE_NUMBERS.get(word.force as usize)?;
        let (who, why) = (word.who.clone(), word.why.clone());
        Some(OperatorMode {
            set_at: word.given_at,
            mode: force,
            expires_at: word.ends_at,
            set_by: who,
            reason: why,
        })
    };
    Some(UplinkReport {
        state: *UPLINK_STATE_NUMBERS.get(read.state as usize)?,
        targets: read.places.iter().filter_map(seen).collect(),
        probes: read.probes.iter().filter_map(probe).collect(),
        operator_mode: read.operator_mode.as_ref().and_then(force),
        name: read.name,
        site: read.site,
    })
}

#[cfg(test)]
mod tests;
