//! The keeper of overrides without a front: its store, its clocks, and what it does when the store fails.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_balancer::clock::Clock;
use beaconflow_balancer::overrides::{OverrideError, OverrideManager, OverridesConfig, restore};
use beaconflow_overrides::{Draft, Limits, Millis, Override, OverrideId, OverrideKind};
use beaconflow_store::{OverrideStore, StoreError};

const HOUR: i64 = 3_600_000;

/// A wall clock that is stepped by hand.
#[derive(Clone, Default)]
struct Wall(Arc<AtomicI64>);

impl Wall {
    fn step_to(&self, ahead: i64) {
        self.0.store(ahead, Ordering::Relaxed);
    }
}

struct Desk {
    folder: tempfile::TempDir,
    clock: Clock,
    wall: Wall,
}

impl Desk {
    fn new() -> Desk {
        Desk {
            folder: tempfile::tempdir().expect("a folder for temporary files"),
            clock: Clock::start(),
            wall: Wall::default(),
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

    fn keeper(&self) -> OverrideManager {
        let config = self.config();
        let (clock, wall) = (self.clock, self.wall.clone());
        let read =
            move || (clock.now() / 1_000_000).saturating_add_signed(wall.0.load(Ordering::Relaxed));
        let restored = restore(&config, self.clock);
        OverrideManager::new(
            restored,
            Vec::new(),
            self.clock,
            config.limits,
            Box::new(read),
        )
    }

    fn draft(&self, server: &str, span: Millis) -> Draft {
        let kind = OverrideKind::Out {
            server: server.into(),
            moves_per_s: None,
        };
        Draft {
            kind,
            who: "ada".into(),
            why: "why".into(),
            expires_at: self.now() + span,
        }
    }
}

#[test]
fn a_step_of_the_wall_clock_neither_ends_an_override_nor_keeps_it() {
    let desk = Desk::new();
    for ahead in [HOUR, -HOUR, 0] {
        let keeper = desk.keeper();
        let long = keeper
            .add(desk.draft("long", 600_000), false, None)
            .expect("kept")
            .view;
        let short = keeper
            .add(desk.draft("short", 300), false, None)
            .expect("kept")
            .view;
        desk.wall.step_to(ahead);
        keeper.run_due_tasks();
        // The two clocks are not read in one instant: a millisecond may begin between them.
        let said = keeper.wall_ahead();
        assert!(said.abs_diff(ahead) < 1_000, "{said} is said of {ahead}");
        let seen = keeper.get(long.record.id).expect("it holds on");
        assert!(
            seen.remaining_ms <= long.remaining_ms && seen.remaining_ms + 5_000 > long.remaining_ms
        );
        // People see it end by the clock that they read.
        assert_eq!(
            seen.record.expires_at,
            long.record.expires_at.saturating_add_signed(said)
        );
        std::thread::sleep(Duration::from_millis(310));
        assert!(keeper.get(short.record.id).is_none(), "its span is over");
        // What is on the disk ends at the same moment, by the wall clock as it is after a restart.
        drop(keeper);
        let (store, contents) =
            beaconflow_store::open(&desk.config().file.expect("set")).expect("free");
        let kept = contents
            .overrides
            .iter()
            .find(|one| one.id == long.record.id)
            .expect("kept");
        assert_eq!(kept.expires_at, seen.record.expires_at);
        drop(store);
        // The next program reads the stepped clock at its start, so that it is not ahead of itself.
        desk.wall.step_to(0);
        let mut store = beaconflow_store::open(&desk.config().file.expect("set"))
            .expect("free")
            .0;
        store
            .delete(&[long.record.id, short.record.id])
            .expect("durable");
    }
}

#[test]
fn an_end_given_by_the_wall_clock_is_meant_by_the_wall_clock() {
    let desk = Desk::new();
    let keeper = desk.keeper();
    desk.wall.step_to(HOUR);
    keeper.run_due_tasks();
    // Ten minutes from now, as a person reads it off the stepped clock.
    let given = desk.now() + HOUR as Millis + 600_000;
    let draft = Draft {
        expires_at: keeper.from_wall(given),
        ..desk.draft("s", 1)
    };
    let shown = keeper.add(draft, false, None).expect("kept").view;
    assert!(
        shown.remaining_ms <= 600_000 && shown.remaining_ms > 590_000,
        "{}",
        shown.remaining_ms
    );
    assert!(shown.record.expires_at.abs_diff(given) < 1_000);
}

/// A store that fails when it is told to, and counts what it was given.
#[derive(Clone, Default)]
struct Failing(Arc<Mutex<(bool, Vec<Override>)>>);

impl OverrideStore for Failing {
    fn put(&mut self, all: &[Override]) -> Result<(), StoreError> {
        let mut state = self.0.lock().expect("sound");
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
        OverrideId(1 + self.0.lock().expect("sound").1.len() as u64)
    }
}

#[test]
fn what_could_not_be_made_durable_has_no_effect() {
    let (desk, store) = (Desk::new(), Failing::default());
    let limits = Limits::default();
    let restored =
        beaconflow_balancer::overrides::RestoredOverrides::empty(Box::new(store.clone()), limits);
    let keeper = OverrideManager::new(restored, Vec::new(), desk.clock, limits, Box::new(|| 0));
    let held = keeper
        .add(desk.draft("a", 60_000), false, None)
        .expect("kept")
        .view;
    store.0.lock().expect("sound").0 = true;
    assert!(matches!(
        keeper.add(desk.draft("b", 60_000), false, None),
        Err(OverrideError::Store(_))
    ));
    assert!(matches!(
        keeper.remove(held.record.id, None),
        Err(OverrideError::Store(_))
    ));
    assert!(matches!(
        keeper.extend(held.record.id, desk.now() + 90_000, None),
        Err(OverrideError::Store(_))
    ));
    let all = keeper.list();
    assert_eq!((all.len(), all[0].record.revision), (1, 1));
    // Once there is room again, all goes on.
    store.0.lock().expect("sound").0 = false;
    assert_eq!(
        keeper
            .remove(held.record.id, Some(1))
            .expect("kept")
            .view
            .record
            .revision,
        2
    );
    assert!(keeper.list().is_empty());
}

#[test]
fn what_ended_while_no_program_ran_leaves_the_file_at_the_next_start() {
    let desk = Desk::new();
    let file = desk.config().file.expect("set");
    let (mut store, _) = beaconflow_store::open(&file).expect("free");
    let now = desk.now();
    let ended = Draft {
        expires_at: now - 30_000,
        ..desk.draft("ended", 1)
    }
    .into_override(OverrideId(1), now - 60_000);
    store
        .put(&[
            ended,
            desk.draft("holds", 60_000)
                .into_override(OverrideId(2), now),
        ])
        .expect("durable");
    drop(store);
    let keeper = desk.keeper();
    assert_eq!(keeper.list().len(), 1);
    drop(keeper);
    let (store, contents) = beaconflow_store::open(&file).expect("free");
    let left: Vec<OverrideId> = contents.overrides.iter().map(|one| one.id).collect();
    assert_eq!(
        (left, store.next_id()),
        (vec![OverrideId(2)], OverrideId(3))
    );
}

#[test]
fn without_a_store_none_are_taken_and_it_is_said_why() {
    let desk = Desk::new();
    let config = OverridesConfig {
        file: None,
        limits: Limits::default(),
    };
    let keeper = OverrideManager::new(
        restore(&config, desk.clock),
        Vec::new(),
        desk.clock,
        config.limits,
        Box::new(|| 0),
    );
    assert!(!keeper.about().is_persistent);
    match keeper.add(desk.draft("a", 60_000), false, None) {
        Err(OverrideError::NoStore(why)) => assert!(why.contains("no store is set"), "{why}"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn ten_thousand_overrides_are_kept_listed_and_ended() {
    let desk = Desk::new();
    let keeper = desk.keeper();
    // Written in one go, as a store may hold them: one fsync each would take minutes on a slow disk.
    drop(keeper);
    let (mut store, _) = beaconflow_store::open(&desk.config().file.expect("set")).expect("free");
    let now = desk.now();
    let all: Vec<Override> = (1..=10_000)
        .map(|id| {
            desk.draft(&format!("s{id}"), 60_000)
                .into_override(OverrideId(id), now)
        })
        .collect();
    store.put(&all).expect("durable");
    drop(store);
    let keeper = desk.keeper();
    assert_eq!(keeper.list().len(), 10_000);
    assert!(matches!(
        keeper.add(desk.draft("one more", 60_000), false, None),
        Err(OverrideError::Full(10_000))
    ));
    keeper.remove(OverrideId(5_000), None).expect("kept");
    assert_eq!(
        keeper
            .add(desk.draft("one more", 60_000), false, None)
            .expect("kept")
            .view
            .record
            .id,
        OverrideId(10_001)
    );
    assert_eq!(keeper.list().len(), 10_000);
}
