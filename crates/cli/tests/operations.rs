//! Tests of the operations port: status calls, standby and return to active.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use support::site::Site;
use support::*;

/// A balancer with an operations port.
fn start_balancer(name: &str) -> (Site, Api) {
    let address = reserve_address();
    let site = Site::start_with_env(name, 1, &[("LB_ADMIN_ADDR", &address.to_string())]);
    (
        site,
        Api {
            address,
            token: "none is wanted",
        },
    )
}

/// Sends raw bytes to the port and returns everything it answers before it closes.
fn raw_response(address: SocketAddr, bytes: &[u8]) -> String {
    let mut connection = Peer::connect(address).stream;
    connection
        .write_all(bytes)
        .expect("bytes are sent to the operations port");
    let mut response = String::new();
    connection
        .read_to_string(&mut response)
        .expect("a response is followed by the end of the connection");
    response
}

fn assert_ping_answer(site: &Site, expected: &str) {
    let mut front = Peer::connect(site.address);
    front.send("PING\r\n");
    front.expect_line(expected);
}

/// Invalid calls must not affect other calls or the clients of the program.
#[test]
fn answers_calls_with_standard_http_statuses() {
    let (site, api) = start_balancer("calls");
    let status = api.call("GET", "/status", "");
    assert_eq!(
        (status.status, &status.body["ready"], &status.body["state"]),
        (200, &true.into(), &"serving".into())
    );
    assert_eq!(api.call("GET", "/status?verbose=1", "").status, 200);
    assert_eq!(api.call("GET", "/statistics", "").status, 404);
    assert_eq!(
        api.call("GET", "/v1/farm", "").status,
        404,
        "the administration API is not served on this port"
    );
    for (method, path, allowed) in [
        ("POST", "/status", "GET"),
        ("GET", "/standby", "POST"),
        ("DELETE", "/active", "POST"),
    ] {
        let refused = api.call(method, path, "");
        assert_eq!(refused.status, 405);
        assert!(
            refused.head.contains(&format!("Allow: {allowed}\r\n"))
                || refused.head.ends_with(&format!("Allow: {allowed}"))
        );
    }
    let long = [b"GET /status HTTP/1.1\r\nx: ".as_slice(), &[b'x'; 5000]].concat();
    for (bytes, status) in [
        (b"\x16\x03\x01 no HTTP\r\n\r\n".as_slice(), "400"),
        (
            b"POST /standby HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            "400",
        ),
        (
            b"POST /standby HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "411",
        ),
        (
            b"POST /standby HTTP/1.1\r\nContent-Length: 99999\r\n\r\n",
            "413",
        ),
        (&long, "431"),
    ] {
        assert!(
            raw_response(api.address, bytes).starts_with(&format!("HTTP/1.1 {status} ")),
            "{status}"
        );
    }
    assert_eq!(api.call("GET", "/status", "").status, 200);
    assert_ping_answer(&site, "PONG");
}

#[test]
fn answers_fragmented_call_and_drops_aborted_ones() {
    let (_site, api) = start_balancer("bytes");
    let call = b"POST /active HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    let mut caller = Peer::connect(api.address);
    for byte in call {
        caller
            .stream
            .write_all(&[*byte])
            .expect("bytes are sent to the operations port");
        let mut aborted = Peer::connect(api.address).stream;
        aborted
            .write_all(&call[..20])
            .expect("bytes are sent to the operations port");
    }
    caller.expect_line("HTTP/1.1 200 OK");
}

/// New clients are served during the grace period and then moved; `active` ends standby.
#[test]
fn standby_moves_clients_and_keeps_program_running() {
    let (site, api) = start_balancer("standby");
    let (mut client, mut server) = site.establish_connection();
    let called_at = Instant::now();
    assert_eq!(api.call("POST", "/standby", "").status, 200);
    let status = api.call("GET", "/status", "");
    assert_eq!(
        (status.status, &status.body["state"]),
        (503, &"standby".into())
    );
    assert_ping_answer(&site, "NO standby");
    let mut newcomer = site.open_client("chat", "");
    let mut newcomer_server = Peer::accept(&site.servers[0]);
    newcomer_server
        .read_line()
        .expect("a new client is served during the drain grace period");
    newcomer_server.send("UP r2\r\n");
    newcomer.expect_line("UP r2");
    client.expect_line("MOVE");
    server.expect_end();
    newcomer.expect_line("MOVE");
    assert!(called_at.elapsed() < Duration::from_secs(4));
    assert_eq!(
        api.call("POST", "/standby", "").status,
        200,
        "a repeated call is harmless"
    );
    site.program.wait_for_log("request counters");
    assert_ping_answer(&site, "NO standby");
    assert_eq!(api.call("POST", "/active", "").status, 200);
    assert_eq!(api.call("POST", "/active", "").status, 200);
    assert_eq!(api.call("GET", "/status", "").status, 200);
    assert_ping_answer(&site, "PONG");
    let _established = site.establish_connection();
}

