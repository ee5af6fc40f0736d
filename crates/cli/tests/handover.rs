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
        let known = list(
            1,
            true,
            &[("s0", server.local_addr().expect("bound"), "SERVING")],
        );
        obliges(server);
        let at = held.local_addr().expect("bound");
        let path = file(name, &config(at, discovery.address, &known, SETTINGS, 512));
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
        let at = free();
        let folder = self.folder.to_str().expect("text");
        let env = [
            ("LB_CONFIG", self.path.as_str()),
            ("LB_ADMIN_ADDR", &at.to_string()),
            ("TMPDIR", folder),
        ];
        let program = Program::start_inheriting(&self.held, &env);
        program.says("to=serving");
        (
            program,
            Api {
                at,
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
    client.say(&format!("OPEN {id} 02 c=chat,t=acme,d=2500,g=3\r\n"));
    client
}

#[test]
fn no_opening_is_dropped_while_one_process_takes_over_from_another() {
    let shared = Shared::new("handover");
    let (mut old, old_api) = shared.start();
    let mut stands = shared.open("stands");
    stands.hears("UP r");
    let over = Arc::new(AtomicBool::new(false));
    let openings = {
        let (at, over) = (shared.at(), Arc::clone(&over));
        std::thread::spawn(move || {
            let mut count = 0;
            while !over.load(Ordering::SeqCst) {
                count += 1;
                let mut client = open(at, &format!("c{count}"));
                // One final answer, and never a move before it.
                client.hears("UP r");
                client.finish();
                while client.hear().is_some_and(|line| line == "MOVE") {}
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
        half.say("PING\r\n");
        half.hears("PONG");
        half.say(&format!("OPEN h{number} 02 c=cha"));
        half
    };
    let mut halves: Vec<Peer> = (0..8).map(half).collect();
    old.signal("TERM");
    old.says("to=leaving");
    for half in &mut halves {
        half.say("t,t=acme,d=2500,g=3\r\n");
        half.hears("UP r");
    }
    stands.hears("MOVE");
    assert!(old.left(), "it leaves by itself");
    over.store(true, Ordering::SeqCst);
    assert!(openings.join().expect("every opening was served") > 10);
    assert_eq!(new_api.call("GET", "/status", "").status, 200);
    shared.open("after").hears("UP r");
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
    clients.iter_mut().for_each(|client| client.hears("UP r"));
    let half = |id| {
        let mut half = shared.open(id);
        half.hears("UP r");
        half.say("half\r\n");
        assert_eq!(half.bytes(2), "ha");
        half
    };
    let (mut half, mut whole) = (half("half"), half("whole"));
    let (mut second, _) = shared.start();
    old.signal("TERM");
    old.says("to=leaving");
    // The rest of its line comes when all others have gone over.
    whole.say("rest\r\n");
    whole.hears("lf");
    second.says("taken over taken=7");
    clients.push(whole);
    assert_ne!(
        half.hear().as_deref(),
        Some("ok"),
        "cut off inside its line after a while"
    );
    assert!(old.left(), "it leaves by itself");
    for client in &mut clients {
        client.say("line\r\n");
        client.hears("ok");
    }
    // An id is still taken, and one more process takes over what the second one took.
    shared.open("s3").hears("ERR");
    let (third, _) = shared.start();
    second.signal("TERM");
    third.says("taken over taken=7");
    assert!(second.left(), "it leaves by itself");
    for client in &mut clients {
        client.say("line\r\n");
        client.hears("ok");
    }
    // With nobody to give them to, they are moved.
    third.signal("TERM");
    clients.iter_mut().for_each(|client| client.hears("MOVE"));
}

#[test]
fn either_process_goes_on_alone_when_the_other_is_killed() {
    let shared = Shared::new("killed");
    let (mut first, _) = shared.start();
    let (second, _) = shared.start();
    first.kill();
    let ids: HashSet<String> = (0..8).map(|number| format!("a{number}")).collect();
    ids.iter().for_each(|id| shared.open(id).hears("UP r"));
    // One that can't start serving harms nobody: it ends before it takes a client.
    let taken = listener();
    let address = taken.local_addr().expect("bound").to_string();
    let env = [
        ("LB_CONFIG", shared.path.as_str()),
        ("LB_ADMIN_ADDR", &address),
    ];
    let mut third = Program::start_inheriting(&shared.held, &env);
    let said = third.says("");
    assert!(said.contains("cannot start"), "it never served: {said}");
    assert!(!third.ends().success());
    shared.open("b").hears("UP r");
    drop(second);
    // Nobody accepts now, and nobody is turned away.
    let mut waits = shared.open("c");
    let (_fourth, _) = shared.start();
    waits.hears("UP r");
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
        ("three", "not a descriptor number"),
        ("-1", "not a descriptor number"),
        ("97", "not a socket"),
        ("0", "not a socket"),
        ("3", "not a listening socket"),
    ] {
        let env = [
            ("LB_CONFIG", shared.path.as_str()),
            ("LB_INHERITED_FD", descriptor),
        ];
        let mut program = Program::start_inheriting(&mute, &env);
        let said = program.says("cannot start");
        assert!(
            said.contains("LB_INHERITED_FD") && said.contains(descriptor) && said.contains(why),
            "{said}"
        );
        assert!(!program.ends().success());
    }
}
