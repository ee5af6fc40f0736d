//! Not a case: the shared store answers each call after a quarter of a second; clients of forty known tenants come at
//! seventeen a second.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use review_stand_ins::*;

const TENANTS: usize = 40;
/// New clients a second, and for how long they come.
const CLIENTS_PER_S: u32 = 17;
const CLIENTS: u32 = CLIENTS_PER_S * 15;
/// How long the store takes for an answer.
const STORE_DELAY_MS: u64 = 250;
/// The class's hard limit, the half second after it, and the 50 ms of the rules on sockets.
const ANSWER_WITHIN: Duration = Duration::from_millis(3_000 + 500 + 50);

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let stage = Stage::open("slow-store", Duration::from_secs(115));
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
    for number in 0..TENANTS {
        if call_api(
            admin,
            "POST",
            "/v1/tenants",
            &tenant(&format!("tenant-{number}"), "upkeep", 100),
        ) != 201
        {
            return stage.close(Verdict::CouldNotRun, "a tenant could not be made");
        }
    }
    record.line(format!("administration: {TENANTS} tenants made"));
    let mut open = Vec::new();
    for number in 0..TENANTS {
        let name = format!("tenant-{number}");
        let (answer, took, stream) =
            nats_client(listen, (&name, "before", PASSWORD), "", ANSWER_WITHIN);
        record.line(format!(
            "{name}, first client: {answer:?} after {} ms",
            took.as_millis()
        ));
        if answer != Answer::Served {
            return stage.close(
                Verdict::CouldNotRun,
                "the front did not serve before the disruption",
            );
        }
        open.push(stream);
    }
    let calls_before = redis.calls.load(Ordering::Relaxed);
    if has_trouble() {
        record.line(format!(
            "store: every answer takes {STORE_DELAY_MS} ms from now on"
        ));
        redis.delay_ms.store(STORE_DELAY_MS, Ordering::Relaxed);
    }
    let begun_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            let until = begun_at + Duration::from_secs(1) * number / CLIENTS_PER_S;
            std::thread::spawn(move || {
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
                let (tenant, name) = (
                    format!("tenant-{}", number as usize % TENANTS),
                    format!("client-{number}"),
                );
                let (answer, took, stream) =
                    nats_client(listen, (&tenant, &name, PASSWORD), "", ANSWER_WITHIN);
                record.line(format!(
                    "{name} of {tenant}: {answer:?} {} ms after its CONNECT",
                    took.as_millis()
                ));
                // One that had no answer gives up here; the others stay.
                (answer.clone(), stream.filter(|_| answer == Answer::Served))
            })
        })
        .collect();
    let answers: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let count = |wanted: &dyn Fn(&Answer) -> bool| {
        answers.iter().filter(|(answer, _)| wanted(answer)).count()
    };
    let (served, refused) = (
        count(&|answer| *answer == Answer::Served),
        count(&|answer| matches!(answer, Answer::Refused(_))),
    );
    let lost = count(&|answer| matches!(answer, Answer::Nothing | Answer::Ended));
    record.line(format!(
        "{CLIENTS} clients: {served} served, {refused} refused, {lost} without an answer {} ms after CONNECT; the store was called {} times",
        ANSWER_WITHIN.as_millis(),
        redis.calls.load(Ordering::Relaxed) - calls_before
    ));
    if !stage.runs("front") {
        return stage.close(Verdict::Broken, "the front ended");
    }
    if answers.len() < CLIENTS as usize {
        return stage.close(Verdict::CouldNotRun, "a client did not work");
    }
    if lost > 0 {
        return stage.close(
            Verdict::Broken,
            &format!("{lost} of {CLIENTS} clients had no answer half a second after their time"),
        );
    }
    stage.close(Verdict::Held, "every client had its answer in time")
}
