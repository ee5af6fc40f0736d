//! Tests of the watch against a discovery service that the test plays.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use super::*;

/// Accepts a request for a watch and reads its head; returns the stream for the response.
fn accept_request(listener: &std::net::TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().expect("accept the request");
    // The request is read to its end: a close with unread bytes would be a reset, which discards
    // the response.
    let mut lines = BufReader::new(stream.try_clone().expect("clone the socket")).lines();
    while lines
        .next()
        .is_some_and(|line| !line.expect("read the request").is_empty())
    {}
    stream
}

fn send_chunk(stream: &mut TcpStream, text: &str) {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).expect("write a chunk");
}

/// An open watch: the server's stream and the watcher's events.
fn open_watch() -> (TcpStream, Receiver<DiscoveryEvent>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let (watcher, watch_requests) = Watcher::new(listener.local_addr().expect("local address"), 0);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || watcher.run(|event| drop(event_sender.send(event))));
    watch_requests
        .send(())
        .expect("the watcher receives requests");
    let mut stream = accept_request(&listener);
    stream
        .write_all(RESPONSE_HEAD)
        .expect("write the response head");
    (stream, events)
}

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn parses_indented_list_across_chunks() {
    let (mut stream, events) = open_watch();
    let list = "\r\n{\n  \"generation\": 7,\n  \"reset\": true,\n  \"instances\": [\n    {\n      \"instanceId\": \"s1\",\n\
        \x20     \"lifecycle\": \"SERVING\"\n    }\n  ]\n}\n{\"generation\": 8}\n\n";
    list.as_bytes().chunks(5).for_each(|piece| {
        send_chunk(
            &mut stream,
            std::str::from_utf8(piece).expect("the list is ASCII"),
        )
    });
    let next = || match events.recv_timeout(LONG_TIMEOUT) {
        Ok(DiscoveryEvent::List(list)) => (list.generation, list.instances.len()),
        other => panic!("expected a list, got {other:?}"),
    };
    assert_eq!((next(), next()), ((7, 1), (8, 0)));
}

/// White space counts towards the bound too, else a list of blanks would be read without end.
#[test]
fn rejects_endless_list_and_endless_white_space() {
    for byte in *b" x" {
        let (prefix, activity) = (&b"{\"more\":\""[..], WatchActivity::start());
        let from = reading::bounded_lists(prefix.chain(io::repeat(byte)), &activity);
        assert!(ServerList::deserialize(&mut serde_json::Deserializer::from_reader(from)).is_err());
    }
}

/// The policy polls an agent only after a failure, so that the first watch must open without a
/// poll.
#[test]
fn agent_watch_opens_unasked_and_fails_early() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let (watcher, watch_requests) = Watcher::new(listener.local_addr().expect("local address"), 3);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || {
        watcher
            .for_agent()
            .run(|event| drop(event_sender.send(event)))
    });
    // The agent does not answer, as while discovery is down, and is polled again on request.
    let silent = accept_request(&listener);
    assert!(
        matches!(
            events.recv_timeout(WATCH_TIMEOUT / 2),
            Ok(DiscoveryEvent::TimedOut(_))
        ),
        "the agent's timeout is far below that of a watch"
    );
    watch_requests
        .send(())
        .expect("the watcher receives requests");
    let mut stream = accept_request(&listener);
    drop(silent);
    stream
        .write_all(RESPONSE_HEAD)
        .expect("write the response head");
    send_chunk(&mut stream, "{\"generation\":4}\n");
    assert!(matches!(
        events.recv_timeout(LONG_TIMEOUT),
        Ok(DiscoveryEvent::List(ServerList { generation: 4, .. }))
    ));
    // After half an entry the parser waits for one timeout, not once for each open object.
    send_chunk(&mut stream, "{\"instances\":[{\"instanceId\":");
    assert!(
        matches!(
            events.recv_timeout(WATCH_TIMEOUT * 3 / 2),
            Ok(DiscoveryEvent::TimedOut(_))
        ),
        "a silent watch ends after one timeout"
    );
}

/// A late delta would add removed servers again; discovery may restart its versions with a
/// snapshot.
#[test]
fn ignores_older_delta_but_applies_older_snapshot() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let discovery = listener.local_addr().expect("local address");
    let (watcher, watch_requests) = Watcher::new(discovery, 0);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || watcher.run(|event| drop(event_sender.send(event))));
    watch_requests
        .send(())
        .expect("the watcher receives requests");
    let mut stream = accept_request(&listener);
    stream
        .write_all(RESPONSE_HEAD)
        .expect("write the response head");
    for (generation, reset) in [(5, true), (4, false), (6, false), (2, true), (3, false)] {
        send_chunk(
            &mut stream,
            &format!("{{\"generation\":{generation},\"reset\":{reset}}}\n"),
        );
    }
    drop(stream);
    // The end of the watch is reported as a failure, which ends the iterator.
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
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
        let discovery = listener.local_addr().expect("local address");
        let (watcher, _watch_requests) = Watcher::new(discovery, 0);
        let text = answer.to_vec();
        let answers = std::thread::spawn(move || {
            let mut stream = accept_request(&listener);
            // The watcher may have rejected the response and closed before all of it is written.
            let _ = stream.write_all(&text);
        });
        let client = watcher.client();
        assert!(
            super::request_watch(&client, discovery, 0).is_err(),
            "{}",
            String::from_utf8_lossy(answer)
        );
        answers.join().expect("the server thread does not panic");
    }
}

