//! Tells whether a backend server's process outlived the end of an answer that has neither a length nor chunks.
//!
//! Such an answer ends with its connection. When a process ends, its kernel closes its connections in the same way, so
//! the close alone does not tell a complete answer from a broken one. While such an answer is read, the gateway
//! therefore keeps an idle connection to the same backend server open, one for all such answers there, and watches it.
//! At the end of the answer the process is asked on that connection when it started: the one that the registry's entry
//! describes has outlived the answer if it replies.
//!
//! Some backend servers do not tell their start times. There the connections decide: those of a process that ends are
//! closed together, so that one that stays open shows that the process still runs. Where there was none, a new one that
//! is accepted is weaker evidence: another process may have taken the address (docs/PLATFORM.md, "Answers without a
//! frame").

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use oleander_balance::BackendKey;
use oleander_base::{FastMap, monotonic_now};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::client_budget::max_kept_connections;
use crate::conn_pool::IdleConn;
use crate::core::GatewayCore;
use crate::exchange::connect_backend;
use crate::http::IdleState;
use crate::prelude::*;
use crate::process_query::{ExpectedProcess, MetProcess, ProcessNeed, query_process};

/// How far apart the closes of one process's connections may be seen.
const CLOSE_SPREAD: Span = Span::from_millis(40);

/// The pause before another connection is opened after one that failed.
const REOPEN_DELAY: Span = Span::from_millis(500);

/// How soon after it was opened a connection is reset by a backend server that has too many.
const MAX_REFUSAL_TIME: Span = Span::from_millis(50);

/// The shortest time for which one idle connection is watched, however short the backend server's idle time is.
const MIN_WATCH_TIME: Span = Span::from_millis(800);

/// How many connections are tried to ask a process.
const MAX_LOST_QUERIES: usize = 3;

/// The pause before a process is asked on another connection. One that has too many accepts it once the answer's has
/// ended.
const QUERY_RETRY_DELAY: Span = Span::from_millis(20);

/// The evidence of a backend server's process at the end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndEvidence {
    /// The process that the registry's entry describes told its start time after the end.
    Told,
    /// Another process told its start time at the address.
    Replaced,
    /// An idle connection was open before the end and stayed open.
    StayedOpen,
    /// There was no idle connection before the end, and a new one was accepted.
    Accepted,
    /// An idle connection was closed together with the answer's.
    ClosedTogether,
    /// There was no idle connection, and no new one could be made.
    Unreachable,
}

impl EndEvidence {
    /// Returns whether the process counts as still running after the end, so that it ended the answer itself.
    pub(crate) fn is_alive(self) -> bool {
        matches!(self, Self::Told | Self::StayedOpen | Self::Accepted)
    }

    /// Returns the name for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Told => "told",
            Self::Replaced => "replaced",
            Self::StayedOpen => "stayed-open",
            Self::Accepted => "accepted",
            Self::ClosedTogether => "closed-together",
            Self::Unreachable => "unreachable",
        }
    }
}

/// When the connection of an answer ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionEnd {
    /// The earliest time at which the other side may have closed it. It is earlier than `seen_at` if the gateway did
    /// not read meanwhile.
    pub(crate) earliest: MonoTime,
    /// When the gateway saw it.
    pub(crate) seen_at: MonoTime,
}

/// The idle connection that is watched at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MonitorState {
    Opening,
    /// Open since this time.
    Open(MonoTime),
    Failed,
}

/// How the watch of one idle connection ended.
#[derive(Debug)]
enum WatchEnd {
    /// No answer needs it any more, and it is still idle.
    Released(IdleConn),
    /// It is replaced by another one, because it was closed or is about to be closed for having been idle.
    Replaced,
    /// It could not be opened, or was reset soon after, as by a backend server that has too many.
    Failed,
    /// An answer has ended, so that its process is to be asked on the connection.
    QueryDue(IdleConn),
}

/// The process that writes an answer, as the registry describes it.
#[derive(Debug, Clone)]
pub(crate) struct WatchedProcess {
    pub(crate) key: BackendKey,
    /// The id of the backend server.
    pub(crate) id: Arc<str>,
    pub(crate) address: SocketAddr,
    /// The start time; `None` if the entry names none.
    pub(crate) started_ms: Option<u64>,
}

