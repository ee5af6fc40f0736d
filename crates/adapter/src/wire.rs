//! The messages of the simulator's wire, parsed without copying text.

use std::borrow::Cow;

use beaconflow_policy::{Action, AttemptOutcome, Nanos};
use serde::Deserialize;
use serde_json::value::RawValue;

/// One line of a batch: every field that any event has. Unknown keys are skipped.
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
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default)]
    pub family_type: u32,
}

fn one() -> f64 {
    1.0
}

/// An outcome by its number on the wire.
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

/// Writes one action as a line. `server` gives the wire's name of a server.
pub fn write_action<'n>(
    out: &mut Vec<u8>,
    instance: &str,
    action: &Action,
    server: impl Fn(beaconflow_policy::ServerId) -> &'n str,
) {
    use std::io::Write;
    let done = match action {
        Action::StartAttempt {
            request,
            server: to,
            timeout,
            ..
        } => {
            head(out, "CALL_OUT", instance);
            write!(out, ",\"req\":{},\"server\":", request.0)
                .and_then(|()| text(out, server(*to)))
                .and_then(|()| write!(out, ",\"allow-for-ns\":{timeout}"))
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            head(out, "DECLINE", instance);
            write!(out, ",\"req\":{}", request.0).and_then(|()| match retry_after {
                Some(span) => write!(out, ",\"not-before-for-ns\":{span}"),
                None => Ok(()),
            })
        }
        Action::Fail(request) => {
            head(out, "REPORT_FAILURE", instance);
            write!(out, ",\"req\":{}", request.0)
        }
        Action::Migrate(request, _) => {
            head(out, "GO_AWAY", instance);
            write!(out, ",\"req\":{}", request.0)
        }
        Action::SetTimer { after, timer } => {
            head(out, "SLEEP", instance);
            write!(out, ",\"wait-ns\":{after},\"mark\":{}", timer.0)
        }
        Action::ProbeServer(of) => {
            head(out, "TOUCH", instance);
            out.extend_from_slice(b",\"server\":");
            text(out, server(*of))
        }
        Action::WatchServerList => {
            head(out, "TRACK", instance);
            out.extend_from_slice(b",\"on\":true");
            Ok(())
        }
        // The host keeps the request in its admission queue.
        Action::Enqueue(_) => return,
        Action::LogOverload(summary) => {
            head(out, "WRITE_LOG", instance);
            out.extend_from_slice(b",\"body-text\":");
            text(out, &summary.to_string())
        }
    };
    done.expect("writing to memory does not fail");
    out.extend_from_slice(b"}\n");
}

/// Writes the line that reports a panic of the policy.
pub fn write_fault(out: &mut Vec<u8>, instance: &str, message: &str) {
    head(out, "FAULT", instance);
    out.extend_from_slice(b",\"body-text\":");
    text(out, message).expect("writing to memory does not fail");
    out.extend_from_slice(b"}\n");
}

fn head(out: &mut Vec<u8>, what: &str, instance: &str) {
    out.extend_from_slice(b"{\"what\":\"");
    out.extend_from_slice(what.as_bytes());
    out.extend_from_slice(b"\",\"balancer-id\":");
    text(out, instance).expect("writing to memory does not fail");
}

fn text(out: &mut Vec<u8>, value: &str) -> std::io::Result<()> {
    serde_json::to_writer(out, value).map_err(std::io::Error::from)
}

#[cfg(test)]
mod tests;
