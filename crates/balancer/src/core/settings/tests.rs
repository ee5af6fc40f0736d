//! Settings replaced between any two events of a core that nobody runs.

use std::sync::Arc;
use std::time::Duration;

use beaconflow_overrides::OverrideSet;
use beaconflow_policy::AttemptOutcome;
use beaconflow_settings::{ActiveSettings, SiteSettings};
use serde_json::{Value, json};

use super::super::lifecycle::LifecycleCommand;
use super::super::testing::{Orders, core, list, opens, row};
use super::super::{ClientRequest, Core, CoreInput};
use crate::clock::Clock;

/// Set-ups that the module lets be under way at the start.
const WINDOW: u64 = 12;
const LONG: Duration = Duration::from_secs(60);
const SOON: Duration = Duration::from_millis(1);

/// Settings with these classes, each with its effect.
fn site(lanes: &[(&str, &str)], change: impl Fn(&mut Value)) -> SiteSettings {
    let lane = |(name, effect): &(&str, &str)| json!({"name": name, "on-time-ns": 300_000_000, "hard-limit-ns": 1_800_000_000, "effect": effect, "dedup-scope": "all", "repeat-window-ns": 0, "value": 1.0});
    let mut site = json!({
        "discovery": "automatic", "lanes": lanes.iter().map(lane).collect::<Vec<Value>>(),
        "projects": [{"name": "acme", "share": 0.58}, {"name": "bright", "share": 0.42}],
        "policy-limits": {"max-attempts": 4, "retry-after": true, "max-retry-after-ns": 2_000_000_000},
        "rules": {"cold-share": 0.2, "cold-ns": 20_000_000_000_u64, "tip-multiple": 3.0, "fall-ns": 1_500_000_000},
    });
    change(&mut site);
    SiteSettings::read("", &site).expect("sound")
}

fn started() -> (Core, Arc<Orders>) {
    (
        core(Clock::start(), OverrideSet::new(0)),
        Arc::new(Orders::default()),
    )
}

fn replace(core: &mut Core, setup: SiteSettings) -> Arc<ActiveSettings> {
    let in_force = Arc::new(core.in_force.replaced_with(setup));
    core.handle_input(CoreInput::SettingsReplaced(Arc::clone(&in_force)));
    in_force
}

/// An opening of that class, as a front made it.
fn client_request(core: &Core, class: usize, client_timeout: Duration) -> ClientRequest {
    ClientRequest {
        class,
        client_key: None,
        group: None,
        tenant: None,
        account: Some("acme".into()),
        quota: None,
        is_reconnect: false,
        buffered_bytes: 40,
        expected_load: None,
        received_at: core.clock.now(),
        client_timeout,
        resumed_server: None,
    }
}

fn admits(core: &mut Core, orders: &Arc<Orders>, id: u64, class: usize) {
    let client_request = client_request(core, class, LONG);
    core.handle_input(CoreInput::ConnectRequested {
        id,
        client_request,
        commands: Arc::<Orders>::clone(orders),
    });
}

#[test]
fn an_opening_read_before_a_replacement_is_judged_by_what_it_was_read_by() {
    let (mut core, orders) = started();
    replace(
        &mut core,
        site(&[("chat", "retryable"), ("once", "fragile")], |_| {}),
    );
    let before = Arc::clone(&core.in_force);
    let (chat, once) = (
        before.class("chat").expect("there"),
        before.class("once").expect("there"),
    );
    // In another order, and with the effects exchanged.
    replace(
        &mut core,
        site(&[("once", "retryable"), ("chat", "fragile")], |_| {}),
    );
    for (id, class) in [(1, chat), (2, once)] {
        admits(&mut core, &orders, id, class);
        assert_eq!(orders.of(id), (1, 0));
        core.handle_input(CoreInput::AttemptEnded {
            id,
            outcome: AttemptOutcome::Reset,
            duration: SOON,
        });
        // Neither may be repeated by both settings.
        assert_eq!(
            orders.of(id),
            (1, 1),
            "{id} got its one final answer and no second attempt"
        );
    }
    let now = Arc::clone(&core.in_force);
    admits(&mut core, &orders, 3, now.class("once").expect("there"));
    core.handle_input(CoreInput::AttemptEnded {
        id: 3,
        outcome: AttemptOutcome::Reset,
        duration: SOON,
    });
    assert_eq!(
        orders.of(3).1,
        0,
        "a class of the new settings is repeated as they say"
    );
}

#[test]
fn a_request_that_is_out_keeps_the_effect_it_was_admitted_with() {
    let (mut core, orders) = started();
    replace(&mut core, site(&[("chat", "fragile")], |_| {}));
    let class = core.in_force.class("chat").expect("there");
    admits(&mut core, &orders, 1, class);
    replace(&mut core, site(&[("chat", "retryable")], |_| {}));
    assert_eq!(orders.of(1), (1, 0), "it stays out");
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Reset,
        duration: SOON,
    });
    assert_eq!(orders.of(1), (1, 1));
}

