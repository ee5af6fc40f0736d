//! Stories of the operations port: the program's staff ask it, drain it and take it back.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use support::site::Site;
use support::*;

/// A balancer with an operations port.
fn site(name: &str) -> (Site, Api) {
    let at = reserve_address();
    let site = Site::start_with_env(name, 1, &[("LB_ADMIN_ADDR", &at.to_string())]);
    (
        site,
        Api {
            address: at,
            token: "none is wanted",
        },
    )
}

/// What the port answers to these bytes, as far as they go.
fn answer(at: SocketAddr, bytes: &[u8]) -> String {
    let mut caller = Peer::connect(at).stream;
    caller.write_all(bytes).expect("the port reads");
    let mut answer = String::new();
    caller
        .read_to_string(&mut answer)
        .expect("an answer and an end");
    answer
}

fn hears_of_ping(site: &Site, words: &str) {
    let mut front = Peer::connect(site.address);
    front.send("PING\r\n");
    front.expect_line(words);
}

#[test]
fn each_call_is_answered_as_http_has_it_and_faults_end_only_themselves() {
    let (site, api) = site("calls");
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
        "the tenants' API stays apart"
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
            answer(api.address, bytes).starts_with(&format!("HTTP/1.1 {status} ")),
            "{status}"
        );
    }
    assert_eq!(api.call("GET", "/status", "").status, 200);
    hears_of_ping(&site, "PONG");
}

#[test]
fn a_call_that_comes_byte_by_byte_is_answered_and_one_that_leaves_half_way_is_forgotten() {
    let (_site, api) = site("bytes");
    let call = b"POST /active HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    let mut caller = Peer::connect(api.address);
    for byte in call {
        caller.stream.write_all(&[*byte]).expect("the port reads");
        let mut gone = Peer::connect(api.address).stream;
        gone.write_all(&call[..20]).expect("the port reads");
    }
    caller.expect_line("HTTP/1.1 200 OK");
}

#[test]
fn on_standby_clients_are_moved_newcomers_served_and_the_program_stays() {
    let (site, api) = site("standby");
    let (mut client, mut server) = site.establish_connection();
    let called = Instant::now();
    assert_eq!(api.call("POST", "/standby", "").status, 200);
    let status = api.call("GET", "/status", "");
    assert_eq!(
        (status.status, &status.body["state"]),
        (503, &"standby".into())
    );
    hears_of_ping(&site, "NO standby");
    let mut newcomer = site.open_client("chat", "");
    let mut to = Peer::accept(&site.servers[0]);
    to.read_line()
        .expect("a newcomer in the front's grace is served");
    to.send("UP r2\r\n");
    newcomer.expect_line("UP r2");
    client.expect_line("MOVE");
    server.expect_end();
    newcomer.expect_line("MOVE");
    assert!(called.elapsed() < Duration::from_secs(4));
    assert_eq!(
        api.call("POST", "/standby", "").status,
        200,
        "a call repeats harmlessly"
    );
    site.program.wait_for_log("counts");
    hears_of_ping(&site, "NO standby");
    assert_eq!(api.call("POST", "/active", "").status, 200);
    assert_eq!(api.call("POST", "/active", "").status, 200);
    assert_eq!(api.call("GET", "/status", "").status, 200);
    hears_of_ping(&site, "PONG");
    let _stands = site.establish_connection();
}

#[test]
fn a_drain_that_is_undone_half_way_leaves_those_in_peace_who_have_not_been_told() {
    let (site, api) = site("undone");
    let (mut first, _server) = site.establish_connection();
    let (mut second, mut server) = site.establish_connection();
    let called = Instant::now();
    assert_eq!(api.call("POST", "/standby", "").status, 200);
    first.expect_line("MOVE");
    assert_eq!(api.call("POST", "/active", "").status, 200);
    hears_of_ping(&site, "PONG");
    // The second one's turn would have come after 1.35 s.
    while called.elapsed() < Duration::from_secs(2) {
        second.send("line\r\n");
        assert_eq!(server.read_line().as_deref(), Some("line"));
        server.send("ok\r\n");
        second.expect_line("ok");
    }
}

