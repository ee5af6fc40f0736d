//! An attempt's own thread: it has the client for as long as the attempt lasts.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use crossbeam_channel::bounded;

use super::{Brought, Desk, Shared};
use crate::core::{ApplicationServer, PassTimes};
use crate::front::Front;
use crate::stages::relay::Link;
use crate::stages::send;

/// Makes a pass on a thread of its own; gives the client back if there is no thread to be had.
pub(super) fn start<F: Front>(
    shared: &Shared<F>,
    desk: &Arc<Desk<F>>,
    (id, link, greeting): (u64, Link, Arc<F::Greeting>),
    to: Arc<ApplicationServer>,
    times: PassTimes,
) -> Result<(), Box<(Link, io::Error)>> {
    let (front, desk, connect) = (
        Arc::clone(&shared.front),
        Arc::clone(desk),
        shared.core.connect_timeout(),
    );
    let (give, take) = bounded::<Link>(1);
    let run = move || {
        let Ok(mut link) = take.recv() else { return };
        let made = || send::pass(&*front, &mut link, &greeting, &to, times, connect);
        let passed = catch_unwind(AssertUnwindSafe(made)).ok();
        drop(greeting);
        desk.bring(Brought::Passed(id, link, passed));
    };
    match std::thread::Builder::new()
        .name("pass".into())
        .stack_size(shared.front.stack())
        .spawn(run)
    {
        Ok(_) => give
            .send(link)
            .map_err(|error| Box::new((error.into_inner(), io::ErrorKind::Other.into()))),
        Err(error) => Err(Box::new((link, error))),
    }
}
