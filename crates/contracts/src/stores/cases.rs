//! Cases that apply to every store.

use std::time::{Duration, Instant};

use super::{
    CaseFn, CaseResult, ClearMethod, Durability, NewerSchema, Rows, Store, StoreError, StoreFault,
    Subject, SubjectFactory, UnsyncedLoss,
};

pub(super) const CASES: &[(&str, CaseFn)] = &[
    ("last change persists", last_change_persists),
    ("put is durable on return", put_is_durable_on_return),
    ("batch is atomic", batch_is_atomic),
    ("power loss at each write", power_loss_at_each_write),
    ("power loss while opening", power_loss_while_opening),
    ("full", |make_subject| {
        rejects_writes_and_recovers(make_subject, StoreFault::Full)
    }),
    ("read-only", |make_subject| {
        rejects_writes_and_recovers(make_subject, StoreFault::ReadOnly)
    }),
    ("slow writes", slow_writes),
    ("cleared while open", cleared_while_open),
    ("newer data is preserved", newer_data_is_preserved),
    ("second open", second_open),
];

/// Longer than any operation in these cases takes.
const TIMEOUT: Duration = Duration::from_secs(10);
/// More writes than any case makes.
const MAX_WRITES: u64 = 10_000;

macro_rules! ensure {
    ($condition:expr, $($message:tt)+) => {
        if !$condition {
            return Err(format!($($message)+));
        }
    };
}
pub(super) use ensure;

pub(super) fn rows<const N: usize>(all: [(u64, &str); N]) -> Rows {
    all.into_iter()
        .map(|(key, value)| (key, value.to_owned()))
        .collect()
}

pub(super) fn with_context<T>(operation: &str, result: Result<T, StoreError>) -> Result<T, String> {
    result.map_err(|error| format!("{operation}: {error}"))
}

/// Opens a store, and retries while it is unavailable.
pub(super) fn open(subject: &dyn Subject) -> Result<(Box<dyn Store>, Rows), String> {
    retry("opening the store without faults", || subject.open())
}

/// Retries an operation while the store is unavailable: a store may notice late that a fault is over.
pub(super) fn retry<T>(
    operation: &str,
    mut run: impl FnMut() -> Result<T, StoreError>,
) -> Result<T, String> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match run() {
            Err(StoreError::Unavailable(_)) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(20))
            }
            result => return with_context(operation, result),
        }
    }
}

/// Puts rows without a fault. Retries when the store is remote, as a server on a loaded machine may time out.
pub(super) fn put(subject: &dyn Subject, store: &mut dyn Store, rows: &Rows) -> CaseResult {
    match subject.properties().is_remote {
        true => retry("put", || store.put(rows)),
        false => with_context("put", store.put(rows)),
    }
}

/// Removes a row without a fault. Retries when the store is remote.
fn remove(subject: &dyn Subject, store: &mut dyn Store, key: u64) -> CaseResult {
    match subject.properties().is_remote {
        true => retry("remove", || store.remove(key)),
        false => with_context("remove", store.remove(key)),
    }
}

/// Opens the store and returns the rows it contains.
pub(super) fn read_rows(subject: &dyn Subject) -> Result<Rows, String> {
    open(subject).map(|(_, rows)| rows)
}

/// Checks that opening the store during a fault either fails or returns the expected rows.
fn ensure_rows_or_refused(subject: &dyn Subject, expected: &Rows) -> CaseResult {
    match subject.open() {
        Ok((_, found)) => {
            ensure!(
                found == *expected,
                "opened during a fault, the store contains {found:?}, not {expected:?}"
            );
            Ok(())
        }
        Err(_) => Ok(()),
    }
}

/// Reduces rows to a batch that the store puts atomically: one row if it has no atomic batches.
fn limit_batch(subject: &dyn Subject, all: Rows) -> Rows {
    let max_rows = if subject.properties().has_atomic_batches {
        usize::MAX
    } else {
        1
    };
    all.into_iter().take(max_rows).collect()
}

