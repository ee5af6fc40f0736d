//! Replacement of a serving process: two processes share one listener that neither of them bound.

mod support;

use std::collections::{HashMap, HashSet};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

use beaconflow_balancer::handover::{HandoverAddress, HandoverSender, UnansweredRequests};
use beaconflow_fault_injection::flood::memory_kb;
use socket2::{Domain, SockAddr, Socket, Type};
use support::*;
use tempfile::TempDir;

/// Descriptors that a process may hold.
const SOCKET_LIMIT: usize = 512;

/// State shared by the processes of a site: the clients' listener, discovery, and a server that accepts all connections.
struct SharedSite {
    listener_socket: TcpListener,
    config_path: String,
    /// Temporary folder of all processes, through which they find each other; they don't without one.
    temp_folder: Option<TempDir>,
    _discovery: Discovery,
}

impl SharedSite {
    fn new(name: &str) -> SharedSite {
        let server = listener();
        let site = SharedSite::with_server(name, &server);
        serve_all_openings(server);
        site
    }

    /// Creates a site whose only server is served by the caller.
    fn with_server(name: &str, server: &TcpListener) -> SharedSite {
        let (listener_socket, discovery) = (listener(), Discovery::start());
        let known_endpoints = endpoint_list(
            1,
            true,
            &[(
                "s0",
                server
                    .local_addr()
                    .expect("bound socket has a local address"),
                "SERVING",
            )],
        );
        let address = listener_socket
            .local_addr()
            .expect("bound socket has a local address");
        let config_path = write_temp_file(
            name,
            &platform_config(
                address,
                discovery.address,
                &known_endpoints,
                SETTINGS,
                SOCKET_LIMIT,
            ),
        );
        SharedSite {
            listener_socket,
            config_path,
            temp_folder: None,
            _discovery: discovery,
        }
    }

    /// Has the processes find each other.
    fn with_shared_folder(self) -> SharedSite {
        SharedSite {
            temp_folder: Some(tempfile::tempdir().expect("folder is writable")),
            ..self
        }
    }

    fn folder(&self) -> &Path {
        let folder = self.temp_folder.as_ref();
        folder.expect("the site has a shared folder").path()
    }

    fn address(&self) -> SocketAddr {
        self.listener_socket
            .local_addr()
            .expect("bound socket has a local address")
    }

    /// Starts another process and waits until it serves; returns it with its operations API.
    fn start(&self) -> (Program, Api) {
        let address = reserve_address();
        let temp_folder = match &self.temp_folder {
            Some(folder) => folder.path().to_str().expect("valid UTF-8"),
            None => "/nowhere",
        };
        let env = [
            ("LB_CONFIG", self.config_path.as_str()),
            ("LB_ADMIN_ADDR", &address.to_string()),
            ("TMPDIR", temp_folder),
        ];
        let program = Program::start_with_inherited_listener(&self.listener_socket, &env);
        program.wait_for_log("to=serving");
        (
            program,
            Api {
                address,
                token: "none is wanted",
            },
        )
    }

    fn open(&self, id: &str) -> Peer {
        open(self.address(), id)
    }
}

/// Connects a client and sends its opening.
fn open(address: SocketAddr, id: &str) -> Peer {
    let mut client = Peer::connect(address);
    client.send(&format!("OPEN {id} 02 c=chat,t=acme,d=2500,g=3\r\n"));
    client
}

#[test]
fn handover_drops_no_opening() {
    let site = SharedSite::new("handover");
    let (mut old, old_api) = site.start();
    let mut established = site.open("stands");
    established.expect_line("UP r");
    let is_over = Arc::new(AtomicBool::new(false));
    let openings = {
        let (address, is_over) = (site.address(), Arc::clone(&is_over));
        std::thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                count += 1;
                let mut client = open(address, &format!("c{count}"));
                // One final answer, and no move before it.
                client.expect_line("UP r");
                client.shutdown_write();
                while client.read_line().is_some_and(|line| line == "MOVE") {}
            }
            count
        })
    };
    let (_new, new_api) = site.start();
    assert_eq!(new_api.call("GET", "/status", "").status, 200);
    assert_eq!(
        old_api.call("GET", "/status", "").status,
        200,
        "both processes serve"
    );
    // Accepted by either process, and incomplete when the old one is told to shut down.
    let partial_client = |number| {
        let mut partial_client = Peer::connect(site.address());
        partial_client.send("PING\r\n");
        partial_client.expect_line("PONG");
        partial_client.send(&format!("OPEN h{number} 02 c=cha"));
        partial_client
    };
    let mut partial_clients: Vec<Peer> = (0..8).map(partial_client).collect();
    old.signal("TERM");
    old.wait_for_log("to=leaving");
    for partial_client in &mut partial_clients {
        partial_client.send("t,t=acme,d=2500,g=3\r\n");
        partial_client.expect_line("UP r");
    }
    established.expect_line("MOVE");
    assert!(old.exits_cleanly(), "program exits with success by itself");
    is_over.store(true, Ordering::SeqCst);
    assert!(openings.join().expect("every opening is served") > 10);
    assert_eq!(new_api.call("GET", "/status", "").status, 200);
    site.open("after").expect_line("UP r");
}

