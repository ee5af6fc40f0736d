//! Stories of overrides: the program with its platform front, administration API and store, over loopback.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use support::*;

/// A balancer with application servers, discovery and a folder for its store.
struct Site {
    program: Option<Program>,
    at: SocketAddr,
    api: Api,
    servers: Vec<(String, TcpListener)>,
    discovery: Discovery,
    /// The watch that the program follows now.
    watch: Peer,
    generation: u32,
    next: AtomicU32,
    folder: tempfile::TempDir,
    config: String,
    operator: String,
}

/// What is set of overrides beside their file.
const USUAL: &str = "ramp_s = 0.4";

impl Site {
    fn start(servers: usize) -> Site {
        Site::set_up(servers, USUAL)
    }

    fn set_up(servers: usize, overrides: &str) -> Site {
        let folder = tempfile::tempdir().expect("a folder for temporary files");
        let (at, admin, discovery) = (free(), free(), Discovery::start());
        let servers: Vec<(String, TcpListener)> =
            (0..servers).map(|number| (format!("s{number}"), listener())).collect();
        let known = list(1, true, &serving(&servers));
        let config = folder.path().join("config.json");
        let text = support::config(at, discovery.address, &known, SETTINGS, 256);
        std::fs::write(&config, text).expect("room");
        let operator = folder.path().join("operator.toml");
        let store = folder.path().join("overrides.redb");
        let text = format!(
            "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[overrides]\nfile = {store:?}\n{overrides}\n"
        );
        std::fs::write(&operator, text).expect("room");
        let (config, operator) = (text_of(&config), text_of(&operator));
        let program = begin(&operator, &config);
        program.says("serves front=platform");
        program.says("administration API serves");
        let watch = discovery.watch();
        Site {
            program: Some(program),
            at,
            api: Api { at: admin, token: ADMIN_TOKEN },
            servers,
            discovery,
            watch,
            generation: 1,
            next: AtomicU32::new(1),
            folder,
            config,
            operator,
        }
    }

    fn store(&self) -> PathBuf {
        self.folder.path().join("overrides.redb")
    }

    fn program(&self) -> &Program {
        self.program.as_ref().expect("it runs")
    }

    /// Ends the program by a signal and starts it again, with its last list or without.
    fn restart(&mut self, signal: &str, meanwhile: impl FnOnce(&Site)) {
        let mut program = self.program.take().expect("it runs");
        program.signal(signal);
        program.ends();
        drop(program);
        meanwhile(self);
        let program = begin(&self.operator, &self.config);
        program.says("serves front=platform");
        program.says("administration API serves");
        self.watch = self.discovery.watch();
        self.program = Some(program);
    }

    /// Tells the program of its farm, and waits until it knows.
    fn list(&mut self, reset: bool, rows: &[(&str, SocketAddr, &str)]) {
        self.generation += 1;
        tell(&mut self.watch, self.generation, reset, rows);
        self.program().says(&format!("generation={}", self.generation));
    }

    fn address(&self, server: usize) -> SocketAddr {
        self.servers[server].1.local_addr().expect("bound")
    }

    /// A client that has sent its opening, of a group.
    fn open(&self, group: &str) -> Peer {
        let mut client = Peer::connect(self.at);
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        client.say(&format!("OPEN a{id} 02 c=chat,t=acme,d=2500,g={group}\r\n"));
        client
    }

    /// Opens a connection and lets the server that is asked serve it; tells which one was.
    fn stand(&self, group: &str) -> (usize, Peer, Peer) {
        let mut client = self.open(group);
        let (number, mut server) = self.asked();
        server.hear().expect("an opening");
        server.say("UP r1\r\n");
        client.hears("UP r1");
        (number, client, server)
    }

