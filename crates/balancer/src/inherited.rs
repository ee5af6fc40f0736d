//! The clients' listener that whoever started this program holds for it (`LB_INHERITED_FD`), so that it can be
//! replaced while it serves: the old process and the new one accept from one queue.
//!
//! Sound code can't make a listener of a number. The crate `listenfd` does, for numbers that come by the convention of
//! `LISTEN_FDS`; so the program starts itself once more, in place, with the number under those names.

use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::process::Command;

use listenfd::ListenFd;
use socket2::SockRef;

/// The variable that names the descriptor.
const VARIABLE: &str = "LB_INHERITED_FD";

/// The inherited listener; nothing where none is named. To be called before there are threads.
pub fn take() -> Result<Option<TcpListener>, String> {
    let Ok(text) = std::env::var(VARIABLE) else {
        return Ok(None);
    };
    let fault = |why: String| format!("{VARIABLE}: {text:?}: {why}");
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
        // The process stays the same one: it is known by its number.
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
