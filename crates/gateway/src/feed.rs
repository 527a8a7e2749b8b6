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

use crate::belief::{Applied, KnownFact, RemovalMode};
use crate::core::GatewayCore;
use crate::peer_relay::{FactsClient, RelayError, ask_gateway};
use crate::port::{StoreItem, StoreSubject};
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError};

/// How many gateways of a data centre the others ask: the reader of the store and its substitute.
const READERS: usize = 2;

/// How long a reader that did not answer is not asked again.
const READER_REST: Span = Span::from_millis(2_000);

/// How long a reader that has no news is not asked again.
const STALE_REST: Span = Span::from_millis(700);

/// The share of the shortest bound after which the watch is asked again.
const PACE_SHARE: u64 = 4;

/// How long the store holds a watch that has nothing to tell.
const WATCH_WAIT: Span = Span::from_millis(1_000);

/// How long after that its answer may still come.
const WATCH_SLACK: Span = Span::from_millis(700);

/// How long a page of a listing may take.
const LIST_LIMIT: Span = Span::from_millis(1_500);

/// The pause after a first failed call of the store; up to twice as long at random.
const RETRY_PAUSE: Span = Span::from_millis(150);

/// How often the pause doubles at a gateway that reads the store for others.
const READER_DOUBLINGS: u32 = 2;

/// How often the pause doubles at other gateways.
const ASKER_DOUBLINGS: u32 = 3;

/// How long the store may be silent before other gateways are asked.
const RELAY_AFTER: Span = Span::from_millis(600);

/// How long the store may be silent before entries that are gone may only have lapsed.
const AWAY_AFTER: Span = Span::from_millis(1_500);

/// How long after the store's return entries that are gone may still come back.
pub(crate) const RETURN_TIME: Span = Span::from_millis(2_000);

#[derive(Debug, Serialize)]
struct LostFields {
    reason: String,
    revision: u64,
}

#[derive(Debug, Serialize)]
struct RegainedFields {
    away_ms: f64,
    revision: u64,
}

/// The feed's own state.
#[derive(Debug)]
struct Feed {
    core: Rc<GatewayCore>,
    client: StoreClient,
    readers: [FactsClient; READERS],
    needs_list: bool,
    lost_since: Option<MonoTime>,
    last_answer: MonoTime,
    returned_at: Option<MonoTime>,
    /// Calls of the store that failed one after the other.
    failures: u32,
    /// When the store may be called again.
    rests_until: MonoTime,
    /// Until when each reader is not asked.
    readers_rest: [MonoTime; READERS],
    is_reader: bool,
}

/// Keeps the belief up to date for as long as the process lives.
pub(crate) async fn run_feed(core: Rc<GatewayCore>) {
    let store = core.settings().store;
    let meters = Rc::clone(&core.meters);
    let mut feed = Feed {
        client: StoreClient::open(store, meters),
        readers: Default::default(),
        core,
        needs_list: true,
        lost_since: None,
        last_answer: monotonic_now(),
        returned_at: None,
        failures: 0,
        rests_until: MonoTime::default(),
        readers_rest: [MonoTime::default(); READERS],
        is_reader: true,
    };
    loop {
        let asked = monotonic_now();
        match feed.step().await {
            Ok(()) => feed.pause_until(asked + feed.pace()).await,
            Err(error) => feed.recover(&error).await,
        }
    }
}

impl Feed {
    fn pace(&self) -> Span {
        let settings = self.core.settings();
        let bound = settings.drain_time.min(settings.apply_time);
        Span(bound.0 / PACE_SHARE)
    }

    async fn pause_until(&self, moment: MonoTime) {
        let left = moment.since(monotonic_now());
        sleep(Duration::from(left)).await;
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        if self.ask_readers().await {
            return Ok(());
        }
        if monotonic_now() < self.rests_until {
            ask_gateway(&self.core).await;
            return Ok(());
        }
        self.client.retarget(self.core.settings().store);
        if self.needs_list {
            self.list().await?;
            self.needs_list = false;
            return Ok(());
        }
        let after = self.core.belief.borrow().at;
        let request = self.core.port.watch_request(after, WATCH_WAIT);
        let body = self.client.call(&request, WATCH_WAIT + WATCH_SLACK).await?;
        let changes = self
            .core
            .port
            .decode_changes(&body)
            .map_err(|error| StoreError::Answer(error.to_string()))?;
        self.heard_store();
        self.apply(changes.items, changes.at);
        Ok(())
    }

