//! Stories of discovery's lists and watches, and of what goes on while they change.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::site::Site;
use support::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// What a silent watch misses counts as told this long after it fell silent.
const SILENT: Duration = Duration::from_secs(6);

/// Has an agent answer all calls from now on, after a while, also such as are given up by then.
fn answers(agent: TcpListener, after: Duration, words: String) {
    std::thread::spawn(move || {
        agent.set_nonblocking(false).expect("open");
        let mut watches = Vec::new();
        while let Ok((mut stream, _)) = agent.accept() {
            std::thread::sleep(after);
            let _ = stream.write_all(words.as_bytes());
            watches.push(stream);
        }
    });
}

/// The usual settings with longer times, so that a pass is out for as long as its story takes.
fn patient() -> String {
    SETTINGS
        .replace("400000000,", "4000000000,")
        .replace("3000000000", "9000000000")
}

fn pushed() -> String {
    patient().replace("subscribe", "automatic")
}

/// A call for a watch that has been taken, and not answered.
fn asked(of: &TcpListener) -> Peer {
    let mut peer = Peer::accept(of);
    assert!(
        peer.read_line()
            .is_some_and(|line| line.starts_with("GET /api/targets?watch=1&from="))
    );
    while peer.read_line().is_some_and(|line| !line.is_empty()) {}
    peer
}

fn at(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("bound")
}

/// A balancer with a discovery that the test plays, and the file that it reads.
struct Watched {
    program: Program,
    at: SocketAddr,
    path: String,
    config: String,
}

fn watched(
    name: &str,
    settings: &str,
    discovery: &TcpListener,
    known: &[(&str, SocketAddr, &str)],
) -> Watched {
    let at_clients = reserve_address();
    let config = platform_config(
        at_clients,
        at(discovery),
        &endpoint_list(1, true, known),
        settings,
        256,
    );
    let path = write_temp_file(name, &config);
    let program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
    Watched {
        program,
        at: at_clients,
        path,
        config,
    }
}

fn opened(at: SocketAddr, id: &str) -> Peer {
    let mut client = Peer::connect(at);
    client.send(&format!("OPEN {id} 02 c=chat,t=acme,d=9000,g=3\r\n"));
    client
}

/// Takes an opening and serves it.
fn serves(server: &TcpListener, client: &mut Peer) -> Peer {
    let mut peer = Peer::accept(server);
    peer.read_line().expect("an opening");
    peer.send("UP r1\r\n");
    client.expect_line("UP r1");
    peer
}

fn nobody_comes_to(server: &TcpListener) {
    server.set_nonblocking(true).expect("open");
    assert!(server.accept().is_err(), "nothing is sent there");
}

#[test]
fn an_indented_list_over_many_chunks_is_taken_as_one() {
    let site = Site::start("indented", 2);
    let (mut client, _server) = site.establish_connection();
    let mut watch = site.discovery.accept_watch();
    // A beat inside a word would spoil it.
    site.discovery.stop_heartbeats();
    watch.stream.set_nodelay(true).expect("open");
    let servers = [
        ("s0", at(&site.servers[0]), "DRAINING"),
        ("s1", at(&site.servers[1]), "SERVING"),
    ];
    let whole: serde_json::Value =
        serde_json::from_str(&endpoint_list(7, true, &servers)).expect("JSON");
    let text = serde_json::to_string_pretty(&whole).expect("JSON");
    for piece in format!("\n{text}\n{}\n", endpoint_list(8, false, &[]))
        .as_bytes()
        .chunks(5)
    {
        let piece = std::str::from_utf8(piece).expect("ASCII");
        watch.send(&format!("{:x}\r\n{piece}\r\n", piece.len()));
    }
    site.program
        .wait_for_log("generation=7 kind=Snapshot entries=2");
    site.program
        .wait_for_log("generation=8 kind=Delta entries=0");
    client.expect_line("MOVE");
}

