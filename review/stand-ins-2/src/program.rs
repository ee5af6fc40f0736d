//! The balancer as a process of its own, started as the deploy file starts it.

use std::fs::{self, File};
use std::io;
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
static RUNNING: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all balancers.
pub fn end_all() {
    for child in RUNNING.lock().expect("the list's lock").drain(..) {
        let mut child = child.lock().expect("the process's lock");
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The balancer; ended when dropped.
pub struct Balancer {
    child: Arc<Mutex<Child>>,
    log: PathBuf,
}

impl Balancer {
    /// Starts `run` of the deploy file with these arguments.
    pub fn start(arguments: &str, variables: &[(&str, &str)], log: &Path) -> io::Result<Balancer> {
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
        let child = Arc::new(Mutex::new(command.spawn()?));
        let mut running = RUNNING.lock().expect("the list's lock");
        running.push(Arc::clone(&child));
        Ok(Balancer {
            child,
            log: log.to_owned(),
        })
    }

    pub fn id(&self) -> u32 {
        self.child.lock().expect("the process's lock").id()
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let mut child = self.child.lock().expect("the process's lock");
        !matches!(child.try_wait(), Ok(None))
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
        let mut child = self.child.lock().expect("the process's lock");
        let _ = child.kill();
        let _ = child.wait();
    }
}
