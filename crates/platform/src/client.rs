//! Implements the HTTP client of the platform's services.
//!
//! The HTTP library's client is bound to one thread, so it runs on a dedicated thread and calls
//! reach it over a channel. A call is sent once and never retried. The error tells whether it may
//! have taken effect: a connection that was never made, a refusal by the budget and an answer with
//! a known error mean "not run"; any failure after the request may have been written means
//! "unknown" for a write.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use std::{io, thread};

use bytes::Bytes;
use oleander_base::prelude::*;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};

use crate::budget::{BudgetLimits, CallBudget, CallClass, CallKind};
use crate::client_thread::{CallJob, RawAnswer, run_client};
use crate::store::StoreError;
use crate::wire::{WireError, WirePath};

/// The maximum size of a value in the key-value store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Maximum number of calls that wait for an answer at the same time.
const MAX_IN_FLIGHT_CALLS: u64 = 1024;

/// Configures a [`PlatformClient`].
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// The address of the services.
    pub address: SocketAddr,
    /// The timeout for connecting.
    pub connect_timeout: Duration,
    /// The timeout for a call; a watch may take its wait in addition.
    pub call_timeout: Duration,
    /// The rate limits of this process's calls.
    pub limits: BudgetLimits,
}

impl ClientSettings {
    /// Returns settings for an address, with defaults for the other fields.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            limits: BudgetLimits::default(),
        }
    }
}

/// Counts the calls of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClientCounters {
    /// The number of reads that were sent.
    pub reads: u64,
    /// The number of writes that were sent.
    pub writes: u64,
    /// The number of calls that this process refused: over its budget, or with too many calls in
    /// flight.
    pub refused: u64,
    /// The number of calls that were sent and returned an error, which may be a conflict.
    pub failed: u64,
    /// The number of writes whose outcome was unknown.
    pub unknown: u64,
}

#[derive(Debug, Default)]
struct AtomicCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    unknown: AtomicU64,
    in_flight: AtomicU64,
}

#[derive(Debug)]
struct ClientShared {
    settings: ClientSettings,
    jobs: mpsc::UnboundedSender<CallJob>,
    budget: Mutex<CallBudget>,
    counters: AtomicCounters,
    started_at: Instant,
}

/// Calls the platform's services; clones share the connections and the budget.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    shared: Arc<ClientShared>,
    class: CallClass,
}

impl PlatformClient {
    /// Starts the client's thread and returns a handle. No connection is made yet.
    pub fn open(settings: ClientSettings) -> io::Result<Self> {
        let (jobs, queue) = mpsc::unbounded_channel();
        let connect_timeout = settings.connect_timeout;
        thread::Builder::new()
            .name("platform-client".to_owned())
            .spawn(move || run_client(queue, connect_timeout))?;
        let shared = ClientShared {
            budget: Mutex::new(CallBudget::new(settings.limits)),
            settings,
            jobs,
            counters: AtomicCounters::default(),
            started_at: Instant::now(),
        };
        Ok(Self {
            shared: Arc::new(shared),
            class: CallClass::Claim,
        })
    }

    /// Returns a handle whose calls count as `class` in the budget. Calls on leases always count as
    /// [`CallClass::Lease`].
    #[must_use]
    pub fn with_class(&self, class: CallClass) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            class,
        }
    }

    /// Returns the counters, which all clones of this client share.
    pub fn counters(&self) -> ClientCounters {
        let counters = &self.shared.counters;
        ClientCounters {
            reads: counters.reads.load(Ordering::Relaxed),
            writes: counters.writes.load(Ordering::Relaxed),
            refused: counters.refused.load(Ordering::Relaxed),
            failed: counters.failed.load(Ordering::Relaxed),
            unknown: counters.unknown.load(Ordering::Relaxed),
        }
    }

    pub(crate) async fn call<B: Serialize, A: DeserializeOwned>(
        &self,
        plan: CallPlan,
        body: &B,
    ) -> Result<A, StoreError> {
        let shared = &*self.shared;
        shared.admit(plan)?;
        let counter = match plan.kind {
            CallKind::Read => &shared.counters.reads,
            CallKind::Write => &shared.counters.writes,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let outcome = shared.send(plan, body).await;
        shared.count_outcome(&outcome);
        outcome
    }

    pub(crate) fn plan(&self, path: &'static str, kind: CallKind) -> CallPlan {
        CallPlan {
            path,
            kind,
            class: self.class,
            timeout: self.shared.settings.call_timeout,
        }
    }

    pub(crate) fn lease_plan(&self, path: &'static str) -> CallPlan {
        CallPlan {
            class: CallClass::Lease,
            ..self.plan(path, CallKind::Write)
        }
    }
}