/// What came of asking the process.
#[derive(Debug, Clone, Copy)]
struct QueryResult {
    met: MetProcess,
    /// The last end of an answer before it was asked.
    due_at: MonoTime,
    /// Since when the connection is known on which it was asked; absent if there was none.
    opened_at: Option<MonoTime>,
}

impl QueryResult {
    /// Returns whether the connection on which the process was asked was open before an answer's end.
    fn was_open_before(self, end: ConnectionEnd) -> bool {
        self.opened_at
            .is_some_and(|opened_at| opened_at <= end.earliest)
    }
}

/// Watches the process of one backend server, for as long as any answer needs that.
#[derive(Debug)]
struct ProcessMonitor {
    process: WatchedProcess,
    /// The number of answers that need it.
    users: Cell<usize>,
    state: Cell<MonitorState>,
    /// When an idle connection was last closed by the backend server.
    closed_at: Cell<Option<MonoTime>>,
    /// The last end of an answer after which the process is to be asked.
    due_at: Cell<Option<MonoTime>>,
    /// How many connections were lost before they brought an answer to the query that is due.
    lost_queries: Cell<usize>,
    result: Cell<Option<QueryResult>>,
    changed: Notify,
    woken: Notify,
}

impl ProcessMonitor {
    fn new(process: WatchedProcess) -> Self {
        Self {
            process,
            users: Cell::new(0),
            state: Cell::new(MonitorState::Opening),
            closed_at: Cell::new(None),
            due_at: Cell::new(None),
            lost_queries: Cell::new(0),
            result: Cell::new(None),
            changed: Notify::new(),
            woken: Notify::new(),
        }
    }

    /// Watches one connection after another until no answer needs the monitor.
    async fn run(&self, core: &Rc<GatewayCore>) {
        let mut asked = None;
        while self.users.get() > 0 {
            let end = match asked.take() {
                Some(idle) => self.watch(idle, MonoTime::default()).await,
                None => self.watch_next(core).await,
            };
            match end {
                WatchEnd::Released(idle) => asked = Some(idle),
                WatchEnd::Replaced => {}
                WatchEnd::Failed if self.due_at.get().is_some() => self.lose_query().await,
                WatchEnd::Failed => self.wait_reopen().await,
                WatchEnd::QueryDue(idle) => asked = self.query(core, idle).await,
            }
        }
        if let Some(idle) = asked {
            keep_idle(core, self.process.key, idle);
        }
    }

    /// Watches a connection out of the pool, or a new one.
    async fn watch_next(&self, core: &Rc<GatewayCore>) -> WatchEnd {
        self.set(MonitorState::Opening);
        let kept = take_idle(core, self.process.key);
        match kept {
            // It was accepted long before.
            Some(idle) => self.watch(idle, MonoTime::default()).await,
            None => self.watch_new(core).await,
        }
    }

    /// Asks the process on a connection, and returns it if it can be used further.
    async fn query(&self, core: &Rc<GatewayCore>, mut idle: IdleConn) -> Option<IdleConn> {
        let process = &self.process;
        let expected = ExpectedProcess {
            key: process.key,
            id: &process.id,
            address: process.address,
            started_ms: process.started_ms,
            need: ProcessNeed::Wanted,
        };
        let Some(due_at) = self.due_at.get() else {
            return Some(idle);
        };
        let met = query_process(core, &mut idle.conn, expected, None).await;
        if met == MetProcess::Lost {
            self.lose_query().await;
            return None;
        }
        self.end_query(met, due_at);
        (met != MetProcess::Silent).then_some(idle)
    }

    /// Notes that a connection was lost, or could not be made, while a query is due.
    async fn lose_query(&self) {
        self.lost_queries.set(self.lost_queries.get() + 1);
        if self.lost_queries.get() < MAX_LOST_QUERIES {
            sleep(Duration::from(QUERY_RETRY_DELAY)).await;
        } else {
            self.set(MonitorState::Failed);
            let due_at = self.due_at.get().unwrap_or_default();
            self.end_query(MetProcess::Lost, due_at);
        }
    }

