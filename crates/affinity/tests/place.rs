//! Checks which server is advised, and when none is.

mod support;

use beaconflow_affinity::*;
use support::*;

const CLIENT: u64 = 1;

/// A change to the test endpoints.
type EndpointChange = fn(&mut TestEndpoints);

/// A table in which client 1 is established on `a` since T0, and the stamp of its placement.
fn table_with_client_on_a() -> (PlacementTable, Stamp) {
    let mut table = table(1);
    let stamp = table
        .record_established(&client(CLIENT, None), tag("a"), T0)
        .expect("the table accepts the placement")
        .stamp;
    (table, stamp)
}

#[test]
fn returns_client_to_its_server_after_any_end() {
    for reason in [
        EndReason::ConnectionLost,
        EndReason::ClosedByClient,
        EndReason::BalancerDied,
    ] {
        let (mut table, stamp) = table_with_client_on_a();
        table
            .record_ended(Key(CLIENT), stamp, reason, T0 + 10)
            .expect("the connection is established");
        let advice = table.advise(
            &client(CLIENT, None),
            &TestEndpoints::all_ready(&["a", "b"]),
            T0 + 20,
        );
        assert_eq!(
            advice,
            Some(Advice {
                server: tag("a"),
                reason: AdviceReason::SameServer,
                config_version: Version(1)
            })
        );
    }
    let (table, _) = table_with_client_on_a();
    assert_eq!(
        table.advise(&client(2, None), &TestEndpoints::all_ready(&["a"]), T0),
        None,
        "expected no advice for a new client"
    );
}

#[test]
fn gives_no_advice_when_server_is_unavailable() {
    let (table, _) = table_with_client_on_a();
    let cases: [(PlacementValidity, EndpointChange); 4] = [
        (PlacementValidity::NotListed, |endpoints| {
            endpoints.servers.retain(|server, _| *server != tag("a"))
        }),
        (PlacementValidity::NotReady, |endpoints| {
            endpoints.server_mut("a").is_ready = false
        }),
        (PlacementValidity::Void, |endpoints| {
            endpoints.server_mut("a").started_at = T0 + 1
        }),
        (PlacementValidity::NotPermitted, |endpoints| {
            endpoints.forbidden = [tag("a")].into()
        }),
    ];
    for (validity, change) in cases {
        let mut endpoints = TestEndpoints::all_ready(&["a", "b"]);
        change(&mut endpoints);
        assert_eq!(
            table.validity(&client(CLIENT, None), &endpoints, T0 + 20),
            Some(validity)
        );
        assert_eq!(
            table.advise(&client(CLIENT, None), &endpoints, T0 + 20),
            None
        );
    }
}

#[test]
fn avoids_leaving_server_until_ready_again() {
    let (mut table, stamp) = table_with_client_on_a();
    table
        .record_ended(
            Key(CLIENT),
            stamp,
            EndReason::MigratedServerLeaving,
            T0 + 500,
        )
        .expect("the connection is established");
    let mut endpoints = TestEndpoints::all_ready(&["a", "b"]);
    // This process does not learn within an hour that the server is leaving.
    for later in [600, 60_000, 3_500_000] {
        assert_eq!(
            table.validity(&client(CLIENT, None), &endpoints, T0 + later),
            Some(PlacementValidity::MovedOff)
        );
    }
    endpoints.server_mut("a").ready_since = T0 + 5_000;
    assert_eq!(
        advised(&table, &client(CLIENT, None), &endpoints, T0 + 6_000),
        Some((tag("a"), AdviceReason::SameServer))
    );
}

#[test]
fn delays_return_after_migration_for_load() {
    for reason in [
        EndReason::MigratedSlowMessages,
        EndReason::MigratedRebalancing,
    ] {
        let mut table = table(1);
        let member = |key| client(key, Some(7));
        let stamp = table
            .record_established(&member(CLIENT), tag("a"), T0)
            .expect("the table accepts the placement")
            .stamp;
        table
            .record_established(&member(2), tag("a"), T0)
            .expect("the table accepts the placement");
        table
            .record_established(&member(3), tag("b"), T0)
            .expect("the table accepts the placement");
        table
            .record_ended(Key(CLIENT), stamp, reason, T0 + 500)
            .expect("the connection is established");
        let endpoints = TestEndpoints::all_ready(&["a", "b"]);
        assert_eq!(
            advised(&table, &member(CLIENT), &endpoints, T0 + 60_900),
            Some((tag("b"), AdviceReason::ReDealt))
        );
        assert_eq!(
            advised(&table, &member(CLIENT), &endpoints, T0 + 61_000),
            Some((tag("a"), AdviceReason::SameServer))
        );
    }
}

