//! State transitions: what causes them, and what does not.

mod support;

use beaconflow_edge::*;
use support::TestProcess;

use UplinkState::{Doubtful, Isolated, Linked, Rejoining};

/// A site must not count as linked again before the changes of both sides are merged.
#[test]
fn isolates_on_uplink_loss_and_merges_on_return() {
    let mut process = TestProcess::linked("n1");
    let lost_at = process.now;
    process.run(20_000, |process, _| process.all_lost());
    assert_eq!(process.states(), [Doubtful, Isolated]);
    let elapsed = process.entered_at(Isolated).expect("the site is isolated") - lost_at;
    assert!(
        (2_000..=6_000).contains(&elapsed),
        "isolated within 2 to 6 s, got {elapsed} ms"
    );
    process.run(60_000, |process, _| process.all_lost());
    let restored_at = process.now;
    process.run(10_000, |process, _| process.all_answer());
    assert_eq!(
        process.states(),
        [Doubtful, Isolated, Rejoining],
        "linked only after the merge"
    );
    assert!(
        (3_000..=5_000)
            .contains(&(process.entered_at(Rejoining).expect("the site rejoins") - restored_at)),
        "rejoins after 3 to 5 s of answers"
    );
    assert_eq!(
        process.count(|action| *action == Action::Rejoin(RejoinStep::Merge)),
        1
    );
    process.handle(Evidence::RejoinStepDone(RejoinStep::Merge));
    process.run(2_000, |process, _| process.all_answer());
    assert_eq!(process.edge.state(), Linked);
}

/// A failed watch, or discovery being down for all, must not be taken for a lost uplink.
#[test]
fn stays_linked_when_only_discovery_fails() {
    for requests_fail in [false, true] {
        let mut process = TestProcess::linked("n1");
        process.run(600_000, |process, _| {
            process.handle(Evidence::WatchLost);
            if requests_fail {
                process.handle(Evidence::DiscoveryFailed);
            }
            process.each_remote_peer(|name, site| Evidence::PeerMessage {
                name,
                site,
                is_bidirectional: true,
            });
        });
        assert_eq!(process.states(), [], "other sites are reachable");
        // Without any other target the site comes to doubt the uplink once, resolves the doubt, and
        // does not doubt it again.
        let mut process = TestProcess::start("n1", Start::Fresh);
        process.run(30_000, |process, _| process.handle(Evidence::WatchAlive));
        process.actions.clear();
        process.run(600_000, |process, _| {
            process.handle(Evidence::WatchLost);
            if requests_fail {
                process.handle(Evidence::DiscoveryFailed);
            }
        });
        assert_eq!(
            process.states(),
            [Doubtful, Linked],
            "discovery requests fail: {requests_fail}"
        );
    }
}

/// A flapping uplink must not cause a transition, or a migration, with each flap.
#[test]
fn limits_transitions_when_uplink_flaps() {
    // Every two seconds and every second: too short to confirm any loss.
    for period in [4, 2] {
        let mut process = TestProcess::linked("n1");
        process.run(60_000, |process, second| {
            if second % period < period / 2 {
                process.all_lost()
            } else {
                process.all_answer()
            }
        });
        assert_eq!(
            process.states(),
            [Doubtful, Isolated],
            "isolated once and not linked again: {:?}",
            process.actions
        );
        assert_eq!(
            process.count(|action| matches!(action, Action::Rejoin(_))),
            0
        );
        assert!(
            process.probes() <= 80,
            "at most 80 probes, got {}",
            process.probes()
        );
        // The site rejoins when the uplink has been stable for long enough.
        process.run(30_000, |process, _| process.all_answer());
        assert_eq!(process.states(), [Doubtful, Isolated, Rejoining]);
    }
}

#[test]
fn isolates_when_uplink_is_one_way() {
    let mut process = TestProcess::linked("n1");
    process.run(30_000, |process, _| {
        process.handle(Evidence::WatchLost);
        process.handle(Evidence::StoreFailed);
        process.each_remote_peer(|name, site| Evidence::PeerMessage {
            name,
            site,
            is_bidirectional: false,
        });
    });
    assert_eq!(process.states(), [Doubtful, Isolated]);
    let lines = process.edge.snapshot(process.now).lines().join("\n");
    assert!(
        lines.contains("site ard sent messages but did not answer"),
        "{lines}"
    );
}

