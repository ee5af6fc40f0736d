//! Stories of a balancer that is told something by a signal while clients are at it: SIGHUP, SIGTERM, and a roll of a
//! part of the fleet while servers are replaced.

mod support;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::site::Site;
use support::*;

/// SIGKILL may follow SIGTERM so soon: the longest deadline, counted as 3 s, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);

#[test]
fn a_file_that_says_nothing_sound_at_sighup_changes_nothing_and_the_log_names_what_is_wrong() {
    let site = Site::start("unsound", 2);
    let _watch = site.discovery.accept_watch();
    let (mut client, mut server) = site.establish_connection();
    let elsewhere = site.config.replace(
        &site.discovery.address.to_string(),
        &reserve_address().to_string(),
    );
    for (from, to, why) in [
        ("\"n0\"", "7", "name: invalid type"),
        (
            "\"sockets\":256",
            "\"sockets\":\"many\"",
            "limits.sockets: invalid type",
        ),
        (
            "\"balancers\":1",
            "\"balancers\":\"many\"",
            "settings.balancers: invalid type",
        ),
        (
            "\"balancers\":1",
            "\"balancers\":0",
            "settings.balancers: must be at least 1",
        ),
        (
            "\"cold-share\":0.2",
            "\"cold-share\":7",
            "settings.rules.cold-share: must be above 0",
        ),
        (
            "\"subscribe\"",
            "\"by pigeon\"",
            "settings.discovery: unknown discovery",
        ),
        (
            "\"retryable\"",
            "\"maybe\"",
            "settings.lanes[0].effect: unknown effect",
        ),
        ("}}", "}", "EOF while parsing"),
        ("}}", "}}}}", "trailing characters"),
    ] {
        // Discovery's address, which could be taken over, is another one too.
        let spoilt = elsewhere.replacen(from, to, 1);
        let spoilt = if from == "}}" {
            elsewhere.trim_end().trim_end_matches('}').to_owned() + to
        } else {
            spoilt
        };
        std::fs::write(&site.config_path, &spoilt).expect("the same folder");
        site.program.signal("HUP");
        let said = site.program.wait_for_log("present configuration kept");
        assert!(said.contains(why), "{to}: {said}");
    }
    std::fs::remove_file(&site.config_path).expect("it is there");
    site.program.signal("HUP");
    assert!(
        site.program
            .wait_for_log("present configuration kept")
            .contains("No such file")
    );
    client.send("M 1\r\n");
    server.expect_line("M 1");
    let _serves_on = site.establish_connection();
    std::fs::write(&site.config_path, &site.config).expect("the same folder");
    site.program.signal("HUP");
    site.program.wait_for_log("nothing has changed");
}

#[test]
fn a_count_of_balancers_changed_by_sighup_is_taken_over_and_standing_connections_feel_nothing() {
    let site = Site::start("counted", 1);
    let (mut client, mut server) = site.establish_connection();
    // One of a few has twelve set-ups under way at first, one of 300 no more than one at once.
    let more = site.config.replace("\"balancers\":1", "\"balancers\":300");
    std::fs::write(&site.config_path, more).expect("the same folder");
    site.program.signal("HUP");
    assert!(
        site.program
            .wait_for_log("taken over")
            .contains("300 balancers")
    );
    let mut first = site.open_client("once", "");
    let mut asked = Peer::accept(&site.servers[0]);
    asked.read_line().expect("an opening");
    let mut second = site.open_client("once", "");
    std::thread::sleep(Duration::from_millis(100));
    site.servers[0].set_nonblocking(true).expect("open");
    assert!(
        site.servers[0].accept().is_err(),
        "its part of what the fleet may set up is out"
    );
    asked.send("UP r1\r\n");
    first.expect_line("UP r1");
    let mut asked = Peer::accept(&site.servers[0]);
    asked.read_line().expect("an opening");
    asked.send("UP r2\r\n");
    second.expect_line("UP r2");
    client.send("M 1\r\n");
    server.expect_line("M 1");
    site.program.signal("HUP");
    site.program.wait_for_log("nothing has changed");
}