/// Clients that have not been moved when the drain is cancelled must stay connected.
#[test]
fn cancelled_drain_keeps_clients_not_yet_moved() {
    let (site, api) = start_balancer("undone");
    let (mut first, _server) = site.establish_connection();
    let (mut second, mut server) = site.establish_connection();
    let called_at = Instant::now();
    assert_eq!(api.call("POST", "/standby", "").status, 200);
    first.expect_line("MOVE");
    assert_eq!(api.call("POST", "/active", "").status, 200);
    assert_ping_answer(&site, "PONG");
    // Without the cancellation the second client would have been moved after 1.35 s.
    while called_at.elapsed() < Duration::from_secs(2) {
        second.send("line\r\n");
        assert_eq!(server.read_line().as_deref(), Some("line"));
        server.send("ok\r\n");
        second.expect_line("ok");
    }
}

#[test]
fn standby_answers_pending_requests() {
    let (site, api) = start_balancer("answers");
    let mut client = site.open_client("chat", "");
    let mut pending_attempt = Peer::accept(&site.servers[0]);
    pending_attempt.read_line().expect("a request is received");
    assert_eq!(api.call("POST", "/standby", "").status, 200);
    let answer = client.read_line().expect("a final answer is received");
    assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
    client.expect_end();
}

/// A program that is exiting cannot be returned to active.
#[test]
fn standby_program_exits_on_sigterm() {
    let (mut site, api) = start_balancer("both");
    let (mut client, _server) = site.establish_connection();
    assert_eq!(api.call("POST", "/standby", "").status, 200);
    site.program.signal("TERM");
    site.program.wait_for_log("to=leaving");
    let refused = api.call("POST", "/active", "");
    assert_eq!(
        (refused.status, &refused.body["error"]),
        (409, &"the program is leaving".into())
    );
    client.expect_line("MOVE");
    assert!(site.program.exits_cleanly(), "the program exits by itself");
}

#[test]
fn answers_calls_despite_silent_and_flooding_clients() {
    let (mut site, api) = start_balancer("silent");
    serve_all_openings(site.servers.remove(0));
    let silent: Vec<TcpStream> = (0..64)
        .map(|number| {
            let mut caller = Peer::connect(api.address).stream;
            if number % 2 == 0 {
                caller
                    .write_all(b"POST /standby HT")
                    .expect("bytes are sent to the operations port");
            }
            caller
        })
        .collect();
    let opened_count = Arc::new(AtomicUsize::new(0));
    let spawn_flood = |number| {
        let (address, opened_count) = (site.address, Arc::clone(&opened_count));
        std::thread::spawn(move || {
            // Rejected clients reconnect at once; served clients disconnect.
            for count in 0..100 {
                let mut client = Peer::connect(address);
                client.send(&format!(
                    "OPEN f{number}x{count} 02 c=chat,t=acme,d=2500,g=3\r\n"
                ));
                client.read_line_or_end();
                opened_count.fetch_add(1, Ordering::SeqCst);
            }
        })
    };
    let floods: Vec<_> = (0..4).map(spawn_flood).collect();
    while opened_count.load(Ordering::SeqCst) < 400 {
        let called_at = Instant::now();
        assert_eq!(api.call("GET", "/status", "").status, 200);
        assert!(called_at.elapsed() < Duration::from_secs(1));
    }
    floods
        .into_iter()
        .for_each(|flood| flood.join().expect("flood thread finishes"));
    // The first callers were evicted; one that is still connected receives a timeout.
    let mut last = Peer::new(
        silent
            .into_iter()
            .next_back()
            .expect("64 callers are connected"),
    );
    last.expect_line("HTTP/1.1 408 Request Timeout");
    assert_eq!(api.call("POST", "/standby", "").status, 200);
}

#[test]
fn start_fails_naming_invalid_or_taken_address() {
    let bound_listener = listener();
    let taken_address = bound_listener
        .local_addr()
        .expect("listener is bound")
        .to_string();
    let valid_config = platform_config(
        reserve_address(),
        reserve_address(),
        &endpoint_list(1, true, &[]),
        SETTINGS,
        256,
    );
    let config_with_address = valid_config.replacen('{', r#"{"admin_addr":"there","#, 1);
    for (name, config, variable, reason) in [
        (
            "variable",
            &valid_config,
            Some("here"),
            r#"LB_ADMIN_ADDR: "here" is no address"#,
        ),
        (
            "taken",
            &valid_config,
            Some(taken_address.as_str()),
            taken_address.as_str(),
        ),
        (
            "listed",
            &config_with_address,
            None,
            r#"admin_addr: "there" is no address"#,
        ),
    ] {
        let path = write_temp_file(name, config);
        let mut env = vec![("LB_CONFIG", path.as_str())];
        env.extend(variable.map(|address| ("LB_ADMIN_ADDR", address)));
        let mut program = Program::start(&[], &env);
        let log_line = program.wait_for_log("cannot start");
        assert!(
            log_line.contains(&reason.replace('"', "\\\"")) || log_line.contains(reason),
            "{log_line}"
        );
        assert!(!program.wait_for_exit().success());
    }
}
