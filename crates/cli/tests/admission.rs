//! Tests of the admission queue of a running program: queue order, account shares and rejections with a retry delay.

mod support;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
use support::gated_server::{GatedServer, Protocol};
use support::nats::{Redis, start_redis};
use support::*;

/// Requests that admission allows in progress at startup.
const INITIAL_CONCURRENCY_LIMIT: usize = 12;
const PASSWORD: &str = "an account's password";

/// A program with one front, whose server leaves every request unanswered until the test allows it.
struct Site {
    program: Program,
    address: std::net::SocketAddr,
    api: Api,
    server: GatedServer,
    wire: Protocol,
    operator: String,
    config: String,
    folder: tempfile::TempDir,
    next: AtomicU32,
    _discovery: Discovery,
    _redis: Redis,
}

impl Site {
    /// Starts the program with accounts `acme` and `bright`, whose shares are 58 to 42.
    fn start(wire: Protocol, admission: &str) -> Site {
        Site::with_listed_server(wire, admission, true)
    }

    fn with_listed_server(wire: Protocol, admission: &str, is_listed: bool) -> Site {
        let (address, admin, discovery, redis) = (
            reserve_address(),
            reserve_address(),
            Discovery::start(),
            start_redis(),
        );
        let server = GatedServer::start(wire);
        let folder = tempfile::tempdir().expect("temporary directory is created");
        // Long enough that no request times out during a test.
        let settings =
            SETTINGS.replace("400000000,", "8000000000,").replace("3000000000", "9000000000").replace(
                "\"lanes\"",
                r#""projects":[{"name":"acme","share":0.58},{"name":"bright","share":0.42}],"lanes""#,
            );
        let rows = [("s0", server.address, "SERVING")];
        let server_list = endpoint_list(1, true, if is_listed { &rows } else { &[] });
        let mut operator = format!(
            "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[admission]\n{admission}\n"
        );
        let config =
            support::platform_config(address, discovery.address, &server_list, &settings, 1_024);
        if wire == Protocol::Nats {
            let settings: Value =
                serde_json::from_str(&settings.replace('\n', " ")).expect("valid JSON");
            let servers = format!("[{{ name = \"s0\", address = \"{}\" }}]", server.address);
            operator = format!(
                "name = \"front\"\nlisten = \"{address}\"\nsockets = 1024\nwire = {{ connect_wait_ms = 5000 }}\n\
                 store = {{ url = \"redis://{}/\" }}\nfarm = {{ servers = {servers} }}\n{operator}\n{}",
                redis.address,
                toml::to_string(&serde_json::json!({ "settings": settings })).expect("valid TOML")
            );
        }
        let path = |name: &str| {
            folder
                .path()
                .join(name)
                .to_str()
                .expect("text is valid UTF-8")
                .to_owned()
        };
        let (operator_path, config_path) = (path("operator.toml"), path("config.json"));
        std::fs::write(&operator_path, &operator).expect("file is written");
        std::fs::write(&config_path, &config).expect("file is written");
        let env = [("LB_CONFIG", config_path.as_str())];
        let env = if wire == Protocol::Platform {
            &env[..]
        } else {
            &[]
        };
        let program = Program::start(&["--operator", &operator_path], env);
        program.wait_for_log("administration API serves");
        let api = Api {
            address: admin,
            token: ADMIN_TOKEN,
        };
        let site = Site {
            program,
            address,
            api,
            server,
            wire,
            operator,
            config,
            folder,
            next: AtomicU32::new(1),
            _discovery: discovery,
            _redis: redis,
        };
        if wire == Protocol::Nats {
            for (name, share) in [("acme", 58.0), ("bright", 42.0)] {
                let body = format!(
                    r#"{{"name":"{name}","password":"{PASSWORD}","class":"once","connections":500,"share":{share},
                        "upstream":{{"user":"{name}","password":"up-secret"}}}}"#
                );
                assert_eq!(site.api.call("POST", "/v1/tenants", &body).status, 201);
            }
        }
        site
    }

    /// Connects a client with a unique name and sends its request.
    fn open(&self, account: &str, extra: &str) -> Peer {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        match self.wire {
            Protocol::Platform => {
                let mut client = Peer::connect(self.address);
                client.send(&format!(
                    "OPEN a{number} k{number} c=once,t={account},d=8500{extra}\r\n"
                ));
                client
            }
            Protocol::Nats => support::nats::connect_client(
                self.address,
                &format!("n{number}"),
                account,
                PASSWORD,
            ),
        }
    }

    fn open_many(&self, account: &str, count: usize) -> Vec<Peer> {
        (0..count).map(|_| self.open(account, "")).collect()
    }

    fn admission_state(&self) -> Value {
        let answer = self.api.call("GET", "/v1/admission", "");
        assert_eq!(answer.status, 200);
        answer.body["fronts"][0].clone()
    }

    /// Waits until the admission queue holds `length` requests.
    fn wait_for_queue_length(&self, length: usize) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.admission_state()["waiting"] != length {
            assert!(
                Instant::now() < deadline,
                "queue length never became {length}: {}",
                self.admission_state()
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn account_state(&self, name: &str) -> Value {
        let state = self.admission_state();
        let rows = state["accounts"].as_array().expect("value is an array");
        rows.iter()
            .find(|row| row["account"] == name)
            .unwrap_or_else(|| panic!("account {name} is missing from {state}"))
            .clone()
    }

    /// Admits `count` requests one at a time and returns the first lines of all requests in order of arrival. Attempts
    /// that are made at the same time could overtake each other on the way to the server.
    fn admit_in_turn(&self, count: usize) -> Vec<String> {
        for admitted in 1..=count {
            self.server.admit(1);
            self.server
                .wait_for_setups(INITIAL_CONCURRENCY_LIMIT + admitted);
        }
        self.server
            .wait_for_setups(INITIAL_CONCURRENCY_LIMIT + count)
    }

    /// Whether a request, given by its first line at the server, belongs to `account`.
    fn is_request_of(&self, request: &str, account: &str) -> bool {
        match self.wire {
            Protocol::Platform => request.contains(&format!("t={account},")),
            Protocol::Nats => request.contains(&format!("\"user\":\"{account}\"")),
        }
    }

    /// Reads a rejection and returns its retry delay in milliseconds.
    fn retry_delay_ms(&self, client: &mut Peer) -> u64 {
        let answer = client.read_line().expect("an answer is received");
        let delay = match self.wire {
            Protocol::Platform => answer.strip_prefix("BUSY ").map(str::to_owned),
            Protocol::Nats => answer
                .split_once("try again in ")
                .map(|(_, rest)| rest.trim_end_matches([' ', '\'', 'm', 's']).to_owned()),
        };
        let delay_ms = delay
            .and_then(|delay| delay.parse().ok())
            .unwrap_or_else(|| panic!("answer has no retry delay: {answer}"));
        assert!((1..=2_000).contains(&delay_ms), "{answer}");
        client.expect_end();
        delay_ms
    }
}

fn number(object: &Value, field: &str) -> u64 {
    object[field]
        .as_u64()
        .unwrap_or_else(|| panic!("field {field} is missing from {object}"))
}

/// One account fills the queue first; the shares must still hold for later admissions, on both fronts.
#[test]
fn grants_each_account_its_share() {
    for wire in [Protocol::Platform, Protocol::Nats] {
        let site = Site::start(wire, "");
        // The whole burst of one account arrives first.
        let _acme = site.open_many("acme", 60);
        site.server.wait_for_setups(INITIAL_CONCURRENCY_LIMIT);
        let _bright = site.open_many("bright", 50);
        site.wait_for_queue_length(110 - INITIAL_CONCURRENCY_LIMIT);
        let requests = site.admit_in_turn(75);
        site.server.admit(usize::MAX);
        let acme = requests[INITIAL_CONCURRENCY_LIMIT..INITIAL_CONCURRENCY_LIMIT + 75]
            .iter()
            .filter(|request| site.is_request_of(request, "acme"))
            .count();
        // 58% of 75 is 43.5; two in a hundred are tolerated.
        assert!(
            (42..=45).contains(&acme),
            "{acme} of 75 admissions for a share of 58%"
        );
        site.server.wait_for_setups(110);
        let (acme, bright) = (site.account_state("acme"), site.account_state("bright"));
        assert_eq!(
            (number(&acme, "admitted"), number(&bright, "admitted")),
            (60, 50)
        );
        assert_eq!(
            (number(&acme, "refused"), number(&bright, "refused")),
            (0, 0)
        );
        assert!(
            number(&bright, "wait_p99_ms") > 0 && number(&acme, "lent") > 0,
            "{acme}"
        );
    }
}

/// A full queue rejects requests of the account that is over its share; requests of the other account keep waiting, also
/// through a reload that shrinks the queue.
#[test]
fn rejects_over_share_account_when_queue_full() {
    for wire in [Protocol::Platform, Protocol::Nats] {
        let mut site = Site::start(wire, "entries = 20");
        let _under_way = site.open_many("acme", INITIAL_CONCURRENCY_LIMIT);
        site.server.wait_for_setups(INITIAL_CONCURRENCY_LIMIT);
        let mut over_share = site.open_many("acme", 20);
        site.wait_for_queue_length(20);
        let mut under_share = site.open_many("bright", 5);
        // Five requests of the account over its share are rejected with a retry delay.
        let deadline = Instant::now() + TEST_TIMEOUT;
        while number(&site.account_state("acme"), "refused") < 5 {
            assert!(Instant::now() < deadline, "{}", site.admission_state());
        }
        assert_eq!(
            (
                number(&site.account_state("bright"), "waiting"),
                number(&site.account_state("bright"), "refused")
            ),
            (5, 0)
        );
        assert_eq!(number(&site.admission_state(), "waiting"), 20);
        // A client that disconnects while it waits leaves the queue at once.
        under_share.pop();
        site.wait_for_queue_length(19);
        assert_eq!(number(&site.account_state("bright"), "left"), 1);
        // A reload shrinks the queue: the account over its share loses requests, the other keeps waiting.
        let smaller = site
            .operator
            .replace("entries = 20", "entries = 10\nover_share_s = 1");
        std::fs::write(site.folder.path().join("operator.toml"), &smaller)
            .expect("file is written");
        site.program.signal("HUP");
        assert!(
            site.program
                .wait_for_log("configuration changes applied")
                .contains("admission")
        );
        site.wait_for_queue_length(10);
        assert_eq!(number(&site.account_state("bright"), "waiting"), 4);
        let refused = number(&site.account_state("acme"), "refused");
        assert_eq!(refused, 5 + 9);
        // Planned exit: each request that waits or is in progress receives one final answer.
        site.program.signal("TERM");
        for client in over_share.iter_mut().chain(&mut under_share) {
            assert!(
                !client
                    .read_line()
                    .expect("an answer is received")
                    .is_empty()
            );
            client.expect_end();
        }
        assert!(site.program.exits_cleanly());
    }
}

/// The retry delay must fit the time in which the queue drains, at most 2 s.
#[test]
fn rejection_carries_bounded_retry_delay() {
    let site = Site::start(Protocol::Platform, "entries = 10");
    let _under_way = site.open_many("acme", INITIAL_CONCURRENCY_LIMIT);
    site.server.wait_for_setups(INITIAL_CONCURRENCY_LIMIT);
    let mut clients = site.open_many("acme", 10);
    site.wait_for_queue_length(10);
    let mut newcomer = site.open("acme", "");
    // One request of the longest queue is rejected, which may be the newest one.
    let deadline = Instant::now() + TEST_TIMEOUT;
    while number(&site.account_state("acme"), "refused") == 0 {
        assert!(Instant::now() < deadline);
    }
    site.server.admit(usize::MAX);
    site.server.wait_for_setups(INITIAL_CONCURRENCY_LIMIT + 10);
    let mut rejections = Vec::new();
    clients.push(newcomer);
    for client in &mut clients {
        newcomer = Peer::new(client.stream.try_clone().expect("socket is open"));
        match newcomer
            .read_line()
            .expect("an answer is received")
            .as_str()
        {
            "UP r1" => {}
            other => rejections.push(other.to_owned()),
        }
    }
    assert_eq!(rejections.len(), 1);
    let delay_ms: u64 = rejections[0]
        .strip_prefix("BUSY ")
        .and_then(|delay| delay.parse().ok())
        .expect("a retry delay is given");
    assert!((1..=2_000).contains(&delay_ms));
}

/// No page tells first tries from repeats: who is refused and who comes first is the same whether or
/// not a client says that its connection was moved.
#[test]
fn client_that_returns_waits_like_any_other() {
    let outcome = |mark: &str| {
        let site = Site::start(Protocol::Platform, "entries = 20");
        let _under_way = site.open_many("acme", INITIAL_CONCURRENCY_LIMIT);
        site.server.wait_for_setups(INITIAL_CONCURRENCY_LIMIT);
        let mut clients = Vec::new();
        for length in 1..=20 {
            clients.push(site.open("acme", ""));
            site.wait_for_queue_length(length);
        }
        clients.push(site.open("acme", mark));
        let deadline = Instant::now() + TEST_TIMEOUT;
        while number(&site.account_state("acme"), "refused") == 0 {
            assert!(Instant::now() < deadline);
        }
        site.wait_for_queue_length(20);
        // The concurrency limit grows with the established connections: one finished request admits
        // two.
        site.server.admit(1);
        let requests = site.server.wait_for_setups(INITIAL_CONCURRENCY_LIMIT + 2);
        let mut first_admitted: Vec<String> = requests[INITIAL_CONCURRENCY_LIMIT..]
            .iter()
            .filter_map(|request| request.split(' ').nth(2).map(str::to_owned))
            .collect();
        first_admitted.sort();
        site.server.admit(usize::MAX);
        let is_served = |client: &mut Peer| client.read_line().expect("an answer") == "UP r1";
        let served: Vec<bool> = clients.iter_mut().map(is_served).collect();
        (first_admitted, served)
    };
    let unmarked = outcome("");
    assert_eq!(
        unmarked.1.iter().filter(|is_served| !**is_served).count(),
        1
    );
    assert_eq!(outcome(",again=1"), unmarked);
}

#[test]
fn rejects_queued_request_at_its_deadline() {
    let site = Site::start(Protocol::Platform, "");
    let _under_way = site.open_many("acme", INITIAL_CONCURRENCY_LIMIT);
    site.server.wait_for_setups(INITIAL_CONCURRENCY_LIMIT);
    let started_at = Instant::now();
    let mut client = Peer::connect(site.address);
    client.send("OPEN b1 k1 c=once,t=bright,d=700\r\n");
    site.wait_for_queue_length(1);
    site.retry_delay_ms(&mut client);
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_millis(1_200), "{elapsed:?}");
    assert_eq!(
        (
            number(&site.account_state("bright"), "given_up"),
            number(&site.admission_state(), "waiting")
        ),
        (1, 0)
    );
}

