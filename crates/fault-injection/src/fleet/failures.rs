//! Applies faults to a fleet's uplinks, datagrams and servers.

use super::Fleet;
use crate::discovery::{Lifecycle, ListedServer};
use crate::fault::Fault;

impl Fleet {
    /// The numbers of the processes of a site.
    pub fn site_members(&self, site: &str) -> Vec<usize> {
        let options = self.config.options.as_ref();
        let is_member = |rank: &usize| options.is_some_and(|options| options.site(*rank) == site);
        (0..self.balancers.len()).filter(is_member).collect()
    }

    /// Applies a fault to the uplink of a site: its links to discovery and those between its processes and all others.
    /// `Forward` is out of the site.
    pub fn fault_uplink(&self, site: &str, fault: Fault) {
        let members = self.site_members(site);
        for &number in &members {
            let name = &self.balancers[number].name;
            self.net.fault(&format!("{name}>discovery"), fault);
            for other in (0..self.balancers.len()).filter(|other| !members.contains(other)) {
                let (near, far) = (number.min(other), number.max(other));
                let fault = if near == number {
                    fault
                } else {
                    fault.reversed()
                };
                self.net.fault(&format!("b{near}~b{far}"), fault);
            }
        }
    }

    /// Applies a fault to all datagram links between processes.
    pub fn fault_datagrams(&self, fault: Fault) {
        self.net
            .links()
            .iter()
            .filter(|link| link.contains('~'))
            .for_each(|link| self.net.fault(link, fault));
    }

    /// Kills servers by number and refuses connections to them.
    pub fn kill_servers(&self, numbers: &[usize]) {
        for &number in numbers {
            self.servers[number].kill();
            self.fault_links_to(number, Fault::Refuse);
        }
    }

    /// Restarts killed servers, cold; discovery lists them as serving with their new start time.
    pub fn restart_servers(&self, numbers: &[usize]) {
        for &number in numbers {
            let server = &self.servers[number];
            let started_at_ms = server.restart();
            self.fault_links_to(number, Fault::Heal);
            let row = self.discovery.listed_server(server.name());
            self.discovery.upsert(ListedServer {
                started_at_ms,
                lifecycle: Lifecycle::Serving,
                ..row
            });
        }
    }

    fn fault_links_to(&self, server: usize, fault: Fault) {
        for balancer in &self.balancers {
            self.net.fault(
                &format!("{}>{}", balancer.name, self.servers[server].name()),
                fault,
            );
        }
    }
}
