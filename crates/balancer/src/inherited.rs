//! The clients' listener inherited by descriptor number (`LB_INHERITED_FD`), so that a process can
//! be replaced while both accept from one queue.
//!
//! Safe code can't create a listener from a descriptor number. The crate `listenfd` can, for
//! numbers passed by the convention of `LISTEN_FDS`; the program therefore executes itself again
//! with the number in those variables.

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
    let error_text = |reason: String| format!("{FD_VARIABLE}: {text:?}: {reason}");
    let number: i32 = text
        .parse()
        .ok()
        .filter(|number| *number >= 0)
        .ok_or_else(|| error_text("not a descriptor number".into()))?;
    let own_pid = std::process::id().to_string();
    if std::env::var("LISTEN_PID").ok().as_ref() != Some(&own_pid) {
        let program = std::env::current_exe().map_err(|error| error_text(error.to_string()))?;
        let mut command = Command::new(program);
        command.args(std::env::args_os().skip(1));
        command
            .env("LISTEN_FDS", "1")
            .env("LISTEN_FDS_FIRST_FD", number.to_string())
            .env("LISTEN_PID", own_pid);
        // The process id does not change, so that LISTEN_PID is still right. On success, exec does
        // not return.
        return Err(error_text(format!(
            "could not execute the program again: {}",
            command.exec()
        )));
    }
    let inherited = ListenFd::from_env()
        .take_tcp_listener(0)
        .map_err(|error| error_text(error.to_string()))?;
    let listener =
        inherited.ok_or_else(|| error_text("the descriptor was not passed on".into()))?;
    match SockRef::from(&listener).is_listener() {
        Ok(true) => Ok(Some(listener)),
        Ok(false) => Err(error_text("not a listening socket".into())),
        Err(error) => Err(error_text(error.to_string())),
    }
}
