//! Frames of the NATS client protocol, by size: a payload may hold anything.

use crate::front::{Followed, FrameFault, Framer, Seen};
use crate::net::trimmed;
use crate::pass::Answer;

/// Longest control line of a client, and of a server but for its INFO.
pub const LONGEST_LINE: usize = 4096;
/// Longest INFO of a server: it lists the cluster's addresses.
const LONGEST_INFO: usize = 32 * 1024;

/// A control line's verb and what follows it.
pub fn verb(line: &[u8]) -> (&[u8], &[u8]) {
    let end = line
        .iter()
        .position(|byte| matches!(byte, b' ' | b'\t'))
        .unwrap_or(line.len());
    let (verb, rest) = line.split_at(end);
    (verb, rest.trim_ascii())
}

/// Whether an INFO says that its server is about to leave.
pub fn says_leaving(info: &[u8]) -> bool {
    serde_json::from_slice::<serde_json::Value>(info).is_ok_and(|info| info["ldm"] == true)
}

/// What an `-ERR` before a connection stands means for a proxy pass.
pub fn error_means(text: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(text).to_lowercase();
    let away = [
        "connections exceeded",
        "shutdown",
        "shutting down",
        "lame duck",
    ];
    if away.iter().any(|words| text.contains(words)) {
        Answer::Unavailable
    } else {
        Answer::Error
    }
}

/// The size that ends a control line.
fn size(rest: &[u8]) -> Option<usize> {
    let last = rest.rsplit(|byte| matches!(byte, b' ' | b'\t')).next()?;
    std::str::from_utf8(last).ok()?.parse().ok()
}

/// What a control line announces.
enum Op {
    /// A payload of so many bytes, and its CRLF.
    Payload(usize),
    /// Nothing more.
    Line(Option<Seen>),
}

/// Bytes between control lines, counted down.
#[derive(Default)]
struct Frames {
    payload_left: usize,
}

impl Frames {
    /// Walks over whole control lines and whatever there is of payloads.
    fn walk(
        &mut self,
        bytes: &[u8],
        longest: usize,
        read: impl Fn(&[u8], &[u8]) -> Result<Op, FrameFault>,
        seen: &mut dyn FnMut(Seen) -> bool,
    ) -> Result<Followed, FrameFault> {
        let mut followed = Followed::default();
        let mut at = 0;
        while at < bytes.len() {
            if self.payload_left > 0 {
                let count = self.payload_left.min(bytes.len() - at);
                at += count;
                self.payload_left -= count;
            } else {
                let line = bytes[at..]
                    .iter()
                    .position(|byte| *byte == b'\n')
                    .map(|end| &bytes[at..=at + end]);
                if line.map_or(bytes.len() - at, <[u8]>::len) > longest {
                    return Err(FrameFault {
                        answer: "-ERR 'Maximum Control Line Exceeded'\r\n",
                    });
                }
                let Some(line) = line else { break };
                let (verb, rest) = verb(trimmed(line));
                match read(&verb.to_ascii_uppercase(), rest)? {
                    Op::Payload(size) => self.payload_left = size.saturating_add(2),
                    Op::Line(meaning) => {
                        if !meaning.is_none_or(&mut *seen) {
                            followed.dropped.push(at..at + line.len());
                        }
                    }
                }
                at += line.len();
            }
            if self.payload_left == 0 {
                followed.boundary = Some(at);
            }
        }
        followed.consumed = at;
        Ok(followed)
    }
}

const UNKNOWN: FrameFault = FrameFault {
    answer: "-ERR 'Unknown Protocol Operation'\r\n",
};

/// Follows what a client sends once its connection stands.
pub struct ClientFramer {
    frames: Frames,
    max_payload: usize,
}

impl ClientFramer {
    /// For clients that may send payloads of this size.
    pub fn new(max_payload: usize) -> ClientFramer {
        ClientFramer {
            frames: Frames::default(),
            max_payload,
        }
    }
}

