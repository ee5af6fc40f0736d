//! Resets of established connections: resets caused by the network count against no server, those of
//! one server count against it.

mod common;

use beaconflow_policy::*;
use common::*;

const SERVERS: u64 = 8;

/// A balancer with twenty connections on each of eight servers, and the connections by server.
fn balancer_with_connections() -> (TestBalancer, Vec<Vec<u64>>) {
    let mut balancer = TestBalancer::with_servers(settings(), SERVERS as u32);
    let mut connections = vec![Vec::new(); SERVERS as usize];
    for request in 0..SERVERS * 20 {
        let server = request % SERVERS;
        let event = Event::ConnectionAdopted {
            request: connect_request(request, IDEMPOTENT, 0),
            server: ServerId(server as u32),
        };
        balancer.handle(event);
        connections[server as usize].push(request);
    }
    (balancer, connections)
}

/// Resets the oldest connection of a server, then connects a new client. Returns the server of the
/// new connection, if it is placed at once.
fn reset_and_connect(
    balancer: &mut TestBalancer,
    connections: &mut [Vec<u64>],
    server: usize,
    next_request: &mut u64,
) -> Option<ServerId> {
    let request = connections[server].remove(0);
    balancer.close(request, 0, AttemptOutcome::Reset);
    *next_request += 1;
    let placed_on = balancer
        .connect(connect_request(*next_request, IDEMPOTENT, balancer.now))
        .first()
        .copied();
    if let Some(server) = placed_on {
        connections[server.0 as usize].push(*next_request);
    }
    placed_on
}

#[test]
fn network_resets_delay_no_new_client() {
    let (mut balancer, mut connections) = balancer_with_connections();
    let (mut next_request, mut delayed) = (10_000, 0);
    for index in 0..80 {
        // One reset every 0.1 s, on each server in turn.
        let placed_on = reset_and_connect(
            &mut balancer,
            &mut connections,
            index % SERVERS as usize,
            &mut next_request,
        );
        delayed += usize::from(index >= 24 && placed_on.is_none());
        balancer.advance(100 * MS);
    }
    assert_eq!(
        delayed, 0,
        "of 56 new clients were delayed after the resets proved to be the network's"
    );
}

#[test]
fn resets_eject_only_the_resetting_server() {
    let (mut balancer, mut connections) = balancer_with_connections();
    let (mut next_request, mut to_resetting) = (10_000, 0);
    for _ in 0..12 {
        let placed_on = reset_and_connect(&mut balancer, &mut connections, 3, &mut next_request);
        assert!(placed_on.is_some(), "another server should take the client");
        to_resetting += usize::from(placed_on == Some(ServerId(3)));
        balancer.advance(100 * MS);
    }
    assert_eq!(to_resetting, 0, "clients placed on the resetting server");
}

#[test]
fn excess_resets_are_detected_among_network_resets() {
    let (mut balancer, mut connections) = balancer_with_connections();
    let (mut next_request, mut to_resetting, mut to_others) = (10_000, 0, 0);
    for index in 0..60 {
        // One of two resets is on server 5, the other on each server in turn.
        for server in [5, index % SERVERS as usize] {
            if connections[server].is_empty() {
                continue;
            }
            match reset_and_connect(&mut balancer, &mut connections, server, &mut next_request) {
                Some(ServerId(5)) => to_resetting += 1,
                Some(_) => to_others += 1,
                None => {}
            }
        }
        balancer.advance(100 * MS);
    }
    assert!(
        to_resetting * 20 <= to_others,
        "{to_resetting} clients went to the resetting server, {to_others} to the others"
    );
}