/// Describes how one call is made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallPlan {
    pub(crate) path: &'static str,
    pub(crate) kind: CallKind,
    pub(crate) class: CallClass,
    pub(crate) timeout: Duration,
}

impl ClientShared {
    fn now(&self) -> MonoTime {
        MonoTime(Span::from(self.started_at.elapsed()).0)
    }

    fn admit(&self, plan: CallPlan) -> Result<(), StoreError> {
        let full = self.counters.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT_CALLS;
        let taken = if full {
            Err(plan.timeout)
        } else {
            self.budget.lock().take(self.now(), plan.class, plan.kind)
        };
        taken.map_err(|retry_after| {
            self.counters.refused.fetch_add(1, Ordering::Relaxed);
            StoreError::OverBudget { retry_after }
        })
    }

    async fn send<B: Serialize, A: DeserializeOwned>(
        &self,
        plan: CallPlan,
        body: &B,
    ) -> Result<A, StoreError> {
        let body = serde_json::to_vec(body).map_err(|error| StoreError::Unavailable {
            reason: error.to_string(),
        })?;
        let (reply, answer) = oneshot::channel();
        let job = CallJob {
            url: format!("http://{}{}", self.settings.address, plan.path),
            is_watch: plan.path == WirePath::WATCH,
            body: Bytes::from(body),
            timeout: plan.timeout,
            reply,
        };
        self.jobs.send(job).map_err(|_| StoreError::Unavailable {
            reason: "the client's thread has ended".to_owned(),
        })?;
        let guard = InFlightGuard::new(&self.counters.in_flight);
        let raw = answer.await;
        drop(guard);
        match raw {
            Ok(raw) => decode_answer(plan.kind, raw),
            Err(_) => Err(interrupted_error(
                plan.kind,
                "the client's thread has ended",
            )),
        }
    }

    fn count_outcome<A>(&self, outcome: &Result<A, StoreError>) {
        let Err(error) = outcome else { return };
        self.counters.failed.fetch_add(1, Ordering::Relaxed);
        match error {
            StoreError::Unknown { .. } => {
                self.counters.unknown.fetch_add(1, Ordering::Relaxed);
            }
            StoreError::OverBudget { retry_after } => {
                self.budget.lock().pause(self.now(), *retry_after);
            }
            _ => {}
        }
    }
}

/// Counts a call as in flight until it is dropped, also when the caller abandons the call.
struct InFlightGuard<'a>(&'a AtomicU64);

impl<'a> InFlightGuard<'a> {
    fn new(cell: &'a AtomicU64) -> Self {
        cell.fetch_add(1, Ordering::Relaxed);
        Self(cell)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the error of a call that failed after its request may have been sent.
fn interrupted_error(kind: CallKind, reason: &str) -> StoreError {
    let reason = reason.to_owned();
    match kind {
        CallKind::Read => StoreError::Unavailable { reason },
        CallKind::Write => StoreError::Unknown { reason },
    }
}

fn decode_answer<A: DeserializeOwned>(kind: CallKind, raw: RawAnswer) -> Result<A, StoreError> {
    match raw {
        RawAnswer::NotSent(reason) => Err(StoreError::Unavailable { reason }),
        RawAnswer::Interrupted(reason) => Err(interrupted_error(kind, &reason)),
        RawAnswer::Answered { status: 200, body } => serde_json::from_slice(&body)
            .map_err(|error| interrupted_error(kind, &error.to_string())),
        RawAnswer::Answered { status, body } => match serde_json::from_slice::<WireError>(&body) {
            Ok(error) if error.status() == status => Err(error.into()),
            _ => Err(interrupted_error(
                kind,
                &format!("the service answered with {status}"),
            )),
        },
    }
}
