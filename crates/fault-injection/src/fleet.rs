//! A whole fleet: processes of the program, servers, discovery, front and clients, with a link between any two.

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

/// A fleet that runs.
pub struct Fleet {
    /// What happened.
    pub record: Record,
    /// The links: `clients>b0`, `b0>s1`, `b0>discovery`.
    pub net: Net,
    /// Discovery.
    pub discovery: Discovery,
    /// The servers.
    pub servers: Vec<Server>,
    /// The processes.
    pub balancers: Vec<Balancer>,
    /// The front.
    pub front: Front,
    clients: BTreeMap<String, Client>,
    config: FleetConfig,
    ids: Arc<AtomicU64>,
    shared_dir: TempDir,
}

impl Fleet {
    /// Starts servers, discovery and links; the processes are started by `start`.
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
        // Each is told of all the others.
        for number in 0..fleet.balancers.len() {
            fleet.write_operator(number);
        }
        fleet
    }

    /// Has processes that do not run take the present list for what they last knew. They know the first list else.
    pub fn refresh_known_lists(&mut self, numbers: &[usize]) {
        for &number in numbers {
            let platform = self.platform_config(&self.balancers[number]);
            self.balancers[number]
                .process
                .configure(Some(platform), None);
        }
    }

    /// Starts processes.
    pub fn start(&mut self, numbers: &[usize], disk: Disk) {
        for &number in numbers {
            let balancer = &mut self.balancers[number];
            self.net
                .fault(&format!("clients>{}", balancer.name), Fault::Heal);
            balancer.process.start(disk);
        }
    }

    /// Starts all of them, and waits until the front has taken all in.
    pub fn start_all(&mut self) {
        let all: Vec<usize> = (0..self.balancers.len()).collect();
        self.start(&all, Disk::Kept);
        for balancer in &self.balancers {
            self.front
                .add_process(&balancer.name, balancer.front_address);
        }
        self.wait_until_available(all.len());
    }

    /// Kills processes at once; what connects to them is reset and then refused.
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

    /// Has a process, that does not run, start with another version of the configuration the next time.
    pub fn configure(&mut self, number: usize, version: ConfigVersion) {
        self.balancers[number].version = version;
        let platform = self.platform_config(&self.balancers[number]);
        self.balancers[number]
            .process
            .configure(Some(platform), None);
        self.write_operator(number);
    }

    /// Rolls a version out to a process: it is told to leave, ends in order, and starts anew with it.
    pub fn roll_out(&mut self, number: usize, version: ConfigVersion) {
        let started = self
            .record
            .step(&format!("b{number} is rolled to {version:?}"));
        let balancer = &mut self.balancers[number];
        balancer.process.terminate();
        assert!(
            balancer.process.wait_for_exit(),
            "b{number} ended in disorder; {}",
            self.record.recent_events()
        );
        self.net.fault(&format!("clients>b{number}"), Fault::Refuse);
        self.configure(number, version);
        self.start(&[number], Disk::Kept);
        self.wait_for_log(started, &format!("b{number}"), "\"to\":\"serving\"");
    }

    /// What its processes know together.
    pub fn options(&self) -> Option<&FleetOptions> {
        self.config.options.as_ref()
    }

    /// Starts clients.
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

    /// How many clients there are.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Ends all clients and processes, and checks every rule over all that happened.
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
