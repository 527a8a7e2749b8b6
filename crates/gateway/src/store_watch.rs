//! Keeps the platform view up to date from the key-value store.
//!
//! One watch covers the manifest, the registry and the gateways. The registry changes many times a
//! second and each call costs the platform, so the watch is polled at an interval that collects
//! changes into batches. The interval is a fraction of the time that a change may take to be
//! applied.
//!
//! In each data centre one gateway reads the store and the others query it, or its substitute if it
//! does not answer or has had no recent contact with the store. If neither has recent data, a
//! gateway reads the store itself. A store that does not answer is called less and less often, and
//! meanwhile any other gateway is queried for what it has read.

use std::rc::Rc;
use std::time::Duration;

use oleander_base::{FastSet, monotonic_now};
use serde::Serialize;
use tokio::time::sleep;

use crate::core::GatewayCore;
use crate::peer_facts::{FactsClient, FactsError, query_random_gateway};
use crate::platform_view::{KnownFact, RemovalMode, ViewUpdate};
use crate::port::{StoreItem, StoreSubject};
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError};

/// How many gateways of a data centre the others query: the reader of the store and its substitute.
const READER_COUNT: usize = 2;

/// How long a reader that did not answer is not queried again.
const READER_BACKOFF: Span = Span::from_millis(2_000);

/// How long a reader without recent contact with the store is not queried again.
const STALE_BACKOFF: Span = Span::from_millis(700);

/// The number of polls within the shortest time in which a change must be applied.
const POLLS_PER_BOUND: u64 = 4;

/// How long the store holds a watch that has no changes.
const WATCH_WAIT: Span = Span::from_millis(1_000);

/// The time allowed for the answer of a watch beyond [`WATCH_WAIT`].
const WATCH_GRACE: Span = Span::from_millis(700);

/// The timeout of one page of a listing.
const LIST_TIMEOUT: Span = Span::from_millis(1_500);

/// The pause after a first failed store call. A random factor makes it up to twice as long.
const BACKOFF_BASE: Span = Span::from_millis(150);

/// How many times the pause doubles at a gateway that reads the store for others.
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
    readers: [FactsClient; READER_COUNT],
    needs_list: bool,
    unreachable_since: Option<MonoTime>,
    last_response: MonoTime,
    recovered_at: Option<MonoTime>,
    /// The number of store calls that failed in a row.
    failures: u32,
    /// The time before which the store is not called again.
    retry_at: MonoTime,
    /// The time before which each reader is not queried again.
    readers_retry_at: [MonoTime; READER_COUNT],
    is_reader: bool,
}

/// Keeps the platform view up to date for as long as the process runs.
pub(crate) async fn run_store_watch(core: Rc<GatewayCore>) {
    let store = core.settings().store;
    let metrics = Rc::clone(&core.metrics);
    let mut watch = StoreWatch {
        client: StoreClient::open(store, metrics),
        readers: Default::default(),
        core,
        needs_list: true,
        unreachable_since: None,
        last_response: monotonic_now(),
        recovered_at: None,
        failures: 0,
        retry_at: MonoTime::default(),
        readers_retry_at: [MonoTime::default(); READER_COUNT],
        is_reader: true,
    };
    loop {
        let started = monotonic_now();
        match watch.poll().await {
            Ok(()) => watch.sleep_until(started + watch.poll_interval()).await,
            Err(error) => watch.handle_error(&error).await,
        }
    }
}

impl StoreWatch {
    fn poll_interval(&self) -> Span {
        let settings = self.core.settings();
        let bound = settings.drain_time.min(settings.apply_time);
        Span(bound.0 / POLLS_PER_BOUND)
    }

    async fn sleep_until(&self, moment: MonoTime) {
        let left = moment.since(monotonic_now());
        sleep(Duration::from(left)).await;
    }

    async fn poll(&mut self) -> Result<(), StoreError> {
        if self.query_readers().await {
            return Ok(());
        }
        if monotonic_now() < self.retry_at {
            query_random_gateway(&self.core).await;
            return Ok(());
        }
        self.client.set_address(self.core.settings().store);
        if self.needs_list {
            self.list().await?;
            self.needs_list = false;
            return Ok(());
        }
        let after = self.core.view.borrow().revision;
        let request = self.core.port.watch_request(after, WATCH_WAIT);
        let body = self.client.call(&request, WATCH_WAIT + WATCH_GRACE).await?;
        let changes = self
            .core
            .port
            .decode_changes(&body)
            .map_err(|error| StoreError::Answer(error.to_string()))?;
        self.on_store_response();
        self.apply(changes.items, changes.revision);
        Ok(())
    }

