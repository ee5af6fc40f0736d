//! The cases that hold for every store.

use std::time::{Duration, Instant};

use super::{
    CaseFn, CaseResult, ClearMethod, Durability, NewerSchema, Rows, Store, StoreError, StoreFault,
    Subject, SubjectFactory, UnsyncedLoss,
};

pub(super) const CASES: &[(&str, CaseFn)] = &[
    ("the last put holds", last_change_persists),
    ("durable on return", put_is_durable_on_return),
    ("all or none", batch_is_atomic),
    ("killed at each write", power_loss_at_each_write),
    ("killed while it opens", power_loss_while_opening),
    ("full", |make_subject| {
        rejects_writes_and_recovers(make_subject, StoreFault::Full)
    }),
    ("read-only", |make_subject| {
        rejects_writes_and_recovers(make_subject, StoreFault::ReadOnly)
    }),
    ("slow", slow_writes),
    ("emptied under its reader", cleared_while_open),
    ("newer schema", newer_schema_is_untouched),
    ("opened twice", second_open),
];

/// Longer than anything here takes.
const TIMEOUT: Duration = Duration::from_secs(10);
/// More writes than a case makes.
const MAX_WRITES: u64 = 10_000;

macro_rules! ensure {
    ($holds:expr, $($said:tt)+) => {
        if !$holds {
            return Err(format!($($said)+));
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

/// Opens a store, again and again while it can't be had.
pub(super) fn open(subject: &dyn Subject) -> Result<(Box<dyn Store>, Rows), String> {
    retry("opening it in fair weather", || subject.open())
}

/// Does what failed in bad weather, in fair weather: a store may take its time to see that it is fair.
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

/// Puts rows in fair weather. On a machine with much to do, a server may have to be asked again.
pub(super) fn put(subject: &dyn Subject, store: &mut dyn Store, rows: &Rows) -> CaseResult {
    match subject.properties().is_remote {
        true => retry("put", || store.put(rows)),
        false => with_context("put", store.put(rows)),
    }
}

/// Removes a row in fair weather.
fn remove(subject: &dyn Subject, store: &mut dyn Store, key: u64) -> CaseResult {
    match subject.properties().is_remote {
        true => retry("remove", || store.remove(key)),
        false => with_context("remove", store.remove(key)),
    }
}

/// The rows that are found by one who opens it now.
pub(super) fn read_rows(subject: &dyn Subject) -> Result<Rows, String> {
    open(subject).map(|(_, rows)| rows)
}

/// What one that is opened in bad weather finds is right, or it is not opened.
fn ensure_rows_or_refused(subject: &dyn Subject, expected: &Rows) -> CaseResult {
    match subject.open() {
        Ok((_, found)) => {
            ensure!(
                found == *expected,
                "opened in bad weather it shows {found:?} for {expected:?}"
            );
            Ok(())
        }
        Err(_) => Ok(()),
    }
}

/// Makes rows of a batch a store takes at once.
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
    ensure!(before.is_empty(), "a new store holds {before:?}");
    for (key, value) in [(1, "a"), (2, "b"), (1, "c"), (3, "d")] {
        put(&*subject, &mut *store, &rows([(key, value)]))?;
    }
    remove(&*subject, &mut *store, 3)?;
    put(&*subject, &mut *store, &rows([(3, "e")]))?;
    remove(&*subject, &mut *store, 2)?;
    drop(store);
    let found = read_rows(&*subject)?;
    ensure!(found == rows([(1, "c"), (3, "e")]), "it kept {found:?}");
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
            "after {puts} puts that returned, it comes back with {found:?}"
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
            "cut at write {writes}: neither the old rows nor the new ones"
        );
        ensure!(
            result.is_err() || found == new || by_server,
            "cut at write {writes}: it said yes and kept the old"
        );
        if !lost_power {
            return Ok(());
        }
    }
    Err("it never ends to write".into())
}

type Step = fn(&mut dyn Store) -> Result<(), StoreError>;

/// Changes, and what they leave.
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
            // The last of all rows there are may be lost with a server.
            let mut expected = match subject.properties().durability {
                Durability::OnReturn => vec![rows([(9, "z")])],
                Durability::ByServer => vec![Rows::new(), rows([(9, "z")])],
            };
            for (step, after) in change_sequence(&*subject) {
                // One that fails may have come to pass, and is the last.
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
                "cut at write {writes}, {:?}: {found:?} is none of {expected:?}",
                loss(writes)
            );
            retry("a put after the power is back", || {
                store.put(&rows([(5, "on")]))
            })?;
            if !lost_power {
                return Ok(());
            }
        }
    }
    Err("it never ends to write".into())
}

