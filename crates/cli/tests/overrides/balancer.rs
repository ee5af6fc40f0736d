//! A platform balancer with an administration API and a store, and the requests sent to them.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::support::{self, *};

/// A balancer with application servers, discovery, and a folder for its store.
pub struct Site {
    pub program: Option<Program>,
    pub address: SocketAddr,
    pub api: Api,
    pub servers: Vec<(String, TcpListener)>,
    pub discovery: Discovery,
    /// The watch that the program currently follows.
    pub discovery_watch: Peer,
    pub generation: u32,
    pub next_client_id: AtomicU32,
    pub folder: tempfile::TempDir,
    pub config_path: String,
    pub operator_path: String,
}

/// Default settings of `[overrides]` beside the file.
pub const DEFAULT_OVERRIDE_SETTINGS: &str = "ramp_s = 0.4";

impl Site {
    pub fn start(servers: usize) -> Site {
        Site::start_with_overrides(servers, DEFAULT_OVERRIDE_SETTINGS)
    }

    pub fn start_with_overrides(servers: usize, overrides: &str) -> Site {
        let folder = tempfile::tempdir().expect("temporary folder is writable");
        let (address, admin, discovery) =
            (reserve_address(), reserve_address(), Discovery::start());
        let servers: Vec<(String, TcpListener)> = (0..servers)
            .map(|number| (format!("s{number}"), listener()))
            .collect();
        let known_endpoints = endpoint_list(1, true, &serving_rows(&servers));
        let config = folder.path().join("config.json");
        let file_text =
            support::platform_config(address, discovery.address, &known_endpoints, SETTINGS, 256);
        std::fs::write(&config, file_text).expect("write succeeds");
        let operator = folder.path().join("operator.toml");
        let store = folder.path().join("overrides.redb");
        let file_text = format!(
            "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[overrides]\nfile = {store:?}\n{overrides}\n"
        );
        std::fs::write(&operator, file_text).expect("write succeeds");
        let (config, operator) = (path_to_string(&config), path_to_string(&operator));
        let program = start_program(&operator, &config);
        program.wait_for_log("serves front=platform");
        program.wait_for_log("administration API serves");
        let watch = discovery.accept_watch();
        Site {
            program: Some(program),
            address,
            api: Api {
                address: admin,
                token: ADMIN_TOKEN,
            },
            servers,
            discovery,
            discovery_watch: watch,
            generation: 1,
            next_client_id: AtomicU32::new(1),
            folder,
            config_path: config,
            operator_path: operator,
        }
    }

    pub fn store_path(&self) -> PathBuf {
        self.folder.path().join("overrides.redb")
    }

    pub fn program(&self) -> &Program {
        self.program.as_ref().expect("program is running")
    }

    /// Ends the program with a signal, runs `meanwhile`, and starts the program again.
    pub fn restart(&mut self, signal: &str, meanwhile: impl FnOnce(&Site)) {
        let mut program = self.program.take().expect("program is running");
        program.signal(signal);
        program.wait_for_exit();
        drop(program);
        meanwhile(self);
        let program = start_program(&self.operator_path, &self.config_path);
        program.wait_for_log("serves front=platform");
        program.wait_for_log("administration API serves");
        self.discovery_watch = self.discovery.accept_watch();
        self.program = Some(program);
    }

    /// Sends endpoints to the program and waits until it has applied them.
    pub fn send_endpoint_list(&mut self, reset: bool, rows: &[(&str, SocketAddr, &str)]) {
        self.generation += 1;
        send_endpoints(&mut self.discovery_watch, self.generation, reset, rows);
        self.program()
            .wait_for_log(&format!("generation={}", self.generation));
    }

    pub fn address(&self, server: usize) -> SocketAddr {
        self.servers[server]
            .1
            .local_addr()
            .expect("bound socket has a local address")
    }

    /// Connects a client and sends its opening, with this group.
    pub fn open_client(&self, group: &str) -> Peer {
        let mut client = Peer::connect(self.address);
        let id = self.next_client_id.fetch_add(1, Ordering::Relaxed);
        client.send(&format!("OPEN a{id} 02 c=chat,t=acme,d=2500,g={group}\r\n"));
        client
    }

    /// Establishes a connection; returns the number of the server that got it, and both ends.
    pub fn establish_connection(&self, group: &str) -> (usize, Peer, Peer) {
        let mut client = self.open_client(group);
        let (number, mut server) = self.accept_attempt();
        server.read_line().expect("an OPEN line");
        server.send("UP r1\r\n");
        client.expect_line("UP r1");
        (number, client, server)
    }

    /// Accepts the next attempt, at whichever server it arrives.
    pub fn accept_attempt(&self) -> (usize, Peer) {
        let try_accept = |(number, (_, server)): (usize, &(String, TcpListener))| {
            Some((number, Peer::try_accept(server)?))
        };
        wait_for("an attempt at a server", || {
            self.servers.iter().enumerate().find_map(try_accept)
        })
    }

    /// Establishes this many connections one after the other and keeps them open; returns the server of each.
    pub fn establish_connections(&self, count: usize) -> (Vec<usize>, Vec<(Peer, Peer)>) {
        // Each connection has its own group, so that session affinity does not draw them to one server.
        let open = |_| {
            let (number, client, server) = self
                .establish_connection(&format!("g{}", self.next_client_id.load(Ordering::Relaxed)));
            (number, (client, server))
        };
        (0..count).map(open).unzip()
    }
}

fn path_to_string(path: &Path) -> String {
    path.to_str().expect("valid UTF-8").to_owned()
}

fn start_program(operator: &str, config: &str) -> Program {
    Program::start(&["--operator", operator], &[("LB_CONFIG", config)])
}

fn serving_rows(servers: &[(String, TcpListener)]) -> Vec<(&str, SocketAddr, &'static str)> {
    let row = |(name, server): &'_ (String, TcpListener)| {
        (
            server
                .local_addr()
                .expect("bound socket has a local address"),
            name.len(),
        )
    };
    servers
        .iter()
        .map(|server| (server.0.as_str(), row(server).0, "SERVING"))
        .collect()
}

/// Timestamp of a log line, in Unix seconds.
pub fn log_timestamp(line: &str) -> f64 {
    line.split(' ')
        .next()
        .expect("line has a timestamp")
        .parse()
        .expect("value is a number")
}

/// Request body of a new override that expires after this many seconds.
pub fn override_body(kind: &str, seconds: f64) -> String {
    format!(r#"{{{kind},"who":"ada","why":"maintenance","expires_in_s":{seconds}}}"#)
}

/// Request body of a new override that takes a server out.
pub fn out_override_body(server: &str, seconds: f64) -> String {
    override_body(&format!(r#""kind":"out","server":"{server}""#), seconds)
}
