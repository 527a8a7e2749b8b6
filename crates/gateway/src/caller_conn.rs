//! Serves one caller's connection: parses heads, enforces limits, finds routes, and handles one
//! request after another.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oleander_balance::ClientPhase;
use oleander_base::monotonic_now;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::client_body::{BodyEnd, read_body, skip_arrived_body};
use crate::client_budget::{ClientHold, EvictionCause};
use crate::client_io::linger;
use crate::client_turn::PipelinePace;
use crate::core::GatewayCore;
use crate::http::{
    ConnError, HeadError, HeadLimits, HttpConn, RequestHead, SocketBuffers, TcpTimeouts,
};
use crate::log_line::LineKind;
use crate::manifest::{CallerLimits, RouteRefusal};
use crate::port::{GatewayAnswer, RoutedCall};
use crate::prelude::*;
use crate::request::{RequestJob, RequestRun, retry_delay, write_gateway_answer};

/// The TCP timeouts of a caller's connection.
const CALLER_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    user_timeout: Span::from_secs(4),
    keepalive_interval: Span::from_secs(2),
};

/// The bytes that the kernel may hold for one connection, of requests that are not read and answers that are not taken.
const KERNEL_BYTES: usize =
    (SocketBuffers::CLIENT.receive_bytes + SocketBuffers::CLIENT.send_bytes) as usize;

/// The greatest number of connections beyond the limit that are answered with 503 at the same time. Further ones are
/// closed without an answer.
const MAX_TURNED_AWAY: usize = 32;

/// How long a connection that is turned away stays open, so that its caller can read the answer.
const TURNED_AWAY_TIME: Span = Span::from_millis(50);

/// The bytes that are still read after an answer that closes the connection, besides those of a legal body.
const LINGER_BYTES: usize = 256 * 1024;

/// The delay after which a caller may retry that was refused because the gateway is stopping.
const STOPPING_RETRY_DELAY: Span = Span::from_millis(20);

/// The answer to a request that is refused without an attempt.
struct Refusal {
    status: u16,
    reason: &'static str,
    retry_after: Option<Span>,
    closes: bool,
}

impl Refusal {
    fn closing(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            closes: true,
        }
    }

    fn keeping(status: u16, reason: &'static str) -> Self {
        Self {
            closes: false,
            ..Self::closing(status, reason)
        }
    }

    /// Refuses a request that the gateway has no room for, or cannot serve yet.
    fn overload(core: &GatewayCore, reason: &'static str) -> Self {
        Self {
            retry_after: Some(retry_delay(core)),
            ..Self::closing(503, reason)
        }
    }

    /// Returns the refusal of a request whose body was not read, unless the caller has left.
    fn of_body(core: &GatewayCore, end: BodyEnd) -> Option<Self> {
        let refusal = match end {
            BodyEnd::CallerLeft => return None,
            BodyEnd::TooLong => Self::closing(413, "the body is too long"),
            BodyEnd::TinyChunks => Self::closing(413, "the chunks of the body are too short"),
            BodyEnd::Paused => Self::closing(408, "the body did not come in time"),
            BodyEnd::TooSlow => Self::closing(408, "the body came too slowly"),
            BodyEnd::Malformed => Self::closing(400, "the body is malformed"),
            BodyEnd::Evicted(cause) => Self::overload(core, cause.reason()),
        };
        Some(refusal)
    }

    fn answer(&self, closes: bool) -> GatewayAnswer<'_> {
        GatewayAnswer {
            status: self.status,
            reason: self.reason,
            retry_after: self.retry_after,
            verdict: Verdict::NotRun,
            closes,
            is_cut_off: false,
        }
    }
}

/// What happens to the connection after a request.
enum NextStep {
    Continue,
    Close,
}

#[derive(Debug, Serialize)]
struct RefusedFields<'a> {
    id: &'a str,
    status: u16,
    verdict: Verdict,
    reason: &'a str,
    manifest: Option<u64>,
}

/// Increments a counter and decrements it when dropped.
struct CountGuard<'a>(&'a std::cell::Cell<usize>);

