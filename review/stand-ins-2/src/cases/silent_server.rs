//! One of six servers falls silent under clients that publish their readings.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::site::{PASSWORD, Site};
use crate::nats::{Publisher, Seen};
use crate::record::Record;

const SERVERS: usize = 6;
const CLIENTS: usize = 18;
/// Gateways have answered nothing for 5.4 to 24 s.
const HANG: Duration = Duration::from_secs(24);
const READING_INTERVAL: Duration = Duration::from_secs(1);
/// A connection that returns nothing from a running server is ended or moved within 7 s; each limit
/// is 50 ms longer.
const LATEST: Duration = Duration::from_millis(7_050);

#[derive(Default)]
struct View {
    /// When the oldest reading without a confirmation was sent.
    unconfirmed: Vec<Instant>,
    confirmed: usize,
    ended_after: Option<(Duration, String)>,
    /// The longest span for which a reading had stayed unconfirmed on the open connection.
    longest: Duration,
}

pub fn run(trouble: bool, record: &mut Record) -> Result<bool, String> {
    let site = Site::with_servers("silent-server", SERVERS, record)?;
    site.create_tenant(record, "acme", "telemetry", PASSWORD)?;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let name = format!("inverter-{number}");
        let view: Arc<Mutex<View>> = Arc::default();
        let (seen_view, seen_record, seen_name) = (Arc::clone(&view), record.clone(), name.clone());
        let on_seen = move |seen: Seen| {
            let mut view = seen_view.lock().expect("the view's lock");
            let waited = view
                .unconfirmed
                .first()
                .map_or(Duration::ZERO, Instant::elapsed);
            let end = match seen {
                Seen::Confirmed => {
                    if !view.unconfirmed.is_empty() {
                        view.unconfirmed.remove(0);
                    }
                    view.confirmed += 1;
                    if view.ended_after.is_none() {
                        view.longest = view.longest.max(waited);
                    }
                    return;
                }
                Seen::Line(line) => return seen_record.line(&format!("{seen_name}: {line}")),
                Seen::Moved => "moved".to_owned(),
                Seen::Ended(how) => how,
            };
            if view.ended_after.is_none() {
                seen_record.line(&format!(
                    "{seen_name}: {end}, {:.3} s after its oldest unconfirmed reading",
                    waited.as_secs_f64()
                ));
                view.longest = view.longest.max(waited);
                view.ended_after = Some((waited, end));
            }
        };
        clients.push((
            name.clone(),
            Publisher::connect(site.front, ("acme", PASSWORD), &name, on_seen)?,
            view,
        ));
    }
    let (index, held) = site
        .servers
        .iter()
        .map(|server| server.clients())
        .enumerate()
        .max_by_key(|(_, clients)| clients.len())
        .ok_or("no server")?;
    record.line(&format!("server {index} of {SERVERS} holds {held:?}"));
    let started_at = Instant::now();
    let (mut hangs, mut sent) = (false, 0);
    while started_at.elapsed() < Duration::from_secs(25) {
        if !hangs && started_at.elapsed() >= Duration::from_millis(3_500) {
            hangs = true;
            if trouble {
                site.servers[index].hang_for(HANG);
                record.line("that server reads and answers nothing for 24 s from now on");
            }
        }
        for (_, publisher, view) in &clients {
            let mut view = view.lock().expect("the view's lock");
            if view.ended_after.is_none() {
                view.unconfirmed.push(Instant::now());
                drop(view);
                sent += usize::from(publisher.publish("{\"watt\":2100}").is_ok());
            }
        }
        std::thread::sleep(READING_INTERVAL);
    }
    let (mut broken, mut unconfirmed) = (0, 0);
    for (name, _, view) in &clients {
        let mut view = view.lock().expect("the view's lock");
        if view.ended_after.is_none() {
            let waited = view
                .unconfirmed
                .first()
                .map_or(Duration::ZERO, Instant::elapsed);
            view.longest = view.longest.max(waited);
        }
        let is_broken = view.longest > LATEST;
        unconfirmed += view.unconfirmed.len();
        broken += usize::from(is_broken);
        record.line(&format!(
            "{name}: {} readings confirmed, {} not; {}; longest silence on the open connection {:.3} s{}",
            view.confirmed,
            view.unconfirmed.len(),
            view.ended_after.as_ref().map_or("still open", |(_, how)| how),
            view.longest.as_secs_f64(),
            if is_broken { ", LOST" } else { "" }
        ));
    }
    record.line(&format!(
        "{sent} readings sent by {CLIENTS} clients, {unconfirmed} of them not run yet; {broken} clients held on a silent server for over 7.05 s"
    ));
    Ok(broken == 0)
}
