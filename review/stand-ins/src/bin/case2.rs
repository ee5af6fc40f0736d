//! Case 2: clients of one tenant announce a value of 60 MB right behind CONNECT; then another tenant's clients come.

use std::time::{Duration, Instant};

use review_stand_ins::*;

/// Bad connections, and the time between two of them.
const BAD_CLIENTS: usize = 60;
const BAD_INTERVAL: Duration = Duration::from_millis(10);
/// The other tenant's clients after them, and the time between two of them.
const GOOD_CLIENTS: usize = 20;
const GOOD_INTERVAL: Duration = Duration::from_millis(400);
/// The class's hard limit, the half second after it, and the 50 ms of the rules on sockets.
const ANSWER_WITHIN: Duration = Duration::from_millis(4_800 + 500 + 50);

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let stage = Stage::open("2", Duration::from_secs(115));
    let record = stage.record.clone();
    let servers = [
        NatsServer::start("nats-1", &record),
        NatsServer::start("nats-2", &record),
    ];
    let redis = Redis::start();
    let (listen, admin) = (free_address(), free_address());
    let file = stage.write_file(
        "nats.toml",
        &nats_file((listen, admin, redis.address), &servers, &stage.folder),
    );
    stage.start_program("front", &format!("--operator {file}"), &[]);
    if !stage.wait_for_log("front", "serves front=nats")
        || !stage.wait_for_log("front", "administration API serves")
    {
        return stage.close(Verdict::CouldNotRun, "the front did not start");
    }
    for name in ["acme", "rude"] {
        let status = call_api(
            admin,
            "POST",
            "/v1/tenants",
            &tenant(name, "telemetry", 500),
        );
        record.line(format!("administration: tenant {name} made, {status}"));
        if status != 201 {
            return stage.close(Verdict::CouldNotRun, "a tenant could not be made");
        }
    }
    let sessions = || {
        servers
            .iter()
            .map(|server| server.sessions.load(std::sync::atomic::Ordering::Relaxed))
            .sum::<usize>()
    };
    let mut open = Vec::new();
    for number in 0..5 {
        let name = format!("acme-before-{number}");
        let (answer, took, stream) =
            nats_client(listen, ("acme", &name, PASSWORD), "", ANSWER_WITHIN);
        record.line(format!("{name}: {answer:?} after {} ms", took.as_millis()));
        if answer != Answer::Served {
            return stage.close(
                Verdict::CouldNotRun,
                "the front did not serve before the disruption",
            );
        }
        open.push(stream);
    }
    // What the bad clients send behind CONNECT and PING; without the disruption an ordinary message.
    let more = if has_trouble() {
        "PUB readings 62914560\r\nxxxxxxxxxxxxxxxx"
    } else {
        "PUB readings 16\r\nxxxxxxxxxxxxxxxx\r\n"
    };
    let bad_clients: Vec<_> = (0..BAD_CLIENTS)
        .map(|number| {
            std::thread::sleep(BAD_INTERVAL);
            let record = record.clone();
            std::thread::spawn(move || {
                let name = format!("rude-{number}");
                let (answer, took, _) =
                    nats_client(listen, ("rude", &name, PASSWORD), more, ANSWER_WITHIN);
                record.line(format!(
                    "{name}: sent CONNECT, PING, {:?}: {answer:?} after {} ms",
                    more.lines().next().unwrap_or_default(),
                    took.as_millis()
                ));
            })
        })
        .collect();
    for client in bad_clients {
        let _ = client.join();
    }
    record.line("the clients of rude are gone; nothing more comes for 8 s, longer than any of their deadlines");
    std::thread::sleep(Duration::from_secs(8));
    let sessions_before = sessions();
    let begun_at = Instant::now();
    let clients: Vec<_> = (0..GOOD_CLIENTS)
        .map(|number| {
            let record = record.clone();
            let until = begun_at + GOOD_INTERVAL * u32::try_from(number).unwrap_or(0);
            std::thread::spawn(move || {
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
                let name = format!("acme-after-{number}");
                let (answer, took, stream) =
                    nats_client(listen, ("acme", &name, PASSWORD), "", ANSWER_WITHIN);
                record.line(format!("{name}: {answer:?} after {} ms", took.as_millis()));
                (answer, stream)
            })
        })
        .collect();
    let answers: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let served = answers
        .iter()
        .filter(|(answer, _)| *answer == Answer::Served)
        .count();
    let attempts = sessions() - sessions_before;
    // Both servers answer whoever comes to them directly.
    let are_servers_well = servers.iter().all(|server| {
        nats_client(
            server.address,
            ("up", "direct", "up-secret"),
            "",
            Duration::from_secs(1),
        )
        .0 == Answer::Served
    });
    record.line(format!("of {GOOD_CLIENTS} clients of acme {served} were served, with {attempts} attempts; the servers answer: {are_servers_well}"));
    if !are_servers_well || answers.len() < GOOD_CLIENTS {
        return stage.close(Verdict::CouldNotRun, "the servers or clients did not work");
    }
    if served == 0 && attempts == 0 {
        return stage.close(Verdict::Broken, "no client of acme was served, and no attempt was made, after the clients of rude had gone");
    }
    if served < GOOD_CLIENTS {
        return stage.close(Verdict::Broken, &format!("only {served} of {GOOD_CLIENTS} clients of acme were served after the clients of rude had gone"));
    }
    stage.close(Verdict::Held, "all clients of acme were served")
}
