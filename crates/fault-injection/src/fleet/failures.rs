//! What a story does to a fleet's uplinks, datagrams and servers.

use super::Fleet;
use crate::discovery::{Lifecycle, Listed};
use crate::fault::Fault;

impl Fleet {
    /// The processes of a site, by their numbers.
    pub fn of_site(&self, site: &str) -> Vec<usize> {
        let together = self.shape.together.as_ref();
        let is_here = |rank: &usize| together.is_some_and(|all| all.site(*rank) == site);
        (0..self.balancers.len()).filter(is_here).collect()
    }

    /// Does something to a site's uplink: its links to discovery, and those between its processes and all others.
    /// `There` is from the site to what lies beyond.
    pub fn uplink(&self, site: &str, fault: Fault) {
        let here = self.of_site(site);
        for &number in &here {
            let name = &self.balancers[number].name;
            self.net.fault(&format!("{name}>discovery"), fault);
            for other in (0..self.balancers.len()).filter(|other| !here.contains(other)) {
                let (near, far) = (number.min(other), number.max(other));
                let fault = if near == number {
                    fault
                } else {
                    fault.turned()
                };
                self.net.fault(&format!("b{near}~b{far}"), fault);
            }
        }
    }

    /// Does something to all datagrams between processes.
    pub fn datagrams(&self, fault: Fault) {
        self.net
            .links()
            .iter()
            .filter(|link| link.contains('~'))
            .for_each(|link| self.net.fault(link, fault));
    }

    /// Kills servers at once.
    pub fn kill_servers(&self, which: &[usize]) {
        for &number in which {
            self.servers[number].kill();
            self.each_link_to(number, Fault::Refuse);
        }
    }

    /// Starts servers again, cold; discovery lists them with their new start.
    pub fn restart_servers(&self, which: &[usize]) {
        for &number in which {
            let server = &self.servers[number];
            let started_at_ms = server.restart();
            self.each_link_to(number, Fault::Heal);
            let row = self.discovery.row(server.name());
            self.discovery.list(Listed {
                started_at_ms,
                lifecycle: Lifecycle::Serving,
                ..row
            });
        }
    }

    fn each_link_to(&self, server: usize, fault: Fault) {
        for balancer in &self.balancers {
            self.net.fault(
                &format!("{}>{}", balancer.name, self.servers[server].name()),
                fault,
            );
        }
    }
}
