//! Reads the records from the store, for all entry VMs of a data centre.
//!
//! A watch counts as a call, so only the readers that [`ReaderRole`] names keep one; another VM
//! takes a turn when no reader seems to reach the store.

use std::sync::Arc;
use std::time::Duration;

use oleander_platform::{KeyValueStore, ReaderEvent, ReaderSettings, ReaderSink, RecordReader};
use oleander_records::{ReaderLimits, ReaderRole};

use crate::node::EntryNode;
use crate::records_feed::RecordFeed;

/// How often a VM looks whether it should read.
const ROLE_PERIOD: Duration = Duration::from_millis(250);

/// Reads while this VM is a reader, for as long as the process runs.
pub(crate) async fn run_record_reader(
    store: Arc<dyn KeyValueStore>,
    feed: Arc<RecordFeed>,
    node: Arc<EntryNode>,
) {
    let limits = ReaderLimits::default();
    let receiver = Arc::clone(&feed);
    let sink: ReaderSink = Arc::new(move |event| take_event(&receiver, &event));
    let reader = RecordReader::spawn(store, ReaderSettings::default(), sink);
    loop {
        let role = ReaderRole::choose(node.centre, &node.centre_instances());
        let is_reader = role.is_reader(&node.me, feed.contact_age(), &limits);
        feed.set_reading(is_reader);
        if is_reader {
            reader.start(feed.informed());
        } else {
            reader.stop();
        }
        tokio::time::sleep(ROLE_PERIOD).await;
    }
}

fn take_event(feed: &RecordFeed, event: &ReaderEvent) {
    if let ReaderEvent::Failed(error) = event {
        log::debug!("records cannot be read: {error}");
        return;
    }
    feed.note_contact();
    feed.update(|board| event.apply_to(board));
}
