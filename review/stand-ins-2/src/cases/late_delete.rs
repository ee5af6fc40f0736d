//! A command to the store is late on one connection; it is repeated on another and runs twice.

use std::time::Duration;

use super::site::{PASSWORD, Site};
use crate::nats;
use crate::record::Record;

const SECOND_PASSWORD: &str = "second-password-0002";
const DELAY: Duration = Duration::from_secs(3);
const WAIT: Duration = Duration::from_secs(10);

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let site = Site::start("late-delete", record)?;
    site.create_tenant(record, "acme", "telemetry", PASSWORD)?;
    if trouble {
        site.store.hold_open_connections(DELAY);
        record.line("what the open connection to the store carries arrives 3 s late from now on");
    }
    let (status, answer) = site.call(record, "DELETE", "/v1/tenants/acme", "")?;
    if status != 204 {
        return Err(format!("the tenant was not removed: {status} {answer}"));
    }
    site.create_tenant(record, "acme", "telemetry", SECOND_PASSWORD)?;
    let first = nats::set_up(site.front, "acme", SECOND_PASSWORD, WAIT);
    record.line(&format!("client of the new tenant: {}", first.answer));
    // The late command has arrived and the records are older than `fresh_ms` then.
    std::thread::sleep(Duration::from_secs(6));
    let later = nats::set_up(site.front, "acme", SECOND_PASSWORD, WAIT);
    record.line(&format!(
        "client of the new tenant, 6 s later: {}",
        later.answer
    ));
    let (status, _) = site.call(record, "GET", "/v1/tenants/acme", "")?;
    Ok(first.is_served && later.is_served && status == 200)
}
