//! The section `[fleet]`: this process, its peers and its sites.

use std::net::SocketAddr;
use std::path::PathBuf;

use beaconflow_membership::{Key, MAX_NAME_BYTES, MAX_SITE_BYTES};

use super::super::section::Section;
use super::{AffinityConfig, EdgeConfig, FleetConfig};

/// Maximum number of processes in a fleet.
const MAX_PROCESSES: usize = 1_000;
/// Maximum margin of the overload limit, in roots of the limit.
const MAX_OVERLOAD_MARGIN: f64 = 10.0;

/// Characters allowed in names, for error messages.
const NAME_CHARACTERS: &str = "letters, digits, dots, dashes or underscores";

pub(super) fn processes(mut section: Section<'_>) -> Option<FleetConfig> {
    let name = required_name(&mut section, "name", MAX_NAME_BYTES);
    let site = required_name(&mut section, "site", MAX_SITE_BYTES);
    let addresses = Addresses::read(&mut section);
    let keys = Keys::read(&mut section);
    let sizes = FleetSizes::read(&mut section, addresses.other_peers(), site.as_deref());
    let clients_per_server_s = clients_per_server_s(&mut section);
    let overload_margin = overload_margin(&mut section);
    let clients = section.optional("clients", 0);
    section.reject_unknown_fields();
    let keys = keys?;
    Some(FleetConfig {
        name: name?,
        site: site?,
        listen: addresses.listen?,
        advertise: addresses.advertise,
        key_file: keys.current,
        previous_key_file: keys.previous,
        peers: addresses.peers?,
        size: sizes.fleet,
        site_size: sizes.site,
        other_sites: sizes.other_sites,
        clients_per_server_s,
        overload_margin,
        clients,
        memory: None,
        edge: EdgeConfig::default(),
        affinity: AffinityConfig::default(),
    })
}

/// Addresses of this process and of its peers.
pub(super) struct Addresses {
    listen: Option<SocketAddr>,
    advertise: Option<SocketAddr>,
    peers: Option<Vec<SocketAddr>>,
}

impl Addresses {
    fn read(section: &mut Section<'_>) -> Addresses {
        let listen: Option<SocketAddr> = section.required("listen");
        let advertise: Option<SocketAddr> = section
            .table
            .contains_key("advertise")
            .then(|| section.required("advertise"))
            .flatten();
        let peers: Option<Vec<SocketAddr>> = section.required("peers");
        if let Some(listen) = &listen {
            check_address(
                section,
                "listen",
                listen,
                "needs a port that peers can send to",
            );
        }
        if let Some(advertise) = &advertise {
            check_address(section, "advertise", advertise, "needs a port");
        }
        for (index, peer) in (0..).zip(peers.iter().flatten()) {
            check_address(section, &format!("peers[{index}]"), peer, "needs a port");
        }
        Addresses {
            listen,
            advertise,
            peers,
        }
    }

    /// Number of listed peers other than this process.
    fn other_peers(&self) -> usize {
        let own = self.advertise.or(self.listen);
        let peers = self.peers.iter().flatten();
        peers.filter(|peer| Some(**peer) != own).count()
    }
}

fn check_address(section: &Section<'_>, field: &str, address: &SocketAddr, no_port: &str) {
    let is_not_loopback = !address.ip().is_loopback();
    section.error_if(field, is_not_loopback, "is not a loopback address");
    section.error_if(field, address.port() == 0, no_port);
}

/// Files with the keys that authenticate datagrams.
pub(super) struct Keys {
    current: PathBuf,
    previous: Option<PathBuf>,
}

impl Keys {
    fn read(section: &mut Section<'_>) -> Option<Keys> {
        let current = key(section, "key_file");
        let has_previous = section.table.contains_key("previous_key_file");
        let previous = has_previous
            .then(|| key(section, "previous_key_file"))
            .flatten();
        let is_same = current.is_some() && current == previous;
        section.error_if("previous_key_file", is_same, "is the same file as key_file");
        if has_previous && previous.is_none() {
            return None;
        }
        Some(Keys {
            current: current?,
            previous,
        })
    }
}