impl<'a> CountGuard<'a> {
    fn open(count: &'a std::cell::Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A caller's connection with its place and memory.
struct CallerConn {
    conn: HttpConn,
    hold: Rc<ClientHold>,
    pace: PipelinePace,
}

/// Serves a caller's connection until it closes.
pub(crate) async fn serve_caller(core: Rc<GatewayCore>, stream: TcpStream, hold: ClientHold) {
    let conn = match HttpConn::accept(stream, &CALLER_TIMEOUTS) {
        Ok(conn) => conn,
        Err(error) => {
            crate::internal_server::log_accept(&core, None, &error);
            return;
        }
    };
    core.metrics.record_connection("caller");
    let mut caller = CallerConn {
        conn,
        hold: Rc::new(hold),
        pace: PipelinePace::default(),
    };
    while let NextStep::Continue = serve_next(&core, &mut caller).await {
        if let NextStep::Close = end_turn(&core, &mut caller).await {
            return;
        }
    }
}

/// Answers a connection for which there is no place with 503, or closes it if many others get that answer now.
pub(crate) async fn turn_away(core: Rc<GatewayCore>, stream: TcpStream) {
    if core.turned_away.get() >= MAX_TURNED_AWAY {
        return;
    }
    let _count = CountGuard::open(&core.turned_away);
    let facts = CallFacts::default();
    let reason = EvictionCause::Places.reason();
    let refusal = Refusal::overload(&core, reason);
    core.metrics.record_refusal(reason);
    let mut out = Vec::new();
    let answer = refusal.answer(true);
    core.port.encode_gateway_answer(&facts, &answer, &mut out);
    // The caller may have left, or it gets no answer because it takes none at once.
    let _ = stream.try_write(&out);
    tokio::time::sleep(Duration::from(TURNED_AWAY_TIME)).await;
}

/// Gives the memory of a served request back and lets others have their turn.
async fn end_turn(core: &GatewayCore, caller: &mut CallerConn) -> NextStep {
    let CallerConn { conn, hold, pace } = caller;
    let is_pipelined = conn.has_message();
    pace.count(is_pipelined);
    let (phase, unread) = match is_pipelined {
        true => (ClientPhase::Receiving, KERNEL_BYTES),
        false => (ClientPhase::Idle, 0),
    };
    hold.enter(phase);
    if hold.resize(unread).is_err() {
        return NextStep::Close;
    }
    if !is_pipelined {
        return NextStep::Continue;
    }
    tokio::select! {
        biased;
        _ = hold.evicted() => NextStep::Close,
        () = pace.wait(&core.slowed) => NextStep::Continue,
    }
}

async fn serve_next(core: &Rc<GatewayCore>, caller: &mut CallerConn) -> NextStep {
    let idle_time = caller_limits(core).idle_time;
    if caller.conn.buffer.is_empty() && !wait_request(core, caller, idle_time).await {
        return NextStep::Close;
    }
    // The manifest may have changed while the connection was idle.
    let limits = caller_limits(core);
    let head_limits = HeadLimits {
        head_bytes: limits.head_bytes,
    };
    let read = tokio::select! {
        biased;
        cause = caller.hold.evicted() => {
            let refusal = Refusal::overload(core, cause.reason());
            return refuse(core, caller, &CallFacts::default(), &refusal).await;
        }
        read = timeout(
            Duration::from(limits.head_time),
            caller.conn.read_head(&head_limits),
        ) => read,
    };
    let started = monotonic_now();
    let bytes = match read {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ConnError::HeadTooLong)) => {
            return refuse_unread(core, caller, 431, "the head is too long").await;
        }
        Ok(Err(ConnError::BlankLines)) => {
            return refuse_unread(core, caller, 400, "the head is malformed").await;
        }
        Ok(Err(_)) => return NextStep::Close,
        Err(_) => return refuse_unread(core, caller, 408, "the head did not come in time").await,
    };
    let head = match RequestHead::parse(bytes) {
        Ok(head) => head,
        Err(HeadError::TooManyHeaders) => {
            return refuse_unread(core, caller, 431, "the head has too many headers").await;
        }
        Err(_) => return refuse_unread(core, caller, 400, "the head is malformed").await,
    };
    // A caller that sends another request has read the answer before it, so the usual timeout applies again. If this
    // call fails, the connection has failed, and the next read or write reports that.
    let _ = caller.conn.restore_user_timeout();
    let _count = CountGuard::open(&core.in_flight);
    serve_request(core, caller, head, started, &limits).await
}

