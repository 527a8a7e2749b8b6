//! Reads an answer of a gateway piece by piece, and the events of a stream as they arrive.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

use super::trace::{End, Event};

/// The head of an answer.
#[derive(Debug, Default)]
pub struct Head {
    pub status: u16,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, whose name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name)?;
        Some(&found.1)
    }

    fn has_chunks(&self) -> bool {
        self.header("transfer-encoding") == Some("chunked")
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    /// Returns whether the connection serves another request after this answer.
    pub fn keeps_connection(&self) -> bool {
        let is_closing = self
            .header("connection")
            .is_some_and(|text| text.eq_ignore_ascii_case("close"));
        !is_closing && (self.has_chunks() || self.length().is_some())
    }
}

/// Reads the head of an answer. Returns `None` if the connection ends before it is whole.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    let start = read_line(reader)?;
    head.status = start.split(' ').nth(1)?.parse().ok()?;
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(head);
        }
        let (name, value) = line.split_once(':')?;
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        head.headers.push(header);
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    if count == 0 || !line.ends_with('\n') {
        return None;
    }
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Some(line)
}

/// Reads a body and passes each piece on. It stops in the middle once `take` returns false.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    take: &mut dyn FnMut(&[u8]) -> bool,
) -> End {
    if head.has_chunks() {
        return read_chunks(reader, take);
    }
    match head.length() {
        Some(length) => read_exactly(reader, length, take),
        None => read_to_end(reader, take),
    }
}

fn read_chunks(reader: &mut BufReader<TcpStream>, take: &mut dyn FnMut(&[u8]) -> bool) -> End {
    loop {
        let size = read_line(reader).and_then(|line| usize::from_str_radix(&line, 16).ok());
        let Some(size) = size else {
            return End::Broken;
        };
        let end = read_exactly(reader, size, take);
        if end != End::Complete {
            return end;
        }
        if read_line(reader).is_none() {
            return End::Broken;
        }
        if size == 0 {
            return End::Complete;
        }
    }
}

fn read_exactly(
    reader: &mut BufReader<TcpStream>,
    length: usize,
    take: &mut dyn FnMut(&[u8]) -> bool,
) -> End {
    let mut rest = length;
    while rest > 0 {
        let Ok(bytes) = reader.fill_buf() else {
            return End::Broken;
        };
        let count = bytes.len().min(rest);
        if count == 0 {
            return End::Broken;
        }
        let goes_on = take(&bytes[..count]);
        reader.consume(count);
        rest -= count;
        if !goes_on {
            return End::Left;
        }
    }
    End::Complete
}

/// Reads a body that ends with its connection, unless that is reset or falls silent.
fn read_to_end(reader: &mut BufReader<TcpStream>, take: &mut dyn FnMut(&[u8]) -> bool) -> End {
    let mut buffer = [0; 4 * 1024];
    loop {
        match reader.read(&mut buffer) {
            Ok(0) => return End::Complete,
            Ok(count) if take(&buffer[..count]) => {}
            Ok(_) => return End::Left,
            Err(_) => return End::Broken,
        }
    }
}

/// Collects whole events from the pieces of a stream.
#[derive(Debug, Default)]
pub struct EventCollector {
    rest: Vec<u8>,
    /// The events so far.
    pub events: Vec<Event>,
    /// Blocks that are no event of the soak's engines.
    pub odd: String,
}

impl EventCollector {
    /// Adds a piece of the stream.
    pub fn add(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
        while let Some(end) = self.rest.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.rest.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&block).into_owned();
            match parse_event(&text) {
                Some(event) => self.events.push(event),
                None => self.odd.push_str(&text),
            }
        }
    }

    /// Returns the bytes after the last whole event.
    pub fn unfinished(&self) -> String {
        String::from_utf8_lossy(&self.rest).into_owned()
    }
}

fn parse_event(block: &str) -> Option<Event> {
    let (id, data) = block.strip_prefix("id: ")?.split_once("\ndata: ")?;
    let parts: Vec<&str> = data.trim_end().split(' ').collect();
    let [name, number, version] = parts[..] else {
        return None;
    };
    Some(Event {
        id: id.parse().ok()?,
        name: name.to_owned(),
        number: number.parse().ok()?,
        version: version.to_owned(),
    })
}
