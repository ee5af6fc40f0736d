//! A whole fleet: processes of the program, servers, discovery, front and clients, with a link between any two.

mod balancer;
mod failures;
mod shape;
mod waits;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tempfile::TempDir;

use crate::checker::{Checked, Rules};
use crate::client::{Client, Plan};
use crate::discovery::{Discovery, Lifecycle, Listed};
use crate::fault::Fault;
use crate::front::Front;
use crate::net::Net;
use crate::process::{self, Disk};
use crate::record::Record;
use crate::server::Server;
use crate::together::Together;
pub use balancer::Balancer;
pub use shape::{Shape, Version};

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
    shape: Shape,
    ids: Arc<AtomicU64>,
    shared: TempDir,
}

impl Fleet {
    /// Starts servers, discovery and links; the processes are started by `start`.
    pub fn new(shape: Shape) -> Fleet {
        let record = Record::default();
        let net = Net::start(&record, shape.seed);
        let discovery = Discovery::start(&record);
        let server = |number| Server::start(&format!("s{number}"), shape.ability, &record);
        let servers: Vec<Server> = (0..shape.servers).map(server).collect();
        for server in &servers {
            discovery.list(Listed {
                name: server.name().to_owned(),
                zone: "a".into(),
                lifecycle: Lifecycle::Serving,
                weight: 1.0,
                started_at_ms: 0,
            });
        }
        let front = Front::new(shape.notice);
        let ids = Arc::new(AtomicU64::new(1));
        let balancers = Vec::new();
        let (clients, shared) = (BTreeMap::new(), process::folder());
        let mut fleet = Fleet {
            record,
            net,
            discovery,
            servers,
            balancers,
            front,
            clients,
            shape,
            ids,
            shared,
        };
        let attempts = Arc::new(AtomicU64::new(1));
        for rank in 0..fleet.shape.balancers {
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
    pub fn learn(&mut self, which: &[usize]) {
        for &number in which {
            let platform = self.platform(&self.balancers[number]);
            self.balancers[number]
                .process
                .configure(Some(platform), None);
        }
    }

    /// Starts processes.
    pub fn start(&mut self, which: &[usize], disk: Disk) {
        for &number in which {
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
            self.front.watches(&balancer.name, balancer.reached_at);
        }
        self.are_open(all.len());
    }

    /// Kills processes at once; what connects to them is reset and then refused.
    pub fn kill(&mut self, which: &[usize]) {
        for &number in which {
            self.balancers[number].process.kill();
        }
        for &number in which {
            let balancer = &mut self.balancers[number];
            balancer.process.ends();
            self.net
                .fault(&format!("clients>{}", balancer.name), Fault::Refuse);
        }
    }

    /// Has a process, that does not run, start with another version of the configuration the next time.
    pub fn configure(&mut self, number: usize, version: Version) {
        self.balancers[number].version = version;
        let platform = self.platform(&self.balancers[number]);
        self.balancers[number]
            .process
            .configure(Some(platform), None);
        self.write_operator(number);
    }

    /// Rolls a version out to a process: it is told to leave, ends in order, and starts anew with it.
    pub fn roll(&mut self, number: usize, version: Version) {
        let begun = self
            .record
            .step(&format!("b{number} is rolled to {version:?}"));
        let balancer = &mut self.balancers[number];
        balancer.process.tell_to_leave();
        assert!(
            balancer.process.ends(),
            "b{number} ended in disorder; {}",
            self.record.tail()
        );
        self.net.fault(&format!("clients>b{number}"), Fault::Refuse);
        self.configure(number, version);
        self.start(&[number], Disk::Kept);
        self.says(begun, &format!("b{number}"), "\"to\":\"serving\"");
    }

    /// What its processes know together.
    pub fn together(&self) -> Option<&Together> {
        self.shape.together.as_ref()
    }

    /// Starts clients.
    pub fn clients(&mut self, plans: impl IntoIterator<Item = Plan>) {
        for plan in plans {
            let seed = self
                .shape
                .seed
                .wrapping_add(self.ids.fetch_add(1, Ordering::Relaxed));
            let name = plan.key.clone();
            let client = Client::start(plan, &self.front, &self.record, &self.ids, seed);
            self.clients.insert(name, client);
        }
    }

    /// How many clients there are.
    pub fn count(&self) -> usize {
        self.clients.len()
    }

    /// Ends all clients and processes, and checks every rule over all that happened.
    pub fn finish(mut self, rules: &Rules) -> Checked {
        self.clients.values().for_each(Client::leaves);
        std::mem::take(&mut self.clients)
            .into_values()
            .for_each(Client::ends);
        self.front.ends();
        for balancer in &mut self.balancers {
            if balancer.process.pid().is_some() {
                balancer.process.tell_to_leave();
                balancer.process.ends();
            }
        }
        rules.check(&self.record, self.shape.seed)
    }
}
