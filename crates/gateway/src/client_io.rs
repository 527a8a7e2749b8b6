//! Writes answers to clients and reads what they still send, within the bounds on memory and rate.

use std::io;
use std::time::Duration;

use oleander_balance::{ClientPhase, TransferPace};
use oleander_base::monotonic_now;
use tokio::time::timeout;

use crate::client_budget::{ClientHold, EvictionCause};
use crate::client_turn::WorkTurn;
use crate::http::HttpConn;
use crate::prelude::*;

/// How long bytes are still read after an answer that closes the connection.
const LINGER_TIME: Span = Span::from_millis(300);

/// Writes a whole message. What the client does not take at once counts towards the memory of its connection,
/// and a client that takes it too slowly, or that has to give way to others, is cut off.
pub(crate) async fn write_message(
    conn: &HttpConn,
    hold: &ClientHold,
    head: &[u8],
    body: &[u8],
) -> io::Result<()> {
    let length = head.len() + body.len();
    let mut written = conn.try_write_message(head, body)?;
    if written == length {
        return Ok(());
    }
    hold.enter(ClientPhase::Delivering);
    let held = hold.bytes();
    hold.resize(held + length).map_err(evicted)?;
    let pace = TransferPace::begin(monotonic_now());
    let mut turn = WorkTurn::default();
    while written < length {
        let left = pace.time_left(written, monotonic_now());
        let write = conn.write_some_message(head, body, written);
        let count = tokio::select! {
            biased;
            cause = hold.evicted() => return Err(evicted(cause)),
            wrote = timeout(Duration::from(left), write) => match wrote {
                Ok(wrote) => wrote?,
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            },
        };
        written += count;
        turn.count(count);
        turn.yield_if_used().await;
    }
    hold.enter(ClientPhase::Running);
    hold.resize(held).map_err(evicted)
}

fn evicted(cause: EvictionCause) -> io::Error {
    io::Error::other(cause.reason())
}

/// Reads and drops what the client still sends, up to `limit` bytes, after an answer that closes the
/// connection. Closing with unread bytes would reset the connection and could destroy the answer in transit.
pub(crate) async fn linger(conn: &mut HttpConn, hold: &ClientHold, limit: usize) {
    conn.shutdown_write().await;
    hold.enter(ClientPhase::Receiving);
    let was_evicted = hold.is_evicted();
    let drain = async {
        let mut dropped = conn.buffer.len();
        let mut turn = WorkTurn::default();
        conn.buffer.clear();
        while dropped < limit && conn.fill().await.is_ok() {
            dropped += conn.buffer.len();
            turn.count(conn.buffer.len());
            conn.buffer.clear();
            hold.share_bulk_rate(&mut turn).await;
        }
    };
    // Whether the client closed the connection or the time ran out, the connection ends here.
    let drain = timeout(Duration::from(LINGER_TIME), drain);
    tokio::select! {
        biased;
        _ = hold.evicted(), if !was_evicted => {}
        _ = drain => {}
    }
}
