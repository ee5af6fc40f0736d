//! Messages between processes, as protocol buffers that the gossip crate does not decode. Fields
//! are only added; numbers keep their meaning.

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
    incarnation: u64,
    #[prost(uint64, tag = "4")]
    uptime_ms: u64,
    #[prost(uint64, optional, tag = "5")]
    serving_time_ms: Option<u64>,
    #[prost(bool, tag = "6")]
    is_in_full_service: bool,
    #[prost(uint64, optional, tag = "7")]
    wall_clock_ms: Option<u64>,
    #[prost(double, optional, tag = "8")]
    previous_clients: Option<f64>,
    #[prost(double, tag = "9")]
    deferred_per_s: f64,
}

/// Encodes this process's recovery status.
pub(super) fn encode_recovery_status(status: &PeerStatus) -> Vec<u8> {
    RecoveryStatusRecord {
        name: status.name.clone(),
        site: status.site.clone(),
        incarnation: status.incarnation,
        uptime_ms: status.uptime / NANOS_PER_MS,
        serving_time_ms: status.serving_time.map(|span| span / NANOS_PER_MS),
        is_in_full_service: status.is_in_full_service,
        wall_clock_ms: status.wall_clock,
        previous_clients: status.previous_clients,
        deferred_per_s: status.deferred_per_s,
    }
    .encode_to_vec()
}

