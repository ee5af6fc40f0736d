//! Discovery: the server list and the watch on its changes.

mod reading;
#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, unbounded};
use serde::Deserialize;
use tracing::{info, warn};
use ureq::http::StatusCode;
use ureq::{Agent, Body};

use crate::log::RateLimitedLog;
use reading::WatchActivity;

/// Part of the program in the log.
const PART: &str = "discovery";
/// A connect to discovery that takes longer has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Discovery sends an empty line every 2 s. A change counts as known after 6 s, even if the watch
/// is silent.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_500);
/// An agent on this host answers at once. Waiting longer would delay the next call, while the
/// agent's list counts as known.
const AGENT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 8 << 10;
/// Buffers for reading a response and writing a request; a process holds one of each.
const HTTP_BUFFER_BYTES: (usize, usize) = (16 << 10, 1 << 10);

/// A server list in discovery's form: a snapshot or a delta.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ServerList {
    /// Version of the list.
    #[serde(default)]
    pub generation: u64,
    /// Whether the list is a snapshot; otherwise it is a delta.
    #[serde(default)]
    pub reset: bool,
    /// All servers of a snapshot, or the changed ones of a delta.
    #[serde(default)]
    pub instances: Vec<ListedServer>,
}

impl ServerList {
    /// The version that a watch continues from, or 0 without servers: a delta needs the list that
    /// it refers to.
    pub fn version(&self) -> u64 {
        if self.instances.is_empty() {
            0
        } else {
            self.generation
        }
    }

    /// Adds the list that follows. The result has the effect of both, one after the other.
    pub fn merge(&mut self, later: ServerList) {
        if later.reset {
            *self = later;
        } else {
            self.generation = later.generation;
            self.instances.extend(later.instances);
        }
    }
}

/// A listed server.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListedServer {
    /// Name of the server, which is the same at all balancers.
    pub instance_id: String,
    /// Address of the server as seen from this balancer. A removed server may have none.
    #[serde(default)]
    pub host_port: Option<SocketAddr>,
    /// Name of the server's zone; empty if it has none.
    #[serde(default)]
    pub zone: String,
    /// Name of the server's machine type; empty if unknown.
    #[serde(default)]
    pub machine_type: String,
    /// Number of the server's cell; 0 by default.
    #[serde(default)]
    pub cell: u32,
    /// Whether it accepts new connections.
    pub lifecycle: ServerLifecycle,
    /// Weight relative to other servers; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Unix time of its last start, in milliseconds; 0 if long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// Whether a listed server accepts new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ServerLifecycle {
    /// The server accepts new connections.
    Serving,
    /// The server finishes its connections and accepts no new ones.
    Draining,
    /// The server has been removed.
    Deleted,
}

/// An event of the watch.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// A snapshot or a delta arrived.
    List(ServerList),
    /// The watch ended or could not be opened, this long after its last message. The list is
    /// unchanged.
    Failed(Duration),
    /// The call or the watch was ended after this long without a message. The list is unchanged.
    TimedOut(Duration),
}

/// The address of discovery, shared with the reload.
#[derive(Clone)]
pub struct DiscoveryAddress {
    target: Arc<Mutex<WatchTarget>>,
    polls: Sender<()>,
}

struct WatchTarget {
    address: SocketAddr,
    /// Incremented with each change of the address.
    generation: u64,
    /// The client of the present watch.
    open_watch: Option<Agent>,
}

impl DiscoveryAddress {
    fn lock(&self) -> MutexGuard<'_, WatchTarget> {
        // Plain values are valid even if a thread panicked while holding the lock.
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The present address.
    pub fn address(&self) -> SocketAddr {
        self.lock().address
    }

    /// Changes the address: ends the watch, which may be blocked in a read, and has the new address
    /// watched at once.
    pub fn set_address(&self, discovery: SocketAddr) {
        {
            let mut target = self.lock();
            target.address = discovery;
            target.generation += 1;
            if let Some(watch) = target.open_watch.take() {
                watch.shutdown();
            }
        }
        // Sent after the change, so that the watcher sees the new address.
        let _ = self.polls.send(());
    }
}

/// Opens a watch whenever the core asks for it.
pub struct Watcher {
    polls: Receiver<()>,
    target: DiscoveryAddress,
    /// The version that the next watch continues from.
    generation: u64,
    /// Timeout for the beginning of a response.
    response_timeout: Duration,
    /// Limits the lines about late deltas.
    late_deltas: RateLimitedLog,
}

impl Watcher {
    /// Creates a watcher that continues from a version, and the sender that requests watches.
    pub fn new(address: SocketAddr, known_version: u64) -> (Watcher, Sender<()>) {
        let (request_watch, polls) = unbounded();
        let target = Arc::new(Mutex::new(WatchTarget {
            address,
            generation: 0,
            open_watch: None,
        }));
        let target = DiscoveryAddress {
            target,
            polls: request_watch.clone(),
        };
        (
            Watcher {
                polls,
                target,
                generation: known_version,
                response_timeout: WATCH_TIMEOUT,
                late_deltas: RateLimitedLog::default(),
            },
            request_watch,
        )
    }

    /// Configures the watcher for an agent on this host and requests the first watch. The policy
    /// polls a pushed list only after a failure.
    pub fn for_agent(self) -> Watcher {
        // The watcher holds the other end.
        let _ = self.target.polls.send(());
        Watcher {
            response_timeout: AGENT_TIMEOUT,
            ..self
        }
    }