    /// Ends the query that was due for the ends of answers up to a time. It shows nothing of later ends, for which
    /// another query is due.
    fn end_query(&self, met: MetProcess, due_at: MonoTime) {
        self.lost_queries.set(0);
        let opened_at = match self.state.get() {
            MonitorState::Open(opened_at) => Some(opened_at),
            MonitorState::Opening | MonitorState::Failed => None,
        };
        self.result.set(Some(QueryResult {
            met,
            due_at,
            opened_at,
        }));
        if self.due_at.get() == Some(due_at) {
            self.due_at.set(None);
        }
        self.changed.notify_waiters();
    }

    /// Returns what comes of asking the process after an answer has ended.
    async fn ask(&self) -> QueryResult {
        let ended_at = monotonic_now();
        self.due_at.set(Some(ended_at));
        self.woken.notify_one();
        loop {
            if let Some(result) = self.result.get()
                && result.due_at >= ended_at
            {
                return result;
            }
            self.changed.notified().await;
        }
    }

    /// Waits before another connection is opened after one that failed.
    async fn wait_reopen(&self) {
        self.set(MonitorState::Failed);
        tokio::select! {
            () = sleep(Duration::from(REOPEN_DELAY)) => {}
            () = self.wait_woken() => {}
        }
    }

    /// Opens a connection and watches it.
    async fn watch_new(&self, core: &Rc<GatewayCore>) -> WatchEnd {
        let Ok(conn) = connect_backend(core, self.process.address).await else {
            return WatchEnd::Failed;
        };
        let now = monotonic_now();
        let idle = core.pool.borrow().admit(self.process.key, conn, now);
        self.watch(idle, now + MAX_REFUSAL_TIME).await
    }

    /// Watches one connection until it ends, expires or is needed no more. A reset before `accepted_at` is a
    /// refusal; the kernel of a process that ends closes its connections in order.
    async fn watch(&self, idle: IdleConn, accepted_at: MonoTime) -> WatchEnd {
        let began_at = monotonic_now();
        // The watch of a connection goes on after a query.
        if !matches!(self.state.get(), MonitorState::Open(_)) {
            self.set(MonitorState::Open(began_at));
        }
        let left = idle.expires_at.since(began_at).max(MIN_WATCH_TIME);
        let mut expiry = pin!(sleep(Duration::from(left)));
        loop {
            tokio::select! {
                biased;
                _ = idle.conn.readable() => {}
                () = self.wait_woken() => {
                    return match self.users.get() {
                        0 => WatchEnd::Released(idle),
                        _ => WatchEnd::QueryDue(idle),
                    };
                }
                () = &mut expiry => return WatchEnd::Replaced,
            }
            let now = monotonic_now();
            match idle.conn.idle_state() {
                IdleState::Open => {}
                // Bytes that belong to no request say nothing of the process.
                IdleState::Unread => return WatchEnd::Replaced,
                IdleState::Reset if now < accepted_at => return WatchEnd::Failed,
                IdleState::Closed | IdleState::Reset => {
                    self.closed_at.set(Some(now));
                    return WatchEnd::Replaced;
                }
            }
        }
    }

    fn set(&self, state: MonitorState) {
        self.state.set(state);
        self.changed.notify_waiters();
    }

    async fn wait_opened(&self) {
        while self.state.get() == MonitorState::Opening {
            self.changed.notified().await;
        }
    }

    /// Waits until a query is due or no answer needs the monitor.
    async fn wait_woken(&self) {
        while self.users.get() > 0 && self.due_at.get().is_none() {
            self.woken.notified().await;
        }
    }

    /// Returns whether an idle connection was closed together with an answer's.
    fn closed_with(&self, end: ConnectionEnd) -> bool {
        let closed_at = self.closed_at.get();
        closed_at.is_some_and(|closed_at| closed_at + CLOSE_SPREAD >= end.earliest)
    }
}

/// Takes an idle connection out of the pool.
fn take_idle(core: &GatewayCore, key: BackendKey) -> Option<IdleConn> {
    core.pool.borrow_mut().take_idle(key, monotonic_now())
}

/// Gives an idle connection to the pool, unless the pool has as many as the process may keep.
fn keep_idle(core: &GatewayCore, key: BackendKey, idle: IdleConn) {
    let most = max_kept_connections(&core.settings());
    let mut pool = core.pool.borrow_mut();
    if pool.len() < most {
        pool.put_back(key, idle, monotonic_now());
    }
}

