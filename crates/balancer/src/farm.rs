//! The farm: discovery's list of application servers, and the watch on its changes.

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

use reading::Hearing;

/// A connection to discovery that is not up by then counts as failed.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// Discovery sends an empty line every 2 s; without one for so long the watch is dead. Guards against a watch
/// that is cut off in silence: what it would have told counts as told after 6 s.
const SILENCE: Duration = Duration::from_millis(3_500);
/// An agent on this machine answers at once; one that does not hears nothing from discovery either. Guards against a
/// wait on an answer that is not coming while the next one would: what the agent hears counts as told at once.
const AGENT_SILENCE: Duration = Duration::from_millis(100);
/// Longest head of an answer.
const LONGEST_HEAD: usize = 8 << 10;
/// What is read of an answer at once, and what a call is written into. A process holds one of each.
const BUFFERS: (usize, usize) = (16 << 10, 1 << 10);

/// A list in discovery's form: the whole one, or the entries that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    /// Its version.
    #[serde(default)]
    pub generation: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub reset: bool,
    /// The entries.
    #[serde(default)]
    pub instances: Vec<Listed>,
}

impl List {
    /// The version that a watch goes on from; none where no server is known. Guards against a watch that tells only what
    /// has changed since a list that nobody has.
    pub fn version(&self) -> u64 {
        if self.instances.is_empty() {
            0
        } else {
            self.generation
        }
    }
}

/// One application server of a list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Listed {
    /// The same at all balancers.
    pub instance_id: String,
    /// Where this balancer reaches it. One that is gone may have none.
    #[serde(default)]
    pub host_port: Option<SocketAddr>,
    /// Its zone, by name.
    #[serde(default)]
    pub zone: String,
    /// Its machine type.
    #[serde(default)]
    pub machine_type: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Its listed weight.
    #[serde(default = "usual_weight")]
    pub weight: f64,
    /// Unix time of its last start, in milliseconds; 0 for long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

fn usual_weight() -> f64 {
    1.0
}

/// Whether an application server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Deleted,
}

/// What the farm tells the core.
#[derive(Debug)]
pub enum News {
    /// A list, whole or of changes.
    List(List),
    /// The watch could not be had, or it ended, and nothing had been heard of it for so long; the old list holds.
    Failed(Duration),
    /// The call or the watch fell silent and was broken after so long; the old list holds.
    Silent(Duration),
}

/// Where discovery is to be found, shared with whoever moves it.
#[derive(Clone)]
pub struct Target {
    at: Arc<Mutex<Aim>>,
    ask: Sender<()>,
}

struct Aim {
    discovery: SocketAddr,
    /// Grows with each move.
    moves: u64,
    /// The client of the watch that stands or is being asked for.
    watch: Option<Agent>,
}

impl Target {
    fn aim(&self) -> MutexGuard<'_, Aim> {
        // Plain values, sound at every moment: a panic elsewhere is no reason to lose the farm.
        self.at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where discovery is watched.
    pub fn discovery(&self) -> SocketAddr {
        self.aim().discovery
    }

    /// Discovery is elsewhere from now on: ends the watch, which may be blocked in a read, and has the new
    /// address watched at once, also where a failed watch is waiting out its delay.
    pub fn move_to(&self, discovery: SocketAddr) {
        {
            let mut aim = self.aim();
            aim.discovery = discovery;
            aim.moves += 1;
            if let Some(watch) = aim.watch.take() {
                watch.shutdown();
            }
        }
        // After the move has been noted: a watcher that takes the ask sees it.
        let _ = self.ask.send(());
    }
}

/// Asks discovery for the list and its changes whenever the core says so.
pub struct Watcher {
    asks: Receiver<()>,
    target: Target,
    /// The version that the next watch goes on from.
    generation: u64,
    /// How long the beginning of an answer is waited for.
    patience: Duration,
}

impl Watcher {
    /// A watcher that goes on from the known version, and the end that asks it.
    pub fn new(discovery: SocketAddr, known: u64) -> (Watcher, Sender<()>) {
        let (ask, asks) = unbounded();
        let at = Arc::new(Mutex::new(Aim {
            discovery,
            moves: 0,
            watch: None,
        }));
        let target = Target {
            at,
            ask: ask.clone(),
        };
        (
            Watcher {
                asks,
                target,
                generation: known,
                patience: SILENCE,
            },
            ask,
        )
    }

    /// Where lists are pushed, an agent on this machine holds them. It is asked at once, unasked by the module, which
    /// speaks up after a failure only: whoever never asks hears of nothing.
    pub fn of_agent(self) -> Watcher {
        // The watcher holds the other end.
        let _ = self.target.ask.send(());
        Watcher {
            patience: AGENT_SILENCE,
            ..self
        }
    }

