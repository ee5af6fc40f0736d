//! Clients that disconnect in each state of waiting, and attempts that come too late to be sent.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use support::full_backlog_server::{FullBacklogServer, first_line_received};
use support::gated_server::{GatedServer, Protocol};
use support::site::Site;
use support::*;

/// Longer than the second after which the kernel sends a SYN again.
const SYN_RETRY_WAIT: Duration = Duration::from_millis(1_500);
/// Much longer than any retry delay under these settings.
const NO_RETRY_WAIT: Duration = Duration::from_millis(1_200);
/// Bound for reactions that must not wait for a timeout: well under the attempt timeout, and ample on a busy machine.
const PROMPT_LIMIT: Duration = Duration::from_secs(2);
/// Initial limit of concurrent attempts; further ones wait in the admission queue.
const ATTEMPT_LIMIT: usize = 12;
const DEBUG_LOG_ENV: &[(&str, &str)] = &[("BEACONFLOW_LOG", "debug")];

/// Settings with a connect timeout of 30 s.
fn long_connect_timeout_settings() -> String {
    SETTINGS.replace(
        "\"connect-timeout-ns\":200000000",
        "\"connect-timeout-ns\":30000000000",
    )
}

/// Starts a balancer and replaces its configured server by these servers.
fn start_site(settings: &str, name: &str, servers: &[(&str, SocketAddr, &str)]) -> (Site, Peer) {
    let site = Site::start_with_settings(settings, name, 1, DEBUG_LOG_ENV);
    let mut watch = site.discovery.accept_watch();
    send_endpoints(&mut watch, 2, true, servers);
    site.program.wait_for_log("generation=2");
    (site, watch)
}

