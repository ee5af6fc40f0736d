//! The cases that hold for every store.

use std::time::{Duration, Instant};

use super::{
    CaseResult, Durable, Emptied, Failed, Loss, Make, Newer, Rows, Run, Store, StoreFault, Subject,
};

pub(super) const ALL: &[(&str, Run)] = &[
    ("the last put holds", the_last_put_holds),
    ("durable on return", durable_on_return),
    ("all or none", all_or_none),
    ("killed at each write", killed_at_each_write),
    ("killed while it opens", killed_while_it_opens),
    ("full", |make| refuses_and_heals(make, StoreFault::Full)),
    ("read-only", |make| {
        refuses_and_heals(make, StoreFault::ReadOnly)
    }),
    ("slow", slow),
    ("emptied under its reader", emptied),
    ("newer schema", newer_schema),
    ("opened twice", opened_twice),
];

/// Longer than anything here takes.
const TIMEOUT: Duration = Duration::from_secs(10);
/// More writes than a case makes.
const MANY: u64 = 10_000;

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

pub(super) fn fine<T>(what: &str, result: Result<T, Failed>) -> Result<T, String> {
    result.map_err(|why| format!("{what}: {why}"))
}

/// Opens a store, again and again while it can't be had.
pub(super) fn opened(subject: &dyn Subject) -> Result<(Box<dyn Store>, Rows), String> {
    settled("opening it in fair weather", || subject.open())
}

/// Does what failed in bad weather, in fair weather: a store may take its time to see that it is fair.
pub(super) fn settled<T>(
    what: &str,
    mut run: impl FnMut() -> Result<T, Failed>,
) -> Result<T, String> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match run() {
            Err(Failed::Unable(_)) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(20))
            }
            done => return fine(what, done),
        }
    }
}

/// Puts rows in fair weather. On a machine with much to do, a server may have to be asked again.
pub(super) fn put(subject: &dyn Subject, store: &mut dyn Store, rows: &Rows) -> CaseResult {
    match subject.traits().wire {
        true => settled("put", || store.put(rows)),
        false => fine("put", store.put(rows)),
    }
}

/// Removes a row in fair weather.
fn remove(subject: &dyn Subject, store: &mut dyn Store, key: u64) -> CaseResult {
    match subject.traits().wire {
        true => settled("remove", || store.remove(key)),
        false => fine("remove", store.remove(key)),
    }
}

/// The rows that are found by one who opens it now.
pub(super) fn found(subject: &dyn Subject) -> Result<Rows, String> {
    opened(subject).map(|(_, rows)| rows)
}

/// What one that is opened in bad weather finds is right, or it is not opened.
fn finds_or_refuses(subject: &dyn Subject, right: &Rows) -> CaseResult {
    match subject.open() {
        Ok((_, found)) => {
            ensure!(
                found == *right,
                "opened in bad weather it shows {found:?} for {right:?}"
            );
            Ok(())
        }
        Err(_) => Ok(()),
    }
}

/// Makes rows of a batch a store takes at once.
fn batch(subject: &dyn Subject, all: Rows) -> Rows {
    let most = if subject.traits().batches {
        usize::MAX
    } else {
        1
    };
    all.into_iter().take(most).collect()
}

fn the_last_put_holds(make: Make<'_>) -> CaseResult {
    let subject = make();
    let (mut store, before) = opened(&*subject)?;
    ensure!(before.is_empty(), "a new store holds {before:?}");
    for (key, value) in [(1, "a"), (2, "b"), (1, "c"), (3, "d")] {
        put(&*subject, &mut *store, &rows([(key, value)]))?;
    }
    remove(&*subject, &mut *store, 3)?;
    put(&*subject, &mut *store, &rows([(3, "e")]))?;
    remove(&*subject, &mut *store, 2)?;
    drop(store);
    let found = found(&*subject)?;
    ensure!(found == rows([(1, "c"), (3, "e")]), "it kept {found:?}");
    Ok(())
}

fn durable_on_return(make: Make<'_>) -> CaseResult {
    for puts in 1..=3_u64 {
        let subject = make();
        let (mut store, _) = opened(&*subject)?;
        let mut states = vec![Rows::new()];
        for key in 1..=puts {
            put(&*subject, &mut *store, &rows([(key, "value")]))?;
            states.push((1..=key).map(|key| (key, "value".to_owned())).collect());
        }
        subject.cut_after(0);
        drop(store);
        subject.power_back(Loss::Everything);
        let found = found(&*subject)?;
        let right = match subject.traits().durable {
            Durable::OnReturn => states.last() == Some(&found),
            Durable::ByServer => states.contains(&found),
        };
        ensure!(
            right,
            "after {puts} puts that returned, it comes back with {found:?}"
        );
    }
    Ok(())
}