    /// Asks the gateways that read the store before this one would; returns whether one told the news.
    async fn ask_readers(&mut self) -> bool {
        let settings = self.core.settings();
        let ranked = self.core.belief.borrow().ranked_gateways(&settings.centre);
        let own = ranked
            .iter()
            .position(|gateway| gateway.name == settings.name)
            .unwrap_or(0);
        self.is_reader = own < READERS;
        for (rank, reader) in ranked.iter().enumerate().take(own.min(READERS)) {
            if monotonic_now() < self.readers_rest[rank] {
                continue;
            }
            match self.readers[rank].ask(&self.core, reader.control).await {
                Ok(_) => {
                    self.answered();
                    return true;
                }
                Err(error) => self.reader_lost(rank, &error),
            }
        }
        false
    }

    fn reader_lost(&mut self, rank: usize, error: &RelayError) {
        let rest = match error {
            RelayError::Stale(_) => STALE_REST,
            _ => READER_REST,
        };
        self.readers_rest[rank] = monotonic_now() + rest;
        let fields = LostFields {
            reason: error.to_string(),
            revision: self.core.belief.borrow().at.0,
        };
        self.core.log.change("reader-lost", fields);
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let mut after: Option<String> = None;
        let mut first_at = None;
        let mut listed = FastSet::default();
        let mut items = Vec::new();
        loop {
            let request = self.core.port.list_request(after.as_deref());
            let body = self.client.call(&request, LIST_LIMIT).await?;
            let page = self
                .core
                .port
                .decode_page(&body)
                .map_err(|error| StoreError::Answer(error.to_string()))?;
            // Pages are read one after the other, so changes since the first one are watched again.
            first_at.get_or_insert(page.at);
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
        let at = first_at.unwrap_or_default();
        self.heard_store();
        self.apply(items, at);
        let mode = self.removal_mode();
        let mut applied = Applied::default();
        self.core.belief.borrow_mut().keep_only(
            &listed,
            at,
            mode,
            &mut self.core.fleet.borrow_mut(),
            monotonic_now(),
            &mut applied,
        );
        self.core.note_applied(applied, "store");
        Ok(())
    }

    /// Notes an answer of the store itself.
    fn heard_store(&mut self) {
        self.answered();
        self.core.belief.borrow_mut().contact = Some(monotonic_now());
    }

    /// Notes news of the store.
    fn answered(&mut self) {
        let now = monotonic_now();
        if now.since(self.last_answer) > AWAY_AFTER {
            self.returned_at = Some(now);
        }
        self.last_answer = now;
        self.failures = 0;
        if let Some(lost) = self.lost_since.take() {
            let fields = RegainedFields {
                away_ms: now.since(lost).as_millis_f64(),
                revision: self.core.belief.borrow().at.0,
            };
            self.core.log.change("store-regained", fields);
        }
    }

    fn removal_mode(&self) -> RemovalMode {
        let now = monotonic_now();
        match self.returned_at {
            Some(returned) if now.since(returned) < RETURN_TIME => RemovalMode::MayHaveLapsed,
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

    async fn recover(&mut self, error: &StoreError) {
        let now = monotonic_now();
        if matches!(error, StoreError::Status(410)) {
            self.needs_list = true;
            self.core.log.change(
                "store-history-gone",
                LostFields {
                    reason: error.to_string(),
                    revision: self.core.belief.borrow().at.0,
                },
            );
            return;
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            self.core.log.change(
                "store-lost",
                LostFields {
                    reason: error.to_string(),
                    revision: self.core.belief.borrow().at.0,
                },
            );
        }
        if now.since(self.last_answer) > RELAY_AFTER {
            ask_gateway(&self.core).await;
        }
        let pause = self.retry_pause();
        self.rests_until = monotonic_now() + pause;
        sleep(Duration::from(pause.min(self.pace()))).await;
    }

    /// Returns how long the store is left alone after another failed call.
    fn retry_pause(&mut self) -> Span {
        let most = if self.is_reader {
            READER_DOUBLINGS
        } else {
            ASKER_DOUBLINGS
        };
        let doublings = self.failures.min(most);
        self.failures += 1;
        let pause = (RETRY_PAUSE.0 << doublings) as f64 * (1.0 + self.core.random());
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
    let mut applied = Applied::default();
    let mut belief = core.belief.borrow_mut();
    let mut fleet = core.fleet.borrow_mut();
    for fact in facts {
        belief.apply(
            fact.item,
            fact.mode,
            &mut fleet,
            &*core.port,
            now,
            &mut applied,
        );
    }
    belief.at = belief.at.max(at);
    drop(fleet);
    drop(belief);
    core.note_applied(applied, source);
}
