//! Stories of a process that is replaced while it serves: two of them on one listener that neither of them bound.

mod support;

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use support::*;

/// What every process of a site shares: the clients' listener, discovery, and a server that takes all connections.
struct Shared {
    held: TcpListener,
    path: String,
    /// What all processes see besides.
    folder: PathBuf,
    _discovery: Discovery,
}

impl Shared {
    fn new(name: &str) -> Shared {
        let (held, discovery, server) = (listener(), Discovery::start(), listener());
        let known = endpoint_list(
            1,
            true,
            &[("s0", server.local_addr().expect("bound"), "SERVING")],
        );
        serve_all_openings(server);
        let at = held.local_addr().expect("bound");
        let path = write_temp_file(
            name,
            &platform_config(at, discovery.address, &known, SETTINGS, 512),
        );
        Shared {
            held,
            path,
            folder: "/nowhere".into(),
            _discovery: discovery,
        }
    }

    fn at(&self) -> SocketAddr {
        self.held.local_addr().expect("bound")
    }

    /// One more process, and its operations port. It is ready.
    fn start(&self) -> (Program, Api) {
        let at = reserve_address();
        let folder = self.folder.to_str().expect("text");
        let env = [
            ("LB_CONFIG", self.path.as_str()),
            ("LB_ADMIN_ADDR", &at.to_string()),
            ("TMPDIR", folder),
        ];
        let program = Program::start_with_inherited_listener(&self.held, &env);
        program.wait_for_log("to=serving");
        (
            program,
            Api {
                address: at,
                token: "none is wanted",
            },
        )
    }

    fn open(&self, id: &str) -> Peer {
        open(self.at(), id)
    }
}

/// A client that has sent its opening.
fn open(at: SocketAddr, id: &str) -> Peer {
    let mut client = Peer::connect(at);
    client.send(&format!("OPEN {id} 02 c=chat,t=acme,d=2500,g=3\r\n"));
    client
}

#[test]
fn no_opening_is_dropped_while_one_process_takes_over_from_another() {
    let shared = Shared::new("handover");
    let (mut old, old_api) = shared.start();
    let mut stands = shared.open("stands");
    stands.expect_line("UP r");
    let over = Arc::new(AtomicBool::new(false));
    let openings = {
        let (at, over) = (shared.at(), Arc::clone(&over));
        std::thread::spawn(move || {
            let mut count = 0;
            while !over.load(Ordering::SeqCst) {
                count += 1;
                let mut client = open(at, &format!("c{count}"));
                // One final answer, and never a move before it.
                client.expect_line("UP r");
                client.shutdown_write();
                while client.read_line().is_some_and(|line| line == "MOVE") {}
            }
            count
        })
    };
    let (_new, new_api) = shared.start();
    assert_eq!(new_api.call("GET", "/status", "").status, 200);
    assert_eq!(old_api.call("GET", "/status", "").status, 200, "both serve");
    // Accepted by either of the two, and not whole when the old one is to leave.
    let half = |number| {
        let mut half = Peer::connect(shared.at());
        half.send("PING\r\n");
        half.expect_line("PONG");
        half.send(&format!("OPEN h{number} 02 c=cha"));
        half
    };
    let mut halves: Vec<Peer> = (0..8).map(half).collect();
    old.signal("TERM");
    old.wait_for_log("to=leaving");
    for half in &mut halves {
        half.send("t,t=acme,d=2500,g=3\r\n");
        half.expect_line("UP r");
    }
    stands.expect_line("MOVE");
    assert!(old.exits_cleanly(), "it leaves by itself");
    over.store(true, Ordering::SeqCst);
    assert!(openings.join().expect("every opening was served") > 10);
    assert_eq!(new_api.call("GET", "/status", "").status, 200);
    shared.open("after").expect_line("UP r");
}

