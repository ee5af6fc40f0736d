//! Tests of the line framer and of the probe answers of the platform protocol.

use super::super::MessageKind;
use super::*;

#[test]
fn classifies_lines_received_in_pieces() {
    let mut framer = LineFramer::default();
    let mut messages = Vec::new();
    // Returns the offset after the last complete line in `bytes`.
    let mut feed = |bytes: &[u8]| {
        let mut on_message = |kind| {
            messages.push(kind);
            true
        };
        framer
            .advance(bytes, &mut on_message)
            .expect("the lines are short enough")
            .boundary
    };
    assert_eq!(feed(b"LOAD 12"), None);
    assert_eq!(feed(b".5\r\nBY"), Some(4));
    assert_eq!(feed(b"E\r\nok\r"), Some(3));
    assert_eq!(feed(b"\n"), Some(1));
    assert!(framer.is_at_boundary());
    assert_eq!(
        messages,
        [
            MessageKind::Load(12.5),
            MessageKind::Goodbye,
            MessageKind::AnswerToAll
        ]
    );
}

#[test]
fn parses_load_and_ignores_invalid_fields() {
    use ProbeAnswer::{Load, NoLoad, Unhealthy};
    // `x0` is the only field that is used. `NO` means that the server does not allow probes.
    let cases = [
        ("PONG x0=0.25,queue=3", Load(0.25)),
        ("PONG queue=x,x0=2", Load(2.0)),
        ("PONG colour=red,x0=0", Load(0.0)),
        ("PONG", NoLoad),
        ("PONG queue=3", NoLoad),
        ("PONG x0=-1", NoLoad),
        ("PONG x0=nan", NoLoad),
        ("PONG x0=inf,queue=1", NoLoad),
        ("PONG x0=", NoLoad),
        ("NO", NoLoad),
        ("ERR", Unhealthy),
        ("BUSY 20", Unhealthy),
        ("", Unhealthy),
    ];
    for (line, answer) in cases {
        assert_eq!(parse_load(line.as_bytes()), answer, "{line:?}");
    }
}

#[test]
fn rejects_line_over_4_kib() {
    let mut framer = LineFramer::default();
    assert!(framer.advance(&[b'x'; 4096], &mut |_| true).is_ok());
    assert!(framer.advance(b"x", &mut |_| true).is_err());
}
