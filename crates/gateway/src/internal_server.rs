//! The internal servers for readiness checks, metrics, a dump of the state, and the facts that
//! other gateways query.

use std::cell::Cell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::ClientPhase;
use oleander_base::monotonic_now;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, yield_now};
use tokio::time::timeout;

use crate::client_budget::{ClientBudget, ClientHold, ClientSide};
use crate::client_io::{linger, write_message};
use crate::client_turn::PipelinePace;
use crate::core::GatewayCore;
use crate::duty::{USAGE_PATH, UsageQuery, encode_usage};
use crate::http::{BodyFraming, HeadLimits, HttpConn, RequestHead, TcpTimeouts};
use crate::peer_facts::{FACTS_PATH, FactsQuery, encode_facts, hold_query};
use crate::prelude::*;

/// The longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 4 * 1024;

/// How long a connection may be idle.
const IDLE_LIMIT: Span = Span::from_secs(10);

/// The longest time from the first byte of a head to its end.
const HEAD_TIME: Span = Span::from_secs(3);

/// The bytes that are still read after an answer that closes the connection. No request here needs a body.
const LINGER_BYTES: usize = 256 * 1024;

/// The time between two pages of metrics or state. A page takes a millisecond and more to write.
const PAGE_INTERVAL: Span = Span::from_millis(20);

/// What an internal server serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerRole {
    /// Whether the gateway is ready for callers.
    Readiness,
    /// The metrics and the dump of the state.
    Metrics,
    /// The facts for other gateways.
    Control,
}

impl ServerRole {
    /// Returns the connections at the address with this role.
    fn clients(self, core: &GatewayCore) -> &Rc<ClientBudget> {
        let side = match self {
            Self::Readiness => ClientSide::Readiness,
            Self::Metrics => ClientSide::Metrics,
            Self::Control => ClientSide::Control,
        };
        core.internal_clients(side)
    }
}

struct InternalAnswer {
    status: &'static str,
    kind: &'static str,
    body: Vec<u8>,
}

