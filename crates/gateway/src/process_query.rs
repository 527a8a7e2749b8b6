//! Asks the process at the other end of a connection when it started.
//!
//! A connection leads to one process for its whole life, but a registry entry may still describe an earlier process at
//! the same address. The start time tells them apart. It is a time of the backend server's own clock, so it is only
//! compared for equality (docs/PLATFORM.md, "Software versions").

use std::net::SocketAddr;
use std::time::Duration;

use oleander_balance::{BackendKey, ProcessProof};
use oleander_base::monotonic_now;
use serde::Serialize;
use thiserror::Error;
use tokio::time::timeout;

use crate::core::GatewayCore;
use crate::http::{
    AnswerHead, ConnError, HeadError, HeadLimits, HttpConn, MAX_ANSWER_HEAD_BYTES,
    MAX_SHORT_ANSWER_BYTES,
};
use crate::log_line::LineKind;
use crate::prelude::*;
use crate::store_client::{StoreError, read_body};

/// The header that names the form of a body.
const CONTENT_TYPE: &str = "Content-Type";

/// The form of a stream of events, which is no report.
const EVENT_STREAM: &str = "text/event-stream";

/// How much a request needs the process that is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessNeed {
    /// Another one serves it as well, if that is known.
    Wanted,
    /// It must not reach another one.
    Required,
}

/// The process that a registry entry describes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExpectedProcess<'a> {
    pub(crate) key: BackendKey,
    /// The id of the backend server.
    pub(crate) id: &'a str,
    pub(crate) address: SocketAddr,
    /// Its start time by the entry; `None` if the entry names none.
    pub(crate) started_ms: Option<u64>,
    pub(crate) need: ProcessNeed,
}

/// The process that a connection leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MetProcess {
    /// The expected one.
    Expected,
    /// Another one, at the same address.
    Other,
    /// The backend server does not tell start times, in its answers or in its entry.
    Untold,
    /// The backend server replied without the start time, although processes of its software version tell
    /// theirs, or refused the query for the moment.
    Refused,
    /// Nothing came in time. The connection cannot be used any more.
    Silent,
    /// The connection was closed or reset.
    Ended,
    /// The connection brought what does not belong to the query.
    Lost,
}

impl MetProcess {
    /// Returns the name for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Expected => "expected",
            Self::Other => "other",
            Self::Untold => "untold",
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::Ended => "ended",
            Self::Lost => "lost",
        }
    }
}

#[derive(Debug, Serialize)]
struct QueryFields<'a> {
    /// The attempt for which the process was asked; absent after the end of answers.
    id: Option<&'a str>,
    backend: &'a str,
    expected_ms: Option<u64>,
    met_ms: Option<u64>,
    met: &'static str,
    /// Why the answer is of no use, if it is not.
    reason: Option<String>,
    /// The age of the connection.
    connected_ms: f64,
    took_ms: f64,
}

/// Why a process is not asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SkipReason {
    /// Its backend server replies to queries without a start time.
    Untold,
    /// Its backend server has not replied to the last queries, or has refused them for the moment.
    Unheard,
}

impl SkipReason {
    /// Returns the text for logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Untold => "it does not tell its start",
            Self::Unheard => "it has not answered the last queries",
        }
    }
}

#[derive(Debug, Serialize)]
struct SkipFields<'a> {
    /// The attempt for which the process is not asked.
    id: &'a str,
    backend: &'a str,
    expected_ms: Option<u64>,
    reason: &'static str,
}

/// The outcome of a query.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueryOutcome {
    pub(crate) met: MetProcess,
    /// Whether requests can be sent on the connection afterwards.
    pub(crate) is_reusable: bool,
}

/// A reply to a query.
#[derive(Debug, Clone, Copy)]
struct QueryReply {
    /// The start time of the process, if the reply names one.
    started_ms: Option<u64>,
    /// Whether the connection stays open after it.
    keeps_alive: bool,
}

/// Asks the process that a connection leads to, for an attempt if one needs it, and notes what its answer shows. The
/// query ends without one after `limit`, and needs no slot at the backend server.
pub(crate) async fn query_process(
    core: &GatewayCore,
    conn: &mut HttpConn,
    expected: ExpectedProcess<'_>,
    attempt_id: Option<&str>,
    limit: Span,
) -> QueryOutcome {
    let asked_at = monotonic_now();
    let reply = match expected.started_ms {
        Some(_) => ask(core, conn, expected.address, limit).await,
        None => Ok(QueryReply {
            started_ms: None,
            keeps_alive: true,
        }),
    };
    let met = met_process(core, expected, &reply);
    note_process(core, conn, expected.key, met, asked_at);
    core.metrics.record_process_query(met.as_str());
    let fields = QueryFields {
        id: attempt_id,
        backend: expected.id,
        expected_ms: expected.started_ms,
        met_ms: reply.as_ref().ok().and_then(|reply| reply.started_ms),
        met: met.as_str(),
        connected_ms: asked_at.since(conn.made_at).as_millis_f64(),
        took_ms: monotonic_now().since(asked_at).as_millis_f64(),
        reason: reply.as_ref().err().map(ToString::to_string),
    };
    log_query(core, met, fields);
    QueryOutcome {
        met,
        is_reusable: reply.is_ok_and(|reply| reply.keeps_alive),
    }
}

