//! Checks the placement table against a plain model: merging in any order, expiry, eviction and
//! group counts.

mod support;

use std::collections::BTreeMap;

use beaconflow_affinity::*;
use proptest::prelude::*;
use support::*;

const SERVERS: [&str; 4] = ["a", "b", "c", "d"];

fn state_from_index(at: usize) -> PlacementState {
    [
        PlacementState::Established,
        PlacementState::Ended(EndReason::ConnectionLost),
        PlacementState::Ended(EndReason::MigratedServerLeaving),
    ][at % 3]
}

fn placements(keys: u64, max_count: usize) -> impl Strategy<Value = Vec<Placement>> {
    let fields = (
        0..keys,
        0..3_u64,
        0..4_usize,
        0..3_u128,
        (0..40_u64, 0..2_u64),
        0..200_u32,
        0..3_usize,
    );
    let placement = fields.prop_map(
        |(key, group, server, version, (at, origin), seen_offset_s, state_index)| Placement {
            key: Key(key),
            group: (group > 0).then_some(Group(group)),
            server: tag(SERVERS[server]),
            config_version: Version(version),
            stamp: Stamp((T0 + at) << 20 | origin),
            seen_s: (T0 / 1_000) as u32 + seen_offset_s,
            state: state_from_index(state_index),
            overlap_count: (state_index as u8 + seen_offset_s as u8) % 6,
        },
    );
    prop::collection::vec(placement, 0..max_count)
}

fn all_placements(table: &PlacementTable) -> Vec<Placement> {
    let mut all_placements = Vec::new();
    let mut from = Some(0);
    while let Some(at) = from {
        let (page, next) = table.page(at, 7);
        all_placements.extend(page);
        from = next;
    }
    all_placements.sort_by_key(|placement| placement.key);
    all_placements
}

/// The placements that remain by precedence alone.
fn expected_merge<'a>(facts: impl Iterator<Item = &'a Placement>) -> Vec<Placement> {
    let mut all_placements: BTreeMap<Key, Placement> = BTreeMap::new();
    for fact in facts {
        let known = all_placements.entry(fact.key).or_insert(*fact);
        if fact.cmp_precedence(known).is_gt() {
            *known = *fact;
        }
    }
    all_placements.into_values().collect()
}

proptest! {
    /// Merging gives the same table in any order, with repeated facts, through a peer or in pages,
    /// and the home of each group is the server with most of its members.
    #[test]
    fn merging_converges_in_any_order(facts in placements(12, 60), split in any::<prop::sample::Index>()) {
        let now = T0 + 250_000;
        let (mut first, mut second, mut third) = (table(1), table(2), table(3));
        for fact in &facts {
            first.merge(fact, now);
        }
        let at = if facts.is_empty() { 0 } else { split.index(facts.len()) };
        for fact in facts[at..].iter().chain(facts.iter().rev()) {
            second.merge(fact, now);
        }
        second.merge_all(&facts, now);
        third.merge_all(&all_placements(&second)[..all_placements(&second).len() / 2], now);
        third.merge_all(&all_placements(&first), now);
        let expected = expected_merge(facts.iter());
        for table in [&first, &second, &third] {
            prop_assert_eq!(&all_placements(table), &expected);
            let established = expected.iter().filter(|placement| placement.state == PlacementState::Established).count();
            prop_assert_eq!((table.counts().entries, table.counts().established), (expected.len(), established));
            for group in 1..3 {
                let members_on = |name: &&str| expected.iter()
                    .filter(|placement| placement.group == Some(Group(group)) && placement.server == tag(name)).count();
                let max_members = SERVERS.iter().map(members_on).max().unwrap_or(0);
                let group_home = table.advise(&client(99, Some(group)), &TestEndpoints::all_ready(&SERVERS), now);
                let home_server = group_home.and_then(|advice| SERVERS.iter().find(|name| tag(name) == advice.server));
                prop_assert_eq!(home_server.map_or(0, members_on), max_members);
            }
        }
    }

    /// With a small capacity, expiry and a server restart, the table holds what the model holds.
    #[test]
    fn evicts_longest_ended_placement_first(facts in placements(40, 120), restart in 0..40_u64) {
        let mut table = PlacementTable::new(Limits { ttl_s: 150, ..limits(8) }, 1, 9);
        let mut model: BTreeMap<Key, Placement> = BTreeMap::new();
        let retention_rank = |placement: &Placement| (placement.state == PlacementState::Established, placement.seen_s);
        for (at, fact) in facts.iter().enumerate() {
            // The clock advances with each fact; expired placements are removed first.
            let now = T0 + at as Millis * 3_000;
            table.expire(now, usize::MAX);
            model.retain(|_, placement| placement.seen_s + 150 >= (now / 1_000) as u32);
            if at == 20 {
                table.record_server_start(tag("a"), T0 + restart);
            }
            let outcome = table.merge(fact, now);
            let known = model.get(&fact.key).copied();
            let lowest_rank = model.values().map(retention_rank).min();
            let expected = if fact.seen_s + 150 < (now / 1_000) as u32 {
                MergeOutcome::Rejected(PlacementError::Expired)
            } else if u64::from(fact.seen_s) * 1_000 > now + 60_000 {
                MergeOutcome::Rejected(PlacementError::DatedAhead)
            } else if known.is_some_and(|known| fact.cmp_precedence(&known).is_le()) {
                MergeOutcome::Known
            } else if known.is_some() {
                MergeOutcome::Newer
            } else if model.len() == 8 && lowest_rank > Some(retention_rank(fact)) {
                MergeOutcome::Rejected(PlacementError::AtCapacity)
            } else {
                MergeOutcome::New
            };
            prop_assert_eq!(outcome, expected);
            if outcome == MergeOutcome::New && model.len() == 8 {
                // Any one of the equally ranked placements may have been evicted.
                let evicted: Vec<Key> = model.keys().copied().filter(|key| table.get(*key).is_none()).collect();
                prop_assert_eq!(evicted.len(), 1);
                prop_assert_eq!(model.remove(&evicted[0]).as_ref().map(retention_rank), lowest_rank);
            }
            if matches!(outcome, MergeOutcome::New | MergeOutcome::Newer) {
                model.insert(fact.key, *fact);
            }
            prop_assert_eq!(all_placements(&table), model.values().copied().collect::<Vec<_>>());
        }
        // After everything has expired, no counts remain.
        table.expire(T0 + 10_000_000, usize::MAX);
        prop_assert_eq!((table.counts().entries, table.counts().established), (0, 0));
        for group in 1..3 {
            prop_assert_eq!(table.advise(&client(99, Some(group)), &TestEndpoints::all_ready(&SERVERS), T0 + 10_000_000), None);
        }
    }
}

