//! The program under test and its scripted peers, over loopback.

#![allow(dead_code, reason = "each test file uses its part")]

pub mod api;
pub mod discovery;
pub mod fleet;
pub mod full_backlog_server;
pub mod gated_server;
pub mod nats;
pub mod peer;
pub mod program;
pub mod site;

use beaconflow_fault_injection::ReservedAddress;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

#[allow(unused_imports, reason = "each test file uses its part")]
pub use self::{
    api::{ADMIN_TOKEN, Api, Response},
    discovery::{Discovery, endpoint_list, send_endpoints},
    peer::{Peer, serve_all_openings},
    program::Program,
};

/// Longer than anything here takes; a test that waits for so long has failed. A client of a draining server is moved by
/// odds of a quarter in each second: one in eighteen waits for over ten.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);

pub const SETTINGS: &str = r#"{"discovery":"subscribe","zones":["a"],"zone":0,"balancers":1,
    "lanes":[{"name":"chat","on-time-ns":400000000,"hard-limit-ns":3000000000,"effect":"retryable","value":1.0},
             {"name":"once","on-time-ns":400000000,"hard-limit-ns":3000000000,"effect":"fragile","value":1.0}],
    "policy-limits":{"max-attempts":4,"connect-timeout-ns":200000000,"retry-after":true,"max-retry-after-ns":2000000000},
    "rules":{"cold-share":0.2,"cold-ns":20000000000,"tip-multiple":3.0,"fall-ns":1500000000,"ask-within-ns":10000000000}}"#;

/// A condition that is waited for is looked at this often.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits until something is there, and gives it. Guards against a test that would wait without an end.
pub fn wait_for<T>(expected: &str, poll: impl Fn() -> Option<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < deadline, "never came: {expected}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A listener at an address that nobody else in this process or another test's has.
pub fn listener() -> TcpListener {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    let [_, _, high, low] = pid.to_be_bytes();
    let address = Ipv4Addr::new(127, high | 0x40, low, NEXT.fetch_add(1, Ordering::Relaxed));
    TcpListener::bind((address, 0)).expect("loopback")
}

/// An address that is free, and stays reserved for as long as the test's process lives: a port that
/// was only looked up may be taken before the program listens there.
pub fn reserve_address() -> SocketAddr {
    let reserved = ReservedAddress::default();
    let address = reserved.address;
    std::mem::forget(reserved);
    address
}

/// The platform's configuration file: where clients connect, where discovery is, what was known of the farm.
pub fn platform_config(
    listen_address: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    settings: &str,
    sockets: usize,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen_address}","discovery":"{discovery}","seed":"7","limits":{{"sockets":{sockets}}},
            "known":{known},"settings":{settings}}}"#
    )
}

/// A file for one test.
pub fn write_temp_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("beaconflow-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a folder for temporary files");
    path.to_str().expect("text").to_owned()
}