#[test]
fn what_an_agent_gets_at_the_return_of_discovery_counts_for_a_request_that_waits() {
    let (agent, old, new) = (listener(), listener(), listener());
    let Watched {
        program, at: front, ..
    } = watched("return", &pushed(), &agent, &[("s0", at(&old), "SERVING")]);
    let mut silent = vec![asked(&agent)];
    program.wait_for_log("the known list serves");
    let mut client = opened(front, "a1");
    let mut waits_for = Peer::accept(&old);
    waits_for.read_line().expect("an opening");
    // Discovery is down: the agent takes calls and says nothing. It returns just after the last of these began.
    silent.extend((0..3).map(|_| asked(&agent)));
    let returned = Instant::now();
    let told = endpoint_list(2, true, &[("s1", at(&new), "SERVING")]);
    answers(
        agent,
        Duration::ZERO,
        format!("{HEAD}{:x}\r\n{told}\r\n", told.len()),
    );
    program.wait_for_log("generation=2 kind=Snapshot");
    assert!(
        returned.elapsed() < Duration::from_secs(2),
        "{:?}",
        returned.elapsed()
    );
    waits_for.send("BUSY\r\n");
    let _stands = serves(&new, &mut client);
    nobody_comes_to(&old);
}

#[test]
fn an_agents_first_word_is_heard_before_the_first_client() {
    // The program waits for a fifth of a second. Where the machine held this test up for longer, it is played again.
    for _ in 0..20 {
        let (agent, old, new) = (listener(), listener(), listener());
        let known = [("s0", at(&old), "SERVING")];
        let Watched {
            program, at: front, ..
        } = watched("first", &pushed(), &agent, &known);
        // An agent that is only just there breaks the first call off. The second it answers after longer than a start
        // takes that does not wait.
        drop(asked(&agent));
        let told = endpoint_list(2, true, &[("s1", at(&new), "SERVING")]);
        answers(
            agent,
            Duration::from_millis(60),
            format!("{HEAD}{:x}\r\n{told}\r\n", told.len()),
        );
        let said = program.read_log_until("front=platform");
        if said
            .iter()
            .any(|line| line.contains("the known list serves"))
        {
            continue;
        }
        // What the agent said is before the client in the core's queue, whichever of them the log tells first.
        let _stands = serves(&new, &mut opened(front, "a1"));
        return nobody_comes_to(&old);
    }
    panic!("never in time");
}

/// Where a watch falls silent.
#[derive(Clone, Copy, Debug)]
enum Falls {
    /// Before the answer's head.
    AtOnce,
    /// After the head.
    BeforeAnyList,
    /// In the middle of a line.
    InAList,
    /// The call that follows a SIGHUP which moves discovery.
    AfterSighup,
}

fn falls_silent(name: &str, settings: &str, falls: Falls) {
    let (first, second, server) = (listener(), listener(), listener());
    let site = watched(name, settings, &first, &[("s0", at(&server), "SERVING")]);
    let mut silent = asked(&first);
    let mut discovery = &first;
    match falls {
        Falls::AtOnce => {}
        Falls::BeforeAnyList => silent.send(HEAD),
        Falls::InAList => {
            silent.send(HEAD);
            send_endpoints(&mut silent, 2, true, &[("s0", at(&server), "SERVING")]);
            let half = &endpoint_list(3, false, &[("s0", at(&server), "DRAINING")])[..60];
            silent.send(&format!("{:x}\r\n{half}\r\n", half.len()));
        }
        Falls::AfterSighup => {
            silent.send(HEAD);
            send_endpoints(&mut silent, 2, true, &[("s0", at(&server), "SERVING")]);
            site.program.wait_for_log("generation=2");
            let moved = site
                .config
                .replace(&at(&first).to_string(), &at(&second).to_string());
            std::fs::write(&site.path, moved).expect("the same folder");
            site.program.signal("HUP");
            (silent, discovery) = (asked(&second), &second);
        }
    }
    let since = Instant::now();
    assert!(silent.is_closed(), "{name}: broken");
    let mut anew = asked(discovery);
    anew.send(HEAD);
    send_endpoints(&mut anew, 4, true, &[("s0", at(&server), "DRAINING")]);
    site.program.wait_for_log("generation=4 kind=Snapshot");
    assert!(since.elapsed() < SILENT, "{name}: {:?}", since.elapsed());
}

#[test]
fn a_watch_that_falls_silent_is_broken_and_begun_anew_in_time() {
    let few = patient();
    let many = few.replace("\"balancers\":1,", "\"balancers\":300,");
    std::thread::scope(|scope| {
        for (kind, settings) in [
            ("few", few),
            ("many", many.clone()),
            ("pushed", many.replace("subscribe", "automatic")),
        ] {
            for falls in [
                Falls::AtOnce,
                Falls::BeforeAnyList,
                Falls::InAList,
                Falls::AfterSighup,
            ] {
                let (name, settings) = (format!("silent-{kind}-{falls:?}"), settings.clone());
                scope.spawn(move || falls_silent(&name, &settings, falls));
            }
        }
    });
}

