//! The operator's file: the NATS front, the administration API, overrides, the fleet and the log, each as far as it is
//! set up.
//!
//! It is read field by field, so that everything that is wrong with it is named at once.

mod fleet;

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use beaconflow_admission::{Bound, Limits};
use beaconflow_overrides::Limits as OverrideLimits;
use beaconflow_settings::Setup;
use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::core::DoorConfig;
use crate::farm::{Lifecycle, List, Listed};
use crate::front::nats::framing::LONGEST_LINE;
use crate::front::nats::wire::Wire;
use crate::log::Form;
use crate::overrides;
pub use fleet::{Affinity, Edge, EdgeWord, Fleet, Memory};

/// A token or password that stands in the sample and opens nothing.
const PLACEHOLDER: &str = "CHANGE-ME";
/// Least length of the token.
const SHORTEST_TOKEN: usize = 16;
/// Fewest bytes that may wait at the door: one entry fits.
const LEAST_BYTES: usize = 4_096;
/// Longest span that an override may be granted: ten years.
const MOST_LONGEST_S: u64 = 10 * 366 * 24 * 3_600;

/// The operator's file.
#[derive(Clone, PartialEq)]
pub struct Operator {
    /// The NATS front, if it is set up.
    pub nats: Option<Nats>,
    /// The administration API, if it is set up.
    pub admin: Option<Admin>,
    /// Overrides.
    pub overrides: overrides::Config,
    /// Admission.
    pub admission: DoorConfig,
    /// The fleet that this process is one of, if it is set up.
    pub fleet: Option<Fleet>,
    /// The form of the log's lines.
    pub log: Form,
}

/// The NATS front.
#[derive(Clone, PartialEq)]
pub struct Nats {
    /// The name that clients see.
    pub name: String,
    /// Where NATS clients connect.
    pub listen: SocketAddr,
    /// Most file descriptors of this front's connections.
    pub sockets: usize,
    /// Limits of the wire.
    pub wire: Wire,
    /// The shared store of tenants.
    pub store: Store,
    /// Where the NATS servers are.
    pub farm: FarmSource,
    /// The settings of the site.
    pub settings: Setup,
}

/// The shared store of tenants.
#[derive(Clone, PartialEq)]
pub struct Store {
    /// Redis, as `redis://HOST:PORT/DB`.
    pub url: String,
    /// A tenant's record is read anew when it is older than this.
    pub fresh_ms: u64,
}

/// The administration API.
#[derive(Clone, PartialEq)]
pub struct Admin {
    /// Where it listens; a loopback address.
    pub listen: SocketAddr,
    /// The bearer token that opens it.
    pub token: String,
}

/// Where the NATS servers are.
#[derive(Clone, PartialEq)]
pub enum FarmSource {
    /// Discovery is asked.
    Discovery(SocketAddr),
    /// They stand in the file.
    Servers(Vec<FixedServer>),
}

/// A NATS server that stands in the file.
#[derive(Clone, PartialEq)]
pub struct FixedServer {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone, by name.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

/// Everything that is wrong with a file, each with the field's name. No value is quoted: it may be a secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<String>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("; "))
    }
}

impl Operator {
    /// Reads a file, and refuses what would be unsafe to run with.
    pub fn read(path: &Path) -> Result<Operator, Faults> {
        let shown = path.display();
        let text = std::fs::read_to_string(path)
            .map_err(|error| Faults(vec![format!("{shown}: {error}")]))?;
        Operator::parse(&text).map_err(|Faults(faults)| {
            Faults(
                faults
                    .iter()
                    .map(|fault| format!("{shown}: {fault}"))
                    .collect(),
            )
        })
    }

    /// The same for a file's text.
    pub fn parse(text: &str) -> Result<Operator, Faults> {
        let table: Table = text.parse().map_err(|error: toml::de::Error| {
            let line = error
                .span()
                .map_or(1, |span| 1 + text[..span.start].matches('\n').count());
            Faults(vec![format!("line {line}: not TOML")])
        })?;
        let faults = RefCell::new(Vec::new());
        let mut file = Section {
            path: String::new(),
            table,
            faults: &faults,
        };
        let operator = Operator {
            nats: nats(&mut file),
            admin: file.section("admin").and_then(admin),
            overrides: file.section("overrides").map(overrides).unwrap_or_default(),
            admission: file.section("admission").map(admission).unwrap_or_default(),
            fleet: fleet::fleet(&mut file),
            log: file.section("log").map(log).unwrap_or_default(),
        };
        file.end();
        let paths = (operator.overrides.file.as_ref(), operator.fleet.as_ref());
        if let (
            Some(overrides),
            Some(Fleet {
                memory: Some(memory),
                ..
            }),
        ) = paths
        {
            file.inner("memory", Table::new()).refuse(
                "path",
                *overrides == memory.path,
                "is overrides.file too",
            );
        }
        if operator.nats.is_some() && operator.admin.is_none() && faults.borrow().is_empty() {
            faults
                .borrow_mut()
                .push("admin: is missing; the NATS front's tenants are kept through it".into());
        }
        let faults = faults.into_inner();
        if faults.is_empty() {
            Ok(operator)
        } else {
            Err(Faults(faults))
        }
    }
}

