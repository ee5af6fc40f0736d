//! Case 1: one of six servers hangs; meanwhile the balancer is drained by `POST /standby`. When the server answers again,
//! the balancer is taken back by `POST /active`, and clients come.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_stand_ins::*;

const SERVERS: usize = 6;
/// New connections a second.
const CLIENTS_PER_S: u32 = 17;
/// The class's hard limit, the half second after it, and the 50 ms of the rules on sockets.
const ANSWER_WITHIN: Duration = Duration::from_millis(4_800 + 500 + 50);
/// From the beginning of the hang to the drain, and from there to the hang's end.
const HANG_BEFORE_DRAIN: Duration = Duration::from_secs(4);
const HANG_AFTER_DRAIN: Duration = Duration::from_secs(6);
/// For how long clients come after the balancer was taken back.
const WATCHED_FOR: Duration = Duration::from_secs(20);

/// The stages of the case, by which answers are counted.
const BEFORE: usize = 0;
const HANG: usize = 1;
const TAKEN_BACK: usize = 2;

fn main() {
    std::process::exit(run());
}

/// Clients that come at an even rate while the front sends them.
#[derive(Default)]
struct Arrivals {
    phase: AtomicUsize,
    is_closed: AtomicBool,
    is_over: AtomicBool,
    /// Each answer, with the stage in which its client came.
    met: Mutex<Vec<(usize, Met)>>,
}

impl Arrivals {
    fn run(self: &Arc<Self>, listen: SocketAddr, record: &Record) {
        let (begun_at, mut clients) = (Instant::now(), Vec::new());
        for number in 0.. {
            let at = begun_at + Duration::from_secs(1) * number / CLIENTS_PER_S;
            sleep(at.saturating_duration_since(Instant::now()));
            if self.is_over.load(Ordering::SeqCst) {
                break;
            }
            if self.is_closed.load(Ordering::SeqCst) {
                continue;
            }
            let (shared, record) = (Arc::clone(self), record.clone());
            clients.push(std::thread::spawn(move || {
                shared.one_client(listen, number, &record)
            }));
        }
        for client in clients {
            let _ = client.join();
        }
    }

    fn one_client(&self, listen: SocketAddr, number: u32, record: &Record) {
        let (id, phase) = (format!("{number:016x}"), self.phase.load(Ordering::SeqCst));
        let (met, took, stream) = open(listen, &id, "c=telemetry,d=4800", ANSWER_WITHIN);
        record.line(format!(
            "client {id}, phase {phase}: {met:?} after {} ms",
            took.as_millis()
        ));
        lock(&self.met).push((phase, met.clone()));
        if let Some(stream) = stream.filter(|_| met == Met::Up) {
            self.stay(&stream, &id, record);
        }
    }

    /// A line every 2 s, until the client is moved, the connection ends or the case is over.
    fn stay(&self, mut stream: &TcpStream, id: &str, record: &Record) {
        let mut lines = Lines {
            stream,
            bytes: Vec::new(),
        };
        let mut spoke_at = Instant::now();
        while !self.is_over.load(Ordering::SeqCst) {
            match lines.next(Instant::now() + Duration::from_millis(200)) {
                Some(Some(line)) if line == "MOVE" => {
                    return record.line(format!("client {id}: MOVE"));
                }
                Some(None) => return record.line(format!("client {id}: its connection ended")),
                _ => {}
            }
            if spoke_at.elapsed() >= Duration::from_secs(2) {
                spoke_at = Instant::now();
                let _ = stream.write_all(b"READING 1\r\n");
            }
        }
    }

    fn count(&self, phase: usize, wanted: impl Fn(&Met) -> bool) -> usize {
        lock(&self.met)
            .iter()
            .filter(|(at, met)| *at == phase && wanted(met))
            .count()
    }
}

