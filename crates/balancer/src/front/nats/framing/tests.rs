//! Tests of the framing of the NATS protocol.

use super::*;

#[test]
fn frames_payloads_by_size_across_chunks() {
    let all = b"MSG a 1 12\r\nPING\r\nPONG\r\n\r\nPONG\r\nHMSG a 1 r 4 6\r\nPONG\r\n\r\nINFO {\"ldm\":true}\r\n";
    for chunk_size in [1, 2, 7, all.len()] {
        let (mut framer, mut messages, mut buffer, mut relayed) =
            (ServerFramer::default(), Vec::new(), Vec::new(), Vec::new());
        for bytes in all.chunks(chunk_size) {
            buffer.extend_from_slice(bytes);
            let mut on_message = |kind| {
                messages.push(kind);
                kind == MessageKind::AnswerToOldest
            };
            let progress = framer
                .advance(&buffer, &mut on_message)
                .expect("the stream is valid");
            let mut start = 0;
            for gap in progress.dropped {
                relayed.extend_from_slice(&buffer[start..gap.start]);
                start = gap.end;
            }
            relayed.extend_from_slice(&buffer[start..progress.consumed]);
            buffer.drain(..progress.consumed);
        }
        assert_eq!(
            messages,
            [MessageKind::AnswerToOldest, MessageKind::ShutdownNotice],
            "in chunks of {chunk_size} bytes"
        );
        assert!(framer.is_at_boundary());
        assert_eq!(
            relayed,
            all[..all.len() - 19],
            "in chunks of {chunk_size} bytes"
        );
    }
}

#[test]
fn rejects_protocol_violations_with_named_error() {
    let long = [b"SUB ", vec![b'x'; MAX_CONTROL_LINE_BYTES].as_slice()].concat();
    for (bytes, expected) in [
        (&b"PUB a 9\r\n"[..], "Maximum Payload Violation"),
        (b"HPUB a 3 9\r\n", "Maximum Payload Violation"),
        (b"PUB a x\r\n", "Parser Error"),
        (b"CONNECT {}\r\n", "Unknown Protocol Operation"),
        (&long, "Maximum Control Line Exceeded"),
    ] {
        let error = ClientFramer::new(8)
            .advance(bytes, &mut |_| true)
            .expect_err(expected);
        assert!(error.answer.contains(expected), "{}", error.answer);
    }
}

#[test]
fn classifies_errors_before_connection_is_established() {
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
