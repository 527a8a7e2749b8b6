//! Tells whether a backend server's process outlived the end of an answer that has neither a length nor chunks.
//!
//! Such an answer ends with its connection. When a process ends, its kernel closes its connections in the same way, so
//! the close alone does not tell a complete answer from a broken one. While such an answer is read, the gateway
//! therefore keeps an idle connection to the same backend server open, one for all such answers there, and watches it.
//! At the end of the answer the process is asked on that connection when it started: the one that the registry's entry
//! describes has outlived the answer if it replies. No reply is no evidence: a process that stands still for a moment
//! replies later, and one that has ended behind a link that carries nothing never does.
//!
//! Some backend servers reply without their start times. A reply on a connection that was open before the end shows as
//! much. Where there was none, or they take queries for requests, the connections decide: those of a process that ends
//! are closed together, so that one that stays open shows that the process still runs. A new one that is accepted is
//! weaker evidence: another process may have taken the address (docs/PLATFORM.md, "Answers without a frame").

use std::rc::Rc;
use std::time::Duration;

use oleander_balance::ProcessIdentity;
use oleander_base::monotonic_now;
use tokio::time::{sleep, timeout};

use crate::core::GatewayCore;
use crate::exchange::connect_backend;
use crate::prelude::*;
use crate::process_monitor::{
    END_QUERY_TIMEOUT, MonitorState, ProcessMonitor, QueryResult, WatchedProcess, keep_idle,
};
use crate::process_query::MetProcess;

/// How far apart the closes of one process's connections may be seen.
pub(crate) const CLOSE_SPREAD: Span = Span::from_millis(40);

/// The evidence of a backend server's process at the end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndEvidence {
    /// The process that the registry's entry describes told its start time after the end.
    Told,
    /// Another process told its start time at the address.
    Replaced,
    /// An idle connection was open before the end and stayed open.
    StayedOpen,
    /// Nothing came in time when the process was asked. One that stands still and one that has ended behind a link that
    /// carries nothing look the same.
    Silent,
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
            Self::Silent => "silent",
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

/// Watches the process that writes one answer, until it is dropped.
#[derive(Debug)]
pub(crate) struct ProcessWatch {
    core: Rc<GatewayCore>,
    monitor: Rc<ProcessMonitor>,
    began_at: MonoTime,
}

impl ProcessWatch {
    /// Begins to watch a backend server's process.
    pub(crate) fn open(core: &Rc<GatewayCore>, process: WatchedProcess) -> Self {
        let monitor = core.monitors.open(core, process);
        Self {
            core: Rc::clone(core),
            monitor,
            began_at: monotonic_now(),
        }
    }

    /// Finds out whether the process outlived the end of its answer. The call is cancel-safe.
    pub(crate) async fn evidence(&self, end: ConnectionEnd) -> EndEvidence {
        let process = &self.monitor.process;
        if process.started_ms.is_some() && self.identity().may_reply() {
            let until = end.seen_at + END_QUERY_TIMEOUT;
            let left = Duration::from(until.since(monotonic_now()));
            let asked = timeout(left, self.monitor.ask(end.seen_at)).await;
            let evidence = match asked {
                Ok(result) => self.evidence_of(result, end),
                Err(_) if self.monitor.closed_with(end) => Some(EndEvidence::ClosedTogether),
                Err(_) => Some(EndEvidence::Silent),
            };
            if let Some(evidence) = evidence {
                return evidence;
            }
        }
        self.connection_evidence(end).await
    }

    /// Returns what the result of asking the process shows, unless the connections have to decide.
    fn evidence_of(&self, result: QueryResult, end: ConnectionEnd) -> Option<EndEvidence> {
        Some(match result.met {
            MetProcess::Expected => EndEvidence::Told,
            MetProcess::Other => EndEvidence::Replaced,
            // The next process at the address may reply after that.
            _ if self.monitor.closed_with(end) => EndEvidence::ClosedTogether,
            MetProcess::Untold | MetProcess::Refused if self.replied_before(result, end) => {
                EndEvidence::StayedOpen
            }
            MetProcess::Untold => return None,
            MetProcess::Ended | MetProcess::Lost if !self.identity().can_be_asked() => {
                return None;
            }
            MetProcess::Silent => EndEvidence::Silent,
            MetProcess::Refused | MetProcess::Ended | MetProcess::Lost => EndEvidence::Unreachable,
        })
    }

    /// Returns whether a reply came on a connection that was open while the answer was read, and no other one had closed
    /// meanwhile. After that, the next connection may lead to the next process.
    fn replied_before(&self, result: QueryResult, end: ConnectionEnd) -> bool {
        result.was_open_before(end) && !self.monitor.has_closed_since(self.began_at)
    }

    /// Returns what is known of the process.
    fn identity(&self) -> ProcessIdentity {
        let key = self.monitor.process.key;
        let known = self.core.with_backend(key, |state| state.process);
        known.unwrap_or_default()
    }

    /// Finds out by the connections alone whether the process outlived the end of its answer.
    async fn connection_evidence(&self, end: ConnectionEnd) -> EndEvidence {
        let until = end.seen_at + CLOSE_SPREAD;
        sleep(Duration::from(until.since(monotonic_now()))).await;
        let monitor = &self.monitor;
        let state = monitor.wait_opened().await;
        if monitor.closed_with(end) {
            return EndEvidence::ClosedTogether;
        }
        if let MonitorState::Open(since) = state {
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
        self.core.monitors.release(&self.monitor);
    }
}
