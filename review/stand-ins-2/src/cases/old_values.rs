//! The shared store returns values many seconds old; an operator changes two things of a tenant.

use std::time::Duration;

use super::site::{PASSWORD, Site};
use crate::nats;
use crate::record::Record;

const SECOND_PASSWORD: &str = "second-password-0002";
const READ_AGE: Duration = Duration::from_secs(10);
const WAIT: Duration = Duration::from_secs(10);

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let site = Site::start("old-values", record)?;
    site.create_tenant(record, "acme", "telemetry", PASSWORD)?;
    std::thread::sleep(READ_AGE + Duration::from_secs(1));
    if trouble {
        site.store.set_read_age(READ_AGE);
        record.line("the store returns values 10 s old from now on; it takes writes at once");
    }
    let (status, answer) = site.call(
        record,
        "PUT",
        "/v1/tenants/acme/credentials",
        &format!(r#"{{"password":"{SECOND_PASSWORD}"}}"#),
    )?;
    if status != 204 {
        return Err(format!("the password was not changed: {status} {answer}"));
    }
    let secret_of = |text: Option<String>| {
        let text = text.unwrap_or_default();
        let from = text.find("\"secret\":").unwrap_or(0);
        text[from..]
            .split(',')
            .take(4)
            .collect::<Vec<_>>()
            .join(",")
    };
    let accepted = secret_of(site.store.field("acme"));
    record.line(&format!("store: {accepted}"));
    std::thread::sleep(Duration::from_secs(2));
    let (status, answer) = site.call(record, "PATCH", "/v1/tenants/acme", r#"{"share":2.0}"#)?;
    if status != 200 {
        return Err(format!("the share was not changed: {status} {answer}"));
    }
    record.line(&format!("store: {}", secret_of(site.store.field("acme"))));
    site.store.set_read_age(Duration::ZERO);
    record.line("the store returns present values again");
    // The records are older than `fresh_ms` then.
    std::thread::sleep(Duration::from_secs(6));
    let new = nats::set_up(site.front, "acme", SECOND_PASSWORD, WAIT);
    record.line(&format!(
        "client with the accepted new password: {}",
        new.answer
    ));
    let old = nats::set_up(site.front, "acme", PASSWORD, WAIT);
    record.line(&format!(
        "client with the replaced password: {}",
        old.answer
    ));
    let (_, tenant) = site.call(record, "GET", "/v1/tenants/acme", "")?;
    let has_share = tenant.contains("\"share\":2.0");
    Ok(new.is_served && !old.is_served && has_share)
}