    /// A handle that changes the address.
    pub fn target(&self) -> DiscoveryAddress {
        self.target.clone()
    }

    /// Opens watches on request until all senders of requests are dropped.
    pub fn run(mut self, on_event: impl Fn(DiscoveryEvent)) {
        let mut seen_generation = 0;
        while self.polls.recv().is_ok() {
            let result = loop {
                let (discovery, target_generation) = {
                    let target = self.target.lock();
                    (target.address, target.generation)
                };
                if target_generation != seen_generation {
                    // Another service counts its versions differently: the snapshot is requested.
                    (seen_generation, self.generation) = (target_generation, 0);
                }
                let result = self.watch_once(discovery, target_generation, &on_event);
                // Requests that came during a watch are answered by its end.
                while self.polls.try_recv().is_ok() {}
                if self.target.lock().generation == seen_generation {
                    break result;
                }
            };
            on_event(result);
        }
    }

    /// Runs one watch to its end. A panic counts as a failure, so that the thread continues.
    fn watch_once(
        &mut self,
        discovery: SocketAddr,
        target_generation: u64,
        on_event: &impl Fn(DiscoveryEvent),
    ) -> DiscoveryEvent {
        let activity = WatchActivity::start();
        let watch =
            AssertUnwindSafe(|| self.watch(discovery, target_generation, &activity, on_event));
        let result =
            catch_unwind(watch).unwrap_or_else(|_| Err(io::Error::other("the watch panicked")));
        self.target.lock().open_watch = None;
        self.late_deltas.flush(PART);
        let quiet = activity.quiet_for();
        let Err(error) = result else {
            return DiscoveryEvent::Failed(quiet);
        };
        warn!(part = PART, why = %error, ?quiet, "watch ended");
        if is_timeout(&error) {
            DiscoveryEvent::TimedOut(quiet)
        } else {
            DiscoveryEvent::Failed(quiet)
        }
    }

    fn watch(
        &mut self,
        discovery: SocketAddr,
        target_generation: u64,
        activity: &WatchActivity,
        on_event: &impl Fn(DiscoveryEvent),
    ) -> io::Result<()> {
        let client = self.client();
        {
            let mut target = self.target.lock();
            if target.generation != target_generation {
                return Ok(());
            }
            // Set before connecting, so that a change of the address ends the call wherever it is.
            target.open_watch = Some(client.clone());
        }
        self.read_watch(&client, discovery, activity, on_event)
    }

    /// A client for one watch: no name resolution, no connection reuse.
    fn client(&self) -> Agent {
        let (read_bytes, write_bytes) = HTTP_BUFFER_BYTES;
        let config = Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .max_idle_connections(0)
            .max_response_header_size(MAX_RESPONSE_HEAD_BYTES)
            .input_buffer_size(read_bytes)
            .output_buffer_size(write_bytes)
            .timeout_connect(Some(self.response_timeout.min(CONNECT_TIMEOUT)))
            .timeout_recv_response(Some(self.response_timeout))
            .timeout_per_read(Some(WATCH_TIMEOUT))
            .timeout_per_write(Some(CONNECT_TIMEOUT));
        config.build().new_agent()
    }

    fn read_watch(
        &mut self,
        client: &Agent,
        discovery: SocketAddr,
        activity: &WatchActivity,
        on_event: &impl Fn(DiscoveryEvent),
    ) -> io::Result<()> {
        let from = self.generation;
        let body = request_watch(client, discovery, from)?;
        info!(part = PART, %discovery, from, "watch opened");
        let lists = reading::bounded_lists(body.into_reader(), activity);
        // Lists may span many lines, and a chunk may end anywhere.
        for list in serde_json::Deserializer::from_reader(lists).into_iter::<ServerList>() {
            let list = list?;
            activity.list_ended();
            if !list.reset && list.generation < self.generation {
                // A late delta would add removed servers again. A snapshot is always applied, since
                // discovery may restart its versions.
                self.log_late_delta(list.generation);
                continue;
            }
            self.generation = list.generation;
            on_event(DiscoveryEvent::List(list));
        }
        Err(io::Error::other("discovery ended the watch"))
    }

    fn log_late_delta(&self, generation: u64) {
        if self.late_deltas.is_allowed(PART) {
            warn!(
                part = PART,
                told = generation,
                held = self.generation,
                "ignored a delta that is older than the present list"
            );
        }
    }
}

/// Whether a call or a watch timed out.
fn is_timeout(error: &io::Error) -> bool {
    if error.kind() == io::ErrorKind::TimedOut {
        return true;
    }
    let error = error.get_ref().and_then(|error| error.downcast_ref());
    matches!(error, Some(ureq::Error::Timeout(part)) if *part != ureq::Timeout::Connect)
}

/// Requests a watch. Anything but a chunked 200 is an error.
fn request_watch(client: &Agent, discovery: SocketAddr, from: u64) -> io::Result<Body> {
    let call = client.get(format!(
        "http://{discovery}/api/targets?watch=1&from={from}"
    ));
    let answer = call
        .header("accept", "application/json")
        .call()
        .map_err(ureq::Error::into_io)?;
    if answer.status() != StatusCode::OK {
        return Err(io::Error::other(format!(
            "discovery answered {}",
            answer.status()
        )));
    }
    let encoding = answer.headers().get("transfer-encoding");
    if !encoding.is_some_and(|encoding| encoding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        // A list that is not a watch would end and be requested again and again.
        return Err(io::Error::other("the response to a watch is not chunked"));
    }
    Ok(answer.into_body())
}
