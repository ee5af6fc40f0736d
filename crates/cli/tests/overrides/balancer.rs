//! A platform's balancer with an administration API and a store, and what it is asked.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::support::{self, *};

/// A balancer with application servers, discovery and a folder for its store.
pub struct Site {
    pub program: Option<Program>,
    pub at: SocketAddr,
    pub api: Api,
    pub servers: Vec<(String, TcpListener)>,
    pub discovery: Discovery,
    /// The watch that the program follows now.
    pub watch: Peer,
    pub generation: u32,
    pub next: AtomicU32,
    pub folder: tempfile::TempDir,
    pub config: String,
    pub operator: String,
}

/// What is set of overrides beside their file.
pub const USUAL: &str = "ramp_s = 0.4";

impl Site {
    pub fn start(servers: usize) -> Site {
        Site::set_up(servers, USUAL)
    }

    pub fn set_up(servers: usize, overrides: &str) -> Site {
        let folder = tempfile::tempdir().expect("a folder for temporary files");
        let (at, admin, discovery) = (free(), free(), Discovery::start());
        let servers: Vec<(String, TcpListener)> = (0..servers)
            .map(|number| (format!("s{number}"), listener()))
            .collect();
        let known = list(1, true, &serving(&servers));
        let config = folder.path().join("config.json");
        let text = support::config(at, discovery.address, &known, SETTINGS, 256);
        std::fs::write(&config, text).expect("room");
        let operator = folder.path().join("operator.toml");
        let store = folder.path().join("overrides.redb");
        let text = format!(
            "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[overrides]\nfile = {store:?}\n{overrides}\n"
        );
        std::fs::write(&operator, text).expect("room");
        let (config, operator) = (text_of(&config), text_of(&operator));
        let program = begin(&operator, &config);
        program.says("serves front=platform");
        program.says("administration API serves");
        let watch = discovery.watch();
        Site {
            program: Some(program),
            at,
            api: Api {
                at: admin,
                token: ADMIN_TOKEN,
            },
            servers,
            discovery,
            watch,
            generation: 1,
            next: AtomicU32::new(1),
            folder,
            config,
            operator,
        }
    }

    pub fn store(&self) -> PathBuf {
        self.folder.path().join("overrides.redb")
    }

    pub fn program(&self) -> &Program {
        self.program.as_ref().expect("it runs")
    }

    /// Ends the program by a signal and starts it again, with its last list or without.
    pub fn restart(&mut self, signal: &str, meanwhile: impl FnOnce(&Site)) {
        let mut program = self.program.take().expect("it runs");
        program.signal(signal);
        program.ends();
        drop(program);
        meanwhile(self);
        let program = begin(&self.operator, &self.config);
        program.says("serves front=platform");
        program.says("administration API serves");
        self.watch = self.discovery.watch();
        self.program = Some(program);
    }

    /// Tells the program of its farm, and waits until it knows.
    pub fn list(&mut self, reset: bool, rows: &[(&str, SocketAddr, &str)]) {
        self.generation += 1;
        tell(&mut self.watch, self.generation, reset, rows);
        self.program()
            .says(&format!("generation={}", self.generation));
    }

    pub fn address(&self, server: usize) -> SocketAddr {
        self.servers[server].1.local_addr().expect("bound")
    }

    /// A client that has sent its opening, of a group.
    pub fn open(&self, group: &str) -> Peer {
        let mut client = Peer::connect(self.at);
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        client.say(&format!("OPEN a{id} 02 c=chat,t=acme,d=2500,g={group}\r\n"));
        client
    }

    /// Opens a connection and lets the server that is asked serve it; tells which one was.
    pub fn stand(&self, group: &str) -> (usize, Peer, Peer) {
        let mut client = self.open(group);
        let (number, mut server) = self.asked();
        server.hear().expect("an opening");
        server.say("UP r1\r\n");
        client.hears("UP r1");
        (number, client, server)
    }

    /// The next attempt, at whichever server it comes in.
    pub fn asked(&self) -> (usize, Peer) {
        let come = |(number, (_, server)): (usize, &(String, TcpListener))| {
            Some((number, Peer::accept_now(server)?))
        };
        wait_for("an attempt at a server", || {
            self.servers.iter().enumerate().find_map(come)
        })
    }

    /// Where so many connections go, one after the other; all stay open.
    pub fn spread(&self, count: usize) -> (Vec<usize>, Vec<(Peer, Peer)>) {
        // Groups of their own, so that no group's place draws them to one server.
        let open = |_| {
            let (number, client, server) =
                self.stand(&format!("g{}", self.next.load(Ordering::Relaxed)));
            (number, (client, server))
        };
        (0..count).map(open).unzip()
    }
}

fn text_of(path: &Path) -> String {
    path.to_str().expect("text").to_owned()
}

fn begin(operator: &str, config: &str) -> Program {
    Program::start(&["--operator", operator], &[("LB_CONFIG", config)])
}

fn serving(servers: &[(String, TcpListener)]) -> Vec<(&str, SocketAddr, &'static str)> {
    let row = |(name, server): &'_ (String, TcpListener)| {
        (server.local_addr().expect("bound"), name.len())
    };
    servers
        .iter()
        .map(|server| (server.0.as_str(), row(server).0, "SERVING"))
        .collect()
}

/// When a line was written, in Unix seconds.
pub fn stamp(line: &str) -> f64 {
    line.split(' ')
        .next()
        .expect("a stamp")
        .parse()
        .expect("a number")
}

/// A body of a new override.
pub fn body(kind: &str, seconds: f64) -> String {
    format!(r#"{{{kind},"who":"ada","why":"maintenance","expires_in_s":{seconds}}}"#)
}

pub fn out(server: &str, seconds: f64) -> String {
    body(&format!(r#""kind":"out","server":"{server}""#), seconds)
}
