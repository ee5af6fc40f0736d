//! Clients that leave while they wait, in each state of waiting, and attempts whose moment has gone by.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::full_backlog_server::{FullBacklogServer, first_line_received};
use support::gated_server::{GatedServer, Protocol};
use support::site::Site;
use support::*;

/// Longer than the second after which the system tries a connection again.
const SECOND_TRY: Duration = Duration::from_millis(1_500);
/// Far longer than any delay between attempts under these settings.
const ALL_DELAYS: Duration = Duration::from_millis(1_200);
/// Well under the time after which an attempt is given up for a client that waits, and long on a busy machine.
const AT_ONCE: Duration = Duration::from_secs(2);
/// Attempts that may be under way at once at the start; more wait in the admission queue.
const WINDOW: usize = 12;
const DEBUG: &[(&str, &str)] = &[("BEACONFLOW_LOG", "debug")];

/// Settings under which a connect may take half a minute.
fn patient() -> String {
    SETTINGS.replace(
        "\"connect-timeout-ns\":200000000",
        "\"connect-timeout-ns\":30000000000",
    )
}

/// A balancer with the servers that the test tells it of in place of the one that it knew.
fn site_of(settings: &str, name: &str, servers: &[(&str, SocketAddr, &str)]) -> (Site, Peer) {
    let site = Site::start_with_settings(settings, name, 1, DEBUG);
    let mut watch = site.discovery.accept_watch();
    send_endpoints(&mut watch, 2, true, servers);
    site.program.wait_for_log("generation=2");
    (site, watch)
}