#[test]
fn stays_linked_when_uplink_is_slow() {
    let mut process = TestProcess::linked("n1");
    // Requests with a deadline time out; those without are answered late.
    process.run(300_000, |process, second| {
        process.handle(Evidence::WatchLost);
        process.handle(Evidence::DiscoveryFailed);
        if second % 4 == 0 {
            process.handle(Evidence::StoreAnswered { latency_ms: 3_500 });
        }
    });
    assert_eq!(process.states(), []);
    assert!(
        process
            .edge
            .snapshot(process.now)
            .lines()
            .iter()
            .any(|line| line.contains("slow answer: 3.5 s"))
    );
}

/// A restart must not make an old server list count as fresh.
#[test]
fn keeps_list_age_when_restarted_in_isolation() {
    let mut process = TestProcess::linked("n1");
    process.run(30_000, |process, _| process.all_lost());
    let confirmed_at = process
        .edge
        .snapshot(process.now)
        .list_age_ms
        .map(|age| process.now - age);
    let start = Start::Restored {
        state: Isolated,
        confirmed_at,
        operator_mode: None,
    };
    let mut restarted = TestProcess::start("n1", start);
    restarted.edge = Edge::new(
        support::config("n1"),
        process.now,
        Start::Restored {
            state: Isolated,
            confirmed_at,
            operator_mode: None,
        },
    );
    restarted.now = process.now;
    assert_eq!(
        restarted.edge.state(),
        Isolated,
        "the stored state applies without evidence"
    );
    assert_eq!(
        restarted.edge.list_age(restarted.now),
        process.edge.list_age(process.now)
    );
    let trust_ms = restarted.edge.config().trust_for_ms;
    restarted.run(60_000, |process, _| process.all_lost());
    assert_eq!(restarted.states(), []);
    assert!(
        restarted
            .edge
            .is_list_trusted(confirmed_at.expect("discovery confirmed the list") + trust_ms)
    );
    assert!(
        !restarted
            .edge
            .is_list_trusted(confirmed_at.expect("discovery confirmed the list") + trust_ms + 1)
    );
    // A confirmation in the future, as after setting the clock back, is not trusted.
    let confirmed_at = Some(restarted.now + 86_400_000);
    let start = Start::Restored {
        state: Isolated,
        confirmed_at,
        operator_mode: None,
    };
    assert!(!Edge::new(support::config("n1"), restarted.now, start).is_list_trusted(restarted.now));
}

/// After the trust period only servers with evidence of health are used; established connections
/// stay.
#[test]
fn denies_unproven_servers_when_list_trust_expires() {
    let mut process = TestProcess::linked("n1");
    process.run(30_000, |process, _| process.all_lost());
    let place_client = |is_healthy| Decision::PlaceClient {
        site: "moy".into(),
        is_listed: true,
        is_healthy,
    };
    let tenant = |record_age_ms| Decision::AdmitTenant { record_age_ms };
    let is_granted = |process: &TestProcess, now, decision: &Decision| {
        process.edge.permission(now, decision) == Permission::Granted
    };
    assert!(
        is_granted(&process, process.now, &place_client(false))
            && is_granted(&process, process.now, &tenant(Some(60_000)))
    );
    let after_trust = process.now + process.edge.config().trust_for_ms;
    assert!(
        !is_granted(&process, after_trust, &place_client(false)),
        "a server without evidence of health is denied after the trust period"
    );
    assert!(
        is_granted(&process, after_trust, &place_client(true))
            && is_granted(&process, after_trust, &Decision::KeepConnection)
    );
    assert!(
        !is_granted(&process, process.now, &tenant(Some(3_600_001)))
            && !is_granted(&process, process.now, &tenant(None))
    );
}

