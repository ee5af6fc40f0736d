//! Case 3: a client reads what its server sends at a steady 100 KiB a second, and sends a line every 2 s.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_stand_ins::*;

/// The schedule that the server sends when it is asked: so many lines of 1 KiB.
const LINES: u64 = 8 * 1024;
/// What the slow client reads in a second.
const SLOW_BYTES_PER_S: usize = 100 * 1024;
const STEP: Duration = Duration::from_millis(50);
/// For how long the client is watched.
const WATCHED_FOR: Duration = Duration::from_secs(60);

fn main() {
    std::process::exit(run());
}

/// A server: `UP` for `OPEN`, a line for each line, and the schedule for `SCHEDULE`. It never ends a connection itself.
fn start_server(
    record: &Record,
    ends: &Arc<Mutex<Vec<String>>>,
    answered: &Arc<AtomicU64>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    let (record, ends, answered) = (record.clone(), Arc::clone(ends), Arc::clone(answered));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, ends, answered) =
                (record.clone(), Arc::clone(&ends), Arc::clone(&answered));
            std::thread::spawn(move || serve(stream, &record, &ends, &answered));
        }
    });
    address
}

fn serve(stream: TcpStream, record: &Record, ends: &Mutex<Vec<String>>, answered: &AtomicU64) {
    let _ = stream.set_nodelay(true);
    // Answers are never held up by reading: one thread reads, one writes, in the order of the questions.
    let (questions, waiting) = std::sync::mpsc::channel::<String>();
    let mut out = stream.try_clone().expect("a second handle");
    let writer = std::thread::spawn(move || {
        for question in waiting {
            let mut text = String::new();
            if question.starts_with("OPEN ") {
                text = "UP receipt-1\r\n".to_owned();
            } else if question == "SCHEDULE" {
                for number in 0..LINES {
                    text += &format!("{:<1022}\r\n", format!("DATA {number}"));
                }
            } else {
                text += &format!("OK {question}\r\n");
            }
            if out.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    let mut reader = BufReader::new(stream);
    let end = loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) => break "the end of the connection".to_owned(),
            Ok(_) => {
                let line = line.trim_end();
                record.line(format!(
                    "server: received {:?}",
                    &line[..line.len().min(60)]
                ));
                answered.fetch_add(1, Ordering::Relaxed);
                let _ = questions.send(line.to_owned());
            }
            Err(error) => break format!("{:?}", error.kind()),
        }
    };
    record.line(format!(
        "server: its connection ended from the balancer's side: {end}"
    ));
    lock(ends).push(end);
    drop(questions);
    let _ = writer.join();
}

/// A client that reads at a rate; returns the lines that it got, and how its connection ended, if it did.
fn client(
    address: SocketAddr,
    id: &str,
    bytes_per_s: usize,
    record: &Record,
) -> Option<(Vec<String>, Option<String>)> {
    let stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_nodelay(true);
    (&stream)
        .write_all(format!("OPEN {id} 7f3a9c21e0b4d655 c=telemetry,d=4800\r\n").as_bytes())
        .ok()?;
    let mut lines = Lines {
        stream: &stream,
        bytes: Vec::new(),
    };
    let up = lines
        .next(Instant::now() + Duration::from_millis(5_350))
        .flatten();
    record.line(format!("client {id}: {up:?}"));
    up.filter(|up| up.starts_with("UP"))?;
    (&stream).write_all(b"SCHEDULE\r\n").ok()?;
    let (begun_at, mut received, mut end) = (Instant::now(), lines.bytes.clone(), None);
    let (mut budget, mut stepped_at, mut spoke_at, mut number, mut shown) =
        (0_usize, begun_at, begun_at, 0, 0);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
    let mut chunk = vec![0; 64 * 1024];
    while begun_at.elapsed() < WATCHED_FOR && end.is_none() {
        if spoke_at.elapsed() >= Duration::from_secs(2) {
            (spoke_at, number) = (Instant::now(), number + 1);
            let sent = (&stream).write_all(format!("READING {number}\r\n").as_bytes());
            record.line(format!(
                "client {id}: sent READING {number} ({sent:?}), has read {} bytes",
                received.len()
            ));
        }
        if stepped_at.elapsed() >= STEP {
            (stepped_at, budget) = (Instant::now(), bytes_per_s / 20);
        }
        if budget == 0 {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        }
        let want = budget.min(chunk.len());
        match (&stream).read(&mut chunk[..want]) {
            Ok(0) => end = Some("the end of the connection".to_owned()),
            Ok(count) => {
                budget -= count;
                received.extend_from_slice(&chunk[..count]);
            }
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(error) => end = Some(format!("{:?}", error.kind())),
        }
        if received.len() - shown >= 1024 * 1024 {
            shown = received.len();
            record.line(format!("client {id}: has read {shown} bytes"));
        }
        // The whole schedule is there, and an answer to the latest line.
        if received.len() > LINES as usize * 1024
            && received.ends_with(format!("OK READING {number}\r\n").as_bytes())
            && number >= 3
        {
            break;
        }
    }
    let text = String::from_utf8_lossy(&received);
    let mut lines: Vec<String> = text
        .split("\r\n")
        .map(|line| line.trim_end().to_owned())
        .collect();
    if lines.last().is_some_and(String::is_empty) {
        lines.pop();
    }
    Some((lines, end))
}

