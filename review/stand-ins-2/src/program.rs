//! The balancer as a process of its own, started as the deploy file starts it.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A free loopback address.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The balancers that run, so that a case that takes too long can end them.
static RUNNING: Mutex<Vec<Arc<Mutex<Process>>>> = Mutex::new(Vec::new());

/// Ends all balancers.
pub fn end_all() {
    for process in RUNNING.lock().expect("the list's lock").drain(..) {
        process.lock().expect("the process's lock").end();
    }
}

/// A balancer's process, and a shell that kills it and removes the case's folder if the driver is
/// killed from outside: the shell's input ends then without a line.
struct Process {
    child: Child,
    guard: Child,
}

impl Process {
    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(mut input) = self.guard.stdin.take() {
            let _ = input.write_all(b"ended\n");
        }
        let _ = self.guard.wait();
    }
}

/// The balancer; ended when dropped.
pub struct Balancer {
    process: Arc<Mutex<Process>>,
    log: PathBuf,
}

impl Balancer {
    /// Starts `run` of the deploy file with these arguments. `log` is in the case's folder.
    pub fn start(arguments: &str, variables: &[(&str, &str)], log: &Path) -> io::Result<Balancer> {
        let folder = log.parent().ok_or(io::ErrorKind::InvalidInput)?;
        let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".into());
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("exec target/release/beaconflow serve {arguments}"))
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log)?)
            .env_remove("LB_CONFIG");
        for (name, value) in variables {
            command.env(name, value);
        }
        let mut child = command.spawn()?;
        let guard = Command::new("/bin/sh")
            .args(["-c", r#"read -r line || { kill -9 "$0"; rm -rf "$1"; }"#])
            .arg(child.id().to_string())
            .arg(folder)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let guard = guard.inspect_err(|_| {
            let _ = child.kill();
            let _ = child.wait();
        })?;
        let process = Arc::new(Mutex::new(Process { child, guard }));
        let mut running = RUNNING.lock().expect("the list's lock");
        running.push(Arc::clone(&process));
        Ok(Balancer {
            process,
            log: log.to_owned(),
        })
    }

    pub fn id(&self) -> u32 {
        self.process.lock().expect("the process's lock").child.id()
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let mut process = self.process.lock().expect("the process's lock");
        !matches!(process.child.try_wait(), Ok(None))
    }

    /// Waits until something accepts at the address.
    pub fn wait_for(&mut self, address: SocketAddr) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if TcpStream::connect(address).is_ok() {
                return Ok(());
            }
            if self.has_ended() {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("the balancer did not start: {}", self.log_text()))
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.process.lock().expect("the process's lock").end();
    }
}
