//! Signals to a balancer under load: SIGHUP, SIGTERM, and a rolling restart of a part of the fleet while servers are
//! replaced.

mod support;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::site::Site;
use support::*;

/// Shortest time from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, plus 0.7 s.
const SIGKILL_DELAY: Duration = Duration::from_millis(3_700);

/// An invalid file at SIGHUP changes nothing, and the log names the fault; no part of such a file may be applied.
#[test]
fn sighup_keeps_configuration_when_file_is_invalid() {
    let site = Site::start("unsound", 2);
    let _watch = site.discovery.accept_watch();
    let (mut client, mut server) = site.establish_connection();
    let changed_config = site.config.replace(
        &site.discovery.address.to_string(),
        &reserve_address().to_string(),
    );
    for (from, to, expected_error) in [
        ("\"n0\"", "7", "name: invalid type"),
        (
            "\"sockets\":256",
            "\"sockets\":\"many\"",
            "limits.sockets: invalid type",
        ),
        (
            "\"balancers\":1",
            "\"balancers\":\"many\"",
            "settings.balancers: invalid type",
        ),
        (
            "\"balancers\":1",
            "\"balancers\":0",
            "settings.balancers: must be at least 1",
        ),
        (
            "\"cold-share\":0.2",
            "\"cold-share\":7",
            "settings.rules.cold-share: must be above 0",
        ),
        (
            "\"subscribe\"",
            "\"by pigeon\"",
            "settings.discovery: unknown discovery",
        ),
        (
            "\"retryable\"",
            "\"maybe\"",
            "settings.lanes[0].effect: unknown effect",
        ),
        ("}}", "}", "EOF while parsing"),
        ("}}", "}}}}", "trailing characters"),
    ] {
        // Discovery's address, which a valid file could change, differs as well.
        let invalid_config = changed_config.replacen(from, to, 1);
        let invalid_config = if from == "}}" {
            changed_config.trim_end().trim_end_matches('}').to_owned() + to
        } else {
            invalid_config
        };
        std::fs::write(&site.config_path, &invalid_config).expect("configuration file is written");
        site.program.signal("HUP");
        let line = site
            .program
            .wait_for_log("reload failed; current configuration kept");
        assert!(line.contains(expected_error), "{to}: {line}");
    }
    std::fs::remove_file(&site.config_path).expect("configuration file exists");
    site.program.signal("HUP");
    assert!(
        site.program
            .wait_for_log("reload failed; current configuration kept")
            .contains("No such file")
    );
    client.send("M 1\r\n");
    server.expect_line("M 1");
    let _serves_on = site.establish_connection();
    std::fs::write(&site.config_path, &site.config).expect("configuration file is written");
    site.program.signal("HUP");
    site.program.wait_for_log("configuration is unchanged");
}

#[test]
fn sighup_applies_balancer_count_without_disturbing_connections() {
    let site = Site::start("counted", 1);
    let (mut client, mut server) = site.establish_connection();
    // A balancer of a small fleet may start with twelve concurrent set-ups, one of 300 with a single one.
    let larger_fleet_config = site.config.replace("\"balancers\":1", "\"balancers\":300");
    std::fs::write(&site.config_path, larger_fleet_config).expect("configuration file is written");
    site.program.signal("HUP");
    assert!(
        site.program
            .wait_for_log("configuration changes applied")
            .contains("300 balancers")
    );
    let mut first = site.open_client("once", "");
    let mut server_side = Peer::accept(&site.servers[0]);
    server_side.read_line().expect("an OPEN line");
    let mut second = site.open_client("once", "");
    std::thread::sleep(Duration::from_millis(100));
    site.servers[0]
        .set_nonblocking(true)
        .expect("socket is open");
    assert!(
        site.servers[0].accept().is_err(),
        "its share of the fleet's set-up limit is in use"
    );
    server_side.send("UP r1\r\n");
    first.expect_line("UP r1");
    let mut server_side = Peer::accept(&site.servers[0]);
    server_side.read_line().expect("an OPEN line");
    server_side.send("UP r2\r\n");
    second.expect_line("UP r2");
    client.send("M 1\r\n");
    server.expect_line("M 1");
    site.program.signal("HUP");
    site.program.wait_for_log("configuration is unchanged");
}

