//! Effect of a flood by one account on the connection setup latency of another, on a real front. Rounds alternate between
//! a quiet account alone, and the same beside clients that reconnect at once. Run with
//! `cargo bench -p beaconflow-cli --bench floods`.

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

/// Number of rounds with and of rounds without the flood, and the duration of each.
const ROUNDS_PER_KIND: usize = 4;
const ROUND_DURATION: Duration = Duration::from_secs(10);
/// Flooding clients on each front. Each one reconnects a round trip of [`RECONNECT_DELAY`] after each answer. A NATS
/// client's password is hashed at each connection, which bounds that front's rate of connections; its quiet account
/// therefore connects less often.
const FLOOD_CLIENTS: [usize; 2] = [200, 50];
const RECONNECT_DELAY: Duration = Duration::from_millis(25);
const QUIET_CLIENTS_PER_S: [f64; 2] = [40.0, 4.0];
/// Mean of the exponentially distributed time that a server takes for a connection setup.
const MEAN_SETUP_TIME: Duration = Duration::from_millis(60);

fn main() {
    // Cargo also runs benchmarks as tests; this one takes too long for that.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    // Both fronts, or the one that is named after `--`.
    let named = |front: &str| std::env::args().any(|arg| arg == front);
    for (wire, index, front) in [
        (Protocol::Platform, 0, "platform"),
        (Protocol::Nats, 1, "nats"),
    ] {
        if named(front) || !named("platform") && !named("nats") {
            measure(wire, index, front);
        }
    }
}

fn measure(wire: Protocol, index: usize, front: &str) {
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
                GatedServer::start_with_random_delay(wire, MEAN_SETUP_TIME, number),
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
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let path = |name: &str| {
        folder
            .path()
            .join(name)
            .to_str()
            .expect("path is UTF-8")
            .to_owned()
    };
    let (operator, config) = (path("operator.toml"), path("config.json"));
    let known = endpoint_list(1, true, &rows);
    std::fs::write(
        &config,
        support::platform_config(at, discovery.address, &known, &settings, 4_096),
    )
    .expect("write the file");
    let mut operator_text = format!(
        "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[admission]\nentries = 100\n"
    );
    if wire == Protocol::Nats {
        let settings: serde_json::Value =
            serde_json::from_str(&settings.replace('\n', " ")).expect("settings are JSON");
        let listed: Vec<String> = rows
            .iter()
            .map(|(name, address, _)| format!("{{ name = \"{name}\", address = \"{address}\" }}"))
            .collect();
        operator_text = format!(
            "name = \"front\"\nlisten = \"{at}\"\nsockets = 4096\nstore = {{ url = \"redis://{}/\" }}\n\
             farm = {{ servers = [{}] }}\n{operator_text}\n{}",
            redis.address,
            listed.join(", "),
            toml::to_string(&serde_json::json!({ "settings": settings }))
                .expect("settings can be written as TOML")
        );
    }
    std::fs::write(&operator, operator_text).expect("write the file");
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
    let mut latencies: [Histogram<u64>; 2] =
        [(); 2].map(|()| Histogram::new(3).expect("valid histogram precision"));
    let counts = [AtomicU64::new(0), AtomicU64::new(0)];
    let mut refused = [0; 2];
    for round in 0..2 * ROUNDS_PER_KIND {
        let is_flooded = round % 2 == 1;
        let (done, quiet) = (AtomicBool::new(false), std::sync::Mutex::new(Vec::new()));
        std::thread::scope(|scope| {
            for _ in 0..if is_flooded { FLOOD_CLIENTS[index] } else { 0 } {
                scope.spawn(|| {
                    while !done.load(Ordering::Relaxed) {
                        let served = open_connection(wire, at, "acme").is_some();
                        counts[usize::from(served)].fetch_add(1, Ordering::Relaxed);
                        std::thread::sleep(RECONNECT_DELAY);
                    }
                });
            }
            let started_at = Instant::now();
            // The flood reaches its full rate before the first quiet client connects.
            std::thread::sleep(Duration::from_secs(1));
            let mut at_s = 1.0;
            while started_at.elapsed() < ROUND_DURATION {
                at_s += 1.0 / QUIET_CLIENTS_PER_S[index];
                std::thread::sleep(
                    Duration::from_secs_f64(at_s).saturating_sub(started_at.elapsed()),
                );
                let quiet = &quiet;
                scope.spawn(move || {
                    let latency = open_connection(wire, at, "bright");
                    quiet.lock().expect("lock is not poisoned").push(latency);
                });
            }
            done.store(true, Ordering::Relaxed);
        });
        for latency in quiet.into_inner().expect("lock is not poisoned") {
            match latency {
                Some(latency) => latencies[usize::from(is_flooded)]
                    .record(latency.as_micros() as u64)
                    .expect("latency within the histogram's range"),
                None => refused[usize::from(is_flooded)] += 1,
            }
        }
    }
    for ((name, latencies), refused) in ["without", "with"].iter().zip(&latencies).zip(refused) {
        let at = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{front}: quiet setups {name} the flood: {} completed, {refused} rejected, p50 {:.1} ms, p90 {:.1} ms, p99 {:.1} ms",
            latencies.len(),
            at(0.5),
            at(0.9),
            at(0.99)
        );
    }
    println!(
        "{front}: flood connections: {} served, {} rejected",
        counts[1].load(Ordering::Relaxed),
        counts[0].load(Ordering::Relaxed)
    );
}

/// Opens a connection and closes it once it is established. Returns the setup latency, or `None` if it was rejected.
fn open_connection(wire: Protocol, at: SocketAddr, account: &str) -> Option<Duration> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let started_at = Instant::now();
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
    (answer == "UP r1" || answer == "PONG").then(|| started_at.elapsed())
}