/// Established connections are handed over and continue; only one that is in the middle of a line is not.
#[test]
fn handover_transfers_connections_except_mid_line() {
    let site = SharedSite::new("given").with_shared_folder();
    let (mut old, _) = site.start();
    let mut clients: Vec<Peer> = (0..6)
        .map(|number| site.open(&format!("s{number}")))
        .collect();
    clients
        .iter_mut()
        .for_each(|client| client.expect_line("UP r"));
    let partial_client = |id| {
        let mut partial_client = site.open(id);
        partial_client.expect_line("UP r");
        partial_client.send("half\r\n");
        assert_eq!(partial_client.read_text(2), "ha");
        partial_client
    };
    let (mut partial_client, mut completed_client) =
        (partial_client("half"), partial_client("whole"));
    let (mut second, _) = site.start();
    old.signal("TERM");
    old.wait_for_log("to=leaving");
    // The rest of its line arrives after all other connections have been handed over.
    completed_client.send("rest\r\n");
    completed_client.expect_line("lf");
    second.wait_for_log("taken over taken=7");
    clients.push(completed_client);
    assert_ne!(
        partial_client.read_line().as_deref(),
        Some("ok"),
        "a connection in the middle of a line is closed after a while"
    );
    assert!(old.exits_cleanly(), "program exits with success by itself");
    for client in &mut clients {
        client.send("line\r\n");
        client.expect_line("ok");
    }
    // A used id is still rejected, and a third process takes over what the second one took.
    site.open("s3").expect_line("ERR");
    let (third, _) = site.start();
    second.signal("TERM");
    third.wait_for_log("taken over taken=7");
    assert!(
        second.exits_cleanly(),
        "program exits with success by itself"
    );
    for client in &mut clients {
        client.send("line\r\n");
        client.expect_line("ok");
    }
    // Without another process to take them over, they are moved.
    third.signal("TERM");
    clients
        .iter_mut()
        .for_each(|client| client.expect_line("MOVE"));
}

/// Guards against a server's debt being forgotten with the process that its client had asked through: what was owed is owed
/// still, from the time at which it was asked for.
#[test]
fn answer_owed_before_handover_is_owed_after_it() {
    let server = listener();
    let site = SharedSite::with_server("owed", &server).with_shared_folder();
    let (old, _) = site.start();
    let mut connections: Vec<(Peer, Peer)> = (0..2)
        .map(|number| {
            let mut client = site.open(&format!("owed{number}"));
            let mut server = Peer::accept(&server);
            server.read_line().expect("an OPEN line");
            server.send("UP r\r\n");
            client.expect_line("UP r");
            (client, server)
        })
        .collect();
    let (new, _) = site.start();
    let asked_at = Instant::now();
    for (client, server) in &mut connections {
        client.send("line\r\n");
        server.expect_line("line");
    }
    std::thread::sleep(Duration::from_millis(1_200));
    old.signal("TERM");
    new.wait_for_log("taken over taken=2");
    // The second server answers in time, at the new process.
    let (mut silent_client, _silent_server) = connections.remove(0);
    let (mut client, mut server) = connections.remove(0);
    std::thread::sleep(Duration::from_millis(2_800).saturating_sub(asked_at.elapsed()));
    server.send("late\r\n");
    client.expect_line("late");
    silent_client.expect_line("MOVE");
    let waited = asked_at.elapsed();
    println!("moved {waited:?} after its line");
    assert!(waited <= Duration::from_millis(7_050), "{waited:?}");
    client.send("line\r\n");
    server.expect_line("line");
}

