//! Sends one request to a backend server and reads the answer up to the end of its head.
//!
//! The outcome states what is known. A send that never left this process, or that the backend
//! server says it did not run, has not run. One that left and got no answer may have run.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::{BackendKey, ProcessLink};
use oleander_base::monotonic_now;
use thiserror::Error;
use tokio::time::timeout;

use crate::client_budget::max_kept_connections;
use crate::core::GatewayCore;
use crate::http::{
    AnswerHead, BodyError, BodyFraming, BodyPiece, BodyReader, ByteBound, ConnError, HeadError,
    HeadLimits, HttpConn, MAX_ANSWER_HEAD_BYTES, MAX_INTERIM_ANSWERS, TcpTimeouts,
};
use crate::late_answers::SkippedAnswers;
use crate::liveness::{ConnectionEnd, EndEvidence, ProcessWatch};
use crate::prelude::*;
use crate::process_monitor::WatchedProcess;
use crate::process_query::{
    ExpectedProcess, MetProcess, ProcessNeed, SkipReason, query_process, skip_query,
};

/// The timeout of connecting to a backend server or another gateway.
const CONNECT_TIMEOUT: Span = Span::from_millis(300);

/// How long a process may take to tell its start time before a request is sent elsewhere.
const SEND_QUERY_TIMEOUT: Span = Span::from_millis(500);

/// How many connections' processes are asked for one send. An answer to an earlier request may come on a kept one.
const MAX_QUERIES: usize = 2;

/// Why a stream does not go on at a backend server that does not tell its start time.
const DOUBTFUL_PROCESS: &str = "the backend server's process may have ended";

/// Why a request is not sent to a process that did not tell its start time for the moment.
const REFUSED_QUERY: &str = "the backend server refused to tell when its process started";

/// Why a request is not sent to a process that may be another one.
const LOST_QUERIES: &str = "connections ended before the process told its start time";

/// Why a send got no answer.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// No byte of the request left this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No byte of the request left this process, because no connection could be made.
    #[error("not reached: {0}")]
    NotReached(String),
    /// No byte of the request left this process, because the registry's entry describes another process than the one
    /// at its address.
    #[error("not sent: another process at its address")]
    OtherProcess,
    /// No byte of the request left this process, because the process at the address did not tell its start time.
    #[error("not sent: the process at its address says nothing")]
    SilentProcess,
    /// The request left this process, and the connection brought no answer to it.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The request left this process, and no answer came in time.
    #[error("no answer: no answer in time")]
    TimedOut,
}

impl SendError {
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_) | Self::NotReached(_) | Self::OtherProcess | Self::SilentProcess => {
                Verdict::NotRun
            }
            Self::Unanswered(_) | Self::TimedOut => Verdict::MayHaveRun,
        }
    }
}

/// An answer whose head was received.
#[derive(Debug)]
pub(crate) struct Exchange {
    conn: HttpConn,
    /// The backend server; absent if another gateway answers.
    key: Option<BackendKey>,
    reader: BodyReader,
    is_reusable: bool,
    /// The relation of its process to the registry's entry when the request was sent.
    link: ProcessLink,
    end_check: EndCheck,
    /// When the last read ended for which the gateway had to wait.
    waited_until: MonoTime,
    ended: Option<ConnectionEnd>,
    evidence: Option<EndEvidence>,
    pub(crate) head: AnswerHead,
    pub(crate) facts: AnswerFacts,
}

/// How the end of an answer is confirmed that ends with its connection.
#[derive(Debug)]
enum EndCheck {
    /// The body has a frame, or is not delivered.
    None,
    /// The process that writes the answer has to outlive it.
    Process(ProcessWatch),
    /// Other gateways frame all answers, so that such an end is a break.
    AlwaysBroken,
}

/// The destination and the bytes of one send.
#[derive(Debug)]
pub(crate) struct SendPlan<'a> {
    /// The backend server; absent if the request is relayed to another gateway.
    pub(crate) key: Option<BackendKey>,
    pub(crate) address: SocketAddr,
    pub(crate) method: &'a str,
    pub(crate) attempt_id: &'a str,
    pub(crate) head: &'a [u8],
    pub(crate) body: &'a [u8],
    /// The process that is asked who it is before the request is sent; absent if none is asked.
    pub(crate) asked: Option<ExpectedProcess<'a>>,
    /// Is set when the request has left this process.
    pub(crate) is_written: &'a Cell<bool>,
}

