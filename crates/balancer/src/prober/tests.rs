//! A prober and stand-in servers over loopback.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;

use super::*;
use crate::front::platform::LOAD_PROBE;

/// A prober of one stand-in server: what it answers to each question, and what is told of it.
fn probe_results(answers: &'static [Option<&'static str>]) -> Vec<Option<ProbeAnswer>> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for answer in answers {
            // One connection is kept for as long as its answers are whole.
            let (stream, _) = listener.accept().expect("a probe");
            let mut requests = BufReader::new(stream.try_clone().expect("open")).lines();
            assert_eq!(requests.next().expect("a question").expect("open"), "STATS");
            match answer {
                Some(text) => (&stream).write_all(text.as_bytes()).expect("open"),
                None => drop(requests.next()),
            }
        }
    });
    let (prober, prober_handle) =
        Prober::new(LOAD_PROBE, || Duration::from_millis(300)).expect("a poller");
    let (result_sender, results) = unbounded();
    std::thread::spawn(move || {
        prober.run(|_, answer| result_sender.send(answer).expect("it listens"))
    });
    let server = Arc::new(Endpoint::new("s0".into(), address));
    let next_result = |_: &Option<&str>| {
        prober_handle.probe(ServerId(0), Arc::clone(&server));
        results
            .recv_timeout(Duration::from_secs(10))
            .expect("an answer, or that there is none")
    };
    answers.iter().map(next_result).collect()
}

#[test]
fn reports_load_and_none_without_complete_answer() {
    assert_eq!(
        probe_results(&[Some("PONG x0=0.61,queue=2\r\n")]),
        [Some(ProbeAnswer::Load(0.61))]
    );
    assert_eq!(probe_results(&[Some("PONG x0=0.6")]), [None], "cut short");
    assert_eq!(probe_results(&[None]), [None], "silent");
    // The line that gave none is not asked again: a late answer would pass for the next one.
    assert_eq!(
        probe_results(&[None, Some("PONG x0=1.5\r\n")]),
        [None, Some(ProbeAnswer::Load(1.5))]
    );
}

#[test]
fn reports_none_when_connect_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let (prober, prober_handle) =
        Prober::new(LOAD_PROBE, || Duration::from_secs(60)).expect("a poller");
    let (result_sender, results) = unbounded();
    std::thread::spawn(move || {
        prober.run(|id, answer| result_sender.send((id, answer)).expect("it listens"))
    });
    prober_handle.probe(ServerId(3), Arc::new(Endpoint::new("s3".into(), address)));
    assert_eq!(
        results.recv_timeout(Duration::from_secs(10)),
        Ok((ServerId(3), None))
    );
}

#[test]
fn closes_idle_connections_beyond_limit() {
    let max_connections = Arc::new(AtomicUsize::new(2));
    let open_connections = Arc::new(AtomicUsize::new(0));
    let (prober, prober_handle) =
        Prober::new(LOAD_PROBE, || Duration::from_secs(60)).expect("a poller");
    let limit = Arc::clone(&max_connections);
    let prober = prober.with_limit(Arc::clone(&open_connections), move || {
        limit.load(Ordering::Relaxed)
    });
    let (result_sender, results) = unbounded();
    std::thread::spawn(move || {
        prober.run(|id, answer| result_sender.send((id, answer)).expect("it listens"))
    });
    let next_result = || {
        results
            .recv_timeout(Duration::from_secs(10))
            .expect("an answer, or that there is none")
    };
    let (closed_sender, closed) = unbounded();
    for number in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let server = Endpoint::new("s".into(), listener.local_addr().expect("bound"));
        let closed_sender = closed_sender.clone();
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().expect("a probe");
            let mut requests = BufReader::new(stream.try_clone().expect("open")).lines();
            while let Some(Ok(_)) = requests.next() {
                (&stream).write_all(b"PONG x0=1\r\n").expect("open");
            }
            closed_sender.send(number).expect("the test waits");
        });
        prober_handle.probe(ServerId(number), Arc::new(server));
        assert_eq!(
            next_result(),
            (ServerId(number), Some(ProbeAnswer::Load(1.0)))
        );
        // The one that was used longest ago made room.
        if number >= 2 {
            assert_eq!(closed.recv_timeout(Duration::from_secs(10)), Ok(number - 2));
        }
    }
    // Where there is none any more they are closed, though nobody asks.
    max_connections.store(0, Ordering::Relaxed);
    let mut closed_servers = [(); 2].map(|()| {
        closed
            .recv_timeout(Duration::from_secs(10))
            .expect("closed")
    });
    // Each has a thread of its own, which tells of its end in its own time.
    closed_servers.sort_unstable();
    assert_eq!(closed_servers, [2, 3]);
    let deadline_at = Instant::now() + Duration::from_secs(10);
    while open_connections.load(Ordering::Relaxed) > 0 {
        assert!(Instant::now() < deadline_at, "it tells that it holds none");
        std::thread::sleep(Duration::from_millis(1));
    }
    // A server that can't be asked for want of a descriptor is not taken for one that does not answer.
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let server = Endpoint::new("s".into(), listener.local_addr().expect("bound"));
    prober_handle.probe(ServerId(9), Arc::new(server));
    assert_eq!(next_result(), (ServerId(9), Some(ProbeAnswer::NoLoad)));
}
