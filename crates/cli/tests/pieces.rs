//! Stories of peers that speak in pieces, fall silent, or walk away half way.

mod support;

use std::time::Duration;

use support::site::Site;
use support::*;

/// A balancer whose only server takes every opening.
fn site(name: &str) -> Site {
    let mut site = Site::start(name, 1);
    serve_all_openings(site.servers.remove(0));
    site
}

#[test]
fn an_opening_and_a_line_cut_at_every_byte_are_served_as_if_whole() {
    let site = site("pieces");
    let whole = "OPEN p00 02 c=chat,t=acme,d=2500,g=3\r\n";
    for cut in 1..whole.len() {
        let opening = whole.replace("p00", &format!("p{cut:02}"));
        let mut client = Peer::connect(site.address);
        client.stream.set_nodelay(true).expect("open");
        client.send("PING\r\n");
        client.expect_line("PONG");
        let (head, rest) = opening.split_at(cut);
        client.send(head);
        // An answer to another's question: the first piece has been there for as long as this takes.
        let mut other = Peer::connect(site.address);
        other.send("PING\r\n");
        other.expect_line("PONG");
        client.send(rest);
        client.expect_line("UP r");
    }
    let mut client = site.open_client("chat", "");
    client.stream.set_nodelay(true).expect("open");
    client.expect_line("UP r");
    for byte in "a line of several words\r\n".bytes() {
        client.send(&char::from(byte).to_string());
    }
    client.expect_line("ok");
}

#[test]
fn clients_that_walk_away_half_way_leave_nothing_behind() {
    let site = site("away");
    let descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", site.program.pid()))
            .expect("it runs")
            .count()
    };
    let mut first = site.open_client("chat", "");
    first.expect_line("UP r");
    let before = descriptors();
    let whole = "OPEN w00 02 c=chat,t=acme,d=2500,g=3\r\nhalf a li";
    for cut in 1..whole.len() {
        let mut client = Peer::connect(site.address);
        client.send(&whole.replace("w00", &format!("w{cut:02}"))[..cut]);
        if cut % 2 == 0 {
            client.shutdown_write();
        }
    }
    let until = std::time::Instant::now() + TEST_TIMEOUT;
    while descriptors() > before {
        assert!(
            std::time::Instant::now() < until,
            "{} descriptors, {before} before",
            descriptors()
        );
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    first.send("still here\r\n");
    first.expect_line("ok");
}

#[test]
fn an_answer_that_comes_in_pieces_is_no_slow_answer() {
    let settings = SETTINGS.replacen(
        '{',
        r#"{"family-info":{"message-aim-ns":[50000000,50000000]},"#,
        1,
    );
    let site = Site::start_with_settings(&settings, "whole", 1, &[("BEACONFLOW_LOG", "debug")]);
    let (mut client, mut server) = site.establish_connection();
    let rest_comes_after = Duration::from_millis(150);
    client.send("M 1\r\n");
    server.expect_line("M 1");
    server.send("o");
    client.read_text(1);
    std::thread::sleep(rest_comes_after);
    // What comes in between is no answer; neither is the end of the line that the answer began.
    server.send("k\r\nLOAD 12.5\r\n");
    client.expect_line("k");
    client.expect_line("LOAD 12.5");
    let noted = |lines: &[String]| {
        lines
            .iter()
            .filter(|line| line.contains("MessageLatency("))
            .count()
    };
    assert_eq!(
        noted(&site.program.read_log_until("Load(12.5)")),
        0,
        "the first piece came at once"
    );
    // An answer that begins late is a slow one, also behind the end of a line that began in time.
    client.send("M 2\r\n");
    server.expect_line("M 2");
    server.send("LOA");
    client.read_text(3);
    std::thread::sleep(rest_comes_after);
    server.send("D 13.5\r\nok\r\n");
    client.expect_line("D 13.5");
    client.expect_line("ok");
    site.program.wait_for_log("MessageLatency(");
    // The same in one piece or in two.
    for pieces in [&["ok\r\n"][..], &["o", "k\r\n"]] {
        client.send("M 2\r\n");
        server.expect_line("M 2");
        std::thread::sleep(rest_comes_after);
        for piece in pieces {
            server.send(piece);
            client.read_text(piece.len());
        }
        site.program.wait_for_log("MessageLatency(");
    }
}
