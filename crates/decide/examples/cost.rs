//! Measures the cost of a call of the tiered policy with many queued tickets.
//!
//! Usage: `cargo run --release -p oleander-decide --example cost`. The pool has 60 backend servers
//! of 16 slots, all in use, 7 classes in as many tiers, and 100 customers. Each round releases one
//! grant, after which a queued ticket is granted, and offers a new ticket.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use oleander_base::prelude::*;
use oleander_base::{EndKind, ReleaseNotice};
use oleander_decide::{
    BackendView, ClassView, DecisionNotice, PolicyKind, PoolConfig, PoolPolicy, open,
};

const BACKENDS: u32 = 60;
const SLOTS: u32 = 16;
const ROUNDS: u64 = 100_000;

fn ticket(serial: u64, pool: PoolId) -> Ticket {
    let class = (serial % 7) as u8;
    Ticket {
        request: RequestId {
            origin: InstanceId {
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, (serial % 18) as u16 + 1)),
                incarnation: 1,
            },
            serial,
        },
        pool,
        class: ClassId(u32::from(class)),
        tier: Tier(class),
        customer: CustomerId((serial.wrapping_mul(0x9e37_79b9) >> 8) as u32 % 100),
        waited: Span::ZERO,
        target: Span::from_secs(3_600),
        patience: Span::from_secs(7_200),
        prompt_tokens: 500,
        answer_limit: 2_000,
        prefix: None,
        adapter: None,
        avoid: None,
        spilled: false,
        digest: RequestDigest::default(),
    }
}

fn fill(policy: &mut dyn PoolPolicy, now: MonoTime, out: &mut Vec<oleander_decide::Decision>) {
    let backends: Vec<BackendView> = (0..BACKENDS)
        .map(|number| BackendView {
            backend: BackendId(number),
            slots: SLOTS,
            speed: 1.0 + f64::from(number % 4),
            leaving: false,
            reachable: true,
        })
        .collect();
    let classes: Vec<ClassView> = (0..7)
        .map(|class| ClassView {
            class: ClassId(class),
            first_token_target: Span::from_secs(3_600),
            token_gap_target: Span::from_millis(34),
            minimum_share: 0.02,
        })
        .collect();
    policy.set_classes(&classes, &[], now, out);
    policy.set_backends(&backends, now, out);
}

fn measure(queued: u64) -> (Duration, Duration, Duration) {
    let pool = PoolId {
        centre: CentreId(1),
        model: ModelId(1),
    };
    let mut config = PoolConfig::engines(pool);
    config.queue_bound = queued as usize + 1;
    let mut policy = open(PolicyKind::Tiered, config);
    let mut out = Vec::new();
    let mut now = MonoTime(0);
    fill(policy.as_mut(), now, &mut out);
    let full = queued + u64::from(BACKENDS * SLOTS);
    for serial in 0..full {
        let ticket = ticket(serial, pool);
        policy.offer(ticket.clone(), ticket.request.origin, now, &mut out);
    }
    let mut running: std::collections::VecDeque<_> = out.drain(..).collect();
    let (mut offering, mut releasing) = (Duration::ZERO, Duration::ZERO);
    for round in 0..ROUNDS {
        now = now + Span(3_000);
        let decision = running.pop_front().expect("every release grants a ticket");
        let DecisionNotice::Grant(grant) = decision.notice else {
            panic!("{decision:?}");
        };
        let release = ReleaseNotice {
            request: grant.request,
            pool,
            backend: grant.backend,
            end: EndKind::Finished,
            first_token: Some(Span::from_millis(200)),
            total: Span::from_millis(3_000),
            tokens: 100 + (round % 100) as u32,
            digest: RequestDigest::default(),
        };
        let start = Instant::now();
        policy.release(&release, now, &mut out);
        releasing += start.elapsed();
        let ticket = ticket(full + round, pool);
        let origin = ticket.request.origin;
        let start = Instant::now();
        policy.offer(ticket, origin, now, &mut out);
        offering += start.elapsed();
        running.extend(out.drain(..));
    }
    let start = Instant::now();
    for _ in 0..1_000 {
        now = now + Span::from_millis(20);
        policy.tick(now, &mut out);
    }
    (
        offering,
        releasing,
        start.elapsed() * (ROUNDS as u32 / 1_000),
    )
}

fn main() {
    println!("queued  offer (us)  release and grant (us)  tick (us)");
    for queued in [100, 1_000, 10_000] {
        let (offering, releasing, ticking) = measure(queued);
        let each = |time: Duration| time.as_secs_f64() * 1e6 / ROUNDS as f64;
        println!(
            "{queued:>6}  {:>10.2}  {:>22.2}  {:>9.2}",
            each(offering),
            each(releasing),
            each(ticking)
        );
    }
}
