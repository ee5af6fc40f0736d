//! Processes of a fleet over loopback: the program with an operator's file, application servers and a key.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use super::{
    ADMIN_TOKEN, Api, Discovery, Peer, Program, SETTINGS, TEST_TIMEOUT, endpoint_list, listener,
    platform_config, reserve_address,
};

/// Enough clients that chance does not send all of them back to the server they had: one in 4,096.
pub const CLIENT_COUNT: usize = 12;

/// Serves every opening, and tells of it: the server's number and the client's key.
pub fn spawn_server(number: usize, server: TcpListener, told: Sender<(usize, String)>) {
    std::thread::spawn(move || {
        while let Ok((stream, _)) = server.accept() {
            let told = told.clone();
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                let Some(opening) = peer.read_line() else {
                    return;
                };
                let key = opening.split(' ').nth(2).expect("a key").to_owned();
                let _ = told.send((number, key));
                peer.send("UP r1\r\n");
                while peer.read_line_or_end().is_some() {}
            });
        }
    });
}

/// What all processes of a test share.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub discovery: Discovery,
    pub known_endpoints: String,
    pub settings: String,
    pub openings: Receiver<(usize, String)>,
    pub peer_addresses: Vec<SocketAddr>,
}

/// One of them.
pub struct Process {
    pub program: Program,
    pub address: SocketAddr,
    pub api: Api,
}

pub fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind((reserve_address().ip(), 0)).expect("loopback");
    socket.local_addr().expect("bound")
}

impl Fleet {
    pub fn start(processes: usize, servers: usize) -> Fleet {
        let (told, openings) = channel();
        let mut rows = Vec::new();
        for number in 0..servers {
            let server = listener();
            rows.push((format!("s{number}"), server.local_addr().expect("bound")));
            spawn_server(number, server, told.clone());
        }
        let rows: Vec<(&str, SocketAddr, &str)> = rows
            .iter()
            .map(|(name, at)| (name.as_str(), *at, "SERVING"))
            .collect();
        Fleet::with_endpoints(processes, &endpoint_list(1, true, &rows), openings)
    }

    /// A fleet that knows this list.
    pub fn with_endpoints(
        processes: usize,
        known: &str,
        openings: Receiver<(usize, String)>,
    ) -> Fleet {
        let folder = tempfile::tempdir().expect("a folder for temporary files");
        let key = folder.path().join("key");
        std::fs::write(&key, "0123456789abcdef".repeat(4)).expect("room");
        std::fs::set_permissions(&key, PermissionsExt::from_mode(0o600)).expect("its owner may");
        let peers = (0..processes).map(|_| free_udp_address()).collect();
        let (known, settings) = (known.to_owned(), SETTINGS.to_owned());
        Fleet {
            folder,
            discovery: Discovery::start(),
            known_endpoints: known,
            settings,
            openings,
            peer_addresses: peers,
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
    pub fn write_operator_file(&self, number: usize, api: SocketAddr, sections: &str) -> String {
        let operator = self.path(&format!("operator-{number}"));
        let admin = format!("[admin]\nlisten = \"{api}\"\ntoken = \"{ADMIN_TOKEN}\"\n");
        std::fs::write(&operator, admin + sections).expect("room");
        operator
    }

    /// Starts it.
    pub fn start_process(&self, number: usize, sections: &str) -> Process {
        let (at, api) = (reserve_address(), reserve_address());
        let config = platform_config(
            at,
            self.discovery.address,
            &self.known_endpoints,
            &self.settings,
            256,
        );
        let path = self.path(&format!("config-{number}"));
        std::fs::write(&path, config).expect("room");
        let operator = self.write_operator_file(number, api, sections);
        let program = Program::start(&["--operator", &operator], &[("LB_CONFIG", &path)]);
        Process {
            program,
            address: at,
            api: Api {
                address: api,
                token: ADMIN_TOKEN,
            },
        }
    }

    pub fn operator_sections(&self, number: usize, affinity: &str) -> String {
        self.operator_sections_with(number, "", affinity)
    }

    /// With further fields of `[fleet]`, too.
    pub fn operator_sections_with(&self, number: usize, fleet: &str, affinity: &str) -> String {
        let peers: Vec<String> = self
            .peer_addresses
            .iter()
            .map(|peer| format!("\"{peer}\""))
            .collect();
        format!(
            "[fleet]\nname = \"gate-{number}\"\nsite = \"north\"\nlisten = \"{}\"\nkey_file = \"{}\"\n\
             peers = [{}]\n{fleet}\n[memory]\npath = \"{}\"\n[affinity]\n{affinity}\n",
            self.peer_addresses[number],
            self.path("key"),
            peers.join(", "),
            self.path(&format!("memory-{number}")),
        )
    }

    /// All clients open through a process, in an order drawn from the name; where each came to stand. Guards against
    /// a rotation that deals the same clients to the same servers because they come in the same order.
    pub fn connect_all_clients(
        &self,
        process: &Process,
        named: &str,
    ) -> (Vec<Peer>, BTreeMap<String, usize>) {
        let mut order: Vec<usize> = (0..CLIENT_COUNT).collect();
        let hash = |number: &usize| {
            let words = named.bytes().chain(number.to_be_bytes());
            words.fold(14_695_981_039_346_656_037_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
            })
        };
        order.sort_by_key(hash);
        let mut places = BTreeMap::new();
        let clients = order.into_iter().map(|number| {
            let mut client = Peer::connect(process.address);
            client.send(&format!(
                "OPEN {named}{number} k{number} c=chat,t=acme,d=2500\r\n"
            ));
            client.expect_line("UP r1");
            let (server, key) = self
                .openings
                .recv_timeout(TEST_TIMEOUT)
                .expect("an opening");
            places.insert(key, server);
            client
        });
        (clients.collect(), places)
    }
}

impl Process {
    /// Waits until a field of the fleet's is this.
    pub fn wait_for_fleet_field(&self, field: &str, value: usize) {
        let until = Instant::now() + TEST_TIMEOUT;
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
    pub fn wait_for_farm(
        &self,
        what: &str,
        within: Duration,
        is_so: impl Fn(&serde_json::Value) -> bool,
    ) {
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