#[test]
fn invalid_chunk_ends_watch_after_earlier_lists() {
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
        stream
            .write_all(invalid_chunk.as_bytes())
            .expect("write the invalid chunk");
        let mut event = events.recv_timeout(WATCH_TIMEOUT / 2);
        if let Ok(DiscoveryEvent::List(_)) = event {
            // A list that was complete before the invalid chunk.
            event = events.recv_timeout(WATCH_TIMEOUT / 2);
        }
        assert!(
            matches!(event, Ok(DiscoveryEvent::Failed(_))),
            "{invalid_chunk:?}: expected a failure long before the watch times out"
        );
    }
}

/// Starts a watcher and requests one watch; returns its events and the sender of further requests.
fn start_watcher(discovery: SocketAddr) -> (Receiver<DiscoveryEvent>, Sender<()>) {
    let (watcher, watch_requests) = Watcher::new(discovery, 0);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || watcher.run(|event| drop(event_sender.send(event))));
    watch_requests
        .send(())
        .expect("the watcher receives requests");
    (events, watch_requests)
}

/// Writes the pieces with short pauses until the connection is closed.
fn trickle(mut stream: TcpStream, bytes: impl Iterator<Item = Vec<u8>>) {
    for piece in bytes {
        if stream.write_all(&piece).is_err() {
            return;
        }
        std::thread::sleep(WATCH_TIMEOUT / 20);
    }
}

/// Bytes that trickle in must not hide that no complete list arrives; the time counts from the
/// beginning of the list.
#[test]
fn times_out_when_list_is_slow() {
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

/// The time counts from the call, however slowly the head arrives.
#[test]
fn times_out_when_response_head_is_slow() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let (events, _watch_requests) = start_watcher(listener.local_addr().expect("local address"));
    let mut stream = accept_request(&listener);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nX: ")
        .expect("write a part of the head");
    std::thread::spawn(move || trickle(stream, std::iter::repeat_with(|| b"x".to_vec())));
    let event = events.recv_timeout(WATCH_TIMEOUT * 3 / 2);
    assert!(
        matches!(event, Ok(DiscoveryEvent::TimedOut(quiet)) if quiet >= WATCH_TIMEOUT),
        "{event:?}"
    );
}

#[test]
fn failure_reports_time_since_last_message() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let discovery = listener.local_addr().expect("local address");
    let (events, watch_requests) = start_watcher(discovery);
    let delay = Duration::from_millis(300);
    // The request is rejected after a delay.
    let mut stream = accept_request(&listener);
    std::thread::sleep(delay);
    stream
        .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        .expect("write the response");
    let event = events.recv_timeout(LONG_TIMEOUT);
    assert!(
        matches!(event, Ok(DiscoveryEvent::Failed(quiet)) if quiet >= delay),
        "{event:?}"
    );
    // The watch is closed a while after its last message.
    watch_requests
        .send(())
        .expect("the watcher receives requests");
    let mut stream = accept_request(&listener);
    stream
        .write_all(RESPONSE_HEAD)
        .expect("write the response head");
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
    // The accept queue is full, so that further connects time out.
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("create a socket");
    listener
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("bind to a loopback port");
    listener.listen(0).expect("listen on a bound socket");
    let listener = std::net::TcpListener::from(listener);
    let address = listener.local_addr().expect("local address");
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
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let (watcher, watch_requests) = Watcher::new(listener.local_addr().expect("local address"), 0);
    let (event_sender, events) = unbounded();
    std::thread::spawn(move || {
        watcher.run(|event| {
            assert!(
                !matches!(
                    event,
                    DiscoveryEvent::List(ServerList { generation: 13, .. })
                ),
                "the panic that this test provokes"
            );
            drop(event_sender.send(event));
        });
    });
    watch_requests
        .send(())
        .expect("the watcher receives requests");
    let mut stream = accept_request(&listener);
    stream
        .write_all(RESPONSE_HEAD)
        .expect("write the response head");
    send_chunk(&mut stream, "{\"generation\":13}\n");
    assert!(matches!(
        events.recv_timeout(LONG_TIMEOUT),
        Ok(DiscoveryEvent::Failed(_))
    ));
    watch_requests
        .send(())
        .expect("the watcher receives requests");
    let mut stream = accept_request(&listener);
    stream
        .write_all(RESPONSE_HEAD)
        .expect("write the response head");
    send_chunk(&mut stream, "{\"generation\":14}\n");
    assert!(matches!(
        events.recv_timeout(LONG_TIMEOUT),
        Ok(DiscoveryEvent::List(ServerList { generation: 14, .. }))
    ));
}
