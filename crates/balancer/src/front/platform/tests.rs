//! Lines of the platform's wire.

use super::super::MessageKind;
use super::*;

#[test]
fn lines_in_pieces_keep_their_meaning_and_their_boundaries() {
    let mut lines = LineFramer::default();
    let mut all = Vec::new();
    let mut follow = |bytes: &[u8]| {
        let mut seen = |seen| {
            all.push(seen);
            true
        };
        lines
            .advance(bytes, &mut seen)
            .expect("short lines")
            .boundary
    };
    assert_eq!(follow(b"LOAD 12"), None);
    assert_eq!(follow(b".5\r\nBY"), Some(4));
    assert_eq!(follow(b"E\r\nok\r"), Some(3));
    assert_eq!(follow(b"\n"), Some(1));
    assert!(lines.is_at_boundary());
    assert_eq!(
        all,
        [
            MessageKind::Load(12.5),
            MessageKind::Goodbye,
            MessageKind::AnswerToAll
        ]
    );
}

#[test]
fn a_report_is_read_for_its_load_and_what_is_spoilt_in_it_is_passed_over() {
    use ProbeAnswer::{Load, NoLoad, Unhealthy};
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
fn a_line_over_four_kib_is_a_fault() {
    let mut lines = LineFramer::default();
    assert!(lines.advance(&[b'x'; 4096], &mut |_| true).is_ok());
    assert!(lines.advance(b"x", &mut |_| true).is_err());
}