fn run() -> i32 {
    let stage = Stage::open("1", Duration::from_secs(115));
    let record = stage.record.clone();
    let servers: Vec<Server> = (1..=SERVERS)
        .map(|number| Server::start(&format!("s-{number}"), &record))
        .collect();
    let known: Vec<String> = servers
        .iter()
        .map(|server| entry(&server.name, server.address, "SERVING"))
        .collect();
    let discovery = Discovery::start(&known);
    let (listen, operations) = (free_address(), free_address());
    // The narrow days' settings may give a class another effect: here telemetry may not simply be repeated.
    let config = platform_file(listen, discovery.address, &known).replacen(
        "\"retryable\"",
        "\"fragile\"",
        1,
    );
    let file = stage.write_file("config.json", &config);
    stage.start_program(
        "balancer",
        "",
        &[
            ("LB_CONFIG", &file),
            ("LB_ADMIN_ADDR", &operations.to_string()),
        ],
    );
    if !wait_for_pong(listen) {
        return stage.close(Verdict::CouldNotRun, "the balancer did not become ready");
    }
    let arrivals = Arc::new(Arrivals::default());
    let source = {
        let (arrivals, record) = (Arc::clone(&arrivals), record.clone());
        std::thread::spawn(move || arrivals.run(listen, &record))
    };
    sleep(Duration::from_secs(3));
    arrivals.phase.store(HANG, Ordering::SeqCst);
    if has_trouble() {
        servers[0].set_hanging(true, &record);
    }
    sleep(HANG_BEFORE_DRAIN);
    let (status, body) = call_operations(operations, "POST", "/standby");
    record.line(format!("operations: POST /standby: {status} {body}"));
    if status != 200 {
        return stage.close(Verdict::CouldNotRun, "the balancer could not be drained");
    }
    // The front asks every 0.1 s, and sends new connections for another 0.2 s after the first no.
    sleep(Duration::from_millis(300));
    arrivals.is_closed.store(true, Ordering::SeqCst);
    sleep(HANG_AFTER_DRAIN - Duration::from_millis(300));
    if has_trouble() {
        servers[0].set_hanging(false, &record);
    }
    let (_, body) = call_operations(operations, "GET", "/status");
    record.line(format!("operations: GET /status: {body}"));
    sleep(Duration::from_secs(1));
    let (status, body) = call_operations(operations, "POST", "/active");
    record.line(format!("operations: POST /active: {status} {body}"));
    sleep(Duration::from_secs(2));
    let opened = || {
        servers
            .iter()
            .map(|server| server.opened.load(Ordering::SeqCst))
            .sum::<usize>()
    };
    let (ping, opened_before) = (ask_ping(listen), opened());
    record.line(format!(
        "front: PING is answered {ping:?}; new connections come again"
    ));
    if status != 200 || ping.as_deref() != Some("PONG") {
        return stage.close(
            Verdict::Broken,
            "the balancer was not taken back within 2 s",
        );
    }
    arrivals.phase.store(TAKEN_BACK, Ordering::SeqCst);
    arrivals.is_closed.store(false, Ordering::SeqCst);
    sleep(WATCHED_FOR);
    let ping = ask_ping(listen);
    let (_, body) = call_operations(operations, "GET", "/status");
    arrivals.is_over.store(true, Ordering::SeqCst);
    let _ = source.join();
    let attempts = opened() - opened_before;
    for phase in [BEFORE, HANG, TAKEN_BACK] {
        record.line(format!(
            "phase {phase}: {} clients: {} up, {} busy, {} failed, {} without an answer",
            arrivals.count(phase, |_| true),
            arrivals.count(phase, |met| *met == Met::Up),
            arrivals.count(phase, |met| *met == Met::Busy),
            arrivals.count(phase, |met| matches!(met, Met::Failed(_))),
            arrivals.count(phase, |met| matches!(met, Met::Ended | Met::Nothing)),
        ));
    }
    // All servers answer whoever comes to them directly.
    let are_servers_well = servers.iter().all(|server| {
        open(
            server.address,
            "direct",
            "c=telemetry,d=1000",
            Duration::from_secs(1),
        )
        .0 == Met::Up
    });
    record.line(format!(
        "after it was taken back: {attempts} attempts in {} s; PING is answered {ping:?}; GET /status: {body}; the servers answer: {are_servers_well}",
        WATCHED_FOR.as_secs()
    ));
    if !are_servers_well {
        return stage.close(Verdict::CouldNotRun, "the servers did not work");
    }
    let (came, up) = (
        arrivals.count(TAKEN_BACK, |_| true),
        arrivals.count(TAKEN_BACK, |met| *met == Met::Up),
    );
    if came < 15 {
        return stage.close(Verdict::CouldNotRun, "too few clients came");
    }
    if up == 0 && attempts == 0 {
        return stage.close(
            Verdict::Broken,
            &format!("says PONG, and took none of {came} clients in {} s: no attempt was made, and every server answers", WATCHED_FOR.as_secs()),
        );
    }
    stage.close(
        Verdict::Held,
        &format!("{up} of {came} clients were served after the balancer was taken back"),
    )
}
