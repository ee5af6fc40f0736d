//! The cases of stores that are servers behind a wire.

use std::time::{Duration, Instant};

use super::cases::{ensure, found, opened, put, rows, settled};
use super::{CaseResult, Failed, Make, Run, Store, StoreFault, Subject};

pub(super) const ALL: &[(&str, Run)] = &[
    ("a silent server", |make| {
        unreachable(make, StoreFault::Silent)
    }),
    ("half an answer", |make| {
        unreachable(make, StoreFault::HalfAnswer)
    }),
    ("a reset in the middle", a_reset_in_the_middle),
    ("late answers", late_answers),
    ("a loading server", |make| {
        unreachable(make, StoreFault::Loading)
    }),
];

/// One call takes no longer, whatever the server does.
const BOUND: Duration = Duration::from_secs(3);

fn in_time<T>(
    what: &str,
    run: impl FnOnce() -> Result<T, Failed>,
) -> Result<Result<T, Failed>, String> {
    let began = Instant::now();
    let done = run();
    ensure!(
        began.elapsed() < BOUND,
        "{what} takes {:?}",
        began.elapsed()
    );
    Ok(done)
}

/// The store, with one row in it.
fn begun(subject: &dyn Subject) -> Result<Box<dyn Store>, String> {
    let (mut store, _) = opened(subject)?;
    put(subject, &mut *store, &rows([(1, "a")]))?;
    Ok(store)
}

/// No call waits for long, none is answered that was not, and the store is served again afterwards.
fn unreachable(make: Make<'_>, weather: StoreFault) -> CaseResult {
    let subject = make();
    if !subject.traits().wire {
        return Ok(());
    }
    let mut store = begun(&*subject)?;
    subject.weather(weather);
    let put = in_time("a put", || store.put(&rows([(2, "b")])))?;
    ensure!(
        matches!(put, Err(Failed::Unable(_))),
        "a put is answered {put:?}"
    );
    let read = in_time("reading", || store.rows())?;
    ensure!(read.is_err(), "reading is answered {read:?}");
    let anew = in_time("opening", || subject.open().map(|(_, found)| found))?;
    ensure!(anew.is_err(), "opened anew it shows {anew:?}");
    subject.weather(StoreFault::Fair);
    settled("a put afterwards", || store.put(&rows([(2, "c")])))?;
    drop(store);
    let found = found(&*subject)?;
    ensure!(found == rows([(1, "a"), (2, "c")]), "it kept {found:?}");
    Ok(())
}

/// A put that was done, but whose answer was lost, is not refused as if another had done it.
fn a_reset_in_the_middle(make: Make<'_>) -> CaseResult {
    let subject = make();
    if !subject.traits().wire {
        return Ok(());
    }
    let mut store = begun(&*subject)?;
    subject.weather(StoreFault::Reset);
    let put = in_time("a put", || store.put(&rows([(2, "b")])))?;
    ensure!(
        !matches!(put, Err(Failed::Refused(_))),
        "a put whose answer broke off is {put:?}"
    );
    settled("the same put again", || store.put(&rows([(2, "b")])))?;
    subject.weather(StoreFault::Reset);
    let removed = in_time("a removal", || store.remove(1))?;
    ensure!(
        !matches!(removed, Err(Failed::Refused(_))),
        "a removal whose answer broke off is {removed:?}"
    );
    drop(store);
    let found = found(&*subject)?;
    ensure!(found == rows([(2, "b")]), "it kept {found:?}");
    Ok(())
}

/// No call takes the answer to another for its own.
fn late_answers(make: Make<'_>) -> CaseResult {
    let subject = make();
    if !subject.traits().wire {
        return Ok(());
    }
    let mut store = begun(&*subject)?;
    subject.weather(StoreFault::Late);
    for value in ["b", "c"] {
        let put = in_time("a put", || store.put(&rows([(2, value)])))?;
        ensure!(
            matches!(put, Err(Failed::Unable(_))),
            "a put is answered {put:?}"
        );
        let read = in_time("reading", || store.rows())?;
        ensure!(read.is_err(), "reading is answered {read:?}");
    }
    subject.weather(StoreFault::Fair);
    settled("a put afterwards", || store.put(&rows([(2, "d")])))?;
    let read = settled("reading afterwards", || store.rows())?;
    ensure!(read == rows([(1, "a"), (2, "d")]), "reading shows {read:?}");
    Ok(())
}
