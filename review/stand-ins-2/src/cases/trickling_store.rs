//! The shared store answers slowly: its replies come byte by byte.

use std::sync::mpsc;
use std::time::Duration;

use super::site::{PASSWORD, Site};
use crate::nats;
use crate::record::Record;

const TENANTS: usize = 10;
/// The usual rate of new connections: 17 a second.
const SPACING: Duration = Duration::from_nanos(1_000_000_000 / 17);
/// `hard-limit-ns` of the class.
const CLIENT_TIME: Duration = Duration::from_secs(3);
/// Half a second after its time an answer only earns nothing; each limit is 50 ms longer.
const LATEST: Duration = Duration::from_millis(3_550);
const BYTE_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client is watched.
const WATCHED: Duration = Duration::from_secs(30);

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let site = Site::start("trickling-store", record)?;
    for number in 0..TENANTS {
        site.create_tenant(record, &format!("tenant-{number}"), "upkeep", PASSWORD)?;
    }
    // Every tenant's client has been here before, so that its password is known.
    for number in 0..TENANTS {
        let name = format!("tenant-{number}");
        let first = nats::set_up(site.front, &name, PASSWORD, Duration::from_secs(10));
        if !first.is_served {
            return Err(format!("{name} was not served at first: {}", first.answer));
        }
    }
    // The records are older than `fresh_ms` then.
    std::thread::sleep(Duration::from_secs(6));
    if trouble {
        site.store.set_byte_interval(BYTE_INTERVAL);
        record.line("the store's replies come byte by byte, one in 100 ms, from now on");
    }
    let (sender, results) = mpsc::channel();
    for number in 0..TENANTS {
        let (sender, front) = (sender.clone(), site.front);
        std::thread::spawn(move || {
            let name = format!("tenant-{number}");
            let result = nats::set_up(front, &name, PASSWORD, WATCHED);
            let _ = sender.send((name, result));
        });
        std::thread::sleep(SPACING);
    }
    drop(sender);
    let (mut served, mut late) = (0, 0);
    for (name, result) in results {
        let is_late = !result.is_answered || result.took > LATEST;
        late += usize::from(is_late);
        served += usize::from(result.is_served && result.took <= CLIENT_TIME);
        record.line(&format!(
            "{name}: {} after {:.3} s{}",
            result.answer,
            result.took.as_secs_f64(),
            if is_late { ", LOST" } else { "" }
        ));
    }
    record.line(&format!(
        "{TENANTS} requests, {served} served in time, {late} without a final answer 0.55 s after their client gave up"
    ));
    Ok(late == 0)
}
