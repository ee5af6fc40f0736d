//! Tests of the watch, with a discovery that they play.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use super::*;

/// A discovery that is asked: the stream that takes its answer.
fn asked(listener: &std::net::TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().expect("a watch");
    // Read to its end: a close with bytes left unread is a reset, and takes what was sent along.
    let mut asked = BufReader::new(stream.try_clone().expect("open")).lines();
    while asked
        .next()
        .is_some_and(|line| !line.expect("open").is_empty())
    {}
    stream
}

fn say(stream: &mut TcpStream, text: &str) {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).expect("open");
}

/// A watch that stands, and what is told of it.
fn stands() -> (TcpStream, Receiver<DiscoveryEvent>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (watcher, ask) = Watcher::new(listener.local_addr().expect("bound"), 0);
    let (told, news) = unbounded();
    std::thread::spawn(move || watcher.run(|list| drop(told.send(list))));
    ask.send(()).expect("it listens");
    let mut stream = asked(&listener);
    stream.write_all(HEAD).expect("open");
    (stream, news)
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LONG: Duration = Duration::from_secs(10);

#[test]
fn an_indented_list_over_several_chunks_is_one_list() {
    let (mut stream, news) = stands();
    let list = "\r\n{\n  \"generation\": 7,\n  \"reset\": true,\n  \"instances\": [\n    {\n      \"instanceId\": \"s1\",\n\
        \x20     \"lifecycle\": \"SERVING\"\n    }\n  ]\n}\n{\"generation\": 8}\n\n";
    list.as_bytes()
        .chunks(5)
        .for_each(|piece| say(&mut stream, std::str::from_utf8(piece).expect("ASCII")));
    let next = || match news.recv_timeout(LONG) {
        Ok(DiscoveryEvent::List(list)) => (list.generation, list.instances.len()),
        other => panic!("no list: {other:?}"),
    };
    assert_eq!((next(), next()), ((7, 1), (8, 0)));
}

#[test]
fn a_list_without_an_end_is_an_error_also_where_it_is_all_blanks() {
    for byte in *b" x" {
        let (begun, hearing) = (&b"{\"more\":\""[..], WatchActivity::start());
        let from = reading::bounded_lists(begun.chain(io::repeat(byte)), &hearing);
        assert!(ServerList::deserialize(&mut serde_json::Deserializer::from_reader(from)).is_err());
    }
}

#[test]
fn an_agent_is_asked_without_a_word_of_the_module_and_its_silence_is_told_soon() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (watcher, ask) = Watcher::new(listener.local_addr().expect("bound"), 3);
    let (told, news) = unbounded();
    std::thread::spawn(move || watcher.for_agent().run(|list| drop(told.send(list))));
    // Discovery is down: the agent says nothing, and is asked anew when the module says so.
    let silent = asked(&listener);
    assert!(
        matches!(
            news.recv_timeout(WATCH_TIMEOUT / 2),
            Ok(DiscoveryEvent::TimedOut(_))
        ),
        "long before a watch is given up"
    );
    ask.send(()).expect("it listens");
    let mut stream = asked(&listener);
    drop(silent);
    stream.write_all(HEAD).expect("open");
    say(&mut stream, "{\"generation\":4}\n");
    assert!(matches!(
        news.recv_timeout(LONG),
        Ok(DiscoveryEvent::List(ServerList { generation: 4, .. }))
    ));
    // Half an entry, and silence from then on: one wait, however deep the parser is.
    say(&mut stream, "{\"instances\":[{\"instanceId\":");
    assert!(
        matches!(
            news.recv_timeout(WATCH_TIMEOUT * 3 / 2),
            Ok(DiscoveryEvent::TimedOut(_))
        ),
        "it ends once it is found silent"
    );
}

#[test]
fn changes_older_than_the_list_held_are_passed_over_and_an_older_whole_list_is_not() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let discovery = listener.local_addr().expect("bound");
    let (watcher, ask) = Watcher::new(discovery, 0);
    let (told, news) = unbounded();
    std::thread::spawn(move || watcher.run(|list| drop(told.send(list))));
    ask.send(()).expect("it listens");
    let mut stream = asked(&listener);
    stream.write_all(HEAD).expect("open");
    for (generation, reset) in [(5, true), (4, false), (6, false), (2, true), (3, false)] {
        say(
            &mut stream,
            &format!("{{\"generation\":{generation},\"reset\":{reset}}}\n"),
        );
    }
    drop(stream);
    // The end of the watch is told as a failure.
    let taken: Vec<u64> = std::iter::from_fn(|| match news.recv_timeout(Duration::from_secs(10)) {
        Ok(DiscoveryEvent::List(list)) => Some(list.generation),
        _ => None,
    })
    .collect();
    assert_eq!(taken, [5, 6, 2, 3]);
}

#[test]
fn an_answer_that_is_no_watch_is_an_error() {
    let long = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: {}\r\n\r\n",
        "x".repeat(MAX_RESPONSE_HEAD)
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
        let (watcher, _ask) = Watcher::new(discovery, 0);
        let text = answer.to_vec();
        let answers = std::thread::spawn(move || {
            let mut stream = asked(&listener);
            // One that is refused half way may be closed by then.
            let _ = stream.write_all(&text);
        });
        let client = watcher.client();
        assert!(
            super::ask(&client, discovery, 0).is_err(),
            "{}",
            String::from_utf8_lossy(answer)
        );
        answers.join().expect("it asked once");
    }
}