impl Exchange {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        core: &Rc<GatewayCore>,
        plan: &SendPlan<'_>,
    ) -> Result<Self, SendError> {
        let OpenedConn { mut conn, is_kept } = open_asked(core, plan).await?;
        if plan.key.is_some_and(|key| core.refuses_sends(key)) {
            let reason = "the backend server has asked for no requests meanwhile";
            return Err(SendError::NotSent(reason.to_owned()));
        }
        let link = core.process_link(plan.key, &conn);
        let sent_at = monotonic_now();
        let wrote_all = write_request(&conn, plan).await?;
        plan.is_written.set(true);
        let mut skipped = SkippedAnswers::default();
        loop {
            let (head, facts) = read_answer_head(core, &mut conn, plan.method).await?;
            if let Some(key) = plan.key {
                core.apply_backpressure(key, plan.attempt_id, &facts);
            }
            let reader = BodyReader::open(head.framing);
            // An answer without an id may be another one to an earlier request on a kept connection.
            let is_ours = match &facts.attempt_id {
                Some(id) => **id == *plan.attempt_id,
                None => skipped.is_empty() && !is_kept,
            };
            if is_ours {
                if let (Some(key), ProcessLink::Proven) = (plan.key, link) {
                    core.with_backend(key, |state| state.process.confirm(sent_at));
                }
                let has_attempt_id = facts.attempt_id.is_some();
                return Ok(Self {
                    is_reusable: head.keeps_alive
                        && wrote_all
                        && has_attempt_id
                        && skipped.is_empty(),
                    conn,
                    key: plan.key,
                    reader,
                    link,
                    end_check: EndCheck::None,
                    waited_until: monotonic_now(),
                    ended: None,
                    evidence: None,
                    head,
                    facts,
                });
            }
            // This is a late answer to an earlier request on this connection; the expected one
            // follows it.
            skipped.skip(core, &mut conn, reader).await?;
        }
    }

    /// Begins to watch the process that writes the answer, if nothing but the end of the connection will end it.
    ///
    /// This is for answers that are delivered. The end of a body that is dropped needs no evidence.
    pub(crate) fn watch_process(
        &mut self,
        core: &Rc<GatewayCore>,
        process: Option<WatchedProcess>,
    ) {
        if self.head.framing == BodyFraming::UntilClose {
            self.end_check = match process {
                Some(process) => EndCheck::Process(ProcessWatch::open(core, process)),
                None => EndCheck::AlwaysBroken,
            };
        }
    }

    /// Returns what is known of the process at the end of an answer without a frame.
    pub(crate) fn end_evidence(&self) -> Option<EndEvidence> {
        self.evidence
    }

    /// Returns the relation of the process that writes the answer to the one that the registry's entry describes.
    pub(crate) fn process_link(&self, core: &GatewayCore) -> ProcessLink {
        match self.link {
            // A connection leads to one process for its whole life.
            ProcessLink::Proven => ProcessLink::Proven,
            _ => core.process_link(self.key, &self.conn),
        }
    }

    /// Returns when the connection was made.
    pub(crate) fn made_at(&self) -> MonoTime {
        self.conn.made_at
    }

    /// Returns when bytes last arrived that the gateway had waited for.
    pub(crate) fn arrived_at(&self) -> MonoTime {
        self.waited_until
    }

    /// Returns the next piece of the body, waiting for more bytes instead of returning `NeedsMore`.
    pub(crate) async fn next(&mut self) -> Result<BodyPiece, ConnError> {
        loop {
            let piece = self.reader.next(&mut self.conn.buffer);
            match piece.map_err(broken_body)? {
                BodyPiece::NeedsMore => match self.fill().await {
                    Ok(()) => {}
                    Err(ConnError::Closed) => {
                        self.is_reusable = false;
                        self.confirm_end().await?;
                        self.reader.on_eof().map_err(broken_body)?;
                    }
                    Err(error) => return Err(error),
                },
                piece => return Ok(piece),
            }
        }
    }

    /// Reads more bytes, and notes whether they had already arrived.
    async fn fill(&mut self) -> Result<(), ConnError> {
        if self.conn.fill_arrived()? {
            return Ok(());
        }
        let filled = self.conn.fill().await;
        self.waited_until = monotonic_now();
        filled
    }

    /// Confirms that the end of the connection is the end of the answer.
    async fn confirm_end(&mut self) -> Result<(), ConnError> {
        let watch = match &self.end_check {
            EndCheck::None => return Ok(()),
            EndCheck::AlwaysBroken => return Err(ConnError::Closed),
            EndCheck::Process(watch) => watch,
        };
        let end = *self.ended.get_or_insert(ConnectionEnd {
            earliest: self.waited_until,
            seen_at: monotonic_now(),
        });
        let evidence = watch.evidence(end).await;
        self.evidence = Some(evidence);
        match evidence {
            _ if evidence.is_alive() => Ok(()),
            EndEvidence::Silent => Err(ConnError::UnconfirmedEnd),
            _ => Err(ConnError::ProcessEnded),
        }
    }

    /// Returns why the body is given up if nothing more of it came in time.
    pub(crate) fn on_silence(&mut self) -> ConnError {
        if self.ended.is_none() {
            return ConnError::Silent;
        }
        self.evidence = Some(EndEvidence::Silent);
        ConnError::UnconfirmedEnd
    }

    /// Keeps the connection for reuse if the answer was read completely and nothing follows it.
    pub(crate) fn finish(self, core: &GatewayCore) {
        let Some(key) = self.key else {
            return;
        };
        if !self.is_reusable || !self.reader.is_done() || !self.conn.is_idle() {
            return;
        }
        if core.pool.borrow().len() >= max_kept_connections(&core.settings()) {
            return;
        }
        let idle = self.head.idle_seconds().map(Span::from_secs);
        let now = monotonic_now();
        core.pool.borrow_mut().put(key, self.conn, idle, now);
    }
}