    /// The next pass, at whichever server it comes in.
    fn asked(&self) -> (usize, Peer) {
        let until = Instant::now() + PATIENCE;
        loop {
            for (number, (_, server)) in self.servers.iter().enumerate() {
                server.set_nonblocking(true).expect("open");
                if let Ok((stream, _)) = server.accept() {
                    stream.set_nonblocking(false).expect("open");
                    return (number, Peer::new(stream));
                }
            }
            assert!(Instant::now() < until, "no server was asked");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Where so many connections go, one after the other; all stay open.
    fn spread(&self, count: usize) -> (Vec<usize>, Vec<(Peer, Peer)>) {
        // Groups of their own, so that no group's place draws them to one server.
        let open = |_| {
            let (number, client, server) = self.stand(&format!("g{}", self.next.load(Ordering::Relaxed)));
            (number, (client, server))
        };
        (0..count).map(open).unzip()
    }
}

fn text_of(path: &Path) -> String {
    path.to_str().expect("text").to_owned()
}

fn begin(operator: &str, config: &str) -> Program {
    Program::start(&["--operator", operator], &[("LB_CONFIG", config)])
}

fn serving(servers: &[(String, TcpListener)]) -> Vec<(&str, SocketAddr, &'static str)> {
    let row = |(name, server): &'_ (String, TcpListener)| (server.local_addr().expect("bound"), name.len());
    servers.iter().map(|server| (server.0.as_str(), row(server).0, "SERVING")).collect()
}

/// When a line was written, in Unix seconds.
fn stamp(line: &str) -> f64 {
    line.split(' ').next().expect("a stamp").parse().expect("a number")
}

/// A body of a new override.
fn body(kind: &str, seconds: f64) -> String {
    format!(r#"{{{kind},"who":"ada","why":"maintenance","expires_in_s":{seconds}}}"#)
}

fn out(server: &str, seconds: f64) -> String {
    body(&format!(r#""kind":"out","server":"{server}""#), seconds)
}

#[test]
fn a_server_that_is_out_gets_nothing_new_and_comes_back_by_itself_when_its_time_is_up() {
    let site = Site::start(2);
    let (_, mut standing) = site.spread(6);
    let id = site.api.add(&out("s0", 60.0));
    let shown = site.api.call("GET", &format!("/v1/overrides/{id}"), "").body;
    let left = shown["remaining_s"].as_f64().expect("a number");
    assert!(left > 0.0 && left <= 60.0, "{left}");
    assert_eq!(shown["effects"]["platform"], "in effect");
    let row = site.api.server("s0");
    assert_eq!(
        (row["listed"]["state"].as_str(), row["effective"]["state"].as_str()),
        (Some("ready"), Some("out"))
    );
    assert!(row["why"][0].as_str().is_some_and(|why| why.contains("maintenance")), "{row}");
    let (went, more) = site.spread(4);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
    // What stands there stays. Nothing is let go before the end: a server that breaks connections off is left alone.
    standing.extend(more);
    for (client, server) in &mut standing {
        client.say("M 1\r\n");
        server.hears("M 1");
        server.say("A 1\r\n");
        client.hears("A 1");
    }
    let due = site.api.shorten(id);
    let said = site.program().says(&format!("override expired id={id}"));
    let late = stamp(&said) - due;
    assert!((-0.002..0.6).contains(&late), "{late} {said}");
    assert!(said.contains("who=ada") && said.contains("why=maintenance"), "{said}");
    assert!(site.api.overrides().is_empty());
    let until = Instant::now() + PATIENCE;
    while site.api.server("s0")["effective"]["weight"] != 1.0 {
        assert!(Instant::now() < until, "its weight never came back");
        std::thread::sleep(Duration::from_millis(10));
    }
    let (went, _more) = site.spread(8);
    assert!(went.contains(&0), "it is back: {went:?}");
}

#[test]
fn an_override_outlives_its_servers_absence_new_address_and_restart() {
    let mut site = Site::start(2);
    let id = site.api.add(&out("s0", 60.0));
    let effect = |site: &Site| {
        let shown = site.api.call("GET", &format!("/v1/overrides/{id}"), "").body;
        shown["effects"]["platform"].as_str().expect("a word").to_owned()
    };
    let (first, second) = (site.address(0), site.address(1));
    site.list(false, &[("s0", first, "DELETED")]);
    assert_eq!(effect(&site), "server not listed");
    // It comes back elsewhere, as a new process; the other one is still there.
    site.servers[0].1 = listener();
    let moved = site.address(0);
    site.list(true, &[("s0", moved, "SERVING"), ("s1", second, "SERVING")]);
    assert_eq!(effect(&site), "in effect");
    let (went, _standing) = site.spread(4);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
    // One that was never listed.
    let later = site.api.call("POST", "/v1/overrides", &out("s2", 60.0));
    assert_eq!((later.status, later.body["effects"]["platform"].as_str()), (201, Some("server not listed")));
    site.servers.push(("s2".into(), listener()));
    let third = site.address(2);
    site.list(false, &[("s2", third, "SERVING")]);
    assert_eq!(site.api.server("s2")["effective"]["state"], "out");
    let (went, _more) = site.spread(4);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
}

#[test]
fn a_restart_brings_each_override_back_with_its_own_end_and_those_that_ended_meanwhile_stay_ended() {
    let mut site = Site::start(2);
    let stays = site.api.add(&out("s0", 60.0));
    let ends = site.api.add(&body(r#""kind":"weight","server":"s1","factor":0.5"#, 1.0));
    let before = site.api.call("GET", &format!("/v1/overrides/{stays}"), "").body;
    for signal in ["TERM", "KILL"] {
        site.restart(signal, |_| ());
        let after = site.api.call("GET", &format!("/v1/overrides/{stays}"), "").body;
        for field in ["expires_at", "created_at", "who", "why", "revision", "server"] {
            assert_eq!(before[field], after[field], "{field} after {signal}");
        }
        assert!(after["remaining_s"].as_f64() < before["remaining_s"].as_f64());
        let (went, _standing) = site.spread(2);
        assert!(went.iter().all(|number| *number == 1), "nothing went there before it was known: {went:?}");
    }
    // The second one's time was up while the program was down, or is by now.
    let until = Instant::now() + PATIENCE;
    while site.api.overrides().len() > 1 {
        assert!(Instant::now() < until, "it never ended");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(site.api.call("GET", &format!("/v1/overrides/{ends}"), "").status, 404);
    // Its number is not given again.
    assert!(site.api.add(&out("s9", 60.0)) > ends);
}

#[test]
fn what_was_durable_when_the_program_was_killed_is_in_effect_when_it_is_back() {
    use beaconflow_overrides::{Draft, Kind};
    use beaconflow_store::{OverrideStore, open};
    let mut site = Site::start(2);
    // As a program leaves it that is killed after the durable write and before anything else.
    site.restart("KILL", |site| {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
        let now = u64::try_from(now.as_millis()).expect("before long");
        let (mut store, _) = open(&site.store()).expect("it is free");
        let kind = Kind::Out { server: "s0".into(), moves_per_s: None };
        let draft = Draft { kind, who: "ada".into(), why: "killed".into(), expires_at: now + 60_000 };
        let id = store.next_id();
        store.put(&[draft.into_override(id, now)]).expect("durable");
    });
    let all = site.api.overrides();
    assert_eq!((all.len(), all[0]["effects"]["platform"].as_str()), (1, Some("in effect")));
    let (went, _standing) = site.spread(4);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
}

#[test]
fn whatever_was_acknowledged_before_a_kill_is_back_after_it() {
    let mut site = Site::start(1);
    let api = Api { at: site.api.at, token: ADMIN_TOKEN };
    let (send, acknowledged) = std::sync::mpsc::channel();
    let writer = std::thread::spawn(move || {
        for number in 0.. {
            let text = out(&format!("x{number}"), 60.0);
            // The program is killed in the middle of some call.
            let Some(answer) = api.try_call("POST", "/v1/overrides", &text) else { return };
            assert_eq!(answer.status, 201);
            send.send(answer.body["id"].as_u64().expect("a number")).expect("somebody counts");
        }
    });
    let mut known: Vec<u64> =
        (0..20).map(|_| acknowledged.recv_timeout(PATIENCE).expect("a number")).collect();
    // A file read anew in the middle of changes disturbs none of them.
    site.program().signal("HUP");
    site.program().says("nothing has changed");
    known.extend((0..20).map(|_| acknowledged.recv_timeout(PATIENCE).expect("a number")));
    site.restart("KILL", |_| ());
    writer.join().expect("it ended with the program");
    known.extend(acknowledged.try_iter());
    let back: Vec<u64> =
        site.api.overrides().iter().map(|one| one["id"].as_u64().expect("a number")).collect();
    assert!(known.iter().all(|id| back.contains(id)), "{known:?} {back:?}");
    assert!(back.len() <= known.len() + 1, "at most the one whose answer was lost");
}

#[test]
fn a_store_that_cannot_be_read_never_stops_the_program_from_serving() {
    let mut site = Site::start(2);
    site.api.add(&out("s0", 60.0));
    // Damaged: kept aside, and an empty one begins.
    site.restart("TERM", |site| std::fs::write(site.store(), "no store at all").expect("room"));
    let answer = site.api.call("GET", "/v1/overrides", "").body;
    assert_eq!(
        (answer["kept"].as_bool(), answer["overrides"].as_array().map(Vec::len)),
        (Some(true), Some(0))
    );
    assert!(answer["notes"][0].as_str().is_some_and(|note| note.contains("kept as")), "{answer}");
    let names = std::fs::read_dir(site.folder.path()).expect("a folder");
    let names = names.map(|entry| entry.expect("an entry").file_name().into_string().expect("text"));
    let aside: Vec<String> = names.filter(|name| name.contains("damaged")).collect();
    assert_eq!(aside.len(), 1);
    assert_eq!(std::fs::read(site.folder.path().join(&aside[0])).expect("kept"), b"no store at all");
    site.api.add(&out("s0", 60.0));
    // In use by another program; a folder in its place; no folder at all.
    let mut held = None;
    site.restart("TERM", |site| held = Some(beaconflow_store::open(&site.store()).expect("free")));
    none_are_kept(&site, "another program");
    drop(held);
    // A newer program's.
    let whole = std::fs::read(site.store()).expect("there");
    site.restart("TERM", |site| {
        let database = redb::Database::create(site.store()).expect("free");
        let writing = database.begin_write().expect("open");
        let about = redb::TableDefinition::<&str, u64>::new("about");
        writing
            .open_table(about)
            .expect("there")
            .insert("schema", beaconflow_store::SCHEMA + 1)
            .expect("room");
        writing.commit().expect("durable");
    });
    none_are_kept(&site, "written by a newer program");
    site.restart("TERM", |site| std::fs::write(site.store(), &whole).expect("room"));
    assert_eq!(site.api.overrides().len(), 1, "an older file is read again");
    site.restart("TERM", |site| {
        std::fs::rename(site.store(), site.folder.path().join("whole")).expect("there");
        std::fs::create_dir(site.store()).expect("free");
    });
    none_are_kept(&site, "can't be opened");
    site.restart("TERM", |site| {
        std::fs::remove_dir(site.store()).expect("there");
        std::fs::rename(site.folder.path().join("whole"), site.store()).expect("there");
    });
    assert_eq!(site.api.overrides().len(), 1, "what was kept all along");
}

/// The API says that none are kept and why; nothing is taken; the program serves.
fn none_are_kept(site: &Site, why: &str) {
    let answer = site.api.call("GET", "/v1/overrides", "").body;
    assert_eq!(answer["kept"], false);
    assert!(answer["notes"][0].as_str().is_some_and(|note| note.contains(why)), "{answer}");
    let refused = site.api.call("POST", "/v1/overrides", &out("s0", 60.0));
    assert_eq!(refused.status, 503);
    assert!(refused.body["error"].as_str().is_some_and(|error| error.contains(why)), "{}", refused.body);
    site.stand("north");
}

#[test]
fn a_store_that_may_only_be_read_is_left_as_it_is_and_the_program_serves() {
    use std::fs::{Permissions, set_permissions};
    use std::os::unix::fs::PermissionsExt;
    let mut site = Site::start(2);
    site.api.add(&out("s0", 60.0));
    let mut program = site.program.take().expect("it runs");
    program.signal("TERM");
    program.ends();
    let before = std::fs::read(site.store()).expect("there");
    let copy = tempfile::tempdir().expect("a folder for temporary files");
    set_permissions(copy.path(), Permissions::from_mode(0o755)).expect("ours");
    let binary = copy.path().join("beaconflow");
    for path in [&site.operator, &site.config] {
        set_permissions(path, Permissions::from_mode(0o444)).expect("ours");
    }
    set_permissions(site.store(), Permissions::from_mode(0o444)).expect("ours");
    set_permissions(site.folder.path(), Permissions::from_mode(0o555)).expect("ours");
    let program =
        Program::start_as_nobody(&binary, &["--operator", &site.operator], &[("LB_CONFIG", &site.config)]);
    let said = program.says("none are restored or kept");
    assert!(said.contains("denied"), "{said}");
    program.says("administration API serves");
    site.program = Some(program);
    none_are_kept(&site, "can't be opened");
    assert!(std::fs::read(site.store()).expect("there") == before, "not a byte has changed");
    // The folder is removed at the end.
    set_permissions(site.folder.path(), Permissions::from_mode(0o755)).expect("ours");
}

#[test]
fn a_disk_that_is_full_refuses_a_change_and_changes_nothing() {
    let site = Site::start(2);
    site.api.add(&out("s0", 60.0));
    // No file of the program may grow from here on, as on a disk without room.
    let size = std::fs::metadata(site.store()).expect("there").len();
    let limit = rustix::process::Rlimit { current: Some(size), maximum: Some(size) };
    let pid = rustix::process::Pid::from_raw(site.program().pid() as i32).expect("it runs");
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Fsize, limit).expect("its parent may");
    let mut taken = 1;
    let refused = loop {
        let answer = site.api.call("POST", "/v1/overrides", &out(&format!("x{taken}"), 60.0));
        if answer.status != 201 {
            break answer;
        }
        taken += 1;
        assert!(taken < 5_000, "the file never had to grow");
    };
    assert_eq!(refused.status, 507, "{}", refused.body);
    assert!(refused.body["error"].as_str().is_some_and(|error| error.contains("nothing was changed")));
    assert_eq!(site.api.overrides().len(), taken, "those before it hold on");
    let (went, _standing) = site.spread(2);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
}

#[test]
fn what_would_leave_no_server_is_refused_unless_it_is_forced_and_judged_again_with_each_list() {
    let mut site = Site::start(2);
    let first = site.api.add(&out("s0", 60.0));
    let refused = site.api.call("POST", "/v1/overrides", &out("s1", 60.0));
    assert_eq!(refused.status, 409);
    assert!(
        refused.body["error"].as_str().is_some_and(|error| error.contains("no ready server")),
        "{}",
        refused.body
    );
    assert_eq!(site.api.overrides().len(), 1);
    let forced = out("s1", 60.0).replace("\"who\"", "\"force\":true,\"who\"");
    let second = site.api.add(&forced);
    site.program().says("overrides leave too little what=\"no ready server in the whole farm\"");
    assert!(site.api.call("GET", "/v1/farm", "").body["warnings"][0].is_string());
    // A client that comes now is told at the end when to come back, and no server hears of it.
    let answer = site.open("north").hear().expect("an answer");
    assert!(answer.starts_with("BUSY "), "{answer}");
    assert_eq!(site.api.call("DELETE", &format!("/v1/overrides/{second}"), "").status, 200);
    site.program().says("a ready server everywhere again");
    // Sound as it was entered, harmful since the other server left the list.
    let second = site.address(1);
    site.list(false, &[("s1", second, "DELETED")]);
    site.program().says("overrides leave too little what=\"no ready server in the whole farm\"");
    site.list(false, &[("s1", second, "SERVING")]);
    site.program().says("a ready server everywhere again");
    assert_eq!(site.api.overrides()[0]["id"], first);
}

#[test]
fn a_server_that_is_back_is_brought_back_in_steps() {
    let site = Site::set_up(2, "ramp_s = 2.0");
    let id = site.api.add(&out("s0", 60.0));
    assert_eq!(site.api.call("DELETE", &format!("/v1/overrides/{id}"), "").status, 200);
    let mut seen: Vec<f64> = Vec::new();
    let until = Instant::now() + PATIENCE;
    while seen.last() != Some(&1.0) {
        assert!(Instant::now() < until, "{seen:?}");
        let row = site.api.server("s0");
        let weight = row["effective"]["weight"].as_f64().expect("a number");
        if weight < 1.0 {
            assert!(row["why"][0].as_str().is_some_and(|why| why.contains("on its way back")), "{row}");
        }
        if seen.last() != Some(&weight) {
            seen.push(weight);
        }
    }
    assert!(seen.is_sorted() && seen[0] <= 0.2 && seen.len() > 8, "{seen:?}");
}

#[test]
fn standing_connections_are_moved_off_at_the_rate_that_was_asked_for() {
    let site = Site::start(2);
    let (went, mut standing) = site.spread(20);
    let there = went.iter().filter(|number| **number == 0).count();
    assert!(there >= 6, "{went:?}");
    let begun = Instant::now();
    let first = body(r#""kind":"out","server":"s0","moves_per_s":10"#, 60.0);
    site.api.add(&first);
    let mut moved = Vec::new();
    for ((client, _), _) in standing.iter_mut().zip(&went).filter(|(_, number)| **number == 0) {
        client.hears("MOVE");
        client.ended();
        moved.push(begun.elapsed());
    }
    let due = |count: usize| Duration::from_millis(100 * (count as u64 - 1));
    let last = moved.iter().max().expect("some");
    assert!(*last >= due(there).saturating_sub(Duration::from_millis(50)), "{moved:?}");
    for ((client, server), _) in standing.iter_mut().zip(&went).filter(|(_, number)| **number == 1) {
        client.say("M 1\r\n");
        server.hears("M 1");
    }
}

#[test]
fn a_pinned_group_goes_to_its_server_and_falls_back_or_is_refused_as_was_said() {
    let mut site = Site::start(3);
    let pin = |mode: &str, group: &str| {
        body(&format!(r#""kind":"pin","server":"s2","group":"{group}","mode":"{mode}""#), 60.0)
    };
    site.api.add(&pin("prefer", "north"));
    site.api.add(&pin("strict", "south"));
    let mut standing = Vec::new();
    for group in ["north", "south", "north", "south"] {
        let (went, client, server) = site.stand(group);
        assert_eq!(went, 2, "{group}");
        standing.push((client, server));
    }
    // A refusal there sends the one elsewhere and has the other asked there again, never two at once.
    for (group, elsewhere) in [("north", true), ("south", false)] {
        let mut client = site.open(group);
        let (went, mut server) = site.asked();
        assert_eq!(went, 2);
        server.hear().expect("an opening");
        server.say("BUSY\r\n");
        server.ended();
        let (went, mut server) = site.asked();
        assert_eq!(went != 2, elsewhere, "{group}");
        server.hear().expect("an opening");
        server.say("UP r1\r\n");
        client.hears("UP r1");
        standing.push((client, server));
    }
    // Its server drains: the strict ones are told at once when to come back.
    let third = site.address(2);
    site.list(false, &[("s2", third, "DRAINING")]);
    let effects: Vec<serde_json::Value> =
        site.api.overrides().iter().map(|one| one["effects"]["platform"].clone()).collect();
    assert_eq!(effects, ["server takes nothing new", "server takes nothing new"]);
    let (went, client, server) = site.stand("north");
    assert_ne!(went, 2);
    standing.push((client, server));
    let asked = Instant::now();
    let mut client = site.open("south");
    let answer = client.hear().expect("an answer");
    let after = answer.strip_prefix("BUSY ").and_then(|millis| millis.parse::<u64>().ok());
    assert!(after.is_some_and(|after| after <= 2_000), "{answer}");
    assert!(asked.elapsed() < Duration::from_millis(300), "not held back");
    // A tenant's pin stands behind its group's.
    let tenant = body(r#""kind":"pin","server":"s1","tenant":"acme""#, 60.0);
    site.api.add(&tenant);
    let (went, client, server) = site.stand("west");
    assert_eq!(went, 1);
    standing.push((client, server));
    let mut client = site.open("south");
    assert!(client.hear().expect("an answer").starts_with("BUSY "));
}

#[test]
fn two_balancers_end_the_same_override_within_a_tenth_of_a_second() {
    let (one, other) = (Site::start(1), Site::start(1));
    let at = std::time::SystemTime::now() + Duration::from_secs(3);
    let text = r#"{"kind":"weight","server":"s0","factor":0.5,"who":"ada","why":"both","expires_at":"AT"}"#;
    let text = text.replace("AT", &humantime::format_rfc3339_millis(at).to_string());
    one.api.add(&text);
    other.api.add(&text);
    let stamp = |site: &Site| stamp(&site.program().says("override expired"));
    let (first, second) = (stamp(&one), stamp(&other));
    let due = at.duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_secs_f64();
    assert!(
        (first - second).abs() <= 0.1 && first - due < 0.1 && first >= due - 0.002,
        "{first} {second} {due}"
    );
}

#[test]
fn requests_sent_twice_at_once_or_in_bad_faith_do_no_harm() {
    let site = Site::start(2);
    // Sent twice, by one client or by several at once: carried out once.
    let text = out("s0", 60.0);
    let answers: Vec<(u16, u64, bool)> = std::thread::scope(|scope| {
        let send = || {
            let answer = site.api.call_with("POST", "/v1/overrides", "Idempotency-Key: k1\r\n", &text);
            let id = answer.body["id"].as_u64().expect("a number");
            (answer.status, id, answer.head.contains("Idempotency-Replayed"))
        };
        let all: Vec<_> = (0..8).map(|_| scope.spawn(send)).collect();
        all.into_iter().map(|one| one.join().expect("answered")).collect()
    });
    let id = answers[0].1;
    assert!(answers.iter().all(|(status, same, _)| *status == 201 && *same == id), "{answers:?}");
    assert_eq!(answers.iter().filter(|(_, _, replayed)| !replayed).count(), 1);
    let other = site.api.call_with("POST", "/v1/overrides", "Idempotency-Key: k1\r\n", &out("s1", 60.0));
    assert_eq!(other.status, 422);
    // Two changes at once from the same revision: one is told that it came late.
    let path = format!("/v1/overrides/{id}");
    let mut both: Vec<u16> = std::thread::scope(|scope| {
        let change =
            || site.api.call_with("PATCH", &path, "If-Match: \"1\"\r\n", r#"{"expires_in_s":90}"#).status;
        let all: Vec<_> = (0..2).map(|_| scope.spawn(change)).collect();
        all.into_iter().map(|one| one.join().expect("answered")).collect()
    });
    both.sort_unstable();
    assert_eq!(both, [200, 412]);
    let fields = |text: &str| -> (u16, Vec<String>) {
        let answer = site.api.call("POST", "/v1/overrides", text);
        let faults = answer.body["faults"].as_array().cloned().unwrap_or_default();
        (answer.status, faults.iter().map(|fault| fault["field"].as_str().expect("a name").into()).collect())
    };
    for (text, status, named) in [
        ("", 400, vec![]),
        ("{", 400, vec![]),
        ("[]", 422, vec![]),
        ("{}", 422, vec!["kind", "who", "why", "expires_in_s"]),
        (r#"{"kind":"up","who":"a","why":"b","expires_in_s":1}"#, 422, vec!["server", "kind"]),
        (&body(r#""kind":"weight","server":"s0","factor":0"#, 9.0), 422, vec!["factor"]),
        (&body(r#""kind":"weight","server":"s0","factor":"2""#, 9.0), 422, vec!["factor"]),
        (&body(r#""kind":"weight","server":"s0","factor":1e999"#, 9.0), 400, vec![]),
        (&body(r#""kind":"out","server":7"#, 9.0), 422, vec!["server"]),
        (&body(r#""kind":"out","server":"s0","factor":2"#, 9.0), 422, vec!["body"]),
        (&body(r#""kind":"pin","server":"s0""#, 9.0), 422, vec!["group"]),
        (&body(r#""kind":"pin","server":"s0","group":"a","tenant":"b""#, 9.0), 422, vec!["group", "body"]),
        (&body(r#""kind":"pin","server":"s0","group":"a","mode":"hard""#, 9.0), 422, vec!["mode"]),
        (&out("s0", -1.0), 422, vec!["expires_in_s"]),
        (&out("s0", 1e300), 422, vec!["expires"]),
        (&out("s0", 604_801.0), 422, vec!["expires"]),
        (&out(&"s".repeat(200), 9.0), 422, vec!["server"]),
        (&out("s0", 9.0).replace("maintenance", r"a\nb"), 422, vec!["why"]),
        (&"x".repeat(20_000), 413, vec![]),
    ] {
        let (got, faults) = fields(text);
        assert_eq!((got, faults), (status, named.into_iter().map(String::from).collect()), "{text}");
    }
    for (method, path, text, status) in [
        ("GET", "/v1/overrides/99", "", 404),
        ("GET", "/v1/overrides/all", "", 404),
        ("PUT", "/v1/overrides", "", 405),
        ("POST", "/v1/overrides/1", "", 405),
        ("PATCH", path.as_str(), r#"{"expires_in_s":5,"who":"b"}"#, 422),
        ("PATCH", path.as_str(), r#"{"expires_at":"yesterday"}"#, 422),
        ("PATCH", path.as_str(), r#"{"expires_at":"2001-01-01T00:00:00Z"}"#, 422),
        ("GET", "/v1/tenants", "", 404),
    ] {
        assert_eq!(site.api.call(method, path, text).status, status, "{method} {path} {text}");
    }
    // None of it changed what holds.
    let all = site.api.overrides();
    assert_eq!((all.len(), all[0]["revision"].as_u64()), (1, Some(2)));
    site.stand("north");
}

#[test]
fn there_are_as_many_as_may_be_and_no_more() {
    // Without a ramp what comes back is back at once.
    let site = Site::set_up(1, "most = 3\nlongest_s = 10\nramp_s = 0");
    for number in 0..3 {
        site.api.add(&out(&format!("x{number}"), 9.0));
    }
    assert_eq!(site.api.call("POST", "/v1/overrides", &out("x9", 9.0)).status, 409);
    assert_eq!(site.api.call("POST", "/v1/overrides", &out("x9", 11.0)).status, 422);
    assert_eq!(site.api.call("DELETE", "/v1/overrides/1", "").status, 200);
    site.api.add(&out("x9", 9.0));
}