#[test]
fn a_chunk_that_is_none_ends_the_watch_and_what_came_before_it_holds() {
    let endless = "1".repeat(BUFFERS.0 + 1);
    for spoilt in [
        "x\r\n{}\r\n",
        "ffffffffffffffffff\r\n{}\r\n",
        "2\r\n{}no end\r\n",
        "\r\n",
        "0\r\n\r\n",
        &endless,
    ] {
        let (mut stream, news) = stands();
        say(&mut stream, "{\"generation\":4}\n");
        assert!(
            matches!(
                news.recv_timeout(LONG),
                Ok(DiscoveryEvent::List(ServerList { generation: 4, .. }))
            ),
            "{spoilt:?}"
        );
        stream.write_all(spoilt.as_bytes()).expect("open");
        let mut ended = news.recv_timeout(WATCH_TIMEOUT / 2);
        if let Ok(DiscoveryEvent::List(_)) = ended {
            // What had come whole before the fault.
            ended = news.recv_timeout(WATCH_TIMEOUT / 2);
        }
        assert!(
            matches!(ended, Ok(DiscoveryEvent::Failed(_))),
            "{spoilt:?}: long before it is given up as silent"
        );
    }
}

/// A watcher of that discovery that has been asked once: what it tells, and the end that asks it again.
fn watches(discovery: SocketAddr) -> (Receiver<DiscoveryEvent>, Sender<()>) {
    let (watcher, ask) = Watcher::new(discovery, 0);
    let (told, news) = unbounded();
    std::thread::spawn(move || watcher.run(|list| drop(told.send(list))));
    ask.send(()).expect("it listens");
    (news, ask)
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
fn a_list_that_comes_byte_by_byte_and_never_ends_is_silence_from_its_beginning() {
    let (mut stream, news) = stands();
    say(&mut stream, "\n");
    say(&mut stream, "{\"generation\":");
    let blanks = std::iter::repeat_with(|| b"1\r\n \r\n".to_vec());
    std::thread::spawn(move || trickle(stream, blanks));
    let told = news.recv_timeout(WATCH_TIMEOUT * 3 / 2);
    assert!(
        matches!(told, Ok(DiscoveryEvent::TimedOut(quiet)) if quiet >= WATCH_TIMEOUT),
        "{told:?}"
    );
}

#[test]
fn a_head_that_comes_byte_by_byte_and_never_ends_is_silence_from_the_call() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (news, _ask) = watches(listener.local_addr().expect("bound"));
    let mut stream = asked(&listener);
    stream.write_all(b"HTTP/1.1 200 OK\r\nX: ").expect("open");
    std::thread::spawn(move || trickle(stream, std::iter::repeat_with(|| b"x".to_vec())));
    let told = news.recv_timeout(WATCH_TIMEOUT * 3 / 2);
    assert!(
        matches!(told, Ok(DiscoveryEvent::TimedOut(quiet)) if quiet >= WATCH_TIMEOUT),
        "{told:?}"
    );
}

#[test]
fn a_failure_that_is_known_late_is_told_with_the_time_that_it_took() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let discovery = listener.local_addr().expect("bound");
    let (news, ask) = watches(discovery);
    let late = Duration::from_millis(300);
    // Refused after a while.
    let mut stream = asked(&listener);
    std::thread::sleep(late);
    stream
        .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        .expect("open");
    let told = news.recv_timeout(LONG);
    assert!(
        matches!(told, Ok(DiscoveryEvent::Failed(quiet)) if quiet >= late),
        "{told:?}"
    );
    // Broken off a while after the last that was heard.
    ask.send(()).expect("it listens");
    let mut stream = asked(&listener);
    stream.write_all(HEAD).expect("open");
    say(&mut stream, "{\"generation\":4}\n");
    assert!(matches!(
        news.recv_timeout(LONG),
        Ok(DiscoveryEvent::List(_))
    ));
    std::thread::sleep(late);
    drop(stream);
    let told = news.recv_timeout(LONG);
    assert!(
        matches!(told, Ok(DiscoveryEvent::Failed(quiet)) if quiet >= late),
        "{told:?}"
    );
}

#[test]
fn a_connection_that_never_comes_up_fails_and_takes_its_part_of_the_time() {
    // One place in its line, which is taken.
    let full =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("loopback");
    full.listen(0).expect("bound");
    let full = std::net::TcpListener::from(full);
    let at = full.local_addr().expect("bound");
    let short = Duration::from_millis(100);
    let _line: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&at, short).ok()).collect();
    let (news, _ask) = watches(at);
    let told = news.recv_timeout(LONG);
    assert!(
        matches!(told, Ok(DiscoveryEvent::Failed(quiet)) if quiet >= CONNECT_TIMEOUT * 9 / 10),
        "{told:?}"
    );
}

#[test]
fn a_panic_in_a_watch_is_a_failure_and_the_next_ask_is_served() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (watcher, ask) = Watcher::new(listener.local_addr().expect("bound"), 0);
    let (told, news) = unbounded();
    std::thread::spawn(move || {
        watcher.run(|news| {
            assert!(
                !matches!(
                    news,
                    DiscoveryEvent::List(ServerList { generation: 13, .. })
                ),
                "the fault that is played"
            );
            drop(told.send(news));
        });
    });
    ask.send(()).expect("it listens");
    let mut stream = asked(&listener);
    stream.write_all(HEAD).expect("open");
    say(&mut stream, "{\"generation\":13}\n");
    assert!(matches!(
        news.recv_timeout(LONG),
        Ok(DiscoveryEvent::Failed(_))
    ));
    ask.send(()).expect("it listens");
    let mut stream = asked(&listener);
    stream.write_all(HEAD).expect("open");
    say(&mut stream, "{\"generation\":14}\n");
    assert!(matches!(
        news.recv_timeout(LONG),
        Ok(DiscoveryEvent::List(ServerList { generation: 14, .. }))
    ));
}
