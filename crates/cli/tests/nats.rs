//! Stories of the NATS front: the program, clients, and stand-ins for NATS servers and Redis over loopback.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use support::nats::*;
use support::*;

const PASSWORD: &str = "acme's own password";

/// A balancer with its stores, its farm told by discovery.
struct Site {
    program: Program,
    at: SocketAddr,
    api: Api,
    redis: Redis,
    discovery: Discovery,
    record: SharedRecord,
    /// The operator's file, and what stands in it.
    path: String,
    file: String,
    _folder: tempfile::TempDir,
}

impl Site {
    fn start(name: &str) -> Site {
        Site::with(name, SETTINGS)
    }

    fn with(name: &str, settings: &str) -> Site {
        let (at, admin, redis, discovery) = (
            reserve_address(),
            reserve_address(),
            start_redis(),
            Discovery::start(),
        );
        let settings = settings.replace("\n", " ");
        let folder = tempfile::tempdir().expect("a folder for temporary files");
        let settings: serde_json::Value = serde_json::from_str(&settings).expect("JSON");
        let file_text = format!(
            "name = \"front\"\nlisten = \"{at}\"\nsockets = 256\n\
             wire = {{ max_payload = 64, connect_wait_ms = 300, ping_after_ms = 300, silence_ms = 2000 }}\n\
             store = {{ url = \"redis://{}/\", fresh_ms = 1 }}\nadmin = {{ listen = \"{admin}\", token = \"{ADMIN_TOKEN}\" }}\n\
             overrides = {{ file = \"{}\", ramp_s = 0.4 }}\n\
             farm = {{ discovery = \"{}\" }}\n{}",
            redis.address,
            folder.path().join("overrides.redb").display(),
            discovery.address,
            toml::to_string(&serde_json::json!({ "settings": settings })).expect("TOML")
        );
        let path = write_temp_file(name, &file_text);
        let program = Program::start(&["--operator", &path], &[]);
        program.wait_for_log("serves front=nats");
        let record = SharedRecord::default();
        program.wait_for_log("administration API serves");
        let api = Api {
            address: admin,
            token: ADMIN_TOKEN,
        };
        let site = Site {
            program,
            at,
            api,
            redis,
            discovery,
            record,
            path,
            file: file_text,
            _folder: folder,
        };
        assert_eq!(
            site.ask("POST", "/v1/tenants", &tenant("acme", "chat", 8))
                .0,
            201
        );
        assert_eq!(
            site.ask("POST", "/v1/tenants", &tenant("once", "once", 8))
                .0,
            201
        );
        site
    }

    fn ask(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let Response { status, body, .. } = self.api.call(method, path, body);
        let text = body.to_string();
        for secret in [PASSWORD, ADMIN_TOKEN, "up-secret", "argon2"] {
            assert!(!text.contains(secret), "{text}");
        }
        (status, text)
    }

    fn client(&self, name: &str) -> Peer {
        connect_client(self.at, name, "acme", PASSWORD)
    }

    /// The client's one final answer, booked; every rule holds after it.
    fn answer(&self, name: &str, client: &mut Peer) -> String {
        let answer = client.read_line().expect("an answer");
        self.record
            .lock()
            .expect("sound")
            .record_answer(name, &answer);
        self.check();
        answer
    }

    fn check(&self) {
        self.record.lock().expect("sound").assert_rules_kept();
    }

    fn server(&self, name: &str, manner: Behavior) -> NatsServer {
        NatsServer::start(name, manner, &self.record)
    }
}

fn tenant(name: &str, class: &str, connections: usize) -> String {
    format!(
        r#"{{"name":"{name}","password":"{PASSWORD}","class":"{class}","connections":{connections},
            "upstream":{{"user":"up","password":"up-secret"}}}}"#
    )
}

fn rows<'a>(servers: &[(&'a NatsServer, &'a str)]) -> Vec<(&'a str, SocketAddr, &'a str)> {
    servers
        .iter()
        .map(|(server, state)| (server.name.as_str(), server.address, *state))
        .collect()
}

