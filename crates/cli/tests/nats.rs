//! Tests of the NATS front: the program with clients and simulated NATS servers and Redis over loopback.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use support::nats::*;
use support::*;

const PASSWORD: &str = "acme's own password";

/// A balancer with its store, whose servers come from discovery.
struct Site {
    program: Program,
    address: SocketAddr,
    api: Api,
    redis: Redis,
    discovery: Discovery,
    record: SharedRecord,
    /// Path of the operator's file; `file_text` holds its contents.
    path: String,
    file_text: String,
    _folder: tempfile::TempDir,
}

impl Site {
    fn start(name: &str) -> Site {
        Site::with(name, SETTINGS)
    }

    fn with(name: &str, settings: &str) -> Site {
        let (address, admin, redis, discovery) = (
            reserve_address(),
            reserve_address(),
            start_redis(),
            Discovery::start(),
        );
        let settings = settings.replace("\n", " ");
        let folder = tempfile::tempdir().expect("temporary directory is created");
        let settings: serde_json::Value = serde_json::from_str(&settings).expect("valid JSON");
        let file_text = format!(
            "name = \"front\"\nlisten = \"{address}\"\nsockets = 256\n\
             wire = {{ max_payload = 64, connect_wait_ms = 300, ping_after_ms = 300, silence_ms = 2000 }}\n\
             store = {{ url = \"redis://{}/\", fresh_ms = 1 }}\nadmin = {{ listen = \"{admin}\", token = \"{ADMIN_TOKEN}\" }}\n\
             overrides = {{ file = \"{}\", ramp_s = 0.4 }}\n\
             farm = {{ discovery = \"{}\" }}\n{}",
            redis.address,
            folder.path().join("overrides.redb").display(),
            discovery.address,
            toml::to_string(&serde_json::json!({ "settings": settings })).expect("valid TOML")
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
            address,
            api,
            redis,
            discovery,
            record,
            path,
            file_text,
            _folder: folder,
        };
        assert_eq!(
            site.call_api("POST", "/v1/tenants", &tenant_json("acme", "chat", 8))
                .0,
            201
        );
        assert_eq!(
            site.call_api("POST", "/v1/tenants", &tenant_json("once", "once", 8))
                .0,
            201
        );
        site
    }

    fn call_api(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let Response { status, body, .. } = self.api.call(method, path, body);
        let text = body.to_string();
        for secret in [PASSWORD, ADMIN_TOKEN, "up-secret", "argon2"] {
            assert!(!text.contains(secret), "{text}");
        }
        (status, text)
    }

    fn client(&self, name: &str) -> Peer {
        connect_client(self.address, name, "acme", PASSWORD)
    }

    /// Reads and records the client's single final answer, and checks the relay rules.
    fn record_answer(&self, name: &str, client: &mut Peer) -> String {
        let answer = client.read_line().expect("an answer is received");
        self.record
            .lock()
            .expect("mutex is not poisoned")
            .record_answer(name, &answer);
        self.check_rules();
        answer
    }

    fn check_rules(&self) {
        self.record
            .lock()
            .expect("mutex is not poisoned")
            .assert_rules_kept();
    }

    fn server(&self, name: &str, manner: Behavior) -> NatsServer {
        NatsServer::start(name, manner, &self.record)
    }
}

fn tenant_json(name: &str, class: &str, connections: usize) -> String {
    format!(
        r#"{{"name":"{name}","password":"{PASSWORD}","class":"{class}","connections":{connections},
            "upstream":{{"user":"up","password":"up-secret"}}}}"#
    )
}

fn discovery_rows<'a>(
    servers: &[(&'a NatsServer, &'a str)],
) -> Vec<(&'a str, SocketAddr, &'a str)> {
    servers
        .iter()
        .map(|(server, state)| (server.name.as_str(), server.address, *state))
        .collect()
}

