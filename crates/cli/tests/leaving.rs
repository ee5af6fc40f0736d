//! Shutdown of the program: SIGTERM with short deadlines, before the program is ready, repeated, and together with other
//! signals.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::site::Site;
use support::*;

/// Longest deadline in the settings with short deadlines.
const SHORT_DEADLINE: Duration = Duration::from_millis(1_200);
/// SIGKILL follows SIGTERM no sooner than the longest deadline plus this time.
const SIGKILL_DELAY_AFTER_DEADLINE: Duration = Duration::from_millis(700);

fn short_deadlines() -> String {
    SETTINGS.replace("3000000000", &SHORT_DEADLINE.as_nanos().to_string())
}

/// Has the first server accept the next opening, and returns the server's end.
fn accept_opening(site: &Site, client: &mut Peer) -> Peer {
    let mut server = Peer::accept(&site.servers[0]);
    server.read_line().expect("an OPEN line");
    server.send("UP r1\r\n");
    client.expect_line("UP r1");
    server
}

/// With short deadlines every client is moved or answered before the program may be killed.
#[test]
fn shutdown_with_short_deadlines_ends_before_sigkill() {
    let mut site = Site::start_with_settings(&short_deadlines(), "short", 1, &[]);
    let mut established: Vec<(Peer, Peer)> = (0..8).map(|_| site.establish_connection()).collect();
    let mut silent_client = Peer::connect(site.address);
    let mut partial = Peer::connect(site.address);
    partial.send("OPEN b1 02 c=chat,t=ac");
    let mut in_flight = site.open_client("once", "");
    let mut in_flight_server = Peer::accept(&site.servers[0]);
    in_flight_server.read_line().expect("an OPEN line");
    let signalled_at = Instant::now();
    site.program.signal("TERM");
    site.program.wait_for_log("to=leaving");
    // A front keeps sending new clients for a while.
    let mut newcomer = site.open_client("chat", "");
    let newcomers_server = accept_opening(&site, &mut newcomer);
    for (client, _) in &mut established {
        client.expect_line("MOVE");
        client.expect_end();
    }
    newcomer.expect_line("MOVE");
    newcomer.expect_end();
    drop(newcomers_server);
    assert!(
        in_flight.read_line().is_some(),
        "a request in flight gets an answer"
    );
    for opening in [&mut silent_client, &mut partial] {
        let answer = opening.read_line();
        assert!(
            matches!(answer.as_deref(), Some("ERR" | "BUSY") | None),
            "expected ERR, BUSY or the end, got {answer:?}"
        );
    }
    assert!(
        site.program.exits_cleanly(),
        "program exits with success by itself"
    );
    assert!(
        signalled_at.elapsed() < SHORT_DEADLINE + SIGKILL_DELAY_AFTER_DEADLINE,
        "{:?}",
        signalled_at.elapsed()
    );
}

/// SIGKILL follows SIGTERM no sooner than this with the default settings.
const SIGKILL_DELAY: Duration = Duration::from_millis(3_700);

#[test]
fn sigterm_during_startup_exits_cleanly() {
    let (agent, server) = (listener(), listener());
    let settings = SETTINGS.replace("\"subscribe\"", "\"automatic\"");
    let rows = [(
        "s0",
        server
            .local_addr()
            .expect("bound socket has a local address"),
        "SERVING",
    )];
    let discovery = agent
        .local_addr()
        .expect("bound socket has a local address");
    let config = platform_config(
        reserve_address(),
        discovery,
        &endpoint_list(1, true, &rows),
        &settings,
        256,
    );
    let config_path = write_temp_file("early", &config);
    let mut program = Program::start(&[], &[("LB_CONFIG", config_path.as_str())]);
    // The discovery agent has the request, and the start waits for its response.
    let _silent = Peer::accept(&agent);
    let signalled_at = Instant::now();
    program.signal("TERM");
    assert!(
        program.exits_cleanly(),
        "program exits with success by itself"
    );
    assert!(
        signalled_at.elapsed() < SIGKILL_DELAY,
        "{:?}",
        signalled_at.elapsed()
    );
}

