//! Calls of an operator to the administration API.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub const TOKEN: &str = "review-2-token-0123456789";

pub struct Api {
    pub address: SocketAddr,
}

impl Api {
    /// Makes a call; returns the status and the body.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Result<(u16, String), String> {
        let exchange = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(Duration::from_secs(20)))?;
            let head = format!(
                "{method} {path} HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer {TOKEN}\r\n\
                 Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(body.as_bytes())?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        };
        let answer = exchange().map_err(|error| format!("{method} {path}: {error}"))?;
        let status = answer
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .ok_or_else(|| format!("{method} {path}: no status in {answer:?}"))?;
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        Ok((status, body.trim().to_owned()))
    }
}
