//! Measures the time and memory that a replica of a given size takes, for docs/CAPACITY.md.
//!
//! Run `cargo run --release -p oleander-records --example board_cost -- RECORDS` once for each
//! size, so that the memory of one size is not reused by the next.

use std::time::{Duration, Instant};

use oleander_base::prelude::*;
use oleander_records::{RecordDelivery, RecordReplica, hash_key};

/// The default size of the replica in records.
const DEFAULT_SIZE: usize = 12_800;
/// The number of changes that are applied to a full replica, and of repetitions of each timed call.
const CHANGES: usize = 200;
/// The size of a memory page in bytes.
const PAGE_BYTES: f64 = 4_096.0;

fn main() {
    println!("records  load_ms  change_us  build_ms  digest_ns  key_us  delta_kb  memory_mb");
    let size = std::env::args().nth(1).and_then(|text| text.parse().ok());
    measure(size.unwrap_or(DEFAULT_SIZE));
}

fn measure(size: usize) {
    let before = resident_mb();
    let texts: Vec<_> = (0..size).map(record).collect();
    let began = Instant::now();
    let mut replica = RecordReplica::default();
    for (index, (key, text)) in texts.iter().enumerate() {
        apply(&mut replica, key, text, index + 1);
    }
    replica.advance(Revision(size as u64));
    let load = began.elapsed();
    drop(texts);
    let set = replica.set();
    let memory = resident_mb() - before;

    let began = Instant::now();
    for change in 0..CHANGES {
        let (key, text) = record(change);
        apply(&mut replica, &key, &text, size + 1 + change);
    }
    let change = began.elapsed() / CHANGES as u32;
    let began = Instant::now();
    drop(replica.set());
    let build = began.elapsed();
    let digest = time_each(|| replica.digest());
    let key = time_each(|| set.customer_by_key("key-7"));
    let delta = replica.delta(Revision(0), usize::MAX);
    let bytes: usize = delta
        .entries
        .iter()
        .map(|entry| entry.text.as_ref().map_or(0, Vec::len))
        .sum();
    println!(
        "{size:7}  {:7.1}  {:9.1}  {:8.2}  {:9.0}  {:6.2}  {:8}  {memory:9.1}",
        load.as_secs_f64() * 1e3,
        change.as_secs_f64() * 1e6,
        build.as_secs_f64() * 1e3,
        digest.as_secs_f64() * 1e9,
        key.as_secs_f64() * 1e6,
        bytes / 1_024,
    );
}

/// Returns a customer for every twentieth index, about the ratio of 580 customers to 12,000 engines,
/// and an engine otherwise.
fn record(index: usize) -> (String, String) {
    if index.is_multiple_of(20) {
        let hash = hash_key(&format!("key-{index}"));
        let text = format!(
            r#"{{"schema":2,"name":"c{index}","share":1.5,"default_class":"d","key_hashes":["{hash}"],"write_id":"0123456789abcdef0123456789abcdef"}}"#
        );
        return (format!("records/customer/c{index}"), text);
    }
    let port = 1 + index;
    let text = format!(
        r#"{{"schema":1,"name":"e{index}","kind":"engine","centre":"c{}","address":"10.1.2.3:{port}","serves":["assistant"],"slots":32,"wanted":{{"model":"assistant","version":"7","adapters":["tone"]}},"write_id":"0123456789abcdef0123456789abcdef"}}"#,
        index % 24
    );
    (format!("records/backend/e{index}"), text)
}

fn apply(replica: &mut RecordReplica, key: &str, text: &str, revision: usize) {
    replica.apply(&RecordDelivery {
        key,
        revision: Revision(revision as u64),
        text: Some(text.as_bytes()),
    });
}

fn time_each<T>(mut call: impl FnMut() -> T) -> Duration {
    let began = Instant::now();
    for _ in 0..CHANGES {
        std::hint::black_box(call());
    }
    began.elapsed() / CHANGES as u32
}

fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1e6
}