/// Guards against connections being handed over to a process that takes them and does nothing: it is suspended here.
#[test]
fn clients_are_migrated_when_next_process_does_not_run() {
    let site = SharedSite::new("hung-successor").with_shared_folder();
    let (mut old, _) = site.start();
    let mut clients: Vec<Peer> = (0..6)
        .map(|number| site.open(&format!("h{number}")))
        .collect();
    clients
        .iter_mut()
        .for_each(|client| client.expect_line("UP r"));
    let (new, _) = site.start();
    let began_at = Instant::now();
    while_stopped(&new, || {
        old.signal("TERM");
        for client in &mut clients {
            client.expect_line("MOVE");
        }
        println!("all migrated after {:?}", began_at.elapsed());
        old.wait_for_log("does not answer; migrating clients");
        assert!(old.exits_cleanly(), "program exits with success by itself");
    });
    assert!(began_at.elapsed() <= Duration::from_millis(3_750));
    site.open("after").expect_line("UP r");
}

/// Opens a request that may not be repeated.
fn open_once(address: SocketAddr, id: &str) -> Peer {
    let mut client = Peer::connect(address);
    client.send(&format!("OPEN {id} 02 c=once,t=acme,d=2500,g=3\r\n"));
    client
}

/// Opens a request that its server leaves without an answer; returns both ends.
fn open_unanswered(site: &SharedSite, server: &TcpListener, id: &str) -> (Peer, Peer) {
    let client = open_once(site.address(), id);
    loop {
        let mut server = Peer::accept(server);
        // An id that turns out to be taken while its connection is made is not sent on it.
        let Some(opening) = server.read_line() else {
            continue;
        };
        assert!(opening.starts_with(&format!("OPEN {id} ")), "{opening}");
        return (client, server);
    }
}

/// Like `open_unanswered`, for a client that leaves then.
fn open_and_leave(site: &SharedSite, server: &TcpListener, id: &str) {
    let (client, mut server) = open_unanswered(site, server, id);
    drop(client);
    assert!(server.is_closed());
}

/// Runs `act` while a process is stopped, so that the other one accepts all clients.
fn while_stopped<T>(process: &Program, act: impl FnOnce() -> T) -> T {
    process.stop();
    let stat_path = format!("/proc/{}/stat", process.pid());
    wait_for("the process to stop", || {
        let stat = std::fs::read_to_string(&stat_path).expect("process exists");
        stat.contains(") T ").then_some(())
    });
    let result = act();
    process.signal("CONT");
    result
}

/// Guards against a request that runs twice when its id comes again at the other process of an upgrade, while it is open or
/// after its client has left.
#[test]
fn id_is_not_sent_again_by_other_process_of_upgrade() {
    let server = listener();
    let site = SharedSite::with_server("twice", &server).with_shared_folder();
    let (old, _) = site.start();
    open_and_leave(&site, &server, "leftbefore");
    let (new, _) = site.start();
    while_stopped(&new, || open_and_leave(&site, &server, "leftatold"));
    while_stopped(&old, || open_and_leave(&site, &server, "leftatnew"));
    let mut answers = Vec::new();
    while_stopped(&new, || {
        answers.push((
            "leftatnew",
            open_once(site.address(), "leftatnew").read_line(),
        ));
    });
    let _open = while_stopped(&new, || open_unanswered(&site, &server, "openatold"));
    while_stopped(&old, || {
        for id in ["leftbefore", "leftatold", "openatold"] {
            answers.push((id, open_once(site.address(), id).read_line()));
        }
    });
    let is_refused = |(_, answer): &(&str, Option<String>)| answer.as_deref() == Some("ERR");
    assert!(answers.iter().all(is_refused), "{answers:?}");
    while let Some(mut attempt) = Peer::try_accept(&server) {
        assert_eq!(attempt.read_line(), None, "an id was sent twice");
    }
}

/// Rounds in which two clients open the same id at once.
const SIMULTANEOUS_ROUNDS: usize = 100;
/// Longest wait for the answer to one of two clients with the same id.
const SAME_ID_ANSWER: Duration = Duration::from_millis(200);

