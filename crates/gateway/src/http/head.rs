//! Parses the heads of requests and answers.

use std::ops::Range;

use bytes::Bytes;
use thiserror::Error;

use super::body::BodyFraming;

/// The greatest number of headers in one head.
const MAX_HEADERS: usize = 96;

/// The greatest number of options in the `Connection` headers of one head. Each header of a request is compared
/// with each of them.
const MAX_CONNECTION_OPTIONS: usize = 32;

/// The hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether HTTP defines a header as hop-by-hop.
fn is_standard_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|known| name.eq_ignore_ascii_case(known))
}

/// Why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The bytes are not a valid head.
    #[error("the head is malformed")]
    Malformed,
    /// The head has more than `MAX_HEADERS` headers, or more than `MAX_CONNECTION_OPTIONS` options.
    #[error("the head has too many headers")]
    TooManyHeaders,
    /// The head has no host or several.
    #[error("the head needs exactly one host")]
    Host,
    /// The headers that frame the body contradict each other or are invalid.
    #[error("the length of the body is not clear")]
    Framing,
    /// The target is not a path.
    #[error("the target is not a path")]
    Target,
}

#[derive(Debug, Clone)]
struct HeaderRange {
    name: Range<usize>,
    value: Range<usize>,
}

/// A view of one header.
#[derive(Debug, Clone, Copy)]
pub struct HeaderView<'a> {
    /// The name, as received.
    pub name: &'a str,
    /// The value.
    pub value: &'a [u8],
}

/// The headers of one head, as received.
#[derive(Debug, Clone)]
pub struct HeaderBlock {
    bytes: Bytes,
    ranges: Vec<HeaderRange>,
}

