//! The administration API: JSON over HTTP on a separate loopback listener, with a bearer token.

mod acceptor;
mod admission;
mod overrides;
mod servers;
mod tenants;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use beaconflow_settings::SiteSettings;
use serde::Deserialize;
use sha2::{Digest, Sha256};

use acceptor::Acceptor;

use crate::fleet::FleetHandle;
use crate::front::nats::tenants::Tenants;
use crate::http::{Reply, Request};
use crate::net::Listener;
use crate::overrides::{NamedCore, OverrideManager};

/// Maximum number of concurrent requests.
const MAX_REQUESTS: usize = 16;

/// The administration API with its resources.
pub struct Admin {
    cores: Vec<NamedCore>,
    overrides: Arc<OverrideManager>,
    /// The tenants of the NATS front, and the settings that define their classes; absent without
    /// that front.
    tenants: Option<(Arc<Tenants>, Arc<SiteSettings>)>,
    /// The fleet thread, if a fleet is configured.
    fleet: Option<FleetHandle>,
    /// Digest of the token, so that a comparison takes the same time whatever is sent.
    token: [u8; 32],
    requests: AtomicUsize,
}

impl Admin {
    /// Creates an API for these cores, overrides, tenants and fleet. `token` is the bearer token.
    pub fn new(
        cores: Vec<NamedCore>,
        overrides: Arc<OverrideManager>,
        tenants: Option<(Arc<Tenants>, Arc<SiteSettings>)>,
        fleet: Option<FleetHandle>,
        token: &str,
    ) -> Admin {
        Admin {
            cores,
            overrides,
            tenants,
            fleet,
            token: digest(token),
            requests: AtomicUsize::new(0),
        }
    }

    /// Serves requests until the process ends, each on its own thread.
    pub fn listen(self: &Arc<Self>, listener: &Listener) {
        let mut acceptor = Acceptor::new(self, &listener.socket);
        loop {
            acceptor.run_once();
        }
    }

    /// The refusal of a request without the token.
    fn check_token(&self, request: &Request) -> Option<Reply> {
        let is_authorized = request.token.as_deref().map(digest) == Some(self.token);
        (!is_authorized).then(|| Reply::error(401, "a valid bearer token is required"))
    }

    /// Answers a request that has the token.
    fn answer(&self, request: &Request) -> Reply {
        let path = request.path.split('?').next().unwrap_or_default();
        let path: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let Some(resource) = Resource::parse(&path) else {
            return Reply::error(404, "no such path");
        };
        let reply = match (resource, request.method.as_str()) {
            (Resource::Tenants, "GET") => self.tenants().and_then(tenants::list),
            (Resource::Tenants, "POST") => self
                .tenants()
                .and_then(|context| tenants::create(context, &request.body)),
            (Resource::Tenant(name), "GET") => self
                .tenants()
                .and_then(|context| tenants::read(context, name)),
            (Resource::Tenant(name), "PATCH") => self
                .tenants()
                .and_then(|context| tenants::change(context, name, &request.body)),
            (Resource::Tenant(name), "DELETE") => self
                .tenants()
                .and_then(|context| tenants::remove(context, name)),
            (Resource::Credentials(name), "PUT") => self
                .tenants()
                .and_then(|context| tenants::rotate(context, name, &request.body)),
            (Resource::Overrides, "GET") => Ok(overrides::list(&self.overrides)),
            (Resource::Overrides, "POST") => overrides::add(&self.overrides, request),
            (Resource::Override(id), "GET") => overrides::read(&self.overrides, id),
            (Resource::Override(id), "PATCH") => overrides::extend(&self.overrides, id, request),
            (Resource::Override(id), "DELETE") => overrides::remove(&self.overrides, id, request),
            (Resource::Counts, "GET") => servers::counts(
                &self.cores,
                self.tenants.as_ref().map(|(tenants, _)| tenants),
            ),
            (Resource::Admission, "GET") => admission::read(&self.cores),
            (Resource::Servers, "GET") => {
                servers::list(&self.cores, &self.overrides, self.fleet.as_ref())
            }
            (resource, _) => {
                Err(Reply::error(405, "method not allowed").with("Allow", resource.methods()))
            }
        };
        reply.unwrap_or_else(|error_reply| error_reply)
    }

    fn tenants(&self) -> Result<&(Arc<Tenants>, Arc<SiteSettings>), Reply> {
        self.tenants
            .as_ref()
            .ok_or_else(|| Reply::error(404, "no front with tenants is configured"))
    }
}

/// The resource that a request's path identifies.
#[derive(Clone, Copy)]
enum Resource<'a> {
    Tenants,
    Tenant(&'a str),
    Credentials(&'a str),
    Overrides,
    Override(&'a str),
    Counts,
    Admission,
    Servers,
}

impl<'a> Resource<'a> {
    fn parse(path: &[&'a str]) -> Option<Resource<'a>> {
        match path {
            ["v1", "tenants"] => Some(Resource::Tenants),
            ["v1", "tenants", name] => Some(Resource::Tenant(name)),
            ["v1", "tenants", name, "credentials"] => Some(Resource::Credentials(name)),
            ["v1", "overrides"] => Some(Resource::Overrides),
            ["v1", "overrides", id] => Some(Resource::Override(id)),
            ["v1", "counts"] => Some(Resource::Counts),
            ["v1", "admission"] => Some(Resource::Admission),
            ["v1", "farm"] => Some(Resource::Servers),
            _ => None,
        }
    }

    fn methods(self) -> &'static str {
        match self {
            Resource::Tenants | Resource::Overrides => "GET, POST",
            Resource::Tenant(_) | Resource::Override(_) => "GET, PATCH, DELETE",
            Resource::Credentials(_) => "PUT",
            Resource::Counts | Resource::Admission | Resource::Servers => "GET",
        }
    }
}

fn digest(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}

fn parse<'b, T: Deserialize<'b>>(body: &'b [u8]) -> Result<T, Reply> {
    serde_json::from_slice(body).map_err(|error| {
        // Only the position is reported: the error's text may contain a secret.
        let status = if error.is_data() { 422 } else { 400 };
        Reply::error(
            status,
            format!(
                "invalid JSON body at line {} column {}",
                error.line(),
                error.column()
            ),
        )
    })
}