/// Counts the openings that a server gets, which it never answers, by id.
fn count_openings(server: TcpListener) -> Arc<Mutex<HashMap<String, usize>>> {
    let counts = Arc::new(Mutex::new(HashMap::new()));
    let all_counts = Arc::clone(&counts);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = server.accept() {
            let counts = Arc::clone(&all_counts);
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                let opening = peer.read_line_or_end().unwrap_or_default();
                if let Some(id) = opening.split(' ').nth(1) {
                    let mut counts = counts.lock().expect("lock is not poisoned");
                    *counts.entry(id.to_owned()).or_insert(0) += 1;
                }
                while peer.read_line_or_end().is_some() {}
            });
        }
    });
    counts
}

/// Guards against an id that runs twice when two clients open it at the same moment, each at its process of an upgrade.
#[test]
fn id_of_two_clients_at_once_is_sent_once_during_upgrade() {
    let server = listener();
    let site = SharedSite::with_server("at-once", &server).with_shared_folder();
    let counts = count_openings(server);
    let (_old, _) = site.start();
    let (_new, _) = site.start();
    let (address, is_next) = (site.address(), Barrier::new(2));
    let open_all = || {
        for round in 0..SIMULTANEOUS_ROUNDS {
            is_next.wait();
            let client = open_once(address, &format!("same{round}"));
            let _ = client.stream.set_read_timeout(Some(SAME_ID_ANSWER));
            let _ = (&client.stream).read(&mut [0; 16]);
        }
    };
    std::thread::scope(|scope| {
        scope.spawn(open_all);
        scope.spawn(open_all);
    });
    let counts = counts.lock().expect("lock is not poisoned");
    let twice = counts.values().filter(|count| **count > 1).count();
    eprintln!("{} ids sent, {twice} of them twice", counts.len());
    assert_eq!(twice, 0, "of {} ids", counts.len());
}

/// Memory limit of a process (DEPLOY: at most 192 MB).
const MEMORY_LIMIT_KB: usize = 192 * 1024;
/// Target for the answer to a sound client: no line is held back for more than a second (PROTOCOL).
const SOUND_ANSWER_TARGET: Duration = Duration::from_secs(1);
/// The processes' Unix sockets, by the start of their names.
const PROCESS_SOCKETS: [(&str, Type); 2] = [
    ("handover-", Type::SEQPACKET),
    ("request-ids-", Type::STREAM),
];

/// Connects to one of the processes' Unix sockets.
fn connect_process_socket(folder: &Path, (name, socket_type): (&str, Type)) -> Socket {
    let path = std::fs::read_dir(folder)
        .expect("folder is readable")
        .map(|entry| entry.expect("entry is readable").path())
        .find(|path| path.to_string_lossy().contains(name))
        .expect("the process listens");
    let socket = Socket::new(Domain::UNIX, socket_type, None).expect("a descriptor is free");
    socket
        .set_write_timeout(Some(Duration::from_millis(100)))
        .expect("socket is open");
    // Fails if the queue is full for longer.
    let _ = socket.connect(&SockAddr::unix(&path).expect("path is short enough"));
    socket
}

/// Opens clients for a while and returns their number and the slowest answer.
fn serve_sound_clients(site: &SharedSite, name: &str, duration: Duration) -> (usize, Duration) {
    let (started_at, mut served, mut slowest) = (Instant::now(), 0, Duration::ZERO);
    while started_at.elapsed() < duration {
        let mut client = Peer::connect(site.address());
        let sent_at = Instant::now();
        client.send(&format!(
            "OPEN {name}{served} 02 c=chat,t=acme,d=2500,g=3\r\n"
        ));
        client.expect_line("UP r");
        slowest = slowest.max(sent_at.elapsed());
        served += 1;
    }
    (served, slowest)
}

/// Guards against hundreds of connections to the processes' sockets that stay open and send nothing.
#[test]
fn idle_senders_stay_within_descriptor_limit() {
    let site = SharedSite::new("idle-senders").with_shared_folder();
    let (process, _) = site.start();
    for socket in PROCESS_SOCKETS {
        let memory_before = memory_kb(process.pid(), "VmRSS");
        let senders: Vec<Socket> = (0..600)
            .map(|_| connect_process_socket(site.folder(), socket))
            .collect();
        let name = socket.0.replace('-', "");
        let (served, slowest) = serve_sound_clients(&site, &name, Duration::from_secs(2));
        let (descriptors, memory) = (process.descriptors(), memory_kb(process.pid(), "VmHWM"));
        eprintln!(
            "{name}: {} idle senders; {descriptors} descriptors; memory {memory_before} KB before, {memory} KB at the \
             peak; sound clients served {served}, slowest answer {slowest:?}",
            senders.len()
        );
        assert!(descriptors <= SOCKET_LIMIT, "{descriptors} descriptors");
        assert!(memory <= MEMORY_LIMIT_KB, "{memory} KB");
        assert!(slowest <= SOUND_ANSWER_TARGET, "{slowest:?}");
    }
}

