//! Reads the records from the key-value store on behalf of all entry VMs of a data centre.
//!
//! A watch counts against the call budget, so only the readers that [`ReaderRole`] chooses keep
//! one. Another VM takes over when no reader seems to reach the store.

use std::sync::Arc;
use std::time::Duration;

use oleander_platform::{KeyValueStore, ReaderEvent, ReaderSettings, ReaderSink, RecordReader};
use oleander_records::{ReaderLimits, ReaderRole};

use crate::node::EntryNode;
use crate::record_sync::RecordSync;

/// Interval at which a VM checks whether it should read.
const ROLE_PERIOD: Duration = Duration::from_millis(250);

/// Reads the store while this VM is a reader, for as long as the process runs.
pub(crate) async fn run_record_reader(
    store: Arc<dyn KeyValueStore>,
    record_sync: Arc<RecordSync>,
    node: Arc<EntryNode>,
) {
    let limits = ReaderLimits::default();
    let receiver = Arc::clone(&record_sync);
    let sink: ReaderSink = Arc::new(move |event| on_reader_event(&receiver, &event));
    let reader = RecordReader::spawn(store, ReaderSettings::default(), sink);
    loop {
        let role = ReaderRole::choose(node.centre, &node.centre_instances());
        let is_reader = role.is_reader(&node.me, record_sync.contact_age(), &limits);
        record_sync.set_reading(is_reader);
        if is_reader {
            reader.start(record_sync.known_revision());
        } else {
            reader.stop();
        }
        tokio::time::sleep(ROLE_PERIOD).await;
    }
}

fn on_reader_event(record_sync: &RecordSync, event: &ReaderEvent) {
    if let ReaderEvent::Failed(error) = event {
        log::debug!("cannot read records from the key-value store: {error}");
        return;
    }
    record_sync.on_store_contact();
    record_sync.update(|replica| event.apply_to(replica));
}