/// Returns the process that replied, or why that is not known.
fn met_process(
    core: &GatewayCore,
    expected: ExpectedProcess<'_>,
    reply: &Result<QueryReply, QueryError>,
) -> MetProcess {
    let error = match reply {
        Ok(reply) => {
            return match reply.started_ms {
                Some(_) if reply.started_ms == expected.started_ms => MetProcess::Expected,
                Some(_) => MetProcess::Other,
                None if counts_as_untold(core, expected.key) => MetProcess::Untold,
                None => MetProcess::Refused,
            };
        }
        Err(error) => error,
    };
    match error {
        QueryError::Refused(_) => MetProcess::Refused,
        QueryError::Connection(ConnError::Silent) => MetProcess::Silent,
        QueryError::Connection(ConnError::Closed | ConnError::Broken(_)) => MetProcess::Ended,
        QueryError::Stream => {
            core.fleet.borrow_mut().note_query_misread(expected.key);
            MetProcess::Lost
        }
        _ => MetProcess::Lost,
    }
}

/// Notes what a query showed of a backend server's process and of the connection.
fn note_process(
    core: &GatewayCore,
    conn: &mut HttpConn,
    key: BackendKey,
    met: MetProcess,
    asked_at: MonoTime,
) {
    let now = monotonic_now();
    match met {
        MetProcess::Expected => {
            conn.proof = ProcessProof::Expected;
            core.fleet.borrow_mut().note_start_told(key, asked_at);
        }
        MetProcess::Other => {
            conn.proof = ProcessProof::Other;
            core.fleet.borrow_mut().mark_replaced(key, now);
        }
        MetProcess::Silent | MetProcess::Refused => {
            core.with_backend(key, |state| state.process.on_unheard(asked_at, now));
        }
        MetProcess::Untold | MetProcess::Ended | MetProcess::Lost => {}
    }
}

fn log_query(core: &GatewayCore, met: MetProcess, fields: QueryFields<'_>) {
    let kind = match met {
        MetProcess::Expected => LineKind::Normal,
        _ => LineKind::Failure,
    };
    let attempt_id = fields.id.unwrap_or_default();
    core.log.request("process-asked", kind, attempt_id, fields);
}

/// Notes that a process is not asked for an attempt.
pub(crate) fn skip_query(
    core: &GatewayCore,
    expected: ExpectedProcess<'_>,
    attempt_id: &str,
    reason: SkipReason,
) {
    core.metrics.record_process_query("unasked");
    let fields = SkipFields {
        id: attempt_id,
        backend: expected.id,
        expected_ms: expected.started_ms,
        reason: reason.as_str(),
    };
    let kind = LineKind::Normal;
    core.log
        .request("process-unasked", kind, attempt_id, fields);
}

/// Notes that a backend server replied without its start time; returns whether it counts as one that never tells it.
fn counts_as_untold(core: &GatewayCore, key: BackendKey) -> bool {
    core.fleet.borrow_mut().note_start_untold(key)
}

/// Returns whether a status refuses a query for the moment only.
fn is_momentary(status: u16) -> bool {
    matches!(status, 408 | 429 | 502..=504)
}

/// Returns the reply of the process.
async fn ask(
    core: &GatewayCore,
    conn: &mut HttpConn,
    address: SocketAddr,
    limit: Span,
) -> Result<QueryReply, QueryError> {
    match timeout(Duration::from(limit), exchange(core, conn, address)).await {
        Ok(told) => told,
        Err(_) => Err(ConnError::Silent.into()),
    }
}

async fn exchange(
    core: &GatewayCore,
    conn: &mut HttpConn,
    address: SocketAddr,
) -> Result<QueryReply, QueryError> {
    let mut request = Vec::with_capacity(128);
    core.port.encode_process_query(address, &mut request);
    conn.write_all(&request).await.map_err(ConnError::Broken)?;
    let limits = HeadLimits {
        head_bytes: MAX_ANSWER_HEAD_BYTES,
    };
    let bytes = conn.read_head(&limits).await?;
    let head = AnswerHead::parse(bytes, "GET")?;
    let attempt_id = core.port.decode_answer(&head).attempt_id;
    if attempt_id.is_some_and(|id| !id.is_empty()) {
        return Err(QueryError::LateAnswer);
    }
    if head.headers.text(CONTENT_TYPE) == Some(EVENT_STREAM) {
        return Err(QueryError::Stream);
    }
    let body = read_body(conn, &head, MAX_SHORT_ANSWER_BYTES).await?;
    if is_momentary(head.status) {
        return Err(QueryError::Refused(head.status));
    }
    Ok(QueryReply {
        started_ms: core.port.decode_process_start(&head, &body),
        keeps_alive: head.keeps_alive,
    })
}

/// Why a query brought no answer, or none after which its connection can be used.
#[derive(Debug, Error)]
enum QueryError {
    #[error(transparent)]
    Connection(#[from] ConnError),
    #[error(transparent)]
    Head(#[from] HeadError),
    #[error(transparent)]
    Body(#[from] StoreError),
    /// The backend server took the query for a request.
    #[error("a stream of events came instead of a report")]
    Stream,
    /// The backend server refused the query for the moment.
    #[error("the query was refused with {0}")]
    Refused(u16),
    /// Another request's answer came instead.
    #[error("an answer to an earlier request came")]
    LateAnswer,
}
