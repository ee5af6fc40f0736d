//! What is refused, what it is counted as, and that it steers nobody.

use std::net::SocketAddr;

use beaconflow_membership::testing::{Fleet, Rules, Silent, keys, profile};
use beaconflow_membership::{
    Event, Input, Key, KeyFault, Keys, LARGEST, Millis, Node, Output, Refusal, Settings,
};
use proptest::prelude::*;

fn node(name: &str, port: u16, seeds: &[u16], keys: Keys) -> Node<Silent> {
    Node::new(
        profile(name, port, seeds),
        keys,
        Settings::default(),
        Silent::default(),
    )
    .expect("a good profile")
}

/// What `a` says when it is alone and asks the address of `b`.
fn hello(keys: Keys) -> Vec<u8> {
    let (mut node, mut out) = (node("a", 1, &[2], keys), Vec::new());
    node.handle(0, Input::Start, &mut out);
    node.handle(200, Input::Tick, &mut out);
    let sent = out.into_iter().find_map(|output| match output {
        Output::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    sent.expect("a node alone asks around")
}

fn is_answered(out: &[Output]) -> bool {
    out.iter()
        .any(|output| matches!(output, Output::Send { .. }))
}

struct Receiver {
    node: Node<Silent>,
    now: Millis,
}

impl Receiver {
    fn new() -> Self {
        let (mut node, now) = (node("b", 2, &[], keys(1)), 0);
        node.handle(now, Input::Start, &mut Vec::new());
        Self { node, now }
    }

    fn take(&mut self, bytes: &[u8]) -> Vec<Output> {
        let (from, mut out) = (SocketAddr::from(([127, 0, 0, 1], 1)), Vec::new());
        self.node
            .handle(self.now, Input::Datagram { from, bytes }, &mut out);
        out
    }

    fn refused(&self, why: Refusal) -> u64 {
        self.node.counts().refused[Refusal::ALL
            .iter()
            .position(|other| *other == why)
            .expect("one of all")]
    }

    /// Refused as that, and for nothing else is anybody answered or known.
    fn refuses(&mut self, bytes: &[u8], why: Refusal) {
        let before = self.refused(why);
        let out = self.take(bytes);
        assert_eq!(
            self.refused(why),
            before + 1,
            "as {}: {bytes:?}",
            why.label()
        );
        assert!(!is_answered(&out));
        assert_eq!(self.node.members().len(), 0);
    }
}

#[test]
fn whole_and_of_the_key_it_is_heard() {
    let mut receiver = Receiver::new();
    let out = receiver.take(&hello(keys(1)));
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
fn cut_at_every_byte_it_is_refused() {
    let whole = hello(keys(1));
    let mut receiver = Receiver::new();
    for end in 0..whole.len() {
        receiver.refuses(&whole[..end], Refusal::Cut);
    }
    assert_eq!(
        receiver.take(&whole).len(),
        3,
        "it answers, names whom it met, and when it wakes"
    );
}

#[test]
fn each_cause_is_counted_and_named_once_a_minute() {
    let whole = hello(keys(1));
    let mut receiver = Receiver::new();
    // As it lies there: version (2 bytes), key (5), digest (18), content.
    let unkeyed = [&whole[..2], &whole[25..]].concat();
    let newer = [&[8, 2], &whole[2..]].concat();
    let events = |out: Vec<Output>| {
        let named = out.into_iter().filter_map(|output| match output {
            Output::Event(event) if event.is_fault() => Some(*event),
            _ => None,
        });
        named.collect::<Vec<_>>()
    };
    let from = SocketAddr::from(([127, 0, 0, 1], 1));
    let first = events(receiver.take(&unkeyed));
    assert_eq!(
        first,
        [Event::Refused {
            from,
            why: Refusal::NoKey,
            count: 1
        }]
    );
    receiver.refuses(&unkeyed, Refusal::NoKey);
    receiver.refuses(&newer, Refusal::Newer);
    receiver.refuses(&hello(keys(2)), Refusal::WrongKey);
    receiver.refuses(&vec![0; LARGEST + 1], Refusal::Huge);
    receiver.refuses(&[], Refusal::Cut);
    receiver.now = 59_999;
    assert_eq!(events(receiver.take(&[])), []);
    receiver.now = 60_000;
    assert_eq!(
        events(receiver.take(&[])),
        [Event::Refused {
            from,
            why: Refusal::Cut,
            count: 7
        }]
    );
    receiver.take(&whole);
    receiver.take(&whole);
    assert_eq!(receiver.refused(Refusal::Replay), 1);
}

#[test]
fn a_life_that_is_over_is_not_heard_again() {
    let mut fleet = Fleet::new(Rules::new(3));
    let b = fleet.add(profile("b", 2, &[]), Silent::default());
    let old = hello(keys(1));
    let a = fleet.add(
        beaconflow_membership::Profile {
            incarnation: 2,
            ..profile("a", 1, &[2])
        },
        Silent::default(),
    );
    assert!(fleet.run_until(5_000, |fleet| fleet.all_know(&[("a", 2), ("b", 1)])));
    fleet.kill(a);
    assert!(fleet.run_until(30_000, |fleet| fleet.all_know(&[("b", 1)])));
    let from = SocketAddr::from(([127, 0, 0, 1], 1));
    fleet.hand(b, Input::Datagram { from, bytes: &old });
    fleet.run_for(1_000);
    assert!(fleet.all_know(&[("b", 1)]));
    assert_eq!(fleet.node(b).counts().refused[Refusal::Replay as usize], 1);
}

#[test]
fn doubled_and_disordered_datagrams_do_no_harm() {
    let mut fleet = Fleet::new(Rules::new(4));
    (fleet.rules.doubled, fleet.rules.delay) = (300, (0, 80));
    fleet.add(profile("a", 1, &[2]), Silent::default());
    fleet.add(profile("b", 2, &[1]), Silent::default());
    fleet.run_for(60_000);
    assert!(fleet.all_know(&[("a", 1), ("b", 1)]));
    let counts = fleet.node(0).counts();
    assert!(counts.refused[Refusal::Replay as usize] > 20 && counts.suspected == 0);
}

proptest! {
    #[test]
    fn any_bit_changed_is_refused(at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let mut bytes = hello(keys(1));
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let mut receiver = Receiver::new();
        let out = receiver.take(&bytes);
        prop_assert_eq!(receiver.node.members().len(), 0);
        prop_assert!(!is_answered(&out));
        prop_assert_eq!(receiver.node.counts().refused.iter().sum::<u64>(), 1);
    }

    #[test]
    fn any_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut receiver = Receiver::new();
        receiver.take(&bytes);
        prop_assert_eq!(receiver.node.counts().refused.iter().sum::<u64>(), 1);
        prop_assert_eq!(receiver.node.members().len(), 0);
    }
}

#[test]
fn key_files_are_read_or_refused_in_words() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a folder");
    let file = |name: &str, text: &str, mode: u32| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("written");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).expect("set");
        Key::read(&path)
    };
    let good = "0123456789abcdef".repeat(4);
    assert!(file("good", &format!("{good}\n"), 0o640).is_ok());
    assert!(matches!(
        file("open", &good, 0o644),
        Err(KeyFault::Open(_, 0o644))
    ));
    assert!(matches!(
        file("short", &good[..62], 0o600),
        Err(KeyFault::Short(_, 31))
    ));
    assert!(matches!(
        file("odd", &good[..63], 0o600),
        Err(KeyFault::NotHex(_))
    ));
    assert!(matches!(
        file("words", "correct horse battery staple", 0o600),
        Err(KeyFault::NotHex(_))
    ));
    assert!(matches!(
        file("large", &good.repeat(100), 0o600),
        Err(KeyFault::Large(_))
    ));
    let missing = Key::read(&folder.path().join("missing")).expect_err("there is none");
    assert!(missing.to_string().contains("missing cannot be read"));
}
