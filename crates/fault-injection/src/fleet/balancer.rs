//! One process of a fleet: where it is, its links, and its files.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use serde_json::json;

use super::{Fleet, Version};
use crate::address::ReservedAddress;
use crate::fault::Fault;
use crate::net::Link;
use crate::process::Process;
use crate::together::{self, Addresses};
use crate::{address, observers};

/// Where datagrams are heard.
const DATAGRAMS: u16 = 7_100;

/// One process and where it is.
pub struct Balancer {
    /// Its name.
    pub name: String,
    /// The process.
    pub process: Process,
    /// Where clients reach it, by its link from the front.
    pub reached_at: SocketAddr,
    /// Where it listens itself.
    pub listens: SocketAddr,
    /// What its configuration says where versions of it differ.
    pub version: Version,
    _reservation: ReservedAddress,
    pub(super) admin: ReservedAddress,
    rank: usize,
    discovery: SocketAddr,
    datagrams: SocketAddr,
    known_as: SocketAddr,
}

impl Fleet {
    /// A process that has not been started, with its links.
    pub(super) fn balancer(&self, rank: usize, attempts: &Arc<AtomicU64>) -> Balancer {
        let name = format!("b{rank}");
        let (source, kept) = (address::party(), ReservedAddress::default());
        let listens = kept.at;
        self.link_to_servers(&name, source, attempts);
        let discovery = self.link_to_discovery(&name, source);
        let reached_at = self.net.link(Link::new("clients", &name, listens));
        self.net.fault(&format!("clients>{name}"), Fault::Refuse);
        let process = Process::new(&name, &self.shape.program, &self.record, String::new(), "");
        // Nobody else of this machine is at this address.
        let datagrams = SocketAddr::new(source, DATAGRAMS);
        let known_as = self.net.party(&name, datagrams);
        let mut balancer = Balancer {
            name,
            process,
            reached_at,
            listens,
            version: Version {
                serial: 1,
                worth: 1.0,
            },
            _reservation: kept,
            admin: ReservedAddress::default(),
            rank,
            discovery,
            datagrams,
            known_as,
        };
        let platform = self.platform(&balancer);
        balancer.process.configure(Some(platform), None);
        balancer
    }

    /// Links a process with each server, and has discovery tell it of the servers by these links.
    fn link_to_servers(&self, name: &str, source: IpAddr, attempts: &Arc<AtomicU64>) {
        let linked = self.servers.iter().map(|server| {
            let mut link = Link::new(name, server.name(), server.at);
            link.source = Some(source);
            link.make_observer = Some(observers::attempts(
                &self.record,
                name,
                server.name(),
                attempts,
            ));
            (server.name().to_owned(), self.net.link(link))
        });
        let addresses: Vec<(String, SocketAddr)> = linked.collect();
        self.discovery.knows(name, source, &addresses);
    }

    /// Links a process with discovery; gives the address of the link.
    fn link_to_discovery(&self, name: &str, source: IpAddr) -> SocketAddr {
        let mut link = Link::new(name, "discovery", self.discovery.at);
        link.source = Some(source);
        link.make_observer = Some(observers::lists(&self.record, name));
        self.net.link(link)
    }

    /// Has a process read another operator's file from its next start on, or at once if it runs.
    pub(super) fn write_operator(&mut self, number: usize) {
        let peers: Vec<SocketAddr> = self
            .balancers
            .iter()
            .map(|balancer| balancer.known_as)
            .collect();
        let key = together::key(&self.shared);
        let balancer = &mut self.balancers[number];
        let Balancer {
            name,
            rank,
            datagrams,
            known_as,
            version,
            ..
        } = &*balancer;
        let at = Addresses {
            listens: *datagrams,
            known_as: *known_as,
            peers: &peers,
            key: &key,
        };
        let sections = self.shape.together.as_ref().map(|all| {
            all.sections(
                (*rank, name),
                &at,
                (version.serial, self.shape.ability.rate),
            )
        });
        let operator = self.shape.operator.replace("{name}", name);
        let operator =
            operator + &together::admin(balancer.admin.at) + &sections.unwrap_or_default();
        balancer.process.configure(None, Some(operator));
    }

    /// The platform's configuration of a process, with the present list as what it knows where it is told one.
    pub fn platform(&self, of: &Balancer) -> String {
        let mut platform = json!({
            "name": of.name, "listen": of.listens, "discovery": of.discovery, "seed": format!("{:x}", of.rank + 1),
            "limits": {"sockets": 2_048}, "settings": self.shape.settings((of.rank, of.version.worth)),
        });
        if self.shape.told {
            platform["known"] = self.discovery.snapshot(&of.name);
        }
        platform.to_string()
    }
}
