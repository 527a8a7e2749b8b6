//! The HTTP client, with two connection pools, one of which never reuses a connection.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::connect::{ConnectError as TcpError, Connector as TcpConnector};
use ntex::http::body::Body;
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{HeaderMap, Method, Payload, StatusCode, Version};
use ntex::service::apply_fn_factory;
use ntex::time::Seconds;
use tokio::time::{Instant, timeout};

use crate::body::{AttemptBody, BodyEnd};
use crate::error::{AttemptError, AttemptFailure, Result};
use crate::process_watch::ProcessWatch;
use crate::request::{AttemptRequest, AttemptSettings, AttemptTimeouts};
use crate::tracked_body::{SendFlag, TrackedBody};
use crate::unframed_servers::UnframedServers;

/// A pool size that is never reached; the library takes 0 as a limit that blocks waiting requests.
const UNLIMITED_CONNECTIONS: usize = usize::MAX >> 1;

/// How much later than asked for the pool may drop an idle connection, because its clock is coarser.
const POOL_CLOCK_SLACK: Duration = Duration::from_secs(1);

/// Holds an answer whose head has been received.
#[derive(Debug)]
pub struct AttemptResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: AttemptBody,
}

impl AttemptResponse {
    /// Returns the value of a header, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Sends requests from one ntex thread.
#[derive(Clone)]
pub struct AttemptClient {
    pooled: Client,
    unpooled: Client,
    unframed: UnframedServers,
}

impl AttemptClient {
    /// Opens the client on the current ntex thread.
    pub async fn open(settings: AttemptSettings) -> io::Result<Self> {
        let pool_time = Duration::from_secs(settings.keep_idle_seconds.into()) + POOL_CLOCK_SLACK;
        Ok(Self {
            pooled: open_client(settings.connect, settings.keep_idle_seconds).await?,
            unpooled: open_client(settings.connect, 0).await?,
            unframed: UnframedServers::new(pool_time),
        })
    }

    /// Makes one attempt and returns when the head of the answer has been received.
    ///
    /// Dropping the future, or the answer's body, closes the connection.
    pub async fn send(&self, request: AttemptRequest<'_>) -> Result<AttemptResponse> {
        let timeouts = request.timeouts;
        let flag = SendFlag::default();
        let call = self.prepare(&request);
        let method = request.method.clone();
        let response = if request.body.is_empty() {
            finish_bodyless(call.send(), timeouts).await?
        } else {
            let body = TrackedBody::new(request.body, flag.clone());
            let sending = call.send_body(Body::from_message(body));
            finish_tracked(sending, &flag, timeouts).await?
        };
        let body = if !has_body(&method, &response) {
            AttemptBody::new(Payload::None, BodyEnd::Checked, timeouts.idle)
        } else if is_unframed(&response) {
            self.unframed.record(request.address, Instant::now());
            AttemptBody::unframed(timeouts.idle)
        } else {
            let end = body_end(&response, request.address, timeouts.connect);
            AttemptBody::new(response.take_payload(), end, timeouts.idle)
        };
        Ok(AttemptResponse {
            status: response.status(),
            headers: response.headers().clone(),
            body,
        })
    }

    fn prepare(&self, request: &AttemptRequest<'_>) -> ClientRequest {
        let is_fresh = request.fresh || self.unframed.contains(request.address, Instant::now());
        let client = if is_fresh {
            &self.unpooled
        } else {
            &self.pooled
        };
        let url = format!("http://{}{}", request.address, request.path);
        let mut call = client.request(request.method.clone(), url);
        for (name, value) in request.headers {
            call = call.header(*name, *value);
        }
        if is_fresh {
            call = call.force_close();
        }
        call.no_decompress()
    }
}

impl fmt::Debug for AttemptClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AttemptClient").finish_non_exhaustive()
    }
}

async fn open_client(connect: Duration, keep_idle_seconds: u16) -> io::Result<Client> {
    // The library sets up TLS in every connector, which needs a provider; a provider that the
    // program has already installed is kept.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let bounded =
        apply_fn_factory(
            TcpConnector::new(),
            async move |address, connector| match timeout(connect, connector.call(address)).await {
                Ok(connected) => connected,
                Err(_) => Err(TcpError::Io(io::Error::from(io::ErrorKind::TimedOut))),
            },
        );
    let connector = Connector::new()
        .connector(bounded)
        .keep_alive(Seconds(keep_idle_seconds))
        .limit(UNLIMITED_CONNECTIONS);
    let client = Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(SharedCfg::default())
        .await?;
    Ok(client)
}

