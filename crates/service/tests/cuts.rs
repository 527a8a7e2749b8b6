//! Verdicts hold wherever the connection is cut: behind a fault-injecting proxy, with real bytes.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::Method;
use ntex::http::header::HeaderMap;
use ntex::util::Bytes;
use oleander_base::prelude::*;
use oleander_service::{AttemptTimeouts, ServiceCall, ServiceClient};
use oleander_standin::{CutPoint, DirectionFault, FaultProxy, ProxyFaults, ServiceStandIn};
use serde_json::json;

const LONG_WAIT: Duration = Duration::from_secs(20);

fn call<'a>(address: SocketAddr, headers: &'a HeaderMap, operation: &str) -> ServiceCall<'a> {
    let body = json!({"operation": operation, "text": "x".repeat(2_000)});
    ServiceCall {
        address,
        method: Method::POST,
        path: "/orders",
        headers,
        body: Bytes::from(body.to_string()),
        idempotent: false,
        timeouts: AttemptTimeouts {
            connect: LONG_WAIT,
            first_byte: LONG_WAIT,
            idle: LONG_WAIT,
        },
    }
}

fn cut(point: CutPoint) -> ProxyFaults {
    ProxyFaults {
        cut: point,
        ..ProxyFaults::default()
    }
}

struct Bench {
    service: ServiceStandIn,
    proxy: FaultProxy,
    client: ServiceClient,
}

impl Bench {
    async fn open() -> Self {
        let service = ServiceStandIn::bind(Default::default()).unwrap();
        let proxy = FaultProxy::bind(service.address()).unwrap();
        let client = ServiceClient::open(Default::default()).await.unwrap();
        Self {
            service,
            proxy,
            client,
        }
    }

    /// Sends one call and holds its verdict against what the service saw.
    async fn send(&self, operation: &str, idempotent: bool) -> Verdict {
        let headers = HeaderMap::new();
        let mut call = call(self.proxy.address(), &headers, operation);
        call.idempotent = idempotent;
        let verdict = match self.client.forward(call).await {
            Ok(_) => Verdict::Ran,
            Err(error) => error.verdict,
        };
        let effects = self.service.record(operation).effects;
        match verdict {
            Verdict::NotRun => assert_eq!(effects, 0, "{operation}"),
            Verdict::MayHaveRun => assert!(effects <= 1, "{operation}"),
            Verdict::Ran => assert_eq!(effects, 1, "{operation}"),
        }
        verdict
    }
}

#[ntex::test]
async fn a_cut_at_any_byte_leaves_the_verdict_true() {
    let bench = Bench::open().await;
    let points = [
        CutPoint::AtAccept,
        CutPoint::BeforeRequest,
        CutPoint::BeforeAnswer,
    ];
    let inside = (1..2_400).step_by(160).map(CutPoint::InRequest);
    let answers = (1..160).step_by(20).map(CutPoint::InAnswer);
    let points = points.into_iter().chain(inside).chain(answers);
    let mut verdicts = FastMap::default();
    for (number, point) in points.enumerate() {
        bench.proxy.set(cut(point));
        for idempotent in [false, true] {
            let operation = format!("op-{number}-{idempotent}");
            let verdict = bench.send(&operation, idempotent).await;
            *verdicts.entry(verdict).or_insert(0) += 1;
        }
        if point == CutPoint::BeforeAnswer {
            assert_eq!(
                bench.service.record(&format!("op-{number}-false")).effects,
                1
            );
        }
    }
    assert!(verdicts[&Verdict::MayHaveRun] > 20, "{verdicts:?}");
    bench.proxy.clear_faults();
    assert_eq!(bench.send("after", false).await, Verdict::Ran);
}

#[ntex::test]
async fn a_kept_connection_that_closes_before_the_send_is_never_used_twice() {
    let bench = Bench::open().await;
    let mut ran = 0;
    for round in 0..40 {
        let first = bench.send(&format!("first-{round}"), true).await;
        bench.proxy.cut_all();
        let second = bench.send(&format!("second-{round}"), true).await;
        ran += u32::from(first == Verdict::Ran) + u32::from(second == Verdict::Ran);
    }
    assert!(ran >= 40, "{ran}");
    assert_eq!(u64::from(ran), bench.service.totals().effects);
}

#[ntex::test]
async fn a_lost_answer_may_have_run_and_a_dead_port_has_not() {
    let bench = Bench::open().await;
    let blocked = DirectionFault {
        blocked: true,
        ..DirectionFault::default()
    };
    bench.proxy.set(ProxyFaults {
        to_caller: blocked,
        ..ProxyFaults::default()
    });
    let headers = HeaderMap::new();
    let mut sent = call(bench.proxy.address(), &headers, "lost");
    sent.timeouts.connect = Duration::from_millis(40);
    sent.timeouts.first_byte = Duration::from_millis(120);
    let error = bench.client.forward(sent).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);

    let address = bench.proxy.address();
    drop(bench.proxy);
    let error = bench.client.forward(call(address, &headers, "dead"));
    assert_eq!(error.await.unwrap_err().verdict, Verdict::NotRun);
    assert_eq!(bench.service.record("dead").effects, 0);
}
