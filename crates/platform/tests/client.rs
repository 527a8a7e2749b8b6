//! Tests the client against the stand-in: every call, and every kind of failure.

mod common;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{bind_standin, block_on, open_client, wait_until};
use oleander_base::prelude::*;
use oleander_platform::wire::{WireVm, WireVmState};
use oleander_platform::{
    BudgetLimits, CallBudget, CallClass, CallKind, ClientSettings, Expected, KeyValueStore,
    PlatformClient, StoreError, VmList, VmState,
};
use oleander_standin::{FaultPlan, OutageKind, PlatformSettings, PlatformStandIn};

#[test]
fn reads_what_was_written() {
    let standin = bind_standin();
    let client = open_client(&standin);
    block_on(async move {
        assert_eq!(client.get("a").await.unwrap(), None);
        let first = client.put("a", Expected::Absent, "1".into(), None).await;
        let first = first.unwrap();
        let entry = client.get("a").await.unwrap().unwrap();
        assert_eq!((entry.value, entry.revision), (Bytes::from("1"), first));
        let conflict = client.put("a", Expected::Absent, "2".into(), None).await;
        assert_eq!(
            conflict,
            Err(StoreError::Conflict {
                current: Some(first)
            })
        );
        let second = client.put("a", Expected::At(first), "2".into(), None).await;
        let second = second.unwrap();
        assert!(second > first);
        assert!(client.delete("a", Expected::At(first)).await.is_err());
        client.delete("a", Expected::At(second)).await.unwrap();
        assert_eq!(client.get("a").await.unwrap(), None);
    });
}

#[test]
fn lists_by_pages_in_the_order_of_keys() {
    let standin = PlatformStandIn::bind(PlatformSettings {
        page_entries: 3,
        ..PlatformSettings::default()
    })
    .unwrap();
    let client = open_client(&standin);
    block_on(async move {
        for key in ["p/4", "p/1", "q/1", "p/3", "p/2", "p/0", "o"] {
            let put = client.put(key, Expected::Absent, Bytes::new(), None);
            put.await.unwrap();
        }
        let first = client.list("p/", None).await.unwrap();
        let keys: Vec<_> = first.entries.iter().map(|e| e.key.as_str()).collect();
        assert_eq!((keys, first.more), (vec!["p/0", "p/1", "p/2"], true));
        let second = client.list("p/", Some("p/2")).await.unwrap();
        let keys: Vec<_> = second.entries.iter().map(|e| e.key.as_str()).collect();
        assert_eq!((keys, second.more), (vec!["p/3", "p/4"], false));
    });
}

#[test]
fn a_value_over_the_limit_is_refused() {
    let standin = bind_standin();
    let client = open_client(&standin);
    block_on(async move {
        let whole = Bytes::from(vec![7; 1024 * 1024]);
        let put = client.put("large", Expected::Absent, whole.clone(), None);
        put.await.unwrap();
        assert_eq!(client.get("large").await.unwrap().unwrap().value, whole);
        let over = Bytes::from(vec![7; 1024 * 1024 + 1]);
        let refused = client.put("over", Expected::Absent, over, None).await;
        assert!(matches!(refused, Err(StoreError::TooLarge { .. })));
    });
}

#[test]
fn a_watch_returns_with_the_change() {
    let standin = bind_standin();
    let client = open_client(&standin);
    block_on(async move {
        let writer = client.clone();
        let watching = client.watch("w/", Revision(0), Duration::from_secs(20));
        let writing = async {
            wait_until(|| standin.counters().waiting_watches == 1).await;
            let other = writer.put("x", Expected::Absent, "0".into(), None);
            other.await.unwrap();
            let put = writer.put("w/1", Expected::Absent, "1".into(), None);
            put.await.unwrap()
        };
        let (batch, revision) = tokio::join!(watching, writing);
        let batch = batch.unwrap();
        assert_eq!(batch.events.len(), 1);
        assert_eq!(batch.events[0].key, "w/1");
        assert_eq!(batch.events[0].revision, revision);
        let empty = client.watch("w/", batch.revision, Duration::from_millis(1));
        assert!(empty.await.unwrap().events.is_empty());
    });
}

