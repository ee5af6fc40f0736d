//! How a run begins, and how clients and their connections come about.

use beaconflow_policy::{ClassId, ClientKey, ConnectRequest, Event, GroupId, RequestId, ServerId};

use super::model::{Client, Had, Phase, Request};
use super::{Engine, Occurrence};
use crate::gateway::EstablishedConnection;
use crate::{Nanos, SECOND};

impl Engine<'_> {
    pub(super) fn begin(&mut self) {
        for rank in 0..self.nodes.len() {
            self.tell_list(rank as u32, true);
            self.joins(rank as u32);
            self.has_places(rank as u32);
            self.has_edge(rank as u32);
        }
        for class in 0..self.scenario.classes.len() {
            for _ in 0..self.scenario.classes[class].standing {
                self.place_initial_clients(class as u32);
            }
            self.schedule_request(class as u32);
        }
        for failure in 0..self.scenario.failures.len() {
            let at = self.scenario.failures[failure].get_ref().at_s();
            self.after(
                at,
                Occurrence::Fails {
                    failure: failure as u32,
                },
            );
        }
        self.push(SECOND - 1, Occurrence::Second);
    }

    pub(super) fn schedule_request(&mut self, class: u32) {
        let rate = self.scenario.classes[class as usize].a_second;
        if rate > 0.0 {
            let wait = self.rng.exponential(1.0 / rate);
            self.after(wait, Occurrence::Arrives { class });
        }
    }

    pub(super) fn client(&mut self, class: u32, account: Option<u32>) -> u64 {
        let parts: f64 = self
            .scenario
            .accounts
            .iter()
            .map(|account| account.part)
            .sum();
        let account = account.unwrap_or_else(|| {
            let mut at = self.rng.even() * parts;
            let found = self.scenario.accounts.iter().position(|account| {
                at -= account.part;
                at < 0.0
            });
            found.unwrap_or(0) as u32
        });
        let groups = self.scenario.clients.groups;
        let group = (groups > 0).then(|| self.rng.pick(groups as usize) as u32);
        let id = self.next_client;
        self.next_client += 1;
        let key = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.scenario.seed;
        let client = Client {
            class,
            account,
            group,
            key,
            since: self.now,
            tries: 0,
            returns: false,
            floods_until: 0,
            had: None,
        };
        self.clients.insert(id, client);
        id
    }

    pub(super) fn draw_load(&mut self, class: u32) -> f64 {
        let class = &self.scenario.classes[class as usize];
        self.rng.log_normal(class.load_us, class.load_sigma)
    }

    /// A connection that stands when the run begins: on a gateway by chance, at a balancer by chance.
    pub(super) fn place_initial_clients(&mut self, class: u32) {
        let client = self.client(class, None);
        let mut balancer = self.rng.pick(self.nodes.len()) as u32;
        let home = self.home(client);
        while home.is_some_and(|home| self.zone(balancer) != home) {
            balancer = self.rng.pick(self.nodes.len()) as u32;
        }
        let mut gateway = self.rng.pick(self.machines.len()) as u32;
        while self.configurations.all[0].gateways[gateway as usize].is_none()
            || home.is_some_and(|home| self.zone(gateway) != home)
        {
            gateway = self.rng.pick(self.machines.len()) as u32;
        }
        let load = self.draw_load(class);
        let request = self.open(client, balancer, load);
        let connect_request = self.arrival(request, client, Nanos::MAX);
        self.settle(request, gateway);
        self.requests.get_mut(&request).expect("opened").attempts = 1;
        self.was_placed(balancer, request, client, gateway);
        self.tell(
            balancer,
            Event::ConnectionAdopted {
                request: connect_request,
                server: ServerId(gateway),
            },
        );
    }

    /// The zone whose balancers a client comes to, if it is not to all alike.
    pub(super) fn home(&self, client: u64) -> Option<u32> {
        let zones = u64::from(self.scenario.zones);
        self.by_zone
            .then(|| (self.clients[&client].key % zones) as u32)
    }

    pub(super) fn open(&mut self, client: u64, balancer: u32, load: f64) -> u64 {
        let request = self.next_request;
        self.next_request += 1;
        let start = self.nodes[balancer as usize].start;
        self.requests.insert(
            request,
            Request {
                client,
                balancer,
                start,
                attempts: 0,
                phase: Phase::Waits,
                load,
            },
        );
        request
    }

    pub(super) fn arrival(&self, request: u64, client: u64, deadline_at: Nanos) -> ConnectRequest {
        let client = &self.clients[&client];
        ConnectRequest {
            request: RequestId(request),
            deadline_at,
            class: ClassId(client.class as usize),
            client_key: Some(ClientKey(client.key)),
            group: client
                .group
                .map(|group| GroupId(u64::from(group).wrapping_mul(0xbf58_476d_1ce4_e5b9))),
            is_reconnect: client.returns,
            expected_load: None,
            pin: None,
        }
    }

    /// A connection stands at a gateway from now on; its life and its changes are drawn.
    pub(super) fn settle(&mut self, request: u64, gateway: u32) {
        let Some(one) = self.requests.get_mut(&request) else {
            return;
        };
        one.phase = Phase::Stands { gateway };
        let (client, load) = (one.client, one.load);
        self.counts(client, true);
        if let Some(one) = self.clients.get_mut(&client) {
            one.had = Some(Had {
                gateway,
                since: self.now,
                moved: false,
            });
        }
        let (class, group) = (self.clients[&client].class, self.clients[&client].group);
        let machine = &mut self.machines[gateway as usize];
        machine
            .gateway
            .establish(self.now, request, EstablishedConnection { load, group });
        let class = &self.scenario.classes[class as usize];
        let (life, changes) = (class.life_s, class.changes_s);
        let life = self.rng.exponential(life);
        self.after(life, Occurrence::Over { request });
        if changes > 0.0 {
            let wait = self.rng.exponential(changes);
            self.after(wait, Occurrence::Changes { request });
        }
    }
}
