//! Measures, against the stand-in on loopback, the time from the acceptance of a change until a
//! reader has it, and the rate of calls of an idle reader.
//!
//! `cargo run --release -p oleander-platform --example record_lag`

use std::sync::Arc;
use std::time::{Duration, Instant};

use oleander_base::prelude::*;
use oleander_platform::{
    BudgetLimits, ClientSettings, Expected, PlatformClient, ReaderEvent, ReaderSettings,
    RecordReader, RecordWriter,
};
use oleander_records::{RecordKind, RecordSet, SchemaCatalog, parse_document};
use oleander_standin::{PlatformSettings, PlatformStandIn};
use tokio::sync::watch;

/// Number of changes, which are made one after the other.
const CHANGE_COUNT: u64 = 300;
/// Time for which the idle reader is observed.
const IDLE_DURATION: Duration = Duration::from_secs(20);

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("failed to start the runtime");
    runtime.block_on(measure());
}

async fn measure() {
    let standin = PlatformStandIn::bind(PlatformSettings::default())
        .expect("failed to bind the stand-in on loopback");
    let client = open_client(&standin);
    let (seen, mut latest) = watch::channel(Revision::default());
    let sink = Arc::new(move |event: ReaderEvent| match event {
        ReaderEvent::Listing { revision, .. } => drop(seen.send_replace(revision)),
        ReaderEvent::Batch(batch) => drop(seen.send_replace(batch.revision)),
        ReaderEvent::Failed(error) => println!("the reader failed: {error}"),
    });
    let reader = RecordReader::spawn(Arc::new(client), ReaderSettings::default(), sink);
    reader.start(Revision::default());

    let writer = RecordWriter::new(Arc::new(open_client(&standin)), SchemaCatalog::current());
    let set = RecordSet::default();
    let mut expected = Expected::Absent;
    let mut lags = Vec::new();
    for target in 1..=CHANGE_COUNT {
        let text =
            format!(r#"{{"schema":2,"name":"d","tier":1,"first_token_target_ms":{target}}}"#);
        let document =
            parse_document(RecordKind::Class, text.as_bytes()).expect("invalid document");
        let done = writer.put(&set, document, expected).await;
        let revision = done.expect("failed to write the record").revision;
        let accepted = Instant::now();
        let synced = latest.wait_for(|latest| *latest >= revision).await;
        drop(synced.expect("the reader has ended"));
        lags.push(accepted.elapsed());
        expected = Expected::At(revision);
    }
    lags.sort_unstable();
    let at = |percent: usize| lags[(lags.len() - 1) * percent / 100].as_secs_f64() * 1e3;
    println!(
        "{CHANGE_COUNT} changes: from acceptance to the reader p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms",
        at(50),
        at(99),
        at(100)
    );
    let before = standin.counters().reads;
    tokio::time::sleep(IDLE_DURATION).await;
    let reads = standin.counters().reads - before;
    println!(
        "idle reader: {:.2} calls/s over {IDLE_DURATION:?}",
        reads as f64 / IDLE_DURATION.as_secs_f64()
    );
}

fn open_client(standin: &PlatformStandIn) -> PlatformClient {
    let mut settings = ClientSettings::new(standin.address());
    settings.limits = BudgetLimits {
        reads_per_second: 2_000.0,
        writes_per_second: 2_000.0,
    };
    PlatformClient::open(settings).expect("failed to start the client's thread")
}
