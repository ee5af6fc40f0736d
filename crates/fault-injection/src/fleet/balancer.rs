//! One process of a fleet: its addresses, links and configuration files.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use serde_json::json;

use super::{ConfigVersion, Fleet};
use crate::address::ReservedAddress;
use crate::fault::Fault;
use crate::net::Link;
use crate::options::{self, Addresses};
use crate::process::Process;
use crate::{address, observers};

/// The UDP port of every process.
const DATAGRAM_PORT: u16 = 7_100;

/// One process and its addresses.
pub struct Balancer {
    /// The name, `b` and its rank.
    pub name: String,
    /// The process itself.
    pub process: Process,
    /// The address of its link from the clients.
    pub front_address: SocketAddr,
    /// The address it listens on itself.
    pub listen_address: SocketAddr,
    /// The configuration version of its next start.
    pub version: ConfigVersion,
    _reservation: ReservedAddress,
    pub(super) admin: ReservedAddress,
    rank: usize,
    discovery_address: SocketAddr,
    datagram_address: SocketAddr,
    advertised_address: SocketAddr,
}

impl Fleet {
    /// Creates a process that is not started yet, and its links.
    pub(super) fn balancer(&self, rank: usize, attempts: &Arc<AtomicU64>) -> Balancer {
        let name = format!("b{rank}");
        let (source, reservation) = (address::source_address(), ReservedAddress::default());
        let listen_address = reservation.address;
        self.link_to_servers(&name, source, attempts);
        let discovery_address = self.link_to_discovery(&name, source);
        let front_address = self
            .net
            .add_link(Link::new("clients", &name, listen_address));
        self.net.fault(&format!("clients>{name}"), Fault::Refuse);
        let process = Process::new(&name, &self.config.program, &self.record, String::new(), "");
        // The source address is unique on this machine, so the fixed port is free.
        let datagram_address = SocketAddr::new(source, DATAGRAM_PORT);
        let advertised_address = self.net.add_peer(&name, datagram_address);
        let mut balancer = Balancer {
            name,
            process,
            front_address,
            listen_address,
            version: ConfigVersion {
                serial: 1,
                deadline_ms: 3_000,
            },
            _reservation: reservation,
            admin: ReservedAddress::default(),
            rank,
            discovery_address,
            datagram_address,
            advertised_address,
        };
        let platform = self.platform_config(&balancer);
        balancer.process.configure(Some(platform), None);
        balancer
    }

    /// Links a process with each server; discovery lists the servers to it by the addresses of these links.
    fn link_to_servers(&self, name: &str, source: IpAddr, attempts: &Arc<AtomicU64>) {
        let links = self.servers.iter().map(|server| {
            let mut link = Link::new(name, server.name(), server.address);
            link.source = Some(source);
            link.make_observer = Some(observers::attempts(
                &self.record,
                name,
                server.name(),
                attempts,
            ));
            (server.name().to_owned(), self.net.add_link(link))
        });
        let addresses: Vec<(String, SocketAddr)> = links.collect();
        self.discovery.register_balancer(name, source, &addresses);
    }

    /// Links a process with discovery; returns the address of the link.
    fn link_to_discovery(&self, name: &str, source: IpAddr) -> SocketAddr {
        let mut link = Link::new(name, "discovery", self.discovery.address);
        link.source = Some(source);
        link.make_observer = Some(observers::lists(&self.record, name));
        self.net.add_link(link)
    }

    /// Rewrites the operator's file of a process, which reads it at its next start, or at once if it runs.
    pub(super) fn write_operator(&mut self, number: usize) {
        let peers: Vec<SocketAddr> = self
            .balancers
            .iter()
            .map(|balancer| balancer.advertised_address)
            .collect();
        let key = options::write_key_file(&self.shared_dir);
        let balancer = &mut self.balancers[number];
        let Balancer {
            name,
            rank,
            datagram_address,
            advertised_address,
            version,
            ..
        } = &*balancer;
        let addresses = Addresses {
            listen_address: *datagram_address,
            advertised_address: *advertised_address,
            peers: &peers,
            key_file: &key,
        };
        let sections = self.config.options.as_ref().map(|options| {
            options.sections(
                (*rank, name),
                &addresses,
                (version.serial, self.config.server_profile.setups_per_s),
            )
        });
        let operator = self.config.operator_config.replace("{name}", name);
        let operator = operator
            + &options::admin_section(balancer.admin.address)
            + &sections.unwrap_or_default();
        balancer.process.configure(None, Some(operator));
    }

    /// The platform's configuration of a process; includes the current list if `is_list_preloaded` is set.
    pub fn platform_config(&self, balancer: &Balancer) -> String {
        let mut platform = json!({
            "name": balancer.name, "listen": balancer.listen_address, "discovery": balancer.discovery_address, "seed": format!("{:x}", balancer.rank + 1),
            "limits": {"sockets": 2_048}, "settings": self.config.settings((balancer.rank, balancer.version.deadline_ms)),
        });
        if self.config.is_list_preloaded {
            platform["known"] = self.discovery.snapshot(&balancer.name);
        }
        platform.to_string()
    }
}
