//! Runs the program under test against scripted peers over loopback.

#![allow(dead_code, reason = "each test file uses a part of the support")]

pub mod api;
pub mod discovery;
pub mod fleet;
pub mod full_backlog_server;
pub mod gated_server;
pub mod nats;
pub mod peer;
pub mod program;
pub mod scripted_nats;
pub mod site;

use beaconflow_fault_injection::ReservedAddress;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

#[allow(unused_imports, reason = "each test file uses a part of the support")]
pub use self::{
    api::{ADMIN_TOKEN, Api, Response},
    discovery::{Discovery, endpoint_list, send_endpoints},
    peer::{Peer, serve_all_openings},
    program::Program,
};

/// Upper bound of every wait; a test that reaches it fails. A draining server moves each client with a probability of one
/// quarter per second, so one client in eighteen waits for more than ten seconds.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// Most log lines in 5 s of a flood: five a second of each of six kinds, and twice as many of other kinds.
pub const MAX_LOG_LINES: usize = 3 * 5 * 6 * 5;

pub const SETTINGS: &str = r#"{"discovery":"subscribe","zones":["a"],"zone":0,"balancers":1,
    "lanes":[{"name":"chat","on-time-ns":400000000,"hard-limit-ns":3000000000,"effect":"retryable","value":1.0},
             {"name":"once","on-time-ns":400000000,"hard-limit-ns":3000000000,"effect":"fragile","value":1.0}],
    "policy-limits":{"max-attempts":4,"connect-timeout-ns":200000000,"retry-after":true,"max-retry-after-ns":2000000000},
    "rules":{"cold-share":0.2,"cold-ns":20000000000,"tip-multiple":3.0,"fall-ns":1500000000,"ask-within-ns":10000000000}}"#;

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Polls until a value is available and returns it; fails after `TEST_TIMEOUT`, so that no test waits forever.
pub fn wait_for<T>(expected: &str, poll: impl Fn() -> Option<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(
            Instant::now() < deadline,
            "timed out waiting for {expected}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Binds a listener to a loopback address that no other listener of this process or of another test process uses.
pub fn listener() -> TcpListener {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    let [_, _, high, low] = pid.to_be_bytes();
    let address = Ipv4Addr::new(127, high | 0x40, low, NEXT.fetch_add(1, Ordering::Relaxed));
    TcpListener::bind((address, 0)).expect("loopback socket is bound")
}

/// Returns a free address that stays reserved for the lifetime of the test process. A port that was only looked up may be
/// taken before the program listens on it.
pub fn reserve_address() -> SocketAddr {
    let reserved = ReservedAddress::default();
    let address = reserved.address;
    std::mem::forget(reserved);
    address
}

/// Text of the platform's configuration file: the clients' listen address, discovery's address and the endpoint list known
/// at start.
pub fn platform_config(
    listen_address: SocketAddr,
    discovery: SocketAddr,
    known_endpoints: &str,
    settings: &str,
    sockets: usize,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen_address}","discovery":"{discovery}","seed":"7","limits":{{"sockets":{sockets}}},
            "known":{known_endpoints},"settings":{settings}}}"#
    )
}

/// Writes a temporary file for one test and returns its path.
pub fn write_temp_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("beaconflow-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("temporary folder is writable");
    path.to_str().expect("valid UTF-8").to_owned()
}
