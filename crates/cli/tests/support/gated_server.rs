//! A stand-in for an application server whose set-ups all wait until the test lets them go, or for a time by chance.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use super::listener;

/// Which protocol it speaks.
#[derive(Clone, Copy, PartialEq)]
pub enum Protocol {
    Platform,
    Nats,
}

#[derive(Default)]
struct State {
    /// First words of each set-up, as they came: the OPEN line or the CONNECT line.
    setups: Vec<String>,
    /// So many of them may stand.
    admitted_count: usize,
    /// They stand by themselves after a time by chance: its mean, and what the next one is drawn from.
    random_delay: Option<(Duration, u64)>,
}

/// The server.
pub struct GatedServer {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl GatedServer {
    pub fn start(protocol: Protocol) -> GatedServer {
        let listener: TcpListener = listener();
        let address = listener.local_addr().expect("bound");
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

    /// Its set-ups take a time by chance, exponential with this mean.
    pub fn start_with_random_delay(protocol: Protocol, mean: Duration, seed: u64) -> GatedServer {
        let server = GatedServer::start(protocol);
        let state = Arc::clone(&server.state);
        state.0.lock().expect("sound").random_delay = Some((mean, seed));
        server
    }

    /// Lets so many set-ups more stand, in the order in which they came.
    pub fn admit(&self, count: usize) {
        let mut state = self.state.0.lock().expect("sound");
        state.admitted_count = state.admitted_count.saturating_add(count);
        self.state.1.notify_all();
    }

    /// Waits until so many set-ups have come; gives their first words.
    pub fn wait_for_setups(&self, count: usize) -> Vec<String> {
        let state = self.state.0.lock().expect("sound");
        let is_short = |state: &mut State| state.setups.len() < count;
        let (state, wait_result) = self
            .state
            .1
            .wait_timeout_while(state, super::TEST_TIMEOUT, is_short)
            .expect("sound");
        assert!(
            !wait_result.timed_out(),
            "{} of {count} set-ups came",
            state.setups.len()
        );
        state.setups.clone()
    }
}

/// One connection to its end. Nothing is said to a peer that has left.
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
    let mut state_guard = state.lock().expect("sound");
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
                .expect("sound"),
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
    // What stands, stands until the other side ends it. The first PING was the balancer's, and is answered.
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
