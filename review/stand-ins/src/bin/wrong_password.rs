//! Not a case: clients with a wrong password come again as soon as they are turned away; another tenant's clients come for
//! the first time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_stand_ins::*;

const BAD_CLIENTS: usize = 300;
const TENANTS: usize = 20;
const ANSWER_WITHIN: Duration = Duration::from_millis(3_000 + 500 + 50);

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let stage = Stage::open("wrong-password", Duration::from_secs(115));
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
    if !stage.wait_for_log("front", "administration API serves") {
        return stage.close(Verdict::CouldNotRun, "the front did not start");
    }
    for number in 0..TENANTS {
        call_api(
            admin,
            "POST",
            "/v1/tenants",
            &tenant(&format!("tenant-{number}"), "upkeep", 100),
        );
    }
    call_api(
        admin,
        "POST",
        "/v1/tenants",
        &tenant("rude", "upkeep", 1000),
    );
    let (is_over, turned_away) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let bad: Vec<_> = (0..if has_trouble() { BAD_CLIENTS } else { 0 })
        .map(|_| {
            let (is_over, turned_away) = (Arc::clone(&is_over), Arc::clone(&turned_away));
            std::thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let (answer, ..) = nats_client(
                        listen,
                        ("rude", "x", "a wrong password"),
                        "",
                        Duration::from_secs(20),
                    );
                    turned_away.fetch_add(
                        usize::from(matches!(answer, Answer::Refused(_))),
                        Ordering::SeqCst,
                    );
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(3));
    let begun_at = Instant::now();
    let clients: Vec<_> = (0..TENANTS)
        .map(|number| {
            let record = record.clone();
            let until = begun_at + Duration::from_millis(500) * u32::try_from(number).unwrap_or(0);
            std::thread::spawn(move || {
                sleep(until.saturating_duration_since(Instant::now()));
                let name = format!("tenant-{number}");
                let (answer, took, stream) =
                    nats_client(listen, (&name, "first", PASSWORD), "", ANSWER_WITHIN);
                record.line(format!("{name}: {answer:?} after {} ms", took.as_millis()));
                (answer, stream)
            })
        })
        .collect();
    let answers: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    is_over.store(true, Ordering::SeqCst);
    let lost = answers
        .iter()
        .filter(|(answer, _)| matches!(answer, Answer::Nothing | Answer::Ended))
        .count();
    record.line(format!(
        "{} turned away",
        turned_away.load(Ordering::SeqCst)
    ));
    let code = if lost > 0 {
        stage.close(
            Verdict::Broken,
            &format!("{lost} of {TENANTS} clients of other tenants had no answer in time"),
        )
    } else {
        stage.close(Verdict::Held, "every client had its answer in time")
    };
    drop(bad);
    code
}