/// Number of processes in the fleet and in this site, and names of the other sites.
pub(super) struct FleetSizes {
    fleet: usize,
    site: usize,
    other_sites: Vec<String>,
}

impl FleetSizes {
    fn read(section: &mut Section<'_>, other_peers: usize, own_site: Option<&str>) -> FleetSizes {
        let size = section.optional("size", other_peers + 1);
        section.error_if(
            "size",
            !(1..=MAX_PROCESSES).contains(&size),
            "must be from 1 to 1000",
        );
        section.error_if(
            "size",
            size < other_peers + 1,
            "is less than the number of listed peers and this process",
        );
        let other_sites = other_sites(section, own_site);
        let default = size.saturating_sub(other_sites.len()).max(1);
        let site_size = section.optional("site_size", default);
        section.error_if(
            "site_size",
            !(1..=size).contains(&site_size),
            "must be from 1 to size",
        );
        let is_single_site = other_sites.is_empty() && site_size != size;
        section.error_if(
            "site_size",
            is_single_site,
            "is less than size, but other_sites is empty",
        );
        FleetSizes {
            fleet: size,
            site: site_size,
            other_sites,
        }
    }
}

fn other_sites(section: &mut Section<'_>, own_site: Option<&str>) -> Vec<String> {
    let sites: Vec<String> = section.optional("other_sites", Vec::new());
    for (index, site) in (0..).zip(&sites) {
        let field = format!("other_sites[{index}]");
        section.error_if(
            &field,
            !is_valid_name(site, MAX_SITE_BYTES),
            &format!("must be 1 to {MAX_SITE_BYTES} {NAME_CHARACTERS}"),
        );
        let is_own = Some(site.as_str()) == own_site;
        section.error_if(&field, is_own, "is the site of this process");
        let is_repeated = sites[..index].contains(site);
        section.error_if(&field, is_repeated, "is listed twice");
    }
    sites
}

fn clients_per_server_s(section: &mut Section<'_>) -> Option<f64> {
    let rate: Option<f64> = section
        .table
        .contains_key("borne")
        .then(|| section.optional("borne", 0.0));
    let is_invalid = rate.is_some_and(|rate| !(0.001..=1e6).contains(&rate));
    section.error_if("borne", is_invalid, "must be from 0.001 to 1000000");
    rate
}

fn overload_margin(section: &mut Section<'_>) -> f64 {
    let margin: f64 = section.optional("overload_margin", 0.0);
    let is_invalid = !(0.0..=MAX_OVERLOAD_MARGIN).contains(&margin);
    let reason = format!("must be from 0 to {MAX_OVERLOAD_MARGIN}");
    section.error_if("overload_margin", is_invalid, &reason);
    margin
}

/// Reads a name. Names are sent in every datagram and logged, which limits their size and
/// characters.
fn required_name(section: &mut Section<'_>, field: &str, max_bytes: usize) -> Option<String> {
    let name: Option<String> = section.required(field);
    let is_invalid = name
        .as_ref()
        .is_some_and(|name| !is_valid_name(name, max_bytes));
    section.error_if(
        field,
        is_invalid,
        &format!("must be 1 to {max_bytes} {NAME_CHARACTERS}"),
    );
    name
}

fn is_valid_name(name: &str, max_bytes: usize) -> bool {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    (1..=max_bytes).contains(&name.len()) && name.chars().all(is_allowed)
}

/// Reads the path of a key file and checks the key. Keys are in separate files, so that the
/// operator's file contains no fleet secret.
fn key(section: &mut Section<'_>, field: &str) -> Option<PathBuf> {
    let path: PathBuf = section.required(field)?;
    if let Err(error) = Key::read(&path) {
        section.error(field, &error.to_string());
        return None;
    }
    Some(path)
}