fn caller_limits(core: &GatewayCore) -> CallerLimits {
    core.manifest()
        .map_or_else(CallerLimits::default, |manifest| manifest.limits)
}

/// Waits for the first byte of a request; returns false if the connection is to be closed.
async fn wait_request(core: &GatewayCore, caller: &mut CallerConn, idle: Span) -> bool {
    if core.shutdown.closes_idle_connections(monotonic_now()) {
        return false;
    }
    let CallerConn { conn, hold, .. } = caller;
    tokio::select! {
        biased;
        read = timeout(Duration::from(idle), conn.wait_message()) => matches!(read, Ok(Ok(()))),
        () = core.idle_close.notified() => false,
        _ = hold.evicted() => false,
    }
}

async fn refuse_unread(
    core: &Rc<GatewayCore>,
    caller: &mut CallerConn,
    status: u16,
    reason: &'static str,
) -> NextStep {
    let refusal = Refusal::closing(status, reason);
    refuse(core, caller, &CallFacts::default(), &refusal).await
}

async fn serve_request(
    core: &Rc<GatewayCore>,
    caller: &mut CallerConn,
    head: RequestHead,
    started: MonoTime,
    limits: &CallerLimits,
) -> NextStep {
    let facts = match core.port.decode_call(&head) {
        Ok(facts) => facts,
        Err(error) => {
            log_malformed(core, &error);
            return refuse_unread(core, caller, 400, "a header is malformed").await;
        }
    };
    let route = match find_route(core, &head, &facts) {
        Ok(route) => route,
        Err(mut refusal) => {
            refusal.closes |= !skip_arrived_body(&mut caller.conn, &head);
            return refuse(core, caller, &facts, &refusal).await;
        }
    };
    let read = read_body(&mut caller.conn, &caller.hold, &head, limits).await;
    let body = match read.map_err(|end| Refusal::of_body(core, end)) {
        Ok(body) => body,
        Err(Some(refusal)) => return refuse(core, caller, &facts, &refusal).await,
        Err(None) => return NextStep::Close,
    };
    // The gateway may have begun to stop while the body arrived.
    if let Err(refusal) = check_accepts(core, &route.routed, &facts) {
        return refuse(core, caller, &facts, &refusal).await;
    }
    if let Err(cause) = hold_unread(caller) {
        let refusal = Refusal::overload(core, cause.reason());
        return refuse(core, caller, &facts, &refusal).await;
    }
    caller.hold.enter(ClientPhase::Running);
    let job = route.job(head, facts, body, started, Rc::clone(&caller.hold));
    let result = RequestRun::serve(core, &mut caller.conn, &job).await;
    if result.keeps_alive {
        NextStep::Continue
    } else {
        NextStep::Close
    }
}

/// Counts what the kernel may hold of pipelined requests while one runs, unless the connection holds as much
/// already.
fn hold_unread(caller: &mut CallerConn) -> Result<(), EvictionCause> {
    let unread = KERNEL_BYTES;
    let held = caller.hold.bytes();
    if held >= unread || !caller.conn.has_message() {
        return Ok(());
    }
    caller.hold.resize(held + unread)
}

#[derive(Debug, Serialize)]
struct MalformedFields {
    reason: String,
}

fn log_malformed(core: &GatewayCore, error: &DecodeError) {
    core.log.request(
        "malformed",
        LineKind::Failure,
        "",
        MalformedFields {
            reason: error.to_string(),
        },
    );
}

/// The route of a request, by the manifest that was in force when its head came.
struct FoundRoute {
    routed: RoutedCall,
    manifest_version: u64,
}

impl FoundRoute {
    fn job(
        self,
        head: RequestHead,
        facts: CallFacts,
        body: Bytes,
        started: MonoTime,
        hold: Rc<ClientHold>,
    ) -> RequestJob {
        RequestJob {
            manifest_version: self.manifest_version,
            head,
            facts,
            routed: self.routed,
            body,
            started,
            hold,
        }
    }
}

