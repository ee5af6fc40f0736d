//! A prober and stand-in servers over loopback.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;

use super::*;
use crate::front::platform::LOAD_PROBE;

/// A prober of one stand-in server: what it answers to each question, and what is told of it.
fn told(answers: &'static [Option<&'static str>]) -> Vec<Option<Answer>> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for answer in answers {
            // One connection is kept for as long as its answers are whole.
            let (stream, _) = listener.accept().expect("a probe");
            let mut asked = BufReader::new(stream.try_clone().expect("open")).lines();
            assert_eq!(asked.next().expect("a question").expect("open"), "STATS");
            match answer {
                Some(text) => (&stream).write_all(text.as_bytes()).expect("open"),
                None => drop(asked.next()),
            }
        }
    });
    let (prober, asker) = Prober::new(LOAD_PROBE, || Duration::from_millis(300)).expect("a poller");
    let (say, heard) = unbounded();
    std::thread::spawn(move || prober.run(|_, answer| say.send(answer).expect("it listens")));
    let server = Arc::new(Endpoint::new("s0".into(), address));
    let hear = |_: &Option<&str>| {
        asker.probe(ServerId(0), Arc::clone(&server));
        heard
            .recv_timeout(Duration::from_secs(10))
            .expect("an answer, or that there is none")
    };
    answers.iter().map(hear).collect()
}

#[test]
fn a_load_is_told_and_no_answer_or_half_of_one_is_none() {
    assert_eq!(
        told(&[Some("PONG x0=0.61,queue=2\r\n")]),
        [Some(Answer::Load(0.61))]
    );
    assert_eq!(told(&[Some("PONG x0=0.6")]), [None], "cut short");
    assert_eq!(told(&[None]), [None], "silent");
    // The line that gave none is not asked again: a late answer would pass for the next one.
    assert_eq!(
        told(&[None, Some("PONG x0=1.5\r\n")]),
        [None, Some(Answer::Load(1.5))]
    );
}

#[test]
fn a_server_that_nobody_listens_for_is_told_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let (prober, asker) = Prober::new(LOAD_PROBE, || Duration::from_secs(60)).expect("a poller");
    let (say, heard) = unbounded();
    std::thread::spawn(move || {
        prober.run(|id, answer| say.send((id, answer)).expect("it listens"))
    });
    asker.probe(ServerId(3), Arc::new(Endpoint::new("s3".into(), address)));
    assert_eq!(
        heard.recv_timeout(Duration::from_secs(10)),
        Ok((ServerId(3), None))
    );
}

#[test]
fn connections_for_probes_give_way_to_others() {
    let room = Arc::new(AtomicUsize::new(2));
    let held = Arc::new(AtomicUsize::new(0));
    let (prober, asker) = Prober::new(LOAD_PROBE, || Duration::from_secs(60)).expect("a poller");
    let has = Arc::clone(&room);
    let prober = prober.with_limit(Arc::clone(&held), move || has.load(Ordering::Relaxed));
    let (say, heard) = unbounded();
    std::thread::spawn(move || {
        prober.run(|id, answer| say.send((id, answer)).expect("it listens"))
    });
    let hear = || {
        heard
            .recv_timeout(Duration::from_secs(10))
            .expect("an answer, or that there is none")
    };
    let (told, closed) = unbounded();
    for number in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let server = Endpoint::new("s".into(), listener.local_addr().expect("bound"));
        let told = told.clone();
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().expect("a probe");
            let mut asked = BufReader::new(stream.try_clone().expect("open")).lines();
            while let Some(Ok(_)) = asked.next() {
                (&stream).write_all(b"PONG x0=1\r\n").expect("open");
            }
            told.send(number).expect("the test waits");
        });
        asker.probe(ServerId(number), Arc::new(server));
        assert_eq!(hear(), (ServerId(number), Some(Answer::Load(1.0))));
        // The one that was used longest ago made room.
        if number >= 2 {
            assert_eq!(closed.recv_timeout(Duration::from_secs(10)), Ok(number - 2));
        }
    }
    // Where there is none any more they are closed, though nobody asks.
    room.store(0, Ordering::Relaxed);
    let mut last = [(); 2].map(|()| {
        closed
            .recv_timeout(Duration::from_secs(10))
            .expect("closed")
    });
    // Each has a thread of its own, which tells of its end in its own time.
    last.sort_unstable();
    assert_eq!(last, [2, 3]);
    let until = Instant::now() + Duration::from_secs(10);
    while held.load(Ordering::Relaxed) > 0 {
        assert!(Instant::now() < until, "it tells that it holds none");
        std::thread::sleep(Duration::from_millis(1));
    }
    // A server that can't be asked for want of a descriptor is not taken for one that does not answer.
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let server = Endpoint::new("s".into(), listener.local_addr().expect("bound"));
    asker.probe(ServerId(9), Arc::new(server));
    assert_eq!(hear(), (ServerId(9), Some(Answer::NoLoad)));
}
