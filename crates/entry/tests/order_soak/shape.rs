//! The answers of the engines of the soak, as functions of a request's name and its attempt id. The engines write
//! them and the checker knows them, so that neither has to tell the other.

use std::time::Duration;

/// How an answer's end is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Chunks.
    Chunked,
    /// The end of the connection.
    UntilClose,
    /// A length that is named first. Streams never have one.
    Length,
}

/// Returns a number that depends on each byte of the text.
fn hash(text: &str, salt: u64) -> u64 {
    let seed = 0xcbf2_9ce4_8422_2325 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let fold = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let mut mixed = text.bytes().fold(seed, fold);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}

/// Returns the number of events of a whole stream.
pub fn stream_length(name: &str) -> u64 {
    const SHORTEST: u64 = 8;
    const SPREAD: u64 = 60;
    SHORTEST + hash(name, 1) % SPREAD
}

/// Returns the pause before each piece of an answer.
pub fn pace(name: &str) -> Duration {
    const SHORTEST_MS: u64 = 2;
    const SPREAD_MS: u64 = 14;
    Duration::from_millis(SHORTEST_MS + hash(name, 2) % SPREAD_MS)
}

/// Returns how the end of a stream is marked.
pub fn stream_framing(attempt: &str) -> Framing {
    match hash(attempt, 3) % 2 {
        0 => Framing::UntilClose,
        _ => Framing::Chunked,
    }
}

/// Returns how the end of an answer that is no stream is marked.
pub fn body_framing(attempt: &str) -> Framing {
    match hash(attempt, 4) % 3 {
        0 => Framing::UntilClose,
        1 => Framing::Chunked,
        _ => Framing::Length,
    }
}

/// Returns whether the events of a stream are written in two parts each.
pub fn is_split(attempt: &str) -> bool {
    hash(attempt, 5).is_multiple_of(4)
}

/// Returns the number of events that are written at once.
pub fn batch(attempt: &str) -> u64 {
    1 + hash(attempt, 6) % 3
}

/// Returns the text of an event. It names its request, its number and the software version that wrote it.
pub fn event(name: &str, number: u64, version: &str) -> String {
    format!("id: {number}\ndata: {name} {number} {version}\n\n")
}

/// Returns the pieces of an answer that is no stream.
pub fn body_pieces(name: &str, version: &str) -> Vec<String> {
    const FEWEST: u64 = 2;
    const SPREAD: u64 = 5;
    let count = FEWEST + hash(name, 7) % SPREAD;
    let pieces = (1..=count).map(|number| format!("[{name} {number}/{count} {version}]"));
    pieces.collect()
}
