//! Tests of the override manager without a front: its store, its clocks and failures of the store.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_balancer::clock::Clock;
use beaconflow_balancer::overrides::{OverrideError, OverrideManager, OverridesConfig, restore};
use beaconflow_overrides::{Draft, Limits, Millis, Override, OverrideId, OverrideKind};
use beaconflow_store::{OverrideStore, StoreError};

const HOUR_MS: i64 = 3_600_000;

/// A wall clock that a test can step.
#[derive(Clone, Default)]
struct TestWallClock(Arc<AtomicI64>);

impl TestWallClock {
    fn step_to(&self, step_ms: i64) {
        self.0.store(step_ms, Ordering::Relaxed);
    }
}

struct Fixture {
    folder: tempfile::TempDir,
    clock: Clock,
    wall_clock: TestWallClock,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture {
            folder: tempfile::tempdir().expect("create a temporary directory"),
            clock: Clock::start(),
            wall_clock: TestWallClock::default(),
        }
    }

    fn config(&self) -> OverridesConfig {
        let file = Some(self.folder.path().join("overrides.redb"));
        OverridesConfig {
            file,
            limits: Limits {
                ramp_ms: 100,
                ..Limits::default()
            },
        }
    }

    fn now(&self) -> Millis {
        self.clock.now() / 1_000_000
    }

    fn manager(&self) -> OverrideManager {
        let config = self.config();
        let (clock, wall_clock) = (self.clock, self.wall_clock.clone());
        let wall_clock_ms = move || {
            (clock.now() / 1_000_000).saturating_add_signed(wall_clock.0.load(Ordering::Relaxed))
        };
        let restored = restore(&config, self.clock);
        OverrideManager::new(
            restored,
            Vec::new(),
            self.clock,
            config.limits,
            Box::new(wall_clock_ms),
        )
    }

    fn draft(&self, server: &str, duration: Millis) -> Draft {
        let kind = OverrideKind::Out {
            server: server.into(),
            moves_per_s: None,
        };
        Draft {
            kind,
            who: "ada".into(),
            why: "why".into(),
            expires_at: self.now() + duration,
        }
    }
}

#[test]
fn wall_clock_step_changes_no_override_duration() {
    let fixture = Fixture::new();
    for step_ms in [HOUR_MS, -HOUR_MS, 0] {
        let manager = fixture.manager();
        let long = manager
            .add(fixture.draft("long", 600_000), false, None)
            .expect("change is accepted")
            .view;
        let short = manager
            .add(fixture.draft("short", 300), false, None)
            .expect("change is accepted")
            .view;
        fixture.wall_clock.step_to(step_ms);
        manager.run_due_tasks();
        // The two clocks are read one after the other, so the offset may differ by a millisecond.
        let offset_ms = manager.wall_clock_offset_ms();
        assert!(
            offset_ms.abs_diff(step_ms) < 1_000,
            "offset {offset_ms} ms differs from the step {step_ms} ms"
        );
        let view = manager
            .get(long.record.id)
            .expect("the override is still active");
        assert!(
            view.remaining_ms <= long.remaining_ms && view.remaining_ms + 5_000 > long.remaining_ms
        );
        // The displayed expiry follows the stepped wall clock.
        assert_eq!(
            view.record.expires_at,
            long.record.expires_at.saturating_add_signed(offset_ms)
        );
        std::thread::sleep(Duration::from_millis(310));
        assert!(
            manager.get(short.record.id).is_none(),
            "the override has expired"
        );
        // The stored expiry is the same moment on the stepped wall clock, which a restart reads.
        drop(manager);
        let (store, contents) =
            beaconflow_store::open(&fixture.config().file.expect("store file is configured"))
                .expect("store is not in use");
        let stored = contents
            .overrides
            .iter()
            .find(|record| record.id == long.record.id)
            .expect("the override is stored");
        assert_eq!(stored.expires_at, view.record.expires_at);
        drop(store);
        // A new manager starts with no offset, since it reads the stepped clock at its start.
        fixture.wall_clock.step_to(0);
        let mut store =
            beaconflow_store::open(&fixture.config().file.expect("store file is configured"))
                .expect("store is not in use")
                .0;
        store
            .delete(&[long.record.id, short.record.id])
            .expect("write to the store");
    }
}

#[test]
fn wall_clock_expiry_is_converted_after_clock_step() {
    let fixture = Fixture::new();
    let manager = fixture.manager();
    fixture.wall_clock.step_to(HOUR_MS);
    manager.run_due_tasks();
    // Ten minutes from now on the stepped wall clock.
    let expires_at_wall_ms = fixture.now() + HOUR_MS as Millis + 600_000;
    let draft = Draft {
        expires_at: manager.from_wall_clock(expires_at_wall_ms),
        ..fixture.draft("s", 1)
    };
    let shown = manager
        .add(draft, false, None)
        .expect("change is accepted")
        .view;
    assert!(
        shown.remaining_ms <= 600_000 && shown.remaining_ms > 590_000,
        "{}",
        shown.remaining_ms
    );
    assert!(shown.record.expires_at.abs_diff(expires_at_wall_ms) < 1_000);
}