/// Closes a client's connection normally or with a reset.
fn disconnect(client: Peer, by_reset: bool) {
    if by_reset {
        socket2::SockRef::from(&client.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("socket is open");
    }
    drop(client);
}

/// A disconnect cancels the pending connect, and the request is never forwarded.
#[test]
fn client_disconnect_cancels_upstream_connect() {
    for by_reset in [false, true] {
        let backlogged = FullBacklogServer::start();
        let (site, _watch) = start_site(
            &long_connect_timeout_settings(),
            &format!("connect{by_reset}"),
            &[("a", backlogged.address, "SERVING")],
        );
        let client = site.open_client("chat", "");
        backlogged.wait_until_connecting_is(true);
        let disconnected_at = Instant::now();
        disconnect(client, by_reset);
        backlogged.wait_until_connecting_is(false);
        assert!(
            disconnected_at.elapsed() < PROMPT_LIMIT,
            "connect was cancelled after {:?}",
            disconnected_at.elapsed()
        );
        assert_eq!(backlogged.free_backlog_and_read(SYN_RETRY_WAIT), None);
    }
}

/// A client that shuts down its sending side while it waits counts as disconnected.
#[test]
fn half_closed_waiting_client_counts_as_disconnected() {
    let backlogged = FullBacklogServer::start();
    let (site, _watch) = start_site(
        &long_connect_timeout_settings(),
        "half",
        &[("a", backlogged.address, "SERVING")],
    );
    let mut client = site.open_client("chat", "");
    backlogged.wait_until_connecting_is(true);
    let disconnected_at = Instant::now();
    client.shutdown_write();
    backlogged.wait_until_connecting_is(false);
    assert!(
        disconnected_at.elapsed() < PROMPT_LIMIT,
        "connect was cancelled after {:?}",
        disconnected_at.elapsed()
    );
    client.expect_end();
    assert_eq!(backlogged.free_backlog_and_read(SYN_RETRY_WAIT), None);
}

#[test]
fn disconnected_client_is_removed_from_admission_queue() {
    for by_reset in [false, true] {
        let gated = GatedServer::start(Protocol::Platform);
        let (site, _watch) = start_site(
            SETTINGS,
            &format!("queue{by_reset}"),
            &[("a", gated.address, "SERVING")],
        );
        let mut first: Vec<Peer> = (0..ATTEMPT_LIMIT)
            .map(|_| site.open_client("chat", ""))
            .collect();
        gated.wait_for_setups(ATTEMPT_LIMIT);
        let mut queued = Peer::connect(site.address);
        queued.send("OPEN gone 02 c=chat,t=acme,d=2900,g=3\r\n");
        (0..=ATTEMPT_LIMIT).for_each(|_| drop(site.program.wait_for_log("request opened")));
        disconnect(queued, by_reset);
        gated.admit(usize::MAX);
        first
            .iter_mut()
            .for_each(|client| client.expect_line("UP r1"));
        let mut later_client = site.open_client("chat", "");
        later_client.expect_line("UP r1");
        std::thread::sleep(NO_RETRY_WAIT);
        let setups = gated.wait_for_setups(ATTEMPT_LIMIT + 1);
        assert!(
            !setups.iter().any(|opening| opening.contains("gone")),
            "{setups:?}"
        );
    }
}

#[test]
fn client_disconnect_during_retry_delay_stops_retries() {
    for by_reset in [false, true] {
        let site = Site::start_with_env(&format!("delay{by_reset}"), 1, DEBUG_LOG_ENV);
        let client = site.open_client("chat", "");
        let mut server = Peer::accept(&site.servers[0]);
        server.read_line().expect("an OPEN line");
        server.send("BUSY\r\n");
        site.program.wait_for_log("attempt ended");
        disconnect(client, by_reset);
        drop(server);
        assert_eq!(first_line_received(&site.servers[0], NO_RETRY_WAIT), None);
    }
}

#[test]
fn client_disconnect_during_attempt_ends_it_without_retry() {
    let site = Site::start("attempt", 1);
    let client = site.open_client("chat", "");
    let mut server = Peer::accept(&site.servers[0]);
    server.read_line().expect("an OPEN line");
    let second = listener();
    let mut watch = site.discovery.accept_watch();
    send_endpoints(
        &mut watch,
        2,
        false,
        &[(
            "b",
            second
                .local_addr()
                .expect("bound socket has a local address"),
            "SERVING",
        )],
    );
    site.program.wait_for_log("generation=2");
    drop(client);
    server.expect_end();
    assert_eq!(first_line_received(&second, NO_RETRY_WAIT), None);
    assert_eq!(
        first_line_received(&site.servers[0], Duration::from_millis(100)),
        None
    );
}

#[test]
fn client_disconnect_during_load_probe_prevents_forwarding() {
    let probe_settings = SETTINGS.replace(
        "\"policy-limits\":{",
        "\"policy-limits\":{\"may-probe\":true,",
    );
    let settings = probe_settings.replace(
        "\"rules\"",
        "\"report\":{\"how\":\"on_probe\",\"names\":[\"x0\",\"q\"]},\"rules\"",
    );
    let site = Site::start_with_settings(&settings, "load", 1, &[]);
    let client = site.open_client("chat", "");
    let mut server = Peer::accept(&site.servers[0]);
    assert_eq!(server.read_line().as_deref(), Some("STATS"));
    // A process that another test is starting may have a copy of the socket, so that a close alone ends nothing yet.
    client.shutdown_write();
    drop(client);
    server.send("PONG x0=0.1\r\n");
    assert_eq!(
        first_line_received(&site.servers[0], NO_RETRY_WAIT)
            .filter(|line| line.starts_with("OPEN")),
        None
    );
}

#[test]
fn retry_is_dropped_when_connect_outlasts_repeat_window() {
    let dedup_settings = long_connect_timeout_settings().replace(
        "\"effect\":\"fragile\"",
        "\"effect\":\"dedup\",\"dedup-scope\":\"all\",\"repeat-window-ns\":1200000000",
    );
    let first = listener();
    let first_address = first
        .local_addr()
        .expect("bound socket has a local address");
    let backlogged = FullBacklogServer::start();
    let (site, mut watch) = start_site(
        &dedup_settings,
        "window",
        &[("a", first_address, "SERVING")],
    );
    let mut client = site.open_client("once", "");
    let mut server = Peer::accept(&first);
    server.read_line().expect("an OPEN line");
    let sent_at = Instant::now();
    send_endpoints(
        &mut watch,
        3,
        true,
        &[
            ("a", first_address, "DRAINING"),
            ("b", backlogged.address, "SERVING"),
        ],
    );
    site.program.wait_for_log("generation=3");
    server.send("ERR\r\n");
    drop(server);
    backlogged.wait_until_connecting_is(true);
    client.expect_line("ERR");
    assert!(
        sent_at.elapsed() < PROMPT_LIMIT,
        "the request fails as soon as no retry may begin"
    );
    assert_eq!(backlogged.free_backlog_and_read(SYN_RETRY_WAIT), None);
}

/// A server that starts to drain during the connect gets no request; it goes to another server.
#[test]
fn request_is_rerouted_when_server_drains_during_connect() {
    let (backlogged, second) = (FullBacklogServer::start(), listener());
    let second_address = second
        .local_addr()
        .expect("bound socket has a local address");
    let (site, mut watch) = start_site(
        &long_connect_timeout_settings(),
        "drains",
        &[("a", backlogged.address, "SERVING")],
    );
    let mut client = site.open_client("once", "");
    backlogged.wait_until_connecting_is(true);
    let first = backlogged.address;
    send_endpoints(
        &mut watch,
        3,
        true,
        &[("a", first, "DRAINING"), ("b", second_address, "SERVING")],
    );
    site.program.wait_for_log("generation=3");
    let backlogged_reader =
        std::thread::spawn(move || backlogged.free_backlog_and_read(SYN_RETRY_WAIT));
    let mut server = Peer::accept(&second);
    assert!(
        server
            .read_line()
            .is_some_and(|opening| opening.starts_with("OPEN "))
    );
    server.send("UP r1\r\n");
    client.expect_line("UP r1");
    assert_eq!(
        backlogged_reader.join().expect("reader thread returns"),
        None,
        "the draining server gets nothing"
    );
}

#[test]
fn forwarded_deadline_is_the_remaining_time() {
    let first = listener();
    let (site, _watch) = start_site(
        SETTINGS,
        "time",
        &[(
            "a",
            first
                .local_addr()
                .expect("bound socket has a local address"),
            "SERVING",
        )],
    );
    let sent_at = Instant::now();
    let mut client = site.open_client("once", "");
    let mut server = Peer::accept(&first);
    let opening = server.read_line().expect("an OPEN line");
    let forwarded = opening
        .split("d=")
        .nth(1)
        .and_then(|rest| rest.split(',').next())
        .expect("a time value");
    let forwarded = Duration::from_millis(forwarded.parse().expect("value is a number"));
    assert!(
        forwarded <= Duration::from_millis(2_500)
            && forwarded + sent_at.elapsed() >= Duration::from_millis(2_490)
    );
    client.expect_line("ERR");
    let waited = sent_at.elapsed();
    assert!(
        waited >= Duration::from_millis(2_490),
        "failed before its deadline: {waited:?}"
    );
    server.expect_end();
}

/// At shutdown a client that waits for a connect is rejected before the program exits.
#[test]
fn shutdown_rejects_clients_waiting_for_connect() {
    let backlogged = FullBacklogServer::start();
    let (mut site, _watch) = start_site(
        &long_connect_timeout_settings(),
        "leaves",
        &[("a", backlogged.address, "SERVING")],
    );
    site.program.signal("TERM");
    site.program.wait_for_log("to=leaving");
    // Its deadline is later than the time that a shutdown allows for requests in flight.
    let mut client = Peer::connect(site.address);
    client.send("OPEN ff 02 c=once,t=acme,d=3000,g=3\r\n");
    backlogged.wait_until_connecting_is(true);
    client.expect_line("BUSY");
    client.expect_end();
    assert!(
        site.program.exits_cleanly(),
        "program exits with success by itself"
    );
}

/// Time after a reset client within which its connection to the server has to be gone.
const RELEASE_LIMIT: Duration = Duration::from_millis(300);
/// Lines of this size fill the buffers to a server that does not read long before too many are unanswered.
const LONG_LINE_BYTES: usize = 4_000;

/// Sends lines until the balancer has taken none for a while; returns their number. The server answers all the time and reads
/// nothing.
fn send_until_blocked(client: &mut Peer, server: &Peer, line: &str) -> usize {
    let timeout = Some(Duration::from_millis(300));
    client
        .stream
        .set_write_timeout(timeout)
        .expect("socket is open");
    let mut answers = server.stream.try_clone().expect("socket is open");
    let is_blocked = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_blocked.load(std::sync::atomic::Ordering::Relaxed) {
                answers.write_all(b"ok\r\n").expect("the balancer reads");
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        let sent = std::iter::from_fn(|| client.stream.write_all(line.as_bytes()).ok());
        let count = sent.count();
        is_blocked.store(true, std::sync::atomic::Ordering::Relaxed);
        count
    })
}