#[test]
fn selects_ready_server_with_most_group_members() {
    let mut table = table(1);
    let homes = [("a", 4), ("b", 3), ("c", 2)];
    let mut key = 10;
    for (server, count) in homes {
        for _ in 0..count {
            table
                .record_established(&client(key, Some(7)), tag(server), T0)
                .expect("the table accepts the placement");
            key += 1;
        }
    }
    let mut endpoints = TestEndpoints::all_ready(&["a", "b", "c"]);
    let home = |table: &PlacementTable, endpoints: &TestEndpoints| {
        advised(table, &client(CLIENT, Some(7)), endpoints, T0 + 20)
    };
    assert_eq!(
        home(&table, &endpoints),
        Some((tag("a"), AdviceReason::GroupHome))
    );
    endpoints.server_mut("a").is_ready = false;
    assert_eq!(
        home(&table, &endpoints),
        Some((tag("b"), AdviceReason::GroupHome))
    );
    // A client whose server `a` is not ready goes to the server with most of its group.
    assert_eq!(
        advised(&table, &client(10, Some(7)), &endpoints, T0 + 20),
        Some((tag("b"), AdviceReason::ReDealt))
    );
    endpoints.forbidden.insert(tag("b"));
    assert_eq!(
        home(&table, &endpoints),
        Some((tag("c"), AdviceReason::GroupHome))
    );
    assert_eq!(
        advised(&table, &client(CLIENT, Some(8)), &endpoints, T0 + 20),
        None,
        "expected no advice for a client of another group"
    );
    // `a` restarts: its earlier members of the group no longer count, new ones do.
    *endpoints.server_mut("a") = ServerStatus {
        is_ready: true,
        ready_since: T0 + 50,
        started_at: T0 + 50,
    };
    table.record_server_start(tag("a"), T0 + 50);
    assert_eq!(
        home(&table, &endpoints),
        Some((tag("c"), AdviceReason::GroupHome))
    );
    for key in 30..33 {
        table
            .record_established(&client(key, Some(7)), tag("a"), T0 + 60)
            .expect("the table accepts the placement");
    }
    assert_eq!(
        home(&table, &endpoints),
        Some((tag("a"), AdviceReason::GroupHome))
    );
}

#[test]
fn limits_group_size_and_breaks_ties_consistently() {
    let limits_of_two = Limits {
        max_group_per_server: 2,
        ..limits(100)
    };
    let names = ["a", "b", "c", "d"];
    let mut homes = Vec::new();
    for order in [[0, 1, 2, 3], [3, 1, 0, 2]] {
        let mut table = PlacementTable::new(limits_of_two, 1, 9);
        for at in order {
            table
                .record_established(&client(at as u64, Some(7)), tag(names[at]), T0)
                .expect("the table accepts the placement");
        }
        homes.push(advised(
            &table,
            &client(CLIENT + 50, Some(7)),
            &TestEndpoints::all_ready(&names),
            T0,
        ));
        for at in order {
            table
                .record_established(&client(20 + at as u64, Some(7)), tag(names[at]), T0)
                .expect("the table accepts the placement");
        }
        assert_eq!(
            advised(
                &table,
                &client(CLIENT + 50, Some(7)),
                &TestEndpoints::all_ready(&names),
                T0
            ),
            None
        );
    }
    assert!(
        homes[0].is_some() && homes[0] == homes[1],
        "expected the same home in both tables: {homes:?}"
    );
}

#[test]
fn keeps_placement_made_under_newer_version() {
    // The old version permits the client on `a` only, the new one on `b` only.
    let (mut old, mut new) = (table(1), table(2));
    let (mut old_endpoints, mut new_endpoints) = (
        TestEndpoints::all_ready(&["a", "b"]),
        TestEndpoints::all_ready(&["a", "b"]),
    );
    old_endpoints.forbidden.insert(tag("b"));
    new_endpoints.forbidden.insert(tag("a"));
    let first = old
        .record_established(&client(CLIENT, None), tag("a"), T0)
        .expect("the table accepts the placement");
    new.adopt(Version(2), 0, T0 + 100);
    new.merge(&first, T0 + 100);
    for fact in old.versions().facts().copied().collect::<Vec<_>>() {
        new.merge_version(&fact, T0 + 100);
    }
    assert_eq!(
        new.validity(&client(CLIENT, None), &new_endpoints, T0 + 100),
        Some(PlacementValidity::NotPermitted)
    );
    let placed = new
        .record_established(&client(CLIENT, None), tag("b"), T0 + 110)
        .expect("the table accepts the placement");
    old.merge(&placed, T0 + 120);
    // The old process keeps the placement before and after it receives the new version, and after
    // the client has connected through it.
    assert_eq!(
        advised(&old, &client(CLIENT, None), &old_endpoints, T0 + 130),
        Some((tag("b"), AdviceReason::SameServer))
    );
    for fact in new.versions().facts().copied().collect::<Vec<_>>() {
        old.merge_version(&fact, T0 + 130);
    }
    for now in [T0 + 140, T0 + 5_000] {
        assert_eq!(
            advised(&old, &client(CLIENT, None), &old_endpoints, now),
            Some((tag("b"), AdviceReason::SameServer))
        );
        let established = old
            .record_established(&client(CLIENT, None), tag("b"), now)
            .expect("the table accepts the placement");
        assert_eq!(established.config_version, Version(2));
    }
    // After a rollback the rules of the old version apply again.
    assert_eq!(new.adopt(Version(1), 0, T0 + 9_000), AdoptOutcome::Rollback);
    for fact in new.versions().facts().copied().collect::<Vec<_>>() {
        old.merge_version(&fact, T0 + 9_000);
    }
    assert_eq!(
        old.validity(&client(CLIENT, None), &old_endpoints, T0 + 9_100),
        Some(PlacementValidity::NotPermitted)
    );
}

