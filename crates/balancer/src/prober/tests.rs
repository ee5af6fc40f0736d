//! A prober and test servers on loopback addresses.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;

use super::*;
use crate::front::platform::LOAD_PROBE;

/// Probes a server that answers as given, once for each answer; returns what the prober reports.
fn probe_results(answers: &'static [Option<&'static str>]) -> Vec<ProbeAnswer> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("local address");
    std::thread::spawn(move || {
        for answer in answers {
            // The prober keeps a connection while its answers are complete.
            let (stream, _) = listener.accept().expect("accept the probe's connection");
            let mut requests =
                BufReader::new(stream.try_clone().expect("clone the socket")).lines();
            assert_eq!(
                requests
                    .next()
                    .expect("a request")
                    .expect("read the request"),
                "STATS"
            );
            match answer {
                Some(text) => (&stream)
                    .write_all(text.as_bytes())
                    .expect("write the answer"),
                None => drop(requests.next()),
            }
        }
    });
    let (prober, prober_handle) =
        Prober::new(LOAD_PROBE, || Duration::from_millis(300)).expect("create the prober");
    let (result_sender, results) = unbounded();
    std::thread::spawn(move || {
        prober.run(|_, answer| {
            result_sender
                .send(answer)
                .expect("the test receives results")
        })
    });
    let server = Arc::new(Endpoint::new("s0".into(), address));
    let next_result = |_: &Option<&str>| {
        prober_handle.probe(ServerId(0), Arc::clone(&server));
        results
            .recv_timeout(Duration::from_secs(10))
            .expect("a result of the probe")
    };
    answers.iter().map(next_result).collect()
}

#[test]
fn reports_load_and_none_without_complete_answer() {
    assert_eq!(
        probe_results(&[Some("PONG x0=0.61,queue=2\r\n")]),
        [ProbeAnswer::Load(0.61)]
    );
    assert_eq!(
        probe_results(&[Some("PONG x0=0.6")]),
        [ProbeAnswer::Unhealthy],
        "an incomplete answer"
    );
    assert_eq!(
        probe_results(&[None]),
        [ProbeAnswer::Unhealthy],
        "no answer in time"
    );
    // A connection without an answer is not used again: a late answer would be taken for the next
    // one.
    assert_eq!(
        probe_results(&[None, Some("PONG x0=1.5\r\n")]),
        [ProbeAnswer::Unhealthy, ProbeAnswer::Load(1.5)]
    );
}

#[test]
fn reports_none_when_connect_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("local address");
    drop(listener);
    let (prober, prober_handle) =
        Prober::new(LOAD_PROBE, || Duration::from_secs(60)).expect("create the prober");
    let (result_sender, results) = unbounded();
    std::thread::spawn(move || {
        prober.run(|id, answer| {
            result_sender
                .send((id, answer))
                .expect("the test receives results")
        })
    });
    prober_handle.probe(ServerId(3), Arc::new(Endpoint::new("s3".into(), address)));
    assert_eq!(
        results.recv_timeout(Duration::from_secs(10)),
        Ok((ServerId(3), ProbeAnswer::Unhealthy))
    );
}

/// Probe connections must leave descriptors to clients and servers.
#[test]
fn closes_idle_connections_beyond_limit() {
    let max_connections = Arc::new(AtomicUsize::new(2));
    let open_connections = Arc::new(AtomicUsize::new(0));
    let (prober, prober_handle) =
        Prober::new(LOAD_PROBE, || Duration::from_secs(60)).expect("create the prober");
    let limit = Arc::clone(&max_connections);
    let prober = prober.with_limit(Arc::clone(&open_connections), move || {
        limit.load(Ordering::Relaxed)
    });
    let (result_sender, results) = unbounded();
    std::thread::spawn(move || {
        prober.run(|id, answer| {
            result_sender
                .send((id, answer))
                .expect("the test receives results")
        })
    });
    let next_result = || {
        results
            .recv_timeout(Duration::from_secs(10))
            .expect("a result of the probe")
    };
    let (closed_sender, closed) = unbounded();
    for number in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
        let server = Endpoint::new("s".into(), listener.local_addr().expect("local address"));
        let closed_sender = closed_sender.clone();
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().expect("accept the probe's connection");
            let mut requests =
                BufReader::new(stream.try_clone().expect("clone the socket")).lines();
            while let Some(Ok(_)) = requests.next() {
                (&stream)
                    .write_all(b"PONG x0=1\r\n")
                    .expect("write the answer");
            }
            closed_sender
                .send(number)
                .expect("the test receives closes");
        });
        prober_handle.probe(ServerId(number), Arc::new(server));
        assert_eq!(next_result(), (ServerId(number), ProbeAnswer::Load(1.0)));
        // The least recently used connection was closed.
        if number >= 2 {
            assert_eq!(closed.recv_timeout(Duration::from_secs(10)), Ok(number - 2));
        }
    }
    // A lower limit closes idle connections without another probe.
    max_connections.store(0, Ordering::Relaxed);
    let mut closed_servers = [(); 2].map(|()| {
        closed
            .recv_timeout(Duration::from_secs(10))
            .expect("a server reports the close")
    });
    // Each server has a thread of its own; they report the close in any order.
    closed_servers.sort_unstable();
    assert_eq!(closed_servers, [2, 3]);
    let deadline_at = Instant::now() + Duration::from_secs(10);
    while open_connections.load(Ordering::Relaxed) > 0 {
        assert!(
            Instant::now() < deadline_at,
            "the prober publishes that no connection is open"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
    // A server that can't be probed for lack of descriptors does not count as unresponsive.
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let server = Endpoint::new("s".into(), listener.local_addr().expect("local address"));
    prober_handle.probe(ServerId(9), Arc::new(server));
    assert_eq!(next_result(), (ServerId(9), ProbeAnswer::NoLoad));
}

/// A server that is probed without a pause and answers nothing is reported after the timeout of the
/// first probe, however many follow.
#[test]
fn further_probes_do_not_extend_time_for_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("local address");
    let (prober, prober_handle) =
        Prober::new(LOAD_PROBE, || Duration::from_millis(300)).expect("create the prober");
    let (result_sender, results) = unbounded();
    std::thread::spawn(move || {
        prober.run(|_, answer| {
            // The test ends with the first result.
            let _ = result_sender.send(answer);
        })
    });
    let server = Arc::new(Endpoint::new("s0".into(), address));
    let probed_at = Instant::now();
    let result = loop {
        prober_handle.probe(ServerId(0), Arc::clone(&server));
        if let Ok(result) = results.recv_timeout(Duration::from_millis(10)) {
            break result;
        }
        assert!(probed_at.elapsed() < Duration::from_secs(5));
    };
    assert_eq!(result, ProbeAnswer::Unhealthy);
}
