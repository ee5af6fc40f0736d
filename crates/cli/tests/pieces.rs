//! Tests of peers that send data in fragments, fall silent, or disconnect midway.

mod support;

use std::time::Duration;

use support::site::Site;
use support::*;

/// A balancer whose only server accepts every request.
fn start_balancer(name: &str) -> Site {
    let mut site = Site::start(name, 1);
    serve_all_openings(site.servers.remove(0));
    site
}

#[test]
fn serves_request_split_at_every_byte() {
    let site = start_balancer("pieces");
    let request = "OPEN p00 02 c=chat,t=acme,d=2500,g=3\r\n";
    for cut in 1..request.len() {
        let unique_request = request.replace("p00", &format!("p{cut:02}"));
        let mut client = Peer::connect(site.address);
        client.stream.set_nodelay(true).expect("socket is open");
        client.send("PING\r\n");
        client.expect_line("PONG");
        let (head, rest) = unique_request.split_at(cut);
        client.send(head);
        // The answer to another client's PING shows that the program has had time to read the first fragment.
        let mut other = Peer::connect(site.address);
        other.send("PING\r\n");
        other.expect_line("PONG");
        client.send(rest);
        client.expect_line("UP r");
    }
    let mut client = site.open_client("chat", "");
    client.stream.set_nodelay(true).expect("socket is open");
    client.expect_line("UP r");
    for byte in "a line of several words\r\n".bytes() {
        client.send(&char::from(byte).to_string());
    }
    client.expect_line("ok");
}

#[test]
fn releases_descriptors_of_clients_that_disconnect_early() {
    let site = start_balancer("away");
    let descriptor_count = || {
        std::fs::read_dir(format!("/proc/{}/fd", site.program.pid()))
            .expect("program is running")
            .count()
    };
    let mut first = site.open_client("chat", "");
    first.expect_line("UP r");
    let initial_count = descriptor_count();
    let request = "OPEN w00 02 c=chat,t=acme,d=2500,g=3\r\nhalf a li";
    for cut in 1..request.len() {
        let mut client = Peer::connect(site.address);
        client.send(&request.replace("w00", &format!("w{cut:02}"))[..cut]);
        if cut % 2 == 0 {
            client.shutdown_write();
        }
    }
    let deadline = std::time::Instant::now() + TEST_TIMEOUT;
    while descriptor_count() > initial_count {
        assert!(
            std::time::Instant::now() < deadline,
            "{} descriptors open, {initial_count} initially",
            descriptor_count()
        );
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    first.send("still here\r\n");
    first.expect_line("ok");
}

/// An answer that begins in time but arrives in fragments must not count as slow.
#[test]
fn measures_answer_latency_to_its_first_byte() {
    let settings = SETTINGS.replacen(
        '{',
        r#"{"family-info":{"message-aim-ns":[50000000,50000000]},"#,
        1,
    );
    let site = Site::start_with_settings(&settings, "whole", 1, &[("BEACONFLOW_LOG", "debug")]);
    let (mut client, mut server) = site.establish_connection();
    let fragment_delay = Duration::from_millis(150);
    client.send("M 1\r\n");
    server.expect_line("M 1");
    server.send("o");
    client.read_text(1);
    std::thread::sleep(fragment_delay);
    // A LOAD line in between is no answer; neither is the rest of the line that the answer began.
    server.send("k\r\nLOAD 12.5\r\n");
    client.expect_line("k");
    client.expect_line("LOAD 12.5");
    let latency_event_count = |lines: &[String]| {
        lines
            .iter()
            .filter(|line| line.contains("MessageLatency("))
            .count()
    };
    assert_eq!(
        latency_event_count(&site.program.read_log_until("Load(12.5)")),
        0,
        "no latency event: the first byte arrived at once"
    );
    // An answer that begins late counts as slow, also after the rest of a line that began in time.
    client.send("M 2\r\n");
    server.expect_line("M 2");
    server.send("LOA");
    client.read_text(3);
    std::thread::sleep(fragment_delay);
    server.send("D 13.5\r\nok\r\n");
    client.expect_line("D 13.5");
    client.expect_line("ok");
    site.program.wait_for_log("MessageLatency(");
    // A late answer counts in one fragment or in two.
    for pieces in [&["ok\r\n"][..], &["o", "k\r\n"]] {
        client.send("M 2\r\n");
        server.expect_line("M 2");
        std::thread::sleep(fragment_delay);
        for piece in pieces {
            server.send(piece);
            client.read_text(piece.len());
        }
        site.program.wait_for_log("MessageLatency(");
    }
}
