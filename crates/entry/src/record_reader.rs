//! Reads the records from the store, for all entry VMs of a data centre.
//!
//! A watch counts as a call, so only the readers that [`ReaderRole`] names keep one; another VM
//! takes a turn when no reader seems to reach the store. A reader lists once and then watches
//! from the revision that it knows; a watch that lost its place makes it list again.

use std::sync::Arc;
use std::time::Duration;

use oleander_base::prelude::*;
use oleander_platform::{ListPage, StoreError};
use oleander_records::{RECORD_PREFIX, ReaderLimits, ReaderRole, RecordDelivery};
use rand::Rng;

use crate::node::EntryNode;
use crate::records_feed::RecordFeed;

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// How often a VM that does not read looks whether it should.
const ROLE_PERIOD: Duration = Duration::from_millis(250);
/// The first pause after a failed call; it doubles up to [`PAUSE_LIMIT`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after a failed call.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// Reads while this VM is a reader, for as long as the process runs.
pub(crate) async fn run_record_reader(feed: Arc<RecordFeed>, node: Arc<EntryNode>) {
    let limits = ReaderLimits::default();
    let mut pause = FIRST_PAUSE;
    let mut listed = false;
    loop {
        let role = ReaderRole::choose(node.centre, &node.centre_instances());
        let is_reader = role.is_reader(&node.me, feed.contact_age(), &limits);
        feed.set_reading(is_reader);
        if !is_reader {
            listed = false;
            tokio::time::sleep(ROLE_PERIOD).await;
            continue;
        }
        let result = if listed {
            follow(&feed).await
        } else {
            list_all(&feed).await
        };
        match result {
            Ok(()) => {
                listed = true;
                pause = FIRST_PAUSE;
                feed.note_contact();
            }
            Err(error) => {
                listed &= !matches!(error, StoreError::Compacted { .. });
                log::debug!("records cannot be read: {error}");
                // The jitter keeps the readers of all data centres from returning at once.
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(PAUSE_LIMIT);
            }
        }
    }
}

/// Reads every record.
async fn list_all(feed: &RecordFeed) -> Result<(), StoreError> {
    let mut pages: Vec<ListPage> = Vec::new();
    loop {
        let after = pages
            .last()
            .and_then(|page| page.entries.last())
            .map(|entry| entry.key.clone());
        let page = feed.store().list(RECORD_PREFIX, after.as_deref()).await?;
        let more = page.more;
        pages.push(page);
        if !more {
            break;
        }
    }
    // Records may change between two pages; the listing is whole as of its oldest page.
    let revision = pages
        .iter()
        .map(|page| page.revision)
        .min()
        .unwrap_or_default();
    let entries = || pages.iter().flat_map(|page| &page.entries);
    let keys: FastSet<String> = entries().map(|entry| entry.key.clone()).collect();
    feed.update(|board| {
        for entry in entries() {
            let text = Some(entry.value.as_ref());
            let delivery = RecordDelivery {
                key: &entry.key,
                revision: entry.revision,
                text,
            };
            board.apply_listed(&delivery, revision);
        }
        board.finish_listing(revision, &keys);
    });
    Ok(())
}

/// Waits for changes after what is known, and takes them in.
async fn follow(feed: &RecordFeed) -> Result<(), StoreError> {
    let batch = feed
        .store()
        .watch(RECORD_PREFIX, feed.informed(), WATCH_WAIT)
        .await?;
    feed.update(|board| {
        for event in &batch.events {
            let text = event.value.as_deref();
            board.apply(&RecordDelivery {
                key: &event.key,
                revision: event.revision,
                text,
            });
        }
        board.advance(batch.revision);
    });
    Ok(())
}