/// Guards against senders that write unsound messages to the processes' sockets and reconnect without a pause.
#[test]
fn unsound_messages_of_senders_do_not_affect_clients() {
    let site = SharedSite::new("unsound-senders").with_shared_folder();
    let (process, _) = site.start();
    let folder = site.folder();
    for socket in PROCESS_SOCKETS {
        let memory_before = memory_kb(process.pid(), "VmRSS");
        let (is_over, messages) = (AtomicBool::new(false), AtomicUsize::new(0));
        let name = format!("unsound{}", socket.0.replace('-', ""));
        let (served, slowest) = std::thread::scope(|scope| {
            for _ in 0..8 {
                scope.spawn(|| {
                    while !is_over.load(Ordering::Relaxed) {
                        let sender = connect_process_socket(folder, socket);
                        for _ in 0..100 {
                            if sender.send(&[0xff; 100]).is_err() {
                                break;
                            }
                            messages.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                });
            }
            let result = serve_sound_clients(&site, &name, Duration::from_secs(5));
            is_over.store(true, Ordering::Relaxed);
            result
        });
        let memory = memory_kb(process.pid(), "VmHWM");
        let lines = process.take_log_lines();
        eprintln!(
            "{name}: {} messages of 8 senders in 5 s; {lines} log lines; memory {memory_before} KB before, {memory} KB at \
             the peak; sound clients served {served}, slowest answer {slowest:?}",
            messages.into_inner()
        );
        assert!(memory <= MEMORY_LIMIT_KB, "{memory} KB");
        assert!(slowest <= SOUND_ANSWER_TARGET, "{slowest:?}");
        assert!(lines <= MAX_LOG_LINES, "{lines} log lines");
    }
}

/// Sends a connection as a former process does. The client's and the server's end of it are returned.
fn send_connection(sender: &HandoverSender, request_line: &str) -> (TcpStream, TcpStream) {
    let (client, client_socket) = connected_pair();
    let (server, server_socket) = connected_pair();
    let sockets = (&client_socket, &server_socket);
    while let Err(error) = sender.send(
        sockets,
        "s0",
        request_line.as_bytes(),
        UnansweredRequests::default(),
    ) {
        assert_eq!(error.kind(), ErrorKind::WouldBlock);
        std::thread::yield_now();
    }
    (client, server)
}

/// Connects to the process that takes over connections.
fn connect_sender(folder: &Path) -> HandoverSender {
    let address = HandoverAddress::new(folder, "n0");
    let sender = address.connect().expect("the process listens");
    sender.expect("the process has another id than the test")
}

fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = listener();
    let address = listener.local_addr().expect("socket is bound");
    let near_end = TcpStream::connect(address).expect("listener is open");
    (near_end, listener.accept().expect("a client waits").0)
}

/// Guards against a sender of more connections than the process has descriptors for.
#[test]
fn connections_beyond_descriptor_limit_are_migrated() {
    let site = SharedSite::new("many-connections").with_shared_folder();
    let (process, _) = site.start();
    let sender = connect_sender(site.folder());
    let mut connections: Vec<_> = (0..600)
        .map(|number| {
            send_connection(
                &sender,
                &format!("OPEN sent{number} 02 c=chat,t=acme,d=2500,g=3"),
            )
        })
        .collect();
    let (mut last_client, _) = connections.pop().expect("connections were sent");
    last_client
        .set_read_timeout(Some(SOUND_ANSWER_TARGET))
        .expect("socket is open");
    let mut answer = String::new();
    let _ = last_client.read_to_string(&mut answer);
    let (descriptors, memory) = (process.descriptors(), memory_kb(process.pid(), "VmHWM"));
    eprintln!(
        "600 connections; {descriptors} descriptors; memory {memory} KB at the peak; the last client got {answer:?}"
    );
    assert!(descriptors <= SOCKET_LIMIT, "{descriptors} descriptors");
    assert!(memory <= MEMORY_LIMIT_KB, "{memory} KB");
    assert_eq!(answer, "MOVE\r\n");
    drop(connections);
    let (served, slowest) = serve_sound_clients(&site, "after", Duration::from_millis(500));
    assert!(
        served > 0 && slowest <= SOUND_ANSWER_TARGET,
        "{served} served, {slowest:?}"
    );
}

/// Guards against sound messages with unsound requests, each of which wrote a log line.
#[test]
fn unsound_requests_of_sent_connections_do_not_affect_clients() {
    let site = SharedSite::new("unsound-requests").with_shared_folder();
    let (process, _) = site.start();
    let (is_over, messages) = (AtomicBool::new(false), AtomicUsize::new(0));
    let folder = site.folder();
    let (served, slowest) = std::thread::scope(|scope| {
        scope.spawn(|| {
            let sender = connect_sender(folder);
            while !is_over.load(Ordering::Relaxed) {
                drop(send_connection(&sender, "OPEN nothing"));
                messages.fetch_add(1, Ordering::Relaxed);
            }
        });
        // The sender must end even if a client is not served.
        let result = std::panic::catch_unwind(AssertUnwindSafe(|| {
            serve_sound_clients(&site, "beside", Duration::from_secs(5))
        }));
        is_over.store(true, Ordering::Relaxed);
        result.expect("all sound clients are served")
    });
    let (memory, lines) = (memory_kb(process.pid(), "VmHWM"), process.take_log_lines());
    eprintln!(
        "{} connections in 5 s; {lines} log lines; memory {memory} KB at the peak; sound clients served {served}, slowest \
         answer {slowest:?}",
        messages.into_inner()
    );
    assert!(memory <= MEMORY_LIMIT_KB, "{memory} KB");
    assert!(slowest <= SOUND_ANSWER_TARGET, "{slowest:?}");
    assert!(lines <= MAX_LOG_LINES, "{lines} log lines");
}

#[test]
fn surviving_process_serves_alone_after_other_is_killed() {
    let site = SharedSite::new("killed");
    let (mut first, _) = site.start();
    let (second, _) = site.start();
    first.kill();
    let ids: HashSet<String> = (0..8).map(|number| format!("a{number}")).collect();
    ids.iter().for_each(|id| site.open(id).expect_line("UP r"));
    // A process that cannot start serving exits before it accepts a client.
    let occupied = listener();
    let address = occupied
        .local_addr()
        .expect("bound socket has a local address")
        .to_string();
    let env = [
        ("LB_CONFIG", site.config_path.as_str()),
        ("LB_ADMIN_ADDR", &address),
    ];
    let mut third = Program::start_with_inherited_listener(&site.listener_socket, &env);
    let line = third.wait_for_log("");
    assert!(
        line.contains("cannot start"),
        "expected a failed start, got: {line}"
    );
    assert!(!third.wait_for_exit().success());
    site.open("b").expect_line("UP r");
    drop(second);
    // No process accepts now; the client waits in the backlog and is not refused.
    let mut waits = site.open("c");
    let (_fourth, _) = site.start();
    waits.expect_line("UP r");
}

/// The program does not start with an inherited descriptor that is not a listening socket, and the error names it.
#[test]
fn startup_rejects_inherited_descriptor_that_is_not_listening() {
    let site = SharedSite::new("descriptor");
    let unlistening = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("socket is open");
    unlistening
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("loopback socket is bound");
    let unlistening = TcpListener::from(unlistening);
    for (descriptor, expected_error) in [
        ("three", "not a descriptor number"),
        ("-1", "not a descriptor number"),
        ("97", "not a socket"),
        ("0", "not a socket"),
        ("3", "not a listening socket"),
    ] {
        let env = [
            ("LB_CONFIG", site.config_path.as_str()),
            ("LB_INHERITED_FD", descriptor),
        ];
        let mut program = Program::start_with_inherited_listener(&unlistening, &env);
        let line = program.wait_for_log("cannot start");
        assert!(
            line.contains("LB_INHERITED_FD")
                && line.contains(descriptor)
                && line.contains(expected_error),
            "{line}"
        );
        assert!(!program.wait_for_exit().success());
    }
}