fn last_change_persists(make_subject: SubjectFactory<'_>) -> CaseResult {
    let subject = make_subject();
    let (mut store, before) = open(&*subject)?;
    ensure!(before.is_empty(), "a new store contains {before:?}");
    for (key, value) in [(1, "a"), (2, "b"), (1, "c"), (3, "d")] {
        put(&*subject, &mut *store, &rows([(key, value)]))?;
    }
    remove(&*subject, &mut *store, 3)?;
    put(&*subject, &mut *store, &rows([(3, "e")]))?;
    remove(&*subject, &mut *store, 2)?;
    drop(store);
    let found = read_rows(&*subject)?;
    ensure!(
        found == rows([(1, "c"), (3, "e")]),
        "reopened, the store contains {found:?}"
    );
    Ok(())
}

fn put_is_durable_on_return(make_subject: SubjectFactory<'_>) -> CaseResult {
    for puts in 1..=3_u64 {
        let subject = make_subject();
        let (mut store, _) = open(&*subject)?;
        let mut states = vec![Rows::new()];
        for key in 1..=puts {
            put(&*subject, &mut *store, &rows([(key, "value")]))?;
            states.push((1..=key).map(|key| (key, "value".to_owned())).collect());
        }
        subject.cut_power_after(0);
        drop(store);
        subject.restore_power(UnsyncedLoss::All);
        let found = read_rows(&*subject)?;
        let is_expected = match subject.properties().durability {
            Durability::OnReturn => states.last() == Some(&found),
            Durability::ByServer => states.contains(&found),
        };
        ensure!(
            is_expected,
            "after {puts} puts that returned and a power loss, the store contains {found:?}"
        );
    }
    Ok(())
}

fn batch_is_atomic(make_subject: SubjectFactory<'_>) -> CaseResult {
    let large_batch = |value: &str| {
        (1..=300)
            .map(|key| (key, value.repeat(100)))
            .collect::<Rows>()
    };
    for writes in 1..MAX_WRITES {
        let subject = make_subject();
        let (old, new) = (
            limit_batch(&*subject, large_batch("old")),
            limit_batch(&*subject, large_batch("new")),
        );
        let (mut store, _) = open(&*subject)?;
        put(&*subject, &mut *store, &old)?;
        subject.cut_power_after(writes);
        let result = store.put(&new);
        let lost_power = subject.is_power_off();
        subject.cut_power_after(0);
        drop(store);
        subject.restore_power(UnsyncedLoss::None);
        let found = read_rows(&*subject)?;
        let by_server = subject.properties().durability == Durability::ByServer;
        ensure!(
            found == new || found == old,
            "power loss at write {writes}: the store contains neither the old rows nor the new ones"
        );
        ensure!(
            result.is_err() || found == new || by_server,
            "power loss at write {writes}: the put succeeded but the old rows remain"
        );
        if !lost_power {
            return Ok(());
        }
    }
    Err(format!("still writing after {MAX_WRITES} writes"))
}

type Step = fn(&mut dyn Store) -> Result<(), StoreError>;

/// A sequence of changes, each with the rows expected after it. The store initially contains row 9.
fn change_sequence(subject: &dyn Subject) -> Vec<(Step, Rows)> {
    let mut all: Vec<(Step, Rows)> = vec![
        (
            |store| store.put(&rows([(1, "a")])),
            rows([(1, "a"), (9, "z")]),
        ),
        (
            |store| store.put(&rows([(1, "b")])),
            rows([(1, "b"), (9, "z")]),
        ),
        (|store| store.remove(9), rows([(1, "b")])),
        (
            |store| store.put(&rows([(2, "c")])),
            rows([(1, "b"), (2, "c")]),
        ),
    ];
    if subject.properties().has_atomic_batches {
        all.push((
            |store| store.put(&rows([(2, "d"), (3, "e")])),
            rows([(1, "b"), (2, "d"), (3, "e")]),
        ));
    }
    all
}

const UNSYNCED_LOSSES: [fn(u64) -> UnsyncedLoss; 4] = [
    |_| UnsyncedLoss::None,
    |_| UnsyncedLoss::All,
    |writes| UnsyncedLoss::Partial(writes),
    |writes| UnsyncedLoss::Partial(writes + MAX_WRITES),
];

