//! Tests of settings that are replaced between two events of a core that runs on no thread.

use std::sync::Arc;
use std::time::Duration;

use beaconflow_overrides::OverrideSet;
use beaconflow_policy::AttemptOutcome;
use beaconflow_settings::{ActiveSettings, SiteSettings};
use serde_json::{Value, json};

use super::super::lifecycle::LifecycleCommand;
use super::super::testing::{CommandLog, core, list, open_request, row};
use super::super::{ClientRequest, Core, CoreInput};
use crate::clock::Clock;

/// Attempts that the policy admits at once at the start.
const INITIAL_CONCURRENCY_LIMIT: u64 = 12;
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
const ATTEMPT_DURATION: Duration = Duration::from_millis(1);

/// Site settings with these classes and their effects.
fn site(classes: &[(&str, &str)], change: impl Fn(&mut Value)) -> SiteSettings {
    let class_json = |(name, effect): &(&str, &str)| json!({"name": name, "on-time-ns": 300_000_000, "hard-limit-ns": 1_800_000_000, "effect": effect, "dedup-scope": "all", "repeat-window-ns": 0, "value": 1.0});
    let mut site = json!({
        "discovery": "automatic", "lanes": classes.iter().map(class_json).collect::<Vec<Value>>(),
        "projects": [{"name": "acme", "share": 0.58}, {"name": "bright", "share": 0.42}],
        "policy-limits": {"max-attempts": 4, "retry-after": true, "max-retry-after-ns": 2_000_000_000},
        "rules": {"cold-share": 0.2, "cold-ns": 20_000_000_000_u64, "tip-multiple": 3.0, "fall-ns": 1_500_000_000},
    });
    change(&mut site);
    SiteSettings::read("", &site).expect("valid settings")
}

fn new_core() -> (Core, Arc<CommandLog>) {
    (
        core(Clock::start(), OverrideSet::new(0)),
        Arc::new(CommandLog::default()),
    )
}

fn replace(core: &mut Core, settings: SiteSettings) -> Arc<ActiveSettings> {
    let active_settings = Arc::new(core.active_settings.replaced_with(settings));
    core.handle_input(CoreInput::SettingsReplaced(Arc::clone(&active_settings)));
    active_settings
}

/// A request of a class, as a front creates it.
fn client_request(core: &Core, class: usize, client_timeout: Duration) -> ClientRequest {
    ClientRequest {
        class,
        client_key: None,
        group: None,
        tenant: None,
        account: Some("acme".into()),
        share: None,
        is_reconnect: false,
        buffered_bytes: 40,
        expected_load: None,
        received_at: core.clock.now(),
        client_timeout,
        resumed_server: None,
    }
}

fn open_request_of_class(core: &mut Core, commands: &Arc<CommandLog>, id: u64, class: usize) {
    let client_request = client_request(core, class, LONG_TIMEOUT);
    core.handle_input(CoreInput::ConnectRequested {
        id,
        client_request,
        commands: Arc::<CommandLog>::clone(commands),
    });
}

/// A request may be in a channel while settings are replaced. It must not be retried unless both the
/// settings it was read with and the new ones allow it.
#[test]
fn applies_both_settings_to_request_read_before_replacement() {
    let (mut core, commands) = new_core();
    replace(
        &mut core,
        site(&[("chat", "retryable"), ("once", "fragile")], |_| {}),
    );
    let first_settings = Arc::clone(&core.active_settings);
    let (chat, once) = (
        first_settings.class("chat").expect("the class exists"),
        first_settings.class("once").expect("the class exists"),
    );
    // The classes are in another order and have each other's effect.
    replace(
        &mut core,
        site(&[("once", "retryable"), ("chat", "fragile")], |_| {}),
    );
    for (id, class) in [(1, chat), (2, once)] {
        open_request_of_class(&mut core, &commands, id, class);
        assert_eq!(commands.attempts_and_answers(id), (1, 0));
        core.handle_input(CoreInput::AttemptEnded {
            id,
            outcome: AttemptOutcome::Reset,
            duration: ATTEMPT_DURATION,
        });
        // Each class is fragile in one of the two settings, so neither request is retried.
        assert_eq!(
            commands.attempts_and_answers(id),
            (1, 1),
            "request {id} gets one final answer and no second attempt"
        );
    }
    let new_settings = Arc::clone(&core.active_settings);
    open_request_of_class(
        &mut core,
        &commands,
        3,
        new_settings.class("once").expect("the class exists"),
    );
    core.handle_input(CoreInput::AttemptEnded {
        id: 3,
        outcome: AttemptOutcome::Reset,
        duration: ATTEMPT_DURATION,
    });
    assert_eq!(
        commands.attempts_and_answers(3).1,
        0,
        "a request of the new settings is retried as they allow"
    );
}

