//! Runs the balancer instances: reads batches, passes their events to the policy and writes its
//! actions.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use beaconflow_admission::Limits;
use beaconflow_engine::{BalancerEngine, Engine};
use beaconflow_policy::{
    Action, AttemptEnd, AttemptOutcome, ClassId, ClientKey, ConnectRequest, ConnectionMetric,
    Event, GroupId, ListUpdate, Nanos, ProbeAnswer, RequestId, ServerEntry, ServerId, ServerState,
    TimerId, ZoneId,
};
use beaconflow_settings::{SiteSettings, digest};

use crate::wire::{self, Item, Line};

/// Why a run ended early.
pub struct AdapterError {
    line: u64,
    reason: String,
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

/// One balancer, with the names and numbers of its servers.
struct Instance {
    engine: Engine,
    server_names: Vec<String>,
    server_ids: BTreeMap<String, ServerId>,
}

impl Instance {
    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(known) = self.server_ids.get(name) {
            return *known;
        }
        let server = ServerId(u32::try_from(self.server_names.len()).unwrap_or(u32::MAX));
        self.server_names.push(name.to_owned());
        self.server_ids.insert(name.to_owned(), server);
        server
    }
}

#[derive(Default)]
struct Host {
    now: Option<Nanos>,
    instances: BTreeMap<String, Instance>,
    tables: BTreeMap<u8, Vec<Item>>,
    actions: Vec<Action>,
    reply: Vec<u8>,
}

/// Reads `input` to its end and answers each batch on `output`.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut bytes = Vec::new();
    let mut line = 0;
    loop {
        bytes.clear();
        line += 1;
        let error_at_line = |reason: String| AdapterError { line, reason };
        let read = input
            .read_until(b'\n', &mut bytes)
            .map_err(|error| error_at_line(error.to_string()))?;
        if read == 0 {
            return if host.now.is_none() {
                Ok(())
            } else {
                Err(error_at_line("input ends inside a batch".into()))
            };
        }
        if bytes.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let message: Line = serde_json::from_slice(&bytes)
            .map_err(|error| error_at_line(format!("invalid message: {error}")))?;
        if host.handle_line(line, &message).map_err(error_at_line)? {
            let written = output.write_all(&host.reply).and_then(|()| output.flush());
            written.map_err(|error| error_at_line(format!("cannot write the reply: {error}")))?;
            host.reply.clear();
        }
    }
}

fn required<T>(value: Option<T>, field: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("{field} is missing"))
}

impl Host {
    /// Handles one line; returns whether the reply to the batch is complete.
    fn handle_line(&mut self, line: u64, message: &Line) -> Result<bool, String> {
        if message.what == "TICK" {
            if self.now.is_some() {
                return Err("TICK inside a batch".into());
            }
            self.now = Some(required(message.time_ns, "time-ns")?);
            return Ok(false);
        }
        let Some(now) = self.now else {
            return Err(format!("{} outside a batch", message.what));
        };
        match &*message.what {
            "FLUSH" => {
                self.now = None;
                self.reply.extend_from_slice(b"{\"what\":\"FINISHED\"}\n");
                return Ok(true);
            }
            "TABLE" => {
                let items = required(message.items, "items")?;
                let items =
                    serde_json::from_str(items.get()).map_err(|error| format!("items: {error}"))?;
                self.tables.insert(required(message.list, "list")?, items);
            }
            "POWER_ON" => self.start_instance(message)?,
            "KILLED" => {
                let name = required(message.balancer_id.as_deref(), "balancer-id")?;
                self.instances
                    .remove(name)
                    .ok_or_else(|| format!("{name} was never started"))?;
            }
            "INBOX" => {
                let name = required(message.balancer_id.as_deref(), "balancer-id")?;
                self.instances
                    .get(name)
                    .ok_or_else(|| format!("{name} was never started"))?;
            }
            _ => self.handle_event(line, now, message)?,
        }
        Ok(false)
    }

    fn start_instance(&mut self, message: &Line) -> Result<(), String> {
        let name = required(message.balancer_id.as_deref(), "balancer-id")?;
        let site_settings: SiteSettings =
            serde_json::from_str(required(message.setup, "setup")?.get())
                .map_err(|error| format!("setup: {error}"))?;
        let settings = site_settings.policy_settings();
        let seed = required(message.nonce64, "nonce64")?;
        let account_shares = site_settings
            .tenant_shares()
            .map(|(_, share)| share)
            .collect();
        let engine = Engine::new(settings, account_shares, Limits::default(), seed)
            .map_err(|error| error.to_string())?;
        let instance = Instance {
            engine,
            server_names: Vec::new(),
            server_ids: BTreeMap::new(),
        };
        self.instances.insert(name.to_owned(), instance);
        Ok(())
    }