#[test]
fn a_compacted_watch_says_so() {
    let standin = bind_standin();
    let client = open_client(&standin);
    block_on(async move {
        let put = client.put("a", Expected::Absent, "1".into(), None);
        let revision = put.await.unwrap();
        standin.compact();
        let lost = client.watch("a", Revision(0), Duration::ZERO).await;
        assert_eq!(lost, Err(StoreError::Compacted { oldest: revision }));
        let kept = client.watch("a", revision, Duration::ZERO).await;
        assert!(kept.unwrap().events.is_empty());
    });
}

#[test]
fn an_expired_lease_deletes_its_keys() {
    let standin = bind_standin();
    let client = open_client(&standin);
    block_on(async move {
        let grant = client
            .grant_lease(Duration::from_millis(100))
            .await
            .unwrap();
        let later = client.grant_lease(Duration::from_secs(60)).await.unwrap();
        assert!(later.fencing > grant.fencing);
        for (key, lease) in [("l/1", grant.lease), ("l/2", later.lease)] {
            let put = client.put(key, Expected::Absent, "x".into(), Some(lease));
            put.await.unwrap();
        }
        let batch = client.watch("l/1", standin.revision(), Duration::from_secs(20));
        let batch = batch.await.unwrap();
        assert_eq!(batch.events[0].value, None);
        assert_eq!(
            client.renew_lease(grant.lease).await,
            Err(StoreError::LeaseLapsed)
        );
        client.renew_lease(later.lease).await.unwrap();
        client.revoke_lease(later.lease).await.unwrap();
        assert_eq!(client.get("l/2").await.unwrap(), None);
    });
}

#[test]
fn a_lost_answer_of_a_write_is_unknown_and_the_write_stands() {
    let standin = bind_standin();
    let client = open_client(&standin);
    block_on(async move {
        standin.drop_write_answers(1);
        let lost = client.put("a", Expected::Absent, "1".into(), None).await;
        assert!(matches!(lost, Err(StoreError::Unknown { .. })), "{lost:?}");
        let entry = client.get("a").await.unwrap().unwrap();
        assert_eq!(entry.value, Bytes::from("1"));
        assert_eq!(standin.counters().calls["/v1/put"], 1);
        assert_eq!(client.counters().unknown, 1);
    });
}

#[test]
fn outages_are_told_apart() {
    let standin = bind_standin();
    let client = open_client(&standin);
    block_on(async move {
        let set_outage = |outage| {
            standin.set_faults(FaultPlan {
                outage,
                ..FaultPlan::default()
            });
        };
        set_outage(OutageKind::Refuse);
        let refused = client.put("a", Expected::Absent, "1".into(), None).await;
        assert!(matches!(refused, Err(StoreError::Unavailable { .. })));
        set_outage(OutageKind::Close);
        let closed = client.put("a", Expected::Absent, "1".into(), None).await;
        assert!(
            matches!(closed, Err(StoreError::Unknown { .. })),
            "{closed:?}"
        );
        let closed = client.get("a").await;
        assert!(matches!(closed, Err(StoreError::Unavailable { .. })));
        set_outage(OutageKind::Hang);
        let hung = client.delete("a", Expected::Absent).await;
        assert!(matches!(hung, Err(StoreError::Unknown { .. })), "{hung:?}");
        set_outage(OutageKind::None);
        assert_eq!(client.get("a").await.unwrap(), None);
    });
}

#[test]
fn a_slow_service_is_waited_for() {
    let standin = bind_standin();
    let client = open_client(&standin);
    block_on(async move {
        standin.set_faults(FaultPlan {
            delay_ms: 200,
            ..FaultPlan::default()
        });
        let put = client.put("a", Expected::Absent, "1".into(), None);
        put.await.unwrap();
    });
}