#[test]
fn what_stands_and_what_is_out_go_on_under_a_class_that_is_gone() {
    let (mut core, orders) = started();
    for id in 0..4 {
        opens(&mut core, &orders, id, "acme", LONG);
    }
    core.handle_input(CoreInput::AttemptEstablished(0));
    let now = replace(&mut core, site(&[("other", "fragile")], |_| {}));
    assert_eq!(now.class("chat"), None);
    core.handle_input(CoreInput::AttemptEstablished(1));
    core.handle_input(CoreInput::AttemptEnded {
        id: 2,
        outcome: AttemptOutcome::Rejected,
        duration: SOON,
    });
    assert_eq!(
        (0..4).map(|id| orders.of(id)).collect::<Vec<_>>(),
        [(1, 0); 4],
        "no answer and no second pass yet"
    );
    assert_eq!(
        (0..4).map(|id| orders.moves(id)).sum::<usize>(),
        0,
        "nobody is moved for it"
    );
    core.handle_input(CoreInput::AttemptEnded {
        id: 0,
        outcome: AttemptOutcome::Served,
        duration: SOON,
    });
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Served,
        duration: SOON,
    });
    core.handle_input(CoreInput::ClientLeft(2));
    core.handle_input(CoreInput::ClientLeft(3));
    assert_eq!((core.requests.len(), core.admission.queued()), (0, 0));
}

#[test]
fn whoever_waits_goes_on_waiting_and_gets_its_turn_or_one_answer() {
    let (mut core, orders) = started();
    for id in 0..WINDOW + 30 {
        opens(
            &mut core,
            &orders,
            id,
            if id % 2 == 0 { "acme" } else { "bright" },
            LONG,
        );
    }
    let waiting = core.admission.queued();
    assert_eq!(waiting, 30);
    replace(
        &mut core,
        site(
            &[("new", "fragile"), ("chat", "dedup"), ("more", "retryable")],
            |_| {},
        ),
    );
    assert_eq!(core.admission.queued(), waiting, "nobody gave way");
    assert!(
        (0..WINDOW + 30).all(|id| orders.of(id).1 == 0),
        "nobody was answered"
    );
    for id in 0..WINDOW {
        core.handle_input(CoreInput::AttemptEstablished(id));
    }
    let under_way = (0..WINDOW + 30).filter(|id| orders.of(*id).0 == 1).count() as u64;
    assert!(under_way > WINDOW, "turns are given as before: {under_way}");
    for id in 0..WINDOW + 30 {
        core.handle_input(CoreInput::ClientLeft(id));
    }
    assert_eq!((core.requests.len(), core.admission.queued()), (0, 0));
}

#[test]
fn those_who_wait_have_turns_by_the_new_shares() {
    let (mut core, orders) = started();
    for id in 0..WINDOW {
        opens(&mut core, &orders, id, "acme", LONG);
    }
    for id in 100..200 {
        opens(
            &mut core,
            &orders,
            id,
            if id % 2 == 0 { "acme" } else { "bright" },
            LONG,
        );
    }
    let shares = |site: &mut Value| {
        site["projects"] =
            json!([{"name": "bright", "share": 0.9}, {"name": "acme", "share": 0.1}]);
    };
    replace(&mut core, site(&[("chat", "retryable")], shares));
    for id in 0..WINDOW {
        core.handle_input(CoreInput::AttemptEstablished(id));
    }
    for id in 100..200 {
        if orders.of(id).0 == 1 && under_way(&orders) < WINDOW + 40 {
            core.handle_input(CoreInput::AttemptEstablished(id));
        }
    }
    let of = |rest: u64| {
        (100..200)
            .filter(|id| id % 2 == rest && orders.of(*id).0 == 1)
            .count()
    };
    let (acme, bright) = (of(0), of(1));
    assert!(
        acme + bright >= 10 && acme * 4 <= bright,
        "{acme} of acme's, {bright} of bright's"
    );
}

fn under_way(orders: &Orders) -> u64 {
    (0..200).filter(|id| orders.of(*id).0 == 1).count() as u64
}

#[test]
fn whoever_has_had_the_new_limit_of_attempts_is_answered_at_once() {
    let (mut core, orders) = started();
    for id in 0..3 {
        opens(&mut core, &orders, id, "acme", LONG);
    }
    core.handle_input(CoreInput::AttemptEnded {
        id: 0,
        outcome: AttemptOutcome::Rejected,
        duration: SOON,
    });
    replace(
        &mut core,
        site(&[("chat", "retryable")], |site| {
            site["policy-limits"]["max-attempts"] = json!(1)
        }),
    );
    assert_eq!(orders.of(0), (1, 1), "it waited for a second attempt");
    assert_eq!([orders.of(1), orders.of(2)], [(1, 0); 2]);
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Rejected,
        duration: SOON,
    });
    assert_eq!(orders.of(1), (1, 1));
    core.handle_input(CoreInput::AttemptEstablished(2));
    assert_eq!(orders.of(2), (1, 0));
}

