//! Servers that return nothing, late or little, beneath clients of every habit.
//!
//! A connection that returns nothing from a running server is moved or ended within 7 s, and 50 ms
//! for a time limit on sockets. A connection of a sound server is not.

mod support;

use std::io::Write;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use support::Peer;
use support::scripted_nats::*;
use support::site::Site as PlatformSite;

/// The limits of the sample file.
const WIRE: &str = "ping_after_ms = 2000, silence_ms = 3000";
/// Each time limit on sockets is this much longer.
const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);
/// Within this time a connection that returns nothing is moved or ended.
const MAX_SILENCE: Duration = Duration::from_secs(7).saturating_add(SOCKET_ALLOWANCE);
/// Servers are silent or late for this long.
const TROUBLE: Duration = Duration::from_secs(13);
/// An operator's migration waits 0.7 s for the end of a message; its client has 0.5 s to leave, and the rest is the pace.
const MAX_OPERATOR_MIGRATION: Duration = Duration::from_millis(1_500);
/// Clients follow their habit for this long before the trouble.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// How long one client's connection lasted in a server's trouble.
struct Outcome {
    habit: ClientHabit,
    /// `None` if it was held to the end.
    lasted: Option<Duration>,
    was_moved: bool,
}

type RunningClient = (ClientHabit, JoinHandle<Option<ConnectionClose>>);

/// Has a client of each habit connect and follow it to the end of the trouble. Returns when the trouble is to begin.
fn start_clients(site: &ScriptedSite) -> Vec<RunningClient> {
    let deadline = Instant::now() + WARM_UP + TROUBLE;
    let start_client = |(number, habit)| {
        let client = site.client(&format!("client-{number}"));
        let run = move || follow_habit(client, habit, deadline);
        (habit, std::thread::spawn(run))
    };
    let clients = HABITS.into_iter().enumerate().map(start_client).collect();
    std::thread::sleep(WARM_UP);
    clients
}

/// Waits for all clients; prints and returns how long each connection lasted in the trouble.
fn finish_clients(clients: Vec<RunningClient>, began_at: Instant, trouble: &str) -> Vec<Outcome> {
    let outcome = |(habit, client): RunningClient| {
        let close = client.join().expect("the client ends");
        let lasted = close
            .as_ref()
            .map(|close| close.at.saturating_duration_since(began_at));
        let was_moved = close.is_some_and(|close| close.was_moved);
        println!("{trouble}, {habit:?}: lasted {lasted:?}, moved {was_moved}");
        Outcome {
            habit,
            lasted,
            was_moved,
        }
    };
    clients.into_iter().map(outcome).collect()
}

/// Has clients of all habits connect, sets a server's mode for the length of the trouble, and
/// returns how long each connection lasted from then on.
fn play(site: &ScriptedSite, mode: ServerMode) -> Vec<Outcome> {
    let server = &site.servers[0];
    server.set_mode(ServerMode::Serve);
    let clients = start_clients(site);
    let began_at = Instant::now();
    server.set_mode(mode);
    finish_clients(clients, began_at, &format!("{mode:?}"))
}

fn assert_all_moved_within(outcomes: &[Outcome], bound: Duration) {
    for Outcome {
        habit,
        lasted,
        was_moved,
    } in outcomes
    {
        assert!(
            lasted.is_some_and(|lasted| lasted <= bound),
            "{habit:?}: {lasted:?}"
        );
        assert!(was_moved, "{habit:?} was not asked to reconnect");
    }
}

fn assert_all_held(outcomes: &[Outcome]) {
    for Outcome { habit, lasted, .. } in outcomes {
        assert_eq!(*lasted, None, "{habit:?} was cut off from a sound server");
    }
}

/// Guards against clients that send without asking being held on a silent server to its end.
#[test]
fn clients_of_silent_server_are_moved_whatever_they_send() {
    let site = ScriptedSite::start("silent-any-client", WIRE, 1);
    assert_all_moved_within(&play(&site, ServerMode::Silent), MAX_SILENCE);
}