/// Decodes a recovery status of the given age; its spans grow by it. `None` if it can't be parsed.
pub(super) fn decode_recovery_status(bytes: &[u8], age_ms: u64) -> Option<PeerStatus> {
    let record = RecoveryStatusRecord::decode(bytes).ok()?;
    let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
    let aged_ns = |span: u64| span.saturating_add(age_ms).saturating_mul(NANOS_PER_MS);
    Some(PeerStatus {
        name: record.name,
        site: record.site,
        incarnation: record.incarnation,
        uptime: aged_ns(record.uptime_ms),
        serving_time: record.serving_time_ms.map(aged_ns),
        is_in_full_service: record.is_in_full_service,
        wall_clock: record
            .wall_clock_ms
            .map(|wall_ms| wall_ms.saturating_add(age_ms)),
        previous_clients: record.previous_clients.filter(is_valid),
        deferred_per_s: if is_valid(&record.deferred_per_s) {
            record.deferred_per_s
        } else {
            0.0
        },
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
    let record = LentQuotaRecord::decode(bytes).ok()?;
    Some((record.from, record.number, record.clients))
}

/// A process's evidence on a server. Times are sent as ages.
#[derive(Clone, PartialEq, Message)]
struct ServerEvidenceRecord {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(string, tag = "2")]
    origin: String,
    #[prost(uint32, tag = "3")]
    health: u32,
    #[prost(uint32, tag = "4")]
    weight: u32,
    #[prost(uint64, tag = "5")]
    since_age_ms: u64,
    #[prost(uint64, tag = "6")]
    started_at_ms: u64,
    #[prost(message, optional, tag = "7")]
    previous: Option<PreviousFindingRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct PreviousFindingRecord {
    #[prost(uint64, tag = "1")]
    until_age_ms: u64,
    #[prost(uint32, tag = "2")]
    health: u32,
    #[prost(uint32, tag = "3")]
    weight: u32,
}

/// Indexed by the numbers in messages.
const SERVER_HEALTH_NUMBERS: [ServerHealth; 6] = [
    ServerHealth::Healthy,
    ServerHealth::Busy,
    ServerHealth::Unresponsive,
    ServerHealth::Refused,
    ServerHealth::Draining,
    ServerHealth::Removed,
];

/// Encodes own evidence on a server.
pub(super) fn encode_server_evidence(report: &HealthReport) -> Vec<u8> {
    let age = |at: u64| report.observed_at_ms.saturating_sub(at);
    ServerEvidenceRecord {
        server: report.server.clone(),
        origin: report.origin.clone(),
        health: number(&report.health, &SERVER_HEALTH_NUMBERS),
        weight: report.weight,
        since_age_ms: age(report.since_ms),
        started_at_ms: report.started_ms,
        previous: report.previous.map(|previous| PreviousFindingRecord {
            until_age_ms: age(previous.until_ms),
            health: number(&previous.health, &SERVER_HEALTH_NUMBERS),
            weight: previous.weight,
        }),
    }
    .encode_to_vec()
}

/// Decodes a peer's evidence. `None` if it can't be parsed.
pub(super) fn decode_server_evidence(bytes: &[u8], observed_at_ms: u64) -> Option<HealthReport> {
    let record = ServerEvidenceRecord::decode(bytes).ok()?;
    let health_of = |number: u32| SERVER_HEALTH_NUMBERS.get(number as usize).copied();
    let time_of = |age: u64| observed_at_ms.saturating_sub(age);
    let previous = |previous: PreviousFindingRecord| {
        let (until_ms, health) = (time_of(previous.until_age_ms), health_of(previous.health)?);
        Some(PreviousFinding {
            until_ms,
            health,
            weight: previous.weight,
        })
    };
    Some(HealthReport {
        observed_at_ms,
        health: health_of(record.health)?,
        weight: record.weight,
        since_ms: time_of(record.since_age_ms),
        previous: record.previous.and_then(previous),
        started_ms: record.started_at_ms,
        server: record.server,
        origin: record.origin,
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
    targets: Vec<TargetRecord>,
    #[prost(message, repeated, tag = "5")]
    probes: Vec<TargetRecord>,
    #[prost(message, optional, tag = "6")]
    operator_mode: Option<OperatorModeRecord>,
}

/// A remote target with a number: its reachability, or the number of probes sent to it.
#[derive(Clone, PartialEq, Message)]
struct TargetRecord {
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
    set_at: u64,
    #[prost(uint32, tag = "2")]
    mode: u32,
    #[prost(uint64, tag = "3")]
    expires_at: u64,
    #[prost(string, tag = "4")]
    set_by: String,
    #[prost(string, tag = "5")]
    reason: String,
}

/// Each indexed by its numbers in messages.
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

fn number<T: PartialEq>(value: &T, numbered: &[T]) -> u32 {
    numbered
        .iter()
        .position(|candidate| candidate == value)
        .unwrap_or(0) as u32
}

fn encode_target(target: &RemoteTarget, number: u32, age_ms: u64) -> TargetRecord {
    let (kind, site) = match target {
        RemoteTarget::Discovery => (0, String::new()),
        RemoteTarget::Store => (1, String::new()),
        RemoteTarget::Site(site) => (2, site.clone()),
    };
    TargetRecord {
        kind,
        site,
        number,
        age_ms,
    }
}

fn decode_target(record: &TargetRecord) -> Option<RemoteTarget> {
    match record.kind {
        0 => Some(RemoteTarget::Discovery),
        1 => Some(RemoteTarget::Store),
        2 => Some(RemoteTarget::Site(record.site.clone())),
        _ => None,
    }
}

/// Encodes this process's uplink status.
pub(super) fn encode_uplink_status(report: &UplinkReport) -> Vec<u8> {
    let mode_record = |mode: &OperatorMode| OperatorModeRecord {
        set_at: mode.set_at,
        mode: number(&mode.mode, &OPERATOR_MODE_NUMBERS),
        expires_at: mode.expires_at,
        set_by: mode.set_by.clone(),
        reason: mode.reason.clone(),
    };
    let reachability = |(target, reachability, age_ms): &(RemoteTarget, Reachability, u64)| {
        encode_target(target, number(reachability, &REACHABILITY_NUMBERS), *age_ms)
    };
    UplinkStatusRecord {
        name: report.name.clone(),
        site: report.site.clone(),
        state: number(&report.state, &UPLINK_STATE_NUMBERS),
        targets: report.targets.iter().map(reachability).collect(),
        probes: report
            .probes
            .iter()
            .map(|(target, probes, age_ms)| encode_target(target, *probes, *age_ms))
            .collect(),
        operator_mode: report.operator_mode.as_ref().map(mode_record),
    }
    .encode_to_vec()
}

/// Decodes an uplink status of the given age. `None` if it can't be parsed.
pub(super) fn decode_uplink_status(bytes: &[u8], age_ms: u64) -> Option<UplinkReport> {
    let record = UplinkStatusRecord::decode(bytes).ok()?;
    let age_of = |target: &TargetRecord| target.age_ms.saturating_add(age_ms);
    let reachability = |target: &TargetRecord| {
        Some((
            decode_target(target)?,
            *REACHABILITY_NUMBERS.get(target.number as usize)?,
            age_of(target),
        ))
    };
    let probes =
        |target: &TargetRecord| Some((decode_target(target)?, target.number, age_of(target)));
    let operator_mode = |mode: &OperatorModeRecord| {
        let operator_mode = *OPERATOR_MODE_NUMBERS.get(mode.mode as usize)?;
        let (who, why) = (mode.set_by.clone(), mode.reason.clone());
        Some(OperatorMode {
            set_at: mode.set_at,
            mode: operator_mode,
            expires_at: mode.expires_at,
            set_by: who,
            reason: why,
        })
    };
    Some(UplinkReport {
        state: *UPLINK_STATE_NUMBERS.get(record.state as usize)?,
        targets: record.targets.iter().filter_map(reachability).collect(),
        probes: record.probes.iter().filter_map(probes).collect(),
        operator_mode: record.operator_mode.as_ref().and_then(operator_mode),
        name: record.name,
        site: record.site,
    })
}

#[cfg(test)]
mod tests;
