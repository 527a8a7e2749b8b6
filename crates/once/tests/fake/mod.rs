//! An in-memory key-value store that can simulate the faults of a real one, and a test clock.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_once::MonoClock;
use oleander_platform::{
    BoxFuture, Expected, KeyValueStore, LeaseGrant, LeaseId, ListPage, StoreEntry, StoreError,
    WatchBatch,
};
use parking_lot::Mutex;

/// Selects how the store treats a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    #[default]
    Healthy,
    /// Refuses every call immediately.
    Down,
    /// Neither executes nor answers any call.
    Silent,
    /// Executes writes and loses their answers.
    LosesAnswers,
    /// Does not execute writes and loses their answers.
    LosesWrites,
}

#[derive(Debug, Default)]
pub struct FakeState {
    pub entries: BTreeMap<String, (Bytes, Revision)>,
    pub mode: StoreMode,
    pub delay: Duration,
    pub writes: u64,
    pub reads: u64,
    pub written_bytes: u64,
    /// The writes per second above which writes are refused; `None` means no limit.
    pub write_budget: Option<f64>,
    budget_left: f64,
    budget_at: Option<Instant>,
    revision: u64,
}

/// Simulates a key-value store; clones share its content.
#[derive(Debug, Clone, Default)]
pub struct FakeStore(pub Arc<Mutex<FakeState>>);

impl FakeState {
    fn spend(&mut self) -> Result<(), StoreError> {
        let Some(rate) = self.write_budget else {
            return Ok(());
        };
        let now = Instant::now();
        let gap = self.budget_at.map_or(1.0, |at| (now - at).as_secs_f64());
        self.budget_at = Some(now);
        self.budget_left = (self.budget_left + gap * rate).min(rate / 10.0);
        if self.budget_left < 1.0 {
            let retry_after = Duration::from_secs_f64((1.0 - self.budget_left) / rate);
            return Err(StoreError::OverBudget { retry_after });
        }
        self.budget_left -= 1.0;
        Ok(())
    }

    fn check(&self, key: &str, expected: Expected) -> Result<(), StoreError> {
        let current = self.entries.get(key).map(|(_, revision)| *revision);
        let is_expected = match expected {
            Expected::Absent => current.is_none(),
            Expected::At(revision) => current == Some(revision),
        };
        is_expected
            .then_some(())
            .ok_or(StoreError::Conflict { current })
    }

    fn write(
        &mut self,
        key: &str,
        expected: Expected,
        value: Option<Bytes>,
    ) -> Result<Revision, StoreError> {
        self.writes += 1;
        self.spend()?;
        if self.mode == StoreMode::LosesWrites {
            return Err(lost());
        }
        let done = self.check(key, expected).map(|()| {
            self.revision += 1;
            let revision = Revision(self.revision);
            match value {
                Some(value) => {
                    self.written_bytes += value.len() as u64;
                    self.entries.insert(key.to_owned(), (value, revision));
                }
                None => drop(self.entries.remove(key)),
            }
            revision
        });
        match self.mode {
            StoreMode::LosesAnswers => Err(lost()),
            _ => done,
        }
    }
}

fn lost() -> StoreError {
    let reason = "the answer was lost".to_owned();
    StoreError::Unknown { reason }
}

impl FakeStore {
    pub fn set_mode(&self, mode: StoreMode) {
        self.0.lock().mode = mode;
    }

    pub fn keys(&self, prefix: &str) -> usize {
        let state = self.0.lock();
        state
            .entries
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    async fn apply_mode(&self) -> Result<(), StoreError> {
        let (mode, delay) = {
            let state = self.0.lock();
            (state.mode, state.delay)
        };
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        }
        match mode {
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Down => Err(StoreError::Unavailable {
                reason: "down".to_owned(),
            }),
            _ => Ok(()),
        }
    }

    fn change<'a>(
        &'a self,
        key: &'a str,
        expected: Expected,
        value: Option<Bytes>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        Box::pin(async move {
            self.apply_mode().await?;
            self.0.lock().write(key, expected, value)
        })
    }
}

impl KeyValueStore for FakeStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>> {
        Box::pin(async move {
            self.apply_mode().await?;
            let mut state = self.0.lock();
            state.reads += 1;
            let found = state.entries.get(key);
            Ok(found.map(|(value, revision)| StoreEntry {
                key: key.to_owned(),
                value: value.clone(),
                revision: *revision,
            }))
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<ListPage, StoreError>> {
        const PAGE_ENTRIES: usize = 3;
        Box::pin(async move {
            self.apply_mode().await?;
            let mut state = self.0.lock();
            state.reads += 1;
            let revision = Revision(state.revision);
            let mut entries: Vec<_> = state
                .entries
                .range(prefix.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
                .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
                .take(PAGE_ENTRIES + 1)
                .map(|(key, (value, revision))| StoreEntry {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *revision,
                })
                .collect();
            let more = entries.len() > PAGE_ENTRIES;
            entries.truncate(PAGE_ENTRIES);
            Ok(ListPage {
                entries,
                revision,
                more,
            })
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: Expected,
        value: Bytes,
        _lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        self.change(key, expected, Some(value))
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        expected: Expected,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        self.change(key, expected, None)
    }

    fn watch<'a>(
        &'a self,
        _prefix: &'a str,
        _after: Revision,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        Box::pin(async { Err(lost()) })
    }

    fn grant_lease(
        &self,
        _time_to_live: Duration,
    ) -> BoxFuture<'_, Result<LeaseGrant, StoreError>> {
        Box::pin(async { Err(lost()) })
    }

    fn renew_lease(&self, _lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Err(lost()) })
    }

    fn revoke_lease(&self, _lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Err(lost()) })
    }
}

/// A clock that a test can advance to simulate a pause of the process.
#[derive(Debug)]
pub struct TestClock {
    origin: Instant,
    advanced: AtomicU64,
}

impl TestClock {
    pub fn start() -> Arc<Self> {
        Arc::new(Self {
            origin: Instant::now(),
            advanced: AtomicU64::new(0),
        })
    }

    pub fn advance(&self, span: Span) {
        self.advanced.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl MonoClock for TestClock {
    fn now(&self) -> MonoTime {
        let elapsed = Span::from(self.origin.elapsed());
        MonoTime(elapsed.0 + self.advanced.load(Ordering::SeqCst))
    }
}

pub fn instance(port: u16, incarnation: u64) -> InstanceId {
    InstanceId {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation,
    }
}
