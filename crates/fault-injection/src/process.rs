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

use crate::record::{Did, Record, WAIT_TIMEOUT, What};

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
    platform: String,
    operator: String,
    debug: bool,
    disk: TempDir,
    running: Option<(Child, JoinHandle<()>)>,
}

pub(crate) fn folder() -> TempDir {
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
        platform: String,
        operator: &str,
    ) -> Process {
        Process {
            name: name.to_owned(),
            program: program.to_owned(),
            record: record.clone(),
            platform,
            operator: operator.to_owned(),
            debug: false,
            disk: folder(),
            running: None,
        }
    }

    /// Has it log each step of each transaction from its next start on.
    pub fn debugs(&mut self) {
        self.debug = true;
    }

    /// Its folder.
    pub fn disk(&self) -> &Path {
        self.disk.path()
    }

    /// Its id in the system while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.running.as_ref().map(|(child, _)| child.id())
    }

    fn note(&self, did: Did) {
        self.record.note(What::Process {
            process: self.name.clone(),
            did,
        });
    }

    fn write_files(&self) -> [PathBuf; 2] {
        let disk = self.disk.path();
        let files = [disk.join("platform.json"), disk.join("operator.toml")];
        let mut operator = self
            .operator
            .replace("{disk}", disk.to_str().expect("text"));
        if !operator.contains("[log]") {
            operator.push_str("\n[log]\nform = \"json\"\n");
        }
        std::fs::write(&files[0], &self.platform).expect("room");
        std::fs::write(&files[1], operator).expect("room");
        files
    }

    /// Starts it.
    pub fn start(&mut self, disk: Disk) {
        assert!(self.running.is_none(), "{} runs", self.name);
        if disk == Disk::Lost {
            self.disk = folder();
        }
        let [platform, operator] = self.write_files();
        let mut command = Command::new(&self.program);
        command
            .arg("serve")
            .arg("--operator")
            .arg(operator)
            .env("LB_CONFIG", platform);
        command
            .env("TMPDIR", self.disk.path())
            .stderr(Stdio::piped())
            .stdin(Stdio::null());
        if self.debug {
            command.env("BEACONFLOW_LOG", "debug");
        }
        self.note(Did::Started);
        let mut child = command.spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (record, process) = (self.record.clone(), self.name.clone());
        let reader = std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                take_in(&record, &process, line);
            }
        });
        self.running = Some((child, reader));
    }

    fn signal(&self, signal: Signal, did: Did) {
        let pid = self
            .pid()
            .unwrap_or_else(|| panic!("{} does not run", self.name));
        let pid = Pid::from_raw(pid.try_into().expect("small")).expect("not 0");
        self.note(did);
        kill_process(pid, signal).expect("a child");
    }

    /// SIGKILL; gives back without waiting for the end, so that many are killed at once.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL, Did::Killed);
    }

    /// SIGSTOP.
    pub fn stop(&self) {
        self.signal(Signal::STOP, Did::Stopped);
    }

    /// SIGCONT.
    pub fn proceed(&self) {
        self.signal(Signal::CONT, Did::Continued);
    }

    /// SIGTERM.
    pub fn tell_to_leave(&self) {
        self.signal(Signal::TERM, Did::Told);
    }

    /// Writes other files, and has it read them by SIGHUP where it runs.
    pub fn configure(&mut self, platform: Option<String>, operator: Option<String>) {
        self.platform = platform.unwrap_or_else(|| std::mem::take(&mut self.platform));
        self.operator = operator.unwrap_or_else(|| std::mem::take(&mut self.operator));
        self.write_files();
        if self.running.is_some() {
            self.signal(Signal::HUP, Did::Reloaded);
        }
    }

    /// Waits for its end, with all that it said taken in; true where it ended in order.
    pub fn ends(&mut self) -> bool {
        let Some((mut child, reader)) = self.running.take() else {
            return true;
        };
        let until = Instant::now() + WAIT_TIMEOUT;
        let status = loop {
            match child.try_wait().expect("a child") {
                Some(status) => break status,
                None if Instant::now() >= until => {
                    let _ = child.kill();
                    let _ = child.wait();
                    panic!("{} never ended", self.name);
                }
                None => std::thread::sleep(std::time::Duration::from_millis(2)),
            }
        };
        let _ = reader.join();
        if status.signal().is_none() {
            self.note(Did::Ended(status.success()));
        }
        status.success()
    }
}

/// Takes in a log line at the moment that it tells.
fn take_in(record: &Record, process: &str, line: String) {
    let line = serde_json::from_str(&line).unwrap_or(Value::String(line));
    let time = line["time"]
        .as_str()
        .and_then(|time| humantime::parse_rfc3339(time).ok());
    let at = time.map_or_else(|| record.now(), |time| record.moment_of(time));
    record.note_at(
        at,
        What::Log {
            process: process.to_owned(),
            line,
        },
    );
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some((mut child, reader)) = self.running.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = reader.join();
        }
    }
}