#[test]
fn follows_renamed_server_under_either_name() {
    let (mut table, _) = table_with_client_on_a();
    table
        .record_established(&client(2, Some(7)), tag("a"), T0)
        .expect("the table accepts the placement");
    table.rename_server(tag("a"), tag("z"));
    let (old, new) = (
        TestEndpoints::all_ready(&["a", "b"]),
        TestEndpoints::all_ready(&["z", "b"]),
    );
    for (endpoints, name) in [(&old, "a"), (&new, "z")] {
        assert_eq!(
            advised(&table, &client(CLIENT, None), endpoints, T0 + 20),
            Some((tag(name), AdviceReason::SameServer))
        );
        assert_eq!(
            advised(&table, &client(3, Some(7)), endpoints, T0 + 20),
            Some((tag(name), AdviceReason::GroupHome))
        );
    }
    // A peer that has not received the rename still reports the old name; a second rename is
    // followed too.
    let mut peer = support::table(2);
    let received = peer
        .record_established(&client(4, None), tag("a"), T0 + 5)
        .expect("the table accepts the placement");
    table.rename_server(tag("z"), tag("zz"));
    assert_eq!(table.merge(&received, T0 + 10), MergeOutcome::New);
    for key in [CLIENT, 4] {
        assert_eq!(
            table.get(Key(key)).map(|placement| placement.server),
            Some(tag("zz"))
        );
    }
    // A rename back to the first name closes a cycle, and the placement is still found.
    table.rename_server(tag("zz"), tag("a"));
    assert_eq!(
        advised(&table, &client(CLIENT, None), &old, T0 + 20),
        Some((tag("a"), AdviceReason::SameServer))
    );
}

#[test]
fn ignores_end_of_superseded_connection() {
    let (mut table, first) = table_with_client_on_a();
    let mut peer = support::table(2);
    // The peer's clock is a second slow, but it knows the first connection, so its stamp is still
    // later.
    peer.merge(
        &table
            .get(Key(CLIENT))
            .expect("the placement is in the table"),
        T0,
    );
    let second = peer
        .record_established(&client(CLIENT, None), tag("b"), T0 - 1_000)
        .expect("the table accepts the placement");
    assert_eq!(table.merge(&second, T0 + 10), MergeOutcome::Newer);
    assert_eq!(
        table.record_ended(
            Key(CLIENT),
            first,
            EndReason::MigratedServerLeaving,
            T0 + 20
        ),
        None
    );
    assert_eq!(
        table.get(Key(CLIENT)).map(|now| (now.server, now.state)),
        Some((tag("b"), PlacementState::Established))
    );
}

#[test]
fn stops_advising_when_key_is_shared() {
    let (shared_client, endpoints) = (client(CLIENT, None), TestEndpoints::all_ready(&["a", "b"]));
    let mut tables = [table(1), table(2)];
    let mut advised_count = 0;
    for at in 0..1_000 {
        let now = T0 + at * 10;
        let advice = tables[at as usize % 2].advise(&shared_client, &endpoints, now);
        advised_count += u32::from(advice.is_some());
        let fact = tables[at as usize % 2]
            .record_established(&shared_client, tag("a"), now)
            .expect("the table accepts the placement");
        tables[1 - at as usize % 2].merge(&fact, now);
    }
    assert_eq!(advised_count, 5);
    // The client whose connection ends last is advised again; all are, one at a time, once the
    // process that relayed them has died.
    assert_eq!(
        tables[0].validity(&shared_client, &endpoints, T0 + 10_000),
        Some(PlacementValidity::Shared)
    );
    tables[0].record_balancer_death(2);
    assert_eq!(
        tables[0].validity(&shared_client, &endpoints, T0 + 10_000),
        Some(PlacementValidity::Yes)
    );
    let fact = tables[0]
        .record_established(&shared_client, tag("a"), T0 + 10_010)
        .expect("the table accepts the placement");
    assert_eq!(fact.overlap_count, 0);
    let fact = tables[1]
        .get(Key(CLIENT))
        .expect("the placement is in the table");
    tables[1]
        .record_ended(
            Key(CLIENT),
            fact.stamp,
            EndReason::ConnectionLost,
            T0 + 10_020,
        )
        .expect("the connection is established");
    assert_eq!(
        tables[1].validity(&shared_client, &endpoints, T0 + 10_030),
        Some(PlacementValidity::Yes)
    );
}

#[test]
fn separates_account_and_client_names_in_key() {
    assert_ne!(
        Key::for_nats_client("ab", "c"),
        Key::for_nats_client("a", "bc")
    );
    assert_ne!(
        Key::for_nats_client("1", "1:a"),
        Key::for_nats_client("11", ":a")
    );
}