/// Returns whether an answer has a body, by its request, its status and its length.
///
/// The library waits for the length that a 304 answer states, and for the end of an HTTP/1.0 connection.
fn has_body(method: &Method, response: &ClientResponse) -> bool {
    let status = response.status();
    *method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
        && stated_length(response) != Some(0)
}

/// Returns whether the end of the answer's body can only be seen from the end of its connection.
///
/// The library takes such an HTTP/1.1 answer for one without a body, so its body is lost.
fn is_unframed(response: &ClientResponse) -> bool {
    let is_framed = response.headers().contains_key(CONTENT_LENGTH) || is_chunked(response);
    !is_framed && response.version() == Version::HTTP_11
}

/// Returns whether the body comes in chunks. Another transfer coding frames nothing.
fn is_chunked(response: &ClientResponse) -> bool {
    let coding = response.headers().get(TRANSFER_ENCODING);
    let coding = coding.and_then(|coding| coding.to_str().ok());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns what is left to check at the end of the answer's body.
fn body_end(response: &ClientResponse, server: SocketAddr, connect: Duration) -> BodyEnd {
    if response.version() != Version::HTTP_10 {
        return BodyEnd::Checked;
    }
    match stated_length(response) {
        Some(length) => BodyEnd::Length(length),
        None => BodyEnd::Process(ProcessWatch::open(server, connect)),
    }
}

fn stated_length(response: &ClientResponse) -> Option<u64> {
    let length = response.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}

async fn finish_tracked(
    sending: impl Future<Output = std::result::Result<ClientResponse, ClientError>>,
    flag: &SendFlag,
    timeouts: AttemptTimeouts,
) -> Result<ClientResponse> {
    let mut sending = pin!(sending);
    let connect = timeouts.connect.min(timeouts.first_byte);
    let first = match timeout(connect, &mut sending).await {
        Ok(result) => Ok(result),
        Err(_) if !flag.is_set() => {
            return Err(AttemptError::not_run(AttemptFailure::ConnectTimeout));
        }
        Err(_) => {
            let rest = timeouts.first_byte - connect;
            timeout(rest, sending).await
        }
    };
    match first {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if flag.is_set() => Err(AttemptError::may_have_run(failure(&error))),
        Ok(Err(error)) => Err(AttemptError::not_run(failure(&error))),
        Err(_) => Err(AttemptError::may_have_run(AttemptFailure::FirstByteTimeout)),
    }
}

async fn finish_bodyless(
    sending: impl Future<Output = std::result::Result<ClientResponse, ClientError>>,
    timeouts: AttemptTimeouts,
) -> Result<ClientResponse> {
    match timeout(timeouts.first_byte, sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if is_connect_phase(&error) => Err(AttemptError::not_run(failure(&error))),
        Ok(Err(error)) => Err(AttemptError::may_have_run(failure(&error))),
        Err(_) => Err(AttemptError::may_have_run(AttemptFailure::FirstByteTimeout)),
    }
}

/// Returns whether the error can only occur before anything is written.
///
/// `Disconnected(None)` is also reported for a connection that closes after the send.
fn is_connect_phase(error: &ClientError) -> bool {
    match error {
        ClientError::Url(_) | ClientError::Http(_) => true,
        ClientError::Connect(ConnectError::Disconnected(None)) => false,
        ClientError::Connect(_) => true,
        _ => false,
    }
}

fn failure(error: &ClientError) -> AttemptFailure {
    match error {
        ClientError::Url(_) | ClientError::Http(_) | ClientError::Request(_) => {
            AttemptFailure::Request(error.to_string())
        }
        ClientError::Connect(ConnectError::Timeout) => AttemptFailure::ConnectTimeout,
        ClientError::Connect(ConnectError::Disconnected(Some(reason)))
            if reason.kind() == io::ErrorKind::TimedOut =>
        {
            AttemptFailure::ConnectTimeout
        }
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            AttemptFailure::Broken(error.to_string())
        }
        ClientError::Connect(reason) => AttemptFailure::Connect(reason.to_string()),
        _ => AttemptFailure::Broken(error.to_string()),
    }
}