/// Connections that fill a listener's line, so that the next one does not come up before they are taken.
fn fill(line_of: &TcpListener) -> Vec<TcpStream> {
    let short = Duration::from_millis(100);
    std::iter::from_fn(|| TcpStream::connect_timeout(&at(line_of), short).ok()).collect()
}

/// Waits until a connection to there is on its way.
fn is_tried(to: SocketAddr) {
    let SocketAddr::V4(v4) = to else {
        panic!("IPv4")
    };
    let row = format!(
        "{:08X}:{:04X} 02",
        u32::from_ne_bytes(v4.ip().octets()),
        v4.port()
    );
    let until = Instant::now() + TEST_TIMEOUT;
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("Linux")
        .contains(&row)
    {
        assert!(Instant::now() < until, "nobody tries {to}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_drain_told_while_a_connection_comes_up_keeps_the_first_byte_back() {
    let (discovery, new) = (listener(), listener());
    // One place in its line.
    let old =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    old.bind(&SocketAddr::new(at(&listener()).ip(), 0).into())
        .expect("loopback");
    old.listen(0).expect("bound");
    let old = TcpListener::from(old);
    let line = fill(&old);
    let settings = patient().replace("200000000", "6000000000");
    let known = [("s0", at(&old), "SERVING")];
    let Watched {
        program, at: front, ..
    } = watched("between", &settings, &discovery, &known);
    let mut watch = asked(&discovery);
    watch.send(HEAD);
    let mut client = opened(front, "a1");
    is_tried(at(&old));
    send_endpoints(
        &mut watch,
        2,
        false,
        &[("s0", at(&old), "DRAINING"), ("s1", at(&new), "SERVING")],
    );
    program.wait_for_log("generation=2 kind=Delta");
    line.iter().for_each(|_| drop(Peer::accept(&old)));
    assert!(
        Peer::accept(&old).is_closed(),
        "it came up, and not a byte was sent on it"
    );
    let _stands = serves(&new, &mut client);
    nobody_comes_to(&old);
}

#[test]
fn a_balancer_without_a_watch_calls_again_within_the_time_that_the_settings_give_for_asking() {
    let (discovery, server) = (listener(), listener());
    let settings = patient()
        .replace("\"balancers\":1,", "\"balancers\":300,")
        .replace(
            "\"ask-within-ns\":10000000000",
            "\"ask-within-ns\":2000000000",
        );
    let known = [("s0", at(&server), "SERVING")];
    let Watched {
        program, at: front, ..
    } = watched("without", &settings, &discovery, &known);
    program.wait_for_log("to=serving");
    let mut last = Instant::now();
    for _ in 0..4 {
        let mut call = asked(&discovery);
        assert!(
            last.elapsed() < Duration::from_secs(2),
            "{:?}",
            last.elapsed()
        );
        last = Instant::now();
        call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    // The list that it has serves meanwhile.
    let _stands = serves(&server, &mut opened(front, "a1"));
    let mut watch = asked(&discovery);
    watch.send(HEAD);
    send_endpoints(&mut watch, 2, true, &[("s0", at(&server), "SERVING")]);
    program.wait_for_log("generation=2 kind=Snapshot");
}

#[test]
fn a_call_that_fails_late_is_repeated_before_what_it_would_tell_counts_as_told() {
    /// Discovery had the change when the call came, and could be reached.
    const WAITS: Duration = Duration::from_millis(2_500);
    // Where the settings give much time for asking, or none at all.
    let given = ["30000000000", "0"];
    std::thread::scope(|scope| {
        for (number, given) in (0..8).zip(given.into_iter().cycle()) {
            scope.spawn(move || {
                let (discovery, server) = (listener(), listener());
                let settings = patient()
                    .replace("\"balancers\":1,", "\"balancers\":300,")
                    .replace(
                        "\"ask-within-ns\":10000000000",
                        &format!("\"ask-within-ns\":{given}"),
                    );
                let known = [("s0", at(&server), "SERVING")];
                let config = platform_config(
                    reserve_address(),
                    at(&discovery),
                    &endpoint_list(1, true, &known),
                    &settings,
                    256,
                );
                // Each draws its own delay.
                let config = config.replace("\"seed\":\"7\"", &format!("\"seed\":\"{number}\""));
                let path = write_temp_file(&format!("late{number}"), &config);
                let program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
                let mut call = asked(&discovery);
                let changed = Instant::now();
                std::thread::sleep(WAITS);
                call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                let mut watch = asked(&discovery);
                watch.send(HEAD);
                send_endpoints(&mut watch, 2, false, &[("s0", at(&server), "DRAINING")]);
                program.wait_for_log("generation=2 kind=Delta");
                assert!(
                    changed.elapsed() < SILENT,
                    "{given}: {:?}",
                    changed.elapsed()
                );
            });
        }
    });
}

#[test]
fn a_watch_that_lacks_a_descriptor_is_asked_for_again_once_there_is_one() {
    let (discovery, server, front) = (listener(), listener(), reserve_address());
    let known = [("s0", at(&server), "SERVING")];
    // The limit is lower than the file says, so that clients take all descriptors.
    let config = platform_config(
        front,
        at(&discovery),
        &endpoint_list(1, true, &known),
        &patient(),
        4096,
    );
    let path = write_temp_file("lacks", &config);
    let program = Program::start_with_descriptor_limit(40, &[("LB_CONFIG", path.as_str())]);
    program.wait_for_log("to=serving");
    let mut watch = asked(&discovery);
    watch.send(HEAD);
    send_endpoints(&mut watch, 2, true, &known);
    program.wait_for_log("generation=2 kind=Snapshot");
    let crowd: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(front).expect("its line is long"))
        .collect();
    program.wait_for_log("accept failed");
    drop(watch);
    program.wait_for_log("watch ended");
    // Whether the next call has a descriptor hangs on what is kept back for it.
    drop(crowd);
    let gone = Instant::now();
    let mut watch = asked(&discovery);
    watch.send(HEAD);
    send_endpoints(&mut watch, 3, true, &known);
    program.wait_for_log("generation=3 kind=Snapshot");
    assert!(gone.elapsed() < SILENT, "{:?}", gone.elapsed());
    let _stands = serves(&server, &mut opened(front, "a1"));
}

/// Has the program's file name another discovery.
fn names(site: &Watched, from: &TcpListener, to: &TcpListener) {
    let moved = site
        .config
        .replace(&at(from).to_string(), &at(to).to_string());
    std::fs::write(&site.path, moved).expect("the same folder");
    site.program.signal("HUP");
}

#[test]
fn a_sighup_that_comes_before_the_watch_stands_has_the_new_discovery_asked_for_the_whole_list() {
    // One place in its line, which is taken: the first call never comes up.
    let first =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    first
        .bind(&SocketAddr::new(at(&listener()).ip(), 0).into())
        .expect("loopback");
    first.listen(0).expect("bound");
    let first = TcpListener::from(first);
    let _line = fill(&first);
    let (second, server) = (listener(), listener());
    let site = watched(
        "hup-early",
        &patient(),
        &first,
        &[("s0", at(&server), "SERVING")],
    );
    is_tried(at(&first));
    let told = Instant::now();
    names(&site, &first, &second);
    let mut watch = Peer::accept(&second);
    assert!(
        watch
            .read_line()
            .is_some_and(|line| line.contains("from=0 ")),
        "the whole list"
    );
    while watch.read_line().is_some_and(|line| !line.is_empty()) {}
    watch.send(HEAD);
    send_endpoints(&mut watch, 1, true, &[("s0", at(&server), "DRAINING")]);
    site.program.wait_for_log("generation=1 kind=Snapshot");
    assert!(
        told.elapsed() < Duration::from_secs(4),
        "{:?}",
        told.elapsed()
    );
}

#[test]
fn of_two_sighups_in_quick_succession_the_last_counts() {
    let (first, second, third, server) = (listener(), listener(), listener(), listener());
    let site = watched(
        "hup-twice",
        &patient(),
        &first,
        &[("s0", at(&server), "SERVING")],
    );
    let mut watch = asked(&first);
    watch.send(HEAD);
    send_endpoints(&mut watch, 2, true, &[("s0", at(&server), "SERVING")]);
    site.program.wait_for_log("generation=2");
    names(&site, &first, &second);
    names(&site, &first, &third);
    let mut watch = Peer::accept(&third);
    assert!(
        watch
            .read_line()
            .is_some_and(|line| line.contains("from=0 ")),
        "the whole list"
    );
    while watch.read_line().is_some_and(|line| !line.is_empty()) {}
    watch.send(HEAD);
    send_endpoints(&mut watch, 1, true, &[("s0", at(&server), "DRAINING")]);
    site.program.wait_for_log("generation=1 kind=Snapshot");
    // And back to one that was left before.
    std::fs::write(&site.path, &site.config).expect("the same folder");
    site.program.signal("HUP");
    assert!(watch.is_closed(), "the watch on the one before is ended");
    asked(&first);
}
