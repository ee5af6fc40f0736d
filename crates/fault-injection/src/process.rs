//! Processes of the program: starts, signals, reconfigures and restarts them with or without their files.

use std::io::{BufRead, BufReader};
use std::os::unix::process::ExitStatusExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::JoinHandle;
use std::time::Instant;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tempfile::TempDir;

use crate::record::{EventKind, ProcessEvent, Record, WAIT_TIMEOUT};

/// What happens to the files of a process when it starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// Its directory is unchanged.
    Kept,
    /// Its directory is new and holds only its configuration.
    Lost,
}

/// A process of the program, killed when dropped. Its directory is its `TMPDIR`; it holds the configuration and any
/// file that the operator's file names with the placeholder `{disk}`.
pub struct Process {
    name: String,
    program: PathBuf,
    record: Record,
    platform_config: String,
    operator_config: String,
    debug_log: bool,
    disk: TempDir,
    running: Option<(Child, JoinHandle<()>)>,
}

pub(crate) fn temporary_dir() -> TempDir {
    tempfile::Builder::new()
        .prefix("beaconflow-fault-injection-")
        .tempdir()
        .expect("create a temporary directory")
}

impl Process {
    /// A process that is not started yet. `platform_config` is the platform's configuration, `operator_config` the
    /// operator's file; the log is JSON unless that file has a `[log]` section.
    pub fn new(
        name: &str,
        program: &Path,
        record: &Record,
        platform_config: String,
        operator_config: &str,
    ) -> Process {
        Process {
            name: name.to_owned(),
            program: program.to_owned(),
            record: record.clone(),
            platform_config,
            operator_config: operator_config.to_owned(),
            debug_log: false,
            disk: temporary_dir(),
            running: None,
        }
    }

    /// Enables debug logging from its next start on.
    pub fn enable_debug_log(&mut self) {
        self.debug_log = true;
    }

    /// Its directory, replaced on a start with [`Disk::Lost`].
    pub fn disk(&self) -> &Path {
        self.disk.path()
    }

    /// Its process id while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.running.as_ref().map(|(child, _)| child.id())
    }

    fn record_event(&self, event: ProcessEvent) {
        self.record.append(EventKind::Process {
            process: self.name.clone(),
            event,
        });
    }

    fn write_files(&self) -> [PathBuf; 2] {
        let disk = self.disk.path();
        let files = [disk.join("platform.json"), disk.join("operator.toml")];
        let mut operator_config = self
            .operator_config
            .replace("{disk}", disk.to_str().expect("the path is valid UTF-8"));
        if !operator_config.contains("[log]") {
            operator_config.push_str("\n[log]\nform = \"json\"\n");
        }
        std::fs::write(&files[0], &self.platform_config).expect("write a configuration file");
        std::fs::write(&files[1], operator_config).expect("write a configuration file");
        files
    }

    /// Starts the process. Panics if it is running.
    pub fn start(&mut self, disk: Disk) {
        assert!(self.running.is_none(), "{} is already running", self.name);
        if disk == Disk::Lost {
            self.disk = temporary_dir();
        }
        let [platform_path, operator_path] = self.write_files();
        let mut command = Command::new(&self.program);
        command
            .arg("serve")
            .arg("--operator")
            .arg(operator_path)
            .env("LB_CONFIG", platform_path);
        command
            .env("TMPDIR", self.disk.path())
            .stderr(Stdio::piped())
            .stdin(Stdio::null());
        if self.debug_log {
            command.env("BEACONFLOW_LOG", "debug");
        }
        self.record_event(ProcessEvent::Started);
        let mut child = command.spawn().expect("start the program");
        let lines = BufReader::new(child.stderr.take().expect("standard error is piped")).lines();
        let (record, process) = (self.record.clone(), self.name.clone());
        let log_reader = std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record_log_line(&record, &process, line);
            }
        });
        self.running = Some((child, log_reader));
    }

    fn signal(&self, signal: Signal, event: ProcessEvent) {
        let pid = self
            .pid()
            .unwrap_or_else(|| panic!("{} is not running", self.name));
        let pid = Pid::from_raw(pid.try_into().expect("the process id fits"))
            .expect("the process id is not 0");
        self.record_event(event);
        kill_process(pid, signal).expect("signal a child process");
    }

    /// Sends SIGKILL and returns without waiting for the exit, so that many processes can be killed at once.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL, ProcessEvent::Killed);
    }

    /// Sends SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP, ProcessEvent::Paused);
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT, ProcessEvent::Resumed);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM, ProcessEvent::TerminationRequested);
    }

    /// Replaces the given configuration files, and sends SIGHUP if the process runs.
    pub fn configure(&mut self, platform_config: Option<String>, operator_config: Option<String>) {
        self.platform_config =
            platform_config.unwrap_or_else(|| std::mem::take(&mut self.platform_config));
        self.operator_config =
            operator_config.unwrap_or_else(|| std::mem::take(&mut self.operator_config));
        self.write_files();
        if self.running.is_some() {
            self.signal(Signal::HUP, ProcessEvent::Reloaded);
        }
    }

    /// Waits for the exit and for the last log line to be recorded; true if the exit status is 0 or it does not run.
    pub fn wait_for_exit(&mut self) -> bool {
        let Some((mut child, log_reader)) = self.running.take() else {
            return true;
        };
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let status = loop {
            match child.try_wait().expect("query a child process") {
                Some(status) => break status,
                None if Instant::now() >= deadline => {
                    let _ = child.kill();
                    let _ = child.wait();
                    panic!("{} did not exit in time", self.name);
                }
                None => std::thread::sleep(std::time::Duration::from_millis(2)),
            }
        };
        let _ = log_reader.join();
        if status.signal().is_none() {
            self.record_event(ProcessEvent::Exited(status.success()));
        }
        status.success()
    }
}

/// Records a log line at the time that it carries, or now if it has none.
fn record_log_line(record: &Record, process: &str, line: String) {
    let line = serde_json::from_str(&line).unwrap_or(Value::String(line));
    let time = line["time"]
        .as_str()
        .and_then(|time| humantime::parse_rfc3339(time).ok());
    let at = time.map_or_else(|| record.now(), |time| record.timestamp_of(time));
    record.append_at(
        at,
        EventKind::Log {
            process: process.to_owned(),
            line,
        },
    );
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some((mut child, log_reader)) = self.running.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = log_reader.join();
        }
    }
}
