//! The cases of stores that are servers behind a wire.

use std::time::{Duration, Instant};

use super::cases::{ensure, open, put, read_rows, retry, rows};
use super::{CaseFn, CaseResult, Store, StoreError, StoreFault, Subject, SubjectFactory};

pub(super) const CASES: &[(&str, CaseFn)] = &[
    ("a silent server", |make_subject| {
        server_without_valid_replies(make_subject, StoreFault::Silent)
    }),
    ("half an answer", |make_subject| {
        server_without_valid_replies(make_subject, StoreFault::PartialReply)
    }),
    ("a reset in the middle", reset_during_reply),
    ("late answers", delayed_replies),
    ("a loading server", |make_subject| {
        server_without_valid_replies(make_subject, StoreFault::Loading)
    }),
];

/// One call takes no longer, whatever the server does.
const MAX_CALL_DURATION: Duration = Duration::from_secs(3);

fn within_call_limit<T>(
    operation: &str,
    run: impl FnOnce() -> Result<T, StoreError>,
) -> Result<Result<T, StoreError>, String> {
    let started_at = Instant::now();
    let result = run();
    ensure!(
        started_at.elapsed() < MAX_CALL_DURATION,
        "{operation} takes {:?}",
        started_at.elapsed()
    );
    Ok(result)
}

/// The store, with one row in it.
fn open_with_one_row(subject: &dyn Subject) -> Result<Box<dyn Store>, String> {
    let (mut store, _) = open(subject)?;
    put(subject, &mut *store, &rows([(1, "a")]))?;
    Ok(store)
}

/// No call waits for long, none is answered that was not, and the store is served again afterwards.
fn server_without_valid_replies(make_subject: SubjectFactory<'_>, fault: StoreFault) -> CaseResult {
    let subject = make_subject();
    if !subject.properties().is_remote {
        return Ok(());
    }
    let mut store = open_with_one_row(&*subject)?;
    subject.set_fault(fault);
    let put = within_call_limit("a put", || store.put(&rows([(2, "b")])))?;
    ensure!(
        matches!(put, Err(StoreError::Unavailable(_))),
        "a put is answered {put:?}"
    );
    let read = within_call_limit("reading", || store.rows())?;
    ensure!(read.is_err(), "reading is answered {read:?}");
    let reopened = within_call_limit("opening", || subject.open().map(|(_, found)| found))?;
    ensure!(reopened.is_err(), "opened anew it shows {reopened:?}");
    subject.set_fault(StoreFault::None);
    retry("a put afterwards", || store.put(&rows([(2, "c")])))?;
    drop(store);
    let found = read_rows(&*subject)?;
    ensure!(found == rows([(1, "a"), (2, "c")]), "it kept {found:?}");
    Ok(())
}

/// A put that was done, but whose answer was lost, is not refused as if another had done it.
fn reset_during_reply(make_subject: SubjectFactory<'_>) -> CaseResult {
    let subject = make_subject();
    if !subject.properties().is_remote {
        return Ok(());
    }
    let mut store = open_with_one_row(&*subject)?;
    subject.set_fault(StoreFault::Reset);
    let put = within_call_limit("a put", || store.put(&rows([(2, "b")])))?;
    ensure!(
        !matches!(put, Err(StoreError::Rejected(_))),
        "a put whose answer broke off is {put:?}"
    );
    retry("the same put again", || store.put(&rows([(2, "b")])))?;
    subject.set_fault(StoreFault::Reset);
    let removed = within_call_limit("a removal", || store.remove(1))?;
    ensure!(
        !matches!(removed, Err(StoreError::Rejected(_))),
        "a removal whose answer broke off is {removed:?}"
    );
    drop(store);
    let found = read_rows(&*subject)?;
    ensure!(found == rows([(2, "b")]), "it kept {found:?}");
    Ok(())
}

/// No call takes the answer to another for its own.
fn delayed_replies(make_subject: SubjectFactory<'_>) -> CaseResult {
    let subject = make_subject();
    if !subject.properties().is_remote {
        return Ok(());
    }
    let mut store = open_with_one_row(&*subject)?;
    subject.set_fault(StoreFault::DelayedReply);
    for value in ["b", "c"] {
        let put = within_call_limit("a put", || store.put(&rows([(2, value)])))?;
        ensure!(
            matches!(put, Err(StoreError::Unavailable(_))),
            "a put is answered {put:?}"
        );
        let read = within_call_limit("reading", || store.rows())?;
        ensure!(read.is_err(), "reading is answered {read:?}");
    }
    subject.set_fault(StoreFault::None);
    retry("a put afterwards", || store.put(&rows([(2, "d")])))?;
    let read = retry("reading afterwards", || store.rows())?;
    ensure!(read == rows([(1, "a"), (2, "d")]), "reading shows {read:?}");
    Ok(())
}