    /// Where it watches, to be moved.
    pub fn target(&self) -> Target {
        self.target.clone()
    }

    /// Serves asks until the core is gone. Each ask is a watch that lasts until it ends or falls silent.
    pub fn run(mut self, tell: impl Fn(News)) {
        let mut seen = 0;
        while self.asks.recv().is_ok() {
            let ended = loop {
                let (discovery, moves) = {
                    let aim = self.target.aim();
                    (aim.discovery, aim.moves)
                };
                if moves != seen {
                    // Guards against another service that counts its versions anew: the whole list is asked for.
                    (seen, self.generation) = (moves, 0);
                }
                let ended = self.watch_once(discovery, moves, &tell);
                // Asks that came while a watch stood are answered by its end.
                while self.asks.try_recv().is_ok() {}
                if self.target.aim().moves == seen {
                    break ended;
                }
            };
            tell(ended);
        }
    }

    /// One watch from its call to its end, and how it ended. A panic is a failure like others. Guards against a thread
    /// that is gone while the program serves on, and hears of no change any more.
    fn watch_once(&mut self, discovery: SocketAddr, moves: u64, tell: &impl Fn(News)) -> News {
        let hearing = Hearing::begin();
        let watch = AssertUnwindSafe(|| self.watch(discovery, moves, &hearing, tell));
        let ended =
            catch_unwind(watch).unwrap_or_else(|_| Err(io::Error::other("the watch panicked")));
        self.target.aim().watch = None;
        let quiet = hearing.quiet();
        let Err(error) = ended else {
            return News::Failed(quiet);
        };
        warn!(part = "farm", why = %error, ?quiet, "watch ended");
        if is_silence(&error) {
            News::Silent(quiet)
        } else {
            News::Failed(quiet)
        }
    }

    fn watch(
        &mut self,
        discovery: SocketAddr,
        moves: u64,
        hearing: &Hearing,
        tell: &impl Fn(News),
    ) -> io::Result<()> {
        let client = self.client();
        {
            let mut aim = self.target.aim();
            if aim.moves != moves {
                return Ok(());
            }
            // Before it connects: whoever moves discovery ends the call wherever it is.
            aim.watch = Some(client.clone());
        }
        self.follow(&client, discovery, hearing, tell)
    }

    /// A client for one watch, on this thread alone: addresses are not looked up, connections are not kept.
    fn client(&self) -> Agent {
        let (read, written) = BUFFERS;
        let config = Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .max_idle_connections(0)
            .max_response_header_size(LONGEST_HEAD)
            .input_buffer_size(read)
            .output_buffer_size(written)
            .timeout_connect(Some(self.patience.min(CONNECT_PATIENCE)))
            .timeout_recv_response(Some(self.patience))
            .timeout_per_read(Some(SILENCE))
            .timeout_per_write(Some(CONNECT_PATIENCE));
        config.build().new_agent()
    }

    fn follow(
        &mut self,
        client: &Agent,
        discovery: SocketAddr,
        hearing: &Hearing,
        tell: &impl Fn(News),
    ) -> io::Result<()> {
        let from = self.generation;
        let body = ask(client, discovery, from)?;
        info!(part = "farm", %discovery, from, "watch stands");
        let lists = reading::lists_of(body.into_reader(), hearing);
        // Lists may be indented over many lines, and a chunk may end anywhere: values are read, not lines.
        for list in serde_json::Deserializer::from_reader(lists).into_iter::<List>() {
            let list = list?;
            hearing.list_ended();
            if !list.reset && list.generation < self.generation {
                // Guards against late changes that would bring back what a newer version has taken away. A whole list
                // is taken whatever its version: discovery counts anew.
                let (told, held) = (list.generation, self.generation);
                warn!(
                    part = "farm",
                    told, held, "changes older than the list held are passed over"
                );
                continue;
            }
            self.generation = list.generation;
            tell(News::List(list));
        }
        Err(io::Error::other("discovery ended it"))
    }
}

/// Whether a call that was taken, or a watch that stood, was waited for in vain.
fn is_silence(error: &io::Error) -> bool {
    if error.kind() == io::ErrorKind::TimedOut {
        return true;
    }
    let error = error.get_ref().and_then(|error| error.downcast_ref());
    matches!(error, Some(ureq::Error::Timeout(part)) if *part != ureq::Timeout::Connect)
}

/// Asks for a watch; anything but a chunked 200 is an error.
fn ask(client: &Agent, discovery: SocketAddr, from: u64) -> io::Result<Body> {
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
    let coding = answer.headers().get("transfer-encoding");
    if !coding.is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        // Guards against a list taken for a watch: it ends, and is asked for again and again.
        return Err(io::Error::other("a watch that is not chunked"));
    }
    Ok(answer.into_body())
}