#[test]
fn a_stopped_service_is_unavailable_and_keeps_its_data() {
    let mut standin = bind_standin();
    let client = open_client(&standin);
    block_on(async move {
        let put = client.put("a", Expected::Absent, "1".into(), None);
        put.await.unwrap();
        standin.stop();
        let mut seen = Vec::new();
        for _ in 0..3 {
            seen.push(client.put("b", Expected::Absent, "1".into(), None).await);
        }
        // The first call may use the connection that is being closed; without a connection nothing
        // is sent.
        let last = seen.last().unwrap();
        assert!(
            matches!(last, Err(StoreError::Unavailable { .. })),
            "{seen:?}"
        );
        standin.resume().unwrap();
        assert!(client.get("a").await.unwrap().is_some());
        assert!(client.get("b").await.unwrap().is_none());
    });
}

#[test]
fn an_address_without_a_listener_is_not_run() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = PlatformClient::open(ClientSettings::new(address)).unwrap();
    block_on(async move {
        let error = client.put("a", Expected::Absent, "1".into(), None).await;
        assert_eq!(error.unwrap_err().verdict(), Verdict::NotRun);
    });
}

#[test]
fn a_truncated_answer_of_a_write_is_unknown() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).unwrap();
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"revi";
        stream.write_all(head.as_bytes()).unwrap();
    });
    let client = PlatformClient::open(ClientSettings::new(address)).unwrap();
    block_on(async move {
        let error = client.put("a", Expected::Absent, "1".into(), None).await;
        assert_eq!(error.unwrap_err().verdict(), Verdict::MayHaveRun);
    });
    server.join().unwrap();
}

#[test]
fn the_service_s_rate_limit_is_not_run_and_holds_the_client_back() {
    let standin = PlatformStandIn::bind(PlatformSettings {
        writes_per_second: 1.0,
        ..PlatformSettings::default()
    })
    .unwrap();
    let client = open_client(&standin);
    block_on(async move {
        let put = client.put("a", Expected::Absent, "1".into(), None);
        put.await.unwrap();
        let limited = client.put("b", Expected::Absent, "1".into(), None).await;
        assert!(matches!(limited, Err(StoreError::OverBudget { .. })));
        let held = client.put("c", Expected::Absent, "1".into(), None).await;
        assert!(matches!(held, Err(StoreError::OverBudget { .. })));
        assert_eq!(standin.counters().rate_limited, 1);
        assert_eq!(client.counters().refused, 1);
    });
}

#[test]
fn the_vm_list_lags() {
    let standin = PlatformStandIn::bind(PlatformSettings {
        vm_lag: Duration::from_millis(50),
        ..PlatformSettings::default()
    })
    .unwrap();
    let client = Arc::new(open_client(&standin));
    let vm = WireVm {
        address: Ipv4Addr::LOCALHOST.into(),
        port: Some(9),
        state: WireVmState::Leaving,
    };
    standin.set_vms(vec![vm]);
    block_on(async move {
        let list = loop {
            let list = client.read().await.unwrap();
            if !list.is_empty() {
                break list;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        let address = SocketAddr::new(list[0].address, list[0].port.unwrap());
        assert_eq!(address, SocketAddr::from(([127, 0, 0, 1], 9)));
        assert_eq!(list[0].state, VmState::Leaving);
    });
}

#[test]
fn claims_and_records_cannot_starve_leases() {
    let limits = BudgetLimits {
        reads_per_second: 10.0,
        writes_per_second: 10.0,
    };
    let mut budget = CallBudget::new(limits);
    let now = MonoTime::default();
    let mut take_all = |class| {
        let mut taken = 0;
        while budget.take(now, class, CallKind::Write).is_ok() {
            taken += 1;
        }
        taken
    };
    assert_eq!(take_all(CallClass::Claim), 7);
    assert_eq!(take_all(CallClass::Record), 2);
    assert_eq!(take_all(CallClass::Lease), 1);
    let later = now + Span::from_secs(1);
    budget.pause(later, Duration::from_secs(5));
    assert!(
        budget
            .take(later, CallClass::Claim, CallKind::Write)
            .is_err()
    );
    assert!(
        budget
            .take(later, CallClass::Lease, CallKind::Write)
            .is_ok()
    );
}
