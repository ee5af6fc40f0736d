//! Stories of admission: who waits at the door of a running program, whose turn it is, and who is asked to come again.

mod support;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
use support::gated_server::{GatedServer, Protocol};
use support::nats::{Redis, start_redis};
use support::*;

/// Set-ups that the module lets be under way at the start.
const WINDOW: usize = 12;
const PASSWORD: &str = "an account's password";

/// A program whose servers hold every set-up, on one of the fronts.
struct Site {
    program: Program,
    at: std::net::SocketAddr,
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
    /// Accounts `acme` and `bright` with shares of 58 to 42.
    fn start(wire: Protocol, admission: &str) -> Site {
        Site::with_servers(wire, admission, true)
    }

    fn with_servers(wire: Protocol, admission: &str, any: bool) -> Site {
        let (at, admin, discovery, redis) = (
            reserve_address(),
            reserve_address(),
            Discovery::start(),
            start_redis(),
        );
        let server = GatedServer::start(wire);
        let folder = tempfile::tempdir().expect("a folder for temporary files");
        // Long enough that no set-up ends by itself within a story.
        let settings =
            SETTINGS.replace("400000000,", "8000000000,").replace("3000000000", "9000000000").replace(
                "\"lanes\"",
                r#""projects":[{"name":"acme","share":0.58},{"name":"bright","share":0.42}],"lanes""#,
            );
        let rows = [("s0", server.address, "SERVING")];
        let known = endpoint_list(1, true, if any { &rows } else { &[] });
        let mut operator = format!(
            "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[admission]\n{admission}\n"
        );
        let config = support::platform_config(at, discovery.address, &known, &settings, 1_024);
        if wire == Protocol::Nats {
            let settings: Value = serde_json::from_str(&settings.replace('\n', " ")).expect("JSON");
            let servers = format!("[{{ name = \"s0\", address = \"{}\" }}]", server.address);
            operator = format!(
                "name = \"front\"\nlisten = \"{at}\"\nsockets = 1024\nwire = {{ connect_wait_ms = 5000 }}\n\
                 store = {{ url = \"redis://{}/\" }}\nfarm = {{ servers = {servers} }}\n{operator}\n{}",
                redis.address,
                toml::to_string(&serde_json::json!({ "settings": settings })).expect("TOML")
            );
        }
        let path = |name: &str| folder.path().join(name).to_str().expect("text").to_owned();
        let (operator_path, config_path) = (path("operator.toml"), path("config.json"));
        std::fs::write(&operator_path, &operator).expect("room");
        std::fs::write(&config_path, &config).expect("room");
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
            at,
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

    /// A client that has asked; each has a name of its own.
    fn open(&self, account: &str, extra: &str) -> Peer {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        match self.wire {
            Protocol::Platform => {
                let mut client = Peer::connect(self.at);
                client.send(&format!(
                    "OPEN a{number} k{number} c=once,t={account},d=8500{extra}\r\n"
                ));
                client
            }
            Protocol::Nats => {
                support::nats::connect_client(self.at, &format!("n{number}"), account, PASSWORD)
            }
        }
    }

    fn opens(&self, account: &str, count: usize) -> Vec<Peer> {
        (0..count).map(|_| self.open(account, "")).collect()
    }

    fn admission(&self) -> Value {
        let answer = self.api.call("GET", "/v1/admission", "");
        assert_eq!(answer.status, 200);
        answer.body["fronts"][0].clone()
    }

    /// Waits until so many wait at the door.
    fn waiting(&self, count: usize) {
        let until = Instant::now() + TEST_TIMEOUT;
        while self.admission()["waiting"] != count {
            assert!(
                Instant::now() < until,
                "not {count} wait: {}",
                self.admission()
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn account(&self, name: &str) -> Value {
        let door = self.admission();
        let rows = door["accounts"].as_array().expect("a list");
        rows.iter()
            .find(|row| row["account"] == name)
            .unwrap_or_else(|| panic!("no {name}: {door}"))
            .clone()
    }

    /// Gives turns one after the other, as set-ups end; gives the first words of all set-ups. Guards against passes that
    /// are made at once and overtake each other on their way.
    fn turns(&self, count: usize) -> Vec<String> {
        for turn in 1..=count {
            self.server.admit(1);
            self.server.wait_for_setups(WINDOW + turn);
        }
        self.server.wait_for_setups(WINDOW + count)
    }

    /// Whether a set-up, by its first words at the server, is an account's.
    fn is_of(&self, words: &str, account: &str) -> bool {
        match self.wire {
            Protocol::Platform => words.contains(&format!("t={account},")),
            Protocol::Nats => words.contains(&format!("\"user\":\"{account}\"")),
        }
    }

    /// The time to come back that a refusal tells.
    fn told(&self, client: &mut Peer) -> u64 {
        let answer = client.read_line().expect("an answer");
        let words = match self.wire {
            Protocol::Platform => answer.strip_prefix("BUSY ").map(str::to_owned),
            Protocol::Nats => answer
                .split_once("try again in ")
                .map(|(_, rest)| rest.trim_end_matches([' ', '\'', 'm', 's']).to_owned()),
        };
        let told = words
            .and_then(|words| words.parse().ok())
            .unwrap_or_else(|| panic!("no time: {answer}"));
        assert!((1..=2_000).contains(&told), "{answer}");
        client.expect_end();
        told
    }
}

fn number(of: &Value, field: &str) -> u64 {
    of[field]
        .as_u64()
        .unwrap_or_else(|| panic!("no {field} in {of}"))
}

#[test]
fn each_account_has_its_share_of_the_turns_on_both_fronts() {
    for wire in [Protocol::Platform, Protocol::Nats] {
        let site = Site::start(wire, "");
        // One account's burst comes first, whole.
        let _acme = site.opens("acme", 60);
        site.server.wait_for_setups(WINDOW);
        let _bright = site.opens("bright", 50);
        site.waiting(110 - WINDOW);
        let turns = site.turns(75);
        site.server.admit(usize::MAX);
        let acme = turns[WINDOW..WINDOW + 75]
            .iter()
            .filter(|words| site.is_of(words, "acme"))
            .count();
        // 43.5 and two in a hundred.
        assert!(
            (42..=45).contains(&acme),
            "{acme} of 75 turns for a share of 58%"
        );
        site.server.wait_for_setups(110);
        let (acme, bright) = (site.account("acme"), site.account("bright"));
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

#[test]
fn a_full_door_turns_the_loud_away_and_keeps_who_waits_through_a_reload_on_both_fronts() {
    for wire in [Protocol::Platform, Protocol::Nats] {
        let mut site = Site::start(wire, "entries = 20");
        let _under_way = site.opens("acme", WINDOW);
        site.server.wait_for_setups(WINDOW);
        let mut loud = site.opens("acme", 20);
        site.waiting(20);
        let mut quiet = site.opens("bright", 5);
        // Five of the loud account give way, and are told when to come again.
        let until = Instant::now() + TEST_TIMEOUT;
        while number(&site.account("acme"), "refused") < 5 {
            assert!(Instant::now() < until, "{}", site.admission());
        }
        assert_eq!(
            (
                number(&site.account("bright"), "waiting"),
                number(&site.account("bright"), "refused")
            ),
            (5, 0)
        );
        assert_eq!(number(&site.admission(), "waiting"), 20);
        // One that leaves while it waits is gone at once.
        quiet.pop();
        site.waiting(19);
        assert_eq!(number(&site.account("bright"), "left"), 1);
        // A reload that shrinks the bounds: the loud give way again, the others wait on.
        let smaller = site
            .operator
            .replace("entries = 20", "entries = 10\nover_share_s = 1");
        std::fs::write(site.folder.path().join("operator.toml"), &smaller).expect("room");
        site.program.signal("HUP");
        assert!(
            site.program
                .wait_for_log("taken over")
                .contains("admission")
        );
        site.waiting(10);
        assert_eq!(number(&site.account("bright"), "waiting"), 4);
        let refused = number(&site.account("acme"), "refused");
        assert_eq!(refused, 5 + 9);
        // A planned end: each that waits or is under way gets its one final answer.
        site.program.signal("TERM");
        for client in loud.iter_mut().chain(&mut quiet) {
            assert!(!client.read_line().expect("an answer").is_empty());
            client.expect_end();
        }
        assert!(site.program.exits_cleanly());
    }
}

#[test]
fn a_refusal_tells_a_time_that_its_line_drains_in() {
    let site = Site::start(Protocol::Platform, "entries = 10");
    let _under_way = site.opens("acme", WINDOW);
    site.server.wait_for_setups(WINDOW);
    let mut waiting = site.opens("acme", 10);
    site.waiting(10);
    let mut newcomer = site.open("acme", "");
    // Somebody of the longest queue gave way, which may be the newcomer.
    let until = Instant::now() + TEST_TIMEOUT;
    while number(&site.account("acme"), "refused") == 0 {
        assert!(Instant::now() < until);
    }
    site.server.admit(usize::MAX);
    site.server.wait_for_setups(WINDOW + 10);
    let mut told = Vec::new();
    waiting.push(newcomer);
    for client in &mut waiting {
        newcomer = Peer::new(client.stream.try_clone().expect("open"));
        match newcomer.read_line().expect("an answer").as_str() {
            "UP r1" => {}
            other => told.push(other.to_owned()),
        }
    }
    assert_eq!(told.len(), 1);
    let told: u64 = told[0]
        .strip_prefix("BUSY ")
        .and_then(|words| words.parse().ok())
        .expect("a time");
    assert!((1..=2_000).contains(&told));
}

#[test]
fn a_client_that_returns_after_a_move_is_not_refused_behind_a_flood() {
    let site = Site::start(Protocol::Platform, "entries = 20");
    let _under_way = site.opens("acme", WINDOW);
    site.server.wait_for_setups(WINDOW);
    let _flood = site.opens("acme", 20);
    site.waiting(20);
    let mut back = site.open("acme", ",again=1");
    let until = Instant::now() + TEST_TIMEOUT;
    while number(&site.account("acme"), "refused") == 0 {
        assert!(Instant::now() < until);
    }
    site.waiting(20);
    // Of the first two turns one is its own. The window grows with what stands: one set-up that ends makes two turns.
    site.server.admit(1);
    let turns = site.server.wait_for_setups(WINDOW + 2);
    assert!(
        turns[WINDOW..]
            .iter()
            .any(|words| words.contains("again=1")),
        "{turns:?}"
    );
    site.server.admit(usize::MAX);
    back.expect_line("UP r1");
}

#[test]
fn one_whose_time_is_up_while_it_waits_is_answered_at_once() {
    let site = Site::start(Protocol::Platform, "");
    let _under_way = site.opens("acme", WINDOW);
    site.server.wait_for_setups(WINDOW);
    let began = Instant::now();
    let mut client = Peer::connect(site.at);
    client.send("OPEN b1 k1 c=once,t=bright,d=700\r\n");
    site.waiting(1);
    site.told(&mut client);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(1_200), "{took:?}");
    assert_eq!(
        (
            number(&site.account("bright"), "given_up"),
            number(&site.admission(), "waiting")
        ),
        (1, 0)
    );
}

#[test]
fn without_servers_no_line_grows_and_each_is_told_when_to_come_again() {
    let site = Site::with_servers(Protocol::Platform, "", false);
    let mut clients: Vec<Peer> = (0..50)
        .map(|number| {
            let mut client = Peer::connect(site.at);
            client.send(&format!(
                "OPEN c{number} k{number} c=once,t=acme,d=1500\r\n"
            ));
            client
        })
        .collect();
    clients
        .iter_mut()
        .for_each(|client| assert!(site.told(client) > 0));
    let door = site.admission();
    assert_eq!(
        (
            number(&door, "waiting"),
            number(&door["accounts"][0], "admitted")
        ),
        (0, 0),
        "{door}"
    );
}

#[test]
fn shares_of_the_platforms_file_are_taken_over_by_a_reload() {
    let site = Site::start(Protocol::Platform, "");
    let _acme = site.opens("acme", WINDOW);
    site.server.wait_for_setups(WINDOW);
    let config = site.config.replace("\"share\":0.58", "\"share\":0.10");
    std::fs::write(site.folder.path().join("config.json"), config).expect("room");
    site.program.signal("HUP");
    assert!(site.program.wait_for_log("taken over").contains("shares"));
    let _waiting = (site.opens("acme", 60), site.opens("bright", 60));
    site.waiting(120);
    let turns = site.turns(50);
    site.server.admit(usize::MAX);
    let acme = turns[WINDOW..WINDOW + 50]
        .iter()
        .filter(|words| site.is_of(words, "acme"))
        .count();
    assert!((8..=12).contains(&acme), "{acme} of 50 turns for 10 to 42");
    let due = site.account("acme")["due"].as_f64().expect("a number");
    assert!((due - 0.1 / 0.52).abs() < 0.01, "{due}");
}

#[test]
fn an_account_that_is_over_its_share_for_long_is_told_of() {
    let site = Site::start(Protocol::Platform, "over_share_s = 1");
    site.server.admit(usize::MAX);
    // Eight of nine turns are one account's, until that is told of.
    let (at, done) = (site.at, AtomicBool::new(false));
    let line = std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut standing = Vec::new();
            for number in 0.. {
                if done.load(Ordering::Relaxed) {
                    return;
                }
                let account = if number % 9 == 0 { "acme" } else { "bright" };
                let mut client = Peer::connect(at);
                client.send(&format!(
                    "OPEN d{number} k{number} c=once,t={account},d=8500\r\n"
                ));
                client.expect_line("UP r1");
                standing.push(client);
                std::thread::sleep(Duration::from_millis(40));
            }
        });
        let line = site.program.wait_for_log("account over its quota");
        done.store(true, Ordering::Relaxed);
        line
    });
    assert!(
        line.contains("account=bright") && line.contains("due=42%"),
        "{line}"
    );
}
