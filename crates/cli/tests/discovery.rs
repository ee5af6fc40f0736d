//! Tests of discovery lists and watches, and of requests in progress while they change.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::site::Site;
use support::*;

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Changes that a silent watch misses must be applied within this time of the start of the silence.
const MAX_SILENCE: Duration = Duration::from_secs(6);

/// Has an agent answer every call after `delay`, including calls that the program has given up by then.
fn spawn_replies(agent: TcpListener, delay: Duration, response: String) {
    std::thread::spawn(move || {
        agent.set_nonblocking(false).expect("socket is open");
        let mut open_watches = Vec::new();
        while let Ok((mut stream, _)) = agent.accept() {
            std::thread::sleep(delay);
            let _ = stream.write_all(response.as_bytes());
            open_watches.push(stream);
        }
    });
}

/// The default settings with longer timeouts, so that an attempt stays in progress during a whole test.
fn long_timeout_settings() -> String {
    SETTINGS
        .replace("400000000,", "4000000000,")
        .replace("3000000000", "9000000000")
}

fn automatic_discovery_settings() -> String {
    long_timeout_settings().replace("subscribe", "automatic")
}

/// Accepts a watch call and reads its request without answering it.
fn accept_watch_call(listener: &TcpListener) -> Peer {
    let mut peer = Peer::accept(listener);
    assert!(
        peer.read_line()
            .is_some_and(|line| line.starts_with("GET /api/targets?watch=1&from="))
    );
    while peer.read_line().is_some_and(|line| !line.is_empty()) {}
    peer
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("listener is bound")
}

/// A balancer whose discovery is played by the test, and its configuration file.
struct WatchingBalancer {
    program: Program,
    address: SocketAddr,
    path: String,
    config: String,
}

fn start_balancer(
    name: &str,
    settings: &str,
    discovery: &TcpListener,
    server_list: &[(&str, SocketAddr, &str)],
) -> WatchingBalancer {
    let address = reserve_address();
    let config = platform_config(
        address,
        address_of(discovery),
        &endpoint_list(1, true, server_list),
        settings,
        256,
    );
    let path = write_temp_file(name, &config);
    let program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
    WatchingBalancer {
        program,
        address,
        path,
        config,
    }
}

fn open_request(address: SocketAddr, id: &str) -> Peer {
    let mut client = Peer::connect(address);
    client.send(&format!("OPEN {id} 02 c=chat,t=acme,d=9000,g=3\r\n"));
    client
}

/// Accepts a request at the server and answers it.
fn accept_request(server: &TcpListener, client: &mut Peer) -> Peer {
    let mut peer = Peer::accept(server);
    peer.read_line().expect("a request is received");
    peer.send("UP r1\r\n");
    client.expect_line("UP r1");
    peer
}

fn assert_no_connection(server: &TcpListener) {
    server.set_nonblocking(true).expect("socket is open");
    assert!(
        server.accept().is_err(),
        "nothing may be sent to this server"
    );
}

