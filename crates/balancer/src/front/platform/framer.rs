//! Framing of the platform's messages, which are lines.

use super::super::{FrameProgress, Framer, MessageKind, ProtocolError};
use super::MAX_LINE_BYTES;
use crate::net::trim_line_end;

/// Frames lines. Only the beginning of an incomplete line is kept, as far as it is classified.
#[derive(Default)]
pub(super) struct LineFramer {
    pub(super) is_client: bool,
    /// Beginning of the incomplete line.
    pub(super) head: Vec<u8>,
    /// Number of bytes of the incomplete line.
    pub(super) length: usize,
}

/// Bytes of a line that are classified.
const CLASSIFIED_BYTES: usize = 64;

impl LineFramer {
    fn classify(&self, line: &[u8]) -> MessageKind {
        if self.is_client {
            return MessageKind::Request;
        }
        let load = line
            .strip_prefix(b"LOAD ")
            .and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        match line {
            b"BYE" => MessageKind::Goodbye,
            b"MOVE" => MessageKind::Redirect,
            _ => load.map_or(MessageKind::AnswerToAll, MessageKind::Load),
        }
    }
}

impl Framer for LineFramer {
    fn advance(
        &mut self,
        bytes: &[u8],
        on_message: &mut dyn FnMut(MessageKind) -> bool,
    ) -> Result<FrameProgress, ProtocolError> {
        let mut progress = FrameProgress {
            consumed: bytes.len(),
            ..FrameProgress::default()
        };
        let mut rest = bytes;
        while !rest.is_empty() {
            let end = rest.iter().position(|byte| *byte == b'\n').map(|at| at + 1);
            let chunk = &rest[..end.unwrap_or(rest.len())];
            rest = &rest[chunk.len()..];
            self.length += chunk.len();
            if self.length > MAX_LINE_BYTES {
                return Err(ProtocolError { answer: "" });
            }
            let head_bytes = CLASSIFIED_BYTES
                .saturating_sub(self.head.len())
                .min(chunk.len());
            self.head.extend_from_slice(&chunk[..head_bytes]);
            if end.is_some() {
                // Every line is relayed.
                on_message(self.classify(trim_line_end(&self.head)));
                self.head.clear();
                self.length = 0;
                progress.boundary = Some(bytes.len() - rest.len());
            }
        }
        Ok(progress)
    }

    fn is_at_boundary(&self) -> bool {
        self.length == 0
    }
}