/// Guards against clients being held on a server that no longer reads what they send.
#[test]
fn clients_of_server_that_stops_reading_are_moved_whatever_they_send() {
    let site = ScriptedSite::start("stopped-any-client", WIRE, 1);
    assert_all_moved_within(&play(&site, ServerMode::Stopped), MAX_SILENCE);
}

/// Guards against sound servers being judged by what their clients send.
#[test]
fn clients_of_sound_server_are_held_whatever_they_send() {
    let site = ScriptedSite::start("sound-any-client", WIRE, 1);
    assert_all_held(&play(&site, ServerMode::Serve));
}

/// Guards against a server that answers late but in time being taken for a silent one.
#[test]
fn clients_of_server_that_answers_in_time_are_held() {
    let site = ScriptedSite::start("late-answers", WIRE, 1);
    let delay = Duration::from_millis(2_700);
    assert_all_held(&play(&site, ServerMode::AnswerAfter(delay)));
}

/// Guards against a server that answers no PING being held for what else it sends. It returns
/// something, so that no page bounds the time. Behind much data an answer may be 10 s late.
#[test]
fn clients_of_server_without_pong_are_moved_despite_its_lines() {
    let site = ScriptedSite::start("lines-only", WIRE, 1);
    let interval = Duration::from_millis(400);
    let (bulk, others): (Vec<Outcome>, Vec<Outcome>) = play(&site, ServerMode::LinesOnly(interval))
        .into_iter()
        .partition(|outcome| outcome.habit.sends_bulk());
    assert_all_moved_within(&others, MAX_SILENCE);
    assert_all_moved_within(&bulk, Duration::from_secs(12) + SOCKET_ALLOWANCE);
}

/// Guards against a server that goes on at 6.9 s deciding whether its clients are moved in time.
#[test]
fn clients_of_server_that_goes_on_late_are_moved_before() {
    let site = ScriptedSite::start("goes-on-late", WIRE, 1);
    let server = &site.servers[0];
    let clients = start_clients(&site);
    let began_at = Instant::now();
    server.set_mode(ServerMode::Stopped);
    std::thread::sleep(Duration::from_millis(6_900));
    server.set_mode(ServerMode::Serve);
    let outcomes = finish_clients(clients, began_at, "stopped for 6.9 s");
    assert_all_moved_within(&outcomes, Duration::from_millis(6_900));
}

/// Guards against a server being judged by what its client has not taken: it isn't read meanwhile.
#[test]
fn client_that_takes_nothing_for_a_while_keeps_its_sound_server() {
    let site = ScriptedSite::start("client-takes-nothing", WIRE, 1);
    let mut client = site.client("reader");
    client.send("SUB t 1\r\n");
    let message = [b"MSG t 1 100000\r\n", &vec![b'x'; 100_000][..], b"\r\n"].concat();
    std::thread::scope(|scope| {
        // More than the buffers between server and client hold.
        scope.spawn(|| (0..160).for_each(|_| site.servers[0].send_to_all(&message)));
        std::thread::sleep(Duration::from_millis(200));
        client.send("PING\r\n");
        std::thread::sleep(Duration::from_millis(4_300));
        let asked_at = Instant::now();
        let lines = std::iter::from_fn(|| client.read_line());
        let pong = lines
            .take_while(|line| !line.starts_with("INFO"))
            .find(|line| line == "PONG");
        assert!(
            pong.is_some(),
            "the client was cut off from its sound server"
        );
        println!("the PONG came after {:?} of reading", asked_at.elapsed());
    });
}

