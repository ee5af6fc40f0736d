//! Tests of the watch, with a discovery that they play.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use super::*;

/// A discovery that is asked: the stream that takes its answer.
fn accept_request(listener: &std::net::TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().expect("a watch");
    // Read to its end: a close with bytes left unread is a reset, and takes what was sent along.
    let mut lines = BufReader::new(stream.try_clone().expect("open")).lines();
    while lines
        .next()
        .is_some_and(|line| !line.expect("open").is_empty())
    {}
    stream
}

fn send_chunk(stream: &mut TcpStream, text: &str) {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).expect("open");
}

/// A watch that stands, and what is told of it.
fn open_watch() -> (TcpStream, Receiver<DiscoveryEvent>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (watcher, watch_requests) = Watcher::new(listener.local_addr().expect("bound"), 0);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || watcher.run(|event| drop(event_sender.send(event))));
    watch_requests.send(()).expect("it listens");
    let mut stream = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD).expect("open");
    (stream, events)
}

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn parses_indented_list_across_chunks() {
    let (mut stream, events) = open_watch();
    let list = "\r\n{\n  \"generation\": 7,\n  \"reset\": true,\n  \"instances\": [\n    {\n      \"instanceId\": \"s1\",\n\
        \x20     \"lifecycle\": \"SERVING\"\n    }\n  ]\n}\n{\"generation\": 8}\n\n";
    list.as_bytes()
        .chunks(5)
        .for_each(|piece| send_chunk(&mut stream, std::str::from_utf8(piece).expect("ASCII")));
    let next = || match events.recv_timeout(LONG_TIMEOUT) {
        Ok(DiscoveryEvent::List(list)) => (list.generation, list.instances.len()),
        other => panic!("no list: {other:?}"),
    };
    assert_eq!((next(), next()), ((7, 1), (8, 0)));
}

#[test]
fn rejects_endless_list_and_endless_white_space() {
    for byte in *b" x" {
        let (prefix, activity) = (&b"{\"more\":\""[..], WatchActivity::start());
        let from = reading::bounded_lists(prefix.chain(io::repeat(byte)), &activity);
        assert!(ServerList::deserialize(&mut serde_json::Deserializer::from_reader(from)).is_err());
    }
}

#[test]
fn agent_watch_opens_unasked_and_times_out_early() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (watcher, watch_requests) = Watcher::new(listener.local_addr().expect("bound"), 3);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || {
        watcher
            .for_agent()
            .run(|event| drop(event_sender.send(event)))
    });
    // Discovery is down: the agent says nothing, and is asked anew when the module says so.
    let silent = accept_request(&listener);
    assert!(
        matches!(
            events.recv_timeout(WATCH_TIMEOUT / 2),
            Ok(DiscoveryEvent::TimedOut(_))
        ),
        "long before a watch is given up"
    );
    watch_requests.send(()).expect("it listens");
    let mut stream = accept_request(&listener);
    drop(silent);
    stream.write_all(RESPONSE_HEAD).expect("open");
    send_chunk(&mut stream, "{\"generation\":4}\n");
    assert!(matches!(
        events.recv_timeout(LONG_TIMEOUT),
        Ok(DiscoveryEvent::List(ServerList { generation: 4, .. }))
    ));
    // Half an entry, and silence from then on: one wait, however deep the parser is.
    send_chunk(&mut stream, "{\"instances\":[{\"instanceId\":");
    assert!(
        matches!(
            events.recv_timeout(WATCH_TIMEOUT * 3 / 2),
            Ok(DiscoveryEvent::TimedOut(_))
        ),
        "it ends once it is found silent"
    );
}