/// Signals during a drain neither stop it nor start it again, and no configuration is applied any more.
#[test]
fn further_signals_neither_stop_nor_restart_drain() {
    let mut site = Site::start("again", 1);
    let mut watch = site.discovery.accept_watch();
    let mut established: Vec<(Peer, Peer)> = (0..4).map(|_| site.establish_connection()).collect();
    let elsewhere = listener();
    let address = elsewhere
        .local_addr()
        .expect("bound socket has a local address")
        .to_string();
    let signalled_at = Instant::now();
    site.program.signal("TERM");
    site.program.wait_for_log("to=leaving");
    let changed_config = site
        .config
        .replace(&site.discovery.address.to_string(), &address);
    std::fs::write(&site.config_path, changed_config).expect("configuration file is written");
    site.program.signal("HUP");
    site.program
        .wait_for_log("reload skipped: the program is shutting down");
    site.program.signal("TERM");
    site.program.signal("HUP");
    // The endpoint list is still followed: a new client does not reach a draining server.
    let replacement = listener();
    let rows = [
        (
            "s0",
            site.servers[0]
                .local_addr()
                .expect("bound socket has a local address"),
            "DRAINING",
        ),
        (
            "s1",
            replacement
                .local_addr()
                .expect("bound socket has a local address"),
            "SERVING",
        ),
    ];
    send_endpoints(&mut watch, 2, false, &rows);
    site.program.wait_for_log("generation=2");
    let mut newcomer = site.open_client("chat", "");
    let mut server = Peer::accept(&replacement);
    server.read_line().expect("an OPEN line");
    server.send("UP r1\r\n");
    newcomer.expect_line("UP r1");
    for (client, _) in &mut established {
        client.expect_line("MOVE");
        client.expect_end();
    }
    newcomer.expect_line("MOVE");
    newcomer.expect_end();
    assert!(
        site.program.exits_cleanly(),
        "program exits with success by itself"
    );
    assert!(
        signalled_at.elapsed() < SIGKILL_DELAY,
        "{:?}",
        signalled_at.elapsed()
    );
    elsewhere.set_nonblocking(true).expect("socket is open");
    assert!(
        elsewhere.accept().is_err(),
        "the new discovery address is not used"
    );
}

fn accepts_clients(at: SocketAddr) -> bool {
    let mut front = Peer::connect(at);
    front.send("PING\r\n");
    front.read_line().as_deref() == Some("PONG")
}

/// A program killed during its drain leaves nothing behind that prevents a start under the same name.
#[test]
fn restart_succeeds_after_sigkill_during_drain() {
    let mut site = Site::start("killed", 1);
    let _standing = site.establish_connection();
    site.program.signal("TERM");
    site.program.wait_for_log("to=leaving");
    site.program.kill();
    let env = [("LB_CONFIG", site.config_path.as_str())];
    site.program = Program::start(&[], &env);
    site.program.wait_for_log("to=serving");
    assert!(accepts_clients(site.address));
    let mut client = site.open_client("chat", "");
    let _server = accept_opening(&site, &mut client);
}

/// SIGHUP on standby is applied; it neither stops the drain nor makes the program accept clients again.
#[test]
fn sighup_on_standby_is_applied_and_drain_continues() {
    let operations = reserve_address();
    let site = Site::start_with_env("standby", 1, &[("LB_ADMIN_ADDR", &operations.to_string())]);
    let _watch = site.discovery.accept_watch();
    let mut established: Vec<(Peer, Peer)> = (0..4).map(|_| site.establish_connection()).collect();
    let api = Api {
        address: operations,
        token: "none is wanted",
    };
    assert_eq!(api.call("POST", "/standby", "").status, 200);
    let elsewhere = listener();
    let address = elsewhere
        .local_addr()
        .expect("bound socket has a local address");
    let changed_config = site
        .config
        .replace(&site.discovery.address.to_string(), &address.to_string());
    std::fs::write(&site.config_path, changed_config).expect("configuration file is written");
    site.program.signal("HUP");
    let _asked = Peer::accept(&elsewhere);
    assert!(
        !accepts_clients(site.address),
        "a program on standby rejects PING"
    );
    for (client, _) in &mut established {
        client.expect_line("MOVE");
        client.expect_end();
    }
    assert!(
        !accepts_clients(site.address),
        "the program stays on standby after SIGHUP"
    );
    assert_eq!(api.call("POST", "/active", "").status, 200);
    assert!(accepts_clients(site.address));
}