fn power_loss_at_each_write(make_subject: SubjectFactory<'_>) -> CaseResult {
    for writes in 1..MAX_WRITES {
        for loss in UNSYNCED_LOSSES {
            let subject = make_subject();
            let (mut store, _) = open(&*subject)?;
            put(&*subject, &mut *store, &rows([(9, "z")]))?;
            subject.cut_power_after(writes);
            // A server that saves periodically may lose its last write.
            let mut expected = match subject.properties().durability {
                Durability::OnReturn => vec![rows([(9, "z")])],
                Durability::ByServer => vec![Rows::new(), rows([(9, "z")])],
            };
            for (step, after) in change_sequence(&*subject) {
                // A change that fails may have been applied or not, and ends the sequence.
                let result = step(&mut *store);
                if result.is_ok() && subject.properties().durability == Durability::OnReturn {
                    expected.clear();
                }
                expected.push(after);
                if result.is_err() {
                    break;
                }
            }
            let lost_power = subject.is_power_off();
            subject.cut_power_after(0);
            drop(store);
            subject.restore_power(loss(writes));
            let (mut store, found) = open(&*subject)?;
            ensure!(
                expected.contains(&found),
                "power loss at write {writes}, {:?}: {found:?} is none of {expected:?}",
                loss(writes)
            );
            retry("a put after the power is restored", || {
                store.put(&rows([(5, "on")]))
            })?;
            if !lost_power {
                return Ok(());
            }
        }
    }
    Err(format!("still writing after {MAX_WRITES} writes"))
}

fn power_loss_while_opening(make_subject: SubjectFactory<'_>) -> CaseResult {
    let expected = rows([(1, "a")]);
    for writes in 1..MAX_WRITES {
        for loss in UNSYNCED_LOSSES {
            let subject = make_subject();
            let (mut store, _) = open(&*subject)?;
            put(&*subject, &mut *store, &expected)?;
            // A first power loss gives the store something to recover when it opens.
            subject.cut_power_after(0);
            drop(store);
            subject.restore_power(UnsyncedLoss::None);
            subject.cut_power_after(writes);
            drop(subject.open());
            let lost_power = subject.is_power_off();
            subject.cut_power_after(0);
            subject.restore_power(loss(writes));
            let found = read_rows(&*subject)?;
            ensure!(
                found == expected,
                "power loss at write {writes} of opening, {:?}: the store contains {found:?}",
                loss(writes)
            );
            if !lost_power {
                return Ok(());
            }
        }
    }
    Err(format!("still writing after {MAX_WRITES} writes"))
}

/// With a disk or server that refuses writes, puts fail, existing rows remain, and the store recovers afterwards.
fn rejects_writes_and_recovers(make_subject: SubjectFactory<'_>, fault: StoreFault) -> CaseResult {
    let subject = make_subject();
    let (mut store, _) = open(&*subject)?;
    let mut expected = rows([(1, "a"), (2, "b")]);
    for (key, value) in &expected {
        put(&*subject, &mut *store, &Rows::from([(*key, value.clone())]))?;
    }
    subject.set_fault(fault);
    // Allocated space may suffice for some rows: rows whose put succeeds must persist.
    let mut refused = 0;
    for key in 10..30 {
        let row = Rows::from([(key, "much".repeat(50_000))]);
        match store.put(&row) {
            Ok(()) => expected.extend(row),
            Err(_) => refused += 1,
        }
    }
    ensure!(refused > 0, "no put is refused during the fault");
    if subject.properties().is_remote {
        let found = retry("a read during the fault, which needs no space", || {
            store.rows()
        })?;
        ensure!(
            found == expected,
            "a read during the fault returns unexpected rows"
        );
    }
    drop(store);
    ensure_rows_or_refused(&*subject, &expected)?;
    subject.set_fault(StoreFault::None);
    let (mut store, found) = open(&*subject)?;
    ensure!(
        found == expected,
        "after the fault, the rows differ from those expected: {} rows found, {} expected",
        found.len(),
        expected.len()
    );
    subject.set_fault(fault);
    let big = Rows::from([(40, "much".repeat(500_000))]);
    ensure!(
        store.put(&big).is_err(),
        "a put of 2 MB succeeds during the fault"
    );
    subject.set_fault(StoreFault::None);
    retry("a put by the same handle after the fault", || {
        store.put(&rows([(3, "c")]))
    })?;
    expected.extend(rows([(3, "c")]));
    drop(store);
    let found = read_rows(&*subject)?;
    ensure!(
        found == expected,
        "reopened, the rows differ from those expected: {} rows found, {} expected",
        found.len(),
        expected.len()
    );
    Ok(())
}

