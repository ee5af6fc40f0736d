//! Start of a run, and creation of clients and their connections.

use beaconflow_policy::{ClassId, ClientKey, ConnectRequest, Event, GroupId, RequestId, ServerId};

use super::model::{Client, LastGateway, Phase, Request};
use super::{Engine, ScheduledEvent};
use crate::gateway::EstablishedConnection;
use crate::{Nanos, SECOND};

impl Engine<'_> {
    pub(super) fn schedule_initial_events(&mut self) {
        for rank in 0..self.balancers.len() {
            self.deliver_server_list(rank as u32, true);
            self.start_node(rank as u32);
            self.init_placements(rank as u32);
            self.init_edge(rank as u32);
        }
        for class in 0..self.scenario.classes.len() {
            for _ in 0..self.scenario.classes[class].standing {
                self.place_initial_clients(class as u32);
            }
            self.schedule_request(class as u32);
        }
        for failure in 0..self.scenario.failures.len() {
            let at = self.scenario.failures[failure].get_ref().at_s();
            self.schedule_after(
                at,
                ScheduledEvent::FailureBegan {
                    failure: failure as u32,
                },
            );
        }
        self.schedule_at(SECOND - 1, ScheduledEvent::SecondElapsed);
    }

    pub(super) fn schedule_request(&mut self, class: u32) {
        let rate = self.scenario.classes[class as usize].a_second;
        if rate > 0.0 {
            let wait = self.rng.exponential(1.0 / rate);
            self.schedule_after(wait, ScheduledEvent::ClientCreated { class });
        }
    }

    pub(super) fn new_client(&mut self, class: u32, account: Option<u32>) -> u64 {
        let total_part: f64 = self
            .scenario
            .accounts
            .iter()
            .map(|account| account.part)
            .sum();
        let account = account.unwrap_or_else(|| {
            let mut at = self.rng.uniform() * total_part;
            let found = self.scenario.accounts.iter().position(|account| {
                at -= account.part;
                at < 0.0
            });
            found.unwrap_or(0) as u32
        });
        let groups = self.scenario.clients.groups;
        let group = (groups > 0).then(|| self.rng.uniform_index(groups as usize) as u32);
        let id = self.next_client;
        self.next_client += 1;
        let key = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.scenario.seed;
        let client = Client {
            class,
            account,
            group,
            key,
            requested_at: self.now,
            tries: 0,
            is_reconnect: false,
            floods_until: 0,
            last_gateway: None,
        };
        self.clients.insert(id, client);
        id
    }

    pub(super) fn draw_load(&mut self, class: u32) -> f64 {
        let class = &self.scenario.classes[class as usize];
        self.rng.log_normal(class.load_us, class.load_sigma)
    }

    /// Creates a connection that exists when the run begins, on a random gateway through a random balancer.
    pub(super) fn place_initial_clients(&mut self, class: u32) {
        let client = self.new_client(class, None);
        let mut balancer = self.rng.uniform_index(self.balancers.len()) as u32;
        let home = self.home_zone(client);
        while home.is_some_and(|home| self.zone(balancer) != home) {
            balancer = self.rng.uniform_index(self.balancers.len()) as u32;
        }
        let mut gateway = self.rng.uniform_index(self.gateways.len()) as u32;
        while self.configurations.all[0].gateways[gateway as usize].is_none()
            || home.is_some_and(|home| self.zone(gateway) != home)
        {
            gateway = self.rng.uniform_index(self.gateways.len()) as u32;
        }
        let load = self.draw_load(class);
        let request = self.open_request(client, balancer, load);
        let connect_request = self.connect_request(request, client, Nanos::MAX);
        self.establish_connection(request, gateway);
        self.requests
            .get_mut(&request)
            .expect("the request was just opened")
            .attempts = 1;
        self.record_initial_placement(balancer, request, client, gateway);
        self.send_event(
            balancer,
            Event::ConnectionAdopted {
                request: connect_request,
                server: ServerId(gateway),
            },
        );
    }

    /// The zone whose balancers a client connects to; `None` if it uses the balancers of all zones.
    pub(super) fn home_zone(&self, client: u64) -> Option<u32> {
        let zones = u64::from(self.scenario.zones);
        self.routes_by_zone
            .then(|| (self.clients[&client].key % zones) as u32)
    }

    pub(super) fn open_request(&mut self, client: u64, balancer: u32, load: f64) -> u64 {
        let request = self.next_request;
        self.next_request += 1;
        let incarnation = self.balancers[balancer as usize].incarnation;
        self.requests.insert(
            request,
            Request {
                client,
                balancer,
                incarnation,
                attempts: 0,
                phase: Phase::Waiting,
                load,
            },
        );
        request
    }

    pub(super) fn connect_request(
        &self,
        request: u64,
        client: u64,
        deadline_at: Nanos,
    ) -> ConnectRequest {
        let client = &self.clients[&client];
        ConnectRequest {
            request: RequestId(request),
            deadline_at,
            class: ClassId(client.class as usize),
            client_key: Some(ClientKey(client.key)),
            group: client
                .group
                .map(|group| GroupId(u64::from(group).wrapping_mul(0xbf58_476d_1ce4_e5b9))),
            is_reconnect: client.is_reconnect,
            expected_load: None,
            pin: None,
        }
    }

    /// Establishes a connection on a gateway and draws its lifetime and its first load change.
    pub(super) fn establish_connection(&mut self, request: u64, gateway: u32) {
        let Some(request_state) = self.requests.get_mut(&request) else {
            return;
        };
        request_state.phase = Phase::Established { gateway };
        let (client, load) = (request_state.client, request_state.load);
        self.count_established(client, true);
        if let Some(client_state) = self.clients.get_mut(&client) {
            client_state.last_gateway = Some(LastGateway {
                gateway,
                established_at: self.now,
                was_migrated: false,
            });
        }
        let (class, group) = (self.clients[&client].class, self.clients[&client].group);
        let gateway_state = &mut self.gateways[gateway as usize];
        gateway_state
            .gateway
            .establish(self.now, request, EstablishedConnection { load, group });
        let class = &self.scenario.classes[class as usize];
        let (mean_lifetime_s, changes) = (class.life_s, class.changes_s);
        let lifetime_s = self.rng.exponential(mean_lifetime_s);
        self.schedule_after(
            lifetime_s,
            ScheduledEvent::ConnectionLifetimeOver { request },
        );
        if changes > 0.0 {
            let wait = self.rng.exponential(changes);
            self.schedule_after(wait, ScheduledEvent::LoadChanged { request });
        }
    }
}
