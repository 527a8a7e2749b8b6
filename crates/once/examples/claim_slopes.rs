//! Measures the cost of a claim at its committer and of a token at its issuer.
//!
//! `cargo run --release -p oleander-once --example claim_slopes`

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use oleander_base::prelude::*;
use oleander_once::{
    BodyHash, ClaimEntry, KeyHash, LedgerLimits, ListedArchive, ShardWriter, StoreStep,
    TokenIssuer, TokenKey, TokenLedger, WriterLimits,
};

const CLAIMS: u64 = 300_000;
const CLAIMS_PER_COMMIT: u64 = 25;
const OWNERS: u64 = 420;
const TOKENS: u64 = 200_000;
const CUSTOMER: CustomerId = CustomerId(1);

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0) * 1_024
}

fn owner(index: u64) -> InstanceId {
    InstanceId {
        address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000)),
        incarnation: index.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    }
}

fn claim(serial: u64) -> ClaimEntry {
    ClaimEntry {
        key: KeyHash::of(CUSTOMER, &serial.to_string()),
        body: BodyHash([0; 8]),
        request: RequestId {
            origin: owner(serial * 7 % OWNERS),
            serial,
        },
    }
}

fn limits() -> WriterLimits {
    WriterLimits {
        segment_bytes: 4 << 10,
        segments: 1 << 20,
        retention: Span::from_secs(3_600),
    }
}

/// Holds the log of one shard in memory.
#[derive(Default)]
struct MemoryLog {
    revision: u64,
    tail: Vec<u8>,
    archives: Vec<ListedArchive>,
    archived_bytes: usize,
}

impl MemoryLog {
    fn resolve(&mut self, writer: &mut ShardWriter, batch: &[ClaimEntry]) {
        loop {
            self.revision += 1;
            let revision = Revision(self.revision);
            match writer.next_step(batch, MonoTime(0)) {
                StoreStep::ReadTail => writer.on_tail(None, MonoTime(0)).expect("an empty log"),
                StoreStep::ListArchives { .. } => {
                    writer.on_archives(&[], false).expect("an empty log");
                }
                StoreStep::WriteTail { value, .. } => {
                    self.tail = value.to_vec();
                    writer.on_tail_written(&Ok(revision), MonoTime(0));
                }
                StoreStep::WriteArchive { seq, value } => {
                    self.archived_bytes += value.len();
                    writer.on_archive_written(&Ok(revision));
                    self.archives.push(ListedArchive {
                        seq,
                        revision,
                        value,
                    });
                }
                StoreStep::Resolved | StoreStep::Full => return,
            }
        }
    }
}

fn measure_claims() {
    let before = resident_bytes();
    let mut log = MemoryLog::default();
    let mut writer = ShardWriter::new(limits());
    let begun = Instant::now();
    for commit in 0..CLAIMS / CLAIMS_PER_COMMIT {
        let first = commit * CLAIMS_PER_COMMIT;
        let batch: Vec<_> = (first..first + CLAIMS_PER_COMMIT).map(claim).collect();
        log.resolve(&mut writer, &batch);
    }
    let micros = begun.elapsed().as_micros() as f64 / CLAIMS as f64;
    let grown = resident_bytes().saturating_sub(before + log.archived_bytes as u64);
    println!(
        "commit: {micros:.2} us of processor time and {:.0} bytes of memory a claim, {:.1} bytes a claim in {} archives",
        grown as f64 / CLAIMS as f64,
        log.archived_bytes as f64 / CLAIMS as f64,
        log.archives.len()
    );
    measure_takeover(&log);
}

fn measure_takeover(log: &MemoryLog) {
    let begun = Instant::now();
    let mut writer = ShardWriter::new(limits());
    let tail = Some((Revision(log.revision), log.tail.as_slice()));
    writer.on_tail(tail, MonoTime(0)).expect("the log is sound");
    writer
        .on_archives(&log.archives, false)
        .expect("the log is sound");
    let took = begun.elapsed();
    println!(
        "takeover: {} claims read in {:.0} ms of processor time",
        writer.len(),
        took.as_secs_f64() * 1_000.0
    );
}

fn measure_tokens() {
    let limits = LedgerLimits {
        tokens: 1 << 20,
        ..LedgerLimits::default()
    };
    let issuer = TokenIssuer::new(TokenKey::new(1, &[7; 32]).expect("long enough"), None);
    let mut ledger = TokenLedger::new(owner(1), CentreId(1), limits);
    let begun = Instant::now();
    let issued = ledger.issue(CUSTOMER, TOKENS as u32, MonoTime(0));
    let tokens: Vec<_> = issued
        .expect("room")
        .iter()
        .map(|token| issuer.write(token))
        .collect();
    let issue = begun.elapsed().as_nanos() as f64 / TOKENS as f64 / 1_000.0;
    let begun = Instant::now();
    for text in &tokens {
        let token = issuer.read(text, CUSTOMER).expect("our own token");
        let request = claim(token.serial).request;
        black_box(ledger.begin(&token, BodyHash([0; 8]), request, MonoTime(1)));
        ledger.finish(token.serial, Verdict::Ran, None);
    }
    let use_once = begun.elapsed().as_nanos() as f64 / TOKENS as f64 / 1_000.0;
    println!(
        "token: {issue:.2} us to issue, {use_once:.2} us to use, {} characters",
        tokens.last().map_or(0, String::len)
    );
}

fn main() {
    measure_claims();
    measure_tokens();
}