#[test]
fn relay_rules_hold_after_every_exchange() {
    let site = Site::start("rules");
    let mut watch = site.discovery.accept_watch();
    // Four servers: one falls silent after CONNECT, one is full, one closes the connection, one serves.
    let hung = site.server("hung", Behavior::SilentAfterConnect);
    let full = site.server("full", Behavior::RejectAsFull);
    let mute = site.server("mute", Behavior::CloseBeforeInfo);
    let good = site.server("good", Behavior::Serve);
    let servers = [
        (&hung, "SERVING"),
        (&full, "SERVING"),
        (&mute, "SERVING"),
        (&good, "SERVING"),
    ];
    send_endpoints(&mut watch, 1, true, &discovery_rows(&servers));
    site.program.wait_for_log("generation=1");
    let mut established = Vec::new();
    for number in 0..4 {
        let name = format!("client-{number}");
        let mut client = site.client(&name);
        let answer = site.record_answer(&name, &mut client);
        if answer == "PONG" {
            // Payloads contain protocol commands as data; fragmented keepalives cross them in both directions.
            client.send("PUB t 12\r\nPING\r\n");
            std::thread::sleep(Duration::from_millis(5));
            client.send("PONG\r\n\r\nPI");
            client.send("NG\r\n");
            client.expect_line("PING");
            client.expect_line("MSG t 1 12");
            assert_eq!(client.read_text(14), "PING\r\nPONG\r\n\r\n");
            client.expect_line("PONG");
            client.send("PONG\r\n");
            established.push(client);
        } else {
            assert!(
                answer.starts_with("-ERR 'Service Unavailable")
                    || answer == "-ERR 'Connection Failed'",
                "{answer}"
            );
            client.expect_end();
        }
        site.check_rules();
    }
    // Only one server remains; then it drains, and its clients are moved to another.
    let new_server = site.server("next", Behavior::Serve);
    let remaining = [
        (&hung, "DELETED"),
        (&full, "DELETED"),
        (&mute, "DELETED"),
        (&good, "SERVING"),
    ];
    send_endpoints(&mut watch, 2, false, &discovery_rows(&remaining));
    site.program.wait_for_log("generation=2");
    let mut last = site.client("last");
    assert_eq!(site.record_answer("last", &mut last), "PONG");
    established.push(last);
    let draining = [(&good, "DRAINING"), (&new_server, "SERVING")];
    site.record
        .lock()
        .expect("mutex is not poisoned")
        .record_drain("good");
    send_endpoints(&mut watch, 3, false, &discovery_rows(&draining));
    site.program.wait_for_log("generation=3");
    for mut client in established {
        let last_line = client
            .read_line()
            .expect("a line is received before the end");
        assert!(
            last_line.starts_with("INFO {") && last_line.contains("\"ldm\":true"),
            "{last_line}"
        );
        client.expect_end();
        site.check_rules();
    }
    for number in 0..3 {
        let name = format!("again-{number}");
        let mut client = site.client(&name);
        assert_eq!(site.record_answer(&name, &mut client), "PONG");
    }
    drop((hung, full, mute, good, new_server));
}

