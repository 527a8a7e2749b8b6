//! Watches the processes of backend servers while answers without a frame are read from them.
//!
//! One idle connection is kept open for all such answers of one backend server. It shows when the process ends, and the
//! process is asked on it after the end of an answer ([`crate::liveness`]).

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
use crate::liveness::{CLOSE_SPREAD, ConnectionEnd};
use crate::prelude::*;
use crate::process_query::{ExpectedProcess, MetProcess, ProcessNeed, query_process};

/// The pause before another connection is opened after one that failed.
const REOPEN_DELAY: Span = Span::from_millis(500);

/// How soon after it was opened a connection is reset by a backend server that has too many.
const MAX_REFUSAL_TIME: Span = Span::from_millis(50);

/// The shortest time for which one idle connection is watched, however short the backend server's idle time is.
const MIN_WATCH_TIME: Span = Span::from_millis(800);

/// How long a process may take to tell its start time after the end of an answer. A sound one may stand still for a second
/// or so.
pub(crate) const END_QUERY_TIMEOUT: Span = Span::from_secs(2);

/// How many connections are tried to ask a process.
const MAX_LOST_QUERIES: usize = 3;

/// The pause before a process is asked on another connection. One that has too many accepts it once the answer's has
/// ended.
const QUERY_RETRY_DELAY: Span = Span::from_millis(20);

/// The idle connection that is watched at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MonitorState {
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

/// The result of asking the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueryResult {
    pub(crate) met: MetProcess,
    /// The last end of an answer before it was asked.
    due_at: MonoTime,
    /// Since when the connection is known on which it was asked; absent if there was none.
    opened_at: Option<MonoTime>,
}

impl QueryResult {
    /// Returns whether the connection on which the process was asked was open before an answer's end.
    pub(crate) fn was_open_before(self, end: ConnectionEnd) -> bool {
        self.opened_at
            .is_some_and(|opened_at| opened_at <= end.earliest)
    }
}

/// Watches the process of one backend server, for as long as any answer needs that.
#[derive(Debug)]
pub(crate) struct ProcessMonitor {
    pub(crate) process: WatchedProcess,
    /// The number of answers that need it.
    users: Cell<usize>,
    state: Cell<MonitorState>,
    /// Until when a reset of the watched connection is a refusal.
    accepted_at: Cell<MonoTime>,
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
            users: Cell::new(1),
            state: Cell::new(MonitorState::Opening),
            accepted_at: Cell::new(MonoTime::default()),
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
        let may_reply = core.with_backend(process.key, |state| state.process.may_reply());
        if may_reply == Some(false) {
            self.end_query(MetProcess::Lost, due_at);
            return Some(idle);
        }
        let asked = query_process(core, &mut idle.conn, expected, None, END_QUERY_TIMEOUT).await;
        match asked.met {
            MetProcess::Ended => self.note_close(monotonic_now()),
            MetProcess::Lost => {}
            met => {
                self.end_query(met, due_at);
                return asked.is_reusable.then_some(idle);
            }
        }
        self.lose_query().await;
        None
    }

    /// Notes that the watched connection was closed or reset, unless that was a refusal.
    fn note_close(&self, now: MonoTime) {
        if now >= self.accepted_at.get() {
            self.closed_at.set(Some(now));
        }
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

    /// Returns what comes of asking the process after an answer whose end was seen at a time.
    pub(crate) async fn ask(&self, ended_at: MonoTime) -> QueryResult {
        loop {
            if let Some(result) = self.result.get()
                && result.due_at >= ended_at
            {
                return result;
            }
            if self.due_at.get().is_none_or(|due_at| due_at < ended_at) {
                self.due_at.set(Some(ended_at));
                self.woken.notify_one();
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
        self.accepted_at.set(accepted_at);
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

    /// Waits until a connection is open or could not be opened; returns which.
    pub(crate) async fn wait_opened(&self) -> MonitorState {
        while self.state.get() == MonitorState::Opening {
            self.changed.notified().await;
        }
        self.state.get()
    }

    /// Waits until a query is due or no answer needs the monitor.
    async fn wait_woken(&self) {
        while self.users.get() > 0 && self.due_at.get().is_none() {
            self.woken.notified().await;
        }
    }

    /// Returns whether an idle connection was closed at a time or later.
    pub(crate) fn has_closed_since(&self, time: MonoTime) -> bool {
        self.closed_at
            .get()
            .is_some_and(|closed_at| closed_at >= time)
    }

    /// Returns whether an idle connection was closed together with an answer's.
    pub(crate) fn closed_with(&self, end: ConnectionEnd) -> bool {
        let closed_at = self.closed_at.get();
        closed_at.is_some_and(|closed_at| closed_at + CLOSE_SPREAD >= end.earliest)
    }
}

/// Takes an idle connection out of the pool.
fn take_idle(core: &GatewayCore, key: BackendKey) -> Option<IdleConn> {
    core.pool.borrow_mut().take_idle(key, monotonic_now())
}

/// Gives an idle connection to the pool, unless the pool has as many as the process may keep.
pub(crate) fn keep_idle(core: &GatewayCore, key: BackendKey, idle: IdleConn) {
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
    /// Returns the monitor of a backend server for one more answer. It is spawned if there is none.
    pub(crate) fn open(
        &self,
        core: &Rc<GatewayCore>,
        process: WatchedProcess,
    ) -> Rc<ProcessMonitor> {
        let mut monitors = self.by_backend.borrow_mut();
        let key = process.key;
        if let Some(known) = monitors.get(&key) {
            known.users.set(known.users.get() + 1);
            return Rc::clone(known);
        }
        let monitor = Rc::new(ProcessMonitor::new(process));
        monitors.insert(key, Rc::clone(&monitor));
        let (core, spawned) = (Rc::clone(core), Rc::clone(&monitor));
        spawn_local(async move { spawned.run(&core).await });
        monitor
    }

    /// Notes that an answer needs its monitor no more; the last one ends it.
    pub(crate) fn release(&self, monitor: &ProcessMonitor) {
        let users = monitor.users.get() - 1;
        monitor.users.set(users);
        if users == 0 {
            self.by_backend.borrow_mut().remove(&monitor.process.key);
            monitor.woken.notify_one();
        }
    }
}
