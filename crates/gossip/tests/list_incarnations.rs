//! Incarnations of discovery, which restarts its generation count when it loses its state.

mod common;

use beaconflow_gossip::*;
use common::*;

const VALIDITY_MS: Millis = 3_600_000;

fn complete_list(generation: u64, digest: u64) -> ListAnnouncement {
    ListAnnouncement {
        generation,
        digest,
        is_complete: true,
    }
}

fn record_list(store: &mut FactStore, announcement: ListAnnouncement, now: Millis) -> (u64, u64) {
    let ListPosition {
        incarnation,
        generation,
    } = store
        .record_list(announcement, VALIDITY_MS, now)
        .expect("the observation is stored");
    (incarnation, generation)
}

fn exchange_gossip(store: &mut FactStore, other: &mut FactStore, now: Millis) {
    send_gossip(store, other, now);
    send_gossip(other, store, now);
}

#[test]
fn starts_new_incarnation_when_generations_restart() {
    let mut store = process("a", 1);
    assert_eq!(
        record_list(&mut store, complete_list(20, 1), START_MS),
        (1, 20)
    );
    assert_eq!(
        record_list(
            &mut store,
            ListAnnouncement {
                generation: 21,
                digest: 2,
                is_complete: false
            },
            START_MS
        ),
        (1, 21)
    );
    assert_eq!(
        record_list(&mut store, complete_list(21, 2), START_MS),
        (1, 21),
        "a repeated list after a reconnect keeps its position"
    );
    assert_eq!(
        record_list(&mut store, complete_list(1, 3), START_MS),
        (2, 1)
    );
    assert_eq!(
        record_list(
            &mut store,
            ListAnnouncement {
                generation: 2,
                digest: 4,
                is_complete: false
            },
            START_MS
        ),
        (2, 2)
    );
}

#[test]
fn agrees_on_incarnation_with_or_without_gossip() {
    for has_gossip in [false, true] {
        let (mut a, mut b) = (process("a", 1), process("b", 1));
        record_list(&mut a, complete_list(20, 1), START_MS);
        record_list(&mut b, complete_list(20, 1), START_MS);
        exchange_gossip(&mut a, &mut b, START_MS);
        assert_eq!(
            record_list(&mut a, complete_list(1, 2), START_MS + 60_000),
            (2, 1)
        );
        if has_gossip {
            exchange_gossip(&mut a, &mut b, START_MS + 60_000);
        }
        // Discovery has announced another generation by the time the other process has its watch back.
        assert_eq!(
            record_list(&mut b, complete_list(2, 3), START_MS + 60_500),
            (2, 2),
            "with gossip between them: {has_gossip}"
        );
    }
}

#[test]
fn adopts_incarnation_of_peer_with_same_list() {
    let (mut a, mut b) = (process("a", 1), process("b", 1));
    record_list(&mut a, complete_list(5, 1), START_MS);
    record_list(&mut b, complete_list(5, 1), START_MS);
    record_list(&mut a, complete_list(1, 7), START_MS + 1_000);
    assert_eq!(
        record_list(&mut a, complete_list(8, 9), START_MS + 2_000),
        (2, 8)
    );
    exchange_gossip(&mut a, &mut b, START_MS + 2_000);
    // To the other process the generations merely continue.
    assert_eq!(
        record_list(
            &mut b,
            ListAnnouncement {
                generation: 8,
                digest: 9,
                is_complete: false
            },
            START_MS + 2_000
        ),
        (2, 8)
    );
}

#[test]
fn starts_later_incarnation_when_one_sees_second_loss() {
    let (mut a, mut b) = (process("a", 1), process("b", 1));
    for store in [&mut a, &mut b] {
        record_list(store, complete_list(9, 1), START_MS);
        record_list(store, complete_list(3, 2), START_MS + 60_000);
    }
    exchange_gossip(&mut a, &mut b, START_MS + 60_000);
    assert_eq!(
        record_list(&mut b, complete_list(1, 3), START_MS + 120_000),
        (3, 1)
    );
    exchange_gossip(&mut a, &mut b, START_MS + 120_000);
    // This process has its watch back only after the new incarnation passed the generation that it holds.
    assert_eq!(
        record_list(&mut a, complete_list(4, 4), START_MS + 180_000),
        (3, 4)
    );
}

#[test]
fn joins_peer_incarnation_when_process_is_new() {
    let (mut established, mut newcomer) = (process("old", 1), process("new", 1));
    record_list(&mut established, complete_list(9, 1), START_MS);
    record_list(&mut established, complete_list(3, 2), START_MS);
    exchange_gossip(&mut established, &mut newcomer, START_MS);
    // The list is slightly behind the one the peer has just received: discovery sent both at about the same time.
    assert_eq!(
        record_list(&mut newcomer, complete_list(2, 8), START_MS + 500),
        (2, 2)
    );
    // The list arrives long after the peer's, so it is a later one.
    let mut later_newcomer = process("newer", 1);
    exchange_gossip(&mut established, &mut later_newcomer, START_MS);
    assert_eq!(
        record_list(&mut later_newcomer, complete_list(2, 8), START_MS + 60_000),
        (3, 2)
    );
}