fn all_or_none(make: Make<'_>) -> CaseResult {
    let many = |value: &str| {
        (1..=300)
            .map(|key| (key, value.repeat(100)))
            .collect::<Rows>()
    };
    for writes in 1..MANY {
        let subject = make();
        let (old, new) = (batch(&*subject, many("old")), batch(&*subject, many("new")));
        let (mut store, _) = opened(&*subject)?;
        put(&*subject, &mut *store, &old)?;
        subject.cut_after(writes);
        let done = store.put(&new);
        let was_cut = subject.is_dark();
        subject.cut_after(0);
        drop(store);
        subject.power_back(Loss::Nothing);
        let found = found(&*subject)?;
        let by_server = subject.traits().durable == Durable::ByServer;
        ensure!(
            found == new || found == old,
            "cut at write {writes}: neither the old rows nor the new ones"
        );
        ensure!(
            done.is_err() || found == new || by_server,
            "cut at write {writes}: it said yes and kept the old"
        );
        if !was_cut {
            return Ok(());
        }
    }
    Err("it never ends to write".into())
}

type Step = fn(&mut dyn Store) -> Result<(), Failed>;

/// Changes, and what they leave.
fn story(subject: &dyn Subject) -> Vec<(Step, Rows)> {
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
    if subject.traits().batches {
        all.push((
            |store| store.put(&rows([(2, "d"), (3, "e")])),
            rows([(1, "b"), (2, "d"), (3, "e")]),
        ));
    }
    all
}

const LOSSES: [fn(u64) -> Loss; 4] = [
    |_| Loss::Nothing,
    |_| Loss::Everything,
    |writes| Loss::Some(writes),
    |writes| Loss::Some(writes + MANY),
];

fn killed_at_each_write(make: Make<'_>) -> CaseResult {
    for writes in 1..MANY {
        for loss in LOSSES {
            let subject = make();
            let (mut store, _) = opened(&*subject)?;
            put(&*subject, &mut *store, &rows([(9, "z")]))?;
            subject.cut_after(writes);
            // The last of all rows there are may be lost with a server.
            let mut right = match subject.traits().durable {
                Durable::OnReturn => vec![rows([(9, "z")])],
                Durable::ByServer => vec![Rows::new(), rows([(9, "z")])],
            };
            for (step, after) in story(&*subject) {
                // One that fails may have come to pass, and is the last.
                let done = step(&mut *store);
                if done.is_ok() && subject.traits().durable == Durable::OnReturn {
                    right.clear();
                }
                right.push(after);
                if done.is_err() {
                    break;
                }
            }
            let was_cut = subject.is_dark();
            subject.cut_after(0);
            drop(store);
            subject.power_back(loss(writes));
            let (mut store, found) = opened(&*subject)?;
            ensure!(
                right.contains(&found),
                "cut at write {writes}, {:?}: {found:?} is none of {right:?}",
                loss(writes)
            );
            settled("a put after the power is back", || {
                store.put(&rows([(5, "on")]))
            })?;
            if !was_cut {
                return Ok(());
            }
        }
    }
    Err("it never ends to write".into())
}

fn killed_while_it_opens(make: Make<'_>) -> CaseResult {
    let right = rows([(1, "a")]);
    for writes in 1..MANY {
        for loss in LOSSES {
            let subject = make();
            let (mut store, _) = opened(&*subject)?;
            put(&*subject, &mut *store, &right)?;
            // Dark and light once: it has something to mend.
            subject.cut_after(0);
            drop(store);
            subject.power_back(Loss::Nothing);
            subject.cut_after(writes);
            drop(subject.open());
            let was_cut = subject.is_dark();
            subject.cut_after(0);
            subject.power_back(loss(writes));
            let found = found(&*subject)?;
            ensure!(
                found == right,
                "cut at write {writes} of opening, {:?}: {found:?}",
                loss(writes)
            );
            if !was_cut {
                return Ok(());
            }
        }
    }
    Err("it never ends to write".into())
}

/// A ground that takes no writing: what is put is refused, what is there stays, and it is served again afterwards.
fn refuses_and_heals(make: Make<'_>, weather: StoreFault) -> CaseResult {
    let subject = make();
    let (mut store, _) = opened(&*subject)?;
    let mut right = rows([(1, "a"), (2, "b")]);
    for (key, value) in &right {
        put(&*subject, &mut *store, &Rows::from([(*key, value.clone())]))?;
    }
    subject.weather(weather);
    // What there is may do for small ones: they are well kept if it says so.
    let mut refused = 0;
    for key in 10..30 {
        let row = Rows::from([(key, "much".repeat(50_000))]);
        match store.put(&row) {
            Ok(()) => right.extend(row),
            Err(_) => refused += 1,
        }
    }
    ensure!(refused > 0, "nothing is refused");
    if subject.traits().wire {
        let found = settled("reading, which needs no room", || store.rows())?;
        ensure!(found == right, "reading shows other rows meanwhile");
    }
    drop(store);
    finds_or_refuses(&*subject, &right)?;
    subject.weather(StoreFault::Fair);
    let (mut store, found) = opened(&*subject)?;
    ensure!(
        found == right,
        "{} rows are there afterwards, not {}",
        found.len(),
        right.len()
    );
    subject.weather(weather);
    let big = Rows::from([(40, "much".repeat(500_000))]);
    ensure!(store.put(&big).is_err(), "a big row is taken");
    subject.weather(StoreFault::Fair);
    settled("a put by the one that was refused, afterwards", || {
        store.put(&rows([(3, "c")]))
    })?;
    right.extend(rows([(3, "c")]));
    drop(store);
    let found = self::found(&*subject)?;
    ensure!(
        found == right,
        "{} rows are there in the end, not {}",
        found.len(),
        right.len()
    );
    Ok(())
}

