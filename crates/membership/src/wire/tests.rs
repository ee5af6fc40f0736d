use super::*;
use crate::Key;

/// A message as a newer version may send it, with additional fields.
#[derive(Clone, PartialEq, Message)]
struct LaterContent {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(fixed64, tag = "3")]
    start_nonce: u64,
    #[prost(uint64, tag = "4")]
    counter: u64,
    #[prost(bytes = "vec", optional, tag = "10")]
    gossip: Option<Vec<u8>>,
    #[prost(string, tag = "40")]
    extra: String,
    #[prost(bytes = "vec", optional, tag = "41")]
    new_message: Option<Vec<u8>>,
}

fn keys() -> Keys {
    Keys::only(Key::new(&[3; 32]).expect("the test key has the minimum length"))
}

fn later(gossip: Option<Vec<u8>>, new_message: Option<Vec<u8>>) -> Vec<u8> {
    let (name, extra) = ("a".to_owned(), "bright".to_owned());
    let content = LaterContent {
        name,
        incarnation: 5,
        start_nonce: 6,
        counter: 7,
        gossip,
        extra,
        new_message,
    };
    let (sealed, key) = (content.encode_to_vec(), keys().current);
    let digest = key.digest(VERSION, &sealed).to_vec();
    let mut frame = Frame {
        version: VERSION,
        key: Some(key.id),
        digest,
        sealed,
    }
    .encode_to_vec();
    // An unknown field of the frame: number 30, a varint.
    frame.extend([0xf0, 0x01, 0x05]);
    frame
}

#[test]
fn ignores_fields_of_newer_version() {
    let known = Content {
        name: "a".into(),
        incarnation: 5,
        start_nonce: 6,
        counter: 7,
        message: None,
    };
    let gossip = Content {
        message: Some(WireMessage::Gossip(vec![1, 2])),
        ..known.clone()
    };
    assert_eq!(open(&keys(), &later(Some(vec![1, 2]), None)), Ok(gossip));
    // A message of an unknown kind decodes to no message, without an error.
    assert_eq!(open(&keys(), &later(None, Some(vec![1]))), Ok(known));
}

#[test]
fn keeps_field_numbers() {
    let member = Member {
        name: "a".into(),
        address: ([127, 0, 0, 1], 9).into(),
        incarnation: 5,
        start_nonce: 6,
        renewal: 1,
        site: "n".into(),
        configuration: Configuration {
            digest: [7; 32],
            order: 8,
        },
    };
    let content = Content {
        name: "a".into(),
        incarnation: 5,
        start_nonce: 6,
        counter: 7,
        message: Some(WireMessage::Hello(Identity::full(&member))),
    };
    let written: String = content
        .encode_to_vec()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let digest = "07".repeat(32);
    let identity =
        format!("0a016112047f0000011809200529060000000000000030013a016e4220{digest}4808");
    assert_eq!(
        written,
        format!(
            "0a01611005190600000000000000200732{:02x}{identity}",
            identity.len() / 2
        )
    );
}

#[test]
fn fits_widest_message_into_datagram() {
    let name = "n".repeat(crate::MAX_NAME_BYTES);
    let page = Page {
        bytes: vec![1; payload_capacity(&name)],
        has_more: true,
    };
    let content = Content {
        name,
        incarnation: u64::MAX,
        start_nonce: 1,
        counter: u64::MAX,
        message: Some(WireMessage::Page(page)),
    };
    let bytes = seal(&keys(), &content);
    assert!(
        (MAX_DATAGRAM_BYTES - 8..=MAX_DATAGRAM_BYTES).contains(&bytes.len()),
        "the datagram has {} bytes",
        bytes.len()
    );
    assert_eq!(open(&keys(), &bytes), Ok(content));
}