/// After SIGTERM idle connections are still served or ended, and nothing that arrives after their end is forwarded.
#[test]
fn sigterm_drains_idle_connections_and_forwards_nothing_afterwards() {
    let mut site = Site::start("rests", 1);
    let (mut established, mut server) = site.establish_connection();
    let mut silent_client = Peer::connect(site.address);
    let mut idle = Peer::connect(site.address);
    idle.send("PING\r\n");
    idle.expect_line("PONG");
    server.send("hal");
    assert_eq!(established.read_text(3), "hal");
    let signalled_at = Instant::now();
    site.program.signal("TERM");
    site.program.wait_for_log("to=leaving");
    // A request on an idle connection is served, and its client is moved with the others.
    idle.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    let mut resumed_server = Peer::accept(&site.servers[0]);
    resumed_server.read_line().expect("an OPEN line");
    resumed_server.send("UP r2\r\n");
    idle.expect_line("UP r2");
    // A server's partial line is completed before the client is moved.
    server.send("f\r\n");
    established.expect_line("f");
    established.expect_line("MOVE");
    // A client that stays connected: what it sends now arrives after the shutdown of its connection.
    established.send("M late\r\n");
    established.expect_end();
    server.expect_end();
    idle.expect_line("MOVE");
    idle.expect_end();
    // A client that has sent nothing gets an answer or an end of the connection, and no reset.
    let answer = silent_client.read_line();
    assert!(
        matches!(answer.as_deref(), Some("ERR" | "BUSY") | None),
        "{answer:?}"
    );
    // Its request comes after that: it is not read, or not forwarded.
    let _ = silent_client
        .stream
        .write_all(b"OPEN b2 02 c=chat,t=acme,d=2500,g=3\r\n");
    assert!(
        site.program.exits_cleanly(),
        "program exits with success by itself"
    );
    site.servers[0]
        .set_nonblocking(true)
        .expect("socket is open");
    assert!(
        site.servers[0].accept().is_err(),
        "nothing more is forwarded"
    );
    assert!(
        signalled_at.elapsed() < SIGKILL_DELAY,
        "{:?}",
        signalled_at.elapsed()
    );
}

/// Discovery for a whole fleet: sends each new watch the snapshot and every watch each delta.
#[derive(Clone, Default)]
struct FleetDiscovery(Arc<Mutex<DiscoveryState>>);

#[derive(Default)]
struct DiscoveryState {
    generation: u32,
    servers: Vec<(String, SocketAddr, &'static str)>,
    watches: Vec<TcpStream>,
}

impl DiscoveryState {
    fn list(&self, reset: bool, servers: &[(String, SocketAddr, &'static str)]) -> String {
        let rows: Vec<_> = servers
            .iter()
            .map(|(name, at, state)| (name.as_str(), *at, *state))
            .collect();
        let list = endpoint_list(self.generation, reset, &rows);
        format!("{:x}\r\n{list}\n\r\n", list.len() + 1)
    }
}

impl FleetDiscovery {
    fn serve(&self, listener: TcpListener) {
        let fleet_discovery = self.clone();
        std::thread::spawn(move || {
            loop {
                let Ok((stream, _)) = listener.accept() else {
                    return;
                };
                let mut peer = Peer::new(stream);
                while peer
                    .read_line_or_end()
                    .is_some_and(|line| line.trim_end() != "")
                {}
                let mut state = fleet_discovery.0.lock().expect("lock is not poisoned");
                let whole = state.list(true, &state.servers);
                peer.send(&format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{whole}"
                ));
                state.watches.push(peer.stream);
            }
        });
        let fleet_discovery = self.clone();
        std::thread::spawn(move || {
            loop {
                fleet_discovery.broadcast("1\r\n\n\r\n");
                std::thread::sleep(Duration::from_millis(500));
            }
        });
    }

    fn broadcast(&self, message: &str) {
        self.0
            .lock()
            .expect("lock is not poisoned")
            .watches
            .retain_mut(|watch| watch.write_all(message.as_bytes()).is_ok());
    }

    /// Starts to drain one server and adds another in its place.
    fn replace_server(&self, old: usize, new: (String, SocketAddr)) {
        let message = {
            let mut state = self.0.lock().expect("lock is not poisoned");
            state.generation += 1;
            state.servers[old].2 = "DRAINING";
            state.servers.push((new.0, new.1, "SERVING"));
            let changed = [
                state.servers[old].clone(),
                state.servers[state.servers.len() - 1].clone(),
            ];
            state.list(false, &changed)
        };
        self.broadcast(&message);
    }
}

/// Openings that servers received: the server, the opening's id, and the time.
type ObservedOpenings = Arc<Mutex<Vec<(usize, String, Instant)>>>;

/// Runs a server that accepts all openings and reads all lines.
fn spawn_server(number: usize, listener: TcpListener, observed: &ObservedOpenings) {
    let observed = Arc::clone(observed);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let observed = Arc::clone(&observed);
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                let Some(opening) = peer.read_line_or_end() else {
                    return;
                };
                let id = opening.split(' ').nth(1).unwrap_or_default().to_owned();
                observed
                    .lock()
                    .expect("lock is not poisoned")
                    .push((number, id, Instant::now()));
                let _ = peer.stream.write_all(b"UP r\r\n");
                while peer.read_line_or_end().is_some() {}
            });
        }
    });
}

