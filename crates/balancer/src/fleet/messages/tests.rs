//! Tests of the messages between processes.

use super::*;

/// Times are sent as ages, so the receiver computes them by its own clock.
#[test]
fn decodes_server_evidence_by_receiver_clock() {
    let report = |now: u64| HealthReport {
        observed_at_ms: now,
        health: ServerHealth::Healthy,
        weight: 3,
        since_ms: now - 40,
        previous: Some(PreviousFinding {
            until_ms: now - 50,
            health: ServerHealth::Unresponsive,
            weight: 2,
        }),
        started_ms: 77,
        server: "s1".into(),
        origin: "a".into(),
    };
    assert_eq!(
        decode_server_evidence(&encode_server_evidence(&report(1_000)), 90_000),
        Some(report(90_000))
    );
    assert_eq!(decode_server_evidence(b"\xff", 0), None);
    assert_eq!(
        decode_lent_quota(&encode_lent_quota("a", 3, 0.5)),
        Some(("a".into(), 3, 0.5))
    );
}

/// An age grows by the time since the report was made.
#[test]
fn ages_decoded_uplink_status() {
    let operator_mode = OperatorMode {
        set_at: 5,
        mode: UplinkMode::Isolated,
        expires_at: 9,
        set_by: "ada".into(),
        reason: "cable maintenance".into(),
    };
    let report = |age| UplinkReport {
        name: "a".into(),
        site: "north".into(),
        state: UplinkState::Isolated,
        targets: vec![
            (RemoteTarget::Discovery, Reachability::Unreachable, 40 + age),
            (
                RemoteTarget::Site("south".into()),
                Reachability::OneWay,
                age,
            ),
        ],
        probes: vec![(RemoteTarget::Store, 3, 70 + age)],
        operator_mode: Some(operator_mode.clone()),
    };
    assert_eq!(
        decode_uplink_status(&encode_uplink_status(&report(0)), 0),
        Some(report(0))
    );
    assert_eq!(
        decode_uplink_status(&encode_uplink_status(&report(0)), 100),
        Some(report(100))
    );
}

/// Messages as the first release sent them, in hexadecimal digits.
const FIRST_RELEASE_MESSAGES: &str = include_str!("../data/messages.hex");

/// Processes of different versions run together during an upgrade, so the form must not change.
#[test]
fn encodes_messages_as_in_first_release() {
    let status = PeerStatus {
        name: "a".into(),
        site: "north".into(),
        incarnation: 3,
        uptime: 4_000 * NANOS_PER_MS,
        serving_time: Some(2_000 * NANOS_PER_MS),
        is_in_full_service: true,
        wall_clock: Some(1_700_000_000_000),
        previous_clients: Some(120.5),
        deferred_per_s: 0.25,
    };
    let report = HealthReport {
        observed_at_ms: 1_000,
        health: ServerHealth::Draining,
        weight: 3,
        since_ms: 960,
        previous: Some(PreviousFinding {
            until_ms: 950,
            health: ServerHealth::Unresponsive,
            weight: 2,
        }),
        started_ms: 77,
        server: "s1".into(),
        origin: "a".into(),
    };
    let operator_mode = OperatorMode {
        set_at: 5,
        mode: UplinkMode::Linked,
        expires_at: 9,
        set_by: "ada".into(),
        reason: "dug up".into(),
    };
    let uplink = UplinkReport {
        name: "a".into(),
        site: "north".into(),
        state: UplinkState::Rejoining,
        targets: vec![
            (RemoteTarget::Discovery, Reachability::Unreachable, 40),
            (RemoteTarget::Site("south".into()), Reachability::OneWay, 1),
        ],
        probes: vec![(RemoteTarget::Store, 3, 70)],
        operator_mode: Some(operator_mode),
    };
    let sent = [
        encode_recovery_status(&status),
        encode_lent_quota("a", 3, 0.5),
        encode_server_evidence(&report),
        encode_uplink_status(&uplink),
    ];
    let hex = |bytes: &Vec<u8>| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
    };
    assert_eq!(
        sent.iter().map(hex).collect::<Vec<_>>().join("\n"),
        FIRST_RELEASE_MESSAGES.trim_end()
    );
    assert_eq!(decode_recovery_status(&sent[0], 0), Some(status));
    assert_eq!(decode_server_evidence(&sent[2], 1_000), Some(report));
    assert_eq!(decode_uplink_status(&sent[3], 0), Some(uplink));
}