/// Guards against a PONG behind a large message that arrives slowly counting as missing.
#[test]
fn pong_behind_large_message_is_late_and_not_missing() {
    let site = ScriptedSite::start("large-message", WIRE, 1);
    let server = &site.servers[0];
    let mut client = site.client("reader");
    server.set_mode(ServerMode::Silent);
    client.send("PING\r\n");
    server.send_to_all(b"MSG t 1 800000\r\n");
    for _ in 0..80 {
        std::thread::sleep(Duration::from_millis(100));
        server.send_to_all(&[b'x'; 10_000]);
    }
    server.send_to_all(b"\r\nPONG\r\n");
    client.expect_line("MSG t 1 800000");
    client.read_text(800_002);
    client.expect_line("PONG");
}

/// Guards against a server that reads slowly being cut off: its PONG waits behind what was sent.
#[test]
fn pong_behind_full_buffer_is_late_and_not_missing() {
    let site = ScriptedSite::start("full-buffer", WIRE, 1);
    let server = &site.servers[0];
    let client = site.client("publisher");
    server.set_mode(ServerMode::ReadSlowly(400_000));
    let deadline = Instant::now() + TROUBLE;
    let close = follow_habit(client, ClientHabit::PublishMegabyte, deadline);
    assert!(close.is_none(), "{close:?}");
}

/// Guards against the time for which the balancer, or the whole machine, was suspended being counted
/// against servers.
#[test]
fn clients_are_held_when_process_was_suspended() {
    let site = ScriptedSite::start("suspended", WIRE, 1);
    let server = &site.servers[0];
    let clients = start_clients(&site);
    let began_at = Instant::now();
    // The servers are suspended a little before the balancer and go on a little later, so that they
    // owe answers when it is.
    server.set_mode(ServerMode::Stopped);
    std::thread::sleep(Duration::from_millis(600));
    site.program.stop();
    std::thread::sleep(Duration::from_secs(6));
    site.program.signal("CONT");
    std::thread::sleep(Duration::from_millis(500));
    server.set_mode(ServerMode::Serve);
    assert_all_held(&finish_clients(clients, began_at, "suspended for 6 s"));
}

/// Guards against limits that find a silent server too late, and against a reload that leaves
/// established connections with the former ones.
#[test]
fn reload_replaces_limits_of_established_connections() {
    let longest = "ping_after_ms = 3000, silence_ms = 4000";
    let site = ScriptedSite::start("reload-limits", longest, 1);
    let habit = ClientHabit::Publish(Duration::from_millis(200));
    let client = site.client("publisher");
    let reload = |wire: &str| {
        let text = site.file_text.replace(longest, wire);
        std::fs::write(&site.path, text).expect("configuration file is written");
        site.program.signal("HUP");
    };
    reload("ping_after_ms = 3000, silence_ms = 4001");
    let refusal = site.program.wait_for_log("current configuration kept");
    assert!(
        refusal.contains("wire.silence_ms: is more than 7000 together with ping_after_ms"),
        "{refusal}"
    );
    reload("ping_after_ms = 500, silence_ms = 1000");
    site.program
        .wait_for_log("what=\"wire.ping_after_ms 500 and wire.silence_ms 1000\"");
    site.servers[0].set_mode(ServerMode::Silent);
    let silent_since = Instant::now();
    let close = follow_habit(client, habit, silent_since + TROUBLE);
    let lasted = close.expect("the client is moved").at - silent_since;
    println!("moved after {lasted:?}");
    assert!(lasted <= Duration::from_millis(1_550), "{lasted:?}");
}

/// Guards against the supervision of servers costing busy clients their connection, and measures it.
#[test]
fn thousand_busy_publishers_are_held() {
    const PUBLISHERS: usize = 1_000;
    let site = ScriptedSite::start("thousand-publishers", WIRE, 4);
    let mut clients: Vec<Peer> = (0..PUBLISHERS)
        .map(|number| site.client(&format!("publisher-{number}")))
        .collect();
    let (began_at, cpu_before) = (Instant::now(), site.program.cpu_time());
    for _ in 0..10 {
        let turn_at = Instant::now();
        for client in &mut clients {
            client.send("PUB t 5\r\nhello\r\n");
        }
        std::thread::sleep(Duration::from_secs(1).saturating_sub(turn_at.elapsed()));
    }
    let (lasted, cpu) = (began_at.elapsed(), site.program.cpu_time() - cpu_before);
    println!("{PUBLISHERS} publishers for {lasted:?}: {cpu:?} of processor time");
    for client in &mut clients {
        client.send("PING\r\n");
        client.expect_line("PONG");
    }
}