#[test]
fn after_sigterm_what_rests_is_served_or_ended_and_nothing_that_comes_after_the_end_is_sent_on() {
    let mut site = Site::start("rests", 1);
    let (mut stays, mut server) = site.establish_connection();
    let mut silent = Peer::connect(site.address);
    let mut resting = Peer::connect(site.address);
    resting.send("PING\r\n");
    resting.expect_line("PONG");
    server.send("hal");
    assert_eq!(stays.read_text(3), "hal");
    let told = Instant::now();
    site.program.signal("TERM");
    site.program.wait_for_log("to=leaving");
    // A request on a connection that rested is served, and moved with the others.
    resting.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    let mut late = Peer::accept(&site.servers[0]);
    late.read_line().expect("an opening");
    late.send("UP r2\r\n");
    resting.expect_line("UP r2");
    // Half a line of a server ends before the move.
    server.send("f\r\n");
    stays.expect_line("f");
    stays.expect_line("MOVE");
    // A client that does not let go: what it says now was read after the shutdown.
    stays.send("M late\r\n");
    stays.expect_end();
    server.expect_end();
    resting.expect_line("MOVE");
    resting.expect_end();
    // One that never said anything has an answer or an end, and no reset.
    let last = silent.read_line();
    assert!(
        matches!(last.as_deref(), Some("ERR" | "BUSY") | None),
        "{last:?}"
    );
    // Its request comes after that: it is read by nobody, or not sent on.
    let _ = silent
        .stream
        .write_all(b"OPEN b2 02 c=chat,t=acme,d=2500,g=3\r\n");
    assert!(site.program.exits_cleanly(), "it leaves by itself");
    site.servers[0].set_nonblocking(true).expect("open");
    assert!(
        site.servers[0].accept().is_err(),
        "nothing more was sent on"
    );
    assert!(told.elapsed() < KILLED_AFTER, "{:?}", told.elapsed());
}

/// Discovery's agents for a whole fleet: they tell each watch the whole list, and each change to all.
#[derive(Clone, Default)]
struct Farm(Arc<Mutex<Told>>);

#[derive(Default)]
struct Told {
    generation: u32,
    servers: Vec<(String, SocketAddr, &'static str)>,
    watches: Vec<TcpStream>,
}

impl Told {
    fn list(&self, reset: bool, servers: &[(String, SocketAddr, &'static str)]) -> String {
        let rows: Vec<_> = servers
            .iter()
            .map(|(name, at, state)| (name.as_str(), *at, *state))
            .collect();
        let list = endpoint_list(self.generation, reset, &rows);
        format!("{:x}\r\n{list}\n\r\n", list.len() + 1)
    }
}

impl Farm {
    fn serve(&self, listener: TcpListener) {
        let farm = self.clone();
        std::thread::spawn(move || {
            loop {
                let Ok((stream, _)) = listener.accept() else {
                    return;
                };
                let mut peer = Peer::new(stream);
                while peer
                    .read_line_or_end()
                    .is_some_and(|line| line.trim_end() != "")
                {}
                let mut told = farm.0.lock().expect("sound");
                let whole = told.list(true, &told.servers);
                peer.send(&format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{whole}"
                ));
                told.watches.push(peer.stream);
            }
        });
        let farm = self.clone();
        std::thread::spawn(move || {
            loop {
                farm.tell("1\r\n\n\r\n");
                std::thread::sleep(Duration::from_millis(500));
            }
        });
    }

    fn tell(&self, words: &str) {
        self.0
            .lock()
            .expect("sound")
            .watches
            .retain_mut(|watch| watch.write_all(words.as_bytes()).is_ok());
    }

    /// One server begins to drain, and another takes its place.
    fn replace(&self, old: usize, new: (String, SocketAddr)) {
        let words = {
            let mut told = self.0.lock().expect("sound");
            told.generation += 1;
            told.servers[old].2 = "DRAINING";
            told.servers.push((new.0, new.1, "SERVING"));
            let changed = [
                told.servers[old].clone(),
                told.servers[told.servers.len() - 1].clone(),
            ];
            told.list(false, &changed)
        };
        self.tell(&words);
    }
}

/// What servers saw of openings: the server, the opening's id, and when.
type Seen = Arc<Mutex<Vec<(usize, String, Instant)>>>;

/// A server that takes all openings and answers all lines.
fn takes_all(number: usize, listener: TcpListener, seen: &Seen) {
    let seen = Arc::clone(seen);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let seen = Arc::clone(&seen);
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                let Some(opening) = peer.read_line_or_end() else {
                    return;
                };
                let id = opening.split(' ').nth(1).unwrap_or_default().to_owned();
                seen.lock()
                    .expect("sound")
                    .push((number, id, Instant::now()));
                let _ = peer.stream.write_all(b"UP r\r\n");
                while peer.read_line_or_end().is_some() {}
            });
        }
    });
}

