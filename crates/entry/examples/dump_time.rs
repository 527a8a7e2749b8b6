//! Measures how long a dump of a dispatcher with many waiting requests takes, and for how long it
//! blocks other work.
//!
//! `cargo run --release -p oleander-entry --example dump_time [WAITING]` prints one line.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_decide::{BackendView, ClassView, CustomerView, PolicyKind, PoolKind};
use oleander_entry::{DispatcherTable, Journal, PoolView};

/// Default number of waiting requests.
const WAITING: u64 = 10_000;
/// Number of dumps to measure; the slowest one is reported.
const DUMPS: usize = 20;
/// Number of customers that the requests are divided among.
const CUSTOMERS: u64 = 10;

fn ticket(pool: PoolId, instance: InstanceId, number: u64) -> Ticket {
    Ticket {
        request: RequestId {
            origin: instance,
            serial: number,
        },
        pool,
        class: ClassId::from_name("batch"),
        tier: Tier((number % 3) as u8),
        customer: CustomerId::from_name(&format!("customer-{}", number % CUSTOMERS)),
        waited: Span::ZERO,
        target: Span::from_secs(60),
        patience: Span::from_secs(600),
        prompt_tokens: 200,
        answer_limit: 200,
        prefix: None,
        adapter: None,
        avoid: None,
        spilled: false,
        digest: RequestDigest::default(),
    }
}

fn view() -> PoolView {
    let customers = (0..CUSTOMERS).map(|number| CustomerView {
        customer: CustomerId::from_name(&format!("customer-{number}")),
        weight: 1.0,
    });
    PoolView {
        kind: PoolKind::Engines,
        backends: vec![BackendView {
            backend: BackendId::from_name("engine"),
            slots: 8,
            speed: 1.0,
            leaving: false,
            reachable: true,
        }],
        classes: vec![ClassView {
            class: ClassId::from_name("batch"),
            first_token_target: Span::from_secs(60),
            token_gap_target: Span::from_millis(100),
            minimum_share: 0.05,
        }],
        customers: customers.collect(),
    }
}

fn main() {
    let waiting = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let waiting: u64 = waiting.unwrap_or(WAITING);
    let journal = Arc::new(Journal::default());
    let table = Arc::new(DispatcherTable::new(
        PolicyKind::Tiered,
        2 * waiting as usize,
        journal,
    ));
    let instance = InstanceId {
        address: ([127, 0, 0, 1], 7_000).into(),
        incarnation: 1,
    };
    let pool = PoolId {
        centre: CentreId::from_name("ke"),
        model: ModelId::from_name("editor"),
    };
    let begin = monotonic_now();
    table.take_over(pool, &view(), begin);
    let granting = begin + Span::from_secs(10);
    let _ = table.tick(granting);
    for number in 0..waiting {
        let _ = table.offer(ticket(pool, instance, number), instance, granting);
    }
    let done = Arc::new(AtomicBool::new(false));
    let other = Arc::clone(&table);
    let ended = Arc::clone(&done);
    let traffic = std::thread::spawn(move || {
        let mut longest = Duration::ZERO;
        let mut number = waiting;
        while !ended.load(Ordering::Relaxed) {
            let begin = Instant::now();
            let _ = other.offer(ticket(pool, instance, number), instance, granting);
            let _ = other.withdraw(
                pool,
                RequestId {
                    origin: instance,
                    serial: number,
                },
                granting,
            );
            longest = longest.max(begin.elapsed());
            number += 1;
            std::thread::sleep(Duration::from_micros(200));
        }
        longest
    });
    let mut slowest = Duration::ZERO;
    let mut bytes = 0;
    for _ in 0..DUMPS {
        let begin = Instant::now();
        bytes = table.dump(granting).len();
        slowest = slowest.max(begin.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    done.store(true, Ordering::Relaxed);
    let longest = traffic.join().expect("the traffic does not panic");
    println!("{waiting} waiting: dump {bytes} bytes in {slowest:?}, longest wait {longest:?}");
}