/// Guards against platform clients being held on a silent server for what they send to it. A client
/// that has sent no whole line is owed nothing, and the protocol has no question of the balancer's.
#[test]
fn platform_clients_of_silent_server_are_moved_whatever_they_send() {
    let site = PlatformSite::start("silent-platform", 1);
    let habits: [(&str, &[&str], u64); 5] = [
        ("a line each 0.9 s", &["line\r\n"], 900),
        ("a line, then pieces", &["line\r\n", "half", " a li"], 300),
        ("a line in pieces", &["li", "ne", "\r\n"], 300),
        (
            "ten lines at once",
            &["1\r\n2\r\n3\r\n4\r\n5\r\n6\r\n7\r\n8\r\n9\r\n10\r\n"],
            500,
        ),
        ("lines without a pause", &["line\r\n"], 1),
    ];
    std::thread::scope(|scope| {
        for does_read in [true, false] {
            for (name, pieces, pause_ms) in habits {
                let (client, mut server) = site.establish_connection();
                scope.spawn(move || {
                    let began_at = Instant::now();
                    let reader = client.stream.try_clone().expect("socket is open");
                    let deadline = began_at + TROUBLE;
                    let end = std::thread::spawn(move || read_until_end(&reader, deadline));
                    if does_read {
                        std::thread::spawn(move || while server.read_line_or_end().is_some() {});
                    }
                    let mut client = client.stream;
                    for piece in pieces.iter().chain(&pieces[pieces.len() - 1..]).cycle() {
                        if end.is_finished() || client.write_all(piece.as_bytes()).is_err() {
                            break;
                        }
                        std::thread::sleep(Duration::from_millis(pause_ms));
                    }
                    let end = end.join().expect("the reader ends");
                    let lasted = end.map(|end| end.at - began_at);
                    println!("platform, server reads {does_read}, {name}: lasted {lasted:?}");
                    assert!(lasted.is_some_and(|lasted| lasted <= MAX_SILENCE), "{name}");
                });
            }
        }
    });
}

/// Guards against a platform server that reports its load being taken for one that answers.
#[test]
fn platform_client_is_moved_when_server_sends_load_alone() {
    let site = PlatformSite::start("load-only-platform", 1);
    let (mut client, mut server) = site.establish_connection();
    let asked_at = Instant::now();
    client.send("line\r\n");
    let loads = std::thread::spawn(move || {
        while server.stream.write_all(b"LOAD 12.5\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(300));
        }
    });
    let last_line = std::iter::from_fn(|| client.read_line()).last();
    println!("moved after {:?}", asked_at.elapsed());
    assert_eq!(last_line.as_deref(), Some("MOVE"));
    assert!(asked_at.elapsed() <= MAX_SILENCE);
    loads.join().expect("the server's end closes");
}

/// Guards against a planned end that waits for a silent server: in the middle of a message, before
/// its answer, or while a connection to it is being set up.
#[test]
fn silent_servers_do_not_delay_planned_end() {
    let site = ScriptedSite::start("silent-drain", WIRE, 1);
    let server = &site.servers[0];
    let mut client = site.client("waits");
    let mid_message = site.client("mid-message");
    server.send_to_all(b"MSG t 1 10\r\nhello");
    server.set_mode(ServerMode::Silent);
    client.send("PING\r\nPUB t 10\r\nhel");
    let mut in_set_up = Peer::connect(site.address);
    in_set_up.read_line().expect("an INFO line");
    in_set_up.send("CONNECT {\"user\":\"acme\",\"pass\":\"acme's own password\"}\r\nPING\r\n");
    std::thread::sleep(Duration::from_millis(300));
    site.program.signal("TERM");
    let began_at = Instant::now();
    for (name, peer) in [
        ("asks", client),
        ("mid-message", mid_message),
        ("set-up", in_set_up),
    ] {
        let end = read_until_end(&peer.stream, began_at + TROUBLE).expect("an end");
        let lasted = end.at.saturating_duration_since(began_at);
        println!("planned end, {name}: {lasted:?}, moved {}", end.was_moved);
        // The longest deadline of a request and 0.7 s.
        assert!(lasted <= Duration::from_millis(3_750), "{name}: {lasted:?}");
    }
}

