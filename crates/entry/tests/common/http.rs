//! A minimal HTTP client: one request for each plain connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP response.
#[derive(Debug, Clone, Default)]
pub struct PlainAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends a request and reads its response; returns `None` if the connection failed.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<PlainAnswer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(PlainAnswer {
        status,
        head: head.to_ascii_lowercase(),
        body: body.to_owned(),
    })
}

/// Sends a GET request.
pub fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Option<PlainAnswer> {
    send(address, "GET", path, headers, "")
}
