//! Keeps the record of software versions in the key-value store up to date.
//!
//! Every gateway sees when the record is out of date, and one write is enough. So they take turns by rendezvous
//! hashing, and a gateway whose turn comes writes only if no other has done so meanwhile. A write names the
//! revision that it replaces. If the store holds another one, or the outcome is unknown, the record is read again
//! (docs/PLATFORM.md, "Software versions").

use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::core::GatewayCore;
use crate::origin_exchange::RecordChange;
use crate::platform_view::{KnownFact, RemovalMode};
use crate::port::{DecodeError, StoreItem, StoreSubject};
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError, StorePurpose};

/// The key by which gateways are ranked for their turns.
const TURN_KEY: u64 = 0;

/// The time between two turns, in which a write reaches the gateways whose turns come later.
const TURN_INTERVAL: Span = Span::from_millis(400);

/// The number of turns after which all gateways that are left have theirs.
const MAX_TURNS: usize = 10;

/// The time between two checks whether versions are to be removed from the record.
const CHECK_INTERVAL: Span = Span::from_secs(2);

/// The pause after a failed call. A random factor makes it up to twice as long.
const RETRY_DELAY: Span = Span::from_millis(600);

/// The timeout of one call.
const CALL_TIMEOUT: Span = Span::from_millis(1_500);

#[derive(Debug, Serialize)]
struct FailedFields {
    reason: String,
}

#[derive(Debug)]
struct VersionRecorder {
    core: Rc<GatewayCore>,
    client: StoreClient,
}

/// Keeps the record up to date for as long as the process runs.
pub(crate) async fn run_version_recorder(core: Rc<GatewayCore>) {
    let mut recorder = VersionRecorder {
        client: StoreClient::open(Rc::clone(&core)),
        core,
    };
    loop {
        recorder.wait_change().await;
        if recorder.change().is_none() {
            continue;
        }
        sleep(Duration::from(recorder.turn_delay())).await;
        let Some(change) = recorder.change() else {
            continue;
        };
        if let Err(error) = recorder.write(&change).await {
            recorder.log_failure(&error);
            sleep(Duration::from(recorder.retry_delay())).await;
        }
        // Changes are rare, so no connection is kept for the next one.
        recorder.client.close();
    }
}

impl VersionRecorder {
    async fn wait_change(&self) {
        let changed = self.core.origins.record_outdated();
        // Versions are removed by the passing of time alone, which notifies no one.
        let _ = timeout(Duration::from(CHECK_INTERVAL), changed).await;
    }

    fn change(&self) -> Option<RecordChange> {
        self.core.origins.record_change(&self.core)
    }

    /// Returns how long this gateway leaves the write to those before it.
    fn turn_delay(&self) -> Span {
        let own = &self.core.settings().name;
        let rank = self.core.view.borrow().gateway_rank(own, TURN_KEY);
        if rank == 0 {
            return Span::ZERO;
        }
        let turns = rank.min(MAX_TURNS) as f64 + self.core.random();
        Span((TURN_INTERVAL.0 as f64 * turns) as u64)
    }

    fn retry_delay(&self) -> Span {
        Span((RETRY_DELAY.0 as f64 * (1.0 + self.core.random())) as u64)
    }

    /// Writes the record, or reads the one that stands in its place.
    async fn write(&mut self, change: &RecordChange) -> Result<(), StoreError> {
        let port = &self.core.port;
        let request = port.versions_write_request(&change.record, change.replaces);
        let call = self
            .client
            .call(StorePurpose::VersionsWrite, &request, CALL_TIMEOUT);
        let reply = match call.await {
            Err(StoreError::Status(412)) => return self.read().await,
            reply => reply?,
        };
        let item = self
            .core
            .port
            .decode_versions_write(&change.record, &reply.body);
        self.apply(item, reply.era)
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let request = self.core.port.versions_read_request();
        let call = self
            .client
            .call(StorePurpose::VersionsRead, &request, CALL_TIMEOUT);
        let reply = call.await?;
        let item = self.core.port.decode_versions_item(&reply.body);
        self.apply(item, reply.era)
    }

    /// Takes over the record. The view is not complete up to its revision, so it does not advance.
    fn apply(&self, item: Result<StoreItem, DecodeError>, era: StoreEra) -> Result<(), StoreError> {
        let item = item.map_err(|error| StoreError::Answer(error.to_string()))?;
        if item.subject != StoreSubject::Versions {
            return Err(StoreError::Answer("another key".to_owned()));
        }
        let fact = KnownFact {
            item,
            era,
            mode: RemovalMode::Gone,
            packed: None,
        };
        self.core
            .update_view("store", |view, context| view.apply(fact, context));
        Ok(())
    }

    fn log_failure(&self, error: &StoreError) {
        let reason = error.to_string();
        self.core
            .log
            .change("versions-not-recorded", FailedFields { reason });
    }
}
