//! Framing of the NATS client protocol, by size: a payload may contain anything.

use crate::attempt::ServerAnswer;
use crate::front::{FrameProgress, Framer, MessageKind, ProtocolError};
use crate::net::trim_line_end;

/// Longest control line with its end, except for a server's INFO.
pub const MAX_CONTROL_LINE_BYTES: usize = 4096;
/// Longest INFO of a server, which lists the cluster's addresses.
const MAX_INFO_LINE_BYTES: usize = 32 * 1024;

/// Splits a control line into its verb and the rest.
pub fn split_verb(line: &[u8]) -> (&[u8], &[u8]) {
    let end = line
        .iter()
        .position(|byte| matches!(byte, b' ' | b'\t'))
        .unwrap_or(line.len());
    let (verb, rest) = line.split_at(end);
    (verb, rest.trim_ascii())
}

/// Whether the JSON of an INFO announces a shutdown (lame duck mode).
pub fn is_lame_duck(info: &[u8]) -> bool {
    serde_json::from_slice::<serde_json::Value>(info).is_ok_and(|info| info["ldm"] == true)
}

/// What an `-ERR` during the handshake means for an attempt.
pub fn classify_error(text: &[u8]) -> ServerAnswer {
    let text = String::from_utf8_lossy(text).to_lowercase();
    let rejection_phrases = [
        "connections exceeded",
        "shutdown",
        "shutting down",
        "lame duck",
    ];
    if rejection_phrases.iter().any(|phrase| text.contains(phrase)) {
        ServerAnswer::Rejected
    } else {
        ServerAnswer::Error
    }
}

/// The payload size at the end of a control line.
fn payload_size(rest: &[u8]) -> Option<usize> {
    let last = rest.rsplit(|byte| matches!(byte, b' ' | b'\t')).next()?;
    std::str::from_utf8(last).ok()?.parse().ok()
}

/// The payload or the kind of message that a control line announces.
enum Op {
    /// A payload of this size and its CRLF.
    Payload(usize),
    /// No payload; the kind is `None` for messages that need no evaluation.
    Line(Option<MessageKind>),
}

/// Position in a stream of control lines and payloads.
#[derive(Default)]
struct FramePosition {
    payload_left: usize,
}

impl FramePosition {
    /// Advances over complete control lines and available payload.
    fn advance(
        &mut self,
        bytes: &[u8],
        max_line_bytes: usize,
        parse_op: impl Fn(&[u8], &[u8]) -> Result<Op, ProtocolError>,
        on_message: &mut dyn FnMut(MessageKind) -> bool,
    ) -> Result<FrameProgress, ProtocolError> {
        let mut progress = FrameProgress::default();
        let mut offset = 0;
        while offset < bytes.len() {
            if self.payload_left > 0 {
                let count = self.payload_left.min(bytes.len() - offset);
                offset += count;
                self.payload_left -= count;
            } else {
                let line = bytes[offset..]
                    .iter()
                    .position(|byte| *byte == b'\n')
                    .map(|end| &bytes[offset..=offset + end]);
                if line.map_or(bytes.len() - offset, <[u8]>::len) > max_line_bytes {
                    return Err(ProtocolError {
                        answer: "-ERR 'Maximum Control Line Exceeded'\r\n",
                    });
                }
                let Some(line) = line else { break };
                let (verb, rest) = split_verb(trim_line_end(line));
                match parse_op(&verb.to_ascii_uppercase(), rest)? {
                    Op::Payload(size) => self.payload_left = size.saturating_add(2),
                    Op::Line(kind) => {
                        if !kind.is_none_or(&mut *on_message) {
                            progress.dropped.push(offset..offset + line.len());
                        }
                    }
                }
                offset += line.len();
            }
            if self.payload_left == 0 {
                progress.boundary = Some(offset);
            }
        }
        progress.consumed = offset;
        Ok(progress)
    }
}

const UNKNOWN_OPERATION: ProtocolError = ProtocolError {
    answer: "-ERR 'Unknown Protocol Operation'\r\n",
};

/// Frames what a client sends on an established connection.
pub struct ClientFramer {
    position: FramePosition,
    max_payload_bytes: usize,
}

impl ClientFramer {
    /// Creates a framer for payloads up to this size.
    pub fn new(max_payload_bytes: usize) -> ClientFramer {
        ClientFramer {
            position: FramePosition::default(),
            max_payload_bytes,
        }
    }
}

impl Framer for ClientFramer {
    fn advance(
        &mut self,
        bytes: &[u8],
        on_message: &mut dyn FnMut(MessageKind) -> bool,
    ) -> Result<FrameProgress, ProtocolError> {
        let max_payload_bytes = self.max_payload_bytes;
        let parse_op = |verb: &[u8], rest: &[u8]| match verb {
            b"PUB" | b"HPUB" => match payload_size(rest) {
                Some(size) if size <= max_payload_bytes => Ok(Op::Payload(size)),
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
            _ => Err(UNKNOWN_OPERATION),
        };
        self.position
            .advance(bytes, MAX_CONTROL_LINE_BYTES, parse_op, on_message)
    }

    fn is_at_boundary(&self) -> bool {
        self.position.payload_left == 0
    }
}

/// Frames what a server sends on an established connection.
#[derive(Default)]
pub struct ServerFramer {
    position: FramePosition,
}

impl Framer for ServerFramer {
    fn advance(
        &mut self,
        bytes: &[u8],
        on_message: &mut dyn FnMut(MessageKind) -> bool,
    ) -> Result<FrameProgress, ProtocolError> {
        let parse_op = |verb: &[u8], rest: &[u8]| match verb {
            b"MSG" | b"HMSG" => payload_size(rest).map(Op::Payload).ok_or(UNKNOWN_OPERATION),
            b"PONG" => Ok(Op::Line(Some(MessageKind::AnswerToOldest))),
            b"INFO" if is_lame_duck(rest) => Ok(Op::Line(Some(MessageKind::ShutdownNotice))),
            // INFO names servers that clients must not reach without the balancer.
            b"INFO" => Ok(Op::Line(Some(MessageKind::BalancerOnly))),
            b"PING" | b"+OK" | b"-ERR" | b"" => Ok(Op::Line(None)),
            _ => Err(UNKNOWN_OPERATION),
        };
        self.position
            .advance(bytes, MAX_INFO_LINE_BYTES, parse_op, on_message)
    }

    fn is_at_boundary(&self) -> bool {
        self.position.payload_left == 0
    }
}

#[cfg(test)]
mod tests;
