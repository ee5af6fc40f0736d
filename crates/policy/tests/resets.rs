//! Broken connections: those of the network speak against no server, those of one server against it.

mod common;

use beaconflow_policy::*;
use common::*;

const SERVERS: u64 = 8;

/// A gateway with twenty connections on each of eight servers; gives them by server.
fn farm() -> (Gateway, Vec<Vec<u64>>) {
    let mut gateway = Gateway::with_servers(settings(), SERVERS as u32);
    let mut there = vec![Vec::new(); SERVERS as usize];
    for request in 0..SERVERS * 20 {
        let server = request % SERVERS;
        let event = Event::ConnectionAdopted {
            request: arrival(request, SAFE, 0),
            server: ServerId(server as u32),
        };
        gateway.tell(event);
        there[server as usize].push(request);
    }
    (gateway, there)
}

/// Breaks the oldest connection of a server; a new client comes. Gives where it went, if anywhere at once.
fn breaks(
    gateway: &mut Gateway,
    there: &mut [Vec<u64>],
    server: usize,
    next: &mut u64,
) -> Option<ServerId> {
    let request = there[server].remove(0);
    gateway.close(request, 0, AttemptOutcome::Reset);
    *next += 1;
    let went = gateway
        .stand(arrival(*next, SAFE, gateway.now))
        .first()
        .copied();
    if let Some(to) = went {
        there[to.0 as usize].push(*next);
    }
    went
}

#[test]
fn breaks_on_all_servers_alike_hold_no_newcomer_up() {
    let (mut gateway, mut there) = farm();
    let (mut next, mut held_up) = (10_000, 0);
    for at in 0..80 {
        // One each 0.1 s, on the servers in turn.
        let went = breaks(&mut gateway, &mut there, at % SERVERS as usize, &mut next);
        held_up += usize::from(at >= 24 && went.is_none());
        gateway.pass(100 * MS);
    }
    assert_eq!(
        held_up, 0,
        "of 56 newcomers once the network's breaks are known for what they are"
    );
}

#[test]
fn breaks_on_one_server_keep_newcomers_away_from_it_alone() {
    let (mut gateway, mut there) = farm();
    let (mut next, mut to_it) = (10_000, 0);
    for _ in 0..12 {
        let went = breaks(&mut gateway, &mut there, 3, &mut next);
        assert!(went.is_some(), "the others take it");
        to_it += usize::from(went == Some(ServerId(3)));
        gateway.pass(100 * MS);
    }
    assert_eq!(to_it, 0);
}

#[test]
fn a_server_that_breaks_more_than_its_part_is_found_among_the_networks_breaks() {
    let (mut gateway, mut there) = farm();
    let (mut next, mut to_it, mut to_others) = (10_000, 0, 0);
    for at in 0..60 {
        // Of two breaks one is the fifth server's, the other falls on the servers in turn.
        for server in [5, at % SERVERS as usize] {
            if there[server].is_empty() {
                continue;
            }
            match breaks(&mut gateway, &mut there, server, &mut next) {
                Some(ServerId(5)) => to_it += 1,
                Some(_) => to_others += 1,
                None => {}
            }
        }
        gateway.pass(100 * MS);
    }
    assert!(
        to_it * 20 <= to_others,
        "{to_it} to it, {to_others} to the others"
    );
}
