//! What a flood of one account costs another's set-ups on a real front, in pairs in one run: a quiet account alone, then
//! beside clients that come back at once, and so on in turn. `cargo bench -p beaconflow-cli --bench floods`

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use support::gated_server::{GatedServer, Protocol};
use support::nats::start_redis;
use support::{
    ADMIN_TOKEN, Api, Discovery, Peer, Program, SETTINGS, endpoint_list, reserve_address,
};

/// Turns of each kind, and how long one lasts.
const TURNS: usize = 4;
const TURN: Duration = Duration::from_secs(10);
/// Clients that come back at once, on each front, a round trip of [`ROUND`] after each answer. A NATS client's password
/// is hashed at each opening, which bounds the openings that front takes in a second; its quiet account asks for less.
const LOUD: [usize; 2] = [200, 50];
const ROUND: Duration = Duration::from_millis(25);
const QUIET_PER_S: [f64; 2] = [40.0, 4.0];
/// Mean of the exponential time that a server takes for a set-up.
const SET_UP: Duration = Duration::from_millis(60);

fn main() {
    // Cargo also starts benchmarks as tests; this one takes too long for that.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    // Both fronts, or the one that is named behind `--`.
    let named = |front: &str| std::env::args().any(|word| word == front);
    for (wire, place, front) in [
        (Protocol::Platform, 0, "platform"),
        (Protocol::Nats, 1, "nats"),
    ] {
        if named(front) || !named("platform") && !named("nats") {
            measure(wire, place, front);
        }
    }
}

fn measure(wire: Protocol, place: usize, front: &str) {
    let (at, admin, discovery, redis) = (
        reserve_address(),
        reserve_address(),
        Discovery::start(),
        start_redis(),
    );
    let servers: Vec<(String, GatedServer)> = (0..4)
        .map(|number| {
            (
                format!("s{number}"),
                GatedServer::start_with_random_delay(wire, SET_UP, number),
            )
        })
        .collect();
    let rows: Vec<(&str, SocketAddr, &str)> = servers
        .iter()
        .map(|(name, server)| (name.as_str(), server.address, "SERVING"))
        .collect();
    let settings = SETTINGS
        .replace("400000000,", "4000000000,")
        .replace("3000000000", "9000000000")
        .replace(
            "\"lanes\"",
            r#""projects":[{"name":"acme","share":0.58},{"name":"bright","share":0.42}],"lanes""#,
        );
    let folder = tempfile::tempdir().expect("a folder for temporary files");
    let path = |name: &str| folder.path().join(name).to_str().expect("text").to_owned();
    let (operator, config) = (path("operator.toml"), path("config.json"));
    let known = endpoint_list(1, true, &rows);
    std::fs::write(
        &config,
        support::platform_config(at, discovery.address, &known, &settings, 4_096),
    )
    .expect("room");
    let mut text = format!(
        "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[admission]\nentries = 100\n"
    );
    if wire == Protocol::Nats {
        let settings: serde_json::Value =
            serde_json::from_str(&settings.replace('\n', " ")).expect("JSON");
        let listed: Vec<String> = rows
            .iter()
            .map(|(name, address, _)| format!("{{ name = \"{name}\", address = \"{address}\" }}"))
            .collect();
        text = format!(
            "name = \"front\"\nlisten = \"{at}\"\nsockets = 4096\nstore = {{ url = \"redis://{}/\" }}\n\
             farm = {{ servers = [{}] }}\n{text}\n{}",
            redis.address,
            listed.join(", "),
            toml::to_string(&serde_json::json!({ "settings": settings })).expect("TOML")
        );
    }
    std::fs::write(&operator, text).expect("room");
    let env = [("LB_CONFIG", config.as_str())];
    let program = Program::start(
        &["--operator", &operator],
        if wire == Protocol::Platform {
            &env
        } else {
            &[]
        },
    );
    program.wait_for_log("administration API serves");
    let api = Api {
        address: admin,
        token: ADMIN_TOKEN,
    };
    if wire == Protocol::Nats {
        for (name, share) in [("acme", 58.0), ("bright", 42.0)] {
            let body = format!(
                r#"{{"name":"{name}","password":"a password of some length","class":"chat","connections":500,
                    "share":{share},"upstream":{{"user":"{name}","password":"up-secret"}}}}"#
            );
            assert_eq!(api.call("POST", "/v1/tenants", &body).status, 201);
        }
    }
    let mut took: [Histogram<u64>; 2] = [(); 2].map(|()| Histogram::new(3).expect("three digits"));
    let counts = [AtomicU64::new(0), AtomicU64::new(0)];
    let mut refused = [0; 2];
    for turn in 0..2 * TURNS {
        let flooded = turn % 2 == 1;
        let (done, quiet) = (AtomicBool::new(false), std::sync::Mutex::new(Vec::new()));
        std::thread::scope(|scope| {
            for _ in 0..if flooded { LOUD[place] } else { 0 } {
                scope.spawn(|| {
                    while !done.load(Ordering::Relaxed) {
                        let served = opens(wire, at, "acme").is_some();
                        counts[usize::from(served)].fetch_add(1, Ordering::Relaxed);
                        std::thread::sleep(ROUND);
                    }
                });
            }
            let began = Instant::now();
            // Before the first quiet client the flood has reached its full height.
            std::thread::sleep(Duration::from_secs(1));
            let mut at_s = 1.0;
            while began.elapsed() < TURN {
                at_s += 1.0 / QUIET_PER_S[place];
                std::thread::sleep(Duration::from_secs_f64(at_s).saturating_sub(began.elapsed()));
                let quiet = &quiet;
                scope.spawn(move || {
                    let span = opens(wire, at, "bright");
                    quiet.lock().expect("sound").push(span);
                });
            }
            done.store(true, Ordering::Relaxed);
        });
        for span in quiet.into_inner().expect("sound") {
            match span {
                Some(span) => took[usize::from(flooded)]
                    .record(span.as_micros() as u64)
                    .expect("it grows"),
                None => refused[usize::from(flooded)] += 1,
            }
        }
    }
    for ((name, took), refused) in ["without", "with"].iter().zip(&took).zip(refused) {
        let at = |quantile| took.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{front}: quiet set-ups {name} the flood: {} of them, {refused} refused, p50 {:.1} ms, p90 {:.1} ms, p99 {:.1} ms",
            took.len(),
            at(0.5),
            at(0.9),
            at(0.99)
        );
    }
    println!(
        "{front}: the flood was served {} times and refused {} times",
        counts[1].load(Ordering::Relaxed),
        counts[0].load(Ordering::Relaxed)
    );
}

/// A client opens, and ends its connection once it stands; gives how long that took, and nothing if it was refused.
fn opens(wire: Protocol, at: SocketAddr, account: &str) -> Option<Duration> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let began = Instant::now();
    let mut client = match wire {
        Protocol::Platform => {
            let mut client = Peer::connect(at);
            client.send(&format!(
                "OPEN a{number} k{number} c=chat,t={account},d=8500\r\n"
            ));
            client
        }
        Protocol::Nats => support::nats::connect_client(
            at,
            &format!("n{number}"),
            account,
            "a password of some length",
        ),
    };
    let answer = client.read_line()?;
    (answer == "UP r1" || answer == "PONG").then(|| began.elapsed())
}
