//! Keeps the platform view up to date from the key-value store.
//!
//! One watch covers the manifest, the registry and the gateways. The registry changes many times a
//! second and each call costs the platform, so the watch is polled at an interval that collects
//! changes into batches. The interval is a fraction of the time that a change may take to be
//! applied.
//!
//! One gateway reads the store for the fleet, and each of the others queries one of those before it in
//! the tree of gateways, or another one if that does not answer or has had no recent contact with the
//! store (`oleander_balance::fact_sources`). If neither has recent data, a gateway reads the store
//! itself. A store that does not answer is called less and less often, and meanwhile any other gateway
//! is queried for what it has read.

use std::rc::Rc;
use std::time::Duration;

use oleander_base::monotonic_now;
use serde::Serialize;
use tokio::time::sleep;

use crate::core::GatewayCore;
use crate::fact_sources::FactSources;
use crate::peer_facts::query_random_gateway;
use crate::platform_view::{KnownFact, ListedKeys, RemovalMode};
use crate::port::StoreItem;
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError, StorePurpose};

/// The time allowed for the answer of a watch beyond the time that the store may hold it.
const WATCH_GRACE: Span = Span::from_millis(700);

/// The timeout of one page of a listing.
const LIST_TIMEOUT: Span = Span::from_millis(1_500);

/// The pause after a first failed store call. A random factor makes it up to twice as long.
const BACKOFF_BASE: Span = Span::from_millis(150);

/// How many times the pause doubles at the gateway that reads the store for the others.
const READER_DOUBLINGS: u32 = 2;

/// How many times the pause doubles at the other gateways.
const FOLLOWER_DOUBLINGS: u32 = 3;

/// How long the store may be silent before other gateways are queried.
const QUERY_PEERS_AFTER: Span = Span::from_millis(600);

/// The silence of the store after which removed entries may have expired only because it was
/// unreachable.
const UNREACHABLE_AFTER: Span = Span::from_millis(1_500);

/// How long after the store becomes reachable again a removed entry may still be registered again.
pub(crate) const RECOVERY_WINDOW: Span = Span::from_millis(2_000);

#[derive(Debug, Serialize)]
struct ContactLostFields {
    reason: String,
    revision: u64,
}

#[derive(Debug, Serialize)]
struct StoreRegainedFields {
    away_ms: f64,
    revision: u64,
}

/// The state of the store watch.
#[derive(Debug)]
struct StoreWatch {
    core: Rc<GatewayCore>,
    client: StoreClient,
    sources: FactSources,
    needs_list: bool,
    unreachable_since: Option<MonoTime>,
    last_response: MonoTime,
    recovered_at: Option<MonoTime>,
    /// The number of store calls that failed in a row.
    failures: u32,
    /// The time before which the store is not called again.
    retry_at: MonoTime,
}

/// Keeps the platform view up to date for as long as the process runs.
pub(crate) async fn run_store_watch(core: Rc<GatewayCore>) {
    let mut watch = StoreWatch {
        client: StoreClient::open(Rc::clone(&core)),
        sources: FactSources::default(),
        core,
        needs_list: true,
        unreachable_since: None,
        last_response: monotonic_now(),
        recovered_at: None,
        failures: 0,
        retry_at: MonoTime::default(),
    };
    loop {
        match watch.poll().await {
            Ok(next_at) => watch.sleep_until(next_at).await,
            Err(error) => watch.handle_error(&error).await,
        }
    }
}

impl StoreWatch {
    fn poll_interval(&self) -> Span {
        self.core.settings().view_pace().store_interval
    }

    async fn sleep_until(&self, moment: MonoTime) {
        let left = moment.since(monotonic_now());
        sleep(Duration::from(left)).await;
    }

    /// Brings the view up to date; returns when to do so again.
    async fn poll(&mut self) -> Result<MonoTime, StoreError> {
        if let Some(applied) = self.sources.query(&self.core).await {
            self.on_contact();
            return Ok(applied.next_at);
        }
        let next_at = monotonic_now() + self.poll_interval();
        if monotonic_now() < self.retry_at {
            query_random_gateway(&self.core).await;
        } else {
            self.read_store().await?;
        }
        Ok(next_at)
    }

