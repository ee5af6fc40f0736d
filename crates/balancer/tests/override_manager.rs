//! The manager of overrides without a front: its store, its clocks and failures of the store.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_balancer::clock::Clock;
use beaconflow_balancer::overrides::{OverrideError, OverrideManager, OverridesConfig, restore};
use beaconflow_overrides::{Draft, Limits, Millis, Override, OverrideId, OverrideKind};
use beaconflow_store::{OverrideStore, StoreError};

const HOUR_MS: i64 = 3_600_000;

/// A wall clock whose offset from the program's clock the test sets.
#[derive(Clone, Default)]
struct WallClock(Arc<AtomicI64>);

impl WallClock {
    fn set_offset(&self, offset_ms: i64) {
        self.0.store(offset_ms, Ordering::Relaxed);
    }
}

struct Fixture {
    directory: tempfile::TempDir,
    clock: Clock,
    wall_clock: WallClock,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture {
            directory: tempfile::tempdir().expect("create a temporary directory"),
            clock: Clock::start(),
            wall_clock: WallClock::default(),
        }
    }

    fn config(&self) -> OverridesConfig {
        let file = Some(self.directory.path().join("overrides.redb"));
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
        let read = move || {
            (clock.now() / 1_000_000).saturating_add_signed(wall_clock.0.load(Ordering::Relaxed))
        };
        let restored = restore(&config, self.clock);
        OverrideManager::new(
            restored,
            Vec::new(),
            self.clock,
            config.limits,
            Box::new(read),
        )
    }

    fn draft(&self, server: &str, duration_ms: Millis) -> Draft {
        let kind = OverrideKind::Out {
            server: server.into(),
            moves_per_s: None,
        };
        Draft {
            kind,
            who: "ada".into(),
            why: "why".into(),
            expires_at: self.now() + duration_ms,
        }
    }
}

/// A step of the wall clock must neither end an override early nor extend it.
#[test]
fn wall_clock_step_keeps_override_duration() {
    let fixture = Fixture::new();
    for offset_ms in [HOUR_MS, -HOUR_MS, 0] {
        let manager = fixture.manager();
        let long = manager
            .add(fixture.draft("long", 600_000), false, None)
            .expect("the store accepts the change")
            .view;
        let short = manager
            .add(fixture.draft("short", 300), false, None)
            .expect("the store accepts the change")
            .view;
        fixture.wall_clock.set_offset(offset_ms);
        manager.run_due_tasks();
        // The clocks are not read at the same instant, so that the offset may differ by 1 ms.
        let reported_offset_ms = manager.wall_ahead();
        assert!(
            reported_offset_ms.abs_diff(offset_ms) < 1_000,
            "the reported offset is {reported_offset_ms} ms instead of {offset_ms} ms"
        );
        let current = manager
            .get(long.record.id)
            .expect("the long override is still in force");
        assert!(
            current.remaining_ms <= long.remaining_ms
                && current.remaining_ms + 5_000 > long.remaining_ms
        );
        // Operators see the expiry in wall-clock time.
        assert_eq!(
            current.record.expires_at,
            long.record
                .expires_at
                .saturating_add_signed(reported_offset_ms)
        );
        std::thread::sleep(Duration::from_millis(310));
        assert!(
            manager.get(short.record.id).is_none(),
            "the override has expired"
        );
        // The stored override expires at the same time, by the wall clock as read after a restart.
        drop(manager);
        let (store, contents) =
            beaconflow_store::open(&fixture.config().file.expect("a store file is configured"))
                .expect("open the store");
        let stored = contents
            .overrides
            .iter()
            .find(|stored| stored.id == long.record.id)
            .expect("the override is stored");
        assert_eq!(stored.expires_at, current.record.expires_at);
        drop(store);
        // The next manager reads the stepped clock at its start, so that its offset is 0.
        fixture.wall_clock.set_offset(0);
        let mut store =
            beaconflow_store::open(&fixture.config().file.expect("a store file is configured"))
                .expect("open the store")
                .0;
        store
            .delete(&[long.record.id, short.record.id])
            .expect("write to the store");
    }
}