    /// Queries the gateways that rank before this one as readers; returns whether one of them
    /// answered with recent data.
    async fn query_readers(&mut self) -> bool {
        let settings = self.core.settings();
        let ranked = self.core.view.borrow().ranked_gateways(&settings.centre);
        let own_rank = ranked
            .iter()
            .position(|gateway| gateway.name == settings.name)
            .unwrap_or(0);
        self.is_reader = own_rank < READER_COUNT;
        for (rank, reader) in ranked.iter().enumerate().take(own_rank.min(READER_COUNT)) {
            if monotonic_now() < self.readers_retry_at[rank] {
                continue;
            }
            match self.readers[rank].query(&self.core, reader.control).await {
                Ok(_) => {
                    self.on_contact();
                    return true;
                }
                Err(error) => self.on_reader_failure(rank, &error),
            }
        }
        false
    }

    fn on_reader_failure(&mut self, rank: usize, error: &FactsError) {
        let backoff = match error {
            FactsError::Stale(_) => STALE_BACKOFF,
            _ => READER_BACKOFF,
        };
        self.readers_retry_at[rank] = monotonic_now() + backoff;
        let fields = ContactLostFields {
            reason: error.to_string(),
            revision: self.core.view.borrow().revision.0,
        };
        self.core.log.change("reader-lost", fields);
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let mut after: Option<String> = None;
        let mut first_revision = None;
        let mut listed = FastSet::default();
        let mut items = Vec::new();
        loop {
            let request = self.core.port.list_request(after.as_deref());
            let body = self.client.call(&request, LIST_TIMEOUT).await?;
            let page = self
                .core
                .port
                .decode_page(&body)
                .map_err(|error| StoreError::Answer(error.to_string()))?;
            // The pages are read one after another, so the watch resumes at the first page's
            // revision to include changes made meanwhile.
            first_revision.get_or_insert(page.revision);
            for item in page.items {
                if let StoreSubject::Backend(id) = &item.subject {
                    listed.insert(std::sync::Arc::clone(id));
                }
                items.push(item);
            }
            match page.next_after {
                Some(key) => after = Some(key),
                None => break,
            }
        }
        let at = first_revision.unwrap_or_default();
        self.on_store_response();
        self.apply(items, at);
        let mode = self.removal_mode();
        let mut update = ViewUpdate::default();
        self.core.view.borrow_mut().remove_unlisted(
            &listed,
            at,
            mode,
            &mut self.core.fleet.borrow_mut(),
            monotonic_now(),
            &mut update,
        );
        self.core.on_view_update(update, "store");
        Ok(())
    }

    /// Records an answer of the store itself.
    fn on_store_response(&mut self) {
        self.on_contact();
        self.core.view.borrow_mut().store_contact = Some(monotonic_now());
    }

    /// Records that current data arrived, from the store or from a reader.
    fn on_contact(&mut self) {
        let now = monotonic_now();
        if now.since(self.last_response) > UNREACHABLE_AFTER {
            self.recovered_at = Some(now);
        }
        self.last_response = now;
        self.failures = 0;
        if let Some(unreachable_since) = self.unreachable_since.take() {
            let fields = StoreRegainedFields {
                away_ms: now.since(unreachable_since).as_millis_f64(),
                revision: self.core.view.borrow().revision.0,
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

    fn apply(&self, items: Vec<StoreItem>, at: Revision) {
        let mode = self.removal_mode();
        let fact = |item| KnownFact { item, mode };
        apply_facts(
            &self.core,
            items.into_iter().map(fact).collect(),
            at,
            "store",
        );
    }

    async fn handle_error(&mut self, error: &StoreError) {
        let now = monotonic_now();
        if matches!(error, StoreError::Status(410)) {
            self.needs_list = true;
            self.core.log.change(
                "store-history-gone",
                ContactLostFields {
                    reason: error.to_string(),
                    revision: self.core.view.borrow().revision.0,
                },
            );
            return;
        }
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(now);
            self.core.log.change(
                "store-lost",
                ContactLostFields {
                    reason: error.to_string(),
                    revision: self.core.view.borrow().revision.0,
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
        let max_doublings = if self.is_reader {
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
    at: Revision,
    source: &'static str,
) {
    let now = monotonic_now();
    let mut update = ViewUpdate::default();
    let mut view = core.view.borrow_mut();
    let mut fleet = core.fleet.borrow_mut();
    for fact in facts {
        view.apply(
            fact.item,
            fact.mode,
            &mut fleet,
            &*core.port,
            now,
            &mut update,
        );
    }
    view.revision = view.revision.max(at);
    drop(fleet);
    drop(view);
    core.on_view_update(update, source);
}
