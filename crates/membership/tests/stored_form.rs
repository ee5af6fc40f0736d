//! Compatibility with the first released version: its first datagram is sent in the same form, and
//! is accepted.

use std::net::SocketAddr;

use beaconflow_membership::testing::{SilentPayload, keys, profile};
use beaconflow_membership::{Input, Keys, Node, Output, Settings};

/// The first datagram of a process that is alone, in hexadecimal digits.
const FIRST_DATAGRAM: &str = include_str!("data/first_datagram.hex");

fn node(name: &str, port: u16, seeds: &[u16], keys: Keys) -> Node<SilentPayload> {
    let node = Node::new(
        profile(name, port, seeds),
        keys,
        Settings::default(),
        SilentPayload::default(),
    );
    node.expect("the profile is valid")
}

fn first_datagram() -> Vec<u8> {
    let (mut node, mut out) = (node("a", 1, &[2], keys(1)), Vec::new());
    node.handle(0, Input::Start, &mut out);
    node.handle(200, Input::Tick, &mut out);
    let sent = out.into_iter().find_map(|output| match output {
        Output::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    sent.expect("a process that is alone contacts its seeds")
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits =
        |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("the file has hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

#[test]
fn sends_first_datagram_in_released_form() {
    let sent: String = first_datagram()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    assert_eq!(sent, FIRST_DATAGRAM.trim_end());
}

#[test]
fn accepts_first_datagram_in_released_form() {
    let (mut receiver, mut out) = (node("b", 2, &[], keys(1)), Vec::new());
    receiver.handle(0, Input::Start, &mut out);
    let (from, bytes) = (
        SocketAddr::from(([127, 0, 0, 1], 1)),
        bytes(FIRST_DATAGRAM.trim_end()),
    );
    receiver.handle(
        0,
        Input::Datagram {
            from,
            bytes: &bytes,
        },
        &mut out,
    );
    assert_eq!(
        receiver
            .members()
            .map(|member| member.name.to_string())
            .collect::<Vec<_>>(),
        ["a"]
    );
}
