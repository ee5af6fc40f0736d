//! A stand-in for an application server whose connection set-ups wait until the test admits them, or for a random delay.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use super::listener;

/// Protocol of the server's connections.
#[derive(Clone, Copy, PartialEq)]
pub enum Protocol {
    Platform,
    Nats,
}

#[derive(Default)]
struct State {
    /// First line of each set-up in order of arrival: the OPEN line or the CONNECT line.
    setups: Vec<String>,
    /// Number of set-ups that may complete.
    admitted_count: usize,
    /// Mean of the random delay after which set-ups complete by themselves, and the state of the random generator.
    random_delay: Option<(Duration, u64)>,
}

/// Application server that holds connection set-ups back.
pub struct GatedServer {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl GatedServer {
    pub fn start(protocol: Protocol) -> GatedServer {
        let listener: TcpListener = listener();
        let address = listener
            .local_addr()
            .expect("bound socket has a local address");
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let state = Arc::clone(&shared);
                std::thread::spawn(move || serve_connection(&stream, protocol, &state));
            }
        });
        GatedServer { address, state }
    }

    /// Starts a server whose set-ups take an exponentially distributed time with this mean.
    pub fn start_with_random_delay(protocol: Protocol, mean: Duration, seed: u64) -> GatedServer {
        let server = GatedServer::start(protocol);
        let state = Arc::clone(&server.state);
        state.0.lock().expect("lock is not poisoned").random_delay = Some((mean, seed));
        server
    }

    /// Admits this many further set-ups in the order of their arrival.
    pub fn admit(&self, count: usize) {
        let mut state = self.state.0.lock().expect("lock is not poisoned");
        state.admitted_count = state.admitted_count.saturating_add(count);
        self.state.1.notify_all();
    }

    /// Waits until this many set-ups have arrived and returns the first line of each.
    pub fn wait_for_setups(&self, count: usize) -> Vec<String> {
        let state = self.state.0.lock().expect("lock is not poisoned");
        let is_short = |state: &mut State| state.setups.len() < count;
        let (state, wait_result) = self
            .state
            .1
            .wait_timeout_while(state, super::TEST_TIMEOUT, is_short)
            .expect("lock is not poisoned");
        assert!(
            !wait_result.timed_out(),
            "{} of {count} set-ups arrived",
            state.setups.len()
        );
        state.setups.clone()
    }
}

/// Serves one connection until it closes; stops at the first failed write, as the peer has left.
fn serve_connection(
    mut stream: &TcpStream,
    protocol: Protocol,
    (state, changed): &(Mutex<State>, Condvar),
) {
    if protocol == Protocol::Nats
        && stream
            .write_all(b"INFO {\"server_id\":\"x\",\"max_payload\":1024}\r\n")
            .is_err()
    {
        return;
    }
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line).unwrap_or(0) == 0 {
        return;
    }
    let mut state_guard = state.lock().expect("lock is not poisoned");
    if let Some((mean, seed)) = &mut state_guard.random_delay {
        *seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let delay = mean.mul_f64(-(1.0 - (*seed >> 11) as f64 / (1_u64 << 53) as f64).ln());
        drop(state_guard);
        std::thread::sleep(delay);
    } else {
        state_guard.setups.push(line.trim_end().to_owned());
        let number = state_guard.setups.len();
        changed.notify_all();
        drop(
            changed
                .wait_while(state_guard, |state| state.admitted_count < number)
                .expect("lock is not poisoned"),
        );
    }
    let reply: &[u8] = if protocol == Protocol::Nats {
        b"PONG\r\n"
    } else {
        b"UP r1\r\n"
    };
    if stream.write_all(reply).is_err() {
        return;
    }
    // The connection stays established until the peer closes it. The first PING was the balancer's and is already answered.
    let mut pings = 0;
    loop {
        line.clear();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        pings += usize::from(line.starts_with("PING"));
        if pings > 1 && line.starts_with("PING") && stream.write_all(b"PONG\r\n").is_err() {
            return;
        }
    }
}