/// State shared by the client threads: the balancers that they may use, and the outcomes of their requests.
struct Clients {
    /// Address of each balancer, and whether the front sends it clients.
    balancers: Vec<(SocketAddr, AtomicBool)>,
    /// Number of restarts of each balancer.
    restart_counts: Vec<AtomicUsize>,
    is_over: AtomicBool,
    served: AtomicUsize,
    /// Ids of the requests without an answer.
    unanswered: Mutex<Vec<String>>,
    /// Final answers other than `UP`, with their counts.
    other_answers: Mutex<HashMap<String, usize>>,
}

impl Clients {
    /// Opens connections at one balancer after another and keeps the last ten established.
    fn run_client_loop(&self, thread: usize) {
        let mut open_clients = std::collections::VecDeque::new();
        for number in 0.. {
            if self.is_over.load(Ordering::SeqCst) {
                return;
            }
            let balancer = (thread + number) % self.balancers.len();
            let (at, open) = &self.balancers[balancer];
            if !open.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            }
            let restart_count = self.restart_counts[balancer].load(Ordering::SeqCst);
            let id = format!("b{balancer}life{restart_count}t{thread}n{number}");
            let Ok(stream) = TcpStream::connect(at) else {
                continue;
            };
            let mut client = Peer::new(stream);
            client.send(&format!(
                "OPEN {id} {number:x} c=chat,t=acme,d=2500,g={number}\r\n"
            ));
            match client.read_line_or_end() {
                Some(line) if line.starts_with("UP ") => {
                    self.served.fetch_add(1, Ordering::SeqCst);
                    open_clients.push_back(client);
                    if open_clients.len() > 10 {
                        open_clients.pop_front();
                    }
                }
                Some(line) => {
                    *self
                        .other_answers
                        .lock()
                        .expect("lock is not poisoned")
                        .entry(line)
                        .or_default() += 1
                }
                None => self
                    .unanswered
                    .lock()
                    .expect("lock is not poisoned")
                    .push(id),
            }
        }
    }
}

