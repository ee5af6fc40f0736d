//! A platform's balancer with its application servers and discovery.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use super::{Discovery, Peer, Program, SETTINGS, file, free, list, listener};

/// Descriptors that a balancer may hold: the least that the platform gives.
const SOCKETS: usize = 256;

/// A balancer with application servers `s0`, `s1` and so on.
pub struct Site {
    pub program: Program,
    pub at: SocketAddr,
    pub servers: Vec<TcpListener>,
    pub discovery: Discovery,
    /// Its configuration file, and what stands in it.
    pub path: String,
    pub config: String,
    /// The next id.
    next: AtomicU32,
}

impl Site {
    pub fn start(name: &str, servers: usize) -> Site {
        Site::start_with(name, servers, &[])
    }

    /// The same, with further variables.
    pub fn start_with(name: &str, servers: usize, env: &[(&str, &str)]) -> Site {
        Site::start_on(SETTINGS, name, servers, env)
    }

    /// The same, on other settings.
    pub fn start_on(settings: &str, name: &str, servers: usize, env: &[(&str, &str)]) -> Site {
        let (at, discovery) = (free(), Discovery::start());
        let servers: Vec<TcpListener> = (0..servers).map(|_| listener()).collect();
        let names: Vec<String> = (0..servers.len())
            .map(|number| format!("s{number}"))
            .collect();
        let rows: Vec<(&str, SocketAddr, &str)> = names
            .iter()
            .zip(&servers)
            .map(|(name, server)| {
                (
                    name.as_str(),
                    server.local_addr().expect("bound"),
                    "SERVING",
                )
            })
            .collect();
        let known = list(1, true, &rows);
        let config = super::config(at, discovery.address, &known, settings, SOCKETS);
        let path = file(name, &config);
        // As on the platform: the variable goes on naming the first address after a reload.
        let old = discovery.address.to_string();
        let env = [&[("LB_CONFIG", path.as_str()), ("LB_DISCOVERY", &old)], env].concat();
        let program = Program::start(&[], &env);
        program.says("to=serving");
        Site {
            program,
            at,
            servers,
            discovery,
            path,
            config,
            next: AtomicU32::new(1),
        }
    }

    /// A client that has sent its opening.
    pub fn open(&self, class: &str, extra: &str) -> Peer {
        let mut client = Peer::connect(self.at);
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        client.say(&format!(
            "OPEN a{id} 02 c={class},t=acme,d=2500,g=3{extra}\r\n"
        ));
        client
    }

    /// A standing connection: client and server.
    pub fn stand(&self) -> (Peer, Peer) {
        let mut client = self.open("chat", "");
        let server = self.serve(&mut client);
        (client, server)
    }

    /// Has the first server take the next opening, which is this client's; its connection there.
    pub fn serve(&self, client: &mut Peer) -> Peer {
        let mut server = Peer::accept(&self.servers[0]);
        server.hear().expect("an opening");
        server.say("UP r1\r\n");
        client.hears("UP r1");
        server
    }
}
