//! Reads whole HTTP/1.1 messages from a blocking socket.

use std::io::{self, BufRead, BufReader, Read};

/// An HTTP request or response.
#[derive(Debug, Clone, Default)]
pub struct WireMessage {
    /// The request line or the status line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, without its framing.
    pub body: Vec<u8>,
    /// Whether the body was received up to its declared end.
    pub is_whole: bool,
}

impl WireMessage {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        let found = self.headers.iter().find(|(known, _)| *known == name)?;
        Some(&found.1)
    }

    /// Returns the status code of a response, or 0 if the first line has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message. Returns `None` at the end of the connection.
pub fn read_message<R: Read>(reader: &mut BufReader<R>) -> io::Result<Option<WireMessage>> {
    let mut message = WireMessage::default();
    if read_line(reader, &mut message.start)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if read_line(reader, &mut line)? == 0 || line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    message.is_whole = read_body(reader, &mut message)?;
    Ok(Some(message))
}

fn read_line<R: Read>(reader: &mut BufReader<R>, line: &mut String) -> io::Result<usize> {
    let count = reader.read_line(line)?;
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Ok(count)
}

fn read_body<R: Read>(reader: &mut BufReader<R>, message: &mut WireMessage) -> io::Result<bool> {
    if message.header("transfer-encoding") == Some("chunked") {
        return read_chunks(reader, &mut message.body);
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0);
    reader.take(length).read_to_end(&mut message.body)?;
    Ok(message.body.len() as u64 == length)
}

fn read_chunks<R: Read>(reader: &mut BufReader<R>, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if read_line(reader, &mut line)? == 0 {
            return Ok(false);
        }
        let Ok(size) = u64::from_str_radix(&line, 16) else {
            return Ok(false);
        };
        let before = body.len() as u64;
        reader.take(size).read_to_end(body)?;
        let is_short = body.len() as u64 - before < size;
        let mut end = String::new();
        if is_short || read_line(reader, &mut end)? == 0 {
            return Ok(false);
        }
        if size == 0 {
            return Ok(true);
        }
    }
}