fn nats(file: &mut Section<'_>) -> Option<Nats> {
    let fields = [
        "name", "listen", "sockets", "wire", "store", "farm", "settings",
    ];
    if !fields.iter().any(|field| file.table.contains_key(*field)) {
        return None;
    }
    let (name, listen, sockets) = (file.need("name"), file.need("listen"), file.need("sockets"));
    let wire = file.section("wire").map(wire).unwrap_or_default();
    let store = file.needed_section("store").and_then(store);
    let farm = file.needed_section("farm").and_then(farm);
    let settings = settings(file);
    Some(Nats {
        name: name?,
        listen: listen?,
        sockets: sockets?,
        wire,
        store: store?,
        farm: farm?,
        settings: settings?,
    })
}

fn settings(file: &mut Section<'_>) -> Option<Setup> {
    let value: serde_json::Value = file.need("settings")?;
    let read = Setup::read("settings", &value);
    read.map_err(|faults| {
        faults
            .0
            .iter()
            .for_each(|fault| file.fault(&fault.path, &fault.why))
    })
    .ok()
}

fn wire(mut section: Section<'_>) -> Wire {
    let usual = Wire::default();
    let wire = Wire {
        max_payload: section.or("max_payload", usual.max_payload),
        most_early: section.or("most_early", usual.most_early),
        connect_wait_ms: section.or("connect_wait_ms", usual.connect_wait_ms),
        ping_after_ms: section.or("ping_after_ms", usual.ping_after_ms),
        silence_ms: section.or("silence_ms", usual.silence_ms),
        store_retry_ms: section.or("store_retry_ms", usual.store_retry_ms),
    };
    section.refuse(
        "most_early",
        wire.most_early < LONGEST_LINE,
        "does not hold a control line",
    );
    section.end();
    wire
}

fn store(mut section: Section<'_>) -> Option<Store> {
    let url: Option<String> = section.need("url");
    let bad = url
        .as_deref()
        .is_some_and(|url| redis::Client::open(url).is_err());
    section.refuse("url", bad, "redis://HOST:PORT/DB");
    let fresh_ms = section.or("fresh_ms", 5_000);
    section.end();
    Some(Store {
        url: url?,
        fresh_ms,
    })
}

fn admin(mut section: Section<'_>) -> Option<Admin> {
    let (listen, token) = (section.need("listen"), section.need("token"));
    let open = listen.is_some_and(|listen: SocketAddr| !listen.ip().is_loopback());
    section.refuse("listen", open, "is not a loopback address");
    let weak = |token: &String| token == PLACEHOLDER || token.len() < SHORTEST_TOKEN;
    section.refuse(
        "token",
        token.as_ref().is_some_and(weak),
        "is the sample's or shorter than 16 characters",
    );
    section.end();
    Some(Admin {
        listen: listen?,
        token: token?,
    })
}

fn farm(mut section: Section<'_>) -> Option<FarmSource> {
    let discovery = section.table.contains_key("discovery");
    if discovery == section.table.contains_key("servers") {
        section.refuse("discovery", true, "either discovery or servers");
        return None;
    }
    let farm = if discovery {
        section.need("discovery").map(FarmSource::Discovery)
    } else {
        let servers: Option<Vec<Table>> = section.need("servers");
        let named = servers.into_iter().flatten().enumerate();
        let read: Vec<Option<FixedServer>> = named
            .map(|(at, table)| server(section.inner(&format!("servers[{at}]"), table)))
            .collect();
        let servers: Option<Vec<FixedServer>> = read.into_iter().collect();
        servers.map(FarmSource::Servers)
    };
    section.end();
    farm
}

fn server(mut section: Section<'_>) -> Option<FixedServer> {
    let (name, address) = (section.need("name"), section.need("address"));
    let (zone, weight) = (section.or("zone", String::new()), section.or("weight", 1.0));
    section.refuse(
        "weight",
        !(weight > 0.0 && f64::is_finite(weight)),
        "more than 0",
    );
    section.end();
    Some(FixedServer {
        name: name?,
        address: address?,
        zone,
        weight,
    })
}

fn overrides(mut section: Section<'_>) -> overrides::Config {
    let usual = OverrideLimits::default();
    let file: Option<PathBuf> = section
        .table
        .contains_key("file")
        .then(|| section.need("file"))
        .flatten();
    let longest_s: u64 = section.or("longest_s", usual.longest / 1_000);
    let most = section.or("most", usual.most);
    let ramp_s: f64 = section.or("ramp_s", usual.ramp as f64 / 1e3);
    section.refuse(
        "longest_s",
        !(1..=MOST_LONGEST_S).contains(&longest_s),
        "from 1 s to ten years",
    );
    section.refuse("most", most == 0, "at least 1");
    section.refuse(
        "ramp_s",
        !(0.0..=3_600.0).contains(&ramp_s),
        "from 0 to 3600",
    );
    section.end();
    let limits = OverrideLimits {
        longest: longest_s.saturating_mul(1_000),
        most,
        ramp: (ramp_s * 1e3) as u64,
    };
    overrides::Config { file, limits }
}

