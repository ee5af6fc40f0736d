//! Processes of the program: started, killed, paused, told, and started anew with or without what they wrote.

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

/// What outlives a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// Its folder is as it left it.
    Kept,
    /// Its folder is new and empty but for its configuration.
    Lost,
}

/// A process of the program, killed at the end of its story. Its folder is its `TMPDIR`, and holds its configuration
/// and whatever memory file its operator's file names by the word `{disk}`.
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
        .expect("a folder for temporary files")
}

impl Process {
    /// A process that has not been started. `platform` is the platform's configuration, `operator` the operator's
    /// file; its log is in JSON unless that file says otherwise.
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

    /// Has it log each step of each transaction from its next start on.
    pub fn enable_debug_log(&mut self) {
        self.debug_log = true;
    }

    /// Its folder.
    pub fn disk(&self) -> &Path {
        self.disk.path()
    }

    /// Its id in the system while it runs.
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
            .replace("{disk}", disk.to_str().expect("text"));
        if !operator_config.contains("[log]") {
            operator_config.push_str("\n[log]\nform = \"json\"\n");
        }
        std::fs::write(&files[0], &self.platform_config).expect("room");
        std::fs::write(&files[1], operator_config).expect("room");
        files
    }

    /// Starts it.
    pub fn start(&mut self, disk: Disk) {
        assert!(self.running.is_none(), "{} runs", self.name);
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
        let mut child = command.spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
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
            .unwrap_or_else(|| panic!("{} does not run", self.name));
        let pid = Pid::from_raw(pid.try_into().expect("small")).expect("not 0");
        self.record_event(event);
        kill_process(pid, signal).expect("a child");
    }

    /// SIGKILL; gives back without waiting for the end, so that many are killed at once.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL, ProcessEvent::Killed);
    }

    /// SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP, ProcessEvent::Paused);
    }

    /// SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT, ProcessEvent::Resumed);
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM, ProcessEvent::TerminationRequested);
    }

    /// Writes other files, and has it read them by SIGHUP where it runs.
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

    /// Waits for its end, with all that it said taken in; true where it ended in order.
    pub fn wait_for_exit(&mut self) -> bool {
        let Some((mut child, log_reader)) = self.running.take() else {
            return true;
        };
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let status = loop {
            match child.try_wait().expect("a child") {
                Some(status) => break status,
                None if Instant::now() >= deadline => {
                    let _ = child.kill();
                    let _ = child.wait();
                    panic!("{} never ended", self.name);
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

/// Takes in a log line at the moment that it tells.
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
