//! Tests of the stored records.

use beaconflow_affinity::EndReason;

use super::*;

#[test]
fn decodes_records_but_no_truncated_placement() {
    let listed = ListedServer {
        instance_id: "s0".into(),
        host_port: Some(([127, 0, 0, 1], 9).into()),
        zone: "a".into(),
        machine_type: "m4".into(),
        cell: 3,
        lifecycle: ServerLifecycle::Draining,
        weight: 2.5,
        started_at_ms: 77,
    };
    let list = ServerList {
        generation: 8,
        reset: true,
        instances: vec![listed],
    };
    let record = encode_list(&list, 2, 5);
    let (decoded, list_incarnation) = decode_list(&record).expect("a complete record");
    assert_eq!(
        (format!("{decoded:?}"), list_incarnation),
        (format!("{list:?}"), 2)
    );
    for state in [
        PlacementState::Established,
        PlacementState::Ended(EndReason::ConnectionLost),
        PlacementState::Ended(EndReason::MigratedRebalancing),
    ] {
        let placement = Placement {
            key: Key(u64::MAX - 1),
            group: Some(Group(7)),
            server: Tag(9),
            config_version: Version(u128::MAX - 5),
            stamp: Stamp(1 << 63),
            seen_s: 12,
            state,
            overlap_count: 2,
        };
        let (key, bytes) = (placement.key.0.to_be_bytes(), encode_placement(&placement));
        assert_eq!(decode_placement(&key, &bytes), Some(placement));
        for end in 0..bytes.len() {
            assert_ne!(decode_placement(&key, &bytes[..end]), Some(placement));
        }
    }
    let fact = VersionFact {
        version: Version(4),
        term: 1,
        serial: 2,
        adopted_at: 3,
        last_run_at: 4,
    };
    assert_eq!(
        decode_version(&4_u128.to_be_bytes(), &encode_version(&fact)),
        Some(fact)
    );
    assert_eq!(
        decode_previous_clients(&encode_previous_clients(40.0, 5)),
        Some(40.0)
    );
}

/// Records as the first release wrote them, in hexadecimal digits.
const FIRST_RELEASE_RECORDS: &str = include_str!("../data/records.hex");

/// A newer version reads the memory of an older one, so the form must not change.
#[test]
fn encodes_records_as_in_first_release() {
    let listed = ListedServer {
        instance_id: "s0".into(),
        host_port: Some(([127, 0, 0, 1], 9).into()),
        zone: "a".into(),
        machine_type: "m4".into(),
        cell: 3,
        lifecycle: ServerLifecycle::Deleted,
        weight: 2.5,
        started_at_ms: 77,
    };
    let placement = Placement {
        key: Key(5),
        group: Some(Group(7)),
        server: Tag(9),
        config_version: Version(1 << 64 | 11),
        stamp: Stamp(13),
        seen_s: 12,
        state: PlacementState::Ended(EndReason::MigratedServerLeaving),
        overlap_count: 2,
    };
    let fact = VersionFact {
        version: Version(4),
        term: 1,
        serial: 2,
        adopted_at: 3,
        last_run_at: 4,
    };
    let encoded = [
        encode_list(
            &ServerList {
                generation: 8,
                reset: true,
                instances: vec![listed],
            },
            2,
            5,
        )
        .value,
        encode_placement(&placement),
        encode_version(&fact),
        encode_previous_clients(40.0, 5).value,
        encode_uplink(true, Some(9), 5).value,
    ];
    let hex = |bytes: &Vec<u8>| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
    };
    assert_eq!(
        encoded.iter().map(hex).collect::<Vec<_>>().join("\n"),
        FIRST_RELEASE_RECORDS.trim_end()
    );
    assert_eq!(
        [
            LIST_RECORD,
            VERSION_RECORD,
            PREVIOUS_CLIENTS_RECORD,
            PLACEMENT_RECORD,
            UPLINK_RECORD
        ],
        [1, 2, 3, 4, 5]
    );
}
