//! Refused datagrams: their reasons and counts, and that they have no effect.

use std::net::SocketAddr;

use beaconflow_membership::testing::{Fleet, NetworkConditions, SilentPayload, keys, profile};
use beaconflow_membership::{
    Event, Input, Key, KeyError, Keys, MAX_DATAGRAM_BYTES, Millis, Node, Output, Refusal, Settings,
};
use proptest::prelude::*;

fn node(name: &str, port: u16, seeds: &[u16], keys: Keys) -> Node<SilentPayload> {
    Node::new(
        profile(name, port, seeds),
        keys,
        Settings::default(),
        SilentPayload::default(),
    )
    .expect("the profile is valid")
}

/// The first datagram of `a`, which is alone and contacts the address of `b`.
fn hello(keys: Keys) -> Vec<u8> {
    let (mut node, mut out) = (node("a", 1, &[2], keys), Vec::new());
    node.handle(0, Input::Start, &mut out);
    node.handle(200, Input::Tick, &mut out);
    let sent = out.into_iter().find_map(|output| match output {
        Output::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    sent.expect("a node that is alone contacts its seeds")
}

fn is_answered(out: &[Output]) -> bool {
    out.iter()
        .any(|output| matches!(output, Output::Send { .. }))
}

struct TestReceiver {
    node: Node<SilentPayload>,
    now: Millis,
}

impl TestReceiver {
    fn new() -> Self {
        let (mut node, now) = (node("b", 2, &[], keys(1)), 0);
        node.handle(now, Input::Start, &mut Vec::new());
        Self { node, now }
    }

    fn receive(&mut self, bytes: &[u8]) -> Vec<Output> {
        let (from, mut out) = (SocketAddr::from(([127, 0, 0, 1], 1)), Vec::new());
        self.node
            .handle(self.now, Input::Datagram { from, bytes }, &mut out);
        out
    }

    fn refusal_count(&self, reason: Refusal) -> u64 {
        self.node.counts().refused[Refusal::ALL
            .iter()
            .position(|other| *other == reason)
            .expect("Refusal::ALL has every reason")]
    }

    /// Asserts that the datagram is refused for this reason, gets no answer and adds no member.
    fn assert_refused(&mut self, bytes: &[u8], reason: Refusal) {
        let before = self.refusal_count(reason);
        let out = self.receive(bytes);
        assert_eq!(
            self.refusal_count(reason),
            before + 1,
            "expected to be refused as {}: {bytes:?}",
            reason.label()
        );
        assert!(!is_answered(&out));
        assert_eq!(self.node.members().len(), 0);
    }
}

#[test]
fn accepts_complete_datagram_with_valid_key() {
    let mut receiver = TestReceiver::new();
    let out = receiver.receive(&hello(keys(1)));
    assert!(is_answered(&out));
    assert_eq!(
        receiver
            .node
            .members()
            .map(|member| member.name.to_string())
            .collect::<Vec<_>>(),
        ["a"]
    );
}

#[test]
fn refuses_datagram_truncated_at_any_byte() {
    let complete = hello(keys(1));
    let mut receiver = TestReceiver::new();
    for end in 0..complete.len() {
        receiver.assert_refused(&complete[..end], Refusal::Malformed);
    }
    assert_eq!(
        receiver.receive(&complete).len(),
        3,
        "expected an answer, an event and the wake-up time"
    );
}

#[test]
fn counts_refusals_and_reports_once_a_minute() {
    let complete = hello(keys(1));
    let mut receiver = TestReceiver::new();
    // The encoding begins with version (2 bytes), key (5) and digest (18); the content follows.
    let without_key = [&complete[..2], &complete[25..]].concat();
    let newer_version = [&[8, 2], &complete[2..]].concat();
    let events = |out: Vec<Output>| {
        let reported = out.into_iter().filter_map(|output| match output {
            Output::Event(event) if event.is_fault() => Some(*event),
            _ => None,
        });
        reported.collect::<Vec<_>>()
    };
    let from = SocketAddr::from(([127, 0, 0, 1], 1));
    let first_events = events(receiver.receive(&without_key));
    assert_eq!(
        first_events,
        [Event::DatagramsRefused {
            from,
            reason: Refusal::NoKey,
            count: 1
        }]
    );
    receiver.assert_refused(&without_key, Refusal::NoKey);
    receiver.assert_refused(&newer_version, Refusal::NewerVersion);
    receiver.assert_refused(&hello(keys(2)), Refusal::WrongKey);
    receiver.assert_refused(&vec![0; MAX_DATAGRAM_BYTES + 1], Refusal::TooLarge);
    receiver.assert_refused(&[], Refusal::Malformed);
    receiver.now = 59_999;
    assert_eq!(events(receiver.receive(&[])), []);
    receiver.now = 60_000;
    assert_eq!(
        events(receiver.receive(&[])),
        [Event::DatagramsRefused {
            from,
            reason: Refusal::Malformed,
            count: 7
        }]
    );
    receiver.receive(&complete);
    receiver.receive(&complete);
    assert_eq!(receiver.refusal_count(Refusal::Replay), 1);
}

#[test]
fn refuses_datagram_of_earlier_incarnation() {
    let mut fleet = Fleet::new(NetworkConditions::new(3));
    let b = fleet.add(profile("b", 2, &[]), SilentPayload::default());
    let old = hello(keys(1));
    let a = fleet.add(
        beaconflow_membership::Profile {
            incarnation: 2,
            ..profile("a", 1, &[2])
        },
        SilentPayload::default(),
    );
    assert!(fleet.run_until(5_000, |fleet| fleet.all_know(&[("a", 2), ("b", 1)])));
    fleet.kill(a);
    assert!(fleet.run_until(30_000, |fleet| fleet.all_know(&[("b", 1)])));
    let from = SocketAddr::from(([127, 0, 0, 1], 1));
    fleet.handle_input(b, Input::Datagram { from, bytes: &old });
    fleet.run_for(1_000);
    assert!(fleet.all_know(&[("b", 1)]));
    assert_eq!(fleet.node(b).counts().refused[Refusal::Replay as usize], 1);
}

#[test]
fn tolerates_duplicated_and_reordered_datagrams() {
    let mut fleet = Fleet::new(NetworkConditions::new(4));
    (fleet.network.duplicates_per_mille, fleet.network.delay_ms) = (300, (0, 80));
    fleet.add(profile("a", 1, &[2]), SilentPayload::default());
    fleet.add(profile("b", 2, &[1]), SilentPayload::default());
    fleet.run_for(60_000);
    assert!(fleet.all_know(&[("a", 1), ("b", 1)]));
    let counts = fleet.node(0).counts();
    assert!(counts.refused[Refusal::Replay as usize] > 20 && counts.suspected == 0);
}

proptest! {
    #[test]
    fn refuses_datagram_with_any_flipped_bit(at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let mut bytes = hello(keys(1));
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let mut receiver = TestReceiver::new();
        let out = receiver.receive(&bytes);
        prop_assert_eq!(receiver.node.members().len(), 0);
        prop_assert!(!is_answered(&out));
        prop_assert_eq!(receiver.node.counts().refused.iter().sum::<u64>(), 1);
    }

    #[test]
    fn refuses_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut receiver = TestReceiver::new();
        receiver.receive(&bytes);
        prop_assert_eq!(receiver.node.counts().refused.iter().sum::<u64>(), 1);
        prop_assert_eq!(receiver.node.members().len(), 0);
    }
}

#[test]
fn reads_valid_key_files_and_rejects_others() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a temporary directory");
    let read_key = |name: &str, text: &str, mode: u32| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("the key file is written");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode))
            .expect("the mode is set");
        Key::read(&path)
    };
    let valid = "0123456789abcdef".repeat(4);
    assert!(read_key("valid", &format!("{valid}\n"), 0o640).is_ok());
    assert!(matches!(
        read_key("world-readable", &valid, 0o644),
        Err(KeyError::WorldReadable(_, 0o644))
    ));
    assert!(matches!(
        read_key("short", &valid[..62], 0o600),
        Err(KeyError::TooShort(_, 31))
    ));
    assert!(matches!(
        read_key("odd", &valid[..63], 0o600),
        Err(KeyError::NotHex(_))
    ));
    assert!(matches!(
        read_key("words", "correct horse battery staple", 0o600),
        Err(KeyError::NotHex(_))
    ));
    assert!(matches!(
        read_key("large", &valid.repeat(100), 0o600),
        Err(KeyError::TooLarge(_))
    ));
    let missing = Key::read(&folder.path().join("missing")).expect_err("the file does not exist");
    assert!(missing.to_string().contains("missing cannot be read"));
}
