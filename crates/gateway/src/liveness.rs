//! Tells whether a backend server's process outlived the end of an answer that has neither a length nor chunks.
//!
//! Such an answer ends with its connection. When a process ends, its kernel closes its connections in the same way, so
//! the close alone does not tell a complete answer from a broken one. While such an answer is read, the gateway
//! therefore keeps an idle connection to the same backend server open, one for all such answers there, and watches it.
//! The connections of a process that ends are closed together, so that one that stays open shows that the process still
//! runs. Where there was none, a new one that is accepted is weaker evidence: another process may have taken the address
//! (docs/PLATFORM.md, "Answers without a frame").

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
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

/// How far apart the closes of one process's connections may be seen.
const CLOSE_SPREAD: Span = Span::from_millis(40);

/// The pause before another connection is opened after one that failed.
const REOPEN_DELAY: Span = Span::from_millis(500);

/// How soon after it was opened a connection is reset by a backend server that has too many.
const MAX_REFUSAL_TIME: Span = Span::from_millis(50);

/// The shortest time for which one idle connection is watched, however short the backend server's idle time is.
const MIN_WATCH_TIME: Span = Span::from_millis(800);

/// The evidence of a backend server's process that its connections give at the end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndEvidence {
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
        matches!(self, Self::StayedOpen | Self::Accepted)
    }

    /// Returns the name for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
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
}

/// Watches the process of one backend server, for as long as any answer needs that.
#[derive(Debug)]
struct ProcessMonitor {
    key: BackendKey,
    address: SocketAddr,
    /// The number of answers that need it.
    users: Cell<usize>,
    state: Cell<MonitorState>,
    /// When an idle connection was last closed by the backend server.
    closed_at: Cell<Option<MonoTime>>,
    changed: Notify,
    released: Notify,
}

impl ProcessMonitor {
    fn new(key: BackendKey, address: SocketAddr) -> Self {
        Self {
            key,
            address,
            users: Cell::new(0),
            state: Cell::new(MonitorState::Opening),
            closed_at: Cell::new(None),
            changed: Notify::new(),
            released: Notify::new(),
        }
    }

    /// Watches one connection after another until no answer needs the monitor.
    async fn run(&self, core: &Rc<GatewayCore>) {
        while self.users.get() > 0 {
            self.set(MonitorState::Opening);
            let kept = core.pool.borrow_mut().take_idle(self.key, monotonic_now());
            let watched = match kept {
                // It was accepted long before.
                Some(idle) => self.watch(idle, MonoTime::default()).await,
                None => self.watch_new(core).await,
            };
            match watched {
                WatchEnd::Released(idle) => return keep_idle(core, self.key, idle),
                WatchEnd::Replaced => {}
                WatchEnd::Failed => self.wait_reopen().await,
            }
        }
    }

    /// Waits before another connection is opened after one that failed.
    async fn wait_reopen(&self) {
        self.set(MonitorState::Failed);
        tokio::select! {
            () = sleep(Duration::from(REOPEN_DELAY)) => {}
            () = self.wait_released() => {}
        }
    }

    /// Opens a connection and watches it.
    async fn watch_new(&self, core: &Rc<GatewayCore>) -> WatchEnd {
        let Ok(conn) = connect_backend(core, self.address).await else {
            return WatchEnd::Failed;
        };
        let now = monotonic_now();
        let idle = core.pool.borrow().admit(self.key, conn, now);
        self.watch(idle, now + MAX_REFUSAL_TIME).await
    }

    /// Watches one connection until it ends, expires or is needed no more. A reset before `accepted_at` is a
    /// refusal; the kernel of a process that ends closes its connections in order.
    async fn watch(&self, idle: IdleConn, accepted_at: MonoTime) -> WatchEnd {
        let opened_at = monotonic_now();
        self.set(MonitorState::Open(opened_at));
        let left = idle.expires_at.since(opened_at).max(MIN_WATCH_TIME);
        let mut expiry = pin!(sleep(Duration::from(left)));
        loop {
            tokio::select! {
                biased;
                _ = idle.conn.readable() => {}
                () = self.wait_released() => return WatchEnd::Released(idle),
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

    async fn wait_released(&self) {
        while self.users.get() > 0 {
            self.released.notified().await;
        }
    }

    /// Returns whether an idle connection was closed together with an answer's.
    fn closed_with(&self, end: ConnectionEnd) -> bool {
        let closed_at = self.closed_at.get();
        closed_at.is_some_and(|closed_at| closed_at + CLOSE_SPREAD >= end.earliest)
    }
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
    fn monitor(
        &self,
        core: &Rc<GatewayCore>,
        key: BackendKey,
        address: SocketAddr,
    ) -> Rc<ProcessMonitor> {
        let mut monitors = self.by_backend.borrow_mut();
        if let Some(known) = monitors.get(&key) {
            return Rc::clone(known);
        }
        let monitor = Rc::new(ProcessMonitor::new(key, address));
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
    pub(crate) fn open(core: &Rc<GatewayCore>, key: BackendKey, address: SocketAddr) -> Self {
        let monitor = core.monitors.monitor(core, key, address);
        monitor.users.set(monitor.users.get() + 1);
        Self {
            core: Rc::clone(core),
            monitor,
        }
    }

    /// Finds out whether the process outlived the end of its answer. The call is cancel-safe.
    pub(crate) async fn evidence(&self, end: ConnectionEnd) -> EndEvidence {
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
        match connect_backend(&self.core, monitor.address).await {
            Ok(conn) => {
                let pool = &self.core.pool;
                let idle = pool.borrow().admit(monitor.key, conn, monotonic_now());
                keep_idle(&self.core, monitor.key, idle);
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
            self.core.monitors.remove(self.monitor.key);
            self.monitor.released.notify_one();
        }
    }
}