#[test]
fn attempt_outcome_decides_whether_to_retry() {
    let site = Site::start("outcomes");
    let mut watch = site.discovery.accept_watch();
    let server = site.server("only", Behavior::RejectAuthorization);
    send_endpoints(
        &mut watch,
        1,
        true,
        &discovery_rows(&[(&server, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    // A failed attempt may have taken effect: a class that must not run twice fails at once after one attempt.
    for (number, manner) in [Behavior::RejectAuthorization, Behavior::SilentAfterConnect]
        .into_iter()
        .enumerate()
    {
        server.set_behavior(manner);
        let name = format!("once-{number}");
        let mut client = connect_client(site.address, &name, "once", PASSWORD);
        assert_eq!(
            site.record_answer(&name, &mut client),
            "-ERR 'Connection Failed'"
        );
        client.expect_end();
        assert_eq!(
            site.record
                .lock()
                .expect("mutex is not poisoned")
                .session_count(&name),
            1
        );
    }
    // A rejected attempt never took effect: all attempts are made, and the answer carries a retry delay.
    server.set_behavior(Behavior::RejectAsFull);
    let mut client = connect_client(site.address, "once-full", "once", PASSWORD);
    let answer = site.record_answer("once-full", &mut client);
    assert!(
        answer.starts_with("-ERR 'Service Unavailable; try again in ") && answer.ends_with(" ms'"),
        "{answer}"
    );
    assert!(
        site.record
            .lock()
            .expect("mutex is not poisoned")
            .session_count("once-full")
            > 1
    );
}

/// An established server falls silent, then announces lame duck mode; its client is moved both times.
#[test]
fn moves_client_when_server_silent_or_draining() {
    let site = Site::start("silent");
    let mut watch = site.discovery.accept_watch();
    let server = site.server("only", Behavior::Serve);
    send_endpoints(
        &mut watch,
        1,
        true,
        &discovery_rows(&[(&server, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    let mut client = site.client("first");
    assert_eq!(site.record_answer("first", &mut client), "PONG");
    // The client sends nothing: the balancer's own PINGs detect the silence, and their PONGs are not relayed.
    std::thread::sleep(Duration::from_millis(700));
    let silent_since = Instant::now();
    server.is_silent.store(true, Ordering::Relaxed);
    assert!(
        client
            .read_line()
            .expect("a move notice is received")
            .contains("\"ldm\":true")
    );
    client.expect_end();
    assert!(silent_since.elapsed() < Duration::from_secs(6));
    server.is_silent.store(false, Ordering::Relaxed);
    let mut client = site.client("second");
    assert_eq!(site.record_answer("second", &mut client), "PONG");
    // Server addresses are not relayed; a message that has begun is completed first.
    let voice_lock = server.write_lock.lock().expect("mutex is not poisoned");
    server.send_to_all(
        "INFO {\"connect_urls\":[\"10.0.0.1:4222\"],\"ldm\":true}\r\nMSG t 1 5\r\nhel",
    );
    client.expect_line("MSG t 1 5");
    assert_eq!(client.read_text(3), "hel");
    server.send_to_all("lo\r\nMSG t 1 1\r\n");
    client.expect_line("lo");
    let last_line = std::iter::from_fn(|| client.read_line())
        .last()
        .expect("a move notice is received");
    // Held until here: a PONG inside the second message would be a protocol error of the simulated server.
    drop(voice_lock);
    assert!(
        last_line.contains("\"ldm\":true") && !last_line.contains("connect_urls"),
        "{last_line}"
    );
    site.check_rules();
}

#[test]
fn rejects_protocol_violations_with_specific_errors() {
    let site = Site::start("openings");
    let server = site.server("only", Behavior::Serve);
    send_endpoints(
        &mut site.discovery.accept_watch(),
        1,
        true,
        &discovery_rows(&[(&server, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    for (command, answer) in [
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
        let mut client = Peer::connect(site.address);
        client.read_line().expect("an INFO line is received");
        client.send(command);
        client.expect_line(answer);
        client.expect_end();
    }
    for (name, command, answer) in [
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
        assert_eq!(site.record_answer(name, &mut client), "PONG");
        client.send(command);
        client.expect_line(answer);
        client.expect_end();
        site.check_rules();
    }
}

#[test]
fn misbehaving_clients_do_not_affect_others() {
    let site = Site::start("floods");
    let server = site.server("only", Behavior::Serve);
    send_endpoints(
        &mut site.discovery.accept_watch(),
        1,
        true,
        &discovery_rows(&[(&server, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    let mut steady = site.client("steady");
    assert_eq!(site.record_answer("steady", &mut steady), "PONG");
    // More connections than 256 descriptors hold: each receives an answer, and a real client is served.
    let mut silent: Vec<Peer> = (0..200).map(|_| Peer::connect(site.address)).collect();
    let mut real = site.client("real");
    assert_eq!(site.record_answer("real", &mut real), "PONG");
    for peer in &mut silent {
        assert!(
            peer.read_line()
                .expect("an INFO line is received")
                .starts_with("INFO {")
        );
        assert!(
            peer.read_line()
                .expect("a rejection is received")
                .starts_with("-ERR '")
        );
        assert!(peer.is_closed());
    }
    // PINGs at full speed while the server answers none.
    let mut flood = site.client("flood");
    assert_eq!(site.record_answer("flood", &mut flood), "PONG");
    let voice_lock = server.write_lock.lock().expect("mutex is not poisoned");
    flood.send(&"PING\r\n".repeat(1100));
    assert!(
        flood.is_closed(),
        "too many unanswered PINGs must close the connection"
    );
    drop(voice_lock);
    // A partial message and a close: the server sees the same close, and other clients are unaffected.
    let mut half = site.client("half");
    assert_eq!(site.record_answer("half", &mut half), "PONG");
    half.send("PUB t 12\r\nonly ha");
    half.shutdown_write();
    half.expect_end();
    steady.send("PING\r\n");
    steady.expect_line("PONG");
    site.check_rules();
}

/// Settings that require a restart are reported; a rejected file must not expose the token in the log.
#[test]
fn reload_moves_watch_and_reports_fixed_settings() {
    let site = Site::start("reload");
    let mut old_watch = site.discovery.accept_watch();
    let server = site.server("only", Behavior::Serve);
    send_endpoints(
        &mut old_watch,
        1,
        true,
        &discovery_rows(&[(&server, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    let mut client = site.client("stands");
    assert_eq!(site.record_answer("stands", &mut client), "PONG");
    let new_discovery = Discovery::start();
    let moved = site.file_text.replace(
        &site.discovery.address.to_string(),
        &new_discovery.address.to_string(),
    );
    std::fs::write(
        &site.path,
        moved.replace("max_payload = 64", "max_payload = 65"),
    )
    .expect("configuration file is written");
    site.program.signal("HUP");
    site.program
        .wait_for_log("configuration changes applied what=\"discovery at");
    site.program
        .wait_for_log("changes need a restart; running values kept what=wire");
    send_endpoints(
        &mut new_discovery.accept_watch(),
        1,
        true,
        &discovery_rows(&[(&server, "SERVING")]),
    );
    site.program.wait_for_log("kind=Snapshot");
    old_watch.expect_end();
    client.send("PING\r\n");
    client.expect_line("PONG");
    std::fs::write(&site.path, "admin = 1").expect("configuration file is written");
    site.program.signal("HUP");
    let kept = site
        .program
        .wait_for_log("reload failed; current configuration kept");
    assert!(!kept.contains(ADMIN_TOKEN), "{kept}");
    site.check_rules();
}

/// Tenants are managed through the API; tenants that are already cached can connect while the store is unreachable.
#[test]
fn serves_cached_tenants_during_store_outage() {
    let site = Site::start("tenants");
    let server = site.server("only", Behavior::Serve);
    send_endpoints(
        &mut site.discovery.accept_watch(),
        1,
        true,
        &discovery_rows(&[(&server, "SERVING")]),
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
            tenant_json("acme", "chat", 1).as_str(),
            409,
        ),
        (
            "POST",
            "/v1/tenants",
            tenant_json("other", "nothing", 1).as_str(),
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
        assert_eq!(
            site.call_api(method, path, body).0,
            status,
            "{method} {path}"
        );
    }
    let mut rotated = connect_client(site.address, "rotated", "once", PASSWORD);
    rotated.expect_line("-ERR 'Authorization Violation'");
    let mut rotated = connect_client(site.address, "rotated", "once", "once's new password");
    rotated.expect_line("PONG");
    let mut first = site.client("first");
    first.expect_line("PONG");
    let mut second = site.client("second");
    second.expect_line("-ERR 'Maximum Connections Exceeded'");
    let (_, shown) = site.call_api("GET", "/v1/tenants/acme", "");
    assert!(
        shown.contains("\"open\":1") && shown.contains("\"connections\":1"),
        "{shown}"
    );
    assert!(
        site.call_api("GET", "/v1/farm", "")
            .1
            .contains("\"standing\":2")
    );
    assert!(
        site.call_api("GET", "/v1/counts", "")
            .1
            .contains("\"served\":2")
    );
    assert_eq!(
        site.call_api("POST", "/v1/tenants", &tenant_json("unread", "chat", 1))
            .0,
        201
    );
    site.redis.set_unavailable(true);
    assert_eq!(site.call_api("GET", "/v1/tenants", "").0, 503);
    let mut known = connect_client(site.address, "known", "once", "once's new password");
    known.expect_line("PONG");
    let mut unknown = connect_client(site.address, "unknown", "stranger", PASSWORD);
    unknown.expect_line("-ERR 'Service Unavailable; try again in 1000 ms'");
    site.redis.set_unavailable(false);
    let restored_at = Instant::now();
    while site.call_api("GET", "/v1/tenants", "").0 != 200 {
        assert!(
            restored_at.elapsed() < TEST_TIMEOUT,
            "the store did not become available again"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(site.call_api("DELETE", "/v1/tenants/once", "").0, 204);
    assert_eq!(site.call_api("DELETE", "/v1/tenants/once", "").0, 404);
    let mut removed = connect_client(site.address, "removed", "once", "once's new password");
    removed.expect_line("-ERR 'Authorization Violation'");
}

/// No first byte goes to a server after the override that takes it out has been acknowledged.
#[test]
fn sends_nothing_to_server_after_override_acknowledged() {
    let site = Site::with(
        "withheld",
        &SETTINGS.replace(
            "\"hard-limit-ns\":3000000000",
            "\"hard-limit-ns\":16000000000",
        ),
    );
    let (late, good) = (
        site.server("late", Behavior::DelayInfo),
        site.server("good", Behavior::Serve),
    );
    let mut watch = site.discovery.accept_watch();
    send_endpoints(&mut watch, 1, true, &discovery_rows(&[(&late, "SERVING")]));
    site.program.wait_for_log("generation=1");
    // An attempt is connected to the only server, which has not sent INFO yet; then that server is taken out.
    let voice_lock = late.write_lock.lock().expect("mutex is not poisoned");
    let mut client = site.client("first");
    let attempt_count =
        || site.api.call("GET", "/v1/counts", "").body["fronts"]["nats"]["passes"].as_u64();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while attempt_count() != Some(1) {
        assert!(Instant::now() < deadline, "no attempt was made");
        std::thread::sleep(Duration::from_millis(5));
    }
    send_endpoints(&mut watch, 2, false, &discovery_rows(&[(&good, "SERVING")]));
    site.program.wait_for_log("generation=2");
    let out = r#"{"kind":"out","server":"late","who":"ada","why":"hung","expires_in_s":60}"#;
    site.api.add_override(out);
    drop(voice_lock);
    assert_eq!(site.record_answer("first", &mut client), "PONG");
    assert_eq!(
        site.record
            .lock()
            .expect("mutex is not poisoned")
            .session_count("first"),
        1,
        "only the other server receives an attempt"
    );
    let counts = site.api.call("GET", "/v1/counts", "").body;
    assert_eq!(counts["fronts"]["nats"]["ends"]["not-sent"], 1, "{counts}");
    // A strict pin of a tenant to the server that is out rejects at once with a retry delay.
    site.api.add_override(
        r#"{"kind":"pin","server":"late","tenant":"acme","mode":"strict","who":"ada","why":"test","expires_in_s":60}"#,
    );
    let answer = site.record_answer("second", &mut site.client("second"));
    assert!(
        answer.starts_with("-ERR 'Service Unavailable; try again in "),
        "{answer}"
    );
    let all = site.api.overrides();
    assert_eq!(all[1]["effects"]["nats"], "server takes nothing new");
    // Other tenants are unaffected.
    let mut other = support::nats::connect_client(site.address, "third", "once", PASSWORD);
    other.expect_line("PONG");
}

/// The override also holds when the server leaves the list and returns at another address.
#[test]
fn override_expires_and_survives_restart() {
    let mut site = Site::start("override-life");
    // All clients stay open, and moved ones may not have disconnected yet on a loaded machine.
    assert_eq!(
        site.call_api("PATCH", "/v1/tenants/acme", r#"{"connections":100}"#)
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
        &discovery_rows(&[(&one, "SERVING"), (&other, "SERVING")]),
    );
    site.program.wait_for_log("generation=1");
    let out_override = |seconds: f64| {
        format!(
            r#"{{"kind":"out","server":"one","who":"ada","why":"test","expires_in_s":{seconds}}}"#
        )
    };
    let mut established = Vec::new();
    let mut client_count = 0;
    // Opens `count` clients and returns how many reached the server with the override.
    let mut open = |site: &Site, count: usize| -> usize {
        let mut at_overridden = 0;
        for _ in 0..count {
            client_count += 1;
            let name = format!("client-{client_count}");
            let mut client = site.client(&name);
            assert_eq!(site.record_answer(&name, &mut client), "PONG");
            at_overridden += usize::from(
                site.record
                    .lock()
                    .expect("mutex is not poisoned")
                    .has_session(&name, "one"),
            );
            established.push(client);
        }
        at_overridden
    };
    // The override expires by itself.
    let id = site.api.add_override(&out_override(60.0));
    assert_eq!(open(&site, 3), 0);
    site.api.expire_soon(id);
    let log_line = site
        .program
        .wait_for_log(&format!("override expired id={id}"));
    assert!(log_line.contains("who=ada"), "{log_line}");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while site.api.server_row("one")["effective"]["weight"] != 1.0 {
        assert!(
            Instant::now() < deadline,
            "the weight did not return to 1.0"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(open(&site, 3) > 0, "the server receives clients again");
    // The server leaves the list and returns under the same name at another address.
    site.api.add_override(&out_override(60.0));
    send_endpoints(&mut watch, 2, false, &discovery_rows(&[(&one, "DELETED")]));
    site.program.wait_for_log("generation=2");
    assert_eq!(
        site.api.overrides()[0]["effects"]["nats"],
        "server not listed"
    );
    let moved = site.server("one", Behavior::Serve);
    send_endpoints(
        &mut watch,
        3,
        false,
        &discovery_rows(&[(&moved, "SERVING")]),
    );
    site.program.wait_for_log("generation=3");
    assert_eq!(site.api.overrides()[0]["effects"]["nats"], "in effect");
    assert_eq!(open(&site, 3), 0);
    // After a restart the override keeps its expiry; the list arrives later, and no request is sent in between.
    let expires_at = site.api.overrides()[0]["expires_at"].clone();
    site.program.signal("TERM");
    assert!(site.program.exits_cleanly(), "the program exits by itself");
    site.program = Program::start(&["--operator", &site.path], &[]);
    site.program.wait_for_log("restored=1");
    site.program.wait_for_log("administration API serves");
    let mut watch = site.discovery.accept_watch();
    send_endpoints(
        &mut watch,
        4,
        true,
        &discovery_rows(&[(&moved, "SERVING"), (&other, "SERVING")]),
    );
    site.program.wait_for_log("generation=4");
    assert_eq!(site.api.overrides()[0]["expires_at"], expires_at);
    assert_eq!(open(&site, 3), 0);
    site.check_rules();
}

/// Longer than any delay between attempts, and than the second after which the kernel retries a SYN.
const LONGER_THAN_ANY_DELAY: Duration = Duration::from_millis(1_500);

/// No attempt may begin later than this after its client has disconnected.
const MAX_DISCONNECT_DELAY: Duration = Duration::from_millis(100);

/// Well below the attempt timeout for a waiting client, and ample on a busy machine.
const MAX_ABORT_TIME: Duration = Duration::from_secs(2);

/// Waits until `is_met` returns true.
fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_met() {
        assert!(
            Instant::now() < deadline,
            "condition not met in time: {condition}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Closes a client's connection in order, after any data it has sent early, or by a reset.
fn disconnect(client: Peer, by_reset: bool) {
    if by_reset {
        socket2::SockRef::from(&client.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("socket is open");
    }
    drop(client);
}

/// Nothing of the client may reach the server when the connection to it is established later.
#[test]
fn aborts_connect_when_client_disconnects() {
    let long_connect_settings = SETTINGS.replace(
        "\"connect-timeout-ns\":200000000",
        "\"connect-timeout-ns\":30000000000",
    );
    for by_reset in [false, true] {
        let site = Site::with(&format!("connect{by_reset}"), &long_connect_settings);
        let late = support::full_backlog_server::FullBacklogServer::start();
        let mut watch = site.discovery.accept_watch();
        send_endpoints(&mut watch, 1, true, &[("late", late.address, "SERVING")]);
        site.program.wait_for_log("generation=1");
        let client = site.client("gone");
        late.wait_until_connecting_is(true);
        let disconnected_at = Instant::now();
        disconnect(client, by_reset);
        late.wait_until_connecting_is(false);
        assert!(
            disconnected_at.elapsed() < MAX_ABORT_TIME,
            "connection attempt aborted after {:?}",
            disconnected_at.elapsed()
        );
        assert_eq!(late.free_backlog_and_read(LONGER_THAN_ANY_DELAY), None);
    }
}

#[test]
fn sends_nothing_when_client_disconnects_before_info() {
    for by_reset in [false, true] {
        let site = Site::with(
            &format!("info{by_reset}"),
            &SETTINGS.replace(
                "\"hard-limit-ns\":3000000000",
                "\"hard-limit-ns\":16000000000",
            ),
        );
        let late = site.server("late", Behavior::DelayInfo);
        let mut watch = site.discovery.accept_watch();
        send_endpoints(&mut watch, 1, true, &discovery_rows(&[(&late, "SERVING")]));
        site.program.wait_for_log("generation=1");
        let voice_lock = late.write_lock.lock().expect("mutex is not poisoned");
        let client = site.client("gone");
        let counts = || site.api.call("GET", "/v1/counts", "").body;
        wait_until("an attempt is in progress", || {
            counts()["fronts"]["nats"]["passes"] == 1
        });
        disconnect(client, by_reset);
        drop(voice_lock);
        let mut after = site.client("after");
        after.expect_line("PONG");
        std::thread::sleep(LONGER_THAN_ANY_DELAY);
        assert_eq!(
            site.record
                .lock()
                .expect("mutex is not poisoned")
                .session_count("gone"),
            0
        );
    }
}

#[test]
fn sends_nothing_when_client_leaves_queue() {
    const INITIAL_CONCURRENCY_LIMIT: usize = 12;
    for by_reset in [false, true] {
        let site = Site::with(
            &format!("line{by_reset}"),
            &SETTINGS.replace(
                "\"hard-limit-ns\":3000000000",
                "\"hard-limit-ns\":16000000000",
            ),
        );
        assert_eq!(
            site.call_api("POST", "/v1/tenants", &tenant_json("many", "chat", 40))
                .0,
            201
        );
        let late = site.server("late", Behavior::DelayInfo);
        let mut watch = site.discovery.accept_watch();
        send_endpoints(&mut watch, 1, true, &discovery_rows(&[(&late, "SERVING")]));
        site.program.wait_for_log("generation=1");
        let voice_lock = late.write_lock.lock().expect("mutex is not poisoned");
        let connect = |name: &str| connect_client(site.address, name, "many", PASSWORD);
        let mut first: Vec<Peer> = (0..INITIAL_CONCURRENCY_LIMIT)
            .map(|index| connect(&format!("c{index}")))
            .collect();
        let counts = || site.api.call("GET", "/v1/counts", "").body;
        wait_until("all attempts are in progress", || {
            counts()["fronts"]["nats"]["passes"] == INITIAL_CONCURRENCY_LIMIT
        });
        let queued = connect("gone");
        let queue_length =
            || site.api.call("GET", "/v1/admission", "").body["fronts"][0]["waiting"].as_u64();
        wait_until("a request is queued", || queue_length() == Some(1));
        disconnect(queued, by_reset);
        drop(voice_lock);
        first
            .iter_mut()
            .for_each(|client| client.expect_line("PONG"));
        connect("after").expect_line("PONG");
        std::thread::sleep(LONGER_THAN_ANY_DELAY);
        assert_eq!(
            site.record
                .lock()
                .expect("mutex is not poisoned")
                .session_count("gone"),
            0
        );
    }
}

#[test]
fn stops_retrying_when_client_disconnects_between_attempts() {
    for by_reset in [false, true] {
        let site = Site::start(&format!("delay{by_reset}"));
        let full = site.server("full", Behavior::RejectAsFull);
        let mut watch = site.discovery.accept_watch();
        send_endpoints(&mut watch, 1, true, &discovery_rows(&[(&full, "SERVING")]));
        site.program.wait_for_log("generation=1");
        let client = site.client("gone");
        let attempt_count = || {
            site.record
                .lock()
                .expect("mutex is not poisoned")
                .session_count("gone")
        };
        wait_until("an attempt was made", || attempt_count() > 0);
        disconnect(client, by_reset);
        std::thread::sleep(MAX_DISCONNECT_DELAY);
        let attempts_at_disconnect = attempt_count();
        std::thread::sleep(LONGER_THAN_ANY_DELAY);
        assert_eq!(attempt_count(), attempts_at_disconnect);
    }
}

#[test]
fn sends_nothing_when_client_disconnects_during_lookup() {
    for by_reset in [false, true] {
        let site = Site::start(&format!("asked{by_reset}"));
        let server = site.server("s", Behavior::Serve);
        let mut watch = site.discovery.accept_watch();
        send_endpoints(
            &mut watch,
            1,
            true,
            &discovery_rows(&[(&server, "SERVING")]),
        );
        site.program.wait_for_log("generation=1");
        site.redis
            .set_behaviour(beaconflow_contracts::redis::RedisBehaviour::Slow(
                Duration::from_millis(200),
            ));
        disconnect(site.client("gone"), by_reset);
        let mut after = site.client("after");
        after.expect_line("PONG");
        std::thread::sleep(LONGER_THAN_ANY_DELAY);
        assert_eq!(
            site.record
                .lock()
                .expect("mutex is not poisoned")
                .session_count("gone"),
            0
        );
    }
}
