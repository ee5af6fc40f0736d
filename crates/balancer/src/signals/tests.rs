//! Tests of what is done on signals, in every order that matters.

use std::cell::RefCell;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::*;

/// What a program does on these signals, where the reload of that number panics.
fn actions(signals: &[i32], panicking_reload: Option<usize>) -> Vec<&'static str> {
    let actions = RefCell::new(Vec::new());
    let mut reloads = 0;
    let reload = || {
        reloads += 1;
        assert_ne!(Some(reloads), panicking_reload, "the fault that is played");
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
