//! Client of the administration API of a program under test.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::{Peer, TEST_TIMEOUT};

/// Client of the administration API; each call opens its own connection.
pub struct Api {
    pub address: SocketAddr,
    pub token: &'static str,
}

pub const ADMIN_TOKEN: &str = "an operator's own token";

/// Response of the API: status, raw header block, and the body, which is null where it is not JSON.
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: serde_json::Value,
}

impl Api {
    /// Makes a call with additional headers, each with its line ending.
    pub fn call_with(&self, method: &str, path: &str, headers: &str, body: &str) -> Response {
        // The program may have started to serve only a moment ago, so the connect is retried.
        let stream = Peer::connect(self.address).stream;
        self.send_request(stream, method, path, headers, body)
            .expect("API answers")
    }

    /// Makes a call to a program that may be killed during it; `None` if no full response arrives.
    pub fn try_call(&self, method: &str, path: &str, body: &str) -> Option<Response> {
        self.send_request(
            TcpStream::connect(self.address).ok()?,
            method,
            path,
            "",
            body,
        )
    }

    fn send_request(
        &self,
        mut stream: TcpStream,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Option<Response> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n{headers}",
            self.token
        );
        write!(stream, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("socket is open");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).ok()?;
        let (head, body) = reply.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Response {
            status,
            head: head.to_owned(),
            body: serde_json::from_str(body).unwrap_or_default(),
        })
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> Response {
        self.call_with(method, path, "", body)
    }

    /// Adds an override that has to be accepted, and returns its id.
    pub fn add_override(&self, body: &str) -> u64 {
        let answer = self.call("POST", "/v1/overrides", body);
        assert_eq!(answer.status, 201, "{}", answer.body);
        answer.body["id"].as_u64().expect("value is a number")
    }

    /// Shortens an override to 50 ms and returns its expiry in Unix seconds. A short lifetime from the start would make
    /// the test race with a loaded machine.
    pub fn expire_soon(&self, id: u64) -> f64 {
        let answer = self.call(
            "PATCH",
            &format!("/v1/overrides/{id}"),
            r#"{"expires_in_s":0.05}"#,
        );
        assert_eq!(answer.status, 200, "{}", answer.body);
        let at =
            humantime::parse_rfc3339(answer.body["expires_at"].as_str().expect("a time value"))
                .expect("RFC 3339 timestamp");
        at.duration_since(std::time::UNIX_EPOCH)
            .expect("clock is after 1970")
            .as_secs_f64()
    }

    /// All overrides in effect, ordered by id.
    pub fn overrides(&self) -> Vec<serde_json::Value> {
        let answer = self.call("GET", "/v1/overrides", "");
        assert_eq!(answer.status, 200);
        answer.body["overrides"]
            .as_array()
            .expect("value is a list")
            .clone()
    }

    /// A server's row in the API's view of the farm.
    pub fn server_row(&self, name: &str) -> serde_json::Value {
        let farm = self.call("GET", "/v1/farm", "").body;
        let rows = farm["servers"].as_array().expect("value is a list");
        rows.iter()
            .find(|row| row["name"] == name)
            .unwrap_or_else(|| panic!("no {name} in {farm}"))
            .clone()
    }
}