/// What clients are after: whom they may come to, and what became of them.
struct Clients {
    /// By balancer: its address, and whether the front sends it clients.
    balancers: Vec<(SocketAddr, AtomicBool)>,
    /// How often each was started.
    lives: Vec<AtomicUsize>,
    over: AtomicBool,
    served: AtomicUsize,
    /// Requests without an answer, by id.
    lost: Mutex<Vec<String>>,
    /// Final answers that are not an `UP`.
    others: Mutex<HashMap<String, usize>>,
}

impl Clients {
    /// Opens connections at one balancer after another, each held until the next few stand.
    fn come(&self, thread: usize) {
        let mut held = std::collections::VecDeque::new();
        for number in 0.. {
            if self.over.load(Ordering::SeqCst) {
                return;
            }
            let balancer = (thread + number) % self.balancers.len();
            let (at, open) = &self.balancers[balancer];
            if !open.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            }
            let life = self.lives[balancer].load(Ordering::SeqCst);
            let id = format!("b{balancer}life{life}t{thread}n{number}");
            let Ok(stream) = TcpStream::connect(at) else {
                continue;
            };
            let mut client = Peer::new(stream);
            client.send(&format!(
                "OPEN {id} {number:x} c=chat,t=acme,d=2500,g={number}\r\n"
            ));
            match client.read_line_or_end() {
                Some(line) if line.starts_with("UP ") => {
                    self.served.fetch_add(1, Ordering::SeqCst);
                    held.push_back(client);
                    if held.len() > 10 {
                        held.pop_front();
                    }
                }
                Some(line) => *self.others.lock().expect("sound").entry(line).or_default() += 1,
                None => self.lost.lock().expect("sound").push(id),
            }
        }
    }
}

