//! Processes of a fleet over loopback: the program with an operator's file, application servers and a key.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use super::{
    ADMIN_TOKEN, Api, Discovery, PATIENCE, Peer, Program, SETTINGS, config, free, list, listener,
};

/// Enough clients that chance does not send all of them back to the server they had: one in 4,096.
pub const CLIENTS: usize = 12;

/// Serves every opening, and tells of it: the server's number and the client's key.
pub fn serves(number: usize, server: TcpListener, told: Sender<(usize, String)>) {
    std::thread::spawn(move || {
        while let Ok((stream, _)) = server.accept() {
            let told = told.clone();
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                let Some(opening) = peer.hear() else { return };
                let key = opening.split(' ').nth(2).expect("a key").to_owned();
                let _ = told.send((number, key));
                peer.say("UP r1\r\n");
                while peer.hear_or_end().is_some() {}
            });
        }
    });
}

/// What all processes of a test share.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub discovery: Discovery,
    pub known: String,
    pub settings: String,
    pub openings: Receiver<(usize, String)>,
    pub peers: Vec<SocketAddr>,
}

/// One of them.
pub struct Process {
    pub program: Program,
    pub at: SocketAddr,
    pub api: Api,
}

pub fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind((free().ip(), 0)).expect("loopback");
    socket.local_addr().expect("bound")
}

impl Fleet {
    pub fn start(processes: usize, servers: usize) -> Fleet {
        let (told, openings) = channel();
        let mut rows = Vec::new();
        for number in 0..servers {
            let server = listener();
            rows.push((format!("s{number}"), server.local_addr().expect("bound")));
            serves(number, server, told.clone());
        }
        let rows: Vec<(&str, SocketAddr, &str)> = rows
            .iter()
            .map(|(name, at)| (name.as_str(), *at, "SERVING"))
            .collect();
        Fleet::of(processes, &list(1, true, &rows), openings)
    }

    /// A fleet that knows this list.
    pub fn of(processes: usize, known: &str, openings: Receiver<(usize, String)>) -> Fleet {
        let folder = tempfile::tempdir().expect("a folder for temporary files");
        let key = folder.path().join("key");
        std::fs::write(&key, "0123456789abcdef".repeat(4)).expect("room");
        std::fs::set_permissions(&key, PermissionsExt::from_mode(0o600)).expect("its owner may");
        let peers = (0..processes).map(|_| free_udp()).collect();
        let (known, settings) = (known.to_owned(), SETTINGS.to_owned());
        Fleet {
            folder,
            discovery: Discovery::start(),
            known,
            settings,
            openings,
            peers,
        }
    }

    pub fn path(&self, name: &str) -> String {
        self.folder
            .path()
            .join(name)
            .to_str()
            .expect("text")
            .to_owned()
    }

    /// Writes the operator's file of the process of that number, with the sections that it has beside the API's.
    pub fn write_operator(&self, number: usize, api: SocketAddr, sections: &str) -> String {
        let operator = self.path(&format!("operator-{number}"));
        let admin = format!("[admin]\nlisten = \"{api}\"\ntoken = \"{ADMIN_TOKEN}\"\n");
        std::fs::write(&operator, admin + sections).expect("room");
        operator
    }

    /// Starts it.
    pub fn process(&self, number: usize, sections: &str) -> Process {
        let (at, api) = (free(), free());
        let config = config(at, self.discovery.address, &self.known, &self.settings, 256);
        let path = self.path(&format!("config-{number}"));
        std::fs::write(&path, config).expect("room");
        let operator = self.write_operator(number, api, sections);
        let program = Program::start(&["--operator", &operator], &[("LB_CONFIG", &path)]);
        Process {
            program,
            at,
            api: Api {
                at: api,
                token: ADMIN_TOKEN,
            },
        }
    }

    pub fn sections(&self, number: usize, affinity: &str) -> String {
        self.sections_with(number, "", affinity)
    }

    /// With further fields of `[fleet]`, too.
    pub fn sections_with(&self, number: usize, fleet: &str, affinity: &str) -> String {
        let peers: Vec<String> = self
            .peers
            .iter()
            .map(|peer| format!("\"{peer}\""))
            .collect();
        format!(
            "[fleet]\nname = \"gate-{number}\"\nsite = \"north\"\nlisten = \"{}\"\nkey_file = \"{}\"\n\
             peers = [{}]\n{fleet}\n[memory]\npath = \"{}\"\n[affinity]\n{affinity}\n",
            self.peers[number],
            self.path("key"),
            peers.join(", "),
            self.path(&format!("memory-{number}")),
        )
    }

    /// All clients open through a process, in an order drawn from the name; where each came to stand. Guards against
    /// a rotation that deals the same clients to the same servers because they come in the same order.
    pub fn open_all(&self, process: &Process, named: &str) -> (Vec<Peer>, BTreeMap<String, usize>) {
        let mut order: Vec<usize> = (0..CLIENTS).collect();
        let hash = |number: &usize| {
            let words = named.bytes().chain(number.to_be_bytes());
            words.fold(14_695_981_039_346_656_037_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
            })
        };
        order.sort_by_key(hash);
        let mut places = BTreeMap::new();
        let clients = order.into_iter().map(|number| {
            let mut client = Peer::connect(process.at);
            client.say(&format!(
                "OPEN {named}{number} k{number} c=chat,t=acme,d=2500\r\n"
            ));
            client.hears("UP r1");
            let (server, key) = self.openings.recv_timeout(PATIENCE).expect("an opening");
            places.insert(key, server);
            client
        });
        (clients.collect(), places)
    }
}

impl Process {
    /// Waits until a field of the fleet's is this.
    pub fn waits_for(&self, field: &str, value: usize) {
        let until = Instant::now() + PATIENCE;
        loop {
            let farm = self.api.call("GET", "/v1/farm", "").body;
            if farm["fleet"][field] == value {
                return;
            }
            assert!(
                Instant::now() < until,
                "{field} is not {value}: {}",
                farm["fleet"]
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until what the API shows of the farm is so.
    pub fn shows(&self, what: &str, within: Duration, is_so: impl Fn(&serde_json::Value) -> bool) {
        let until = Instant::now() + within;
        loop {
            let farm = self.api.call("GET", "/v1/farm", "").body;
            if is_so(&farm) {
                return;
            }
            assert!(Instant::now() < until, "not {what}: {farm}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