fn run() -> i32 {
    let stage = Stage::open("3", Duration::from_secs(115));
    let record = stage.record.clone();
    let (ends, answered) = (Arc::default(), Arc::default());
    let server = start_server(&record, &ends, &answered);
    let known = [entry("s-1", server, "SERVING")];
    let discovery = Discovery::start(&known);
    let listen = free_address();
    let file = stage.write_file(
        "config.json",
        &platform_file(listen, discovery.address, &known),
    );
    stage.start_program("balancer", "", &[("LB_CONFIG", &file)]);
    if !wait_for_pong(listen) {
        return stage.close(Verdict::CouldNotRun, "the balancer did not become ready");
    }
    let rate = if has_trouble() {
        SLOW_BYTES_PER_S
    } else {
        64 * 1024 * 1024
    };
    record.line(format!("client: reads {rate} bytes a second"));
    let Some((lines, end)) = client(listen, "9b1f03aa5c7e2d41", rate, &record) else {
        return stage.close(
            Verdict::CouldNotRun,
            "the client's connection did not come up",
        );
    };
    let data = lines
        .iter()
        .filter(|line| line.starts_with("DATA "))
        .count();
    let is_in_order = lines
        .iter()
        .filter(|line| line.starts_with("DATA "))
        .enumerate()
        .all(|(number, line)| *line == format!("DATA {number}") || number + 1 == data);
    let was_moved = lines.last().is_some_and(|line| line == "MOVE");
    record.line(format!(
        "client: {data} of {LINES} lines of the schedule, in order: {is_in_order}; last line {:?}; end: {end:?}; moved: {was_moved}",
        lines.last().map(|line| &line[..line.len().min(60)])
    ));
    // The server still answers: a client of its own has a line for its line at once.
    let direct = TcpStream::connect(server).ok();
    let does_answer = direct.is_some_and(|stream| {
        let _ = (&stream).write_all(b"READING direct\r\n");
        let mut lines = Lines {
            stream: &stream,
            bytes: Vec::new(),
        };
        lines.next(Instant::now() + Duration::from_secs(1))
            == Some(Some("OK READING direct".to_owned()))
    });
    record.line(format!(
        "server: answers a client of its own: {does_answer}"
    ));
    if !does_answer {
        return stage.close(Verdict::CouldNotRun, "the server did not work");
    }
    match end {
        Some(end) if !was_moved => stage.close(
            Verdict::Broken,
            &format!("cut off without MOVE ({end}) after {data} of {LINES} lines, while the server still answers"),
        ),
        Some(_) => stage.close(Verdict::Held, "the client was moved"),
        None => stage.close(Verdict::Held, "the connection went on"),
    }
}
