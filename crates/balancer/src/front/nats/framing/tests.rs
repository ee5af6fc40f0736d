//! Tests of the framing.

use super::*;

#[test]
fn payloads_are_framed_by_size_whatever_they_hold_and_however_they_come() {
    let all = b"MSG a 1 12\r\nPING\r\nPONG\r\n\r\nPONG\r\nHMSG a 1 r 4 6\r\nPONG\r\n\r\nINFO {\"ldm\":true}\r\n";
    for piece in [1, 2, 7, all.len()] {
        let (mut framer, mut seen, mut kept, mut passed) =
            (ServerFramer::default(), Vec::new(), Vec::new(), Vec::new());
        for bytes in all.chunks(piece) {
            kept.extend_from_slice(bytes);
            let mut see = |what| {
                seen.push(what);
                what == MessageKind::AnswerToOldest
            };
            let followed = framer.advance(&kept, &mut see).expect("sound");
            let mut from = 0;
            for gap in followed.dropped {
                passed.extend_from_slice(&kept[from..gap.start]);
                from = gap.end;
            }
            passed.extend_from_slice(&kept[from..followed.consumed]);
            kept.drain(..followed.consumed);
        }
        assert_eq!(
            seen,
            [MessageKind::AnswerToOldest, MessageKind::ShutdownNotice],
            "in pieces of {piece}"
        );
        assert!(framer.is_at_boundary());
        assert_eq!(passed, all[..all.len() - 19], "in pieces of {piece}");
    }
}

#[test]
fn what_breaks_the_rules_is_answered_by_name() {
    let long = [b"SUB ", vec![b'x'; MAX_CONTROL_LINE].as_slice()].concat();
    for (bytes, words) in [
        (&b"PUB a 9\r\n"[..], "Maximum Payload Violation"),
        (b"HPUB a 3 9\r\n", "Maximum Payload Violation"),
        (b"PUB a x\r\n", "Parser Error"),
        (b"CONNECT {}\r\n", "Unknown Protocol Operation"),
        (&long, "Maximum Control Line Exceeded"),
    ] {
        let fault = ClientFramer::new(8)
            .advance(bytes, &mut |_| true)
            .expect_err(words);
        assert!(fault.answer.contains(words), "{}", fault.answer);
    }
}

#[test]
fn errors_before_a_connection_stands_are_told_apart() {
    for (text, answer) in [
        ("'Maximum Connections Exceeded'", ServerAnswer::Rejected),
        (
            "'maximum account active connections exceeded'",
            ServerAnswer::Rejected,
        ),
        ("'Server Shutdown'", ServerAnswer::Rejected),
        ("'Authorization Violation'", ServerAnswer::Error),
        ("'Stale Connection'", ServerAnswer::Error),
    ] {
        assert_eq!(classify_error(text.as_bytes()), answer, "{text}");
    }
}
