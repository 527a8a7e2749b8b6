//! Tests that verdicts are correct wherever a connection is cut. A fault-injecting proxy between
//! the client and the service stand-in cuts it at chosen bytes.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::Method;
use ntex::http::header::HeaderMap;
use ntex::util::Bytes;
use oleander_base::prelude::*;
use oleander_service::{AttemptTimeouts, ServiceCall, ServiceClient};
use oleander_standin::{CutPoint, DirectionFault, FaultProxy, ProxyFaults, ServiceStandIn};
use serde_json::json;

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

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
            connect: LONG_TIMEOUT,
            first_byte: LONG_TIMEOUT,
            idle: LONG_TIMEOUT,
        },
    }
}

fn cut(point: CutPoint) -> ProxyFaults {
    ProxyFaults {
        cut: point,
        ..ProxyFaults::default()
    }
}

struct ProxyFixture {
    service: ServiceStandIn,
    proxy: FaultProxy,
    client: ServiceClient,
}

impl ProxyFixture {
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

    /// Sends one call and checks its verdict against the effects that the service recorded.
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
async fn a_cut_at_any_byte_leaves_the_verdict_correct() {
    let fixture = ProxyFixture::open().await;
    let points = [
        CutPoint::AtAccept,
        CutPoint::BeforeRequest,
        CutPoint::BeforeAnswer,
    ];
    let request_cuts = (1..2_400).step_by(160).map(CutPoint::InRequest);
    let answer_cuts = (1..160).step_by(20).map(CutPoint::InAnswer);
    let points = points.into_iter().chain(request_cuts).chain(answer_cuts);
    let mut verdicts = FastMap::default();
    for (number, point) in points.enumerate() {
        fixture.proxy.set(cut(point));
        for idempotent in [false, true] {
            let operation = format!("op-{number}-{idempotent}");
            let verdict = fixture.send(&operation, idempotent).await;
            *verdicts.entry(verdict).or_insert(0) += 1;
        }
        if point == CutPoint::BeforeAnswer {
            assert_eq!(
                fixture
                    .service
                    .record(&format!("op-{number}-false"))
                    .effects,
                1
            );
        }
    }
    assert!(verdicts[&Verdict::MayHaveRun] > 20, "{verdicts:?}");
    fixture.proxy.clear_faults();
    assert_eq!(fixture.send("after", false).await, Verdict::Ran);
}

#[ntex::test]
async fn a_kept_connection_that_closes_before_the_send_is_never_used_twice() {
    let fixture = ProxyFixture::open().await;
    let mut ran = 0;
    for round in 0..40 {
        let first = fixture.send(&format!("first-{round}"), true).await;
        fixture.proxy.cut_all();
        let second = fixture.send(&format!("second-{round}"), true).await;
        ran += u32::from(first == Verdict::Ran) + u32::from(second == Verdict::Ran);
    }
    assert!(ran >= 40, "{ran}");
    assert_eq!(u64::from(ran), fixture.service.totals().effects);
}

#[ntex::test]
async fn a_lost_answer_may_have_run_and_a_dead_port_has_not() {
    let fixture = ProxyFixture::open().await;
    let blocked = DirectionFault {
        blocked: true,
        ..DirectionFault::default()
    };
    fixture.proxy.set(ProxyFaults {
        to_caller: blocked,
        ..ProxyFaults::default()
    });
    let headers = HeaderMap::new();
    let mut service_call = call(fixture.proxy.address(), &headers, "lost");
    service_call.timeouts.connect = Duration::from_millis(40);
    service_call.timeouts.first_byte = Duration::from_millis(120);
    let error = fixture.client.forward(service_call).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);

    let address = fixture.proxy.address();
    drop(fixture.proxy);
    let error = fixture.client.forward(call(address, &headers, "dead"));
    assert_eq!(error.await.unwrap_err().verdict, Verdict::NotRun);
    assert_eq!(fixture.service.record("dead").effects, 0);
}