/// Ends a client's connection in order, or by a reset.
fn leaves(client: Peer, by_reset: bool) {
    if by_reset {
        socket2::SockRef::from(&client.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("open");
    }
    drop(client);
}

#[test]
fn a_client_that_leaves_during_a_connect_ends_it_and_is_never_sent_on() {
    for by_reset in [false, true] {
        let late = FullBacklogServer::start();
        let (site, _watch) = site_of(
            &patient(),
            &format!("connect{by_reset}"),
            &[("a", late.address, "SERVING")],
        );
        let client = site.open_client("chat", "");
        late.wait_until_connecting_is(true);
        let left = Instant::now();
        leaves(client, by_reset);
        late.wait_until_connecting_is(false);
        assert!(
            left.elapsed() < AT_ONCE,
            "withdrawn after {:?}",
            left.elapsed()
        );
        assert_eq!(late.free_backlog_and_read(SECOND_TRY), None);
    }
}

#[test]
fn a_client_that_ends_its_sending_while_it_waits_has_left() {
    let late = FullBacklogServer::start();
    let (site, _watch) = site_of(&patient(), "half", &[("a", late.address, "SERVING")]);
    let mut client = site.open_client("chat", "");
    late.wait_until_connecting_is(true);
    let left = Instant::now();
    client.shutdown_write();
    late.wait_until_connecting_is(false);
    assert!(
        left.elapsed() < AT_ONCE,
        "withdrawn after {:?}",
        left.elapsed()
    );
    client.expect_end();
    assert_eq!(late.free_backlog_and_read(SECOND_TRY), None);
}

#[test]
fn a_client_that_leaves_the_admission_queue_is_never_sent_on() {
    for by_reset in [false, true] {
        let held = GatedServer::start(Protocol::Platform);
        let (site, _watch) = site_of(
            SETTINGS,
            &format!("queue{by_reset}"),
            &[("a", held.address, "SERVING")],
        );
        let mut first: Vec<Peer> = (0..WINDOW).map(|_| site.open_client("chat", "")).collect();
        held.wait_for_setups(WINDOW);
        let mut gone = Peer::connect(site.address);
        gone.send("OPEN gone 02 c=chat,t=acme,d=2900,g=3\r\n");
        (0..=WINDOW).for_each(|_| drop(site.program.wait_for_log("opened")));
        leaves(gone, by_reset);
        held.admit(usize::MAX);
        first
            .iter_mut()
            .for_each(|client| client.expect_line("UP r1"));
        let mut after = site.open_client("chat", "");
        after.expect_line("UP r1");
        std::thread::sleep(ALL_DELAYS);
        let came = held.wait_for_setups(WINDOW + 1);
        assert!(
            !came.iter().any(|opening| opening.contains("gone")),
            "{came:?}"
        );
    }
}

#[test]
fn a_client_that_leaves_in_a_delay_between_attempts_is_not_sent_on_again() {
    for by_reset in [false, true] {
        let site = Site::start_with_env(&format!("delay{by_reset}"), 1, DEBUG);
        let client = site.open_client("chat", "");
        let mut server = Peer::accept(&site.servers[0]);
        server.read_line().expect("an opening");
        server.send("BUSY\r\n");
        site.program.wait_for_log("attempt ended");
        leaves(client, by_reset);
        drop(server);
        assert_eq!(first_line_received(&site.servers[0], ALL_DELAYS), None);
    }
}

#[test]
fn a_client_that_leaves_during_an_attempt_ends_it_and_no_repeat_follows() {
    let site = Site::start("attempt", 1);
    let client = site.open_client("chat", "");
    let mut server = Peer::accept(&site.servers[0]);
    server.read_line().expect("an opening");
    let second = listener();
    let mut watch = site.discovery.accept_watch();
    send_endpoints(
        &mut watch,
        2,
        false,
        &[("b", second.local_addr().expect("bound"), "SERVING")],
    );
    site.program.wait_for_log("generation=2");
    drop(client);
    server.expect_end();
    assert_eq!(first_line_received(&second, ALL_DELAYS), None);
    assert_eq!(
        first_line_received(&site.servers[0], Duration::from_millis(100)),
        None
    );
}

#[test]
fn a_client_that_leaves_while_its_server_is_asked_for_its_load_is_never_sent_on() {
    let probes = SETTINGS.replace(
        "\"policy-limits\":{",
        "\"policy-limits\":{\"may-probe\":true,",
    );
    let settings = probes.replace(
        "\"rules\"",
        "\"report\":{\"how\":\"on_probe\",\"names\":[\"x0\",\"q\"]},\"rules\"",
    );
    let site = Site::start_with_settings(&settings, "load", 1, &[]);
    let client = site.open_client("chat", "");
    let mut server = Peer::accept(&site.servers[0]);
    assert_eq!(server.read_line().as_deref(), Some("STATS"));
    drop(client);
    server.send("PONG x0=0.1\r\n");
    assert_eq!(
        first_line_received(&site.servers[0], ALL_DELAYS).filter(|words| words.starts_with("OPEN")),
        None
    );
}

#[test]
fn a_repeat_whose_connect_outlasts_the_window_is_not_sent() {
    let keyed = patient().replace(
        "\"effect\":\"fragile\"",
        "\"effect\":\"dedup\",\"dedup-scope\":\"all\",\"repeat-window-ns\":1200000000",
    );
    let first = listener();
    let at = first.local_addr().expect("bound");
    let late = FullBacklogServer::start();
    let (site, mut watch) = site_of(&keyed, "window", &[("a", at, "SERVING")]);
    let mut client = site.open_client("once", "");
    let mut server = Peer::accept(&first);
    server.read_line().expect("an opening");
    let sent = Instant::now();
    send_endpoints(
        &mut watch,
        3,
        true,
        &[("a", at, "DRAINING"), ("b", late.address, "SERVING")],
    );
    site.program.wait_for_log("generation=3");
    server.send("ERR\r\n");
    drop(server);
    late.wait_until_connecting_is(true);
    client.expect_line("ERR");
    assert!(
        sent.elapsed() < AT_ONCE,
        "failed as soon as no repeat may begin"
    );
    assert_eq!(late.free_backlog_and_read(SECOND_TRY), None);
}

#[test]
fn what_is_withheld_from_a_server_that_drains_during_the_connect_goes_to_another() {
    let (late, second) = (FullBacklogServer::start(), listener());
    let at = second.local_addr().expect("bound");
    let (site, mut watch) = site_of(&patient(), "drains", &[("a", late.address, "SERVING")]);
    let mut client = site.open_client("once", "");
    late.wait_until_connecting_is(true);
    let first = late.address;
    send_endpoints(
        &mut watch,
        3,
        true,
        &[("a", first, "DRAINING"), ("b", at, "SERVING")],
    );
    site.program.wait_for_log("generation=3");
    let heard = std::thread::spawn(move || late.free_backlog_and_read(SECOND_TRY));
    let mut server = Peer::accept(&second);
    assert!(
        server
            .read_line()
            .is_some_and(|opening| opening.starts_with("OPEN "))
    );
    server.send("UP r1\r\n");
    client.expect_line("UP r1");
    assert_eq!(
        heard.join().expect("it ran"),
        None,
        "nothing for the one that drains"
    );
}

#[test]
fn what_a_server_is_told_of_the_time_is_what_is_left_of_it() {
    let first = listener();
    let (site, _watch) = site_of(
        SETTINGS,
        "time",
        &[("a", first.local_addr().expect("bound"), "SERVING")],
    );
    let sent = Instant::now();
    let mut client = site.open_client("once", "");
    let mut server = Peer::accept(&first);
    let opening = server.read_line().expect("an opening");
    let told = opening
        .split("d=")
        .nth(1)
        .and_then(|rest| rest.split(',').next())
        .expect("a time");
    let told = Duration::from_millis(told.parse().expect("a number"));
    assert!(
        told <= Duration::from_millis(2_500)
            && told + sent.elapsed() >= Duration::from_millis(2_490)
    );
    client.expect_line("ERR");
    let waited = sent.elapsed();
    assert!(
        waited >= Duration::from_millis(2_490),
        "not given up before: {waited:?}"
    );
    server.expect_end();
}

#[test]
fn whoever_waits_for_a_connect_when_the_program_leaves_is_refused_before_it_has_left() {
    let late = FullBacklogServer::start();
    let (mut site, _watch) = site_of(&patient(), "leaves", &[("a", late.address, "SERVING")]);
    site.program.signal("TERM");
    site.program.wait_for_log("to=leaving");
    // It would wait for longer than the program gives those that are on their way.
    let mut client = Peer::connect(site.address);
    client.send("OPEN ff 02 c=once,t=acme,d=3000,g=3\r\n");
    late.wait_until_connecting_is(true);
    client.expect_line("BUSY");
    client.expect_end();
    assert!(site.program.exits_cleanly(), "it leaves by itself");
}
