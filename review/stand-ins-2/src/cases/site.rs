//! A hosted site: the balancer with its NATS front, a store and three NATS servers. The settings are
//! those of `deploy/nats.toml`.

use std::net::SocketAddr;

use crate::http::{Api, TOKEN};
use crate::nats;
use crate::program::{Balancer, Folder, free_address};
use crate::record::Record;
use crate::redis::Redis;

pub const PASSWORD: &str = "first-password-0001";

pub struct Site {
    _balancer: Balancer,
    pub api: Api,
    pub front: SocketAddr,
    pub store: Redis,
    pub servers: Vec<nats::Server>,
    _folder: Folder,
}

impl Site {
    pub fn start(name: &str, record: &Record) -> Result<Site, String> {
        Site::with_servers(name, 3, record)
    }

    pub fn with_servers(name: &str, count: usize, record: &Record) -> Result<Site, String> {
        let text = |error: std::io::Error| error.to_string();
        let folder = Folder::create(name).map_err(text)?;
        let store = Redis::start(record).map_err(text)?;
        let (front, admin) = (free_address().map_err(text)?, free_address().map_err(text)?);
        let mut servers = String::new();
        let mut nats_servers = Vec::new();
        for number in 0..count {
            let zone = ["north", "south", "west"][number % 3];
            let server = nats::Server::start().map_err(text)?;
            let address = server.address;
            nats_servers.push(server);
            servers += &format!(
                "    {{ name = \"nats-{number}\", address = \"{address}\", zone = \"{zone}\", weight = 1.0 }},\n"
            );
        }
        let store_address = store.address;
        let file = format!(
            r#"name = "nats-front"
listen = "{front}"
sockets = 4096

[wire]
max_payload = 1048576
most_early = 65536
connect_wait_ms = 2000
ping_after_ms = 2000
silence_ms = 3000
store_retry_ms = 1000

[store]
url = "redis://{store_address}/0"
fresh_ms = 5000

[admin]
listen = "{admin}"
token = "{TOKEN}"

[farm]
servers = [
{servers}]

[settings]
balancers = 1
discovery = "automatic"
zones = ["north", "south", "west"]
zone = 0
lanes = [
    {{ name = "telemetry", on-time-ns = 800000000, hard-limit-ns = 4800000000, effect = "retryable", value = 1.0 }},
    {{ name = "control", on-time-ns = 800000000, hard-limit-ns = 4800000000, effect = "retryable", value = 5.0 }},
    {{ name = "upkeep", on-time-ns = 500000000, hard-limit-ns = 3000000000, effect = "retryable", value = 1.0 }},
]

[settings.policy-limits]
max-attempts = 6
connect-timeout-ns = 200000000
retry-after = true
max-retry-after-ns = 2000000000

[settings.rules]
cold-share = 0.13
cold-ns = 23000000000
tip-multiple = 3.0
fall-ns = 1500000000
ask-within-ns = 10000000000
"#
        );
        let path = folder.0.join("nats.toml");
        std::fs::write(&path, file).map_err(text)?;
        let arguments = format!("--operator {}", path.display());
        let log = folder.0.join("balancer.log");
        let mut balancer = Balancer::start(&arguments, &[], &log).map_err(text)?;
        balancer.wait_for(front)?;
        balancer.wait_for(admin)?;
        record.line(&format!("balancer started, process {}", balancer.id()));
        Ok(Site {
            _balancer: balancer,
            api: Api { address: admin },
            front,
            store,
            servers: nats_servers,
            _folder: folder,
        })
    }

    /// Makes a call and notes it.
    pub fn call(
        &self,
        record: &Record,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<(u16, String), String> {
        let (status, answer) = self.api.call(method, path, body)?;
        record.line(&format!("{method} {path} {body} -> {status} {answer}"));
        Ok((status, answer))
    }

    pub fn create_tenant(
        &self,
        record: &Record,
        name: &str,
        class: &str,
        password: &str,
    ) -> Result<(), String> {
        let body = format!(
            r#"{{"name":"{name}","password":"{password}","class":"{class}","connections":500,"share":1.0,"upstream":{{"user":"{name}-up","password":"up-secret"}}}}"#
        );
        let (status, answer) = self.call(record, "POST", "/v1/tenants", &body)?;
        if status == 201 {
            Ok(())
        } else {
            Err(format!("tenant {name} not created: {status} {answer}"))
        }
    }
}