#[test]
fn reassesses_list_when_peers_are_heard_later() {
    let (mut remembering, mut newcomer) = (process("memory", 2), process("new", 1));
    record_list(&mut remembering, complete_list(20, 1), START_MS);
    // Discovery lost its state while all processes were down; a process without stored state cannot tell.
    assert_eq!(
        record_list(&mut newcomer, complete_list(3, 5), START_MS + 60_000),
        (1, 3)
    );
    exchange_gossip(&mut remembering, &mut newcomer, START_MS + 60_100);
    assert_eq!(
        newcomer.reassess_list(VALIDITY_MS, START_MS + 60_100),
        Some(ListPosition {
            incarnation: 2,
            generation: 3
        })
    );
    assert_eq!(
        newcomer.reassess_list(VALIDITY_MS, START_MS + 60_100),
        None,
        "the incarnation changes only once"
    );
    exchange_gossip(&mut remembering, &mut newcomer, START_MS + 60_200);
    assert_eq!(
        record_list(&mut remembering, complete_list(3, 5), START_MS + 60_300),
        (2, 3),
        "the other process joins the new incarnation"
    );
    assert_eq!(
        remembering.reassess_list(VALIDITY_MS, START_MS + 60_300),
        None
    );
    let positions: Vec<ListPosition> = remembering
        .list_versions(START_MS + 60_300)
        .iter()
        .map(|(_, version)| version.position)
        .collect();
    assert_eq!(
        positions,
        [ListPosition {
            incarnation: 2,
            generation: 3
        }; 2]
    );
}

#[test]
fn keeps_later_incarnation_and_ignores_equal_entries() {
    let (mut a, mut b) = (process("a", 1), process("b", 1));
    let subject = Subject::ServerEntry("s1".into());
    a.observe(
        &subject,
        &entry(1, 20, Lifecycle::Draining),
        VALIDITY_MS,
        START_MS,
    )
    .expect("the observation is stored");
    b.observe(
        &subject,
        &entry(2, 1, Lifecycle::Serving),
        VALIDITY_MS,
        START_MS,
    )
    .expect("the observation is stored");
    exchange_gossip(&mut a, &mut b, START_MS);
    assert_eq!(
        facts_without_ages(&a, START_MS),
        facts_without_ages(&b, START_MS)
    );
    let entries = a.server_entries(START_MS);
    assert_eq!(
        Value::ServerEntry(entries[0].1.clone()),
        entry(2, 1, Lifecycle::Serving)
    );
    // Both processes receive the same list from discovery, so there is nothing to send.
    let (mut c, mut d) = (process("c", 1), process("d", 1));
    for store in [&mut c, &mut d] {
        store
            .observe(
                &subject,
                &entry(2, 1, Lifecycle::Serving),
                VALIDITY_MS,
                START_MS,
            )
            .expect("the observation is stored");
    }
    assert_eq!(send_gossip(&mut c, &mut d, START_MS), []);
    assert_eq!(run_anti_entropy(&mut c, &mut d, START_MS), 0);
    while !c.gossip_payload(MAX_DATAGRAM_BYTES, START_MS).is_empty() {}
    let repeated = c
        .observe(
            &subject,
            &entry(2, 9, Lifecycle::Serving),
            VALIDITY_MS,
            START_MS + VALIDITY_MS / 4,
        )
        .expect("a known entry is returned");
    assert_eq!(repeated.version, 1, "an unchanged entry keeps its version");
    assert!(
        c.gossip_payload(MAX_DATAGRAM_BYTES, START_MS + VALIDITY_MS / 4)
            .is_empty()
    );
    let renewed = c
        .observe(
            &subject,
            &entry(2, 9, Lifecycle::Serving),
            VALIDITY_MS,
            START_MS + VALIDITY_MS / 2,
        )
        .expect("the observation is stored");
    assert_eq!(
        (renewed.version, renewed.observed_at),
        (9, START_MS + VALIDITY_MS / 2),
        "an entry is renewed after half of its validity"
    );
}

#[test]
fn reports_later_incarnation_when_memory_was_lost() {
    let (mut before, mut peer, mut after) = (process("a", 7), process("b", 1), process("a", 1));
    let configuration = |number| {
        Value::Configuration(Configuration {
            digest: number,
            number,
        })
    };
    before
        .observe(
            &Subject::Configuration,
            &configuration(1),
            VALIDITY_MS,
            START_MS,
        )
        .expect("the observation is stored");
    send_gossip(&mut before, &mut peer, START_MS);
    after
        .observe(
            &Subject::Configuration,
            &configuration(2),
            VALIDITY_MS,
            START_MS + 9_000,
        )
        .expect("the observation is stored");
    send_gossip(&mut peer, &mut after, START_MS + 9_000);
    assert_eq!(after.later_incarnation(), Some(7));
    after.set_incarnation(8);
    assert_eq!(after.later_incarnation(), None);
    after
        .observe(
            &Subject::Configuration,
            &configuration(2),
            VALIDITY_MS,
            START_MS + 9_000,
        )
        .expect("the observation is stored");
    send_gossip(&mut after, &mut peer, START_MS + 9_000);
    let configurations = peer.configurations(START_MS + 9_000);
    assert_eq!(
        configurations,
        [(
            Origin {
                name: "a".into(),
                incarnation: 8
            },
            Configuration {
                digest: 2,
                number: 2
            }
        )]
    );
}