fn admission(mut section: Section<'_>) -> DoorConfig {
    let usual = DoorConfig::default();
    let mut bound = |name: &str, usual: Bound| {
        let (entries, bytes) = (format!("{name}entries"), format!("{name}bytes"));
        let bound = Bound {
            entries: section.or(&entries, usual.entries),
            bytes: section.or(&bytes, usual.bytes),
        };
        section.refuse(&entries, bound.entries == 0, "at least 1");
        section.refuse(&bytes, bound.bytes < LEAST_BYTES, "at least 4096");
        bound
    };
    let all = bound("", usual.limits.all);
    let account = bound("account_", all);
    let queue = bound(
        "queue_",
        Bound {
            entries: account.entries.min(usual.limits.queue.entries),
            ..account
        },
    );
    let (queues, hand) = (
        section.or("queues", usual.limits.queues),
        section.or("hand", usual.limits.hand),
    );
    section.refuse("queues", !(1..=1_024).contains(&queues), "from 1 to 1024");
    section.refuse(
        "hand",
        !(1..=queues.min(16)).contains(&hand),
        "from 1 to 16 and to queues",
    );
    let over_share_s: f64 = section.or("over_share_s", usual.over_share.as_secs_f64());
    let span_is_bad = !(1.0..=86_400.0).contains(&over_share_s);
    section.refuse("over_share_s", span_is_bad, "from 1 to 86400");
    let mut shares = HashMap::new();
    if let Some(mut listed) = section.section("shares") {
        let names: Vec<String> = listed.table.keys().cloned().collect();
        for name in names {
            let share: Option<f64> = listed.need(&name);
            let bad = share.is_some_and(|share| !(0.001..=1e6).contains(&share));
            listed.refuse(&name, bad, "from 0.001 to 1000000");
            shares.extend(share.map(|share| (name, share)));
        }
    }
    section.end();
    DoorConfig {
        limits: Limits {
            all,
            account,
            queue,
            queues,
            hand,
        },
        shares,
        over_share: if span_is_bad {
            usual.over_share
        } else {
            Duration::from_secs_f64(over_share_s)
        },
    }
}

fn log(mut section: Section<'_>) -> Form {
    let form: String = section.or("form", "text".to_owned());
    section.refuse(
        "form",
        !matches!(form.as_str(), "text" | "json"),
        "text or json",
    );
    section.end();
    if form == "json" {
        Form::Json
    } else {
        Form::Text
    }
}

/// A table of the file, from which fields are taken one after the other.
struct Section<'f> {
    path: String,
    table: Table,
    faults: &'f RefCell<Vec<String>>,
}

impl<'f> Section<'f> {
    fn named(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    fn fault(&self, field: &str, why: &str) {
        self.faults
            .borrow_mut()
            .push(format!("{}: {why}", self.named(field)));
    }

    fn refuse(&self, field: &str, bad: bool, why: &str) {
        if bad {
            self.fault(field, why);
        }
    }

    fn inner(&self, name: &str, table: Table) -> Section<'f> {
        Section {
            path: self.named(name),
            table,
            faults: self.faults,
        }
    }

    /// A field that has to be there.
    fn need<T: DeserializeOwned>(&mut self, field: &str) -> Option<T> {
        match self.table.remove(field) {
            None => {
                self.fault(field, "is missing");
                None
            }
            Some(value) => self.read(field, value),
        }
    }

    /// A field, or what it is where the file does not say.
    fn or<T: DeserializeOwned>(&mut self, field: &str, usual: T) -> T {
        match self.table.remove(field) {
            None => usual,
            Some(value) => self.read(field, value).unwrap_or(usual),
        }
    }

    fn read<T: DeserializeOwned>(&self, field: &str, value: Value) -> Option<T> {
        let secret = matches!(field, "token" | "url");
        match value.try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                let why = error.message().to_owned();
                self.fault(field, if secret { "has the wrong type" } else { &why });
                None
            }
        }
    }

    fn section(&mut self, field: &str) -> Option<Section<'f>> {
        let table: Table = self
            .table
            .remove(field)
            .and_then(|value| self.read(field, value))?;
        Some(self.inner(field, table))
    }

    fn needed_section(&mut self, field: &str) -> Option<Section<'f>> {
        let table: Table = self.need(field)?;
        Some(self.inner(field, table))
    }

    /// What is left has no meaning.
    fn end(&self) {
        for field in self.table.keys() {
            self.fault(field, "no such field");
        }
    }
}

impl FarmSource {
    /// The servers that stand in the file; none where discovery is asked.
    pub fn list(&self, generation: u64) -> List {
        let FarmSource::Servers(servers) = self else {
            return List::default();
        };
        let listed = |server: &FixedServer| Listed {
            machine_type: String::new(),
            instance_id: server.name.clone(),
            host_port: Some(server.address),
            zone: server.zone.clone(),
            cell: 0,
            lifecycle: Lifecycle::Serving,
            weight: server.weight,
            started_at_ms: 0,
        };
        List {
            generation,
            reset: true,
            instances: servers.iter().map(listed).collect(),
        }
    }
}