#[test]
fn every_rule_holds_after_every_exchange() {
    let site = Site::start("rules");
    let mut watch = site.discovery.accept_watch();
    // A server that takes CONNECT and falls silent, one that is full, one that hangs up, one that serves.
    let hung = site.server("hung", Behavior::SilentAfterConnect);
    let full = site.server("full", Behavior::RejectAsFull);
    let mute = site.server("mute", Behavior::CloseBeforeInfo);
    let good = site.server("good", Behavior::Serve);
    let all = [
        (&hung, "SERVING"),
        (&full, "SERVING"),
        (&mute, "SERVING"),
        (&good, "SERVING"),
    ];
    send_endpoints(&mut watch, 1, true, &rows(&all));
    site.program.wait_for_log("generation=1");
    let mut standing = Vec::new();
    for number in 0..4 {
        let name = format!("client-{number}");
        let mut client = site.client(&name);
        let answer = site.answer(&name, &mut client);
        if answer == "PONG" {
            // Payloads hold what looks like the wire's own words; keepalives cross them either way, in pieces.
            client.send("PUB t 12\r\nPING\r\n");
            std::thread::sleep(Duration::from_millis(5));
            client.send("PONG\r\n\r\nPI");
            client.send("NG\r\n");
            client.expect_line("PING");
            client.expect_line("MSG t 1 12");
            assert_eq!(client.read_text(14), "PING\r\nPONG\r\n\r\n");
            client.expect_line("PONG");
            client.send("PONG\r\n");
            standing.push(client);
        } else {
            assert!(
                answer.starts_with("-ERR 'Service Unavailable")
                    || answer == "-ERR 'Connection Failed'",
                "{answer}"
            );
            client.expect_end();
        }
        site.check();
    }
    // Only one of them serves from now on; then it drains, and its clients are moved to another.
    let next = site.server("next", Behavior::Serve);
    let now = [
        (&hung, "DELETED"),
        (&full, "DELETED"),
        (&mute, "DELETED"),
        (&good, "SERVING"),
    ];
    send_endpoints(&mut watch, 2, false, &rows(&now));
    site.program.wait_for_log("generation=2");
    let mut last = site.client("last");
    assert_eq!(site.answer("last", &mut last), "PONG");
    standing.push(last);
    let drains = [(&good, "DRAINING"), (&next, "SERVING")];
    site.record.lock().expect("sound").record_drain("good");
    send_endpoints(&mut watch, 3, false, &rows(&drains));
    site.program.wait_for_log("generation=3");
    for mut client in standing {
        let moved = client.read_line().expect("a word before the end");
        assert!(
            moved.starts_with("INFO {") && moved.contains("\"ldm\":true"),
            "{moved}"
        );
        client.expect_end();
        site.check();
    }
    for number in 0..3 {
        let name = format!("again-{number}");
        let mut client = site.client(&name);
        assert_eq!(site.answer(&name, &mut client), "PONG");
    }
    drop((hung, full, mute, good, next));
}

#[test]
fn outcomes_decide_whether_a_pass_is_repeated() {
    let site = Site::start("outcomes");
    let mut watch = site.discovery.accept_watch();
    let only = site.server("only", Behavior::RejectAuthorization);
    send_endpoints(&mut watch, 1, true, &rows(&[(&only, "SERVING")]));
    site.program.wait_for_log("generation=1");
    // An error may have run: a class that must not run twice is failed after one pass, at once.
    for (number, manner) in [Behavior::RejectAuthorization, Behavior::SilentAfterConnect]
        .into_iter()
        .enumerate()
    {
        only.set_behavior(manner);
        let name = format!("once-{number}");
        let mut client = connect_client(site.at, &name, "once", PASSWORD);
        assert_eq!(site.answer(&name, &mut client), "-ERR 'Connection Failed'");
        client.expect_end();
        assert_eq!(site.record.lock().expect("sound").session_count(&name), 1);
    }
    // What was turned away never ran: all attempts are made, and the answer says when to come back.
    only.set_behavior(Behavior::RejectAsFull);
    let mut client = connect_client(site.at, "once-full", "once", PASSWORD);
    let answer = site.answer("once-full", &mut client);
    assert!(
        answer.starts_with("-ERR 'Service Unavailable; try again in ") && answer.ends_with(" ms'"),
        "{answer}"
    );
    assert!(
        site.record
            .lock()
            .expect("sound")
            .session_count("once-full")
            > 1
    );
}