#[test]
fn on_standby_what_is_on_its_way_gets_its_final_answer() {
    let (site, api) = site("answers");
    let mut waits = site.open_client("chat", "");
    let mut silent = Peer::accept(&site.servers[0]);
    silent.read_line().expect("an opening");
    assert_eq!(api.call("POST", "/standby", "").status, 200);
    let answer = waits.read_line().expect("a final answer");
    assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
    waits.expect_end();
}

#[test]
fn a_program_on_standby_leaves_at_sigterm_and_is_not_taken_back() {
    let (mut site, api) = site("both");
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
    assert!(site.program.exits_cleanly(), "it leaves by itself");
}

#[test]
fn silent_callers_and_a_flood_of_clients_keep_no_call_from_its_answer() {
    let (mut site, api) = site("silent");
    serve_all_openings(site.servers.remove(0));
    let silent: Vec<TcpStream> = (0..64)
        .map(|number| {
            let mut caller = Peer::connect(api.address).stream;
            if number % 2 == 0 {
                caller
                    .write_all(b"POST /standby HT")
                    .expect("the port reads");
            }
            caller
        })
        .collect();
    let opened = Arc::new(AtomicUsize::new(0));
    let flood = |number| {
        let (at, opened) = (site.address, Arc::clone(&opened));
        std::thread::spawn(move || {
            // One that is turned away comes again at once; one that stands leaves.
            for count in 0..100 {
                let mut client = Peer::connect(at);
                client.send(&format!(
                    "OPEN f{number}x{count} 02 c=chat,t=acme,d=2500,g=3\r\n"
                ));
                client.read_line_or_end();
                opened.fetch_add(1, Ordering::SeqCst);
            }
        })
    };
    let floods: Vec<_> = (0..4).map(flood).collect();
    while opened.load(Ordering::SeqCst) < 400 {
        let asked = Instant::now();
        assert_eq!(api.call("GET", "/status", "").status, 200);
        assert!(asked.elapsed() < Duration::from_secs(1));
    }
    floods
        .into_iter()
        .for_each(|flood| flood.join().expect("it goes on"));
    // The first to come gave way; one that is still there is told when its time is up.
    let mut last = Peer::new(silent.into_iter().next_back().expect("64 of them"));
    last.expect_line("HTTP/1.1 408 Request Timeout");
    assert_eq!(api.call("POST", "/standby", "").status, 200);
}

#[test]
fn an_address_that_is_none_or_taken_ends_the_start_with_its_name() {
    let keeps = listener();
    let taken = keeps.local_addr().expect("bound").to_string();
    let plain = platform_config(
        reserve_address(),
        reserve_address(),
        &endpoint_list(1, true, &[]),
        SETTINGS,
        256,
    );
    let listed = plain.replacen('{', r#"{"admin_addr":"there","#, 1);
    for (name, config, variable, why) in [
        (
            "variable",
            &plain,
            Some("here"),
            r#"LB_ADMIN_ADDR: "here" is no address"#,
        ),
        ("taken", &plain, Some(taken.as_str()), taken.as_str()),
        (
            "listed",
            &listed,
            None,
            r#"admin_addr: "there" is no address"#,
        ),
    ] {
        let path = write_temp_file(name, config);
        let mut env = vec![("LB_CONFIG", path.as_str())];
        env.extend(variable.map(|address| ("LB_ADMIN_ADDR", address)));
        let mut program = Program::start(&[], &env);
        let said = program.wait_for_log("cannot start");
        assert!(
            said.contains(&why.replace('"', "\\\"")) || said.contains(why),
            "{said}"
        );
        assert!(!program.wait_for_exit().success());
    }
}