/// Line breaks inside a list and chunk boundaries inside its words must not split it.
#[test]
fn parses_indented_list_split_into_chunks() {
    let site = Site::start("indented", 2);
    let (mut client, _server) = site.establish_connection();
    let mut watch = site.discovery.accept_watch();
    // A heartbeat inside a chunked line would corrupt it.
    site.discovery.stop_heartbeats();
    watch.stream.set_nodelay(true).expect("socket is open");
    let servers = [
        ("s0", address_of(&site.servers[0]), "DRAINING"),
        ("s1", address_of(&site.servers[1]), "SERVING"),
    ];
    let snapshot: serde_json::Value =
        serde_json::from_str(&endpoint_list(7, true, &servers)).expect("valid JSON");
    let text = serde_json::to_string_pretty(&snapshot).expect("valid JSON");
    for chunk in format!("\n{text}\n{}\n", endpoint_list(8, false, &[]))
        .as_bytes()
        .chunks(5)
    {
        let chunk = std::str::from_utf8(chunk).expect("chunk is ASCII");
        watch.send(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    }
    site.program
        .wait_for_log("generation=7 kind=Snapshot entries=2");
    site.program
        .wait_for_log("generation=8 kind=Delta entries=0");
    client.expect_line("MOVE");
}

/// A request that waits for an answer is retried on the list that arrives when discovery recovers.
#[test]
fn retries_pending_request_when_discovery_recovers() {
    let (agent, old, new) = (listener(), listener(), listener());
    let WatchingBalancer {
        program,
        address: front,
        ..
    } = start_balancer(
        "return",
        &automatic_discovery_settings(),
        &agent,
        &[("s0", address_of(&old), "SERVING")],
    );
    let mut silent = vec![accept_watch_call(&agent)];
    program.wait_for_log("the cached list is used");
    let mut client = open_request(front, "a1");
    let mut pending_attempt = Peer::accept(&old);
    pending_attempt.read_line().expect("a request is received");
    // Discovery is down: the agent accepts calls and does not answer. It recovers just after the last of these began.
    silent.extend((0..3).map(|_| accept_watch_call(&agent)));
    let returned_at = Instant::now();
    let snapshot = endpoint_list(2, true, &[("s1", address_of(&new), "SERVING")]);
    spawn_replies(
        agent,
        Duration::ZERO,
        format!("{RESPONSE_HEAD}{:x}\r\n{snapshot}\r\n", snapshot.len()),
    );
    program.wait_for_log("generation=2 kind=Snapshot");
    assert!(
        returned_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        returned_at.elapsed()
    );
    pending_attempt.send("BUSY\r\n");
    let _established = accept_request(&new, &mut client);
    assert_no_connection(&old);
}

#[test]
fn applies_first_snapshot_before_accepting_clients() {
    // The program waits for a fifth of a second. When the machine delays this test for longer, the test is repeated.
    for _ in 0..20 {
        let (agent, old, new) = (listener(), listener(), listener());
        let server_list = [("s0", address_of(&old), "SERVING")];
        let WatchingBalancer {
            program,
            address: front,
            ..
        } = start_balancer(
            "first",
            &automatic_discovery_settings(),
            &agent,
            &server_list,
        );
        // A starting agent closes the first call. It answers the second one after longer than a start takes that does
        // not wait for it.
        drop(accept_watch_call(&agent));
        let snapshot = endpoint_list(2, true, &[("s1", address_of(&new), "SERVING")]);
        spawn_replies(
            agent,
            Duration::from_millis(60),
            format!("{RESPONSE_HEAD}{:x}\r\n{snapshot}\r\n", snapshot.len()),
        );
        let log_lines = program.read_log_until("front=platform");
        if log_lines
            .iter()
            .any(|line| line.contains("the cached list is used"))
        {
            continue;
        }
        // The snapshot precedes the client in the queue of the core, whichever of them is logged first.
        let _established = accept_request(&new, &mut open_request(front, "a1"));
        return assert_no_connection(&old);
    }
    panic!("the snapshot was too late in all 20 runs");
}

/// The point at which a watch falls silent.
#[derive(Clone, Copy, Debug)]
enum SilencePoint {
    /// Before the response head.
    BeforeHead,
    /// After the response head, before any list.
    AfterHead,
    /// In the middle of a line.
    MidLine,
    /// On the call after a SIGHUP that changes the discovery address.
    AfterSighup,
}

fn assert_silent_watch_restarts(name: &str, settings: &str, silence_point: SilencePoint) {
    let (first, second, server) = (listener(), listener(), listener());
    let site = start_balancer(
        name,
        settings,
        &first,
        &[("s0", address_of(&server), "SERVING")],
    );
    let mut silent = accept_watch_call(&first);
    let mut discovery = &first;
    match silence_point {
        SilencePoint::BeforeHead => {}
        SilencePoint::AfterHead => silent.send(RESPONSE_HEAD),
        SilencePoint::MidLine => {
            silent.send(RESPONSE_HEAD);
            send_endpoints(
                &mut silent,
                2,
                true,
                &[("s0", address_of(&server), "SERVING")],
            );
            let half = &endpoint_list(3, false, &[("s0", address_of(&server), "DRAINING")])[..60];
            silent.send(&format!("{:x}\r\n{half}\r\n", half.len()));
        }
        SilencePoint::AfterSighup => {
            silent.send(RESPONSE_HEAD);
            send_endpoints(
                &mut silent,
                2,
                true,
                &[("s0", address_of(&server), "SERVING")],
            );
            site.program.wait_for_log("generation=2");
            let moved = site.config.replace(
                &address_of(&first).to_string(),
                &address_of(&second).to_string(),
            );
            std::fs::write(&site.path, moved).expect("configuration file is written");
            site.program.signal("HUP");
            (silent, discovery) = (accept_watch_call(&second), &second);
        }
    }
    let silent_since = Instant::now();
    assert!(
        silent.is_closed(),
        "{name}: the silent watch must be closed"
    );
    let mut restarted = accept_watch_call(discovery);
    restarted.send(RESPONSE_HEAD);
    send_endpoints(
        &mut restarted,
        4,
        true,
        &[("s0", address_of(&server), "DRAINING")],
    );
    site.program.wait_for_log("generation=4 kind=Snapshot");
    assert!(
        silent_since.elapsed() < MAX_SILENCE,
        "{name}: {:?}",
        silent_since.elapsed()
    );
}

#[test]
fn restarts_silent_watch_within_limit() {
    let few = long_timeout_settings();
    let many = few.replace("\"balancers\":1,", "\"balancers\":300,");
    std::thread::scope(|scope| {
        for (kind, settings) in [
            ("few", few),
            ("many", many.clone()),
            ("pushed", many.replace("subscribe", "automatic")),
        ] {
            for silence_point in [
                SilencePoint::BeforeHead,
                SilencePoint::AfterHead,
                SilencePoint::MidLine,
                SilencePoint::AfterSighup,
            ] {
                let (name, settings) =
                    (format!("silent-{kind}-{silence_point:?}"), settings.clone());
                scope.spawn(move || assert_silent_watch_restarts(&name, &settings, silence_point));
            }
        }
    });
}

/// Fills a listener's backlog, so that the next connection is not established before these are accepted.
fn fill_backlog(listener: &TcpListener) -> Vec<TcpStream> {
    let connect_timeout = Duration::from_millis(100);
    std::iter::from_fn(|| TcpStream::connect_timeout(&address_of(listener), connect_timeout).ok())
        .collect()
}

/// Waits until a connection attempt to `address` is in SYN-SENT.
fn wait_for_connect_attempt(address: SocketAddr) {
    let SocketAddr::V4(v4) = address else {
        panic!("address is not IPv4")
    };
    let row = format!(
        "{:08X}:{:04X} 02",
        u32::from_ne_bytes(v4.ip().octets()),
        v4.port()
    );
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("/proc/net/tcp is readable")
        .contains(&row)
    {
        assert!(
            Instant::now() < deadline,
            "no connection attempt to {address}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A server that starts to drain while the connection to it is being established must not receive a byte.
#[test]
fn sends_nothing_when_drained_during_connect() {
    let (discovery, new) = (listener(), listener());
    // A backlog of one connection.
    let old = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("socket is created");
    old.bind(&SocketAddr::new(address_of(&listener()).ip(), 0).into())
        .expect("socket binds to loopback");
    old.listen(0).expect("listener is bound");
    let old = TcpListener::from(old);
    let backlog = fill_backlog(&old);
    let settings = long_timeout_settings().replace("200000000", "6000000000");
    let server_list = [("s0", address_of(&old), "SERVING")];
    let WatchingBalancer {
        program,
        address: front,
        ..
    } = start_balancer("between", &settings, &discovery, &server_list);
    let mut watch = accept_watch_call(&discovery);
    watch.send(RESPONSE_HEAD);
    let mut client = open_request(front, "a1");
    wait_for_connect_attempt(address_of(&old));
    send_endpoints(
        &mut watch,
        2,
        false,
        &[
            ("s0", address_of(&old), "DRAINING"),
            ("s1", address_of(&new), "SERVING"),
        ],
    );
    program.wait_for_log("generation=2 kind=Delta");
    backlog.iter().for_each(|_| drop(Peer::accept(&old)));
    assert!(
        Peer::accept(&old).is_closed(),
        "the connection must be closed without a byte sent on it"
    );
    let _established = accept_request(&new, &mut client);
    assert_no_connection(&old);
}

#[test]
fn retries_failed_watch_within_configured_time() {
    let (discovery, server) = (listener(), listener());
    let settings = long_timeout_settings()
        .replace("\"balancers\":1,", "\"balancers\":300,")
        .replace(
            "\"ask-within-ns\":10000000000",
            "\"ask-within-ns\":2000000000",
        );
    let server_list = [("s0", address_of(&server), "SERVING")];
    let WatchingBalancer {
        program,
        address: front,
        ..
    } = start_balancer("without", &settings, &discovery, &server_list);
    program.wait_for_log("to=serving");
    let mut last_call_at = Instant::now();
    for _ in 0..4 {
        let mut call = accept_watch_call(&discovery);
        assert!(
            last_call_at.elapsed() < Duration::from_secs(2),
            "{:?}",
            last_call_at.elapsed()
        );
        last_call_at = Instant::now();
        call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    // The known list is used meanwhile.
    let _established = accept_request(&server, &mut open_request(front, "a1"));
    let mut watch = accept_watch_call(&discovery);
    watch.send(RESPONSE_HEAD);
    send_endpoints(
        &mut watch,
        2,
        true,
        &[("s0", address_of(&server), "SERVING")],
    );
    program.wait_for_log("generation=2 kind=Snapshot");
}

/// A watch call that fails late must be repeated early enough to apply a change within the limit for silence.
#[test]
fn retries_late_failed_watch_within_silence_limit() {
    /// Time from the call to its failure; discovery has the change and is reachable from the time of the call.
    const CALL_DURATION: Duration = Duration::from_millis(2_500);
    // A long interval for calls in the settings, and none at all.
    let ask_within_ns = ["30000000000", "0"];
    std::thread::scope(|scope| {
        for (number, ask_within_ns) in (0..8).zip(ask_within_ns.into_iter().cycle()) {
            scope.spawn(move || {
                let (discovery, server) = (listener(), listener());
                let settings = long_timeout_settings()
                    .replace("\"balancers\":1,", "\"balancers\":300,")
                    .replace(
                        "\"ask-within-ns\":10000000000",
                        &format!("\"ask-within-ns\":{ask_within_ns}"),
                    );
                let server_list = [("s0", address_of(&server), "SERVING")];
                let config = platform_config(
                    reserve_address(),
                    address_of(&discovery),
                    &endpoint_list(1, true, &server_list),
                    &settings,
                    256,
                );
                // Each run draws another retry delay.
                let config = config.replace("\"seed\":\"7\"", &format!("\"seed\":\"{number}\""));
                let path = write_temp_file(&format!("late{number}"), &config);
                let program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
                let mut call = accept_watch_call(&discovery);
                let changed_at = Instant::now();
                std::thread::sleep(CALL_DURATION);
                call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                let mut watch = accept_watch_call(&discovery);
                watch.send(RESPONSE_HEAD);
                send_endpoints(
                    &mut watch,
                    2,
                    false,
                    &[("s0", address_of(&server), "DRAINING")],
                );
                program.wait_for_log("generation=2 kind=Delta");
                assert!(
                    changed_at.elapsed() < MAX_SILENCE,
                    "{ask_within_ns}: {:?}",
                    changed_at.elapsed()
                );
            });
        }
    });
}

#[test]
fn restarts_watch_after_descriptor_exhaustion() {
    let (discovery, server, front) = (listener(), listener(), reserve_address());
    let server_list = [("s0", address_of(&server), "SERVING")];
    // The process limit is lower than the configured one, so that clients use up all descriptors.
    let config = platform_config(
        front,
        address_of(&discovery),
        &endpoint_list(1, true, &server_list),
        &long_timeout_settings(),
        4096,
    );
    let path = write_temp_file("lacks", &config);
    let program = Program::start_with_descriptor_limit(40, &[("LB_CONFIG", path.as_str())]);
    program.wait_for_log("to=serving");
    let mut watch = accept_watch_call(&discovery);
    watch.send(RESPONSE_HEAD);
    send_endpoints(&mut watch, 2, true, &server_list);
    program.wait_for_log("generation=2 kind=Snapshot");
    let clients: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(front).expect("connection fits into the listen backlog"))
        .collect();
    program.wait_for_log("accept failed");
    drop(watch);
    program.wait_for_log("watch ended");
    // Whether the next call gets a descriptor depends on those reserved for it.
    drop(clients);
    let released_at = Instant::now();
    let mut watch = accept_watch_call(&discovery);
    watch.send(RESPONSE_HEAD);
    send_endpoints(&mut watch, 3, true, &server_list);
    program.wait_for_log("generation=3 kind=Snapshot");
    assert!(
        released_at.elapsed() < MAX_SILENCE,
        "{:?}",
        released_at.elapsed()
    );
    let _established = accept_request(&server, &mut open_request(front, "a1"));
}

/// Replaces the discovery address in the configuration file and reloads it.
fn reload_with_discovery(site: &WatchingBalancer, from: &TcpListener, to: &TcpListener) {
    let moved = site
        .config
        .replace(&address_of(from).to_string(), &address_of(to).to_string());
    std::fs::write(&site.path, moved).expect("configuration file is written");
    site.program.signal("HUP");
}

/// SIGHUP before the first watch is established: the new discovery address is asked for the whole list.
#[test]
fn requests_full_list_when_reloaded_before_connect() {
    // The backlog of one connection is full: the first call is never established.
    let first = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("socket is created");
    first
        .bind(&SocketAddr::new(address_of(&listener()).ip(), 0).into())
        .expect("socket binds to loopback");
    first.listen(0).expect("listener is bound");
    let first = TcpListener::from(first);
    let _backlog = fill_backlog(&first);
    let (second, server) = (listener(), listener());
    let site = start_balancer(
        "hup-early",
        &long_timeout_settings(),
        &first,
        &[("s0", address_of(&server), "SERVING")],
    );
    wait_for_connect_attempt(address_of(&first));
    let reloaded_at = Instant::now();
    reload_with_discovery(&site, &first, &second);
    let mut watch = Peer::accept(&second);
    assert!(
        watch
            .read_line()
            .is_some_and(|line| line.contains("from=0 ")),
        "the whole list is requested"
    );
    while watch.read_line().is_some_and(|line| !line.is_empty()) {}
    watch.send(RESPONSE_HEAD);
    send_endpoints(
        &mut watch,
        1,
        true,
        &[("s0", address_of(&server), "DRAINING")],
    );
    site.program.wait_for_log("generation=1 kind=Snapshot");
    assert!(
        reloaded_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        reloaded_at.elapsed()
    );
}

#[test]
fn applies_last_of_two_quick_reloads() {
    let (first, second, third, server) = (listener(), listener(), listener(), listener());
    let site = start_balancer(
        "hup-twice",
        &long_timeout_settings(),
        &first,
        &[("s0", address_of(&server), "SERVING")],
    );
    let mut watch = accept_watch_call(&first);
    watch.send(RESPONSE_HEAD);
    send_endpoints(
        &mut watch,
        2,
        true,
        &[("s0", address_of(&server), "SERVING")],
    );
    site.program.wait_for_log("generation=2");
    reload_with_discovery(&site, &first, &second);
    reload_with_discovery(&site, &first, &third);
    let mut watch = Peer::accept(&third);
    assert!(
        watch
            .read_line()
            .is_some_and(|line| line.contains("from=0 ")),
        "the whole list is requested"
    );
    while watch.read_line().is_some_and(|line| !line.is_empty()) {}
    watch.send(RESPONSE_HEAD);
    send_endpoints(
        &mut watch,
        1,
        true,
        &[("s0", address_of(&server), "DRAINING")],
    );
    site.program.wait_for_log("generation=1 kind=Snapshot");
    // Then back to the address that was used first.
    std::fs::write(&site.path, &site.config).expect("configuration file is written");
    site.program.signal("HUP");
    assert!(
        watch.is_closed(),
        "the watch on the previous address is closed"
    );
    accept_watch_call(&first);
}