fn power_loss_while_opening(make_subject: SubjectFactory<'_>) -> CaseResult {
    let expected = rows([(1, "a")]);
    for writes in 1..MAX_WRITES {
        for loss in UNSYNCED_LOSSES {
            let subject = make_subject();
            let (mut store, _) = open(&*subject)?;
            put(&*subject, &mut *store, &expected)?;
            // Dark and light once: it has something to mend.
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
                "cut at write {writes} of opening, {:?}: {found:?}",
                loss(writes)
            );
            if !lost_power {
                return Ok(());
            }
        }
    }
    Err("it never ends to write".into())
}

/// A ground that takes no writing: what is put is refused, what is there stays, and it is served again afterwards.
fn rejects_writes_and_recovers(make_subject: SubjectFactory<'_>, fault: StoreFault) -> CaseResult {
    let subject = make_subject();
    let (mut store, _) = open(&*subject)?;
    let mut expected = rows([(1, "a"), (2, "b")]);
    for (key, value) in &expected {
        put(&*subject, &mut *store, &Rows::from([(*key, value.clone())]))?;
    }
    subject.set_fault(fault);
    // What there is may do for small ones: they are well kept if it says so.
    let mut refused = 0;
    for key in 10..30 {
        let row = Rows::from([(key, "much".repeat(50_000))]);
        match store.put(&row) {
            Ok(()) => expected.extend(row),
            Err(_) => refused += 1,
        }
    }
    ensure!(refused > 0, "nothing is refused");
    if subject.properties().is_remote {
        let found = retry("reading, which needs no room", || store.rows())?;
        ensure!(found == expected, "reading shows other rows meanwhile");
    }
    drop(store);
    ensure_rows_or_refused(&*subject, &expected)?;
    subject.set_fault(StoreFault::None);
    let (mut store, found) = open(&*subject)?;
    ensure!(
        found == expected,
        "{} rows are there afterwards, not {}",
        found.len(),
        expected.len()
    );
    subject.set_fault(fault);
    let big = Rows::from([(40, "much".repeat(500_000))]);
    ensure!(store.put(&big).is_err(), "a big row is taken");
    subject.set_fault(StoreFault::None);
    retry("a put by the one that was refused, afterwards", || {
        store.put(&rows([(3, "c")]))
    })?;
    expected.extend(rows([(3, "c")]));
    drop(store);
    let found = read_rows(&*subject)?;
    ensure!(
        found == expected,
        "{} rows are there in the end, not {}",
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
        "a put takes {:?}",
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
    ensure!(is_expected, "it comes back with {found:?}");
    Ok(())
}

/// What is put afterwards is refused, or is there; what was emptied does not come back by itself.
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
            "{method:?}: it said yes and kept nothing: {found:?}"
        );
        ensure!(
            second_result.is_err() || found.contains_key(&3),
            "{method:?}: it said yes twice and kept {found:?}"
        );
        ensure!(
            !found.contains_key(&1),
            "{method:?}: what was emptied is back: {found:?}"
        );
    }
    Ok(())
}

fn newer_schema_is_untouched(make_subject: SubjectFactory<'_>) -> CaseResult {
    let subject = make_subject();
    let (mut store, _) = open(&*subject)?;
    put(&*subject, &mut *store, &rows([(1, "a")]))?;
    drop(store);
    subject.write_newer_schema();
    match (subject.properties().newer_schema, subject.open()) {
        (NewerSchema::Refused, Ok((_, found))) => {
            return Err(format!("it is opened, with {found:?}"));
        }
        (NewerSchema::Refused, Err(_)) => {}
        (NewerSchema::Preserved, opened) => {
            let (mut store, found) = match opened {
                Err(StoreError::Unavailable(_)) => open(&*subject)?,
                opened => with_context("opening it", opened)?,
            };
            ensure!(found == rows([(1, "a")]), "it reads {found:?}");
            put(&*subject, &mut *store, &rows([(1, "b")]))?;
        }
    }
    ensure!(
        subject.is_newer_data_intact(),
        "what the newer program wrote is changed"
    );
    Ok(())
}

fn second_open(make_subject: SubjectFactory<'_>) -> CaseResult {
    let subject = make_subject();
    let (mut first, _) = open(&*subject)?;
    put(&*subject, &mut *first, &rows([(1, "a")]))?;
    match (subject.properties().is_exclusive, subject.open()) {
        (true, Ok(_)) => return Err("two have it open".into()),
        (true, Err(_)) => {}
        (false, second) => {
            let (mut second, found) = with_context("opening it again", second)?;
            ensure!(found == rows([(1, "a")]), "the second finds {found:?}");
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
    ensure!(found == expected, "it kept {found:?}");
    Ok(())
}