#[test]
fn ignores_older_delta_but_applies_older_snapshot() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let discovery = listener.local_addr().expect("bound");
    let (watcher, watch_requests) = Watcher::new(discovery, 0);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || watcher.run(|event| drop(event_sender.send(event))));
    watch_requests.send(()).expect("it listens");
    let mut stream = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD).expect("open");
    for (generation, reset) in [(5, true), (4, false), (6, false), (2, true), (3, false)] {
        send_chunk(
            &mut stream,
            &format!("{{\"generation\":{generation},\"reset\":{reset}}}\n"),
        );
    }
    drop(stream);
    // The end of the watch is told as a failure.
    let generations: Vec<u64> =
        std::iter::from_fn(|| match events.recv_timeout(Duration::from_secs(10)) {
            Ok(DiscoveryEvent::List(list)) => Some(list.generation),
            _ => None,
        })
        .collect();
    assert_eq!(generations, [5, 6, 2, 3]);
}

#[test]
fn rejects_response_that_is_not_a_watch() {
    let long = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: {}\r\n\r\n",
        "x".repeat(MAX_RESPONSE_HEAD_BYTES)
    );
    for answer in [
        &b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"[..],
        b"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\n",
        b"no HTTP\r\n\r\n",
        long.as_bytes(),
    ] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
        let discovery = listener.local_addr().expect("bound");
        let (watcher, _watch_requests) = Watcher::new(discovery, 0);
        let text = answer.to_vec();
        let answers = std::thread::spawn(move || {
            let mut stream = accept_request(&listener);
            // One that is refused half way may be closed by then.
            let _ = stream.write_all(&text);
        });
        let client = watcher.client();
        assert!(
            super::request_watch(&client, discovery, 0).is_err(),
            "{}",
            String::from_utf8_lossy(answer)
        );
        answers.join().expect("it asked once");
    }
}

#[test]
fn invalid_chunk_ends_watch_and_keeps_earlier_lists() {
    let endless = "1".repeat(HTTP_BUFFER_BYTES.0 + 1);
    for invalid_chunk in [
        "x\r\n{}\r\n",
        "ffffffffffffffffff\r\n{}\r\n",
        "2\r\n{}no end\r\n",
        "\r\n",
        "0\r\n\r\n",
        &endless,
    ] {
        let (mut stream, events) = open_watch();
        send_chunk(&mut stream, "{\"generation\":4}\n");
        assert!(
            matches!(
                events.recv_timeout(LONG_TIMEOUT),
                Ok(DiscoveryEvent::List(ServerList { generation: 4, .. }))
            ),
            "{invalid_chunk:?}"
        );
        stream.write_all(invalid_chunk.as_bytes()).expect("open");
        let mut event = events.recv_timeout(WATCH_TIMEOUT / 2);
        if let Ok(DiscoveryEvent::List(_)) = event {
            // What had come whole before the fault.
            event = events.recv_timeout(WATCH_TIMEOUT / 2);
        }
        assert!(
            matches!(event, Ok(DiscoveryEvent::Failed(_))),
            "{invalid_chunk:?}: long before it is given up as silent"
        );
    }
}

/// A watcher of that discovery that has been asked once: what it tells, and the end that asks it again.
fn start_watcher(discovery: SocketAddr) -> (Receiver<DiscoveryEvent>, Sender<()>) {
    let (watcher, watch_requests) = Watcher::new(discovery, 0);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || watcher.run(|event| drop(event_sender.send(event))));
    watch_requests.send(()).expect("it listens");
    (events, watch_requests)
}

/// Sends byte after byte, none of them long after the one before, until nobody takes them.
fn trickle(mut stream: TcpStream, bytes: impl Iterator<Item = Vec<u8>>) {
    for piece in bytes {
        if stream.write_all(&piece).is_err() {
            return;
        }
        std::thread::sleep(WATCH_TIMEOUT / 20);
    }
}