#[test]
fn a_tenth_of_the_fleet_restarts_while_half_of_the_servers_are_replaced() {
    const BALANCERS: usize = 10;
    const SERVERS: usize = 6;
    /// A request may still begin so long after its balancer was told: 50 ms, and what a loaded machine takes.
    const GRACE: Duration = Duration::from_millis(750);
    let seen = Seen::default();
    let servers: Vec<(String, SocketAddr)> = (0..SERVERS + SERVERS / 2)
        .map(|number| {
            let listener = listener();
            let at = listener.local_addr().expect("bound");
            takes_all(number, listener, &seen);
            (format!("s{number}"), at)
        })
        .collect();
    let (farm, discovery) = (Farm::default(), listener());
    let watched_at = discovery.local_addr().expect("bound");
    let row = |(name, at): &(String, SocketAddr)| (name.clone(), *at, "SERVING");
    farm.0.lock().expect("sound").generation = 1;
    farm.0.lock().expect("sound").servers = servers[..SERVERS].iter().map(row).collect();
    farm.serve(discovery);
    let known: Vec<_> = servers[..SERVERS]
        .iter()
        .map(|(name, at)| (name.as_str(), *at, "SERVING"))
        .collect();
    let settings = SETTINGS
        .replace("\"subscribe\"", "\"automatic\"")
        .replace("\"balancers\":1,", &format!("\"balancers\":{BALANCERS},"))
        .replace("400000000,", "2000000000,");
    let start = |number: usize, at: SocketAddr| {
        // The known list is that of the beginning, also at a restart.
        let config = platform_config(
            at,
            watched_at,
            &endpoint_list(1, true, &known),
            &settings,
            1024,
        );
        let path = write_temp_file(&format!("roll{number}"), &config);
        Program::start(&[], &[("LB_CONFIG", path.as_str())])
    };
    let addresses: Vec<SocketAddr> = (0..BALANCERS).map(|_| reserve_address()).collect();
    let mut programs: Vec<Program> = (0..BALANCERS)
        .map(|number| start(number, addresses[number]))
        .collect();
    programs
        .iter()
        .for_each(|program| drop(program.wait_for_log("to=serving")));
    let clients = Clients {
        balancers: addresses
            .iter()
            .map(|at| (*at, AtomicBool::new(true)))
            .collect(),
        lives: (0..BALANCERS).map(|_| AtomicUsize::new(0)).collect(),
        over: AtomicBool::new(false),
        served: AtomicUsize::new(0),
        lost: Mutex::default(),
        others: Mutex::default(),
    };
    let served_beyond = |count: usize| {
        let (from, until) = (
            clients.served.load(Ordering::SeqCst),
            Instant::now() + TEST_TIMEOUT,
        );
        while clients.served.load(Ordering::SeqCst) < from + count {
            assert!(Instant::now() < until, "nobody is served");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    let told_at = std::thread::scope(|scope| {
        (0..4).for_each(|thread| {
            drop(scope.spawn({
                let clients = &clients;
                move || clients.come(thread)
            }))
        });
        served_beyond(50);
        let mut told_at = Vec::new();
        let replace = |at: usize, told_at: &mut Vec<Instant>| {
            farm.replace(at, servers[SERVERS + at].clone());
            told_at.push(Instant::now());
        };
        replace(0, &mut told_at);
        served_beyond(50);
        programs[0].signal("TERM");
        // The front goes on for a while.
        std::thread::sleep(Duration::from_millis(300));
        clients.balancers[0].1.store(false, Ordering::SeqCst);
        (1..SERVERS / 2).for_each(|at| {
            replace(at, &mut told_at);
            served_beyond(50);
        });
        assert!(programs[0].exits_cleanly(), "it leaves by itself");
        programs[0] = start(0, addresses[0]);
        clients.lives[0].store(1, Ordering::SeqCst);
        // As the front does: it is let in once it says yes.
        while {
            let mut front = Peer::connect(addresses[0]);
            front.send("PING\r\n");
            front.read_line().as_deref() != Some("PONG")
        } {}
        clients.balancers[0].1.store(true, Ordering::SeqCst);
        served_beyond(200);
        clients.over.store(true, Ordering::SeqCst);
        told_at
    });
    assert_eq!(
        *clients.lost.lock().expect("sound"),
        Vec::<String>::new(),
        "each has an answer"
    );
    let others = clients.others.lock().expect("sound");
    let refused: usize = others.values().sum();
    assert!(
        refused * 20 <= clients.served.load(Ordering::SeqCst),
        "hardly any is turned away: {others:?}"
    );
    let seen = seen.lock().expect("sound");
    for (server, id, at) in seen.iter().filter(|(server, ..)| *server < told_at.len()) {
        let late = at.saturating_duration_since(told_at[*server]);
        assert!(
            late < GRACE,
            "{id} at s{server}, {late:?} after it was told"
        );
        assert!(
            !id.starts_with("b0life1"),
            "{id} at s{server}, which had left before its balancer started"
        );
    }
    let news = seen
        .iter()
        .filter(|(server, id, _)| *server >= SERVERS && id.starts_with("b0life1"))
        .count();
    assert!(news > 0, "the one that restarted serves on the new servers");
}
