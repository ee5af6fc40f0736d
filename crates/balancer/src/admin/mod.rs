//! The administration API: HTTP and JSON on a loopback listener of its own, with a bearer token.

mod admission;
mod overrides;
mod servers;
mod tenants;

use std::net::{TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use beaconflow_settings::SiteSettings;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use tracing::warn;

use crate::fleet::FleetHandle;
use crate::front::nats::tenants::Tenants;
use crate::http::{self, Reply, Request, RequestError};
use crate::net;
use crate::overrides::{NamedCore, OverrideManager};

/// Most requests at once.
const MAX_REQUESTS: usize = 16;

/// The administration API.
pub struct Admin {
    cores: Vec<NamedCore>,
    overrides: Arc<OverrideManager>,
    /// The tenants of the NATS front and their classes, where that front runs.
    tenants: Option<(Arc<Tenants>, Arc<SiteSettings>)>,
    /// The fleet thread, where a fleet is configured.
    fleet: Option<FleetHandle>,
    /// Digest of the token, so that a comparison takes the same time whatever is sent.
    token: [u8; 32],
    requests: AtomicUsize,
}

impl Admin {
    /// Creates an API over these cores, overrides, tenants and fleet.
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

    /// Serves requests until the program ends, each on a thread of its own.
    pub fn listen(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            let client = match listener.accept() {
                Ok((client, _)) => client,
                Err(error) => {
                    warn!(part = "admin", why = %error, "accept failed");
                    std::thread::sleep(Duration::from_millis(10));
                    continue;
                }
            };
            let active_requests = self.requests.fetch_add(1, Ordering::Relaxed);
            let admin = Arc::clone(self);
            let handle = move || {
                let reply = if active_requests < MAX_REQUESTS {
                    // A panic in one request must not use up its place for good.
                    catch_unwind(AssertUnwindSafe(|| admin.serve(&client))).unwrap_or_else(|_| {
                        Some(Reply::error(500, "a fault was met; it is in the log"))
                    })
                } else {
                    Some(Reply::error(503, "too many requests at once"))
                };
                if let Some(reply) = reply {
                    http::write(&client, &reply);
                }
                admin.requests.fetch_sub(1, Ordering::Relaxed);
            };
            // The standard stack: hashing a password needs more than a connection's.
            if std::thread::Builder::new()
                .name("admin".into())
                .spawn(handle)
                .is_err()
            {
                self.requests.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    /// Serves one request; `None` if the peer left without one.
    fn serve(&self, client: &TcpStream) -> Option<Reply> {
        net::configure_stream(client).ok()?;
        match http::read(client) {
            Ok(request) => Some(self.answer(&request)),
            Err(RequestError::Disconnected) => None,
            Err(RequestError::Rejected(reply)) => Some(reply),
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        let is_authorized = request.token.as_deref().map(digest) == Some(self.token);
        if !is_authorized {
            return Reply::error(401, "a bearer token is needed");
        }
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
                Err(Reply::error(405, "no such method here").with("Allow", resource.methods()))
            }
        };
        reply.unwrap_or_else(|error_reply| error_reply)
    }

    fn tenants(&self) -> Result<&(Arc<Tenants>, Arc<SiteSettings>), Reply> {
        self.tenants
            .as_ref()
            .ok_or_else(|| Reply::error(404, "no front with tenants runs here"))
    }
}

/// The resource that a path names.
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
        // The position of the error without its text, which may be a secret.
        let status = if error.is_data() { 422 } else { 400 };
        Reply::error(
            status,
            format!(
                "not the JSON wanted here, at line {} column {}",
                error.line(),
                error.column()
            ),
        )
    })
}
