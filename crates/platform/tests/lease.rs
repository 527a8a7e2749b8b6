//! Tests the lease holder against the stand-in: one holder at a time, through pauses and outages.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use common::{bind_standin, block_on, open_client, wait_until};
use oleander_base::prelude::*;
use oleander_platform::{HeldLease, KeyValueStore, LeaseHolder, LeaseId, LeaseSettings, boot_time};
use oleander_standin::{FaultPlan, OutageKind, PlatformStandIn};

/// Offset of the paused process's clock, in microseconds.
static CLOCK_OFFSET_MICROS: AtomicU64 = AtomicU64::new(0);

fn offset_clock() -> MonoTime {
    boot_time() + Span(CLOCK_OFFSET_MICROS.load(Ordering::SeqCst))
}

fn spawn_holder(standin: &PlatformStandIn, name: &str, clock: fn() -> MonoTime) -> LeaseHolder {
    let settings = LeaseSettings {
        time_to_live: Duration::from_millis(1_500),
        clock,
        ..LeaseSettings::new("leases/orders/c", name)
    };
    let holder = LeaseHolder::spawn(Arc::new(open_client(standin)), settings);
    holder.set_candidate(true);
    holder
}

#[test]
fn one_of_three_candidates_holds_and_hands_over_with_a_larger_number() {
    let standin = bind_standin();
    block_on(async move {
        let holders: Vec<_> = ["a", "b", "c"]
            .iter()
            .map(|name| spawn_holder(&standin, name, boot_time))
            .collect();
        let mut last = Revision(0);
        for left in (1..=3).rev() {
            let held = |holder: &LeaseHolder| holder.fencing().is_some();
            wait_until(|| holders.iter().any(held)).await;
            assert_eq!(holders.iter().filter(|holder| held(holder)).count(), 1);
            let holder = holders.iter().find(|holder| held(holder)).unwrap();
            let fencing = holder.fencing().unwrap();
            assert!(fencing > last, "{left} left");
            last = fencing;
            holder.stop().await;
            assert_eq!(holder.fencing(), None);
        }
        assert!(standin.dump().contains(", 0 leases"), "{}", standin.dump());
    });
}

#[test]
fn a_paused_holder_detects_the_expiry_and_its_successor_has_a_larger_number() {
    let standin = bind_standin();
    block_on(async move {
        let paused = spawn_holder(&standin, "paused", offset_clock);
        wait_until(|| paused.fencing().is_some()).await;
        let old = paused.fencing().unwrap();
        // After a pause longer than the lease, the first read of the clock shows that the lease
        // expired.
        CLOCK_OFFSET_MICROS.store(10_000_000, Ordering::SeqCst);
        assert_eq!(paused.fencing(), None);
        paused.set_candidate(false);
        let successor = spawn_holder(&standin, "next", boot_time);
        wait_until(|| successor.fencing().is_some()).await;
        assert!(successor.fencing().unwrap() > old);
        assert_eq!(paused.fencing(), None);
    });
}

#[test]
fn a_holder_without_the_store_stops_holding_and_takes_the_lease_again() {
    let standin = bind_standin();
    block_on(async move {
        let holder = spawn_holder(&standin, "a", boot_time);
        wait_until(|| holder.fencing().is_some()).await;
        let first = holder.fencing().unwrap();
        standin.set_faults(FaultPlan {
            outage: OutageKind::Refuse,
            ..FaultPlan::default()
        });
        wait_until(|| holder.fencing().is_none()).await;
        standin.set_faults(FaultPlan::default());
        wait_until(|| holder.fencing().is_some()).await;
        assert!(holder.fencing().unwrap() > first);
        assert!(holder.counters().lost >= 1);
    });
}

#[test]
fn a_lost_answer_of_the_acquiring_write_is_resolved() {
    let standin = bind_standin();
    block_on(async move {
        // The answers to the grant and then to the put are lost.
        standin.drop_write_answers(2);
        let holder = spawn_holder(&standin, "a", boot_time);
        wait_until(|| holder.fencing().is_some()).await;
        let client = open_client(&standin);
        let entry = client.get("leases/orders/c").await.unwrap().unwrap();
        assert_eq!(holder.fencing(), Some(entry.revision));
    });
}

#[test]
fn a_lease_counts_from_its_sending_with_a_margin() {
    let mut held = HeldLease {
        lease: LeaseId(1),
        fencing: Revision(2),
        time_to_live: Span::from_secs(10),
        sent: MonoTime(1_000_000),
    };
    let at = |secs| MonoTime(1_000_000) + Span::from_secs(secs);
    assert!(held.is_held(at(8)));
    assert!(!held.is_held(at(9)));
    held.renew(at(5));
    assert!(held.is_held(at(13)));
    held.renew(at(2));
    assert!(!held.is_held(at(14)));
}