fn broken_body(error: BodyError) -> ConnError {
    match error {
        BodyError::OverBound(bound) => ConnError::OverBound(bound),
        BodyError::BadChunk | BodyError::Cut => {
            ConnError::Broken(std::io::Error::other(error.to_string()))
        }
    }
}

pub(crate) fn unanswered(error: &dyn std::fmt::Display) -> SendError {
    SendError::Unanswered(error.to_string())
}

pub(crate) fn over_bound(core: &GatewayCore, bound: ByteBound) -> SendError {
    core.metrics.record_bound(bound);
    unanswered(&bound)
}

/// A connection for one request.
#[derive(Debug)]
struct OpenedConn {
    conn: HttpConn,
    /// Whether earlier requests were sent on it.
    is_kept: bool,
}

/// Opens a connection, and asks the process that it leads to who it is if the plan says so and that is not known.
async fn open_asked(core: &GatewayCore, plan: &SendPlan<'_>) -> Result<OpenedConn, SendError> {
    let Some(expected) = plan.asked else {
        return open_conn(core, plan).await;
    };
    for _ in 0..MAX_QUERIES {
        let mut opened = open_conn(core, plan).await?;
        let met = meet_process(core, &mut opened.conn, expected, plan.attempt_id).await;
        let Some(met) = met else {
            return Ok(opened);
        };
        match met {
            MetProcess::Ended | MetProcess::Lost => {}
            MetProcess::Silent => return Err(SendError::SilentProcess),
            MetProcess::Refused => return Err(SendError::NotSent(REFUSED_QUERY.to_owned())),
            MetProcess::Expected => return Ok(opened),
            MetProcess::Untold if core.takes_resumes(expected.key) => return Ok(opened),
            _ if expected.need == ProcessNeed::Wanted => return Ok(opened),
            MetProcess::Untold => return Err(SendError::NotSent(DOUBTFUL_PROCESS.to_owned())),
            MetProcess::Other => return Err(SendError::OtherProcess),
        }
    }
    Err(SendError::NotSent(LOST_QUERIES.to_owned()))
}