#[test]
fn expiry_in_wall_time_follows_wall_clock() {
    let fixture = Fixture::new();
    let manager = fixture.manager();
    fixture.wall_clock.set_offset(HOUR_MS);
    manager.run_due_tasks();
    // Ten minutes from now, as read from the stepped wall clock.
    let wall_expires_at = fixture.now() + HOUR_MS as Millis + 600_000;
    let draft = Draft {
        expires_at: manager.from_wall(wall_expires_at),
        ..fixture.draft("s", 1)
    };
    let view = manager
        .add(draft, false, None)
        .expect("the store accepts the change")
        .view;
    assert!(
        view.remaining_ms <= 600_000 && view.remaining_ms > 590_000,
        "{}",
        view.remaining_ms
    );
    assert!(view.record.expires_at.abs_diff(wall_expires_at) < 1_000);
}

/// A store whose writes fail on request and which records what was written.
#[derive(Clone, Default)]
struct FailingStore(Arc<Mutex<(bool, Vec<Override>)>>);

impl OverrideStore for FailingStore {
    fn put(&mut self, all: &[Override]) -> Result<(), StoreError> {
        let mut state = self.0.lock().expect("lock the store's state");
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
        OverrideId(1 + self.0.lock().expect("lock the store's state").1.len() as u64)
    }
}

/// A change that is not durable would be lost at the next start, so that it must not take effect.
#[test]
fn failed_store_write_has_no_effect() {
    let (fixture, store) = (Fixture::new(), FailingStore::default());
    let limits = Limits::default();
    let restored =
        beaconflow_balancer::overrides::RestoredOverrides::empty(Box::new(store.clone()), limits);
    let manager = OverrideManager::new(restored, Vec::new(), fixture.clock, limits, Box::new(|| 0));
    let existing = manager
        .add(fixture.draft("a", 60_000), false, None)
        .expect("the store accepts the change")
        .view;
    store.0.lock().expect("lock the store's state").0 = true;
    assert!(matches!(
        manager.add(fixture.draft("b", 60_000), false, None),
        Err(OverrideError::Store(_))
    ));
    assert!(matches!(
        manager.remove(existing.record.id, None),
        Err(OverrideError::Store(_))
    ));
    assert!(matches!(
        manager.extend(existing.record.id, fixture.now() + 90_000, None),
        Err(OverrideError::Store(_))
    ));
    let all = manager.list();
    assert_eq!((all.len(), all[0].record.revision), (1, 1));
    // Changes succeed again once the store accepts writes.
    store.0.lock().expect("lock the store's state").0 = false;
    assert_eq!(
        manager
            .remove(existing.record.id, Some(1))
            .expect("the store accepts the change")
            .view
            .record
            .revision,
        2
    );
    assert!(manager.list().is_empty());
}

#[test]
fn removes_overrides_that_expired_while_stopped() {
    let fixture = Fixture::new();
    let file = fixture.config().file.expect("a store file is configured");
    let (mut store, _) = beaconflow_store::open(&file).expect("open the store");
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
    let (store, contents) = beaconflow_store::open(&file).expect("open the store");
    let remaining: Vec<OverrideId> = contents.overrides.iter().map(|stored| stored.id).collect();
    assert_eq!(
        (remaining, store.next_id()),
        (vec![OverrideId(2)], OverrideId(3))
    );
}

#[test]
fn rejects_overrides_without_store_and_gives_reason() {
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
    assert!(!manager.about().is_persistent);
    match manager.add(fixture.draft("a", 60_000), false, None) {
        Err(OverrideError::NoStore(reason)) => {
            assert!(reason.contains("no store is set"), "{reason}")
        }
        other => panic!("expected the error NoStore, got {other:?}"),
    }
}

#[test]
fn handles_ten_thousand_overrides() {
    let fixture = Fixture::new();
    let manager = fixture.manager();
    // All are written in one transaction: one fsync each would take minutes on a slow disk.
    drop(manager);
    let (mut store, _) =
        beaconflow_store::open(&fixture.config().file.expect("a store file is configured"))
            .expect("open the store");
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
        .expect("the store accepts the change");
    assert_eq!(
        manager
            .add(fixture.draft("one more", 60_000), false, None)
            .expect("the store accepts the change")
            .view
            .record
            .id,
        OverrideId(10_001)
    );
    assert_eq!(manager.list().len(), 10_000);
}