#[test]
fn zones_are_numbered_anew_together_with_their_servers() {
    let (mut core, orders) = started();
    let zones = |names: Value, own: u32| {
        move |site: &mut Value| {
            (site["zones"], site["zone"]) = (names.clone(), json!(own));
            site["prices"] = json!({"cross-zone": 1.0});
        }
    };
    let with_zone =
        |name: &str, zone: &str| row(name).replace('}', &format!(r#","zone":"{zone}"}}"#));
    replace(
        &mut core,
        site(&[("chat", "retryable")], zones(json!(["east", "west"]), 0)),
    );
    let rows = [with_zone("s1", "west"), with_zone("s2", "east")].join(",");
    core.apply_list(list(&rows), false);
    let count = |orders: &Orders, ids: std::ops::Range<u64>, server: &str| {
        let words = orders.words();
        ids.filter(|id| words.contains(&format!("{id} StartAttempt to {server}\n")))
            .count()
    };
    for id in 0..10 {
        opens(&mut core, &orders, id, "acme", LONG);
        core.handle_input(CoreInput::AttemptEstablished(id));
    }
    assert!(count(&orders, 0..10, "s2") >= 9, "{}", orders.words());
    // The own zone is the other one now, and has the number that the first one had.
    replace(
        &mut core,
        site(&[("chat", "retryable")], zones(json!(["west", "east"]), 0)),
    );
    for id in 100..110 {
        opens(&mut core, &orders, id, "acme", LONG);
        core.handle_input(CoreInput::AttemptEstablished(id));
    }
    assert!(count(&orders, 100..110, "s1") >= 6, "{}", orders.words());
}

#[test]
fn figures_that_other_threads_read_follow() {
    let (mut core, _) = started();
    assert_eq!(core.timeouts.slow(), Duration::from_nanos(u64::MAX));
    let change = |site: &mut Value| {
        site["family-info"] = json!({"message-aim-ns": [90_000_000]});
        site["policy-limits"]["connect-timeout-ns"] = json!(70_000_000);
    };
    replace(&mut core, site(&[("chat", "retryable")], change));
    assert_eq!(core.timeouts.slow(), Duration::from_millis(30));
    assert_eq!(core.timeouts.connect_timeout(), Duration::from_millis(70));
    // Nothing of it is left when the file says nothing any more.
    replace(&mut core, site(&[("chat", "retryable")], |_| {}));
    assert_eq!(core.timeouts.slow(), Duration::from_nanos(u64::MAX));
    assert_eq!(
        core.timeouts.connect_timeout(),
        Duration::from_millis(300),
        "the aim of the quickest class"
    );
}

#[test]
fn a_module_that_panics_after_a_replacement_starts_anew_by_the_settings_in_force() {
    let (mut core, orders) = started();
    opens(&mut core, &orders, 0, "acme", LONG);
    core.handle_input(CoreInput::AttemptEstablished(0));
    let now = replace(&mut core, site(&[("once", "fragile")], |_| {}));
    core.restart_policy();
    admits(&mut core, &orders, 1, now.class("once").expect("there"));
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Reset,
        duration: SOON,
    });
    assert_eq!(orders.of(1), (1, 1));
    core.handle_input(CoreInput::AttemptEnded {
        id: 0,
        outcome: AttemptOutcome::Served,
        duration: SOON,
    });
    assert_eq!(core.requests.len(), 0);
}

#[test]
fn settings_replaced_on_standby_hold_when_clients_are_taken_again() {
    let (mut core, orders) = started();
    for word in [
        LifecycleCommand::SetListening(true),
        LifecycleCommand::ServersKnown,
    ] {
        core.on_lifecycle_command(word)
            .expect("no order of an operator's");
    }
    opens(&mut core, &orders, 0, "acme", LONG);
    core.handle_input(CoreInput::AttemptEstablished(0));
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("it serves");
    let now = replace(&mut core, site(&[("once", "fragile")], |_| {}));
    assert_eq!(
        (orders.moves(0), orders.of(0)),
        (0, (1, 0)),
        "moved in its turn, and not for the settings"
    );
    core.on_lifecycle_command(LifecycleCommand::LeaveStandby)
        .expect("it stands by");
    admits(&mut core, &orders, 1, now.class("once").expect("there"));
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Reset,
        duration: SOON,
    });
    assert_eq!(orders.of(1), (1, 1));
    core.handle_input(CoreInput::AttemptEnded {
        id: 0,
        outcome: AttemptOutcome::Served,
        duration: SOON,
    });
    assert_eq!(core.requests.len(), 0);
}