#[test]
fn keeps_effect_of_attempt_in_flight_after_replacement() {
    let (mut core, commands) = new_core();
    replace(&mut core, site(&[("chat", "fragile")], |_| {}));
    let class = core
        .active_settings
        .class("chat")
        .expect("the class exists");
    open_request_of_class(&mut core, &commands, 1, class);
    replace(&mut core, site(&[("chat", "retryable")], |_| {}));
    assert_eq!(
        commands.attempts_and_answers(1),
        (1, 0),
        "the attempt stays in flight"
    );
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Reset,
        duration: ATTEMPT_DURATION,
    });
    assert_eq!(commands.attempts_and_answers(1), (1, 1));
}

#[test]
fn keeps_connections_and_attempts_of_removed_class() {
    let (mut core, commands) = new_core();
    for id in 0..4 {
        open_request(&mut core, &commands, id, "acme", LONG_TIMEOUT);
    }
    core.handle_input(CoreInput::AttemptEstablished(0));
    let new_settings = replace(&mut core, site(&[("other", "fragile")], |_| {}));
    assert_eq!(new_settings.class("chat"), None);
    core.handle_input(CoreInput::AttemptEstablished(1));
    core.handle_input(CoreInput::AttemptEnded {
        id: 2,
        outcome: AttemptOutcome::Rejected,
        duration: ATTEMPT_DURATION,
    });
    assert_eq!(
        (0..4)
            .map(|id| commands.attempts_and_answers(id))
            .collect::<Vec<_>>(),
        [(1, 0); 4],
        "no final answer and no second attempt yet"
    );
    assert_eq!(
        (0..4).map(|id| commands.migration_count(id)).sum::<usize>(),
        0,
        "a replacement migrates no client"
    );
    core.handle_input(CoreInput::AttemptEnded {
        id: 0,
        outcome: AttemptOutcome::Served,
        duration: ATTEMPT_DURATION,
    });
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Served,
        duration: ATTEMPT_DURATION,
    });
    core.handle_input(CoreInput::ClientLeft(2));
    core.handle_input(CoreInput::ClientLeft(3));
    assert_eq!((core.requests.len(), core.admission.queued()), (0, 0));
}

#[test]
fn keeps_queued_requests_after_replacement() {
    let (mut core, commands) = new_core();
    for id in 0..INITIAL_CONCURRENCY_LIMIT + 30 {
        open_request(
            &mut core,
            &commands,
            id,
            if id % 2 == 0 { "acme" } else { "bright" },
            LONG_TIMEOUT,
        );
    }
    let queued = core.admission.queued();
    assert_eq!(queued, 30);
    replace(
        &mut core,
        site(
            &[("new", "fragile"), ("chat", "dedup"), ("more", "retryable")],
            |_| {},
        ),
    );
    assert_eq!(
        core.admission.queued(),
        queued,
        "no queued request is evicted"
    );
    assert!(
        (0..INITIAL_CONCURRENCY_LIMIT + 30).all(|id| commands.attempts_and_answers(id).1 == 0),
        "no request gets a final answer"
    );
    for id in 0..INITIAL_CONCURRENCY_LIMIT {
        core.handle_input(CoreInput::AttemptEstablished(id));
    }
    let started_requests = (0..INITIAL_CONCURRENCY_LIMIT + 30)
        .filter(|id| commands.attempts_and_answers(*id).0 == 1)
        .count() as u64;
    assert!(
        started_requests > INITIAL_CONCURRENCY_LIMIT,
        "permits are granted as before: {started_requests} requests started"
    );
    for id in 0..INITIAL_CONCURRENCY_LIMIT + 30 {
        core.handle_input(CoreInput::ClientLeft(id));
    }
    assert_eq!((core.requests.len(), core.admission.queued()), (0, 0));
}