#[test]
fn what_stands_is_handed_over_and_goes_on_and_only_half_a_line_is_moved() {
    let folder = tempfile::tempdir().expect("a folder");
    let shared = Shared {
        folder: folder.path().to_owned(),
        ..Shared::new("given")
    };
    let (mut old, _) = shared.start();
    let mut clients: Vec<Peer> = (0..6)
        .map(|number| shared.open(&format!("s{number}")))
        .collect();
    clients
        .iter_mut()
        .for_each(|client| client.expect_line("UP r"));
    let half = |id| {
        let mut half = shared.open(id);
        half.expect_line("UP r");
        half.send("half\r\n");
        assert_eq!(half.read_text(2), "ha");
        half
    };
    let (mut half, mut whole) = (half("half"), half("whole"));
    let (mut second, _) = shared.start();
    old.signal("TERM");
    old.wait_for_log("to=leaving");
    // The rest of its line comes when all others have gone over.
    whole.send("rest\r\n");
    whole.expect_line("lf");
    second.wait_for_log("taken over taken=7");
    clients.push(whole);
    assert_ne!(
        half.read_line().as_deref(),
        Some("ok"),
        "cut off inside its line after a while"
    );
    assert!(old.exits_cleanly(), "it leaves by itself");
    for client in &mut clients {
        client.send("line\r\n");
        client.expect_line("ok");
    }
    // An id is still taken, and one more process takes over what the second one took.
    shared.open("s3").expect_line("ERR");
    let (third, _) = shared.start();
    second.signal("TERM");
    third.wait_for_log("taken over taken=7");
    assert!(second.exits_cleanly(), "it leaves by itself");
    for client in &mut clients {
        client.send("line\r\n");
        client.expect_line("ok");
    }
    // With nobody to give them to, they are moved.
    third.signal("TERM");
    clients
        .iter_mut()
        .for_each(|client| client.expect_line("MOVE"));
}

#[test]
fn either_process_goes_on_alone_when_the_other_is_killed() {
    let shared = Shared::new("killed");
    let (mut first, _) = shared.start();
    let (second, _) = shared.start();
    first.kill();
    let ids: HashSet<String> = (0..8).map(|number| format!("a{number}")).collect();
    ids.iter()
        .for_each(|id| shared.open(id).expect_line("UP r"));
    // One that can't start serving harms nobody: it ends before it takes a client.
    let taken = listener();
    let address = taken.local_addr().expect("bound").to_string();
    let env = [
        ("LB_CONFIG", shared.path.as_str()),
        ("LB_ADMIN_ADDR", &address),
    ];
    let mut third = Program::start_with_inherited_listener(&shared.held, &env);
    let said = third.wait_for_log("");
    assert!(said.contains("cannot start"), "it never served: {said}");
    assert!(!third.wait_for_exit().success());
    shared.open("b").expect_line("UP r");
    drop(second);
    // Nobody accepts now, and nobody is turned away.
    let mut waits = shared.open("c");
    let (_fourth, _) = shared.start();
    waits.expect_line("UP r");
}

#[test]
fn a_descriptor_that_is_no_listening_socket_ends_the_start_with_its_name() {
    let shared = Shared::new("descriptor");
    let mute =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    mute.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("loopback");
    let mute = TcpListener::from(mute);
    for (descriptor, why) in [
        ("three", "no descriptor's number"),
        ("-1", "no descriptor's number"),
        ("97", "not a socket"),
        ("0", "not a socket"),
        ("3", "not a listening socket"),
    ] {
        let env = [
            ("LB_CONFIG", shared.path.as_str()),
            ("LB_INHERITED_FD", descriptor),
        ];
        let mut program = Program::start_with_inherited_listener(&mute, &env);
        let said = program.wait_for_log("cannot start");
        assert!(
            said.contains("LB_INHERITED_FD") && said.contains(descriptor) && said.contains(why),
            "{said}"
        );
        assert!(!program.wait_for_exit().success());
    }
}
