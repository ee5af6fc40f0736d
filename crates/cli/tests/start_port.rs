//! Tests of the port that a start listens on: a connection that the system gave this port doesn't end the start.
//!
//! They stand apart from the other tests of the start, which open thousands of connections: each may be given the same port, and
//! keeps it for a minute.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use support::*;

/// A restarted process is to be ready within this time.
const MAX_READY_TIME: Duration = Duration::from_secs(6);

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("listener is bound")
}

/// Starts a balancer that listens on this address; fails unless it serves.
fn start_on(name: &str, address: SocketAddr) -> (Program, Discovery) {
    let discovery = Discovery::start();
    let server = reserve_address();
    let known_endpoints = endpoint_list(1, true, &[("s0", server, "SERVING")]);
    let config = platform_config(address, discovery.address, &known_endpoints, SETTINGS, 256);
    let path = write_temp_file(name, &config);
    let program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
    program.wait_for_log("to=serving");
    Peer::connect(address).send("PING\r\n");
    (program, discovery)
}

/// Number of sockets with this local address, open or closed. The system gives a port to several connections, also to those of
/// other tests that have ended, which keep it without the option that the balancer's have.
fn sockets_with_port(address: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table is readable");
    let local = format!(": 0100007F:{:04X} ", address.port());
    table.lines().filter(|line| line.contains(&local)).count()
}

/// Guards against a start that fails because another balancer's connection to a server was given its port by the system,
/// while that connection is open and after the balancer has closed it.
#[test]
fn starts_on_port_of_other_balancers_connection() {
    for is_closed in [false, true] {
        let site = support::site::Site::start("port-holder", 1);
        let mut others = Vec::new();
        let (client, server, held) = loop {
            let (client, server) = site.establish_connection();
            let held = server.stream.peer_addr().expect("socket is open");
            if sockets_with_port(held) == 1 {
                break (client, server, held);
            }
            others.push((client, server));
        };
        let mut server = Some(server);
        if is_closed {
            // The balancer closes first, so that its end waits for stray packets.
            drop(client);
            let mut server = server.take().expect("the server's end");
            assert!(server.is_closed());
            drop(server);
        }
        let (program, _discovery) = start_on("port-wanted", held);
        drop((program, server));
    }
}

/// Opens another program's connection to this server, and returns it with its address. No connection of other tests comes
/// from there, so nothing but this connection holds the port.
fn connect_from_own_address(server: &TcpListener) -> (Socket, SocketAddr) {
    let own_address = SocketAddr::new(address_of(&listener()).ip(), 0);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket is created");
    socket
        .bind(&own_address.into())
        .expect("socket binds to loopback");
    socket
        .connect(&address_of(server).into())
        .expect("the listener is open");
    let held = socket.local_addr().expect("socket is open");
    (socket, held.as_socket().expect("an address of IPv4"))
}

/// Guards against a start that fails because another program's connection has its port for a moment.
#[test]
fn start_waits_for_port_of_short_connection() {
    let server = listener();
    let (connection, held) = connect_from_own_address(&server);
    let holder = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(1_500));
        // A reset leaves nothing behind.
        connection
            .set_linger(Some(Duration::ZERO))
            .expect("socket is open");
    });
    let began_at = Instant::now();
    let (_program, _discovery) = start_on("port-held", held);
    println!("ready after {:?}", began_at.elapsed());
    assert!(began_at.elapsed() <= MAX_READY_TIME);
    holder.join().expect("the holder ends");
}
