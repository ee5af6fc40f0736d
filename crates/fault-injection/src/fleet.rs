//! A whole fleet: processes of the program, servers, discovery, front and clients, connected by links.

mod balancer;
mod config;
mod failures;
mod waits;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tempfile::TempDir;

use crate::checker::{CheckReport, Rules};
use crate::client::{Client, ClientConfig};
use crate::discovery::{Discovery, Lifecycle, ListedServer};
use crate::fault::Fault;
use crate::front::Front;
use crate::net::Net;
use crate::options::FleetOptions;
use crate::process::{self, Disk};
use crate::record::Record;
use crate::server::Server;
pub use balancer::Balancer;
pub use config::{ConfigVersion, FleetConfig};

/// A running fleet.
pub struct Fleet {
    /// The record that all parts of the fleet append to.
    pub record: Record,
    /// The links, named `clients>b0`, `b0>s1`, `b0>discovery` and `b0~b1`.
    pub net: Net,
    /// The discovery service, which lists all servers from the start.
    pub discovery: Discovery,
    /// The servers `s0`, `s1` and so on, by number.
    pub servers: Vec<Server>,
    /// The processes `b0`, `b1` and so on, by number.
    pub balancers: Vec<Balancer>,
    /// The front that distributes the clients over the processes.
    pub front: Front,
    clients: BTreeMap<String, Client>,
    config: FleetConfig,
    ids: Arc<AtomicU64>,
    shared_dir: TempDir,
}

impl Fleet {
    /// Starts servers, discovery and links; [`Fleet::start`] starts the processes.
    pub fn new(config: FleetConfig) -> Fleet {
        let record = Record::default();
        let net = Net::start(&record, config.seed);
        let discovery = Discovery::start(&record);
        let server = |number| Server::start(&format!("s{number}"), config.server_profile, &record);
        let servers: Vec<Server> = (0..config.servers).map(server).collect();
        for server in &servers {
            discovery.upsert(ListedServer {
                name: server.name().to_owned(),
                zone: "a".into(),
                lifecycle: Lifecycle::Serving,
                weight: 1.0,
                started_at_ms: 0,
            });
        }
        let front = Front::new(config.removal_delay);
        let ids = Arc::new(AtomicU64::new(1));
        let balancers = Vec::new();
        let (clients, shared_dir) = (BTreeMap::new(), process::temporary_dir());
        let mut fleet = Fleet {
            record,
            net,
            discovery,
            servers,
            balancers,
            front,
            clients,
            config,
            ids,
            shared_dir,
        };
        let attempts = Arc::new(AtomicU64::new(1));
        for rank in 0..fleet.config.balancers {
            let balancer = fleet.balancer(rank, &attempts);
            fleet.balancers.push(balancer);
        }
        // The operator's file of each process lists the addresses of all processes, which are known only now.
        for number in 0..fleet.balancers.len() {
            fleet.write_operator(number);
        }
        fleet
    }

    /// Gives stopped processes the current endpoint list as their last known list. Otherwise they have the initial
    /// list.
    pub fn refresh_known_lists(&mut self, numbers: &[usize]) {
        for &number in numbers {
            let platform = self.platform_config(&self.balancers[number]);
            self.balancers[number]
                .process
                .configure(Some(platform), None);
        }
    }

    /// Starts processes by number and heals their links from the clients.
    pub fn start(&mut self, numbers: &[usize], disk: Disk) {
        for &number in numbers {
            let balancer = &mut self.balancers[number];
            self.net
                .fault(&format!("clients>{}", balancer.name), Fault::Heal);
            balancer.process.start(disk);
        }
    }

    /// Starts all processes and waits until the front has all of them available.
    pub fn start_all(&mut self) {
        let all: Vec<usize> = (0..self.balancers.len()).collect();
        self.start(&all, Disk::Kept);
        for balancer in &self.balancers {
            self.front
                .add_process(&balancer.name, balancer.front_address);
        }
        self.wait_until_available(all.len());
    }

    /// Kills processes at once; client connections to them are reset and new ones refused.
    pub fn kill(&mut self, numbers: &[usize]) {
        for &number in numbers {
            self.balancers[number].process.kill();
        }
        for &number in numbers {
            let balancer = &mut self.balancers[number];
            balancer.process.wait_for_exit();
            self.net
                .fault(&format!("clients>{}", balancer.name), Fault::Refuse);
        }
    }

    /// Sets the configuration version that a stopped process uses at its next start.
    pub fn configure(&mut self, number: usize, version: ConfigVersion) {
        self.balancers[number].version = version;
        let platform = self.platform_config(&self.balancers[number]);
        self.balancers[number]
            .process
            .configure(Some(platform), None);
        self.write_operator(number);
    }

    /// Rolls a configuration version out to a process: terminates it, waits for a clean exit and restarts it.
    pub fn roll_out(&mut self, number: usize, version: ConfigVersion) {
        let started = self
            .record
            .step(&format!("b{number} is restarted with {version:?}"));
        let balancer = &mut self.balancers[number];
        balancer.process.terminate();
        assert!(
            balancer.process.wait_for_exit(),
            "b{number} exited with an error status; latest events:\n{}",
            self.record.recent_events()
        );
        self.net.fault(&format!("clients>b{number}"), Fault::Refuse);
        self.configure(number, version);
        self.start(&[number], Disk::Kept);
        self.wait_for_log(started, &format!("b{number}"), "\"to\":\"serving\"");
    }

    /// The mechanisms that the processes share, if they form a fleet.
    pub fn options(&self) -> Option<&FleetOptions> {
        self.config.options.as_ref()
    }

    /// Starts clients. Their seeds derive from the seed of the fleet.
    pub fn start_clients(&mut self, clients: impl IntoIterator<Item = ClientConfig>) {
        for config in clients {
            let seed = self
                .config
                .seed
                .wrapping_add(self.ids.fetch_add(1, Ordering::Relaxed));
            let name = config.key.clone();
            let client = Client::start(config, &self.front, &self.record, &self.ids, seed);
            self.clients.insert(name, client);
        }
    }

    /// The number of clients started.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Stops all clients and processes, and checks all rules against the record.
    pub fn finish(mut self, rules: &Rules) -> CheckReport {
        self.clients.values().for_each(Client::stop);
        std::mem::take(&mut self.clients)
            .into_values()
            .for_each(Client::join);
        self.front.stop();
        for balancer in &mut self.balancers {
            if balancer.process.pid().is_some() {
                balancer.process.terminate();
                balancer.process.wait_for_exit();
            }
        }
        rules.check(&self.record, self.config.seed)
    }
}
