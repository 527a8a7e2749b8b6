//! Keeps the belief up to date from the store.
//!
//! One watch covers manifest, registry and gateways. The registry changes many times a second, so
//! the watch is asked again at a pace: changes come in batches, each call costs the platform, and
//! the pace is a fraction of what a change may take. In each data centre one gateway reads the store
//! and the others ask it, or its substitute where it does not answer or has not heard the store
//! lately; where neither has news they read the store themselves. A store that does not answer is
//! asked less and less often, and meanwhile any other gateway is asked for what it has read.

use std::rc::Rc;
use std::time::Duration;

use oleander_base::{FastSet, monotonic_now};
use serde::Serialize;
use tokio::time::sleep;

use crate::platform_view::{ViewUpdate, KnownFact, RemovalMode};
use crate::core::GatewayCore;
use crate::peer_facts::{FactsClient, FactsError, query_random_gateway};
use crate::port::{StoreItem, StoreSubject};
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError};

/// How many gateways of a data centre the others ask: the reader of the store and its substitute.
const READER_COUNT: usize = 2;

/// How long a reader that did not answer is not asked again.
const READER_BACKOFF: Span = Span::from_millis(2_000);

/// How long a reader that has no news is not asked again.
const STALE_BACKOFF: Span = Span::from_millis(700);

/// The share of the shortest bound after which the watch is asked again.
const POLLS_PER_BOUND: u64 = 4;

/// How long the store holds a watch that has nothing to tell.
const WATCH_WAIT: Span = Span::from_millis(1_000);

/// How long after that its answer may still come.
const WATCH_GRACE: Span = Span::from_millis(700);

/// How long a page of a listing may take.
const LIST_TIMEOUT: Span = Span::from_millis(1_500);

/// The pause after a first failed call of the store; up to twice as long at random.
const BACKOFF_BASE: Span = Span::from_millis(150);

/// How often the pause doubles at a gateway that reads the store for others.
const READER_DOUBLINGS: u32 = 2;

/// How often the pause doubles at other gateways.
const FOLLOWER_DOUBLINGS: u32 = 3;

/// How long the store may be silent before other gateways are asked.
const QUERY_PEERS_AFTER: Span = Span::from_millis(600);

/// How long the store may be silent before entries that are gone may only have lapsed.
const UNREACHABLE_AFTER: Span = Span::from_millis(1_500);

/// How long after the store's return entries that are gone may still come back.
pub(crate) const RECOVERY_WINDOW: Span = Span::from_millis(2_000);

#[derive(Debug, Serialize)]
struct StoreLostFields {
    reason: String,
    revision: u64,
}

#[derive(Debug, Serialize)]
struct StoreRegainedFields {
    away_ms: f64,
    revision: u64,
}

/// The feed's own state.
#[derive(Debug)]
struct StoreWatch {
    core: Rc<GatewayCore>,
    client: StoreClient,
    readers: [FactsClient; READER_COUNT],
    needs_list: bool,
    unreachable_since: Option<MonoTime>,
    last_response: MonoTime,
    recovered_at: Option<MonoTime>,
    /// Calls of the store that failed one after the other.
    failures: u32,
    /// When the store may be called again.
    retry_at: MonoTime,
    /// Until when each reader is not asked.
    readers_retry_at: [MonoTime; READER_COUNT],
    is_reader: bool,
}

/// Keeps the belief up to date for as long as the process lives.
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

    /// Asks the gateways that read the store before this one would; returns whether one told the news.
    async fn query_readers(&mut self) -> bool {
        let settings = self.core.settings();
        let ranked = self.core.view.borrow().ranked_gateways(&settings.centre);
        let own = ranked
            .iter()
            .position(|gateway| gateway.name == settings.name)
            .unwrap_or(0);
        self.is_reader = own < READER_COUNT;
        for (rank, reader) in ranked.iter().enumerate().take(own.min(READER_COUNT)) {
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
        let fields = StoreLostFields {
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
            // Pages are read one after the other, so changes since the first one are watched again.
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

    /// Notes an answer of the store itself.
    fn on_store_response(&mut self) {
        self.on_contact();
        self.core.view.borrow_mut().store_contact = Some(monotonic_now());
    }

    /// Notes news of the store.
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
                StoreLostFields {
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
                StoreLostFields {
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

    /// Returns how long the store is left alone after another failed call.
    fn next_backoff(&mut self) -> Span {
        let most = if self.is_reader {
            READER_DOUBLINGS
        } else {
            FOLLOWER_DOUBLINGS
        };
        let doublings = self.failures.min(most);
        self.failures += 1;
        let pause = (BACKOFF_BASE.0 << doublings) as f64 * (1.0 + self.core.random());
        Span(pause as u64)
    }
}

/// Takes over facts, from the store or from another gateway.
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