/// Guards against an operator's migration that waits for a silent server: in the middle of a message, before its answer, or
/// beneath a client that sends on.
#[test]
fn silent_server_does_not_delay_migration_by_operator() {
    let site = ScriptedSite::start("silent-migration", WIRE, 1);
    let server = &site.servers[0];
    let mut asks = site.client("asks");
    let mid_message = site.client("mid-message");
    server.send_to_all(b"MSG t 1 10\r\nhello");
    let publishes = site.client("publishes");
    server.set_mode(ServerMode::Silent);
    asks.send("PING\r\nPUB t 10\r\nhel");
    std::thread::sleep(Duration::from_millis(300));
    let began_at = Instant::now();
    let body = r#"{"kind":"out","server":"n0","moves_per_s":100,"who":"ada","why":"it hangs","expires_in_s":60,"force":true}"#;
    site.api.add_override(body);
    let habit = ClientHabit::Publish(Duration::from_millis(50));
    let publishes = std::thread::spawn(move || follow_habit(publishes, habit, began_at + TROUBLE));
    let read = |peer: &Peer| read_until_end(&peer.stream, began_at + TROUBLE);
    let ends = [
        ("asks", read(&asks)),
        ("mid-message", read(&mid_message)),
        ("publishes", publishes.join().expect("the client ends")),
    ];
    for (name, end) in ends {
        let end = end.expect("an end");
        let lasted = end.at.saturating_duration_since(began_at);
        println!(
            "migration by an operator, {name}: {lasted:?}, moved {}",
            end.was_moved
        );
        assert!(lasted <= MAX_OPERATOR_MIGRATION, "{name}: {lasted:?}");
    }
}

/// Guards against a server that sends lines but no PONG holding the set-up of a connection.
#[test]
fn set_up_ends_in_time_at_server_that_sends_lines_alone() {
    let site = ScriptedSite::start("lines-in-set-up", WIRE, 1);
    site.servers[0].set_mode(ServerMode::LinesOnly(Duration::from_millis(50)));
    let mut client = Peer::connect(site.address);
    client.read_line().expect("an INFO line");
    let asked_at = Instant::now();
    client.send("CONNECT {\"user\":\"acme\",\"pass\":\"acme's own password\"}\r\nPING\r\n");
    let answer = client.read_line().expect("a final answer");
    println!("set-up ended after {:?}: {answer}", asked_at.elapsed());
    assert!(answer.starts_with("-ERR '"), "{answer}");
    assert!(asked_at.elapsed() <= Duration::from_millis(3_050));
}

/// Guards against a client being held on a silent server in the middle of a message that is too large to be held back.
#[test]
fn client_in_message_beyond_budget_is_moved_from_silent_server() {
    let wire = format!("{WIRE}, max_payload = 67108864");
    let site = ScriptedSite::start("beyond-budget", &wire, 1);
    let mut client = site.client("large-message");
    client.send("PUB t 60000000\r\n");
    // More than the front holds back.
    client.send(&"x".repeat(40_000_000));
    let server = &site.servers[0];
    server.set_mode(ServerMode::Silent);
    let silent_since = Instant::now();
    let close = read_until_end(&client.stream, silent_since + TROUBLE);
    let lasted = close.expect("the client is moved").at - silent_since;
    println!("moved after {lasted:?}");
    assert!(lasted <= MAX_SILENCE, "{lasted:?}");
}
