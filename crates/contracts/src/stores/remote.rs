//! Cases that apply to remote stores.

use std::time::{Duration, Instant};

use super::cases::{ensure, open, put, read_rows, retry, rows};
use super::{CaseFn, CaseResult, Store, StoreError, StoreFault, Subject, SubjectFactory};

pub(super) const CASES: &[(&str, CaseFn)] = &[
    ("silent server", |make_subject| {
        server_without_valid_replies(make_subject, StoreFault::Silent)
    }),
    ("partial reply", |make_subject| {
        server_without_valid_replies(make_subject, StoreFault::PartialReply)
    }),
    ("reset during reply", reset_during_reply),
    ("delayed replies", delayed_replies),
    ("loading server", |make_subject| {
        server_without_valid_replies(make_subject, StoreFault::Loading)
    }),
];

/// Upper bound for a single call, whatever the server does.
const MAX_CALL_DURATION: Duration = Duration::from_secs(3);

fn within_call_limit<T>(
    operation: &str,
    run: impl FnOnce() -> Result<T, StoreError>,
) -> Result<Result<T, StoreError>, String> {
    let started_at = Instant::now();
    let result = run();
    ensure!(
        started_at.elapsed() < MAX_CALL_DURATION,
        "{operation} takes {:?}, limit {MAX_CALL_DURATION:?}",
        started_at.elapsed()
    );
    Ok(result)
}

/// Opens the store and puts one row.
fn open_with_one_row(subject: &dyn Subject) -> Result<Box<dyn Store>, String> {
    let (mut store, _) = open(subject)?;
    put(subject, &mut *store, &rows([(1, "a")]))?;
    Ok(store)
}

/// Calls return in time with an error instead of a made-up result, and the store works again after the fault.
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
        "a put without a matching reply returns {put:?}"
    );
    let read = within_call_limit("a read", || store.rows())?;
    ensure!(
        read.is_err(),
        "a read without a matching reply returns {read:?}"
    );
    let reopened = within_call_limit("opening", || subject.open().map(|(_, found)| found))?;
    ensure!(
        reopened.is_err(),
        "opening without a valid reply returns {reopened:?}"
    );
    subject.set_fault(StoreFault::None);
    retry("a put after the fault", || store.put(&rows([(2, "c")])))?;
    drop(store);
    let found = read_rows(&*subject)?;
    ensure!(
        found == rows([(1, "a"), (2, "c")]),
        "reopened, the store contains {found:?}"
    );
    Ok(())
}

/// A change that was applied but whose reply was lost is not rejected as if another client had made it.
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
        "a put whose reply was cut off returns {put:?}"
    );
    retry("the same put repeated", || store.put(&rows([(2, "b")])))?;
    subject.set_fault(StoreFault::Reset);
    let removed = within_call_limit("a removal", || store.remove(1))?;
    ensure!(
        !matches!(removed, Err(StoreError::Rejected(_))),
        "a removal whose reply was cut off returns {removed:?}"
    );
    drop(store);
    let found = read_rows(&*subject)?;
    ensure!(
        found == rows([(2, "b")]),
        "reopened, the store contains {found:?}"
    );
    Ok(())
}

/// A call never takes the reply to another call for its own.
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
            "a put without a matching reply returns {put:?}"
        );
        let read = within_call_limit("a read", || store.rows())?;
        ensure!(
            read.is_err(),
            "a read without a matching reply returns {read:?}"
        );
    }
    subject.set_fault(StoreFault::None);
    retry("a put after the fault", || store.put(&rows([(2, "d")])))?;
    let read = retry("a read after the fault", || store.rows())?;
    ensure!(
        read == rows([(1, "a"), (2, "d")]),
        "a read after the fault returns {read:?}"
    );
    Ok(())
}