fn refuse_stopping() -> Refusal {
    Refusal {
        retry_after: Some(STOPPING_RETRY_DELAY),
        ..Refusal::closing(503, "the gateway stops")
    }
}

/// Refuses a request that a stopping gateway may not be able to answer.
fn check_accepts(
    core: &GatewayCore,
    routed: &RoutedCall,
    facts: &CallFacts,
) -> Result<(), Refusal> {
    let route = &routed.route;
    let time_limit = facts
        .time_left
        .map_or(route.timeout, |left| left.min(route.timeout));
    let grace = core.settings().grace_time;
    let is_accepted = core
        .shutdown
        .accepts(route.repeat, time_limit, grace, monotonic_now());
    is_accepted.then_some(()).ok_or_else(refuse_stopping)
}

/// Finds the route of a request from its head alone, so that no body is read that nothing needs.
fn find_route(
    core: &GatewayCore,
    head: &RequestHead,
    facts: &CallFacts,
) -> Result<FoundRoute, Refusal> {
    if !core.shutdown.accepts_requests(monotonic_now()) {
        return Err(refuse_stopping());
    }
    let Some(manifest) = core.manifest() else {
        return Err(Refusal::overload(core, "no manifest is known yet"));
    };
    if facts.attempt_id.is_none() {
        return Err(Refusal::keeping(400, "the request has no id"));
    }
    let credential = facts.credential.as_deref();
    let routed = manifest
        .route(head.host(), head.path(), credential, core.random())
        .map_err(|refusal| match refusal {
            RouteRefusal::NoRoute => Refusal::keeping(404, "no route serves this path"),
            RouteRefusal::UnknownKey => Refusal::keeping(401, "the key is not known"),
        })?;
    if routed.route.repeat.is_stream() && !head.knows_chunks {
        // Without chunks the caller could not tell a stream that broke off from a whole one.
        return Err(Refusal::closing(505, "a stream needs HTTP/1.1"));
    }
    check_accepts(core, &routed, facts)?;
    Ok(FoundRoute {
        routed,
        manifest_version: manifest.version,
    })
}

async fn refuse(
    core: &Rc<GatewayCore>,
    caller: &mut CallerConn,
    facts: &CallFacts,
    refusal: &Refusal,
) -> NextStep {
    let id = facts.attempt_id.as_deref().unwrap_or("");
    core.metrics.record_refusal(refusal.reason);
    core.log.request(
        "refused",
        LineKind::Failure,
        id,
        RefusedFields {
            id,
            status: refusal.status,
            verdict: Verdict::NotRun,
            reason: refusal.reason,
            manifest: core.manifest().map(|manifest| manifest.version),
        },
    );
    let closes = refusal.closes || core.shutdown.is_stopping();
    let answer = refusal.answer(closes);
    let CallerConn { conn, hold, .. } = caller;
    if !write_gateway_answer(core, conn, hold, facts, &answer).await {
        return NextStep::Close;
    }
    if closes {
        // A refused body of legal length, or little more, is read to its end, so that its caller gets the refusal.
        let body_bytes = core
            .manifest()
            .map_or(0, |manifest| manifest.limits.body_bytes);
        linger_bounded(core, conn, hold, body_bytes + LINGER_BYTES).await;
        return NextStep::Close;
    }
    NextStep::Continue
}

/// Reads and drops what the caller still sends, so that it can read the refusal. Of the connections that have no place
/// or no memory any more, at most [`MAX_TURNED_AWAY`] stay open for that.
async fn linger_bounded(core: &GatewayCore, conn: &mut HttpConn, hold: &ClientHold, limit: usize) {
    // The kernel's buffer fills again as fast as it is read.
    if hold.resize(KERNEL_BYTES).is_ok() {
        linger(conn, hold, limit).await;
    } else if core.turned_away.get() < MAX_TURNED_AWAY {
        let _count = CountGuard::open(&core.turned_away);
        linger(conn, hold, limit).await;
    }
}
