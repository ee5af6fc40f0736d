//! HTTP/1.1 for the administration API and the operations port: one request a connection, with a
//! head and a body of bounded length.

mod eviction;
mod request_progress;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::net::{self, ReadBuffer, ReadError};
pub use eviction::EvictionRule;
pub use request_progress::RequestProgress;

/// Longest head and longest body of a request to the administration API, in bytes.
pub const MAX_REQUEST_BYTES: (usize, usize) = (8 * 1024, 16 * 1024);
/// Time for which a peer is read after it was sent its answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// A parsed request.
pub struct Request {
    /// The method, such as GET.
    pub method: String,
    /// The path, with its query.
    pub path: String,
    /// The bearer token.
    pub token: Option<String>,
    /// The revision that a change applies to.
    pub if_match: Option<String>,
    /// The client's idempotency key.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// An answer.
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// Headers in addition to those of every answer.
    pub headers: Vec<(&'static str, String)>,
    /// The body; empty if it is null.
    pub body: Value,
}

impl Reply {
    /// Creates an answer.
    pub fn new(status: u16, body: Value) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body,
        }
    }

    /// Creates an answer with an error message.
    pub fn error(status: u16, message: impl Into<String>) -> Reply {
        Reply::new(status, json!({ "error": message.into() }))
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Reply {
        self.headers.push((name, value.into()));
        self
    }
}

/// Why there is no request.
pub enum RequestError {
    /// The peer closed the connection, or it broke.
    Disconnected,
    /// The request is rejected with this answer.
    Rejected(Reply),
}

impl From<ReadError> for RequestError {
    fn from(error: ReadError) -> RequestError {
        match error {
            ReadError::TimedOut => {
                RequestError::Rejected(Reply::error(408, "the request did not come in time"))
            }
            ReadError::TooLong => RequestError::Rejected(Reply::error(431, "the head is too long")),
            ReadError::Ended | ReadError::Broken(_) => RequestError::Disconnected,
        }
    }
}

/// Reads one request.
pub struct RequestReader {
    buffer: ReadBuffer,
    max_body: usize,
    /// The head, once complete, and the length of the body.
    head: Option<(Request, usize)>,
}

impl RequestReader {
    /// Creates a reader for the given lengths of head and body.
    pub fn new((head, body): (usize, usize)) -> RequestReader {
        RequestReader {
            buffer: ReadBuffer::new(head),
            max_body: body,
            head: None,
        }
    }

    /// Reads once, until the deadline at the latest.
    pub fn read(&mut self, client: &TcpStream, deadline_at: Instant) -> Result<(), ReadError> {
        self.buffer.read(client, deadline_at)
    }

    /// The request, if it is complete.
    pub fn parse(&mut self) -> Result<Option<Request>, RequestError> {
        if self.head.is_none() {
            let Some((request, head, length)) = parse_head(self.buffer.bytes())? else {
                return Ok(None);
            };
            if length > self.max_body {
                return Err(RequestError::Rejected(Reply::error(
                    413,
                    "the body is too long",
                )));
            }
            self.buffer.take(head);
            // The bytes after the head may be more than the body.
            let rest = std::mem::replace(&mut self.buffer, ReadBuffer::new(0)).into_rest();
            self.buffer = ReadBuffer::with_bytes(rest, self.max_body);
            self.head = Some((request, length));
        }
        match self.head.take() {
            Some((mut request, length)) if self.buffer.bytes().len() >= length => {
                request.body = self.buffer.take(length);
                Ok(Some(request))
            }
            head => {
                self.head = head;
                Ok(None)
            }
        }
    }
}

/// The request, the length of its head and that of its body; `None` while the head is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<(Request, usize, usize)>, RequestError> {
    let reject = |status, message| RequestError::Rejected(Reply::error(status, message));
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(reject(431, "too many headers")),
        Err(_) => return Err(reject(400, "not an HTTP request")),
    };
    let header = |name: &str| {
        let found = parsed
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok())
    };
    if header("transfer-encoding").is_some() {
        return Err(reject(411, "a body needs a content-length"));
    }
    let length = match header("content-length").map(str::parse) {
        None => 0,
        Some(Ok(length)) => length,
        Some(Err(_)) => return Err(reject(400, "a content-length that is no number")),
    };
    let request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        token: header("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(str::to_owned),
        if_match: header("if-match").map(str::to_owned),
        idempotency_key: header("idempotency-key").map(str::to_owned),
        body: Vec::new(),
    };
    Ok(Some((request, head, length)))
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        507 => "Insufficient Storage",
        _ => "Error",
    }
}

impl Reply {
    /// The answer's bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let body = if self.body.is_null() {
            String::new()
        } else {
            self.body.to_string()
        };
        let mut text = format!(
            "HTTP/1.1 {} {}\r\nConnection: close\r\n",
            self.status,
            reason_phrase(self.status)
        );
        if self.status != 204 {
            text.push_str(&format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                body.len()
            ));
        }
        if self.status == 401 {
            text.push_str("WWW-Authenticate: Bearer\r\n");
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        text.push_str(&body);
        text.into_bytes()
    }
}

/// Writes an answer and closes the connection.
pub fn write(client: &TcpStream, reply: &Reply) {
    // A peer that has closed needs no answer.
    let _ = net::write_until(
        client,
        &[&reply.bytes()],
        Instant::now() + net::WRITE_TIMEOUT,
    );
    net::shutdown_write(client);
    net::discard_until_end(client, LINGER_TIMEOUT);
}