/// Each denial carries a reason and a retry delay; while linked every decision is granted.
#[test]
fn denies_fleet_decisions_only_when_isolated() {
    let denied = [
        Decision::AdmitTenant {
            record_age_ms: None,
        },
        Decision::ChangeTenant,
        Decision::ChangeAdmissionLimits,
        Decision::SetOverride { site: "ard".into() },
        Decision::EndOverride { site: "ard".into() },
        Decision::PlaceClient {
            site: "moy".into(),
            is_listed: false,
            is_healthy: true,
        },
        Decision::PlaceClient {
            site: "ard".into(),
            is_listed: true,
            is_healthy: true,
        },
        Decision::Rebalance,
        Decision::ForgetServer,
        Decision::ContactRemote {
            target: RemoteTarget::Store,
        },
    ];
    let granted = [
        Decision::KeepConnection,
        Decision::MigrateOffServer,
        Decision::SetOverride { site: "moy".into() },
    ];
    let mut process = TestProcess::linked("n1");
    assert!(
        denied
            .iter()
            .chain(&granted)
            .all(|decision| process.edge.permission(process.now, decision) == Permission::Granted)
    );
    process.run(30_000, |process, _| process.all_lost());
    for decision in &denied {
        let permission = process.edge.permission(process.now, decision);
        assert!(
            matches!(permission, Permission::Denied { reason, retry_after_ms: 1.. } if !reason.is_empty()),
            "{decision:?} is denied with a reason, got {permission:?}"
        );
    }
    assert!(
        granted
            .iter()
            .all(|decision| process.edge.permission(process.now, decision) == Permission::Granted)
    );
}

/// The site stays isolated until discovery answers at its new address.
#[test]
fn probes_discovery_at_once_when_its_address_changes() {
    let mut process = TestProcess::linked("n1");
    process.run(200_000, |process, _| process.all_lost());
    process.actions.clear();
    process.handle(Evidence::DiscoveryAddressChanged);
    let probe = Action::Probe {
        target: RemoteTarget::Discovery,
    };
    assert!(
        process.actions.contains(&(process.now, probe)),
        "discovery is probed at once: {:?}",
        process.actions
    );
    // Repeated address changes do not raise the probe rate.
    for _ in 0..50 {
        process.handle(Evidence::DiscoveryAddressChanged);
        process.run(100, |_, _| {});
    }
    assert!(
        process.probes() <= 12,
        "{} probes of two targets in five seconds",
        process.probes()
    );
    process.handle(Evidence::DiscoveryFailed);
    process.run(20_000, |process, _| process.handle(Evidence::StoreFailed));
    assert_eq!(process.edge.state(), Isolated);
    process.run(20_000, |process, _| {
        process.handle(Evidence::DiscoveryAnswered { latency_ms: 9 })
    });
    assert_eq!(process.edge.state(), Rejoining);
}

/// The operator mode overrides the evidence in either direction.
#[test]
fn obeys_operator_mode_until_it_expires() {
    let mut process = TestProcess::linked("n1");
    process.set_operator_mode(UplinkMode::Isolated, 60_000);
    assert_eq!(process.edge.state(), Isolated, "the mode applies at once");
    process.run(58_000, |process, _| process.all_answer());
    assert_eq!((process.edge.state(), process.probes()), (Isolated, 0));
    assert!(
        process
            .edge
            .snapshot(process.now)
            .lines()
            .join("\n")
            .contains("operator mode set by ada: the site is isolated (cable work)")
    );
    process.run(10_000, |process, _| process.all_answer());
    assert_eq!(
        process.edge.state(),
        Rejoining,
        "changes are merged when the mode expires"
    );
    process.handle(Evidence::RejoinStepDone(RejoinStep::Merge));
    process.run(60_000, |process, _| process.all_answer());
    assert_eq!(process.edge.state(), Linked);

    process.set_operator_mode(UplinkMode::Linked, 60_000);
    process.run(58_000, |process, _| process.all_lost());
    assert_eq!(process.edge.state(), Linked);
    process.run(20_000, |process, _| process.all_lost());
    assert_eq!(
        process.edge.state(),
        Isolated,
        "the evidence decides after the mode expired"
    );
    process.set_operator_mode(UplinkMode::Linked, 60_000);
    assert_eq!(process.edge.state(), Rejoining);
    process.run(31_000, |process, _| process.all_lost());
    assert_eq!(
        process.edge.state(),
        Linked,
        "rejoining ends at its limit without a list"
    );
    process.set_operator_mode(UplinkMode::Automatic, 60_000);
    process.run(30_000, |process, _| process.all_lost());
    assert_eq!(
        process.edge.state(),
        Isolated,
        "the mode is withdrawn before it expires"
    );
}