#[test]
fn a_standing_server_that_falls_silent_or_says_that_it_leaves_costs_its_client_a_move() {
    let site = Site::start("silent");
    let mut watch = site.discovery.accept_watch();
    let only = site.server("only", Behavior::Serve);
    send_endpoints(&mut watch, 1, true, &rows(&[(&only, "SERVING")]));
    site.program.wait_for_log("generation=1");
    let mut client = site.client("first");
    assert_eq!(site.answer("first", &mut client), "PONG");
    // The client asks nothing: the balancer's own PINGs find the silence, and their PONGs were not passed on.
    std::thread::sleep(Duration::from_millis(700));
    let silent_from = Instant::now();
    only.is_silent.store(true, Ordering::Relaxed);
    assert!(client.read_line().expect("a move").contains("\"ldm\":true"));
    client.expect_end();
    assert!(silent_from.elapsed() < Duration::from_secs(6));
    only.is_silent.store(false, Ordering::Relaxed);
    let mut client = site.client("second");
    assert_eq!(site.answer("second", &mut client), "PONG");
    // Its addresses are not passed on; a message that has begun is ended first.
    let speaking = only.write_lock.lock().expect("sound");
    only.send_to_all(
        "INFO {\"connect_urls\":[\"10.0.0.1:4222\"],\"ldm\":true}\r\nMSG t 1 5\r\nhel",
    );
    client.expect_line("MSG t 1 5");
    assert_eq!(client.read_text(3), "hel");
    only.send_to_all("lo\r\nMSG t 1 1\r\n");
    client.expect_line("lo");
    let moved = std::iter::from_fn(|| client.read_line())
        .last()
        .expect("a move");
    // Held until then: a PONG that fell into the second message would be the server's own fault.
    drop(speaking);
    assert!(
        moved.contains("\"ldm\":true") && !moved.contains("connect_urls"),
        "{moved}"
    );
    site.check();
}