#[test]
fn admits_queued_requests_by_new_shares() {
    let (mut core, commands) = new_core();
    for id in 0..INITIAL_CONCURRENCY_LIMIT {
        open_request(&mut core, &commands, id, "acme", LONG_TIMEOUT);
    }
    for id in 100..200 {
        open_request(
            &mut core,
            &commands,
            id,
            if id % 2 == 0 { "acme" } else { "bright" },
            LONG_TIMEOUT,
        );
    }
    let shares = |site: &mut Value| {
        site["projects"] =
            json!([{"name": "bright", "share": 0.9}, {"name": "acme", "share": 0.1}]);
    };
    replace(&mut core, site(&[("chat", "retryable")], shares));
    for id in 0..INITIAL_CONCURRENCY_LIMIT {
        core.handle_input(CoreInput::AttemptEstablished(id));
    }
    for id in 100..200 {
        if commands.attempts_and_answers(id).0 == 1
            && started_requests(&commands) < INITIAL_CONCURRENCY_LIMIT + 40
        {
            core.handle_input(CoreInput::AttemptEstablished(id));
        }
    }
    let admitted = |remainder: u64| {
        (100..200)
            .filter(|id| id % 2 == remainder && commands.attempts_and_answers(*id).0 == 1)
            .count()
    };
    let (acme, bright) = (admitted(0), admitted(1));
    assert!(
        acme + bright >= 10 && acme * 4 <= bright,
        "{acme} requests of acme and {bright} of bright admitted"
    );
}

fn started_requests(commands: &CommandLog) -> u64 {
    (0..200)
        .filter(|id| commands.attempts_and_answers(*id).0 == 1)
        .count() as u64
}

#[test]
fn answers_request_when_new_attempt_limit_is_reached() {
    let (mut core, commands) = new_core();
    for id in 0..3 {
        open_request(&mut core, &commands, id, "acme", LONG_TIMEOUT);
    }
    core.handle_input(CoreInput::AttemptEnded {
        id: 0,
        outcome: AttemptOutcome::Rejected,
        duration: ATTEMPT_DURATION,
    });
    replace(
        &mut core,
        site(&[("chat", "retryable")], |site| {
            site["policy-limits"]["max-attempts"] = json!(1)
        }),
    );
    assert_eq!(
        commands.attempts_and_answers(0),
        (1, 1),
        "the request that waited for a second attempt gets its final answer"
    );
    assert_eq!(
        [
            commands.attempts_and_answers(1),
            commands.attempts_and_answers(2)
        ],
        [(1, 0); 2]
    );
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Rejected,
        duration: ATTEMPT_DURATION,
    });
    assert_eq!(commands.attempts_and_answers(1), (1, 1));
    core.handle_input(CoreInput::AttemptEstablished(2));
    assert_eq!(commands.attempts_and_answers(2), (1, 0));
}

