//! The clients' listener inherited by descriptor number (`LB_INHERITED_FD`), so that a process can
//! be replaced while both accept from one queue.
//!
//! Safe code can't make a listener of a number. The crate `listenfd` does, for numbers passed by
//! the convention of `LISTEN_FDS`; the program executes itself again with the number under those
//! names.

use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::process::Command;

use listenfd::ListenFd;
use socket2::SockRef;

/// The variable that names the descriptor.
const FD_VARIABLE: &str = "LB_INHERITED_FD";

/// The inherited listener, if one is named. Must be called before threads are started.
///
/// # Errors
///
/// Fails if the descriptor is not a listening socket.
pub fn take() -> Result<Option<TcpListener>, String> {
    let Ok(text) = std::env::var(FD_VARIABLE) else {
        return Ok(None);
    };
    let fault = |why: String| format!("{FD_VARIABLE}: {text:?}: {why}");
    let number: i32 = text
        .parse()
        .ok()
        .filter(|number| *number >= 0)
        .ok_or_else(|| fault("no descriptor's number".into()))?;
    let own = std::process::id().to_string();
    if std::env::var("LISTEN_PID").ok().as_ref() != Some(&own) {
        let program = std::env::current_exe().map_err(|error| fault(error.to_string()))?;
        let mut again = Command::new(program);
        again.args(std::env::args_os().skip(1));
        again
            .env("LISTEN_FDS", "1")
            .env("LISTEN_FDS_FIRST_FD", number.to_string())
            .env("LISTEN_PID", own);
        // The process id stays the same.
        return Err(fault(format!("starting anew: {}", again.exec())));
    }
    let taken = ListenFd::from_env()
        .take_tcp_listener(0)
        .map_err(|error| fault(error.to_string()))?;
    let listener = taken.ok_or_else(|| fault("not handed over".into()))?;
    match SockRef::from(&listener).is_listener() {
        Ok(true) => Ok(Some(listener)),
        Ok(false) => Err(fault("not a listening socket".into())),
        Err(error) => Err(fault(error.to_string())),
    }
}
