//! Tests of what is done on signals, in every order that matters.

use std::cell::RefCell;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::*;

/// What a program does on these signals, where the reload of that number panics.
fn done(signals: &[i32], panics: Option<usize>) -> Vec<&'static str> {
    let done = RefCell::new(Vec::new());
    let mut reloads = 0;
    let reload = || {
        reloads += 1;
        assert_ne!(Some(reloads), panics, "the fault that is played");
        done.borrow_mut().push("reads");
    };
    follow(signals.iter().copied(), reload, || {
        done.borrow_mut().push("leaves")
    });
    done.into_inner()
}

#[test]
fn a_reload_that_panics_costs_that_reload_alone() {
    assert_eq!(
        done(&[SIGHUP, SIGHUP, SIGTERM], Some(1)),
        ["reads", "leaves"]
    );
    assert_eq!(done(&[SIGHUP, SIGTERM], Some(1)), ["leaves"]);
}

#[test]
fn nothing_is_read_anew_once_the_program_leaves() {
    assert_eq!(
        done(&[SIGHUP, SIGTERM, SIGHUP, SIGHUP], None),
        ["reads", "leaves"]
    );
    assert_eq!(
        done(&[SIGTERM, SIGTERM, SIGHUP, SIGINT], None),
        ["leaves"; 3]
    );
}
