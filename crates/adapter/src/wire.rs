//! The messages of the simulator's wire, parsed without copying text.

use std::borrow::Cow;

use beaconflow_policy::{Action, AttemptOutcome, Nanos};
use serde::Deserialize;
use serde_json::value::RawValue;

/// One line of a batch, with the fields of all events. Unknown keys are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Line<'a> {
    #[serde(borrow)]
    pub what: Cow<'a, str>,
    pub time_ns: Option<Nanos>,
    #[serde(borrow)]
    pub balancer_id: Option<Cow<'a, str>>,
    pub nonce64: Option<u64>,
    #[serde(borrow)]
    pub setup: Option<&'a RawValue>,
    pub list: Option<u8>,
    #[serde(borrow)]
    pub items: Option<&'a RawValue>,
    #[serde(borrow)]
    pub mode: Option<Cow<'a, str>>,
    pub req: Option<u64>,
    pub client_group: Option<usize>,
    pub give_up_at_ns: Option<Nanos>,
    #[serde(borrow)]
    pub resource: Option<Cow<'a, str>>,
    pub grade: Option<usize>,
    #[serde(default)]
    pub returned: bool,
    pub expected_ns: Option<u64>,
    #[serde(borrow)]
    pub group: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub server: Option<Cow<'a, str>>,
    pub send_no: Option<u32>,
    pub kind: Option<u32>,
    pub value: Option<f64>,
    pub status: Option<u32>,
    pub elapsed_ns: Option<Nanos>,
    #[serde(default)]
    pub closed: bool,
    pub mark: Option<u64>,
    pub gauge: Option<Gauge>,
}

/// The part of a load report that is used.
#[derive(Deserialize)]
pub struct Gauge {
    pub x0: Option<f64>,
}

/// One server of a list.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Item {
    pub availability: String,
    pub server: String,
    #[serde(default)]
    pub region_part: u32,
    #[serde(default)]
    pub block: u32,
    #[serde(default)]
    pub ready_at_ns: Nanos,
    #[serde(default = "default_share")]
    pub share: f64,
    #[serde(default)]
    pub family_type: u32,
}

fn default_share() -> f64 {
    1.0
}

/// The outcome for a number on the wire; `None` if the number is unknown.
pub fn outcome(status: u32) -> Option<AttemptOutcome> {
    Some(match status {
        1 => AttemptOutcome::Served,
        2 => AttemptOutcome::ServerError,
        3 => AttemptOutcome::Rejected,
        4 => AttemptOutcome::TimedOut,
        5 => AttemptOutcome::ConnectFailed,
        6 => AttemptOutcome::Reset,
        7 => AttemptOutcome::Cancelled,
        8 => AttemptOutcome::NotSent,
        _ => return None,
    })
}

/// Writes one action as a line. `server_name` returns a server's name on the wire.
pub fn write_action<'n>(
    out: &mut Vec<u8>,
    instance: &str,
    action: &Action,
    server_name: impl Fn(beaconflow_policy::ServerId) -> &'n str,
) {
    use std::io::Write;
    let result = match action {
        Action::StartAttempt {
            request,
            server: server_id,
            timeout,
            ..
        } => {
            write_head(out, "CALL_OUT", instance);
            write!(out, ",\"req\":{},\"server\":", request.0)
                .and_then(|()| write_text(out, server_name(*server_id)))
                .and_then(|()| write!(out, ",\"allow-for-ns\":{timeout}"))
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            write_head(out, "DECLINE", instance);
            write!(out, ",\"req\":{}", request.0).and_then(|()| match retry_after {
                Some(span) => write!(out, ",\"not-before-for-ns\":{span}"),
                None => Ok(()),
            })
        }
        Action::Fail(request) => {
            write_head(out, "REPORT_FAILURE", instance);
            write!(out, ",\"req\":{}", request.0)
        }
        Action::Migrate(request, _) => {
            write_head(out, "GO_AWAY", instance);
            write!(out, ",\"req\":{}", request.0)
        }
        Action::SetTimer { after, timer } => {
            write_head(out, "SLEEP", instance);
            write!(out, ",\"wait-ns\":{after},\"mark\":{}", timer.0)
        }
        Action::ProbeServer(server_id) => {
            write_head(out, "TOUCH", instance);
            out.extend_from_slice(b",\"server\":");
            write_text(out, server_name(*server_id))
        }
        Action::WatchServerList => {
            write_head(out, "TRACK", instance);
            out.extend_from_slice(b",\"on\":true");
            Ok(())
        }
        // The host keeps the request in its admission queue.
        Action::Enqueue(_) => return,
        Action::LogOverload(summary) => {
            write_head(out, "WRITE_LOG", instance);
            out.extend_from_slice(b",\"body-text\":");
            write_text(out, &summary.to_string())
        }
    };
    result.expect("writing to memory does not fail");
    out.extend_from_slice(b"}\n");
}

/// Writes the line that reports a panic of the policy.
pub fn write_fault(out: &mut Vec<u8>, instance: &str, message: &str) {
    write_head(out, "FAULT", instance);
    out.extend_from_slice(b",\"body-text\":");
    write_text(out, message).expect("writing to memory does not fail");
    out.extend_from_slice(b"}\n");
}

fn write_head(out: &mut Vec<u8>, what: &str, instance: &str) {
    out.extend_from_slice(b"{\"what\":\"");
    out.extend_from_slice(what.as_bytes());
    out.extend_from_slice(b"\",\"balancer-id\":");
    write_text(out, instance).expect("writing to memory does not fail");
}

fn write_text(out: &mut Vec<u8>, value: &str) -> std::io::Result<()> {
    serde_json::to_writer(out, value).map_err(std::io::Error::from)
}

#[cfg(test)]
mod tests;
