//! Keeps the belief up to date from the store.
//!
//! One watch covers manifest, registry and gateways. The registry changes many times a second, so
//! the watch is asked again at a pace: changes come in batches, each call costs the platform, and
//! the pace is a fraction of what a change may take. In a data centre with many gateways only a
//! few read the store; the others ask these, and read the store themselves as soon as one of them
//! does not answer or has not heard the store lately. While the store does not answer, any other
//! gateway is asked for what it has read.

use std::rc::Rc;
use std::time::Duration;

use oleander_base::{FastSet, monotonic_now};
use serde::Serialize;
use tokio::time::sleep;

use crate::belief::{Applied, KnownFact, RemovalMode};
use crate::core::GatewayCore;
use crate::peer_relay::{FactsClient, ask_gateway};
use crate::port::{StoreItem, StoreSubject};
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError};

/// How many gateways of a data centre read the store.
const READERS: usize = 2;

/// The share of the shortest bound after which the watch is asked again.
const PACE_SHARE: u64 = 4;

/// How long the store holds a watch that has nothing to tell.
const WATCH_WAIT: Span = Span::from_millis(1_000);

/// How long after that its answer may still come.
const WATCH_SLACK: Span = Span::from_millis(700);

/// How long a page of a listing may take.
const LIST_LIMIT: Span = Span::from_millis(1_500);

/// The pause after a failed call; up to twice as long at random.
const RETRY_PAUSE: Span = Span::from_millis(150);

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
    readers: FactsClient,
    needs_list: bool,
    lost_since: Option<MonoTime>,
    last_answer: MonoTime,
    returned_at: Option<MonoTime>,
}

/// Keeps the belief up to date for as long as the process lives.
pub(crate) async fn run_feed(core: Rc<GatewayCore>) {
    let store = core.settings().store;
    let meters = Rc::clone(&core.meters);
    let mut feed = Feed {
        client: StoreClient::open(store, meters),
        readers: FactsClient::default(),
        core,
        needs_list: true,
        lost_since: None,
        last_answer: monotonic_now(),
        returned_at: None,
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
        if self.ask_reader().await {
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

    /// Asks a gateway that reads the store, if this one does not; returns whether it told the news.
    async fn ask_reader(&mut self) -> bool {
        let settings = self.core.settings();
        let ranked = self.core.belief.borrow().ranked_gateways(&settings.centre);
        let own = ranked
            .iter()
            .position(|gateway| gateway.name == settings.name);
        let Some(own) = own.filter(|rank| *rank >= READERS) else {
            return false;
        };
        let reader = ranked[own % READERS].control;
        match self.readers.ask(&self.core, reader).await {
            Ok(_) => {
                self.answered();
                true
            }
            Err(error) => {
                self.core.log.change(
                    "reader-lost",
                    LostFields {
                        reason: error.to_string(),
                        revision: self.core.belief.borrow().at.0,
                    },
                );
                false
            }
        }
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
        let pause = RETRY_PAUSE.0 as f64 * (1.0 + self.core.random());
        sleep(Duration::from_micros(pause as u64)).await;
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
