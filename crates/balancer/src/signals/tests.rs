//! Tests of signal handling for each relevant order of signals.

use std::cell::RefCell;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::*;

/// The actions taken on these signals. The reload with the given number, counted from 1, panics.
fn actions(signals: &[i32], panicking_reload: Option<usize>) -> Vec<&'static str> {
    let actions = RefCell::new(Vec::new());
    let mut reloads = 0;
    let reload = || {
        reloads += 1;
        assert_ne!(Some(reloads), panicking_reload, "injected panic");
        actions.borrow_mut().push("reload");
    };
    handle(signals.iter().copied(), reload, || {
        actions.borrow_mut().push("shut down")
    });
    actions.into_inner()
}

#[test]
fn panicking_reload_does_not_stop_later_signals() {
    assert_eq!(
        actions(&[SIGHUP, SIGHUP, SIGTERM], Some(1)),
        ["reload", "shut down"]
    );
    assert_eq!(actions(&[SIGHUP, SIGTERM], Some(1)), ["shut down"]);
}

#[test]
fn reload_is_skipped_after_shutdown_signal() {
    assert_eq!(
        actions(&[SIGHUP, SIGTERM, SIGHUP, SIGHUP], None),
        ["reload", "shut down"]
    );
    assert_eq!(
        actions(&[SIGTERM, SIGTERM, SIGHUP, SIGINT], None),
        ["shut down"; 3]
    );
}