fn slow(make: Make<'_>) -> CaseResult {
    let subject = make();
    let (mut store, _) = opened(&*subject)?;
    put(&*subject, &mut *store, &rows([(1, "a")]))?;
    subject.weather(StoreFault::Slow);
    let began = Instant::now();
    let done = store.put(&rows([(2, "b")]));
    ensure!(
        began.elapsed() < TIMEOUT,
        "a put takes {:?}",
        began.elapsed()
    );
    subject.cut_after(0);
    drop(store);
    subject.weather(StoreFault::Fair);
    subject.power_back(Loss::Everything);
    let found = found(&*subject)?;
    let (without, with) = (rows([(1, "a")]), rows([(1, "a"), (2, "b")]));
    let right = match (subject.traits().durable, done) {
        (Durable::OnReturn, Ok(())) => found == with,
        (Durable::OnReturn, Err(_)) => found == with || found == without,
        (Durable::ByServer, _) => found == with || found == without || found.is_empty(),
    };
    ensure!(right, "it comes back with {found:?}");
    Ok(())
}

/// What is put afterwards is refused, or is there; what was emptied does not come back by itself.
fn emptied(make: Make<'_>) -> CaseResult {
    for how in [Emptied::Cut, Emptied::Removed] {
        let subject = make();
        let (mut store, _) = opened(&*subject)?;
        put(&*subject, &mut *store, &rows([(1, "a")]))?;
        subject.empty(how);
        let done = store.put(&rows([(2, "b")]));
        let after = store.put(&rows([(3, "c")]));
        drop(store);
        let found = found(&*subject)?;
        ensure!(
            done.is_err() || found.contains_key(&2),
            "{how:?}: it said yes and kept nothing: {found:?}"
        );
        ensure!(
            after.is_err() || found.contains_key(&3),
            "{how:?}: it said yes twice and kept {found:?}"
        );
        ensure!(
            !found.contains_key(&1),
            "{how:?}: what was emptied is back: {found:?}"
        );
    }
    Ok(())
}

fn newer_schema(make: Make<'_>) -> CaseResult {
    let subject = make();
    let (mut store, _) = opened(&*subject)?;
    put(&*subject, &mut *store, &rows([(1, "a")]))?;
    drop(store);
    subject.newer_writes();
    match (subject.traits().newer, subject.open()) {
        (Newer::LeftAlone, Ok((_, found))) => return Err(format!("it is opened, with {found:?}")),
        (Newer::LeftAlone, Err(_)) => {}
        (Newer::Carried, opened) => {
            let (mut store, found) = match opened {
                Err(Failed::Unable(_)) => self::opened(&*subject)?,
                opened => fine("opening it", opened)?,
            };
            ensure!(found == rows([(1, "a")]), "it reads {found:?}");
            put(&*subject, &mut *store, &rows([(1, "b")]))?;
        }
    }
    ensure!(
        subject.is_newer_intact(),
        "what the newer program wrote is changed"
    );
    Ok(())
}

fn opened_twice(make: Make<'_>) -> CaseResult {
    let subject = make();
    let (mut first, _) = opened(&*subject)?;
    put(&*subject, &mut *first, &rows([(1, "a")]))?;
    match (subject.traits().exclusive, subject.open()) {
        (true, Ok(_)) => return Err("two have it open".into()),
        (true, Err(_)) => {}
        (false, second) => {
            let (mut second, found) = fine("opening it again", second)?;
            ensure!(found == rows([(1, "a")]), "the second finds {found:?}");
            put(&*subject, &mut *second, &rows([(2, "b")]))?;
        }
    }
    put(&*subject, &mut *first, &rows([(3, "c")]))?;
    drop(first);
    let mut right = rows([(1, "a"), (3, "c")]);
    if !subject.traits().exclusive {
        right.extend(rows([(2, "b")]));
    }
    let found = found(&*subject)?;
    ensure!(found == right, "it kept {found:?}");
    Ok(())
}
