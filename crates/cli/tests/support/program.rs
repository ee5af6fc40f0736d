//! Starts, signals and observes the program under test.

use std::fs::Permissions;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use super::TEST_TIMEOUT;

/// A running program, killed when its test ends; its remaining log is printed if the test panics.
pub struct Program {
    child: Child,
    log: Receiver<String>,
}

impl Program {
    pub fn start(args: &[&str], env: &[(&str, &str)]) -> Program {
        Program::spawn(Command::new(env!("CARGO_BIN_EXE_beaconflow")), args, env)
    }

    /// Starts it as an unprivileged user, to whom file permissions apply. Tests run as root need a copy of the binary that
    /// other users may execute.
    pub fn start_unprivileged(binary_copy: &Path, args: &[&str], env: &[(&str, &str)]) -> Program {
        std::fs::copy(env!("CARGO_BIN_EXE_beaconflow"), binary_copy).expect("write succeeds");
        std::fs::set_permissions(binary_copy, Permissions::from_mode(0o755))
            .expect("owner changes permissions");
        let mut command = Command::new(binary_copy);
        if rustix::process::geteuid().is_root() {
            command.uid(65_534).gid(65_534);
        }
        Program::spawn(command, args, env)
    }

    /// Starts it with a limit on open file descriptors.
    pub fn start_with_descriptor_limit(descriptors: usize, env: &[(&str, &str)]) -> Program {
        let mut command = Command::new("sh");
        let script = format!(r#"ulimit -n {descriptors}; exec "$0" "$@""#);
        command.args(["-c", &script, env!("CARGO_BIN_EXE_beaconflow")]);
        Program::spawn(command, &[], env)
    }

    /// Starts it with a listener of the test inherited as descriptor 3.
    pub fn start_with_inherited_listener(listener: &TcpListener, env: &[(&str, &str)]) -> Program {
        let mut command = Command::new("sh");
        command.args([
            "-c",
            r#"exec 3<&0 </dev/null; exec "$0" "$@""#,
            env!("CARGO_BIN_EXE_beaconflow"),
        ]);
        command.stdin(OwnedFd::from(listener.try_clone().expect("socket is open")));
        Program::spawn(command, &[], &[&[("LB_INHERITED_FD", "3")], env].concat())
    }

    /// Kills the program with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        self.child.kill().expect("child process exists");
        let _ = self.child.wait();
    }

    fn spawn(mut command: Command, args: &[&str], env: &[(&str, &str)]) -> Program {
        command
            .arg("serve")
            .args(args)
            .envs(env.iter().copied())
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let (line_sender, log) = channel();
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| line_sender.send(line))
        });
        Program { child, log }
    }

    /// Waits for a log line that contains the text; on failure, the panic lists the lines seen instead.
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let mut lines = Vec::new();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.log.recv_timeout(remaining) {
                Ok(line) if line.contains(text) => return line,
                Ok(line) => lines.push(line),
                Err(error) => {
                    panic!("no log line contains {text:?} ({error}); lines read: {lines:#?}")
                }
            }
        }
    }

    /// Returns the log lines up to the one that contains the text.
    pub fn read_log_until(&self, text: &str) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        while lines.last().is_none_or(|line| !line.contains(text)) {
            lines.push(
                self.log
                    .recv_timeout(TEST_TIMEOUT)
                    .unwrap_or_else(|_| panic!("no log line contains {text:?}: {lines:#?}")),
            );
        }
        lines
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .expect("kill command runs");
        assert!(status.success());
    }

    /// Stops the program, and returns once none of its threads runs: one that waits for a processor takes the signal late.
    pub fn stop(&self) {
        self.signal("STOP");
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !self.are_all_threads_stopped() {
            assert!(Instant::now() < deadline, "the program does not stop");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn are_all_threads_stopped(&self) -> bool {
        let path = format!("/proc/{}/task", self.pid());
        let threads = std::fs::read_dir(path).expect("program is running");
        threads.flatten().all(|thread| {
            // The state follows the name in parentheses. A thread that has ended meanwhile doesn't run.
            std::fs::read_to_string(thread.path().join("stat")).map_or(true, |stat| {
                stat.rsplit_once(") ")
                    .is_some_and(|(_, fields)| fields.starts_with('T'))
            })
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Current number of the program's open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid()))
            .expect("program is running")
            .count()
    }

    /// Processor time that the program has used.
    pub fn cpu_time(&self) -> Duration {
        let path = format!("/proc/{}/stat", self.pid());
        let stat = std::fs::read_to_string(path).expect("program is running");
        // The fields after the name in parentheses begin with the third one; 14 and 15 are the times.
        let (_, fields) = stat.rsplit_once(')').expect("a name in parentheses");
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: u64 = ticks
            .map(|field| field.parse::<u64>().expect("a number"))
            .sum();
        Duration::from_millis(ticks * 1_000 / rustix::param::clock_ticks_per_second())
    }

    /// Removes the log lines that have been written so far and returns their number.
    pub fn take_log_lines(&self) -> usize {
        self.log.try_iter().count()
    }

    /// Current number of the program's threads.
    pub fn thread_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.child.id()))
            .expect("program is running")
            .count()
    }

    /// Waits for the program to exit by itself; true if its status is success.
    pub fn exits_cleanly(&mut self) -> bool {
        self.wait_for_exit().success()
    }

    /// Waits for the program to exit and returns its status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("child process exists") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the program did not exit");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.log.iter().for_each(|line| eprintln!("{line}"));
        }
    }
}
