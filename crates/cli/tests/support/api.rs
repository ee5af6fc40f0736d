//! The administration API of a program under test.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::{Peer, TEST_TIMEOUT};

/// The administration API of a program under test.
pub struct Api {
    pub address: SocketAddr,
    pub token: &'static str,
}

pub const ADMIN_TOKEN: &str = "an operator's own token";

/// What the API answers: status, headers as they come, and a body.
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: serde_json::Value,
}

impl Api {
    /// A call with further headers, each whole and ended.
    pub fn call_with(&self, method: &str, path: &str, headers: &str, body: &str) -> Response {
        // The program may have begun to serve its clients a moment before.
        let stream = Peer::connect(self.address).stream;
        self.send_request(stream, method, path, headers, body)
            .expect("it answers")
    }

    /// A call to a program that may be killed meanwhile.
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
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("open");
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

    /// Adds an override that has to be taken; gives its number.
    pub fn add_override(&self, body: &str) -> u64 {
        let answer = self.call("POST", "/v1/overrides", body);
        assert_eq!(answer.status, 201, "{}", answer.body);
        answer.body["id"].as_u64().expect("a number")
    }

    /// Has an override end very soon; gives the moment, in Unix seconds. A story that gave it a short life from the
    /// start would race with a loaded machine.
    pub fn expire_soon(&self, id: u64) -> f64 {
        let answer = self.call(
            "PATCH",
            &format!("/v1/overrides/{id}"),
            r#"{"expires_in_s":0.05}"#,
        );
        assert_eq!(answer.status, 200, "{}", answer.body);
        let at = humantime::parse_rfc3339(answer.body["expires_at"].as_str().expect("a time"))
            .expect("RFC 3339");
        at.duration_since(std::time::UNIX_EPOCH)
            .expect("after 1970")
            .as_secs_f64()
    }

    /// Every override that holds, by number.
    pub fn overrides(&self) -> Vec<serde_json::Value> {
        let answer = self.call("GET", "/v1/overrides", "");
        assert_eq!(answer.status, 200);
        answer.body["overrides"].as_array().expect("a list").clone()
    }

    /// A server's row in the farm.
    pub fn server_row(&self, name: &str) -> serde_json::Value {
        let farm = self.call("GET", "/v1/farm", "").body;
        let rows = farm["servers"].as_array().expect("a list");
        rows.iter()
            .find(|row| row["name"] == name)
            .unwrap_or_else(|| panic!("no {name} in {farm}"))
            .clone()
    }
}