    /// Reads from the store what has changed.
    async fn read_store(&mut self) -> Result<(), StoreError> {
        let after = self.core.view.borrow().version;
        if self.needs_list || after.era < self.core.store_era() {
            return self.list().await;
        }
        let wait = self.poll_interval();
        let request = self.core.port.watch_request(after.revision, wait);
        let asked_at = monotonic_now();
        let call = self
            .client
            .call(StorePurpose::Watch, &request, wait + WATCH_GRACE);
        let reply = call.await?;
        if reply.era != after.era {
            // The revision that was asked for means another state in this era.
            return self.list().await;
        }
        let changes = self
            .core
            .port
            .decode_changes(&reply.body)
            .map_err(|error| StoreError::Answer(error.to_string()))?;
        self.on_store_response(asked_at);
        self.apply(reply.era, changes.items, changes.revision);
        Ok(())
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        self.needs_list = true;
        let asked_at = monotonic_now();
        let mut after: Option<String> = None;
        let mut first: Option<StoreVersion> = None;
        let mut listed = ListedKeys::default();
        let mut items = Vec::new();
        loop {
            let request = self.core.port.list_request(after.as_deref());
            let call = self.client.call(StorePurpose::List, &request, LIST_TIMEOUT);
            let reply = call.await?;
            let page = self
                .core
                .port
                .decode_page(&reply.body)
                .map_err(|error| StoreError::Answer(error.to_string()))?;
            // The pages are read one after another, so the watch resumes at the first page's
            // revision to include changes made meanwhile.
            let at = *first.get_or_insert(StoreVersion {
                era: reply.era,
                revision: page.revision,
            });
            if at.era != reply.era {
                return Err(StoreError::EraChanged);
            }
            for item in page.items {
                listed.insert(&item.subject);
                items.push(item);
            }
            match page.next_after {
                Some(key) => after = Some(key),
                None => break,
            }
        }
        let at = first.unwrap_or_default();
        self.on_store_response(asked_at);
        let known = self.core.view.borrow().version;
        if known.era < at.era && known != StoreVersion::default() {
            // What the copy lacks is written again by those who live.
            self.recovered_at = Some(monotonic_now());
        }
        self.apply(at.era, items, at.revision);
        self.remove_unlisted(&listed, at);
        self.needs_list = false;
        Ok(())
    }

    fn remove_unlisted(&self, listed: &ListedKeys, at: StoreVersion) {
        let mode = self.removal_mode();
        self.core.update_view("store", |view, context| {
            view.remove_unlisted(listed, at, mode, context);
        });
    }

    /// Records an answer of the store itself to what it was asked at a time.
    fn on_store_response(&mut self, asked_at: MonoTime) {
        self.on_contact();
        let mut view = self.core.view.borrow_mut();
        view.store_contact = Some(monotonic_now());
        view.complete_at = Some(asked_at);
    }

    /// Records that current data arrived, from the store or from a reader.
    fn on_contact(&mut self) {
        let now = monotonic_now();
        if now.since(self.last_response) > UNREACHABLE_AFTER {
            self.recovered_at = Some(now);
        }
        self.last_response = now;
        self.failures = 0;
        self.core.is_store_lost.set(false);
        if let Some(unreachable_since) = self.unreachable_since.take() {
            let fields = StoreRegainedFields {
                away_ms: now.since(unreachable_since).as_millis_f64(),
                revision: self.core.view.borrow().version.revision.0,
            };
            self.core.log.change("store-regained", fields);
        }
    }

    fn removal_mode(&self) -> RemovalMode {
        let now = monotonic_now();
        match self.recovered_at {
            Some(recovered) if now.since(recovered) < RECOVERY_WINDOW => RemovalMode::MayHaveLapsed,
            _ => RemovalMode::Gone,
        }
    }

    fn apply(&self, era: StoreEra, items: Vec<StoreItem>, revision: Revision) {
        let mode = self.removal_mode();
        let fact = |item| KnownFact {
            item,
            era,
            mode,
            packed: None,
        };
        let facts = items.into_iter().map(fact).collect();
        apply_facts(&self.core, facts, StoreVersion { era, revision }, "store");
    }

    async fn handle_error(&mut self, error: &StoreError) {
        let now = monotonic_now();
        if matches!(error, StoreError::Status(410) | StoreError::EraChanged) {
            self.needs_list = true;
            self.core.log.change(
                "store-history-gone",
                ContactLostFields {
                    reason: error.to_string(),
                    revision: self.core.view.borrow().version.revision.0,
                },
            );
            // The listing that follows is paced like any poll.
            return;
        }
        self.core.is_store_lost.set(true);
        self.core.view_changed.notify_waiters();
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(now);
            self.core.log.change(
                "store-lost",
                ContactLostFields {
                    reason: error.to_string(),
                    revision: self.core.view.borrow().version.revision.0,
                },
            );
        }
        if now.since(self.last_response) > QUERY_PEERS_AFTER {
            query_random_gateway(&self.core).await;
        }
        let pause = self.next_backoff();
        self.retry_at = monotonic_now() + pause;
        sleep(Duration::from(pause.min(self.poll_interval()))).await;
    }

    /// Returns the pause before the store is called again after a failure.
    fn next_backoff(&mut self) -> Span {
        let max_doublings = if self.sources.is_reader() {
            READER_DOUBLINGS
        } else {
            FOLLOWER_DOUBLINGS
        };
        let doublings = self.failures.min(max_doublings);
        self.failures += 1;
        let pause = (BACKOFF_BASE.0 << doublings) as f64 * (1.0 + self.core.random());
        Span(pause as u64)
    }
}

/// Applies facts that came from the store or from another gateway.
pub(crate) fn apply_facts(
    core: &GatewayCore,
    facts: Vec<KnownFact>,
    at: StoreVersion,
    source: &'static str,
) {
    core.update_view(source, |view, context| {
        for fact in facts {
            view.apply(fact, context);
        }
        view.advance(at, context.now);
    });
}