/// The monitors of the backend servers from which answers without a frame are read.
#[derive(Debug, Default)]
pub(crate) struct MonitorTable {
    by_backend: RefCell<FastMap<BackendKey, Rc<ProcessMonitor>>>,
}

impl MonitorTable {
    /// Returns the monitor of a backend server, which is spawned if there is none.
    fn monitor(&self, core: &Rc<GatewayCore>, process: WatchedProcess) -> Rc<ProcessMonitor> {
        let mut monitors = self.by_backend.borrow_mut();
        let key = process.key;
        if let Some(known) = monitors.get(&key) {
            return Rc::clone(known);
        }
        let monitor = Rc::new(ProcessMonitor::new(process));
        monitors.insert(key, Rc::clone(&monitor));
        let (core, spawned) = (Rc::clone(core), Rc::clone(&monitor));
        spawn_local(async move { spawned.run(&core).await });
        monitor
    }

    fn remove(&self, key: BackendKey) {
        self.by_backend.borrow_mut().remove(&key);
    }
}

/// Watches the process that writes one answer, until it is dropped.
#[derive(Debug)]
pub(crate) struct ProcessWatch {
    core: Rc<GatewayCore>,
    monitor: Rc<ProcessMonitor>,
}

impl ProcessWatch {
    /// Begins to watch a backend server's process.
    pub(crate) fn open(core: &Rc<GatewayCore>, process: WatchedProcess) -> Self {
        let monitor = core.monitors.monitor(core, process);
        monitor.users.set(monitor.users.get() + 1);
        Self {
            core: Rc::clone(core),
            monitor,
        }
    }

    /// Finds out whether the process outlived the end of its answer. The call is cancel-safe.
    pub(crate) async fn evidence(&self, end: ConnectionEnd) -> EndEvidence {
        if self.can_be_asked() {
            let result = self.monitor.ask().await;
            match result.met {
                MetProcess::Expected => return EndEvidence::Told,
                MetProcess::Other => return EndEvidence::Replaced,
                MetProcess::Untold => {}
                // The connections of a process that stands still stay open.
                MetProcess::Silent if result.was_open_before(end) => {
                    return EndEvidence::StayedOpen;
                }
                MetProcess::Silent | MetProcess::Lost => {
                    return match self.monitor.closed_with(end) {
                        true => EndEvidence::ClosedTogether,
                        false => EndEvidence::Unreachable,
                    };
                }
            }
        }
        self.connection_evidence(end).await
    }

    /// Returns whether the process may tell its start time.
    fn can_be_asked(&self) -> bool {
        let process = &self.monitor.process;
        let can_be_asked = self
            .core
            .with_backend(process.key, |state| state.process.can_be_asked());
        process.started_ms.is_some() && can_be_asked != Some(false)
    }

    /// Finds out by the connections alone whether the process outlived the end of its answer.
    async fn connection_evidence(&self, end: ConnectionEnd) -> EndEvidence {
        let until = end.seen_at + CLOSE_SPREAD;
        sleep(Duration::from(until.since(monotonic_now()))).await;
        let monitor = &self.monitor;
        monitor.wait_opened().await;
        if monitor.closed_with(end) {
            return EndEvidence::ClosedTogether;
        }
        if let MonitorState::Open(since) = monitor.state.get() {
            return match since <= end.earliest {
                true => EndEvidence::StayedOpen,
                false => EndEvidence::Accepted,
            };
        }
        match connect_backend(&self.core, monitor.process.address).await {
            Ok(conn) => {
                let pool = &self.core.pool;
                let idle = pool
                    .borrow()
                    .admit(monitor.process.key, conn, monotonic_now());
                keep_idle(&self.core, monitor.process.key, idle);
                EndEvidence::Accepted
            }
            Err(_) => EndEvidence::Unreachable,
        }
    }
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        let users = self.monitor.users.get() - 1;
        self.monitor.users.set(users);
        if users == 0 {
            self.core.monitors.remove(self.monitor.process.key);
            self.monitor.woken.notify_one();
        }
    }
}