impl Framer for ClientFramer {
    fn follow(
        &mut self,
        bytes: &[u8],
        seen: &mut dyn FnMut(Seen) -> bool,
    ) -> Result<Followed, FrameFault> {
        let max = self.max_payload;
        let read = |verb: &[u8], rest: &[u8]| match verb {
            b"PUB" | b"HPUB" => match size(rest) {
                Some(size) if size <= max => Ok(Op::Payload(size)),
                Some(_) => Err(FrameFault {
                    answer: "-ERR 'Maximum Payload Violation'\r\n",
                }),
                None => Err(FrameFault {
                    answer: "-ERR 'Parser Error'\r\n",
                }),
            },
            b"PING" => Ok(Op::Line(Some(Seen::Asked))),
            b"SUB" | b"UNSUB" | b"PONG" | b"" => Ok(Op::Line(None)),
            // A second CONNECT would carry the tenant's credentials to a server that does not know them.
            _ => Err(UNKNOWN),
        };
        self.frames.walk(bytes, LONGEST_LINE, read, seen)
    }

    fn is_between(&self) -> bool {
        self.frames.payload_left == 0
    }
}

/// Follows what a server sends once a connection stands.
#[derive(Default)]
pub struct ServerFramer {
    frames: Frames,
}

impl Framer for ServerFramer {
    fn follow(
        &mut self,
        bytes: &[u8],
        seen: &mut dyn FnMut(Seen) -> bool,
    ) -> Result<Followed, FrameFault> {
        let read = |verb: &[u8], rest: &[u8]| match verb {
            b"MSG" | b"HMSG" => size(rest).map(Op::Payload).ok_or(UNKNOWN),
            b"PONG" => Ok(Op::Line(Some(Seen::AnsweredOldest))),
            b"INFO" if says_leaving(rest) => Ok(Op::Line(Some(Seen::Leaving))),
            // It names servers that clients are not to reach past the balancer.
            b"INFO" => Ok(Op::Line(Some(Seen::Private))),
            b"PING" | b"+OK" | b"-ERR" | b"" => Ok(Op::Line(None)),
            _ => Err(UNKNOWN),
        };
        self.frames.walk(bytes, LONGEST_INFO, read, seen)
    }

    fn is_between(&self) -> bool {
        self.frames.payload_left == 0
    }
}

#[cfg(test)]
mod tests {
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
                    what == Seen::AnsweredOldest
                };
                let followed = framer.follow(&kept, &mut see).expect("sound");
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
                [Seen::AnsweredOldest, Seen::Leaving],
                "in pieces of {piece}"
            );
            assert!(framer.is_between());
            assert_eq!(passed, all[..all.len() - 19], "in pieces of {piece}");
        }
    }

    #[test]
    fn what_breaks_the_rules_is_answered_by_name() {
        let long = [b"SUB ", vec![b'x'; LONGEST_LINE].as_slice()].concat();
        for (bytes, words) in [
            (&b"PUB a 9\r\n"[..], "Maximum Payload Violation"),
            (b"HPUB a 3 9\r\n", "Maximum Payload Violation"),
            (b"PUB a x\r\n", "Parser Error"),
            (b"CONNECT {}\r\n", "Unknown Protocol Operation"),
            (&long, "Maximum Control Line Exceeded"),
        ] {
            let fault = ClientFramer::new(8)
                .follow(bytes, &mut |_| true)
                .expect_err(words);
            assert!(fault.answer.contains(words), "{}", fault.answer);
        }
    }

    #[test]
    fn errors_before_a_connection_stands_are_told_apart() {
        for (text, answer) in [
            ("'Maximum Connections Exceeded'", Answer::Unavailable),
            (
                "'maximum account active connections exceeded'",
                Answer::Unavailable,
            ),
            ("'Server Shutdown'", Answer::Unavailable),
            ("'Authorization Violation'", Answer::Error),
            ("'Stale Connection'", Answer::Error),
        ] {
            assert_eq!(error_means(text.as_bytes()), answer, "{text}");
        }
    }
}
