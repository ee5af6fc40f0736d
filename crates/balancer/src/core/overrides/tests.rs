//! Tests of overrides in the core.

use beaconflow_overrides::{Draft, OverrideKind, Strictness, Subject};
use beaconflow_policy::ServerState;
use beaconflow_settings::digest;

use super::super::testing::{core, list, row};
use super::*;
use crate::clock::Clock;

fn effective_states(core: &Core) -> Vec<ServerState> {
    core.snapshot()
        .servers
        .iter()
        .map(|server| server.state.1)
        .collect()
}

/// A list or a request may be handled after an override expired and before its timer fires.
#[test]
fn ignores_expired_override_before_its_timer_fires() {
    let clock = Clock::start();
    let now = clock.now() / 1_000_000;
    let mut overrides = OverrideSet::new(0);
    for (id, kind) in [
        OverrideKind::Out {
            server: "s0".into(),
            moves_per_s: None,
        },
        OverrideKind::Pin {
            subject: Subject::Group("north".into()),
            server: "s0".into(),
            strictness: Strictness::Strict,
        },
    ]
    .into_iter()
    .enumerate()
    {
        let draft = Draft {
            kind,
            who: "ada".into(),
            why: "why".into(),
            expires_at: now + 40,
        };
        overrides.insert(draft.into_override(OverrideId(id as u64 + 1), now));
    }
    let mut core = core(clock, overrides);
    let pin = |core: &Core| {
        core.endpoints
            .pin(Some(digest("north")), None, core.now_ms())
    };
    assert_eq!(
        (effective_states(&core), pin(&core).is_some()),
        (vec![ServerState::OutOfService], true)
    );
    // No timer of the core fires here, since it runs on no thread.
    while core.now_ms() < now + 40 {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(pin(&core), None);
    assert_eq!(
        effective_states(&core),
        [ServerState::OutOfService],
        "the policy has not been updated yet"
    );
    core.apply_list(list(&row("s0")), false);
    assert_eq!(effective_states(&core), [ServerState::Ready]);
    core.on_overrides_timer();
    assert_eq!(effective_states(&core), [ServerState::Ready]);
}

#[test]
fn disables_only_overrides_after_their_panic() {
    let clock = Clock::start();
    let mut overrides = OverrideSet::new(1_000);
    let kind = OverrideKind::Out {
        server: "s0".into(),
        moves_per_s: Some(1.0),
    };
    let now = clock.now() / 1_000_000;
    let draft = Draft {
        kind,
        who: "ada".into(),
        why: "why".into(),
        expires_at: now + 60_000,
    };
    overrides.insert(draft.into_override(OverrideId(1), now));
    let mut core = core(clock, overrides);
    assert_eq!(effective_states(&core), [ServerState::OutOfService]);
    assert!(!core.emptied_servers.is_empty() && core.coverage.all_servers);
    assert_eq!(
        core.with_overrides(|_| -> u8 { panic!("injected panic") }),
        None
    );
    assert_eq!(
        effective_states(&core),
        [ServerState::Ready],
        "the listed state applies without overrides"
    );
    assert!(core.snapshot().has_lost_overrides && core.emptied_servers.is_empty());
    // Later changes are not applied, and their sender gets no confirmation.
    let (reply, replies) = crossbeam_channel::bounded(1);
    core.on_overrides_changed(
        vec![OverrideChange::Forget(vec![OverrideId(1)])],
        Some(reply),
    );
    assert!(replies.try_recv().is_err());
    core.apply_list(list(&[row("s0"), row("s1")].join(",")), false);
    assert_eq!(
        effective_states(&core),
        [ServerState::Ready, ServerState::Ready]
    );
}