/// The zones get other numbers with each order of their names. A repeat that has to stay in the zone
/// of its first server must not end up in the zone that has that number now.
#[test]
fn renumbers_zones_together_with_their_servers() {
    let (mut core, commands) = new_core();
    let zones = |names: Value| {
        move |site: &mut Value| {
            site["zones"] = names.clone();
            site["lanes"][0]["dedup-scope"] = json!("zone");
            site["lanes"][0]["repeat-window-ns"] = json!(60_000_000_000_u64);
        }
    };
    let with_zone =
        |name: &str, zone: &str| row(name).replace('}', &format!(r#","zone":"{zone}"}}"#));
    replace(
        &mut core,
        site(&[("chat", "dedup")], zones(json!(["east", "west"]))),
    );
    let rows = [
        with_zone("s1", "west"),
        with_zone("s2", "east"),
        with_zone("s3", "east"),
    ];
    core.apply_list(list(&rows.join(",")), false);
    let first_servers: Vec<String> = (0..9)
        .map(|id| {
            open_request(&mut core, &commands, id, "acme", LONG_TIMEOUT);
            attempted_servers(&commands, id).remove(0)
        })
        .collect();
    assert!(
        ["s1", "s2", "s3"]
            .map(str::to_owned)
            .iter()
            .all(|name| first_servers.contains(name))
    );
    // The number that "east" had is the one of "west" now, also in the entry that arrives anew.
    replace(
        &mut core,
        site(&[("chat", "dedup")], zones(json!(["west", "east"]))),
    );
    let mut change = list(&with_zone("s1", "west"));
    change.reset = false;
    core.apply_list(change, false);
    for id in 0..9 {
        core.handle_input(CoreInput::AttemptEnded {
            id,
            outcome: AttemptOutcome::Reset,
            duration: ATTEMPT_DURATION,
        });
    }
    let deadline = std::time::Instant::now() + Duration::from_secs(10);
    while (0..9).any(|id| commands.attempts_and_answers(id) == (1, 0)) {
        assert!(
            std::time::Instant::now() < deadline,
            "{}",
            commands.as_text()
        );
        std::thread::sleep(Duration::from_millis(1));
        core.fire_timer();
    }
    for (id, first) in (0..9).zip(first_servers) {
        for retry in attempted_servers(&commands, id).iter().skip(1) {
            assert_eq!(
                first == "s1",
                retry == "s1",
                "request {id} was sent to {first} first and to {retry} later"
            );
        }
    }
}

/// The servers of a request's attempts, in order.
fn attempted_servers(commands: &CommandLog, id: u64) -> Vec<String> {
    let (text, start) = (commands.as_text(), format!("{id} StartAttempt to "));
    text.lines()
        .filter_map(|line| line.strip_prefix(&start).map(str::to_owned))
        .collect()
}

#[test]
fn updates_shared_timeouts_after_replacement() {
    let (mut core, _) = new_core();
    assert_eq!(
        core.timeouts.slow_message_threshold(),
        Duration::from_nanos(u64::MAX)
    );
    let change = |site: &mut Value| {
        site["family-info"] = json!({"message-aim-ns": [90_000_000]});
        site["policy-limits"]["connect-timeout-ns"] = json!(70_000_000);
    };
    replace(&mut core, site(&[("chat", "retryable")], change));
    assert_eq!(
        core.timeouts.slow_message_threshold(),
        Duration::from_millis(45)
    );
    assert_eq!(core.timeouts.connect_timeout(), Duration::from_millis(70));
    // Without these settings the defaults apply again.
    replace(&mut core, site(&[("chat", "retryable")], |_| {}));
    assert_eq!(
        core.timeouts.slow_message_threshold(),
        Duration::from_nanos(u64::MAX)
    );
    assert_eq!(
        core.timeouts.connect_timeout(),
        Duration::from_millis(225),
        "the default is an eighth of the shortest deadline of a class"
    );
}

#[test]
fn restarts_policy_with_replaced_settings_after_panic() {
    let (mut core, commands) = new_core();
    open_request(&mut core, &commands, 0, "acme", LONG_TIMEOUT);
    core.handle_input(CoreInput::AttemptEstablished(0));
    let new_settings = replace(&mut core, site(&[("once", "fragile")], |_| {}));
    core.restart_policy();
    open_request_of_class(
        &mut core,
        &commands,
        1,
        new_settings.class("once").expect("the class exists"),
    );
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Reset,
        duration: ATTEMPT_DURATION,
    });
    assert_eq!(commands.attempts_and_answers(1), (1, 1));
    core.handle_input(CoreInput::AttemptEnded {
        id: 0,
        outcome: AttemptOutcome::Served,
        duration: ATTEMPT_DURATION,
    });
    assert_eq!(core.requests.len(), 0);
}

#[test]
fn applies_settings_replaced_on_standby_after_return() {
    let (mut core, commands) = new_core();
    for word in [
        LifecycleCommand::SetListening(true),
        LifecycleCommand::ServersKnown,
    ] {
        core.on_lifecycle_command(word)
            .expect("only commands of operators can be refused");
    }
    open_request(&mut core, &commands, 0, "acme", LONG_TIMEOUT);
    core.handle_input(CoreInput::AttemptEstablished(0));
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("a serving process accepts the command");
    let new_settings = replace(&mut core, site(&[("once", "fragile")], |_| {}));
    assert_eq!(
        (
            commands.migration_count(0),
            commands.attempts_and_answers(0)
        ),
        (0, (1, 0)),
        "clients are migrated by the drain, and not by the replacement"
    );
    core.on_lifecycle_command(LifecycleCommand::LeaveStandby)
        .expect("a process on standby accepts the command");
    open_request_of_class(
        &mut core,
        &commands,
        1,
        new_settings.class("once").expect("the class exists"),
    );
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Reset,
        duration: ATTEMPT_DURATION,
    });
    assert_eq!(commands.attempts_and_answers(1), (1, 1));
    core.handle_input(CoreInput::AttemptEnded {
        id: 0,
        outcome: AttemptOutcome::Served,
        duration: ATTEMPT_DURATION,
    });
    assert_eq!(core.requests.len(), 0);
}
