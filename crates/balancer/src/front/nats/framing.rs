//! Framing of the NATS client protocol, by size: a payload may contain anything.

use crate::attempt::ServerAnswer;
use crate::front::{FrameProgress, Framer, MessageKind, ProtocolError};
use crate::net::trim_line_end;

/// Longest control line, except for a server's INFO.
pub const MAX_CONTROL_LINE: usize = 4096;
/// Longest INFO of a server, which lists the cluster's addresses.
const MAX_INFO_LINE: usize = 32 * 1024;

/// Splits a control line into its verb and the rest.
pub fn verb(line: &[u8]) -> (&[u8], &[u8]) {
    let end = line
        .iter()
        .position(|byte| matches!(byte, b' ' | b'\t'))
        .unwrap_or(line.len());
    let (verb, rest) = line.split_at(end);
    (verb, rest.trim_ascii())
}

/// Whether an INFO announces a shutdown (lame duck mode).
pub fn is_lame_duck(info: &[u8]) -> bool {
    serde_json::from_slice::<serde_json::Value>(info).is_ok_and(|info| info["ldm"] == true)
}

/// What an `-ERR` during the handshake means for an attempt.
pub fn classify_error(text: &[u8]) -> ServerAnswer {
    let text = String::from_utf8_lossy(text).to_lowercase();
    let away = [
        "connections exceeded",
        "shutdown",
        "shutting down",
        "lame duck",
    ];
    if away.iter().any(|words| text.contains(words)) {
        ServerAnswer::Rejected
    } else {
        ServerAnswer::Error
    }
}

/// The payload size at the end of a control line.
fn size(rest: &[u8]) -> Option<usize> {
    let last = rest.rsplit(|byte| matches!(byte, b' ' | b'\t')).next()?;
    std::str::from_utf8(last).ok()?.parse().ok()
}

/// What follows a control line.
enum Op {
    /// A payload of this size and its CRLF.
    Payload(usize),
    /// Nothing.
    Line(Option<MessageKind>),
}

/// Position in a stream of control lines and payloads.
#[derive(Default)]
struct Frames {
    payload_left: usize,
}

impl Frames {
    /// Advances over complete control lines and available payload.
    fn walk(
        &mut self,
        bytes: &[u8],
        longest: usize,
        read: impl Fn(&[u8], &[u8]) -> Result<Op, ProtocolError>,
        seen: &mut dyn FnMut(MessageKind) -> bool,
    ) -> Result<FrameProgress, ProtocolError> {
        let mut followed = FrameProgress::default();
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
                    return Err(ProtocolError {
                        answer: "-ERR 'Maximum Control Line Exceeded'\r\n",
                    });
                }
                let Some(line) = line else { break };
                let (verb, rest) = verb(trim_line_end(line));
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

const UNKNOWN: ProtocolError = ProtocolError {
    answer: "-ERR 'Unknown Protocol Operation'\r\n",
};

/// Frames what a client sends on an established connection.
pub struct ClientFramer {
    frames: Frames,
    max_payload: usize,
}

impl ClientFramer {
    /// Creates a framer for payloads up to this size.
    pub fn new(max_payload: usize) -> ClientFramer {
        ClientFramer {
            frames: Frames::default(),
            max_payload,
        }
    }
}

impl Framer for ClientFramer {
    fn advance(
        &mut self,
        bytes: &[u8],
        seen: &mut dyn FnMut(MessageKind) -> bool,
    ) -> Result<FrameProgress, ProtocolError> {
        let max = self.max_payload;
        let read = |verb: &[u8], rest: &[u8]| match verb {
            b"PUB" | b"HPUB" => match size(rest) {
                Some(size) if size <= max => Ok(Op::Payload(size)),
                Some(_) => Err(ProtocolError {
                    answer: "-ERR 'Maximum Payload Violation'\r\n",
                }),
                None => Err(ProtocolError {
                    answer: "-ERR 'Parser Error'\r\n",
                }),
            },
            b"PING" => Ok(Op::Line(Some(MessageKind::Request))),
            b"SUB" | b"UNSUB" | b"PONG" | b"" => Ok(Op::Line(None)),
            // A second CONNECT would carry the tenant's credentials to a server that does not know
            // them.
            _ => Err(UNKNOWN),
        };
        self.frames.walk(bytes, MAX_CONTROL_LINE, read, seen)
    }

    fn is_at_boundary(&self) -> bool {
        self.frames.payload_left == 0
    }
}

/// Frames what a server sends on an established connection.
#[derive(Default)]
pub struct ServerFramer {
    frames: Frames,
}

impl Framer for ServerFramer {
    fn advance(
        &mut self,
        bytes: &[u8],
        seen: &mut dyn FnMut(MessageKind) -> bool,
    ) -> Result<FrameProgress, ProtocolError> {
        let read = |verb: &[u8], rest: &[u8]| match verb {
            b"MSG" | b"HMSG" => size(rest).map(Op::Payload).ok_or(UNKNOWN),
            b"PONG" => Ok(Op::Line(Some(MessageKind::AnswerToOldest))),
            b"INFO" if is_lame_duck(rest) => Ok(Op::Line(Some(MessageKind::ShutdownNotice))),
            // It names servers that clients must not reach past the balancer.
            b"INFO" => Ok(Op::Line(Some(MessageKind::BalancerOnly))),
            b"PING" | b"+OK" | b"-ERR" | b"" => Ok(Op::Line(None)),
            _ => Err(UNKNOWN),
        };
        self.frames.walk(bytes, MAX_INFO_LINE, read, seen)
    }

    fn is_at_boundary(&self) -> bool {
        self.frames.payload_left == 0
    }
}

#[cfg(test)]
mod tests;
