//! Runs the HTTP library's client on its thread.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::error;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, Connector};
use ntex::io::IoConfig;
use ntex::rt::{DefaultRuntime, System};
use ntex::time::Millis;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of connections for calls other than watches.
const MAX_CALL_CONNECTIONS: usize = 32;
/// Maximum number of connections for watches, which are separate so that waiting watches do not
/// delay other calls.
const MAX_WATCH_CONNECTIONS: usize = 16;
/// Time for which an unused connection is kept, in seconds. It is shorter than the usual limit of a
/// server, so that a call is rarely sent on a connection that the server is closing.
const KEEP_ALIVE_SECONDS: u16 = 3;

/// Holds one call that is passed to the client's thread.
#[derive(Debug)]
pub(crate) struct CallJob {
    pub(crate) url: String,
    pub(crate) is_watch: bool,
    pub(crate) body: Bytes,
    pub(crate) timeout: Duration,
    pub(crate) reply: oneshot::Sender<RawAnswer>,
}

/// Reports the result of a call, before its answer is decoded.
#[derive(Debug)]
pub(crate) enum RawAnswer {
    /// The request was never written.
    NotSent(String),
    /// The request may have been written, but no complete answer arrived.
    Interrupted(String),
    /// A complete answer arrived.
    Answered { status: u16, body: Bytes },
}

/// Runs calls until every handle of the client is dropped.
pub(crate) fn run_client(queue: mpsc::UnboundedReceiver<CallJob>, connect_timeout: Duration) {
    // The connector also sets up TLS and panics if the process has no crypto provider. An error
    // means that one is already installed, so it can be ignored.
    let _ = rustls::crypto::ring::default_provider().install_default();
    System::new("platform-client", DefaultRuntime).block_on(serve_calls(queue, connect_timeout));
}

async fn serve_calls(mut queue: mpsc::UnboundedReceiver<CallJob>, connect_timeout: Duration) {
    let calls = build_client(connect_timeout, MAX_CALL_CONNECTIONS).await;
    let watches = build_client(connect_timeout, MAX_WATCH_CONNECTIONS).await;
    let (Some(calls), Some(watches)) = (calls, watches) else {
        return;
    };
    let (calls, watches) = (Rc::new(calls), Rc::new(watches));
    while let Some(job) = queue.recv().await {
        let client = if job.is_watch { &watches } else { &calls };
        let client = Rc::clone(client);
        ntex::rt::spawn(async move { run_job(&client, job).await });
    }
}

async fn build_client(connect_timeout: Duration, connections: usize) -> Option<Client> {
    let millis = u32::try_from(connect_timeout.as_millis()).unwrap_or(u32::MAX);
    let io = IoConfig::new().set_connect_timeout(Millis(millis));
    let connector = Connector::default()
        .limit(connections)
        .keep_alive(ntex::time::Seconds(KEEP_ALIVE_SECONDS));
    let client = Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(MAX_ANSWER_BYTES)
        .build(SharedCfg::new("platform-client").add(io))
        .await;
    match client {
        Ok(client) => Some(client),
        Err(error) => {
            error!("failed to build the HTTP client of the platform's services: {error}");
            None
        }
    }
}

async fn run_job(client: &Client, mut job: CallJob) {
    let limit = job.timeout;
    let body = std::mem::take(&mut job.body);
    let answer = tokio::select! {
        answer = timeout(limit, send_request(client, &job.url, body)) => answer,
        () = job.reply.closed() => return,
    };
    let answer =
        answer.unwrap_or_else(|_| RawAnswer::Interrupted(format!("no answer in {limit:?}")));
    // Sending fails if the caller has abandoned the call, which needs no answer.
    let _ = job.reply.send(answer);
}

async fn send_request(client: &Client, url: &str, body: Bytes) -> RawAnswer {
    let request = client.post(url).content_type("application/json");
    let response = match request.send_body(body.to_vec()).await {
        Ok(response) => response,
        Err(error) => return classify_send_error(&error),
    };
    let status = response.status().as_u16();
    match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => RawAnswer::Answered {
            status,
            body: Bytes::copy_from_slice(&body),
        },
        Err(error) => RawAnswer::Interrupted(error.to_string()),
    }
}

/// Distinguishes a connection that was never made from one that closed after the request.
///
/// The library reports a connection that closes before the answer as a connect error without a
/// cause, so only a connect error with a cause proves that nothing was sent.
fn classify_send_error(error: &ClientError) -> RawAnswer {
    let reason = error.to_string();
    let never_connected = matches!(
        error,
        ClientError::Url(_)
            | ClientError::Connect(
                ConnectError::Resolver(_)
                    | ConnectError::NoRecords
                    | ConnectError::Timeout
                    | ConnectError::Unresolved
                    | ConnectError::SslIsNotSupported
                    | ConnectError::Disconnected(Some(_))
            )
    );
    if never_connected {
        RawAnswer::NotSent(reason)
    } else {
        RawAnswer::Interrupted(reason)
    }
}