#[test]
fn applies_latest_operator_mode_in_any_order() {
    let mut process = TestProcess::linked("n1");
    let mut peer = TestProcess::linked("n2");
    process.set_operator_mode(UplinkMode::Isolated, 60_000);
    let earlier = process.report();
    process.now += 10;
    process.set_operator_mode(UplinkMode::Automatic, 60_000);
    let latest = process.report();
    for report in [latest.clone(), earlier, latest] {
        peer.handle(Evidence::PeerReport(report));
    }
    assert_eq!(peer.report().operator_mode, process.report().operator_mode);
    assert_eq!(peer.edge.state(), Linked);
}

/// A paused process receives nothing and must not take its own pause for a lost uplink.
#[test]
fn discards_old_evidence_after_process_pause() {
    let mut process = TestProcess::linked("n1");
    // A short loss, followed by a pause in which no event is handled.
    process.all_lost();
    process.now += 15_000;
    process.handle(Evidence::Tick);
    let logged =
        process.count(|action| matches!(action, Action::Log(text) if text.contains("for 15 s")));
    assert_eq!(logged, 1);
    assert_eq!(
        process.edge.snapshot(process.now).log_odds,
        -20,
        "evidence from before the pause is discarded"
    );
    process.run(60_000, |process, _| process.all_answer());
    assert_eq!(process.states(), [Doubtful, Linked]);
}

/// After a partition within the site, each process changes state by its own evidence only.
#[test]
fn ignores_peer_reports_alone_when_partition_heals() {
    // One half of the site has the uplink; the other has neither the uplink nor the first half.
    let (mut connected, mut cut_off) = (TestProcess::linked("n1"), TestProcess::linked("n2"));
    cut_off.run(60_000, |process, _| process.all_lost());
    connected.run(60_000, |process, _| process.all_answer());
    assert_eq!(
        (connected.edge.state(), cut_off.edge.state()),
        (Linked, Isolated)
    );
    // The halves reconnect while the second one's own uplink is still down. Reports of the first
    // make it probe occasionally.
    cut_off.actions.clear();
    for _ in 0..120 {
        connected.run(1_000, |process, _| process.all_answer());
        let (connected_report, cut_off_report) = (connected.report(), cut_off.report());
        cut_off.handle(Evidence::PeerReport(connected_report));
        connected.handle(Evidence::PeerReport(cut_off_report));
        cut_off.run(1_000, |process, _| process.all_lost());
    }
    assert_eq!(
        (connected.edge.state(), cut_off.edge.state()),
        (Linked, Isolated),
        "reports alone change neither state"
    );
    assert!(cut_off.edge.snapshot(cut_off.now).is_process_isolated);
    assert!(
        (1..=25).contains(&cut_off.probes()),
        "{} probes in two minutes",
        cut_off.probes()
    );
    cut_off.run(30_000, |process, _| process.all_answer());
    assert_eq!(cut_off.edge.state(), Rejoining);
}

/// A process that alone lost the uplink waits for the maximum time in doubt before it counts as
/// isolated.
#[test]
fn reports_own_isolation_when_peers_are_linked() {
    let (mut connected, mut cut_off) = (TestProcess::linked("n1"), TestProcess::linked("n2"));
    for _ in 0..40 {
        connected.run(1_000, |process, _| process.all_answer());
        let report = connected.report();
        cut_off.handle(Evidence::PeerReport(report));
        cut_off.run(1_000, |process, _| process.all_lost());
    }
    assert_eq!(
        cut_off.edge.state(),
        Isolated,
        "its own evidence decides in the end"
    );
    let in_doubt_ms = cut_off
        .entered_at(Isolated)
        .expect("the process is isolated")
        - cut_off
            .entered_at(Doubtful)
            .expect("the process is in doubt");
    assert!(
        in_doubt_ms >= 20_000,
        "in doubt for the maximum time, got {in_doubt_ms} ms"
    );
    assert!(
        cut_off
            .edge
            .snapshot(cut_off.now)
            .lines()
            .join("\n")
            .contains("only this process is cut off")
    );
}

