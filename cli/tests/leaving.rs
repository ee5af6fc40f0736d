//! Stories of the end of a program: SIGTERM where deadlines are short, before the program is ready, twice, and beside
//! other signals.

mod support;

use std::time::{Duration, Instant};

use support::site::Site;
use support::*;

/// Longest deadline of the short settings.
const SHORT_DEADLINE: Duration = Duration::from_millis(1_200);
/// SIGKILL follows SIGTERM no sooner than so long after the longest deadline.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

fn short_deadlines() -> String {
    SETTINGS.replace("3000000000", &SHORT_DEADLINE.as_nanos().to_string())
}

/// Serves the next opening at a server, and gives its end.
fn serves(site: &Site, client: &mut Peer) -> Peer {
    let mut server = Peer::accept(&site.servers[0]);
    server.hear().expect("an opening");
    server.say("UP r1\r\n");
    client.hears("UP r1");
    server
}

#[test]
fn where_deadlines_are_short_everybody_is_moved_or_answered_before_the_program_may_be_killed() {
    let mut site = Site::start_on(&short_deadlines(), "short", 1, &[]);
    let mut standing: Vec<(Peer, Peer)> = (0..8).map(|_| site.stand()).collect();
    let mut silent = Peer::connect(site.at);
    let mut half = Peer::connect(site.at);
    half.say("OPEN b1 02 c=chat,t=ac");
    let mut in_flight = site.open("once", "");
    let mut asked = Peer::accept(&site.servers[0]);
    asked.hear().expect("an opening");
    let told = Instant::now();
    site.program.signal("TERM");
    site.program.says("to=leaving");
    // A front goes on sending newcomers for a while.
    let mut newcomer = site.open("chat", "");
    let newcomers_server = serves(&site, &mut newcomer);
    for (client, _) in &mut standing {
        client.hears("MOVE");
        client.ended();
    }
    newcomer.hears("MOVE");
    newcomer.ended();
    drop(newcomers_server);
    assert!(in_flight.hear().is_some(), "what is in flight has an answer");
    for opening in [&mut silent, &mut half] {
        let last = opening.hear();
        assert!(matches!(last.as_deref(), Some("ERR" | "BUSY") | None), "an answer or an end: {last:?}");
    }
    assert!(site.program.left(), "it leaves by itself");
    assert!(told.elapsed() < SHORT_DEADLINE + KILL_AFTER_DEADLINE, "{:?}", told.elapsed());
}