/// A million clients; a group per client takes the most memory. All allocations count.
#[test]
fn uses_at_most_64_bytes_per_placement() {
    let count = 1_000_000;
    for group_size in [1, 5] {
        let mut filled = None;
        let allocated = allocation_counter::measure(|| {
            let mut table = PlacementTable::new(limits(count), 1, 2);
            table.adopt(Version(1), 0, T0);
            for key in 0..count as u64 {
                let member = client(key, Some(key / group_size));
                table
                    .record_established(&member, Tag(key / 3 % 1_000), T0 + key / 2)
                    .expect("the table accepts the placement");
            }
            filled = Some(table);
        });
        let table = filled.expect("the closure filled the table");
        let bytes_per_placement = allocated.bytes_current as f64 / count as f64;
        println!(
            "groups of {group_size}: {bytes_per_placement:.1} bytes per placement, {:.1} at the peak",
            allocated.bytes_max as f64 / count as f64
        );
        assert_eq!(table.counts().entries, count);
        assert!(
            bytes_per_placement <= 64.0,
            "expected at most 64 bytes per placement, got {bytes_per_placement}"
        );
        assert!(table.bytes() as i64 <= allocated.bytes_current + 4_096);
    }
}

#[test]
fn enforces_byte_bound_with_clustered_keys() {
    let bound = Bound {
        entries: usize::MAX,
        bytes: 64_000,
    };
    let mut table = PlacementTable::new(Limits { bound, ..limits(0) }, 1, 2);
    assert_eq!(table.capacity(), 1_000);
    let invalid_limits = Limits {
        bound: Bound {
            entries: 0,
            bytes: 63,
        },
        ttl_s: 0,
        return_delay_s: 1,
        max_group_per_server: 0,
    };
    assert_eq!(
        invalid_limits.invalid_fields(),
        ["entries", "bytes", "life_s", "away_s"]
    );
    assert!(limits(1).invalid_fields().is_empty());
    for round in 0..5_u64 {
        for key in 0..1_000 {
            let clustered = client(key << 54, Some(key << 54));
            table
                .record_established(&clustered, tag("a"), T0 + round * 1_000)
                .expect("the table accepts the placement");
        }
    }
    assert_eq!(
        table.counts(),
        Counts {
            entries: 1_000,
            established: 1_000,
            ..Counts::default()
        }
    );
    // An established placement is not evicted for an ended one, but for an established one seen
    // later.
    let mut peer = support::table(2);
    let established = peer
        .record_established(&client(5_000, None), tag("a"), T0 + 9_000)
        .expect("the table accepts the placement");
    let ended = peer
        .record_ended(
            Key(5_000),
            established.stamp,
            EndReason::ClosedByClient,
            T0 + 9_000,
        )
        .expect("the connection is established");
    assert_eq!(
        table.merge(&ended, T0 + 9_000),
        MergeOutcome::Rejected(PlacementError::AtCapacity)
    );
    assert_eq!(table.merge(&established, T0 + 9_000), MergeOutcome::New);
    assert_eq!(table.counts().evicted, 1);
}

#[test]
fn keeps_established_placement_while_refreshed() {
    let mut table = table(1);
    let stamp = table
        .record_established(&client(1, None), tag("a"), T0)
        .expect("the table accepts the placement")
        .stamp;
    table
        .record_established(&client(2, None), tag("a"), T0)
        .expect("the table accepts the placement");
    let hour_ms = 3_600_000;
    table
        .refresh(Key(1), stamp, T0 + hour_ms / 2)
        .expect("the connection is established");
    let endpoints = TestEndpoints::all_ready(&["a"]);
    let later = T0 + hour_ms + 5_000;
    assert_eq!(
        advised(&table, &client(2, None), &endpoints, later),
        None,
        "expected no advice from an expired placement that is still in the table"
    );
    assert!(advised(&table, &client(1, None), &endpoints, later).is_some());
    assert_eq!((table.expire(later, 10), table.counts().expired), (1, 1));
    let dated_ahead = Placement {
        stamp: Stamp((later + 61_000) << 20),
        ..table.get(Key(1)).expect("the placement is in the table")
    };
    assert_eq!(
        table.merge(&dated_ahead, later),
        MergeOutcome::Rejected(PlacementError::DatedAhead)
    );
}