/// Rejoining ends at its limit without a list; the merge follows when the list arrives.
#[test]
fn merges_once_when_list_arrives_after_timeout() {
    let mut process = TestProcess::linked("n1");
    process.run(60_000, |process, _| process.all_lost());
    let answers = |process: &mut TestProcess, _| {
        process.handle(Evidence::StoreAnswered { latency_ms: 5 });
        process.handle(Evidence::DiscoveryFailed);
    };
    process.run(60_000, answers);
    assert_eq!(process.states(), [Doubtful, Isolated, Rejoining, Linked]);
    let rejoining_ms = process.entered_at(Linked).expect("the site is linked")
        - process.entered_at(Rejoining).expect("the site rejoins");
    assert_eq!(rejoining_ms, process.edge.config().rejoin_ms);
    let merges = |process: &TestProcess| {
        process.count(|action| *action == Action::Rejoin(RejoinStep::Merge))
    };
    assert_eq!(merges(&process), 0);
    process.handle(Evidence::ListConfirmed { at: process.now });
    assert_eq!(merges(&process), 1, "the late list is merged once");
}

/// Probing must not stop when the processes that rank before this one stop.
#[test]
fn takes_over_probing_when_peers_fall_silent() {
    let mut process = TestProcess::linked("n2");
    process.run(20_000, |process, _| process.all_lost());
    assert_eq!(process.edge.state(), Isolated);
    // Processes of lower rank have probed, so this one waits; then they fall silent.
    let probes: Vec<(RemoteTarget, u32, Millis)> = [RemoteTarget::Discovery, RemoteTarget::Store]
        .map(|target| (target, 9, 0))
        .to_vec();
    let peers = ["n1", "n3", "n4", "n5", "n6"];
    for _ in 0..30 {
        for name in peers {
            let (site, probes) = ("moy".into(), probes.clone());
            let report = UplinkReport {
                name: name.into(),
                site,
                state: Isolated,
                targets: Vec::new(),
                probes,
                operator_mode: None,
            };
            process.handle(Evidence::PeerReport(report));
        }
        process.run(1_000, |process, _| process.all_lost());
    }
    let probe_count = |process: &TestProcess| {
        let is_shared =
            |target: &RemoteTarget| matches!(target, RemoteTarget::Discovery | RemoteTarget::Store);
        process.count(|action| matches!(action, Action::Probe { target } if is_shared(target)))
    };
    process.actions.clear();
    let silent_at = process.now;
    process.run(30_000, |process, _| process.all_lost());
    assert!(
        probe_count(&process) >= 1,
        "this process takes over probing"
    );
    let first_probe = process
        .actions
        .iter()
        .find(|(_, action)| matches!(action, Action::Probe { .. }))
        .map(|(at, _)| at - silent_at);
    assert!(
        first_probe.is_some_and(|after| after >= 2_000),
        "probes only after the others had to, got {first_probe:?}"
    );
}

#[test]
fn reports_all_configuration_errors_at_once() {
    let valid = support::config("n1");
    let invalid = Config {
        site: String::new(),
        name: "a\nb".into(),
        processes: 0,
        fresh_ms: 0,
        confirm_ms: 30_000,
        steady_ms: u64::MAX,
        isolation_delay_ms: 1_000,
        rejoin_ms: 1_000,
        slow_ms: 1,
        trust_for_ms: 0,
        tenants_for_ms: u64::MAX,
        probe_base_ms: 50_000,
        spread_ms: 1_001,
        moves_per_s: f64::NAN,
        ..valid
    };
    let mut fields: Vec<&str> = invalid
        .validate()
        .expect_err("the configuration is invalid")
        .iter()
        .map(|error| error.field)
        .collect();
    fields.dedup();
    let expected = "site name processes fresh steady slow trust_for tenants_for damp_cap patience rejoin probe_cap \
                    spread moves_per_s";
    assert_eq!(fields.join(" "), expected);
}