/// Waits until the peer has reset or closed the connection, whatever is unread.
fn wait_for_hang_up(stream: &TcpStream) {
    let ended = rustix::event::PollFlags::RDHUP;
    let mut polled = [rustix::event::PollFd::new(stream, ended)];
    let timeout = rustix::event::Timespec {
        tv_sec: 20,
        tv_nsec: 0,
    };
    let count = rustix::event::poll(&mut polled, Some(&timeout)).expect("poll succeeds");
    assert_eq!(count, 1, "the connection did not end within 20 s");
}

/// Guards against a client that resets its connection with much still unread by the balancer: its lines were sent on to
/// a slow server afterwards.
#[test]
fn lines_of_reset_client_are_not_sent_on() {
    let site = Site::start("unread", 1);
    let (mut client, server) = site.establish_connection();
    let line = format!("{}\r\n", "x".repeat(LONG_LINE_BYTES));
    let sent = send_until_blocked(&mut client, &server, &line);
    let left_at = Instant::now();
    disconnect(client, true);
    wait_for_hang_up(&server.stream);
    let took = left_at.elapsed();
    eprintln!(
        "{sent} lines of {LONG_LINE_BYTES} bytes sent; the server's connection ended after {took:?}"
    );
    assert!(took <= RELEASE_LIMIT, "{took:?}");
}

/// Guards against a request that runs twice when its id comes again after its client has left.
#[test]
fn id_of_client_that_left_is_not_sent_again() {
    for by_reset in [false, true] {
        let site = Site::start(&format!("again{by_reset}"), 1);
        let opening = "OPEN twice 02 c=once,t=acme,d=2500,g=3\r\n";
        let mut client = Peer::connect(site.address);
        client.send(opening);
        let mut server = Peer::accept(&site.servers[0]);
        server.read_line().expect("an OPEN line");
        disconnect(client, by_reset);
        assert!(server.is_closed());
        let mut again = Peer::connect(site.address);
        again.send(opening);
        again.expect_line("ERR");
        assert!(Peer::try_accept(&site.servers[0]).is_none());
        // Another id is served.
        site.establish_connection();
    }
}
