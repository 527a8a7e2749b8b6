//! The engine client of one ntex thread.

use std::io;
use std::net::SocketAddr;

use ntex::http::{Method, StatusCode};
use ntex::util::Bytes;
use oleander_attempt::{
    AttemptClient, AttemptRequest, AttemptResponse, AttemptSettings, AttemptTimeouts,
};
use oleander_base::prelude::*;
use oleander_base::{CacheEvent, LoadReport};
use serde::Deserialize;
use tokio::time::Instant;

use crate::call::EngineCall;
use crate::error::{EngineError, EngineFailure, Result};
use crate::order::{EngineOrder, OrderAnswer, OrderRefusal};
use crate::poller::CacheUpdate;
use crate::stream::{EngineStream, malformed, read_error};

/// The header with which an engine states that a request did not run.
const NOT_RUN_HEADER: &str = "x-not-run";

/// The largest load report or page of cache events that is read, in bytes.
const MAX_STATE_BYTES: usize = 1 << 20;

/// The settings of an engine client.
pub type ClientSettings = AttemptSettings;

#[derive(Debug, Deserialize)]
struct EventPage {
    events: Vec<NumberedEvent>,
}

#[derive(Debug, Deserialize)]
struct NumberedEvent {
    number: u64,
    event: CacheEvent,
}

/// Calls engines from one ntex thread; each worker thread opens its own client.
#[derive(Debug, Clone)]
pub struct EngineClient {
    client: AttemptClient,
}

impl EngineClient {
    /// Opens a client on the current ntex thread.
    pub async fn open(settings: ClientSettings) -> io::Result<Self> {
        Ok(Self {
            client: AttemptClient::open(settings).await?,
        })
    }

    /// Sends a call once, without retries, and returns when the head of the answer has arrived.
    pub async fn start(&self, call: EngineCall<'_>) -> Result<EngineStream> {
        let priority = call.tier.0.to_string();
        let prefix = call.prefix.map(|prefix| format!("{:016x}", prefix.0));
        let mut headers = Vec::with_capacity(4 + call.headers.len());
        headers.push(("content-type", "application/json"));
        headers.push(("x-request-id", call.request));
        headers.push(("x-priority", priority.as_str()));
        if let Some(prefix) = &prefix {
            headers.push(("x-prefix-hash", prefix.as_str()));
        }
        headers.extend_from_slice(call.headers);
        let request = AttemptRequest {
            method: Method::POST,
            address: call.address,
            path: call.path.as_str(),
            headers: &headers,
            body: call.body_with_resume(),
            fresh: false,
            timeouts: call.timeouts,
        };
        let response = self.client.send(request).await?;
        if response.status != StatusCode::OK {
            return Err(status_error(response).await);
        }
        let stream = EngineStream::new(response);
        if call.resume.is_some() && !stream.is_streamed() {
            return Err(malformed("the answer to a resumed call is no stream"));
        }
        Ok(stream)
    }

    /// Asks an engine to cancel a request by the name that its call carried.
    ///
    /// Returns whether the engine answered with status 200.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        request: &str,
        timeouts: AttemptTimeouts,
    ) -> Result<bool> {
        let path = format!("/v1/requests/{request}");
        let response = self
            .send_request(Method::DELETE, address, &path, Bytes::new(), timeouts)
            .await?;
        Ok(response.status == StatusCode::OK)
    }

    /// Reads an engine's load report and adds the duration of the call to the report's age.
    pub async fn read_report(
        &self,
        address: SocketAddr,
        timeouts: AttemptTimeouts,
    ) -> Result<LoadReport> {
        let sent_at = Instant::now();
        let body = self.get(address, "/v1/load", timeouts).await?;
        let mut report: LoadReport =
            serde_json::from_slice(&body).map_err(|error| malformed(&error.to_string()))?;
        report.age += Span::from(sent_at.elapsed());
        Ok(report)
    }

    /// Reads an engine's prefix-cache events that follow event number `after`.
    pub async fn read_cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        timeouts: AttemptTimeouts,
    ) -> Result<CacheUpdate> {
        let path = format!("/v1/cache-events?after={after}");
        let body = self.get(address, &path, timeouts).await?;
        let page: EventPage =
            serde_json::from_slice(&body).map_err(|error| malformed(&error.to_string()))?;
        let mut update = CacheUpdate {
            events: Vec::with_capacity(page.events.len()),
            last_number: after,
            missed: 0,
        };
        for numbered in page.events {
            let expected_number = update.last_number + 1;
            update.missed += numbered.number.saturating_sub(expected_number);
            update.last_number = numbered.number;
            update.events.push(numbered.event);
        }
        Ok(update)
    }

    /// Sends an order once, without retries.
    pub async fn send_order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeouts: AttemptTimeouts,
    ) -> Result<OrderAnswer> {
        let body = serde_json::to_vec(order).map_err(|error| malformed(&error.to_string()))?;
        let response = self
            .send_request(
                Method::POST,
                address,
                "/v1/orders",
                Bytes::from(body),
                timeouts,
            )
            .await?;
        if response.status == StatusCode::CONFLICT {
            let body = read_error(response.body).await;
            let refusal: OrderRefusal = serde_json::from_slice(&body).unwrap_or_default();
            return Ok(OrderAnswer::StaleFencing {
                newest: refusal.error.newest,
            });
        }
        if response.status.is_success() {
            return Ok(OrderAnswer::Accepted);
        }
        Err(status_error(response).await)
    }

    async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeouts: AttemptTimeouts,
    ) -> Result<Bytes> {
        let response = self
            .send_request(Method::GET, address, path, Bytes::new(), timeouts)
            .await?;
        if response.status != StatusCode::OK {
            return Err(status_error(response).await);
        }
        Ok(response.body.read(MAX_STATE_BYTES).await?)
    }

    async fn send_request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        timeouts: AttemptTimeouts,
    ) -> Result<AttemptResponse> {
        let request = AttemptRequest {
            method,
            address,
            path,
            headers: &[("content-type", "application/json")],
            body,
            fresh: false,
            timeouts,
        };
        Ok(self.client.send(request).await?)
    }
}

async fn status_error(response: AttemptResponse) -> EngineError {
    let status = response.status.as_u16();
    let is_refused = response.header(NOT_RUN_HEADER) == Some("true");
    let retry_after = response
        .header("retry-after")
        .and_then(|text| text.parse().ok())
        .map(Span::from_secs);
    let body = read_error(response.body).await;
    if !is_refused {
        return EngineError::may_have_run(EngineFailure::Status { status, body });
    }
    EngineError {
        failure: EngineFailure::Refused {
            status,
            retry_after,
            body,
        },
        verdict: Verdict::NotRun,
    }
}