/// A loss of half a second must not be confirmed because the site was already in doubt.
#[test]
fn ignores_brief_loss_when_already_doubtful() {
    let mut process = TestProcess::linked("n1");
    process.run(8_000, |process, second| {
        process.handle(Evidence::WatchLost);
        process.handle(if second < 7 {
            Evidence::Tick
        } else {
            Evidence::StoreFailed
        });
    });
    assert_eq!(process.states(), [Doubtful]);
    // All targets are lost for half a second.
    process.all_lost();
    process.run(500, |_, _| {});
    process.run(5_000, |process, _| process.all_answer());
    assert_eq!(process.states(), [Doubtful, Linked]);
}

/// The uplink returns for just long enough to rejoin, again and again.
#[test]
fn limits_transitions_when_uplink_returns_briefly() {
    let mut process = TestProcess::linked("n1");
    process.run(600_000, |process, second| {
        if second % 24 < 3 {
            process.all_lost()
        } else {
            process.all_answer()
        }
        process.handle(Evidence::RejoinStepDone(RejoinStep::Merge));
    });
    let at: Vec<Millis> = process
        .actions
        .iter()
        .filter(|(_, action)| matches!(action, Action::StateChanged { .. }))
        .map(|(at, _)| *at)
        .collect();
    assert!(at.len() > 3, "the uplink flaps are noticed: {at:?}");
    assert!(
        at.windows(8).all(|window| window[7] - window[0] >= 60_000),
        "at most seven transitions within a minute: {at:?}"
    );
}

#[test]
fn applies_reconfiguration_without_leaving_isolation() {
    let mut process = TestProcess::linked("n1");
    process.run(30_000, |process, _| process.all_lost());
    let later = process.now + 5 * 3_600_000;
    assert!(!process.edge.is_list_trusted(later));
    process.edge.reconfigure(Config {
        trust_for_ms: 6 * 3_600_000,
        site: "ard".into(),
        ..support::config("n9")
    });
    assert!(process.edge.is_list_trusted(later));
    assert_eq!(
        (
            process.edge.state(),
            process.report().name.as_str(),
            process.report().site.as_str()
        ),
        (Isolated, "n1", "moy")
    );
}

/// The uplink was lost during a merge; its late completion must not end the next rejoining.
#[test]
fn ignores_merge_of_an_earlier_rejoin() {
    let mut process = TestProcess::linked("n1");
    process.run(30_000, |process, _| process.all_lost());
    process.run(12_000, |process, _| process.all_answer());
    process.run(60_000, |process, _| process.all_lost());
    let hear_remote_peers = |process: &mut TestProcess, _| {
        process.each_remote_peer(|name, site| Evidence::PeerMessage {
            name,
            site,
            is_bidirectional: true,
        })
    };
    process.run(10_000, hear_remote_peers);
    assert_eq!(
        process.states(),
        [Doubtful, Isolated, Rejoining, Isolated, Rejoining]
    );
    process.handle(Evidence::RejoinStepDone(RejoinStep::Merge));
    process.run(10_000, hear_remote_peers);
    assert_eq!(process.edge.state(), Rejoining, "no list has arrived since");
}

/// Processes that rejoin at the same time must not send a request spike to discovery.
#[test]
fn spreads_polls_when_processes_rejoin_together() {
    let poll_delay = |n: u64| {
        let config = Config {
            seed: n,
            processes: 90,
            ..support::config(&format!("n{n}"))
        };
        let mut process = TestProcess::linked("n1");
        process.edge = Edge::new(config, process.now, Start::Fresh);
        process.set_operator_mode(UplinkMode::Isolated, 1_000);
        process.run(6_000, |process, _| process.all_answer());
        let reconnect_delay = |(_, action): &(Millis, Action)| match action {
            Action::Rejoin(RejoinStep::Reconnect {
                target: RemoteTarget::Discovery,
                delay_ms,
            }) => Some(*delay_ms),
            _ => None,
        };
        process
            .actions
            .iter()
            .find_map(reconnect_delay)
            .expect("the process requests the list")
    };
    let mut all: Vec<Millis> = (0..30).map(poll_delay).collect();
    all.sort_unstable();
    assert!(
        all[29] <= 900 && all[29] - all[0] >= 450,
        "requests come within 900 ms and are spread over 450 ms at least: {all:?}"
    );
    assert!(
        all.windows(10).all(|ten| ten[9] - ten[0] >= 90),
        "no ten requests within 90 ms: {all:?}"
    );
}