    fn handle_event(&mut self, line: u64, now: Nanos, message: &Line) -> Result<(), String> {
        let name = required(message.balancer_id.as_deref(), "balancer-id")?;
        let instance = self
            .instances
            .get_mut(name)
            .ok_or_else(|| format!("{name} was never started"))?;
        let Some(event) = read_event(instance, &self.tables, message)? else {
            // Nothing can be done if standard error is closed.
            let _ = writeln!(
                std::io::stderr(),
                "beaconflow-adapter: line {line}: skipped unknown event {}",
                message.what
            );
            return Ok(());
        };
        self.actions.clear();
        let actions = &mut self.actions;
        let account = message.client_group.unwrap_or(0);
        let result = catch_unwind(AssertUnwindSafe(|| match event {
            Event::ConnectRequested(connect) => instance
                .engine
                .on_connect_requested(now, connect, account, actions),
            event => instance.engine.handle(now, event, actions),
        }));
        if let Err(panic) = result {
            let text = panic.downcast_ref::<&str>().copied();
            let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
            wire::write_fault(&mut self.reply, name, text.unwrap_or("the module panicked"));
            return Ok(());
        }
        for action in &self.actions {
            wire::write_action(&mut self.reply, name, action, |server| {
                &instance.server_names[server.0 as usize]
            });
        }
        Ok(())
    }
}

/// Converts a message to an event of the policy; `None` if the event is unknown.
fn read_event(
    instance: &mut Instance,
    tables: &BTreeMap<u8, Vec<Item>>,
    message: &Line,
) -> Result<Option<Event>, String> {
    let request = || required(message.req, "req").map(RequestId);
    let attempt = || required(message.send_no, "send-no");
    Ok(Some(match &*message.what {
        "ANNOUNCE" => read_list(instance, tables, message)?,
        "ASK" => Event::ConnectRequested(read_connect_request(message)?),
        "TAKEN_OVER" => Event::ConnectionAdopted {
            request: read_connect_request(message)?,
            server: instance.intern(required(message.server.as_deref(), "server")?),
        },
        "ACK_FIRST" => Event::AttemptEstablished {
            request: request()?,
            attempt: attempt()?,
        },
        "HEARTBEAT" => {
            let value = required(message.value, "value")?;
            let metric = match required(message.kind, "kind")? {
                1 => ConnectionMetric::Load(value),
                2 => ConnectionMetric::MessageLatency((value * 1e6) as Nanos),
                _ => return Ok(None),
            };
            Event::ConnectionMeasured {
                request: request()?,
                attempt: attempt()?,
                metric,
            }
        }
        "RESULT" => Event::AttemptEnded(AttemptEnd {
            request: request()?,
            attempt: attempt()?,
            outcome: wire::outcome(required(message.status, "status")?).ok_or("unknown status")?,
            elapsed: required(message.elapsed_ns, "elapsed-ns")?,
            is_final: message.closed,
        }),
        "HEALTH_RESULT" => Event::ProbeAnswered {
            server: instance.intern(required(message.server.as_deref(), "server")?),
            answer: read_probe_answer(message)?,
        },
        "CLIENT_LEFT" => Event::ClientLeft(request()?),
        "DEADLINE_HIT" => Event::TimerFired(TimerId(required(message.mark, "mark")?)),
        _ => return Ok(None),
    }))
}

/// What a probe showed. A server that answers without a load is not known to be loaded.
fn read_probe_answer(message: &Line) -> Result<ProbeAnswer, String> {
    let outcome = wire::outcome(required(message.status, "status")?).ok_or("unknown status")?;
    if outcome != AttemptOutcome::Served {
        return Ok(ProbeAnswer::Unhealthy);
    }
    let load = message.gauge.as_ref().and_then(|gauge| gauge.x0);
    Ok(load.map_or(ProbeAnswer::NoLoad, ProbeAnswer::Load))
}

fn read_connect_request(message: &Line) -> Result<ConnectRequest, String> {
    Ok(ConnectRequest {
        request: RequestId(required(message.req, "req")?),
        deadline_at: required(message.give_up_at_ns, "give-up-at-ns")?,
        class: ClassId(required(message.grade, "grade")?),
        client_key: message
            .resource
            .as_deref()
            .map(|text| ClientKey(digest(text))),
        group: message.group.as_deref().map(|text| GroupId(digest(text))),
        is_reconnect: message.returned,
        expected_load: message.expected_ns.map(|span| span as f64 / 1e3),
        pin: None,
    })
}

fn read_list(
    instance: &mut Instance,
    tables: &BTreeMap<u8, Vec<Item>>,
    message: &Line,
) -> Result<Event, String> {
    let update = match required(message.mode.as_deref(), "mode")? {
        "delta" => ListUpdate::Delta,
        "full" => ListUpdate::Snapshot,
        "cached" => ListUpdate::Cached,
        "failed" => {
            return Ok(Event::ServerList {
                update: ListUpdate::Failed(0),
                entries: Vec::new(),
            });
        }
        other => return Err(format!("unknown mode {other:?}")),
    };
    let number = required(message.list, "list")?;
    let items = tables
        .get(&number)
        .ok_or_else(|| format!("list {number} was not sent in a TABLE message"))?;
    let mut entries = Vec::with_capacity(items.len());
    for item in items {
        let state = match item.availability.as_str() {
            "on" => ServerState::Ready,
            "fading" => ServerState::Draining,
            "off" => ServerState::Removed,
            other => return Err(format!("unknown availability {other:?}")),
        };
        entries.push(ServerEntry {
            server: instance.intern(&item.server),
            name_hash: digest(&item.server),
            state,
            zone: ZoneId(item.region_part),
            cell: item.block,
            machine_type: item.family_type.into(),
            weight: item.share,
            target_weight: None,
            started_at: item.ready_at_ns,
        });
    }
    Ok(Event::ServerList { update, entries })
}