fn slow_writes(make_subject: SubjectFactory<'_>) -> CaseResult {
    let subject = make_subject();
    let (mut store, _) = open(&*subject)?;
    put(&*subject, &mut *store, &rows([(1, "a")]))?;
    subject.set_fault(StoreFault::Slow);
    let started_at = Instant::now();
    let result = store.put(&rows([(2, "b")]));
    ensure!(
        started_at.elapsed() < TIMEOUT,
        "a put takes {:?}, limit {TIMEOUT:?}",
        started_at.elapsed()
    );
    subject.cut_power_after(0);
    drop(store);
    subject.set_fault(StoreFault::None);
    subject.restore_power(UnsyncedLoss::All);
    let found = read_rows(&*subject)?;
    let (without, with) = (rows([(1, "a")]), rows([(1, "a"), (2, "b")]));
    let is_expected = match (subject.properties().durability, result) {
        (Durability::OnReturn, Ok(())) => found == with,
        (Durability::OnReturn, Err(_)) => found == with || found == without,
        (Durability::ByServer, _) => found == with || found == without || found.is_empty(),
    };
    ensure!(
        is_expected,
        "after a power loss, the store contains {found:?}"
    );
    Ok(())
}

/// After the data is deleted, each put either fails or persists, and deleted rows do not reappear.
fn cleared_while_open(make_subject: SubjectFactory<'_>) -> CaseResult {
    for method in [ClearMethod::Truncate, ClearMethod::Remove] {
        let subject = make_subject();
        let (mut store, _) = open(&*subject)?;
        put(&*subject, &mut *store, &rows([(1, "a")]))?;
        subject.clear(method);
        let result = store.put(&rows([(2, "b")]));
        let second_result = store.put(&rows([(3, "c")]));
        drop(store);
        let found = read_rows(&*subject)?;
        ensure!(
            result.is_err() || found.contains_key(&2),
            "{method:?}: the first put succeeded but its row is lost: {found:?}"
        );
        ensure!(
            second_result.is_err() || found.contains_key(&3),
            "{method:?}: the second put succeeded but its row is lost: {found:?}"
        );
        ensure!(
            !found.contains_key(&1),
            "{method:?}: the deleted row reappeared: {found:?}"
        );
    }
    Ok(())
}

fn newer_data_is_preserved(make_subject: SubjectFactory<'_>) -> CaseResult {
    let subject = make_subject();
    let (mut store, _) = open(&*subject)?;
    put(&*subject, &mut *store, &rows([(1, "a")]))?;
    drop(store);
    subject.write_newer_schema();
    match (subject.properties().newer_schema, subject.open()) {
        (NewerSchema::Refused, Ok((_, found))) => {
            return Err(format!(
                "the store opens data of a newer schema, with {found:?}"
            ));
        }
        (NewerSchema::Refused, Err(_)) => {}
        (NewerSchema::Preserved, opened) => {
            let (mut store, found) = match opened {
                Err(StoreError::Unavailable(_)) => open(&*subject)?,
                opened => with_context("opening data of a newer schema", opened)?,
            };
            ensure!(
                found == rows([(1, "a")]),
                "data of a newer schema is read as {found:?}"
            );
            put(&*subject, &mut *store, &rows([(1, "b")]))?;
        }
    }
    ensure!(
        subject.is_newer_data_intact(),
        "data of the newer schema has changed"
    );
    Ok(())
}

fn second_open(make_subject: SubjectFactory<'_>) -> CaseResult {
    let subject = make_subject();
    let (mut first, _) = open(&*subject)?;
    put(&*subject, &mut *first, &rows([(1, "a")]))?;
    match (subject.properties().is_exclusive, subject.open()) {
        (true, Ok(_)) => return Err("an exclusive store opens twice".into()),
        (true, Err(_)) => {}
        (false, second) => {
            let (mut second, found) = with_context("opening the store a second time", second)?;
            ensure!(
                found == rows([(1, "a")]),
                "the second handle reads {found:?}"
            );
            put(&*subject, &mut *second, &rows([(2, "b")]))?;
        }
    }
    put(&*subject, &mut *first, &rows([(3, "c")]))?;
    drop(first);
    let mut expected = rows([(1, "a"), (3, "c")]);
    if !subject.properties().is_exclusive {
        expected.extend(rows([(2, "b")]));
    }
    let found = read_rows(&*subject)?;
    ensure!(found == expected, "reopened, the store contains {found:?}");
    Ok(())
}
