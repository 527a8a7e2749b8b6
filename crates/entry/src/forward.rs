//! Forwards calls to the entry VM that must decide them: the one that issued the token or owns the
//! key.
//!
//! A forwarded call keeps the request id of the VM that accepted it and carries its age. It is
//! never forwarded again, so that two VMs with different views cannot send it back and forth.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{HeaderMap, Method};
use ntex::util::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_caller::{CallerError, ErrorCode};
use oleander_peer::{PeerCall, PeerReply};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::counters::increment;
use crate::http_answer::HttpAnswer;
use crate::service_job::{ServiceJob, ServiceStep, refusal_answer, run_service};
use crate::worker::{SharedContext, WorkerContext};

/// Timeout of a whole forwarded call.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(60);

/// A call as it is sent between entry VMs.
#[derive(Debug, Serialize, Deserialize)]
struct WireCall {
    request: RequestId,
    pool: PoolId,
    customer: CustomerId,
    class: ClassId,
    tier: Tier,
    target: Span,
    patience: Span,
    goodput_weight: f64,
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    idempotent: bool,
    token: Option<String>,
    key: Option<String>,
    age: Span,
}

impl WireCall {
    fn new(job: &ServiceJob) -> Self {
        let text = |name: &HeaderName, value: &HeaderValue| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        };
        Self {
            request: job.request,
            pool: job.pool,
            customer: job.customer,
            class: job.class,
            tier: job.tier,
            target: job.target,
            patience: job.patience,
            goodput_weight: job.goodput_weight,
            method: job.method.as_str().to_owned(),
            path: job.path.clone(),
            headers: job
                .headers
                .iter()
                .filter_map(|(name, value)| text(name, value))
                .collect(),
            body: job.body.to_vec(),
            idempotent: job.idempotent,
            token: job.token.clone(),
            key: job.key.clone(),
            age: monotonic_now().since(job.arrived),
        }
    }

    fn into_job(self) -> Option<ServiceJob> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name = HeaderName::try_from(name.as_str()).ok()?;
            headers.append(name, HeaderValue::try_from(value.as_str()).ok()?);
        }
        Some(ServiceJob {
            request: self.request,
            pool: self.pool,
            customer: self.customer,
            class: self.class,
            tier: self.tier,
            target: self.target,
            patience: self.patience,
            goodput_weight: self.goodput_weight,
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path,
            headers,
            body: Bytes::from(self.body),
            idempotent: self.idempotent,
            token: self.token,
            key: self.key,
            forwarded: true,
            arrived: monotonic_now() - self.age,
        })
    }
}

/// Sends a call to the instance that decides it, and returns that instance's answer.
pub(crate) async fn forward_call(
    context: &WorkerContext,
    job: &ServiceJob,
    to: InstanceId,
) -> HttpAnswer {
    increment(&context.node.counters.process.forwarded);
    let Ok(body) = postcard::to_allocvec(&WireCall::new(job)) else {
        return forward_failure(job, Verdict::NotRun);
    };
    let call = PeerCall::ForwardRequest(body.into());
    match context.shared.peers.call(to, call, FORWARD_TIMEOUT).await {
        Ok(PeerReply::Answer(bytes)) => {
            HttpAnswer::decode(&bytes).unwrap_or_else(|| forward_failure(job, Verdict::MayHaveRun))
        }
        Ok(PeerReply::Refused(_) | PeerReply::Unsupported) | Err(_) => origin_unreachable(job),
    }
}

/// Returns the refusal for a call whose deciding instance is unreachable: an earlier call with the
/// same token or key may have run.
fn origin_unreachable(job: &ServiceJob) -> HttpAnswer {
    refusal_answer(&oleander_once::Refusal::origin_gone(None), job.request)
}

fn forward_failure(job: &ServiceJob, verdict: Verdict) -> HttpAnswer {
    let error = CallerError::not_run(ErrorCode::BackendFailed, "the call could not be forwarded");
    HttpAnswer::from_error(&error.with_verdict(verdict).of(job.request))
}

/// A forwarded call that waits to be run.
#[derive(Debug)]
struct ForwardedCall {
    body: bytes::Bytes,
    reply: oneshot::Sender<PeerReply>,
}

/// Runs the calls that other entry VMs forward to this one, on a dedicated thread.
#[derive(Debug, Clone)]
pub(crate) struct ForwardPool {
    calls: mpsc::UnboundedSender<ForwardedCall>,
}

impl ForwardPool {
    /// Spawns the thread.
    pub(crate) fn spawn(shared: SharedContext) -> io::Result<Self> {
        let (calls, incoming) = mpsc::unbounded_channel();
        std::thread::Builder::new()
            .name("forwarded".to_owned())
            .spawn(move || {
                let system = ntex::rt::System::new("forwarded", ntex::rt::DefaultRuntime);
                system.block_on(serve_forwarded(shared, incoming));
            })?;
        Ok(Self { calls })
    }

    /// Runs a call and returns the reply for the peer.
    pub(crate) async fn run(&self, body: bytes::Bytes) -> PeerReply {
        let (reply, answer) = oneshot::channel();
        if self.calls.send(ForwardedCall { body, reply }).is_err() {
            return PeerReply::Refused("this entry VM is stopping".to_owned());
        }
        answer
            .await
            .unwrap_or_else(|_| PeerReply::Refused("this entry VM is stopping".to_owned()))
    }
}

async fn serve_forwarded(
    shared: SharedContext,
    mut incoming: mpsc::UnboundedReceiver<ForwardedCall>,
) {
    let context = match WorkerContext::open(&shared).await {
        Ok(context) => context,
        Err(error) => {
            log::error!("cannot open the clients for forwarded calls: {error}");
            return;
        }
    };
    while let Some(call) = incoming.recv().await {
        let context = Rc::clone(&context);
        ntex::rt::spawn(async move {
            let _ = call.reply.send(run_forwarded(&context, &call.body).await);
        });
    }
}

async fn run_forwarded(context: &Rc<WorkerContext>, body: &[u8]) -> PeerReply {
    let job = postcard::from_bytes::<WireCall>(body)
        .ok()
        .and_then(WireCall::into_job);
    let Some(job) = job else {
        return PeerReply::Refused("the call cannot be read".to_owned());
    };
    match run_service(context, &job).await {
        ServiceStep::Answered(answer) => PeerReply::Answer(answer.encode()),
        ServiceStep::Forward(_) => {
            PeerReply::Refused("a forwarded call is not passed on".to_owned())
        }
    }
}
