//! A platform balancer with its application servers and discovery.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use super::{
    Discovery, Peer, Program, SETTINGS, endpoint_list, listener, reserve_address, write_temp_file,
};

/// Descriptors that a balancer may hold: the minimum that the platform grants.
const SOCKET_LIMIT: usize = 256;

/// A balancer with application servers `s0`, `s1` and so on.
pub struct Site {
    pub program: Program,
    pub address: SocketAddr,
    pub servers: Vec<TcpListener>,
    pub discovery: Discovery,
    /// Path of the configuration file; its text is in `config`.
    pub config_path: String,
    pub config: String,
    /// Id of the next opening.
    next_client_id: AtomicU32,
}

impl Site {
    pub fn start(name: &str, servers: usize) -> Site {
        Site::start_with_env(name, servers, &[])
    }

    /// Like `start`, with additional environment variables.
    pub fn start_with_env(name: &str, servers: usize, env: &[(&str, &str)]) -> Site {
        Site::start_with_settings(SETTINGS, name, servers, env)
    }

    /// Like `start_with_env`, with other settings.
    pub fn start_with_settings(
        settings: &str,
        name: &str,
        servers: usize,
        env: &[(&str, &str)],
    ) -> Site {
        let (address, discovery) = (reserve_address(), Discovery::start());
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
                    server
                        .local_addr()
                        .expect("bound socket has a local address"),
                    "SERVING",
                )
            })
            .collect();
        let known_endpoints = endpoint_list(1, true, &rows);
        let config = super::platform_config(
            address,
            discovery.address,
            &known_endpoints,
            settings,
            SOCKET_LIMIT,
        );
        let config_path = write_temp_file(name, &config);
        // As on the platform, the variable keeps the first address after a reload.
        let discovery_address = discovery.address.to_string();
        let env = [
            &[
                ("LB_CONFIG", config_path.as_str()),
                ("LB_DISCOVERY", &discovery_address),
            ],
            env,
        ]
        .concat();
        let program = Program::start(&[], &env);
        program.wait_for_log("to=serving");
        Site {
            program,
            address,
            servers,
            discovery,
            config_path,
            config,
            next_client_id: AtomicU32::new(1),
        }
    }

    /// Connects a client and sends its opening.
    pub fn open_client(&self, class: &str, extra: &str) -> Peer {
        let mut client = Peer::connect(self.address);
        let id = self.next_client_id.fetch_add(1, Ordering::Relaxed);
        client.send(&format!(
            "OPEN a{id} 02 c={class},t=acme,d=2500,g=3{extra}\r\n"
        ));
        client
    }

    /// Establishes a connection and returns its client and server ends.
    pub fn establish_connection(&self) -> (Peer, Peer) {
        let mut client = self.open_client("chat", "");
        let server = self.accept_opening(&mut client);
        (client, server)
    }

    /// Has the first server accept the next opening, which is this client's, and returns the server's end.
    pub fn accept_opening(&self, client: &mut Peer) -> Peer {
        let mut server = Peer::accept(&self.servers[0]);
        server.read_line().expect("an OPEN line");
        server.send("UP r1\r\n");
        client.expect_line("UP r1");
        server
    }
}