impl HeaderBlock {
    /// Returns the headers in the order in which they were received.
    pub fn views(&self) -> impl Iterator<Item = HeaderView<'_>> {
        self.ranges.iter().map(|range| HeaderView {
            name: std::str::from_utf8(&self.bytes[range.name.clone()]).unwrap_or(""),
            value: &self.bytes[range.value.clone()],
        })
    }

    /// Returns the values of a header, as received.
    pub fn values<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.views()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value)
    }

    /// Returns the first value of a header as trimmed text.
    pub fn text(&self, name: &str) -> Option<&str> {
        let value = self.values(name).next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    fn has_many_options(&self) -> bool {
        let options = self
            .values("connection")
            .map(|value| memchr::memchr_iter(b',', value).count() + 1);
        options.sum::<usize>() > MAX_CONNECTION_OPTIONS
    }

    /// Writes the headers that are forwarded: all except the hop-by-hop headers and `dropped`.
    pub fn push_forwarded(&self, dropped: &[&str], out: &mut Vec<u8>) {
        for header in self.views() {
            let is_dropped = dropped
                .iter()
                .any(|name| header.name.eq_ignore_ascii_case(name));
            if is_dropped || self.is_hop_by_hop(header.name) {
                continue;
            }
            out.extend_from_slice(header.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(header.value);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Returns whether a header applies only to the connection that it was received on.
    fn is_hop_by_hop(&self, name: &str) -> bool {
        is_standard_hop_by_hop(name) || self.has_token("connection", name)
    }
}

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The headers.
    pub headers: HeaderBlock,
    method: Range<usize>,
    target: Range<usize>,
    /// How the body is framed.
    pub framing: BodyFraming,
    /// Whether the caller keeps the connection open.
    pub keeps_alive: bool,
    /// Whether the caller knows chunks, which HTTP/1.0 does not have.
    pub knows_chunks: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// The headers.
    pub headers: HeaderBlock,
    /// The status code.
    pub status: u16,
    reason: Range<usize>,
    /// How the body is framed.
    pub framing: BodyFraming,
    /// Whether the connection stays open after the answer.
    pub keeps_alive: bool,
}

/// The bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Searches for the end of a head that arrives in pieces, each byte about once.
#[derive(Debug, Default)]
pub struct HeadScan {
    searched: usize,
}

impl HeadScan {
    /// Returns the length of the head at the start of the buffer, if it is complete. The buffer is the one of
    /// the call before with more bytes at its end.
    pub fn head_len(&mut self, buffer: &[u8]) -> Option<usize> {
        let start = self.searched.min(buffer.len());
        let found = memchr::memmem::find(&buffer[start..], HEAD_END);
        self.searched = buffer.len().saturating_sub(HEAD_END.len() - 1);
        found.map(|at| start + at + HEAD_END.len())
    }
}

fn has_bare_line_feed(bytes: &[u8]) -> bool {
    memchr::memchr_iter(b'\n', bytes).any(|at| at == 0 || bytes[at - 1] != b'\r')
}

fn range_of(whole: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - whole.as_ptr() as usize;
    start..start + part.len()
}

fn ranges(whole: &[u8], headers: &[httparse::Header<'_>]) -> Vec<HeaderRange> {
    headers
        .iter()
        .map(|header| HeaderRange {
            name: range_of(whole, header.name.as_bytes()),
            value: range_of(whole, header.value),
        })
        .collect()
}

fn parse_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyHeaders,
        _ => HeadError::Malformed,
    }
}

/// Returns the length that the headers state, if they state one.
fn stated_length(block: &HeaderBlock) -> Result<Option<u64>, HeadError> {
    let mut lengths = block.values("content-length");
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    let is_number = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
    if lengths.next().is_some() || !is_number {
        return Err(HeadError::Framing);
    }
    let text = std::str::from_utf8(length).map_err(|_| HeadError::Framing)?;
    text.parse().map(Some).map_err(|_| HeadError::Framing)
}

/// Returns whether the body is sent in chunks.
fn is_chunked(block: &HeaderBlock) -> Result<bool, HeadError> {
    let mut codings = block.values("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
        return Err(HeadError::Framing);
    }
    Ok(true)
}

impl RequestHead {
    /// Parses a complete head.
    pub fn parse(bytes: Bytes) -> Result<Self, HeadError> {
        if has_bare_line_feed(&bytes) {
            return Err(HeadError::Malformed);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        request.parse(&bytes).map_err(parse_error)?;
        let (Some(method), Some(target), Some(minor)) =
            (request.method, request.path, request.version)
        else {
            return Err(HeadError::Malformed);
        };
        let method = range_of(&bytes, method.as_bytes());
        let target_range = range_of(&bytes, target.as_bytes());
        if !target.starts_with('/') {
            return Err(HeadError::Target);
        }
        let ranges = ranges(&bytes, request.headers);
        let block = HeaderBlock { bytes, ranges };
        let mut hosts = block.values("host");
        let host = hosts.next().unwrap_or(b"");
        if host.is_empty() || hosts.next().is_some() {
            return Err(HeadError::Host);
        }
        drop(hosts);
        if block.has_many_options() {
            return Err(HeadError::TooManyHeaders);
        }
        let framing = match (stated_length(&block)?, is_chunked(&block)?) {
            (Some(_), true) => return Err(HeadError::Framing),
            (_, true) if minor == 0 => return Err(HeadError::Framing),
            (None, true) => BodyFraming::Chunked,
            (Some(length), false) => BodyFraming::Length(length),
            (None, false) => BodyFraming::Length(0),
        };
        let keeps_alive = minor == 1 && !block.has_token("connection", "close");
        let expects_continue = block.has_token("expect", "100-continue");
        Ok(Self {
            headers: block,
            method,
            target: target_range,
            framing,
            keeps_alive,
            knows_chunks: minor == 1,
            expects_continue,
        })
    }

    /// Returns the method.
    pub fn method(&self) -> &str {
        std::str::from_utf8(&self.headers.bytes[self.method.clone()]).unwrap_or("")
    }

    /// Returns the path and the query, as received.
    pub fn target(&self) -> &str {
        std::str::from_utf8(&self.headers.bytes[self.target.clone()]).unwrap_or("")
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Returns the host without a port.
    pub fn host(&self) -> &str {
        let host = self.headers.text("host").unwrap_or("");
        host.split_once(':').map_or(host, |(name, _)| name)
    }
}

impl AnswerHead {
    /// Parses the complete head of an answer to a request with the given method.
    pub fn parse(bytes: Bytes, method: &str) -> Result<Self, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut answer = httparse::Response::new(&mut headers);
        answer.parse(&bytes).map_err(parse_error)?;
        let (Some(status), Some(minor)) = (answer.code, answer.version) else {
            return Err(HeadError::Malformed);
        };
        let reason = answer
            .reason
            .map_or(0..0, |reason| range_of(&bytes, reason.as_bytes()));
        let ranges = ranges(&bytes, answer.headers);
        let block = HeaderBlock { bytes, ranges };
        let length = stated_length(&block)?;
        let framing = if method == "HEAD" || status < 200 || status == 204 || status == 304 {
            BodyFraming::Length(0)
        } else {
            match (length, is_chunked(&block)?) {
                (Some(_), true) => return Err(HeadError::Framing),
                (None, true) => BodyFraming::Chunked,
                (Some(length), false) => BodyFraming::Length(length),
                (None, false) => BodyFraming::UntilClose,
            }
        };
        let keeps_alive = minor == 1
            && framing != BodyFraming::UntilClose
            && !block.has_token("connection", "close");
        Ok(Self {
            headers: block,
            status,
            reason,
            framing,
            keeps_alive,
        })
    }

    /// Returns the reason phrase.
    pub fn reason(&self) -> &str {
        std::str::from_utf8(&self.headers.bytes[self.reason.clone()]).unwrap_or("")
    }

    /// Returns how long the other side keeps the idle connection open, in seconds.
    pub fn idle_seconds(&self) -> Option<u64> {
        let value = self.headers.text("keep-alive")?;
        let timeout = value
            .split(',')
            .find_map(|item| item.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok()
    }
}