/// Returns the process that a connection leads to, which is asked unless that is known. It is absent if nothing tells and
/// the request may reach any process.
async fn meet_process(
    core: &GatewayCore,
    conn: &mut HttpConn,
    expected: ExpectedProcess<'_>,
    attempt_id: &str,
) -> Option<MetProcess> {
    let process = core.with_backend(expected.key, |state| state.process);
    let process = process.unwrap_or_default();
    if process.link(conn.proof, conn.made_at) == ProcessLink::Proven {
        return Some(MetProcess::Expected);
    }
    if !process.can_be_asked() {
        skip_query(core, expected, attempt_id, SkipReason::Untold);
        return Some(MetProcess::Untold);
    }
    if expected.need == ProcessNeed::Wanted && process.begins_unasked(monotonic_now()) {
        skip_query(core, expected, attempt_id, SkipReason::Unheard);
        return None;
    }
    let asked = query_process(core, conn, expected, Some(attempt_id), SEND_QUERY_TIMEOUT).await;
    Some(match asked.met {
        MetProcess::Expected | MetProcess::Other | MetProcess::Untold if !asked.is_reusable => {
            MetProcess::Lost
        }
        met => met,
    })
}

async fn open_conn(core: &GatewayCore, plan: &SendPlan<'_>) -> Result<OpenedConn, SendError> {
    if let Some(suspended) = core.suspend.detect() {
        core.log.change("suspended", SuspendFields::new(suspended));
        core.pool.borrow_mut().clear();
    }
    let opened = match plan.key {
        Some(key) => {
            let kept = core.pool.borrow_mut().take(key, monotonic_now());
            if let Some(conn) = kept {
                return Ok(OpenedConn {
                    conn,
                    is_kept: true,
                });
            }
            connect_backend(core, plan.address).await
        }
        None => connect_gateway(core, plan.address).await,
    };
    let conn = opened.map_err(|error| SendError::NotReached(error.to_string()))?;
    Ok(OpenedConn {
        conn,
        is_kept: false,
    })
}

/// Connects to a backend server.
pub(crate) async fn connect_backend(
    core: &GatewayCore,
    address: SocketAddr,
) -> io::Result<HttpConn> {
    core.metrics.record_connection("backend");
    let conn = connect(address, &TcpTimeouts::BACKEND).await?;
    core.reach.on_connected(core);
    Ok(conn)
}

/// Connects to another gateway.
pub(crate) async fn connect_gateway(
    core: &GatewayCore,
    address: SocketAddr,
) -> io::Result<HttpConn> {
    core.metrics.record_connection("gateway");
    connect(address, &TcpTimeouts::default()).await
}

async fn connect(address: SocketAddr, limits: &TcpTimeouts) -> io::Result<HttpConn> {
    let connect = HttpConn::connect(address, limits);
    let in_time = timeout(Duration::from(CONNECT_TIMEOUT), connect).await;
    let late = || io::Error::new(io::ErrorKind::TimedOut, "no connection in time");
    let conn = in_time.unwrap_or_else(|_| Err(late()))?;
    conn.reset_on_close()?;
    Ok(conn)
}

#[derive(Debug, serde::Serialize)]
struct SuspendFields {
    slept_ms: f64,
}

impl SuspendFields {
    fn new(suspended: Span) -> Self {
        Self {
            slept_ms: suspended.as_millis_f64(),
        }
    }
}

/// Writes the request; returns false if an answer began to arrive before all of it was written.
async fn write_request(conn: &HttpConn, plan: &SendPlan<'_>) -> Result<bool, SendError> {
    let mut written = 0;
    while written < plan.head.len() + plan.body.len() {
        tokio::select! {
            biased;
            wrote = conn.write_some_message(plan.head, plan.body, written) => match wrote {
                Ok(count) => written += count,
                Err(error) if written == 0 => return Err(SendError::NotSent(error.to_string())),
                Err(error) => return Err(unanswered(&error)),
            },
            _ = conn.readable(), if written > 0 => return Ok(false),
        }
    }
    Ok(true)
}

async fn read_answer_head(
    core: &GatewayCore,
    conn: &mut HttpConn,
    method: &str,
) -> Result<(AnswerHead, AnswerFacts), SendError> {
    let limits = HeadLimits {
        head_bytes: MAX_ANSWER_HEAD_BYTES,
    };
    for _ in 0..=MAX_INTERIM_ANSWERS {
        let bytes = conn.read_head(&limits).await.map_err(|error| match error {
            ConnError::HeadTooLong => over_bound(core, ByteBound::Head),
            error => unanswered(&error),
        })?;
        let head =
            AnswerHead::parse(bytes, method).map_err(|error: HeadError| unanswered(&error))?;
        if head.status >= 200 {
            let facts = core.port.decode_answer(&head);
            return Ok((head, facts));
        }
    }
    Err(over_bound(core, ByteBound::InterimAnswers))
}