/// One of ten balancers restarts while half of the servers are replaced: every request is answered, and no drained server
/// gets a request.
#[test]
fn rolling_restart_during_server_replacement_loses_no_request() {
    const BALANCERS: usize = 10;
    const SERVERS: usize = 6;
    /// Time after the announcement of a drain in which a request may still reach the server: 50 ms, and a margin for a loaded
    /// machine.
    const DRAIN_GRACE: Duration = Duration::from_millis(750);
    let observed = ObservedOpenings::default();
    let servers: Vec<(String, SocketAddr)> = (0..SERVERS + SERVERS / 2)
        .map(|number| {
            let listener = listener();
            let at = listener
                .local_addr()
                .expect("bound socket has a local address");
            spawn_server(number, listener, &observed);
            (format!("s{number}"), at)
        })
        .collect();
    let (fleet_discovery, discovery) = (FleetDiscovery::default(), listener());
    let discovery_address = discovery
        .local_addr()
        .expect("bound socket has a local address");
    let row = |(name, at): &(String, SocketAddr)| (name.clone(), *at, "SERVING");
    fleet_discovery
        .0
        .lock()
        .expect("lock is not poisoned")
        .generation = 1;
    fleet_discovery
        .0
        .lock()
        .expect("lock is not poisoned")
        .servers = servers[..SERVERS].iter().map(row).collect();
    fleet_discovery.serve(discovery);
    let known_endpoints: Vec<_> = servers[..SERVERS]
        .iter()
        .map(|(name, at)| (name.as_str(), *at, "SERVING"))
        .collect();
    let settings = SETTINGS
        .replace("\"subscribe\"", "\"automatic\"")
        .replace("\"balancers\":1,", &format!("\"balancers\":{BALANCERS},"))
        .replace("400000000,", "2000000000,");
    let start = |number: usize, at: SocketAddr| {
        // The configured endpoint list is the initial one, also at a restart.
        let config = platform_config(
            at,
            discovery_address,
            &endpoint_list(1, true, &known_endpoints),
            &settings,
            1024,
        );
        let path = write_temp_file(&format!("roll{number}"), &config);
        Program::start(&[], &[("LB_CONFIG", path.as_str())])
    };
    let addresses: Vec<SocketAddr> = (0..BALANCERS).map(|_| reserve_address()).collect();
    let mut programs: Vec<Program> = (0..BALANCERS)
        .map(|number| start(number, addresses[number]))
        .collect();
    programs
        .iter()
        .for_each(|program| drop(program.wait_for_log("to=serving")));
    let clients = Clients {
        balancers: addresses
            .iter()
            .map(|at| (*at, AtomicBool::new(true)))
            .collect(),
        restart_counts: (0..BALANCERS).map(|_| AtomicUsize::new(0)).collect(),
        is_over: AtomicBool::new(false),
        served: AtomicUsize::new(0),
        unanswered: Mutex::default(),
        other_answers: Mutex::default(),
    };
    let wait_for_served = |count: usize| {
        let (served_before, deadline) = (
            clients.served.load(Ordering::SeqCst),
            Instant::now() + TEST_TIMEOUT,
        );
        while clients.served.load(Ordering::SeqCst) < served_before + count {
            assert!(Instant::now() < deadline, "no client is served");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    let drained_at = std::thread::scope(|scope| {
        (0..4).for_each(|thread| {
            drop(scope.spawn({
                let clients = &clients;
                move || clients.run_client_loop(thread)
            }))
        });
        wait_for_served(50);
        let mut drained_at = Vec::new();
        let replace = |at: usize, drained_at: &mut Vec<Instant>| {
            fleet_discovery.replace_server(at, servers[SERVERS + at].clone());
            drained_at.push(Instant::now());
        };
        replace(0, &mut drained_at);
        wait_for_served(50);
        programs[0].signal("TERM");
        // The front keeps sending clients for a while.
        std::thread::sleep(Duration::from_millis(300));
        clients.balancers[0].1.store(false, Ordering::SeqCst);
        (1..SERVERS / 2).for_each(|at| {
            replace(at, &mut drained_at);
            wait_for_served(50);
        });
        assert!(
            programs[0].exits_cleanly(),
            "program exits with success by itself"
        );
        programs[0] = start(0, addresses[0]);
        clients.restart_counts[0].store(1, Ordering::SeqCst);
        // Like the front, the clients use it once it answers PING with PONG.
        while {
            let mut front = Peer::connect(addresses[0]);
            front.send("PING\r\n");
            front.read_line().as_deref() != Some("PONG")
        } {}
        clients.balancers[0].1.store(true, Ordering::SeqCst);
        wait_for_served(200);
        clients.is_over.store(true, Ordering::SeqCst);
        drained_at
    });
    assert_eq!(
        *clients.unanswered.lock().expect("lock is not poisoned"),
        Vec::<String>::new(),
        "every request is answered"
    );
    let other_answers = clients.other_answers.lock().expect("lock is not poisoned");
    let refused: usize = other_answers.values().sum();
    assert!(
        refused * 20 <= clients.served.load(Ordering::SeqCst),
        "at most one request in 20 is rejected: {other_answers:?}"
    );
    let observed = observed.lock().expect("lock is not poisoned");
    for (server, id, at) in observed
        .iter()
        .filter(|(server, ..)| *server < drained_at.len())
    {
        let delay = at.saturating_duration_since(drained_at[*server]);
        assert!(
            delay < DRAIN_GRACE,
            "{id} reached s{server} {delay:?} after its drain was announced"
        );
        assert!(
            !id.starts_with("b0life1"),
            "{id} reached s{server}, which was draining before the balancer restarted"
        );
    }
    let openings_on_new_servers = observed
        .iter()
        .filter(|(server, id, _)| *server >= SERVERS && id.starts_with("b0life1"))
        .count();
    assert!(
        openings_on_new_servers > 0,
        "the restarted balancer uses the new servers"
    );
}