/// A store whose writes can be made to fail, and that records what was written.
#[derive(Clone, Default)]
struct FailingStore(Arc<Mutex<(bool, Vec<Override>)>>);

impl OverrideStore for FailingStore {
    fn put(&mut self, all: &[Override]) -> Result<(), StoreError> {
        let mut state = self.0.lock().expect("lock is not poisoned");
        if state.0 {
            return Err(StoreError("no space left on device".into()));
        }
        state.1.extend_from_slice(all);
        Ok(())
    }

    fn delete(&mut self, _: &[OverrideId]) -> Result<(), StoreError> {
        Ok(())
    }

    fn next_id(&self) -> OverrideId {
        OverrideId(1 + self.0.lock().expect("lock is not poisoned").1.len() as u64)
    }
}

#[test]
fn change_has_no_effect_when_store_write_fails() {
    let (fixture, store) = (Fixture::new(), FailingStore::default());
    let limits = Limits::default();
    let restored =
        beaconflow_balancer::overrides::RestoredOverrides::empty(Box::new(store.clone()), limits);
    let manager = OverrideManager::new(restored, Vec::new(), fixture.clock, limits, Box::new(|| 0));
    let view = manager
        .add(fixture.draft("a", 60_000), false, None)
        .expect("change is accepted")
        .view;
    store.0.lock().expect("lock is not poisoned").0 = true;
    assert!(matches!(
        manager.add(fixture.draft("b", 60_000), false, None),
        Err(OverrideError::Store(_))
    ));
    assert!(matches!(
        manager.remove(view.record.id, None),
        Err(OverrideError::Store(_))
    ));
    assert!(matches!(
        manager.extend(view.record.id, fixture.now() + 90_000, None),
        Err(OverrideError::Store(_))
    ));
    let all = manager.list();
    assert_eq!((all.len(), all[0].record.revision), (1, 1));
    // Changes succeed again once the store accepts writes.
    store.0.lock().expect("lock is not poisoned").0 = false;
    assert_eq!(
        manager
            .remove(view.record.id, Some(1))
            .expect("change is accepted")
            .view
            .record
            .revision,
        2
    );
    assert!(manager.list().is_empty());
}

#[test]
fn restore_deletes_overrides_expired_during_downtime() {
    let fixture = Fixture::new();
    let file = fixture.config().file.expect("store file is configured");
    let (mut store, _) = beaconflow_store::open(&file).expect("store is not in use");
    let now = fixture.now();
    let expired = Draft {
        expires_at: now - 30_000,
        ..fixture.draft("ended", 1)
    }
    .into_override(OverrideId(1), now - 60_000);
    store
        .put(&[
            expired,
            fixture
                .draft("holds", 60_000)
                .into_override(OverrideId(2), now),
        ])
        .expect("write to the store");
    drop(store);
    let manager = fixture.manager();
    assert_eq!(manager.list().len(), 1);
    drop(manager);
    let (store, contents) = beaconflow_store::open(&file).expect("store is not in use");
    let remaining: Vec<OverrideId> = contents.overrides.iter().map(|record| record.id).collect();
    assert_eq!(
        (remaining, store.next_id()),
        (vec![OverrideId(2)], OverrideId(3))
    );
}

#[test]
fn add_is_refused_with_reason_without_store() {
    let fixture = Fixture::new();
    let config = OverridesConfig {
        file: None,
        limits: Limits::default(),
    };
    let manager = OverrideManager::new(
        restore(&config, fixture.clock),
        Vec::new(),
        fixture.clock,
        config.limits,
        Box::new(|| 0),
    );
    assert!(!manager.store_status().is_persistent);
    match manager.add(fixture.draft("a", 60_000), false, None) {
        Err(OverrideError::NoStore(why)) => assert!(why.contains("no store is set"), "{why}"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn ten_thousand_overrides_are_restored_listed_and_removed() {
    let fixture = Fixture::new();
    let manager = fixture.manager();
    // Written in one batch: one fsync for each would take minutes on a slow disk.
    drop(manager);
    let (mut store, _) =
        beaconflow_store::open(&fixture.config().file.expect("store file is configured"))
            .expect("store is not in use");
    let now = fixture.now();
    let all: Vec<Override> = (1..=10_000)
        .map(|id| {
            fixture
                .draft(&format!("s{id}"), 60_000)
                .into_override(OverrideId(id), now)
        })
        .collect();
    store.put(&all).expect("write to the store");
    drop(store);
    let manager = fixture.manager();
    assert_eq!(manager.list().len(), 10_000);
    assert!(matches!(
        manager.add(fixture.draft("one more", 60_000), false, None),
        Err(OverrideError::Full(10_000))
    ));
    manager
        .remove(OverrideId(5_000), None)
        .expect("change is accepted");
    assert_eq!(
        manager
            .add(fixture.draft("one more", 60_000), false, None)
            .expect("change is accepted")
            .view
            .record
            .id,
        OverrideId(10_001)
    );
    assert_eq!(manager.list().len(), 10_000);
}