#[test]
fn openings_that_break_the_rules_are_refused_by_name() {
    let site = Site::start("openings");
    let only = site.server("only", Behavior::Serve);
    send_endpoints(
        &mut site.discovery.accept_watch(),
        1,
        true,
        &rows(&[(&only, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    for (words, answer) in [
        ("", "-ERR 'Authentication Timeout'"),
        ("PING\r\n", "-ERR 'Authorization Violation'"),
        ("CONNECT nonsense\r\n", "-ERR 'Parser Error'"),
        (
            "CONNECT {\"tls_required\":true}\r\n",
            "-ERR 'TLS Not Supported'",
        ),
        (
            "CONNECT {\"user\":\"acme\",\"pass\":\"wrong\"}\r\n",
            "-ERR 'Authorization Violation'",
        ),
        (
            &format!("CONNECT {}\r\n", "x".repeat(5000)),
            "-ERR 'Maximum Control Line Exceeded'",
        ),
    ] {
        let mut client = Peer::connect(site.at);
        client.read_line().expect("INFO");
        client.send(words);
        client.expect_line(answer);
        client.expect_end();
    }
    for (name, words, answer) in [
        ("large", "PUB t 65\r\n", "-ERR 'Maximum Payload Violation'"),
        (
            "huge",
            "PUB t 99999999999999999999999\r\n",
            "-ERR 'Parser Error'",
        ),
        ("negative", "PUB t -1\r\n", "-ERR 'Parser Error'"),
        (
            "second",
            "CONNECT {}\r\n",
            "-ERR 'Unknown Protocol Operation'",
        ),
    ] {
        let mut client = site.client(name);
        assert_eq!(site.answer(name, &mut client), "PONG");
        client.send(words);
        client.expect_line(answer);
        client.expect_end();
        site.check();
    }
}

#[test]
fn floods_half_messages_and_silent_openings_cost_others_nothing() {
    let site = Site::start("floods");
    let only = site.server("only", Behavior::Serve);
    send_endpoints(
        &mut site.discovery.accept_watch(),
        1,
        true,
        &rows(&[(&only, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    let mut steady = site.client("steady");
    assert_eq!(site.answer("steady", &mut steady), "PONG");
    // More openings than 256 descriptors hold: each is told something, and a real client gets in.
    let mut silent: Vec<Peer> = (0..200).map(|_| Peer::connect(site.at)).collect();
    let mut real = site.client("real");
    assert_eq!(site.answer("real", &mut real), "PONG");
    for peer in &mut silent {
        assert!(peer.read_line().expect("INFO").starts_with("INFO {"));
        assert!(peer.read_line().expect("a refusal").starts_with("-ERR '"));
        assert!(peer.is_closed());
    }
    // Questions at full speed while the server answers none.
    let mut flood = site.client("flood");
    assert_eq!(site.answer("flood", &mut flood), "PONG");
    let speaking = only.write_lock.lock().expect("sound");
    flood.send(&"PING\r\n".repeat(1100));
    assert!(flood.is_closed(), "too many at once end its connection");
    drop(speaking);
    // Half a message and a close: the server gets the same end, and nobody else notices.
    let mut half = site.client("half");
    assert_eq!(site.answer("half", &mut half), "PONG");
    half.send("PUB t 12\r\nonly ha");
    half.shutdown_write();
    half.expect_end();
    steady.send("PING\r\n");
    steady.expect_line("PONG");
    site.check();
}

#[test]
fn a_reload_of_the_operators_file_moves_the_watch_and_names_what_takes_a_restart() {
    let site = Site::start("reload");
    let mut old = site.discovery.accept_watch();
    let only = site.server("only", Behavior::Serve);
    send_endpoints(&mut old, 1, true, &rows(&[(&only, "SERVING")]));
    site.program.wait_for_log("generation=1");
    let mut client = site.client("stands");
    assert_eq!(site.answer("stands", &mut client), "PONG");
    let new = Discovery::start();
    let moved = site.file.replace(
        &site.discovery.address.to_string(),
        &new.address.to_string(),
    );
    std::fs::write(
        &site.path,
        moved.replace("max_payload = 64", "max_payload = 65"),
    )
    .expect("the same folder");
    site.program.signal("HUP");
    site.program.wait_for_log("taken over what=\"discovery at");
    site.program
        .wait_for_log("takes a restart, kept as it was what=wire");
    send_endpoints(
        &mut new.accept_watch(),
        1,
        true,
        &rows(&[(&only, "SERVING")]),
    );
    site.program.wait_for_log("kind=Snapshot");
    old.expect_end();
    client.send("PING\r\n");
    client.expect_line("PONG");
    std::fs::write(&site.path, "admin = 1").expect("the same folder");
    site.program.signal("HUP");
    let kept = site.program.wait_for_log("present configuration kept");
    assert!(!kept.contains(ADMIN_TOKEN), "{kept}");
    site.check();
}

#[test]
fn tenants_are_kept_through_the_api_and_known_ones_outlive_the_store() {
    let site = Site::start("tenants");
    let only = site.server("only", Behavior::Serve);
    send_endpoints(
        &mut site.discovery.accept_watch(),
        1,
        true,
        &rows(&[(&only, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    assert_eq!(
        Api {
            address: site.api.address,
            token: "no token of ours"
        }
        .call("GET", "/v1/tenants", "")
        .status,
        401
    );
    for (method, path, body, status) in [
        (
            "POST",
            "/v1/tenants",
            tenant("acme", "chat", 1).as_str(),
            409,
        ),
        (
            "POST",
            "/v1/tenants",
            tenant("other", "nothing", 1).as_str(),
            422,
        ),
        ("POST", "/v1/tenants", "{", 400),
        ("POST", "/v1/tenants", "{}", 422),
        ("POST", "/v1/tenants", &"x".repeat(20_000), 413),
        ("PUT", "/v1/tenants", "", 405),
        ("GET", "/v1/tenants/nobody", "", 404),
        ("GET", "/v2", "", 404),
        ("PATCH", "/v1/tenants/acme", r#"{"connections":1}"#, 200),
        (
            "PUT",
            "/v1/tenants/once/credentials",
            r#"{"password":"too short"}"#,
            422,
        ),
        (
            "PUT",
            "/v1/tenants/once/credentials",
            r#"{"password":"once's new password"}"#,
            204,
        ),
    ] {
        assert_eq!(site.ask(method, path, body).0, status, "{method} {path}");
    }
    let mut rotated = connect_client(site.at, "rotated", "once", PASSWORD);
    rotated.expect_line("-ERR 'Authorization Violation'");
    let mut rotated = connect_client(site.at, "rotated", "once", "once's new password");
    rotated.expect_line("PONG");
    let mut first = site.client("first");
    first.expect_line("PONG");
    let mut second = site.client("second");
    second.expect_line("-ERR 'Maximum Connections Exceeded'");
    let (_, shown) = site.ask("GET", "/v1/tenants/acme", "");
    assert!(
        shown.contains("\"open\":1") && shown.contains("\"connections\":1"),
        "{shown}"
    );
    assert!(site.ask("GET", "/v1/farm", "").1.contains("\"standing\":2"));
    assert!(site.ask("GET", "/v1/counts", "").1.contains("\"served\":2"));
    assert_eq!(
        site.ask("POST", "/v1/tenants", &tenant("unread", "chat", 1))
            .0,
        201
    );
    site.redis.goes_away(true);
    assert_eq!(site.ask("GET", "/v1/tenants", "").0, 503);
    let mut known = connect_client(site.at, "known", "once", "once's new password");
    known.expect_line("PONG");
    let mut unknown = connect_client(site.at, "unknown", "stranger", PASSWORD);
    unknown.expect_line("-ERR 'Service Unavailable; try again in 1000 ms'");
    site.redis.goes_away(false);
    let back = Instant::now();
    while site.ask("GET", "/v1/tenants", "").0 != 200 {
        assert!(back.elapsed() < TEST_TIMEOUT, "the store never came back");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(site.ask("DELETE", "/v1/tenants/once", "").0, 204);
    assert_eq!(site.ask("DELETE", "/v1/tenants/once", "").0, 404);
    let mut removed = connect_client(site.at, "removed", "once", "once's new password");
    removed.expect_line("-ERR 'Authorization Violation'");
}

#[test]
fn no_first_byte_goes_to_a_server_after_its_override_was_acknowledged() {
    let site = Site::with(
        "withheld",
        &SETTINGS.replace("\"on-time-ns\":400000000", "\"on-time-ns\":2000000000"),
    );
    let (late, good) = (
        site.server("late", Behavior::DelayInfo),
        site.server("good", Behavior::Serve),
    );
    let mut watch = site.discovery.accept_watch();
    send_endpoints(&mut watch, 1, true, &rows(&[(&late, "SERVING")]));
    site.program.wait_for_log("generation=1");
    // A pass is up at the one server there is, which has not said INFO; then that server is taken out.
    let speaking = late.write_lock.lock().expect("sound");
    let mut client = site.client("first");
    let passes =
        || site.api.call("GET", "/v1/counts", "").body["fronts"]["nats"]["passes"].as_u64();
    let until = Instant::now() + TEST_TIMEOUT;
    while passes() != Some(1) {
        assert!(Instant::now() < until, "no pass was made");
        std::thread::sleep(Duration::from_millis(5));
    }
    send_endpoints(&mut watch, 2, false, &rows(&[(&good, "SERVING")]));
    site.program.wait_for_log("generation=2");
    let out = r#"{"kind":"out","server":"late","who":"ada","why":"hung","expires_in_s":60}"#;
    site.api.add_override(out);
    drop(speaking);
    assert_eq!(site.answer("first", &mut client), "PONG");
    assert_eq!(
        site.record.lock().expect("sound").session_count("first"),
        1,
        "the other server's alone"
    );
    let counts = site.api.call("GET", "/v1/counts", "").body;
    assert_eq!(counts["fronts"]["nats"]["ends"]["not-sent"], 1, "{counts}");
    // A tenant's pin, strict, to the server that is out: refused at once, with a time.
    site.api.add_override(
        r#"{"kind":"pin","server":"late","tenant":"acme","mode":"strict","who":"ada","why":"test","expires_in_s":60}"#,
    );
    let answer = site.answer("second", &mut site.client("second"));
    assert!(
        answer.starts_with("-ERR 'Service Unavailable; try again in "),
        "{answer}"
    );
    let all = site.api.overrides();
    assert_eq!(all[1]["effects"]["nats"], "server takes nothing new");
    // Another tenant is not meant.
    let mut other = support::nats::connect_client(site.at, "third", "once", PASSWORD);
    other.expect_line("PONG");
}

#[test]
fn an_override_on_this_front_expires_outlives_list_changes_and_a_restart() {
    let mut site = Site::start("override-life");
    // All of them stay open, and those that are moved may not have left yet on a loaded machine.
    assert_eq!(
        site.ask("PATCH", "/v1/tenants/acme", r#"{"connections":100}"#)
            .0,
        200
    );
    let (one, other) = (
        site.server("one", Behavior::Serve),
        site.server("other", Behavior::Serve),
    );
    let mut watch = site.discovery.accept_watch();
    send_endpoints(
        &mut watch,
        1,
        true,
        &rows(&[(&one, "SERVING"), (&other, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    let out = |seconds: f64| {
        format!(
            r#"{{"kind":"out","server":"one","who":"ada","why":"test","expires_in_s":{seconds}}}"#
        )
    };
    let mut standing = Vec::new();
    let mut next = 0;
    // Where so many clients go: passes at the server that is out, of all that are made.
    let mut open = |site: &Site, count: usize| -> usize {
        let mut there = 0;
        for _ in 0..count {
            next += 1;
            let name = format!("client-{next}");
            let mut client = site.client(&name);
            assert_eq!(site.answer(&name, &mut client), "PONG");
            there += usize::from(site.record.lock().expect("sound").has_session(&name, "one"));
            standing.push(client);
        }
        there
    };
    // It expires by itself.
    let id = site.api.add_override(&out(60.0));
    assert_eq!(open(&site, 3), 0);
    site.api.expire_soon(id);
    let said = site
        .program
        .wait_for_log(&format!("override expired id={id}"));
    assert!(said.contains("who=ada"), "{said}");
    let until = Instant::now() + TEST_TIMEOUT;
    while site.api.server_row("one")["effective"]["weight"] != 1.0 {
        assert!(Instant::now() < until, "its weight never came back");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(open(&site, 3) > 0, "it is back");
    // It leaves the list and comes back under its name, elsewhere.
    site.api.add_override(&out(60.0));
    send_endpoints(&mut watch, 2, false, &rows(&[(&one, "DELETED")]));
    site.program.wait_for_log("generation=2");
    assert_eq!(
        site.api.overrides()[0]["effects"]["nats"],
        "server not listed"
    );
    let moved = site.server("one", Behavior::Serve);
    send_endpoints(&mut watch, 3, false, &rows(&[(&moved, "SERVING")]));
    site.program.wait_for_log("generation=3");
    assert_eq!(site.api.overrides()[0]["effects"]["nats"], "in effect");
    assert_eq!(open(&site, 3), 0);
    // A restart brings it back with its own end; the list comes after it, and nothing slips in between.
    let before = site.api.overrides()[0]["expires_at"].clone();
    site.program.signal("TERM");
    assert!(site.program.exits_cleanly(), "it leaves by itself");
    site.program = Program::start(&["--operator", &site.path], &[]);
    site.program.wait_for_log("restored=1");
    site.program.wait_for_log("administration API serves");
    let mut watch = site.discovery.accept_watch();
    send_endpoints(
        &mut watch,
        4,
        true,
        &rows(&[(&moved, "SERVING"), (&other, "SERVING")]),
    );
    site.program.wait_for_log("generation=4");
    assert_eq!(site.api.overrides()[0]["expires_at"], before);
    assert_eq!(open(&site, 3), 0);
    site.check();
}

/// Longer than any delay between attempts, and than the second after which the system tries a connection again.
const ALL_DELAYS: Duration = Duration::from_millis(1_500);

/// An attempt that begins later than this after its client has left breaks the rule.
const ALLOWANCE: Duration = Duration::from_millis(100);

/// Well under the time after which an attempt is given up for a client that waits, and long on a busy machine.
const AT_ONCE: Duration = Duration::from_secs(2);

/// Waits until something is so.
fn becomes_so(what: &str, is_so: impl Fn() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !is_so() {
        assert!(Instant::now() < until, "never so: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Ends a client's connection in order, behind what it has sent early, or by a reset.
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
    let patient = SETTINGS.replace(
        "\"connect-timeout-ns\":200000000",
        "\"connect-timeout-ns\":30000000000",
    );
    for by_reset in [false, true] {
        let site = Site::with(&format!("connect{by_reset}"), &patient);
        let late = support::full_backlog_server::FullBacklogServer::start();
        let mut watch = site.discovery.accept_watch();
        send_endpoints(&mut watch, 1, true, &[("late", late.address, "SERVING")]);
        site.program.wait_for_log("generation=1");
        let client = site.client("gone");
        late.wait_until_connecting_is(true);
        let left = Instant::now();
        leaves(client, by_reset);
        late.wait_until_connecting_is(false);
        assert!(
            left.elapsed() < AT_ONCE,
            "withdrawn after {:?}",
            left.elapsed()
        );
        assert_eq!(late.free_backlog_and_read(ALL_DELAYS), None);
    }
}

#[test]
fn a_client_that_leaves_before_its_server_says_info_is_never_sent_on() {
    for by_reset in [false, true] {
        let site = Site::with(
            &format!("info{by_reset}"),
            &SETTINGS.replace("\"on-time-ns\":400000000", "\"on-time-ns\":2000000000"),
        );
        let late = site.server("late", Behavior::DelayInfo);
        let mut watch = site.discovery.accept_watch();
        send_endpoints(&mut watch, 1, true, &rows(&[(&late, "SERVING")]));
        site.program.wait_for_log("generation=1");
        let speaking = late.write_lock.lock().expect("sound");
        let client = site.client("gone");
        let counts = || site.api.call("GET", "/v1/counts", "").body;
        becomes_so("a pass is out", || {
            counts()["fronts"]["nats"]["passes"] == 1
        });
        leaves(client, by_reset);
        drop(speaking);
        let mut after = site.client("after");
        after.expect_line("PONG");
        std::thread::sleep(ALL_DELAYS);
        assert_eq!(site.record.lock().expect("sound").session_count("gone"), 0);
    }
}

#[test]
fn a_client_that_leaves_the_admission_queue_is_never_sent_on() {
    const WINDOW: usize = 12;
    for by_reset in [false, true] {
        let site = Site::with(
            &format!("line{by_reset}"),
            &SETTINGS.replace("\"on-time-ns\":400000000", "\"on-time-ns\":2000000000"),
        );
        assert_eq!(
            site.ask("POST", "/v1/tenants", &tenant("many", "chat", 40))
                .0,
            201
        );
        let late = site.server("late", Behavior::DelayInfo);
        let mut watch = site.discovery.accept_watch();
        send_endpoints(&mut watch, 1, true, &rows(&[(&late, "SERVING")]));
        site.program.wait_for_log("generation=1");
        let speaking = late.write_lock.lock().expect("sound");
        let named = |name: &str| connect_client(site.at, name, "many", PASSWORD);
        let mut first: Vec<Peer> = (0..WINDOW).map(|at| named(&format!("c{at}"))).collect();
        let counts = || site.api.call("GET", "/v1/counts", "").body;
        becomes_so("all passes are out", || {
            counts()["fronts"]["nats"]["passes"] == WINDOW
        });
        let gone = named("gone");
        let waiting =
            || site.api.call("GET", "/v1/admission", "").body["fronts"][0]["waiting"].as_u64();
        becomes_so("it waits", || waiting() == Some(1));
        leaves(gone, by_reset);
        drop(speaking);
        first
            .iter_mut()
            .for_each(|client| client.expect_line("PONG"));
        named("after").expect_line("PONG");
        std::thread::sleep(ALL_DELAYS);
        assert_eq!(site.record.lock().expect("sound").session_count("gone"), 0);
    }
}

#[test]
fn a_client_that_leaves_in_a_delay_between_attempts_is_not_sent_on_again() {
    for by_reset in [false, true] {
        let site = Site::start(&format!("delay{by_reset}"));
        let full = site.server("full", Behavior::RejectAsFull);
        let mut watch = site.discovery.accept_watch();
        send_endpoints(&mut watch, 1, true, &rows(&[(&full, "SERVING")]));
        site.program.wait_for_log("generation=1");
        let client = site.client("gone");
        let passes = || site.record.lock().expect("sound").session_count("gone");
        becomes_so("it was sent on", || passes() > 0);
        leaves(client, by_reset);
        std::thread::sleep(ALLOWANCE);
        let made = passes();
        std::thread::sleep(ALL_DELAYS);
        assert_eq!(passes(), made);
    }
}

#[test]
fn a_client_that_leaves_while_the_store_is_asked_is_never_sent_on() {
    for by_reset in [false, true] {
        let site = Site::start(&format!("asked{by_reset}"));
        let server = site.server("s", Behavior::Serve);
        let mut watch = site.discovery.accept_watch();
        send_endpoints(&mut watch, 1, true, &rows(&[(&server, "SERVING")]));
        site.program.wait_for_log("generation=1");
        site.redis
            .manner(beaconflow_contracts::redis::RedisBehaviour::Slow(
                Duration::from_millis(200),
            ));
        leaves(site.client("gone"), by_reset);
        let mut after = site.client("after");
        after.expect_line("PONG");
        std::thread::sleep(ALL_DELAYS);
        assert_eq!(site.record.lock().expect("sound").session_count("gone"), 0);
    }
}