/// Serves one address for as long as the process runs.
pub(crate) async fn run_internal_server(
    core: Rc<GatewayCore>,
    listener: TcpListener,
    role: ServerRole,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without a place the connection is closed at once.
                if let Some(hold) = role.clients(&core).admit(&core).await {
                    match HttpConn::accept(stream, &TcpTimeouts::default()) {
                        Ok(conn) => {
                            spawn_local(serve(Rc::clone(&core), conn, hold, role));
                        }
                        Err(error) => log_accept(&core, listener.local_addr().ok(), &error),
                    }
                }
                yield_now().await;
            }
            Err(error) => {
                log_accept(&core, listener.local_addr().ok(), &error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

#[derive(Debug, serde::Serialize)]
struct AcceptFields {
    address: Option<SocketAddr>,
    reason: String,
}

/// Logs a connection that could not be accepted.
pub(crate) fn log_accept(core: &GatewayCore, address: Option<SocketAddr>, error: &std::io::Error) {
    core.log.change(
        "accept-failed",
        AcceptFields {
            address,
            reason: error.to_string(),
        },
    );
}

/// What happens to a connection after a request.
enum NextStep {
    Continue,
    Close,
}

async fn serve(core: Rc<GatewayCore>, mut conn: HttpConn, hold: ClientHold, role: ServerRole) {
    let mut pace = PipelinePace::default();
    while let NextStep::Continue = serve_next(&core, &mut conn, &hold, role).await {
        let is_pipelined = conn.has_message();
        pace.count(is_pipelined);
        if is_pipelined {
            pace.wait(&core.slowed).await;
        }
    }
}

/// Serves one request. A client that disconnects, sends a malformed request or has to give way to another
/// one gets no answer and is expected to connect again.
async fn serve_next(
    core: &Rc<GatewayCore>,
    conn: &mut HttpConn,
    hold: &ClientHold,
    role: ServerRole,
) -> NextStep {
    let Some(head) = read_head(conn, hold).await else {
        return NextStep::Close;
    };
    // A query of another gateway whose answer waits for a change costs as little as an idle connection.
    hold.enter(match role {
        ServerRole::Control => ClientPhase::Idle,
        ServerRole::Readiness | ServerRole::Metrics => ClientPhase::Receiving,
    });
    let is_due = tokio::select! {
        biased;
        _ = hold.evicted() => false,
        () = wait_due(core, &head, role) => true,
    };
    if !is_due {
        return NextStep::Close;
    }
    hold.enter(ClientPhase::Running);
    let answer = answer(core, &head, role);
    // A body is not read, so nothing can follow it on this connection.
    let has_body = head.framing != BodyFraming::Length(0);
    let connection = match has_body {
        true => "Connection: close\r\n",
        false => "",
    };
    let out = format!(
        "HTTP/1.1 {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{connection}\r\n",
        answer.status,
        answer.kind,
        answer.body.len()
    );
    let written = write_message(conn, hold, out.as_bytes(), &answer.body).await;
    if has_body && written.is_ok() {
        linger(conn, hold, LINGER_BYTES).await;
        return NextStep::Close;
    }
    if written.is_err() || !head.keeps_alive {
        return NextStep::Close;
    }
    hold.enter(ClientPhase::Idle);
    NextStep::Continue
}

async fn read_head(conn: &mut HttpConn, hold: &ClientHold) -> Option<RequestHead> {
    let limits = HeadLimits {
        head_bytes: MAX_HEAD_BYTES,
    };
    let read = async {
        let first = timeout(Duration::from(IDLE_LIMIT), conn.wait_message()).await;
        first.ok()?.ok()?;
        let head = timeout(Duration::from(HEAD_TIME), conn.read_head(&limits)).await;
        head.ok()?.ok()
    };
    let bytes = tokio::select! {
        biased;
        _ = hold.evicted() => None,
        bytes = read => bytes,
    };
    RequestHead::parse(bytes?).ok()
}

/// Waits until a request may be answered.
async fn wait_due(core: &GatewayCore, head: &RequestHead, role: ServerRole) {
    match (role, head.path()) {
        (ServerRole::Control, FACTS_PATH) => {
            hold_query(core, FactsQuery::parse(head.target())).await;
        }
        (ServerRole::Metrics, _) => core.page_pace.wait().await,
        _ => {}
    }
}

/// Spaces the pages of metrics and state, which are asked for by any number of connections.
#[derive(Debug)]
pub(crate) struct PagePace {
    turn: Semaphore,
    next: Cell<MonoTime>,
}

impl Default for PagePace {
    fn default() -> Self {
        Self {
            turn: Semaphore::new(1),
            next: Cell::default(),
        }
    }
}

impl PagePace {
    /// Waits until the next page may be written.
    async fn wait(&self) {
        let _turn = self.turn.acquire().await;
        let left = self.next.get().since(monotonic_now());
        if left > Span::ZERO {
            tokio::time::sleep(Duration::from(left)).await;
        }
        self.next.set(monotonic_now() + PAGE_INTERVAL);
    }
}

fn answer(core: &GatewayCore, head: &RequestHead, role: ServerRole) -> InternalAnswer {
    match (role, head.path()) {
        (ServerRole::Readiness, _) if core.is_ready() => text("200 OK", "ready\n".to_owned()),
        (ServerRole::Readiness, _) => text("503 Service Unavailable", "not ready\n".to_owned()),
        (ServerRole::Metrics, "/metrics") => match core.metrics.text(&core.gauges()) {
            Ok(body) => text("200 OK", body),
            Err(error) => text("500 Internal Server Error", error),
        },
        (ServerRole::Metrics, "/dump") => text("200 OK", dump(core)),
        (ServerRole::Control, FACTS_PATH) => InternalAnswer {
            status: "200 OK",
            kind: "application/json",
            body: encode_facts(core, FactsQuery::parse(head.target())),
        },
        (ServerRole::Control, USAGE_PATH) => InternalAnswer {
            status: "200 OK",
            kind: "application/json",
            body: encode_usage(core, UsageQuery::parse(head.target())),
        },
        _ => text("404 Not Found", "no such page\n".to_owned()),
    }
}

fn text(status: &'static str, body: String) -> InternalAnswer {
    InternalAnswer {
        status,
        kind: "text/plain; version=0.0.4",
        body: body.into_bytes(),
    }
}

/// Returns the state of the gateway as readable text.
fn dump(core: &GatewayCore) -> String {
    let mut out = String::new();
    let now = monotonic_now();
    let gauges = core.gauges();
    let _ = writeln!(out, "{gauges:#?}");
    let _ = writeln!(out, "gateways: {}", core.gateway_count());
    let fleet = core.fleet.borrow();
    for (key, member) in fleet.members() {
        let _ = writeln!(
            out,
            "{key} {} {} {} {:?} own {} unread {:.0} open {} lapsed {}",
            member.entry.id,
            member.entry.service,
            member.entry.address,
            member.entry.phase,
            member.state.own_running,
            member.state.own_prefill,
            member.state.is_open(now),
            member.lapsed_at.is_some(),
        );
    }
    out
}