/// Without servers no queue builds up, and every rejection carries a retry delay.
#[test]
fn rejects_requests_when_no_server_is_listed() {
    let site = Site::with_listed_server(Protocol::Platform, "", false);
    let mut clients: Vec<Peer> = (0..50)
        .map(|number| {
            let mut client = Peer::connect(site.address);
            client.send(&format!(
                "OPEN c{number} k{number} c=once,t=acme,d=1500\r\n"
            ));
            client
        })
        .collect();
    clients
        .iter_mut()
        .for_each(|client| assert!(site.retry_delay_ms(client) > 0));
    let admission = site.admission_state();
    assert_eq!(
        (
            number(&admission, "waiting"),
            number(&admission["accounts"][0], "admitted")
        ),
        (0, 0),
        "{admission}"
    );
}

#[test]
fn reload_applies_new_account_shares() {
    let site = Site::start(Protocol::Platform, "");
    let _acme = site.open_many("acme", INITIAL_CONCURRENCY_LIMIT);
    site.server.wait_for_setups(INITIAL_CONCURRENCY_LIMIT);
    let config = site.config.replace("\"share\":0.58", "\"share\":0.10");
    std::fs::write(site.folder.path().join("config.json"), config).expect("file is written");
    site.program.signal("HUP");
    assert!(
        site.program
            .wait_for_log("configuration changes applied")
            .contains("shares")
    );
    let _waiting = (site.open_many("acme", 60), site.open_many("bright", 60));
    site.wait_for_queue_length(120);
    let requests = site.admit_in_turn(50);
    site.server.admit(usize::MAX);
    let acme = requests[INITIAL_CONCURRENCY_LIMIT..INITIAL_CONCURRENCY_LIMIT + 50]
        .iter()
        .filter(|request| site.is_request_of(request, "acme"))
        .count();
    assert!(
        (8..=12).contains(&acme),
        "{acme} of 50 admissions for shares of 10 to 42"
    );
    let due = site.account_state("acme")["due"]
        .as_f64()
        .expect("value is a number");
    assert!((due - 0.1 / 0.52).abs() < 0.01, "{due}");
}

#[test]
fn logs_account_that_stays_over_its_quota() {
    let site = Site::start(Protocol::Platform, "over_share_s = 1");
    site.server.admit(usize::MAX);
    // Eight of nine requests belong to one account until the quota warning is logged.
    let (address, is_done) = (site.address, AtomicBool::new(false));
    let line = std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut established = Vec::new();
            for number in 0.. {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                let account = if number % 9 == 0 { "acme" } else { "bright" };
                let mut client = Peer::connect(address);
                client.send(&format!(
                    "OPEN d{number} k{number} c=once,t={account},d=8500\r\n"
                ));
                client.expect_line("UP r1");
                established.push(client);
                std::thread::sleep(Duration::from_millis(40));
            }
        });
        let line = site.program.wait_for_log("account exceeds its quota");
        is_done.store(true, Ordering::Relaxed);
        line
    });
    assert!(
        line.contains("account=bright") && line.contains("due=42%"),
        "{line}"
    );
}