#[test]
fn times_out_when_list_arrives_too_slowly() {
    let (mut stream, events) = open_watch();
    send_chunk(&mut stream, "\n");
    send_chunk(&mut stream, "{\"generation\":");
    let blanks = std::iter::repeat_with(|| b"1\r\n \r\n".to_vec());
    std::thread::spawn(move || trickle(stream, blanks));
    let event = events.recv_timeout(WATCH_TIMEOUT * 3 / 2);
    assert!(
        matches!(event, Ok(DiscoveryEvent::TimedOut(quiet)) if quiet >= WATCH_TIMEOUT),
        "{event:?}"
    );
}

#[test]
fn times_out_when_response_head_arrives_too_slowly() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (events, _watch_requests) = start_watcher(listener.local_addr().expect("bound"));
    let mut stream = accept_request(&listener);
    stream.write_all(b"HTTP/1.1 200 OK\r\nX: ").expect("open");
    std::thread::spawn(move || trickle(stream, std::iter::repeat_with(|| b"x".to_vec())));
    let event = events.recv_timeout(WATCH_TIMEOUT * 3 / 2);
    assert!(
        matches!(event, Ok(DiscoveryEvent::TimedOut(quiet)) if quiet >= WATCH_TIMEOUT),
        "{event:?}"
    );
}

#[test]
fn failure_reports_time_since_last_message() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let discovery = listener.local_addr().expect("bound");
    let (events, watch_requests) = start_watcher(discovery);
    let delay = Duration::from_millis(300);
    // Refused after a while.
    let mut stream = accept_request(&listener);
    std::thread::sleep(delay);
    stream
        .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        .expect("open");
    let event = events.recv_timeout(LONG_TIMEOUT);
    assert!(
        matches!(event, Ok(DiscoveryEvent::Failed(quiet)) if quiet >= delay),
        "{event:?}"
    );
    // Broken off a while after the last that was heard.
    watch_requests.send(()).expect("it listens");
    let mut stream = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD).expect("open");
    send_chunk(&mut stream, "{\"generation\":4}\n");
    assert!(matches!(
        events.recv_timeout(LONG_TIMEOUT),
        Ok(DiscoveryEvent::List(_))
    ));
    std::thread::sleep(delay);
    drop(stream);
    let event = events.recv_timeout(LONG_TIMEOUT);
    assert!(
        matches!(event, Ok(DiscoveryEvent::Failed(quiet)) if quiet >= delay),
        "{event:?}"
    );
}

#[test]
fn reports_failure_when_connect_times_out() {
    // One place in its line, which is taken.
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    listener
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("loopback");
    listener.listen(0).expect("bound");
    let listener = std::net::TcpListener::from(listener);
    let address = listener.local_addr().expect("bound");
    let short = Duration::from_millis(100);
    let _connections: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, short).ok()).collect();
    let (events, _watch_requests) = start_watcher(address);
    let event = events.recv_timeout(LONG_TIMEOUT);
    assert!(
        matches!(event, Ok(DiscoveryEvent::Failed(quiet)) if quiet >= CONNECT_TIMEOUT * 9 / 10),
        "{event:?}"
    );
}

#[test]
fn continues_after_panic_in_watch() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (watcher, watch_requests) = Watcher::new(listener.local_addr().expect("bound"), 0);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || {
        watcher.run(|event| {
            assert!(
                !matches!(
                    event,
                    DiscoveryEvent::List(ServerList { generation: 13, .. })
                ),
                "the fault that is played"
            );
            drop(event_sender.send(event));
        });
    });
    watch_requests.send(()).expect("it listens");
    let mut stream = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD).expect("open");
    send_chunk(&mut stream, "{\"generation\":13}\n");
    assert!(matches!(
        events.recv_timeout(LONG_TIMEOUT),
        Ok(DiscoveryEvent::Failed(_))
    ));
    watch_requests.send(()).expect("it listens");
    let mut stream = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD).expect("open");
    send_chunk(&mut stream, "{\"generation\":14}\n");
    assert!(matches!(
        events.recv_timeout(LONG_TIMEOUT),
        Ok(DiscoveryEvent::List(ServerList { generation: 14, .. }))
    ));
}
