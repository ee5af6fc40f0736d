//! Administration API: admission.

use serde_json::{Value, json};

use super::servers::no_answer;
use crate::core::{AccountSnapshot, AdmissionSnapshot};
use crate::http::Reply;
use crate::overrides::NamedCore;

/// The admission queue of each front, and the counters of each account.
pub(super) fn read(cores: &[NamedCore]) -> Result<Reply, Reply> {
    let fronts = cores
        .iter()
        .map(|core| {
            Ok(front(
                core.0,
                &core
                    .1
                    .admission_snapshot()
                    .ok_or_else(|| no_answer(core.0))?,
            ))
        })
        .collect::<Result<Vec<Value>, Reply>>()?;
    Ok(Reply::new(200, json!({ "fronts": fronts })))
}

fn front(name: &str, queue: &AdmissionSnapshot) -> Value {
    let limits = &queue.limits;
    json!({
        "front": name, "waiting": queue.queued, "bytes": queue.bytes,
        "limits": {
            "entries": limits.total.entries, "bytes": limits.total.bytes,
            "account_entries": limits.per_account.entries, "account_bytes": limits.per_account.bytes,
            "queue_entries": limits.per_queue.entries, "queue_bytes": limits.per_queue.bytes,
            "queues": limits.queues_per_class, "hand": limits.hand_size,
        },
        "accounts": queue.accounts.iter().map(account).collect::<Vec<Value>>(),
    })
}

fn account(account: &AccountSnapshot) -> Value {
    json!({
        "account": account.name, "due": account.entitled_fraction, "per_second": account.admitted_per_s,
        "waiting": account.queued, "asked": account.counts.requests, "admitted": account.counts.admitted,
        "lent": account.counts.borrowed, "refused": account.counts.rejected, "given_up": account.counts.timed_out, "left": account.counts.client_left,
        "wait_p50_ms": account.wait_p50_ms, "wait_p99_ms": account.wait_p99_ms,
    })
}
