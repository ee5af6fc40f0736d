//! CPU use and traffic of five idle processes on loopback sockets.
//!
//! `cargo run --release --example cpu -p beaconflow-membership`

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use beaconflow_membership::driver::{Udp, random_seed, spawn};
use beaconflow_membership::testing::{SilentPayload, keys};
use beaconflow_membership::{Configuration, Millis, Node, Profile, Settings};

/// CPU time of this process so far, in ticks of 10 ms.
fn cpu_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("/proc is available on Linux");
    let fields: Vec<_> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    fields[11..=12]
        .iter()
        .filter_map(|field| field.parse::<u64>().ok())
        .sum()
}

fn main() {
    let sockets: Vec<_> = (0..5)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let seeds: Vec<_> = sockets
        .iter()
        .map(|socket| socket.local_addr().expect("the socket is bound"))
        .collect();
    let start = Instant::now();
    let handles: Vec<_> = sockets
        .into_iter()
        .enumerate()
        .map(|(at, socket)| {
            let profile = Profile {
                name: format!("p{at}").into(),
                address: seeds[at],
                incarnation: 1,
                seed: random_seed(),
                site: "north".into(),
                peer_configuration: Configuration::default(),
                seeds: seeds.clone(),
            };
            let node = Node::new(
                profile,
                keys(1),
                Settings::default(),
                SilentPayload::default(),
            )
            .expect("the profile is valid");
            let clock = move || start.elapsed().as_millis() as Millis;
            spawn(
                node,
                Udp::new(socket),
                clock,
                crossbeam_channel::unbounded().0,
            )
            .expect("the thread starts")
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let (ticks_before, counts_before) = (cpu_ticks(), handles[0].counts());
    std::thread::sleep(Duration::from_secs(10));
    let counts_after = handles[0].counts();
    println!(
        "five nodes together: {} ms of CPU time in 10 s",
        (cpu_ticks() - ticks_before) * 10
    );
    println!(
        "each node sends {} bytes/s",
        (counts_after.sent_bytes - counts_before.sent_bytes) / 10
    );
    println!(
        "members known: {:?}",
        handles
            .iter()
            .map(|handle| handle.members().len())
            .collect::<Vec<_>>()
    );
}
